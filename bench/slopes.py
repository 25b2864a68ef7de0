"""Measures cost series with real processes and jasminestack-microbench and renders docs/CAPACITY.md."""

import json
import os
import pathlib
import subprocess
import sys
import time

import capacity
import scenarios
import scheduling
from fleet import BUILD, OUTPUT, Fleet, NotRunnable

POINTS_NEEDED = 4
SETTLE_S = 3.0


def steady_rates(fleet, seconds):
    """Returns processor time, traffic and memory per daemon over an interval in a steady state."""
    before = scheduling.sample_control_usage(fleet)
    time.sleep(seconds)
    rates = scheduling.control_rates(before, scheduling.sample_control_usage(fleet))
    rows = rates["perDaemon"]
    memory = [process.resident_mb() for process in fleet.daemons]
    return {"cpu": sum(row["cpu"] for row in rows) / len(rows), "bytes": rates["maxBytes"],
        "controlCpu": rates["maxControlCpu"], "memory": sum(memory) / len(memory)}


class SeriesRecorder:
    def __init__(self):
        self.series = {}
        self.problems = []

    def add_point(self, name, unit, variable, x, y):
        series = self.series.setdefault(name, {"name": name, "unit": unit, "variable": variable, "points": []})
        series["points"].append([x, y])

    def run_guarded(self, label, function, *arguments):
        try:
            function(self, *arguments)
        except (NotRunnable, RuntimeError, subprocess.TimeoutExpired) as problem:
            self.problems.append(f"{label}: {problem}")
            print(f"slopes: {label}: {problem}", file=sys.stderr)


def run_measured_load(fleet, entry, seconds, skip=3.0):
    """Returns daemon 0's processor time per second, the cost served per second and daemon 0's memory under a load,
    measured after skip seconds."""
    process = fleet.start_load({"seed": 1, "seconds": seconds + skip + 2, "drainSeconds": 20, "groups": [entry]})
    time.sleep(skip)
    cpu, at = fleet.daemons[0].cpu_seconds(), time.monotonic()
    time.sleep(seconds)
    cpu = fleet.daemons[0].cpu_seconds() - cpu
    elapsed = time.monotonic() - at
    memory = fleet.daemons[0].resident_mb()
    row = fleet.finish_load(process)["groups"][entry["name"]]
    if row["completed"] == 0:
        raise NotRunnable(f"no request completed: {row['errors']}")
    buckets = row["costBuckets"][int(skip * 10):int((skip + elapsed) * 10)]
    return cpu / elapsed, sum(buckets) / elapsed, memory


def requests(recorder):
    for rate in (50, 100, 200, 400, 600):
        with Fleet("slopes", daemons=1, slots=32, engine={"fast": True}).start() as fleet:
            entry = scenarios.caller_group(fleet, "ws-00", [0], name="load", mode="open", ratePerSecond=rate,
                connections=200, tokens=1, promptTokens=4, streamPart=0)
            cpu, cost, _ = run_measured_load(fleet, entry, 5)
            # Each request costs 1 token and 4 / 4 for the prompt.
            recorder.add_point("cpu_per_request", "cores per (request/s)", "requests/s", cost / 2, cpu)


def streams(recorder):
    for count in (100, 250, 500, 750, 1000):
        with Fleet("slopes", daemons=1, slots=52, engine={"decodeMsPerToken": 50.0, "prefillMsPerToken": 0.0}
                ).start() as fleet:
            entry = scenarios.caller_group(fleet, "ws-00", [0], name="load", connections=count, tokens=100,
                promptTokens=4, streamPart=1)
            cpu, tokens, memory = run_measured_load(fleet, entry, 6)
            recorder.add_point("cpu_per_token_chunk", "cores per (chunk/s)", "token chunks/s", tokens, cpu)
            recorder.add_point("memory_per_open_stream", "MB", "open streams", count, memory)


