"""Send work to the open endpoint with the earliest predicted first token.

Load pattern: half of an organisation's prompts begin with a rulebook that an
engine may still have in its prefix cache, and the rest have nothing in common.

Without it: if prompts are placed at random, every engine has to prefill each rulebook
again; if they are placed by hash alone, a popular rulebook overloads its one engine
while others idle.

How: consistent hashing maps a prefix to its own endpoint, the same one for every
daemon. If that endpoint is not open, the next few on the hash ring are tried
(affinity with bounded load: an endpoint whose prefill is busy is skipped). Four more
open endpoints are drawn at random, and the candidate with the earliest predicted first
token is chosen. The prediction counts what is presumably cached at each candidate.
Random candidates come from the endpoints that take the fewest bands, so that a short
prompt leaves the others free for long ones.

Grounds: two random choices gain most of what a comparison of all endpoints would (the
wait falls from logarithmic to doubly logarithmic in the size of the fleet), at a cost
that does not grow with the fleet. Four, rather than two, cover most of the open
endpoints in a fleet of sixteen. Endpoints do not report what they have cached, so each
daemon presumes it from its own requests: the most recent blocks, up to half of the
endpoint's memory.
"""

from bisect import bisect
from collections import OrderedDict
from collections.abc import Callable, Iterable
from hashlib import blake2b
from random import Random
from typing import NamedTuple

from cranberrywick.decisions.cost import PREFIX_BLOCK_TOKENS, CostModel
from cranberrywick.decisions.fleet import EndpointState
from cranberrywick.decisions.gangs import GangPlan
from cranberrywick.decisions.isolation import BANDS
from cranberrywick.model import Work

__all__ = ["Choice", "Pool"]

# Number of open endpoints that are drawn at random for each request.
RANDOM_CHOICES = 4
RING_POINTS_PER_ENDPOINT = 8
# Number of ring points tried for the endpoint of a prefix, the first included.
RING_STEPS = 4
# Share by which each stream at an engine lengthens a prefill there, approximately.
STREAM_SLOWDOWN = 1.0 / 64


class Choice(NamedTuple):
    """The endpoint chosen for a request, with the predictions for it.

    ``first_token_seconds`` counts from now and includes the wait for the prefills
    ahead; with a ``gang``, the endpoint is its leader.
    """

    state: EndpointState
    prefill_seconds: float
    cached_tokens: int
    first_token_seconds: float
    gang: GangPlan | None = None

    @property
    def endpoint_ids(self) -> tuple[str, ...]:
        """The endpoints that the request is sent to, the leader of a gang first."""
        if self.gang is not None:
            return self.gang.endpoint_ids
        return (self.state.endpoint_id,)

    @property
    def gang_tokens(self) -> tuple[int, ...]:
        """The tokens that each member of the gang holds, the leader first.

        Empty without a gang.
        """
        if self.gang is None:
            return ()
        return tuple(part.tokens for part in (self.gang.leader, *self.gang.helpers))


class _RandomSet:
    """A set of strings from which a few can be drawn at random in constant time."""

    def __init__(self) -> None:
        self._items: list[str] = []
        self._index_by_item: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._items)

    def __contains__(self, item: str) -> bool:
        return item in self._index_by_item

    def add(self, item: str) -> None:
        if item not in self._index_by_item:
            self._index_by_item[item] = len(self._items)
            self._items.append(item)

    def discard(self, item: str) -> None:
        index = self._index_by_item.pop(item, None)
        if index is None:
            return
        last = self._items.pop()
        if last != item:
            self._items[index] = last
            self._index_by_item[last] = index

    def draw(self, count: int, random: Random) -> list[str]:
        if count >= len(self._items):
            return list(self._items)
        return random.sample(self._items, count)


