"""Engines of a day, in a worker process: they register in the store over its protocol, crash, return and refuse."""

import asyncio
import collections
import json
import random
import struct
import time

from world import Engine, read_head

COUNTS = {"model": 18, "plain": 3}
SLOTS = {"model": 128, "plain": 6}
ZONES = ["gebze", "dudullu", "bursa-nilufer"]


class RemoteStore:
    """Appends records to the store with one connection for each call."""

    def __init__(self, address):
        self.ip, self.port = address
        self.tasks = set()

    def put(self, topic, key, value):
        content = bytes([len(key)]) + key.encode() + (value or b"")
        task = asyncio.create_task(self.append(topic, struct.pack(">I", len(content)) + content))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def put_json(self, topic, key, value):
        self.put(topic, key, json.dumps(value).encode())

    async def append(self, topic, record):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.port), 2)
            writer.write(f"POST /v1/log-append?topic={topic}&part=0 HTTP/1.1\r\nHost: store\r\n"
                         f"Content-Length: {len(record)}\r\n\r\n".encode() + record)
            await asyncio.wait_for(read_head(reader), 2)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            pass  # The next registration repeats it.


class NoHistory:
    """Takes what engines ran and keeps nothing: minutes of streams would fill the memory."""

    def __init__(self):
        self.last_event_ids = collections.deque(maxlen=1)
        self.runs = 0

    def add_run(self, _run):
        self.runs += 1


class DayEngine(Engine):
    refuses = 0.0

    async def run_plain(self, run, wish, writer):
        if self.chooser.random() < 0.05:
            await asyncio.sleep(wish["pause"])
            self.world.count("plain without length")
            writer.write(self.head(run.attempt, 200, {"X-Jasminestack-Server-Signature": run.signature,
                                                      "Connection": "close"}) + b"y" * wish["size"])
            await writer.drain()
            return False
        return await super().run_plain(run, wish, writer)

    def head(self, attempt, status, headers):
        return super().head(attempt, status, {"X-Jasminestack-Server-Load": f"{self.active},0,{self.slots}", **headers})

    async def serve_request(self, line, headers, reader, writer):
        if self.refuses and self.chooser.random() < self.refuses:
            active, self.active = self.active, self.slots
            try:
                return await super().serve_request(line, headers, reader, writer)
            finally:
                self.active += active - self.slots
        return await super().serve_request(line, headers, reader, writer)


class Engines:
    """The world of the engines; `world.Engine` reads its fields."""

    def __init__(self, seed, ip, store_address):
        self.ip = ip
        self.chooser = random.Random(f"{seed}/engines")
        self.store = RemoteStore(store_address)
        self.history = NoHistory()
        self.counts = collections.Counter()
        self.faults_on = False
        self.spoilt_part = 0.05
        self.engines = []
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def count(self, what):
        self.counts[what] += 1

    async def add(self, service, port=0):
        engine = DayEngine(self, service, SLOTS[service])
        await engine.start(port)
        self.engines.append(engine)

    async def heartbeats(self):
        while True:
            await asyncio.sleep(1.2)
            for engine in self.engines:
                if not engine.is_dead:
                    engine.register()

    async def run(self, until):
        for service, number in COUNTS.items():
            for _ in range(number):
                await self.add(service)
        beats = asyncio.create_task(self.heartbeats())
        await asyncio.sleep(8)
        tasks = set()
        while time.monotonic() < until:
            # Half of the time engines are calm, as on most days.
            self.faults_on = self.chooser.random() < 0.5
            for _ in range(self.chooser.randrange(1, 5)):
                task = asyncio.create_task(self.disturb())
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(self.chooser.uniform(0.1, 1.5))
            await asyncio.sleep(self.chooser.uniform(0.5, 4))
        beats.cancel()
        return {**self.counts, "runs": self.history.runs}

    async def disturb(self):
        chooser = self.chooser
        if len(self.engines) < 5:
            return
        engine = chooser.choice(self.engines)
        kind = chooser.choice(["crash", "crash", "leave", "drain", "refuse", "delay", "silent", "to_client_cut", "to_server_cut",
                               "reset", "reset all"])
        self.count(f"engine {kind}")
        if kind in ("crash", "leave", "drain"):
            self.engines.remove(engine)
            if kind == "drain":
                engine.phase = "draining"
                engine.register()
                await asyncio.sleep(2.3)
            if kind != "crash" or chooser.random() < 0.3:
                engine.unregister()
            if kind == "leave":
                await asyncio.sleep(2.3)
            await engine.die()
            await asyncio.sleep(chooser.uniform(0.3, 4))
            await self.add(engine.service, int(engine.address.rsplit(":", 1)[1]) if chooser.random() < 0.5 else 0)
        elif kind == "refuse":
            engine.refuses = 0.45
            await asyncio.sleep(chooser.uniform(1, 6))
            engine.refuses = 0.0
        elif kind == "reset":
            engine.relay.reset_all(0.5)
        elif kind == "reset all":
            for other in self.engines:
                other.relay.reset_all(0.5)
        else:
            engine.relay.set_mode(kind)
            await asyncio.sleep(chooser.uniform(0.3, 5.5))
            engine.relay.set_mode("")


def run_engines(seed, ip, store_address, seconds, results):
    """The body of a worker process."""
    engines = Engines(seed, ip, store_address)
    results.put(("engines", asyncio.run(engines.run(time.monotonic() + seconds))))
