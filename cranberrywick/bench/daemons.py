"""Several daemons that send to one fleet, each with its own strategy and state.

Callers spread their requests over the daemons. Load reports and orders reach all of
them, and they share nothing else, so that each sees the others' requests only in the
endpoints' delayed reports. The benchmark shows how far they overload endpoints.

With leases, one ledger for each endpoint grants its slots, as in the product, and each
daemon sends its demand after each report. Messages are neither lost nor late here; the
tests of the grants cover what that does to leases.
"""

from collections import Counter
from collections.abc import Mapping

from cranberrywick.decisions.grants import LEASE_SECONDS, DemandEntry, Ledger
from cranberrywick.decisions.strategies import make_strategy
from cranberrywick.decisions.strategy import Strategy
from cranberrywick.model import (
    ClassTargets,
    Endpoint,
    EndpointLoad,
    GiveUp,
    Queued,
    Refused,
    Retry,
    Send,
    SendResult,
    Settled,
    Share,
    Work,
)

__all__ = ["Daemons"]


# Time at which the ledgers' stewards started, in seconds. A ledger grants nothing until
# a lease's lifetime after that, so that the run starts with ledgers that grant.
STEWARD_SINCE_SECONDS = -100.0
# Slots that a daemon requests beyond those it has in use.
SPARE_SLOTS_WANTED = 2


class _Leases:
    """The ledger of each endpoint, and the shares that each daemon holds."""

    def __init__(self, number: int):
        self._number = number
        self._ledgers_by_id: dict[str, Ledger] = {}
        self._round = 0
        self.shares_by_daemon: list[dict[str, Share]] = [{} for _ in range(number)]
        self.in_use: Counter[tuple[int, str]] = Counter()
        self.completed: Counter[tuple[int, str]] = Counter()

    def set_endpoints(self, endpoints_by_id: Mapping[str, Endpoint]) -> None:
        for endpoint_id, endpoint in endpoints_by_id.items():
            ledger = Ledger(endpoint, STEWARD_SINCE_SECONDS)
            self._ledgers_by_id[endpoint_id] = ledger

    def send_demands(self, load: EndpointLoad, now: float) -> None:
        """Send each daemon's demand to the endpoint's ledger, after a load report."""
        ledger = self._ledgers_by_id[load.endpoint_id]
        ledger.report(load, now)
        self._round += 1
        for index, shares in enumerate(self.shares_by_daemon):
            here = (index, load.endpoint_id)
            held = shares.get(load.endpoint_id)
            is_held = held is not None and held.expires_at > now
            entry = DemandEntry(
                load.endpoint_id,
                wanted=self.in_use[here] + SPARE_SLOTS_WANTED,
                in_use=self.in_use[here],
                held=held.slots if is_held else 0,
                completed=self.completed[here],
                incarnation=load.incarnation,
            )
            granted = ledger.demand(
                f"daemon-{index}", self._round, entry, now, now + LEASE_SECONDS
            )
            if granted is not None:
                until = now + granted.lifetime
                shares[load.endpoint_id] = Share(load.endpoint_id, granted.slots, until)


class Daemons(Strategy):
    """Offers requests to ``number`` daemons in turn, and passes all else to every one.

    ``name`` is the strategy of each daemon.
    """

    def __init__(self, name: str, number: int, seed: int, with_leases: bool = False):
        super().__init__(seed)
        self._leases = _Leases(number) if with_leases else None
        self._sent_by_work: dict[str, tuple[int, str]] = {}
        self._daemons = [
            make_strategy(name, seed * number + index) for index in range(number)
        ]
        self._daemon_by_work: dict[str, Strategy] = {}
        self._offer_count = 0

    def offer(self, work: Work, now: float) -> Queued | Refused:
        """Offer the work to the next daemon."""
        daemon = self._daemons[self._offer_count % len(self._daemons)]
        self._offer_count += 1
        self._daemon_by_work[work.work_id] = daemon
        return daemon.offer(work, now)

    def poll(self, now: float) -> list[Send | GiveUp]:
        """Return the actions of all daemons."""
        actions = []
        for index, daemon in enumerate(self._daemons):
            for action in daemon.poll(now):
                actions.append(action)
                if isinstance(action, Send):
                    self._count_sent(action.work_id, index, action.endpoint_ids[0])
        return actions

    def _count_sent(self, work_id: str, index: int, endpoint_id: str) -> None:
        self._sent_by_work[work_id] = (index, endpoint_id)
        if self._leases is not None:
            self._leases.in_use[index, endpoint_id] += 1

    def _count_ended(self, work_id: str, succeeded: bool) -> None:
        here = self._sent_by_work.pop(work_id, None)
        if here is not None and self._leases is not None:
            self._leases.in_use[here] -= 1
            self._leases.completed[here] += succeeded

    def next_wake(self, now: float) -> float | None:
        """Return the earliest time at which a daemon is to be polled."""
        wakes = [daemon.next_wake(now) for daemon in self._daemons]
        return min((wake for wake in wakes if wake is not None), default=None)

    def first_token(self, work_id: str, now: float) -> None:
        """Pass the event to the daemon that sent the work."""
        self._daemon_by_work[work_id].first_token(work_id, now)

    def finished(
        self, work_id: str, result: SendResult, now: float
    ) -> Settled | Retry | Refused:
        """Pass the event to the daemon that sent the work."""
        self._count_ended(work_id, result.succeeded)
        return self._daemon_by_work[work_id].finished(work_id, result, now)

    def withdraw(self, work_id: str, now: float) -> None:
        """Withdraw the work from the daemon that has it."""
        self._count_ended(work_id, succeeded=False)
        self._daemon_by_work[work_id].withdraw(work_id, now)

    def set_endpoints(
        self, endpoints_by_id: Mapping[str, Endpoint], now: float
    ) -> None:
        """Pass the change to every daemon."""
        if self._leases is not None:
            self._leases.set_endpoints(endpoints_by_id)
        for daemon in self._daemons:
            daemon.set_endpoints(endpoints_by_id, now)

    def set_targets(self, targets_by_class: Mapping[str, ClassTargets]) -> None:
        """Pass the change to every daemon."""
        for daemon in self._daemons:
            daemon.set_targets(targets_by_class)

    def set_domains_out(self, domains: frozenset[str], now: float) -> None:
        """Pass the change to every daemon."""
        for daemon in self._daemons:
            daemon.set_domains_out(domains, now)

    def set_shares(self, shares_by_endpoint: Mapping[str, Share], now: float) -> None:
        """Pass the change to every daemon."""
        for daemon in self._daemons:
            daemon.set_shares(shares_by_endpoint, now)

    def report_load(self, load: EndpointLoad, now: float) -> None:
        """Pass the report to every daemon, and renew the leases."""
        for daemon in self._daemons:
            daemon.report_load(load, now)
        if self._leases is None:
            return
        self._leases.send_demands(load, now)
        for daemon, shares in zip(
            self._daemons, self._leases.shares_by_daemon, strict=True
        ):
            daemon.set_shares(shares, now)
