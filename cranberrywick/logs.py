"""Logs: one line of ``key=value`` pairs for each event, on standard error.

>>> log_event("request_finished", request_id="r-1", class_name="grants")

writes ``time=… level=info event=request_finished request_id=r-1
class_name=grants``. Values with blanks, quotes or control characters are quoted
as in JSON. A line is therefore always one event, and text from a caller that holds a
line break cannot forge a second one.
"""

import json
import logging
import re
import sys
import traceback
from collections.abc import Iterator, Mapping, Sequence
from typing import Any, TextIO

import logbook
from logbook.compat import redirect_logging

from cranberrywick.errors import CranberrywickError, InvalidSettings

__all__ = ["EventLog", "id_lists", "log_event", "make_handler", "set_up_logs"]

# Longest value in a line, in characters. Longer ones are cut, since a value may come
# from a caller's input of megabytes.
MAX_VALUE_CHARACTERS = 400
# Largest number of ids joined in one value. With ids of up to 19 characters the value
# is not longer than `MAX_VALUE_CHARACTERS`.
IDS_PER_VALUE = 20
# Number of innermost stack frames that an error's line names.
MAX_FRAMES = 3

REDACTED = "[redacted]"
# Words in a field's name that mark its value as secret. "token" is not among them:
# "tokens" and "first_token_seconds" are counts and times.
SECRET_WORDS = frozenset(
    {"key", "keys", "secret", "password", "authorization", "authorisation", "cookie"}
)
# A key within another value, such as an exception's text.
SECRET_VALUE = re.compile(r"(?i)\b(bearer|basic)\s+[^\s\"',;]+")
PLAIN_VALUE = re.compile(r"[^\s\"'=\\\x00-\x1f\x7f]+")


class EventLog:
    """Writes events that all begin with the same fields.

    Several daemons can run in one process, so each creates its own:

    >>> log = EventLog(daemon="e1")
    >>> log.warning("peer_silent", peer="e2", seconds=3.2)
    """

    def __init__(self, **common: object):
        self._common = common
        self._logger = logbook.Logger("cranberrywick")

    def debug(self, event: str, /, **fields: object) -> None:
        """Log an event that only developers need."""
        self._log(logbook.DEBUG, event, fields)

    def info(self, event: str, /, **fields: object) -> None:
        """Log an event of normal operation."""
        self._log(logbook.INFO, event, fields)

    def warning(self, event: str, /, **fields: object) -> None:
        """Log a problem that the daemon handled, for operators to see."""
        self._log(logbook.WARNING, event, fields)

    def error(self, event: str, /, **fields: object) -> None:
        """Log a problem that the daemon could not handle."""
        self._log(logbook.ERROR, event, fields)

    def _log(self, level: int, event: str, fields: Mapping[str, object]) -> None:
        extra = {"event": event, **self._common, **fields}
        self._logger.log(level, event, extra=extra)


def id_lists(ids: Sequence[str]) -> Iterator[str]:
    """Yield the ids as comma-separated values, each short enough for one log line.

    Values of ids of up to 19 characters are not cut in the log, so that a search for
    any of the ids finds its line.

    >>> list(id_lists(["e1", "e2"]))
    ['e1,e2']
    """
    for start in range(0, len(ids), IDS_PER_VALUE):
        yield ",".join(ids[start : start + IDS_PER_VALUE])


_PROCESS_LOG = EventLog()


def log_event(event: str, /, **fields: object) -> None:
    """Log ``event`` at level info, without common fields."""
    _PROCESS_LOG.info(event, **fields)


def set_up_logs(level_name: str = "info", stream: TextIO | None = None) -> None:
    """Send this process's logs to ``stream``, by default standard error.

    Warnings that libraries log by the standard library's logging are written in the
    same form. Call once for a process, before its threads start. Raises
    `InvalidSettings` for a level that does not exist.
    """
    handler = make_handler(level_name, stream or sys.stderr)
    # Logbook searches for a handler down the stack, and this one ends the search.
    # Events below the level would otherwise reach the library's default handler,
    # which prints them in another form.
    logbook.NullHandler().push_application()
    handler.push_application()
    # Below the level of warnings, a library such as urllib3 logs each connection.
    # Creating those records would cost time in each request even if none is printed.
    redirect_logging(set_root_logger_level=False)
    logging.root.setLevel(logging.WARNING)


def make_handler(level_name: str, stream: TextIO) -> logbook.Handler:
    """Return a handler that writes events of this level and above to ``stream``.

    Tests bind it temporarily; a process calls `set_up_logs` instead. Raises
    `InvalidSettings` for a level that does not exist.
    """
    try:
        level = logbook.lookup_level(level_name.upper())
    except LookupError:
        raise InvalidSettings(
            f"log_level: {level_name!r} is not one of debug, info, warning, error"
        ) from None
    handler = logbook.StreamHandler(stream, level=level)
    handler.formatter = _format_record
    return handler


def _format_record(record: logbook.LogRecord, handler: logbook.Handler) -> str:
    fields: dict[str, object] = {
        "time": f"{record.time.isoformat(timespec='milliseconds')}Z",
        "level": record.level_name.lower(),
    }
    if "event" in record.extra:
        fields.update(record.extra)
    else:
        fields.update(
            event="library_message", logger=record.channel, message=record.message
        )
    if record.exc_info:
        fields["error"] = record.exc_info[1]
    return " ".join(_format_pairs(fields))


def _format_pairs(fields: Mapping[str, object]) -> list[str]:
    pairs = []
    for name, value in fields.items():
        pairs.append(f"{name}={_format_value(name, value)}")
        if isinstance(value, BaseException) and value.__traceback__ is not None:
            pairs.append(f"where={_quote(_innermost_frames(value))}")
    return pairs


def _format_value(name: str, value: Any) -> str:
    if SECRET_WORDS.intersection(name.lower().split("_")):
        return REDACTED
    if isinstance(value, bool) or value is None:
        return json.dumps(value)
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, CranberrywickError):
        return _quote(f"{value.type}: {value.message}")
    if isinstance(value, BaseException):
        return _quote(f"{type(value).__name__}: {value}")
    return _quote(str(value))


def _quote(text: str) -> str:
    if len(text) > MAX_VALUE_CHARACTERS:
        text = f"{text[:MAX_VALUE_CHARACTERS]}…"
    text = SECRET_VALUE.sub(rf"\1 {REDACTED}", text)
    if not text.isascii():
        # JSON can name characters that no encoding has; an output would fail by them.
        text = text.encode(errors="backslashreplace").decode()
    if PLAIN_VALUE.fullmatch(text):
        return text
    return json.dumps(text, ensure_ascii=False)


def _innermost_frames(error: BaseException) -> str:
    frames = traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
    return " > ".join(
        f"{frame.filename.rpartition('/')[2]}:{frame.lineno}" for frame in frames
    )
