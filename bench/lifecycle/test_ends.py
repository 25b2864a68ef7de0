"""Checks with real processes that each end of a router or daemon leaves a log line that tells its cause."""

import contextlib
import json
import os
import pathlib
import resource
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BINARY = pathlib.Path(os.environ.get("JASMINESTACK_BINARY", ROOT / "build/release/jasminestack"))
START_S = 10.0
END_S = 10.0
CLOCK_TICK_MS = 10
LOG_LIMIT = 60  # Bytes, less than the line of the start.
ENVIRONMENT = {**os.environ, "JASMINESTACK_OPERATOR_TOKEN": "test-token-0123456789abcdef",
               "JASMINESTACK_FLEET_KEY": "test-key-0123456789abcdef0123456789abcdef"}


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def router_settings(ports, **router):
    callers, ready, metrics, peers, store = (f"127.0.0.1:{port}" for port in ports)
    return {"router": {"id": "r1", "availabilityZone": "a", "processorShare": 0.25, "maxDescriptors": 1024,
                       "memoryMb": 260, **router},
            "callers": {"address": callers}, "health": {"address": ready, "path": "/readyz", "metricsAddress": metrics},
            "peers": {"address": peers, "seeds": []}, "store": {"address": store, "contactMs": 3000},
            "shutdown": {"graceSeconds": 1}}


def daemon_settings(ports):
    callers, peers, log, admin, services = (f"127.0.0.1:{port}" for port in ports)
    return {"daemon": {"id": "d1", "availabilityZone": "a", "region": "r"}, "callers": {"address": callers},
            "admin": {"address": admin, "operatorTokenEnv": "JASMINESTACK_OPERATOR_TOKEN"},
            "peers": {"address": peers, "fleetKeyEnv": "JASMINESTACK_FLEET_KEY", "seeds": []}, "log": {"address": log},
            "hostList": {"address": services}, "weightStore": {"address": services},
            "shutdown": {"balancerGraceMs": 0, "drainMs": 1000}}


def fields_of(line):
    return dict(word.split("=", 1) for word in shlex.split(line))


class Process:
    """A router or daemon whose output goes to a file."""

    def __init__(self, folder, role, settings, **options):
        path = pathlib.Path(folder) / "settings.json"
        path.write_text(settings if isinstance(settings, str) else json.dumps(settings))
        self.log_path = pathlib.Path(folder) / "log"
        with open(self.log_path, "wb") as log:
            self.process = subprocess.Popen([BINARY, role, "--settings", path], stdin=subprocess.DEVNULL, stdout=log,
                                            stderr=subprocess.STDOUT, env=ENVIRONMENT, **options)

    def log(self):
        return self.log_path.read_text()

    def wait_until(self, condition):
        """Waits until the condition holds or the process has ended; returns whether it holds."""
        end = time.monotonic() + START_S
        while not condition() and self.process.poll() is None and time.monotonic() < end:
            time.sleep(0.01)
        return condition()

    def wait_for(self, text):
        """Waits until the log contains the text or the process has ended."""
        return self.wait_until(lambda: text in self.log())

    def cpu_seconds(self):
        fields = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def send(self, number):
        self.process.send_signal(number)

    def end(self):
        return self.process.wait(END_S)

    def last_line(self):
        lines = self.log().splitlines()
        return lines[-1] if lines else ""


class EndsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def start(self, role="router", settings=None, **options):
        if settings is None:
            settings = router_settings(free_ports(5)) if role == "router" else daemon_settings(free_ports(5))
        process = Process(self.folder, role, settings, **options)
        self.addCleanup(process.process.wait)
        self.addCleanup(process.process.kill)
        return process

    def started(self, role="router", **options):
        process = self.start(role, **options)
        self.assertTrue(process.wait_for("event=started "), process.log())
        return process

    # Guards against ends by a fatal signal that leave no line, or another exit status than the signal's.
    def test_fatal_signals(self):
        for role in ("router", "daemon"):
            for number in (signal.SIGSEGV, signal.SIGBUS, signal.SIGILL, signal.SIGFPE, signal.SIGABRT, signal.SIGQUIT,
                           signal.SIGXCPU, signal.SIGALRM):
                with self.subTest(role=role, signal=number.name):
                    process = self.started(role)
                    process.send(number)
                    self.assertEqual(process.end(), -number)
                    self.assertIn(f"level=error event=fatal_signal signal={number.name} sender={os.getpid()}",
                                  process.last_line())
                    self.assertIn("event_base_loop", process.last_line())
                    self.assertEqual(process.log().count("event=started "), 1)

    # Guards against a report of fatal signals that also takes the signals of a planned stop.
    def test_planned_stop(self):
        for role in ("router", "daemon"):
            for number in (signal.SIGTERM, signal.SIGINT):
                with self.subTest(role=role, signal=number.name):
                    process = self.started(role)
                    process.send(number)
                    self.assertEqual(process.end(), 0)
                    self.assertIn("level=info event=process_exit code=0 reason=stopped", process.last_line())
                    self.assertNotIn("event=fatal_signal", process.log())

    # Guards against a stop that is forced by a second signal and leaves no line about its exit code.
    def test_forced_stop(self):
        settings = daemon_settings(free_ports(5))
        settings["shutdown"]["balancerGraceMs"] = 30_000
        settings["shutdown"]["drainMs"] = 40_000
        process = self.start("daemon", settings)
        self.assertTrue(process.wait_for("event=started "))
        process.send(signal.SIGTERM)
        self.assertTrue(process.wait_for("event=shutdown_started "))
        process.send(signal.SIGTERM)
        self.assertEqual(process.end(), 1)
        self.assertIn("level=error event=process_exit code=1 reason=shutdown_forced", process.last_line())

    # Guards against a refused start whose exit code and reason are in no log line.
    def test_refused_starts(self):
        for role in ("router", "daemon"):
            with self.subTest(role=role, reason="invalid settings"):
                process = self.start(role, "{")
                self.assertEqual(process.end(), 3)
                self.assertIn("level=error event=process_exit code=3 reason=settings_invalid message=",
                              process.last_line())
            with self.subTest(role=role, reason="no settings"):
                process = self.start(role, preexec_fn=lambda: os.unlink(pathlib.Path(self.folder) / "settings.json"))
                self.assertEqual(process.end(), 1)
                self.assertIn("level=error event=process_exit code=1 reason=settings_unreadable", process.last_line())

    # Guards against a log whose file is at its size limit and takes the process with it (SIGXFSZ), and against lines
    # that stay lost when the file has room again.
    def test_log_file_at_its_size_limit(self):
        for role in ("router", "daemon"):
            with self.subTest(role=role):
                hard = resource.getrlimit(resource.RLIMIT_FSIZE)[1]
                limit = LOG_LIMIT
                process = self.start(role, preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_FSIZE, (limit, hard)))
                self.assertTrue(process.wait_until(lambda: len(process.log()) == limit), process.log())
                time.sleep(1.0)
                self.assertIsNone(process.process.poll())
                self.assertEqual(len(process.log()), limit)
                cpu_before = process.cpu_seconds()
                time.sleep(1.0)
                self.assertLess(process.cpu_seconds() - cpu_before, 0.2)
                resource.prlimit(process.process.pid, resource.RLIMIT_FSIZE, (hard, hard))
                process.send(signal.SIGTERM)
                self.assertEqual(process.end(), 0)
                lines = process.log().splitlines()
                self.assertTrue(all(line.startswith("time=") and " event=" in line for line in lines), lines)
                self.assertEqual(sum(" event=started " in line for line in lines), 1)
                self.assertIn("event=process_exit code=0", lines[-1])

    # Guards against signals without a meaning here that end the process.
    def test_ignored_signals(self):
        for role in ("router", "daemon"):
            for number in (signal.SIGUSR1, signal.SIGUSR2, signal.SIGXFSZ, signal.SIGPIPE):
                with self.subTest(role=role, signal=number.name):
                    process = self.started(role)
                    process.send(number)
                    time.sleep(0.1)
                    process.send(signal.SIGTERM)
                    self.assertEqual(process.end(), 0)
                    self.assertIn("event=process_exit code=0", process.last_line())

    # Guards against a start that ends before "started" without telling which process it was and how far it came.
    def test_steps_of_a_start(self):
        for role in ("router", "daemon"):
            with self.subTest(role=role):
                process = self.started(role)
                lines = process.log().splitlines()
                first = fields_of(lines[0])
                self.assertEqual(first["event"], "starting")
                self.assertEqual(int(first["pid"]), process.process.pid)
                self.assertEqual(first["settings"], str(pathlib.Path(self.folder) / "settings.json"))
                self.assertEqual(int(first["descriptor_limit"]), resource.getrlimit(resource.RLIMIT_NOFILE)[0])
                self.assertLess(int(first["since_exec_ms"]), 1000 * START_S)
                started = fields_of(next(line for line in lines if " event=started " in line))
                steps = sum(int(started[key]) for key in ("settings_ms", "construction_ms", "addresses_ms"))
                self.assertLessEqual(steps, int(started["since_exec_ms"]) + CLOCK_TICK_MS)
                self.assertLessEqual(int(first["since_exec_ms"]), int(started["since_exec_ms"]))

    # Guards against a start that waits for an address and leaves no line from which to tell this, or how it ended. The
    # exit when the address stays taken is checked by test_address_that_stays_taken_fails_the_start.
    def test_start_with_a_taken_address(self):
        ports = free_ports(5)
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", ports[0]))
            taken.listen()
            process = self.start(settings=router_settings(ports))
            self.assertTrue(process.wait_for("event=address_unavailable "), process.log())
            self.assertIsNone(process.process.poll())
            process.send(signal.SIGTERM)
            self.assertEqual(process.end(), 0)
        self.assertIn(" event=starting ", process.log().splitlines()[0])
        self.assertIn(f"127.0.0.1:{ports[0]}", process.log())
        self.assertNotIn(" event=started ", process.log())
        self.assertIn("event=process_exit code=0 reason=stopped", process.last_line())

    # Guards against a process that is killed for its memory and whose log says nothing of it.
    def test_high_memory(self):
        ports = free_ports(5)
        process = self.start(settings=router_settings(ports, memoryMb=8))
        self.assertTrue(process.wait_for("event=memory_high "), process.log())
        process.send(signal.SIGKILL)
        self.assertEqual(process.end(), -signal.SIGKILL)
        line = fields_of(process.last_line())
        self.assertEqual(line["event"], "memory_high")
        self.assertEqual(int(line["limit_bytes"]), 8_000_000)
        self.assertGreater(int(line["resident_bytes"]), 6_400_000)
        for key in ("request_bytes", "unread_response_bytes", "connections"):
            self.assertEqual(int(line[key]), 0)

    # Guards against descriptors that run out without a line.
    def test_high_descriptors(self):
        ports = free_ports(5)
        process = self.start(settings=router_settings(ports, maxDescriptors=256),
                             preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (200, 200)))
        self.assertTrue(process.wait_for("event=started "))
        with contextlib.ExitStack() as connections:
            for port, count in ((ports[0], 150), (ports[1], 10)):
                for _ in range(count):
                    connections.enter_context(socket.create_connection(("127.0.0.1", port)))
            self.assertTrue(process.wait_for("event=descriptors_high "), process.log())
        line = fields_of(next(line for line in process.log().splitlines() if " event=descriptors_high " in line))
        self.assertEqual(int(line["limit"]), 200)
        self.assertGreaterEqual(int(line["descriptors"]), 160)

    # Guards against metrics of the process that are missing or in another unit.
    def test_metrics(self):
        for role in ("router", "daemon"):
            with self.subTest(role=role):
                ports = free_ports(5)
                settings = router_settings(ports) if role == "router" else daemon_settings(ports)
                created_after = time.time() - CLOCK_TICK_MS / 1000
                process = self.start(role, settings)
                self.assertTrue(process.wait_for("event=started "))
                created_before = time.time() + CLOCK_TICK_MS / 1000
                time.sleep(1.5)
                port = ports[2] if role == "router" else ports[3]
                with urllib.request.urlopen(f"http://127.0.0.1:{port}/metrics", timeout=5) as answer:
                    lines = [line.split() for line in answer.read().decode().splitlines() if not line.startswith("#")]
                metrics = {words[0]: float(words[1]) for words in lines if len(words) == 2}
                resident = int(pathlib.Path(f"/proc/{process.process.pid}/statm").read_text().split()[1])
                self.assertAlmostEqual(metrics["process_resident_memory_bytes"] / (resident * resource.getpagesize()), 1,
                                       delta=0.2)
                open_fds = len(os.listdir(f"/proc/{process.process.pid}/fd"))
                self.assertAlmostEqual(metrics["process_open_fds"], open_fds, delta=3)
                self.assertEqual(metrics["process_max_fds"], resource.getrlimit(resource.RLIMIT_NOFILE)[0])
                self.assertGreaterEqual(metrics["process_start_time_seconds"], created_after)
                self.assertLessEqual(metrics["process_start_time_seconds"], created_before)
                self.assertLess(metrics["process_cpu_seconds_total"], 2)
                self.assertGreater(metrics["process_cpu_seconds_total"], 0)
                self.assertEqual(metrics["jasminestack_request_bytes"], 0)
                self.assertEqual(metrics["jasminestack_unread_response_bytes"], 0)
                self.assertEqual(metrics["jasminestack_open_caller_connections"], 0)
                if role == "router":
                    self.assertEqual(metrics["jasminestack_memory_limit_bytes"], 260e6)
                    self.assertEqual(metrics["jasminestack_descriptor_limit"], 1024)
                    self.assertEqual(metrics["jasminestack_request_limit_bytes"], 130e6)


if __name__ == "__main__":
    if not BINARY.exists():
        sys.exit(f"{BINARY} is missing: build it first")
    unittest.main()
