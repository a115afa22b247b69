"""Messages to and from the other daemons: datagrams, and connections for documents.

Heartbeats are complete, and snapshots of the endpoints repeat recent changes, so the
next datagram makes up for a lost one. A configuration can be as large as a megabyte and
is fetched over a connection.
"""

import asyncio
import socket
import struct
from collections.abc import Callable, Iterable

from cranberrywick.addresses import parse_address
from cranberrywick.errors import PeerMessageInvalid
from cranberrywick.gateway.endpoint_snapshot import EndpointSnapshot
from cranberrywick.gateway.heartbeat_rows import HeartbeatBatch
from cranberrywick.gateway.messages import (
    Envelope,
    Message,
    OperatorSnapshot,
    Scope,
    SnapshotRequest,
    decode_message,
    encode_message,
)
from cranberrywick.gateway.schema import MAX_MESSAGE_BYTES
from cranberrywick.gateway.throttled_log import ThrottledLog
from cranberrywick.logs import EventLog

__all__ = ["FleetLink", "Send"]

# Sends a message to each address, with the scope in which the receivers forward it.
Send = Callable[[Message, list[str], Scope], None]

# Largest datagram, in bytes: the largest UDP payload less some room for headers.
MAX_DATAGRAM_BYTES = 60_000
# Size of the buffer for one that is received, in bytes: the largest that UDP has.
MAX_RECEIVED_BYTES = 65_536
# Largest number of datagrams that are received in one turn of the event loop. asyncio
# reads a single one a turn, and a busy loop makes few turns a second.
MAX_DATAGRAMS_PER_TURN = 64
LENGTH = struct.Struct(">I")
# Longest time for a request and its answer over a connection, in seconds. A peer
# answers from memory; a link that takes longer is worse than a reading of the store.
FETCH_SECONDS = 1.0
# Largest number of connections that are served at the same time. The whole fleet
# requests a new configuration within a moment; a daemon that is not served requests it
# from another peer that has it by then. If all were served at once, 78 copies of 60 KB
# would fill a link of 20 Mbit/s for two seconds and hold up the answers to callers.
MAX_SERVED = 8


