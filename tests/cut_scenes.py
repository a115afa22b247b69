"""Calls to gateways that are cut from endpoints, for tests."""

import re
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from gateway_fleet import PROMPT_HEADERS, wait_for

CALLS = 40


def call_all(fleet, gateway, number=CALLS):
    """Send calls of all three kinds to a gateway; return their answers by request id.

    Each is sent once, as a first try.
    """

    def call(index):
        request_id = f"{gateway.name}-{index}-{time.monotonic_ns()}"
        if index % 4 == 3:
            answer = fleet.call(
                gateway, "POST", "/prompts/1", b"{}", PROMPT_HEADERS, request_id
            )
        elif index % 4 == 2:
            answer = fleet.call(
                gateway, "POST", "/books/1", b"b", request_id=request_id
            )
        else:
            answer = fleet.call(gateway, "GET", "/reads/1", request_id=request_id)
        return request_id, answer

    with ThreadPoolExecutor(8) as pool:
        return dict(pool.map(call, range(number)))


def served(answers):
    return [a for a in answers.values() if a.status == 200 and a.whole]


def make_unreached(fleet, gateway, mode="refuse"):
    """Cut a gateway and wait until its peers know that it reaches no endpoint."""
    fleet.cut(gateway, mode)

    def is_known():
        call_all(fleet, gateway, 8)
        unreached = set(re.findall(r"service=(\w+) reach=none", gateway.log))
        return unreached == {"desk", "pool"}

    wait_for(is_known, "the cut to be noticed")


def forwarded_to(fleet, request_id):
    """Return the names of the gateways that served a request of a peer."""
    return [
        gateway.name
        for gateway in fleet.gateways
        for line in gateway.log.splitlines()
        if "event=peer_request_ended" in line and f"request_id={request_id} " in line
    ]


def serve_while(fleet, cut, target, headers, disturb):
    """Call a cut gateway while ``disturb`` is done to the peer that serves it."""
    method = "GET" if target.startswith("/reads") else "POST"
    with ThreadPoolExecutor(1) as pool:
        request_id = fleet.new_id()
        future = pool.submit(fleet.call, cut, method, target, b"", headers, request_id)

        def serving():
            return [
                e
                for e in fleet.endpoints.values()
                if request_id in e.at_work and e.runs[request_id]
            ]

        wait_for(lambda: bool(serving()), "the endpoint to begin")
        (peer,) = [
            gateway
            for gateway in fleet.gateways
            if gateway is not cut and f"request_id={request_id}" not in gateway.log
            if is_connected(gateway, serving()[0])
        ][:1]
        disturb(peer)
        return request_id, future.result()


def is_connected(gateway, endpoint):
    """Whether a gateway process has a connection to an endpoint."""
    port = f"{int(endpoint.address.rpartition(':')[2]):04X}"
    inodes = set()
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[2].endswith(f":{port}") and fields[3] == "01":
            inodes.add(f"socket:[{fields[9]}]")
    links = Path(f"/proc/{gateway.process.pid}/fd")
    for link in links.iterdir():
        try:
            if str(link.readlink()) in inodes:
                return True
        except OSError:
            continue
    return False
