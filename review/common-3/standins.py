"""Stand-ins for the platform's store and for engines, as the users' pages describe them.

Usage:
  standins.py store ADDRESS
  standins.py engine ADDRESS --store ADDRESS --id ID --backend NAME --journal FILE [--slots N] [--queue N]
              [--work-ms MS] [--zone ZONE] [--second-answers PART]
"""
import argparse
import asyncio
import base64
import json
import random
import signal
import time
import urllib.parse


async def read_head(reader):
    """Returns (first line, headers as a list of pairs), or None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text[:-4].decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers.append((name.strip().lower(), value.strip()))
    return lines[0], headers


def header(headers, name, default=""):
    return next((value for key, value in headers if key == name.lower()), default)


async def read_body(reader, headers):
    if header(headers, "transfer-encoding").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    length = int(header(headers, "content-length", "0") or 0)
    return await reader.readexactly(length) if length else b""


def address(text):
    host, port = text.rsplit(":", 1)
    return host, int(port)


class Store:
    """Topics with one partition each, of which the newest record of each key is kept."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Condition()

    def records(self, topic):
        return self.topics.setdefault(topic, [])

    async def append(self, topic, body):
        records = self.records(topic)
        first = len(records)
        while body:
            length = int.from_bytes(body[:4], "big")
            records.append(body[4:4 + length])
            body = body[4 + length:]
        async with self.changed:
            self.changed.notify_all()
        return first, len(records)

    async def answer(self, method, target, body):
        """Returns (status, content type, body)."""
        path, _, query = target.partition("?")
        arguments = dict(urllib.parse.parse_qsl(query))
        topic = arguments.get("topic", "")
        if method == "POST" and path == "/v1/log-append":
            first, end = await self.append(topic, body)
            return self.json({"offset": first, "endOffset": end})
        if topic not in self.topics:
            return self.json({"reason": "unknown topic"}, 404)
        records = self.records(topic)
        if path == "/v1/log-read":
            start = int(arguments.get("from", "0"))
            if start > len(records):
                return self.json({"startOffset": 0}, 410)
            deadline = time.monotonic() + int(arguments.get("waitMs", "0")) / 1000
            while start >= len(records) and time.monotonic() < deadline:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
                    except asyncio.TimeoutError:
                        break
            content = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
            for record in records[start:]:
                content += len(record).to_bytes(4, "big") + record
            return 200, "application/octet-stream", content
        if path == "/v1/log-newest":
            newest = {}
            for offset, record in enumerate(records):
                key = record[1:1 + record[0]].decode()
                value = record[1 + record[0]:]
                newest.pop(key, None)
                if value:
                    newest[key] = (value, offset)
            entries = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                       for key, (value, offset) in sorted(newest.items())]
            return self.json({"entries": entries, "hasMore": False, "endOffset": len(records)})
        return self.json({"reason": "unknown call"}, 404)

    @staticmethod
    def json(value, status=200):
        return status, "application/json", json.dumps(value).encode()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                status, kind, content = await self.answer(method, target, body)
                writer.write((f"HTTP/1.1 {status} OK\r\nContent-Type: {kind}\r\nStore-Era: 1\r\n"
                              f"Content-Length: {len(content)}\r\n\r\n").encode() + content)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()


