"""The scheduling benchmark: runs are reproducible and leave no state in engines.

Guards against results that can't be compared between runs, and against memory that
simulated engines never free.
"""

from cranberrywick.bench.arrivals import arrivals, endpoints
from cranberrywick.bench.run import Run
from cranberrywick.decisions.strategies import make_strategy


def run_bench(seed, faults=()):
    run = Run(
        make_strategy("cranberrywick", seed),
        endpoints(6),
        arrivals(seed, 4.0, 60.0),
        faults,
    )
    run.start()
    return run


def test_the_same_seed_gives_the_same_run():
    assert run_bench(3).received == run_bench(3).received
    assert run_bench(3).received != run_bench(4).received


def test_every_caller_gets_one_answer_and_no_engine_keeps_memory():
    """Each request ends exactly once and by its deadline, and all memory is free then.

    Six engines serve prompts of up to a million tokens, some of them joint prompts, and
    one engine dies with its requests and restarts.
    """
    faults = [
        (20.0, lambda run: run.kill(["engine-001"])),
        (40.0, lambda run: run.restart(["engine-001"])),
    ]
    run = run_bench(5, faults)
    work_ids = [one.work.work_id for one in run.received]
    assert len(work_ids) == len(set(work_ids)) == len(arrivals(5, 4.0, 60.0))
    for one in run.received:
        assert one.total_seconds <= one.work.deadline - one.work.arrival + 1e-6
    for engine in run.engines_by_id.values():
        assert engine.cache_free == engine.endpoint.cache_tokens
