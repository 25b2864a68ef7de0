"""Runs routers as processes beside a small world, injects faults from outside, and checks what clients and engines saw.

See docs/soak.md.
"""

import argparse
import asyncio
import collections
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
import traceback

from clients import Clients
from history import History, Violation, check_recovery
from lifecycle import Lifecycle
from router import BOUNDS, KEYS, MAX_ROUTERS, ROOT, configuration
from starts import PORTS, Start
from world import Engine, Relay, Store

SETTLE_S = 3.0
JUDGED_S = 3.0
MAX_SHOWN = 20
SHOWN_ONCE = {"ENDED-EXEC"}


def select_shown(violations):
    """Returns the violations to print, the rarest first, and the number of the others by rule.

    Of the rules in SHOWN_ONCE there is one, since they come in numbers that hide the rest.
    """
    often = collections.Counter((violation.rule, violation.text) for violation in violations)
    shown, others = [], collections.Counter()
    for violation in sorted(violations, key=lambda item: often[item.rule, item.text]):
        is_repeated = violation.rule in SHOWN_ONCE and any(item.rule == violation.rule for item in shown)
        if is_repeated or len(shown) == MAX_SHOWN:
            others[violation.rule] += 1
        else:
            shown.append(violation)
    return shown, others


class Soak:
    def __init__(self, seed, options, slot):
        self.seed = seed
        self.options = options
        self.chooser = random.Random(seed)
        self.binary = pathlib.Path(options.binary).resolve()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.network = f"127.{10 + os.getpid() % 200}.{1 + slot % 250}"
        self.ip = f"{self.network}.250"
        self.history = History()
        self.store = Store()
        self.lifecycle = Lifecycle(self, options.lifecycle, BOUNDS["graceS"])
        self.routers = []
        self.seeds = []  # The routers whose addresses are the seeds of all.
        self.engines = []
        self.counts = collections.Counter()
        self.violations = []
        self.faults_on = False
        self.is_planned = False
        self.spoilt_part = options.spoilt
        self.version = 1
        self.has_extra_route = False
        self.keys = list(KEYS)
        self.is_over = False
        self.started = time.monotonic()
        self.tasks = set()
        self.clients = Clients(self)

    def now(self):
        return time.monotonic() - self.started

    def count(self, what):
        self.counts[what] += 1

    def note(self, text):
        with open(self.folder / "record.txt", "a", encoding="utf-8") as file:
            file.write(f"{self.now():8.3f} {text}\n")

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self.check_task)
        self.tasks.add(task)
        return task

    def check_task(self, task):
        if not task.cancelled() and task.exception() is not None:
            problem = "".join(traceback.format_exception(task.exception()))
            self.violations.append(Violation("SOAK", self.now(), "", "", problem))

    def put_configuration(self):
        self.version += self.chooser.randrange(1, 5)
        self.store.put_json("keyed.op", "config", configuration(self.version, self.has_extra_route, self.keys))

    async def run(self):
        try:
            await self.play()
        finally:
            self.is_over = True
            self.lifecycle.judge_rest()
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
        return self.violations

    async def play(self):
        self.lifecycle.use_threads()
        store_server = await self.store.start(self.ip)
        self.store_relay = Relay(store_server, self.chooser)
        self.store_address = await self.store_relay.start(self.ip)
        self.put_configuration()
        # Enough slots for all clients at once, so that refusals of full engines don't hide those of routers.
        for service, number in (("model", max(4, self.options.clients // 20)), ("plain", max(3, self.options.clients // 24))):
            for _ in range(number):
                await self.add_engine(service)
        for _ in range(self.options.routers):
            self.lifecycle.fleet.add_router()
        self.seeds = self.routers[:3]
        for router in self.routers:
            self.lifecycle.start(router, Start(0.0))
        self.spawn(self.lifecycle.watch())
        self.spawn(self.lifecycle.watch_usage())
        await self.wait_ready()
        self.note(f"all routers are ready; seed {self.seed}")
        for number in range(self.options.clients):
            self.spawn(self.clients.run(number))
        self.spawn(self.heartbeats())
        await asyncio.sleep(0.5)
        self.is_planned = True
        await self.lifecycle.planned_work(self.now() + self.options.seconds * self.options.lifecycle)
        self.is_planned = False
        self.note("planned work has ended")
        until = self.now() + self.options.seconds
        self.faults_on = True
        injectors = [self.spawn(self.inject(until)) for _ in range(3 + len(self.routers) // 10)]
        injectors.append(self.spawn(self.inject_engine_faults(until)))
        await asyncio.gather(*injectors)
        self.faults_on = False
        await self.end_faults()
        self.note("faults have ended")
        await asyncio.sleep(SETTLE_S)
        self.clients.judged.clear()
        await asyncio.sleep(JUDGED_S)
        self.violations += check_recovery(self.clients.judged, self.now())
        self.counts["judged after the faults"] = sum(asked for _, asked in self.clients.judged.values())
        self.counts["served after the faults"] = sum(good for good, _ in self.clients.judged.values())
        while not self.lifecycle.all_ready():
            await asyncio.sleep(0.1)
        self.is_over = True
        await asyncio.sleep(0.5)
        self.violations += self.history.violations()

    async def add_engine(self, service, port=0):
        engine = Engine(self, service)
        await engine.start(port)
        self.engines.append(engine)

    async def wait_ready(self):
        until = time.monotonic() + 30
        for router in self.routers:
            while not await self.is_ready(router):
                if time.monotonic() > until or not router.alive():
                    raise RuntimeError(f"{router.name} doesn't become ready: {router.tail('')}")
                await asyncio.sleep(0.1)

    @staticmethod
    async def is_ready(router):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(router.ip, PORTS["health"]), 1)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def heartbeats(self):
        while True:
            await asyncio.sleep(1.0)
            for engine in self.engines:
                if not engine.is_dead and engine.phase != "gone" and not self.store.is_silent():
                    engine.register()

    def store_endpoint(self):
        ip, port = self.store_address.rsplit(":", 1)
        return ip, int(port)

    # Faults from outside.

    async def inject(self, until):
        chooser = random.Random(self.chooser.random())
        kinds = [self.lifecycle.stop, self.lifecycle.kill, self.pause, self.hang_up, self.silence_store, self.slow_store,
                 self.change_configuration, self.change_configuration]
        while self.now() < until:
            is_of_lifecycle = chooser.random() < self.options.lifecycle
            fault = chooser.choice(self.lifecycle.faults if is_of_lifecycle else kinds)
            router = chooser.choice(self.routers)
            self.note(f"{fault.__name__} {router.name}")
            self.count(fault.__name__)
            task = self.spawn(fault(router, chooser))
            if chooser.random() < 0.5:  # Otherwise the next fault overlaps with this one.
                await task
            await asyncio.sleep(chooser.uniform(0.05, 0.6))

    async def pause(self, router, chooser):
        process = router.process
        if not process.alive() or process.is_paused:
            return
        process.is_paused = True
        process.send(signal.SIGSTOP)
        await asyncio.sleep(chooser.choice([0.1, 0.5, 1.5, 3.5]))
        process.send(signal.SIGCONT)
        process.is_paused = False

    async def hang_up(self, router, chooser):
        for _ in range(chooser.randrange(1, 4)):
            router.process.send(signal.SIGHUP)
            await asyncio.sleep(0.05)

    async def silence_store(self, _router, chooser):
        seconds = chooser.choice([0.5, 1.5, 3])
        self.store.silent_until = max(self.store.silent_until, time.monotonic() + seconds)
        if chooser.random() < 0.5:
            self.store_relay.reset_all()
        await asyncio.sleep(seconds)

    async def slow_store(self, _router, chooser):
        self.store.delay = chooser.uniform(0.1, 1.2)
        await asyncio.sleep(chooser.uniform(0.5, 2))
        self.store.delay = 0.0

    async def change_configuration(self, _router, chooser):
        if chooser.random() < 0.5:
            self.has_extra_route = not self.has_extra_route
        else:
            self.keys = KEYS[:1] if len(self.keys) == 2 else list(KEYS)
        self.put_configuration()

    async def inject_engine_faults(self, until):
        chooser = random.Random(self.chooser.random())
        while self.now() < until:
            engine = chooser.choice(self.engines)
            kind = chooser.choice(["die", "drain", "delete", "delay", "silent", "to_client_cut", "to_server_cut",
                                   "reset"])
            self.note(f"{kind} {engine.name}")
            self.count(f"engine {kind}")
            if kind in ("die", "drain", "delete"):
                self.spawn(self.replace_engine(engine, kind, chooser))
            elif kind == "reset":
                engine.relay.reset_all(chooser.uniform(0.2, 1))
            else:
                self.spawn(self.disturb(engine.relay, kind, chooser.uniform(0.3, 2.5)))
            await asyncio.sleep(chooser.uniform(0.1, 0.8))

    async def disturb(self, relay, mode, seconds):
        relay.set_mode(mode)
        await asyncio.sleep(seconds)
        relay.set_mode("")

    async def replace_engine(self, engine, kind, chooser):
        self.engines.remove(engine)
        port = int(engine.address.rsplit(":", 1)[1]) if chooser.random() < 0.5 else 0
        if kind == "die":
            await engine.die()
            await asyncio.sleep(chooser.uniform(0, 1))
            await self.add_engine(engine.service, port)
            await asyncio.sleep(chooser.uniform(0, 1.5))
            engine.unregister()
            return
        await self.add_engine(engine.service)
        if kind == "drain":
            engine.phase = "draining"
            engine.register()
        else:
            engine.unregister()
        await asyncio.sleep(BOUNDS["drainMs"] / 1000 + chooser.uniform(0, 1))
        engine.unregister()
        await engine.die()

    async def end_faults(self):
        self.store.silent_until = 0.0
        self.store.delay = 0.0
        for engine in self.engines:
            engine.relay.set_mode("")
        for router in self.routers:
            router.process.send(signal.SIGCONT)
        until = time.monotonic() + BOUNDS["graceS"] + 3
        while time.monotonic() < until and not self.are_settled():
            await asyncio.sleep(0.1)
        self.has_extra_route = True
        self.keys = list(KEYS)
        self.put_configuration()

    def are_settled(self):
        return (all(self.is_settled(router) for router in self.routers)
                and not any(process.router.is_removed for process in self.lifecycle.processes))

    @staticmethod
    def is_settled(router):
        return router.alive() and not router.process.is_stopping() and router.holds == 0 and not router.is_rewriting

    def report(self, print_counts):
        text = ", ".join(f"{name}: {number}" for name, number in sorted(self.counts.items()))
        print(f"seed {self.seed}: {len(self.history.requests)} requests, "
              f"{sum(map(len, self.history.runs.values()))} runs, {len(self.violations)} violations", flush=True)
        for line in self.lifecycle.summary():
            print("  " + line)
        if print_counts:
            print("  " + text)
        logs = {router.name: router for router in self.routers}
        shown, others = select_shown(self.violations)
        for violation in shown:
            print(f"VIOLATION {violation.rule} seed={self.seed} time={violation.at:.3f} request={violation.attempt} "
                  f"router={violation.router}: {violation.text}")
            if violation.router in logs:
                for line in logs[violation.router].tail(violation.attempt):
                    print("    " + line)
        # Violations that aren't shown must not pass as known ones.
        for rule, number in others.items():
            print(f"VIOLATION {rule} seed={self.seed}: {number} more")
        sys.stdout.flush()


def parse(arguments):
    parser = argparse.ArgumentParser(prog="scripts/soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--seeds", metavar="A-B", help="runs these seeds one after another")
    parser.add_argument("--seconds", type=float, default=10.0, help="how long faults are injected")
    parser.add_argument("--routers", type=int, default=5)
    parser.add_argument("--clients", type=int, default=40)
    parser.add_argument("--spoilt", type=float, default=0.35, metavar="PART", help="the part of spoilt answers")
    parser.add_argument("--lifecycle", type=float, default=0.5, metavar="PART",
                        help="the part of faults, and of starts that meet faults, of the processes' starts and ends")
    parser.add_argument("--by-variable", type=float, default=0.3, metavar="PART",
                        help="the part of starts that find their settings by JASMINESTACK_NODE_FILE alone")
    parser.add_argument("--keep-logs", metavar="DIR", help="keeps the logs of runs with violations here")
    parser.add_argument("--binary", default=str(ROOT / "build/release/jasminestack"))
    parser.add_argument("--counts", action="store_true", help="prints what was injected and answered")
    options = parser.parse_args(arguments)
    if not 1 <= options.routers <= MAX_ROUTERS:
        parser.error(f"--routers is from 1 to {MAX_ROUTERS}")
    if not os.access(options.binary, os.X_OK):
        parser.error(f"{options.binary} isn't built")
    if options.seeds:
        first, last = options.seeds.split("-")
        options.list = list(range(int(first), int(last) + 1))
    else:
        options.list = [options.seed if options.seed is not None else random.randrange(1 << 31)]
    return options


def main(arguments):
    options = parse(arguments)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # The routers are killed on the way out.
    failed, totals = [], collections.Counter()
    for slot, seed in enumerate(options.list):
        soak = Soak(seed, options, slot)
        try:
            try:
                asyncio.run(soak.run())
            except RuntimeError as problem:
                soak.violations.append(Violation("START", soak.now(), "", "", str(problem)))
            soak.report(options.counts)
            totals.update(f"{violation.rule} {violation.text}" if violation.rule.startswith("ENDED") else violation.rule
                          for violation in soak.violations)
            if soak.violations:
                failed.append(seed)
                if options.keep_logs:
                    shutil.copytree(soak.folder, pathlib.Path(options.keep_logs) / f"seed-{seed}", dirs_exist_ok=True)
        finally:
            shutil.rmtree(soak.folder, ignore_errors=True)
    print(f"soak: {len(options.list)} seeds, {len(failed)} with violations {failed or ''} {dict(totals) or ''}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
