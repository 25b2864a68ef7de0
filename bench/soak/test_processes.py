"""Tests the soak's checks of processes: ends that no one asked for, bounds, memory, descriptors, and what a start meets."""

import asyncio
import collections
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import types
import unittest

from history import EXEC, LIBRARIES, MAIN, check_end
from lifecycle import RECOVER_S, STOP_SLACK_S, Lifecycle
from limits import FOR_FILES, Usage, check_usage, receive_queues, usage
from process import Process, libraries, send_early, send_until_gone
from starts import SERIES, SERIES_S, Start, draw_start, occupy

STOP, INTERRUPT, KILL, RELOAD = signal.SIGTERM, signal.SIGINT, signal.SIGKILL, signal.SIGHUP

# Programs in place of a router. Each but the first, which is linked against the C library alone, prints a line once it has got
# as far as the test needs.
SLEEP = ["/bin/sleep", "20"]
IDLE = "import time; print(flush=True); time.sleep(20)"
OPEN = "import socket, time; s = socket.socket(); print(flush=True); time.sleep(20)"
STUBBORN = ("import signal, time; signal.signal(signal.SIGTERM, signal.SIG_IGN); signal.signal(signal.SIGINT, signal.SIG_IGN); "
            "print(flush=True); time.sleep(20)")
BLOCKING = ("import signal, time; signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM}); "
            "print(flush=True); time.sleep(20)")
FORGETFUL = ("import signal, time; signal.signal(signal.SIGTERM, lambda *_: signal.signal(signal.SIGTERM, signal.SIG_DFL)); "
             "print(flush=True); [time.sleep(0.01) for _ in range(2000)]")


class EndTests(unittest.TestCase):
    # A process that crashed, or ended with an error or by a signal after a stop, passes as stopped.
    def test_ends_of_processes(self):
        for code, signals in ((0, {STOP}), (0, {INTERRUPT, RELOAD}), (-9, {STOP, KILL}), (-9, {KILL})):
            self.assertIsNone(check_end(code, signals, {}), (code, signals))
        for code, signals in ((0, set()), (-6, set()), (1, set()), (3, {RELOAD}), (-25, set()), (1, {STOP}), (-9, {STOP}),
                              (-11, {STOP, KILL}), (1, {KILL}), (0, {RELOAD}), (-1, {RELOAD}), (-15, {STOP}), (-2, {INTERRUPT}),
                              (-1, {STOP, RELOAD})):
            for phase in (None, LIBRARIES, MAIN):
                phases = {number: phase for number in signals if phase}
                self.assertEqual(check_end(code, signals, phases)[0], "ENDED", (code, signals, phase))

    # An end by a SIGHUP passes because it came early, or one in a later phase counts as one that no program can prevent.
    def test_hang_up_by_phase(self):
        for phase, rule in ((EXEC, "ENDED-EXEC"), (LIBRARIES, "ENDED"), (MAIN, "ENDED")):
            for signals in ({RELOAD}, {RELOAD, KILL}, {RELOAD, STOP}):
                found, text = check_end(-1, signals, {RELOAD: phase, STOP: EXEC, KILL: EXEC})
                self.assertEqual((found, text.endswith(phase)), (rule, True))
        self.assertEqual(check_end(3, {RELOAD}, {RELOAD: EXEC})[0], "ENDED")

    # A stop that met no code of the program counts as its fault, or excuses other ends or later stops.
    def test_stop_by_phase(self):
        self.assertIsNone(check_end(-15, {STOP}, {STOP: EXEC}))
        for code, signals, phases in ((-15, {STOP}, {STOP: LIBRARIES}), (-15, {STOP}, {STOP: MAIN}), (-15, {STOP}, {}),
                                      (-2, {STOP, INTERRUPT}, {STOP: EXEC, INTERRUPT: MAIN}), (-15, set(), {STOP: EXEC}),
                                      (1, {STOP}, {STOP: EXEC})):
            self.assertEqual(check_end(code, signals, phases)[0], "ENDED", (code, signals, phases))

    # The files of the dynamic loader itself count as libraries of the program, or a program's library as the loader's.
    def test_libraries(self):
        line = "7f0-7f1 r-xp 00000000 08:01 12 /{}\n"
        own = "".join(map(line.format, ("work/target/jasminestack", "usr/lib/ld-linux-x86-64.so.2", "usr/lib/libc.so.6", "etc/ld.so.cache")))
        self.assertEqual(libraries(own + "7f0-7f1 rw-p 00000000 00:00 0 [stack]\n7f0-7f1 rw-p 00000000 00:00 0\n"), set())
        for name in ("libjasminestack_program.so", "libstdc++.so.6.0.30", "libm.so.6"):
            self.assertEqual(libraries(own + line.format("lib/" + name)), {name})


