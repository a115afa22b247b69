"""One attempt at an endpoint, without a network."""

import asyncio
import io

import pytest

from cranberrywick.errors import EndpointRefused
from cranberrywick.gateway.attempt import Attempt
from cranberrywick.gateway.endpoint_tracker import EndpointTracker
from cranberrywick.logs import EventLog, make_handler
from cranberrywick.model import EndpointRefusal, Executed
from cranberrywick.routing.model import EndpointView
from cranberrywick.routing.placement import Placement


def test_an_endpoint_that_is_gone_when_its_turn_comes_did_not_run_it():
    """A caller's request goes to another endpoint and is not lost.

    It waited for a place and got one. Before its task went on, a reading of the store
    came in which the endpoint was missing.
    """

    async def attempt():
        placement = Placement("e1", (), 0.1, ())
        await Attempt(None, placement, {}, None, None, None, 4.0, EventLog()).run()

    with pytest.raises(EndpointRefused) as raised:
        asyncio.run(attempt())
    assert raised.value.reason is EndpointRefusal.LEAVING
    assert raised.value.executed is Executed.NO


def test_a_record_that_cannot_be_read_is_logged_once():
    """Operators see which endpoint gets no work because of its record."""
    stream = io.StringIO()
    with make_handler("info", stream).applicationbound():
        tracker = EndpointTracker(EventLog())
        for revision in (1, 2, 3):
            view = EndpointView(revision, {}, unusable_ids=("e9",))
            tracker.apply_store_snapshot(view, float(revision), float(revision))
    assert stream.getvalue().count("event=endpoint_record_unusable endpoint=e9") == 1
