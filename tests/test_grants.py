"""Leases of an endpoint's slots: single cases.

Guards against leases that together exceed what the endpoint can run: a new steward has
no record of earlier leases, or requests still run after their lease was reduced or has
lapsed. Also guards against a holder with high demand that takes the slots of others,
and against a warm endpoint that stays idle when its steward is lost.

Random sequences of messages and failures are in ``test_grants_machine.py``.
"""

from cranberrywick.decisions.cold_start import Trouble
from cranberrywick.decisions.division import divide, fallback_slots
from cranberrywick.decisions.grants import (
    LEASE_SECONDS,
    DemandEntry,
    Granted,
    Ledger,
)
from cranberrywick.decisions.leases import HeldLeases, Usage
from cranberrywick.model import Endpoint, EndpointKind, EndpointLoad, EndpointPhase

ENDPOINT = Endpoint("r1", EndpointKind.ENGINE, "10.0.0.9:1", "fd-1", "north", slots=8)
# A time, in seconds, at which a steward since 0 no longer only renews leases.
LATER = 20.0


def load(at, phase=EndpointPhase.WARM, incarnation=1, running=0):
    return EndpointLoad("r1", incarnation, phase, at, running=running)


def warm_ledger():
    ledger = Ledger(ENDPOINT, 0.0)
    ledger.report(load(LATER), LATER)
    return ledger


def want(wanted, **fields):
    return DemandEntry("r1", wanted, **{"in_use": 0, **fields})


class TestDivide:
    """Division of slots by demand."""

    def test_high_demand_of_one_holder_leaves_the_others_their_demand(self):
        assert divide(8, {"hot": 100, "b": 2, "c": 2}, 0.0, "r1") == {
            "hot": 4,
            "b": 2,
            "c": 2,
        }

    def test_unwanted_slots_go_to_the_holder_that_wants_more(self):
        assert divide(8, {"hot": 100, "b": 0}, 0.0, "r1") == {"hot": 8, "b": 0}

    def test_half_of_the_unwanted_slots_is_leased_in_advance(self):
        shares = divide(8, dict.fromkeys("abcdefghi", 0), 0.5, "r1")
        assert sorted(shares.values()) == [0, 0, 0, 0, 0, 1, 1, 1, 1]

    def test_remaining_slots_go_to_different_holders_at_different_endpoints(self):
        holders = {
            max(shares := divide(1, {"a": 1, "b": 1, "c": 1}, 0.0, key), key=shares.get)
            for key in ("r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8")
        }
        assert holders == {"a", "b", "c"}


class TestWarm:
    """Leases of a warm endpoint."""

    def test_a_new_holder_gets_its_share_after_the_others_give_slots_back(self):
        ledger = warm_ledger()
        assert ledger.demand("a", 1, want(8), LATER) == Granted(8, LEASE_SECONDS)
        assert ledger.demand("b", 1, want(8), LATER).slots == 0
        assert ledger.is_short(LATER)
        assert ledger.over_share(LATER) == {"a": 4}
        assert ledger.demand("a", 2, want(8, held=4), LATER + 1).slots == 4
        assert ledger.demand("b", 2, want(8), LATER + 1).slots == 4

    def test_running_requests_count_after_their_lease_was_reduced(self):
        ledger = warm_ledger()
        ledger.demand("a", 1, want(8), LATER)
        ledger.demand("b", 1, want(8), LATER)
        ledger.demand("a", 2, want(8, held=8, in_use=6), LATER + 1)
        ledger.demand("a", 3, want(8, held=4, in_use=6), LATER + 2)
        assert ledger.demand("b", 2, want(8), LATER + 2).slots == 2

    def test_a_new_steward_only_renews_the_leases_that_holders_report(self):
        """A steward died; its leases are in force, but its successor has no record.

        The holders send demands to the successor before their leases lapse and keep
        what they hold, so that no capacity is idle. A daemon that holds nothing gets
        no answer for as long as a lease without a record may last.
        """
        ledger = Ledger(ENDPOINT, 100.0)
        ledger.report(load(100.5), 100.5)
        assert ledger.demand("a", 1, want(8, held=3), 101.0) == Granted(3, 9.0)
        assert ledger.demand("b", 1, want(8), 101.0) is None
        assert ledger.demand("a", 2, want(8, held=3), 109.0) == Granted(3, 9.0)
        assert ledger.demand("b", 2, want(8), 111.0).slots == 4

    def test_no_answer_before_the_first_report(self):
        assert Ledger(ENDPOINT, 0.0).demand("a", 1, want(1, held=1), LATER) is None


