"""Tests of the benchmarks' arithmetic on runs with a known gap and utilisation."""

import unittest

import measure


def make_run(workspace, start, end, tokens, engine="engine-0"):
    return {"endpoint": engine, "request": "", "workspace": "", "marker": workspace + "/1", "arrived": start,
        "start": start, "decode": start, "end": end, "from": 0, "tokens": tokens, "cost": tokens, "outcome": "done"}


def make_load(outstanding):
    return {"startMs": 0.0, "endMs": 10000.0, "bucketMs": 100.0, "notRun": [], "bookings": [],
        "groups": {name: {"workspace": name, "outstanding": [count] * 100} for name, count in outstanding.items()}}


class MeasureTests(unittest.TestCase):
    # Guards against a gap that ignores that one workspace got more service than another.
    def test_gap_of_unequal_service(self):
        runs = [make_run("a", 0, 10000, 1000), make_run("b", 0, 10000, 500)]
        result = measure.fairness_gap(make_load({"a": 2, "b": 2}), runs, {"a": 1.0, "b": 1.0}, settle_ms=5000,
            unit=100.0)
        self.assertAlmostEqual(result["fromStart"], 5.0, delta=0.1)
        self.assertAlmostEqual(result["settled"], 2.5, delta=0.1)

    # Guards against a gap that ignores the workspaces' shares.
    def test_gap_uses_shares(self):
        runs = [make_run("a", 0, 10000, 1000), make_run("b", 0, 10000, 500)]
        result = measure.fairness_gap(make_load({"a": 2, "b": 2}), runs, {"a": 2.0, "b": 1.0}, unit=100.0)
        self.assertAlmostEqual(result["fromStart"], 0.0, delta=0.05)

    # Guards against a gap that omits a backlogged workspace without any run.
    def test_gap_counts_a_workspace_without_service(self):
        runs = [make_run("a", 0, 10000, 1000)]
        result = measure.fairness_gap(make_load({"a": 2, "b": 2}), runs, {"a": 1.0, "b": 1.0}, unit=100.0)
        self.assertAlmostEqual(result["fromStart"], 10.0, delta=0.2)

    # Guards against a gap that includes a workspace without a backlog.
    def test_gap_ignores_a_workspace_without_backlog(self):
        runs = [make_run("a", 0, 10000, 1000), make_run("b", 0, 10000, 10)]
        result = measure.fairness_gap(make_load({"a": 2, "b": 1}), runs, {"a": 1.0, "b": 1.0}, unit=100.0)
        self.assertEqual(result["fromStart"], 0.0)

    # Guards against idle slots that are counted as busy, and against counting time without demand.
    def test_utilisation(self):
        runs = [make_run("a", 0, 6000, 10)]
        self.assertAlmostEqual(measure.slot_utilisation(make_load({"a": 5}), runs, 1, skip_ms=2000), 0.5, delta=0.01)
        runs = [make_run("a", 0, 10000, 10)]
        self.assertAlmostEqual(measure.slot_utilisation(make_load({"a": 5}), runs, 2, skip_ms=2000), 0.5, delta=0.01)

    # Guards against undetected duplicate runs, false "not_run" responses and confirmations without a run.
    def test_bookings(self):
        runs = [dict(make_run("b-1", 0, 1, 0, "desk-0"), marker="b-1", request="r1"),
            dict(make_run("b-1", 5, 6, 0, "desk-1"), marker="b-1", request="r2")]
        data = make_load({"a": 1})
        data["notRun"] = [{"request": "r2", "marker": "b-1"}]
        data["bookings"] = [{"booking": "b-1", "outcome": "ok", "runStatus": "ran"},
            {"booking": "b-2", "outcome": "ok", "runStatus": "ran"}]
        report = measure.booking_report(data, runs)
        self.assertEqual(report["maxRunsPerKey"], 2)
        self.assertEqual(report["falseNotRun"], 1)
        self.assertEqual(report["phantomConfirmations"], 1)


if __name__ == "__main__":
    unittest.main()
