"""Reads the daemons' log lines back into fields."""

import json
import re
from collections.abc import Iterable, Iterator
from typing import NamedTuple

__all__ = ["LogLine", "Unreadable", "read_lines"]

# A name, and a value that is a JSON text where it holds blanks.
_PAIR = re.compile(r"([a-z_]+)=(\"(?:[^\"\\]|\\.)*\"|[^\s\"]*)(?=\s|$)")


class LogLine(NamedTuple):
    """One event of a daemon; fields are as written, without their quotes."""

    event: str
    fields: dict[str, str]

    def number(self, name: str) -> float | None:
        """Return a field as a number, None where it is absent or none."""
        try:
            return float(self.fields[name])
        except (KeyError, ValueError):
            return None


class Unreadable(NamedTuple):
    """A line that holds no event, by its place in the file."""

    source: str
    number: int


def read_lines(
    source: str, lines: Iterable[str]
) -> Iterator[LogLine | Unreadable | None]:
    """Yield what each line holds; None for a blank one.

    Whatever stands before ``time=`` is passed over: collectors of logs put their own
    time and the VM's name there.
    """
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            yield None
            continue
        start = line.find("time=")
        pairs = _PAIR.findall(line, start) if start >= 0 else []
        fields = {name: _unquoted(value) for name, value in pairs}
        event = fields.get("event")
        is_whole = line.endswith("\n") and len(pairs) > 2
        yield (
            LogLine(event, fields) if event and is_whole else Unreadable(source, number)
        )


def _unquoted(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value
