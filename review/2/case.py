"""CONFIG: after a short silence of the store, routers accept a key that was taken away more than configApplyMs ago."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../common"))
from harness import BOUNDS, KEY, Client, Engine, Router, Store, configuration, plain_route, run_case, with_trouble

FOLDER = os.path.dirname(os.path.abspath(__file__))
REVOKED_KEY = "k7b2ex5wa5xwyhks8nbk"
SILENCE_S = 0.2


class Desk:
    """A booking desk engine."""

    def __init__(self, record):
        self.record = record
        self.ran = set()

    async def handle(self, engine, request):
        await request.read_body()
        self.ran.add(request.id)
        self.record(f"{engine.name} runs {request.id}")
        await asyncio.sleep(0.03)
        await request.answer_signed(b"booked")


async def call(record, router, attempt):
    client = Client(router.frontend)
    await client.connect()
    sent_at = record.now()
    record(f"client sends {attempt} with the second key to {router.name}")
    await client.request("POST", "/puxa403/2f", attempt, 2500, b"x" * 600, key=REVOKED_KEY)
    answer = await client.answer(3)
    record(f"client has {attempt}: status {answer.status}")
    client.close()
    return attempt, sent_at, answer


async def case(record, folder):
    store = Store(record)
    await store.start()
    keys = [KEY, REVOKED_KEY]
    store.put_json("keyed.op", "config", configuration(7, [plain_route()], keys))
    desk = Desk(record)
    for number in range(1, 4):
        await Engine(record, store, f"i-desk{number}", "wuno96b", 6, desk.handle).start()
    first = Router(record, folder, "edge-gebze-1", "127.0.0.1", store)
    second = Router(record, folder, "edge-dudullu-1", "127.0.0.2", store, [first.control], zone="dudullu")
    routers = [first, second]
    try:
        for router in routers:
            await router.start()
        for router in routers:
            await router.wait_ready()
        await asyncio.sleep(BOUNDS["contactMs"] / 1000)  # The machines are in touch.
        store.put_json("keyed.op", "config", configuration(8, [plain_route(timeoutMs=1300)], keys))
        record("configuration 8 is acknowledged")
        await asyncio.sleep(0.05)
        if with_trouble():
            store.be_silent(SILENCE_S)
        # The store has been without disruption for contactMs when the key is taken away.
        await asyncio.sleep(SILENCE_S + BOUNDS["contactMs"] / 1000 + 0.05)
        store.put_json("keyed.op", "config", configuration(9, [plain_route(timeoutMs=1300)], [KEY]))
        acknowledged_at = record.now()
        record("configuration 9 is acknowledged: the second key is taken away")
        calls = []
        number = 0
        while record.now() < acknowledged_at + 3.5:
            for router in routers:
                number += 1
                calls.append(asyncio.ensure_future(call(record, router, f"{number:016x}")))
            await asyncio.sleep(0.05)
        due = acknowledged_at + BOUNDS["configApplyMs"] / 1000
        late = []
        for attempt, sent_at, _ in await asyncio.gather(*calls):
            if sent_at > due and attempt in desk.ran:
                late.append(attempt)
                record(f"CONFIG: {attempt} was sent {sent_at - acknowledged_at:.3f} s after the key was taken away,"
                       " and ran")
        return not late
    finally:
        for router in routers:
            await router.stop()


run_case(FOLDER, case)
