"""Tests of how the router and the daemon start and stop, with real processes on loopback."""

import errno
import json
import os
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import unittest

import service
from service import LIFECYCLE_SIGNALS, Service, daemon_settings, loopback_ip, router_settings


class LifecycleTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.ip = loopback_ip()

    def settings(self, command):
        return router_settings(self.ip) if command == "router" else daemon_settings(self.ip, self.folder)


class SignalsDuringStartTest(LifecycleTest):
    """A FIFO in the place of the settings holds the process in its start: it waits for a writer."""

    def start_held(self, command):
        """Returns the process, and the descriptor to which its settings are written."""
        path = os.path.join(self.folder, "settings.json")
        os.mkfifo(path)
        started = Service(command, self.folder)
        self.addCleanup(started.__exit__)

        def open_for_writing():
            try:
                return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
            except OSError as error:
                if error.errno != errno.ENXIO:
                    raise
                return None

        return started, started.wait_for(open_for_writing, "reading of the settings")

    def release(self, command, started, writer):
        """Puts a file in the place of the FIFO, which a reload reads, and writes the settings to the FIFO."""
        text = json.dumps(self.settings(command))
        replacement = started.settings_path.with_suffix(".new")
        replacement.write_text(text)
        replacement.rename(started.settings_path)
        os.write(writer, text.encode())
        os.close(writer)

    def test_sighup_during_the_start_reloads_instead_of_ending_the_process(self):
        for command in ("router", "daemon"):
            with self.subTest(command):
                self.setUp()
                started, writer = self.start_held(command)
                started.send(signal.SIGHUP)
                self.release(command, started, writer)
                started.wait_for_event("started")
                started.wait_for_event("settings_reloaded")

    def test_stop_signal_during_the_start_ends_in_order(self):
        for command in ("router", "daemon"):
            for number in (signal.SIGTERM, signal.SIGINT):
                with self.subTest(command, signal=number):
                    self.setUp()
                    started, writer = self.start_held(command)
                    started.send(number)
                    self.release(command, started, writer)
                    self.assertEqual(started.exit_code(), 0, started.log())
                    self.assertIn("event=shutdown_started", started.log())
                    self.assertIn("event=shutdown_finished", started.log())

    def test_series_of_sighup_from_the_start_of_main_does_not_end_the_process(self):
        for command in ("router", "daemon"):
            with self.subTest(command):
                self.setUp()
                with Service(command, self.folder, self.settings(command)) as started:
                    started.wait_for(started.holds_lifecycle_signals, "blocked signals")

                    def send_and_look():
                        started.send(signal.SIGHUP)
                        return "event=started" in started.log()

                    started.wait_for(send_and_look, "event=started")


class LoaderTest(LifecycleTest):
    """The executable loads the program's libraries itself, so that signals are held by then."""

    # Guards against processes that end by a signal which arrives before main() while the dynamic loader maps libraries.
    def test_signals_while_libraries_are_loaded_do_not_end_the_process(self):
        for command in ("router", "daemon"):
            for number in LIFECYCLE_SIGNALS:
                with self.subTest(command, signal=number):
                    self.setUp()
                    with Service(command, self.folder, self.settings(command)) as started:
                        started.wait_for(started.has_mapped_libraries, "mapped libraries")
                        started.send(number)
                        if number == signal.SIGHUP:
                            started.wait_for_event("started")
                        else:
                            self.assertEqual(started.exit_code(), 0, started.log())

    # Guards against a start that fails without a reason where only the executable was copied.
    def test_executable_without_its_library_names_the_library(self):
        copy = os.path.join(self.folder, "jasminestack")
        shutil.copy(service.BINARY, copy)
        run = subprocess.run([copy, "--help"], capture_output=True, text=True)
        self.assertEqual(run.returncode, 1)
        self.assertIn("libjasminestack_program.so", run.stderr)

    # Guards against another library of the same name that is found first.
    def test_library_beside_the_executable_goes_before_the_library_path(self):
        shutil.copy("/bin/true", os.path.join(self.folder, "libjasminestack_program.so"))
        run = subprocess.run([service.BINARY, "--help"], capture_output=True, text=True,
                             env={**os.environ, "LD_LIBRARY_PATH": self.folder})
        self.assertEqual(run.returncode, 0, run.stderr)

    # Guards against a library that is looked up relative to the working directory.
    def test_program_is_found_from_any_working_directory(self):
        run = subprocess.run([service.BINARY, "--help"], capture_output=True, text=True, cwd=self.folder)
        self.assertEqual(run.returncode, 0, run.stderr)


