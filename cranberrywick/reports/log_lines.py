"""Parse the daemons' log lines into events and fields."""

import json
import re
from collections.abc import Iterable, Iterator
from typing import NamedTuple

__all__ = ["LogLine", "UnreadableLine", "read_lines"]

# A field is name=value. A value that contains blanks is written as a JSON string.
_FIELD_PATTERN = re.compile(r"([a-z_]+)=(\"(?:[^\"\\]|\\.)*\"|[^\s\"]*)(?=\s|$)")


class LogLine(NamedTuple):
    """One event of a daemon's log; field values are texts without their quotes."""

    event: str
    fields: dict[str, str]

    def number(self, name: str) -> float | None:
        """Return a field as a number, or None if it is absent or not a number."""
        try:
            return float(self.fields[name])
        except (KeyError, ValueError):
            return None


class UnreadableLine(NamedTuple):
    """Source and line number, from 1, of a line that could not be parsed."""

    source: str
    number: int


def read_lines(
    source: str, lines: Iterable[str]
) -> Iterator[LogLine | UnreadableLine | None]:
    """Yield the event of each line, an `UnreadableLine`, or None for a blank line.

    Text before ``time=`` is skipped: log collectors put their own time and the VM's
    name there. A line without a final newline counts as unreadable, because it may
    have been cut off.
    """
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            yield None
            continue
        start = line.find("time=")
        pairs = _FIELD_PATTERN.findall(line, start) if start >= 0 else []
        fields = {name: _unquote(value) for name, value in pairs}
        event = fields.get("event")
        is_complete = line.endswith("\n") and len(pairs) > 2
        yield (
            LogLine(event, fields)
            if event and is_complete
            else UnreadableLine(source, number)
        )


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value
