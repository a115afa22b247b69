"""Client of the platform's weight store, whose reads are rate-limited."""

from typing import NamedTuple
from urllib.parse import quote

from cranberrywick.errors import NotFound, PlatformUnavailable
from cranberrywick.external.exchange import PlatformClient
from cranberrywick.fields import FIELD_ERRORS

__all__ = ["ModelWeights", "WeightStore"]


class ModelWeights(NamedTuple):
    """What the store holds of one version of a model."""

    model: str
    version: str
    size_bytes: int


class WeightStore:
    """Looks up a model in the weight store before an endpoint is ordered to load it."""

    def __init__(self, url: str):
        self._client = PlatformClient((url,))

    def look_up(self, model: str, version: str) -> ModelWeights:
        """Return a version's size in bytes.

        Raises `RateLimited` with the seconds to wait, `NotFound` for a version that
        the store does not have, and `PlatformUnavailable` when there is no answer.
        """
        path = f"/v1/models/{quote(model, safe='')}/{quote(version, safe='')}"
        reply = self._client.call("GET", path)
        if reply.status == 404:
            raise NotFound(f"no weights for {model} {version}")
        try:
            return ModelWeights(model, version, int(reply.fields["bytes"]))
        except FIELD_ERRORS as error:
            raise PlatformUnavailable(f"malformed answer: {error!r}") from error
