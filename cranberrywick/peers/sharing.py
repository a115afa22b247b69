"""The configuration that a daemon offers its peers and takes from them."""

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

DIGEST_BYTES = 16


class _Document(NamedTuple):
    configuration_id: ConfigurationId
    compressed: bytes


class SharedConfiguration:
    """The newest document given; safe to use from any thread."""

    def __init__(self) -> None:
        self._document = _Document(ConfigurationId(0, b""), b"")
        # Guards against two versions given at once; readers take it whole.
        self._lock = threading.Lock()

    @property
    def current(self) -> tuple[int, bytes]:
        """The version and document offered; version 0 is none."""
        document = self._document
        if document.configuration_id.version == 0:
            return 0, b""
        return document.configuration_id.version, zlib.decompress(document.compressed)

    def put(self, version: int, document: bytes) -> ConfigurationId | None:
        """Offer this version and return its configuration_id; None if it is not newer.

        Raises ValueError for a document above 1 MiB.
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

    def take(
        self,
        announced: ConfigurationId,
        answer: Answer,
        use: Callable[[int, bytes], None],
    ) -> None:
        """Give a peer's document to ``use`` if it is newer than what is offered.

        Raises `PeerMessageInvalid` if it is not the document that was announced.
        """
        document = decompress(answer.document)
        is_announced = answer.version == announced.version
        if is_announced and _digest(document) != announced.digest:
            raise PeerMessageInvalid("the document is not the one that was announced")
        if answer.version > self._document.configuration_id.version:
            use(answer.version, document)


def _digest(document: bytes) -> bytes:
    return hashlib.sha256(document).digest()[:DIGEST_BYTES]
