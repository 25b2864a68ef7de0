"""Checks that crowds of clients that do not behave, and crowds of clients at endpoints that do not, neither end nor hang
a router, nor take it over its memory.

Each case starts a router of its own and a crowd of connections of one kind at one listener. Checked are, without regard to
time: the process lives; its resident memory and the bytes that wait in the kernel's receive queues of all its connections
stay below router.memoryMb, its descriptors below router.maxDescriptors; an ordinary request to a route and one to the
readiness path are answered while the crowd is still connected.
"""

import argparse
import asyncio
import itertools
import json
import os
import pathlib
import selectors
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "bench/soak"))
from router import KEYS, ROUTES, configuration  # noqa: E402
from world import Store, read_body, read_head  # noqa: E402

KNOWN_FAILURES = ROOT / "KNOWN-RED.txt"
KNOWN_PREFIX = "misbehaving-clients: "
CROWD = 100
ANSWER_CROWD = 800  # Clients whose endpoints do not behave: more than can have a whole buffer each.
MEMORY_MB = 64
BYTES_PER_MB = 1_000_000
MAX_DESCRIPTORS = 1024
ANSWER_MAX_DESCRIPTORS = 4100
LEGAL_BODY = 4_194_304  # limits.maxBodyBytes of the configuration.
OVER_BODY = 20_000_000
DRIVE_S = 5.0  # Bounds a case; the crowd stops earlier when no connection makes progress.
QUIET_S = 0.4
ORDINARY_S = 30.0
ANSWER_BYTES = 200_000
WITHHELD_BYTES = 250_000  # Fewer than a router buffers of one answer or of one event.
WITHHELD_HEAD_BYTES = 60_000
ENDPOINTS_CAPACITY = 4000


def head(target, *fields, method="POST", end=True):
    lines = [f"{method} {target} HTTP/1.1", "Host: soak.example", "X-Jasminestack-Attempt-Id: %016x" % next(ATTEMPTS),
             "X-Jasminestack-Deadline-Ms: 30000", f"Authorization: Token {KEYS[0]}", *fields]
    return ("\r\n".join(lines) + ("\r\n\r\n" if end else "\r\n")).encode()


ATTEMPTS = itertools.count(1)


def chunk(size):
    return b"%x\r\n" % size + b"x" * size + b"\r\n"


def short_of_end_whole(target):
    yield head(target, f"Content-Length: {LEGAL_BODY}") + b"x" * (LEGAL_BODY - 10)


