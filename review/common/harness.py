"""Stand-ins for the cases of this folder: the platform's store, engines and clients, and the start of router processes.

Everything runs on loopback addresses with free ports and on the real clock. The routers are started with the command and
the settings template of the deploy file.
"""

import asyncio
import base64
import json
import os
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BOUNDS = {"contactMs": 3000, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
          "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 54}
KEY = "asnmgkcuyj8pjbvk9m68"
TENANT = "hule930"


def with_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run, so that it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_port(ip, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


async def read_head(reader):
    """Returns the first line and the headers with names in lower case, or None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_request_body(reader, headers):
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store: keyed topics with one partition, with long polls."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.changed = asyncio.Event()
        self.silent_until = 0.0
        self.address = None
        self.server = None

    def be_silent(self, seconds):
        """The store is down: it answers nothing for so long, and never again on a connection whose answer was lost."""
        self.silent_until = time.monotonic() + seconds
        self.record(f"the store answers nothing for {seconds} s")

    def is_silent(self):
        return time.monotonic() < self.silent_until

    async def start(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def put(self, topic, key, value):
        """Appends a record; without a value the key is dropped."""
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
                body = await read_request_body(reader, headers)
                url = urllib.parse.urlsplit(line.split(" ")[1])
                query = dict(urllib.parse.parse_qsl(url.query))
                is_lost = self.is_silent()
                if not is_lost:
                    status, answer = await self.answer(url.path, query, body)
                if is_lost or self.is_silent():
                    await reader.read()  # Until the caller closes the connection.
                    break
                writer.write(b"HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n" % (status, len(answer)) + answer)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, path, query, body):
        topic = query.get("topic", "")
        if path == "/v1/log-append":
            key_length = body[4]
            key = body[5:5 + key_length].decode()
            self.put(topic, key, body[5 + key_length:] or None)
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


class Engine:
    """An engine: registers itself in the store and answers requests with a handler of the case.

    handler(engine, request) is called for each request that the engine accepts; a request is an EngineRequest.
    """

    def __init__(self, record, store, name, backend, slots, handler, zone="gebze"):
        self.record = record
        self.store = store
        self.name = name
        self.backend = backend
        self.slots = slots
        self.handler = handler
        self.zone = zone
        self.phase = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.address = None
        self.server = None

    async def start(self, ip="127.0.0.1"):
        self.server = await asyncio.start_server(self.serve, ip, 0, limit=1 << 16)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        self.register()

    def register(self):
        self.sequence += 1
        self.store.put_json("keyed.servers", self.name, {
            "backend": self.backend, "address": self.address, "zone": self.zone, "version": "v1",
            "maxBatchSize": self.slots, "phase": self.phase, "coldRemainingMs": 0, "born": self.born,
            "sequence": self.sequence})

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                request = EngineRequest(self, line, headers, reader, writer)
                expected = headers.get("x-jasminestack-expect-instance", self.name)
                if expected != self.name:
                    await request.read_body()
                    await request.answer(421, b"", {"X-Jasminestack-Instance-Id": self.name})
                    continue
                await self.handler(self, request)
                if request.closes:
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class EngineRequest:
    """A request at an engine."""

    def __init__(self, engine, line, headers, reader, writer):
        self.engine = engine
        self.method, self.target, _ = line.split(" ", 2)
        self.headers = headers
        self.id = headers.get("x-jasminestack-attempt-id", "")
        self.reader = reader
        self.writer = writer
        self.closes = False
        self.body = b""

    async def read_body(self):
        self.body = await read_request_body(self.reader, self.headers)
        return self.body

    def head(self, status, headers):
        lines = ["HTTP/1.1 %d x" % status, "X-Jasminestack-Attempt-Id: " + self.id]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def write(self, data):
        self.writer.write(data)

    async def answer(self, status, body, headers):
        self.write(self.head(status, {**headers, "Content-Length": len(body)}) + body)
        await self.writer.drain()

    async def refuse(self, extra=None):
        """The engine is full: it doesn't run the request."""
        await self.answer(503, b"", {"X-Jasminestack-Not-Executed": "1", **(extra or {})})

    async def answer_signed(self, body, status=200, extra=None):
        await self.answer(status, body, {"X-Jasminestack-Server-Signature": "sig." + self.engine.name, **(extra or {})})

    async def begin_stream(self):
        self.write(self.head(200, {"X-Jasminestack-Server-Signature": "sig." + self.engine.name,
                                   "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}))
        await self.writer.drain()

    async def event(self, number, text="x"):
        data = b"id: %d\ndata: %s\n\n" % (number, text.encode())
        self.write(b"%x\r\n" % len(data) + data + b"\r\n")
        await self.writer.drain()

    async def end_stream(self):
        self.write(b"0\r\n\r\n")
        await self.writer.drain()


class Answer:
    """What a client received: status 0 without a head; complete if the body's framing has ended."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.complete = False
        self.error = ""
        self.first_at = None
        self.ended_at = None

    def event_ids(self):
        return [int(item) for item in re.findall(rb"^id: (\d+)$", self.body, re.M)]


class Client:
    """A connection of a client, which it keeps for its requests."""

    def __init__(self, address):
        self.ip, port = address.rsplit(":", 1)
        self.port = int(port)
        self.reader = None
        self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.port), 1)

    async def request(self, method, path, attempt, deadline_ms, body=b"", headers=None, key=KEY):
        lines = [f"{method} {path} HTTP/1.1", "Host: ficu95.example", "X-Jasminestack-Attempt-Id: " + attempt,
                 f"X-Jasminestack-Deadline-Ms: {deadline_ms}", "Authorization: Token " + key]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await self.writer.drain()

    async def answer(self, timeout):
        answer = Answer()
        try:
            await asyncio.wait_for(self.read_answer(answer), timeout)
        except asyncio.TimeoutError:
            answer.error = "no end in time"
        except (ConnectionError, asyncio.IncompleteReadError, ValueError) as error:
            answer.error = type(error).__name__
        answer.ended_at = time.monotonic()
        return answer

    async def read_answer(self, answer):
        head = await read_head(self.reader)
        if head is None:
            raise ConnectionError
        answer.first_at = time.monotonic()
        answer.status = int(head[0].split(" ")[1])
        answer.headers = head[1]
        if "content-length" in answer.headers:
            answer.body = await self.reader.readexactly(int(answer.headers["content-length"]))
        elif answer.headers.get("transfer-encoding") == "chunked":
            while True:
                size = int((await self.reader.readuntil(b"\r\n")).strip(), 16)
                if size == 0:
                    await self.reader.readuntil(b"\r\n")
                    break
                answer.body += await self.reader.readexactly(size)
                await self.reader.readexactly(2)
        else:
            while data := await self.reader.read(1 << 16):
                answer.body += data
        answer.complete = True

    def close(self):
        if self.writer:
            self.writer.close()


class Router:
    """A router process of the deploy file."""

    def __init__(self, record, folder, name, ip, store, peer_seeds=(), zone="gebze"):
        self.record = record
        self.name = name
        self.folder = folder
        self.ip = ip
        self.frontend = f"{ip}:{free_port(ip)}"
        self.ready = f"{ip}:{free_port(ip)}"
        self.control = f"{ip}:{free_port(ip)}"
        self.metrics = f"{ip}:{free_port(ip)}"
        self.store = store
        self.zone = zone
        self.seeds = list(peer_seeds)
        self.process = None
        self.log = None

    def settings(self):
        values = {"nodeName": self.name, "zone": self.zone, "limits.cpuQuota": "0.25", "limits.maxFds": "4100",
                  "listen.frontend": self.frontend, "listen.ready": self.ready, "listen.controlPlane": self.control,
                  "platform.address": self.store.address, **{"bounds." + k: str(v) for k, v in BOUNDS.items()}}
        with open(os.path.join(REPOSITORY, "deploy/router.json.template"), encoding="utf-8") as file:
            text = file.read()
        text = text.replace("{{ip}}:9464", self.metrics)
        seeds = self.seeds or [self.control]
        text = re.sub(r"{{#seeds}}.*?{{/seeds}}", ",".join(f'"{seed}"' for seed in seeds), text)
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", value)
        if "{{" in text:
            raise CannotRun("the settings template has unknown fields")
        return text

    async def start(self):
        path = os.path.join(self.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings())
        program = os.path.join(REPOSITORY, "target/jasminestack")
        if not os.path.exists(program):
            raise CannotRun("target/jasminestack isn't built")
        self.log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            program, "router", "--settings", path, stdout=self.log, stderr=self.log, cwd=REPOSITORY)
        self.record(f"{self.name} started")

    async def is_ready(self):
        try:
            ip, port = self.ready.rsplit(":", 1)
            reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, int(port)), 1)
            writer.write(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, timeout=10):
        until = time.monotonic() + timeout
        while not await self.is_ready():
            if time.monotonic() > until:
                raise CannotRun(self.name + " doesn't become ready")
            await asyncio.sleep(0.05)

    def send_signal(self, number):
        self.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.log:
            self.log.close()


def stream_route(prefix="/lohu930/", name="quote", **fields):
    return {"name": name, "hostname": "ficu95.example", "pathPrefix": prefix, "routeType": "streaming",
            "timeoutMs": 15000, "targetLatencyMs": 800, "priority": 1, "backend": "huvo11a", "maxAttempts": 2,
            "anonymous": False, "sessionAffinity": True, "streamResume": True, "itlTargetMs": 200, **fields}


def plain_route(prefix="/puxa403/", name="book", **fields):
    return {"name": name, "hostname": "ficu95.example", "pathPrefix": prefix, "routeType": "non_idempotent",
            "timeoutMs": 1200, "targetLatencyMs": 150, "priority": 2, "backend": "wuno96b", "maxAttempts": 1,
            "anonymous": False, **fields}


def configuration(version, routes, keys=(KEY,)):
    return {"version": version, "routes": routes,
            "services": [{"name": "huvo11a", "healthPath": "/healthz", "maxConnections": 620, "protocol": "h1",
                          "tls": False, "engine": {"maxBatchSize": 128, "kvCapacity": 637745, "kvTokenBytes": 35136,
                                                   "linkMbps": 280000.0, "modelList": [{"name": "m"}]}},
                         {"name": "wuno96b", "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1",
                          "tls": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000, "throughputPerS": 620000},
            "tenants": [{"name": TENANT, "apiKeys": list(keys), "priority": 1}]}


STREAM_HEADERS = {"X-Jasminestack-Model-Id": "m", "X-Jasminestack-Token-Usage": "1460,80",
                  "X-Jasminestack-Prefix-Hash": "5c1e07a2:800,91bd3f06:410,e4402b7d:250"}


def run_case(folder, case):
    """Runs case(record, temporary_folder) -> whether the rule held, and exits with the code that the review asks for."""
    record = Record(folder)
    temporary = tempfile.mkdtemp(prefix="review-")
    code = 2
    try:
        held = asyncio.run(asyncio.wait_for(case(record, temporary), 110))
        record("the rule held" if held else "the rule was broken")
        code = 0 if held else 1
    except Exception as error:  # Anything unexpected means that the case says nothing.
        record(f"the case could not run: {type(error).__name__} {error}")
    finally:
        for name in sorted(os.listdir(temporary)):
            if name.endswith(".log") and os.environ.get("KEEP_LOGS"):
                shutil.copy(os.path.join(temporary, name), os.environ["KEEP_LOGS"])
        shutil.rmtree(temporary, ignore_errors=True)
    sys.exit(code)
