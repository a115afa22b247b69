"""Tests for which messages between daemons are accepted and which are refused."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberrywick.decisions.cold_start import Trouble
from cranberrywick.decisions.grants import DemandEntry
from cranberrywick.decisions.membership import Member, Status
from cranberrywick.errors import PeerMessageInvalid
from cranberrywick.model import EndpointLoad, EndpointPhase
from cranberrywick.peers.codec import Codec
from cranberrywick.peers.messages import (
    Ack,
    Answer,
    Demand,
    Envelope,
    Fetch,
    FetchKind,
    Grant,
    GrantEntry,
    Hello,
    LeavingEndpoint,
    Notice,
    Ping,
    PingRequest,
    RelayedAck,
)
from cranberrywick.peers.session import Session, Unverified, Verified

SECRET = b"the fleet's secret"
CODEC = Codec(SECRET)
MEMBER = Member(
    "e1", 1700, 3, Status.LEAVING, "10.0.0.1:7", "10.0.0.1:8", "fd-1", "north"
)
LOAD = EndpointLoad("r1", 9, EndpointPhase.COLD, 0.25, 3, 4, 5000, 60_000, ("m1",))
UPDATES = {"members": (MEMBER,), "leaving": (LeavingEndpoint("r2", 5),)}

BODIES = [
    Hello(MEMBER, True, 5),
    Ping(1, 450, b"d" * 16, **UPDATES),
    Ack(2),
    Notice(0, **UPDATES),
    PingRequest(3, "e2"),
    RelayedAck(3, "e2"),
    Demand(4, (DemandEntry("r1", 7, 2, 3, 100, Trouble.COLD, 9),)),
    Grant(4, 9.0, (GrantEntry("r1", 3, True, LOAD), GrantEntry("r2", 0, False, None))),
    Fetch(5, FetchKind.MEMBERS),
    Answer(5, 450, b"document", (MEMBER,)),
]


def envelope(body, sequence=77):
    return Envelope("e1", 1700, "e2", 1800, sequence, body)


@pytest.mark.parametrize("body", BODIES, ids=lambda body: type(body).__name__)
def test_every_body_is_decoded_as_encoded(body):
    decoded = CODEC.decode(CODEC.encode(envelope(body)))
    assert decoded == envelope(body)
    assert type(decoded.body) is type(body)


def test_another_secret_is_refused():
    frame = Codec(b"another secret").encode(envelope(Ack(1)))
    with pytest.raises(PeerMessageInvalid, match="not signed"):
        CODEC.decode(frame)


@given(st.integers(0, 10_000), st.integers(1, 255))
def test_a_changed_byte_is_refused(position, difference):
    """Guards against the acceptance of a frame that was altered in transit.

    One byte anywhere in a signed frame is changed. The signature must cover everything
    after it, and the byte that gives the format must be checked on its own.
    """
    frame = bytearray(CODEC.encode(envelope(BODIES[1])))
    frame[position % len(frame)] ^= difference
    with pytest.raises(PeerMessageInvalid):
        CODEC.decode(bytes(frame))


@given(st.binary(max_size=2000))
def test_garbage_is_refused_with_a_typed_error(garbage):
    with pytest.raises(PeerMessageInvalid):
        CODEC.decode(garbage)


@given(st.binary(max_size=600))
def test_garbage_signed_with_the_secret_is_refused_or_read_as_a_message(payload):
    """Guards against crashes by malformed messages of a peer that has the secret.

    Its frames pass the check of the signature and are unpacked. Whatever they contain,
    the result must be a typed error or a message within the limits.
    """
    frame = b"\x01" + CODEC._mac(payload) + payload
    try:
        decoded = CODEC.decode(frame)
    except PeerMessageInvalid:
        return
    assert isinstance(decoded, Envelope)


def test_a_frame_that_unpacks_to_too_much_is_refused():
    """Guards against a small frame that fills the receiver's memory when unpacked.

    A signed answer contains four megabytes of zeros, which packing compresses to about
    four kilobytes. Only the limit on the unpacked size can refuse it.
    """
    frame = CODEC.encode(envelope(Answer(5, document=bytes(4_000_000))))
    assert len(frame) < 100_000
    with pytest.raises(PeerMessageInvalid):
        CODEC.decode(frame)


@pytest.mark.parametrize(
    "body",
    [
        Ping(1, members=(MEMBER._replace(daemon_id="x" * 300),)),
        Ping(1, leaving=(LeavingEndpoint("", 0),) * 5000),
    ],
    ids=["long text", "long list"],
)
def test_values_beyond_the_limits_are_refused(body):
    with pytest.raises(PeerMessageInvalid, match="too long"):
        CODEC.decode(CODEC.encode(envelope(body)))


class TestSession:
    """Tests for what one run of a daemon accepts as new and meant for it."""

    def setup_method(self):
        self.receiver = Session("e2", 1800, SECRET)
        self.sender = Session("e1", 1700, SECRET)

    def test_a_message_is_accepted_once(self):
        frame = self.sender.seal("e2", 1800, Ack(1))
        assert isinstance(self.receiver.open(frame), Verified)
        with pytest.raises(PeerMessageInvalid, match="came before"):
            self.receiver.open(frame)

    def test_reordered_messages_are_accepted(self):
        frames = [self.sender.seal("e2", 1800, Ack(i)) for i in range(20)]
        for frame in reversed(frames):
            assert isinstance(self.receiver.open(frame), Verified)

    def test_a_message_of_an_earlier_run_of_the_sender_changes_nothing(self):
        restarted = Session("e1", 1701, SECRET)
        self.receiver.open(restarted.seal("e2", 1800, Ack(1)))
        opened = self.receiver.open(self.sender.seal("e2", 1800, Ack(1)))
        assert opened == Unverified(opened.envelope, 1701)

    def test_a_message_recorded_before_a_restart_of_the_receiver_changes_nothing(self):
        """Guards against a replayed message from before the receiver's restart.

        The receiver has lost its memory of sequence numbers. The message names the
        earlier run of the receiver, so it must be returned as unverified.
        """
        recorded = self.sender.seal("e2", 1800, Ack(1))
        restarted = Session("e2", 1801, SECRET)
        assert isinstance(restarted.open(recorded), Unverified)

    def test_a_message_for_another_or_from_itself_is_refused(self):
        for frame in (
            self.sender.seal("e3", 1800, Ack(1)),
            self.sender.seal("", 0, Ack(1)),
            self.receiver.seal("e2", 1800, Ack(1)),
        ):
            with pytest.raises(PeerMessageInvalid):
                self.receiver.open(frame)