class Engine:
    """A plain service: runs at most `slots` requests at once and rejects what does not fit into its queue."""

    def __init__(self, options):
        self.options = options
        self.running = 0
        self.waiting = 0
        self.sequence = 0
        self.slot_free = asyncio.Condition()
        self.journal = open(options.journal, "a", buffering=1)

    def log(self, what, **fields):
        self.journal.write(json.dumps({"at": round(time.time(), 4), "what": what, **fields}) + "\n")

    def registration(self):
        self.sequence += 1
        return {"backend": self.options.backend, "address": self.options.address, "zone": self.options.zone,
                "version": "v1", "maxBatchSize": self.options.slots, "phase": "ready", "coldRemainingMs": 0,
                "sequence": self.sequence, "born": self.born}

    async def register(self):
        self.born = int(time.time() * 1000)
        while True:
            key = self.options.id.encode()
            content = bytes([len(key)]) + key + json.dumps(self.registration()).encode()
            record = len(content).to_bytes(4, "big") + content
            try:
                reader, writer = await asyncio.open_connection(*address(self.options.store))
                writer.write(f"POST /v1/log-append?topic=keyed.servers&part=0 HTTP/1.1\r\nHost: store\r\n"
                             f"Content-Length: {len(record)}\r\n\r\n".encode() + record)
                await read_head(reader)
                writer.close()
            except OSError:
                pass
            await asyncio.sleep(1.2)

    def load(self):
        return f"{self.running},{self.waiting},{self.options.slots}"

    async def respond(self, method, target, headers, body):
        """Returns (status, headers, body)."""
        request_id = header(headers, "x-jasminestack-attempt-id")
        if target == "/healthz":
            return 200, {"X-Jasminestack-Instance-Id": self.options.id}, b""
        if not request_id:
            return 400, {"X-Jasminestack-Not-Executed": "1"}, b""
        expected = header(headers, "x-jasminestack-expect-instance")
        if expected and expected != self.options.id:
            return 421, {"X-Jasminestack-Instance-Id": self.options.id}, b""
        if self.running >= self.options.slots and self.waiting >= self.options.queue:
            self.log("rejected", id=request_id)
            return 503, {"X-Jasminestack-Not-Executed": "1"}, b""
        deadline = time.monotonic() + int(header(headers, "x-jasminestack-deadline-ms", "10000")) / 1000
        self.waiting += 1
        async with self.slot_free:
            while self.running >= self.options.slots:
                await self.slot_free.wait()
        self.waiting -= 1
        if time.monotonic() >= deadline:
            return 503, {"X-Jasminestack-Not-Executed": "1"}, b""
        self.running += 1
        self.log("runs", id=request_id, method=method, target=target, body=len(body),
                 tenant=header(headers, "x-jasminestack-tenant"))
        await asyncio.sleep(self.options.work_ms / 1000)
        self.running -= 1
        async with self.slot_free:
            self.slot_free.notify()
        return 200, {"X-Jasminestack-Server-Signature": "s." + request_id}, b"x" * 800

    async def serve(self, reader, writer):
        second_answer = None
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                status, extra, content = await self.respond(method, target, head[1], body)
                if second_answer:
                    # A second copy of the answer before, late. It has no length, so that it ends with the connection.
                    self.log("second answer", id=second_answer[0],
                             instead_of=header(head[1], "x-jasminestack-attempt-id"))
                    writer.write(second_answer[1])
                    await writer.drain()
                    break
                lines = [f"HTTP/1.1 {status} OK", f"Content-Length: {len(content)}",
                         f"X-Jasminestack-Server-Load: {self.load()}", "Keep-Alive: timeout=30"]
                if request_id := header(head[1], "x-jasminestack-attempt-id"):
                    lines.append(f"X-Jasminestack-Attempt-Id: {request_id}")
                lines += [f"{name}: {value}" for name, value in extra.items()]
                writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + content)
                await writer.drain()
                if request_id and status == 200 and random.random() < self.options.second_answers:
                    unframed = [line for line in lines if not line.startswith(("Content-Length", "Keep-Alive"))]
                    second_answer = request_id, ("\r\n".join(unframed) + "\r\n\r\n").encode() + content
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("role", choices=["store", "engine"])
    parser.add_argument("address")
    parser.add_argument("--store")
    parser.add_argument("--id")
    parser.add_argument("--backend")
    parser.add_argument("--zone", default="z1")
    parser.add_argument("--journal", default="/dev/null")
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--queue", type=int, default=24)
    parser.add_argument("--work-ms", type=float, default=30)
    parser.add_argument("--second-answers", type=float, default=0)
    options = parser.parse_args()
    role = Store() if options.role == "store" else Engine(options)
    host, port = address(options.address)
    server = await asyncio.start_server(role.serve, host, port, limit=1 << 20)
    if options.role == "engine":
        registering = asyncio.create_task(role.register())
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()
    server.close()


if __name__ == "__main__":
    asyncio.run(main())
