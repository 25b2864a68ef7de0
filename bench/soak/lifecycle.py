"""Router processes from their start to their end: the faults around both, and the checks of ends that no one asked for.

Bounds are counted in ticks of the soak's own loop, so that a busy machine delays a verdict but doesn't change it.
"""

import asyncio
import os
import pathlib
import random
import resource
import signal
import socket
import struct
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from history import STOP_SIGNALS, Violation, check_end
from world import abort

TICK_S = 0.05
RECOVER_S = 12.0  # bounds.recoverS of the deployments: a router serves again by then.
STOP_SLACK_S = 2.0
EARLY_S = 0.05
MAX_BLOCKED = 32  # The C library blocks all signals for moments, also before main, and unblocks them again.
SETTINGS_CODE = 3
MAX_CUT_S = 1.0  # Settings are cut off for 0.3 s, unless the machine holds up the soak; routers read them again for 2 s.
MAX_THREADS = 512  # More than signals are sent to at a time: none waits for a thread.
PORTS = {"callers": 20001, "health": 20002, "peers": 20003, "metrics": 20004}


class Process:
    """One process of a router."""

    def __init__(self, router, child, settings):
        self.router = router
        self.child = child
        self.settings = str(settings)
        self.started = time.monotonic()
        self.signals = set()
        self.excused = set()  # Exit codes after a signal that met the process before it could handle it.
        self.handled = set()
        self.skipped = 0
        self.has_begun = False
        self.is_paused = False
        self.is_ready = False
        self.stopping_s = 0.0
        self.unready_s = 0.0

    def alive(self):
        return self.child.poll() is None

    def is_stopping(self):
        return bool(self.signals & (STOP_SIGNALS | {signal.SIGKILL}))

    def has_descriptors(self):
        """Whether the process has opened more than the dynamic loader opens: its own code runs."""
        folder = f"/proc/{self.child.pid}/fd"
        for name in os.listdir(folder):
            try:
                target = os.readlink(f"{folder}/{name}")
            except FileNotFoundError:
                continue
            if target.startswith(("socket:", "anon_inode:")) or target == self.settings:
                return True
        return False

    def handles(self, number):
        """Whether the process blocks, catches or ignores the signal now."""
        lines = pathlib.Path(f"/proc/{self.child.pid}/status").read_text().splitlines()
        values = dict(line.split(":", 1) for line in lines if ":" in line)
        masks = [int(values[name], 16) for name in ("SigBlk", "SigCgt", "SigIgn")]
        if masks[0].bit_count() > MAX_BLOCKED:
            masks[0] = 0
        return values["State"].split()[0] in "ZX" or any(mask >> (number - 1) & 1 for mask in masks)

    def must_handle(self, number):
        """Whether the signal may not end the process unasked: it has been handled before, or the process's own code runs."""
        if number in self.handled:
            return True
        try:
            self.has_begun = self.has_begun or self.has_descriptors()
            if self.handles(number):
                self.handled.add(number)
        except (FileNotFoundError, ProcessLookupError, PermissionError):
            return True  # The process has ended; its code is judged.
        return self.has_begun or number in self.handled

    def send(self, number):
        """Sends a signal. A SIGHUP that the process can't handle yet is left out, a stop excuses the end by it; both count."""
        if not self.alive():
            return
        if number in STOP_SIGNALS or number == signal.SIGHUP:
            if self.must_handle(number):
                self.excused.discard(-number)
            elif number == signal.SIGHUP:
                self.skipped += 1
                return
            else:
                self.excused.add(-number)
        self.signals.add(number)
        self.child.send_signal(number)


def send_early(process, plan):
    """Sends signals at times after the start; with None for a time as soon as the process's own code runs."""
    for seconds, number in plan:
        if seconds is not None:
            time.sleep(max(0.0, process.started + seconds - time.monotonic()))
        else:
            until = time.monotonic() + 1
            while process.alive() and not process.must_handle(number) and time.monotonic() < until:
                pass
        process.send(number)


def send_until_gone(process, numbers, pause_s, limit_s):
    """Repeats signals until the process is gone or its time is over."""
    until = time.monotonic() + limit_s
    while process.alive() and time.monotonic() < until:
        for number in numbers:
            process.send(number)
        time.sleep(pause_s)


def append_later(path, text, seconds):
    time.sleep(seconds)
    with open(path, "a", encoding="utf-8") as file:
        file.write(text)
    return time.monotonic()


def occupy(how, ip, port, other):
    """Returns a socket that holds an address: of a listener, of a connection to the address `other`, or of datagrams."""
    kind = socket.SOCK_DGRAM if how == "datagrams" else socket.SOCK_STREAM
    holder = socket.socket(socket.AF_INET, kind)
    try:
        # Closed connections of the router may be waiting on the same port.
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, int(kind == socket.SOCK_STREAM))
        holder.bind((ip, port))
        if how == "listener":
            holder.listen(16)
        elif how == "connection":
            holder.setblocking(False)  # The accept queue of the other end may be full.
            holder.connect_ex(other)
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)  # Programs that connect don't set it.
            # The address is free at the close, not only a minute later (TIME_WAIT).
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        holder.close()
        return None
    return holder


