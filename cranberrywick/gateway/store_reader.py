"""Blocking calls to the store, made on an actor's thread."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from cranberrywick.controllers.actor import Controller
from cranberrywick.errors import CranberrywickError
from cranberrywick.routing.model import EndpointView, OperatorView
from cranberrywick.routing.store_position import StorePosition

__all__ = ["Registered", "Store", "StoreReader"]


class Registered(NamedTuple):
    """A daemon's registration: its lease, and the position at which it was written.

    A store that came back from an older copy has lost the lease, and may have given its
    number to another daemon.
    """

    lease: int
    position: StorePosition


class Store(Protocol):
    """The methods of a store that the gateway calls; every method blocks.

    Each raises `PlatformUnavailable` when there was no usable answer.
    """

    def read_endpoints(self) -> EndpointView:
        """Return all registered endpoints."""

    def read_operator(self) -> OperatorView:
        """Return the operators' view."""

    def read_members(self) -> dict[str, str]:
        """Return the registered daemons' peer addresses by their ids."""

    def register(
        self, daemon_id: str, peer_address: str, ttl_seconds: float
    ) -> Registered:
        """Register a daemon for ``ttl_seconds``."""

    def keep(self, registered: Registered) -> None:
        """Renew a registration's lease. Raises `LeaseLapsed` if it has ended."""

    def end(self, daemon_id: str, registered: Registered) -> None:
        """Remove a registration, unless it was written again since."""

    def read_quarantines(self) -> frozenset[str]:
        """Return the traits of requests that are quarantined."""

    def write_quarantine(self, trait_id: str, seconds: float) -> None:
        """Record a quarantine for so many seconds, unless it is on record."""

    def remove_quarantine(self, trait_id: str) -> None:
        """Remove the record of a quarantine."""


class StoreReader(Controller):
    """An actor that makes one call to the store at a time."""

    def call(
        self,
        make: Callable[[], object],
        done: Callable[[object | CranberrywickError], None],
    ) -> None:
        """Make a call and pass its answer, or the error, to ``done``.

        ``done`` is called on the actor's thread.
        """
        try:
            answer = make()
        except CranberrywickError as error:
            answer = error
        except Exception as error:
            # The store's answer has an unexpected form. Without an outcome the same
            # call would never be made again.
            kind = type(error).__name__
            answer = CranberrywickError(f"unusable answer: {kind}: {error!s:.100}")
        done(answer)
