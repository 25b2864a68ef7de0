"""Runs routers as processes beside a small world, injects faults from outside, and checks what clients and engines saw.

See docs/soak.md.
"""

import argparse
import asyncio
import collections
import json
import os
import pathlib
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import traceback

from events import read_events
from history import History, Request, Violation, check_recovery
from lifecycle import PORTS, Lifecycle, Process, Start
from world import Engine, Relay, Store, abort, read_body, read_head

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BOUNDS = {"contactMs": 3000, "drainMs": 2000, "graceS": 5, "lossSlackMs": 200, "configApplyMs": 2000,
          "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 54}
KEYS = ["soak-key-kept-0001", "soak-key-changing-2"]
SETTLE_S = 3.0
JUDGED_S = 3.0
ROUTES = {"resumable": "/ba/", "stream": "/co/", "idempotent": "/du/", "non_idempotent": "/fe/"}
EXTRA_PREFIX = "/gi/"
SLOW_GAP_S = 0.4
MAX_SLOW = 8  # Streams with this gap that may be in progress: many would take all slots of the engines.


def configuration(version, has_extra_route, keys):
    def route(name, prefix, kind, backend, attempts, **fields):
        return {"name": name, "hostname": "soak.example", "pathPrefix": prefix, "routeType": kind, "timeoutMs": 6000,
                "targetLatencyMs": 800, "priority": 1, "backend": backend, "maxAttempts": attempts, "anonymous": False,
                **fields}

    stream = {"sessionAffinity": True, "itlTargetMs": 500}
    routes = [route("resumable", ROUTES["resumable"], "streaming", "model", 3, streamResume=True, **stream),
              route("stream", ROUTES["stream"], "streaming", "model", 2, streamResume=False, **stream),
              route("idempotent", ROUTES["idempotent"], "idempotent", "plain", 3),
              route("non-idempotent", ROUTES["non_idempotent"], "non_idempotent", "plain", 2)]
    if has_extra_route:
        routes.append(route("extra", EXTRA_PREFIX, "non_idempotent", "plain", 2))
    service = {"healthPath": "/healthz", "maxConnections": 400, "protocol": "h1", "tls": False}
    engine = {"maxBatchSize": 24, "kvCapacity": 600000, "kvTokenBytes": 35136, "linkMbps": 280000.0,
              "modelList": [{"name": "m"}]}
    return {"version": version, "routes": routes,
            "services": [{"name": "model", **service, "engine": engine}, {"name": "plain", **service}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000, "throughputPerS": 620000},
            "tenants": [{"name": "tenant", "apiKeys": keys, "priority": 1}]}


class Router:
    """A router process; each one has a loopback address of its own."""

    def __init__(self, soak, number):
        self.soak = soak
        self.name = f"router-{number}"
        self.ip = f"{soak.network}.{1 + number}"
        self.log = soak.folder / f"{self.name}.log"
        self.path = soak.folder / f"{self.name}.json"
        self.process = None  # The newest; a predecessor may be in its grace time.
        self.starts = 0
        self.holds = 0
        self.is_rewriting = False
        self.cut_from = self.cut_until = 0.0  # When the settings were last cut off; cut_until is None meanwhile.

    def settings(self):
        seeds = [f"{router.ip}:{PORTS['peers']}" for router in self.soak.routers[:3]]
        values = {"nodeName": self.name, "zone": "gebze", "limits.cpuQuota": "0.25", "limits.maxFds": "2000", "limits.memoryMb": "512",
                  "listen.frontend": f"{self.ip}:{PORTS['callers']}",
                  "listen.ready": f"{self.ip}:{PORTS['health']}", "listen.controlPlane": f"{self.ip}:{PORTS['peers']}", "platform.address": self.soak.store_address,
                  **{"bounds." + name: str(value) for name, value in BOUNDS.items()}}
        text = (ROOT / "deploy/settings.json.template").read_text().replace("{{ip}}:9464", f"{self.ip}:{PORTS['metrics']}")
        text = re.sub(r"{{#seeds}}.*?{{/seeds}}", ",".join(f'"{seed}"' for seed in seeds), text)
        text = re.sub(r"{{([#^])(\S+?)}}(.*?){{/\2}}",
                      lambda section: section[3] if (section[2] in values) == (section[1] == "#") else "", text)
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", value)
        if "{{" in text:
            raise RuntimeError("the settings template has unknown fields")
        return text

    def start(self):
        with open(self.log, "ab") as log:
            child = subprocess.Popen([str(self.soak.binary), "router", "--settings", str(self.path)], stdout=log,
                                     stderr=log, stdin=subprocess.DEVNULL)
        self.process = Process(self, child, self.path)
        return self.process

    def alive(self):
        return self.process is not None and self.process.alive()

    def tail(self, attempt, count=12):
        lines = self.log.read_text(errors="replace").splitlines() if self.log.exists() else []
        return [line[:400] for line in lines if attempt and attempt in line][-count:] or \
            [line[:400] for line in lines[-count:]]


class Soak:
    def __init__(self, seed, options, slot):
        self.seed = seed
        self.options = options
        self.chooser = random.Random(seed)
        self.binary = pathlib.Path(options.binary).resolve()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.network = f"127.{10 + os.getpid() % 200}.{1 + slot % 250}"
        self.ip = f"{self.network}.250"
        self.history = History()
        self.store = Store()
        self.lifecycle = Lifecycle(self, options.lifecycle, BOUNDS["graceS"])
        self.routers = []
        self.engines = []
        self.counts = collections.Counter()
        self.violations = []
        self.faults_on = False
        self.is_planned = False
        self.slow = 0
        self.spoilt_part = options.spoilt
        self.version = 1
        self.has_extra_route = False
        self.keys = list(KEYS)
        self.is_over = False
        self.started = time.monotonic()
        self.tasks = set()
        self.attempts = 0
        self.judged = collections.defaultdict(lambda: [0, 0])

    def now(self):
        return time.monotonic() - self.started

    def count(self, what):
        self.counts[what] += 1

    def note(self, text):
        with open(self.folder / "record.txt", "a", encoding="utf-8") as file:
            file.write(f"{self.now():8.3f} {text}\n")

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self.check_task)
        self.tasks.add(task)
        return task

    def check_task(self, task):
        if not task.cancelled() and task.exception() is not None:
            problem = "".join(traceback.format_exception(task.exception()))
            self.violations.append(Violation("SOAK", self.now(), "", "", problem))

    def put_configuration(self):
        self.version += self.chooser.randrange(1, 5)
        self.store.put_json("keyed.op", "config", configuration(self.version, self.has_extra_route, self.keys))

    async def run(self):
        try:
            await self.play()
        finally:
            self.is_over = True
            for process in self.lifecycle.processes:
                process.child.kill()
                process.child.wait()
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
        return self.violations

    async def play(self):
        self.lifecycle.use_threads()
        store_server = await self.store.start(self.ip)
        self.store_relay = Relay(store_server, self.chooser)
        self.store_address = await self.store_relay.start(self.ip)
        self.put_configuration()
        # Enough slots for all clients at once, so that refusals of full engines don't hide those of routers.
        for service, number in (("model", max(4, self.options.clients // 20)), ("plain", max(3, self.options.clients // 24))):
            for _ in range(number):
                await self.add_engine(service)
        self.routers = [Router(self, number) for number in range(self.options.routers)]
        for router in self.routers:
            self.lifecycle.start(router, Start(0.0))
        await self.wait_ready()
        self.note(f"all routers are ready; seed {self.seed}")
        for number in range(self.options.clients):
            self.spawn(self.client(number))
        self.spawn(self.heartbeats())
        self.spawn(self.lifecycle.watch())
        await asyncio.sleep(0.5)
        self.is_planned = True
        await self.lifecycle.planned_work(self.now() + self.options.seconds * self.options.lifecycle)
        self.is_planned = False
        self.note("planned work has ended")
        until = self.now() + self.options.seconds
        self.faults_on = True
        injectors = [self.spawn(self.inject(until)) for _ in range(2 + len(self.routers) // 10)]
        injectors.append(self.spawn(self.inject_engine_faults(until)))
        await asyncio.gather(*injectors)
        self.faults_on = False
        await self.end_faults()
        self.note("faults have ended")
        await asyncio.sleep(SETTLE_S)
        self.judged.clear()
        await asyncio.sleep(JUDGED_S)
        self.violations += check_recovery(self.judged, self.now())
        self.counts["judged after the faults"] = sum(asked for _, asked in self.judged.values())
        self.counts["served after the faults"] = sum(good for good, _ in self.judged.values())
        while not self.lifecycle.all_ready():
            await asyncio.sleep(0.1)
        self.is_over = True
        await asyncio.sleep(0.5)
        self.violations += self.history.violations()

    async def add_engine(self, service, port=0):
        engine = Engine(self, service)
        await engine.start(port)
        self.engines.append(engine)

    async def wait_ready(self):
        until = time.monotonic() + 30
        for router in self.routers:
            while not await self.is_ready(router):
                if time.monotonic() > until or not router.alive():
                    raise RuntimeError(f"{router.name} doesn't become ready: {router.tail('')}")
                await asyncio.sleep(0.1)

    @staticmethod
    async def is_ready(router):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(router.ip, PORTS["health"]), 1)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def heartbeats(self):
        while True:
            await asyncio.sleep(1.0)
            for engine in self.engines:
                if not engine.is_dead and engine.phase != "gone" and not self.store.is_silent():
                    engine.register()

    def store_endpoint(self):
        ip, port = self.store_address.rsplit(":", 1)
        return ip, int(port)

    # Faults from outside.

    async def inject(self, until):
        chooser = random.Random(self.chooser.random())
        kinds = [self.lifecycle.stop, self.lifecycle.kill, self.pause, self.hang_up, self.silence_store, self.slow_store,
                 self.change_configuration, self.change_configuration]
        while self.now() < until:
            is_of_lifecycle = chooser.random() < self.options.lifecycle
            fault = chooser.choice(self.lifecycle.faults if is_of_lifecycle else kinds)
            router = chooser.choice(self.routers)
            self.note(f"{fault.__name__} {router.name}")
            self.count(fault.__name__)
            task = self.spawn(fault(router, chooser))
            if chooser.random() < 0.5:  # Otherwise the next fault overlaps with this one.
                await task
            await asyncio.sleep(chooser.uniform(0.05, 0.6))

    async def pause(self, router, chooser):
        process = router.process
        if not process.alive() or process.is_paused:
            return
        process.is_paused = True
        process.send(signal.SIGSTOP)
        await asyncio.sleep(chooser.choice([0.1, 0.5, 1.5, 3.5]))
        process.send(signal.SIGCONT)
        process.is_paused = False

    async def hang_up(self, router, chooser):
        for _ in range(chooser.randrange(1, 4)):
            router.process.send(signal.SIGHUP)
            await asyncio.sleep(0.05)

    async def silence_store(self, _router, chooser):
        seconds = chooser.choice([0.5, 1.5, 3])
        self.store.silent_until = max(self.store.silent_until, time.monotonic() + seconds)
        if chooser.random() < 0.5:
            self.store_relay.reset_all()
        await asyncio.sleep(seconds)

    async def slow_store(self, _router, chooser):
        self.store.delay = chooser.uniform(0.1, 1.2)
        await asyncio.sleep(chooser.uniform(0.5, 2))
        self.store.delay = 0.0

    async def change_configuration(self, _router, chooser):
        if chooser.random() < 0.5:
            self.has_extra_route = not self.has_extra_route
        else:
            self.keys = KEYS[:1] if len(self.keys) == 2 else list(KEYS)
        self.put_configuration()

    async def inject_engine_faults(self, until):
        chooser = random.Random(self.chooser.random())
        while self.now() < until:
            engine = chooser.choice(self.engines)
            kind = chooser.choice(["die", "drain", "delete", "delay", "silent", "to_client_cut", "to_server_cut",
                                   "reset"])
            self.note(f"{kind} {engine.name}")
            self.count(f"engine {kind}")
            if kind in ("die", "drain", "delete"):
                self.spawn(self.replace_engine(engine, kind, chooser))
            elif kind == "reset":
                engine.relay.reset_all(chooser.uniform(0.2, 1))
            else:
                self.spawn(self.disturb(engine.relay, kind, chooser.uniform(0.3, 2.5)))
            await asyncio.sleep(chooser.uniform(0.1, 0.8))

    async def disturb(self, relay, mode, seconds):
        relay.set_mode(mode)
        await asyncio.sleep(seconds)
        relay.set_mode("")

    async def replace_engine(self, engine, kind, chooser):
        self.engines.remove(engine)
        port = int(engine.address.rsplit(":", 1)[1]) if chooser.random() < 0.5 else 0
        if kind == "die":
            await engine.die()
            await asyncio.sleep(chooser.uniform(0, 1))
            await self.add_engine(engine.service, port)
            await asyncio.sleep(chooser.uniform(0, 1.5))
            engine.unregister()
            return
        await self.add_engine(engine.service)
        if kind == "drain":
            engine.phase = "draining"
            engine.register()
        else:
            engine.unregister()
        await asyncio.sleep(BOUNDS["drainMs"] / 1000 + chooser.uniform(0, 1))
        engine.unregister()
        await engine.die()

    async def end_faults(self):
        self.store.silent_until = 0.0
        self.store.delay = 0.0
        for engine in self.engines:
            engine.relay.set_mode("")
        for router in self.routers:
            router.process.send(signal.SIGCONT)
        until = time.monotonic() + BOUNDS["graceS"] + 3
        while time.monotonic() < until and not all(self.is_settled(router) for router in self.routers):
            await asyncio.sleep(0.1)
        self.has_extra_route = True
        self.keys = list(KEYS)
        self.put_configuration()

    @staticmethod
    def is_settled(router):
        return router.alive() and not router.process.is_stopping() and router.holds == 0 and not router.is_rewriting

    # Clients.

    async def client(self, number):
        chooser = random.Random(f"{self.seed}/{number}")
        while not self.is_over:
            router = self.routers[number % len(self.routers)] if chooser.random() < 0.5 else chooser.choice(self.routers)
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(router.ip, PORTS["callers"]), 1)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)
                continue
            try:
                is_open, resume = True, None
                while is_open and not self.is_over:
                    request, is_open = await self.ask(router, reader, writer, chooser, resume)
                    resume = self.resume_of(request, chooser)
                    await asyncio.sleep(chooser.choice([0, 0, 0.02, 0.2]))
            finally:
                abort(writer) if chooser.random() < 0.2 else writer.close()

    @staticmethod
    def resume_of(request, chooser):
        """Returns what a client asks next that goes on with a broken stream, or None."""
        if request.kind != "resumable" or request.status != 200 or request.is_complete or chooser.random() < 0.4:
            return None
        names = [name for name, _ in read_events(request.body).events]
        if not names or not names[-1].isdigit() or int(names[-1]) >= request.wanted:
            return None
        return int(names[-1]), request.wanted

    async def ask(self, router, reader, writer, chooser, resume):
        """Sends a request and reads its answer; returns the request and whether the connection can be used again."""
        self.attempts += 1
        kind = "resumable" if resume else chooser.choice(["resumable", "resumable", "stream", "stream", "idempotent",
                                                          "non_idempotent"])
        request = Request(f"{self.seed & 0xffffffff:08x}{self.attempts:08x}", kind, router.name, self.now())
        prefix = ROUTES[kind]
        if kind == "non_idempotent" and chooser.random() < 0.2:
            prefix = EXTRA_PREFIX
        wish = {"pause": chooser.choice([0, 0.01, 0.05, 0.2])}
        fields = {"Host": "soak.example", "X-Jasminestack-Attempt-Id": request.attempt,
                  "X-Jasminestack-Deadline-Ms": "5000",
                  "Authorization": "Token " + (KEYS[1] if chooser.random() < 0.1 else KEYS[0])}
        if kind in ("resumable", "stream"):
            request.wanted = resume[1] if resume else chooser.randrange(1, 25)
            wish.update(events=request.wanted, gap=chooser.choice([0, 0, 0.005, 0.03]))
            if self.faults_on and chooser.random() < 0.05 and self.slow < MAX_SLOW:  # Some are still in progress at the end of a grace time.
                wish["gap"] = SLOW_GAP_S
            fields.update({"X-Jasminestack-Model-Id": "m", "X-Jasminestack-Token-Usage": f"100,{request.wanted}",
                           "X-Jasminestack-Prefix-Hash": f"5c1e07a2:60,{chooser.randrange(1 << 32):08x}:40"})
            if resume:
                request.last_event_id = resume[0]
                fields["Last-Event-Id"] = str(resume[0])
                self.count("resumed by the client")
        else:
            wish["size"] = chooser.choice([0, 10, 3000, 100000])
        body = json.dumps(wish).encode()
        fields["Content-Length"] = str(len(body))
        request.asked = ("POST", prefix + "x", body)
        self.history.add_request(request)
        self.count(f"requests {kind}")
        head = "\r\n".join([f"POST {prefix}x HTTP/1.1"] + [f"{name}: {value}" for name, value in fields.items()])
        may_judge = prefix != EXTRA_PREFIX and wish.get("gap") != SLOW_GAP_S
        began_planned = self.is_planned
        self.slow += wish.get("gap") == SLOW_GAP_S
        is_open = False
        try:
            writer.write(head.encode() + b"\r\n\r\n" + body)
            limit = 0.05 if chooser.random() < 0.03 else 6.5  # A few clients leave early.
            may_judge = may_judge and limit > 1
            await asyncio.wait_for(self.read_answer(request, reader), limit)
            is_open = request.is_complete and request.headers.get("connection", "").lower() != "close"
        except asyncio.TimeoutError:
            self.count("no proper end")
        except (ConnectionError, asyncio.IncompleteReadError):
            self.count("no proper end")
            request.is_cut = True
        except (ValueError, IndexError, asyncio.LimitOverrunError):
            request.is_malformed = True
        self.slow -= wish.get("gap") == SLOW_GAP_S
        request.took_s = self.now() - request.at
        request.is_planned = began_planned and self.is_planned
        self.count(f"status {request.status}")
        if may_judge:
            self.judged[router.name][1] += 1
            self.judged[router.name][0] += 200 <= request.status < 300 and request.is_complete
        return request, is_open

    @staticmethod
    async def read_answer(request, reader):
        head = await read_head(reader)
        if head is None:
            raise ConnectionError
        protocol, status = head[0].split(" ")[:2]
        if protocol not in ("HTTP/1.1", "HTTP/1.0") or not status.isdigit():
            raise ValueError("no status line")
        request.headers = head[1]
        request.status = int(status)
        if request.headers.get("transfer-encoding", "").lower() != "chunked":
            if "content-length" not in request.headers:
                raise ValueError("a body without framing")
            request.body = await read_body(reader, request.headers)
        else:
            # Chunks are kept as they come, so that the events of a broken stream count too.
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0].strip(), 16):
                request.body += await reader.readexactly(size)
                if await reader.readexactly(2) != b"\r\n":
                    raise ValueError("a chunk without its end")
            if await reader.readuntil(b"\r\n") != b"\r\n":
                raise ValueError("trailers")
        request.is_complete = True

    def report(self, print_counts):
        text = ", ".join(f"{name}: {number}" for name, number in sorted(self.counts.items()))
        print(f"seed {self.seed}: {len(self.history.requests)} requests, "
              f"{sum(map(len, self.history.runs.values()))} runs, {len(self.violations)} violations", flush=True)
        early = {name: number for name, number in sorted(self.counts.items()) if "excused" in name or "left out" in name}
        print(f"  signals before a process handled them: {early or 'none'}")
        if print_counts:
            print("  " + text)
        logs = {router.name: router for router in self.routers}
        often = collections.Counter((violation.rule, violation.text) for violation in self.violations)
        for violation in sorted(self.violations, key=lambda item: often[item.rule, item.text])[:20]:
            print(f"VIOLATION {violation.rule} seed={self.seed} time={violation.at:.3f} request={violation.attempt} "
                  f"router={violation.router}: {violation.text}")
            if violation.router in logs:
                for line in logs[violation.router].tail(violation.attempt):
                    print("    " + line)
        sys.stdout.flush()


