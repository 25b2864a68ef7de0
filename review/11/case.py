"""An engine sends a second copy of an answer late, without a length, where the next answer is expected."""
import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "common-3"))
from fleet import CannotRun, Fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RECORD = open(os.path.join(HERE, "record.txt"), "w", buffering=1)

HOST = "desk.example"
CALLERS = 4
SECONDS = 12
DEADLINE_MS = 2500
SECOND_ANSWERS = 0.02  # Part of the answers that are sent a second time.

CONFIGURATION = {
    "version": 7,
    "routes": [
        {"name": "r-book", "hostname": HOST, "pathPrefix": "/book/", "routeType": "non_idempotent",
         "timeoutMs": 1200, "targetLatencyMs": 150, "priority": 2, "backend": "desk", "maxAttempts": 1,
         "anonymous": False},
        {"name": "r-check", "hostname": HOST, "pathPrefix": "/check/", "routeType": "idempotent",
         "timeoutMs": 1200, "targetLatencyMs": 150, "priority": 2, "backend": "desk", "maxAttempts": 2,
         "anonymous": False}],
    "services": [{"name": "desk", "healthPath": "/healthz", "maxConnections": 100, "protocol": "h1", "tls": False}],
    "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
               "throughputPerS": 620000},
    "tenants": [{"name": "sound", "apiKeys": ["sound-key"], "priority": 1}]}

start = time.monotonic()
next_number = 0
answers = {}
violations = []


def record(text):
    RECORD.write(f"{time.monotonic() - start:8.3f} {text}\n")


def is_answer(status_line):
    """Whether the line is a status line of HTTP/1.1 (RFC 9112): its status has three digits, from 100 on."""
    words = status_line.split(" ", 2)
    return len(words) == 3 and words[0] == "HTTP/1.1" and len(words[1]) == 3 and words[1].isdigit() and words[1] >= "100"


async def caller(number, address, end):
    global next_number
    connection = None
    while time.monotonic() < end:
        next_number += 1
        request_id = f"{next_number:016x}"
        path = "/book/slot" if number % 2 else "/check/slot"
        head = (f"{'POST' if number % 2 else 'GET'} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
                f"X-Jasminestack-Attempt-Id: {request_id}\r\nX-Jasminestack-Deadline-Ms: {DEADLINE_MS}\r\n"
                f"Authorization: Token sound-key\r\n")
        request = (head + ("Content-Length: 5\r\n\r\nhello" if number % 2 else "\r\n")).encode()
        closes = True
        try:
            if not connection:
                connection = await asyncio.wait_for(asyncio.open_connection(*address), 1)
            reader, writer = connection
            writer.write(request)
            text = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), DEADLINE_MS / 1000)
            lines = text.decode("latin-1").split("\r\n")
            fields = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
            body = await asyncio.wait_for(reader.readexactly(int(fields.get("content-length", "0"))), 1)
            closes = "connection" in fields
            status = lines[0].split(" ")[1]
            answers[status] = answers.get(status, 0) + 1
            if not is_answer(lines[0]):
                violations.append(request_id)
                record(f"request {request_id} {path}: the client gets {text!r} and {len(body)} bytes of body")
            elif status == "200" and fields.get("x-jasminestack-server-signature") != f"s.{request_id}":
                violations.append(request_id)
                record(f"request {request_id} {path}: the client gets a foreign answer {text!r}")
            elif status != "200":
                record(f"request {request_id} {path}: status {status}")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            answers[type(error).__name__] = answers.get(type(error).__name__, 0) + 1
            record(f"request {request_id} {path}: no answer ({type(error).__name__})")
        if closes and connection:
            connection[1].close()
            connection = None
        await asyncio.sleep(0.01)


async def play(router):
    host, port = router["frontend"].rsplit(":", 1)
    end = time.monotonic() + SECONDS
    await asyncio.gather(*[caller(number, (host, int(port)), end) for number in range(CALLERS)])


try:
    with Fleet() as fleet:
        fleet.start_store()
        fleet.publish(CONFIGURATION)
        journals = [fleet.start_engine(f"i-desk{index}", "desk", slots=6, queue=24, work_ms=20,
                                       second_answers=SECOND_ANSWERS if TROUBLE else 0) for index in range(3)]
        fleet.start_routers(1)
        time.sleep(1)
        asyncio.run(play(fleet.routers[0]))
        for journal in journals:
            with open(journal) as file:
                for entry in map(json.loads, file):
                    if entry["what"] == "second answer" or entry.get("id") in violations:
                        record(f"engine: {json.dumps(entry)}")
        if os.environ.get("KEEP_LOG"):
            os.system(f"cp {fleet.folder}/router-1.log {os.environ['KEEP_LOG']}")
except CannotRun as error:
    record(f"cannot run: {error}")
    print(f"cannot run: {error}")
    sys.exit(2)
record(f"answers: {answers}")
record(f"MIXED: {len(violations)} clients got bytes that are no answer in the protocol, or a foreign answer")
print("broken" if violations else "held")
sys.exit(1 if violations else 0)
