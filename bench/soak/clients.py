"""Clients of the routers: each uses a connection until it ends, and keeps what it asked and received."""

import asyncio
import collections
import json
import random

from events import read_events
from history import Request
from router import EXTRA_PREFIX, KEYS, ROUTES
from starts import PORTS
from world import abort, read_body, read_head

SLOW_GAP_S = 0.4
MAX_SLOW = 8  # Streams with this gap that may be in progress: many would take all slots of the engines.


class Clients:
    def __init__(self, soak):
        self.soak = soak
        self.slow = 0
        self.attempts = 0
        self.judged = collections.defaultdict(lambda: [0, 0])  # Requests served and sent, by router.

    async def run(self, number):
        chooser = random.Random(f"{self.soak.seed}/{number}")
        while not self.soak.is_over:
            routers = self.soak.routers
            router = routers[number % len(routers)] if chooser.random() < 0.5 else chooser.choice(routers)
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(router.ip, PORTS["callers"]), 1)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)
                continue
            try:
                is_open, is_closing, resume = True, False, None
                while is_open and not self.soak.is_over:
                    request, is_open = await self.ask(router, reader, writer, chooser, resume, is_closing)
                    if is_open and request.headers.get("connection", "").lower() == "close":
                        is_open, is_closing = chooser.random() < 0.5, True  # Some clients go on until the connection is gone.
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

    async def ask(self, router, reader, writer, chooser, resume, is_closing):
        """Sends a request and reads its answer; returns the request and whether the connection is still open.

        is_closing says that the router has announced the end of the connection: it needn't serve the request.
        """
        self.attempts += 1
        kind = "resumable" if resume else chooser.choice(["resumable", "resumable", "stream", "stream", "idempotent",
                                                          "non_idempotent"])
        request = Request(f"{self.soak.seed & 0xffffffff:08x}{self.attempts:08x}", kind, router.name, self.soak.now())
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
            if self.soak.faults_on and chooser.random() < 0.05 and self.slow < MAX_SLOW:  # Some are still in progress at the end of a grace time.
                wish["gap"] = SLOW_GAP_S
            fields.update({"X-Jasminestack-Model-Id": "m", "X-Jasminestack-Token-Usage": f"100,{request.wanted}",
                           "X-Jasminestack-Prefix-Hash": f"5c1e07a2:60,{chooser.randrange(1 << 32):08x}:40"})
            if resume:
                request.last_event_id = resume[0]
                fields["Last-Event-Id"] = str(resume[0])
                self.soak.count("resumed by the client")
        else:
            wish["size"] = chooser.choice([0, 10, 3000, 100000])
        body = json.dumps(wish).encode()
        fields["Content-Length"] = str(len(body))
        request.asked = ("POST", prefix + "x", body)
        self.soak.history.add_request(request)
        self.soak.count(f"requests {kind}")
        head = "\r\n".join([f"POST {prefix}x HTTP/1.1"] + [f"{name}: {value}" for name, value in fields.items()])
        may_judge = prefix != EXTRA_PREFIX and wish.get("gap") != SLOW_GAP_S and not is_closing
        self.soak.count("asked on a connection that the router closes" if is_closing else "asked")
        began_planned = self.soak.is_planned
        self.slow += wish.get("gap") == SLOW_GAP_S
        is_open = False
        try:
            writer.write(head.encode() + b"\r\n\r\n" + body)
            limit = 0.05 if chooser.random() < 0.03 else 6.5  # A few clients leave early.
            may_judge = may_judge and limit > 1
            await asyncio.wait_for(read_answer(request, reader), limit)
            is_open = request.is_complete
        except asyncio.TimeoutError:
            self.soak.count("no proper end")
        except (ConnectionError, asyncio.IncompleteReadError):
            self.soak.count("no proper end")
            request.is_cut = True
        except (ValueError, IndexError, asyncio.LimitOverrunError):
            request.is_malformed = True
        self.slow -= wish.get("gap") == SLOW_GAP_S
        request.took_s = self.soak.now() - request.at
        request.is_planned = began_planned and self.soak.is_planned
        self.soak.count(f"status {request.status}")
        if may_judge:
            self.judged[router.name][1] += 1
            self.judged[router.name][0] += 200 <= request.status < 300 and request.is_complete
        return request, is_open


def is_status(text):
    return len(text) == 3 and text.isdigit() and 100 <= int(text) <= 599


async def read_answer(request, reader):
    head = await read_head(reader)
    if head is None:
        raise ConnectionError
    protocol, status = head[0].split(" ")[:2]
    if protocol not in ("HTTP/1.1", "HTTP/1.0") or not is_status(status):
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
