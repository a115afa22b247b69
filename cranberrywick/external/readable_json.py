"""JSON of which a part can't be read.

Lists of the platform's services have entries that others wrote. The library reads none
of a text in which one value is nested too deeply or has too many digits.
"""

import json
import re
from typing import Any

__all__ = ["load_readable"]

# A string, or a character between values.
_TOKEN = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},]', re.DOTALL)


def load_readable(data: bytes, levels: int = 2) -> Any:
    """Return what a JSON text says.

    Of a text that is beyond the library's bounds, it is the object with None in place
    of what can't be read. Objects and lists are read part by part on so many
    ``levels``: on two, the members of the object and the entries of lists among
    them. Raises ValueError for a text that is neither JSON nor such an object.

    >>> load_readable(b'{"entries": [7, %s]}' % (b"[" * 9999 + b"]" * 9999))
    {'entries': [7, None]}
    """
    try:
        return json.loads(data)
    except json.JSONDecodeError:
        raise
    except (ValueError, RecursionError):
        return _load_members(data.decode(), levels)


def _load_members(text: str, levels: int) -> dict[str, Any]:
    members = {}
    for member in _split(text, "{"):
        key, _, value = member.partition(":")
        members[json.loads(key)] = _load(value, levels - 1)
    return members


def _load(text: str, levels: int) -> Any:
    try:
        return json.loads(text)
    except json.JSONDecodeError:
        raise
    except (ValueError, RecursionError):
        opening = text.lstrip()[:1]
    if levels and opening == "[":
        return [_load(entry, levels - 1) for entry in _split(text, "[")]
    if levels and opening == "{":
        return _load_members(text, levels)
    return None


def _split(text: str, opening: str) -> list[str]:
    """Return the texts between the commas of the value that a text is."""
    text = text.strip()
    parts: list[str] = []
    depth = start = 0
    for token in _TOKEN.finditer(text):
        mark = token[0]
        if mark in ("[", "{"):
            depth += 1
            if depth == 1:
                start = token.end()
        elif mark in ("]", "}"):
            depth -= 1
        if not depth or (mark == "," and depth == 1):
            parts.append(text[start : token.start()])
            start = token.end()
        if not depth:
            break
    if depth or not text.startswith(opening) or text[start:]:
        raise ValueError("not a whole JSON value")
    return [] if len(parts) == 1 and not parts[0].strip() else parts
