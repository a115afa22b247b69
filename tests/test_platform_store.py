"""Decoding of the store's answers by its client.

Guards against needless decoding, and against an invalid record that makes all others
unavailable.
"""

import base64
import json

import pytest
from gateway_fleet import Fleet

from cranberrywick.errors import PlatformUnavailable
from cranberrywick.logs import EventLog
from cranberrywick.platform import store as platform_store
from cranberrywick.platform.store import PlatformStore
from cranberrywick.routing.store_position import StorePosition


def item(endpoint_id, revision, state="ready"):
    record = {
        "service": "drafting",
        "address": "10.1.0.1:80",
        "zone": "fd-a",
        "slots": 8,
        "state": state,
        "coldRemainingMs": 0,
        "born": 1,
    }
    value = base64.b64encode(json.dumps(record).encode()).decode()
    return {"key": f"servers/{endpoint_id}", "value": value, "revision": revision}


class StoreWithItems(PlatformStore):
    """A client whose answers hold the items that a test sets."""

    def __init__(self):
        super().__init__("127.0.0.1:1", EventLog())
        self.items = []

    def _read_items(self, prefix, serializable=False):
        return StorePosition(0, 7), self.items


def test_unchanged_records_are_not_decoded_again(monkeypatch):
    """Guards against decoding all endpoints in every snapshot, twice a second."""
    decoded = []
    decode = platform_store.decode_endpoint
    monkeypatch.setattr(
        platform_store,
        "decode_endpoint",
        lambda endpoint_id, value: (
            decoded.append(endpoint_id) or decode(endpoint_id, value)
        ),
    )
    store = StoreWithItems()
    store.items = [item("e1", 3), item("e2", 4)]
    store.read_endpoints()
    store.items = [item("e1", 3), item("e2", 5, "draining"), item("e3", 6)]
    view = store.read_endpoints()
    assert decoded == ["e1", "e2", "e2", "e3"]
    assert [r.draining for r in view.records_by_id.values()] == [False, True, False]


def test_a_revision_that_is_given_out_again_is_decoded():
    """Guards against an old record in place of another with the same revision."""
    store = StoreWithItems()
    for state in ("ready", "draining"):
        store.items = [item("e1", 3, state)]
        view = store.read_endpoints()
    assert view.records_by_id["e1"].draining


@pytest.fixture
def fleet(tmp_path):
    """A store with three endpoints in pages of two, and no gateways."""
    fleet = Fleet(tmp_path)
    fleet.store.page_items = 2
    for endpoint_id in ("e1", "e2", "e3"):
        fleet.add_endpoint(endpoint_id, "drafting")
    yield fleet
    fleet.close()


def read_with(fleet, between_pages):
    """Read the endpoints; call a function after each page."""
    store = PlatformStore(
        fleet.await_on_loop(fleet.store.add_listener("reader")), EventLog()
    )
    call = store._call

    def call_and_disturb(*arguments):
        reply = call(*arguments)
        between_pages()
        return reply

    store._call = call_and_disturb
    return store.read_endpoints()


def test_the_pages_of_a_reading_count_as_of_the_first(fleet):
    """Guards against changes that are missed: their revision would not be later."""
    first = fleet.on_loop(lambda: fleet.store.copy().revision)
    view = read_with(fleet, lambda: fleet.on_loop(fleet.store.put, "other", b""))
    assert view.records_by_id.keys() == {"e1", "e2", "e3"}
    assert view.revision == first


def test_pages_of_two_epochs_are_not_combined(fleet):
    """Guards against endpoints from before and after a return in one reading."""
    copy = fleet.on_loop(fleet.store.copy)
    fleet.register("e1", "drafting", state="draining")
    returns = [copy]

    def return_once():
        if returns:
            fleet.on_loop(fleet.store.restore, returns.pop())

    view = read_with(fleet, return_once)
    assert view.epoch == 2
    assert not view.records_by_id["e1"].draining


def test_a_store_that_returns_again_and_again_is_unavailable(fleet):
    copy = fleet.on_loop(fleet.store.copy)
    with pytest.raises(PlatformUnavailable):
        read_with(fleet, lambda: fleet.on_loop(fleet.store.restore, copy))


def test_an_unreadable_record_is_listed_as_unusable():
    store = StoreWithItems()
    store.items = [item("e1", 3), item("e2", 4, "dancing")]
    for _ in range(2):
        view = store.read_endpoints()
        assert view.records_by_id.keys() == {"e1"}
        assert view.unusable_reasons_by_id == {"e2": "state is unknown"}
