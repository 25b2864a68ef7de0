"""What a start meets: addresses that are taken, settings that are cut off, signals; and odd bytes for all addresses."""

import signal
import socket
import struct
from dataclasses import dataclass, field

EARLY_S = 0.05
SERIES_S = 0.02  # The dynamic loader and the first steps of main are within it, also beside other starts.
SERIES = 12
PORTS = {"callers": 20001, "health": 20002, "peers": 20003, "metrics": 20004}


def occupy(how, ip, port, other):
    """Returns a socket that holds an address: of a listener, of a connection to the address `other`, or of datagrams."""
    kind = socket.SOCK_DGRAM if how == "datagrams" else socket.SOCK_STREAM
    holder = socket.socket(socket.AF_INET, kind)
    try:
        # Closed connections of the router may be waiting on the same port.
        holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, int(kind == socket.SOCK_STREAM))
        holder.bind((ip, port))
        if how == "listener":
            holder.listen(16)
        elif how == "connection":
            holder.setblocking(False)  # The accept queue of the other end may be full.
            holder.connect_ex(other)
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)  # Programs that connect don't set it.
            # The address is free at the close, not only a minute later (TIME_WAIT).
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        holder.close()
        return None
    return holder


@dataclass
class Start:
    """What a start meets; all of it is drawn from the seed, the router and the number of the start."""
    delay_s: float
    held: list = field(default_factory=list)  # (how, port, seconds)
    cut_off_s: float = 0.0
    cut_part: float = 0.0
    file_limit_s: float = 0.0  # How long the log may not grow (RLIMIT_FSIZE).
    signals: list = field(default_factory=list)  # (seconds or None, signal)
    at_once: int = 0  # A signal as soon as the process exists, before any thread of the soak could send one.
    by_variable: bool = False  # Whether the environment alone names the settings file.


def draw_start(chooser, share, variable_share=0.0):
    start = Start(chooser.uniform(0.1, 1.0), by_variable=chooser.random() < variable_share)
    if chooser.random() >= share:
        return start
    if chooser.random() < 0.3:
        how = chooser.choice(["listener", "connection", "datagrams"])
        port = PORTS["peers"] if how == "datagrams" else chooser.choice(list(PORTS.values()))
        start.held.append((how, port, chooser.uniform(0.1, 2)))
    if chooser.random() < 0.2:
        start.cut_off_s, start.cut_part = chooser.uniform(0.01, 0.3), chooser.random()
    if chooser.random() < 0.15:
        start.file_limit_s = chooser.uniform(0.2, 2)
    if chooser.random() < 0.7:
        number = chooser.choice([signal.SIGHUP] * 4 + [signal.SIGTERM] * 2 + [signal.SIGINT, signal.SIGKILL])
        times = sorted(chooser.uniform(0, EARLY_S) for _ in range(chooser.choice([1, 1, 3])))
        start.signals = [(seconds, number) for seconds in times]
        if chooser.random() < 0.2:
            start.at_once = chooser.choice([signal.SIGHUP] * 3 + [signal.SIGTERM])
        if chooser.random() < 0.4:
            start.signals += [(chooser.uniform(0, SERIES_S), signal.SIGHUP) for _ in range(SERIES)]
            start.signals.sort()
        if chooser.random() < 0.5:
            start.signals.insert(0, (None, chooser.choice([signal.SIGHUP, number])))
    return start


def odd_content(chooser):
    """Bytes that no router may end by: broken heads and chunks, and binary messages that announce more than they hold."""
    huge = struct.pack(">I", chooser.choice([0xffffffff, 0x7fffffff, 0x10000000, 0x100000]))
    return chooser.choice([
        chooser.randbytes(chooser.choice([1, 20, 1000, 50000])),
        b"GET / HTTP/1.1\r\nHost: soak.example\r\n" + b"a: " + b"b" * chooser.choice([100, 60000]),
        b"POST /fe/x HTTP/1.1\r\nHost: soak.example\r\nContent-Length: -1\r\n\r\n",
        b"POST /fe/x HTTP/1.1\r\nHost: soak.example\r\nContent-Length: 99999999999999999999\r\n\r\nx",
        b"POST /fe/x HTTP/1.1\r\nHost: soak.example\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nx\r\n",
        b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", b"\r\n" * 500, b"\0SP\0\0\x30\0\0" + b"\xff" * 8 + chooser.randbytes(40),
        chooser.choice([b"\xdd", b"\xdf", b"\xc6", b"\xdb", b"\xc9"]) + huge + chooser.randbytes(9),
        b"\x96\x01" + bytes([chooser.randrange(9)]) + b"\xa1x\x01\x02" + chooser.choice([b"\xdd", b"\xdf"]) + huge,
        b"\x91" * chooser.choice([30, 60000])])
