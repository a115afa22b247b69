"""The configuration as the key-value service keeps it.

``config/current`` holds the accepted document with its version. A change is a
compare-and-swap of that one key, so that of two operators one wins. The version
that is replaced is archived first under ``config/history/VERSION``: were it
written afterwards, a daemon that died in between would leave a hole.
"""

import random
import secrets
import time
from collections.abc import Callable
from datetime import UTC, datetime
from typing import NamedTuple

from cranberrywick.configuration.document import check
from cranberrywick.configuration.envelope import (
    NOTHING_ACCEPTED,
    AcceptedConfiguration,
    Change,
    parse_envelope,
    to_text,
)
from cranberrywick.errors import (
    CranberrywickError,
    NotFound,
    PlatformUnavailable,
    VersionConflict,
)
from cranberrywick.external.key_value import (
    AmbiguousWrite,
    KeyValueStore,
    RevisionConflict,
)

__all__ = [
    "CURRENT_KEY",
    "ChangeOutcomeUnknown",
    "ConfigurationStore",
    "NewerVersion",
]

CURRENT_KEY = "config/current"
HISTORY_PREFIX = "config/history/"
# 450 changes a day: an hour's worth to go back to, and at most 20 MiB kept.
HISTORY_LENGTH = 20

# How long a change is tried before its outcome is called unknown, and the bounds
# of the pause between tries.
SETTLE_SECONDS = 15.0
PAUSE_MINIMUM_SECONDS = 0.05
PAUSE_MAXIMUM_SECONDS = 1.0


class NewerVersion(VersionConflict):
    """Another operator's change came first; ``current`` is what holds now."""

    def __init__(self, current: AcceptedConfiguration):
        super().__init__(f"version {current.version} was accepted before this change")
        self.current = current


class ChangeOutcomeUnknown(CranberrywickError):
    """The platform never said whether the change was written.

    Look for ``change_id`` in the history once the platform answers again.
    """

    type = "change_outcome_unknown"
    status = 504

    def __init__(self, change_id: str):
        super().__init__(f"no answer says whether change {change_id} was accepted")
        self.change_id = change_id


class _Stored(NamedTuple):
    accepted: AcceptedConfiguration
    revision: int


