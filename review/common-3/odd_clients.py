"""Clients that send bodies of legal size, stop just short of their end, stay open, and leave later.

Usage: odd_clients.py FRONTEND

  first crowd    FIRST_COUNT bodies of FIRST_BYTES
  every other client of it leaves
  second crowd   bodies of SECOND_BYTES, as many as fit into the memory of those that left
  the rest of the first crowd and most of the second leave
  third crowd    bodies of THIRD_BYTES
"""
import os
import socket
import sys
import time

FIRST_COUNT, FIRST_BYTES = 2140, 60_000
SECOND_COUNT, SECOND_BYTES = 990, 65_500
THIRD_COUNT, THIRD_BYTES = 24, 4_000_000
KEPT_OF_SECOND = 20  # One in so many stays.
MISSING_BYTES = 10
STEP_S = 3  # From one step of the plan to the next.
CONNECT_S = 2
PAUSE_S = 0.0008  # Between two clients; the queue of new connections is short.


def open_client(address, length):
    """Returns a connection on which the request's head and all but the last bytes of its body were sent, or None."""
    head = (f"POST /nowhere/ HTTP/1.1\r\nHost: desk.example\r\nX-Jasminestack-Attempt-Id: {os.urandom(8).hex()}\r\n"
            f"Content-Length: {length}\r\n\r\n").encode()
    try:
        client = socket.create_connection(address, CONNECT_S)
        client.sendall(head + b"b" * (length - MISSING_BYTES))
        return client
    except OSError:
        return None


def open_crowd(address, count, length):
    clients = []
    for _ in range(count):
        clients.append(open_client(address, length))
        time.sleep(PAUSE_S)
    return [client for client in clients if client]


def close(clients):
    for client in clients:
        client.close()


def main():
    host, port = sys.argv[1].rsplit(":", 1)
    address = (host, int(port))
    start = time.monotonic()

    def step(number):
        time.sleep(max(0, start + number * STEP_S - time.monotonic()))

    first = open_crowd(address, FIRST_COUNT, FIRST_BYTES)
    step(1)
    close(first[::2])
    step(1.2)
    second = open_crowd(address, SECOND_COUNT, SECOND_BYTES)
    step(2)
    close(first[1::2])
    close([client for index, client in enumerate(second) if index % KEPT_OF_SECOND])
    step(2.4)
    third = open_crowd(address, THIRD_COUNT, THIRD_BYTES)
    step(3.4)
    close(second[::KEPT_OF_SECOND] + third)


main()
