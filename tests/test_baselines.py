"""Tests that the baselines serve in arrival order and respect slots.

Guards against a comparison with a baseline that overfills an endpoint or leaves another
one idle.
"""

from cranberrywick.decisions.baselines import LeastOutstanding
from cranberrywick.model import Endpoint, EndpointKind, Send, Work


def make_work(work_id: str, arrival: float = 0.0) -> Work:
    """Return a short request; all of them have the same organisation."""
    return Work(
        work_id=work_id,
        organisation="kask",
        class_name="summary",
        model="drafter",
        prompt_tokens=1_000,
        max_output_tokens=100,
        arrival=arrival,
        first_token_deadline=arrival + 1.7,
        deadline=arrival + 30.0,
    )


def test_least_outstanding_spreads_and_waits_for_a_slot():
    strategy = LeastOutstanding(seed=1)
    endpoints_by_id = {
        name: Endpoint(
            name, EndpointKind.ENGINE, "", "a", "r", models=("drafter",), slots=1
        )
        for name in ("e1", "e2")
    }
    strategy.set_endpoints(endpoints_by_id, 0.0)
    for work_id in ("w1", "w2", "w3"):
        strategy.offer(make_work(work_id), 0.0)

    assert strategy.poll(0.0) == [Send("w1", ("e1",)), Send("w2", ("e2",))]
    assert strategy.poll(1.0) == []

    strategy.withdraw("w1", 2.0)
    assert strategy.poll(2.0) == [Send("w3", ("e1",))]
