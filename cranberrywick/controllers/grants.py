"""Asks stewards for slots, and hands out those of the endpoints stewarded here.

One actor does both sides. It sends through the peers' node, reads the members from
its snapshots, and tells the rest of the daemon of new shares by a callback; a
request never waits for it.
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

# A demand to a steward also renews what would fall due within this time, so that
# endpoints of one steward stay in one message.
BATCH_SECONDS = 1.5
# Shares are told again this often though nothing was asked, for some have expired.
PUBLISH_SECONDS = 1.0
# A holder over its share is asked to give back at most this often.
CUT_SECONDS = 0.5


class Outbox(Protocol):
    """Where messages to other daemons go; it may lose them, and never waits."""

    def send_demand(self, daemon_id: str, demand: Demand) -> None:
        """Send to a steward."""

    def send_grant(self, daemon_id: str, grant: Grant) -> None:
        """Send to a holder."""


class Authority(Protocol):
    """The platform's word that this daemon alone is steward of a shard."""

    def set_wanted(self, shards: frozenset[Shard]) -> None:
        """Replace the shards to hold; they are taken and kept in the background."""

    def held_until(self, shard: Shard) -> float | None:
        """Return until when the shard is held, None if it is not; never waits."""


class NoAuthority:
    """Without a platform there is none, and cold endpoints get nothing."""

    def set_wanted(self, shards: frozenset[Shard]) -> None:
        """Ignore the wish."""

    def held_until(self, shard: Shard) -> float | None:
        """Return None."""
        return None


class GrantEvents(NamedTuple):
    """Callbacks of the controller; each is short and never waits."""

    shares_changed: Callable[[dict[str, Share]], None]
    load_received: Callable[[EndpointLoad], None]
    stewarded_changed: Callable[[frozenset[str]], None]


class GrantsController(Controller):
    """Keeps this daemon's leases and the ledgers of its endpoints."""

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
        self._is_stale = True
        self._is_dirty = True
        self._published_at = float("-inf")

    def set_endpoints(self, endpoints_by_id: Mapping[str, Endpoint]) -> None:
        """Replace the endpoints of the fleet."""
        if endpoints_by_id == self._endpoints_by_id:
            # The VM list comes every few seconds and seldom changes.
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
        self._is_stale = True

    def set_members(self, serving_by_id: Mapping[str, Member]) -> None:
        """Replace the members that take work."""
        self._members_by_id = serving_by_id
        self._is_stale = True

    def tick(self) -> None:
        """Ask for what is due and tell of changes; called by the timer service."""
        now = self._clock()
        if self._is_stale:
            # Once a tick at most: members change in bursts.
            self._is_stale = False
            self._assign_stewards(now)
        self._keep_authority(now)
        self._usage_by_id = self._usage()
        for steward, endpoint_ids in self._due_by_steward(now).items():
            self._ask(steward, endpoint_ids, now)
        if self._is_dirty or now - self._published_at >= PUBLISH_SECONDS:
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

    def _ask(self, steward: str, endpoint_ids: Iterable[str], now: float) -> None:
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
                self._take_grant(self._id, grant)
        else:
            self._outbox.send_demand(steward, demand)

    def demanded(self, envelope: Envelope) -> None:
        """Answer a daemon's demand."""
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
        if ledger is None:
            return 0.0, GrantEntry(entry.endpoint_id, 0, False, None)
        until = self._authority.held_until(self._shard_by_endpoint[entry.endpoint_id])
        limit = ledger.limit
        granted = ledger.demand(holder, round, entry, now, until)
        if ledger.limit < limit or ledger.is_short(now):
            self._cut(entry.endpoint_id, ledger, now)
        load = self._aged(ledger.load, now)
        if granted is None:
            return 0.0, GrantEntry(entry.endpoint_id, 0, False, load)
        return granted.lifetime, GrantEntry(
            entry.endpoint_id, granted.slots, True, load
        )

    @staticmethod
    def _aged(load: EndpointLoad | None, now: float) -> EndpointLoad | None:
        """Return the report with its age in place of the time on our clock."""
        if load is None:
            return None
        return load._replace(reported_at=max(0.0, now - load.reported_at))

    def _cut(self, endpoint_id: str, ledger: Ledger, now: float) -> None:
        # What is given back shows in the holders' next demands; until then it
        # counts as leased, so a lost cut costs time and nothing else.
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

    def granted(self, envelope: Envelope) -> None:
        """Take a steward's answer, or its wish to have slots back."""
        self._take_grant(envelope.sender, envelope.body)

    def _take_grant(self, steward: str, grant: Grant) -> None:
        now = self._clock()
        self._is_dirty = True
        for entry in grant.entries:
            if entry.load is not None:
                self._take_load(entry.load, now)
            if grant.round == 0:
                self._leases.cut(entry.endpoint_id, entry.slots)
            elif entry.is_steward:
                self._leases.take(
                    entry.endpoint_id, steward, grant.round, entry.slots, grant.lifetime
                )

    def _take_load(self, load: EndpointLoad, now: float) -> None:
        load = load._replace(reported_at=now - load.reported_at)
        self._leases.record_load(load)
        self._events.load_received(load)

    def report_load(self, load: EndpointLoad) -> None:
        """Take a report of an endpoint that this daemon is steward of."""
        ledger = self._ledgers_by_id.get(load.endpoint_id)
        if ledger is None:
            return
        now = self._clock()
        limit = ledger.limit
        ledger.report(load, now)
        if ledger.limit < limit:
            self._cut(load.endpoint_id, ledger, now)

    def record_trouble(self, endpoint_id: str, trouble: Trouble) -> None:
        """Stop using an endpoint that seems cold, and tell its steward."""
        self._leases.record_trouble(endpoint_id, trouble, self._clock())
        self._is_dirty = True

    def _publish(self, now: float) -> None:
        self._is_dirty = False
        self._published_at = now
        daemon_ids = list(self._members_by_id)
        shares = {}
        for endpoint_id in self._leases.endpoint_ids:
            share = self._leases.share(endpoint_id, daemon_ids, now)
            if share is not None:
                shares[endpoint_id] = share
        self._events.shares_changed(shares)
