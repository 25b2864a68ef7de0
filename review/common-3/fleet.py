"""Starts the router and the stand-ins as processes on loopback addresses, and ends what it started."""
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

HERE = os.path.dirname(os.path.abspath(__file__))
REPOSITORY = os.path.dirname(os.path.dirname(HERE))
ROUTER = os.path.join(REPOSITORY, "target", "jasminestack")

BOUNDS = {"contactMs": 3000, "retryRatio": 0.2, "retrySlack": 54, "retryWindowS": 10, "graceS": 8}


class CannotRun(Exception):
    pass


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def keyed_record(key, value):
    content = bytes([len(key)]) + key.encode() + value
    return len(content).to_bytes(4, "big") + content


class Fleet:
    def __init__(self):
        self.processes = []
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        self.store = f"127.0.0.1:{free_port('127.0.0.1')}"
        self.routers = []

    def __enter__(self):
        if not os.access(ROUTER, os.X_OK):
            raise CannotRun(f"{ROUTER} is missing: run the build of the deploy file first")
        return self

    def __exit__(self, *_):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def start(self, command, log, environment=None):
        output = open(os.path.join(self.folder, log), "ab")
        process = subprocess.Popen(command, cwd=REPOSITORY, stdout=output, stderr=output, stdin=subprocess.DEVNULL,
                                   env={**os.environ, **(environment or {})})
        self.processes.append(process)
        return process

    def start_store(self):
        self.start([sys.executable, os.path.join(HERE, "standins.py"), "store", self.store], "store.log")
        self.wait_until(lambda: self.accepts(self.store), "the store does not listen")

    def publish(self, configuration):
        body = keyed_record("config", json.dumps(configuration).encode())
        host, port = self.store.rsplit(":", 1)
        with socket.create_connection((host, int(port)), 5) as connection:
            connection.sendall(f"POST /v1/log-append?topic=keyed.op&part=0 HTTP/1.1\r\nHost: store\r\n"
                               f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            if not connection.recv(64).startswith(b"HTTP/1.1 200"):
                raise CannotRun("the store refused the configuration")

    def start_engine(self, name, backend, program="standins.py", **options):
        host = f"127.0.2.{len([p for p in self.processes]) + 1}"
        address = f"{host}:{free_port(host)}"
        journal = os.path.join(self.folder, f"{name}.journal")
        role = ["engine"] if program == "standins.py" else []
        command = [sys.executable, os.path.join(HERE, program), *role, address, "--store", self.store, "--id", name,
                   "--backend", backend, "--journal", journal]
        for option, value in options.items():
            command += [f"--{option.replace('_', '-')}", str(value)]
        self.start(command, f"{name}.log")
        return journal

    def start_routers(self, count, memory_mb=260, descriptors=4100):
        hosts = [f"127.0.1.{index + 1}" for index in range(count)]
        control = [f"{host}:{free_port(host)}" for host in hosts]
        for index, host in enumerate(hosts):
            self.routers.append(self.start_router(index, host, control, memory_mb, descriptors))
        for router in self.routers:
            self.wait_until(lambda: self.is_ready(router), "a router does not get ready")

    def start_router(self, index, host, control, memory_mb, descriptors):
        """The settings are those that deploy/settings.json.template makes of the platform's fields."""
        frontend, ready = (f"{host}:{free_port(host)}" for _ in range(2))
        settings = {
            "router": {"id": f"edge-{index + 1}", "availabilityZone": "z1", "processorShare": 0.25,
                       "maxDescriptors": descriptors, "memoryMb": memory_mb},
            "callers": {"address": frontend},
            "health": {"address": ready, "path": "/v1/readyz", "metricsAddress": f"{host}:{free_port(host)}"},
            "peers": {"address": control[index], "seeds": control[:3]},
            "store": {"address": self.store, "contactMs": BOUNDS["contactMs"]},
            "retries": {"ratio": BOUNDS["retryRatio"], "slack": BOUNDS["retrySlack"],
                        "windowSeconds": BOUNDS["retryWindowS"]},
            "placement": {"coldOvershoot": 1, "coldSlack": 0},
            "shutdown": {"graceSeconds": BOUNDS["graceS"]},
        }
        path = os.path.join(self.folder, f"router-{index + 1}.json")
        with open(path, "w") as file:
            json.dump(settings, file)
        router = {"frontend": frontend, "ready": ready, "path": path, "log": f"router-{index + 1}.log"}
        self.run_router(router)
        return router

    def run_router(self, router):
        router["process"] = self.start([ROUTER, "router"], router["log"], {"JASMINESTACK_NODE_FILE": router["path"]})

    def restart_router(self, index):
        self.run_router(self.routers[index])

    @staticmethod
    def accepts(address):
        host, port = address.rsplit(":", 1)
        try:
            socket.create_connection((host, int(port)), 1).close()
            return True
        except OSError:
            return False

    @staticmethod
    def is_ready(router, timeout=1.0):
        host, port = router["ready"].rsplit(":", 1)
        try:
            with socket.create_connection((host, int(port)), timeout) as connection:
                connection.settimeout(timeout)
                connection.sendall(b"GET /v1/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    @staticmethod
    def wait_until(condition, message, seconds=15):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise CannotRun(message)
            time.sleep(0.05)