class TestCold:
    """Leases of an endpoint in cold start or on the ramp after it."""

    def cold_ledger(self, running=0):
        """Return the ledger of a steward that holds the platform's lease."""
        ledger = Ledger(ENDPOINT, 0.0)
        ledger.record_authority(LATER + 15, LATER - 1)
        ledger.report(load(LATER, EndpointPhase.COLD, running=running), LATER)
        return ledger

    def test_nine_daemons_together_get_one_slot(self):
        ledger = self.cold_ledger()
        granted = [
            ledger.demand(f"e{i}", 1, want(5), LATER, LATER + 15).slots
            for i in range(9)
        ]
        assert sum(granted) == 1

    def test_nothing_is_granted_without_the_platforms_lease(self):
        ledger = self.cold_ledger()
        assert ledger.demand("a", 1, want(1), LATER) == Granted(0, 0.0)

    def test_no_lease_outlives_the_platforms_lease(self):
        ledger = self.cold_ledger()
        assert ledger.demand("a", 1, want(1), LATER, LATER + 2.5) == Granted(1, 2.5)

    def test_work_under_a_previous_stewards_leases_delays_grants(self):
        """A steward was lost while one request ran under its lease.

        The next steward has no record of that lease. It sees the request in the
        endpoint's report, and grants when a later report shows that it has ended.
        """
        ledger = self.cold_ledger(running=1)
        assert ledger.demand("a", 1, want(1), LATER, 99.0).slots == 0
        ledger.report(load(LATER + 1, EndpointPhase.COLD), LATER + 1)
        assert ledger.demand("a", 2, want(1), LATER + 1, 99.0).slots == 1

    def test_work_under_another_stewards_authority_delays_grants(self):
        """Two daemons act as steward, and the platform's lease passes to the other.

        While the first had the lease, the second received a report that nothing ran.
        Work sent since then is in no report that the second has. So it ignores that
        report and grants only after one dated from after it got the lease.
        """
        ledger = self.cold_ledger()
        late = LATER + 60
        assert ledger.demand("a", 1, want(1), late, late + 15) == Granted(0, 0.0)
        ledger.report(load(late + 2, EndpointPhase.COLD, running=1), late + 2)
        assert ledger.demand("a", 2, want(1), late + 2, late + 15).slots == 0
        ledger.report(load(late + 3, EndpointPhase.COLD), late + 3)
        assert ledger.demand("a", 3, want(1), late + 3, late + 15).slots == 1

    def test_work_of_a_silent_holder_delays_grants(self):
        """A holder with a lease is suspended; its request may still be running.

        After the lease has lapsed, its slot is not granted again until a report dated
        from after the lapse shows that nothing runs.
        """
        ledger = self.cold_ledger()
        ledger.demand("a", 1, want(1), LATER, 99.0)
        lapsed = LATER + LEASE_SECONDS + 0.1
        assert ledger.demand("b", 0, want(1), lapsed, 99.0).slots == 0
        before_the_lapse = load(LATER + LEASE_SECONDS - 0.1, EndpointPhase.COLD)
        ledger.report(before_the_lapse, lapsed)
        assert ledger.demand("b", 1, want(1), lapsed, 99.0).slots == 0
        ledger.report(load(lapsed + 2, EndpointPhase.COLD), lapsed + 2)
        assert ledger.demand("b", 2, want(1), lapsed + 2, 99.0).slots == 1

    def test_one_cold_refusal_ends_all_grants(self):
        """A warm endpoint has turned cold, which its reports don't show yet.

        One daemon's request was refused for that reason. From this daemon's next
        demand on, nothing is granted without the platform's lease, and the other
        holders are asked to reduce their leases.
        """
        ledger = warm_ledger()
        ledger.demand("a", 1, want(4), LATER)
        ledger.demand("b", 1, want(4), LATER)
        cold_demand = want(4, held=0, trouble=Trouble.COLD, incarnation=1)
        assert ledger.demand("a", 2, cold_demand, LATER + 1).slots == 0
        assert ledger.limit == 1
        assert ledger.over_share(LATER + 1).keys() == {"b"}
        assert ledger.load.phase is EndpointPhase.COLD

    def test_a_ramp_continues_after_the_loss_of_its_steward(self):
        """A steward is lost during a ramp, and the endpoint reports itself warm.

        The holders' last reports from the steward say cold. Their demands pass this
        on to the next steward, which starts the ramp again from the cold slots.
        """
        ledger = Ledger(ENDPOINT, 0.0)
        ledger.demand("a", 1, want(2, held=1, was_cold=True, incarnation=1), 1.0)
        ledger.report(load(1.5), 1.5)
        assert ledger.limit == 1


