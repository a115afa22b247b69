"""Create the strategies that the program provides, by name."""

from cranberrywick.decisions import baselines, scheduler
from cranberrywick.decisions.strategy import STRATEGIES, Strategy
from cranberrywick.errors import InvalidSettings

__all__ = ["make_strategy"]

# Importing these modules registers their strategies; naming them here keeps linters
# from reporting the imports as unused.
STRATEGY_MODULES = (baselines, scheduler)


def make_strategy(name: str, seed: int) -> Strategy:
    """Return a new strategy; raise `InvalidSettings` if the name is unknown.

    >>> make_strategy("least-outstanding", seed=1).seed
    1
    """
    if name not in STRATEGIES:
        known = ", ".join(sorted(STRATEGIES))
        raise InvalidSettings(f"strategy: {name!r} is not one of {known}")
    return STRATEGIES[name](seed)
