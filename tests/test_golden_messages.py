"""Messages that an earlier build has written, read by this one.

Each file of tests/golden/messages is named after the commit that wrote it.
"""

import json
from pathlib import Path

import pytest
from test_fleet_messages import heartbeat

from cranberrywick.gateway.endpoint_snapshot import EndpointSnapshot
from cranberrywick.gateway.messages import (
    EndpointSnapshotRequest,
    OperatorSnapshot,
    OperatorSnapshotRequest,
    PermitRequest,
    PermitResponse,
    Scope,
    decode_message,
)
from cranberrywick.routing.endpoint_limits import LimitReport
from cranberrywick.routing.fleet_limits import Permit, PermitTerms
from cranberrywick.routing.model import OperatorView
from cranberrywick.routing.reachability import ReachStatement

WRITTEN_AT = 10.0
PATHS = sorted((Path(__file__).parent / "golden" / "messages").glob("*.json"))
VIEW = OperatorView.of(7, b"{}", frozenset({"fd-b"}), 3)
EXPECTED_BY_NAME = {
    "endpoints": EndpointSnapshot(7, 0.5, 99, b"changes", 3),
    "operator": OperatorSnapshot(VIEW, 0.25, b"{1}"),
    "operator_wanted": OperatorSnapshotRequest(),
    "endpoints_wanted": EndpointSnapshotRequest(),
    "permit_request": PermitRequest(
        5, PermitTerms(2.0, 0.5, 1.5), LimitReport("i-1", 3.0, 9.0)
    ),
    "permit_response": PermitResponse(5, Permit(True, 0.25, 0.5)),
}


def decoded(path):
    """Return the messages of a file by name; all have the scope FLEET."""
    by_name = {}
    for name, data in json.loads(path.read_text()).items():
        message, scope = decode_message(bytes.fromhex(data), WRITTEN_AT)
        assert scope is Scope.FLEET
        by_name[name] = message
    return by_name


@pytest.mark.parametrize("path", PATHS, ids=lambda path: path.stem)
def test_messages_of_an_earlier_build_are_read(path):
    """Guards against a fleet that falls apart while its build is changed."""
    messages = decoded(path)
    for name, expected in EXPECTED_BY_NAME.items():
        assert messages[name] == expected


@pytest.mark.parametrize("path", PATHS, ids=lambda path: path.stem)
def test_heartbeats_of_an_earlier_build_are_read(path):
    """Guards against a daemon of an earlier build that counts as dead.

    It states nothing of forwarded requests, so that none is sent to it.
    """
    messages = decoded(path)
    relayed = [each.heartbeat for each in messages["batch"].heartbeats]
    for number, received in ((1, messages["heartbeat"]), *enumerate(relayed, 1)):
        expected = heartbeat(number)
        assert received[:10] == expected[:10]
        assert received.store == expected.store
        assert received.drain_notices == expected.drain_notices
        assert received.limits == expected.limits
        assert [job[:4] for job in received.jobs] == [job[:4] for job in expected.jobs]
        assert received.reach == ReachStatement()
