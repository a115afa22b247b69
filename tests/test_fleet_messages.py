"""Messages between daemons: sizes, bounds and malformed bytes."""

import asyncio
import random
import zlib
from contextlib import closing
from math import inf, nan

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.msgpack import decode, encode

from cranberrywick.errors import PeerMessageInvalid
from cranberrywick.gateway.endpoint_snapshot import EndpointSnapshot
from cranberrywick.gateway.fleet_link import MAX_DATAGRAM_BYTES, FleetLink
from cranberrywick.gateway.heartbeat_rows import (
    HeartbeatBatch,
    RelayedHeartbeat,
    pack_heartbeats,
    unpack_heartbeats,
)
from cranberrywick.gateway.messages import (
    PermitRequest,
    PermitResponse,
    Scope,
    decode_message,
    encode_message,
)
from cranberrywick.gateway.schema import SCHEMA, pack
from cranberrywick.routing.crash_statement import (
    CrashStatement,
    EndpointCrash,
    LostRequest,
    Quarantine,
    TraitAnswer,
)
from cranberrywick.routing.drain_notices import DrainNotice
from cranberrywick.routing.endpoint_limits import LimitReport
from cranberrywick.routing.fleet_demand import (
    DemandStatement,
    OrganisationUsage,
    RankDemand,
    ServiceDemand,
    VmCapacity,
)
from cranberrywick.routing.fleet_limits import Permit, PermitTerms
from cranberrywick.routing.load import Job
from cranberrywick.routing.members import Heartbeat
from cranberrywick.routing.model import EndpointRecord, EndpointView
from cranberrywick.routing.reachability import ReachStatement
from cranberrywick.routing.slowdown import EndpointSlowdown
from cranberrywick.routing.store_knowledge import (
    RetainedDomain,
    RetainedEndpoint,
    StoreKnowledge,
)


def heartbeat(number=1, jobs=2):
    return Heartbeat(
        daemon_id=f"front-{number:03}",
        incarnation=1_764_000_000_000 + number,
        sequence=number,
        peer_address=f"10.1.0.{number % 250}:7340",
        entry_address=f"10.1.0.{number % 250}:8227",
        failure_domain="fd-a",
        leaving=False,
        operator_revision=7,
        operator_digest=2**64 - 1,
        operator_age=0.25,
        jobs=tuple(job(1000 * number + step) for step in range(jobs)),
        slow_engines=(EndpointSlowdown(f"i-{number:010x}", 2.5),),
        limits=(
            LimitReport(f"i-{number:010x}", 0.5, 9.0, 11.0),
            LimitReport("i-recovered", inf, 9.0),
        ),
        drain_notices=(DrainNotice(f"i-{number:010x}", 1_764_000_000_000, 8.5),),
        store=StoreKnowledge(
            epoch=3,
            operator_epoch=2,
            configuration_version=41,
            domains=(RetainedDomain("fd-b", 25.0, 9.0),),
            endpoints=(
                RetainedEndpoint("i-gone", 7, 14.0),
                RetainedEndpoint("i-cold", 8, -inf, 12.5),
            ),
        ),
        reach=ReachStatement(7341, ("desk",), ("pool",)),
    )


LOST = (
    LostRequest(("a1", "b2", "own/c3", "content/d4-e5"), sent_for=0.25, alike=2),
    LostRequest(("a1",), sent_for=1.5),
)
CRASHES = CrashStatement(
    (EndpointCrash("i-lost", 5, 8.25, LOST),),
    (TraitAnswer("a1", 9.25),),
    (Quarantine("b2", 9.0, 3),),
)


def job(number):
    rng = random.Random(number)
    endpoint_id = f"i-{rng.randrange(2**40):010x}"
    tokens = rng.randrange(200_000)
    return Job(endpoint_id, tokens, 0.5, 9.0, 11.0, 12.5, joint=True, value=3.0)


def view_of(count):
    rng = random.Random(count)
    records = {}
    for number in range(count):
        endpoint_id = f"i-{rng.randrange(2**40):010x}"
        address = f"10.{rng.randrange(250)}.{rng.randrange(250)}.{number % 250}:8100"
        records[endpoint_id] = EndpointRecord(
            endpoint_id,
            "drafting",
            address,
            "fd-a",
            5,
            False,
            0.0,
            rng.randrange(2**40),
        )
    return EndpointView(3, records)


class Recorder:
    """Stands in for a socket and for a log."""

    def __init__(self):
        self.sent = []
        self.warnings = []

    def sendto(self, data, address):
        self.sent.append(data)

    def close(self):
        pass

    def warning(self, event, **fields):
        self.warnings.append((event, fields))


