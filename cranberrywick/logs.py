"""Logs: one line of ``key=value`` pairs for each event, on standard error.

>>> log_event("request_finished", request_id="r-1", class_name="grants")

writes ``time=… level=info event=request_finished request_id=r-1
class_name=grants``. Values with blanks, quotes or control characters are quoted
as in JSON, so that a line is always one event and a caller cannot forge a second.
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

# Longer values are cut: a caller's input can be megabytes.
MAX_VALUE_CHARACTERS = 400
# Ids of some ten to twenty characters that such a value holds.
IDS_IN_LINE = 20
# Innermost stack frames named in an error's line.
MAX_FRAMES = 3

REDACTED = "[redacted]"
# Words of a field's name that mark its value as secret. "tokens" and
# "first_token_seconds" are counts and times, so "token" alone is not listed.
SECRET_WORDS = frozenset(
    {"key", "keys", "secret", "password", "authorization", "authorisation", "cookie"}
)
# A key that arrives inside another value, such as an exception's text.
SECRET_VALUE = re.compile(r"(?i)\b(bearer|basic)\s+[^\s\"',;]+")
PLAIN_VALUE = re.compile(r"[^\s\"'=\\\x00-\x1f\x7f]+")


class EventLog:
    """Writes events that all carry the same leading fields.

    Several daemons can run in one process, so each makes its own:

    >>> log = EventLog(daemon="e1")
    >>> log.warning("peer_silent", peer="e2", seconds=3.2)
    """

    def __init__(self, **common: object):
        self._common = common
        self._logger = logbook.Logger("cranberrywick")

    def debug(self, event: str, /, **fields: object) -> None:
        """Log what only a developer asks for."""
        self._log(logbook.DEBUG, event, fields)

    def info(self, event: str, /, **fields: object) -> None:
        """Log the ordinary course of things."""
        self._log(logbook.INFO, event, fields)

    def warning(self, event: str, /, **fields: object) -> None:
        """Log what the daemon dealt with and an operator may want to see."""
        self._log(logbook.WARNING, event, fields)

    def error(self, event: str, /, **fields: object) -> None:
        """Log what the daemon could not deal with."""
        self._log(logbook.ERROR, event, fields)

    def _log(self, level: int, event: str, fields: Mapping[str, object]) -> None:
        extra = {"event": event, **self._common, **fields}
        self._logger.log(level, event, extra=extra)


def id_lists(ids: Sequence[str]) -> Iterator[str]:
    """Return ids as values of as few lines as hold them, to be found by any id.

    >>> list(id_lists(["e1", "e2"]))
    ['e1,e2']
    """
    for start in range(0, len(ids), IDS_IN_LINE):
        yield ",".join(ids[start : start + IDS_IN_LINE])


_PROCESS_LOG = EventLog()


def log_event(event: str, /, **fields: object) -> None:
    """Log ``event`` at level info, without common fields."""
    _PROCESS_LOG.info(event, **fields)


def set_up_logs(level_name: str = "info", stream: TextIO | None = None) -> None:
    """Send this process's logs to ``stream``, by default standard error.

    Warnings of libraries, through the standard library, come out in the same form.
    Call once for a process, before its threads start. Raises `InvalidSettings`
    for a level that does not exist.
    """
    handler = make_handler(level_name, stream or sys.stderr)
    # Ends the search for a handler: events below the level would otherwise reach
    # the library's own, which prints them in another form.
    logbook.NullHandler().push_application()
    handler.push_application()
    # Below warnings a library such as urllib3 logs each connection; making those
    # records would cost time on the request's path even where none is printed.
    redirect_logging(set_root_logger_level=False)
    logging.root.setLevel(logging.WARNING)


def make_handler(level_name: str, stream: TextIO) -> logbook.Handler:
    """Return a handler that writes events of this level and above to ``stream``.

    Tests bind it for a while; a process calls `set_up_logs`.
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
    if PLAIN_VALUE.fullmatch(text):
        return text
    return json.dumps(text, ensure_ascii=False)


def _innermost_frames(error: BaseException) -> str:
    frames = traceback.extract_tb(error.__traceback__)[-MAX_FRAMES:]
    return " > ".join(
        f"{frame.filename.rpartition('/')[2]}:{frame.lineno}" for frame in frames
    )
