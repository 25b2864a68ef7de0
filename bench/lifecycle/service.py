"""Router and daemon processes on loopback addresses of their own, for the tests of starts and stops."""

import json
import os
import pathlib
import random
import signal
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
BINARY = os.environ.get("LIFECYCLE_BINARY", str(ROOT / "build/release/jasminestack"))

# Upper bound for steps that take milliseconds on an idle machine.
PATIENCE_S = 30.0

# Signals that end a process by default and that a service handles.
LIFECYCLE_SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)

ROUTER_ADDRESSES = {
    "callers": ("tcp", 8783), "health": ("tcp", 8780), "peers": ("tcp", 8785), "peer messages": ("udp", 8785),
}
METRICS_PORT = 9464
DAEMON_ADDRESSES = {"callers": 8080, "admin": 8081, "peers": 8082}


def loopback_ip():
    return f"127.{random.randint(16, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"


def router_settings(ip):
    """The settings that the template of the deploy file gives, with a short grace time."""
    return {
        "router": {"id": "edge-1", "availabilityZone": "gebze", "maxDescriptors": 4100, "memoryMb": 260},
        "callers": {"address": f"{ip}:8783"},
        "health": {"address": f"{ip}:8780", "path": "/v1/readyz", "metricsAddress": f"{ip}:{METRICS_PORT}"},
        "peers": {"address": f"{ip}:8785", "seeds": [f"{ip}:8785"]},
        "store": {"address": f"{ip}:8781", "contactMs": 3000},
        "shutdown": {"graceSeconds": 1},
    }


def daemon_settings(ip, folder):
    key = pathlib.Path(folder) / "fleet-key"
    key.write_text("key\n")
    return {
        "daemon": {"id": "daemon-1", "region": "marmara", "availabilityZone": "gebze"},
        "callers": {"address": f"{ip}:8080"},
        "admin": {"address": f"{ip}:8081"},
        "peers": {"address": f"{ip}:8082", "fleetKeyFile": str(key)},
        "log": {"address": f"{ip}:9000"},
        "hostList": {"address": f"{ip}:9001"},
        "weightStore": {"address": f"{ip}:9002"},
        "shutdown": {"balancerGraceMs": 0, "drainMs": 0},
    }


class Service:
    """A process of the command "router" or "daemon"; its log lines go to a file.

    With a variable, the path of the settings is in the environment alone.
    """

    def __init__(self, command, folder, settings=None, variable=None):
        self.settings_path = pathlib.Path(folder) / "settings.json"
        self._log_path = pathlib.Path(folder) / "log"
        if settings is not None:
            self.settings_path.write_text(json.dumps(settings))
        with open(self._log_path, "wb") as log:
            arguments = [] if variable else ["--settings", str(self.settings_path)]
            environment = {**os.environ, variable: str(self.settings_path)} if variable else None
            self.process = subprocess.Popen([BINARY, command, *arguments], env=environment,
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def log(self):
        return self._log_path.read_text(errors="replace")

    def wait_for(self, condition, what):
        """Returns the first true value of the condition; fails if the process ends or the time runs out."""
        end = time.monotonic() + PATIENCE_S
        while time.monotonic() < end:
            found = condition()
            if found:
                return found
            if self.process.poll() is not None:
                found = condition()
                if found:
                    return found
                raise AssertionError(f"ended with {self.process.returncode} before {what}\n{self.log()}")
            time.sleep(0.001)
        raise AssertionError(f"no {what} within {PATIENCE_S:.0f} s\n{self.log()}")

    def wait_for_event(self, name):
        self.wait_for(lambda: f"event={name}" in self.log(), f"event={name}")

    def exit_code(self):
        try:
            return self.process.wait(PATIENCE_S)
        except subprocess.TimeoutExpired:
            raise AssertionError(f"no end within {PATIENCE_S:.0f} s\n{self.log()}") from None

    def send(self, signal_number):
        self.process.send_signal(signal_number)

    def send_series_until_end(self, signal_number, interval_s=0.0001):
        end = time.monotonic() + PATIENCE_S
        while self.process.poll() is None and time.monotonic() < end:
            self.send(signal_number)
            time.sleep(interval_s)

    def has_mapped_libraries(self):
        """Whether libraries other than the C library and the loader are mapped."""
        try:
            maps = pathlib.Path(f"/proc/{self.process.pid}/maps").read_text()
        except (FileNotFoundError, ProcessLookupError):
            return False
        names = {pathlib.PurePath(line.split()[5]).name for line in maps.splitlines() if ".so" in line}
        return any(not name.startswith(("libc.so", "ld-linux", "ld.so.cache")) for name in names)

    def holds_lifecycle_signals(self):
        """Whether each of the signals is blocked or has a handler, so that none ends the process."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except (FileNotFoundError, ProcessLookupError):
            return False
        masks = dict(line.split(":\t") for line in status.splitlines() if line.startswith(("SigBlk", "SigCgt")))
        held = int(masks["SigBlk"], 16) | int(masks["SigCgt"], 16)
        return all(held >> (number - 1) & 1 for number in LIFECYCLE_SIGNALS)