class TestHolder:
    """The leases as their holder counts them."""

    def setup_method(self):
        self.leases = HeldLeases("e1")
        self.leases.set_endpoints([ENDPOINT])

    def ask(self, round, now, steward="e2", wanted=4):
        return self.leases.ask("r1", steward, round, Usage(wanted), now)

    def test_a_lease_counts_from_the_sending_of_the_demand(self):
        self.ask(1, now=0.0)
        assert self.leases.take("r1", "e2", 1, 4, 9.0)
        assert self.leases.leased("r1", 8.9) == 4
        assert self.leases.leased("r1", 9.0) == 0

    def test_only_the_answer_to_the_newest_demand_is_accepted(self):
        self.ask(1, now=0.0)
        self.ask(2, now=1.0)
        assert not self.leases.take("r1", "e2", 1, 8, 9.0)
        assert not self.leases.take("r1", "e3", 2, 8, 9.0)
        assert self.leases.take("r1", "e2", 2, 2, 9.0)
        assert not self.leases.take("r1", "e2", 2, 8, 9.0)
        assert self.leases.leased("r1", 1.0) == 2

    def test_trouble_stops_sending_at_once_and_is_reported(self):
        self.ask(1, now=0.0)
        self.leases.take("r1", "e2", 1, 4, 9.0)
        self.ask(2, now=1.0)
        self.leases.record_trouble("r1", Trouble.COLD, now=1.1)
        assert self.leases.leased("r1", 1.1) == 0
        self.leases.take("r1", "e2", 2, 4, 9.0)
        assert self.leases.leased("r1", 1.2) == 0
        assert self.ask(3, now=1.3).trouble is Trouble.COLD

    def test_without_a_steward_a_warm_endpoint_is_divided_evenly(self):
        self.leases.record_load(load(0.0))
        self.ask(1, now=0.0)
        assert self.leases.share("r1", ["e1", "e2"], 0.1) is None
        assert self.leases.share("r1", ["e1", "e2"], 0.6).slots == 4

    def test_without_a_steward_a_cold_or_unknown_endpoint_is_not_used(self):
        self.ask(1, now=0.0)
        assert self.leases.share("r1", ["e1"], 5.0) is None
        self.leases.record_load(load(0.0, EndpointPhase.COLD))
        assert self.leases.share("r1", ["e1"], 5.0) is None

    def test_overload_does_not_increase_the_rate_of_demands(self):
        asked = 0
        for tick in range(600):
            now = tick / 10
            if self.leases.is_due("r1", Usage(wanted=50), now):
                asked += 1
                self.ask(asked, now, wanted=50)
                self.leases.take("r1", "e2", asked, 1, 9.0)
        assert asked <= 30

    def test_fallback_slots_add_up_to_the_slots(self):
        ids = [f"e{i}" for i in range(9)]
        assert sum(fallback_slots(ENDPOINT, id, ids) for id in ids) == ENDPOINT.slots
