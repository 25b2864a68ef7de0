"""Benchmarks overhead, fairness, utilisation, control, starvation and failover."""

import signal
import time

import measure
import scenarios
from fleet import Fleet, NotRunnable, monotonic_ms


def is_within_bound(value, bound, at_least=False):
    if value != value:
        return False
    return value >= bound if at_least else value <= bound


def make_check(name, value, bound, unit="", at_least=False):
    return {"name": name, "value": value, "bound": bound, "unit": unit, "atLeast": at_least,
        "pass": is_within_bound(value, bound, at_least)}


def overhead(options):
    """Compares requests through the router with direct requests to the same engines, in alternating intervals."""
    interval = max(options.seconds / 6.0, 2.0)
    details = {"intervals": []}
    # Few callers, so that no request waits for a slot or for the processor.
    with Fleet("overhead-latency", profile=options.profile, engine={"prefillMsPerToken": 0.0, "decodeMsPerToken": 2.0}
            ).start() as fleet:
        samples = {"direct": [], "routed": []}
        for turn in range(6):
            kind = "routed" if turn % 2 else "direct"
            targets = list(range(len(fleet.caller_addresses)))
            entry = scenarios.caller_group(fleet, "ws-00", targets, name="latency", connections=8, thinkMs=20,
                streamPart=1, tokens=16)
            if kind == "direct":
                entry["targets"] = list(fleet.engines.values())[:8]
            result = fleet.run_load({"seed": turn, "seconds": interval, "drainSeconds": 5, "groups": [entry]},
                f"{kind}{turn}")
            row = result["groups"]["latency"]
            if row["completed"] == 0:
                raise NotRunnable(f"no {kind} request completed: {row['errors']}")
            samples[kind].append(row["firstByteMs"])
            details["intervals"].append({"kind": kind, "firstByteMs": row["firstByteMs"], "errors": row["errors"]})
        # The median of the intervals' 95th percentiles, so that one disturbed interval doesn't decide the result.
        median_p95 = {kind: sorted(row["p95"] for row in rows)[len(rows) // 2] for kind, rows in samples.items()}
        details["p95"] = median_p95
    # 1,000 streams at 20 tokens/s each through one daemon: every token is a chunk of its own.
    with Fleet("overhead-streams", daemons=1, slots=50, profile=options.profile,
            engine={"decodeMsPerToken": 50.0, "prefillMsPerToken": 0.0}).start() as fleet:
        entry = scenarios.caller_group(fleet, "ws-00", [0], name="streams", connections=1000, streamPart=1, tokens=400)
        load = fleet.start_load({"seed": 1, "seconds": 12, "drainSeconds": 20, "groups": [entry]})
        time.sleep(5)
        cpu, tokens, at = fleet.daemons[0].cpu_seconds(), fleet.metric_sum(
            0, "jasminestack_tokens_relayed_total"), time.time()
        resident = 0.0
        for _ in range(10):
            time.sleep(0.5)
            resident = max(resident, fleet.daemons[0].resident_mb())
        details["openStreams"] = fleet.metric_sum(0, "jasminestack_open_streams")
        cpu = fleet.daemons[0].cpu_seconds() - cpu
        counted = fleet.metric_sum(0, "jasminestack_tokens_relayed_total") - tokens
        seconds = time.time() - at
        result = fleet.finish_load(load)
        row = result["groups"]["streams"]
        # The callers' own count of tokens over the same interval, independent of the daemon's counter.
        buckets = row["costBuckets"][50:50 + int(seconds * 10)]
        chunks = sum(buckets)
        details["streams"] = {"cpuSeconds": cpu, "seconds": seconds, "chunks": chunks, "daemonCounted": counted,
            "completed": row["completed"], "errors": row["errors"], "wrong": row["wrong"], "partial": row["partial"]}
    checks = [
        make_check("added_first_byte_p95_ms", median_p95["routed"] - median_p95["direct"], 2.0, "ms"),
        make_check("chunks_per_core_second", chunks / cpu if cpu > 0 else float("nan"), 50000.0, "1/s", at_least=True),
        make_check("resident_mb_1000_streams", resident, 128.0, "MB"),
    ]
    return checks, details


def saturated_run(options, policy, name, seed=1, daemon_seconds=None):
    """Runs one load in which all workspaces are backlogged; returns fairness, utilisation and control usage."""
    with Fleet(name, policy=policy, profile=options.profile).start() as fleet:
        seconds = daemon_seconds or options.seconds
        before = sample_control_usage(fleet)
        result = fleet.run_load(scenarios.saturated_scenario(fleet, seconds, seed))
        after = sample_control_usage(fleet)
        runs = fleet.journal()
        totals = measure.response_totals(result)
        if totals["completed"] == 0:
            raise NotRunnable(f"no request completed under policy {policy}: {totals['errors']}")
        unit = scenarios.LARGEST_COST / min(fleet.shares.values())
        return {"policy": policy, "fairness": measure.fairness_gap(result, runs, fleet.shares, unit=unit),
            "utilisation": measure.slot_utilisation(result, runs, len(fleet.engines) * fleet.slots),
            "control": control_rates(before, after), "answers": totals,
            "throughput": measure.throughput(runs, result["startMs"] + 2000, result["startMs"] + seconds * 1000)}


def fairness(options):
    rows = {policy: saturated_run(options, policy, f"fairness-{policy}") for policy in ("fair", "static", "fifo")}
    fair = rows["fair"]["fairness"]
    worse = max(rows[policy]["fairness"]["settled"] for policy in ("static", "fifo"))
    growth = fair["lastThird"] - fair["firstThird"]
    checks = [
        make_check("gap_from_start", fair["fromStart"], 8.0, "largest requests"),
        make_check("gap_after_10s", fair["settled"], 4.0, "largest requests"),
        # A gap that grows with time grows by at least one largest request between the first and the last third.
        make_check("gap_growth", growth, 1.0, "largest requests"),
        make_check("gap_to_worse_baseline", fair["settled"] / worse if worse else float("nan"), 0.1, "ratio"),
    ]
    return checks, rows


def utilisation(options):
    row = saturated_run(options, "fair", "utilisation")
    return [make_check("busy_slot_time", row["utilisation"], 0.97, "part", at_least=True)], row


def sample_control_usage(fleet):
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
    """Returns the usage per second of each daemon. The bound of 4 KB/s applies to each direction separately."""
    seconds = (after[0] - before[0]) / 1000.0
    rows = [{field: (b[field] - a[field]) / seconds for field in a} for a, b in zip(before[1], after[1])]
    return {"seconds": seconds, "perDaemon": rows,
        "maxBytes": max(max(row["sent"], row["received"]) for row in rows),
        "maxControlCpu": max(row["control"] for row in rows), "maxCpu": max(row["cpu"] for row in rows)}


def control(options):
    part = max(options.seconds / 3.0, 5.0)
    with Fleet("control", profile=options.profile).start() as fleet:
        samples = [sample_control_usage(fleet)]
        time.sleep(part)
        samples.append(sample_control_usage(fleet))
        idle = control_rates(samples[0], samples[1])
        usual = fleet.run_load(scenarios.saturated_scenario(fleet, part, intermittent=False), "usual")
        samples.append(sample_control_usage(fleet))
        busy = control_rates(samples[1], samples[2])
        time.sleep(2)
        samples.append(sample_control_usage(fleet))
        flood = fleet.run_load(scenarios.saturated_scenario(fleet, part, flood="ws-05", intermittent=False), "flood")
        samples.append(sample_control_usage(fleet))
        flooded = control_rates(samples[3], samples[4])
        details = {"idle": idle, "busy": busy, "flood": flooded, "answers": measure.response_totals(usual),
            "floodAnswers": measure.response_totals(flood)}
        if idle["maxBytes"] <= 0:
            raise NotRunnable("the daemons report no control traffic in jasminestack_control_bytes_total")
    checks = [
        make_check("bytes_per_second_idle", idle["maxBytes"], 4096.0, "B/s"),
        make_check("bytes_per_second_busy", busy["maxBytes"], 4096.0, "B/s"),
        make_check("bytes_per_second_flood", flooded["maxBytes"], 4096.0, "B/s"),
        # An idle daemon does only control work, so its whole processor time counts.
        make_check("core_part_idle", idle["maxCpu"], 0.05, "core"),
        make_check("core_part_busy", busy["maxControlCpu"], 0.05, "core"),
        make_check("core_part_flood", flooded["maxControlCpu"], 0.05, "core"),
    ]
    return checks, details


def starvation(options):
    """The workspace with the smallest share keeps a few requests waiting while large workspaces flood the fleet."""
    shares = {f"ws-{i:02d}": share for i, share in enumerate([40.0, 20.0, 20.0] + [8.0] * 12 + [1.0])}
    smallest = "ws-15"
    waiting = 8
    with Fleet("starvation", shares=shares, profile=options.profile).start() as fleet:
        scenario = scenarios.saturated_scenario(fleet, options.seconds, intermittent=False, flood="ws-01")
        scenario["groups"] = [g for g in scenario["groups"] if g["workspace"] != smallest]
        # With equal costs the wait under exact shares is waiting * cost / the workspace's service rate.
        cost = 40 + scenarios.PROMPT_TOKENS / 4
        scenario["groups"].append(
            scenarios.caller_group(fleet, smallest, [5], name=smallest, connections=waiting, tokens=40))
        result = fleet.run_load(scenario)
        runs = fleet.journal()
        rate = measure.throughput(runs, result["startMs"] + 2000, result["startMs"] + options.seconds * 1000)
        exact = waiting * cost / (rate * shares[smallest] / sum(shares.values()))
        row = result["groups"][smallest]
        longest = row["latencyMs"].get("max", float("inf")) / 1000.0
        # A request without a response has waited at least until the end of the load.
        starts = [run["start"] for run in runs if measure.workspace_of(run) == smallest]
        if not starts:
            longest = options.seconds
        else:
            points = [result["startMs"]] + sorted(starts) + [result["startMs"] + options.seconds * 1000]
            longest = max(longest, max(b - a for a, b in zip(points, points[1:])) / 1000.0)
        details = {"exactWait": exact, "longest": longest, "throughput": rate, "completed": row["completed"],
            "errors": row["errors"], "waiting": waiting, "cost": cost}
    return [make_check("longest_wait_to_exact", longest / exact, 2.0, "ratio")], details


def scheduler_of(fleet, pool="models"):
    """Index of the daemon that schedules the pool's cell, according to most daemons."""
    votes = {}
    for index in range(fleet.daemon_count):
        status, answer = fleet.admin_status(index)
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
        load = fleet.start_load(scenarios.saturated_scenario(fleet, seconds, intermittent=False))
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
        # The gap is measured from 10 s after the fault (20 s if the daemon was paused for 10 s), when the fleet has
        # settled.
        since = at - result["startMs"] + (20000 if case == "paused" else 10000)
        gap = measure.fairness_gap(result, runs, fleet.shares, settle_ms=0, unit=unit, from_ms=since)
        details = {"victim": victim, "before": before, "after": after, "gap": gap,
            "answers": measure.response_totals(result)}
    return [make_check(f"{case}_throughput", after / before if before else float("nan"), 0.95, "ratio", at_least=True),
        make_check(f"{case}_gap", gap["settled"], 4.0, "largest requests")], details


def failover(options):
    checks, details = [], {}
    for case in ("killed", "paused"):
        rows, details[case] = failover_case(options, case)
        checks += rows
    # Without packet filters, links between processes on loopback cannot be cut yet.
    checks.append(make_check("cut_off_from_half_throughput", float("nan"), 0.95, "ratio (not run: needs relays)", True))
    return checks, details
