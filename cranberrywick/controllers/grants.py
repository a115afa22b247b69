"""Demands slots from stewards, and grants those of the endpoints stewarded here.

One actor is both holder and steward. It sends through the peer node, receives the
members from its snapshots, and publishes new shares to the rest of the daemon through
a callback; a request never waits for it.
"""

import time
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple, Protocol

from cranberrywick.controllers.actor import Controller
from cranberrywick.decisions.cold_start import Trouble
from cranberrywick.decisions.grants import DemandEntry, Ledger
from cranberrywick.decisions.leases import HeldLeases, Usage
from cranberrywick.decisions.membership import Member
from cranberrywick.decisions.stewards import Shard, shard_of, stewards, used_shards
from cranberrywick.model import Endpoint, EndpointLoad, Share
from cranberrywick.peers.messages import Demand, Envelope, Grant, GrantEntry

__all__ = ["Authority", "GrantEvents", "GrantsController", "NoAuthority", "Outbox"]

# A demand to a steward also renews the leases that fall due within this time, in
# seconds, so that the endpoints of one steward stay in one message.
BATCH_SECONDS = 1.5
# Longest interval between two publications of the shares, in seconds. Leases expire
# without a message, so the shares can change even if none arrives.
PUBLISH_SECONDS = 1.0
# Shortest interval between two requests to a holder to give back the slots of an
# endpoint that exceed its share, in seconds.
CUT_SECONDS = 0.5


class Outbox(Protocol):
    """Sends messages to other daemons; may lose them, and never waits."""

    def send_demand(self, daemon_id: str, demand: Demand) -> None:
        """Send a demand to a steward."""

    def send_grant(self, daemon_id: str, grant: Grant) -> None:
        """Send a grant to a holder."""


class Authority(Protocol):
    """Holds the platform's lease that makes this daemon the only steward of shards."""

    def set_wanted(self, shards: frozenset[Shard]) -> None:
        """Replace the shards to hold; they are acquired in the background."""

    def held_until(self, shard: Shard) -> float | None:
        """Return until when the shard is held, in monotonic seconds; never waits.

        Returns None if the shard isn't held.
        """


class NoAuthority:
    """The authority of a daemon without a platform, which never holds a shard.

    No slots of cold endpoints are granted under it.
    """

    def set_wanted(self, shards: frozenset[Shard]) -> None:
        """Do nothing."""

    def held_until(self, shard: Shard) -> float | None:
        """Return None."""
        return None


class GrantEvents(NamedTuple):
    """Callbacks of the controller; each is short and never waits."""

    shares_changed: Callable[[dict[str, Share]], None]
    load_received: Callable[[EndpointLoad], None]
    stewarded_changed: Callable[[frozenset[str]], None]


