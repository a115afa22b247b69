"""Fetches from a peer, over a connection, what does not fit into a datagram."""

import random
import threading
import zlib
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from cranberrywick.decisions.membership import Member
from cranberrywick.errors import PeerMessageInvalid
from cranberrywick.logs import EventLog
from cranberrywick.peers.messages import Answer, Fetch, FetchKind
from cranberrywick.peers.session import Session, Verified
from cranberrywick.peers.transport import Transport

__all__ = ["MAX_DOCUMENT_BYTES", "Fetcher", "decompress"]

# Time limit for each step of a fetch (connect, send, receive), in seconds.
FETCH_SECONDS = 3.0
# Largest configuration document; the platform's values can't be larger.
MAX_DOCUMENT_BYTES = 1 << 20


class Fetcher:
    """Runs fetches one after another on a thread of its own."""

    def __init__(
        self, session: Session, transport: Transport, rng: random.Random, log: EventLog
    ):
        self._session = session
        self._transport = transport
        self._rng = rng
        self._log = log
        self._thread = ThreadPoolExecutor(1, "peer-fetch")
        self._pending: set[FetchKind] = set()
        # Guards `_pending`; never held while the network is used.
        self._lock = threading.Lock()

    def start(
        self, member: Member, kind: FetchKind, on_answer: Callable[[Answer], None]
    ) -> None:
        """Fetch from ``member`` and call ``on_answer`` with its answer.

        Does nothing while another fetch of the same kind is pending, and logs a fetch
        that fails.
        """
        # Without this, every ping of a peer with a newer configuration would start
        # another fetch of the same document of up to 1 MiB.
        with self._lock:
            if kind in self._pending:
                return
            self._pending.add(kind)
        try:
            self._thread.submit(self._run, member, kind, on_answer)
        except RuntimeError:
            # The node is stopping.
            self._end(kind)

    def stop(self) -> None:
        """Cancel the pending fetches and wait for the one that runs."""
        self._thread.shutdown(wait=True, cancel_futures=True)

    def _run(
        self, member: Member, kind: FetchKind, on_answer: Callable[[Answer], None]
    ) -> None:
        try:
            on_answer(self._exchange(member, kind))
        except (OSError, PeerMessageInvalid) as error:
            # The next ping with a newer configuration, or the next regular fetch of a
            # member list, repeats it.
            self._log.info("peer_fetch_failed", what=kind.name.lower(), error=error)
        finally:
            self._end(kind)

    def _end(self, kind: FetchKind) -> None:
        with self._lock:
            self._pending.discard(kind)

    def _exchange(self, member: Member, kind: FetchKind) -> Answer:
        nonce = self._rng.getrandbits(64)
        request = self._session.seal(
            member.daemon_id, member.incarnation, Fetch(nonce, kind)
        )
        frame = self._transport.exchange(member.peer_address, request, FETCH_SECONDS)
        opened = self._session.open(frame)
        answer = opened.envelope.body
        if not isinstance(opened, Verified) or not isinstance(answer, Answer):
            raise PeerMessageInvalid("the peer answered something else")
        if answer.nonce != nonce:
            raise PeerMessageInvalid("the answer belongs to another fetch")
        return answer


def decompress(compressed: bytes) -> bytes:
    """Return the decompressed document.

    Raises `PeerMessageInvalid` if it is malformed, truncated or larger than
    `MAX_DOCUMENT_BYTES`.
    """
    # Without the limit, a few kilobytes could expand to gigabytes.
    decompressor = zlib.decompressobj()
    try:
        document = decompressor.decompress(compressed, MAX_DOCUMENT_BYTES)
    except zlib.error as error:
        raise PeerMessageInvalid(f"the document does not unpack: {error}") from error
    if not decompressor.eof:
        raise PeerMessageInvalid("the document is larger than the limit or broken off")
    return document
