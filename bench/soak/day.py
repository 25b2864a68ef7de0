"""Plays minutes of the small deployment's own load and operations against router processes, and records every end.

It judges processes only: ends that nobody asked for, starts that don't become ready, memory and descriptors over the limits
of a host. The answers are judged by the soak. See docs/day.md.
"""

import argparse
import asyncio
import collections
import json
import logging
import multiprocessing
import os
import pathlib
import random
import re
import resource
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

from day_clients import run_clients
from day_engines import run_engines
from history import check_end, is_early_stop
from process import Process
from starts import PORTS
from world import Relay, Store

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = ["gebze", "dudullu", "bursa-nilufer"]
ROUTERS = 7
SPARES = 3
LIMITS = {"cpuQuota": "0.25", "maxFds": "4100", "memoryMb": "260"}
BOUNDS = {"contactMs": 3000, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "retryRatio": 0.2,
          "retryWindowS": 10, "retrySlack": 54}
KEYS = [f"day-key-{number:02d}-0123456789" for number in range(16)]
RECOVER_S = 12.0
STOP_SLACK_S = 2.0
TICK_S = 0.1
SAMPLE_S = 1.0
QUOTA_PERIOD_S = 0.1
OPERATIONS = ["roll", "roll", "scale", "scale", "storm", "change", "large", "silence", "slow_store", "cut_store", "kill", "herd",
              "freeze", "hang_up", "restart_all", "users", "users", "odd_store", "odd_records"]


def configuration(version, routes_more, timeout_ms):
    def route(name, prefix, kind, backend, attempts, **fields):
        return {"name": name, "hostname": "day.example", "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeout_ms,
                "targetLatencyMs": 800, "priority": 1, "backend": backend, "maxAttempts": attempts, "anonymous": False, **fields}

    stream = {"sessionAffinity": True, "itlTargetMs": 200}
    routes = [route("quote", "/quote/", "streaming", "model", 2, streamResume=True, **stream),
              route("review", "/review/", "streaming", "model", 1, streamResume=False, **stream),
              route("chat", "/chat/", "streaming", "model", 2, streamResume=True, **stream),
              route("book", "/book/", "non_idempotent", "plain", 1),
              route("check", "/check/", "idempotent", "plain", 2)]
    routes += [route(f"more-{number}-{version}", f"/more-{number:06d}/", "idempotent", "plain", 2) for number in range(routes_more)]
    service = {"healthPath": "/healthz", "protocol": "h1", "tls": False}
    engine = {"maxBatchSize": 128, "kvCapacity": 637745, "kvTokenBytes": 35136, "linkMbps": 280000.0, "modelList": [{"name": "m"}]}
    tenants = [{"name": f"tenant-{number}", "apiKeys": [key], "priority": 1} for number, key in enumerate(KEYS)]
    return {"version": version, "routes": routes,
            "services": [{"name": "model", "maxConnections": 620, **service, "engine": engine},
                         {"name": "plain", "maxConnections": 100, **service}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
                       "throughputPerS": 620000}, "tenants": tenants}


def render_settings(values, seeds):
    text = (ROOT / "deploy/settings.json.template").read_text()
    text = re.sub(r"{{#seeds}}.*?{{/seeds}}", ",".join(f'"{seed}"' for seed in seeds), text)
    text = re.sub(r"{{([#^])(\S+?)}}(.*?){{/\2}}", lambda section: section[3] if (section[2] in values) == (section[1] == "#") else "",
                  text)
    return re.sub(r"{{(\S+?)}}", lambda field: str(values[field[1]]), text)


