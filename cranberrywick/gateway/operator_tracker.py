"""The operators' configuration and domains out, as this daemon knows them."""

from collections.abc import Callable

from cranberrywick.errors import InvalidConfiguration
from cranberrywick.logs import EventLog
from cranberrywick.routing.model import GatewayConfiguration, OperatorView
from cranberrywick.routing.store_position import UNKNOWN_EPOCH, StorePosition
from cranberrywick.routing.table import RouteTable

__all__ = ["OperatorTracker"]


class OperatorTracker:
    """Keeps the newest operators' view; older views change nothing.

    ``decode`` parses the operators' document into a configuration.
    """

    def __init__(self, decode: Callable[[bytes], GatewayConfiguration], log: EventLog):
        self._decode = decode
        self._log = log
        self.view: OperatorView | None = None
        self.table: RouteTable | None = None
        # The failure domains that get no new work, with the earliest moment at which
        # each may have been taken out.
        self.out_since_by_domain: dict[str, float] = {}
        self._newest_at = float("-inf")
        self._unusable_digest: int | None = None

    @property
    def domains_out(self) -> frozenset[str]:
        """The failure domains that are out of service and get no new work."""
        return self.view.domains_out if self.view else frozenset()

    @property
    def digest(self) -> int:
        """A hash of the view's content; 0 without a view."""
        return self.view.digest if self.view else 0

    @property
    def revision(self) -> int:
        """The store's revision of the view; 0 without a view."""
        return self.view.revision if self.view else 0

    @property
    def position(self) -> StorePosition:
        """The point in the store's history at which the view was read."""
        return self.view.position if self.view else StorePosition(UNKNOWN_EPOCH, 0)

    def age(self, now: float) -> float:
        """Return the seconds since the view was known to be the newest."""
        return now - self._newest_at

    def compare(self, revision: int, digest: int, newest_at: float) -> bool:
        """Compare with a peer's view; return whether it is newer and should be fetched.

        The peer's view was the newest at ``newest_at``. If both have the same digest,
        so was this one, which is recorded.
        """
        if self.view is None or digest != self.digest:
            return revision > self.revision
        self._newest_at = max(self._newest_at, newest_at)
        self.view = self.view._replace(revision=max(revision, self.view.revision))
        return False

    def apply(self, view: OperatorView, read_at: float, source: str) -> bool:
        """Apply a view; return whether it changed anything.

        The view was the newest at ``read_at``. ``source`` names where it comes from,
        for the log.
        """
        own = self.view
        if own is not None and view.revision < own.revision:
            return False
        if own is not None and view.digest == own.digest:
            self.view = view
            self._newest_at = max(self._newest_at, read_at)
            return False
        if view.document and not self._apply(view, source):
            return False
        self.out_since_by_domain = {
            domain: self.out_since_by_domain.get(domain, self._newest_at)
            for domain in view.domains_out
        }
        self._newest_at = max(self._newest_at, read_at)
        if own is None or own.domains_out != view.domains_out:
            self._log.info(
                "domains_out_changed",
                domains=",".join(sorted(view.domains_out)),
                revision=view.revision,
                source=source,
            )
        self.view = view
        return True

    def _apply(self, view: OperatorView, source: str) -> bool:
        if self.view is not None and self.view.document == view.document:
            return True
        try:
            configuration = self._decode(view.document)
        except InvalidConfiguration as error:
            if self._unusable_digest != view.digest:
                self._unusable_digest = view.digest
                self._log.error(
                    "configuration_unusable", revision=view.revision, error=error
                )
            return False
        version = self.table.configuration.version if self.table else 0
        if configuration.version < version:
            # Versions only grow: a lower one belongs to a view that arrived late.
            return False
        self.table = RouteTable(configuration)
        self._log.info(
            "configuration_applied",
            version=configuration.version,
            before=version,
            revision=view.revision,
            source=source,
        )
        return True
