"""Type-checked access to the fields of a decoded JSON object.

Every function raises `InvalidConfiguration` with the field's name if the field is of
another type, or if it is missing and has no default.
"""

from collections.abc import Mapping
from math import inf
from typing import Any
from unicodedata import category

from cranberrywick.addresses import parse_address
from cranberrywick.errors import InvalidConfiguration

__all__ = [
    "FIELD_ERRORS",
    "address",
    "boolean",
    "check_name",
    "integer",
    "is_text",
    "mapping",
    "mappings",
    "name",
    "number",
    "string",
    "strings",
]

# What reading JSON, and fields of it that may be of any type, raises.
FIELD_ERRORS = (
    *(AttributeError, KeyError, OverflowError),
    *(RecursionError, TypeError, ValueError),
)
# Longest name of anything, in characters. Names are sent to peers in datagrams and to
# endpoints in headers.
MAX_NAME_CHARACTERS = 200
# Categories of Unicode: control characters, surrogates, and separators of lines.
_NO_TEXT = frozenset(("Cc", "Cs", "Zl", "Zp"))
# Largest integer: a signed one of 64 bits, as in the messages between daemons.
MAX_INTEGER = 2**63 - 1


def number(
    fields: Mapping[str, Any],
    key: str,
    default: float | None = None,
    least: float = -inf,
    most: float = inf,
) -> float:
    """Return a number from ``least`` to ``most`` whose absolute value is below 1e18.

    >>> number({"timeoutMs": 250}, "timeoutMs")
    250.0
    """
    value = fields.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidConfiguration(f"{key} is not a number")
    if not abs(value) < 1e18 or not least <= value <= most:
        raise InvalidConfiguration(f"{key} is out of range")
    return float(value)


def integer(
    fields: Mapping[str, Any],
    key: str,
    default: int | None = None,
    least: int = -MAX_INTEGER,
    most: int = MAX_INTEGER,
) -> int:
    """Return an integer from ``least`` to ``most``."""
    value = fields.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise InvalidConfiguration(f"{key} is not a whole number")
    if not least <= value <= most:
        raise InvalidConfiguration(f"{key} is out of range")
    return value


def string(fields: Mapping[str, Any], key: str, default: str | None = None) -> str:
    """Return a string."""
    value = fields.get(key, default)
    if not isinstance(value, str):
        raise InvalidConfiguration(f"{key} is not a string")
    return value


def check_name(text: str, what: str) -> str:
    """Return a name; raises `InvalidConfiguration` for one that can't be passed on.

    It is part of headers, of messages to peers and of log lines.
    """
    if len(text) > MAX_NAME_CHARACTERS:
        raise InvalidConfiguration(f"{what} has over {MAX_NAME_CHARACTERS} characters")
    if not is_text(text) or text != text.strip():
        raise InvalidConfiguration(f"{what} has characters that no name has")
    return text


def is_text(text: str) -> bool:
    """Whether a text is one line of characters that have an encoding.

    >>> is_text("Zone Ä"), is_text("a\\r\\nb")
    (True, False)
    """
    return text.isprintable() or _NO_TEXT.isdisjoint(map(category, text))


def name(fields: Mapping[str, Any], key: str, default: str | None = None) -> str:
    """Return a string that is a name, as `check_name` does."""
    return check_name(string(fields, key, default), key)


def address(fields: Mapping[str, Any], key: str, allows_ipv6: bool = False) -> str:
    """Return a string that is an address, as ``ip:port``."""
    text = string(fields, key)
    try:
        parse_address(text, allows_ipv6)
    except ValueError as error:
        raise InvalidConfiguration(f"{key}: {error}") from error
    return text


def boolean(fields: Mapping[str, Any], key: str, default: bool = False) -> bool:
    """Return a boolean."""
    value = fields.get(key, default)
    if not isinstance(value, bool):
        raise InvalidConfiguration(f"{key} is not true or false")
    return value


def mapping(fields: Mapping[str, Any], key: str) -> dict[str, Any]:
    """Return a JSON object; empty if the field is missing or null."""
    value = fields.get(key)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise InvalidConfiguration(f"{key} is not an object")
    return value


def mappings(fields: Mapping[str, Any], key: str) -> list[dict[str, Any]]:
    """Return a list of JSON objects; empty if the field is missing or null."""
    value = fields.get(key)
    if value is None:
        return []
    if not isinstance(value, list) or not all(isinstance(v, dict) for v in value):
        raise InvalidConfiguration(f"{key} is not a list of objects")
    return value


def strings(fields: Mapping[str, Any], key: str) -> tuple[str, ...]:
    """Return a list of strings; empty if the field is missing or null."""
    value = fields.get(key)
    if value is None:
        return ()
    if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
        raise InvalidConfiguration(f"{key} is not a list of strings")
    return tuple(value)
