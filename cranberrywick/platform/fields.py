"""Checked access to the fields of decoded JSON."""

from collections.abc import Mapping
from typing import Any

from cranberrywick.errors import InvalidConfiguration

__all__ = ["boolean", "number", "strings", "table", "tables", "text", "whole"]


def number(fields: Mapping[str, Any], name: str, default: float | None = None) -> float:
    """Return a finite number; without ``default`` the field must be there.

    >>> number({"timeoutMs": 250}, "timeoutMs")
    250.0
    """
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise InvalidConfiguration(f"{name} is not a number")
    if not abs(value) < 1e18:
        raise InvalidConfiguration(f"{name} is out of range")
    return float(value)


def whole(fields: Mapping[str, Any], name: str, default: int | None = None) -> int:
    """Return a whole number."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        raise InvalidConfiguration(f"{name} is not a whole number")
    return value


def text(fields: Mapping[str, Any], name: str, default: str | None = None) -> str:
    """Return a string."""
    value = fields.get(name, default)
    if not isinstance(value, str):
        raise InvalidConfiguration(f"{name} is not a string")
    return value


def boolean(fields: Mapping[str, Any], name: str, default: bool = False) -> bool:
    """Return true or false."""
    value = fields.get(name, default)
    if not isinstance(value, bool):
        raise InvalidConfiguration(f"{name} is not true or false")
    return value


def table(fields: Mapping[str, Any], name: str) -> dict[str, Any]:
    """Return an object; an absent one is empty."""
    value = fields.get(name)
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise InvalidConfiguration(f"{name} is not an object")
    return value


def tables(fields: Mapping[str, Any], name: str) -> list[dict[str, Any]]:
    """Return a list of objects; an absent one is empty."""
    value = fields.get(name)
    if value is None:
        return []
    if not isinstance(value, list) or not all(isinstance(v, dict) for v in value):
        raise InvalidConfiguration(f"{name} is not a list of objects")
    return value


def strings(fields: Mapping[str, Any], name: str) -> tuple[str, ...]:
    """Return a list of strings; an absent one is empty."""
    value = fields.get(name)
    if value is None:
        return ()
    if not isinstance(value, list) or not all(isinstance(v, str) for v in value):
        raise InvalidConfiguration(f"{name} is not a list of strings")
    return tuple(value)
