"""Permits for endpoints with a rate limit, on an event loop that is late."""

import asyncio
import time
from types import SimpleNamespace

from cranberrywick.gateway.messages import PermitResponse
from cranberrywick.gateway.permits import MAX_USE_DELAY_SECONDS, EndpointPermits
from cranberrywick.logs import EventLog
from cranberrywick.routing.fleet_limits import Permit


def test_a_permit_whose_answer_was_read_late_is_not_used():
    """Guards against permits of one moment that a late daemon uses at a later one."""

    async def main() -> int:
        loop = asyncio.get_running_loop()
        limits = SimpleNamespace(
            rate=lambda endpoint_id: 5.0,
            steward=lambda endpoint_id, now: SimpleNamespace(
                daemon_id="d2", peer_address="10.0.0.2:1"
            ),
            terms=lambda endpoint_id, longest_wait, now: None,
            report=lambda endpoint_id: SimpleNamespace(endpoint_id=endpoint_id),
            record_permit=lambda endpoint_id, permit, now: None,
        )
        requests = []

        def send(request, addresses):
            requests.append(request)
            loop.call_soon(answer, request)

        def answer(request):
            if len(requests) == 1:
                # The steward has answered, and the loop doesn't read it.
                time.sleep(MAX_USE_DELAY_SECONDS + 0.1)
            permits.handle_response(PermitResponse(request.number, permit))

        permit = Permit(True, 0.0, 0.2)
        permits = EndpointPermits("d1", limits, send, EventLog())
        assert (await permits.admit("e1", longest_wait=1.0)).granted
        return len(requests)

    assert asyncio.run(main()) == 2


def test_a_permit_that_has_come_and_is_not_read_is_no_refusal():
    """Guards against refusals since other sockets were read before the peers'."""

    async def main() -> bool:
        limits = SimpleNamespace(
            rate=lambda endpoint_id: 5.0,
            steward=lambda endpoint_id, now: SimpleNamespace(
                daemon_id="d2", peer_address="10.0.0.2:1"
            ),
            terms=lambda endpoint_id, longest_wait, now: None,
            report=lambda endpoint_id: SimpleNamespace(endpoint_id=endpoint_id),
            record_permit=lambda endpoint_id, permit, now: None,
            record_unanswered=lambda endpoint_id, now: None,
        )
        unread = []

        def send(request, addresses):
            unread.append(PermitResponse(request.number, Permit(True, 0.0, 0.2)))

        def receive():
            while unread:
                permits.handle_response(unread.pop())

        permits = EndpointPermits("d1", limits, send, EventLog(), receive)
        return (await permits.admit("e1", longest_wait=1.0)).granted

    assert asyncio.run(main())
