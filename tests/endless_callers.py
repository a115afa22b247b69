"""Callers that receive whatever comes, in a process of their own, for tests.

Its arguments are the address of a gateway, for how many seconds the callers send
requests, how many of them are beside one another, and prefixes of routes. At the end it
prints the status and the seconds of each request, as JSON.
"""

import json
import socket
import sys
import threading
import time
from itertools import count

from gateway_fleet import PROMPT_HEADERS, request_bytes

RECEIVE_BYTES = 1 << 18
PAUSE_SECONDS = 0.02
SOCKET_SECONDS = 20.0


def receive(address: str, data: bytes, buffer: bytearray) -> int:
    """Send a request and read until the connection ends; return the status."""
    host, _, port = address.rpartition(":")
    with socket.socket() as connection:
        connection.settimeout(SOCKET_SECONDS)
        connection.connect((host, int(port)))
        connection.sendall(data)
        status = 0
        try:
            while received := connection.recv_into(buffer):
                status = status or int(bytes(buffer[:received]).split()[1])
        except ConnectionError:
            pass  # The answer was cut.
        return status


def main(address: str, seconds: str, callers: str, *prefixes: str) -> None:
    until = time.monotonic() + float(seconds)
    numbers = count(1)
    outcomes = []

    def run() -> None:
        buffer = bytearray(RECEIVE_BYTES)
        while time.monotonic() < until:
            number = next(numbers)
            prefix = prefixes[number % len(prefixes)]
            fields = {**PROMPT_HEADERS, "Connection": "close"}
            request_id = f"{prefix}-{number}"
            data = request_bytes("POST", f"/{prefix}/1", b"", fields, request_id)
            began_at = time.monotonic()
            status = receive(address, data, buffer)
            outcomes.append((status, time.monotonic() - began_at))
            time.sleep(PAUSE_SECONDS)

    threads = [threading.Thread(target=run) for _ in range(int(callers))]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(json.dumps(outcomes))


if __name__ == "__main__":
    main(*sys.argv[1:])
