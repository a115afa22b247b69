"""Datagrams and short connections between daemons, on one address.

Updates, demands and grants are sent as datagrams: each is complete in itself, a lost
one is replaced by the next, and a peer that has stopped reading can't block the sender.
What does not fit into a datagram is sent over a TCP connection, where the kernel
provides the retransmission and flow control that a series of datagrams would need.
"""

import socket
import struct
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from cranberrywick.addresses import parse_address
from cranberrywick.peers.codec import MAX_DATAGRAM_BYTES, MAX_STREAM_BYTES

__all__ = ["Transport", "TransportCounts", "split_address"]

# Size of the kernel's receive buffer for datagrams.
RECEIVE_BUFFER_BYTES = 1 << 20
# Size of the length that precedes each frame on a connection.
LENGTH_BYTES = 4
# Largest request over a connection; it contains only a kind and a nonce.
MAX_REQUEST_BYTES = 1024
# Number of connections that are served at the same time.
SERVER_THREADS = 4
# Time limit for each read or write on a connection that is served, in seconds.
SERVER_SECONDS = 3.0
# Longest time that a thread waits on a socket before it checks whether to stop, in
# seconds.
POLL_SECONDS = 2.0
_POLL_TIMEVAL = struct.pack("ll", int(POLL_SECONDS), 0)
# Number of attempts to find a port that is free for both TCP and UDP.
BIND_ATTEMPTS = 20
# Length of the queue of connections that are not accepted yet.
BACKLOG = 64


class TransportCounts:
    """Numbers of bytes and datagrams since the start of the daemon.

    Some are incremented by several threads without a lock, so they are approximate.
    """

    def __init__(self) -> None:
        self.datagrams_sent = 0
        self.datagrams_received = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.datagrams_dropped = 0


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of ``host:port``.

    >>> split_address("10.0.0.2:7000")
    ('10.0.0.2', 7000)

    Raises ValueError if the port isn't a number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def _no_address_is_cut(_address: str) -> bool:
    return False


