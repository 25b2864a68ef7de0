"""Router processes from their start to their end: the faults around both, and the checks of ends that no one asked for.

Bounds are counted in ticks of the soak's own loop, so that a busy machine delays a verdict but doesn't change it.
"""

import asyncio
import random
import resource
import signal
import socket
import subprocess
import time
from concurrent.futures import ThreadPoolExecutor

from fleet import TOGETHER_S, Fleet
from history import Violation, check_end, is_early_stop
from limits import BYTES_PER_MB, check_usage, receive_queues, usage
from process import send_early, send_until_gone
from router import LIMITS
from starts import PORTS, Start, draw_start, occupy, odd_content
from world import abort

TICK_S = 0.05
USAGE_S = 0.3
USAGE_SAMPLE = 24  # Processes that are looked at each time; all of a small fleet.
RECOVER_S = 12.0  # bounds.recoverS of the deployments: a router serves again by then.
STOP_SLACK_S = 2.0
MAX_THREADS = 512  # More than signals are sent to at a time: none waits for a thread.


class Lifecycle:
    """Starts the routers, watches their processes and disturbs their starts and ends."""

    def __init__(self, soak, share, grace_s):
        self.soak = soak
        self.share = share
        self.grace_s = grace_s
        self.processes = []
        self.fleet = Fleet(soak, self)
        self.longest_cut_s = 0.0
        self.most_bytes = 0
        self.most_descriptors = 0
        self.faults = [*self.fleet.faults, self.stop, self.stop, self.kill, self.herd_kill, self.overlap, self.rewrite_settings,
                       self.rewrite_settings, self.start_without_store, self.send_odd_bytes, self.send_odd_bytes]

    @staticmethod
    def use_threads():
        asyncio.get_running_loop().set_default_executor(ThreadPoolExecutor(MAX_THREADS))

    @staticmethod
    def in_thread(function, *arguments):
        """Runs a function at once, without waiting for a turn of the loop."""
        return asyncio.get_running_loop().run_in_executor(None, function, *arguments)

    def add(self, process):
        self.processes.append(process)
        self.soak.spawn(self.await_ready(process))

    def draw(self, chooser):
        return draw_start(chooser, self.share, self.soak.options.by_variable)

    def report(self, rule, process, text):
        self.soak.violations.append(Violation(rule, self.soak.now(), "", process.router.name, text))

    # Checks.

    async def watch(self):
        while not self.soak.is_over:
            for process in list(self.processes):
                if process.alive():
                    self.check_bounds(process)
                else:
                    self.processes.remove(process)
                    self.judge_end(process)
            await asyncio.sleep(TICK_S)

    def judge_end(self, process):
        code = process.child.returncode
        if is_early_stop(code, process.signals, process.phases):
            self.soak.count(f"asked to stop before any code of the program ran: ended with {code}")
        if problem := check_end(code, process.signals, process.phases):
            rule, text = problem
            self.report(rule, process, text + ("" if process.is_ready else ", before it was ready"))
        self.soak.note(f"{process.router.name} ended with {code}; phases of signals: "
                       f"{ {signal.Signals(number).name: phase for number, phase in process.phases.items()} }")
        if process.router.process is process and not self.soak.is_over:
            self.soak.spawn(self.start_again(process.router))

    def judge_rest(self):
        """Judges the ends that the last turn of watch() has not seen, and kills what is left."""
        for process in self.processes:
            if process.alive():
                process.child.kill()
                process.child.wait()
            else:
                self.judge_end(process)

    async def watch_usage(self):
        while not self.soak.is_over:
            processes = random.sample(self.processes, min(USAGE_SAMPLE, len(self.processes)))
            for process, used in await self.in_thread(self.look_at, processes):
                self.most_bytes = max(self.most_bytes, used.resident + used.queued)
                self.most_descriptors = max(self.most_descriptors, used.descriptors)
                for rule, text in check_usage(used, LIMITS["memoryMb"], LIMITS["maxFds"]):
                    self.report(rule, process, text)
            await asyncio.sleep(USAGE_S)

    @staticmethod
    def look_at(processes):
        queues = receive_queues()
        return [(process, used) for process in processes if (used := usage(process, queues))]

    def summary(self):
        """Returns lines about what a reader of the verdicts has to know."""
        early = {name: number for name, number in sorted(self.soak.counts.items()) if name.startswith("asked to stop before")}
        return [f"stops in the phase exec: {early or 'none'}",
                f"settings cut off for {self.longest_cut_s:.3f} s at most; memory {self.most_bytes / BYTES_PER_MB:.1f} of "
                f"{LIMITS['memoryMb']} MB, descriptors {self.most_descriptors} of {LIMITS['maxFds']} at most"]

    def check_bounds(self, process):
        if process.is_stopping():
            process.stopping_s += 0 if process.is_paused else TICK_S
            if process.stopping_s > self.grace_s + STOP_SLACK_S:
                self.report("ENDED", process, f"still there {self.grace_s + STOP_SLACK_S:.0f} s after SIGTERM")
                process.send(signal.SIGKILL)
                process.child.wait()
        elif not process.is_ready:
            process.unready_s = 0.0 if self.is_hindered(process) else process.unready_s + TICK_S
            if process.unready_s > RECOVER_S:
                self.report("READY", process, f"not ready {RECOVER_S:.0f} s after its start and the last hindrance")
                process.is_ready = True

    def is_hindered(self, process):
        router = process.router
        return (self.soak.store.is_silent() or self.soak.store.delay > 0 or process.is_paused or router.holds > 0
                or router.is_rewriting or any(other.router is router for other in self.processes if other is not process))

    async def await_ready(self, process):
        while process.alive() and not process.is_ready and not process.is_stopping():
            is_alone = not any(other.router is process.router for other in self.processes if other is not process)
            process.is_ready = await self.soak.is_ready(process.router) and is_alone or process.is_ready
            await asyncio.sleep(0.2)

    def all_ready(self):
        return all(process.is_ready for process in self.processes)

    # Starts.

    async def start_again(self, router):
        process = router.process
        router.starts += 1
        chooser = random.Random(f"{self.soak.seed}/{router.name}/{router.starts}")
        start = self.draw(chooser)
        if router.starts_together:
            start.delay_s, router.starts_together = chooser.uniform(0, TOGETHER_S), False
        await asyncio.sleep(start.delay_s)
        if not self.soak.is_over and router.process is process and not router.is_removed:
            self.start(router, start if self.soak.faults_on else Start(0.0))

    def start(self, router, start):
        for how, port, seconds in start.held:
            self.hold(router, how, port, seconds)
        if not router.is_rewriting:
            self.write_settings(router, start.cut_part, start.cut_off_s)
        process = router.start(start.by_variable)
        if start.at_once:
            process.send(start.at_once)
        self.add(process)
        self.fleet.started()
        if start.file_limit_s > 0:
            self.soak.spawn(self.limit_log(process, start.file_limit_s))
        if start.signals:
            self.soak.count("starts met by signals")
            self.soak.note(f"signals {start.at_once or ''} {start.signals} at a start of {router.name}")
            self.in_thread(send_early, process, start.signals).add_done_callback(self.soak.check_task)

    def hold(self, router, how, port, seconds):
        holder = occupy(how, router.ip, port, self.soak.store_endpoint())
        self.soak.count(f"address held by a {how}" if holder else "address not held")
        if holder:
            self.soak.note(f"{how} holds {router.ip}:{port} for {seconds:.3f} s")
            router.holds += 1
            self.soak.spawn(self.release(router, holder, seconds))

    @staticmethod
    async def release(router, holder, seconds):
        try:
            await asyncio.sleep(seconds)
        finally:
            holder.close()
            router.holds -= 1

    def write_settings(self, router, part, seconds):
        """Writes the settings in place; for some time the file ends after a part of its contents."""
        text = router.settings()
        if seconds == 0:
            router.path.write_text(text)
            return
        self.soak.count("settings cut off")
        router.is_rewriting = True
        whole = router.path.with_suffix(".whole")
        whole.write_text(text)
        router.path.write_text(text[:int(len(text) * part)])
        # A process of its own completes the file, so that a busy loop of the soak doesn't hold it up.
        command = ["/bin/sh", "-c", 'sleep "$1"; cat "$2" >"$3"', "sh", f"{seconds:.3f}", str(whole), str(router.path)]
        self.soak.spawn(self.complete_settings(router, subprocess.Popen(command), router.path.stat().st_mtime_ns))

    async def complete_settings(self, router, writing, since_ns):
        try:
            await self.in_thread(writing.wait)
        finally:
            writing.wait()
            cut_s = (router.path.stat().st_mtime_ns - since_ns) / 1e9
            self.longest_cut_s = max(self.longest_cut_s, cut_s)
            router.is_rewriting = False

    async def limit_log(self, process, seconds):
        self.soak.count("log limited")
        limit = process.router.log.stat().st_size + 100
        self.set_file_limit(process, limit)
        await asyncio.sleep(seconds)
        self.set_file_limit(process, resource.RLIM_INFINITY)

    @staticmethod
    def set_file_limit(process, limit):
        try:
            resource.prlimit(process.child.pid, resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY))
        except ProcessLookupError:
            pass

    # Planned work.

    async def planned_work(self, until):
        """Stops routers one after the other, rewrites settings and sends SIGHUP, while nothing else is disturbed."""
        chooser = random.Random(f"{self.soak.seed}/planned")
        while self.soak.now() < until:
            router = chooser.choice(self.soak.routers)
            if chooser.random() < 0.4:
                self.soak.count("settings rewritten, planned")
                self.write_settings(router, 0.0, 0.0)
                router.process.send(signal.SIGHUP)
            elif chooser.random() < 0.2:
                self.fleet.announce()
            elif self.may_stop(router):
                self.soak.count("stopped, planned")
                self.soak.note(f"planned stop of {router.name}")
                router.process.send(signal.SIGTERM)
                if chooser.random() < 0.5:
                    self.soak.spawn(asyncio.to_thread(send_until_gone, router.process, [signal.SIGHUP], 0.01, self.grace_s + 3))
            await asyncio.sleep(chooser.uniform(0.02, 0.4))
        while not (self.all_ready() and all(self.soak.is_settled(router) for router in self.soak.routers)):
            await asyncio.sleep(TICK_S)

    def may_stop(self, router):
        ready = [process for process in self.processes if process.is_ready and not process.is_stopping()]
        return router.process in ready and 2 * (len(ready) - 1) >= len(self.soak.routers)

    # Faults.

    async def stop(self, router, chooser):
        process = router.process
        number = chooser.choice([signal.SIGTERM, signal.SIGTERM, signal.SIGINT])
        process.send(number)
        how = chooser.choice(["once", "twice", "until gone", "until gone"])
        self.soak.count(f"stopped {how}")
        if how == "twice":
            await asyncio.sleep(chooser.uniform(0, self.grace_s))
            process.send(number)
        elif how == "until gone":
            numbers = chooser.choice([[signal.SIGHUP], [signal.SIGTERM], [signal.SIGINT], [signal.SIGHUP, number]])
            await asyncio.to_thread(send_until_gone, process, numbers, chooser.choice([0.0002, 0.002]), self.grace_s + 3)

    async def kill(self, router, _chooser):
        router.process.send(signal.SIGKILL)

    async def herd_kill(self, _router, chooser):
        for router in chooser.sample(self.soak.routers, max(1, len(self.soak.routers) // 2)):
            router.process.send(signal.SIGKILL)

    async def overlap(self, router, chooser):
        """Starts the successor while the process is in its grace time."""
        process = router.process
        if not process.alive() or process.is_stopping():
            return
        process.send(signal.SIGTERM)
        await asyncio.sleep(chooser.choice([0, 0.05, 0.3]))
        if self.soak.faults_on and router.process is process and process.alive() and not router.is_removed:
            self.soak.count("started beside the predecessor")
            self.start(router, self.draw(chooser))

    async def rewrite_settings(self, router, chooser):
        if router.is_rewriting:
            return
        numbers = [chooser.choice([signal.SIGHUP] * 6 + [signal.SIGTERM, signal.SIGKILL]) for _ in range(4)]
        router.process.send(signal.SIGHUP)
        self.write_settings(router, chooser.random(), chooser.uniform(0.01, 0.3))
        for number in numbers:
            router.process.send(number)
            await asyncio.sleep(chooser.uniform(0, 0.15))
        router.process.send(signal.SIGHUP)

    async def start_without_store(self, _router, chooser):
        seconds = chooser.uniform(0.5, 3)
        self.soak.store.silent_until = max(self.soak.store.silent_until, time.monotonic() + seconds)
        if chooser.random() < 0.5:
            self.soak.store_relay.reset_all()
        await self.herd_kill(None, chooser)
        await asyncio.sleep(seconds)

    async def send_odd_bytes(self, router, chooser):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for _ in range(20):
                sender.sendto(odd_content(chooser), (router.ip, PORTS["peers"]))
        for port in PORTS.values():
            try:
                _, writer = await asyncio.wait_for(asyncio.open_connection(router.ip, port), 1)
                writer.write(odd_content(chooser))
                await asyncio.sleep(chooser.choice([0, 0.1]))
                abort(writer) if chooser.random() < 0.5 else writer.close()
            except (OSError, asyncio.TimeoutError):
                pass
