"""Keeps the configuration in force up to date, and never turns it back.

A version reaches a daemon by its own change, by one watch on the platform, or from
a peer. All three are offers to one actor, which puts an offer in force only when
it is newer. Requests read `ConfigurationController.current`, an attribute that is
replaced whole, so none ever waits for the actor or for the platform.
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

# A watch may miss an event, so each one ends with a read. At 320 daemons one watch
# and one read each ten seconds are 64 calls a second, 3% of the platform's reads.
WATCH_SECONDS = 10.0
# Full jitter up to the cap spreads 320 daemons' return from an outage over it.
RETRY_MINIMUM_SECONDS = 0.2
RETRY_MAXIMUM_SECONDS = 5.0
# Bounds the calls a second where watches end at once, as after a burst of changes.
WATCH_PAUSE_SECONDS = 0.1

_log = EventLog(part="configuration")


class _Offer(NamedTuple):
    accepted: AcceptedConfiguration
    source: str


class _Publisher(pykka.ThreadingActor):
    """Decides on offers one after another; it never calls the platform.

    Were the platform called here, a version from a peer would wait behind a call
    that hangs, just when peers are the only source left.
    """

    use_daemon_thread = True

    def __init__(self, controller: "ConfigurationController"):
        super().__init__()
        self._controller = controller

    def on_receive(self, message: _Offer) -> bool:
        return self._controller._put_in_force(message)


class ConfigurationController:
    """The configuration in force, kept up to date from `start` to `stop`.

    >>> controller = ConfigurationController(open_key_value_store(urls))
    >>> controller.start()
    >>> controller.current.configuration.targets_by_class["summary"]
    ClassTargets(first_token_seconds=1.0, ...)
    """

    def __init__(self, key_value: KeyValueStore, seed: int | None = None):
        self._key_value = key_value
        self.store = ConfigurationStore(key_value)
        self._random = random.Random(seed)
        # Replaced whole by the publisher alone; reading it needs no lock.
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
        """Whether a configuration is in force that operators have accepted."""
        return self.current is not None and self.current.version > 0

    def on_change(self, callback: Callable[[AcceptedConfiguration], None]) -> None:
        """Call back with each new version, on the controller's thread."""
        self._callbacks.append(callback)

    def start(self) -> None:
        """Start the actor and the watch."""
        self._publisher = _Publisher.start(self)
        self._watcher.start()

    def stop(self) -> None:
        """Stop both; the watch thread ends with the call it is in."""
        self._stopping.set()
        self._publisher.stop()

    def offer_from_peer(self, version: int, change_id: str, document: dict) -> None:
        """Take a version that a peer has in force; an old one changes nothing.

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
        """Change the document as `ConfigurationStore.change` does, in force here.

        Runs on the caller's thread and may take as long as the platform does.
        """
        floor = self.current.version if self.current else 0
        accepted = self.store.change(edit, floor_version=floor, **options)
        self._publisher.ask(_Offer(accepted, "operator"))
        return accepted

    def wait_for_version(self, version: int, timeout: float) -> bool:
        """Wait until at least ``version`` is in force here; say whether it is."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self.current is not None and self.current.version >= version,
                timeout,
            )

    def _put_in_force(self, offer: _Offer) -> bool:
        # A stale read, a watch out of order and a slow peer all offer versions that
        # were replaced; taking one would bring back targets, keys or a failure
        # domain that operators have withdrawn. Only a greater version is taken.
        current = self.current
        if current is not None and offer.accepted.order <= current.order:
            self._complete(offer.accepted)
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
            self._call_back(callback, offer.accepted)
        return True

    def _complete(self, accepted: AcceptedConfiguration) -> None:
        """Add the list of changes, which a peer's copy of a version lacks."""
        if accepted.order == self.current.order and not self.current.changes:
            self.current = accepted

    def _call_back(
        self,
        callback: Callable[[AcceptedConfiguration], None],
        accepted: AcceptedConfiguration,
    ) -> None:
        # One subscriber's fault must not keep the version from the others.
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
        """Read once, or wait for a change and read; return the revision to go on."""
        if after is None:
            self._offer(self.store.read_latest(), "platform")
        else:
            answer = self._key_value.watch(CURRENT_KEY, after, WATCH_SECONDS)
            for event in answer.events:
                self._offer_text(event.value)
        entry = self._key_value.get(CURRENT_KEY)
        self._offer_text(entry.value)
        # A stale read gives an old revision; to watch from there would answer at
        # once, again and again.
        return max(after or 0, entry.store_revision)

    def _offer_text(self, text: str | None) -> None:
        if text is None:
            return
        try:
            accepted = parse_envelope(text)
        except InvalidConfiguration as error:
            # Written by a newer program, or by hand: what is in force stays.
            _log.error("configuration_unusable", error=error)
            return
        self._offer(accepted, "platform")

    def _offer(self, accepted: AcceptedConfiguration, source: str) -> None:
        self._publisher.tell(_Offer(accepted, source))

    def _retry_pause(self, failures: int) -> float:
        cap = min(RETRY_MAXIMUM_SECONDS, RETRY_MINIMUM_SECONDS * 2 ** min(failures, 10))
        return self._random.uniform(0, cap)
