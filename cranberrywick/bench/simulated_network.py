"""Daemons that tell one another news on a network without sockets."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from itertools import count
from math import inf
from types import SimpleNamespace

from cranberrywick.gateway.endpoint_snapshot import EndpointSnapshot
from cranberrywick.gateway.messages import (
    Message,
    Scope,
    SnapshotRequest,
    decode_message,
    encode_message,
)
from cranberrywick.gateway.peer_updates import DaemonStatus, PeerUpdates
from cranberrywick.logs import EventLog
from cranberrywick.routing.load import Job
from cranberrywick.routing.members import Heartbeat

__all__ = ["SimulatedDaemon", "SimulatedNetwork"]

HOP_SECONDS = 0.001

_incarnations = count(1)


class SimulatedNetwork:
    """Carries datagrams between daemons; some are cut off, a share is lost.

    ``cut`` has the addresses that reach nobody, ``is_cut`` tells whether one address
    can't reach another.
    ``received_bytes`` and ``received_datagrams`` count by the receiver's address.
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
        """Take a datagram to its receiver."""
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


class SimulatedDaemon:
    """One daemon's news, with a link into the network in place of sockets.

    ``hearing_seconds`` and ``telling_seconds`` are the processor time that reading and
    taking messages, and writing them, took so far.
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
        self.address = f"{name}:7000"
        self.network = network
        self.snapshots: list[EndpointSnapshot] = []
        self.newcomers: list[str] = []
        self.leaving = False
        self.hearing_seconds = 0.0
        self.telling_seconds = 0.0
        settings = SimpleNamespace(
            daemon_id=name,
            ip=name,
            failure_domain=domain,
            entry_address=f"{name}:80",
            internal_ports=(7000, 7010),
            seeds=seeds,
            bounds=SimpleNamespace(contact_seconds=3.0),
        )
        self.peer_updates = PeerUpdates(settings, self, EventLog())
        self.peer_updates.link = self
        # The same on every run, whatever the time of day.
        self.peer_updates._rng.seed(name)
        self.peer_updates._incarnation = next(_incarnations)
        network.daemons_by_address[self.address] = self

    # What the news ask of a link

    async def start(self, *_: object) -> None:
        """Do nothing: the network calls `receive`."""

    def send(
        self,
        message: Message,
        addresses: Iterable[str],
        scope: Scope = Scope.NOBODY,
    ) -> None:
        """Send a message to each address."""
        started = time.thread_time()
        data = encode_message(message, asyncio.get_running_loop().time(), scope)
        self.telling_seconds += time.thread_time() - started
        for address in addresses:
            self.network.carry(self.address, address, data)

    def receive(self, data: bytes, source: str) -> None:
        """Take a datagram."""
        started = time.thread_time()
        now = asyncio.get_running_loop().time()
        self.peer_updates._receive(decode_message(data, now), source)
        self.hearing_seconds += time.thread_time() - started

    # What the news ask of whom they serve

    def daemon_status(self, now: float) -> DaemonStatus:
        """Return what this daemon tells of itself."""
        return DaemonStatus(self.leaving, 1, 1, 0.0)

    def heartbeat_received(self, heartbeat: Heartbeat, received_at: float) -> None:
        """Do nothing: the news keep what was heard."""

    def endpoints_received(self, snapshot: EndpointSnapshot) -> None:
        """Keep a reading."""
        self.snapshots.append(snapshot)

    def peer_joined(self, peer_address: str) -> None:
        """Keep whom this daemon would tell the endpoints."""
        self.newcomers.append(peer_address)

    def answer(self, request: SnapshotRequest) -> Message | None:
        """Return nothing: this daemon knows neither endpoints nor configuration."""
        return None

    def declared_rate(self, endpoint_id: str) -> float:
        """Return that no endpoint is cold."""
        return inf

    # What scenes do and ask

    def knows_job_of(self, other: "SimulatedDaemon") -> bool:
        """Whether the job that another took is counted here, once."""
        return len(self.peer_updates.load.at(f"e-{other.name}")) == 1

    def take_job(self) -> None:
        """Place a request on an endpoint that no other daemon uses."""
        now = asyncio.get_running_loop().time()
        self.put("request", [Job(f"e-{self.name}", 100, 1.0, now, now + 1.0)])

    def put(self, request_id: str, jobs: Sequence[Job]) -> None:
        """Place a request and tell of it."""
        self.peer_updates.load.put(request_id, jobs)
        self.peer_updates.job_added()

    def drop(self, request_id: str) -> None:
        """End a request and tell of it."""
        self.peer_updates.load.drop(request_id)
        self.peer_updates.job_ended()
