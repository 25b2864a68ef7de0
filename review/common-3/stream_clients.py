"""Clients that ask for one stream after the other on kept connections and read as fast as the bytes come.

Usage: stream_clients.py FRONTEND COUNT SECONDS
"""
import os
import socket
import sys
import threading
import time

TIMEOUT_S = 17  # A little more than the route's `timeoutMs`.
PAUSE_S = 0.2


def ask(connection, host):
    connection.sendall((f"POST /quote/x HTTP/1.1\r\nHost: {host}\r\nX-Jasminestack-Attempt-Id: {os.urandom(8).hex()}\r\n"
                        f"X-Jasminestack-Deadline-Ms: 15000\r\nAuthorization: Token sound-key\r\n"
                        f"X-Jasminestack-Model-Id: m\r\nX-Jasminestack-Token-Usage: 1460,80\r\n"
                        f"X-Jasminestack-Prefix-Hash: 5c1e07a2:800,{os.urandom(4).hex()}:660\r\n"
                        f"Content-Length: 2\r\n\r\nhi").encode())
    tail = b""
    while not tail.endswith(b"0\r\n\r\n") and not b"Content-Length" in tail:
        received = connection.recv(1 << 20)
        if not received:
            raise OSError("closed")
        tail = (tail + received)[-400:]


def run(address, host, end):
    connection = None
    while time.monotonic() < end:
        try:
            if not connection:
                connection = socket.create_connection(address, 1)
                connection.settimeout(TIMEOUT_S)
            ask(connection, host)
        except OSError:
            if connection:
                connection.close()
            connection = None
        time.sleep(PAUSE_S)


def main():
    host, port = sys.argv[1].rsplit(":", 1)
    end = time.monotonic() + float(sys.argv[3])
    for _ in range(int(sys.argv[2])):
        threading.Thread(target=run, args=((host, int(port)), "desk.example", end), daemon=True).start()
        time.sleep(0.01)
    time.sleep(max(0, end - time.monotonic()))


main()
