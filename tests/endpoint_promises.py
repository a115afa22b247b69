"""Checks of what daemons send to endpoints that drain or requested a backoff.

They compare what callers sent and received with what endpoints received, and use
nothing that a daemon believes.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from math import inf
from types import MappingProxyType
from typing import NamedTuple

from gateway_fleet import PROMPT_HEADERS, Answer, Fleet, Gateway

from cranberrywick.platform.headers import decode_response
from cranberrywick.standin.platform.endpoint import (
    Arrival,
    Backoff,
    EndpointStandIn,
)

# Time after an answer that announced draining within which its endpoint may get the
# requests that callers send, in seconds; that of `gateway_settings`.
DRAIN_SECONDS = 2.0
# Time after a refusal that is left for requests that are already under way, in seconds.
UNDER_WAY_SECONDS = 0.5
# Number of requests that an endpoint may get from one daemon within a backoff.
MOST_IN_BACKOFF = 2
NO_NAMES: Mapping[str, str] = MappingProxyType({})


class TimedCall(NamedTuple):
    """A caller's request, when it was sent and answered, and the answer, if any.

    Times are those of the stand-ins' loop.
    """

    gateway: str
    request_id: str
    target: str
    sent_at: float
    answer: Answer | None
    answered_at: float

    @property
    def kind(self) -> str:
        """The name of the route, the first segment of the target."""
        return self.target.split("/")[1]


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
        calls.append(
            TimedCall(gateway.name, request_id, target, sent_at, answer, answered_at)
        )
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


class Disturbance(NamedTuple):
    """A time in which a gateway or the link of an endpoint was disturbed."""

    name: str
    begun_at: float
    ended_at: float


def preferred_engine(fleet: Fleet) -> EndpointStandIn:
    """Return the engine that short prompts are placed at, after a few of them."""
    call_all(fleet, seconds=0.3, target="/prompts/1")
    engines = [fleet.endpoints["engine-1"], fleet.endpoints["engine-2"]]
    return max(engines, key=lambda engine: len(engine.arrivals))


def late_at_draining(
    endpoint: EndpointStandIn,
    calls: Iterable[TimedCall],
    begun_at: float = -inf,
    ended_at: float = inf,
    disturbances: Sequence[Disturbance] = (),
    names_by_ip: Mapping[str, str] = NO_NAMES,
) -> int:
    """Count requests that reached a draining endpoint after its bound.

    The bound runs, for each daemon, from the first answer that it passed on and that
    announced draining, to the moment at which the caller sent the request. It holds for
    the daemon that the caller called and for the peer that sent the request on, by
    ``names_by_ip``. A daemon that was disturbed has to be told again. The endpoint
    announced draining from ``begun_at`` to ``ended_at``.
    """
    calls = sorted(calls, key=lambda call: call.answered_at)
    senders_by_request: dict[str, set[str]] = defaultdict(set)
    for arrival in endpoint.arrivals:
        if begun_at <= arrival.at < ended_at:
            sender = names_by_ip.get(arrival.source, "")
            senders_by_request[arrival.request_id].add(sender)
    told_at_by_gateway: dict[str, list[float]] = defaultdict(list)
    for call in calls:
        if _announces(call, endpoint) and begun_at <= call.answered_at < ended_at:
            for name in {call.gateway, *senders_by_request[call.request_id]}:
                told_at_by_gateway[name].append(call.answered_at)
    return sum(
        bool(senders_by_request[call.request_id])
        and any(
            told_at + DRAIN_SECONDS < call.sent_at
            and not _is_disturbed(disturbances, name, told_at, call.sent_at)
            for name in {call.gateway, *senders_by_request[call.request_id]}
            for told_at in told_at_by_gateway[name]
        )
        for call in calls
    )


def most_in_backoff(
    endpoint: EndpointStandIn,
    gateways_by_request: Mapping[str, str],
    restarted_at: Sequence[float] = (),
    disturbances: Sequence[Disturbance] = (),
    names_by_ip: Mapping[str, str] = NO_NAMES,
) -> int:
    """Return the most requests that an endpoint got from one daemon in a backoff.

    Those after a restart of the endpoint don't count, nor those after a disturbance of
    the daemon or of the endpoint's link. ``names_by_ip`` are the daemons by the
    addresses that they send from; without one, it is the daemon that was called.
    """

    def sender(message: Arrival | Backoff) -> str | None:
        called = gateways_by_request.get(message.request_id)
        return names_by_ip.get(message.source, called)

    most = 0
    for backoff in endpoint.backoffs:
        gateway = sender(backoff)
        if gateway is None:
            continue  # It was none of the callers' requests.
        begin = backoff.at + UNDER_WAY_SECONDS
        restarts = (at for at in restarted_at if at > backoff.at)
        end = min(backoff.at + _seconds(backoff.value), *restarts, inf)
        received = [
            arrival
            for arrival in endpoint.arrivals
            if begin <= arrival.at < end
            and sender(arrival) == gateway
            and not any(
                _is_disturbed(disturbances, name, backoff.at, arrival.at)
                for name in (gateway, endpoint.endpoint_id)
            )
        ]
        most = max(most, len(received))
    return most


def needlessly_failed(
    fleet: Fleet, calls: Iterable[TimedCall], other_id: str
) -> list[str]:
    """Return the requests that failed without an attempt at the other endpoint.

    On a busy machine an attempt there may run into a timeout, which the gateway logs.
    """
    failed_ids = {c.request_id for c in calls if c.answer.status != 200}
    for gateway in fleet.gateways:
        for line in gateway.log.splitlines():
            is_attempt = "event=attempt_failed" in line or "outcome=timed_out" in line
            if is_attempt and f" endpoint={other_id} " in line:
                failed_ids -= {each for each in failed_ids if f"={each} " in line}
    return sorted(failed_ids)


def _seconds(value: str) -> float:
    """Return the seconds that a value of Retry-After names, 0 if it is malformed."""
    headers = {b"retry-after": value.encode()}
    return decode_response(503, headers).backoff_seconds or 0.0


def _announces(call: TimedCall, endpoint: EndpointStandIn) -> bool:
    headers = call.answer.headers if call.answer else {}
    seal = f"seal.{endpoint.endpoint_id}"
    return (
        "server-leaving" in headers
        and headers.get("cranberrywick-response-seal") == seal
    )


def _is_disturbed(
    disturbances: Sequence[Disturbance], name: str, begun_at: float, ended_at: float
) -> bool:
    return any(
        each.name == name and each.begun_at < ended_at and begun_at < each.ended_at
        for each in disturbances
    )
