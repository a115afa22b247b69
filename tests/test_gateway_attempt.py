"""Attempts at endpoints, and records that can't be read, without a network.

Guards against requests that fail although another endpoint could serve them.
"""

import asyncio
import io

import pytest

from cranberrywick.errors import EndpointRefused
from cranberrywick.gateway.attempt import Attempt
from cranberrywick.gateway.endpoint_tracker import EndpointTracker
from cranberrywick.logs import EventLog, make_handler
from cranberrywick.model import EndpointRefusal, Executed
from cranberrywick.routing.endpoint_index import TrackedEndpoint
from cranberrywick.routing.model import EndpointRecord, EndpointView
from cranberrywick.routing.placement import Part, Placement


def test_a_request_to_an_endpoint_that_was_removed_counts_as_not_run():
    """Guards against requests that fail though another endpoint could serve them.

    A request waits and is placed at an endpoint. Before its task runs, a snapshot of
    the store is applied in which that endpoint is missing. The attempt must raise the
    error after which the request may be sent to another endpoint.
    """

    async def attempt():
        placement = Placement("e1", (), 0.1, ())
        await Attempt(None, placement, {}, None, None, None, 4.0, EventLog()).run()

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
            4.0,
            EventLog(),
        ).run()

    with pytest.raises(EndpointRefused) as raised:
        asyncio.run(attempt())
    assert raised.value.at_fault == "10.0.0.2:80"
    assert raised.value.executed is Executed.NO


def test_a_record_that_cannot_be_read_is_logged_once():
    """Operators can see from the log which endpoint gets no requests, and why."""
    stream = io.StringIO()
    with make_handler("info", stream).applicationbound():
        tracker = EndpointTracker(EventLog())
        for revision in (1, 2, 3):
            view = EndpointView(revision, {}, unusable_ids=("e9",))
            tracker.apply_store_snapshot(view, float(revision), float(revision))
    assert stream.getvalue().count("event=endpoint_record_unusable endpoint=e9") == 1