class GrantsController(Controller):
    """Keeps this daemon's leases, and the ledgers of the endpoints stewarded here.

    ``usage`` returns what this daemon does with each endpoint now, by endpoint id.
    """

    def __init__(
        self,
        myself: Member,
        outbox: Outbox,
        authority: Authority,
        usage: Callable[[], Mapping[str, Usage]],
        events: GrantEvents,
        clock: Callable[[], float] = time.monotonic,
    ):
        super().__init__()
        self._id = myself.daemon_id
        self._region = myself.region
        self._outbox = outbox
        self._authority = authority
        self._usage = usage
        self._events = events
        self._clock = clock
        self._leases = HeldLeases(self._id)
        self._ledgers_by_id: dict[str, Ledger] = {}
        self._endpoints_by_id: dict[str, Endpoint] = {}
        self._shard_by_endpoint: dict[str, Shard] = {}
        self._members_by_id: Mapping[str, Member] = {self._id: myself}
        self._steward_by_shard: dict[Shard, str] = {}
        self._usage_by_id: Mapping[str, Usage] = {}
        self._round = 0
        self._cut_at_by_holder: dict[tuple[str, str], float] = {}
        self._stewards_are_stale = True
        self._shares_are_stale = True
        self._published_at = float("-inf")

    def set_endpoints(self, endpoints_by_id: Mapping[str, Endpoint]) -> None:
        """Replace the endpoints of the fleet."""
        if endpoints_by_id == self._endpoints_by_id:
            # The VM list is read every few seconds and seldom changes.
            return
        self._endpoints_by_id = dict(endpoints_by_id)
        self._shard_by_endpoint = {
            endpoint_id: shard_of(endpoint)
            for endpoint_id, endpoint in endpoints_by_id.items()
        }
        used = used_shards(self._id, self._region, endpoints_by_id)
        self._leases.set_endpoints(
            endpoint
            for endpoint_id, endpoint in endpoints_by_id.items()
            if self._shard_by_endpoint[endpoint_id] in used
        )
        self._stewards_are_stale = True

    def set_members(self, serving_by_id: Mapping[str, Member]) -> None:
        """Replace the members that accept work."""
        self._members_by_id = serving_by_id
        self._stewards_are_stale = True

    def tick(self) -> None:
        """Send the demands that are due and publish changed shares.

        The timer service calls it.
        """
        now = self._clock()
        if self._stewards_are_stale:
            # Done at most once per tick, because members change in bursts.
            self._stewards_are_stale = False
            self._assign_stewards(now)
        self._keep_authority(now)
        self._usage_by_id = self._usage()
        for steward, endpoint_ids in self._due_by_steward(now).items():
            self._send_demand(steward, endpoint_ids, now)
        if self._shares_are_stale or now - self._published_at >= PUBLISH_SECONDS:
            self._publish(now)

    def _assign_stewards(self, now: float) -> None:
        self._steward_by_shard = stewards(
            self._members_by_id.values(), set(self._shard_by_endpoint.values())
        )
        before = self._ledgers_by_id
        self._ledgers_by_id = {
            endpoint_id: before.get(endpoint_id) or Ledger(endpoint, now)
            for endpoint_id, endpoint in self._endpoints_by_id.items()
            if self._steward_of(endpoint_id) == self._id
        }
        if self._ledgers_by_id.keys() != before.keys():
            self._events.stewarded_changed(frozenset(self._ledgers_by_id))

    def _steward_of(self, endpoint_id: str) -> str | None:
        return self._steward_by_shard.get(self._shard_by_endpoint[endpoint_id])

    def _keep_authority(self, now: float) -> None:
        wanted = frozenset(
            self._shard_by_endpoint[endpoint_id]
            for endpoint_id, ledger in self._ledgers_by_id.items()
            if ledger.load is not None and ledger.needs_authority
        )
        self._authority.set_wanted(wanted)
        for endpoint_id, ledger in self._ledgers_by_id.items():
            until = self._authority.held_until(self._shard_by_endpoint[endpoint_id])
            if until is not None:
                ledger.record_authority(until, now)

    def _due_by_steward(self, now: float) -> dict[str, list[str]]:
        due_by_steward: dict[str, list[str]] = {}
        for endpoint_id in self._leases.endpoint_ids:
            if self._leases.is_due(endpoint_id, self._usage_of(endpoint_id), now):
                steward = self._steward_of(endpoint_id)
                if steward is not None:
                    due_by_steward.setdefault(steward, []).append(endpoint_id)
        if due_by_steward:
            self._add_soon_due(due_by_steward, now)
        return due_by_steward

    def _add_soon_due(self, due_by_steward: dict[str, list[str]], now: float) -> None:
        for endpoint_id in self._leases.endpoint_ids:
            due = due_by_steward.get(self._steward_of(endpoint_id))
            if due is None or endpoint_id in due:
                continue
            if self._leases.is_due(
                endpoint_id, self._usage_of(endpoint_id), now + BATCH_SECONDS
            ):
                due.append(endpoint_id)

    def _usage_of(self, endpoint_id: str) -> Usage:
        return self._usage_by_id.get(endpoint_id, Usage())

    def _send_demand(
        self, steward: str, endpoint_ids: Iterable[str], now: float
    ) -> None:
        self._round += 1
        entries = tuple(
            self._leases.ask(
                endpoint_id, steward, self._round, self._usage_of(endpoint_id), now
            )
            for endpoint_id in endpoint_ids
        )
        demand = Demand(self._round, entries)
        if steward == self._id:
            for grant in self._answer(self._id, demand, now):
                self._apply_grant(self._id, grant)
        else:
            self._outbox.send_demand(steward, demand)

    def receive_demand(self, envelope: Envelope) -> None:
        """Answer a demand that another daemon sent to this one as the steward."""
        holder = f"{envelope.sender}/{envelope.incarnation}"
        for grant in self._answer(holder, envelope.body, self._clock()):
            self._outbox.send_grant(envelope.sender, grant)

    def _answer(self, holder: str, demand: Demand, now: float) -> list[Grant]:
        entries_by_lifetime: dict[float, list[GrantEntry]] = {}
        for entry in demand.entries:
            lifetime, answer = self._answer_entry(holder, demand.round, entry, now)
            entries_by_lifetime.setdefault(lifetime, []).append(answer)
        return [
            Grant(demand.round, lifetime, tuple(entries))
            for lifetime, entries in entries_by_lifetime.items()
        ]

    def _answer_entry(
        self, holder: str, round: int, entry: DemandEntry, now: float
    ) -> tuple[float, GrantEntry]:
        ledger = self._ledgers_by_id.get(entry.endpoint_id)
        shard = self._shard_by_endpoint.get(entry.endpoint_id)
        # A peer may not know yet that the endpoint has left the list.
        if ledger is None or shard is None:
            return 0.0, GrantEntry(entry.endpoint_id, 0, False, None)
        until = self._authority.held_until(shard)
        limit = ledger.limit
        granted = ledger.demand(holder, round, entry, now, until)
        if ledger.limit < limit or ledger.is_short(now):
            self._cut(entry.endpoint_id, ledger, now)
        load = self._with_age(ledger.load, now)
        if granted is None:
            return 0.0, GrantEntry(entry.endpoint_id, 0, False, load)
        return granted.lifetime, GrantEntry(
            entry.endpoint_id, granted.slots, True, load
        )

    @staticmethod
    def _with_age(load: EndpointLoad | None, now: float) -> EndpointLoad | None:
        """Return the report with its age in place of the time on this clock."""
        if load is None:
            return None
        return load._replace(reported_at=max(0.0, now - load.reported_at))

    def _cut(self, endpoint_id: str, ledger: Ledger, now: float) -> None:
        """Ask holders that have more than their share to give the excess back.

        Slots count as leased until the holder's next demand shows that they were given
        back, so that the loss of this message causes nothing but a delay.
        """
        for holder, slots in ledger.over_share(now).items():
            if now - self._cut_at_by_holder.get((endpoint_id, holder), 0) < CUT_SECONDS:
                continue
            self._cut_at_by_holder[endpoint_id, holder] = now
            grant = Grant(0, 0.0, (GrantEntry(endpoint_id, slots, True, None),))
            daemon_id = holder.partition("/")[0]
            if daemon_id == self._id:
                self._leases.cut(endpoint_id, slots)
            else:
                self._outbox.send_grant(daemon_id, grant)

    def receive_grant(self, envelope: Envelope) -> None:
        """Apply a steward's answer to a demand, or its request to give slots back."""
        self._apply_grant(envelope.sender, envelope.body)

    def _apply_grant(self, steward: str, grant: Grant) -> None:
        now = self._clock()
        self._shares_are_stale = True
        for entry in grant.entries:
            if entry.load is not None:
                self._apply_load(entry.load, now)
            if grant.round == 0:
                self._leases.cut(entry.endpoint_id, entry.slots)
            elif entry.is_steward:
                self._leases.take(
                    entry.endpoint_id, steward, grant.round, entry.slots, grant.lifetime
                )

    def _apply_load(self, load: EndpointLoad, now: float) -> None:
        load = load._replace(reported_at=now - load.reported_at)
        self._leases.record_load(load)
        self._events.load_received(load)

    def report_load(self, load: EndpointLoad) -> None:
        """Record the load of an endpoint that this daemon is steward of."""
        ledger = self._ledgers_by_id.get(load.endpoint_id)
        if ledger is None:
            return
        now = self._clock()
        limit = ledger.limit
        ledger.report(load, now)
        if ledger.limit < limit:
            self._cut(load.endpoint_id, ledger, now)

    def record_trouble(self, endpoint_id: str, trouble: Trouble) -> None:
        """Stop using an endpoint that seems cold, and report this to its steward."""
        self._leases.record_trouble(endpoint_id, trouble, self._clock())
        self._shares_are_stale = True

    def _publish(self, now: float) -> None:
        self._shares_are_stale = False
        self._published_at = now
        daemon_ids = list(self._members_by_id)
        shares = {}
        for endpoint_id in self._leases.endpoint_ids:
            share = self._leases.share(endpoint_id, daemon_ids, now)
            if share is not None:
                shares[endpoint_id] = share
        self._events.shares_changed(shares)
