"""Calls to gateways that are cut from endpoints, for tests."""

import re
import time
from concurrent.futures import ThreadPoolExecutor

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

        def senders():
            return [
                fleet.names_by_ip[arrival.source]
                for endpoint in fleet.endpoints.values()
                if request_id in endpoint.at_work
                for arrival in endpoint.arrivals
                if arrival.request_id == request_id
            ]

        wait_for(lambda: bool(senders()), "the endpoint to begin")
        (name,) = senders()
        (peer,) = [g for g in fleet.gateways if g.name == name and g is not cut]
        disturb(peer)
        return request_id, future.result()
