"""Retry times for callers of a service without endpoints."""

import random

from cranberrywick.routing.retry_after import ServiceOutages


def retry_seconds(outages, seconds, count=1, store_is_unavailable=False):
    return [
        outages.retry_seconds("notices", store_is_unavailable, seconds)
        for _ in range(count)
    ]


def test_a_long_outage_is_expected_to_go_on():
    """Guards against callers whose retry is refused again."""
    outages = ServiceOutages(random.Random(1))
    (first,) = retry_seconds(outages, 10.0)
    (later,) = retry_seconds(outages, 14.0)
    assert first < 1.5
    assert 3.0 <= later <= 5.0


def test_callers_do_not_retry_at_the_same_moment():
    """Guards against a burst of retries at a service that has recovered."""
    outages = ServiceOutages(random.Random(1))
    seconds = retry_seconds(outages, 10.0, count=200)
    by_tenth = [
        sum(low <= s - 0.75 < low + 0.1 for s in seconds) for low in (0, 0.2, 0.4)
    ]
    assert max(by_tenth) < 2 * min(by_tenth)


def test_an_outage_that_ended_does_not_count():
    """Guards against long retry times in a new, short outage."""
    outages = ServiceOutages(random.Random(1))
    retry_seconds(outages, 10.0)
    outages.ended("notices")
    assert retry_seconds(outages, 20.0)[0] < 1.5


def test_without_the_store_retry_times_are_longer():
    outages = ServiceOutages(random.Random(1))
    assert retry_seconds(outages, 10.0, store_is_unavailable=True)[0] >= 1.5
