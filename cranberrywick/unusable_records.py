"""Log lines about records in the store that nothing can be done with."""

from collections.abc import Mapping
from itertools import islice

from cranberrywick.logs import EventLog

__all__ = ["UnusableRecords"]

# Largest number of records that one reading logs; the others are counted.
MAX_LOGGED = 20


class UnusableRecords:
    """Logs each unusable record of a ``kind`` once until it is usable or removed."""

    def __init__(self, kind: str, log: EventLog):
        self._kind = kind
        self._log = log
        self._logged_ids: frozenset[str] = frozenset()

    def record(self, reasons_by_id: Mapping[str, str], revision: int = 0) -> None:
        """Log the records of a reading that are unusable, and why."""
        new_ids = sorted(reasons_by_id.keys() - self._logged_ids)
        for record_id in islice(new_ids, MAX_LOGGED):
            self._log.warning(
                f"{self._kind}_record_unusable",
                **{self._kind: record_id},
                reason=reasons_by_id[record_id],
                revision=revision,
            )
        if len(new_ids) > MAX_LOGGED:
            self._log.warning(
                f"{self._kind}_records_unusable",
                count=len(new_ids),
                all=len(reasons_by_id),
                revision=revision,
            )
        self._logged_ids = frozenset(reasons_by_id)
