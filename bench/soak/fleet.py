"""Changes of the deployment: hosts added and removed, routers restarted together, and the settings of all hosts written anew."""

import asyncio
import random
import signal
import time

from router import MAX_ROUTERS, Router

TOGETHER_S = 0.3  # All machines start within this time.


class Fleet:
    def __init__(self, soak, lifecycle):
        self.soak = soak
        self.lifecycle = lifecycle
        self.chooser = random.Random(f"{soak.seed}/fleet")
        self.changes_until = 0.0
        self.announced = 0.0
        self.free_numbers = []
        self.next_number = 0
        self.faults = [self.restart_together, self.restart_together, self.restart_all, self.scale_out]

    def add_router(self):
        number = self.free_numbers.pop(0) if self.free_numbers else self.next_number
        self.next_number = max(self.next_number, number + 1)
        router = Router(self.soak, number)
        self.soak.routers.append(router)
        return router

    def change_for(self, seconds):
        """For some time, each start of a router is a change of the hosts, which the settings of all of them show."""
        self.changes_until = max(self.changes_until, time.monotonic() + seconds)

    def started(self):
        if time.monotonic() < self.changes_until:
            self.soak.spawn(self.announce_later())

    async def announce_later(self):
        await asyncio.sleep(self.chooser.uniform(0, 0.02))
        # Rewriting all settings takes a large fleet's soak about 0.1 s.
        if time.monotonic() - self.announced > len(self.soak.routers) * 0.002:
            self.announce()

    def announce(self):
        """Rewrites the settings of all routers and sends SIGHUP to all of their processes."""
        self.announced = time.monotonic()
        self.soak.count("settings of all routers rewritten")
        self.soak.seeds = self.chooser.sample(self.soak.routers, min(3, len(self.soak.routers)))
        for router in self.soak.routers:
            if not router.is_rewriting:
                router.path.write_text(router.settings())
        for process in list(self.lifecycle.processes):
            process.send(signal.SIGHUP)

    # Faults.

    async def restart_together(self, _router, chooser):
        """Restarts several routers within a short time; now and then half of the fleet is killed meanwhile."""
        routers = self.soak.routers
        await self.restart(chooser.sample(routers, chooser.randint(min(2, len(routers)), len(routers))), chooser)

    async def restart_all(self, _router, chooser):
        await self.restart(self.soak.routers, chooser)

    async def restart(self, routers, chooser):
        number = chooser.choice([signal.SIGKILL, signal.SIGKILL, signal.SIGTERM])
        self.change_for(1.5 if number == signal.SIGKILL else self.lifecycle.grace_s + 1.5)
        for router in list(routers):
            router.starts_together = True
            router.process.send(number)
        if chooser.random() < 0.5:
            await asyncio.sleep(chooser.uniform(0.05, 0.6))
            if self.soak.faults_on:
                await self.lifecycle.herd_kill(None, chooser)

    async def scale_out(self, _router, chooser):
        """Adds routers and takes them away again."""
        added = []
        self.change_for(0.5)
        for _ in range(chooser.randint(1, 1 + len(self.soak.routers) // 8)):
            if self.next_number < MAX_ROUTERS or self.free_numbers:
                added.append(self.add_router())
                self.soak.count("routers added")
                self.lifecycle.start(added[-1], self.lifecycle.draw(chooser))
        until = time.monotonic() + chooser.uniform(0.3, 3)
        while self.soak.faults_on and time.monotonic() < until:
            await asyncio.sleep(0.05)
        number = chooser.choice([signal.SIGTERM, signal.SIGTERM, signal.SIGKILL])
        for router in added:
            router.is_removed = True
            self.soak.routers.remove(router)
            router.process.send(number)
        self.announce()
        while any(process.router in added for process in self.lifecycle.processes) or any(router.is_rewriting for router in added):
            await asyncio.sleep(0.05)
        self.free_numbers += [router.number for router in added]
