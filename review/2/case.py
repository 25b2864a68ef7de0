"""DRAIN: after a short silence of the store, routers send requests to an engine that has been draining for longer than
drainMs."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../common"))
from harness import BOUNDS, Client, Engine, Router, Store, configuration, plain_route, run_case, with_trouble

FOLDER = os.path.dirname(os.path.abspath(__file__))
SILENCE_S = 0.2
LEAVING = "i-desk3"


class Desk:
    """A booking desk engine, which notes when requests reach it."""

    def __init__(self, record):
        self.record = record
        self.reached = {}

    async def handle(self, engine, request):
        self.reached.setdefault(engine.name, []).append((self.record.now(), request.id))
        self.record(f"{request.id} reaches {engine.name}")
        await request.read_body()
        await asyncio.sleep(0.03)
        await request.answer_signed(b"booked")


async def call(record, router, attempt):
    client = Client(router.frontend)
    await client.connect()
    record(f"client sends {attempt} to {router.name}")
    await client.request("POST", "/puxa403/2f", attempt, 2500, b"x" * 600)
    answer = await client.answer(3)
    record(f"client has {attempt}: status {answer.status}")
    client.close()


async def case(record, folder):
    store = Store(record)
    await store.start()
    store.put_json("keyed.op", "config", configuration(7, [plain_route()]))
    desk = Desk(record)
    engines = [Engine(record, store, f"i-desk{number}", "wuno96b", 6, desk.handle) for number in range(1, 4)]
    for engine in engines:
        await engine.start()
    first = Router(record, folder, "edge-gebze-1", "127.0.0.1", store)
    second = Router(record, folder, "edge-dudullu-1", "127.0.0.2", store, [first.control], zone="dudullu")
    routers = [first, second]
    try:
        for router in routers:
            await router.start()
        for router in routers:
            await router.wait_ready()
        await asyncio.sleep(BOUNDS["contactMs"] / 1000)  # The machines are in touch.
        newcomer = Engine(record, store, "i-desk4", "wuno96b", 6, desk.handle)
        await newcomer.start()
        record("i-desk4 registers")
        await asyncio.sleep(0.05)
        if with_trouble():
            store.be_silent(SILENCE_S)
        # The store has been without disruption for contactMs when the engine begins to leave.
        await asyncio.sleep(SILENCE_S + BOUNDS["contactMs"] / 1000 + 0.05)
        leaving = engines[2]
        leaving.phase = "draining"
        leaving.register()
        acknowledged_at = record.now()
        record(f"{LEAVING} is draining, as the store acknowledges")
        calls = []
        number = 0
        while record.now() < acknowledged_at + 3.2:
            for router in routers:
                number += 1
                calls.append(asyncio.ensure_future(call(record, router, f"{number:016x}")))
            await asyncio.sleep(0.015)
        await asyncio.gather(*calls)
        late = [(at, attempt) for at, attempt in desk.reached.get(LEAVING, [])
                if at > acknowledged_at + BOUNDS["drainMs"] / 1000]
        for at, attempt in late:
            record(f"DRAIN: {attempt} reached {LEAVING} {at - acknowledged_at:.3f} s after it began to drain")
        return not late
    finally:
        for router in routers:
            await router.stop()


run_case(FOLDER, case)
