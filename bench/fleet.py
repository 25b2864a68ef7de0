"""Starts and stops stand-ins, daemons and load generators as processes on loopback."""

import hashlib
import http.client
import json
import os
import pathlib
import signal
import subprocess
import time
import uuid

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build" / "release"
OUTPUT = ROOT / "build" / "bench"
PORT_BASE = int(os.environ.get("JASMINESTACK_PORT_BASE", "24000"))
OPERATOR_TOKEN = "bench-operator-token"
FLEET_KEY = "bench-fleet-key-0123456789abcdef0123456789abcdef"
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class NotRunnable(Exception):
    """A precondition of the benchmark is missing, for example a metric that the daemon does not have."""


def http_json(address, method, path, body=None, headers=None, timeout=5.0):
    """Returns (status, parsed body or text); status 0 and the error text if there was no response."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        text = None if body is None else json.dumps(body)
        connection.request(method, path, body=text, headers=headers or {})
        response = connection.getresponse()
        data = response.read().decode("utf-8", "replace")
        try:
            return response.status, json.loads(data)
        except ValueError:
            return response.status, data
    except (OSError, http.client.HTTPException) as problem:
        return 0, str(problem)
    finally:
        connection.close()


def monotonic_ms():
    return time.clock_gettime(time.CLOCK_MONOTONIC) * 1000.0


def key_of(workspace):
    return "key-" + workspace


class Process:
    """A child process whose output goes to a file."""

    def __init__(self, arguments, log, environment=None):
        self.log = log
        with open(log, "ab") as output:
            self.child = subprocess.Popen(arguments, stdout=output, stderr=output, stdin=subprocess.DEVNULL,
                env={**os.environ, **(environment or {})})

    @property
    def pid(self):
        return self.child.pid

    def alive(self):
        return self.child.poll() is None

    def signal(self, number):
        if self.alive():
            self.child.send_signal(number)

    def stop(self, timeout_s=10.0):
        """Terminates the process, kills it after the timeout, and returns its exit code."""
        if self.alive():
            self.child.send_signal(signal.SIGCONT)
            self.child.terminate()
            try:
                self.child.wait(timeout_s)
            except subprocess.TimeoutExpired:
                self.child.kill()
        return self.child.wait()

    def kill(self):
        if self.alive():
            self.child.kill()
        self.child.wait()

    def cpu_seconds(self):
        fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def resident_mb(self):
        for line in pathlib.Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024.0
        return 0.0


# Profiles of the two deployments: Kilic has three zones around Gebze, AFTAN three in Lagos.
PROFILES = {
    "kilic": {"region": "marmara", "zones": ["gebze", "dudullu", "bursa-nilufer"], "model": "workshop",
        "service": "/booking/", "decode": 10.0},
    "aftan": {"region": "lagos", "zones": ["ikeja", "lekki", "apapa"], "model": "assistant",
        "service": "/booking/", "decode": 8.0},
}


def default_shares():
    """Returns the shares of 16 workspaces, three of them large."""
    shares = {"ws-00": 8.0, "ws-01": 6.0, "ws-02": 4.0}
    shares.update({f"ws-{i:02d}": (2.0 if i < 8 else 1.0) for i in range(3, 16)})
    return shares


class Fleet:
    """Stand-ins and daemons of one deployment."""

    def __init__(self, name, daemons=8, engines=20, slots=8, desks=3, shares=None, profile="kilic", engine=None,
                 policy="fair", log=None, settings=None, limits=None, host_list_lag_ms=3000.0, cells=None):
        self.profile = PROFILES[profile]
        self.folder = OUTPUT / "runs" / name
        self.folder.mkdir(parents=True, exist_ok=True)
        for old in self.folder.iterdir():
            old.unlink()
        self.shares = shares or default_shares()
        self.slots = slots
        self.policy = policy
        self.settings = settings or {}
        self.limits = limits or {}
        self.daemon_count = daemons
        self.control_address = self.address(0)
        self.log_address = self.address(1)
        self.engines = {f"engine-{i:02d}": self.address(100 + i) for i in range(engines)}
        self.desks = {f"desk-{i}": self.address(180 + i) for i in range(desks)}
        self.caller_addresses = [self.address(300 + i) for i in range(daemons)]
        self.admins = [self.address(400 + i) for i in range(daemons)]
        self.peers = [self.address(500 + i) for i in range(daemons)]
        self.engine_options = {"slots": slots, "decodeMsPerToken": self.profile["decode"],
            "models": [self.profile["model"]], **(engine or {})}
        self.log_options = log or {}
        self.host_list_lag_ms = host_list_lag_ms
        self.processes = []
        self.daemons = [None] * daemons
        self.standins = None
        self.version = 0

    @staticmethod
    def address(offset):
        return f"127.0.0.1:{PORT_BASE + offset}"

    def zone(self, index):
        zones = self.profile["zones"]
        return zones[index % len(zones)]

    # Leaving the context stops every process that was started, also after an error.
    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()

    def start(self, publish=True):
        try:
            self.start_standins()
            self.start_daemons()
            if publish:
                self.publish_initial()
                self.wait_ready()
        except BaseException:
            self.stop()
            raise
        return self

    def hosts(self):
        region = self.profile["region"]
        daemons = [{"id": f"daemon-{i}", "kind": "daemon", "address": peer, "availabilityZone": self.zone(i),
            "region": region, "state": "live"} for i, peer in enumerate(self.peers)]
        endpoints = [{"id": name, "kind": "endpoint", "address": address, "availabilityZone": self.zone(i),
            "region": region, "state": "live"}
            for i, (name, address) in enumerate({**self.engines, **self.desks}.items())]
        return daemons + endpoints

    def start_standins(self):
        standins = [{"kind": "engine", "name": name, "address": address, **self.engine_options}
            for name, address in self.engines.items()]
        standins += [{"kind": "service", "name": name, "address": address, "slots": 16}
            for name, address in self.desks.items()]
        standins += [{"kind": "log", "name": "log", "address": self.log_address, **self.log_options},
            {"kind": "hostList", "name": "hosts", "address": self.address(2), "lagMs": self.host_list_lag_ms,
                "hosts": self.hosts()},
            {"kind": "weightStore", "name": "weights", "address": self.address(3)}]
        path = self.folder / "standins.json"
        path.write_text(json.dumps({"control": self.control_address, "standins": standins}, indent=1))
        self.standins = Process([str(BUILD / "jasminestack-standins"), "--config", str(path)],
            self.folder / "standins.log")
        self.processes.append(self.standins)
        self.wait_for(lambda: http_json(self.control_address, "GET", "/time", timeout=1)[0] == 200, 10,
            "the stand-ins do not respond: " + str(self.standins.log))

    def daemon_settings(self, index):
        seeds = [peer for i, peer in enumerate(self.peers) if i != index][:3]
        settings = {
            "daemon": {"id": f"daemon-{index}", "region": self.profile["region"],
                "availabilityZone": self.zone(index)},
            "callers": {"address": self.caller_addresses[index]},
            "admin": {"address": self.admins[index], "operatorTokenEnv": "JASMINESTACK_OPERATOR_TOKEN"},
            "peers": {"address": self.peers[index], "fleetKeyEnv": "JASMINESTACK_FLEET_KEY", "seeds": seeds},
            "log": {"address": self.log_address},
            "hostList": {"address": self.address(2)},
            "weightStore": {"address": self.address(3)},
            "logging": {"level": "info"},
            "scheduling": {"policy": self.policy},
            "shutdown": {"balancerGraceMs": 500, "drainMs": 60000},
        }
        for section, values in self.settings.items():
            settings[section] = {**settings.get(section, {}), **values}
        return settings

    def start_daemon(self, index):
        path = self.folder / f"daemon-{index}.json"
        path.write_text(json.dumps(self.daemon_settings(index), indent=1))
        process = Process([str(BUILD / "jasminestack"), "daemon", "--settings", str(path)],
            self.folder / f"daemon-{index}.log",
            {"JASMINESTACK_OPERATOR_TOKEN": OPERATOR_TOKEN, "JASMINESTACK_FLEET_KEY": FLEET_KEY})
        self.processes.append(process)
        self.daemons[index] = process
        return process

    def start_daemons(self):
        for index in range(self.daemon_count):
            self.start_daemon(index)
        for index in range(self.daemon_count):
            self.wait_for(lambda i=index: self.healthy(i), 10,
                f"daemon-{index} does not respond to /healthz; see {self.daemons[index].log}")

    def healthy(self, index):
        if not self.daemons[index].alive():
            raise NotRunnable(f"daemon-{index} ended with code {self.daemons[index].child.returncode}; "
                f"see {self.daemons[index].log}")
        return http_json(self.admins[index], "GET", "/healthz", timeout=1)[0] == 200

    def ready(self, index):
        return http_json(self.admins[index], "GET", "/readyz", timeout=1)[0] == 200

    @staticmethod
    def wait_for(condition, seconds, message):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.05)
        raise NotRunnable(message)

    def document(self):
        region = self.profile["region"]

        def endpoints(group, slots):
            return {name: {"address": address, "availabilityZone": self.zone(i), "region": region, "slots": slots}
                for i, (name, address) in enumerate(group.items())}

        document = {
            "workspaces": {name: {"share": share,
                "keys": ["sha256:" + hashlib.sha256(key_of(name).encode()).hexdigest()],
                "queueRequests": 10000} for name, share in self.shares.items()},
            "pools": {"models": {"kind": "model", "models": [self.profile["model"]],
                "endpoints": endpoints(self.engines, self.slots)}},
            "limits": self.limits,
        }
        if self.desks:
            document["pools"]["desks"] = {"kind": "service", "endpoints": endpoints(self.desks, 16)}
            document["routes"] = {"booking": {"prefix": self.profile["service"], "pool": "desks"}}
        return document

    def publish(self, patch, base=None, via=0, timeout=10.0, change=None):
        """Publishes through a daemon's admin port; returns (status, response)."""
        body = {"base": self.version if base is None else base, "patch": patch, "id": change or str(uuid.uuid4())}
        return http_json(self.admins[via], "POST", "/admin/config/publish", body,
            {"Authorization": "Bearer " + OPERATOR_TOKEN, "Content-Type": "application/json"}, timeout)

    def publish_initial(self):
        status, response = self.publish(self.document(), base=0)
        if status != 200:
            raise NotRunnable(f"POST /admin/config/publish answered {status}: {response}")
        self.version = 1

    def wait_ready(self):
        for index in range(self.daemon_count):
            self.wait_for(lambda i=index: self.ready(i), 15, f"daemon-{index} is not ready 15 s after the publication")
        time.sleep(2.0)  # Time for membership and the first allocations.

    def control_standin(self, standin, **change):
        status, response = http_json(self.control_address, "POST", "/control", {"standin": standin, **change})
        if status != 200:
            raise RuntimeError(f"control of {standin}: {status} {response}")
        return response["monotonicMs"]

    def journal(self):
        status, response = http_json(self.control_address, "GET", "/journal", timeout=30)
        if status != 200:
            raise RuntimeError(f"journal: {status} {response}")
        return response["runs"]

    def standin_states(self):
        return http_json(self.control_address, "GET", "/state")[1]

    def metrics(self, index):
        """Returns {(name, label text): value} of one daemon."""
        status, text = http_json(self.admins[index], "GET", "/metrics")
        values = {}
        if status != 200 or not isinstance(text, str):
            return values
        for line in text.splitlines():
            if line.startswith("#") or " " not in line:
                continue
            name, value = line.rsplit(" ", 1)
            family, _, labels = name.partition("{")
            values[(family, labels.rstrip("}"))] = float(value)
        return values

    def metric_sum(self, index, family, *labels):
        """Returns the sum of the family's values whose labels contain all the given texts."""
        return sum(value for (name, text), value in self.metrics(index).items()
            if name == family and all(label in text for label in labels))

    def admin_status(self, index):
        return http_json(self.admins[index], "GET", "/admin/status",
            headers={"Authorization": "Bearer " + OPERATOR_TOKEN})

    def start_load(self, scenario, name="load"):
        path = self.folder / f"{name}.json"
        result = self.folder / f"{name}.result.json"
        path.write_text(json.dumps(scenario, indent=1))
        process = Process([str(BUILD / "jasminestack-load"), "--scenario", str(path), "--result", str(result)],
            self.folder / f"{name}.log")
        process.result = result
        process.limit = scenario["seconds"] + scenario.get("drainSeconds", 0) + 30
        self.processes.append(process)
        return process

    @staticmethod
    def finish_load(process):
        process.child.wait(process.limit)
        if process.child.returncode != 0:
            raise RuntimeError(f"the load generator failed: {process.log}")
        return json.loads(process.result.read_text())

    def run_load(self, scenario, name="load"):
        return self.finish_load(self.start_load(scenario, name))

    def stop(self):
        for process in reversed(self.processes):
            process.signal(signal.SIGCONT)
        for process in reversed(self.processes):
            if process is not self.standins and process.alive():
                process.child.terminate()
        end = time.monotonic() + 5
        for process in reversed(self.processes):
            while process is not self.standins and process.alive() and time.monotonic() < end:
                time.sleep(0.02)
            if process.alive() and process is not self.standins:
                process.kill()
        if self.standins:
            self.standins.stop(3)
        self.processes = []