class UsageTests(unittest.TestCase):
    # A process over its memory passes, also if only unread bytes in the kernel take it there, or one below counts.
    def test_memory(self):
        def rules(resident, queued):
            return [rule for rule, _ in check_usage(Usage(resident, queued, 10, 5), 260, 4100)]
        self.assertEqual(rules(260_000_000, 0), [])
        self.assertEqual(rules(200_000_000, 60_000_000), [])
        self.assertEqual(rules(260_000_001, 0), ["MEMORY"])
        self.assertEqual(rules(200_000_000, 60_000_001), ["MEMORY"])

    # More descriptors than the limit pass, or sockets that take those of files.
    def test_descriptors(self):
        def rules(descriptors, sockets):
            return [rule for rule, _ in check_usage(Usage(0, 0, descriptors, sockets), 260, 4100)]
        self.assertEqual(rules(4100, 4100 - FOR_FILES), [])
        self.assertEqual(rules(4101, 10), ["DESCRIPTORS"])
        self.assertEqual(rules(4000, 4101 - FOR_FILES), ["DESCRIPTORS"])

    # Bytes that wait in the kernel, sockets or pipes of a process aren't seen, or those of other sockets count.
    def test_usage_of_a_process(self):
        here = types.SimpleNamespace(proc=lambda name: pathlib.Path("/proc/self") / name, is_of_router=lambda: True)
        here.descriptors = lambda: Process.descriptors(here)
        with socket.create_server(("127.0.0.1", 0)) as server, socket.create_connection(server.getsockname()) as client:
            before = usage(here, receive_queues())
            accepted, _ = server.accept()
            with accepted, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
                datagrams.bind(("127.0.0.1", 0))
                client.sendall(b"x" * 5000)
                datagrams.sendto(b"x" * 3000, datagrams.getsockname())
                time.sleep(0.1)
                used = usage(here, receive_queues())
                self.assertGreaterEqual(used.queued - before.queued, 8000)
                self.assertEqual(used.sockets_and_pipes - before.sockets_and_pipes, 2)
                self.assertGreater(used.resident, 1_000_000)
                self.assertEqual(usage(here, {}).queued, 0)


    # The memory of another program, which got the id of an ended process, counts as the router's.
    def test_usage_of_another_program(self):
        child = subprocess.Popen(["/bin/sleep", "30"])
        self.addCleanup(lambda: (child.kill(), child.wait()))
        process = Process(types.SimpleNamespace(name="router-0"), child, "/nonexistent")
        self.assertIsNotNone(usage(process, {}))
        child.args = [sys.executable]
        self.assertIsNone(usage(process, {}))


