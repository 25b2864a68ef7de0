"""Fits lines to the series in docs/capacity/slopes.json and computes docs/CAPACITY.md from them."""

import json
import math
import re

from fleet import ROOT

SERIES_PATH = ROOT / "docs" / "capacity" / "slopes.json"
TEMPLATE_PATH = ROOT / "docs" / "capacity" / "CAPACITY.template.md"
PAGE_PATH = ROOT / "docs" / "CAPACITY.md"

# Fleet size that the design targets (docs/design.md, 1.6).
SIZE = {"daemons": 400, "engines": 600, "requests": 8400.0, "tokens": 2.6e6, "workspaces": 320, "backlogged": 32,
    "models": 16, "changesPerDay": 2000, "cellSize": 32, "firstTokenS": 1.2, "betweenTokensS": 0.053}
# Bounds of the design document for each daemon: 5% of a core for control work, 128 MB, 4 KB/s of control traffic.
BOUNDS = {"controlCpu": 0.05, "memoryMb": 128.0, "controlBytes": 4096.0, "logAppends": 300.0}


def fit(points):
    """Fits y = intercept + slope x by least squares; returns slope, intercept and their standard errors."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if spread == 0:
        return {"slope": 0.0, "intercept": mean_y, "slopeError": math.inf, "interceptError": math.inf}
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    residual = sum((y - intercept - slope * x) ** 2 for x, y in points)
    variance = residual / (count - 2) if count > 2 else math.inf
    return {"slope": slope, "intercept": intercept, "slopeError": math.sqrt(variance / spread),
        "interceptError": math.sqrt(variance * (1 / count + mean_x ** 2 / spread))}


def number(value):
    if value is None or (isinstance(value, float) and not math.isfinite(value)):
        return "not measured"
    if value == 0:
        return "0"
    magnitude = abs(value)
    if magnitude >= 1000:
        return f"{value:,.0f}"
    if magnitude >= 0.01:
        return f"{value:.3g}"
    return f"{value:.2e}"


class CapacityPage:
    """Renders the tables of the capacity page from the measured series."""

    def __init__(self, data):
        self.data = data
        self.series = {series["name"]: series for series in data["series"]}
        self.fits = {name: fit(series["points"]) for name, series in self.series.items()}

    def slope(self, name):
        return self.fits[name]["slope"] if name in self.fits else None

    def intercept(self, name):
        return max(self.fits[name]["intercept"], 0.0) if name in self.fits else None

    def reach(self, name):
        """Largest value of the variable at which the series was measured."""
        return max(x for x, _ in self.series[name]["points"]) if name in self.series else None

    def slopes_table(self):
        lines = ["| series | variable | points | range | slope | standard error | at 0 | unit |",
            "| --- | --- | --- | --- | --- | --- | --- | --- |"]
        for name, series in self.series.items():
            result = self.fits[name]
            xs = [x for x, _ in series["points"]]
            lines.append(f"| {name} | {series['variable']} | {len(xs)} | {number(min(xs))} to {number(max(xs))} "
                f"| {number(result['slope'])} | {number(result['slopeError'])} | {number(result['intercept'])} "
                f"| {series['unit']} |")
        return "\n".join(lines)

    def derived(self):
        size = SIZE
        per_daemon = {"requests": size["requests"] / size["daemons"], "tokens": size["tokens"] / size["daemons"]}
        tokens_per_request = size["tokens"] / size["requests"]
        duration = size["firstTokenS"] + tokens_per_request * size["betweenTokensS"]
        per_daemon["streams"] = per_daemon["requests"] * duration
        per_pool = math.ceil(size["engines"] / size["models"])
        cells = size["models"] * math.ceil(per_pool / size["cellSize"])
        return per_daemon, tokens_per_request, duration, cells

    def size_table(self):
        per_daemon, tokens_per_request, duration, cells = self.derived()
        rows = [("daemons", SIZE["daemons"], "1.6"), ("engines", SIZE["engines"], "1.6"),
            ("requests per second, fleet", SIZE["requests"], "1.6"),
            ("tokens per second, fleet", SIZE["tokens"], "1.6"),
            ("workspaces", SIZE["workspaces"], "1.6"), ("of these backlogged", SIZE["backlogged"], "a tenth"),
            ("tokens per request", tokens_per_request, "tokens / requests"),
            ("seconds per request", duration, "first token 1.2 s, then 53 ms a token"),
            ("requests per second, daemon", per_daemon["requests"], "fleet / daemons"),
            ("tokens per second, daemon", per_daemon["tokens"], "fleet / daemons"),
            ("open streams, daemon", per_daemon["streams"], "requests x seconds"),
            ("cells", cells, "models x ceil(engines per model / 32)"),
            ("configuration changes per second", SIZE["changesPerDay"] / 86400, "2,000 a day")]
        return "\n".join(["| quantity | value | from |", "| --- | --- | --- |"]
            + [f"| {name} | {number(value)} | {source} |" for name, value, source in rows])

    def budget(self, title, bound, terms):
        """terms: (label, count, series). Without a count the fitted value at 0 is used. A series with the
        prefix "max:" uses the largest y / x instead of the slope, for unit costs that fall with the rate."""
        lines = [f"**{title}**", "", "| part | count | per unit | product | measured up to |",
            "| --- | --- | --- | --- | --- |"]
        total, missing = 0.0, []
        for label, count, source in terms:
            name = source.removeprefix("max:")
            if name not in self.series:
                missing.append(label)
                lines.append(f"| {label} | {number(count)} | not measured | not measured | - |")
                continue
            base = count is None
            if source.startswith("max:"):
                unit = max(y / x for x, y in self.series[name]["points"])
            else:
                unit = self.intercept(name) if base else max(self.slope(name), 0.0)
            product = unit if base else unit * count
            total += product
            lines.append(f"| {label} | {'-' if base else number(count)} | {number(unit)} | {number(product)} "
                f"| {'-' if base else number(self.reach(name))} |")
        verdict = "" if bound is None else ("within the bound" if total <= bound else "**over the bound**")
        if missing and bound is not None and total <= bound:
            verdict = "parts are not measured"
        lines.append(f"| sum | | | {number(total)} | {verdict} |")
        if bound is not None:
            lines.append(f"| bound | | | {number(bound)} | |")
        return "\n".join(lines)

    def budget_tables(self):
        per_daemon, _, _, _ = self.derived()
        changes = SIZE["changesPerDay"] / 86400
        # A daemon is attached to at most 4 cells of a pool and reports the backlog of its own callers only.
        return "\n\n".join([
            self.budget("Processor time for requests, cores per daemon", None, [
                ("requests per second", per_daemon["requests"], "cpu_per_request"),
                ("token chunks per second", per_daemon["tokens"], "cpu_per_token_chunk")]),
            self.budget("Processor time for control, cores per daemon", BOUNDS["controlCpu"], [
                ("idle daemon", None, "idle_cpu_per_daemon"),
                ("daemons in the fleet", SIZE["daemons"], "idle_cpu_per_daemon"),
                ("workspaces", SIZE["workspaces"], "idle_cpu_per_workspace"),
                ("backlogged workspaces", SIZE["backlogged"], "control_cpu_per_backlogged_workspace"),
                ("endpoints", SIZE["engines"], "idle_cpu_per_endpoint"),
                ("configuration changes per second", changes, "cpu_per_configuration_change")]),
            self.budget("Resident memory, MB per daemon", BOUNDS["memoryMb"], [
                ("idle daemon", None, "memory_per_open_stream"),
                ("open streams", per_daemon["streams"], "memory_per_open_stream"),
                ("workspaces", SIZE["workspaces"], "memory_per_workspace"),
                ("endpoints", SIZE["engines"], "memory_per_endpoint"),
                ("daemons", SIZE["daemons"], "memory_per_daemon")]),
            self.budget("Control traffic, bytes per second and daemon (larger of sent and received)",
                BOUNDS["controlBytes"], [
                    ("idle daemon", None, "control_bytes_per_daemon"),
                    ("daemons in the fleet", SIZE["daemons"], "control_bytes_per_daemon"),
                    ("workspaces", SIZE["workspaces"], "control_bytes_per_workspace"),
                    ("backlogged workspaces", SIZE["backlogged"], "control_bytes_per_backlogged_workspace"),
                    ("endpoints", SIZE["engines"], "control_bytes_per_endpoint")]),
            self.budget("Appends to the log, records per second for the fleet", BOUNDS["logAppends"], [
                ("configuration changes per second", changes, "log_appends_per_configuration_change"),
                ("keyed calls per second (1% of requests)", SIZE["requests"] / 100, "max:log_appends_per_claim")]),
        ])

    def render(self):
        tables = {"size": self.size_table(), "slopes": self.slopes_table(), "budgets": self.budget_tables(),
            "machine": self.data.get("machine", "")}
        return re.sub(r"\{\{(\w+)\}\}", lambda match: tables[match.group(1)], TEMPLATE_PATH.read_text())


def render(path=SERIES_PATH):
    return CapacityPage(json.loads(path.read_text())).render()


def page_is_current():
    """Returns whether the committed page equals the page computed from the committed series."""
    return PAGE_PATH.read_text() == render()
