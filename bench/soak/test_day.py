"""Tests the day's checks: each finds its fault in a process that isn't a router, and none in one that behaves."""

import signal
import socket
import subprocess
import sys
import tempfile
import time
import types
import unittest

import day
from day import Day, DayProcess
from history import EXEC, LIBRARIES, MAIN

SOCKET_OPEN = "import socket, time; s = socket.socket(); print('open', flush=True); time.sleep(30)"


class DayChecks(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        options = types.SimpleNamespace(binary="/bin/true", logs=self.folder.name, only="", seconds=1)
        self.day = Day(1, options, 1)
        self.host = self.day.hosts[0]
        self.host.log.write_text("level=info event=started\nlevel=fatal event=fatal_signal\n")

    def tearDown(self):
        for process in self.day.processes:
            process.child.kill()
            process.child.wait()
            process.child.stdout.close()
        self.folder.cleanup()

    def process(self, code):
        child = subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE)
        process = DayProcess(self.host, child, self.host.path)
        self.day.processes.append(process)
        return process

    def judged(self, process):
        process.child.wait()
        self.day.judge_end(process)
        return [finding["rule"] for finding in self.day.findings]

    def test_end_without_a_signal_is_found_with_its_last_line(self):
        self.assertEqual(["ENDED"], self.judged(self.process("raise SystemExit(3)")))
        self.assertIn("fatal_signal", self.day.findings[0]["last_line"])

    def test_end_with_0_without_a_signal_is_found(self):
        self.assertEqual(["ENDED"], self.judged(self.process("pass")))

    def test_code_after_sigterm_is_found(self):
        process = self.process("import signal, sys, time\nsignal.signal(signal.SIGTERM, lambda *_: sys.exit(1))\n" + SOCKET_OPEN)
        process.child.stdout.readline()
        process.send(signal.SIGTERM)
        self.assertEqual(["ENDED"], self.judged(process))

    def test_asked_ends_are_not_found(self):
        process = self.process("import signal, sys, time\nsignal.signal(signal.SIGTERM, lambda *_: sys.exit(0))\n" + SOCKET_OPEN)
        process.child.stdout.readline()
        process.send(signal.SIGTERM)
        self.assertEqual([], self.judged(process))
        process = self.process(SOCKET_OPEN)
        process.send(signal.SIGKILL)
        self.assertEqual([], self.judged(process))

    def test_sighup_that_ends_a_running_process_is_found(self):
        process = self.process(SOCKET_OPEN)
        process.child.stdout.readline()
        process.send(signal.SIGHUP)
        self.assertEqual(["ENDED"], self.judged(process))

    def test_sighup_is_counted_apart_only_before_any_code_of_the_program(self):
        for phase, rules, count in ((EXEC, [], 1), (LIBRARIES, ["ENDED"], 0), (MAIN, ["ENDED"], 0)):
            with self.subTest(phase):
                self.setUp()
                process = self.process("import time; time.sleep(30)")
                process.phases[signal.SIGHUP] = phase
                process.signals.add(signal.SIGHUP)
                process.child.send_signal(signal.SIGHUP)
                self.assertEqual(rules, self.judged(process))
                self.assertEqual(count, self.day.counts["ends by SIGHUP before any code of the program"])

    def test_start_without_readiness_is_found_after_the_last_hindrance(self):
        process = self.process(SOCKET_OPEN)
        process.unready_s = day.RECOVER_S - day.TICK_S / 2
        self.day.store.delay = 1.0
        self.day.check_start(process)
        self.assertEqual([], self.day.findings)
        self.day.store.delay = 0.0
        process.unready_s = day.RECOVER_S - day.TICK_S / 2
        self.day.check_start(process)
        self.assertEqual(["READY"], [finding["rule"] for finding in self.day.findings])

    def test_process_that_outlives_its_grace_time_is_found(self):
        process = self.process("import signal, time\nsignal.signal(signal.SIGTERM, signal.SIG_IGN)\n" + SOCKET_OPEN)
        process.child.stdout.readline()
        process.send(signal.SIGTERM)
        process.stopping_s = day.BOUNDS["graceS"] + day.STOP_SLACK_S
        self.day.check_stop(process)
        self.assertEqual(["ENDED"], [finding["rule"] for finding in self.day.findings])

    def test_memory_counts_bytes_that_wait_to_be_read(self):
        reader = "import socket, time\ns = socket.create_server(('127.0.0.1', 0))\nprint(s.getsockname()[1], flush=True)\nc, _ = s.accept()\n"
        process = self.process(reader + "time.sleep(30)")
        with socket.create_connection(("127.0.0.1", int(process.child.stdout.readline()))) as sender:
            resident, _ = day.memory_of(process.child.pid)
            self.day.memory_kb = resident + 20
            self.day.sample()
            self.assertEqual([], self.day.findings)
            sender.sendall(b"x" * 40_000)
            time.sleep(0.2)
            self.day.sample()
        self.assertEqual(40_000 // 1024, self.day.peak["rx"])
        self.assertEqual(["MEMORY"], [finding["rule"] for finding in self.day.findings])

    def test_descriptors_that_leave_none_for_files_are_found(self):
        count = int(day.LIMITS["maxFds"]) - 190
        process = self.process(f"import os, resource, time\nresource.setrlimit(resource.RLIMIT_NOFILE, ({count + 100},) * 2)\n"
                               f"d = [os.dup(0) for _ in range({count})]\nprint('open', flush=True)\ntime.sleep(30)")
        process.child.stdout.readline()
        self.day.sample()
        self.assertEqual(["DESCRIPTORS"], [finding["rule"] for finding in self.day.findings])

    def test_settings_are_complete(self):
        self.day.store_address = ("127.0.0.1", 1)
        self.host.is_kept = True
        self.host.write_settings()
        self.assertNotIn("{{", self.host.path.read_text())
        self.assertIn(f'"seeds": ["{self.host.ip}:20003"]', self.host.path.read_text())

if __name__ == "__main__":
    unittest.main()
