"""The store's epoch in its answers, and what the log says about it.

Guards against daemons that drop readings of the store without a trace.
"""

import pytest
import urllib3
from gateway_fleet import running_gateways, wait_for

from cranberrywick.logs import EventLog
from cranberrywick.platform.store_epoch import StoreEpochs
from cranberrywick.routing.store_position import UNKNOWN_EPOCH


def test_an_answer_states_its_epoch():
    epochs = StoreEpochs(EventLog())
    assert epochs.read({"Store-Era": "3"}) == 3
    assert epochs.read({"Store-Era": "2"}) == 2


@pytest.mark.parametrize(
    "headers",
    [{}, *({"Store-Era": v} for v in ("", "soon", "-1", "1.5", "3, 3", "9" * 30))],
)
def test_an_answer_without_a_readable_epoch_counts_as_of_the_newest(headers):
    epochs = StoreEpochs(EventLog())
    assert epochs.read(headers) == UNKNOWN_EPOCH
    epochs.read({"Store-Era": "3"})
    epochs.read({"Store-Era": "2"})
    assert epochs.read(headers) == 3


def test_a_return_of_the_store_is_logged_and_counted(tmp_path):
    with running_gateways(tmp_path) as fleet:
        (gateway,) = fleet.gateways
        fleet.on_loop(lambda: fleet.store.restore(fleet.store.copy()))
        wait_for(lambda: "store_epoch_changed epoch=2" in compact(gateway), "the line")
        metrics = f"{gateway.settings['ip']}:{gateway.settings['internalPorts'][1]}"
        wait_for(
            lambda: "cranberrywick_store_epoch_changes_total 1.0" in page(metrics),
            "the count",
        )


def test_a_malformed_epoch_is_logged_once(tmp_path):
    with running_gateways(tmp_path) as fleet:
        (gateway,) = fleet.gateways
        fleet.store.epoch_text = "soon"
        wait_for(lambda: "store_epoch_unreadable" in gateway.log, "the line")
        revision = fleet.on_loop(fleet.store.put_json, "op/evacuate/b", {})
        wait_for(lambda: f"revision={revision}" in gateway.log, "a later reading")
        assert gateway.log.count("store_epoch_unreadable") == 1


def compact(gateway):
    """Return the log without the fields that name the daemon."""
    return gateway.log.replace(f" daemon={gateway.name}", "")


def page(address):
    """Return the metrics page at an address."""
    return urllib3.request("GET", f"http://{address}/metrics").data.decode()
