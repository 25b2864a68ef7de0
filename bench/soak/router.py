"""A router of the fleet: its settings and its processes; and the configuration that all routers get from the store."""

import os
import pathlib
import re
import subprocess

from process import Process
from starts import PORTS

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BOUNDS = {"contactMs": 3000, "drainMs": 2000, "graceS": 5, "lossSlackMs": 200, "configApplyMs": 2000,
          "retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 54}
LIMITS = {"cpuQuota": 0.25, "memoryMb": 260, "maxFds": 4100}
KEYS = ["soak-key-kept-0001", "soak-key-changing-2"]
ROUTES = {"resumable": "/ba/", "stream": "/co/", "idempotent": "/du/", "non_idempotent": "/fe/"}
EXTRA_PREFIX = "/gi/"
MAX_ROUTERS = 240  # Addresses of a run.


def configuration(version, has_extra_route, keys):
    def route(name, prefix, kind, backend, attempts, **fields):
        return {"name": name, "hostname": "soak.example", "pathPrefix": prefix, "routeType": kind, "timeoutMs": 6000,
                "targetLatencyMs": 800, "priority": 1, "backend": backend, "maxAttempts": attempts, "anonymous": False,
                **fields}

    stream = {"sessionAffinity": True, "itlTargetMs": 500}
    routes = [route("resumable", ROUTES["resumable"], "streaming", "model", 3, streamResume=True, **stream),
              route("stream", ROUTES["stream"], "streaming", "model", 2, streamResume=False, **stream),
              route("idempotent", ROUTES["idempotent"], "idempotent", "plain", 3),
              route("non-idempotent", ROUTES["non_idempotent"], "non_idempotent", "plain", 2)]
    if has_extra_route:
        routes.append(route("extra", EXTRA_PREFIX, "non_idempotent", "plain", 2))
    service = {"healthPath": "/healthz", "maxConnections": 400, "protocol": "h1", "tls": False}
    engine = {"maxBatchSize": 24, "kvCapacity": 600000, "kvTokenBytes": 35136, "linkMbps": 280000.0,
              "modelList": [{"name": "m"}]}
    return {"version": version, "routes": routes,
            "services": [{"name": "model", **service, "engine": engine}, {"name": "plain", **service}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000, "throughputPerS": 620000},
            "tenants": [{"name": "tenant", "apiKeys": keys, "priority": 1}]}


class Router:
    """A router process; each one has a loopback address of its own."""

    def __init__(self, soak, number):
        self.soak = soak
        self.number = number
        self.name = f"router-{number}"
        self.ip = f"{soak.network}.{1 + number}"
        self.log = soak.folder / f"{self.name}.log"
        self.path = soak.folder / f"{self.name}.json"
        self.process = None  # The newest; a predecessor may be in its grace time.
        self.starts = 0
        self.holds = 0
        self.is_rewriting = False
        self.starts_together = False  # Whether the next start is one of several within a short time.
        self.is_removed = False

    def settings(self):
        seeds = [f"{router.ip}:{PORTS['peers']}" for router in self.soak.seeds]
        values = {"nodeName": self.name, "zone": "gebze", **{"limits." + name: str(value) for name, value in LIMITS.items()},
                  "listen.frontend": f"{self.ip}:{PORTS['callers']}",
                  "listen.ready": f"{self.ip}:{PORTS['health']}", "listen.controlPlane": f"{self.ip}:{PORTS['peers']}",
                  "platform.address": self.soak.store_address,
                  **{"bounds." + name: str(value) for name, value in BOUNDS.items()}}
        text = (ROOT / "deploy/settings.json.template").read_text().replace("{{ip}}:9464", f"{self.ip}:{PORTS['metrics']}")
        text = re.sub(r"{{#seeds}}.*?{{/seeds}}", ",".join(f'"{seed}"' for seed in seeds), text)
        text = re.sub(r"{{([#^])(\S+?)}}(.*?){{/\2}}",
                      lambda section: section[3] if (section[2] in values) == (section[1] == "#") else "", text)
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", value)
        if "{{" in text:
            raise RuntimeError("the settings template has unknown fields")
        return text

    def start(self, by_variable=False):
        arguments = [str(self.soak.binary), "router"] + ([] if by_variable else ["--settings", str(self.path)])
        environment = {**os.environ, "JASMINESTACK_NODE_FILE": str(self.path)} if by_variable else None
        with open(self.log, "ab") as log:
            child = subprocess.Popen(arguments, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.process = Process(self, child, self.path)
        return self.process

    def alive(self):
        return self.process is not None and self.process.alive()

    def tail(self, attempt, count=12):
        lines = self.log.read_text(errors="replace").splitlines() if self.log.exists() else []
        return [line[:400] for line in lines if attempt and attempt in line][-count:] or \
            [line[:400] for line in lines[-count:]]