class ProcessTests(unittest.TestCase):
    def setUp(self):
        self.counts = collections.Counter()
        self.tasks = []
        self.soak = types.SimpleNamespace(violations=[], now=lambda: 1.0, note=lambda _: None, counts=self.counts, seed=1,
                                          count=lambda what: self.counts.update([what]), is_over=False, routers=[],
                                          spawn=lambda task: (self.tasks.append(task), task.close()),
                                          store=types.SimpleNamespace(is_silent=lambda: False, delay=0))
        self.lifecycle = Lifecycle(self.soak, 1.0, 1)
        self.router = types.SimpleNamespace(name="router-0", holds=0, is_rewriting=False, is_removed=False, process=None)

    def process(self, program):
        command = program if isinstance(program, list) else [sys.executable, "-S", "-c", program]
        child = subprocess.Popen(command, stdout=subprocess.PIPE)
        self.addCleanup(lambda: (child.kill(), child.wait(), child.stdout.close()))
        time.sleep(0.2) if program == SLEEP else child.stdout.readline()
        return Process(self.router, child, "/nonexistent")

    def end_of(self, process):
        process.child.wait(10)
        self.lifecycle.judge_end(process)
        return [violation.rule for violation in self.soak.violations]

    # The phases can't be told apart from outside.
    def test_phases(self):
        for program, expected in ((SLEEP, EXEC), (IDLE, LIBRARIES), (OPEN, MAIN), (BLOCKING, MAIN),
                                  (BLOCKING.replace("{signal.SIGHUP, signal.SIGTERM}", "signal.valid_signals()"), LIBRARIES)):
            self.assertEqual(self.process(program).phase(RELOAD), expected, program)
        ended = self.process(SLEEP)
        os.kill(ended.child.pid, KILL)
        time.sleep(0.2)
        self.assertIsNone(ended.phase(RELOAD))

    # A signal is left out while the process can't handle it, or the end by it isn't counted with its phase.
    def test_no_signal_is_left_out(self):
        for number, program, expected in ((RELOAD, SLEEP, ["ENDED-EXEC"]), (RELOAD, IDLE, ["ENDED"]), (RELOAD, OPEN, ["ENDED"]),
                                          (STOP, SLEEP, []), (STOP, IDLE, ["ENDED"]), (STOP, OPEN, ["ENDED"])):
            self.soak.violations.clear()
            process = self.process(program)
            process.send(number)
            self.assertEqual(self.end_of(process), expected, (number, program))
            self.assertEqual(process.child.returncode, -number)
        self.assertEqual(self.counts, {"asked to stop before any code of the program ran: ended with -15": 1})
        process = self.process(BLOCKING)
        process.send(RELOAD)
        self.assertEqual((process.alive(), process.phases), (True, {RELOAD: MAIN}))

    # An early signal hides the phase of a later one, or the phase is lost once the process has handled the signal.
    def test_latest_phase(self):
        process = self.process(OPEN)
        process.phases[RELOAD] = EXEC
        process.send(RELOAD)
        self.assertEqual(self.end_of(process), ["ENDED"])
        process = self.process(FORGETFUL)
        send_until_gone(process, [STOP], 0.05, 10)
        self.assertEqual((process.child.returncode, process.phases), (-STOP, {STOP: MAIN}))
        self.assertEqual(self.end_of(process), ["ENDED"] * 2)

    # The signals of a series wait for each other's process to be ready, or stop at its end with an error.
    def test_early_signals(self):
        process = self.process(BLOCKING)
        send_early(process, [(0.0, RELOAD)] * 5 + [(None, RELOAD), (0.01, KILL), (0.02, RELOAD)])
        self.assertEqual(self.end_of(process), [])

    # A process that stays after its grace time, or never becomes ready, is waited for without an end.
    def test_bounds(self):
        def ticks(process, seconds):
            for _ in range(int(seconds / 0.05) + 1):
                if process.alive():
                    self.lifecycle.check_bounds(process)
            return [violation.rule for violation in self.soak.violations]
        process = self.process(STUBBORN)
        self.assertEqual(ticks(process, RECOVER_S - 1), [])
        self.router.holds = 1
        self.assertEqual(ticks(process, RECOVER_S + 1), [])
        self.router.holds = 0
        self.assertEqual(ticks(process, RECOVER_S - 1), [])
        self.assertEqual(ticks(process, 2), ["READY"])
        process.send(signal.SIGTERM)
        process.is_paused = True
        self.assertEqual(ticks(process, 9), ["READY"])
        process.is_paused = False
        self.assertEqual(ticks(process, 1 + STOP_SLACK_S - 0.5), ["READY"])
        self.assertTrue(process.alive())
        self.assertEqual(ticks(process, 1), ["READY", "ENDED"])

    # A start that fails on settings passes, for whatever reason, or an end is restarted once its router is taken away.
    def test_failed_start(self):
        process = self.router.process = self.process("import sys; print(flush=True); sys.exit(3)")
        self.lifecycle.longest_cut_s = 5.0
        self.assertEqual(self.end_of(process), ["ENDED"])
        self.assertEqual(len(self.tasks), 1)

    # An end between the last look at the processes and the end of the run isn't counted, or the soak's own kill is.
    def test_ends_at_the_end_of_a_run(self):
        failed, alive = self.process("import sys; print(flush=True); sys.exit(1)"), self.process(OPEN)
        failed.child.wait(10)
        self.soak.is_over = True
        self.lifecycle.processes = [failed, alive]
        self.lifecycle.judge_rest()
        self.assertEqual([violation.rule for violation in self.soak.violations], ["ENDED"])
        self.assertEqual((alive.child.returncode, self.tasks), (-9, []))

    # What a process uses is looked at, but no violation comes of it.
    def test_watch_of_usage(self):
        async def watch():
            self.soak.is_over = False
            self.lifecycle.processes = [types.SimpleNamespace(router=self.router)]
            for used in (Usage(100, 0, 10, 5), Usage(261_000_000, 0, 10, 5), Usage(100, 0, 4200, 5)):
                self.lifecycle.look_at = lambda processes, used=used: [(process, used) for process in processes]
                task = asyncio.create_task(self.lifecycle.watch_usage())
                await asyncio.sleep(0.1)
                task.cancel()
        asyncio.run(watch())
        self.assertEqual([violation.rule for violation in self.soak.violations], ["MEMORY", "DESCRIPTORS"])
        self.assertEqual((self.lifecycle.most_bytes, self.lifecycle.most_descriptors), (261_000_000, 4200))

    # A signal at once waits for other work of the soak, so that it never meets a process before its main function.
    def test_signal_at_once(self):
        done = []
        self.router.is_rewriting = True
        self.router.start = lambda by_variable: (done.append(by_variable), types.SimpleNamespace(send=done.append))[1]
        self.lifecycle.add = lambda process: done.append("watched")
        self.lifecycle.start(self.router, Start(0.0, at_once=RELOAD, by_variable=True))
        self.assertEqual(done, [True, RELOAD, "watched"])

    # Settings stay cut off while the soak's loop is busy, or aren't completed at all.
    def test_cut_off_settings(self):
        async def cut(folder):
            self.soak.spawn = lambda task: self.tasks.append(asyncio.create_task(task))
            self.router.path, self.router.settings = pathlib.Path(folder) / "r.json", lambda: "whole settings"
            self.lifecycle.write_settings(self.router, 0.5, 0.2)
            self.assertEqual((self.router.path.read_text(), self.router.is_rewriting), ("whole s", True))
            time.sleep(0.8)  # Nothing in the loop runs meanwhile.
            self.assertEqual(self.router.path.read_text(), "whole settings")
            await self.tasks[0]
            self.assertFalse(self.router.is_rewriting)
        with tempfile.TemporaryDirectory() as folder:
            asyncio.run(cut(folder))
        self.assertTrue(0.15 < self.lifecycle.longest_cut_s < 0.8, self.lifecycle.longest_cut_s)

    # An address that counts as held is free for a server that reuses addresses, as routers do, or stays held afterwards.
    def test_held_addresses(self):
        with socket.create_server(("127.0.0.1", 0)) as other:
            for how, kind in (("listener", socket.SOCK_STREAM), ("connection", socket.SOCK_STREAM),
                              ("datagrams", socket.SOCK_DGRAM)):
                with socket.socket(socket.AF_INET, kind) as probe:
                    probe.bind(("127.0.0.1", 0))
                    port = probe.getsockname()[1]
                with occupy(how, "127.0.0.1", port, other.getsockname()), socket.socket(socket.AF_INET, kind) as server:
                    server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, int(kind == socket.SOCK_STREAM))
                    with self.assertRaises(OSError, msg=how):
                        server.bind(("127.0.0.1", port))
                        server.listen()
                with socket.socket(socket.AF_INET, kind) as server:
                    server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, int(kind == socket.SOCK_STREAM))
                    server.bind(("127.0.0.1", port))

    # A seed draws other faults in another run, or never one of the kinds.
    def test_draws(self):
        starts = [draw_start(random.Random(number), 1.0) for number in range(300)]
        self.assertEqual(starts, [draw_start(random.Random(number), 1.0) for number in range(300)])
        self.assertEqual({how for start in starts for how, _, _ in start.held}, {"listener", "connection", "datagrams"})
        self.assertTrue(any(start.cut_off_s for start in starts) and any(start.file_limit_s for start in starts))
        self.assertGreater({number for start in starts for _, number in start.signals}, {signal.SIGHUP, signal.SIGTERM})
        self.assertTrue(any(seconds is None for start in starts for seconds, _ in start.signals))
        self.assertFalse(any(draw_start(random.Random(number), 0.0).signals for number in range(300)))

    # Starts in series of signals, or by the variable, are never drawn.
    def test_draws_of_series(self):
        starts = [draw_start(random.Random(number), 1.0, 0.3) for number in range(300)]
        series = [start for start in starts
                  if sum(number == RELOAD and (seconds or 0) <= SERIES_S for seconds, number in start.signals) >= SERIES]
        self.assertTrue(30 < len(series) < 200, len(series))
        self.assertEqual({start.at_once for start in starts}, {0, RELOAD, STOP})
        self.assertTrue(50 < sum(start.by_variable for start in starts) < 150)
        self.assertFalse(any(draw_start(random.Random(number), 1.0).by_variable for number in range(300)))


