"""A crowd of clients that send a request up to just short of its end, stay open, and come again when they are closed.

Usage: halfway_clients.py FRONTEND COUNT SECONDS
"""
import os
import selectors
import socket
import sys
import time

BODY_BYTES, MISSING_BYTES = 100, 10
PAUSE_S = 0.0008  # Between two clients; the queue of new connections is short.
RETURN_S = 0.3  # Until a client that was closed comes again.


def open_client(address):
    head = (f"POST /nowhere/ HTTP/1.1\r\nHost: desk.example\r\nX-Jasminestack-Attempt-Id: {os.urandom(8).hex()}\r\n"
            f"Content-Length: {BODY_BYTES}\r\n\r\n").encode()
    try:
        client = socket.create_connection(address, 1)
        client.sendall(head + b"b" * (BODY_BYTES - MISSING_BYTES))
        return client
    except OSError:
        return None


def main():
    host, port = sys.argv[1].rsplit(":", 1)
    count, end = int(sys.argv[2]), time.monotonic() + float(sys.argv[3])
    selector = selectors.DefaultSelector()
    missing = [0.0] * count  # Times from which the clients that are not connected come.
    closed = 0
    while time.monotonic() < end:
        while missing and missing[0] <= time.monotonic() < end:
            missing.pop(0)
            if client := open_client((host, int(port))):
                selector.register(client, selectors.EVENT_READ)
            else:
                missing.append(time.monotonic() + RETURN_S)
            time.sleep(PAUSE_S)
        for key, _ in selector.select(0.02):
            try:
                if key.fileobj.recv(4096):
                    continue
            except OSError:
                pass
            selector.unregister(key.fileobj)
            key.fileobj.close()
            closed += 1
            missing.append(time.monotonic() + RETURN_S)
    print(f"{len(selector.get_map())} clients open at the end, {closed} were closed before")


main()
