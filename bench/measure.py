"""Computes the fairness gap, utilisation and waiting times from the journal of the endpoints and the load result."""

import bisect

STEP_MS = 100.0


def workspace_of(run):
    """Returns the run's workspace, or else the one in the load generator's marker ("workspace/sequence")."""
    return run["workspace"] or run["marker"].split("/", 1)[0].split("+", 1)[0]


def largest_cost(runs):
    return max((run["cost"] for run in runs if run["outcome"] == "done"), default=1.0)


def service_curves(runs, start, end):
    """Returns the cumulative cost served to each workspace at intervals of 100 ms.

    The cost of a run's prompt is added when decoding starts; that of its tokens evenly from then to the end of the run.
    """
    cells = int((end - start) / STEP_MS) + 1
    rate = {}
    for run in runs:
        finish = run["end"] or end
        if run["cost"] <= 0 and run["end"]:
            continue
        row = rate.setdefault(workspace_of(run), [0.0] * (cells + 1))
        tokens = run["tokens"]
        prompt = max(run["cost"] - tokens, 0.0)
        decode_start = min(max(run["decode"], run["start"]), finish)

        def add(at, amount):
            cell = int((at - start) / STEP_MS)
            if 0 <= cell <= cells:
                row[cell] += amount

        add(decode_start, prompt)
        span = finish - decode_start
        if span <= 0:
            add(decode_start, tokens)
            continue
        at = decode_start
        while at < finish:
            interval_end = min(start + (int((at - start) / STEP_MS) + 1) * STEP_MS, finish)
            if interval_end <= at:
                interval_end = min(at + STEP_MS, finish)
            add(at, tokens * (interval_end - at) / span)
            at = interval_end
    curves = {}
    for workspace, row in rate.items():
        total = 0.0
        curve = []
        for value in row[:cells]:
            curve.append(total)
            total += value
        curves[workspace] = curve
    return curves


def running_counts(runs, times):
    """Returns the number of slots that each workspace occupies at each of the times."""
    starts, ends = {}, {}
    for run in runs:
        workspace = workspace_of(run)
        starts.setdefault(workspace, []).append(run["start"])
        ends.setdefault(workspace, []).append(run["end"] or float("inf"))
    result = {}
    for workspace in starts:
        first, last = sorted(starts[workspace]), sorted(ends[workspace])
        result[workspace] = [bisect.bisect_right(first, t) - bisect.bisect_right(last, t) for t in times]
    return result


def backlogged_intervals(load, runs, times):
    """Returns for each workspace and time whether it had more outstanding requests than occupied slots."""
    outstanding = {}
    for group in load["groups"].values():
        row = outstanding.setdefault(group["workspace"], [0] * len(times))
        for i, t in enumerate(times):
            sample = int((t - load["startMs"]) / load["bucketMs"]) - 1
            if 0 <= sample < len(group["outstanding"]):
                row[i] += group["outstanding"][sample]
    running = running_counts(runs, times)
    return {workspace: [count > running.get(workspace, [0] * len(times))[i] for i, count in enumerate(row)]
        for workspace, row in outstanding.items()}


def gap_curve(curves, shares, backlog, first, last):
    """Largest service gap between two workspaces over all intervals in [first, last) in which both are backlogged.

    Returns the running maximum per step, in normalised cost. The gap over an interval is the range of
    the difference between the two normalised services.
    """
    names = [name for name in shares if name in backlog]
    steps = last - first
    largest_gap = [0.0] * max(steps, 0)
    for i, a in enumerate(names):
        for b in names[i + 1:]:
            curve_a, curve_b = curves.get(a), curves.get(b)
            minimum_difference = maximum_difference = None
            for step in range(steps):
                t = first + step
                if not (backlog[a][t] and backlog[b][t]):
                    minimum_difference = maximum_difference = None
                    continue
                difference = ((curve_a[t] / shares[a] if curve_a else 0.0)
                    - (curve_b[t] / shares[b] if curve_b else 0.0))
                minimum_difference = difference if minimum_difference is None else min(minimum_difference, difference)
                maximum_difference = difference if maximum_difference is None else max(maximum_difference, difference)
                largest_gap[step] = max(largest_gap[step], maximum_difference - minimum_difference)
    running = 0.0
    for step in range(steps):
        running = max(running, largest_gap[step])
        largest_gap[step] = running
    return largest_gap


