"""Runs routers as processes beside engines that end with every request that has one prompt part, and counts how many such
requests are sent later than contactMs after the fifth crash.

See docs/incidents/crashing-parts-in-succession.md. Only counts are checked, no times of answers.
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
import sys
import tempfile
import time

from clients import read_answer
from history import Request
from router import BOUNDS, KEYS, ROOT, ROUTES, Router, configuration
from soak import Soak
from world import Store, abort, address_of, chunk, read_body, read_head

TOLERABLE_CRASHES = 5
MAX_LATE_SENDS = 3
REQUESTS_PER_REFUSAL = 500
CONTACT_S = BOUNDS["contactMs"] / 1000
SOUND_S = 1.0  # At first all requests are sound.
LISTED_S = 1.0  # An engine that has crashed stays in the store for so long.
AWAY_S = 3.0  # From a crash to the return of the engine.
HEARTBEAT_S = 1.0


class CrashingEngine:
    """An engine that closes all its connections when it runs a request with a crashing part, and returns later with the
    same name and address."""

    def __init__(self, world, number):
        self.world = world
        self.name = f"i-{number:04x}"
        self.port = 0
        self.writers = set()
        self.is_up = False
        self.runs = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.world.ip, self.port)
        self.address = address_of(self.server)
        self.port = int(self.address.rsplit(":", 1)[1])
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.is_up = True
        self.register()

    def register(self):
        self.sequence += 1
        self.world.store.put_json("keyed.servers", self.name, {
            "backend": "model", "address": self.address, "zone": "gebze", "version": "v1", "maxBatchSize": 24,
            "phase": "ready", "coldRemainingMs": 0, "born": self.born, "sequence": self.sequence})

    async def crash(self, born, part):
        if not self.is_up or self.born != born:
            return
        self.is_up = False
        self.world.record_crash(part)
        if not self.world.options.keeps_listening:
            self.server.close()
        for writer in list(self.writers):
            abort(writer)
        await asyncio.sleep(LISTED_S)
        self.world.store.put("keyed.servers", self.name, None)
        await asyncio.sleep(AWAY_S - LISTED_S)
        self.server.close()
        await self.start()

    async def serve(self, reader, writer):
        if not self.is_up:
            abort(writer)
            return
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                await self.serve_request(*head, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_request(self, line, headers, reader, writer):
        method, target, _ = line.split(" ", 2)
        body = await read_body(reader, headers)
        attempt = headers.get("x-jasminestack-attempt-id", "")

        def head(status, fields):
            fields = {"X-Jasminestack-Attempt-Id": attempt, **fields}
            return (f"HTTP/1.1 {status} x\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items()) + "\r\n").encode()

        if method == "GET":
            report = {"phaseKind": "colocated", "modelList": [{"name": "m", "version": 1, "loras": []}], "busy": False,
                      "sequence": 1, "queued": 0, "active": 0, "kvUsage": 0, "kvSize": 600000, "cacheHandles": 0}
            content = json.dumps(report).encode() if target == "/v1/report" else b""
            writer.write(head(200 if target in ("/healthz", "/v1/report") else 404,
                              {"X-Jasminestack-Instance-Id": self.name, "Content-Length": len(content)}) + content)
            await writer.drain()
            return
        self.runs += 1
        part, born, how = json.loads(body)["part"], self.born, self.world.options.how
        crash_after_events = None
        if part is not None:
            self.world.record_run(part)
            if how == "events":
                crash_after_events = 2
            else:
                delay = 0 if how == "at-once" else self.world.chooser.uniform(0.1, 0.6)
                self.world.spawn(self.crash_later(delay, born, part))
                await asyncio.sleep(delay + 10)  # No answer begins before.
                return
        await asyncio.sleep(self.world.chooser.uniform(0.02, 0.15))
        writer.write(head(200, {"X-Jasminestack-Server-Signature": f"sig.{self.name}.{self.runs}",
                                "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))
        for number in range(1, 6):
            if crash_after_events == number - 1:
                await self.world.spawn(self.crash_later(0, born, part))
                return
            writer.write(chunk(b"id: %d\ndata: x\n\n" % number))
            await writer.drain()
            await asyncio.sleep(self.world.chooser.uniform(0.01, 0.08))
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def crash_later(self, delay, born, part):
        await asyncio.sleep(delay)
        await self.crash(born, part)


class World:
    def __init__(self, options):
        self.options = options
        self.chooser = random.Random(options.seed)
        self.binary = pathlib.Path(options.binary).resolve()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="crashing-part-"))
        self.network = f"127.{10 + os.getpid() % 200}.251"
        self.ip = f"{self.network}.250"
        self.store = Store()
        self.routers = []
        self.engines = []
        self.tasks = set()
        self.runs = collections.defaultdict(list)  # Times, by part.
        self.crashes = collections.defaultdict(list)
        self.counts = collections.Counter()
        self.requests = 0
        self.sound = set()  # Names of the sound requests.

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def record_run(self, part):
        self.runs[part].append(time.monotonic())

    def record_crash(self, part):
        self.crashes[part].append(time.monotonic())

    async def run(self):
        try:
            await asyncio.wait_for(self.play(), self.options.seconds + 45)
        finally:
            for router in self.routers:
                if router.process is not None:
                    router.process.child.kill()
                    router.process.child.wait()
            for task in list(self.tasks):
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)

    async def play(self):
        self.store_address = await self.store.start(self.ip)
        self.store.put_json("keyed.op", "config", configuration(1, False, KEYS))
        for number in range(self.options.endpoints):
            self.engines.append(CrashingEngine(self, number))
            await self.engines[-1].start()
        self.routers = [Router(self, number) for number in range(self.options.routers)]
        self.seeds = self.routers[:3]
        for router in self.routers:
            router.path.write_text(router.settings())
            router.start()
        for router in self.routers:
            while not await Soak.is_ready(router):
                if not router.alive():
                    raise RuntimeError(f"{router.name} doesn't become ready: {router.tail('')}")
                await asyncio.sleep(0.1)
        heartbeats = self.spawn(self.heartbeats())
        begin = time.monotonic()
        requests = []
        while (elapsed := time.monotonic() - begin) < self.options.seconds:
            requests.append(self.spawn(self.ask(may_crash=elapsed >= SOUND_S)))
            await asyncio.sleep(self.chooser.expovariate(self.options.rate))
        await asyncio.gather(*requests)
        heartbeats.cancel()
        for router in self.routers:
            if not router.alive():
                raise RuntimeError(f"{router.name} has ended: {router.tail('')}")

    async def heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for engine in self.engines:
                if engine.is_up:
                    engine.register()

    def prompt(self, part):
        """Returns the prompt's parts; the last one is different in all requests."""
        first, document = "5c1e07a2:60", f"{0xd0c00000 + self.chooser.randrange(20):08x}:400"
        last = f"{self.requests:08x}:40"
        if part is None:
            return [first, document, last]
        crashing = f"{0xbad00000 + part:08x}:400"
        return [crashing, document, last] if self.options.part == "first" else [first, crashing, last]

    async def ask(self, may_crash):
        self.requests += 1
        is_crashing = may_crash and self.chooser.random() < self.options.share
        part = self.chooser.randrange(self.options.parts) if is_crashing else None
        kind = "crashing" if is_crashing else "sound"
        self.counts[f"{kind} requests"] += 1
        body = json.dumps({"part": part, "number": self.requests}).encode()
        request = Request(f"{self.options.seed & 0xffffffff:08x}{self.requests:08x}", "resumable", "", 0)
        if not is_crashing:
            self.sound.add(request.attempt)
        fields = {"Host": "soak.example", "X-Jasminestack-Attempt-Id": request.attempt,
                  "X-Jasminestack-Deadline-Ms": "5000", "Authorization": "Token " + KEYS[0],
                  "X-Jasminestack-Model-Id": "m", "X-Jasminestack-Token-Usage": "500,10",
                  "X-Jasminestack-Prefix-Hash": ",".join(self.prompt(part)), "Content-Length": str(len(body))}
        head = f"POST {ROUTES['resumable']}x HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in fields.items())
        writer = None
        try:
            router = self.chooser.choice(self.routers)
            reader, writer = await asyncio.wait_for(asyncio.open_connection(router.ip, 20001), 2)
            writer.write(head.encode() + b"\r\n" + body)
            await asyncio.wait_for(read_answer(request, reader), 8)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if writer is not None:
                writer.close()
        is_served = request.status == 200 and request.is_complete
        self.counts[f"{kind} {'served' if is_served else 'not served'}"] += 1

    def late_sends(self, part):
        if len(self.crashes[part]) < TOLERABLE_CRASHES:
            return 0
        bound = self.crashes[part][TOLERABLE_CRASHES - 1] + CONTACT_S
        return sum(at > bound for at in self.runs[part])

    def log_lines(self, event):
        return [line for router in self.routers for line in router.log.read_text(errors="replace").splitlines()
                if f"event={event}" in line]

    def wrong_refusals(self):
        """Returns how many sound requests were refused for what they have in common with others."""
        refused = (line for line in self.log_lines("request_done") if "outcome=crashes_endpoints" in line)
        return sum(re.search(r" request=(\w+)", line).group(1) in self.sound for line in refused)

    def report(self):
        """Prints the figures; returns whether the bounds hold."""
        holds = True
        for part in range(self.options.parts):
            late = self.late_sends(part)
            holds = holds and late <= MAX_LATE_SENDS and bool(self.crashes[part])  # Without a crash nothing is shown.
            print(f"part {part}: {len(self.runs[part])} runs, {len(self.crashes[part])} crashes, "
                  f"{late} later than {CONTACT_S:g} s after crash {TOLERABLE_CRASHES} (at most {MAX_LATE_SENDS})")
        refused = self.wrong_refusals()
        holds = holds and refused <= len(self.sound) / REQUESTS_PER_REFUSAL
        print(f"{refused} of {len(self.sound)} sound requests refused for a part (at most 1 in {REQUESTS_PER_REFUSAL})")
        traits = {word for line in self.log_lines("crash_cause_found") for word in line.split()
                  if word.startswith("trait=")}
        print(f"{len(traits)} traits quarantined for {self.options.parts} crashing parts; "
              + ", ".join(f"{name}: {count}" for name, count in sorted(self.counts.items())))
        return holds


