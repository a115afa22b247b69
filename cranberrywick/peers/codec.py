"""Encodes the messages between daemons, authenticated with the fleet's secret.

A frame consists of one byte that gives the format, sixteen bytes of HMAC-SHA256 (RFC
2104 allows truncation to half of the hash) and a packed Cap'n Proto message.

>>> codec = Codec(b"the fleet's secret")
>>> codec.decode(codec.encode(envelope)) == envelope
True
"""

import hmac
from importlib.resources import as_file, files
from typing import Any

import capnp

from cranberrywick.errors import PeerMessageInvalid
from cranberrywick.peers.messages import Envelope
from cranberrywick.peers.wire import checked_text, read_body, write_body

__all__ = ["MAX_DATAGRAM_BYTES", "MAX_STREAM_BYTES", "Codec"]

FORMAT = b"\x01"
MAC_BYTES = 16
HEADER_BYTES = len(FORMAT) + MAC_BYTES
# Largest frame in a datagram. It is below the usual MTU of 1,500 bytes less the IP and
# UDP headers, so that a datagram isn't split into fragments, each of which can be lost.
MAX_DATAGRAM_BYTES = 1400
# Largest frame over a connection: it holds a configuration of up to 1 MiB or a list of
# a few thousand members.
MAX_STREAM_BYTES = 1_500_000
# Largest unpacked message, in words of eight bytes. Packing compresses runs of zero
# bytes, so that a small frame can unpack to a very large message.
MAX_UNPACKED_WORDS = 400_000
# Deepest nesting of structures in a message.
MAX_NESTING = 8


def _load_schema() -> Any:
    with as_file(files("cranberrywick.peers") / "messages.capnp") as path:
        return capnp.load(str(path))


_SCHEMA = _load_schema()


class Codec:
    """Encodes and authenticates frames with one secret; safe to use from any thread."""

    def __init__(self, secret: bytes):
        self._secret = secret

    def encode(self, envelope: Envelope) -> bytes:
        """Return the frame that carries this message."""
        name, fields = write_body(envelope.body)
        message = _SCHEMA.Envelope.new_message(
            sender=envelope.sender,
            incarnation=envelope.incarnation,
            recipient=envelope.recipient,
            recipientIncarnation=envelope.recipient_incarnation,
            sequence=envelope.sequence,
            body={name: fields},
        )
        payload = message.to_bytes_packed()
        return FORMAT + self._mac(payload) + payload

    def decode(self, frame: bytes) -> Envelope:
        """Return the message in a frame.

        Raises `PeerMessageInvalid` if the frame is not a complete, authentic message
        of this format and within the limits.
        """
        if not HEADER_BYTES < len(frame) <= MAX_STREAM_BYTES:
            raise PeerMessageInvalid("the frame has an impossible size")
        if frame[:1] != FORMAT:
            raise PeerMessageInvalid("the frame has an unknown format")
        payload = frame[HEADER_BYTES:]
        # The signature is checked before anything is unpacked, so that a sender
        # without the secret can't make this daemon spend time and memory on unpacking.
        if not hmac.compare_digest(frame[1:HEADER_BYTES], self._mac(payload)):
            raise PeerMessageInvalid("the frame is not signed with the fleet's secret")
        return _read_payload(payload)

    def _mac(self, payload: bytes) -> bytes:
        return hmac.digest(self._secret, payload, "sha256")[:MAC_BYTES]


def _read_payload(payload: bytes) -> Envelope:
    try:
        message = _SCHEMA.Envelope.from_bytes_packed(
            payload,
            traversal_limit_in_words=MAX_UNPACKED_WORDS,
            nesting_limit=MAX_NESTING,
        )
        return Envelope(
            sender=checked_text(message.sender),
            incarnation=message.incarnation,
            recipient=checked_text(message.recipient),
            recipient_incarnation=message.recipientIncarnation,
            sequence=message.sequence,
            body=read_body(message.body),
        )
    except (capnp.KjException, ValueError, IndexError) as error:
        # Invalid UTF-8 and unknown enumeration values raise ValueError, a phase out of
        # range raises IndexError, and the library raises KjException for the rest.
        raise PeerMessageInvalid(f"malformed message: {error!s:.100}") from error