def sent(messages):
    """Return a recorder of what a link sends to one address and of what it logs."""

    async def main():
        recorder = Recorder()
        link = FleetLink(lambda envelope: None, lambda: None, recorder)
        with closing(recorder) as link._udp:
            for message in messages:
                link.send(message, ["127.0.0.1:7000"], Scope.DOMAIN)
        return recorder

    return asyncio.run(main())


def test_heartbeats_arrive_as_they_were_sent():
    """Moments are converted to the receiver's clock; all else is unchanged."""
    expected = heartbeat()._replace(crashes=CRASHES)
    batch = HeartbeatBatch("front-001", "fd-a", (RelayedHeartbeat(9.5, expected),))
    data = encode_message(batch, 10.0, Scope.DOMAIN)
    message, scope = decode_message(data, 110.0)
    assert scope is Scope.DOMAIN
    assert message.relay_id == "front-001"
    (received,) = message.heartbeats
    assert received.received_at == pytest.approx(109.5)
    first_moment = Heartbeat._fields.index("jobs")
    assert received.heartbeat[:first_moment] == expected[:first_moment]
    assert received.heartbeat.demand == expected.demand
    there, here = received.heartbeat.crashes, expected.crashes
    assert there.crashes[0] == here.crashes[0]._replace(at=108.25)
    assert there.answers == (TraitAnswer("a1", 109.25),)
    assert there.quarantines == (Quarantine("b2", 109.0),)
    assert received.heartbeat.reach == expected.reach
    there, here = received.heartbeat.store, expected.store
    assert there[:3] == here[:3]
    assert there.domains == (RetainedDomain("fd-b", 125.0, 109.0),)
    assert there.endpoints == (
        RetainedEndpoint("i-gone", 7, 114.0),
        RetainedEndpoint("i-cold", 8, -inf, 112.5),
    )
    assert received.heartbeat.slow_engines == expected.slow_engines
    limits = [
        LimitReport(i, rate, seen_at + 100, free_at and free_at + 100)
        for i, rate, seen_at, free_at in expected.limits
    ]
    for there, here in zip(received.heartbeat.limits, limits, strict=True):
        assert there[:2] == here[:2]
        assert there[2:] == pytest.approx(here[2:])
    (there,), (here,) = received.heartbeat.drain_notices, expected.drain_notices
    assert there[:2] == here[:2]
    assert there.announced_at == pytest.approx(here.announced_at + 100)
    for there, here in zip(received.heartbeat.jobs, expected.jobs, strict=True):
        assert there.started_at == pytest.approx(here.started_at + 100)
        assert there.due_at == pytest.approx(here.due_at + 100)
        assert there.first_event_at == pytest.approx(here.first_event_at + 100)
        same = here._replace(
            started_at=there.started_at,
            due_at=there.due_at,
            first_event_at=there.first_event_at,
            gap_seconds=there.gap_seconds,
        )
        assert there == same


def test_a_batch_too_long_for_a_datagram_is_divided():
    """Guards against heartbeats that are lost because a batch is too long.

    A relay collects 400 heartbeats with thirty jobs each within one interval. It sends
    them in several datagrams, which together hold every heartbeat.
    """
    beats = tuple(
        RelayedHeartbeat(0.0, heartbeat(number, jobs=30)) for number in range(400)
    )
    recorder = sent([HeartbeatBatch("front-000", "fd-a", beats)])
    assert len(recorder.sent) > 1
    assert all(len(data) <= MAX_DATAGRAM_BYTES for data in recorder.sent)
    received = [
        each.heartbeat.daemon_id
        for data in recorder.sent
        for each in decode_message(data, 0.0).message.heartbeats
    ]
    assert sorted(received) == sorted(each.heartbeat.daemon_id for each in beats)


def test_a_snapshot_of_620_endpoints_is_one_datagram():
    view = view_of(620)
    recorder = sent([EndpointSnapshot.whole(view, view.digest, 0.0)])
    (data,) = recorder.sent
    assert decode_message(data, 0.0).message.applied_to(None, 0).view == view


def test_a_message_too_long_for_a_datagram_is_logged():
    """Guards against an update that is dropped without a trace.

    The log line shows an operator why the peers' snapshots of the endpoints get old.
    Each daemon then reads the store itself, and callers are still served.
    """
    view = view_of(6000)
    snapshot = EndpointSnapshot.whole(view, view.digest, 0.0)
    recorder = sent([snapshot, snapshot])
    assert not recorder.sent
    ((event, fields),) = recorder.warnings
    assert event == "peer_message_too_long"
    assert fields["kind"] == "EndpointReading"


def test_records_that_do_not_match_their_digest_are_refused():
    view = view_of(3)
    snapshot = EndpointSnapshot.whole(view, view.digest + 1, 0.0)
    message = decode_message(encode_message(snapshot, 0.0), 0.0).message
    with pytest.raises(PeerMessageInvalid):
        message.applied_to(None, 0)


