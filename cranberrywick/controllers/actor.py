"""The base class of the controllers: an actor that survives an exception in a call."""

from collections.abc import Callable
from typing import Any, NamedTuple

import pykka

from cranberrywick.logs import EventLog

__all__ = ["Controller", "ControllerHandle"]

_log = EventLog(part="controllers")


class _Call(NamedTuple):
    method: Callable[..., None]
    arguments: tuple[Any, ...]


class Controller(pykka.ThreadingActor):
    """An actor whose messages are calls of its own methods.

    A plain pykka actor stops at the first exception, and a proxy stores the
    exception in a future that nobody reads. A controller logs it and runs the next
    call. That is safe because each message is complete in itself: a later one
    replaces whatever state the failed call left.
    """

    use_daemon_thread = True

    def on_receive(self, message: _Call) -> None:
        """Run one call, and log the exception if it raises one."""
        try:
            message.method(self, *message.arguments)
        except Exception as error:
            name = message.method.__qualname__
            _log.error("controller_call_failed", method=name, error=error)


class ControllerHandle:
    """Starts a controller and queues calls for it without waiting for them.

    >>> grants = ControllerHandle(GrantsController, myself, outbox)
    >>> grants.tell(GrantsController.tick)
    """

    def __init__(self, kind: type[Controller], *arguments: object):
        self._ref = kind.start(*arguments)

    @property
    def waiting(self) -> int:
        """The number of queued calls that have not been run yet."""
        return self._ref.actor_inbox.qsize()

    def tell(self, method: Callable[..., None], *arguments: object) -> None:
        """Queue a call; after `stop` it does nothing."""
        try:
            self._ref.tell(_Call(method, arguments))
        except pykka.ActorDeadError:
            # A timer or datagram can still arrive after the node has stopped.
            pass

    def stop(self) -> None:
        """Run the queued calls, then stop the actor."""
        self._ref.stop()