class SignalsAfterStartTest(LifecycleTest):
    def test_signals_until_the_end_of_a_stop_leave_exit_code_0(self):
        # Each stop meets the end of the process at another moment.
        for number in LIFECYCLE_SIGNALS:
            for attempt in range(6):
                with self.subTest(signal=number, attempt=attempt):
                    self.setUp()
                    with Service("router", self.folder, self.settings("router")) as started:
                        started.wait_for_event("started")
                        started.send(signal.SIGTERM)
                        started.send_series_until_end(number)
                        self.assertEqual(started.exit_code(), 0, started.log())

    def test_signals_until_the_end_of_a_daemons_stop_do_not_end_it_by_a_signal(self):
        # A second SIGTERM or SIGINT forces the end of a daemon, with exit code 1.
        for number in LIFECYCLE_SIGNALS:
            allowed = (0,) if number == signal.SIGHUP else (0, 1)
            for attempt in range(6):
                with self.subTest(signal=number, attempt=attempt):
                    self.setUp()
                    with Service("daemon", self.folder, self.settings("daemon")) as started:
                        started.wait_for_event("started")
                        started.send(signal.SIGTERM)
                        started.send_series_until_end(number)
                        self.assertIn(started.exit_code(), allowed, started.log())

    def test_sighup_changes_the_log_level_of_a_running_daemon(self):
        settings = self.settings("daemon")
        with Service("daemon", self.folder, settings) as started:
            started.wait_for_event("started")
            settings["logging"] = {"level": "error"}
            started.settings_path.write_text(json.dumps(settings))
            started.send(signal.SIGHUP)
            # The line itself is of level info, so what follows tells: an invalid file is reported as an error.
            time.sleep(0.2)
            started.settings_path.write_text("{")
            started.send(signal.SIGHUP)
            started.wait_for_event("reload_failed")
            started.send(signal.SIGTERM)
            self.assertEqual(started.exit_code(), 0, started.log())
            self.assertNotIn("event=shutdown_started", started.log())


class SettingsFileTest(LifecycleTest):
    """Settings that are missing or not whole when the process reads them first."""

    CONTENTS = {"missing": None, "empty": "", "cut off": 0.5}

    def write(self, text, content):
        path = os.path.join(self.folder, "settings.json")
        if content is not None:
            with open(path, "w") as file:
                file.write(text[:int(len(text) * content)] if content else "")

    def start_with(self, command, content):
        self.write(json.dumps(self.settings(command)), content)
        started = Service(command, self.folder)
        self.addCleanup(started.__exit__)
        started.wait_for(lambda: "trying again" in started.log(), "second reading of the settings")
        return started

    def test_settings_that_are_being_written_do_not_end_the_start(self):
        for command in ("router", "daemon"):
            for name, content in self.CONTENTS.items():
                with self.subTest(command, content=name):
                    self.setUp()
                    started = self.start_with(command, content)
                    started.settings_path.write_text(json.dumps(self.settings(command)))
                    started.wait_for_event("started")
                    self.assertEqual(started.log().count("trying again"), 1)

    def test_settings_that_stay_unreadable_fail_with_their_exit_code(self):
        for command in ("router", "daemon"):
            for name, content in self.CONTENTS.items():
                with self.subTest(command, content=name):
                    self.setUp()
                    started = self.start_with(command, content)
                    self.assertEqual(started.exit_code(), 1 if content is None else 3, started.log())

    def test_sigterm_while_the_settings_are_awaited_ends_in_order(self):
        for command in ("router", "daemon"):
            with self.subTest(command):
                self.setUp()
                started = self.start_with(command, None)
                started.send(signal.SIGTERM)
                self.assertEqual(started.exit_code(), 0, started.log())

    def test_settings_with_a_wrong_value_fail_without_waiting(self):
        for command in ("router", "daemon"):
            with self.subTest(command):
                self.setUp()
                settings = self.settings(command)
                settings["callers"]["address"] = "callers:8080"
                with Service(command, self.folder, settings) as started:
                    self.assertEqual(started.exit_code(), 3, started.log())
                    self.assertIn("callers.address", started.log())
                    self.assertNotIn("trying again", started.log())


