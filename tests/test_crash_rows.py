"""What heartbeats state about crashes, on the wire and between builds."""

import pytest
from msgspec.msgpack import decode, encode
from test_fleet_messages import CRASHES, heartbeat

from cranberrywick.gateway.crash_rows import (
    ASSUMED_SENT_SECONDS,
    pack_crashes,
    unpack_crashes,
)
from cranberrywick.gateway.heartbeat_rows import HeartbeatBatch, RelayedHeartbeat
from cranberrywick.gateway.messages import decode_message, encode_message
from cranberrywick.gateway.schema import SCHEMA, pack, unpack
from cranberrywick.routing.crash_statement import CrashStatement, Quarantine

NOTHING = CrashStatement()


def batch(*statements):
    return HeartbeatBatch(
        "front-001",
        "fd-a",
        tuple(
            RelayedHeartbeat(9.5, heartbeat(number)._replace(crashes=each))
            for number, each in enumerate(statements)
        ),
    )


def test_nothing_is_written_where_nothing_has_crashed():
    """Guards against heartbeats that grow for what hardly ever happens."""
    assert pack_crashes([NOTHING, NOTHING], 10.0) == b""
    assert pack_crashes([], 10.0) == b""


def test_a_statement_keeps_its_place_among_those_of_a_batch():
    """Guards against crashes recorded for the wrong daemon."""
    data = encode_message(batch(NOTHING, CRASHES, NOTHING), 10.0)
    received = decode_message(data, 10.0).message
    stated = [each.heartbeat.crashes for each in received.heartbeats]
    assert stated[0] == stated[2] == NOTHING
    assert stated[1].crashes == CRASHES.crashes


def test_what_the_build_before_stated_counts_for_shared_segments():
    """Guards against crashes that go unheard while the build is changed."""
    row = [[["e1", 1, 250, [["a1", "b2"], ["a1"]]]], [["a1", 100]], [["b2", 250]]]
    (stated,) = unpack_crashes(encode([row]), 10.0).values_by_position.values()
    assert stated.crashes[0].at == 9.75
    assert [each.traits for each in stated.crashes[0].lost] == [("a1", "b2"), ("a1",)]
    assert {each.sent_for for each in stated.crashes[0].lost} == {ASSUMED_SENT_SECONDS}
    assert stated.quarantines == (Quarantine("b2", 9.75),)


def test_the_build_before_reads_the_shared_segments_of_a_crash():
    """Guards against a request's own traits that pass there for shared segments."""
    ((crash, *_),) = [row[0] for row in decode(pack_crashes([CRASHES], 10.0))]
    assert crash[:4] == ["i-lost", 5, 1750, [["a1", "b2"], ["a1"]]]


def test_a_build_without_crashes_reads_what_this_one_writes():
    """Guards against daemons that count as dead while the build is changed."""
    kinds = SCHEMA.MessageWithCrashes.schema, SCHEMA.Message.schema
    here, before = ([*kind.fields] for kind in kinds)
    assert here == [*before, "crashes"]
    with unpack(SCHEMA.Message, encode_message(batch(CRASHES), 10.0)) as message:
        read = SCHEMA.MessageWithoutDemand.new_message(
            batch=message.batch, knowledge=message.knowledge, reach=message.reach
        )
        assert pack(read) == encode_message(batch(NOTHING), 10.0)


@pytest.mark.parametrize(
    "row",
    [
        [[["e1", 1, -5, []]]],
        [[["e1", "one", 5, []]]],
        [[["e1", 1, 5, [["s"] * 65]]]],
        [[["e1", 1, 5, [], [[["s"] * 67, 5]]]]],
        [[["e1", 1, 5, [], [[["s"], -5]]]]],
        [[["e1", 1, 5, [], [[["s"], 5, 0]]]]],
        [[["e1", 1, 5, [], [["s"], 5]]]],
        [[], [["s" * 129, 5]]],
        [[], [], [["s", 5]] * 257],
        "nothing",
    ],
)
def test_a_malformed_row_is_dropped_alone(row):
    """Guards against one daemon's statement that hides those of its whole domain."""
    good = decode(pack_crashes([CRASHES], 10.0))[0]
    rows = unpack_crashes(encode([good, row, good]), 10.0)
    assert sorted(rows.values_by_position) == [0, 2]
    assert rows.error
