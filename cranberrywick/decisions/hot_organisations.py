"""Detect organisations that demand more than their fair share of an overloaded fleet.

Load pattern: one organisation of ten suddenly sends ten times its usual work.

Without it: fair queueing still serves the other organisations' work first, but the
excess work counts as load when endpoints are reserved for short prompts, so only as
many are reserved as an overloaded fleet can spare; and the refusal does not tell the
hot caller that its own demand is the cause.

How: shares are max-min fair. The recently served engine time is divided among the
organisations so that each gets all it demands or the same level as every other whose
demand is not met. An organisation that demands more than this level is hot. None is
hot while the fleet serves all demand, so an idle fleet may serve one organisation
alone, and a large organisation is not hot merely because it is large. The work of a hot
organisation is ignored when endpoints are reserved for short prompts.

Grounds: demand and served work are sums that decay over ten seconds, so a burst that
the queue can absorb is over before an organisation counts as hot, and the state ends as
quickly. Such sums may differ by a tenth without overload, so demand has to exceed the
served work by more than that. Keeping one reserved endpoint open for the other
organisations was tried: it cost more of a full fleet's work (three in a hundred) than
it gained (docs/design/scheduling.md).
"""

from math import exp

from cranberrywick.fair_level import fair_level

__all__ = ["HotOrganisations"]

# Time constant of the decaying sums, in seconds.
WINDOW_SECONDS = 10.0
# The fleet is overloaded if demand is more than this multiple of the served work.
OVERLOAD_RATIO = 1.1
# An organisation is dropped when its decayed demand is this small, in engine seconds.
MIN_DEMAND_SECONDS = 1e-4


class HotOrganisations:
    """The organisations whose demand exceeds their fair share of the served work.

    Both are measured in seconds of engine time.
    """

    def __init__(self) -> None:
        self._offered_by_organisation: dict[str, float] = {}
        self._served_seconds = 0.0
        self._updated_at = 0.0
        self._hot: frozenset[str] = frozenset()

    def __contains__(self, organisation: str) -> bool:
        return organisation in self._hot

    def record_offered(self, organisation: str, seconds: float) -> None:
        """Add work that an organisation has offered, admitted or refused."""
        known = self._offered_by_organisation.get(organisation, 0.0)
        self._offered_by_organisation[organisation] = known + seconds

    def record_served(self, seconds: float) -> None:
        """Add work that was sent to an endpoint."""
        self._served_seconds += seconds

    def update(self, now: float) -> None:
        """Find the hot organisations again; call about once a second."""
        factor = exp(-(now - self._updated_at) / WINDOW_SECONDS)
        self._updated_at = now
        demand_by_organisation = self._offered_by_organisation
        total = sum(demand_by_organisation.values())
        level = float("inf")
        if total > OVERLOAD_RATIO * self._served_seconds:
            level = fair_level(demand_by_organisation.values(), self._served_seconds)
        self._hot = frozenset(
            name for name, demand in demand_by_organisation.items() if demand > level
        )
        self._served_seconds *= factor
        self._offered_by_organisation = {
            name: demand * factor
            for name, demand in demand_by_organisation.items()
            if demand > MIN_DEMAND_SECONDS
        }
