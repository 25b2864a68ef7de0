"""Benchmarks faults, publish, leave and drain."""

import random
import signal
import threading
import time

import measure
import scenarios
from fleet import Fleet, NotRunnable, http_json, monotonic_ms
from scheduling import make_check


class BackgroundThread(threading.Thread):
    """Runs a function in a thread; finish() raises the function's exception."""

    def __init__(self, function):
        super().__init__(daemon=True)
        self.function = function
        self.problem = None
        self.start()

    def run(self):
        try:
            self.function()
        except Exception as problem:  # pylint: disable=broad-except
            self.problem = problem

    def finish(self):
        self.join()
        if self.problem:
            raise self.problem


def faults(options):
    """Injects faults while callers retry bookings with idempotency keys through other daemons: killed, paused and
    restarted daemons, log outages and lost log responses, silent connections, requests that crash engines."""
    seconds = max(options.seconds, 40.0)
    seed = options.seed
    chooser = random.Random(seed)
    timeline = []
    with Fleet("faults", profile=options.profile, engine={"crashMarker": "CRASH-MARKER", "crashDownMs": 1500},
            settings={"endpoints": {"firstByteTimeoutMs": 5000, "idleTimeoutMs": 2000}}).start() as fleet:
        load = scenarios.moderate_scenario(fleet, seconds, seed, part=0.4, drain=20)
        load["groups"] += [scenarios.booking_group(fleet, connections=16),
            scenarios.booking_group(fleet, "ws-04", 8, "crash-bookings"),
            scenarios.caller_group(fleet, "ws-05", range(8), name="crasher", connections=1, thinkMs=1500,
                crashMarker="CRASH-MARKER", sameContent=True, tokens=20, streamPart=1)]
        process = fleet.start_load(load)

        def note(what):
            timeline.append({"at": monotonic_ms(), "what": what})

        def inject():
            end = time.monotonic() + seconds - 12
            kinds = ["kill", "log_lost", "silence", "stop", "log_outage", "desk_crash", "cold", "drop_streams",
                "log_slow", "desk_lost"]
            turn = 0
            while time.monotonic() < end:
                time.sleep(1.5)
                kind = kinds[turn % len(kinds)]
                turn += 1
                index = chooser.randrange(fleet.daemon_count)
                note(f"{kind} {index}")
                if kind in ("kill", "cold"):
                    fleet.daemons[index].kill()
                    time.sleep(0.2 if kind == "cold" else 2.0)
                    fleet.start_daemon(index)
                elif kind == "stop":
                    victim = fleet.daemons[index]
                    victim.signal(signal.SIGSTOP)
                    threading.Timer(10.0, victim.signal, [signal.SIGCONT]).start()
                elif kind == "log_lost":
                    fleet.control_standin("log", loseAnswers=0.5)
                    time.sleep(2.0)
                    fleet.control_standin("log", loseAnswers=0.0)
                elif kind == "log_outage":
                    fleet.control_standin("log", outage=True)
                    time.sleep(3.0)
                    fleet.control_standin("log", outage=False)
                elif kind == "log_slow":
                    fleet.control_standin("log", delayMs=800)
                    time.sleep(2.0)
                    fleet.control_standin("log", delayMs=0)
                elif kind == "silence":
                    fleet.control_standin(f"engine-{chooser.randrange(20):02d}", silence=True)
                    fleet.control_standin(f"desk-{chooser.randrange(3)}", silence=True)
                    fleet.control_standin("log", silence=True)
                elif kind == "desk_crash":
                    fleet.control_standin(f"desk-{chooser.randrange(3)}", crash=800)
                elif kind == "desk_lost":
                    fleet.control_standin("desk-*", lostAnswers=True)
                    time.sleep(1.0)
                    fleet.control_standin("desk-*", lostAnswers=False)
                elif kind == "drop_streams":
                    fleet.control_standin("engine-0*", dropStreams=True)

        injector = BackgroundThread(inject)
        result = fleet.finish_load(process)
        injector.finish()
        runs = fleet.journal()
        report = measure.booking_report(result, runs)
        totals = measure.response_totals(result)
        crashes = sum(1 for run in runs if run["marker"] == "crash")
        details = {"seed": seed, "timeline": timeline, "bookings": report, "answers": totals, "crashingRuns": crashes,
            "resumedRuns": sum(1 for run in runs if run["from"] > 0)}
        if report["confirmed"] == 0:
            raise NotRunnable(f"no booking was confirmed: {totals['errors']}")
    checks = [
        make_check("runs_per_key", report["maxRunsPerKey"], 1, "runs"),
        make_check("false_not_run", report["falseNotRun"], 0, "answers"),
        make_check("phantom_confirmations", report["phantomConfirmations"], 0, "answers"),
        make_check("wrong_answers", totals["wrong"], 0, "answers"),
        make_check("partial_answers", totals["partial"], 0, "answers"),
        # crashLosses is 3; one more engine may crash before all daemons have received the crash marks.
        make_check("crashing_runs", crashes, 4, "runs"),
    ]
    return checks, details


