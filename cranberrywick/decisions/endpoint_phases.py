"""Which phase each endpoint is in, from sources that lag and disagree.

Load pattern: an endpoint starts to leave. The VM list says so seconds later, a load
report may have been sent just before, another daemon may have been refused already.
Without one rule the last word wins, and a report that was late on the network
reopens an endpoint that is going away: requests sent there are cut.

The rule: the first word that an endpoint is leaving holds, whoever says it, until
the endpoint starts again under a higher incarnation. Reports of older incarnations
are ignored, and so are reports older than the newest one seen. The VM list knows no
incarnations: an endpoint is also closed for as long as the newest list says leaving.
"""

from collections.abc import Iterable

from cranberrywick.model import EndpointLoad, EndpointPhase

__all__ = ["EndpointPhases"]


class EndpointPhases:
    """Merges what is said of the endpoints' phases.

    >>> phases = EndpointPhases()
    >>> phases.mark_leaving("e1", incarnation=1)
    True
    >>> phases.is_leaving("e1")
    True
    """

    def __init__(self):
        self._load_by_endpoint: dict[str, EndpointLoad] = {}
        self._left_by_endpoint: dict[str, int] = {}
        self._listed_leaving: frozenset[str] = frozenset()

    def incarnation(self, endpoint_id: str) -> int:
        """Return the newest incarnation heard of, or 0."""
        load = self._load_by_endpoint.get(endpoint_id)
        return load.incarnation if load is not None else 0

    def is_leaving(self, endpoint_id: str) -> bool:
        """Say whether the endpoint must get no new work because it is going."""
        if endpoint_id in self._listed_leaving:
            return True
        left = self._left_by_endpoint.get(endpoint_id)
        return left is not None and left >= self.incarnation(endpoint_id)

    def mark_leaving(self, endpoint_id: str, incarnation: int) -> bool:
        """Note that an incarnation is leaving; return whether that is news."""
        if self._left_by_endpoint.get(endpoint_id, -1) >= incarnation:
            return False
        self._left_by_endpoint[endpoint_id] = incarnation
        return True

    def record_load(self, load: EndpointLoad) -> EndpointLoad | None:
        """Take a report; return what it means now, or None where it is outdated."""
        known = self._load_by_endpoint.get(load.endpoint_id)
        if known is not None and self._is_outdated(load, known):
            return None
        self._load_by_endpoint[load.endpoint_id] = load
        if load.phase is EndpointPhase.LEAVING:
            self.mark_leaving(load.endpoint_id, load.incarnation)
        return self._with_phase(load)

    def _is_outdated(self, load: EndpointLoad, known: EndpointLoad) -> bool:
        if load.incarnation != known.incarnation:
            return load.incarnation < known.incarnation
        return load.reported_at < known.reported_at

    def _with_phase(self, load: EndpointLoad) -> EndpointLoad:
        if self.is_leaving(load.endpoint_id):
            return load._replace(phase=EndpointPhase.LEAVING)
        return load

    def current(self, endpoint_id: str) -> EndpointLoad | None:
        """Return the newest report with the phase that holds now, if any.

        An endpoint that is known to be leaving has one even before its first
        report: a daemon that is not its steward may hear of the leaving first, and
        without this went on sending there until it was refused itself.
        """
        load = self._load_by_endpoint.get(endpoint_id)
        if load is not None:
            return self._with_phase(load)
        if not self.is_leaving(endpoint_id):
            return None
        incarnation = self._left_by_endpoint.get(endpoint_id, 0)
        return EndpointLoad(endpoint_id, incarnation, EndpointPhase.LEAVING, 0.0)

    def set_listed(self, endpoint_ids: Iterable[str], leaving: Iterable[str]) -> None:
        """Take the newest VM list; endpoints that it no longer names are dropped."""
        listed = set(endpoint_ids)
        self._listed_leaving = frozenset(leaving)
        self._load_by_endpoint = {
            endpoint_id: load
            for endpoint_id, load in self._load_by_endpoint.items()
            if endpoint_id in listed
        }
        self._left_by_endpoint = {
            endpoint_id: incarnation
            for endpoint_id, incarnation in self._left_by_endpoint.items()
            if endpoint_id in listed
        }
