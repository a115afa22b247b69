"""The configuration that a daemon offers to its peers and accepts from them."""

import hashlib
import threading
import zlib
from collections.abc import Callable
from typing import NamedTuple

from cranberrywick.controllers.membership import ConfigurationId
from cranberrywick.errors import PeerMessageInvalid
from cranberrywick.peers.fetching import MAX_DOCUMENT_BYTES, decompress
from cranberrywick.peers.messages import Answer

__all__ = ["SharedConfiguration"]

# Length of a document's digest, a truncated SHA-256.
DIGEST_BYTES = 16


class _Document(NamedTuple):
    configuration_id: ConfigurationId
    compressed: bytes


class SharedConfiguration:
    """Holds the newest document put in force; safe to use from any thread."""

    def __init__(self) -> None:
        self._document = _Document(ConfigurationId(0, b""), b"")
        # Serialises writers. Readers need no lock, since the document is replaced as a
        # whole.
        self._lock = threading.Lock()

    @property
    def current(self) -> tuple[int, bytes]:
        """The version and document offered; version 0 stands for none."""
        document = self._document
        if document.configuration_id.version == 0:
            return 0, b""
        return document.configuration_id.version, zlib.decompress(document.compressed)

    def put(self, version: int, document: bytes) -> ConfigurationId | None:
        """Offer this version and return its identity; None if it is not newer.

        Raises ValueError for a document larger than 1 MiB.
        """
        if len(document) > MAX_DOCUMENT_BYTES:
            raise ValueError("the configuration is larger than the platform's values")
        configuration_id = ConfigurationId(version, _digest(document))
        with self._lock:
            if version <= self._document.configuration_id.version:
                return None
            self._document = _Document(configuration_id, zlib.compress(document))
        return configuration_id

    def answer(self, nonce: int) -> Answer:
        """Return the answer to a peer's fetch."""
        document = self._document
        return Answer(nonce, document.configuration_id.version, document.compressed)

    def accept(
        self,
        announced: ConfigurationId,
        answer: Answer,
        on_newer: Callable[[int, bytes], None],
    ) -> None:
        """Call ``on_newer`` with a peer's version and document if they are newer.

        They are compared with the version offered here. Raises `PeerMessageInvalid` if
        the document of the announced version has another digest.
        """
        document = decompress(answer.document)
        is_announced = answer.version == announced.version
        if is_announced and _digest(document) != announced.digest:
            raise PeerMessageInvalid("the document is not the one that was announced")
        if answer.version > self._document.configuration_id.version:
            on_newer(answer.version, document)


def _digest(document: bytes) -> bytes:
    return hashlib.sha256(document).digest()[:DIGEST_BYTES]
