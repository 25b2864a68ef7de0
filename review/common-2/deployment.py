"""A small deployment on loopback addresses for the cases of the second review.

The routers are the project's own program, started with the command and the settings template of the deploy file. The
platform's store and the engines are stand-ins that follow the users' pages; they run in the process of the case.
"""

import asyncio
import base64
import http.client
import json
import os
import random
import re
import resource
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ROUTER = os.path.join(ROOT, "target", "jasminestack")
TEMPLATE = os.path.join(ROOT, "deploy", "settings.json.template")

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2

# Bounds of the small site that the cases name (PROTOCOL.md and DEPLOY.md give the same figures).
BOUNDS = {
    "contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 54,
}
LIMITS = {"cpuQuota": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}
HEARTBEAT_S = 1.2

# Of the process of a case: the clients and engines of the largest one.
OWN_DESCRIPTORS = 8000

REQUEST_ID = "X-Jasminestack-Attempt-Id"
SIGNATURE = "X-Jasminestack-Server-Signature"


class CannotRun(Exception):
    """The case could not be brought about, whatever the reason."""


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def line(self, text):
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()


def loopback_ip():
    return f"127.{random.randint(16, 250)}.{random.randint(1, 250)}.{random.randint(2, 250)}"


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def render(template, values):
    """Renders the sections and placeholders that the settings template uses; see DEPLOY.md."""

    def find(name):
        found = values
        for part in name.split("."):
            found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match):
        sign, name, inner = match.group(1), match.group(2), match.group(3)
        found = find(name)
        if sign == "^":
            return inner if found in (None, False) else ""
        if found in (None, False):
            return ""
        if not isinstance(found, list):
            return inner
        last = len(found) - 1
        return "".join(inner.replace("{{.}}", str(item)).replace("{{,}}", "" if index == last else ",")
                       for index, item in enumerate(found))

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(find(match.group(1))), text)


async def read_head(reader):
    """Returns the first line and the headers (names in lower case), or None at the end of the connection."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


class Store:
    """The platform's store: topics with one partition, keyed lists and long polls."""

    def __init__(self, ip):
        self.ip = ip
        self.port = 0
        self.topics = {}
        self._changed = asyncio.Event()
        self._server = None

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.ip, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def put(self, topic, key, value):
        """Appends a record; None as the value deletes the key."""
        encoded = key.encode()
        content = bytes([len(encoded)]) + encoded + (value.encode() if value is not None else b"")
        self._append(topic, content)

    def _append(self, topic, content):
        self.topics.setdefault(topic, []).append(content)
        self._changed.set()
        self._changed = asyncio.Event()

    @staticmethod
    def _split(content):
        size = content[0]
        return content[1:1 + size].decode("latin-1"), content[1 + size:]

    async def _serve(self, reader, writer):
        try:
            head = await read_head(reader)
            if head is None:
                return
            method, target, _ = head[0].split(" ", 2)
            body = await reader.readexactly(int(head[1].get("content-length", "0")))
            parts = urlsplit(target)
            query = {name: values[0] for name, values in parse_qs(parts.query).items()}
            status, kind, answer = await self._answer(method, parts.path, query, body)
            writer.write(f"HTTP/1.1 {status} Answer\r\nContent-Type: {kind}\r\nStore-Era: 1\r\n"
                         f"Content-Length: {len(answer)}\r\nConnection: close\r\n\r\n".encode() + answer)
            await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, path, query, body):
        as_json = "application/json"
        topic = query.get("topic", "")
        if (method, path) == ("POST", "/v1/log-append"):
            if topic in ("keyed.op", "keyed.servers"):
                return 403, as_json, b"{}"
            first = len(self.topics.get(topic, []))
            while body:
                size = struct.unpack(">I", body[:4])[0]
                self._append(topic, body[4:4 + size])
                body = body[4 + size:]
            end = len(self.topics.get(topic, []))
            return 200, as_json, json.dumps({"offset": first, "endOffset": end}).encode()
        if topic not in self.topics:
            return 404, as_json, b"{}"
        records = self.topics[topic]
        if path == "/v1/log-newest":
            newest = {}
            for offset, content in enumerate(records):
                key, value = self._split(content)
                newest.pop(key, None)
                if value:
                    newest[key] = (offset, value)
            entries = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                       for key, (offset, value) in newest.items()]
            return 200, as_json, json.dumps(
                {"entries": entries, "hasMore": False, "endOffset": len(records)}).encode()
        if path == "/v1/log-read":
            start = int(query["from"])
            if start > len(records):
                return 410, as_json, json.dumps({"startOffset": 0}).encode()
            deadline = time.monotonic() + int(query.get("waitMs", "0")) / 1000
            while start >= len(records) and time.monotonic() < deadline:
                try:
                    await asyncio.wait_for(self._changed.wait(), deadline - time.monotonic())
                except asyncio.TimeoutError:
                    break
            found = b"".join(struct.pack(">I", len(item)) + item for item in records[start:])
            return 200, "application/octet-stream", struct.pack(">QQ", len(records), 0) + found
        return 404, as_json, b"{}"


