"""Types of the messages between daemons.

`cranberrywick.peers.codec` encodes and decodes them. Every message is complete in
itself: messages may be lost, repeated or reordered, and the receiver still reaches the
right state.
"""

from enum import IntEnum
from typing import NamedTuple

from cranberrywick.decisions.grants import DemandEntry
from cranberrywick.decisions.membership import Member
from cranberrywick.model import EndpointLoad

__all__ = [
    "Ack",
    "Answer",
    "Body",
    "Demand",
    "Envelope",
    "Fetch",
    "FetchKind",
    "Grant",
    "GrantEntry",
    "Hello",
    "LeavingEndpoint",
    "Notice",
    "Ping",
    "PingRequest",
    "RelayedAck",
]


class Hello(NamedTuple):
    """Introduces the sender to a daemon that may not know it yet.

    Only a hello may leave the recipient unnamed. While its sender isn't verified,
    nothing but the peer address in it is used, to answer it.

    ``newest_known`` is the highest incarnation that the sender has seen of the
    recipient, or 0: a daemon whose clock was set back raises its own above it.
    """

    member: Member
    is_answer: bool
    newest_known: int


class LeavingEndpoint(NamedTuple):
    """An endpoint that accepts no new work until its incarnation grows."""

    endpoint_id: str
    incarnation: int


class Ping(NamedTuple):
    """Probes the recipient and carries updates.

    ``version`` and ``digest`` identify the configuration in force at the sender.
    """

    round: int
    version: int = 0
    digest: bytes = b""
    members: tuple[Member, ...] = ()
    leaving: tuple[LeavingEndpoint, ...] = ()


class Ack(Ping):
    """Answers a ping of the same round."""

    __slots__ = ()


class Notice(Ping):
    """Carries urgent updates; the recipient doesn't answer it."""

    __slots__ = ()


class PingRequest(NamedTuple):
    """Asks the recipient to ping ``target``, which hasn't answered the sender."""

    round: int
    target: str


class RelayedAck(PingRequest):
    """Answers a `PingRequest`: ``target`` has answered the ping that was requested."""

    __slots__ = ()


class Demand(NamedTuple):
    """Asks the recipient, as steward, for slots of its endpoints."""

    round: int
    entries: tuple[DemandEntry, ...]


class GrantEntry(NamedTuple):
    """One endpoint's part of a grant.

    ``is_steward`` is False if the sender is not the endpoint's steward or can't grant
    its slots now; ``slots`` then has no meaning. ``load.reported_at`` holds the age of
    the report, in seconds, in place of a time on the sender's clock.
    """

    endpoint_id: str
    slots: int
    is_steward: bool
    load: EndpointLoad | None


class Grant(NamedTuple):
    """Answers a demand; ``lifetime``, in seconds, counts from the demand's sending.

    A grant of round 0 answers no demand: it lowers earlier grants at once.
    """

    round: int
    lifetime: float
    entries: tuple[GrantEntry, ...]


class FetchKind(IntEnum):
    """What a daemon fetches from a peer over a connection."""

    CONFIGURATION = 0
    MEMBERS = 1


class Fetch(NamedTuple):
    """Asks for data that does not fit into a datagram."""

    nonce: int
    kind: FetchKind


class Answer(NamedTuple):
    """Answers the fetch with the same nonce; ``document`` is compressed."""

    nonce: int
    version: int = 0
    document: bytes = b""
    members: tuple[Member, ...] = ()


Body = Hello | Ping | PingRequest | Demand | Grant | Fetch | Answer


class Envelope(NamedTuple):
    """A message with its sender and the run of the recipient that it is meant for.

    The incarnations identify the runs of both daemons; a recipient that the sender
    does not know yet is an empty text. ``sequence`` grows with each message of a run.
    """

    sender: str
    incarnation: int
    recipient: str
    recipient_incarnation: int
    sequence: int
    body: Body