class SettingsLocationTest(LifecycleTest):
    # Guards against a router that doesn't start where the platform names the settings in the environment alone, as it
    # does for several routers on one host.
    def test_router_reads_the_file_that_the_platform_names_in_the_environment(self):
        with Service("router", self.folder, self.settings("router"), variable="JASMINESTACK_NODE_FILE") as started:
            started.wait_for_event("started")
            started.send(signal.SIGHUP)
            started.wait_for_event("settings_reloaded")
            started.send(signal.SIGTERM)
            self.assertEqual(started.exit_code(), 0, started.log())

    def test_flag_goes_before_the_environment(self):
        os.environ["JASMINESTACK_NODE_FILE"] = os.path.join(self.folder, "missing.json")
        self.addCleanup(os.environ.pop, "JASMINESTACK_NODE_FILE")
        with Service("router", self.folder, self.settings("router")) as started:
            started.wait_for_event("started")


class OddSettingsTest(LifecycleTest):
    """Settings that other programs write in another way, or that are stale."""

    def test_sound_values_in_an_unusual_form_do_not_end_the_start(self):
        changes = {
            "whole numbers with a decimal point": {"router": {"memoryMb": 260.0, "maxDescriptors": 4100.0},
                                                   "store": {"contactMs": 3000.0}},
            "fractions": {"router": {"memoryMb": 260.5}, "shutdown": {"graceSeconds": 0.5},
                          "retries": {"ratio": 2.0, "windowSeconds": 0.5}},
            "a seed with a host name": {"peers": {"seeds": [f"{self.ip}:8785", "host-a:8785"]}},
            "a short contact time": {"store": {"contactMs": 100}},
            "a host name beyond ASCII": {"router": {"id": "k\u0131l\u0131\u00e7 edge/1", "availabilityZone": "Kad\u0131k\u00f6y 2"}},
            "a long host name": {"router": {"id": "edge-" * 60}},
            "a very high limit": {"router": {"maxDescriptors": 1 << 40}},
        }
        for name, sections in changes.items():
            with self.subTest(name):
                self.setUp()
                settings = self.settings("router")
                for section, values in sections.items():
                    settings.setdefault(section, {}).update(values)
                with Service("router", self.folder, settings) as started:
                    started.wait_for_event("started")
                    adjusted = name.startswith("a ")
                    self.assertEqual("event=settings_adjusted" in started.log(), adjusted, started.log())
                    started.send(signal.SIGTERM)
                    self.assertEqual(started.exit_code(), 0, started.log())

    def test_template_without_optional_values_is_valid(self):
        # The platform renders a missing value as nothing.
        template = (service.ROOT / "deploy/settings.json.template").read_text()
        values = {"nodeName": "edge-1", "zone": "gebze", "ip": self.ip, "listen.frontend": f"{self.ip}:8783",
                  "listen.ready": f"{self.ip}:8780", "listen.controlPlane": f"{self.ip}:8785",
                  "platform.address": f"{self.ip}:8781"}
        text = re.sub(r"{{([#^])(\S+?)}}(.*?){{/\2}}",
                      lambda section: section[3] if (section[2] in values) == (section[1] == "#") else "", template)
        text = re.sub(r"{{(\S+?)}}", lambda placeholder: values.get(placeholder[1], ""), text)
        path = os.path.join(self.folder, "settings.json")
        with open(path, "w") as file:
            file.write(text)
        check = subprocess.run([service.BINARY, "check", path], capture_output=True, text=True)
        self.assertEqual(check.returncode, 0, check.stdout + check.stderr)
        self.assertIn("valid router settings", check.stdout)


