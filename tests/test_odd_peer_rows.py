"""Odd rows in the datagrams of peers."""

import socket

import pytest
from gateway_fleet import running_gateways, wait_for
from test_odd_entries import call_all, failures

from cranberrywick.gateway.heartbeat_rows import (
    HeartbeatBatch,
    RelayedHeartbeat,
    pack_heartbeats,
)
from cranberrywick.gateway.messages import Scope, decode_message
from cranberrywick.gateway.schema import SCHEMA, pack
from cranberrywick.routing.members import Heartbeat

FIELDS = ("knowledge", "reach", "demand", "crashes", "answers")
# A MessagePack list of one list, and so on.
NESTED = b"\x91" * 50_000 + b"\xc0"


def heartbeat_data(ip="127.0.0.1", **rows):
    """Return the bytes of a heartbeat with rows beside it."""
    beat = Heartbeat("odd", 1, 1, f"{ip}:9", "", "a", False, 0, 0, 0.0, ())
    batch = HeartbeatBatch("", "", (RelayedHeartbeat(0.0, beat),))
    message = {"heartbeats": pack_heartbeats(batch, 0.0), **rows}
    scope = Scope.NOBODY.value
    return pack(SCHEMA.MessageWithAnswers.new_message(scope=scope, **message))


@pytest.mark.parametrize("field", FIELDS)
def test_a_deeply_nested_row_leaves_the_heartbeat(field):
    """Guards against a daemon that isn't heard since a row of its is nested deeply."""
    errors = []
    # One row is nested, or one of its elements that a newer version has appended.
    for rows in (NESTED, b"\x91" + NESTED):
        data = heartbeat_data(**{field: rows})
        message = decode_message(data, 0.0, errors.append).message
        assert message.daemon_id == "odd"
    assert len(errors) == 2


def test_deeply_nested_rows_leave_a_gateway_to_its_peers(tmp_path):
    """Guards against errors in the receiving of what peers send."""
    with running_gateways(tmp_path) as fleet:
        (gateway,) = fleet.gateways
        ip, port = gateway.settings["ip"], gateway.settings["internalPorts"][0]
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for field in FIELDS:
                sender.sendto(heartbeat_data(**{field: NESTED}), (ip, port))
        wait_for(lambda: "event=peer_row_invalid" in gateway.log, "the line about it")
        assert call_all(fleet, gateway) == {200}
        assert failures(gateway) == []