class StoreProcess:
    """The same store in a process of its own; see store_process.py."""

    def __init__(self, ip):
        self.ip = ip
        self.port = 0
        self._process = None

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        path = os.path.join(os.path.dirname(os.path.abspath(__file__)), "store_process.py")
        # It ends with its standard input, that is, with this process.
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", path, self.ip, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE)
        self.port = int(await self._process.stdout.readline())

    def put(self, topic, key, value):
        """Returns the time of the acknowledgement, by the clock of this host."""
        body = json.dumps({"topic": topic, "key": key, "value": value})
        return self._call("POST", "/put", body)["at"]

    def calls(self):
        return self._call("GET", "/calls", None)

    def _call(self, method, path, body):
        connection = http.client.HTTPConnection(self.ip, self.port, timeout=5)
        try:
            connection.request(method, path, body)
            return json.loads(connection.getresponse().read())
        finally:
            connection.close()


class Engine:
    """An engine that registers in the store; `serve` is a coroutine that handles one connection."""

    def __init__(self, store, service, slots, serve, zone="gebze", ip=None):
        self.id = f"i-{random.getrandbits(32):08x}"
        self.store = store
        self.service = service
        self.slots = slots
        self.zone = zone
        self.ip = ip or loopback_ip()
        self.port = 0
        self.phase = "ready"
        self.born = int(time.time() * 1000)
        self._serve = serve
        self._sequence = 0
        self._server = None
        self._beats = None

    async def start(self):
        async def guarded(reader, writer):
            try:
                await self._serve(self, reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                pass
            finally:
                writer.close()

        self._server = await asyncio.start_server(guarded, self.ip, 0, backlog=4096)
        self.port = self._server.sockets[0].getsockname()[1]
        self.register()
        self._beats = asyncio.ensure_future(self._beat())

    def register(self):
        self._sequence += 1
        self.store.put("keyed.servers", self.id, json.dumps({
            "backend": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone, "version": "v1",
            "maxBatchSize": self.slots, "phase": self.phase, "coldRemainingMs": 0, "born": self.born,
            "sequence": self._sequence}))

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    def response_head(self, request_id, status=200, length=None, extra=""):
        text = (f"HTTP/1.1 {status} Answer\r\n{REQUEST_ID}: {request_id}\r\n"
                f"{SIGNATURE}: {self.id}.{random.getrandbits(32):08x}\r\n{extra}")
        if length is not None:
            text += f"Content-Length: {length}\r\n"
        return (text + "\r\n").encode()


def configuration(version, routes, services, tenants=None, limits=None):
    """routes: list of dicts that override the fields of a plain idempotent route."""
    decoded = []
    for route in routes:
        item = {"name": "r-" + route["pathPrefix"].strip("/"), "hostname": "shop.example", "routeType": "idempotent",
                "timeoutMs": 2500, "targetLatencyMs": 150, "priority": 2, "maxAttempts": 2, "anonymous": False}
        item.update(route)
        item["trafficSplit"] = [{"backend": item.pop("service"), "weight": 100}]
        decoded.append(item)
    return {"version": version, "routes": decoded, "services": services,
            "tenants": tenants or [{"name": "tenant-a", "apiKeys": ["key-a"]}],
            "limits": limits or {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
                                 "idleTimeoutMs": 30000}}


class Router:
    """One process of the deploy file's role."""

    def __init__(self, name, store, folder, seeds=(), zone="gebze", limits=None):
        self.name = name
        self.ip = loopback_ip()
        ports = [free_port(self.ip) for _ in range(3)]
        self.frontend = (self.ip, ports[0])
        self.ready = (self.ip, ports[1])
        self.peer = f"{self.ip}:{ports[2]}"
        self.store = store
        self.zone = zone
        self.limits = dict(LIMITS, **(limits or {}))
        self.seeds = list(seeds) or [self.peer]
        self.settings = os.path.join(folder, name + ".json")
        self.log = os.path.join(folder, name + ".log")
        self.process = None

    async def start(self):
        values = {"nodeName": self.name, "zone": self.zone, "ip": self.ip, "seeds": self.seeds, "limits": self.limits,
                  "bounds": BOUNDS, "platform": {"address": self.store.address},
                  "listen": {"frontend": "%s:%d" % self.frontend, "ready": "%s:%d" % self.ready,
                             "controlPlane": self.peer}}
        with open(TEMPLATE, encoding="utf-8") as file:
            text = render(file.read(), values)
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                ROUTER, "router", "--settings", self.settings, stdin=asyncio.subprocess.DEVNULL, stdout=log,
                stderr=log, cwd=ROOT, env={"PATH": os.environ.get("PATH", ""), "HOME": "/tmp", "LANG": "C.UTF-8",
                                           "JASMINESTACK_NODE_FILE": self.settings})

    def runs(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        self.process.send_signal(number)

    async def says_ready(self, timeout=1.0):
        try:
            answer = await asyncio.wait_for(call(self.ready, "GET", "/v1/readyz", {}), timeout)
        except (OSError, asyncio.TimeoutError):
            return False
        return answer.status == 200

    async def wait_ready(self, timeout=15.0):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if not self.runs():
                raise CannotRun(f"{self.name} has ended")
            if await self.says_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready")


class Answer:
    """All bytes that a client received up to the end of the answer or of the connection."""

    def __init__(self):
        self.raw = b""
        self.status_line = ""
        self.status = None
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.error = ""


async def read_answer(reader):
    """Reads one answer as a client that knows HTTP/1.1 does."""
    answer = Answer()
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        answer.raw = head
        lines = head.decode("latin-1").split("\r\n")
        answer.status_line = lines[0]
        matched = re.fullmatch(r"HTTP/1\.[01] ([1-5]\d\d) .*", lines[0])
        answer.status = int(matched.group(1)) if matched else None
        answer.headers = {name.strip().lower(): value.strip()
                          for name, _, value in (line.partition(":") for line in lines[1:] if line)}
        if "chunked" in answer.headers.get("transfer-encoding", "").lower():
            while True:
                line = await reader.readuntil(b"\r\n")
                answer.raw += line
                size = int(line.strip().split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                answer.raw += data
                if size == 0:
                    break
                answer.body += data[:-2]
            answer.is_complete = True
        elif "content-length" in answer.headers:
            answer.body = await reader.readexactly(int(answer.headers["content-length"]))
            answer.raw += answer.body
            answer.is_complete = True
        else:
            answer.body = await reader.read()
            answer.raw += answer.body
            answer.is_complete = True
    except asyncio.IncompleteReadError as error:
        answer.raw += error.partial
        answer.error = "the connection ended"
    except (ConnectionError, OSError) as error:
        answer.error = f"the connection was reset ({error.__class__.__name__})"
    except (ValueError, asyncio.LimitOverrunError) as error:
        answer.error = f"no answer in the protocol ({error})"
    return answer


def request_bytes(method, target, headers, body=b""):
    text = f"{method} {target} HTTP/1.1\r\nHost: shop.example\r\n"
    for name, value in headers.items():
        text += f"{name}: {value}\r\n"
    if body or method == "POST":
        text += f"Content-Length: {len(body)}\r\n"
    return (text + "\r\n").encode() + body


def new_id():
    return f"{random.getrandbits(64):016x}"


def client_headers(request_id, deadline_ms=2500, key="key-a"):
    return {REQUEST_ID: request_id, "X-Jasminestack-Deadline-Ms": str(deadline_ms), "Authorization": f"Token {key}"}


async def call(address, method, target, headers, body=b""):
    """Sends one request on a new connection."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        writer.write(request_bytes(method, target, headers, body))
        return await read_answer(reader)
    finally:
        writer.close()


def raise_own_descriptors():
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = OWN_DESCRIPTORS if hard == resource.RLIM_INFINITY else min(OWN_DESCRIPTORS, hard)
    if soft != resource.RLIM_INFINITY and soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


def run_case(folder, case, limit_s=110):
    """Runs `case(record, folder)`, a coroutine that returns HELD or BROKEN, and exits with its verdict."""
    record = Record(os.path.join(folder, "record.txt"))
    workspace = tempfile.mkdtemp(prefix="jasminestack-review-")
    routers = []

    async def main():
        return await asyncio.wait_for(case(record, workspace, routers), limit_s)

    def stop(number, _):
        raise CannotRun(f"signal {number}")

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, stop)
    verdict = COULD_NOT_RUN
    try:
        if not os.access(ROUTER, os.X_OK):
            raise CannotRun("target/jasminestack is not built")
        raise_own_descriptors()
        verdict = asyncio.new_event_loop().run_until_complete(main())
    except Exception as error:  # pylint: disable=broad-except  # Any error of the case itself is no verdict.
        record.line(f"could not run: {error!r}")
    finally:
        for router in routers:
            if router.process is not None and router.process.returncode is None:
                try:
                    os.kill(router.process.pid, signal.SIGCONT)
                    os.kill(router.process.pid, signal.SIGKILL)
                except ProcessLookupError:
                    pass
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(workspace, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(workspace, ignore_errors=True)
    record.line({HELD: "verdict: the rule held", BROKEN: "verdict: the rule was broken"}.get(
        verdict, "verdict: the case could not run"))
    sys.stdout.flush()
    os._exit(verdict)  # Connections that are still open are not worth a line each.