class DayStore(Store):
    """A store that at times refuses, forgets its history, or gives answers that make no sense."""

    def __init__(self, chooser):
        super().__init__()
        self.chooser = chooser
        self.mode = ""

    async def answer(self, path, query, body):
        status, content = await super().answer(path, query, body)
        if not self.mode or self.chooser.random() < 0.3:
            return status, content
        at = self.chooser.randrange(len(content) + 1)
        return {"busy": (503, b""), "many": (429, b"{}"), "failing": (500, b"<html>"), "gone": (410, b'{"startOffset": 1}'),
                "gone, no offset": (410, b"[]"), "cut": (200, content[:at]), "empty": (200, b""), "list": (200, b"[1,2]"),
                "noise": (200, self.chooser.randbytes(at)), "types": (200, b'{"entries": [{"key": 1, "value": {}, "offset": "x"}, 7], '
                          b'"hasMore": "no", "endOffset": -1}'),
                "bytes": (200, content[:at] + self.chooser.randbytes(3) + content[at:])}[self.mode]


STORE_MODES = ["busy", "many", "failing", "gone", "gone, no offset", "cut", "empty", "list", "noise", "types", "bytes"]


class DayProcess(Process):
    """A process whose memory, descriptors and times are kept."""

    def __init__(self, router, child, settings):
        super().__init__(router, child, settings)
        self.stopped_at = None
        self.peak = collections.Counter()
        self.is_throttled = False

    def send(self, number):
        if not self.alive():
            return
        if number in (signal.SIGTERM, signal.SIGINT) and self.stopped_at is None:
            self.stopped_at = time.monotonic()
        super().send(number)


class Host:
    def __init__(self, day, number):
        self.day = day
        self.number = number
        self.name = f"edge-{number}"
        self.ip = f"{day.network}.{1 + number}"
        self.log = day.folder / f"{self.name}.log"
        self.path = day.folder / f"{self.name}.json"
        self.process = None
        self.is_kept = False  # Whether its process is started again after its end.
        self.misses = 0

    def write_settings(self):
        day = self.day
        values = {"nodeName": self.name, "zone": ZONES[self.number % 3], "ip": self.ip,
                  **{"limits." + name: value for name, value in LIMITS.items()},
                  **{"bounds." + name: value for name, value in BOUNDS.items()},
                  "listen.frontend": f"{self.ip}:{PORTS['callers']}", "listen.ready": f"{self.ip}:{PORTS['health']}",
                  "listen.controlPlane": f"{self.ip}:{PORTS['peers']}", "platform.address": "%s:%d" % day.store_address}
        kept = [host for host in day.hosts if host.is_kept][:3]
        self.path.write_text(render_settings(values, [f"{host.ip}:{PORTS['peers']}" for host in kept]))

    def start(self):
        with open(self.log, "ab") as log:
            child = subprocess.Popen([str(self.day.binary), "router", "--settings", str(self.path)], stdout=log, stderr=log,
                                     stdin=subprocess.DEVNULL)
        for kind, value in ((resource.RLIMIT_AS, self.day.options.address_space << 20), (resource.RLIMIT_NOFILE, self.day.options.descriptors)):
            if value:
                resource.prlimit(child.pid, kind, (value, value))
        self.process = DayProcess(self, child, self.path)
        self.day.processes.append(self.process)

    def last_line(self):
        lines = self.log.read_bytes()[-20000:].decode(errors="replace").splitlines()
        return lines[-1][:300] if lines else ""


def memory_of(pid):
    """Returns VmRSS and VmHWM in kB."""
    fields = dict(line.split(":", 1) for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines() if ":" in line)
    return [int(fields[name].split()[0]) if name in fields else 0 for name in ("VmRSS", "VmHWM")]


def queued_by_inode():
    """Returns the bytes that wait in the kernel to be sent and to be read, for each socket."""
    queued = {}
    with open("/proc/net/tcp", encoding="ascii") as table:
        next(table)
        for line in table:
            fields = line.split()
            sending, reading = fields[4].split(":")
            if fields[3] != "0A" and fields[4] != "00000000:00000000":  # In LISTEN these are counts of connections.
                queued[fields[9]] = (int(sending, 16), int(reading, 16))
    return queued


