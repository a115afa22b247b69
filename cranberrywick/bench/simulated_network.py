"""Daemons that exchange updates over a simulated network, without sockets."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from itertools import count
from math import inf
from types import SimpleNamespace
from zlib import crc32

from cranberrywick.gateway.endpoint_snapshot import EndpointSnapshot
from cranberrywick.gateway.messages import (
    Message,
    Scope,
    SnapshotRequest,
    decode_message,
    encode_message,
)
from cranberrywick.gateway.peer_update_listener import DaemonStatus
from cranberrywick.gateway.peer_updates import PeerUpdates
from cranberrywick.logs import EventLog
from cranberrywick.routing.drain_notices import DrainNotice
from cranberrywick.routing.load import Job
from cranberrywick.routing.members import Heartbeat
from cranberrywick.routing.store_knowledge import StoreKnowledge

__all__ = ["SimulatedDaemon", "SimulatedNetwork", "daemon_address"]

# Delay of a datagram between two daemons, in seconds.
HOP_SECONDS = 0.001

_incarnations = count(1)


class SimulatedNetwork:
    """Delivers datagrams between daemons, except those that a fault loses.

    Addresses in ``cut`` neither send nor receive, ``is_cut(source, target)`` returns
    whether datagrams from one address to another are lost, and ``loss`` is the share of
    all others that is lost. ``received_bytes`` and ``received_datagrams`` count by the
    receiver's address, lost datagrams included.
    """

    def __init__(self) -> None:
        self.daemons_by_address: dict[str, SimulatedDaemon] = {}
        self.cut: set[str] = set()
        self.is_cut: Callable[[str, str], bool] = lambda source, address: False
        self.loss = 0.0
        self.received_datagrams: Counter[str] = Counter()
        self.received_bytes: Counter[str] = Counter()
        self._rng = random.Random(1)

    def carry(self, source: str, address: str, data: bytes) -> None:
        """Deliver a datagram to its receiver after `HOP_SECONDS`, or lose it."""
        self.received_datagrams[address] += 1
        self.received_bytes[address] += len(data)
        if {source, address} & self.cut or self.is_cut(source, address):
            return
        if self._rng.random() < self.loss:
            return
        daemon = self.daemons_by_address.get(address)
        if daemon is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(HOP_SECONDS, daemon.receive, data, source)


def daemon_address(name: str) -> str:
    """Return the peer address of the simulated daemon with a name."""
    # Daemons accept no addresses but those of VMs.
    _, *numbers = crc32(name.encode()).to_bytes(4)
    return f"10.{'.'.join(map(str, numbers))}:7000"


class SimulatedDaemon:
    """The peer updates of one daemon, which is their link to the network as well.

    ``receiving_seconds`` is the processor time spent so far on decoding and applying
    messages, ``sending_seconds`` that on encoding them.
    """

    def __init__(
        self,
        network: SimulatedNetwork,
        name: str,
        domain: str,
        seeds: Sequence[str] = (),
    ):
        self.name = name
        self.domain = domain
        self.address = daemon_address(name)
        ip = self.address.partition(":")[0]
        self.network = network
        self.snapshots: list[EndpointSnapshot] = []
        self.newcomers: list[str] = []
        self.leaving = False
        self.receiving_seconds = 0.0
        self.sending_seconds = 0.0
        settings = SimpleNamespace(
            daemon_id=name,
            ip=ip,
            failure_domain=domain,
            entry_address=f"{ip}:80",
            internal_ports=(7000, 7010),
            seeds=seeds,
            bounds=SimpleNamespace(contact_seconds=3.0),
        )
        self.peer_updates = PeerUpdates(settings, self, EventLog())
        self.peer_updates.link = self
        # Seeded, so that every run is the same.
        self.peer_updates._rng.seed(name)
        self.peer_updates._incarnation = next(_incarnations)
        network.daemons_by_address[self.address] = self

    # Methods that `PeerUpdates` calls on its link

    async def start(self, *_: object) -> None:
        """Do nothing; the network calls `receive` without further setup."""

    def receive_waiting(self) -> bool:
        """Return that no message waits; the network calls `receive` at once."""
        return True

    def send(
        self,
        message: Message,
        addresses: Iterable[str],
        scope: Scope = Scope.NOBODY,
    ) -> None:
        """Send a message to each of the addresses."""
        started = time.thread_time()
        data = encode_message(message, asyncio.get_running_loop().time(), scope)
        self.sending_seconds += time.thread_time() - started
        for address in addresses:
            self.network.carry(self.address, address, data)

    def receive(self, data: bytes, source: str) -> None:
        """Decode a datagram and apply its message."""
        started = time.thread_time()
        now = asyncio.get_running_loop().time()
        self.peer_updates._receive(decode_message(data, now), source)
        self.receiving_seconds += time.thread_time() - started

    # Methods that `PeerUpdates` calls on its owner

    def daemon_status(self, now: float) -> DaemonStatus:
        """Return the state of this daemon that its heartbeats carry."""
        return DaemonStatus(self.leaving, 1, 1, 0.0, self.store_knowledge(now))

    def store_knowledge(self, now: float) -> StoreKnowledge:
        """Return what this daemon knows of the store: its first epoch."""
        return StoreKnowledge(epoch=1, operator_epoch=1, configuration_version=1)

    def heartbeat_received(self, heartbeat: Heartbeat, received_at: float) -> None:
        """Do nothing; `PeerUpdates` records the heartbeat itself."""

    def endpoints_received(self, snapshot: EndpointSnapshot) -> None:
        """Record a snapshot."""
        self.snapshots.append(snapshot)

    def peer_joined(self, peer_address: str) -> None:
        """Record the address of a peer, to which a daemon would send the endpoints."""
        self.newcomers.append(peer_address)

    def answer(self, request: SnapshotRequest) -> Message | None:
        """Return None, as this daemon has neither endpoints nor configuration."""
        return None

    def draining_announced(self, notice: DrainNotice) -> None:
        """Do nothing; `PeerUpdates` records the notice itself."""

    def declared_rate(self, endpoint_id: str) -> float:
        """Return infinity: no endpoint is cold."""
        return inf

    # Methods for tests and benchmarks

    def counts_job_of(self, other: "SimulatedDaemon") -> bool:
        """Return whether the other daemon's job is in this one's load exactly once."""
        return len(self.peer_updates.load.at(f"e-{other.name}")) == 1

    def place_job(self) -> None:
        """Place a request on an endpoint that no other daemon uses; send an update."""
        now = asyncio.get_running_loop().time()
        self.put("request", [Job(f"e-{self.name}", 100, 1.0, now, now + 1.0)])

    def put(self, request_id: str, jobs: Sequence[Job]) -> None:
        """Add or change a request's jobs and send an update."""
        self.peer_updates.load.put(request_id, jobs)
        self.peer_updates.job_added()

    def drop(self, request_id: str) -> None:
        """Remove a request's jobs and send an update."""
        self.peer_updates.load.drop(request_id)
        self.peer_updates.job_ended()