class Pool:
    """The endpoints that can take one kind of work, and which of them are open.

    An endpoint takes work of every band up to its longest band.
    """

    def __init__(self, states: Iterable[EndpointState], cost: CostModel):
        self.states_by_id = {state.endpoint_id: state for state in states}
        # Whether no other daemon sends to these endpoints. If others do, an endpoint
        # that takes longer bands may have a long prefill that no report shows yet, so
        # a short prompt is not sent there for the sake of its cached prefix.
        self.is_sole_sender = True
        self._cost = cost
        self._open_by_longest_band = [_RandomSet() for _ in range(BANDS)]
        self._longest_band_by_id = {
            endpoint_id: BANDS - 1 for endpoint_id in self.states_by_id
        }
        self._count_by_longest_band = [0] * BANDS
        self._count_by_longest_band[-1] = len(self.states_by_id)
        self._blocks_by_endpoint: dict[str, OrderedDict[str, None]] = {}
        self._ring = sorted(
            (_ring_position(f"{endpoint_id}#{index}"), endpoint_id)
            for endpoint_id in self.states_by_id
            for index in range(RING_POINTS_PER_ENDPOINT)
        )

    def inherit(self, previous: "Pool") -> None:
        """Copy the bands and the presumed caches from the pool that this replaces."""
        self.set_longest_bands(
            {
                endpoint_id: previous._longest_band_by_id[endpoint_id]
                for endpoint_id in self.states_by_id
                if endpoint_id in previous.states_by_id
            }
        )
        self.is_sole_sender = previous.is_sole_sender
        self._blocks_by_endpoint = {
            endpoint_id: blocks
            for endpoint_id, blocks in previous._blocks_by_endpoint.items()
            if endpoint_id in self.states_by_id
        }

    def set_longest_bands(self, longest_band_by_id: dict[str, int]) -> None:
        """Set the longest band of these endpoints; the others keep theirs."""
        for endpoint_id, longest in longest_band_by_id.items():
            current = self._longest_band_by_id[endpoint_id]
            if current != longest:
                is_open = (
                    endpoint_id in self._open_by_longest_band[current]._index_by_item
                )
                self.set_open(endpoint_id, False)
                self._longest_band_by_id[endpoint_id] = longest
                self._count_by_longest_band[current] -= 1
                self._count_by_longest_band[longest] += 1
                self.set_open(endpoint_id, is_open)

    def set_open(self, endpoint_id: str, is_open: bool) -> None:
        """Record whether an endpoint takes work now."""
        open_set = self._open_by_longest_band[self._longest_band_by_id[endpoint_id]]
        if is_open:
            open_set.add(endpoint_id)
        else:
            open_set.discard(endpoint_id)

    def has_open(self, band: int) -> bool:
        """Whether an endpoint that takes work of ``band`` is open."""
        return any(self._open_by_longest_band[band:])

    def accepts(self, endpoint_id: str, band: int) -> bool:
        """Whether work of ``band`` may go to the endpoint, open or not."""
        return self._longest_band_by_id[endpoint_id] >= band

    def count_for(self, band: int) -> int:
        """Return how many endpoints take work of ``band``, open or not."""
        return sum(self._count_by_longest_band[band:])

    def candidates(self, work: Work, band: int, random: Random) -> list[str]:
        """Return a few open endpoints: the one for the prefix, and some at random.

        Empty if none is open for ``band``.
        """
        # The sets are ordered by longest band, so endpoints that take the fewest bands
        # come first.
        open_sets = self._open_by_longest_band[band:]
        for open_set in open_sets:
            if open_set:
                affinity_sets = open_sets if self.is_sole_sender else [open_set]
                return self._affinity_candidate(work, affinity_sets) + open_set.draw(
                    RANDOM_CHOICES, random
                )
        return []

    def _affinity_candidate(self, work: Work, open_sets: list[_RandomSet]) -> list[str]:
        """Return the first open endpoint on the ring from the prefix's position.

        The list is empty if none of the next `RING_STEPS` points has an open endpoint.
        """
        if not work.prefix_keys or not self._ring:
            return []
        start = bisect(self._ring, (_ring_position(work.prefix_keys[0]), ""))
        for step in range(RING_STEPS):
            endpoint_id = self._ring[(start + step) % len(self._ring)][1]
            if any(endpoint_id in open_set for open_set in open_sets):
                return [endpoint_id]
        return []

    def best(
        self,
        work: Work,
        endpoint_ids: Iterable[str],
        now: float,
        allows: Callable[[EndpointState], bool],
    ) -> Choice | None:
        """Return the allowed endpoint with the earliest predicted first token."""
        best = None
        for endpoint_id in endpoint_ids:
            state = self.states_by_id[endpoint_id]
            if not allows(state):
                continue
            choice = self.predict(work, state, now)
            if best is None or choice.first_token_seconds < best.first_token_seconds:
                best = choice
        return best

    def predict(self, work: Work, state: EndpointState, now: float) -> Choice:
        """Return the predicted prefill and first token of ``work`` at one endpoint."""
        cached = self._cached_tokens(work, state.endpoint_id)
        prefill = self._cost.prefill_seconds(work, state.endpoint, cached)
        streams = len(state.outstanding_by_work)
        slowed = prefill * (1.0 + streams * STREAM_SLOWDOWN)
        first_token = state.backlog_seconds(now) + slowed
        return Choice(state, prefill, cached, first_token)

    def _cached_tokens(self, work: Work, endpoint_id: str) -> int:
        blocks = self._blocks_by_endpoint.get(endpoint_id)
        if not blocks:
            return 0
        hits = 0
        while hits < len(work.prefix_keys) and work.prefix_keys[hits] in blocks:
            hits += 1
        return hits * PREFIX_BLOCK_TOKENS

    def record_sent(self, work: Work, state: EndpointState) -> None:
        """Presume that the work's prefix is cached where the work was sent."""
        blocks = self._blocks_by_endpoint.setdefault(state.endpoint_id, OrderedDict())
        for key in work.prefix_keys:
            blocks[key] = None
            blocks.move_to_end(key)
        max_blocks = state.endpoint.cache_tokens // (2 * PREFIX_BLOCK_TOKENS)
        while len(blocks) > max_blocks:
            blocks.popitem(last=False)

    def clear_cache(self, endpoint_id: str) -> None:
        """Drop the presumed cache of an endpoint that has restarted."""
        self._blocks_by_endpoint.pop(endpoint_id, None)


def _ring_position(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")
