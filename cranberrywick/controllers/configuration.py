"""Keeps the configuration in force current and never returns to an older version.

A daemon learns of a version by changing the configuration itself, by a watch on the
platform, or from a peer. All three offer the version to one actor, which puts it in
force only if it is newer. Requests read `ConfigurationController.current`, an
attribute that is replaced as a whole, so that no request waits for the actor or for
the platform.
"""

import random
import threading
from collections.abc import Callable
from typing import NamedTuple

import pykka

from cranberrywick.configuration.document import check
from cranberrywick.configuration.envelope import AcceptedConfiguration, parse_envelope
from cranberrywick.configuration.store import (
    CURRENT_KEY,
    ConfigurationStore,
)
from cranberrywick.errors import CranberrywickError, InvalidConfiguration
from cranberrywick.external.key_value import KeyValueStore
from cranberrywick.logs import EventLog

__all__ = ["ConfigurationController"]

# Longest duration of one watch, in seconds. A watch may miss an event, so each one
# ends with a read. At 320 daemons, one watch and one read per daemon every ten
# seconds are 64 calls per second, 3% of the platform's reads.
WATCH_SECONDS = 10.0
# The pause before a retry, in seconds, is drawn between zero and a cap that doubles
# with each failure between these two. The full jitter spreads the return of 320
# daemons after an outage over the cap.
RETRY_MINIMUM_SECONDS = 0.2
RETRY_MAXIMUM_SECONDS = 5.0
# Pause between two watches, in seconds. It bounds the rate of calls when watches end
# at once, as they do during a burst of changes.
WATCH_PAUSE_SECONDS = 0.1

_log = EventLog(part="configuration")


class _Offer(NamedTuple):
    accepted: AcceptedConfiguration
    source: str


class _Publisher(pykka.ThreadingActor):
    """Decides on the offered versions one after another; never calls the platform.

    If it did, a version from a peer would wait behind a platform call that hangs,
    during the outages in which peers are the only source of new versions.
    """

    use_daemon_thread = True

    def __init__(self, controller: "ConfigurationController"):
        super().__init__()
        self._controller = controller

    def on_receive(self, message: _Offer) -> bool:
        return self._controller._put_in_force(message)


