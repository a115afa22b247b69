"""The phase of each endpoint, from sources that lag and disagree.

Load pattern: an endpoint starts to leave. The VM list shows this seconds later, a load
report may have been sent just before, and another daemon's request may have been
refused already. If the last message to arrive determined the phase, a report delayed
by the network would reopen an endpoint that is shutting down, and requests sent there
would be cut off.

The rule: the first message that an endpoint is leaving holds, from whichever source,
until the endpoint restarts with a higher incarnation. Reports of earlier incarnations
are ignored, and so are reports older than the newest one received. The VM list has no
incarnations; an endpoint also counts as leaving while the newest list says so.
"""

from collections.abc import Iterable

from cranberrywick.model import EndpointLoad, EndpointPhase

__all__ = ["EndpointPhases"]


class EndpointPhases:
    """Merges load reports, notices and the VM list into one phase per endpoint.

    >>> phases = EndpointPhases()
    >>> phases.mark_leaving("e1", incarnation=1)
    True
    >>> phases.is_leaving("e1")
    True
    """

    def __init__(self):
        self._load_by_endpoint: dict[str, EndpointLoad] = {}
        self._leaving_incarnation_by_id: dict[str, int] = {}
        self._listed_leaving: frozenset[str] = frozenset()

    def incarnation(self, endpoint_id: str) -> int:
        """Return the incarnation in the newest report of the endpoint, or 0."""
        load = self._load_by_endpoint.get(endpoint_id)
        return load.incarnation if load is not None else 0

    def is_leaving(self, endpoint_id: str) -> bool:
        """Return whether the endpoint is leaving and must get no new work."""
        if endpoint_id in self._listed_leaving:
            return True
        leaving_incarnation = self._leaving_incarnation_by_id.get(endpoint_id)
        return (
            leaving_incarnation is not None
            and leaving_incarnation >= self.incarnation(endpoint_id)
        )

    def mark_leaving(self, endpoint_id: str, incarnation: int) -> bool:
        """Record that an incarnation is leaving; return whether this is a change."""
        if self._leaving_incarnation_by_id.get(endpoint_id, -1) >= incarnation:
            return False
        self._leaving_incarnation_by_id[endpoint_id] = incarnation
        return True

    def record_load(self, load: EndpointLoad) -> EndpointLoad | None:
        """Record a report and return it with the phase that holds now.

        The result is None if the report is outdated.
        """
        newest = self._load_by_endpoint.get(load.endpoint_id)
        if newest is not None and self._is_outdated(load, newest):
            return None
        self._load_by_endpoint[load.endpoint_id] = load
        if load.phase is EndpointPhase.LEAVING:
            self.mark_leaving(load.endpoint_id, load.incarnation)
        return self._with_phase(load)

    def _is_outdated(self, load: EndpointLoad, newest: EndpointLoad) -> bool:
        if load.incarnation != newest.incarnation:
            return load.incarnation < newest.incarnation
        return load.reported_at < newest.reported_at

    def _with_phase(self, load: EndpointLoad) -> EndpointLoad:
        if self.is_leaving(load.endpoint_id):
            return load._replace(phase=EndpointPhase.LEAVING)
        return load

    def current(self, endpoint_id: str) -> EndpointLoad | None:
        """Return the newest report with the phase that holds now, or None.

        For an endpoint that is leaving a report is returned even before the first one
        has arrived. A daemon that is not the endpoint's steward may receive the
        leaving notice first, and would otherwise send requests there until one is
        refused.
        """
        load = self._load_by_endpoint.get(endpoint_id)
        if load is not None:
            return self._with_phase(load)
        if not self.is_leaving(endpoint_id):
            return None
        incarnation = self._leaving_incarnation_by_id.get(endpoint_id, 0)
        return EndpointLoad(endpoint_id, incarnation, EndpointPhase.LEAVING, 0.0)

    def set_listed(self, endpoint_ids: Iterable[str], leaving: Iterable[str]) -> None:
        """Apply the newest VM list and drop the endpoints that are not in it.

        ``leaving`` are the identifiers that the list marks as leaving.
        """
        listed = set(endpoint_ids)
        self._listed_leaving = frozenset(leaving)
        self._load_by_endpoint = {
            endpoint_id: load
            for endpoint_id, load in self._load_by_endpoint.items()
            if endpoint_id in listed
        }
        self._leaving_incarnation_by_id = {
            endpoint_id: incarnation
            for endpoint_id, incarnation in self._leaving_incarnation_by_id.items()
            if endpoint_id in listed
        }
