"""Type-checked access to the fields of a decoded JSON object.

Every function raises `InvalidConfiguration` with the field's name if the field is of
another type, or if it is missing and has no default.
"""

from collections.abc import Mapping
from typing import Any

from cranberrywick.errors import InvalidConfiguration

__all__ = [
    "boolean",
    "integer",
    "mapping",
    "mappings",
    "number",
    "string",
    "strings",
]


def number(fields: Mapping[str, Any], name: str, default: float | None = None) -> float:
    """Return a number whose absolute value is below 1e18.

    >>> number({"timeoutMs": 250}, "timeoutMs")
    250.0
    """
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidConfiguration(f"{name} is not a number")
    if not abs(value) < 1e18:
        raise InvalidConfiguration(f"{name} is out of range")
    return float(value)


def integer(fields: Mapping[str, Any], name: str, default: int | None = None) -> int:
    """Return an integer."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise InvalidConfiguration(f"{name} is not a whole number")
    return value


def string(fields: Mapping[str, Any], name: str, default: str | None = None) -> str:
    """Return a string."""
    value = fields.get(name, default)
    if not isinstance(value, str):
        raise InvalidConfiguration(f"{name} is not a string")
    return value


def boolean(fields: Mapping[str, Any], name: str, default: bool = False) -> bool:
    """Return a boolean."""
    value = fields.get(name, default)
    if not isinstance(value, bool):
        raise InvalidConfiguration(f"{name} is not true or false")
    return value


def mapping(fields: Mapping[str, Any], name: str) -> dict[str, Any]:
    """Return a JSON object; empty if the field is missing or null."""
    value = fields.get(name)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise InvalidConfiguration(f"{name} is not an object")
    return value


def mappings(fields: Mapping[str, Any], name: str) -> list[dict[str, Any]]:
    """Return a list of JSON objects; empty if the field is missing or null."""
    value = fields.get(name)
    if value is None:
        return []
    if not isinstance(value, list) or not all(isinstance(v, dict) for v in value):
        raise InvalidConfiguration(f"{name} is not a list of objects")
    return value


def strings(fields: Mapping[str, Any], name: str) -> tuple[str, ...]:
    """Return a list of strings; empty if the field is missing or null."""
    value = fields.get(name)
    if value is None:
        return ()
    if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
        raise InvalidConfiguration(f"{name} is not a list of strings")
    return tuple(value)
