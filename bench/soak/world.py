"""The world around the routers: the platform's store, engines that know what they ran, and relays that disturb links."""

import asyncio
import base64
import json
import random
import struct
import time
import urllib.parse
from dataclasses import dataclass

from events import looks_sound, read_chunks, read_events
from history import Run


def address_of(server):
    return "%s:%d" % server.sockets[0].getsockname()[:2]


def abort(writer):
    """Resets the connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        try:
            sock.setsockopt(1, 13, struct.pack("ii", 1, 0))  # SOL_SOCKET, SO_LINGER
        except OSError:
            pass
    writer.transport.abort()


async def read_head(reader):
    """Returns the first line and the headers with names in lower case, or None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text[:-4].decode("latin-1").split("\r\n")
    fields = (line.split(":", 1) for line in lines[1:] if ":" in line)
    return lines[0], {name.strip().lower(): value.strip() for name, value in fields}


async def read_body(reader, headers):
    """Returns a body with a length or in chunks; raises ValueError if it is malformed."""
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0].strip(), 16):
            body += await reader.readexactly(size)
            if await reader.readexactly(2) != b"\r\n":
                raise ValueError("a chunk without its end")
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
    return body


class Store:
    """The platform's store: keyed topics with one partition and long polls."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()
        self.silent_until = 0.0
        self.delay = 0.0
        self.server = None

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        return address_of(self.server)

    def is_silent(self):
        return time.monotonic() < self.silent_until

    def put(self, topic, key, value):
        records, newest = self.topics.setdefault(topic, ([], {}))
        if value is None:
            newest.pop(key, None)
        else:
            newest[key] = (len(records), value)
        content = bytes([len(key)]) + key.encode() + (value or b"")
        records.append(struct.pack(">I", len(content)) + content)
        self.changed.set()
        self.changed = asyncio.Event()

    def put_json(self, topic, key, value):
        self.put(topic, key, None if value is None else json.dumps(value).encode())

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_body(reader, headers)
                url = urllib.parse.urlsplit(line.split(" ")[1])
                query = dict(urllib.parse.parse_qsl(url.query))
                is_lost = self.is_silent()
                if not is_lost:
                    await asyncio.sleep(self.delay)
                    status, answer = await self.answer(url.path, query, body)
                if is_lost or self.is_silent():
                    await reader.read()  # Until the caller closes the connection.
                    break
                writer.write(b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n" % (status, len(answer)) + answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, path, query, body):
        topic = query.get("topic", "")
        if path == "/v1/log-append":
            length = body[4]
            self.put(topic, body[5:5 + length].decode(), body[5 + length:] or None)
            end = len(self.topics[topic][0])
            return 200, json.dumps({"offset": end - 1, "endOffset": end}).encode()
        if topic not in self.topics:
            return 404, b"{}"
        records, newest = self.topics[topic]
        if path == "/v1/log-newest":
            entries = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                       for key, (offset, value) in newest.items()]
            return 200, json.dumps({"entries": entries, "hasMore": False, "endOffset": len(records)}).encode()
        if path == "/v1/log-read":
            start = int(query["from"])
            until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
            while len(records) <= start and (left := until - time.monotonic()) > 0:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    break
            return 200, struct.pack(">QQ", len(records), 0) + b"".join(records[start:])
        return 404, b"{}"


class Relay:
    """A proxy in front of an engine or the store. mode: "", delay, silent, to_client_cut, to_server_cut."""

    def __init__(self, target, chooser):
        self.target = target
        self.chooser = chooser
        self.mode = ""
        self.writers = set()
        self.server = None

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port)
        return address_of(self.server)

    def set_mode(self, mode):
        """Connections that lost bytes in a cut end with it: what follows could look like a sound end."""
        if self.mode.endswith("_cut"):
            self.reset_all()
        self.mode = mode

    def reset_all(self, part=1.0):
        for writer in list(self.writers):
            if self.chooser.random() < part:
                abort(writer)

    async def stop(self):
        self.server.close()
        self.reset_all()

    async def serve(self, reader, writer):
        ip, port = self.target.rsplit(":", 1)
        try:
            to_reader, to_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            abort(writer)
            return
        self.writers |= {writer, to_writer}
        await asyncio.gather(self.copy(reader, to_writer, "to_server_cut"), self.copy(to_reader, writer, "to_client_cut"))
        self.writers -= {writer, to_writer}

    async def copy(self, reader, writer, cut):
        try:
            while data := await reader.read(1 << 15):
                if self.mode == "delay":
                    await asyncio.sleep(self.chooser.uniform(0.02, 0.3))
                while self.mode == "silent":
                    await asyncio.sleep(0.05)
                if self.mode == cut:
                    continue  # What was sent in this direction is lost for good.
                writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            abort(writer)
            return
        writer.close()


def chunk(content):
    return b"%x\r\n" % len(content) + content + b"\r\n"


GARBAGE = [b"\0\xff\xfe\x80" * 9, b"<html>\n\n</html>\n\n", b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", b"\r\n\r\n",
           b"data: stray\n\n", b"id: 1\ndata: stray\n\n", b"id: 9999\ndata: stray\n\n", b"0\r\n\r\n", b"id: 0\n\n", b": x\n\n"]


def spoil_bytes(chooser, content):
    """Changes the content at one random place."""
    at = chooser.randrange(len(content))
    length = min(chooser.choice([1, 1, 2, 7, 30]), len(content) - at)
    kind = chooser.choice(["put in", "taken out", "repeated", "replaced", "cut", "block"])
    if kind == "put in":
        return content[:at] + chooser.randbytes(length) + content[at:]
    if kind == "taken out":
        return content[:at] + content[at + length:]
    if kind == "repeated":
        return content[:at + length] + content[at:]
    if kind == "replaced":
        return content[:at] + chooser.randbytes(length) + content[at + length:]
    if kind == "cut":
        return content[:at]
    return content[:at] + chooser.choice(GARBAGE) + content[at:]


def spoil_stream(chooser, events):
    """Returns the bytes of a spoilt body in chunks whose damage its events show."""
    first = min(events)
    blocks = [b"id: %d\ndata: %s\n\n" % item for item in events.items()]
    for _ in range(50):
        kind = chooser.choice(["body", "body", "frame", "event twice", "event lost", "event block", "other numbers"])
        changed = list(blocks)
        at = chooser.randrange(len(blocks))
        if kind == "event twice":
            changed.insert(at, blocks[at])
        elif kind == "event lost":
            del changed[at]
        elif kind == "event block":
            changed.insert(at, chooser.choice(GARBAGE))
        elif kind == "other numbers":
            shift = chooser.choice([-1, 1, 7])
            changed = [b"id: %d\ndata: %s\n\n" % (number + shift, data) for number, data in events.items()]
        elif kind == "body":
            content = spoil_bytes(chooser, b"".join(blocks))
            size = chooser.choice([11, 40, 1000])
            changed = [content[i:i + size] for i in range(0, len(content), size)]
        wire = b"".join(chunk(block) for block in changed if block) + b"0\r\n\r\n"
        if kind == "frame":
            wire = spoil_bytes(chooser, wire)
        if not looks_sound(wire, events, first):
            return wire
    return b"not a chunk\r\n"


@dataclass
class LateAnswer:
    """A second copy of an answer, which an engine sends where the next answer on the connection is due.

    ending: length (the next answer follows), close, reset, or open (nothing follows, and the connection stays open).
    """
    content: bytes
    ending: str


def late_answer(chooser, head, body):
    """Returns a second copy of the answer with this head and the content of its body."""
    ending = chooser.choice(["length", "close", "close", "reset", "open"])
    framing = (b"content-length", b"transfer-encoding")
    lines = [line for line in head[:-4].split(b"\r\n") if not line.lower().startswith(framing)]
    if ending == "length":
        lines.append(b"Content-Length: %d" % len(body))
    return LateAnswer(b"\r\n".join(lines) + b"\r\n\r\n" + body, ending)


class Engine:
    """An engine behind a relay. service: model or plain."""

    numbers = iter(range(1, 1 << 60))

    def __init__(self, world, service, slots=24):
        self.world = world
        self.service = service
        self.slots = slots
        self.chooser = random.Random(world.chooser.random())
        self.name = f"i-{next(self.numbers):04x}"
        self.phase = "ready"
        self.active = 0
        self.is_dead = False
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.writers = set()
        self.late_answers = {}  # By writer: what to send where the next answer is due.

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.world.ip, 0)
        self.relay = Relay(address_of(self.server), self.chooser)
        try:
            self.address = await self.relay.start(self.world.ip, port)
        except OSError:
            self.address = await self.relay.start(self.world.ip)
        self.register()

    def register(self):
        self.sequence += 1
        self.world.store.put_json("keyed.servers", self.name, {
            "backend": self.service, "address": self.address, "zone": "gebze", "version": "v1",
            "maxBatchSize": self.slots, "phase": self.phase, "coldRemainingMs": 0, "born": self.born,
            "sequence": self.sequence})

    def unregister(self):
        self.world.store.put("keyed.servers", self.name, None)

    async def die(self):
        self.is_dead = True
        self.server.close()
        await self.relay.stop()
        for writer in list(self.writers):
            abort(writer)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                if not await self.serve_request(*head, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            self.late_answers.pop(writer, None)
            writer.close()

    def head(self, attempt, status, headers):
        lines = [f"HTTP/1.1 {status} x", f"X-Jasminestack-Attempt-Id: {attempt}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def serve_request(self, line, headers, reader, writer):
        method, target, _ = line.split(" ", 2)
        body = await read_body(reader, headers)
        attempt = headers.get("x-jasminestack-attempt-id", "")

        async def refuse(status, extra):
            writer.write(self.head(attempt, status, {"X-Jasminestack-Not-Executed": "1", "Content-Length": 0, **extra}))
            await writer.drain()
            return True

        if headers.get("x-jasminestack-expect-instance", self.name) != self.name:
            return await refuse(421, {"X-Jasminestack-Instance-Id": self.name})
        if method == "GET":
            report = {"phaseKind": "colocated", "modelList": [{"name": "m", "version": 1, "loras": []}], "busy": False,
                      "sequence": 1, "queued": 0, "active": self.active, "kvUsage": 0, "kvSize": 600000,
                      "cacheHandles": 0}
            status = {"/healthz": 200, "/v1/report": 200}.get(target, 404)
            content = json.dumps(report).encode() if target == "/v1/report" else b""
            writer.write(self.head(attempt, status, {"X-Jasminestack-Instance-Id": self.name,
                                                     "Content-Length": len(content)}) + content)
            await writer.drain()
            return True
        faults = self.world.faults_on
        if "last-event-id" in headers:
            self.world.history.last_event_ids.append((self.world.now(), attempt, headers["last-event-id"]))
        if self.active >= self.slots or (faults and self.chooser.random() < 0.03):
            return await refuse(503, {})
        if faults and self.chooser.random() < 0.02:
            abort(writer)  # Nobody can tell whether the request ran. It did not.
            return False
        run = Run(attempt, self.name, next(self.numbers), self.world.now(), asked=(method, target, body))
        run.signature = f"sig.{run.number:x}"
        self.world.history.add_run(run)
        wish = json.loads(body)
        run.wanted = wish.get("events", 0)
        self.active += 1
        try:
            if late := self.late_answers.pop(writer, None):
                self.world.count(f"late answer {late.ending}")
                if not await self.send_late(late, writer):
                    return False
            if "events" in wish:
                return await self.run_stream(run, headers, wish, writer)
            return await self.run_plain(run, wish, writer)
        finally:
            self.active -= 1

    async def send_late(self, late, writer):
        """Returns whether the own answer of the request follows."""
        first = self.chooser.randrange(len(late.content)) if self.chooser.random() < 0.5 else 0
        for part in (late.content[:first], late.content[first:]):
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(self.chooser.choice([0, 0.01]))
        if late.ending == "reset":
            abort(writer)
        elif late.ending == "open":
            await asyncio.sleep(1.5)
        return late.ending == "length"

    async def run_plain(self, run, wish, writer):
        chooser = self.chooser
        run.body = f"{run.attempt} {run.number} ".encode() + b"y" * wish["size"]
        await asyncio.sleep(wish["pause"])
        head = self.head(run.attempt, 200, {"X-Jasminestack-Server-Signature": run.signature,
                                            "Content-Length": len(run.body)})
        fault = ""
        if self.world.faults_on and chooser.random() < self.world.spoilt_part:
            fault = chooser.choice(["reset", "cut", "silent", "wrong id", "garbage", "twice", "late", "late at next"])
            self.world.count(f"plain {fault}")
        if fault == "reset":
            writer.write(head + run.body[:chooser.randrange(len(run.body))])
            await asyncio.sleep(0.01)
            abort(writer)
            return False
        if fault == "cut":
            writer.write((head + run.body)[:chooser.randrange(len(head) + len(run.body))])
            await writer.drain()
            return False
        if fault == "silent":
            await asyncio.sleep(2.5)
            return False
        if fault == "wrong id":
            head = head.replace(run.attempt.encode(), b"0123456789abcdef")
        if fault == "garbage":
            head = chooser.choice(GARBAGE[:2]) + head
        writer.write(head + run.body)
        await writer.drain()
        if fault in ("twice", "late"):
            await asyncio.sleep(0 if fault == "twice" else chooser.uniform(0.01, 0.3))
            writer.write(head + run.body)
        if fault == "late at next":
            self.late_answers[writer] = late_answer(chooser, head, run.body)
        return fault != "garbage"

    async def run_stream(self, run, headers, wish, writer):
        chooser = self.chooser
        start = int(headers.get("last-event-id", "0") or "0") + 1
        events = {number: b"%d-%d-%s" % (run.number, number, b"x" * chooser.randrange(40))
                  for number in range(start, run.wanted + 1)}
        fields = {"X-Jasminestack-Server-Signature": run.signature, "Content-Type": "text/event-stream",
                  "Transfer-Encoding": "chunked"}
        await asyncio.sleep(wish["pause"])
        fault = ""
        if events and self.world.faults_on and chooser.random() < self.world.spoilt_part:
            fault = chooser.choice(["spoilt"] * 6 + ["spoilt stays"] * 2 + ["twice", "late", "wrong id", "no type",
                                    "reset", "no end", "pause", "silent", "late at next"])
            self.world.count(f"stream {fault}")
        if fault == "no type":
            del fields["Content-Type"]
        head = self.head(run.attempt, 200, fields)
        if fault == "wrong id":
            head = head.replace(run.attempt.encode(), b"0123456789abcdef")
        if fault.startswith("spoilt"):
            return await self.write_spoilt(run, head, spoil_stream(chooser, events), events, writer,
                                           closes=fault == "spoilt")
        writer.write(head)
        breaks_at = chooser.choice(list(events)) if events else 0
        for number, data in events.items():
            if number == breaks_at and fault in ("reset", "no end", "silent", "pause"):
                writer.write(b"%x\r\n" % 50 + b"id: %d\nda" % number)
                await asyncio.sleep({"pause": 1.0, "silent": 5.0}.get(fault, 0.02))
                if fault == "reset":
                    abort(writer)
                return False
            run.events[number] = data
            writer.write(chunk(b"id: %d\ndata: %s\n\n" % (number, data)))
            await writer.drain()
            await asyncio.sleep(wish["gap"])
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        if fault in ("twice", "late"):
            await asyncio.sleep(0 if fault == "twice" else chooser.uniform(0.01, 0.3))
            body = b"".join(chunk(b"id: %d\ndata: %s\n\n" % item) for item in events.items())
            writer.write(head + body + b"0\r\n\r\n")
        if fault == "late at next":
            self.late_answers[writer] = late_answer(chooser, head, b"".join(b"id: %d\ndata: %s\n\n" % item for item in events.items()))
        return True

    async def write_spoilt(self, run, head, wire, events, writer, closes):
        for number, data in read_events(read_chunks(wire)[0]).events:
            if number.isdigit() and events.get(int(number)) == data:
                run.events[int(number)] = data
        content = head + wire
        while content:
            size = self.chooser.choice([1, 13, 60, 400, 5000])
            writer.write(content[:size])
            content = content[size:]
            await writer.drain()
            await asyncio.sleep(self.chooser.choice([0, 0, 0.002, 0.01]))
        if closes:
            return False
        await asyncio.sleep(0.05)
        return True