class ConfigurationStore:
    """Reads and changes the configuration in the key-value service.

    ``sleep`` and ``clock`` are replaced in tests.
    """

    def __init__(
        self,
        key_value: KeyValueStore,
        sleep: Callable[[float], None] = time.sleep,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._key_value = key_value
        self._sleep = sleep
        self._clock = clock
        self._random = random.Random()

    def read(self) -> AcceptedConfiguration | None:
        """Return the configuration, which may be stale, or None without one."""
        entry = self._key_value.get(CURRENT_KEY)
        return parse_envelope(entry.value) if entry.value is not None else None

    def read_latest(self) -> AcceptedConfiguration:
        """Return the newest configuration for certain, creating version 0 if none.

        A plain read may be stale, and a daemon that starts has nothing newer to
        hold against it: it would serve with a configuration that was replaced. A
        compare-and-swap that must fail answers with the key's true value.
        """
        return self._read_stored().accepted

    def _read_stored(self) -> _Stored:
        empty = NOTHING_ACCEPTED
        while True:
            try:
                revision = self._key_value.put(
                    CURRENT_KEY, to_text(empty), expected_revision=0
                )
                return _Stored(empty, revision)
            except RevisionConflict as conflict:
                if conflict.current.value is not None:
                    return _stored(conflict)
            except AmbiguousWrite as error:
                raise _nothing_changed(error) from error

    def change(
        self,
        edit: Callable[[dict], dict],
        *,
        base_version: int | None = None,
        operator: str = "",
        change_id: str | None = None,
        floor_version: int = 0,
    ) -> AcceptedConfiguration:
        """Replace the document by what ``edit`` makes of it.

        With ``base_version`` the change is refused with `NewerVersion` unless that
        is the current version; without, ``edit`` is called again on what won.
        ``floor_version`` is the version in force here: were the platform's store
        lost, versions go on from there instead of starting again. A ``change_id``
        given again finds the change that it made before. Raises
        `InvalidConfiguration`, `PlatformUnavailable` when nothing was changed, and
        `ChangeOutcomeUnknown`.
        """
        change_id = change_id or secrets.token_hex(8)
        stored = self._read_stored()
        while True:
            if _has_change(stored.accepted, change_id):
                return stored.accepted
            if base_version not in (None, stored.accepted.version):
                raise NewerVersion(stored.accepted)
            document = edit(stored.accepted.document)
            if stored.accepted.version > 0 and document == stored.accepted.document:
                # Nothing to change, as when a failure domain is out already.
                return stored.accepted
            wanted = _next(stored, document, change_id, operator, floor_version)
            self._archive(stored.accepted)
            found = self._swap(wanted, stored.revision)
            if _has_change(found.accepted, change_id):
                self._prune(found.accepted.version)
                return found.accepted
            stored = found

    def _swap(self, wanted: AcceptedConfiguration, revision: int) -> _Stored:
        """Write ``wanted`` if the key is unchanged; return what then holds.

        An answer can be lost after the write took effect. The same compare-and-
        swap is sent again: if the first one took effect it is refused with the
        value that holds, which carries the ids of the latest changes; if not, it
        does the work. Either way it takes effect once, since any write moves the
        revision that both expect.
        """
        text = to_text(wanted)
        give_up_at = self._clock() + SETTLE_SECONDS
        may_be_written = False
        while True:
            try:
                written = self._key_value.put(
                    CURRENT_KEY, text, expected_revision=revision
                )
                return _Stored(wanted, written)
            except RevisionConflict as conflict:
                return _stored(conflict)
            except AmbiguousWrite:
                may_be_written = True
            except PlatformUnavailable:
                if not may_be_written:
                    raise
            if self._clock() >= give_up_at:
                raise ChangeOutcomeUnknown(wanted.change_id)
            self._pause()

    def _pause(self) -> None:
        self._sleep(self._random.uniform(PAUSE_MINIMUM_SECONDS, PAUSE_MAXIMUM_SECONDS))

    def _archive(self, accepted: AcceptedConfiguration) -> None:
        """Keep the version that is about to be replaced; again is no harm."""
        key = f"{HISTORY_PREFIX}{accepted.version}"
        try:
            self._key_value.put(key, to_text(accepted), expected_revision=0)
        except RevisionConflict:
            pass
        except AmbiguousWrite as error:
            raise _nothing_changed(error) from error

    def _prune(self, version: int) -> None:
        # Left over after a failure here, an old version only takes room until the
        # next change: two are deleted each time.
        try:
            for old in range(
                version - HISTORY_LENGTH - 1, version - HISTORY_LENGTH + 1
            ):
                if old >= 0:
                    self._key_value.delete(f"{HISTORY_PREFIX}{old}")
        except PlatformUnavailable:
            pass

    def read_version(self, version: int) -> AcceptedConfiguration:
        """Return one of the last versions; raises `NotFound`."""
        current = self._read_stored().accepted
        if current.version == version:
            return current
        value = self._key_value.get(f"{HISTORY_PREFIX}{version}").value
        if value is None:
            raise NotFound(f"version {version} is not kept")
        return parse_envelope(value)


def _nothing_changed(error: AmbiguousWrite) -> PlatformUnavailable:
    """Return what an operator is told of a lost write that changes no document."""
    return PlatformUnavailable(error.message, retry_after=error.retry_after)


def _stored(conflict: RevisionConflict) -> _Stored:
    current = conflict.current
    if current.value is None:
        # Deleted by hand: as if it had never been, and versions go on growing.
        return _Stored(NOTHING_ACCEPTED, 0)
    return _Stored(parse_envelope(current.value), current.revision)


def _has_change(accepted: AcceptedConfiguration, change_id: str) -> bool:
    return any(change.change_id == change_id for change in accepted.changes)


def _next(
    stored: _Stored,
    document: dict,
    change_id: str,
    operator: str,
    floor_version: int,
) -> AcceptedConfiguration:
    configuration = check(document)
    version = max(stored.accepted.version, floor_version) + 1
    at = datetime.now(UTC).isoformat(timespec="seconds")
    change = Change(version, change_id, at, operator)
    changes = (*stored.accepted.changes, change)[-HISTORY_LENGTH:]
    return AcceptedConfiguration(version, change_id, document, configuration, changes)
