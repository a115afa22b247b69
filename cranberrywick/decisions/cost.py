"""Estimate how long a request takes: its prefill and its decoding.

Load pattern: prompts of a thousand to a million tokens, so that requests differ a
thousandfold in cost and their number does not measure the length of a queue.

Without it: a queue of five rulebooks looks shorter than one of six summaries,
admission accepts work that misses its targets, and fairness by request count gives
most of the fleet to the organisation with the longest prompts.

Grounds: the nominal speed comes from the endpoint's kind. Its error depends on the
length of the prompt (attention grows with the square of it, short prompts have a
relatively large fixed cost, streams slow the prefill). The ratio of observed to nominal
time is therefore learned for each doubling of prompt length, as a moving average of
its logarithm. One outcome changes it by at most a tenth of `MAX_LOG_RATIO_STEP`, so
ten seconds of outliers from one endpoint shift the estimate for a length by less than
a factor of two. Besides, outcomes of endpoints that `slow_endpoints` has found to be
slow are not learned from.
"""

from math import exp, log
from typing import NamedTuple

from cranberrywick.model import Endpoint, Work

__all__ = ["PREFIX_BLOCK_TOKENS", "CostModel", "Estimate"]

# Number of prompt tokens that one entry of `Work.prefix_keys` covers.
PREFIX_BLOCK_TOKENS = 1024
# Weight of one outcome in a moving average.
LEARNING_RATE = 0.1
# Largest step of a log ratio that one outcome counts with (e**2, about sevenfold).
MAX_LOG_RATIO_STEP = 2.0
# Expected length of an answer, as a share of its maximum, until an organisation's
# answers of the class have been observed.
DEFAULT_OUTPUT_SHARE = 0.25
# Fixed cost of a request, in seconds, for headers and the engine's first iteration.
OVERHEAD_SECONDS = 0.005


class Estimate(NamedTuple):
    """The expected duration of one request at one endpoint, in seconds."""

    prefill_seconds: float
    decode_seconds: float

    @property
    def total_seconds(self) -> float:
        """The time from the start of the prefill to the last token."""
        return self.prefill_seconds + self.decode_seconds


class CostModel:
    """Estimates the duration of requests and corrects the estimates by outcomes.

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
        """Return the expected times of ``work`` at ``endpoint``, without any wait."""
        decode_rate = endpoint.decode_tokens_per_second
        decode = self.output_tokens(work) / decode_rate * exp(self._log_decode_ratio)
        return Estimate(self.prefill_seconds(work, endpoint, cached_tokens), decode)

    def prefill_seconds(
        self, work: Work, endpoint: Endpoint, cached_tokens: int = 0
    ) -> float:
        """Return the time, in seconds, from the start of prefill to the first token."""
        tokens = max(0, work.prompt_tokens - cached_tokens)
        nominal = tokens / endpoint.prefill_tokens_per_second + OVERHEAD_SECONDS
        return nominal * exp(self._log_ratio(work.prompt_tokens))

    def output_tokens(self, work: Work) -> float:
        """Return the expected length of the answer, in tokens."""
        source = (work.organisation, work.class_name)
        known = self._output_by_source.get(source)
        if known is None:
            known = work.max_output_tokens * DEFAULT_OUTPUT_SHARE
        return min(known, work.max_output_tokens)

    def observe_prefill(
        self, work: Work, endpoint: Endpoint, cached_tokens: int, seconds: float
    ) -> float:
        """Update the estimates by one prefill that took ``seconds``.

        Return the ratio of the observed time to the one expected before the update.
        """
        expected = self.prefill_seconds(work, endpoint, cached_tokens)
        step = _bounded_log(seconds / expected)
        length = _length_class(work.prompt_tokens)
        learned = self._log_ratio(work.prompt_tokens) + LEARNING_RATE * step
        self._log_ratio_by_length[length] = learned
        return seconds / expected

    def observe_answer(
        self, work: Work, endpoint: Endpoint, output_tokens: int, seconds: float
    ) -> None:
        """Update the estimates by an answer.

        The answer ended ``seconds`` after its first token.
        """
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
        """Return the learned log ratio for this length, or else the nearest length.

        Return 0 if nothing is learned yet.
        """
        length = _length_class(tokens)
        found = self._log_ratio_by_length.get(length)
        if found is not None or not self._log_ratio_by_length:
            return found or 0.0
        nearest = min(self._log_ratio_by_length, key=lambda known: abs(known - length))
        return self._log_ratio_by_length[nearest]


def _length_class(tokens: int) -> int:
    """Return the number of the doubling of prompt length that ``tokens`` is in."""
    return max(1, tokens).bit_length()


def _bounded_log(ratio: float) -> float:
    step = log(max(ratio, 1e-6))
    return max(-MAX_LOG_RATIO_STEP, min(MAX_LOG_RATIO_STEP, step))
