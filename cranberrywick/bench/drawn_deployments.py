"""Placement of prompts in deployments drawn at random.

Prices that are tuned to one deployment can fail in another; here each seed draws other
engines, daemons and prompts.

    python -m cranberrywick.bench.drawn_deployments --count 50

prints the share of the prompts, weighted by worth, that are on time: the mean over all
deployments, the mean of the worst tenth and the lowest.
"""

import random
from statistics import mean
from typing import NamedTuple

import click

from cranberrywick.bench.prompt_engines import KINDS, PROFILE, Kind
from cranberrywick.bench.prompts import Experiment, FleetShape, on_time_by_kind
from cranberrywick.routing.engine_model import prefill_time
from cranberrywick.routing.model import EngineProfile
from cranberrywick.routing.relays import update_delay_seconds

__all__ = ["DrawnDeployment", "draw_deployment", "worth_on_time"]

# Smallest and largest share of the engines' time that prefill takes, for quiet and busy
# hours. Above 0.4 most prompts are late, whatever the placement.
LEAST_LOAD, MOST_LOAD = 0.05, 0.4


class DrawnDeployment(NamedTuple):
    """Engines, daemons and kinds of prompts of one deployment."""

    profile: EngineProfile
    fleet: FleetShape
    kinds: tuple[Kind, ...]


def draw_deployment(seed: int) -> DrawnDeployment:
    """Return the deployment that a seed draws."""
    rng = random.Random(seed)
    profile = _draw_profile(rng)
    engines = round(4 * 15 ** rng.random())
    daemons = round(3 * 25 ** rng.random())
    kinds = tuple(_draw_kind(rng, kind, profile) for kind in KINDS)
    work = sum(
        k.per_second * prefill_time(profile, int(k.prompt_tokens)) for k in kinds
    )
    arrivals = sum(kind.per_second for kind in kinds)
    tokens = sum(kind.per_second * kind.prompt_tokens for kind in kinds)
    profile = profile._replace(usual_prompt_tokens=tokens / arrivals)
    load = rng.uniform(LEAST_LOAD, MOST_LOAD)
    # The factor 1.5 corrects the work of mean prompts: prefill time grows faster than
    # length (pairs of tokens), so that prompts above the mean add more than those below
    # it save.
    rate = load * engines / (1.5 * work)
    fleet = FleetShape(engines, daemons, update_delay_seconds(daemons) + 0.002, rate)
    return DrawnDeployment(profile, fleet, kinds)


def _draw_profile(rng: random.Random) -> EngineProfile:
    return PROFILE._replace(
        slots=rng.choice((4, 6, 8, 16)),
        memory_tokens=round(PROFILE.memory_tokens * rng.uniform(0.5, 2.0)),
        stride=rng.choice((10, 25, 50, 80)),
        step_seconds=PROFILE.step_seconds * rng.uniform(0.5, 2.0),
        prefill_rate=PROFILE.prefill_rate * rng.uniform(0.5, 2.0),
        pair_seconds=PROFILE.pair_seconds * rng.uniform(0.5, 2.0),
        chunk_tokens=rng.choice((512, 2048, 8192)),
    )


def _draw_kind(rng: random.Random, kind: Kind, profile: EngineProfile) -> Kind:
    """Return a kind with other rates, sizes and limits that idle engines can meet."""
    tokens = kind.prompt_tokens * rng.uniform(0.5, 2.0)
    alone = prefill_time(profile, int(tokens))
    least_gap = 3 * profile.stride * profile.step_seconds
    return kind._replace(
        per_second=kind.per_second * rng.uniform(0.3, 3.0),
        prompt_tokens=tokens,
        target_seconds=max(kind.target_seconds * rng.uniform(0.5, 2.0), 0.6 * alone),
        gap_seconds=max(kind.gap_seconds * rng.uniform(0.4, 2.0), least_gap),
    )


def worth_on_time(seed: int, seconds: float) -> float:
    """Return the share of prompts on time, weighted by worth, in a seed's deployment.

    Prompts arrive for ``seconds``.
    """
    deployment = draw_deployment(seed)
    experiment = Experiment(
        "priced", seed, deployment.kinds, deployment.fleet, deployment.profile
    )
    results = experiment.run(seconds)
    return on_time_by_kind(results)["worth"] if results else 1.0


@click.command()
@click.option("--count", default=50, show_default=True)
@click.option("--seconds", default=10.0, show_default=True)
def main(count: int, seconds: float) -> None:
    """Print the share of prompts on time, weighted by worth, over drawn deployments."""
    shares = sorted(worth_on_time(seed, seconds) for seed in range(count))
    worst = shares[: max(1, count // 10)]
    click.echo(
        f"{count} deployments: mean {mean(shares):.3f}, "
        f"worst tenth {mean(worst):.3f}, least {shares[0]:.3f}"
    )


if __name__ == "__main__":
    main()