TERMS = PermitTerms(2.0, 0.75, 0.5)
DEMAND = DemandStatement(
    VmCapacity(0.5, 10.0, 0.01),
    (
        ServiceDemand(
            "drafting", (RankDemand(0, 2, 0.5),), (OrganisationUsage("o", 0.3),), 0.7
        ),
    ),
)
VALID = [
    encode_message(heartbeat(), 10.0),
    encode_message(heartbeat()._replace(demand=DEMAND), 10.0),
    encode_message(
        HeartbeatBatch("a", "b", (RelayedHeartbeat(9.0, heartbeat()),)), 10.0
    ),
    encode_message(EndpointSnapshot.whole(view_of(3), view_of(3).digest, 0.0), 10.0),
    encode_message(PermitRequest(3, TERMS, LimitReport("i-1", 2.0, 9.0)), 10.0),
    encode_message(PermitResponse(3, Permit(True, 0.25, 1.5)), 10.0),
]


def test_permit_requests_and_responses_arrive_as_they_were_sent():
    """Moments are converted to the steward's clock; all else is unchanged."""
    request = PermitRequest(3, TERMS, LimitReport("i-1", 2.0, 9.0))
    received = decode_message(encode_message(request, 10.0), 110.0).message
    assert received == request._replace(limit=LimitReport("i-1", 2.0, 109.0))
    response = PermitResponse(3, Permit(True, 0.25, 1.5))
    assert decode_message(encode_message(response, 10.0), 110.0).message == response


@pytest.mark.parametrize(
    ("limit", "rate", "share"),
    [
        (-1.0, 1.0, 1.0),
        (nan, 1.0, 1.0),
        (1.0, -1.0, 1.0),
        (1.0, nan, 1.0),
        (1.0, 1.0, 0.0),
        (1.0, 1.0, 1.5),
        (1.0, 1.0, nan),
    ],
)
def test_a_permit_request_with_values_out_of_range_is_refused(limit, rate, share):
    """Guards against one malformed datagram that changes a limit in the whole fleet."""
    terms = PermitTerms(rate, share, 0.5)
    request = PermitRequest(3, terms, LimitReport("i-1", limit, 9.0))
    with pytest.raises(PeerMessageInvalid):
        decode_message(encode_message(request, 10.0), 10.0)


@given(st.binary(max_size=300))
def test_random_bytes_are_refused(data):
    with pytest.raises(PeerMessageInvalid):
        decode_message(data, 0.0)


def test_an_unknown_scope_is_refused():
    """Guards against an exception that the receiver does not handle."""
    message = SCHEMA.Message.new_message(scope=7, endpointsWanted=None)
    changed = pack(message)
    with pytest.raises(PeerMessageInvalid):
        decode_message(changed, 0.0)


@pytest.mark.parametrize(
    "packed",
    [
        "010350010101050000",
        "010350010101110000",
        "0109500101010650040101be33cb01e803c0e83f804011012207272d31",
    ],
)
def test_packed_bytes_that_end_too_early_are_refused(packed):
    """Guards against a datagram that ends the receiver's process.

    The bytes are in pycapnp's packed form and end within it.
    """
    with pytest.raises(PeerMessageInvalid):
        decode_message(zlib.compress(bytes.fromhex(packed)), 0.0)


@given(st.sampled_from(VALID), st.data())
@settings(max_examples=1000)
def test_a_corrupted_message_is_refused_or_decoded(message, data):
    """Guards against a datagram that stops its receiver, whatever it holds.

    The bytes are changed before compression, whose checksum would reveal the change.
    """
    changed = bytearray(zlib.decompress(message))
    for _ in range(data.draw(st.integers(1, 4))):
        at = data.draw(st.integers(0, len(changed) - 1))
        changed[at] = data.draw(st.integers(0, 255))
    try:
        read = decode_message(zlib.compress(bytes(changed)), 0.0).message
        if isinstance(read, EndpointSnapshot):
            read.applied_to(None, 0)
    except PeerMessageInvalid:
        pass


def rows_with(**changes):
    """Return packed heartbeat rows in which values are replaced by invalid ones."""
    batch = HeartbeatBatch("a", "b", (RelayedHeartbeat(9.0, heartbeat()),))
    relay, domain, (row,) = decode(pack_heartbeats(batch, 10.0))
    for index, value in changes.values():
        row[index] = value
    return encode([relay, domain, [row]])


@pytest.mark.parametrize(
    ("index", "value"),
    [
        (0, -5),
        (0, 2**40),
        (2, "x"),
        (7, 1),
        (10, float("nan")),
        (11, [["i-1"]]),
        (1, 7),
    ],
)
def test_rows_out_of_bounds_are_refused(index, value):
    with pytest.raises(ValueError):
        unpack_heartbeats(rows_with(change=(index, value)), 0.0)
