"""The limits on one daemon's platform calls, in a burst and around an outage.

Guards against daemons that together exceed the platform's rates, because one sends more
than its part or all return from an outage at once with their full rate. Also guards
against calls that go on reaching a platform in an outage, and against conflicts that
are mistaken for one. Rates are calls a second of the whole fleet; the clock advances
only when a test sets it on or a call waits.
"""

import random

import pytest

from cranberrywick.errors import PlatformUnavailable
from cranberrywick.external.budget import BudgetedKeyValueStore, PlatformRates
from cranberrywick.external.call_limits import (
    OUTAGE_FAILURES,
    PROBE_MAXIMUM_SECONDS,
    RAMP_SECONDS,
    OutageGuard,
)
from cranberrywick.external.exchange import RateLimited
from cranberrywick.external.key_value import RevisionConflict
from cranberrywick.standin.kv import InProcessKeyValueStore, KeyValueStandIn


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now

    def sleep(self, seconds):
        self.now += seconds


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def standin():
    return KeyValueStandIn()


def make_store(standin, clock, daemons=1, seed=1, rates=None):
    return BudgetedKeyValueStore(
        InProcessKeyValueStore(standin),
        daemons=daemons,
        rates=rates or PlatformRates(writes=10.0, reads=100.0),
        clock=clock,
        sleep=clock.sleep,
        seed=seed,
    )


def test_calls_are_counted_by_kind(standin, clock):
    store = make_store(standin, clock)
    store.put("k", "v")
    store.get("k")
    store.list("k")
    store.watch("k", 0, 0.0)
    store.end_lease(store.keep_alive(store.grant_lease(5.0).lease_id).lease_id)
    store.delete("k")
    assert store.calls_by_kind == {
        **{kind: 1 for kind in ("put", "get", "list", "watch", "delete")},
        "lease": 3,
    }


def test_a_burst_is_allowed_and_then_limited_to_the_rate(standin, clock):
    """One of two daemons has far more to write than its part of 10 writes a second.

    It may make one burst, then five writes a second. A call that would wait longer
    than a second is refused, and reads are still possible.
    """
    store = make_store(standin, clock, daemons=2)
    # Like many threads that wait at the same time: a wait does not advance the clock.
    store._sleep = lambda seconds: None
    for _ in range(1000):
        try:
            store.put("k", "v")
        except RateLimited as error:
            assert error.retry_after > 0
            clock.now += 0.05
    burst = 25
    assert store.calls_by_kind["put"] <= burst + 5.0 * (clock.now + 1.0)
    assert store.calls_by_kind["put"] >= 5.0 * clock.now
    assert store.refused_by_kind["put"] > 0
    store.get("k")


def test_the_part_follows_the_number_of_daemons(standin, clock):
    store = make_store(standin, clock)
    store.set_daemons(320)
    with pytest.raises(RateLimited):
        for _ in range(20):
            store.put("k", "v")
    assert store.calls_by_kind["put"] == 8


def test_a_conflict_is_an_answer_and_no_failure(standin, clock):
    store = make_store(standin, clock)
    store.put("k", "v")
    for _ in range(OUTAGE_FAILURES):
        with pytest.raises(RevisionConflict):
            store.put("k", "w", expected_revision=0)
    assert not store.in_outage


def test_in_an_outage_calls_are_refused_at_once_and_the_platform_is_probed(
    standin, clock
):
    """The platform is unavailable for a minute, and a daemon makes ten calls a second.

    Fewer than 40 of these 600 calls may reach the platform; every call fails and states
    a time to retry of at most the longest pause between probes. After the outage a
    probe must find the platform within 20 seconds.
    """
    store = make_store(standin, clock)
    standin.faults.set("outage")
    for _ in range(600):
        with pytest.raises(PlatformUnavailable) as caught:
            store.get("k")
        assert caught.value.retry_after <= PROBE_MAXIMUM_SECONDS
        clock.now += 0.1
    assert store.in_outage
    assert store.calls_by_kind["get"] < 40
    standin.faults.clear()
    for _ in range(200):
        clock.now += 0.1
        try:
            store.get("k")
            break
        except PlatformUnavailable:
            continue
    assert not store.in_outage


def test_a_fleet_returns_from_an_outage_without_a_thundering_herd():
    """Sixty daemons see the same outage, each with more to write than its part.

    Their probes are spread over time, and each daemon starts with a tenth of its
    rate. Otherwise all would send their whole burst in the first second.
    """
    guards = [OutageGuard(random.Random(seed)) for seed in range(60)]
    for guard in guards:
        for _ in range(OUTAGE_FAILURES + 8):
            guard.failed(0.0)
    probes_by_second = [0] * (int(PROBE_MAXIMUM_SECONDS) + 1)
    for guard in guards:
        probes_by_second[int(guard.retry_after(0.0))] += 1
    assert max(probes_by_second) <= 20
    guard = guards[0]
    assert guard.succeeded(10.0)
    assert guard.share(10.0) == pytest.approx(0.1)
    assert guard.share(10.0 + RAMP_SECONDS / 2) == pytest.approx(0.55)
    assert guard.share(10.0 + RAMP_SECONDS) == 1.0


def test_the_rate_after_an_outage_starts_low(standin, clock):
    """In the first second after an outage at most five writes reach the platform.

    The daemon has no burst left from the time of the outage, and a tenth of its rate.
    """
    store = make_store(standin, clock)
    standin.faults.set("outage")
    for _ in range(OUTAGE_FAILURES):
        with pytest.raises(PlatformUnavailable):
            store.get("k")
    standin.faults.clear()
    clock.now += 2 * PROBE_MAXIMUM_SECONDS
    store.get("k")
    outage_ended_at = clock.now
    while clock.now < outage_ended_at + 1.0:
        try:
            store.put("k", "v")
        except RateLimited:
            clock.now += 0.1
    assert store.calls_by_kind["put"] <= 5
