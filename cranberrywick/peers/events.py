"""Subscriptions to the events that a node reports to the rest of the daemon."""

from collections.abc import Callable

from cranberrywick.controllers.membership import Snapshot
from cranberrywick.model import EndpointLoad, Share
from cranberrywick.peers.messages import LeavingEndpoint

__all__ = ["PeerEvents", "call_all"]


class PeerEvents:
    """Keeps the callbacks for each kind of event.

    Callbacks run on the node's threads, so they have to be short and must never wait.
    """

    def __init__(self) -> None:
        self._configuration_callbacks: list[Callable[[int, bytes], None]] = []
        self._leaving_callbacks: list[Callable[[LeavingEndpoint], None]] = []
        self._membership_callbacks: list[Callable[[Snapshot], None]] = []
        self._shares_callbacks: list[Callable[[dict[str, Share]], None]] = []
        self._load_callbacks: list[Callable[[EndpointLoad], None]] = []
        self._stewarded_callbacks: list[Callable[[frozenset[str]], None]] = []

    def on_configuration(self, callback: Callable[[int, bytes], None]) -> None:
        """Call with the version and document of a newer configuration from a peer.

        The node offers it to other peers only after `PeerNode.set_configuration`.
        """
        self._configuration_callbacks.append(callback)

    def on_leaving(self, callback: Callable[[LeavingEndpoint], None]) -> None:
        """Call with an endpoint once it is first known to be leaving.

        A newer incarnation of the endpoint that leaves is reported again.
        """
        self._leaving_callbacks.append(callback)

    def on_membership(self, callback: Callable[[Snapshot], None]) -> None:
        """Call with each changed snapshot of the members."""
        self._membership_callbacks.append(callback)

    def on_shares(self, callback: Callable[[dict[str, Share]], None]) -> None:
        """Call with this daemon's shares by endpoint id, on each change.

        The call is repeated at least every second. An endpoint that is missing may not
        be used.
        """
        self._shares_callbacks.append(callback)

    def on_load(self, callback: Callable[[EndpointLoad], None]) -> None:
        """Call with each load report that a steward forwards."""
        self._load_callbacks.append(callback)

    def on_stewarded(self, callback: Callable[[frozenset[str]], None]) -> None:
        """Call with the ids of the endpoints that this daemon is now steward of.

        A steward has to request the load of its endpoints.
        """
        self._stewarded_callbacks.append(callback)


def call_all(callbacks: list[Callable[..., None]], *arguments: object) -> None:
    """Call each of ``callbacks`` with these arguments."""
    for callback in callbacks:
        callback(*arguments)
