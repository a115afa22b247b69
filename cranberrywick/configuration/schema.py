"""Checks of JSON documents by schema, with errors that say what is expected."""

from collections.abc import Iterable
from typing import NamedTuple

from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError, best_match

__all__ = ["Problem", "first_problem", "json_path"]

# Longest value shown in an error, in characters: enough to recognise the value, and
# short enough for one line of a log.
SHOWN_VALUE_CHARACTERS = 60

# Fields whose values are never shown: a key that was pasted where its digest belongs
# must not reach a log or a terminal.
SECRET_NAMES = ("key_sha256", "operator_keys", "peer_secret")


class Problem(NamedTuple):
    """What is wrong with a document: the JSON path, the value and what is expected."""

    path: str
    value: object
    expected: str

    def __str__(self) -> str:
        shown = repr(self.value)
        if any(name in self.path for name in SECRET_NAMES):
            shown = "(secret value)"
        if len(shown) > SHOWN_VALUE_CHARACTERS:
            shown = shown[:SHOWN_VALUE_CHARACTERS] + "..."
        return f"{self.path}: {shown} won't do; expected {self.expected}"


def json_path(parts: Iterable[str | int]) -> str:
    """Return the JSON path of nested names and list indices.

    >>> json_path(["classes", "summary", "versions", 0])
    '$.classes.summary.versions[0]'
    """
    steps = (f"[{part}]" if isinstance(part, int) else f".{part}" for part in parts)
    return "$" + "".join(steps)


def first_problem(validator: Draft202012Validator, document: object) -> Problem | None:
    """Return the most relevant violation of a schema, or None for a valid document.

    What is expected is taken from the ``description`` of the violated part of the
    schema, so each part of a schema has to have one.
    """
    error = best_match(validator.iter_errors(document))
    return _to_problem(error) if error is not None else None


def _to_problem(error: ValidationError) -> Problem:
    path = json_path(error.absolute_path)
    if error.validator == "required":
        missing = [name for name in error.validator_value if name not in error.instance]
        present = sorted(error.instance)
        return Problem(path, present, f"also the names {', '.join(missing)}")
    if error.validator == "additionalProperties":
        known = error.schema.get("properties", {})
        if known:
            unknown = sorted(set(error.instance) - set(known))
            return Problem(path, unknown, f"only the names {', '.join(sorted(known))}")
    expected = error.schema.get("description", error.message)
    return Problem(path, error.instance, expected)