class Transport:
    """One UDP socket with one receiver thread, and a small TCP server on the same port.

    ``receive`` is called with each datagram, on the receiver thread. ``serve`` is
    called with the frame that arrived over a connection; it returns the answer's frame,
    or None to close the connection without an answer. Tests can replace ``is_cut``,
    which says whether everything sent to an address is lost.
    """

    def __init__(
        self,
        listen: str,
        receive: Callable[[bytes], None],
        serve: Callable[[bytes], bytes | None],
    ):
        self._receive = receive
        self._serve = serve
        self._udp, self._tcp = _bind_both(*split_address(listen))
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []
        self._servers = ThreadPoolExecutor(SERVER_THREADS, "peer-server")
        # Connections beyond those being served are closed at once, because the queue of
        # the thread pool is unbounded.
        self._free_servers = threading.Semaphore(SERVER_THREADS)
        self.counts = TransportCounts()
        self.is_cut: Callable[[str], bool] = _no_address_is_cut

    @property
    def address(self) -> str:
        """The ``host:port`` that peers send to."""
        host, port = self._udp.getsockname()
        return f"{host}:{port}"

    def start(self) -> None:
        """Start to receive datagrams and to accept connections."""
        for name, run in (
            ("peer-receiver", self._run_receiver),
            ("peer-acceptor", self._run_acceptor),
        ):
            thread = threading.Thread(target=run, name=name, daemon=True)
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Close both sockets and wait for the threads."""
        self._stopping.set()
        self._wake_threads()
        for thread in self._threads:
            thread.join()
        self._servers.shutdown(wait=True)
        self._udp.close()
        self._tcp.close()

    def _wake_threads(self) -> None:
        # Both threads check the stop flag whenever they wake up. A datagram and a
        # connection wake them now instead of after up to `POLL_SECONDS`.
        try:
            self._udp.sendto(b"", self._udp.getsockname())
            socket.create_connection(self._tcp.getsockname(), timeout=0.1).close()
        except OSError:
            pass

    def send(self, address: str, frame: bytes) -> None:
        """Send a datagram, or drop it if it can't be sent; never waits or raises."""
        if len(frame) > MAX_DATAGRAM_BYTES or self.is_cut(address):
            self.counts.datagrams_dropped += 1
            return
        try:
            target = parse_address(address)
            self._udp.sendto(frame, socket.MSG_DONTWAIT, target)
        except (OSError, ValueError):
            # The buffer is full, the network is unreachable or the address in the VM
            # list is malformed. All these count as loss, which the protocol tolerates.
            self.counts.datagrams_dropped += 1
            return
        self.counts.datagrams_sent += 1
        self.counts.bytes_sent += len(frame)

    def _run_receiver(self) -> None:
        while not self._stopping.is_set():
            try:
                frame = self._udp.recv(MAX_DATAGRAM_BYTES + 1)
            except OSError:
                # The receive timed out, or the host refused an earlier datagram.
                continue
            if self._stopping.is_set():
                return
            self.counts.datagrams_received += 1
            self.counts.bytes_received += len(frame)
            if len(frame) <= MAX_DATAGRAM_BYTES:
                self._receive(frame)

    def _run_acceptor(self) -> None:
        while not self._stopping.is_set():
            try:
                connection, _ = self._tcp.accept()
            except OSError:
                continue
            if self._free_servers.acquire(blocking=False):
                self._servers.submit(self._serve_connection, connection)
            else:
                connection.close()

    def _serve_connection(self, connection: socket.socket) -> None:
        try:
            with connection:
                connection.settimeout(SERVER_SECONDS)
                request = _read_frame(connection, MAX_REQUEST_BYTES)
                answer = self._serve(request)
                if answer is not None:
                    _write_frame(connection, answer)
                    self.counts.bytes_sent += len(answer)
        except OSError:
            # The peer has closed the connection or is too slow; it will fetch again.
            pass
        finally:
            self._free_servers.release()

    def exchange(self, address: str, frame: bytes, seconds: float) -> bytes:
        """Send a frame over a new connection and return the answer's frame.

        Waits up to ``seconds`` at each step. Raises OSError if the peer is unreachable
        or too slow, or if its answer is larger than `MAX_STREAM_BYTES`.
        """
        if self.is_cut(address):
            raise ConnectionRefusedError("cut by the test")
        try:
            target = parse_address(address)
        except ValueError as error:
            raise ConnectionRefusedError(f"no address: {error}") from error
        with socket.create_connection(target, timeout=seconds) as connection:
            _write_frame(connection, frame)
            answer = _read_frame(connection, MAX_STREAM_BYTES)
        self.counts.bytes_received += len(answer)
        return answer


def _bind_both(host: str, port: int) -> tuple[socket.socket, socket.socket]:
    # With port 0 the kernel chooses a free TCP port, but its number may be in use for
    # UDP.
    attempts = BIND_ATTEMPTS if port == 0 else 1
    for attempt in range(attempts):
        tcp = socket.create_server((host, port), backlog=BACKLOG)
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            udp.bind((host, tcp.getsockname()[1]))
        except OSError:
            tcp.close()
            udp.close()
            if attempt == attempts - 1:
                raise
            continue
        udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        # This sets a time limit for receiving only; settimeout would make sending wait,
        # too.
        udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVTIMEO, _POLL_TIMEVAL)
        tcp.settimeout(POLL_SECONDS)
        return udp, tcp
    raise AssertionError("unreachable")


def _read_frame(connection: socket.socket, limit: int) -> bytes:
    length = int.from_bytes(_read_exactly(connection, LENGTH_BYTES), "big")
    if length > limit:
        raise ConnectionAbortedError("the frame is larger than the limit")
    return _read_exactly(connection, length)


def _read_exactly(connection: socket.socket, length: int) -> bytes:
    received = bytearray()
    while len(received) < length:
        piece = connection.recv(min(65536, length - len(received)))
        if not piece:
            raise ConnectionResetError("the peer closed in the middle of a frame")
        received += piece
    return bytes(received)


def _write_frame(connection: socket.socket, frame: bytes) -> None:
    connection.sendall(len(frame).to_bytes(LENGTH_BYTES, "big") + frame)
