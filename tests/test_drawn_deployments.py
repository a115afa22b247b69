"""Placement in deployments drawn at random, for which nothing was tuned."""

from cranberrywick.bench.drawn_deployments import draw_deployment, worth_on_time


def test_most_is_on_time_in_deployments_drawn_at_random():
    """Most prompts are on time for any engines, sizes and limits.

    Guards against prices that suit one engine only: where passes are longer or limits
    tighter, they would send long prompts to engines that decode short answers. The
    bound, 0.8, is the users' target for their own deployment.
    """
    shares = [worth_on_time(seed, 8.0) for seed in range(12)]
    assert sum(shares) / len(shares) > 0.8


def test_a_seed_draws_the_same_deployment():
    assert draw_deployment(3) == draw_deployment(3)
    assert draw_deployment(3) != draw_deployment(4)