def short_of_end_pieces(target):
    yield head(target, f"Content-Length: {LEGAL_BODY}")
    for _ in range(LEGAL_BODY // 4096 - 1):
        yield b"x" * 4096


def short_of_end_chunks(target):
    yield head(target, "Transfer-Encoding: chunked")
    for _ in range(LEGAL_BODY // 16384 - 1):
        yield chunk(16384)


def one_byte_chunks(target):
    yield head(target, "Transfer-Encoding: chunked")
    for _ in range(100):
        yield chunk(1) * 4000


def over_with_length(target):
    yield head(target, f"Content-Length: {OVER_BODY}")
    for _ in range(OVER_BODY // 65536):
        yield b"x" * 65536


def over_in_chunks(target):
    yield head(target, "Transfer-Encoding: chunked")
    for _ in range(OVER_BODY // 65536):
        yield chunk(65536)


def many_empty_fields(target):
    yield head(target, end=False, method="GET") + b"a:\r\n" * 12_000 + b"\r\n"


def legal_short_fields(target):
    """A head inside the limit of 16,384 bytes that never ends."""
    yield head(target, end=False, method="GET") + b"a:b\r\n" * 2_900


def endless_head(target):
    yield head(target, end=False, method="GET")
    for number in range(2_500):
        yield b"field-%d: " % number + b"v" * 8000 + b"\r\n"


def requests_ahead(target):
    for _ in range(2_000):
        yield head(target, method="GET")


def endless_requests_ahead(target):
    """4 MB at a time, so that a router which keeps what it cannot answer goes over its memory."""
    requests = head(target, method="GET") * 20_000
    for _ in range(8):
        yield requests


def slow_senders(target):
    for byte in head(target, "Content-Length: 100"):
        yield bytes([byte])
        yield None  # Not before the next turn.


def slow_readers(target):
    body = json.dumps({"size": ANSWER_BYTES}).encode()
    if target.startswith(ROUTES["non_idempotent"]):
        yield head(target, f"Content-Length: {len(body)}") + body
    else:
        yield head(target, method="GET")


def half_a_head(target):
    yield head(target, end=False)[:60]


def half_a_body(target):
    yield head(target, f"Content-Length: {LEGAL_BODY}") + b"x" * (LEGAL_BODY // 2)


def request_for(route, *fields, **answer):
    """A request to a route that tells the endpoint how to answer; see Endpoint.answer()."""
    body = json.dumps(answer).encode()
    return head(route + "x", f"Content-Length: {len(body)}", *fields) + body


MODEL_FIELDS = "X-Jasminestack-Model-Id: m", "X-Jasminestack-Token-Usage: 100,10"


def withheld_heads(target):
    yield request_for(ROUTES["non_idempotent"], mode="withheld_head", size=WITHHELD_HEAD_BYTES)


def long_heads(target):
    yield request_for(ROUTES["non_idempotent"], mode="long_head", size=WITHHELD_HEAD_BYTES)


def withheld_bodies(target):
    """Answers that are too short to be passed on before their end, which does not come."""
    yield request_for(ROUTES["non_idempotent"], mode="withheld", size=WITHHELD_BYTES)


def withheld_errors(target):
    yield request_for(ROUTES["idempotent"], mode="withheld", size=WITHHELD_BYTES, status=500)


def withheld_events(target):
    yield request_for(ROUTES["stream"], *MODEL_FIELDS, mode="withheld_event", size=WITHHELD_BYTES)


def endless_bodies(target):
    yield request_for(ROUTES["non_idempotent"], mode="endless")


def endless_events(target):
    yield request_for(ROUTES["stream"], *MODEL_FIELDS, mode="endless_events", size=10_000)


KINDS = [short_of_end_whole, short_of_end_pieces, short_of_end_chunks, one_byte_chunks, over_with_length, over_in_chunks,
         many_empty_fields, legal_short_fields, endless_head, requests_ahead, endless_requests_ahead, slow_senders,
         slow_readers, half_a_head, half_a_body]
ANSWER_KINDS = [withheld_heads, long_heads, withheld_bodies, withheld_errors, withheld_events, endless_bodies,
                endless_events]


class Connection:
    """A client's connection: sends its pieces as fast as the socket takes them, and reads no answer."""

    def __init__(self, address, pieces):
        self.pieces = pieces
        self.unsent = memoryview(b"")
        self.is_over = False
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.setblocking(False)
        self.socket.connect_ex(address)

    def advance(self):
        """Sends what the socket takes in one call. Returns whether bytes were sent."""
        if not self.unsent:
            piece = next(self.pieces, b"")
            if piece is None:
                return True
            if not piece:
                self.is_over = True
                return False
            self.unsent = memoryview(piece)
        try:
            sent = self.socket.send(self.unsent)
        except BlockingIOError:
            return False
        except OSError:
            self.is_over = True  # The router closed the connection.
            return False
        self.unsent = self.unsent[sent:]
        return True


class Endpoint:
    """Answers each request in the way that its body asks for."""

    def __init__(self, store, number, backend):
        self.store = store
        self.id = f"i-{number:04}"
        self.backend = backend

    async def start(self, ip):
        server = await asyncio.start_server(self.serve, ip, 0, backlog=ENDPOINTS_CAPACITY)
        self.store.put_json("keyed.servers", self.id, {
            "backend": self.backend, "address": "%s:%d" % server.sockets[0].getsockname()[:2], "zone": "gebze",
            "version": "v1", "maxBatchSize": ENDPOINTS_CAPACITY, "phase": "ready", "coldRemainingMs": 0,
            "born": int(time.time() * 1000), "sequence": 1})

    async def serve(self, reader, writer):
        try:
            while (request := await read_head(reader)) is not None:
                _, headers = request
                body = await read_body(reader, headers)
                wanted = json.loads(body) if body[:1] == b"{" else {}
                await self.answer(reader, writer, headers.get("x-jasminestack-attempt-id", ""), **wanted)
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, reader, writer, attempt, mode="whole", size=0, status=200):
        """mode: whole; withheld_head, withheld and withheld_event, without the end; long_head, with a body that does not
        come; endless, endless_events."""
        async def send(data):
            writer.write(data)
            await writer.drain()

        def as_chunk(data):
            return b"%x\r\n" % len(data) + data + b"\r\n"

        start = (f"HTTP/1.1 {status} x\r\nX-Jasminestack-Attempt-Id: {attempt}\r\n"
                 f"X-Jasminestack-Instance-Id: {self.id}\r\nX-Jasminestack-Server-Signature: sig.1\r\n").encode()
        stream = start + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        if mode == "whole":
            await send(start + b"Content-Length: %d\r\n\r\n" % size + b"y" * size)
        elif mode == "endless":
            await send(start + b"Transfer-Encoding: chunked\r\n\r\n")
            while True:
                await send(as_chunk(b"y" * 65536))
        elif mode == "endless_events":
            await send(stream)
            for number in itertools.count(1):
                await send(as_chunk(b'id: %d\ndata: {"x":"' % number + b"y" * size + b'"}\n\n'))
        else:
            await send({"withheld_head": start + b"field: " + b"y" * size,
                        "long_head": start + b"field: " + b"y" * size + b"\r\nContent-Length: 10\r\n\r\n",
                        "withheld": start + b"Content-Length: %d\r\n\r\n" % (size + 1) + b"y" * size,
                        "withheld_event": stream + as_chunk(b"id: 1\ndata: " + b"y" * size)}[mode])
            await reader.read()  # Until the router closes the connection.


class World:
    """The store and an engine on a loop in a thread of their own."""

    def __init__(self):
        self.ip = f"127.{10 + os.getpid() % 200}.7.1"
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.store_address = asyncio.run_coroutine_threadsafe(self.start(), self.loop).result()

    async def start(self):
        store = Store()
        config = configuration(2, False, KEYS)
        for service in config["services"]:
            service["maxConnections"] = ENDPOINTS_CAPACITY
            service.get("engine", {})["maxBatchSize"] = ENDPOINTS_CAPACITY
        store.put_json("keyed.op", "config", config)
        await Endpoint(store, 1, "plain").start(self.ip)
        await Endpoint(store, 2, "model").start(self.ip)
        return await store.start(self.ip)


class Router:
    PORTS = {"callers": 20001, "ready": 20002, "documents": 20003, "metrics": 20004}

    def __init__(self, binary, folder, world, number, max_descriptors=MAX_DESCRIPTORS):
        self.max_descriptors = max_descriptors
        self.ip = f"127.{10 + os.getpid() % 200}.8.{number}"
        address = {name: f"{self.ip}:{port}" for name, port in self.PORTS.items()}
        settings = {
            "router": {"id": f"router-{number}", "availabilityZone": "gebze", "maxDescriptors": max_descriptors,
                       "memoryMb": MEMORY_MB},
            "callers": {"address": address["callers"]},
            "health": {"address": address["ready"], "path": "/v1/readyz", "metricsAddress": address["metrics"]},
            "peers": {"address": address["documents"], "seeds": [address["documents"]]},
            "store": {"address": world.store_address, "contactMs": 3000}}
        path = pathlib.Path(folder) / f"router-{number}.json"
        path.write_text(json.dumps(settings))
        with open(pathlib.Path(folder) / f"router-{number}.log", "ab") as log:
            self.child = subprocess.Popen([binary, "router", "--settings", str(path)], stdout=log, stderr=log)

    def address(self, listener):
        return self.ip, self.PORTS[listener]

    def memory(self):
        """Resident bytes, and those that wait in the receive queues of the router's sockets."""
        resident = 0
        for line in pathlib.Path(f"/proc/{self.child.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                resident = int(line.split()[1]) * 1024
        local = "".join("%02X" % part for part in reversed(socket.inet_aton(self.ip)))
        ports = {f"{local}:{port:04X}" for port in self.PORTS.values()}
        own = self.socket_inodes()
        queued = 0
        for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            is_own = fields[1] in ports or fields[9] in own  # Those that were not accepted yet have no inode.
            if is_own and fields[3] != "0A":  # Of a listening socket it is the number of connections.
                queued += int(fields[4].split(":")[1], 16)
        return resident, queued

    def socket_inodes(self):
        inodes = set()
        folder = f"/proc/{self.child.pid}/fd"
        for descriptor in os.listdir(folder):
            try:
                target = os.readlink(f"{folder}/{descriptor}")
            except OSError:
                continue  # It was closed meanwhile.
            if target.startswith("socket:["):
                inodes.add(target[len("socket:["):-1])
        return inodes

    def descriptors(self):
        return len(os.listdir(f"/proc/{self.child.pid}/fd"))

    def is_alive(self):
        return self.child.poll() is None

    def stop(self):
        self.child.kill()
        self.child.wait()


def is_served(address, content):
    """Whether an ordinary request is answered with 200; it is repeated until then, as callers do."""
    until = time.monotonic() + ORDINARY_S
    while time.monotonic() < until:
        try:
            with socket.create_connection(address, 5) as connection:
                connection.sendall(content())
                if connection.recv(4096).startswith(b"HTTP/1.1 200 "):
                    return True
        except OSError:
            pass
        time.sleep(0.05)
    return False


class Peaks:
    def __init__(self, router):
        self.router = router
        self.memory = 0
        self.parts = (0, 0)  # Resident and queued bytes at the peak of their sum.
        self.descriptors = 0

    def sample(self):
        if self.router.is_alive():
            parts = self.router.memory()
            if sum(parts) > self.memory:
                self.memory, self.parts = sum(parts), parts
            self.descriptors = max(self.descriptors, self.router.descriptors())


def drive(connections, peaks):
    """Lets the crowd send until no connection makes progress, or for DRIVE_S."""
    until = time.monotonic() + DRIVE_S
    last_progress = last_sample = time.monotonic()
    while (now := time.monotonic()) < until and now - last_progress < QUIET_S:
        has_sent = False
        for connection in connections:
            if not connection.is_over:
                has_sent |= connection.advance()
            if time.monotonic() - last_sample > 0.01:
                peaks.sample()
                last_sample = time.monotonic()
        if has_sent:
            last_progress = time.monotonic()
        else:
            time.sleep(0.002)


def play(router, kind, crowd, listener, target):
    """Returns the faults of one case, and its peaks."""
    peaks = Peaks(router)
    ready = router.address("ready")
    if not is_served(ready, lambda: head("/v1/readyz", method="GET")):
        raise RuntimeError("the router does not become ready")
    connections = [Connection(router.address(listener), kind(target)) for _ in range(crowd)]
    time.sleep(0.05)
    drive(connections, peaks)
    time.sleep(0.1)
    peaks.sample()
    faults = []
    body = b'{"size": 10}'
    if not is_served(router.address("callers"),
                     lambda: head(ROUTES["non_idempotent"] + "x", f"Content-Length: {len(body)}") + body):
        faults.append("an ordinary request was not served")
    if not is_served(ready, lambda: head("/v1/readyz", method="GET")):
        faults.append("the readiness path did not answer")
    peaks.sample()
    for connection in connections:
        connection.socket.close()
    if not router.is_alive():
        faults.append("the process ended")
    if peaks.memory > MEMORY_MB * BYTES_PER_MB:
        faults.append(f"memory over {MEMORY_MB} MB")
    if peaks.descriptors > router.max_descriptors:
        faults.append(f"more than {router.max_descriptors} descriptors")
    return faults, peaks


LISTENERS = {"route": ("callers", ROUTES["non_idempotent"] + "x"), "no-route": ("callers", "/nowhere"),
             "ready": ("ready", "/v1/readyz"), "metrics": ("metrics", "/metrics"),
             "documents": ("documents", "/documents?configuration=0&registrations=0")}


def known_failures():
    lines = KNOWN_FAILURES.read_text().splitlines() if KNOWN_FAILURES.exists() else []
    return {line[len(KNOWN_PREFIX):].split(":")[0] for line in lines if line.startswith(KNOWN_PREFIX)}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--binary", default=str(ROOT / "build/release/jasminestack"))
    parser.add_argument("--only", default="", help="plays only the cases whose names contain this text")
    options = parser.parse_args()
    known = known_failures()
    new_failures = 0
    world = World()
    with tempfile.TemporaryDirectory(prefix="crowds-") as folder:
        cases = [(kind, name, CROWD, MAX_DESCRIPTORS) for kind in KINDS for name in LISTENERS]
        cases += [(kind, "route", ANSWER_CROWD, ANSWER_MAX_DESCRIPTORS) for kind in ANSWER_KINDS]
        for number, (kind, name, crowd, max_descriptors) in enumerate(cases, 1):
            case = f"{kind.__name__} {name}"
            if options.only not in case:
                continue
            router = Router(options.binary, folder, world, number, max_descriptors)
            try:
                faults, peaks = play(router, kind, crowd, *LISTENERS[name])
            finally:
                router.stop()
            state = "ok" if not faults else "known" if case in known else "FAILED"
            new_failures += state == "FAILED"
            passed = "; listed in KNOWN-RED.txt, but passed" if not faults and case in known else ""
            print(f"{state:7}{case:34}{peaks.memory / BYTES_PER_MB:7.0f} MB "
                  f"({peaks.parts[1] / BYTES_PER_MB:.0f} queued) {peaks.descriptors:5} descriptors  "
                  f"{', '.join(faults)}{passed}", flush=True)
    print(f"misbehaving clients: {new_failures} failures that KNOWN-RED.txt does not list")
    return 1 if new_failures else 0


if __name__ == "__main__":
    sys.exit(main())