class TakenAddressTest(LifecycleTest):
    """Addresses that another socket keeps, for as long as the test says."""

    def take(self, protocol, port):
        taken = socket.socket(socket.AF_INET, socket.SOCK_STREAM if protocol == "tcp" else socket.SOCK_DGRAM)
        self.addCleanup(taken.close)
        taken.bind((self.ip, port))
        if protocol == "tcp":
            taken.listen()
        return taken

    def assert_starts_after_release(self, command, taken, protocol, port):
        with Service(command, self.folder, self.settings(command)) as started:
            started.wait_for_event("address_unavailable")
            self.assertIn(f"protocol={protocol} address={self.ip}:{port}", started.log())
            self.assertIn(os.strerror(errno.EADDRINUSE), started.log())
            self.assertNotIn("event=started", started.log())
            taken.close()
            started.wait_for_event("address_bound")
            started.wait_for_event("started")
            started.send(signal.SIGTERM)
            self.assertEqual(started.exit_code(), 0, started.log())

    def test_address_that_is_taken_for_a_moment_does_not_end_a_routers_start(self):
        for name, (protocol, port) in service.ROUTER_ADDRESSES.items():
            with self.subTest(name):
                self.setUp()
                self.assert_starts_after_release("router", self.take(protocol, port), protocol, port)

    def test_address_that_is_taken_for_a_moment_does_not_end_a_daemons_start(self):
        for name, port in service.DAEMON_ADDRESSES.items():
            with self.subTest(name):
                self.setUp()
                self.assert_starts_after_release("daemon", self.take("tcp", port), "tcp", port)

    def test_port_that_a_connection_of_a_client_holds_does_not_end_the_start(self):
        with socket.create_server((self.ip, 0)) as server:
            client = socket.socket()
            client.bind((self.ip, 8783))
            client.connect(server.getsockname())
            # With a reset no TIME_WAIT keeps the port.
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.assert_starts_after_release("router", client, "tcp", 8783)

    def test_predecessor_in_its_grace_time_does_not_end_the_start(self):
        with Service("router", self.folder, self.settings("router")) as predecessor:
            predecessor.wait_for_event("started")
            with tempfile.TemporaryDirectory() as folder:
                with Service("router", folder, self.settings("router")) as successor:
                    successor.wait_for_event("address_unavailable")
                    predecessor.send(signal.SIGTERM)
                    self.assertEqual(predecessor.exit_code(), 0, predecessor.log())
                    successor.wait_for_event("started")

    def test_taken_address_of_the_metrics_does_not_hold_up_the_router(self):
        taken = self.take("tcp", service.METRICS_PORT)
        with Service("router", self.folder, self.settings("router")) as started:
            started.wait_for_event("started")
            self.assertIn(f"address={self.ip}:{service.METRICS_PORT} required=0", started.log())
            taken.close()
            started.wait_for_event("address_bound")
            with socket.create_connection((self.ip, service.METRICS_PORT), service.PATIENCE_S):
                pass

    def test_stop_signal_while_an_address_is_taken_ends_in_order(self):
        for command, port in (("router", 8783), ("daemon", 8080)):
            with self.subTest(command):
                self.setUp()
                self.take("tcp", port)
                with Service(command, self.folder, self.settings(command)) as started:
                    started.wait_for_event("address_unavailable")
                    started.send(signal.SIGHUP)
                    started.wait_for_event("settings_reloaded")
                    started.send(signal.SIGTERM)
                    self.assertEqual(started.exit_code(), 0, started.log())
                    self.assertIn("event=shutdown_finished", started.log())
                    self.assertNotIn("event=started", started.log())

    def test_address_that_stays_taken_fails_the_start(self):
        # Both at a time, since each waits for 90 s.
        started = {}
        for command, port in (("router", 8783), ("daemon", 8080)):
            self.setUp()
            self.take("tcp", port)
            started[command] = Service(command, self.folder, self.settings(command))
            self.addCleanup(started[command].__exit__)
        for command, process in started.items():
            with self.subTest(command):
                self.assertEqual(process.process.wait(90 + service.PATIENCE_S), 1)
                self.assertIn("event=start_failed", process.log())
                self.assertIn("event=process_exit code=1 reason=start_failed", process.log().splitlines()[-1])
                self.assertIn(os.strerror(errno.EADDRINUSE), process.log())
                # One line a second, of about 900 attempts.
                self.assertLessEqual(process.log().count("event=address_unavailable"), 91)