class FleetLink(asyncio.DatagramProtocol):
    """One UDP socket and one TCP listener on the same port.

    ``receive`` is called with each valid datagram's message and its sender's address;
    ``answer`` returns the snapshot that a peer requests, or None if there is none yet.
    """

    def __init__(
        self,
        receive: Callable[[Envelope, str], None],
        answer: Callable[[SnapshotRequest], Message | None],
        log: EventLog,
    ):
        self._receive = receive
        self._answer = answer
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._udp: asyncio.DatagramTransport | None = None
        self._socket: socket.socket | None = None
        self._tcp: asyncio.Server | None = None
        self._invalid = ThrottledLog(log, self._loop.time)
        self._invalid_rows = ThrottledLog(log, self._loop.time)
        self._too_long = ThrottledLog(log, self._loop.time)
        self._unusable = ThrottledLog(log, self._loop.time)
        self._served = 0

    async def start(self, ip: str, port: int) -> None:
        """Open both sockets."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        try:
            self._socket.bind((ip, port))
        except OSError:
            self._socket.close()
            raise
        self._udp, _ = await self._loop.create_datagram_endpoint(
            lambda: self, sock=self._socket
        )
        self._tcp = await asyncio.start_server(self._serve, ip, port)

    def close(self) -> None:
        """Close both sockets; messages that are sent from now on are dropped."""
        if self._udp is not None:
            self._udp.close()
            self._udp = None
        if self._tcp is not None:
            self._tcp.close()

    def send(
        self,
        message: Message,
        addresses: Iterable[str],
        scope: Scope = Scope.NOBODY,
    ) -> None:
        """Send a message to each address, without waiting.

        A message that is too long for a datagram and can't be divided is logged and
        not sent.
        """
        if self._udp is None:
            return
        datagrams = self._datagrams(message, scope)
        for address in addresses:
            try:
                target = parse_address(address)
            except ValueError as error:
                self._unusable.warning(
                    "peer_address_unusable", peer=address, error=error
                )
                continue
            for data in datagrams:
                self._udp.sendto(data, target)

    def _datagrams(self, message: Message, scope: Scope) -> list[bytes]:
        """Return a message's datagrams: several for a batch too long for one."""
        data = encode_message(message, self._loop.time(), scope)
        if len(data) <= MAX_DATAGRAM_BYTES:
            return [data]
        halves = message.halves if isinstance(message, HeartbeatBatch) else ()
        if not halves:
            # The peers' state gets old without the message, and each reads the store.
            kind = message.log_kind
            self._too_long.warning("peer_message_too_long", kind=kind, bytes=len(data))
        return [data for half in halves for data in self._datagrams(half, scope)]

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Receive a datagram and those that have come after it; called by asyncio."""
        self._receive_datagram(data, address)
        self.receive_waiting()

    def receive_waiting(self) -> bool:
        """Receive the datagrams that have come; return whether none is left.

        Those are received that the event loop has not read yet, up to the largest
        number for one turn.
        """
        if self._socket is None:
            return True
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                data, address = self._socket.recvfrom(MAX_RECEIVED_BYTES)
            except BlockingIOError:
                return True
            except OSError as error:
                self.error_received(error)
                return False
            self._receive_datagram(data, address)
        return False

    def _receive_datagram(self, data: bytes, address: tuple[str, int]) -> None:
        """Decode a datagram and hand its message on."""
        try:
            envelope = decode_message(data, self._loop.time(), self._record_dropped_row)
            self._receive(envelope, "{}:{}".format(*address))
        except PeerMessageInvalid as error:
            self._record_invalid(error)

    def error_received(self, error: Exception) -> None:
        """Ignore a closed port of a peer, which is noticed by its silence too.

        Called by asyncio.
        """

    def _record_dropped_row(self, error: str) -> None:
        self._invalid_rows.warning("peer_row_invalid", error=error)

    def _record_invalid(self, error: PeerMessageInvalid) -> None:
        self._invalid.warning("peer_message_invalid", error=error)

    async def fetch(
        self, address: str, request: SnapshotRequest
    ) -> EndpointSnapshot | OperatorSnapshot | None:
        """Request a snapshot from a peer; return None without a valid answer."""
        try:
            async with asyncio.timeout(FETCH_SECONDS):
                return await self._fetch(address, request)
        except (
            OSError,
            TimeoutError,
            ValueError,
            asyncio.IncompleteReadError,
        ) as error:
            self._log.warning("peer_fetch_failed", peer=address, error=error)
        except PeerMessageInvalid as error:
            self._record_invalid(error)
        return None

    async def _fetch(
        self, address: str, request: SnapshotRequest
    ) -> EndpointSnapshot | OperatorSnapshot | None:
        reader, writer = await asyncio.open_connection(*parse_address(address))
        try:
            _write(writer, encode_message(request, self._loop.time()))
            message = decode_message(await _read(reader), self._loop.time()).message
            is_answer = isinstance(message, EndpointSnapshot | OperatorSnapshot)
            return message if is_answer else None
        finally:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._served >= MAX_SERVED:
            writer.transport.abort()
            return
        self._served += 1
        try:
            async with asyncio.timeout(FETCH_SECONDS):
                data = await _read(reader)
                message = decode_message(data, self._loop.time()).message
                snapshot = None
                if isinstance(message, SnapshotRequest):
                    snapshot = self._answer(message)
                if snapshot is not None:
                    _write(writer, encode_message(snapshot, self._loop.time()))
                    await writer.drain()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self._log.debug("peer_request_broken", error=error)
        except PeerMessageInvalid as error:
            self._record_invalid(error)
        finally:
            self._served -= 1
            writer.close()


def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(LENGTH.pack(len(data)) + data)


async def _read(reader: asyncio.StreamReader) -> bytes:
    (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
    if length > MAX_MESSAGE_BYTES:
        raise PeerMessageInvalid("the message is too long")
    return await reader.readexactly(length)
