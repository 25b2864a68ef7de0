"""Memory and descriptors of router processes against their limits, from /proc."""

import os
import re
from dataclasses import dataclass

BYTES_PER_MB = 1_000_000
FOR_FILES = 200  # Of the descriptors of a process, these are for files; sockets and pipes share the rest.
LISTENING = "0A"  # Its queue counts connections, not bytes.


@dataclass
class Usage:
    resident: int = 0
    queued: int = 0  # Received by the kernel and not read yet.
    descriptors: int = 0
    sockets_and_pipes: int = 0


def receive_queues():
    """Returns the bytes in the receive queue of each socket, by its inode."""
    queues = {}
    for name in ("tcp", "tcp6", "udp", "udp6"):
        try:
            with open(f"/proc/net/{name}", encoding="ascii") as file:
                lines = file.read().splitlines()[1:]
        except FileNotFoundError:
            continue
        for line in lines:
            fields = line.split()
            if (fields[3] != LISTENING or name.startswith("udp")) and (size := int(fields[4].split(":")[1], 16)):
                queues[fields[9]] = size
    return queues


def usage(process, queues):
    """Returns what a process uses, or None if it has ended or doesn't run the router's executable."""
    try:
        pages = int(process.proc("statm").read_text().split()[1])
        targets = process.descriptors()
    except (FileNotFoundError, ProcessLookupError, PermissionError, IndexError):
        return None
    if not process.is_of_router():  # Looked at last, so that what was read is the router's.
        return None
    inodes = {found[1] for target in targets if (found := re.fullmatch(r"socket:\[(\d+)\]", target))}
    return Usage(pages * os.sysconf("SC_PAGE_SIZE"), sum(queues.get(inode, 0) for inode in inodes), len(targets),
                 sum(target.startswith(("socket:", "pipe:")) for target in targets))


def check_usage(used, memory_mb, descriptors):
    """Yields the rules that a process breaks and what is wrong."""
    if used.resident + used.queued > memory_mb * BYTES_PER_MB:
        yield "MEMORY", f"over {memory_mb} MB: {used.resident} bytes resident, {used.queued} received and not read"
    if used.descriptors > descriptors:
        yield "DESCRIPTORS", f"{used.descriptors} descriptors, over {descriptors}"
    elif used.sockets_and_pipes > descriptors - FOR_FILES:
        yield "DESCRIPTORS", f"{used.sockets_and_pipes} sockets and pipes, over {descriptors - FOR_FILES}"