def parse(arguments):
    parser = argparse.ArgumentParser(prog="scripts/check.d/crashing-part", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=16.0, help="how long requests are sent")
    parser.add_argument("--routers", type=int, default=4)
    parser.add_argument("--endpoints", type=int, default=10)
    parser.add_argument("--rate", type=float, default=60.0, help="requests a second")
    parser.add_argument("--share", type=float, default=0.08, help="the part of the requests that crash engines")
    parser.add_argument("--how", choices=["at-once", "moment", "events"], default="at-once", help="when engines end")
    parser.add_argument("--part", choices=["first", "middle"], default="middle", help="where the part is in the prompt")
    parser.add_argument("--parts", type=int, default=1, help="how many parts crash engines")
    parser.add_argument("--keeps-listening", action="store_true",
                        help="engines accept and reset connections while they are away")
    parser.add_argument("--keep-logs", metavar="DIR", help="keeps the logs of the routers here")
    parser.add_argument("--binary", default=str(ROOT / "build/release/jasminestack"))
    options = parser.parse_args(arguments)
    if not os.access(options.binary, os.X_OK):
        parser.error(f"{options.binary} isn't built")
    return options


def main(arguments):
    options = parse(arguments)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # The routers are killed on the way out.
    world = World(options)
    try:
        asyncio.run(world.run())
        holds = world.report()
        if options.keep_logs:
            shutil.copytree(world.folder, options.keep_logs, dirs_exist_ok=True)
    finally:
        shutil.rmtree(world.folder, ignore_errors=True)
    return 0 if holds else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