class ConfigurationController:
    """Holds the configuration in force, and keeps it current from `start` to `stop`.

    >>> controller = ConfigurationController(open_key_value_store(urls))
    >>> controller.start()
    >>> controller.current.configuration.targets_by_class["summary"]
    ClassTargets(first_token_seconds=1.0, ...)
    """

    def __init__(self, key_value: KeyValueStore, seed: int | None = None):
        self._key_value = key_value
        self.store = ConfigurationStore(key_value)
        self._random = random.Random(seed)
        # Only the publisher replaces it, as a whole, so that reading needs no lock.
        self.current: AcceptedConfiguration | None = None
        self._callbacks: list[Callable[[AcceptedConfiguration], None]] = []
        self._changed = threading.Condition()
        self._stopping = threading.Event()
        self._publisher: pykka.ActorRef | None = None
        self._watcher = threading.Thread(
            target=self._watch, name="configuration-watch", daemon=True
        )

    @property
    def ready(self) -> bool:
        """Whether a version that operators have accepted is in force."""
        return self.current is not None and self.current.version > 0

    def on_change(self, callback: Callable[[AcceptedConfiguration], None]) -> None:
        """Call ``callback`` with each new version, on the actor's thread."""
        self._callbacks.append(callback)

    def start(self) -> None:
        """Start the actor and the thread that watches the platform."""
        self._publisher = _Publisher.start(self)
        self._watcher.start()

    def stop(self) -> None:
        """Stop the actor; the watch thread ends when its current call returns."""
        self._stopping.set()
        self._publisher.stop()

    def offer_from_peer(self, version: int, change_id: str, document: dict) -> None:
        """Put a version that a peer has in force also in force here, if it is newer.

        Raises `InvalidConfiguration` for a document that this daemon can't use.
        """
        current = self.current
        if current is not None and (version, change_id) <= current.order:
            return
        offered = AcceptedConfiguration(version, change_id, document, check(document))
        self._publisher.tell(_Offer(offered, "peer"))

    def change(
        self, edit: Callable[[dict], dict], **options: object
    ) -> AcceptedConfiguration:
        """Change the document by `ConfigurationStore.change` and put it in force here.

        ``options`` are passed on to that method, and its errors are raised here. Runs
        on the caller's thread and waits for the platform and for the actor.
        """
        floor = self.current.version if self.current else 0
        accepted = self.store.change(edit, floor_version=floor, **options)
        self._publisher.ask(_Offer(accepted, "operator"))
        return accepted

    def wait_for_version(self, version: int, timeout: float) -> bool:
        """Wait until ``version`` or a newer one is in force here.

        Returns False if that has not happened after ``timeout`` seconds.
        """
        with self._changed:
            return self._changed.wait_for(
                lambda: self.current is not None and self.current.version >= version,
                timeout,
            )

    def _put_in_force(self, offer: _Offer) -> bool:
        # A stale read, a watch event out of order and a slow peer all offer versions
        # that have been replaced. Putting one in force would restore targets, keys or
        # a failure domain that operators have withdrawn, so only a greater version is
        # accepted.
        current = self.current
        if current is not None and offer.accepted.order <= current.order:
            self._add_missing_changes(offer.accepted)
            return False
        with self._changed:
            self.current = offer.accepted
            self._changed.notify_all()
        _log.info(
            "configuration_in_force",
            version=offer.accepted.version,
            change_id=offer.accepted.change_id,
            source=offer.source,
        )
        for callback in self._callbacks:
            self._notify(callback, offer.accepted)
        return True

    def _add_missing_changes(self, accepted: AcceptedConfiguration) -> None:
        """Add the list of changes, which a version from a peer comes without."""
        if accepted.order == self.current.order and not self.current.changes:
            self.current = accepted

    def _notify(
        self,
        callback: Callable[[AcceptedConfiguration], None],
        accepted: AcceptedConfiguration,
    ) -> None:
        # An exception in one callback must not keep the version from the others.
        try:
            callback(accepted)
        except Exception as error:
            _log.error("configuration_callback_failed", error=error)

    def _watch(self) -> None:
        failures = 0
        after = None
        while not self._stopping.is_set():
            try:
                after = self._watch_once(after)
                failures = 0
                self._stopping.wait(WATCH_PAUSE_SECONDS)
            except pykka.ActorDeadError:
                return
            except CranberrywickError as error:
                failures += 1
                if failures == 1:
                    _log.warning("configuration_watch_failed", error=error)
                self._stopping.wait(self._retry_pause(failures))

    def _watch_once(self, after: int | None) -> int:
        """Wait for a change, unless ``after`` is None, and read the configuration.

        Returns the store revision after which the next watch starts.
        """
        if after is None:
            self._offer(self.store.read_latest(), "platform")
        else:
            answer = self._key_value.watch(CURRENT_KEY, after, WATCH_SECONDS)
            for event in answer.events:
                self._offer_text(event.value)
        entry = self._key_value.get(CURRENT_KEY)
        self._offer_text(entry.value)
        # A stale read returns an old revision. A watch after that one would return at
        # once every time.
        return max(after or 0, entry.store_revision)

    def _offer_text(self, text: str | None) -> None:
        if text is None:
            return
        try:
            accepted = parse_envelope(text)
        except InvalidConfiguration as error:
            # A newer program or an operator by hand wrote it; the version in force
            # stays.
            _log.error("configuration_unusable", error=error)
            return
        self._offer(accepted, "platform")

    def _offer(self, accepted: AcceptedConfiguration, source: str) -> None:
        self._publisher.tell(_Offer(accepted, source))

    def _retry_pause(self, failures: int) -> float:
        cap = min(RETRY_MAXIMUM_SECONDS, RETRY_MINIMUM_SECONDS * 2 ** min(failures, 10))
        return self._random.uniform(0, cap)
