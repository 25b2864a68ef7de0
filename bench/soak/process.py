"""One process of a router: how far it is, seen from outside, and the signals that it is sent."""

import os
import pathlib
import signal
import time

from history import EXEC, LIBRARIES, MAIN, PHASES, STOP_SIGNALS

MAX_BLOCKED = 32  # The C library blocks all signals for moments, also before main, and unblocks them again.


def libraries(maps):
    """Returns the names of the mapped shared libraries other than the dynamic loader and the C library."""
    names = {line.split()[5].rsplit("/", 1)[-1] for line in maps.splitlines() if len(line.split()) > 5}
    return {name for name in names if ".so" in name and not name.startswith(("ld-linux", "libc.so", "ld.so.cache"))}


class Process:
    """One process of a router."""

    def __init__(self, router, child, settings):
        self.router = router
        self.child = child
        self.settings = str(settings)
        self.started = time.monotonic()
        self.signals = set()
        self.phases = {}  # The latest phase right before a signal, by signal.
        self.handled = set()
        self.has_begun = False
        self.is_paused = False
        self.is_ready = False
        self.stopping_s = 0.0
        self.unready_s = 0.0

    def alive(self):
        return self.child.poll() is None

    def is_stopping(self):
        return bool(self.signals & (STOP_SIGNALS | {signal.SIGKILL}))

    def is_of_router(self):
        """Whether the process of this id runs the router's executable: an id may be used again after an end."""
        try:
            return os.readlink(self.proc("exe")) == os.path.realpath(self.child.args[0])
        except (FileNotFoundError, ProcessLookupError, PermissionError):
            return False

    def proc(self, name):
        return pathlib.Path(f"/proc/{self.child.pid}/{name}")

    def descriptors(self):
        """Returns the targets of the open descriptors."""
        targets = []
        folder = str(self.proc("fd"))
        for name in os.listdir(folder):
            try:
                targets.append(os.readlink(f"{folder}/{name}"))
            except FileNotFoundError:
                continue
        return targets

    def has_descriptors(self):
        """Whether the process has opened more than the dynamic loader opens: its own code runs."""
        return any(target.startswith(("socket:", "anon_inode:")) or target == self.settings for target in self.descriptors())

    def phase(self, number):
        """Returns how far the process is, as to this signal, or None if it has ended; its code is judged."""
        if number in self.handled:
            return MAIN
        try:
            lines = self.proc("status").read_text().splitlines()
            values = dict(line.split(":", 1) for line in lines if ":" in line)
            masks = [int(values[name], 16) for name in ("SigBlk", "SigCgt", "SigIgn")]
            if values["State"].split()[0] in "ZX":
                return None
            if masks[0].bit_count() > MAX_BLOCKED:
                masks[0] = 0
            if any(mask >> (number - 1) & 1 for mask in masks):
                self.handled.add(number)
                return MAIN
            self.has_begun = self.has_begun or self.has_descriptors()
            if self.has_begun:
                return MAIN
            maps = self.proc("maps").read_text()  # Last, since it tells the two earliest phases apart.
        except (FileNotFoundError, ProcessLookupError, KeyError):
            return None
        except PermissionError:
            return MAIN
        if not maps:
            return None
        return LIBRARIES if libraries(maps) else EXEC

    def send(self, number):
        """Sends a signal and keeps the phase that it met."""
        if not self.alive():
            return
        phase = self.phase(number)
        if phase is not None:
            self.phases[number] = max(self.phases.get(number, EXEC), phase, key=PHASES.index)
        self.signals.add(number)
        self.child.send_signal(number)


def send_early(process, plan):
    """Sends signals at times after the start; with None for a time as soon as the process's own code runs."""
    for seconds, number in plan:
        if seconds is not None:
            time.sleep(max(0.0, process.started + seconds - time.monotonic()))
        else:
            until = time.monotonic() + 1
            while process.alive() and process.phase(number) in (EXEC, LIBRARIES) and time.monotonic() < until:
                pass
        process.send(number)


def send_until_gone(process, numbers, pause_s, limit_s):
    """Repeats signals until the process is gone or its time is over."""
    until = time.monotonic() + limit_s
    while process.alive() and time.monotonic() < until:
        for number in numbers:
            process.send(number)
        time.sleep(pause_s)
