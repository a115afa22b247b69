"""What operators have decided, as this daemon knows it."""

from collections.abc import Callable

from cranberrywick.errors import InvalidConfiguration
from cranberrywick.logs import EventLog
from cranberrywick.routing.model import GatewayConfiguration, OperatorView
from cranberrywick.routing.table import RouteTable

__all__ = ["OperatorTracker"]


class OperatorTracker:
    """The newest operators' view; older ones change nothing.

    ``decode`` turns the operators' document into a configuration.
    """

    def __init__(self, decode: Callable[[bytes], GatewayConfiguration], log: EventLog):
        self._decode = decode
        self._log = log
        self.view: OperatorView | None = None
        self.table: RouteTable | None = None
        # The failure domains that get no new work, and since when at the earliest.
        self.out_since_by_domain: dict[str, float] = {}
        self._newest_at = float("-inf")
        self._unusable_digest: int | None = None

    @property
    def domains_out(self) -> frozenset[str]:
        """The failure domains that get no new work."""
        return self.view.domains_out if self.view else frozenset()

    @property
    def digest(self) -> int:
        """What the view says, as a hash; 0 without one."""
        return self.view.digest if self.view else 0

    @property
    def revision(self) -> int:
        """The store's revision of the view; 0 without one."""
        return self.view.revision if self.view else 0

    def age(self, now: float) -> float:
        """Return how many seconds ago the view was known to be the newest."""
        return now - self._newest_at

    def compare(self, revision: int, digest: int, newest_at: float) -> bool:
        """Compare with a peer's view; True if that is newer and should be fetched.

        It was the newest at ``newest_at``: if it says the same, so was this one.
        """
        if self.view is None or digest != self.digest:
            return revision > self.revision
        self._newest_at = max(self._newest_at, newest_at)
        self.view = self.view._replace(revision=max(revision, self.view.revision))
        return False

    def apply(self, view: OperatorView, read_at: float, source: str) -> bool:
        """Take a view that was the newest at ``read_at``; True if it changed anything.

        ``source`` is who told, for the log.
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
            # Versions only grow; an older one can only be news that came late.
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
