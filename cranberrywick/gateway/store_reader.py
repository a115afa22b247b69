"""Blocking calls to the store, on a thread of their own."""

from collections.abc import Callable
from typing import Protocol

from cranberrywick.controllers.actor import Controller
from cranberrywick.errors import CranberrywickError
from cranberrywick.routing.model import EndpointView, OperatorView

__all__ = ["Store", "StoreReader"]


class Store(Protocol):
    """What the gateway needs of a store; every method blocks.

    Each raises `PlatformUnavailable` when there was no usable answer.
    """

    def read_endpoints(self) -> EndpointView:
        """Read every registered endpoint."""

    def read_operator(self) -> OperatorView:
        """Read what operators have written."""

    def read_members(self) -> dict[str, str]:
        """Read the peer addresses of the daemons by id."""

    def register(self, daemon_id: str, peer_address: str, ttl_seconds: float) -> int:
        """Register this daemon and return its lease."""

    def keep(self, lease: int) -> None:
        """Renew a lease."""

    def end(self, lease: int) -> None:
        """End a lease."""


class StoreReader(Controller):
    """Makes one call at a time and hands the answer, or the failure, to ``done``.

    ``done`` is called on the actor's thread.
    """

    def call(
        self,
        make: Callable[[], object],
        done: Callable[[object | CranberrywickError], None],
    ) -> None:
        """Make a call of the store."""
        try:
            answer = make()
        except CranberrywickError as error:
            answer = error
        except (KeyError, TypeError, ValueError) as error:
            # An answer in another form than the store's own.
            answer = CranberrywickError(f"unusable answer: {error!s:.100}")
        done(answer)
