"""Builds and verifies the frames that one run of this daemon sends and receives."""

import threading
from dataclasses import dataclass
from itertools import count

from cranberrywick.errors import PeerMessageInvalid
from cranberrywick.peers.codec import Codec
from cranberrywick.peers.messages import Body, Envelope, Hello
from cranberrywick.peers.replay import ReplayGuard

__all__ = ["Opened", "Session", "Unverified", "Verified"]


@dataclass(frozen=True)
class Verified:
    """A new message to this run of this daemon; it may change state."""

    envelope: Envelope


@dataclass(frozen=True)
class Unverified:
    """A signed message that may be a replay: it may be answered by a hello.

    It must not change any state. ``newest_known`` is the newest incarnation seen of
    the sender, or 0.
    """

    envelope: Envelope
    newest_known: int


Opened = Verified | Unverified


class Session:
    """Numbers the messages of this daemon and checks the numbers of others.

    Safe to use from any thread. A message is verified only if it names this daemon and
    this run of it as the recipient. A restart loses the memory of sequence numbers, but
    any message recorded before it names an earlier run.
    """

    def __init__(self, daemon_id: str, incarnation: int, secret: bytes):
        self._daemon_id = daemon_id
        self.incarnation = incarnation
        self._codec = Codec(secret)
        self._sequence = count(1)
        self._guard = ReplayGuard()
        # Protects the replay guard, which the receiver and the server threads share.
        self._lock = threading.Lock()

    def seal(self, recipient: str, recipient_incarnation: int, body: Body) -> bytes:
        """Return the frame of a message to this run of the recipient."""
        envelope = Envelope(
            sender=self._daemon_id,
            incarnation=self.incarnation,
            recipient=recipient,
            recipient_incarnation=recipient_incarnation,
            sequence=next(self._sequence),
            body=body,
        )
        return self._codec.encode(envelope)

    def open(self, frame: bytes) -> Opened:
        """Return the message in a frame, as `Verified` or `Unverified`.

        Raises `PeerMessageInvalid` for a forged, malformed or replayed message and for
        one that is meant for another daemon.
        """
        envelope = self._codec.decode(frame)
        if envelope.sender == self._daemon_id:
            raise PeerMessageInvalid("the message says that this daemon sent it")
        if envelope.recipient != self._daemon_id:
            return self._check_unverified(envelope)
        if envelope.recipient_incarnation != self.incarnation:
            return self._check_unverified(envelope)
        with self._lock:
            known = self._guard.newest_incarnation(envelope.sender)
            if envelope.incarnation < known:
                return Unverified(envelope, known)
            self._guard.accept(envelope.sender, envelope.incarnation, envelope.sequence)
        return Verified(envelope)

    def _check_unverified(self, envelope: Envelope) -> Unverified:
        if envelope.recipient not in ("", self._daemon_id):
            raise PeerMessageInvalid("the message is for another daemon")
        if envelope.recipient == "" and not isinstance(envelope.body, Hello):
            raise PeerMessageInvalid("the message names no recipient")
        with self._lock:
            known = self._guard.newest_incarnation(envelope.sender)
        return Unverified(envelope, known)
