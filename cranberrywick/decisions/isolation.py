"""Reserve endpoints for short prompts, so that no long prefill blocks them.

Load pattern: one prompt in fifty is over a hundred thousand tokens and occupies an
engine's prefill for half a minute; four in five take a tenth of a second.

Without it: at high load, all endpoints have a long prefill at the same moment often
enough that a summary finds none free and waits behind a rulebook (head-of-line
blocking).

How: work is divided into bands by its predicted prefill time. In every failure domain
the endpoints are sorted by id: the first few take only the shortest band, the next
ones the two shortest, and the rest any band. Short work may be sent to every endpoint;
only long work is confined. The number of reserved endpoints follows the arrivals: it
is the mean number that the bands keep busy plus a margin proportional to its square
root (the square-root staffing rule of queueing theory, for a short wait). The margin
is at most `MAX_SPARE_SHARE` of the endpoints that the load leaves idle, so that long
work is not slowed by more than it can tolerate.

Grounds: the first band ends at a quarter of the tightest first-token target, so a
short request behind another short one still meets it. The second band reaches to
sixteen times that, which lies midway between a summary and the longest reviews. Rates
are averaged over half a minute, and the number of reserved endpoints changes by at
most one a second, and only when it is wrong by more than `RESIZE_THRESHOLD`: a burst
of ten seconds changes it by a few endpoints, once, and noise does not change it.
"""

from collections.abc import Iterable, Mapping
from math import exp, sqrt

from cranberrywick.model import ClassTargets, Endpoint

__all__ = ["BANDS", "Isolation", "band_of"]

# Number of bands of predicted prefill time; band 0 is the shortest.
BANDS = 3
# Upper limit of band 0, as a share of the tightest first-token target.
FIRST_BAND_SHARE_OF_TARGET = 0.25
# Upper limit of a band, as a multiple of the limit of the band below.
BAND_RATIO = 16.0
# First-token target that is assumed until targets are known: the tightest one of the
# deployment that the program is designed for.
DEFAULT_TARGET_SECONDS = 1.7

# Time constant of the average rates, in seconds.
RATE_WINDOW_SECONDS = 30.0
# Margin of the reserved endpoints, as a multiple of the square root of their mean load.
STAFFING_COEFFICIENT = 2.5
# Largest margin, as a share of the endpoints that the load leaves idle.
MAX_SPARE_SHARE = 0.7
RESIZE_INTERVAL_SECONDS = 1.0
# Difference, in endpoints, above which the number of reserved endpoints is corrected.
RESIZE_THRESHOLD = 0.6
# Endpoints are reserved only if the short and the long work each keep this many of
# them busy on average; then at least one is.
MIN_BUSY_ENDPOINTS = 0.02


def band_of(prefill_seconds: float, tightest_target: float) -> int:
    """Return the band of a prompt by its predicted prefill time; 0 is the shortest.

    Both arguments are in seconds.

    >>> band_of(0.1, tightest_target=1.7), band_of(20.0, tightest_target=1.7)
    (0, 2)
    """
    limit = tightest_target * FIRST_BAND_SHARE_OF_TARGET
    band = 0
    while band < BANDS - 1 and prefill_seconds > limit:
        limit *= BAND_RATIO
        band += 1
    return band


