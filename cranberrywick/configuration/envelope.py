"""An accepted configuration and its stored form in the key-value service."""

import json
from typing import NamedTuple

from cranberrywick.configuration.document import EMPTY, Configuration, check
from cranberrywick.errors import InvalidConfiguration
from cranberrywick.fields import FIELD_ERRORS

__all__ = [
    "NOTHING_ACCEPTED",
    "AcceptedConfiguration",
    "Change",
    "parse_envelope",
    "to_text",
]


class Change(NamedTuple):
    """One accepted change.

    ``at`` is the time of the change in UTC, in ISO 8601; ``operator`` is the start
    of the SHA-256 digest of the operator's key.
    """

    version: int
    change_id: str
    at: str
    operator: str


class AcceptedConfiguration(NamedTuple):
    """A configuration that was accepted, with the document it was built from.

    ``change_id`` is the id of the change that made this version. ``changes`` are
    the latest changes, oldest first; the last one made this version.
    """

    version: int
    change_id: str
    document: dict
    configuration: Configuration
    changes: tuple[Change, ...] = ()

    @property
    def order(self) -> tuple[int, str]:
        """Sort key: of two configurations, the one with the greater key is newer."""
        return (self.version, self.change_id)


def parse_envelope(text: str) -> AcceptedConfiguration:
    """Return the configuration that a stored value holds.

    Raises `InvalidConfiguration` for a value that is not in the form of `to_text`
    and for a document that does not pass `check`.
    """
    try:
        fields = json.loads(text)
        version = int(fields["version"])
        change_id = str(fields["change_id"])
        document = fields["document"]
        changes = tuple(Change(*change) for change in fields.get("changes", ()))
    except FIELD_ERRORS as error:
        raise InvalidConfiguration(f"stored configuration: {error!r}") from error
    return AcceptedConfiguration(version, change_id, document, check(document), changes)


def to_text(accepted: AcceptedConfiguration) -> str:
    """Return the stored form of a configuration, as JSON text."""
    fields = {
        "change_id": accepted.change_id,
        "version": accepted.version,
        "changes": accepted.changes,
        "document": accepted.document,
    }
    return json.dumps(fields, separators=(",", ":"))


# The configuration that applies until operators make their first change.
NOTHING_ACCEPTED = AcceptedConfiguration(0, "", {}, EMPTY)
