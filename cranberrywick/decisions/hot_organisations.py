"""Find the organisations that ask for more than their share of a full fleet.

Load pattern: one organisation of ten suddenly sends ten times its usual work.

Without it: fair order keeps the others' work ahead in the queue, but the flood
counts as load when the part for short prompts is sized, so that part shrinks to
what an overloaded fleet can spare; and the hot caller is not told why it is refused.

How: shares are max-min fair. What the fleet has lately served is poured over the
organisations until each has what it asks for or all the rest have the same: that
level is the share, and whoever asks for more is hot. Nobody is hot while the fleet
serves all that is asked, so an idle fleet gives one organisation everything, and a
large organisation is not hot for being large. Work of a hot organisation does not
count in sizing the part for short prompts.

Grounds: rates are averages over ten seconds, so a burst that a queue can bear is
over before anybody is called hot, and the mark goes as quickly. A tenth more asked
than served is within what averages over ten seconds differ by. Keeping one endpoint of
that part open for the others was tried: it cost more of a full fleet's work (three
in a hundred) than it gained (docs/design/scheduling.md).
"""

from collections.abc import Iterable
from math import exp

__all__ = ["HotOrganisations", "fair_level"]

WINDOW_SECONDS = 10.0
OVERLOAD_RATIO = 1.1
# Rates this small are forgotten, in engine seconds a second.
MIN_RATE = 1e-4


def fair_level(rates: Iterable[float], capacity: float) -> float:
    """Return the max-min fair share of ``capacity``.

    >>> fair_level([1.0, 2.0, 20.0], capacity=10.0)
    7.0
    """
    ordered = sorted(rates)
    left = capacity
    for index, rate in enumerate(ordered):
        share = left / (len(ordered) - index)
        if rate >= share:
            return share
        left -= rate
    return float("inf")


class HotOrganisations:
    """Compares what organisations ask for with what is served, in engine seconds."""

    def __init__(self) -> None:
        self._offered_by_organisation: dict[str, float] = {}
        self._served_seconds = 0.0
        self._updated_at = 0.0
        self._hot: frozenset[str] = frozenset()

    def __contains__(self, organisation: str) -> bool:
        return organisation in self._hot

    def record_offered(self, organisation: str, seconds: float) -> None:
        """Count work that was offered, taken or not."""
        known = self._offered_by_organisation.get(organisation, 0.0)
        self._offered_by_organisation[organisation] = known + seconds

    def record_served(self, seconds: float) -> None:
        """Count work that was sent to an endpoint."""
        self._served_seconds += seconds

    def update(self, now: float) -> None:
        """Judge again; call about once a second."""
        factor = exp(-(now - self._updated_at) / WINDOW_SECONDS)
        self._updated_at = now
        asked = self._offered_by_organisation
        total = sum(asked.values())
        level = float("inf")
        if total > OVERLOAD_RATIO * self._served_seconds:
            level = fair_level(asked.values(), self._served_seconds)
        self._hot = frozenset(name for name, rate in asked.items() if rate > level)
        self._served_seconds *= factor
        self._offered_by_organisation = {
            name: rate * factor for name, rate in asked.items() if rate > MIN_RATE
        }