class FleetTests(unittest.TestCase):
    def setUp(self):
        self.signals, self.started, self.tasks = [], [], []
        self.soak = types.SimpleNamespace(seed=1, count=lambda _: None, routers=[], seeds=[], faults_on=True, note=lambda _: None,
                                          spawn=lambda task: (self.tasks.append(task), task.close()), is_over=False,
                                          options=types.SimpleNamespace(lifecycle=0.0, by_variable=0.0), folder=pathlib.Path("/"),
                                          network="127.1.1", store_address="127.1.1.250:1")
        self.lifecycle = Lifecycle(self.soak, 0.0, 1)
        self.fleet = self.lifecycle.fleet
        for _ in range(4):
            self.give_process(self.fleet.add_router())
        self.lifecycle.start = lambda router, start: (self.started.append(router.number), self.give_process(router))

    def give_process(self, router):
        router.path = types.SimpleNamespace(write_text=lambda text: self.signals.append((router.number, "settings")))
        router.process = types.SimpleNamespace(send=lambda number: self.signals.append((router.number, number)), router=router)
        self.lifecycle.processes.append(router.process)

    # A change of the hosts leaves a router out, or breaks settings that are cut off at the moment.
    def test_announcement(self):
        self.soak.routers[1].is_rewriting = True
        self.fleet.announce()
        self.assertEqual({number for number, what in self.signals if what == "settings"}, {0, 2, 3})
        self.assertEqual({number for number, what in self.signals if what == RELOAD}, {0, 1, 2, 3})
        self.assertEqual(len(self.soak.seeds), 3)

    # A restart of all leaves a router out, or its starts are spread over more than the time in which machines start.
    def test_restart_of_all(self):
        asyncio.run(self.fleet.restart_all(None, random.Random(1)))
        self.assertEqual({number for number, what in self.signals if what in (STOP, KILL)}, {0, 1, 2, 3})
        self.assertTrue(all(router.starts_together for router in self.soak.routers))
        self.fleet.started()
        self.assertEqual(len(self.tasks), 1)

    # Added routers stay, are started again after their removal, or their addresses are taken again while they still run.
    def test_scale_out(self):
        async def grow():
            task = asyncio.create_task(self.fleet.scale_out(None, random.Random(1)))
            await asyncio.sleep(0.1)
            self.assertEqual(self.started, [4])
            added = self.soak.routers[-1]
            self.soak.faults_on = False
            await asyncio.sleep(0.2)
            self.assertTrue(added.is_removed and added not in self.soak.routers)
            self.assertTrue({(4, STOP), (4, KILL)} & set(self.signals))
            self.assertEqual(self.fleet.free_numbers, [])
            self.lifecycle.processes.pop()
            await task
            self.assertEqual(self.fleet.free_numbers, [4])
        asyncio.run(grow())


if __name__ == "__main__":
    unittest.main()
