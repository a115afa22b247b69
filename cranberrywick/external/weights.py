"""The platform's weight store, which limits how often it is read."""

from typing import NamedTuple
from urllib.parse import quote

from cranberrywick.errors import NotFound, PlatformUnavailable
from cranberrywick.external.exchange import Exchange

__all__ = ["ModelWeights", "WeightStore"]


class ModelWeights(NamedTuple):
    """What the store knows of one version of a model."""

    model: str
    version: str
    size_bytes: int


class WeightStore:
    """Asks the weight store about a model before an endpoint is told to load it."""

    def __init__(self, url: str):
        self._exchange = Exchange((url,))

    def look_up(self, model: str, version: str) -> ModelWeights:
        """Return a version's size in bytes.

        Raises `RateLimited` with the seconds to wait, `NotFound` for a version
        that the store does not have, `PlatformUnavailable` without an answer.
        """
        path = f"/v1/models/{quote(model, safe='')}/{quote(version, safe='')}"
        reply = self._exchange.call("GET", path)
        if reply.status == 404:
            raise NotFound(f"no weights for {model} {version}")
        try:
            return ModelWeights(model, version, int(reply.fields["bytes"]))
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformUnavailable(f"malformed answer: {error!r}") from error