class ReloadTest(LifecycleTest):
    def rewrite(self, started, command, text=None):
        """Writes the settings with a changed time of the shutdown, or other text, in place."""
        settings = self.settings(command)
        settings["shutdown"][next(iter(settings["shutdown"]))] = 2
        started.settings_path.write_text(json.dumps(settings) if text is None else text)

    def test_settings_that_are_changed_while_an_address_is_taken_are_read(self):
        for command, port in (("router", 8783), ("daemon", 8080)):
            with self.subTest(command):
                self.setUp()
                holder = socket.create_server((self.ip, port))
                with Service(command, self.folder, self.settings(command)) as started:
                    started.wait_for_event("address_unavailable")
                    self.rewrite(started, command)
                    holder.close()
                    started.wait_for_event("started")
                    started.wait_for_event("settings_reloaded")

    def test_settings_that_are_cut_off_at_a_signal_are_read_when_they_are_whole(self):
        for command in ("router", "daemon"):
            with self.subTest(command):
                self.setUp()
                with Service(command, self.folder, self.settings(command)) as started:
                    started.wait_for_event("started")
                    self.rewrite(started, command, text="{")
                    started.send(signal.SIGHUP)
                    started.wait_for_event("reload_failed")
                    times = started.settings_path.stat()
                    self.rewrite(started, command)
                    # A file system with coarse times doesn't show the second change.
                    os.utime(started.settings_path, ns=(times.st_atime_ns, times.st_mtime_ns))
                    started.wait_for_event("settings_reloaded")

    def test_a_missing_file_is_reported_at_a_signal(self):
        for command in ("router", "daemon"):
            with self.subTest(command):
                self.setUp()
                with Service(command, self.folder, self.settings(command)) as started:
                    started.wait_for_event("started")
                    started.settings_path.unlink()
                    started.send(signal.SIGHUP)
                    started.wait_for_event("reload_failed")


class ClientCommandTest(LifecycleTest):
    def test_sigterm_ends_a_command_that_waits_for_a_response(self):
        # The command waits for a server that accepts connections and never answers.
        with socket.create_server((self.ip, 0)) as silent:
            address = f"{self.ip}:{silent.getsockname()[1]}"
            silent.settimeout(service.PATIENCE_S)
            command = subprocess.Popen([service.BINARY, "status", "--admin", address, "--timeout-ms", "60000"],
                                       stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
            connection, _ = silent.accept()
            with connection:
                command.send_signal(signal.SIGTERM)
                try:
                    self.assertEqual(command.wait(service.PATIENCE_S), -signal.SIGTERM)
                finally:
                    if command.poll() is None:
                        command.kill()
                        command.wait()


if __name__ == "__main__":
    unittest.main()
