"""The store of a soak run, which is put back to older copies.

What operators and endpoints have written is written again some time after a return;
what gateways have written is lost.
"""

import random
from collections import defaultdict
from typing import NamedTuple

from cut_fleet import CutFleet
from endpoint_promises import DRAIN_SECONDS, Disturbance, TimedCall
from gateway_fleet import Fleet

WRITERS_PREFIXES = ("op/", "servers/")
# Number of copies to choose from; faults follow one another, so that the oldest is some
# seconds old.
COPIES = 8
# Time for which a gateway must have been undisturbed to be held to the store's word, in
# seconds; that of `gateway_settings`.
CONTACT_SECONDS = 3.0


class RecordedDrain(NamedTuple):
    """A time in which an endpoint's record said that it was draining.

    It ends with the next start of the endpoint.
    """

    endpoint_id: str
    begun_at: float
    ended_at: float


class SoakStore:
    """Saves copies of a fleet's store and puts it back to them."""

    def __init__(self, fleet: Fleet, rng: random.Random):
        self._fleet = fleet
        self._rng = rng
        self._copies = []
        # What the store held after the last return or rewriting, and what operators
        # and endpoints have written last under each key; None for a removed one.
        self._restored: dict[str, bytes] = {}
        self._newest: dict[str, bytes | None] = {}

    def save(self) -> None:
        """Save a copy of the store."""
        copy = self._fleet.on_loop(self._fleet.store.copy)
        self._copies = [*self._copies, copy][-COPIES:]

    @property
    def has_copies(self) -> bool:
        """Whether there is a copy to go back to."""
        return bool(self._copies)

    def go_back(self) -> None:
        """Put the store back to one of the copies, until `write_again`."""
        self._fleet.on_loop(self._go_back, self._rng.choice(self._copies))

    def _go_back(self, copy) -> None:
        self._record_writes()
        self._fleet.store.restore(copy)
        self._restored = _written(copy.items)

    def write_again(self) -> None:
        """Write what was lost."""
        self._fleet.on_loop(self._write_again)

    def _write_again(self) -> None:
        store = self._fleet.store
        present = self._record_writes()
        for key, value in self._newest.items():
            if value is None:
                store.remove(key)
            elif present.get(key) != value:
                store.put(key, value)
        self._restored = _written(store.copy().items)

    def _record_writes(self) -> dict[str, bytes]:
        """Record what was written since the last return; return the store's content."""
        present = _written(self._fleet.store.copy().items)
        for key in present.keys() | self._restored.keys():
            if present.get(key) != self._restored.get(key):
                self._newest[key] = present.get(key)
        return present


def _written(items) -> dict[str, bytes]:
    return {k: i.value for k, i in items.items() if k.startswith(WRITERS_PREFIXES)}


def late_at_recorded_drain(
    fleet: CutFleet,
    calls: list[TimedCall],
    drain: RecordedDrain,
    disturbances: list[Disturbance],
) -> int:
    """Count requests that reached an endpoint after the bound of its recorded drain.

    Those that a gateway took or sent on that was disturbed, or whose store was, within
    `CONTACT_SECONDS` before the request don't count.
    """
    names_by_request: dict[str, set[str]] = defaultdict(set)
    for arrival in fleet.endpoints[drain.endpoint_id].arrivals:
        if arrival.at < drain.ended_at:
            sender = fleet.names_by_ip.get(arrival.source, "")
            names_by_request[arrival.request_id] |= {sender, "store"}
    return sum(
        call.request_id in names_by_request
        and drain.begun_at + DRAIN_SECONDS < call.sent_at < drain.ended_at
        and not any(
            each.name in {call.gateway, *names_by_request[call.request_id]}
            and each.begun_at < call.sent_at
            and call.sent_at - CONTACT_SECONDS < each.ended_at
            for each in disturbances
        )
        for call in calls
    )
