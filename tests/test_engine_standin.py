"""Behaviour of the engine stand-in that other tests rely on.

Guards against tests that pass only because the stand-in lacks a limit, delay or fault
of an engine.
"""

import threading

import pytest

from cranberrywick.model import EndpointPhase, EndpointRefusal
from cranberrywick.prompts import PREFIX_BLOCK_TOKENS
from cranberrywick.standin.engine import EngineSettings
from cranberrywick.standin.engine_core import EngineCore, NotTaken, Prompt
from cranberrywick.standin.engine_memory import PrefixCache

WAIT_SECONDS = 20.0


def prompt(name, tokens=10, output=4, priority=0, keys=()):
    return Prompt(name, 1, "owner", keys, tokens, output, priority)


def slow_core(**settings):
    """Return an engine whose prefills last longer than the test."""
    return EngineCore(EngineSettings(prefill_tokens_per_second=0.01, **settings))


def test_cold_engine_restarts_at_one_request_too_many():
    core = slow_core(cold=True, cold_slots=2)
    first = core.submit(prompt("r1"))
    core.submit(prompt("r2"))
    with pytest.raises(NotTaken) as refused:
        core.submit(prompt("r3"))
    assert refused.value.reason is EndpointRefusal.COLD
    assert (core.overrun, core.incarnation, core.live()) == (1, 2, [])
    assert not core.wait_for_token(first, 0)


def test_engine_is_warm_after_completed_requests_not_after_time():
    core = EngineCore(EngineSettings(cold=True, cold_completions=2))
    for name in ("r1", "r2"):
        assert core.phase is EndpointPhase.COLD
        generation = core.submit(prompt(name, output=1))
        assert core.wait_for_token(generation, 0)
        core.live()
    assert core.phase is EndpointPhase.WARM


@pytest.mark.parametrize(
    ("phase", "tokens", "reason"),
    [
        (EndpointPhase.LEAVING, 10, EndpointRefusal.LEAVING),
        (EndpointPhase.WARM, 10_000, EndpointRefusal.FULL),
    ],
)
def test_refusals_name_their_reason(phase, tokens, reason):
    core = slow_core(cache_tokens=1000)
    core.turn(phase)
    with pytest.raises(NotTaken) as refused:
        core.submit(prompt("r1", tokens=tokens))
    assert refused.value.reason is reason
    assert core.memory_used == 0


def test_urgent_prompt_is_prefilled_before_others_that_wait():
    core = EngineCore(EngineSettings(prefill_tokens_per_second=100.0))
    core.submit(prompt("reading", tokens=10))
    patient = core.submit(prompt("patient", tokens=10, priority=5))
    urgent = core.submit(prompt("urgent", tokens=10, priority=0))
    assert core.wait_for_token(patient, 0)
    assert urgent.prefill_ends < patient.prefill_ends


def test_cancel_frees_memory_and_wakes_the_reader():
    core = slow_core()
    generation = core.submit(prompt("r1"))
    seen = []
    reader = threading.Thread(
        target=lambda: seen.append(core.wait_for_token(generation, 0))
    )
    reader.start()
    assert core.cancel("r1.1")
    reader.join(WAIT_SECONDS)
    assert seen == [False]
    assert core.memory_used == 0


def test_reservation_ends_with_its_time_to_live():
    core = slow_core()
    core.imports.add("owner", 100, ttl_seconds=0.0)
    core.exports.add("owner", 50, ttl_seconds=60.0)
    core.advance()
    assert core.memory_used == 50


def test_load_report_lags():
    core = slow_core(load_lag_seconds=60.0)
    core.submit(prompt("r1"))
    report = core.load()
    assert report["running"] + report["waiting"] == 0
    assert report["age_seconds"] == 60.0


def test_cache_events_have_gaps_on_demand():
    cache = PrefixCache(capacity_tokens=2 * PREFIX_BLOCK_TOKENS)
    cache.add(("a",))
    cache.events_to_lose = 1
    cache.add(("a", "b"))
    cache.add(("a", "b", "c"))
    assert [event["seq"] for event in cache.events_after(0)] == [1, 3, 4]
    assert cache.keys == ["b", "c"]


def test_cached_prefix_is_not_prefilled_again():
    core = EngineCore(EngineSettings(prefill_tokens_per_second=1e6))
    first = core.submit(prompt("r1", tokens=3000, keys=("a", "b")))
    second = core.submit(prompt("r2", tokens=3000, keys=("a", "b")))
    assert first.prefill_seconds == pytest.approx(0.003)
    assert second.prefill_seconds == pytest.approx(0.000952)


def test_slow_factor_makes_tokens_late():
    core = EngineCore(EngineSettings(prefill_tokens_per_second=1e6))
    core.set_slow_factor(10.0)
    generation = core.submit(prompt("r1", tokens=1000, output=2))
    assert generation.prefill_seconds == pytest.approx(0.01)
    gap = core.token_time(generation, 1) - core.token_time(generation, 0)
    assert gap == pytest.approx(0.2)