class Isolation:
    """Decides which bands of work each endpoint of one pool takes."""

    def __init__(self) -> None:
        self._tightest_target = DEFAULT_TARGET_SECONDS
        self._work_by_band = [0.0] * BANDS
        self._updated_at = 0.0
        self._started_at: float | None = None
        self._resized_at = float("-inf")
        # Number of endpoints that are closed to bands 1, 2, ...
        self._reserved = [0] * (BANDS - 1)

    def set_targets(self, targets_by_class: Mapping[str, ClassTargets]) -> None:
        """Derive the limits of the bands from the tightest first-token target."""
        if targets_by_class:
            targets = targets_by_class.values()
            self._tightest_target = min(t.first_token_seconds for t in targets)

    def band(self, prefill_seconds: float) -> int:
        """Return the band of work with this predicted prefill time, in seconds."""
        return band_of(prefill_seconds, self._tightest_target)

    def observe(self, band: int, prefill_seconds: float, now: float) -> None:
        """Record work that is admitted."""
        self._decay(now)
        self._work_by_band[band] += prefill_seconds

    def busy_endpoints(self, band: int, now: float) -> float:
        """Return how many endpoints the bands up to ``band`` keep busy on average."""
        self._decay(now)
        if self._started_at is None:
            return 0.0
        # Until a whole window has passed, average over the time observed so far.
        age = max(1.0, now - self._started_at)
        window = RATE_WINDOW_SECONDS * (1.0 - exp(-age / RATE_WINDOW_SECONDS))
        return sum(self._work_by_band[: band + 1]) / window

    def _decay(self, now: float) -> None:
        if self._started_at is None:
            self._started_at = now
        factor = exp(-(now - self._updated_at) / RATE_WINDOW_SECONDS)
        self._work_by_band = [work * factor for work in self._work_by_band]
        self._updated_at = now

    def longest_bands(
        self, endpoints: Iterable[Endpoint], now: float
    ) -> dict[str, int]:
        """Return the longest band that each endpoint takes, by endpoint id."""
        by_domain: dict[str, list[str]] = {}
        for endpoint in endpoints:
            by_domain.setdefault(endpoint.failure_domain, []).append(
                endpoint.endpoint_id
            )
        number = sum(len(ids) for ids in by_domain.values())
        self._resize(number, now)
        longest_by_id = {}
        reserved = [_distribute(count, by_domain) for count in self._reserved]
        for domain, endpoint_ids in by_domain.items():
            starts = [reserved_by_domain[domain] for reserved_by_domain in reserved]
            for rank, endpoint_id in enumerate(sorted(endpoint_ids)):
                longest_by_id[endpoint_id] = sum(rank >= start for start in starts)
        return longest_by_id

    def _resize(self, number: int, now: float) -> None:
        if now - self._resized_at < RESIZE_INTERVAL_SECONDS:
            return
        self._resized_at = now
        for index in range(BANDS - 1):
            wanted = min(self._target_reserved(index, number, now), number - 1)
            difference = wanted - self._reserved[index]
            if abs(difference) > RESIZE_THRESHOLD:
                self._reserved[index] += 1 if difference > 0 else -1
        for index in range(1, BANDS - 1):
            self._reserved[index] = max(
                self._reserved[index], self._reserved[index - 1]
            )

    def _target_reserved(self, band: int, number: int, now: float) -> float:
        """Return how many endpoints to close to bands longer than ``band``."""
        busy = self.busy_endpoints(band, now)
        longer = self.busy_endpoints(BANDS - 1, now) - busy
        if busy < MIN_BUSY_ENDPOINTS or longer < MIN_BUSY_ENDPOINTS:
            return 0.0
        spare = max(0.0, number - busy - longer)
        wanted = busy + min(STAFFING_COEFFICIENT * sqrt(busy), MAX_SPARE_SHARE * spare)
        # Under overload, shorter and longer work lose capacity in the same proportion.
        return max(1.0, min(wanted, number * busy / (busy + longer) + spare))


def _distribute(count: int, by_domain: Mapping[str, list[str]]) -> dict[str, int]:
    """Divide ``count`` endpoints over the domains in proportion to their sizes."""
    number = sum(len(ids) for ids in by_domain.values())
    exact = {name: count * len(ids) / number for name, ids in by_domain.items()}
    spread = {name: int(share) for name, share in exact.items()}
    rest = count - sum(spread.values())
    by_remainder = sorted(exact, key=lambda name: (spread[name] - exact[name], name))
    for name in by_remainder[:rest]:
        spread[name] += 1
    return spread
