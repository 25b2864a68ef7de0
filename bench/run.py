"""Runs one benchmark: run.py NAME [--seconds N] [--profile kilic|aftan] [--seed N] [--check]."""

import argparse
import json
import os
import signal
import sys
import time

import faults
import scheduling
import slopes
from fleet import OUTPUT, PROFILES, NotRunnable

BENCHMARKS = {
    "overhead": scheduling.overhead,
    "fairness": scheduling.fairness,
    "utilisation": scheduling.utilisation,
    "control": scheduling.control,
    "starvation": scheduling.starvation,
    "failover": scheduling.failover,
    "faults": faults.faults,
    "publish": faults.publish,
    "leave": faults.leave,
    "drain": faults.drain,
}


def text(value):
    return f"{value:.4g}" if isinstance(value, float) else str(value)


def run(name, options):
    started = time.time()
    load = os.getloadavg()[0]
    try:
        checks, details = BENCHMARKS[name](options)
        problem = None
    except NotRunnable as reason:
        checks, details, problem = [], {}, str(reason)
    OUTPUT.mkdir(parents=True, exist_ok=True)
    (OUTPUT / f"{name}.json").write_text(json.dumps({"name": name, "profile": options.profile, "seed": options.seed,
        "seconds": options.seconds, "took": time.time() - started, "loadAverageAtStart": load,
        "checks": checks, "details": details, "problem": problem}, indent=1))
    if problem:
        print(f"{name}: cannot run: {problem}")
        print(f"{name} value=none bound=none fail")
        return False
    for row in checks:
        sign = ">=" if row["atLeast"] else "<="
        print(f"  {row['name']:32} {text(row['value']):>12} {sign} {text(row['bound'])} {row['unit']}"
            f" {'pass' if row['pass'] else 'fail'}")
    # The summary line shows the first failed check, or else the first check.
    decisive = next((row for row in checks if not row["pass"]), checks[0])
    passed = all(row["pass"] for row in checks)
    print(f"{name} value={text(decisive['value'])} bound={text(decisive['bound'])} {'pass' if passed else 'fail'}")
    return passed


def main():
    parser = argparse.ArgumentParser(prog="scripts/bench")
    parser.add_argument("name", choices=[*BENCHMARKS, "slopes"])
    parser.add_argument("--seconds", type=float, default=30.0, help="duration of the load of each run")
    parser.add_argument("--profile", choices=sorted(PROFILES), default="kilic")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--check", action="store_true", help="slopes: only recompute the tables")
    parser.add_argument("--only", default="", help="slopes: comma-separated measurements")
    options = parser.parse_args()
    # SIGTERM exits through the context managers, which stop the benchmark's processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    if options.name == "slopes":
        return 0 if slopes.main(options) else 1
    return 0 if run(options.name, options) else 1


if __name__ == "__main__":
    sys.exit(main())
