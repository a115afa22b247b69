"""Find the organisation that a request belongs to, by the caller's key."""

from hashlib import sha256

from cranberrywick.configuration.document import Configuration
from cranberrywick.errors import Unauthorised
from cranberrywick.filters.chain import Filter
from cranberrywick.filters.exchange import Exchange

__all__ = ["IdentifyFilter", "find_organisation"]

BEARER_PREFIX = "Bearer "


def _bearer_key_digest(authorization: str) -> str:
    """Return the SHA-256 of a bearer key in lower-case hex.

    Raises `Unauthorised` when the header holds no bearer key. Keys are compared by
    their digests only, so that neither the configuration nor a memory dump of it
    contains a key.
    """
    if not authorization.startswith(BEARER_PREFIX):
        raise Unauthorised("send 'Authorization: Bearer KEY'")
    key = authorization.removeprefix(BEARER_PREFIX).strip()
    return sha256(key.encode()).hexdigest()


def find_organisation(configuration: Configuration, authorization: str) -> str:
    """Return the organisation whose key an ``Authorization`` header holds.

    Raises `Unauthorised` for a missing or unknown key.
    """
    digest = _bearer_key_digest(authorization)
    organisation = configuration.organisation_by_key_digest.get(digest)
    if organisation is None:
        raise Unauthorised("the key belongs to no organisation")
    return organisation


class IdentifyFilter(Filter):
    """Sets ``exchange.organisation`` from the caller's key."""

    def enter(self, exchange: Exchange) -> None:
        """Raise `Unauthorised` for a missing or unknown key."""
        exchange.organisation = find_organisation(
            exchange.configuration, exchange.headers_by_name.get("authorization", "")
        )