def parse(arguments):
    parser = argparse.ArgumentParser(prog="scripts/soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=None)
    parser.add_argument("--seeds", metavar="A-B", help="runs these seeds one after another")
    parser.add_argument("--seconds", type=float, default=10.0, help="how long faults are injected")
    parser.add_argument("--routers", type=int, default=5)
    parser.add_argument("--clients", type=int, default=40)
    parser.add_argument("--spoilt", type=float, default=0.35, metavar="PART", help="the part of spoilt answers")
    parser.add_argument("--lifecycle", type=float, default=0.5, metavar="PART",
                        help="the part of faults, and of starts that meet faults, of the processes' starts and ends")
    parser.add_argument("--keep-logs", metavar="DIR", help="keeps the logs of runs with violations here")
    parser.add_argument("--binary", default=str(ROOT / "build/release/jasminestack"))
    parser.add_argument("--counts", action="store_true", help="prints what was injected and answered")
    options = parser.parse_args(arguments)
    if not 1 <= options.routers <= 240:
        parser.error("--routers is from 1 to 240")
    if not os.access(options.binary, os.X_OK):
        parser.error(f"{options.binary} isn't built")
    if options.seeds:
        first, last = options.seeds.split("-")
        options.list = list(range(int(first), int(last) + 1))
    else:
        options.list = [options.seed if options.seed is not None else random.randrange(1 << 31)]
    return options


def main(arguments):
    options = parse(arguments)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # The routers are killed on the way out.
    failed, totals = [], collections.Counter()
    for slot, seed in enumerate(options.list):
        soak = Soak(seed, options, slot)
        try:
            try:
                asyncio.run(soak.run())
            except RuntimeError as problem:
                soak.violations.append(Violation("START", soak.now(), "", "", str(problem)))
            soak.report(options.counts)
            totals.update(violation.text if violation.rule == "ENDED" else violation.rule for violation in soak.violations)
            if soak.violations:
                failed.append(seed)
                if options.keep_logs:
                    shutil.copytree(soak.folder, pathlib.Path(options.keep_logs) / f"seed-{seed}", dirs_exist_ok=True)
        finally:
            shutil.rmtree(soak.folder, ignore_errors=True)
    print(f"soak: {len(options.list)} seeds, {len(failed)} with violations {failed or ''} {dict(totals) or ''}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
