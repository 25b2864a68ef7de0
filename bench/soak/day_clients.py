"""Clients of a day: an open loop of requests in the deployment's mix, over kept connections to the routers in rotation."""

import asyncio
import collections
import json
import random
import socket
import time
from dataclasses import dataclass

from world import abort, read_body, read_head

FRONTEND = 20001


@dataclass
class Kind:
    """A kind of request. Sizes are medians of a log-normal distribution, cut off at their maximum."""
    name: str
    share: float
    prefix: str
    body: float
    body_max: int
    deadline_s: float
    shared_tokens: int = 0
    tokens: int = 0
    events: float = 0
    events_max: int = 0
    answer: int = 800


KINDS = [Kind("quote", 66.2, "/quote/", 9000, 100000, 15, 13300, 3720, 33, 239),
         Kind("review", 49.2, "/review/", 5000, 55000, 8, 6300, 2890, 14, 104),
         Kind("chat", 84.2, "/chat/", 900, 8700, 15, 350, 1110, 58, 258),
         Kind("book", 20.8, "/book/", 500, 3600, 2.5),
         Kind("check", 8.32, "/check/", 1, 1, 2.5)]
TIGHT_WINDOW = 2048
MAX_KEPT = 60


def draw(chooser, median, most, spread=1.1):
    return max(1, min(most, int(chooser.lognormvariate(0, spread) * median)))


def prefix_of(chooser, kind):
    """The parts of a prompt: shared ones of blocks of up to 1,024 tokens, the last one of the request itself."""
    thing = chooser.randrange(150)
    parts, left = [], draw(chooser, kind.shared_tokens * 0.8, kind.shared_tokens * 3, 0.6)
    size = chooser.choice([128, 1024, 1024, 8192])
    while left > 0 and len(parts) < 150:
        parts.append(f"{hash((kind.name, thing, len(parts), size)) & 0xffffffff:08x}:{min(size, left)}")
        left -= size
    tokens = draw(chooser, kind.tokens * 0.6, 53200)
    return ",".join([*parts, f"{chooser.getrandbits(32):08x}:{tokens}"]), tokens


class Clients:
    def __init__(self, seed, addresses, in_rotation, phase, keys, rate):
        self.chooser = random.Random(f"{seed}/clients")
        self.addresses = addresses
        self.in_rotation = in_rotation  # One number per address: counted by the platform's questions for readiness.
        self.phase = phase  # 0 ordinary, 1 burst, 2 clients leave, 3 slow readers, 4 large bodies
        self.keys = keys
        self.rate = rate
        self.kept = collections.defaultdict(list)
        self.counts = collections.Counter()
        self.active = 0
        self.attempts = 0

    async def run(self, until):
        tasks = set()
        while (now := time.monotonic()) < until:
            rate = self.rate * (1.7 if self.phase.value == 1 else 1)
            await asyncio.sleep(self.chooser.expovariate(rate))
            if self.active < 1500:
                task = asyncio.create_task(self.request())
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            else:
                self.counts["not sent, 1,500 in progress"] += 1
        if tasks:
            await asyncio.wait(tasks, timeout=3)
        for task in list(tasks):
            task.cancel()
        return dict(self.counts)

    def pick(self):
        good = [address for address, value in zip(self.addresses, self.in_rotation) if value > 0]
        return self.chooser.choice(good) if good else None

    async def connect(self, ip, tight):
        if self.kept[ip] and not tight and self.chooser.random() < 0.9:
            return self.kept[ip].pop()
        sock = socket.socket()
        sock.setblocking(False)
        if tight:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, TIGHT_WINDOW)
        try:
            await asyncio.wait_for(asyncio.get_running_loop().sock_connect(sock, (ip, FRONTEND)), 1)
        except BaseException:
            sock.close()
            raise
        return await asyncio.open_connection(sock=sock, limit=4096 if tight else 1 << 16)

    async def request(self):
        chooser, phase = self.chooser, self.phase.value
        kind = chooser.choices(KINDS, [kind.share for kind in KINDS])[0]
        ip = self.pick()
        if ip is None:
            self.counts["no router in rotation"] += 1
            return
        tight = chooser.random() < (0.2 if phase == 3 else 0.01)
        leaves = chooser.random() < (0.3 if phase == 2 else 0.03)
        writer = None
        self.active += 1
        outcome = "failed"
        try:
            reader, writer = await self.connect(ip, tight)
            outcome = await asyncio.wait_for(self.exchange(kind, reader, writer, tight), chooser.uniform(0.01, 1) if leaves
                                             else kind.deadline_s)
            if outcome.endswith("+kept") and len(self.kept[ip]) < MAX_KEPT and not tight:
                self.kept[ip].append((reader, writer))
                writer = None
        except asyncio.TimeoutError:
            outcome = "left" if leaves else "deadline"
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError, IndexError):
            outcome = "connection failed" if writer is None else "connection ended"
        finally:
            self.active -= 1
            self.counts["requests"] += 1
            self.counts[outcome.removesuffix("+kept")] += 1
            if writer is not None:
                abort(writer) if chooser.random() < 0.3 else writer.close()

    async def exchange(self, kind, reader, writer, tight):
        chooser = self.chooser
        self.attempts += 1
        wish = {"pause": chooser.uniform(0.02, 0.3) if kind.events else chooser.uniform(0.01, 0.06)}
        headers = [f"Host: day.example", f"X-Jasminestack-Attempt-Id: {chooser.getrandbits(64):016x}",
                   f"X-Jasminestack-Deadline-Ms: {int(kind.deadline_s * 1000)}",
                   f"Authorization: Token {chooser.choice(self.keys)}"]
        if kind.events:
            wish |= {"events": draw(chooser, kind.events, kind.events_max), "gap": chooser.uniform(0.01, 0.04)}
            prefix, tokens = prefix_of(chooser, kind)
            headers += ["X-Jasminestack-Model-Id: m", f"X-Jasminestack-Token-Usage: {tokens + kind.shared_tokens},{2 * wish['events']}",
                        f"X-Jasminestack-Prefix-Hash: {prefix}", f"X-Jasminestack-Length-Hint: {2 * wish['events']}"]
        else:
            wish["size"] = draw(chooser, kind.answer, 4800, 0.5)
        size = draw(chooser, kind.body_max if self.phase.value == 4 else kind.body, kind.body_max)
        body = json.dumps({**wish, "pad": "x" * size}).encode()
        if chooser.random() < 0.1:
            step = max(1, len(body) // 5)
            pieces = [body[i:i + step] for i in range(0, len(body), step)]
            headers.append("Transfer-Encoding: chunked")
            body = b"".join(b"%x\r\n" % len(piece) + piece + b"\r\n" for piece in pieces) + b"0\r\n\r\n"
        else:
            headers.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join([f"POST {kind.prefix}x HTTP/1.1", *headers]) + "\r\n\r\n").encode() + body)
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            return "no answer"
        status = head[0].split()[1]
        if tight:
            while await reader.read(200):
                await asyncio.sleep(0.05)
        elif "content-length" in head[1] or "transfer-encoding" in head[1]:
            await read_body(reader, head[1])
        else:
            await reader.read()
            return status
        return status if head[1].get("connection", "").lower() == "close" or tight else status + "+kept"


def run_clients(seed, addresses, in_rotation, phase, keys, rate, seconds, results):
    """The body of a worker process."""
    clients = Clients(seed, addresses, in_rotation, phase, keys, rate)
    results.put(("clients", asyncio.run(clients.run(time.monotonic() + seconds))))
