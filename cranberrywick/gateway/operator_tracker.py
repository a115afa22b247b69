"""The operators' configuration and domains out, as this daemon knows them."""

from collections.abc import Callable, Iterable

from cranberrywick.errors import InvalidConfiguration
from cranberrywick.logs import EventLog
from cranberrywick.routing.model import GatewayConfiguration, OperatorView
from cranberrywick.routing.store_knowledge import RetainedDomain, RetainedDomains
from cranberrywick.routing.store_position import UNKNOWN_EPOCH, StorePosition
from cranberrywick.routing.table import RouteTable

__all__ = ["OperatorTracker"]

# Largest number of unusable entries of a configuration that are logged with a reason.
MAX_LOGGED_REASONS = 5


class OperatorTracker:
    """Keeps the newest operators' view; older views change nothing.

    The configuration in force is the one with the highest version, also if the store
    came back without it, and domains that were out then stay out until it shows them.
    ``decode`` parses the operators' document into a configuration.
    """

    def __init__(self, decode: Callable[[bytes], GatewayConfiguration], log: EventLog):
        self._decode = decode
        self._log = log
        self.view: OperatorView | None = None
        self.table: RouteTable | None = None
        self.document_in_force = b""
        self._retained = RetainedDomains()
        # The epoch of the store in which domains are retained.
        self._retained_epoch = UNKNOWN_EPOCH
        # The failure domains that are out of service and get no new work.
        self.domains_out: frozenset[str] = frozenset()
        # The failure domains that get no new work, with the earliest moment at which
        # each may have been taken out.
        self.out_since_by_domain: dict[str, float] = {}
        self._newest_at = float("-inf")
        self._unusable_digest: int | None = None

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

    @property
    def version(self) -> int:
        """The version of the configuration in force; 0 without one."""
        return self.table.configuration.version if self.table else 0

    @property
    def retained_domains(self) -> tuple[RetainedDomain, ...]:
        """The domains that stay out although the store does not show them so."""
        return self._retained.entries

    def age(self, now: float) -> float:
        """Return the seconds since the view was known to be the newest."""
        return now - self._newest_at

    def compare(
        self, position: StorePosition, digest: int, newest_at: float, version: int
    ) -> bool:
        """Compare with a peer's view; return whether it is newer and should be fetched.

        The peer's view was the newest at ``newest_at``. If both have the same digest,
        so was this one, which is recorded. The configuration that the peer has in force
        has the ``version``, which may be newer than its view's.
        """
        is_stated = position.epoch != UNKNOWN_EPOCH
        if not is_stated and newest_at <= self._newest_at:
            return version > self.version
        position = self._stated(position)
        if self.view is None or digest != self.digest:
            return position > self.position or version > self.version
        if position.epoch >= self.position.epoch:
            self._newest_at = max(self._newest_at, newest_at)
            newest = max(position, self.position) if is_stated else self.position
            self.view = self.view._replace(revision=newest.revision, epoch=newest.epoch)
            self._record_shown(self.view)
        return version > self.version

    def apply(self, view: OperatorView, read_at: float, source: str) -> bool:
        """Apply a view; return whether it changed anything.

        The view was the newest at ``read_at``. ``source`` names where it comes from,
        for the log.
        """
        own = self.view
        if view.epoch == UNKNOWN_EPOCH and read_at <= self._newest_at:
            return False
        position = self._stated(view.position)
        view = view._replace(epoch=position.epoch)
        if own is not None and position < own.position:
            return False
        if own is not None and view.epoch > own.epoch:
            # Also what peers' older views have shown since the return was known.
            self.store_returned(view.epoch, read_at)
        self._record_shown(view)
        if own is not None and view.digest == own.digest:
            self.view = view
            self._newest_at = max(self._newest_at, read_at)
            return False
        if view.document and not self._apply_document(view, source):
            return False
        known_until, self._newest_at = self._newest_at, max(self._newest_at, read_at)
        self.view = view
        self._set_domains_out(known_until, source, is_first=own is None)
        return True

    def apply_in_force(self, document: bytes, view: OperatorView, source: str) -> bool:
        """Apply the configuration that a peer has in force; return whether it is new.

        The peer's ``view`` holds an older one.
        """
        version = self.version
        in_force = OperatorView.of(view.revision, document, frozenset(), view.epoch)
        return self._apply_document(in_force, source) and self.version > version

    def store_returned(self, epoch: int, now: float) -> None:
        """Keep the domains that are out: the store may have forgotten them."""
        self._retained_epoch = epoch
        self._retained.store_returned(self.domains_out, self._newest_at, now)
        if self.domains_out:
            self._log.info(
                "domains_out_retained", domains=",".join(sorted(self.domains_out))
            )

    def adopt(self, entries: Iterable[RetainedDomain], epoch: int, source: str) -> bool:
        """Keep domains out that a peer keeps out; return whether there are new ones.

        ``epoch`` is the store's after whose beginning the peer keeps them.
        """
        adopted = [entry for entry in entries if self._retained.adopt(entry)]
        if adopted:
            self._retained_epoch = epoch
            self._set_domains_out(float("-inf"), source)
        return bool(adopted)

    def expire(self, now: float) -> bool:
        """Use retained domains again whose time is over; return whether there are."""
        if not self._retained.expire(now):
            return False
        self._set_domains_out(now, "expired")
        return True

    def _record_shown(self, view: OperatorView) -> None:
        # What a view from before the return shows may have been forgotten by it.
        if view.epoch >= self._retained_epoch:
            self._retained.shown(view.domains_out)

    def _stated(self, position: StorePosition) -> StorePosition:
        """Return a position; one of an unknown epoch counts as of the own one.

        Daemons of earlier versions state none. Those that have missed a return know
        nothing later than it, so that the time of their view shows it to be older.
        """
        if position.epoch == UNKNOWN_EPOCH:
            return position._replace(epoch=self.position.epoch)
        return position

    def _set_domains_out(
        self, known_until: float, source: str, is_first: bool = False
    ) -> None:
        shown = self.view.domains_out if self.view else frozenset()
        before, self.domains_out = self.domains_out, shown | self._retained.names
        self.out_since_by_domain = {
            domain: self.out_since_by_domain.get(domain, known_until)
            for domain in self.domains_out
        }
        if is_first or before != self.domains_out:
            self._log.info(
                "domains_out_changed",
                domains=",".join(sorted(self.domains_out)),
                retained=",".join(sorted(self._retained.names)),
                revision=self.revision,
                source=source,
            )

    def _apply_document(self, view: OperatorView, source: str) -> bool:
        """Apply a view's document unless a newer one is in force.

        Return False if it can't be used.
        """
        if view.document == self.document_in_force:
            return True
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
        before = self.version
        if configuration.version < before:
            # Versions only grow: the store came back from a copy without the newer one.
            self._log.info(
                "configuration_retained",
                version=before,
                stored=configuration.version,
                revision=view.revision,
                source=source,
            )
            return True
        table = RouteTable(configuration)
        contended = self.table.contended_services if self.table else set()
        if table.contended_services != contended:
            self._log.info(
                "contended_services_changed",
                services=",".join(sorted(table.contended_services)),
                before=",".join(sorted(contended)),
                version=configuration.version,
            )
        self.table = table
        self.document_in_force = view.document
        unusable = configuration.unusable.reasons
        if unusable:
            self._log.error(
                "configuration_entries_unusable",
                version=configuration.version,
                count=len(unusable),
                reasons="; ".join(unusable[:MAX_LOGGED_REASONS]),
            )
        self._log.info(
            "configuration_applied",
            version=configuration.version,
            before=before,
            revision=view.revision,
            source=source,
        )
        return True