def quantile(values, part):
    ordered = sorted(values)
    return ordered[min(int(part * len(ordered)), len(ordered) - 1)] if ordered else float("nan")


class VersionWatch:
    """Polls each daemon's configuration version and records when each version was first in force."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.seen = [dict() for _ in range(fleet.daemon_count)]
        self.reverts = 0
        self.running = True
        self.threads = [BackgroundThread(lambda i=i: self.poll(i)) for i in range(fleet.daemon_count)]

    def poll(self, index):
        last, incarnation = -1, None
        while self.running:
            process = self.fleet.daemons[index]
            if process is not incarnation:
                last, incarnation = -1, process
            values = self.fleet.metrics(index)
            now = monotonic_ms()
            version = values.get(("jasminestack_configuration_version", ""))
            if version is not None and process is self.fleet.daemons[index]:
                version = int(version)
                if version < last:
                    self.reverts += 1
                if version > last:
                    for reached in range(max(last, 0) + 1, version + 1):
                        self.seen[index].setdefault(reached, now)
                last = version
            time.sleep(0.02)

    def finish(self):
        self.running = False
        for thread in self.threads:
            thread.finish()

    def in_force(self, version):
        times = [seen.get(version) for seen in self.seen]
        return None if None in times else max(times)


def publish_series(fleet, count, gap, via=None):
    """Publishes changes through daemon `via`, or through all daemons in turn.

    Returns the accepted changes as (version, time of publication) and the refused ones.
    """
    accepted, refused = [], []
    for number in range(count):
        share = 1.0 + (number % 7)
        at = monotonic_ms()
        index = via if via is not None else number % fleet.daemon_count
        status, answer = fleet.publish({"workspaces": {"ws-15": {"share": share}}}, via=index)
        if status == 200:
            fleet.version = answer.get("version", fleet.version + 1)
            accepted.append((fleet.version, at))
        else:
            refused.append({"status": status, "answer": str(answer)[:200], "via": index})
            for row in range(fleet.daemon_count):
                version = fleet.metrics(row).get(("jasminestack_configuration_version", ""))
                fleet.version = max(fleet.version, int(version or 0))
        time.sleep(gap)
    return accepted, refused


def publish(options):
    with Fleet("publish", profile=options.profile).start() as fleet:
        watch = VersionWatch(fleet)
        calm, calm_refused = publish_series(fleet, max(int(options.seconds * 2), 40), 0.2)
        time.sleep(2)

        def inject():
            time.sleep(1)
            fleet.control_standin("log", loseAnswers=0.3)
            time.sleep(4)
            fleet.control_standin("log", loseAnswers=0)
            fleet.daemons[3].signal(signal.SIGSTOP)
            time.sleep(4)
            fleet.daemons[3].signal(signal.SIGCONT)
            fleet.control_standin("log", outage=True)
            time.sleep(4)
            fleet.control_standin("log", outage=False)
            fleet.daemons[5].kill()
            time.sleep(1)
            fleet.start_daemon(5)
            fleet.control_standin("log", silence=True)
            fleet.control_standin("log", delayMs=500)
            time.sleep(4)
            fleet.control_standin("log", delayMs=0)

        injector = BackgroundThread(inject)
        with_faults, fault_refused = publish_series(fleet, 30, 0.5, via=0)
        injector.finish()
        time.sleep(8)
        watch.finish()
        delays = [(watch.in_force(v) - at if watch.in_force(v) else float("inf")) / 1000.0 for v, at in calm]
        fault_delays = [(watch.in_force(v) - at if watch.in_force(v) else float("inf")) / 1000.0
            for v, at in with_faults]
        details = {"calm": sorted(delays), "faults": sorted(fault_delays), "refused": calm_refused,
            "refusedInFaults": fault_refused, "reverts": watch.reverts}
    return [make_check("calm_p99_s", quantile(delays, 0.99), 1.0, "s"),
        make_check("faults_p99_s", quantile(fault_delays, 0.99), 7.0, "s"),
        make_check("accepted_calm", len(calm), len(calm) + len(calm_refused), "changes", at_least=True),
        make_check("reverts", watch.reverts, 0, "")], details


def leave(options):
    """Engines start to leave; each must get its last new request within 2 s of the first sign that it leaves."""
    delays, details = [], []
    with Fleet("leave", profile=options.profile).start() as fleet:
        seconds = max(options.seconds, 20.0)
        load = fleet.start_load(scenarios.saturated_scenario(fleet, seconds, intermittent=False))
        time.sleep(4)
        signs = []
        for number, name in enumerate(["engine-02", "engine-07", "engine-11", "engine-16"]):
            if number % 2 == 0:
                # Only the lagging host list says that the engine leaves; the engine still accepts all requests.
                at = fleet.control_standin("hosts", set={name: "leaving"}) + fleet.host_list_lag_ms
            else:
                at = fleet.control_standin(name, leaving=True)
            signs.append((name, at, "hosts" if number % 2 == 0 else "engine"))
            time.sleep((seconds - 12) / 4)
        result = fleet.finish_load(load)
        runs = fleet.journal()
        state = fleet.standin_states()
        for name, at, sign in signs:
            late = [run["arrived"] - at for run in runs if run["endpoint"] == name and run["arrived"] > at]
            # A request that the leaving engine refused also counts as sent to it.
            if state[name]["lastRefused"] > at:
                late.append(state[name]["lastRefused"] - at)
            delay = max(late, default=0.0) / 1000.0
            delays.append(delay)
            details.append({"engine": name, "sign": sign, "lastNewWorkAfterS": delay, "newWork": len(late),
                "refused": state[name]["refused"]})
        details.append({"answers": measure.response_totals(result)})
    return [make_check("last_new_work_s", max(delays), 2.0, "s")], details


def drain(options):
    """All daemons restart one after the other by SIGTERM; the load balancer removes each from its list
    beforehand."""
    with Fleet("drain", profile=options.profile).start() as fleet:
        seconds = max(options.seconds, 45.0)
        scenario = scenarios.moderate_scenario(fleet, seconds, part=0.6, stream=0.7, drain=30)
        scenario["groups"].append(scenarios.booking_group(fleet, connections=4, duplicatePart=0.0))
        load = fleet.start_load(scenario)
        time.sleep(3)
        codes = []
        for index in range(fleet.daemon_count):
            began = time.monotonic()
            codes.append({"daemon": index, "code": fleet.daemons[index].stop(30), "seconds": time.monotonic() - began})
            fleet.start_daemon(index)
            fleet.wait_for(lambda i=index: fleet.ready(i), 15, f"daemon-{index} is not ready after its restart")
        result = fleet.finish_load(load)
        totals = measure.response_totals(result)
        cut = sum(count for kind, count in totals["errors"].items()
            if kind.split("/")[0] in ("no_answer", "broken", "timed_out") or kind.endswith("/unknown"))
        details = {"restarts": codes, "answers": totals}
    return [make_check("requests_cut", cut + totals["wrong"] + totals["partial"], 0, "requests"),
        make_check("failed_stops", sum(1 for c in codes if c["code"] != 0), 0, "stops")], details
