"""How long a prompt will take: prefill from its length, decode from its answer.

Load pattern: prompts of a thousand to a million tokens, so that requests differ a
thousandfold and counting them says nothing about a queue.

Without it: a queue of five rulebooks looks shorter than one of six summaries,
admission promises what it cannot keep, and fairness by request count hands the
fleet to whoever sends the longest prompts.

Grounds: nominal speed comes from the endpoint's kind. It is wrong in a way that
depends on length (attention grows with the square, small prompts pay a fixed
price, streams slow the prefill), so the ratio of observed to nominal is learned
for each doubling of prompt length, as a moving average of its logarithm. One
outcome moves it by at most a tenth of `MAX_LOG_RATIO_STEP`; ten seconds of
outliers from one endpoint therefore shift the estimate of a length by less than a
doubling, and the slow endpoint module looks at them before they get here.
"""

from math import exp, log
from typing import NamedTuple

from cranberrywick.model import Endpoint, Work

__all__ = ["PREFIX_BLOCK_TOKENS", "CostModel", "Estimate"]

# Prompt tokens that one entry of `Work.prefix_keys` stands for.
PREFIX_BLOCK_TOKENS = 1024
# What one outcome weighs in a moving average.
LEARNING_RATE = 0.1
# A surprise larger than this (e**2, about sevenfold) is taken as this large.
MAX_LOG_RATIO_STEP = 2.0
# Where an organisation's answers have not been seen: a quarter of the most.
DEFAULT_OUTPUT_SHARE = 0.25
# Fixed price of a request, for headers and the first iteration.
OVERHEAD_SECONDS = 0.005


class Estimate(NamedTuple):
    """What one request is expected to take on one endpoint, in seconds."""

    prefill_seconds: float
    decode_seconds: float

    @property
    def total_seconds(self) -> float:
        """From the start of prefill to the last token."""
        return self.prefill_seconds + self.decode_seconds


class CostModel:
    """Estimates corrected by outcomes.

    >>> model = CostModel()
    >>> estimate = model.estimate(work, endpoint, cached_tokens=0)
    """

    def __init__(self) -> None:
        self._log_ratio_by_length: dict[int, float] = {}
        self._output_by_source: dict[tuple[str, str], float] = {}
        self._log_decode_ratio = 0.0

    def estimate(
        self, work: Work, endpoint: Endpoint, cached_tokens: int = 0
    ) -> Estimate:
        """Return the expected times of ``work`` alone at ``endpoint``."""
        decode_rate = endpoint.decode_tokens_per_second
        decode = self.output_tokens(work) / decode_rate * exp(self._log_decode_ratio)
        return Estimate(self.prefill_seconds(work, endpoint, cached_tokens), decode)

    def prefill_seconds(
        self, work: Work, endpoint: Endpoint, cached_tokens: int = 0
    ) -> float:
        """Return the time to the first token once the endpoint turns to it."""
        tokens = max(0, work.prompt_tokens - cached_tokens)
        nominal = tokens / endpoint.prefill_tokens_per_second + OVERHEAD_SECONDS
        return nominal * exp(self._log_ratio(work.prompt_tokens))

    def output_tokens(self, work: Work) -> float:
        """Return the expected length of the answer."""
        source = (work.organisation, work.class_name)
        known = self._output_by_source.get(source)
        if known is None:
            known = work.max_output_tokens * DEFAULT_OUTPUT_SHARE
        return min(known, work.max_output_tokens)

    def observe_prefill(
        self, work: Work, endpoint: Endpoint, cached_tokens: int, seconds: float
    ) -> float:
        """Learn from one prefill; return observed over expected before learning."""
        expected = self.prefill_seconds(work, endpoint, cached_tokens)
        step = _bounded_log(seconds / expected)
        length = _length_class(work.prompt_tokens)
        learned = self._log_ratio(work.prompt_tokens) + LEARNING_RATE * step
        self._log_ratio_by_length[length] = learned
        return seconds / expected

    def observe_answer(
        self, work: Work, endpoint: Endpoint, output_tokens: int, seconds: float
    ) -> None:
        """Learn from a whole answer that took ``seconds`` after its first token."""
        source = (work.organisation, work.class_name)
        known = self._output_by_source.get(source, float(output_tokens))
        known += LEARNING_RATE * (output_tokens - known)
        self._output_by_source[source] = known
        if output_tokens <= 1 or seconds <= 0:
            return
        nominal = output_tokens / endpoint.decode_tokens_per_second
        step = _bounded_log(seconds / nominal) - self._log_decode_ratio
        self._log_decode_ratio += LEARNING_RATE * step

    def _log_ratio(self, tokens: int) -> float:
        """Return the learned ratio of this length, else of the nearest one."""
        length = _length_class(tokens)
        found = self._log_ratio_by_length.get(length)
        if found is not None or not self._log_ratio_by_length:
            return found or 0.0
        nearest = min(self._log_ratio_by_length, key=lambda known: abs(known - length))
        return self._log_ratio_by_length[nearest]


def _length_class(tokens: int) -> int:
    """Return the doubling that the length falls in."""
    return max(1, tokens).bit_length()


def _bounded_log(ratio: float) -> float:
    step = log(max(ratio, 1e-6))
    return max(-MAX_LOG_RATIO_STEP, min(MAX_LOG_RATIO_STEP, step))
