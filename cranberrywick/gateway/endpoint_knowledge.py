"""The registered endpoints, as this daemon knows them."""

from cranberrywick.gateway.messages import EndpointReading
from cranberrywick.logs import EventLog
from cranberrywick.routing.model import EndpointView
from cranberrywick.routing.registry import EndpointRegistry

__all__ = ["EndpointKnowledge"]

# Peers that missed the last whole reading of the endpoints get another so often.
WHOLE_READING_SECONDS = 1.0


class EndpointKnowledge:
    """Takes readings of the endpoints, from store or peers, and logs changes."""

    def __init__(self, log: EventLog):
        self._log = log
        self.registry = EndpointRegistry()
        self._view: EndpointView | None = None
        self._digest = 0
        self._told_digest = 0
        self._told_whole_at = float("-inf")
        self._unusable_ids: frozenset[str] = frozenset()

    def take(self, view: EndpointView, read_at: float, now: float) -> bool:
        """Take a reading of the store; True if it changed anything."""
        return self._take(view, view.digest, read_at, now)

    def take_news(self, reading: EndpointReading, now: float) -> bool:
        """Take a peer's reading; True if it changed anything.

        Raises `PeerMessageInvalid` for records that can't be read.
        """
        read_at = now - reading.age
        if self._view is not None and reading.digest == self._digest:
            view = self._view._replace(revision=reading.revision)
            return self._take(view, self._digest, read_at, now)
        if not reading.records or read_at <= self.registry.read_at:
            return False
        return self._take(reading.view, reading.digest, read_at, now)

    def news(self, now: float) -> EndpointReading | None:
        """Return what the others are told after a reading of this daemon's own.

        The records themselves go out when they have changed and now and then: in
        between it is enough to say that they are the same.
        """
        whole_is_due = now - self._told_whole_at > WHOLE_READING_SECONDS
        if self._digest == self._told_digest and not whole_is_due:
            return self._reading(now, with_view=False)
        self._told_digest, self._told_whole_at = self._digest, now
        return self.whole_reading(now)

    def whole_reading(self, now: float) -> EndpointReading | None:
        """Return all that is known; None if nothing is."""
        return self._reading(now, with_view=True)

    def _reading(self, now: float, with_view: bool) -> EndpointReading | None:
        if self._view is None:
            return None
        age = self.registry.age(now)
        if with_view:
            return EndpointReading.of(self._view, self._digest, age)
        return EndpointReading(self._view.revision, age, self._digest, b"")

    def _take(
        self, view: EndpointView, digest: int, read_at: float, now: float
    ) -> bool:
        changes = self.registry.apply(view, read_at, now)
        if self.registry.read_at == read_at:
            self._view, self._digest = view, digest
            self._note_unusable(view)
        for change in changes:
            self._log.info(
                "endpoint_changed",
                endpoint=change.endpoint_id,
                what=change.what,
                revision=view.revision,
                age=now - read_at,
            )
        return bool(changes)

    def _note_unusable(self, view: EndpointView) -> None:
        """Log records that can't be read, once for as long as they stand."""
        unusable = frozenset(view.unusable_ids)
        for endpoint_id in sorted(unusable - self._unusable_ids):
            self._log.warning(
                "endpoint_record_unusable", endpoint=endpoint_id, revision=view.revision
            )
        self._unusable_ids = unusable
