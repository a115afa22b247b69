"""How far this daemon has followed the store's history; logs and counts its returns."""

from collections.abc import Callable

from cranberrywick.gateway.lazy_metrics import LazyMetrics
from cranberrywick.gateway.throttled_log import ThrottledLog
from cranberrywick.logs import EventLog
from cranberrywick.routing.store_position import UNKNOWN_EPOCH, StorePosition

__all__ = ["StoreHistory"]


class StoreHistory:
    """The newest epoch of the store that this daemon knows, from any source.

    ``clock`` returns the time in seconds.
    """

    def __init__(self, clock: Callable[[], float], metrics: LazyMetrics, log: EventLog):
        self._clock = clock
        self._metrics = metrics
        self._log = log
        self._ignored_logs_by_reader: dict[str, ThrottledLog] = {}
        self.epoch = UNKNOWN_EPOCH

    def observe(self, epoch: int, source: str) -> bool:
        """Record an epoch; return whether the store has returned with a new one.

        ``source`` names where it comes from, for the log. The first epoch known is no
        return.
        """
        if epoch <= self.epoch:
            return False
        before, self.epoch = self.epoch, epoch
        is_first = before == UNKNOWN_EPOCH
        log = self._log.info if is_first else self._log.warning
        log("store_epoch_changed", epoch=epoch, before=before, source=source)
        if is_first:
            return False
        self._metrics.store_epoch_changed()
        return True

    def reading_ignored(
        self, reader: str, read: StorePosition, known: StorePosition
    ) -> None:
        """Record a reading that has no effect, since a later one is known."""
        self._metrics.store_reading_ignored(reader)
        log = self._ignored_logs_by_reader.get(reader)
        if log is None:
            log = ThrottledLog(self._log, self._clock)
            self._ignored_logs_by_reader[reader] = log
        log.warning(
            "store_reading_ignored",
            reader=reader,
            epoch=read.epoch,
            revision=read.revision,
            known_epoch=known.epoch,
            known_revision=known.revision,
        )
