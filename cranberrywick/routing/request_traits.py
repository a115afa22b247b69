"""What a request has in common with others, by which crashes are related to requests.

A prompt has its segments; the last one is the request's own or its session's. A plain
call has its target. And each request has its whole content, which its repeats share
whatever ids they have. All of these are traits: strings that mean the same at every
daemon.
"""

from collections.abc import Collection
from functools import cached_property
from hashlib import blake2b

__all__ = ["RequestTraits", "is_narrow", "is_segment", "request_head"]

# Prefixes of the traits that aren't shared segments, and of segments whose id has the
# character that ends a prefix.
OWN_SEGMENT = "own/"
TARGET = "target/"
CONTENT = "content/"
UNUSUAL_SEGMENT = "segment/"
DIGEST_BYTES = 8


class RequestTraits:
    """The traits of one request, from those that most others share to its own.

    The digests that some of them consist of are computed when they are first used.

    >>> traits = RequestTraits(("first", "own"), b"POST", "host", b"/prompts/1", b"p")
    >>> traits.shared
    ('first',)
    >>> [each.partition("/")[0] for each in traits.all]
    ['first', 'own', 'content']
    """

    def __init__(
        self,
        segment_ids: tuple[str, ...],
        method: bytes,
        host: str,
        target: bytes,
        body: bytes,
    ):
        self.shared = tuple(map(_segment_trait, segment_ids[:-1]))
        self._own = tuple(OWN_SEGMENT + each for each in segment_ids[-1:])
        self._segment_ids = segment_ids
        self._method = method
        self._host = host
        self._target = target
        self._body = body

    @cached_property
    def head(self) -> str:
        """The digest of all but the body."""
        fields = (self._method, self._host.encode(), self._target)
        segments = (each.encode() for each in self._segment_ids)
        return _digest(b"\n".join((*fields, *segments)))

    @cached_property
    def content(self) -> str:
        """The trait that only repeats of the request share."""
        return f"{CONTENT}{self.head}-{_digest(self._body)}"

    @cached_property
    def all(self) -> tuple[str, ...]:
        """All traits, the one that the fewest other requests share last."""
        own = self._own or (TARGET + self.head,)
        return (*self.shared, *own, self.content)

    def among(self, trait_ids: Collection[str], heads: Collection[str]) -> list[str]:
        """Return the traits that are among the given ones.

        ``heads`` are the heads of those that identify contents and targets. The body is
        read only if the request's own head is among them.
        """
        found = [each for each in (*self.shared, *self._own) if each in trait_ids]
        if heads and self.head in heads:
            own = (TARGET + self.head, self.content)
            found += [each for each in own if each in trait_ids]
        return found


def request_head(trait_id: str) -> str | None:
    """Return the head that a trait's requests have, None if they differ in it."""
    kind, _, digest = trait_id.partition("/")
    if kind + "/" in (TARGET, CONTENT):
        return digest.partition("-")[0]
    return None


def is_segment(trait_id: str) -> bool:
    """Whether a trait is a segment that many requests may share."""
    return "/" not in trait_id or trait_id.startswith(UNUSUAL_SEGMENT)


def is_narrow(trait_id: str) -> bool:
    """Whether a trait is that of one request or session, not shared by many."""
    return trait_id.startswith((OWN_SEGMENT, CONTENT))


def _segment_trait(segment_id: str) -> str:
    # A caller's id must not pass for another kind of trait.
    return UNUSUAL_SEGMENT + segment_id if "/" in segment_id else segment_id


def _digest(data: bytes) -> str:
    return blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
