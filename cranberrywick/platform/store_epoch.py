"""The store's epoch, as its answers state it."""

import re
from collections.abc import Mapping

from cranberrywick.logs import EventLog
from cranberrywick.routing.store_position import UNKNOWN_EPOCH

__all__ = ["StoreEpochs"]

EPOCH_HEADER = "Store-Era"
# At most eighteen digits, which fit in a signed integer of 64 bits.
_EPOCH = re.compile(r"[0-9]{1,18}")
# Number of malformed values that are logged; a store may send any number of them.
MAX_LOGGED_VALUES = 16


class StoreEpochs:
    """Reads the epoch of each answer; any thread may call it.

    An answer with no or a malformed value counts as one of the newest epoch known.

    >>> epochs = StoreEpochs(log)
    >>> epochs.read({"Store-Era": "3"}), epochs.read({})
    (3, 3)
    """

    def __init__(self, log: EventLog):
        self._log = log
        self._newest = UNKNOWN_EPOCH
        self._logged_values: set[str | None] = set()

    def read(self, headers: Mapping[str, str]) -> int:
        """Return the epoch of the answer with these headers."""
        value = headers.get(EPOCH_HEADER)
        if value is not None and _EPOCH.fullmatch(value):
            epoch = int(value)
            self._newest = max(self._newest, epoch)
            return epoch
        if value is not None or self._newest != UNKNOWN_EPOCH:
            self._log_unreadable(value)
        return self._newest

    def _log_unreadable(self, value: str | None) -> None:
        """Log a malformed or missing value, each value once."""
        if value in self._logged_values or len(self._logged_values) > MAX_LOGGED_VALUES:
            return
        self._logged_values.add(value)
        self._log.warning("store_epoch_unreadable", value=value, epoch=self._newest)
