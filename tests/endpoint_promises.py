"""Checks of what daemons send to endpoints that drain or requested a backoff.

They compare what callers sent and received with what endpoints received, and use
nothing that a daemon believes.
"""

from collections.abc import Iterable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from gateway_fleet import PROMPT_HEADERS, Answer, Fleet, Gateway

from cranberrywick.standin.platform.endpoint import EndpointStandIn

# Time after an answer that announced draining within which its endpoint may get the
# requests that callers send, in seconds; that of `gateway_settings`.
DRAIN_SECONDS = 2.0
# Time after a refusal that is left for requests that are already under way, in seconds.
UNDER_WAY_SECONDS = 0.5
# Number of requests that an endpoint may get from one daemon within a backoff.
MOST_IN_BACKOFF = 2


class TimedCall(NamedTuple):
    """A caller's request, when it was sent and answered, and the answer.

    Times are those of the stand-ins' loop.
    """

    gateway: str
    request_id: str
    sent_at: float
    answer: Answer
    answered_at: float


def call_repeatedly(
    fleet: Fleet, gateway: Gateway, until: float, target: str = "/reads/1"
) -> list[TimedCall]:
    """Call a gateway one time after the other until a moment."""
    calls = []
    while (sent_at := fleet.loop.time()) < until:
        request_id = fleet.new_id()
        headers = PROMPT_HEADERS if target.startswith("/prompts/") else {}
        answer = fleet.call(gateway, "POST", target, b"", headers, request_id)
        answered_at = fleet.loop.time()
        call = TimedCall(gateway.name, request_id, sent_at, answer, answered_at)
        calls.append(call)
    return calls


def call_all(
    fleet: Fleet, seconds: float, callers_each: int = 2, target: str = "/reads/1"
) -> list[TimedCall]:
    """Call all gateways at once for some seconds, by several callers at each."""
    until = fleet.loop.time() + seconds
    gateways = fleet.gateways * callers_each
    with ThreadPoolExecutor(len(gateways)) as callers:
        results = [
            callers.submit(call_repeatedly, fleet, gateway, until, target)
            for gateway in gateways
        ]
        return [call for result in results for call in result.result()]


def late_at_draining(endpoint: EndpointStandIn, calls: Iterable[TimedCall]) -> int:
    """Count requests that reached a draining endpoint after its bound.

    The bound runs, for each daemon, from the first answer that it passed on and that
    announced draining, to the moment at which the caller sent the request.
    """
    calls = sorted(calls, key=lambda call: call.answered_at)
    seal = f"seal.{endpoint.endpoint_id}"
    arrived_ids = {arrival.request_id for arrival in endpoint.arrivals}
    told_at_by_gateway: dict[str, float] = {}
    for call in calls:
        headers = call.answer.headers
        is_notice = "server-leaving" in headers
        if is_notice and headers.get("cranberrywick-response-seal") == seal:
            told_at_by_gateway.setdefault(call.gateway, call.answered_at)
    return sum(
        call.request_id in arrived_ids
        and call.sent_at
        > told_at_by_gateway.get(call.gateway, call.sent_at) + DRAIN_SECONDS
        for call in calls
    )


def most_in_backoff(
    endpoint: EndpointStandIn, gateways_by_request: Mapping[str, str]
) -> int:
    """Return the most requests that an endpoint got from one daemon in a backoff."""
    return max(
        (
            sum(
                gateways_by_request.get(arrival.request_id)
                == gateways_by_request[backoff.request_id]
                and backoff.at + UNDER_WAY_SECONDS
                <= arrival.at
                < backoff.at + float(backoff.value)
                for arrival in endpoint.arrivals
            )
            for backoff in endpoint.backoffs
        ),
        default=0,
    )