def descriptors_of(pid):
    names = []
    for name in os.listdir(f"/proc/{pid}/fd"):
        try:
            names.append(os.readlink(f"/proc/{pid}/fd/{name}"))
        except FileNotFoundError:
            pass
    return names


def used_s(pid):
    total = 0
    for thread in os.listdir(f"/proc/{pid}/task"):
        with open(f"/proc/{pid}/task/{thread}/schedstat", encoding="ascii") as file:
            total += int(file.read().split()[0])
    return total / 1e9


def throttle(day, quota):
    """Stops a process for the rest of each period of 0.1 s in which it has used its share of a core."""
    while not day.is_over:
        end = time.monotonic() + QUOTA_PERIOD_S
        begun = {}
        while time.monotonic() < end and not day.is_over:
            for process in list(day.processes):
                if process.is_paused or process.is_throttled or not process.alive():
                    continue
                try:
                    used = used_s(process.child.pid)
                    if used - begun.setdefault(process, used) > QUOTA_PERIOD_S * quota:
                        process.is_throttled = True
                        day.counts["throttled"] += 1
                        os.kill(process.child.pid, signal.SIGSTOP)
                except (FileNotFoundError, ProcessLookupError):
                    pass
            time.sleep(0.008)
        for process in list(day.processes):
            if process.is_throttled:
                process.is_throttled = False
                if not process.is_paused and process.alive():
                    os.kill(process.child.pid, signal.SIGCONT)


