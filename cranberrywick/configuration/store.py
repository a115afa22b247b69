"""The configuration in the key-value service: reads, changes and history.

``config/current`` holds the accepted document with its version. A change is a
compare-and-swap of that one key, so that of two operators at the same time only one
succeeds. The version to be replaced is first copied to ``config/history/VERSION``:
if it were copied after the swap, a daemon that died in between would leave a gap in
the history.
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
# Number of versions kept and of changes listed, the current one included: at 450
# changes a day about an hour to go back to, and at most 20 MiB of stored values.
HISTORY_LENGTH = 20

# Longest time for which a change is retried before its outcome is reported as unknown,
# and the bounds of the pause between two attempts, in seconds.
SETTLE_SECONDS = 15.0
PAUSE_MINIMUM_SECONDS = 0.05
PAUSE_MAXIMUM_SECONDS = 1.0


class NewerVersion(VersionConflict):
    """Another operator's change was accepted first; ``current`` is the newest."""

    def __init__(self, current: AcceptedConfiguration):
        super().__init__(f"version {current.version} was accepted before this change")
        self.current = current


class ChangeOutcomeUnknown(CranberrywickError):
    """The platform did not answer whether the change was written.

    Once it answers again, the history shows whether ``change_id`` was accepted.
    """

    type = "change_outcome_unknown"
    status = 504

    def __init__(self, change_id: str):
        super().__init__(f"no answer says whether change {change_id} was accepted")
        self.change_id = change_id


class _Stored(NamedTuple):
    """The stored configuration and its key's revision; 0 is a missing key."""

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
        """Return the configuration, which may be stale, or None if none is stored."""
        entry = self._key_value.get(CURRENT_KEY)
        return parse_envelope(entry.value) if entry.value is not None else None

    def read_latest(self) -> AcceptedConfiguration:
        """Return the newest configuration; write an empty version 0 if none is stored.

        A plain read may be stale, and a daemon that has just started has no newer
        version to compare it with: it would serve with a configuration that has
        been replaced. The key is therefore read by a compare-and-swap that expects
        it to be missing; where it exists, the conflict holds its current value.
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
                raise _unchanged_error(error) from error

    def change(
        self,
        edit: Callable[[dict], dict],
        *,
        base_version: int | None = None,
        operator: str = "",
        change_id: str | None = None,
        floor_version: int = 0,
    ) -> AcceptedConfiguration:
        """Replace the document by what ``edit`` returns for it.

        With ``base_version`` the change is refused with `NewerVersion` unless that
        is the current version. Without it, ``edit`` is called again on the document
        of a change that was written first. ``floor_version`` is the version in force
        on this daemon: if the platform has lost its store, versions continue from
        there instead of starting at 1 again. If ``change_id`` is already among the
        latest changes, nothing is changed and the current configuration is returned.

        Raises `InvalidConfiguration` when the new document is refused,
        `PlatformUnavailable` when nothing was changed, and `ChangeOutcomeUnknown`
        when the change may have been written.
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
                # There is no difference, for example a failure domain already out.
                return stored.accepted
            replacement = _next_version(
                stored, document, change_id, operator, floor_version
            )
            self._archive(stored.accepted)
            result = self._swap(replacement, stored.revision)
            if _has_change(result.accepted, change_id):
                self._prune(result.accepted.version)
                return result.accepted
            stored = result

    def _swap(self, replacement: AcceptedConfiguration, revision: int) -> _Stored:
        """Write ``replacement`` if the key is unchanged; return what is then stored.

        An answer can be lost after the write has taken effect. The same compare-and-
        swap is then sent again. If the first one took effect, the second is refused
        with the stored value, whose list of latest changes shows the first; if not,
        the second one writes. The change takes effect at most once, since any write
        changes the revision that both attempts expect.
        """
        text = to_text(replacement)
        give_up_at = self._clock() + SETTLE_SECONDS
        may_be_written = False
        while True:
            try:
                written = self._key_value.put(
                    CURRENT_KEY, text, expected_revision=revision
                )
                return _Stored(replacement, written)
            except RevisionConflict as conflict:
                return _stored(conflict)
            except AmbiguousWrite:
                may_be_written = True
            except PlatformUnavailable:
                if not may_be_written:
                    raise
            if self._clock() >= give_up_at:
                raise ChangeOutcomeUnknown(replacement.change_id)
            self._pause()

    def _pause(self) -> None:
        self._sleep(self._random.uniform(PAUSE_MINIMUM_SECONDS, PAUSE_MAXIMUM_SECONDS))

    def _archive(self, accepted: AcceptedConfiguration) -> None:
        """Copy the version to be replaced to the history, unless it is there."""
        key = f"{HISTORY_PREFIX}{accepted.version}"
        try:
            self._key_value.put(key, to_text(accepted), expected_revision=0)
        except RevisionConflict:
            pass
        except AmbiguousWrite as error:
            raise _unchanged_error(error) from error

    def _prune(self, version: int) -> None:
        # A failure is ignored: the version that is left over only takes room until the
        # next change, since each change deletes the two versions past the history.
        try:
            for old in range(
                version - HISTORY_LENGTH - 1, version - HISTORY_LENGTH + 1
            ):
                if old >= 0:
                    self._key_value.delete(f"{HISTORY_PREFIX}{old}")
        except PlatformUnavailable:
            pass

    def read_version(self, version: int) -> AcceptedConfiguration:
        """Return the current or a kept version; raises `NotFound` for any other."""
        current = self._read_stored().accepted
        if current.version == version:
            return current
        value = self._key_value.get(f"{HISTORY_PREFIX}{version}").value
        if value is None:
            raise NotFound(f"version {version} is not kept")
        return parse_envelope(value)


def _unchanged_error(error: AmbiguousWrite) -> PlatformUnavailable:
    """Return the error for an unanswered write that left the document unchanged."""
    return PlatformUnavailable(error.message, retry_after=error.retry_after)


def _stored(conflict: RevisionConflict) -> _Stored:
    current = conflict.current
    if current.value is None:
        # The key was deleted by hand, which counts as never written; versions keep
        # growing through ``floor_version``.
        return _Stored(NOTHING_ACCEPTED, 0)
    return _Stored(parse_envelope(current.value), current.revision)


def _has_change(accepted: AcceptedConfiguration, change_id: str) -> bool:
    return any(change.change_id == change_id for change in accepted.changes)


def _next_version(
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