def workspaces(recorder):
    for count in (16, 80, 160, 320):
        with Fleet("slopes", daemons=4, shares={f"ws-{i:03d}": 1.0 for i in range(count)}).start() as fleet:
            time.sleep(SETTLE_S)
            row = steady_rates(fleet, 5)
            recorder.add_point("idle_cpu_per_workspace", "cores", "workspaces", count, row["cpu"])
            recorder.add_point("memory_per_workspace", "MB", "workspaces", count, row["memory"])
            recorder.add_point("control_bytes_per_workspace", "B/s", "workspaces", count, row["bytes"])


def backlogged(recorder):
    for count in (4, 8, 16, 32):
        with Fleet("slopes", daemons=4, engines=8, shares={f"ws-{i:03d}": 1.0 for i in range(32)}).start() as fleet:
            groups = [scenarios.caller_group(fleet, f"ws-{i:03d}", [i % 4], name=f"g{i}", connections=160 // count + 4)
                for i in range(count)]
            process = fleet.start_load({"seed": 1, "seconds": 9, "drainSeconds": 20, "groups": groups})
            time.sleep(SETTLE_S)
            row = steady_rates(fleet, 5)
            fleet.finish_load(process)
            recorder.add_point("control_bytes_per_backlogged_workspace", "B/s", "backlogged workspaces", count,
                row["bytes"])
            recorder.add_point("control_cpu_per_backlogged_workspace", "cores", "backlogged workspaces", count,
                row["controlCpu"])


def daemons(recorder):
    for count in (4, 8, 16, 24, 32):
        with Fleet("slopes", daemons=count).start() as fleet:
            time.sleep(SETTLE_S)
            row = steady_rates(fleet, 6)
            recorder.add_point("idle_cpu_per_daemon", "cores", "daemons", count, row["cpu"])
            recorder.add_point("control_bytes_per_daemon", "B/s", "daemons", count, row["bytes"])
            recorder.add_point("memory_per_daemon", "MB", "daemons", count, row["memory"])


def endpoints(recorder):
    for count in (8, 20, 40, 80):
        with Fleet("slopes", daemons=4, engines=count).start() as fleet:
            time.sleep(SETTLE_S)
            row = steady_rates(fleet, 5)
            recorder.add_point("idle_cpu_per_endpoint", "cores", "endpoints", count, row["cpu"])
            recorder.add_point("memory_per_endpoint", "MB", "endpoints", count, row["memory"])
            recorder.add_point("control_bytes_per_endpoint", "B/s", "endpoints", count, row["bytes"])


def log_appends(fleet):
    return fleet.standin_states()["log"]["appends"]


def changes(recorder):
    with Fleet("slopes", daemons=4).start() as fleet:
        time.sleep(SETTLE_S)
        for rate in (1, 2, 4, 8):
            seconds = 5.0
            cpu = sum(process.cpu_seconds() for process in fleet.daemons)
            before, at, accepted = log_appends(fleet), time.monotonic(), 0
            while time.monotonic() < at + seconds:
                status, answer = fleet.publish({"workspaces": {"ws-15": {"share": 1.0 + accepted % 5}}})
                if status == 200:
                    fleet.version = answer.get("version", fleet.version + 1)
                    accepted += 1
                time.sleep(1.0 / rate)
            elapsed = time.monotonic() - at
            cpu = (sum(process.cpu_seconds() for process in fleet.daemons) - cpu) / len(fleet.daemons)
            if accepted == 0:
                raise NotRunnable("no change was accepted")
            recorder.add_point("cpu_per_configuration_change", "cores per (change/s)", "changes/s", accepted / elapsed,
                cpu / elapsed)
            recorder.add_point("log_appends_per_configuration_change", "records", "changes/s", accepted / elapsed,
                (log_appends(fleet) - before) / elapsed)


def claims(recorder):
    with Fleet("slopes", daemons=1).start() as fleet:
        time.sleep(SETTLE_S)
        for rate in (5, 10, 20, 40):
            entry = scenarios.booking_group(fleet, name="load", mode="open", ratePerSecond=rate, connections=100,
                thinkMs=0, duplicatePart=0, resends=0)
            before, cpu, at = log_appends(fleet), fleet.daemons[0].cpu_seconds(), time.monotonic()
            row = fleet.run_load({"seed": 1, "seconds": 6, "drainSeconds": 10, "groups": [entry]})["groups"]["load"]
            elapsed = time.monotonic() - at
            if row["completed"] == 0:
                raise NotRunnable(f"no booking completed: {row['errors']}")
            cpu = fleet.daemons[0].cpu_seconds() - cpu
            recorder.add_point("cpu_per_claim", "cores per (claim/s)", "claims/s", row["completed"] / elapsed,
                cpu / elapsed)
            recorder.add_point("log_appends_per_claim", "records", "claims/s", row["completed"] / elapsed,
                (log_appends(fleet) - before) / elapsed)


def microbench(recorder):
    program = BUILD / "jasminestack-microbench"
    if not program.exists():
        raise NotRunnable("jasminestack-microbench is not built")
    output = subprocess.run([str(program)], check=True, capture_output=True, text=True, timeout=300).stdout
    for series in json.loads(output)["series"]:
        recorder.series["micro_" + series["name"]] = {**series, "name": "micro_" + series["name"]}


MEASUREMENTS = {"requests": requests, "streams": streams, "workspaces": workspaces, "backlogged": backlogged,
    "daemons": daemons, "endpoints": endpoints, "changes": changes, "claims": claims, "microbench": microbench}


def machine():
    model = "unknown processor"
    for line in pathlib.Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            model = line.split(":", 1)[1].strip()
            break
    return f"Measured on {os.cpu_count()} cores ({model}) that also ran the stand-ins and the load."


def plot(data, path):
    import matplotlib

    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = "jasminestack"
    from matplotlib import pyplot

    columns = 3
    rows = (len(data["series"]) + columns - 1) // columns
    figure, axes = pyplot.subplots(rows, columns, figsize=(5 * columns, 3.2 * rows), squeeze=False)
    for axis in axes.flat[len(data["series"]):]:
        axis.set_visible(False)
    for axis, series in zip(axes.flat, data["series"]):
        line = capacity.fit(series["points"])
        xs = [x for x, _ in series["points"]]
        axis.plot(xs, [y for _, y in series["points"]], "o")
        axis.plot([0, max(xs)], [line["intercept"], line["intercept"] + line["slope"] * max(xs)], "-")
        axis.set_title(series["name"], fontsize=9)
        axis.set_xlabel(series["variable"], fontsize=8)
        axis.set_ylabel(series["unit"], fontsize=8)
        axis.set_ylim(bottom=0)
    figure.tight_layout()
    figure.savefig(path, format="svg", metadata={"Date": None})


def measure(only):
    recorder = SeriesRecorder()
    for name, function in MEASUREMENTS.items():
        if not only or name in only:
            recorder.run_guarded(name, function)
    # A run with --only replaces only the series that it measured.
    if only and capacity.SERIES_PATH.exists():
        old = json.loads(capacity.SERIES_PATH.read_text())
        for series in old["series"]:
            recorder.series.setdefault(series["name"], series)
        recorder.problems += [p for p in old["problems"] if p.split(":")[0] not in only]
    return {"machine": machine(), "series": sorted(recorder.series.values(), key=lambda series: series["name"]),
        "problems": recorder.problems}


def main(options):
    if options.check:
        same = capacity.PAGE_PATH.exists() and capacity.page_is_current()
        print(f"slopes value={'same' if same else 'different'} bound=same {'pass' if same else 'fail'}")
        return same
    data = measure(options.only.split(",") if options.only else [])
    if not data["series"]:
        print("slopes value=none bound=none fail")
        return False
    text = json.dumps(data, indent=1) + "\n"
    OUTPUT.mkdir(parents=True, exist_ok=True)
    (OUTPUT / "slopes.json").write_text(text)
    capacity.SERIES_PATH.write_text(text)
    plot(data, capacity.SERIES_PATH.with_suffix(".svg"))
    capacity.PAGE_PATH.write_text(capacity.render())
    short = [series["name"] for series in data["series"] if len(series["points"]) < POINTS_NEEDED]
    passed = not data["problems"] and not short
    print(f"slopes value={len(data['series'])} bound={POINTS_NEEDED} points each {'pass' if passed else 'fail'}")
    return passed