def fairness_gap(load, runs, shares, settle_ms=10000.0, unit=None, from_ms=0.0):
    """Returns the gap in units of the largest request's cost divided by the smallest share: from the start, after
    settle_ms, and within the first and the last third of the time after settle_ms, which shows its growth."""
    start = load["startMs"]
    end = min(load["endMs"], start + len(next(iter(load["groups"].values()))["outstanding"]) * load["bucketMs"])
    curves = service_curves(runs, start, end)
    times = [start + i * STEP_MS for i in range(int((end - start) / STEP_MS))]
    backlog = backlogged_intervals(load, runs, times)
    unit = unit or largest_cost(runs) / min(shares.values())
    steps = len(times)
    first = min(int(from_ms / STEP_MS), steps)
    settled = min(int((from_ms + settle_ms) / STEP_MS), steps)
    whole = gap_curve(curves, shares, backlog, first, steps)
    later = gap_curve(curves, shares, backlog, settled, steps)
    third = (steps - settled) // 3
    early = gap_curve(curves, shares, backlog, settled, settled + third)
    late = gap_curve(curves, shares, backlog, steps - third, steps)
    return {
        "unit": unit,
        "fromStart": (whole[-1] if whole else 0.0) / unit,
        "settled": (later[-1] if later else 0.0) / unit,
        "firstThird": (early[-1] if early else 0.0) / unit,
        "lastThird": (late[-1] if late else 0.0) / unit,
        "backloggedPart": {name: round(sum(row) / max(len(row), 1), 3) for name, row in backlog.items()},
        "servedPerShare": {name: round((curves[name][-1] if name in curves else 0.0) / shares[name], 1)
            for name in shares if name in backlog},
    }


def slot_utilisation(load, runs, slots, skip_ms=2000.0):
    """Fraction of the slot time that is busy, counted while more requests are outstanding than slots are busy."""
    start = load["startMs"] + skip_ms
    samples = len(next(iter(load["groups"].values()))["outstanding"])
    end = load["startMs"] + samples * load["bucketMs"]
    outstanding = [sum(group["outstanding"][i] for group in load["groups"].values()
        if i < len(group["outstanding"])) for i in range(samples)]
    events = []
    for run in runs:
        events.append((run["start"], 1))
        events.append((run["end"] or end, -1))
    events.sort()
    busy_time = waiting_time = 0.0
    busy, at = 0, start
    for when, change in events + [(end, 0)]:
        when = min(when, end)
        cursor = at
        while cursor < when:
            sample = int((cursor - load["startMs"]) / load["bucketMs"])
            interval_end = min(load["startMs"] + (sample + 1) * load["bucketMs"], when)
            if interval_end <= cursor:
                interval_end = when
            if outstanding[min(max(sample - 1, 0), samples - 1)] > busy:
                waiting_time += interval_end - cursor
                busy_time += (interval_end - cursor) * min(busy, slots)
            cursor = interval_end
        at = max(at, when)
        busy += change
    return busy_time / (slots * waiting_time) if waiting_time > 0 else float("nan")


def throughput(runs, first, last):
    """Cost served per second between two times."""
    curves = service_curves(runs, first, last)
    return sum(curve[-1] for curve in curves.values()) / max((last - first) / 1000.0, 1e-9)


def longest_wait(runs, workspace, since=0.0):
    """Longest time in ms that a request of the workspace waited at an engine for a slot. The waits of the callers are
    measured by the load generator."""
    return max((run["start"] - run["arrived"] for run in runs
        if workspace_of(run) == workspace and run["arrived"] >= since), default=0.0)


def response_totals(load):
    """Sums completed, wrong and partial responses and errors over all groups."""
    total = {"completed": 0, "wrong": 0, "partial": 0, "errors": {}}
    for group in load["groups"].values():
        for field in ("completed", "wrong", "partial"):
            total[field] += group[field]
        for kind, count in group["errors"].items():
            total["errors"][kind] = total["errors"].get(kind, 0) + count
    return total


def booking_report(load, runs):
    """Counts runs per booking, "not_run" responses to requests that ran, and confirmed bookings without a run."""
    run_requests = {}
    run_bookings = {}
    for run in runs:
        if run["request"]:
            run_requests.setdefault(run["request"], []).append(run)
        if run["endpoint"].startswith("desk"):
            run_bookings[run["marker"]] = run_bookings.get(run["marker"], 0) + 1
    false_not_run = [answer for answer in load["notRun"] if answer["request"] in run_requests]
    by_booking = {}
    for attempt in load["bookings"]:
        by_booking.setdefault(attempt["booking"], []).append(attempt)
    for booking, attempts in by_booking.items():
        if run_bookings.get(booking, 0) > 0 and all(a["runStatus"] == "not_run" for a in attempts):
            false_not_run.append({"booking": booking})
    confirmed = sum(1 for attempts in by_booking.values() if any(a["outcome"] == "ok" for a in attempts))
    phantom = [b for b, attempts in by_booking.items()
        if any(a["outcome"] == "ok" for a in attempts) and run_bookings.get(b, 0) == 0]
    return {"bookings": len(by_booking), "confirmed": confirmed, "phantomConfirmations": len(phantom),
        "maxRunsPerKey": max(run_bookings.values(), default=0),
        "duplicates": sorted(b for b, n in run_bookings.items() if n > 1)[:20],
        "falseNotRun": len(false_not_run), "falseNotRunExamples": false_not_run[:5]}
