"""MIXED: bytes that are no HTTP response reach the client as the answer to its request."""

import asyncio
import os
import re
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../common"))
from harness import BOUNDS, KEY, Engine, Router, Store, configuration, plain_route, run_case, with_trouble

FOLDER = os.path.dirname(os.path.abspath(__file__))
REQUESTS = 400
CLIENTS = 4
SPOILT_SHARE = 0.05  # Of the answers of one of the three engines.
BODY = b"booked for six o'clock"

STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9] [\t\x20-\x7e\x80-\xff]*")
FIELD_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*")


def is_response_head(head):
    """Whether the bytes before the blank line are the head of an HTTP/1.1 response (RFC 9112, 4 and 5)."""
    lines = head.split(b"\r\n")
    return STATUS_LINE.fullmatch(lines[0]) is not None and all(FIELD_LINE.fullmatch(line) for line in lines[1:])


class Desk:
    """A booking desk engine; one of them spoils some of its answers."""

    def __init__(self, record, name):
        self.record = record
        self.answers = 0
        self.spoils = with_trouble() and name == "i-desk1"

    async def handle(self, engine, request):
        await request.read_body()
        await asyncio.sleep(0.01)
        self.answers += 1
        lines = [b"HTTP/1.1 200 OK", b"X-Jasminestack-Attempt-Id: " + request.id.encode(),
                 b"X-Jasminestack-Server-Signature: sig." + engine.name.encode(),
                 b"X-Jasminestack-Server-Load: 3,0,6", b"Content-Length: %d" % len(BODY)]
        if self.spoils and self.answers % round(1 / SPOILT_SHARE) == 0:
            kind = self.answers // round(1 / SPOILT_SHARE) % 3
            if kind == 0:
                lines[0] = b"HTTP/1.1 000 OK"
            elif kind == 1:
                lines[3] = b"X-Jasminestack-Server-Load: 3\nContent-Length: 6"
            else:
                lines[3] = b"\x1f\x02smi\x00estack: 3,0,6"
            self.record(f"{engine.name} spoils its answer to {request.id}: {lines[0]} {lines[3]}")
        else:
            self.record(f"{engine.name} answers {request.id}")
        request.write(b"\r\n".join(lines) + b"\r\n\r\n" + BODY)
        await request.writer.drain()


async def call(record, router, attempt):
    """Returns the bytes before the blank line of the answer."""
    ip, port = router.frontend.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(ip, int(port))
    writer.write((f"POST /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Jasminestack-Attempt-Id: {attempt}\r\n"
                  f"X-Jasminestack-Deadline-Ms: 2500\r\nAuthorization: Token {KEY}\r\nConnection: close\r\n"
                  "Content-Length: 3\r\n\r\nabc").encode())
    data = await asyncio.wait_for(reader.read(), 5)
    writer.close()
    head = data.split(b"\r\n\r\n", 1)[0]
    record(f"client has {attempt}: {head.split(chr(13).encode())[0]}")
    return head


async def case(record, folder):
    store = Store(record)
    await store.start()
    store.put_json("keyed.op", "config", configuration(7, [plain_route()]))
    for number in range(1, 4):
        name = f"i-desk{number}"
        await Engine(record, store, name, "wuno96b", 6, Desk(record, name).handle).start()
    router = Router(record, folder, "edge-gebze-1", "127.0.0.1", store)
    await router.start()
    wrong = []
    try:
        await router.wait_ready()
        await asyncio.sleep(BOUNDS["contactMs"] / 1000)

        async def client(first):
            for number in range(first, REQUESTS, CLIENTS):
                attempt = f"{number:016x}"
                head = await call(record, router, attempt)
                if not is_response_head(head):
                    wrong.append(attempt)
                    record(f"MIXED: the client of {attempt} gets bytes that are no answer in the protocol: {head}")

        await asyncio.gather(*[client(number) for number in range(CLIENTS)])
        return not wrong
    finally:
        await router.stop()


run_case(FOLDER, case)
