"""Benchmarks overhead, fairness, utilisation, control, starvation and failover."""

import signal
import time

import measure
import scenarios
from fleet import Fleet, NotRunnable, monotonic_ms


def verdict(value, bound, at_least=False):
    if value != value:
        return False
    return value >= bound if at_least else value <= bound


def check(name, value, bound, unit="", at_least=False):
    return {"name": name, "value": value, "bound": bound, "unit": unit, "atLeast": at_least,
        "pass": verdict(value, bound, at_least)}


def overhead(options):
    """Router against direct calls to the same engines, in alternating intervals of one run."""
    interval = max(options.seconds / 6.0, 2.0)
    details = {"intervals": []}
    # Few callers, so that no request waits for a slot or for the processor.
    with Fleet("overhead-latency", profile=options.profile, engine={"prefillMsPerToken": 0.0, "decodeMsPerToken": 2.0}
            ).start() as fleet:
        samples = {"direct": [], "routed": []}
        for turn in range(6):
            kind = "routed" if turn % 2 else "direct"
            targets = list(range(len(fleet.callers)))
            entry = scenarios.group(fleet, "ws-00", targets, name="latency", connections=8, thinkMs=20, streamPart=1,
                tokens=16)
            if kind == "direct":
                entry["targets"] = list(fleet.engines.values())[:8]
            result = fleet.load({"seed": turn, "seconds": interval, "drainSeconds": 5, "groups": [entry]}, f"{kind}{turn}")
            row = result["groups"]["latency"]
            if row["completed"] == 0:
                raise NotRunnable(f"no {kind} request completed: {row['errors']}")
            samples[kind].append(row["firstByteMs"])
            details["intervals"].append({"kind": kind, "firstByteMs": row["firstByteMs"], "errors": row["errors"]})
        # The median of the intervals' 95th percentiles keeps one disturbed interval from deciding.
        middle = {kind: sorted(row["p95"] for row in rows)[len(rows) // 2] for kind, rows in samples.items()}
        details["p95"] = middle
    # 1,000 streams at 20 tokens/s each through one daemon: every token arrives and leaves on its own.
    with Fleet("overhead-streams", daemons=1, slots=50, profile=options.profile,
            engine={"decodeMsPerToken": 50.0, "prefillMsPerToken": 0.0}).start() as fleet:
        entry = scenarios.group(fleet, "ws-00", [0], name="streams", connections=1000, streamPart=1, tokens=400)
        load = fleet.start_load({"seed": 1, "seconds": 12, "drainSeconds": 20, "groups": [entry]})
        time.sleep(5)
        cpu, tokens, at = fleet.daemons[0].cpu_seconds(), fleet.metric(0, "jasminestack_tokens_relayed_total"), time.time()
        resident = 0.0
        for _ in range(10):
            time.sleep(0.5)
            resident = max(resident, fleet.daemons[0].resident_mb())
        details["openStreams"] = fleet.metric(0, "jasminestack_open_streams")
        cpu = fleet.daemons[0].cpu_seconds() - cpu
        counted = fleet.metric(0, "jasminestack_tokens_relayed_total") - tokens
        seconds = time.time() - at
        result = fleet.finish_load(load)
        row = result["groups"]["streams"]
        # The callers' own count of tokens over the same interval, independent of the daemon's counter.
        buckets = row["costBuckets"][50:50 + int(seconds * 10)]
        chunks = sum(buckets)
        details["streams"] = {"cpuSeconds": cpu, "seconds": seconds, "chunks": chunks, "daemonCounted": counted,
            "completed": row["completed"], "errors": row["errors"], "wrong": row["wrong"], "partial": row["partial"]}
    checks = [
        check("added_first_byte_p95_ms", middle["routed"] - middle["direct"], 2.0, "ms"),
        check("chunks_per_core_second", chunks / cpu if cpu > 0 else float("nan"), 50000.0, "1/s", at_least=True),
        check("resident_mb_1000_streams", resident, 128.0, "MB"),
    ]
    return checks, details


def saturated_run(options, policy, name, seed=1, daemon_seconds=None):
    """One run with backlog everywhere; returns its fairness, utilisation and control figures."""
    with Fleet(name, policy=policy, profile=options.profile).start() as fleet:
        seconds = daemon_seconds or options.seconds
        before = control_sample(fleet)
        result = fleet.load(scenarios.saturated(fleet, seconds, seed))
        after = control_sample(fleet)
        runs = fleet.journal()
        answers = measure.answers(result)
        if answers["completed"] == 0:
            raise NotRunnable(f"no request completed under policy {policy}: {answers['errors']}")
        unit = scenarios.LARGEST_COST / min(fleet.shares.values())
        return {"policy": policy, "fairness": measure.fairness(result, runs, fleet.shares, unit=unit),
            "utilisation": measure.utilisation(result, runs, len(fleet.engines) * fleet.slots),
            "control": control_rates(before, after), "answers": answers,
            "throughput": measure.throughput(runs, result["startMs"] + 2000, result["startMs"] + seconds * 1000)}


def fairness(options):
    rows = {policy: saturated_run(options, policy, f"fairness-{policy}") for policy in ("fair", "static", "fifo")}
    fair = rows["fair"]["fairness"]
    worse = max(rows[policy]["fairness"]["settled"] for policy in ("static", "fifo"))
    growth = fair["lastThird"] - fair["firstThird"]
    checks = [
        check("gap_from_start", fair["fromStart"], 8.0, "largest requests"),
        check("gap_after_10s", fair["settled"], 4.0, "largest requests"),
        # A gap that grows with time adds at least one largest request between the first and the last third.
        check("gap_growth", growth, 1.0, "largest requests"),
        check("gap_to_worse_baseline", fair["settled"] / worse if worse else float("nan"), 0.1, "ratio"),
    ]
    return checks, rows


def utilisation(options):
    row = saturated_run(options, "fair", "utilisation")
    return [check("busy_slot_time", row["utilisation"], 0.97, "part", at_least=True)], row


def control_sample(fleet):
    rows = []
    for index in range(fleet.daemon_count):
        values = fleet.metrics(index)
        sums = {}
        for direction in ("sent", "received"):
            sums[direction] = sum(v for (name, labels), v in values.items()
                if name == "jasminestack_control_bytes_total" and f'direction="{direction}"' in labels)
        sums["control"] = sum(v for (name, _), v in values.items() if name == "jasminestack_control_seconds_total")
        sums["cpu"] = fleet.daemons[index].cpu_seconds() if fleet.daemons[index].alive() else float("nan")
        rows.append(sums)
    return monotonic_ms(), rows


def control_rates(before, after):
    """Per second and daemon; the budget of 4 KB/s counts each direction by itself."""
    seconds = (after[0] - before[0]) / 1000.0
    rows = [{field: (b[field] - a[field]) / seconds for field in a} for a, b in zip(before[1], after[1])]
    return {"seconds": seconds, "perDaemon": rows,
        "maxBytes": max(max(row["sent"], row["received"]) for row in rows),
        "maxControlCpu": max(row["control"] for row in rows), "maxCpu": max(row["cpu"] for row in rows)}


def control(options):
    part = max(options.seconds / 3.0, 5.0)
    with Fleet("control", profile=options.profile).start() as fleet:
        samples = [control_sample(fleet)]
        time.sleep(part)
        samples.append(control_sample(fleet))
        idle = control_rates(samples[0], samples[1])
        usual = fleet.load(scenarios.saturated(fleet, part, intermittent=False), "usual")
        samples.append(control_sample(fleet))
        busy = control_rates(samples[1], samples[2])
        time.sleep(2)
        samples.append(control_sample(fleet))
        flood = fleet.load(scenarios.saturated(fleet, part, flood="ws-05", intermittent=False), "flood")
        samples.append(control_sample(fleet))
        flooded = control_rates(samples[3], samples[4])
        details = {"idle": idle, "busy": busy, "flood": flooded, "answers": measure.answers(usual),
            "floodAnswers": measure.answers(flood)}
        if idle["maxBytes"] <= 0:
            raise NotRunnable("the daemons report no control traffic in jasminestack_control_bytes_total")
    checks = [
        check("bytes_per_second_idle", idle["maxBytes"], 4096.0, "B/s"),
        check("bytes_per_second_busy", busy["maxBytes"], 4096.0, "B/s"),
        check("bytes_per_second_flood", flooded["maxBytes"], 4096.0, "B/s"),
        # An idle daemon does nothing but control, so its whole processor time counts.
        check("core_part_idle", idle["maxCpu"], 0.05, "core"),
        check("core_part_busy", busy["maxControlCpu"], 0.05, "core"),
        check("core_part_flood", flooded["maxControlCpu"], 0.05, "core"),
    ]
    return checks, details


def starvation(options):
    """The smallest share keeps a few requests waiting among large, flooding workspaces."""
    shares = {f"ws-{i:02d}": share for i, share in enumerate([40.0, 20.0, 20.0] + [8.0] * 12 + [1.0])}
    smallest = "ws-15"
    waiting = 8
    with Fleet("starvation", shares=shares, profile=options.profile).start() as fleet:
        scenario = scenarios.saturated(fleet, options.seconds, intermittent=False, flood="ws-01")
        scenario["groups"] = [g for g in scenario["groups"] if g["workspace"] != smallest]
        # Equal costs make the wait under an exact share a plain quotient.
        cost = 40 + scenarios.PROMPT_TOKENS / 4
        scenario["groups"].append(scenarios.group(fleet, smallest, [5], name=smallest, connections=waiting, tokens=40))
        result = fleet.load(scenario)
        runs = fleet.journal()
        rate = measure.throughput(runs, result["startMs"] + 2000, result["startMs"] + options.seconds * 1000)
        exact = waiting * cost / (rate * shares[smallest] / sum(shares.values()))
        row = result["groups"][smallest]
        longest = row["latencyMs"].get("max", float("inf")) / 1000.0
        # A request that never came back has waited at least until the end.
        starts = [run["start"] for run in runs if measure.workspace_of(run) == smallest]
        if not starts:
            longest = options.seconds
        else:
            points = [result["startMs"]] + sorted(starts) + [result["startMs"] + options.seconds * 1000]
            longest = max(longest, max(b - a for a, b in zip(points, points[1:])) / 1000.0)
        details = {"exactWait": exact, "longest": longest, "throughput": rate, "completed": row["completed"],
            "errors": row["errors"], "waiting": waiting, "cost": cost}
    return [check("longest_wait_to_exact", longest / exact, 2.0, "ratio")], details


def scheduler_of(fleet, pool="models"):
    """Index of the daemon that schedules the pool's cell, as most daemons see it."""
    votes = {}
    for index in range(fleet.daemon_count):
        status, answer = fleet.status(index)
        if status != 200 or not isinstance(answer, dict):
            continue
        for cell in answer.get("cells", []):
            if pool in str(cell.get("cell", cell.get("pool", ""))):
                votes[cell.get("scheduler")] = votes.get(cell.get("scheduler"), 0) + 1
    if not votes:
        raise NotRunnable("GET /admin/status names no scheduling daemon")
    return int(max(votes, key=votes.get).rsplit("-", 1)[1])


def failover_case(options, case):
    with Fleet(f"failover-{case}", profile=options.profile).start() as fleet:
        lead = 12.0
        seconds = max(options.seconds, 35.0)
        victim = scheduler_of(fleet)
        load = fleet.start_load(scenarios.saturated(fleet, seconds, intermittent=False))
        time.sleep(lead)
        at = monotonic_ms()
        fleet.daemons[victim].signal(signal.SIGKILL if case == "killed" else signal.SIGSTOP)
        if case == "paused":
            time.sleep(10.0)
            fleet.daemons[victim].signal(signal.SIGCONT)
        result = fleet.finish_load(load)
        runs = fleet.journal()
        before = measure.throughput(runs, at - 8000, at)
        after = measure.throughput(runs, at + 2000, at + 10000)
        unit = scenarios.LARGEST_COST / min(fleet.shares.values())
        # The gap is measured anew once the fleet has had 10 s to settle after the fault (20 s when paused for 10 s).
        since = at - result["startMs"] + (20000 if case == "paused" else 10000)
        gap = measure.fairness(result, runs, fleet.shares, settle_ms=0, unit=unit, from_ms=since)
        details = {"victim": victim, "before": before, "after": after, "gap": gap,
            "answers": measure.answers(result)}
    return [check(f"{case}_throughput", after / before if before else float("nan"), 0.95, "ratio", at_least=True),
        check(f"{case}_gap", gap["settled"], 4.0, "largest requests")], details


def failover(options):
    checks, details = [], {}
    for case in ("killed", "paused"):
        rows, details[case] = failover_case(options, case)
        checks += rows
    # Loopback without packet filters offers no way to cut links between processes yet.
    checks.append(check("cut_off_from_half_throughput", float("nan"), 0.95, "ratio (not run: needs relays)", True))
    return checks, details
