"""Permits for requests to endpoints with a rate limit, from the endpoints' stewards."""

import asyncio
import random
from collections.abc import Callable
from math import inf
from typing import NamedTuple

from cranberrywick.gateway.messages import Message, PermitRequest, PermitResponse
from cranberrywick.gateway.throttled_log import ThrottledLog
from cranberrywick.logs import EventLog
from cranberrywick.routing.fleet_limits import FleetLimits, Permit

__all__ = ["Admission", "EndpointPermits"]

# Longest waits for a steward's response to the first and to the second request, in
# seconds. A steward answers from memory; the second request is sent because datagrams
# may be lost.
FIRST_ANSWER_SECONDS = 0.05
SECOND_ANSWER_SECONDS = 0.1
# Longest pause, in seconds, after which a request that waits for its permit's moment
# checks whether the permit is still valid.
RECHECK_SECONDS = 0.05
# Longest time after its moment for which a permit can be used, in seconds. A daemon
# that was paused for longer would otherwise send all its waiting requests at once.
MAX_USE_DELAY_SECONDS = 0.2


class Admission(NamedTuple):
    """Whether a request may be sent to an endpoint now.

    ``steward`` is the id of the daemon that the last permit was requested from, empty
    for an endpoint without a limit.
    """

    granted: bool
    steward: str = ""


class EndpointPermits:
    """Requests permits from stewards, and grants them where this daemon is the steward.

    ``send`` sends a message to addresses of peers, and ``receive`` receives what they
    have sent, which the event loop may not have read yet. Everything runs on it.

    >>> permits = EndpointPermits("d1", limits, link.send, log)
    >>> (await permits.admit("e1", longest_wait=0.3)).granted
    True
    """

    def __init__(
        self,
        daemon_id: str,
        limits: FleetLimits,
        send: Callable[[Message, list[str]], None],
        log: EventLog,
        receive: Callable[[], object] = lambda: None,
    ):
        self._receive = receive
        self._daemon_id = daemon_id
        self._limits = limits
        self._send = send
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._unanswered = ThrottledLog(log, self._loop.time)
        # Starts at random, so that late responses to an earlier process at this address
        # match no request of this one.
        self._number = random.getrandbits(48)
        self._pending_by_number: dict[int, asyncio.Future[Permit]] = {}

    async def admit(self, endpoint_id: str, longest_wait: float) -> Admission:
        """Wait until a request may be sent to an endpoint.

        Return a refusal if that takes more than ``longest_wait`` seconds, if the
        steward refuses a permit or if it does not answer.
        """
        until = self._loop.time() + longest_wait
        steward_id = ""
        was_late = False
        while (rate := self._limits.rate(endpoint_id)) < inf:
            requested_at = self._loop.time()
            left = max(0.0, until - requested_at)
            steward_id, permit = await self._request_permit(endpoint_id, left)
            if not permit.granted:
                return Admission(False, steward_id)
            if self._is_outdated(requested_at) and not was_late:
                # Only once: a loop that is always late would get no permit at all.
                was_late = True
                continue
            if await self._wait(endpoint_id, rate, steward_id, permit):
                break
        return Admission(True, steward_id)

    def handle_request(self, request: PermitRequest, source: str) -> None:
        """Grant or refuse a peer a permit, for an endpoint whose steward this is."""
        now = self._loop.time()
        change = self._limits.receive(request.limit)
        if change is not None:
            self._log.info("endpoint_limit_changed", **change.log_fields, peer=source)
        permit = self._limits.grant(request.limit.endpoint_id, request.terms, now)
        self._send(PermitResponse(request.number, permit), [source])

    def handle_response(self, response: PermitResponse) -> None:
        """Handle a steward's response to a request of this daemon."""
        pending = self._pending_by_number.get(response.number)
        if pending is not None and not pending.done():
            pending.set_result(response.permit)

    async def _request_permit(
        self, endpoint_id: str, longest_wait: float
    ) -> tuple[str, Permit]:
        now = self._loop.time()
        steward = self._limits.steward(endpoint_id, now)
        terms = self._limits.terms(endpoint_id, longest_wait, now)
        if steward is None:
            permit = self._limits.grant(endpoint_id, terms, now)
            self._limits.record_permit(endpoint_id, permit, now)
            return self._daemon_id, permit
        self._number += 1
        limit = self._limits.report(endpoint_id)
        request = PermitRequest(self._number, terms, limit)
        permit = await self._request_from_peer(request, steward.peer_address)
        now = self._loop.time()
        if permit is None:
            self._limits.record_unanswered(endpoint_id, now)
            self._unanswered.warning(
                "permit_unanswered", endpoint=endpoint_id, steward=steward.daemon_id
            )
            return steward.daemon_id, Permit(False, 0.0, 0.0)
        self._limits.record_permit(endpoint_id, permit, now)
        return steward.daemon_id, permit

    async def _request_from_peer(
        self, request: PermitRequest, address: str
    ) -> Permit | None:
        pending = self._loop.create_future()
        self._pending_by_number[request.number] = pending
        try:
            for seconds in (FIRST_ANSWER_SECONDS, SECOND_ANSWER_SECONDS):
                self._send(request, [address])
                await asyncio.wait([pending], timeout=seconds)
                if not pending.done():
                    self._receive()
                if pending.done():
                    return pending.result()
            return None
        finally:
            del self._pending_by_number[request.number]

    def _is_outdated(self, requested_at: float) -> bool:
        """Whether an answer may have waited for this loop past the permit's moment."""
        return self._loop.time() - requested_at > MAX_USE_DELAY_SECONDS

    async def _wait(
        self, endpoint_id: str, rate: float, steward_id: str, permit: Permit
    ) -> bool:
        """Wait for a permit's moment; return False if the permit became void.

        A permit becomes void if the known limit falls, if another daemon becomes the
        steward, or more than `MAX_USE_DELAY_SECONDS` after its moment.
        """
        usable_at = self._loop.time() + permit.wait_seconds
        while (left := usable_at - self._loop.time()) > 0:
            await asyncio.sleep(min(left, RECHECK_SECONDS))
            known_rate = self._limits.rate(endpoint_id)
            if known_rate == inf:
                return True
            if known_rate < rate or self._steward_id(endpoint_id) != steward_id:
                return False
        return self._loop.time() - usable_at <= MAX_USE_DELAY_SECONDS

    def _steward_id(self, endpoint_id: str) -> str:
        steward = self._limits.steward(endpoint_id, self._loop.time())
        return self._daemon_id if steward is None else steward.daemon_id