@dataclass
class Start:
    """What a start meets; all of it is drawn from the seed, the router and the number of the start."""
    delay_s: float
    held: list = field(default_factory=list)  # (how, port, seconds)
    cut_off_s: float = 0.0
    cut_part: float = 0.0
    file_limit_s: float = 0.0  # How long the log may not grow (RLIMIT_FSIZE).
    signals: list = field(default_factory=list)  # (seconds or None, signal)


def draw_start(chooser, share):
    start = Start(chooser.uniform(0.1, 1.0))
    if chooser.random() >= share:
        return start
    if chooser.random() < 0.3:
        how = chooser.choice(["listener", "connection", "datagrams"])
        port = PORTS["peers"] if how == "datagrams" else chooser.choice(list(PORTS.values()))
        start.held.append((how, port, chooser.uniform(0.1, 2)))
    if chooser.random() < 0.2:
        start.cut_off_s, start.cut_part = chooser.uniform(0.01, 0.3), chooser.random()
    if chooser.random() < 0.15:
        start.file_limit_s = chooser.uniform(0.2, 2)
    if chooser.random() < 0.7:
        number = chooser.choice([signal.SIGHUP] * 4 + [signal.SIGTERM] * 2 + [signal.SIGINT, signal.SIGKILL])
        times = sorted(chooser.uniform(0, EARLY_S) for _ in range(chooser.choice([1, 1, 3])))
        start.signals = [(seconds, number) for seconds in times]
        if chooser.random() < 0.5:
            start.signals.insert(0, (None, chooser.choice([signal.SIGHUP, number])))
    return start


def odd_content(chooser):
    """Bytes that no router may end by: broken heads and chunks, and binary messages that announce more than they hold."""
    huge = struct.pack(">I", chooser.choice([0xffffffff, 0x7fffffff, 0x10000000, 0x100000]))
    return chooser.choice([
        chooser.randbytes(chooser.choice([1, 20, 1000, 50000])),
        b"GET / HTTP/1.1\r\nHost: soak.example\r\n" + b"a: " + b"b" * chooser.choice([100, 60000]),
        b"POST /fe/x HTTP/1.1\r\nHost: soak.example\r\nContent-Length: -1\r\n\r\n",
        b"POST /fe/x HTTP/1.1\r\nHost: soak.example\r\nContent-Length: 99999999999999999999\r\n\r\nx",
        b"POST /fe/x HTTP/1.1\r\nHost: soak.example\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nx\r\n",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", b"\r\n" * 500, b"\0SP\0\0\x30\0\0" + b"\xff" * 8 + chooser.randbytes(40),
        chooser.choice([b"\xdd", b"\xdf", b"\xc6", b"\xdb", b"\xc9"]) + huge + chooser.randbytes(9),
        b"\x96\x01" + bytes([chooser.randrange(9)]) + b"\xa1x\x01\x02" + chooser.choice([b"\xdd", b"\xdf"]) + huge,
        b"\x91" * chooser.choice([30, 60000])])


class Lifecycle:
    """Starts the routers, watches their processes and disturbs their starts and ends."""

    def __init__(self, soak, share, grace_s):
        self.soak = soak
        self.share = share
        self.grace_s = grace_s
        self.processes = []
        self.faults = [self.stop, self.stop, self.kill, self.herd_kill, self.overlap, self.rewrite_settings, self.rewrite_settings,
                       self.start_without_store, self.send_odd_bytes, self.send_odd_bytes]

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
        self.soak.counts["SIGHUP left out, not handled yet"] += process.skipped
        if code in process.excused:
            self.soak.count(f"excused end with {code}")
        if problem := check_end(code, process.signals, process.excused):
            self.report_end(process, problem + ("" if process.is_ready else ", before it was ready"))
        self.soak.note(f"{process.router.name} ended with {code}")
        if process.router.process is process:
            self.soak.spawn(self.start_again(process.router))

    def report_end(self, process, problem):
        router = process.router
        cut_off_s = (time.monotonic() if router.cut_until is None else router.cut_until) - router.cut_from
        if process.child.returncode == SETTINGS_CODE and cut_off_s > MAX_CUT_S:
            self.soak.count("excused end with 3, the soak itself completed the settings late")
        else:
            self.report("ENDED", process, problem)

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
        start = draw_start(chooser, self.share)
        await asyncio.sleep(start.delay_s)
        if not self.soak.is_over and router.process is process:
            self.start(router, start if self.soak.faults_on else Start(0.0))

    def start(self, router, start):
        for how, port, seconds in start.held:
            self.hold(router, how, port, seconds)
        if not router.is_rewriting:
            self.write_settings(router, start.cut_part, start.cut_off_s)
        process = router.start()
        self.add(process)
        if start.file_limit_s > 0:
            self.soak.spawn(self.limit_log(process, start.file_limit_s))
        if start.signals:
            self.soak.count("starts met by signals")
            self.soak.note(f"signals {start.signals} at a start of {router.name}")
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
        end = int(len(text) * part)
        router.path.write_text(text[:end])
        router.cut_from, router.cut_until = time.monotonic(), None
        self.soak.spawn(self.complete_settings(router, self.in_thread(append_later, router.path, text[end:], seconds)))

    @staticmethod
    async def complete_settings(router, writing):
        router.cut_until = await writing
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
        if self.soak.faults_on and router.process is process and process.alive():
            self.soak.count("started beside the predecessor")
            self.start(router, draw_start(chooser, self.share))

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
