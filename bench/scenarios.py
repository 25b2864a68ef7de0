"""Load scenarios of the benchmarks."""

from fleet import key_of

# Tokens of a response; with 32 prompt tokens the largest request costs 168.
TOKENS = {"shape": "lognormal", "mean": 40, "sigma": 0.8, "min": 4, "max": 160}
PROMPT_TOKENS = 32
LARGEST_COST = 160 + PROMPT_TOKENS / 4
# Outstanding requests as a multiple of the slots that a workspace's share gives. Demand must not be proportional to
# the shares: then first in, first out would be fair too.
DEPTHS = [2, 2, 3, 8, 3, 2, 10, 3, 5, 4, 2, 8, 3, 4, 10, 3]


def caller_group(fleet, workspace, targets, **options):
    return {"workspace": workspace, "key": key_of(workspace), "model": fleet.profile["model"],
        "targets": [fleet.caller_addresses[t % len(fleet.caller_addresses)] for t in targets], "tokens": TOKENS,
        "promptTokens": PROMPT_TOKENS, "streamPart": 0.5, "timeoutMs": 120000, "deadlineMs": 110000, **options}


def uneven_targets(fleet, index):
    """Large workspaces arrive at three daemons, the others at one or two; daemon 0 gets far more load than the last."""
    count = len(fleet.caller_addresses)
    if index < 3:
        return [index, index + 1, (index * 3) % count]
    return [(index * index) % count] if index % 2 else [index % count, (index // 2) % count]


def saturated_scenario(fleet, seconds, seed=1, flood=None, intermittent=True):
    """All workspaces keep a backlog; a few send false cost hints, two are active only part of the time."""
    total = sum(fleet.shares.values())
    capacity = len(fleet.engines) * fleet.slots
    groups = []
    for index, (workspace, share) in enumerate(fleet.shares.items()):
        connections = max(8, int(DEPTHS[index % len(DEPTHS)] * capacity * share / total))
        if workspace == flood:
            connections *= 10
        hint = ["noisy", "none", "exact", "noisy"][index % 4]
        options = {"connections": connections, "hint": hint}
        if index % 5 == 4:
            options.update(hint="false", falseHint=1 if index % 2 else 5000)
        targets = uneven_targets(fleet, index)
        if intermittent and index in (9, 13):
            step = seconds * 1000 / 4
            for part in range(2):
                groups.append(caller_group(fleet, workspace, targets, name=f"{workspace}+{part}",
                    startMs=step * (2 * part + 0.5), stopMs=step * (2 * part + 1.5), **options))
            continue
        groups.append(caller_group(fleet, workspace, targets, name=workspace, **options))
    return {"seed": seed, "seconds": seconds, "drainSeconds": 0, "groups": groups}


def moderate_scenario(fleet, seconds, seed=1, part=0.5, stream=1.0, drain=30, tokens=None):
    """Each workspace keeps as many requests outstanding as its share of the given part of the capacity: no backlog."""
    total = sum(fleet.shares.values())
    capacity = len(fleet.engines) * fleet.slots * part
    groups = []
    for workspace, share in fleet.shares.items():
        groups.append(caller_group(fleet, workspace, range(len(fleet.caller_addresses)), name=workspace,
            connections=max(1, int(capacity * share / total)), streamPart=stream, tokens=tokens or TOKENS))
    return {"seed": seed, "seconds": seconds, "drainSeconds": drain, "groups": groups}


def booking_group(fleet, workspace="ws-03", connections=6, name="bookings", **options):
    return {"workspace": workspace, "name": name, "key": key_of(workspace), "kind": "booking",
        "path": fleet.profile["service"] + "slots", "targets": fleet.caller_addresses, "connections": connections,
        "thinkMs": 50, "resends": 6, "duplicatePart": 0.5, "timeoutMs": 20000, "deadlineMs": 8000, **options}
