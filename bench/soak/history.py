"""What clients and engines saw, and the checks of it. Nothing here knows what a router does."""

from dataclasses import dataclass, field
from signal import SIGHUP, SIGINT, SIGKILL, SIGTERM

from events import read_events

REFUSALS = (408, 421, 429, 503)
STOP_SIGNALS = {SIGTERM, SIGINT}
# A process as seen from outside. EXEC: nothing is mapped but the executable, the dynamic loader and the C library; LIBRARIES: other
# libraries are, and the signal isn't blocked, caught or ignored; MAIN: the signal is, or the process has opened a socket.
EXEC, LIBRARIES, MAIN = PHASES = ("exec", "libraries", "main")
LOST_WITHIN_S = 4.0  # An answer that takes longer may have been due in the last sixth of the grace time.


@dataclass
class Run:
    """A request that an engine began to work on."""
    attempt: str
    engine: str
    number: int
    at: float
    signature: str = ""
    body: bytes = b""
    events: dict = field(default_factory=dict)
    wanted: int = 0
    asked: tuple = ()  # Method, target and body, as the engine received them.


@dataclass
class Request:
    """A client's attempt and what came back. kind: idempotent, non_idempotent, stream, resumable."""
    attempt: str
    kind: str
    router: str
    at: float
    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    is_malformed: bool = False
    took_s: float = 0.0
    is_cut: bool = False  # The connection ended within the answer or without one.
    is_planned: bool = False  # There was only planned work, from before the request to its end.
    last_event_id: int = 0
    wanted: int = 0
    asked: tuple = ()  # Method, target and body, as the client sent them.

    def may_run_again(self):
        return self.kind in ("idempotent", "resumable")


@dataclass
class Violation:
    rule: str
    at: float
    attempt: str
    router: str
    text: str


class History:
    def __init__(self):
        self.runs = {}
        self.requests = {}
        self.last_event_ids = []  # (time, attempt, value) as engines received them

    def add_run(self, run):
        self.runs.setdefault(run.attempt, []).append(run)

    def add_request(self, request):
        self.requests[request.attempt] = request

    def violations(self):
        found = []
        for request in self.requests.values():
            runs = self.runs.get(request.attempt, [])

            def add(rule, text, request=request):
                found.append(Violation(rule, request.at, request.attempt, request.router, text))

            if not request.may_run_again() and len(runs) > 1:
                add("TWICE", f"{request.kind} ran {len(runs)} times: {[run.engine for run in runs]}")
            if not request.may_run_again() and request.status in REFUSALS and runs:
                add("REFUSED", f"answered {request.status} though it ran at {runs[0].engine}")
            if any(run.asked != request.asked for run in runs):
                add("UNASKED", "an engine ran the request with another method, target or body")
            if request.is_malformed:
                add("MIXED", "bytes that are no answer")
            if request.is_planned and request.is_cut and runs and request.took_s < LOST_WITHIN_S:
                add("LOST", f"cut after {request.took_s:.3f} s beside planned work alone, though it ran at {runs[0].engine}")
            if 200 <= request.status < 300:
                for rule, text in check_success(request, runs):
                    add(rule, text)
        for attempt, runs in self.runs.items():
            if attempt not in self.requests:
                found.append(Violation("UNASKED", runs[0].at, attempt, "", f"run at {runs[0].engine}"))
        found += self.check_last_event_ids()
        return found

    def check_last_event_ids(self):
        for at, attempt, value in self.last_event_ids:
            request = self.requests.get(attempt)
            made = {str(number) for run in self.runs.get(attempt, []) if run.at <= at for number in run.events}
            if request and request.last_event_id:
                made.add(str(request.last_event_id))
            if value not in made:
                yield Violation("ORDER", at, attempt, request.router if request else "",
                                f"an engine received Last-Event-Id {value!r}, which no run made")


def check_recovery(judged, at):
    """judged maps a router to how many requests it served and got once the faults had ended."""
    for router, (good, asked) in judged.items():
        if asked >= 5 and good * 4 < asked:
            yield Violation("RECOVER", at, "", router, f"{good} of {asked} requests were served after the faults")
    good = sum(pair[0] for pair in judged.values())
    asked = sum(pair[1] for pair in judged.values())
    if asked == 0 or good * 4 < asked * 3:
        yield Violation("RECOVER", at, "", "", f"{good} of {asked} requests were served by all after the faults")


def is_early_stop(code, signals, phases):
    """Whether a process was asked to stop before any of its code could run, and ended by that signal."""
    return -code in STOP_SIGNALS & signals and phases.get(-code) == EXEC


def check_end(code, signals, phases):
    """Returns the rule that the end of a process breaks and what is wrong with it, or None.

    signals are those that it was sent, SIGCONT and SIGSTOP apart; phases has the latest phase that each of them met.
    """
    if SIGKILL in signals and code == -SIGKILL or STOP_SIGNALS & signals and code == 0 or is_early_stop(code, signals, phases):
        return None
    rule = "ENDED-EXEC" if code == -SIGHUP and phases.get(SIGHUP) == EXEC else "ENDED"
    asked = signals & (STOP_SIGNALS | {SIGKILL})
    text = f"ended with {code} after {', '.join(sorted(item.name for item in asked))}" if asked else f"ended by itself with {code}"
    return rule, text + (f", signalled in the phase {phases[-code]}" if -code in phases else "")


def check_success(request, runs):
    """Yields the rules that a 2xx answer breaks."""
    signatures = {run.signature for run in runs}
    if request.headers.get("x-jasminestack-server-signature") not in signatures:
        yield "MIXED", f"signature {request.headers.get('x-jasminestack-server-signature')!r} of no run"
    if request.headers.get("x-jasminestack-attempt-id", request.attempt) != request.attempt:
        yield "MIXED", "the answer bears the id of another request"
    if request.kind not in ("stream", "resumable"):
        if request.is_complete and request.body not in {run.body for run in runs}:
            yield "MIXED", f"body {request.body[:60]!r} of no run"
        return
    if not request.headers.get("content-type", "").startswith("text/event-stream"):
        yield "MIXED", f"a stream with the content type {request.headers.get('content-type')!r}"
        return
    expected = request.last_event_id + 1
    of_runs = set()
    for name, data in read_events(request.body).events:
        if name != str(expected).encode():
            yield "ORDER", f"event {name[:40]!r} where {expected} was due: {data[:60]!r}"
            return
        makers = {run.number for run in runs if run.events.get(expected) == data}
        if not makers:
            yield "ORDER", f"event {expected} with {data[:60]!r}, which no run made"
            return
        of_runs |= makers
        expected += 1
    if request.kind == "stream" and len(of_runs) > 1:
        yield "ORDER", "events of two runs of a stream that may not be resumed"
    if request.is_complete and expected <= request.wanted:
        yield "ORDER", f"the stream ended as complete before event {expected} of {request.wanted}"