class Day:
    def __init__(self, seed, options, slot):
        self.seed = seed
        self.options = options
        self.chooser = random.Random(f"{seed}/operator")
        self.binary = pathlib.Path(options.binary).resolve()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"day-{seed}-", dir=options.logs))
        self.network = f"127.{10 + os.getpid() % 200}.{1 + slot % 250}"
        self.store = DayStore(random.Random(f"{seed}/store"))
        self.hosts = [Host(self, number) for number in range(ROUTERS + SPARES)]
        self.processes = []
        self.counts = collections.Counter()
        self.findings = []
        self.readies = []
        self.peak = collections.Counter()
        self.memory_kb = int(LIMITS["memoryMb"]) * 1_000_000 // 1024
        self.is_over = False
        self.version = 1
        self.routes_more = 8
        self.timeout_ms = 15000
        self.started = time.monotonic()
        self.tasks = set()

    def now(self):
        return time.monotonic() - self.started

    def note(self, text):
        with open(self.folder / "record.txt", "a", encoding="utf-8") as file:
            file.write(f"{self.now():8.3f} {text}\n")

    def find(self, rule, process, text):
        entry = {"rule": rule, "host": process.router.name, "at": round(self.now(), 2), "age": round(time.monotonic() - process.started, 2),
                 "text": text, "last_line": process.router.last_line()}
        self.findings.append(entry)
        self.note(f"FINDING {json.dumps(entry)}")

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def put_configuration(self):
        self.version += self.chooser.randrange(1, 5)
        self.store.put_json("keyed.op", "config", configuration(self.version, self.routes_more, self.timeout_ms))

    def change_settings(self, sends=True):
        """The settings name the seeds: they change for all hosts, and SIGHUP tells all of them."""
        self.counts["settings changed"] += 1
        for host in self.hosts:
            if host.is_kept:
                host.write_settings()
        for host in self.hosts:
            if host.is_kept and host.process is not None and sends:
                host.process.send(signal.SIGHUP)

    # Processes.

    def judge_end(self, process):
        code = process.child.returncode
        host = process.router
        age = time.monotonic() - process.started
        self.note(f"{host.name} ended with {code} after {age:.2f} s, signals {sorted(process.signals)}, last line {host.last_line()}")
        problem = check_end(code, process.signals, process.phases)
        if problem and problem[0] == "ENDED-EXEC":
            self.counts["ends by SIGHUP before any code of the program"] += 1
        elif problem:
            self.find(problem[0], process, f"{problem[1]}, signals {sorted(int(number) for number in process.signals)}")
        elif is_early_stop(code, process.signals, process.phases):
            self.counts["stops before any code of the program"] += 1
        else:
            self.counts["ends by SIGKILL" if code == -signal.SIGKILL else "ends as asked"] += 1
        if host.process is process and host.is_kept and not self.is_over:
            self.spawn(self.start_again(process))

    async def start_again(self, process):
        host = process.router
        await asyncio.sleep(self.chooser.uniform(0.1, 0.8))
        if host.process is process and host.is_kept and not self.is_over:
            host.write_settings()
            host.start()
            if self.chooser.random() < 0.7:
                # The settings of the others are rendered in the moments after the start.
                await asyncio.sleep(self.chooser.uniform(0.0, 0.1))
                self.change_settings()

    async def watch(self):
        while not self.is_over:
            for process in list(self.processes):
                if not process.alive():
                    self.processes.remove(process)
                    self.judge_end(process)
                elif process.stopped_at is not None:
                    self.check_stop(process)
                elif not process.is_ready:
                    self.check_start(process)
            await asyncio.sleep(TICK_S)

    def check_stop(self, process):
        process.stopping_s += 0 if process.is_paused else TICK_S
        if process.stopping_s > BOUNDS["graceS"] and signal.SIGKILL not in process.signals:
            self.counts["still there at the end of the grace time"] += 1
        if process.stopping_s > BOUNDS["graceS"] + STOP_SLACK_S and signal.SIGKILL not in process.signals:
            self.find("ENDED", process, f"still there {BOUNDS['graceS'] + STOP_SLACK_S:.0f} s after SIGTERM")
            process.send(signal.SIGKILL)

    def check_start(self, process):
        if self.store.is_silent() or self.store.delay > 0 or process.is_paused:
            process.unready_s = 0.0
        process.unready_s += TICK_S
        if process.unready_s > RECOVER_S:
            self.find("READY", process, f"not ready {RECOVER_S:.0f} s after its start and the last hindrance")
            process.is_ready = True

    async def ask_ready(self, host):
        """Asks as the platform does, once a second, and more often while the process starts."""
        while True:
            process = host.process
            is_starting = process is not None and not process.is_ready
            status = 0
            if process is not None:
                try:
                    reader, writer = await asyncio.wait_for(asyncio.open_connection(host.ip, PORTS["health"]), 1)
                    writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                    status = int((await asyncio.wait_for(reader.readline(), 1)).split()[1])
                    writer.close()
                except (OSError, asyncio.TimeoutError, IndexError, ValueError):
                    pass
            host.misses = 0 if status == 200 else host.misses + 1
            self.in_rotation[host.number] = int(status == 200 or 0 < host.misses < 2 and self.in_rotation[host.number])
            if status == 200 and is_starting and host.process is process:
                process.is_ready = True
                self.readies.append(round(time.monotonic() - process.started, 3))
            await asyncio.sleep(0.1 if is_starting else 1.0)

    # Samples.

    def sample(self):
        queued = queued_by_inode()
        with open(self.folder / "samples.csv", "a", encoding="ascii") as file:
            for process in list(self.processes):
                try:
                    rss, high = memory_of(process.child.pid)
                    names = descriptors_of(process.child.pid)
                except (FileNotFoundError, ProcessLookupError, PermissionError):
                    continue
                sums = [queued.get(name[8:-1], (0, 0)) for name in names if name.startswith("socket:[")]
                sending, reading = (sum(values) // 1024 for values in zip(*sums)) if sums else (0, 0)
                values = {"rss": rss, "hwm": high, "rx": reading, "tx": sending, "rss+rx": rss + reading, "fds": len(names)}
                for name, value in values.items():
                    self.peak[name] = max(self.peak[name], value)
                file.write(f"{self.now():.1f},{process.router.name},{process.child.pid},{time.monotonic() - process.started:.1f},"
                           f"{rss},{high},{reading},{sending},{len(names)}\n")
                if rss + reading > self.memory_kb and not process.peak["over"]:
                    process.peak["over"] = 1
                    self.find("MEMORY", process, f"{rss} kB resident and {reading} kB to be read, {sending} kB to be sent")
                if len(names) > int(LIMITS["maxFds"]) - 200 and not process.peak["fds"]:
                    process.peak["fds"] = 1
                    self.find("DESCRIPTORS", process, f"{len(names)} open")

    async def samples(self):
        while True:
            await asyncio.sleep(SAMPLE_S)
            await asyncio.to_thread(self.sample)

    # Operations.

    def kept(self):
        return [host for host in self.hosts if host.is_kept and host.process is not None]

    async def roll(self):
        hosts = self.kept()
        self.chooser.shuffle(hosts)
        gap = self.chooser.choice([0.3, 1.0, 1.3])
        for host in hosts[:self.chooser.randrange(2, len(hosts) + 1)]:
            process = host.process
            process.send(self.chooser.choice([signal.SIGTERM] * 5 + [signal.SIGINT]))
            if self.chooser.random() < 0.5:
                self.change_settings()
            until = time.monotonic() + self.chooser.choice([0.5, 4, 10])
            while process.alive() and time.monotonic() < until:
                await asyncio.sleep(0.05)
            await asyncio.sleep(gap)

    async def scale(self):
        spare = [host for host in self.hosts if not host.is_kept]
        if spare and self.chooser.random() < 0.6:
            for host in spare[:self.chooser.randrange(1, len(spare) + 1)]:
                if host.process is not None and host.process.alive():
                    continue
                host.is_kept = True
                host.write_settings()
                host.start()
            self.change_settings()
        elif len(self.kept()) > 5:
            host = self.chooser.choice(self.kept())
            host.is_kept = False
            host.process.send(self.chooser.choice([signal.SIGTERM, signal.SIGTERM, signal.SIGKILL]))
            self.change_settings()

    async def storm(self):
        for _ in range(12):
            self.timeout_ms = self.chooser.choice([4000, 8000, 15000])
            self.routes_more = self.chooser.choice([8, 9, 12, 40])
            self.put_configuration()
            await asyncio.sleep(0.33)

    async def change(self):
        self.routes_more = self.chooser.choice([8, 8, 10, 30])
        self.timeout_ms = self.chooser.choice([4000, 8000, 15000])
        self.put_configuration()

    async def large(self):
        for _ in range(self.chooser.randrange(1, 5)):
            self.routes_more = self.chooser.choice([1000, 6000, 15000])
            self.put_configuration()
            await asyncio.sleep(self.chooser.choice([0.1, 0.5, 1.5]))
        self.routes_more = 8
        self.put_configuration()

    async def silence(self):
        seconds = self.chooser.uniform(0.5, 5)
        self.store.silent_until = time.monotonic() + seconds
        if self.chooser.random() < 0.5:
            self.store_relay.reset_all()
        await asyncio.sleep(seconds)

    async def slow_store(self):
        self.store.delay = self.chooser.uniform(0.1, 1.2)
        await asyncio.sleep(self.chooser.uniform(1, 4.5))
        self.store.delay = 0.0

    async def cut_store(self):
        self.store_relay.set_mode(self.chooser.choice(["to_client_cut", "to_server_cut", "silent", "delay"]))
        self.store.delay = 0.001  # Counts as a hindrance.
        await asyncio.sleep(self.chooser.uniform(0.5, 5))
        self.store_relay.set_mode("")
        self.store.delay = 0.0

    async def odd_store(self):
        self.store.mode = self.chooser.choice(STORE_MODES)
        self.counts[f"store {self.store.mode}"] += 1
        self.store.delay = 0.001  # Counts as a hindrance.
        if self.chooser.random() < 0.5:
            self.store_relay.reset_all()
        await asyncio.sleep(self.chooser.uniform(0.5, 4))
        self.store.mode, self.store.delay = "", 0.0

    async def odd_records(self):
        """Records of another writer, with fields that are missing or of another type, and records that are deleted."""
        chooser = self.chooser
        odd = [None, -1, 1 << 70, 1.5, "x", "", [], {}, True, "1.2.3.4:99999", "\x00"]
        for _ in range(chooser.randrange(1, 30)):
            topic = chooser.choice(["keyed.servers", "keyed.servers", "keyed.routers", "keyed.status"])
            records = list(self.store.topics.get(topic, ([], {}))[1].items())
            key = chooser.choice(records)[0] if records and chooser.random() < 0.2 else f"odd-{chooser.randrange(20)}"
            value = json.loads(records[0][1][1]) if topic == "keyed.servers" and records and records[0][1][1][:1] == b"{" else {}
            for name in chooser.sample(list(value), min(len(value), 3)):
                value[name] = chooser.choice(odd)
            kind = chooser.randrange(4)
            content = [json.dumps(value).encode(), chooser.randbytes(chooser.choice([1, 40, 70000])), None,
                       json.dumps(chooser.choice(odd)).encode() or b"x"][kind]
            self.store.put(topic, key, content)
            await asyncio.sleep(chooser.choice([0, 0.05]))
        if chooser.random() < 0.3:
            self.store.put("keyed.op", "config", chooser.choice([None, b"{", b"[]", b'{"version": "x"}', b'{"version": 1}']))
            await asyncio.sleep(chooser.uniform(0.1, 2))
        self.put_configuration()

    async def kill(self):
        self.chooser.choice(self.kept()).process.send(signal.SIGKILL)

    async def herd(self):
        """Half of the hosts lose power: they are silent first, then their processes are gone."""
        hosts = self.chooser.sample(self.kept(), (len(self.kept()) + 1) // 2)
        processes = [host.process for host in hosts]
        if self.chooser.random() < 0.5:
            for process in processes:
                process.is_paused = True
                process.send(signal.SIGSTOP)
            await asyncio.sleep(self.chooser.uniform(0.5, 2))
        for process in processes:
            process.send(signal.SIGKILL)

    async def freeze(self):
        processes = [host.process for host in self.chooser.sample(self.kept(), min(len(self.kept()), self.chooser.choice([1, 1, 2, 4])))]
        for process in processes:
            process.is_paused = True
            process.send(signal.SIGSTOP)
        await asyncio.sleep(self.chooser.choice([0.5, 2, 4, 6]))
        for process in processes:
            process.send(signal.SIGCONT)
            process.is_paused = False

    async def hang_up(self):
        for _ in range(self.chooser.randrange(1, 5)):
            self.change_settings()
            await asyncio.sleep(self.chooser.uniform(0, 0.3))

    async def restart_all(self):
        number = self.chooser.choice([signal.SIGTERM, signal.SIGKILL])
        for host in self.kept():
            host.process.send(number)
            await asyncio.sleep(self.chooser.uniform(0, 0.05))

    async def users(self):
        self.phase.value = self.chooser.randrange(1, 5)
        await asyncio.sleep(self.chooser.uniform(3, 6))
        self.phase.value = 0

    async def operate(self, until):
        kinds = [getattr(self, name) for name in (self.options.only.split(",") if self.options.only else OPERATIONS)]
        while time.monotonic() < until:
            kind = self.chooser.choice(kinds)
            self.note(kind.__name__)
            self.counts[kind.__name__] += 1
            task = self.spawn(kind())
            if self.chooser.random() < 0.5:  # Otherwise the next operation overlaps with this one.
                await task
            await asyncio.sleep(self.chooser.uniform(0.2, 3))

    async def play(self):
        seconds = self.options.seconds
        server = await self.store.start(f"{self.network}.250")
        ip, port = server.rsplit(":", 1)
        self.store_relay = Relay(server, self.chooser)
        address = await self.store_relay.start(f"{self.network}.251")
        self.store_address = (address.rsplit(":", 1)[0], int(address.rsplit(":", 1)[1]))
        self.put_configuration()
        context = multiprocessing.get_context("fork")
        self.in_rotation = context.Array("i", len(self.hosts), lock=False)
        self.phase = context.Value("i", 0, lock=False)
        results = context.Queue()
        workers = [context.Process(target=run_engines, args=(self.seed, f"{self.network}.250", (ip, int(port)), seconds + 16, results)),
                   context.Process(target=run_clients, args=(self.seed, [host.ip for host in self.hosts], self.in_rotation, self.phase,
                                                             KEYS, self.options.rate, seconds + 10, results))]
        workers[0].start()
        await asyncio.sleep(1)
        for host in self.hosts[:ROUTERS]:
            host.is_kept = True
        for host in self.hosts[:ROUTERS]:
            host.write_settings()
            host.start()
        self.note(f"seed {self.seed}, {self.binary}")
        services = [self.spawn(self.watch()), self.spawn(self.samples())] + [self.spawn(self.ask_ready(host)) for host in self.hosts]
        if self.options.quota:
            threading.Thread(target=throttle, args=(self, self.options.quota), daemon=True).start()
        await asyncio.sleep(4)
        workers[1].start()
        begun = time.monotonic()
        if not self.options.calm:
            await asyncio.gather(*[self.operate(begun + seconds) for _ in range(2)])
        await asyncio.sleep(max(0.0, begun + seconds - time.monotonic()))
        await asyncio.sleep(13)  # Starts and stops that are in progress are judged.
        self.is_over = True
        for task in [*services, *self.tasks]:
            if task.done() and not task.cancelled() and task.exception() is not None:
                raise task.exception()
            task.cancel()
        outcome = {}
        for _ in workers:
            name, counts = await asyncio.to_thread(results.get, True, 20)
            outcome[name] = counts
        for worker in workers:
            worker.join(5)
        return outcome

    def run(self):
        try:
            outcome = asyncio.run(self.play())
        finally:
            self.is_over = True
            for process in self.processes:
                process.child.kill()
                process.child.wait()
            for child in multiprocessing.active_children():
                child.kill()
        ready = sorted(self.readies)
        report = {"binary": str(self.binary), "seed": self.seed, "seconds": self.options.seconds, "rate": self.options.rate,
                  "folder": str(self.folder), "findings": self.findings, "counts": dict(self.counts), "peak": dict(self.peak),
                  "ready_s": {"number": len(ready), "median": ready[len(ready) // 2] if ready else None,
                              "most": ready[-1] if ready else None}, **outcome}
        (self.folder / "report.json").write_text(json.dumps(report, indent=1))
        return report


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binary", default=str(ROOT / "build/release/jasminestack"))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=60, help="time of the operations")
    parser.add_argument("--rate", type=float, default=60, help="requests a second; the deployment has 229")
    parser.add_argument("--quota", type=float, default=0.0, help="share of a core that a process may use in each 0.1 s; 0: no limit")
    parser.add_argument("--only", default="", help="operations to play, by comma: " + ", ".join(OPERATIONS))
    parser.add_argument("--address-space", type=int, default=0, help="RLIMIT_AS of a process in MB, from its start on; 0: none")
    parser.add_argument("--descriptors", type=int, default=0, help="RLIMIT_NOFILE of a process; 0: that of this one")
    parser.add_argument("--calm", action="store_true", help="load and engines' faults only, no operations")
    parser.add_argument("--logs", default=None, help="folder that keeps the logs of all runs; otherwise those of failed ones stay")
    options = parser.parse_args()
    # Cancelled handlers of connections at the end of a run would fill the output.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    report = Day(options.seed, options, options.seed).run()
    print(json.dumps(report, indent=1))
    if not report["findings"] and options.logs is None:
        shutil.rmtree(report["folder"])
    sys.exit(1 if report["findings"] else 0)


if __name__ == "__main__":
    main()
