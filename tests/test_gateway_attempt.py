"""Attempts at endpoints, and records that can't be read, without a network.

Guards against requests that fail although another endpoint could serve them.
"""

import asyncio
import io
from types import SimpleNamespace

import pytest

from cranberrywick.errors import EndpointRefused
from cranberrywick.gateway.attempt import AnswerCallbacks, Attempt
from cranberrywick.gateway.buffer_budget import NO_BUDGET
from cranberrywick.gateway.endpoint_tracker import EndpointTracker
from cranberrywick.gateway.exchange import AnswerSource, Exchange
from cranberrywick.gateway.held_answers import HeldAnswers
from cranberrywick.gateway.http_request import HttpRequest
from cranberrywick.logs import EventLog, make_handler
from cranberrywick.model import EndpointRefusal, Executed
from cranberrywick.platform.headers import REQUEST_ID, decode_request
from cranberrywick.routing.connect_timeout import ConnectTimeout
from cranberrywick.routing.endpoint_index import TrackedEndpoint
from cranberrywick.routing.model import EndpointRecord, EndpointView
from cranberrywick.routing.placement import Part, Placement
from cranberrywick.standin.platform.endpoint import EndpointStandIn


def test_a_request_to_an_endpoint_that_was_removed_counts_as_not_run():
    """Guards against requests that fail though another endpoint could serve them.

    A request waits and is placed at an endpoint. Before its task runs, a snapshot of
    the store is applied in which that endpoint is missing. The attempt must raise the
    error after which the request may be sent to another endpoint.
    """

    async def attempt():
        placement = Placement("e1", (), 0.1, ())
        await Attempt(
            None, placement, {}, None, None, None, None, None, 4.0, EventLog()
        ).run()

    with pytest.raises(EndpointRefused) as raised:
        asyncio.run(attempt())
    assert raised.value.reason is EndpointRefusal.LEAVING
    assert raised.value.executed is Executed.NO


def test_a_request_whose_helper_may_get_no_work_is_not_sent():
    """Guards against long prompts that an engine accepts and its helper refuses.

    The helper started to drain or to back off after the placement. The error names it,
    so that the next placement uses another one.
    """

    async def attempt():
        placement = Placement("e1", (Part("e2", reserved_tokens=100),), 0.1, ())
        tracked_by_id = {
            endpoint_id: TrackedEndpoint(
                EndpointRecord(endpoint_id, "pool", address, "fd-a", 8, False, 0.0, 1),
                float("-inf"),
            )
            for endpoint_id, address in (("e1", "10.0.0.1:80"), ("e2", "10.0.0.2:80"))
        }
        await Attempt(
            None,
            placement,
            tracked_by_id,
            lambda endpoint_id, as_last_resort: endpoint_id != "e2",
            None,
            None,
            None,
            None,
            4.0,
            EventLog(),
        ).run()

    with pytest.raises(EndpointRefused) as raised:
        asyncio.run(attempt())
    assert raised.value.at_fault == "10.0.0.2:80"
    assert raised.value.executed is Executed.NO


def test_an_answer_to_an_order_announces_draining_too():
    """Guards against a helper that is used until its record shows that it drains.

    It never answers the request itself, only orders to reserve its memory.
    """
    announced = []

    async def attempt():
        helper = EndpointStandIn("e2")
        helper.draining = True
        addresses_by_id = {"e1": "127.0.0.1:1", "e2": await helper.start()}
        tracked_by_id = {
            endpoint_id: TrackedEndpoint(
                EndpointRecord(endpoint_id, "pool", address, "fd-a", 8, False, 0.0, 7),
                float("-inf"),
            )
            for endpoint_id, address in addresses_by_id.items()
        }
        meta = decode_request([(REQUEST_ID, b"r")])
        request = HttpRequest(b"POST", b"/x", [], [], b"", arrived=0.0, received=0.0)
        exchange = Exchange(request, SimpleNamespace(buffers=NO_BUDGET), meta)
        exchange.route = SimpleNamespace(name="prompts")
        placement = Placement("e1", (Part("e2", reserved_tokens=100),), 0.1, ())
        callbacks = AnswerCallbacks(
            lambda source, status, meta: announced.append((source, meta.draining)),
            lambda exchange: None,
            lambda endpoint_id, seconds, events: None,
        )
        await Attempt(
            exchange,
            placement,
            tracked_by_id,
            lambda endpoint_id, as_last_resort: True,
            callbacks,
            ConnectTimeout(),
            SimpleNamespace(
                failed=lambda endpoint_id, error: None,
                connected=lambda endpoint_id: None,
            ),
            HeldAnswers(),
            4.0,
            EventLog(),
        ).run()

    with pytest.raises(EndpointRefused):
        asyncio.run(attempt())
    assert announced[0] == (AnswerSource("e2", 7, "prompts", "r"), True)


def test_a_record_that_cannot_be_read_is_logged_once():
    """Operators can see from the log which endpoint gets no requests, and why."""
    stream = io.StringIO()
    with make_handler("info", stream).applicationbound():
        tracker = EndpointTracker(EventLog())
        for revision in (1, 2, 3):
            view = EndpointView(revision, {}, {"e9": "state is unknown"})
            tracker.apply_store_snapshot(view, float(revision), float(revision))
    line = 'event=endpoint_record_unusable endpoint=e9 reason="state is unknown"'
    assert stream.getvalue().count(line) == 1
