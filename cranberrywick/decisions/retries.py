"""Which failed attempts may be made again, and how many.

Load pattern: an engine, or a third of them, dies with dozens of requests; or the
fleet is so full that attempts fail because they are many.

Without it: either every caller of a dead engine sees the failure, or each failure
under overload becomes two more attempts and the overload feeds itself.

How: an attempt is repeated only when it did not run, or when the call is
idempotent and its caller has received nothing of it yet. A budget earns a share of
each success; every retry spends one. There is none while the fleet refuses work
for want of capacity, none after the third attempt, none that cannot meet the
deadline. The next attempt avoids the failure domain that failed.

Grounds: a tenth of the successes is the usual bound at which retries cannot double
the load. The reserve of a hundred at most is what a third of sixteen engines
loses when a failure domain dies at full load; it must have been earned first, but
for the first ten.
"""

from typing import NamedTuple

from cranberrywick.model import Executed, SendResult, Work

__all__ = ["Attempts", "RetryBudget", "may_repeat"]

EARNED_PER_SUCCESS = 0.1
INITIAL_BUDGET = 10.0
MAX_BUDGET = 100.0
MAX_ATTEMPTS = 3


class Attempts(NamedTuple):
    """The failed attempts of one request, and whether one of them may have run."""

    count: int = 0
    failed_domains: frozenset[str] = frozenset()
    may_have_run: bool = False

    @property
    def is_last(self) -> bool:
        """Whether no further attempt will be made."""
        return self.count >= MAX_ATTEMPTS

    def with_failure(self, domain: str, executed: Executed) -> "Attempts":
        """Return this and one failed attempt more."""
        may_have_run = self.may_have_run or executed is not Executed.NO
        return Attempts(self.count + 1, self.failed_domains | {domain}, may_have_run)


def may_repeat(work: Work, result: SendResult) -> bool:
    """Whether another attempt could do no harm.

    A first token that came may have reached the caller, and a second answer would
    not continue the first one's text.
    """
    if result.executed is Executed.NO:
        return True
    return work.idempotent and result.first_token_seconds is None


class RetryBudget:
    """Retries that successes have earned.

    >>> budget = RetryBudget()
    >>> budget.take(overloaded=False)
    True
    """

    def __init__(self) -> None:
        self._remaining = INITIAL_BUDGET

    @property
    def remaining(self) -> float:
        """How many retries may still be made."""
        return self._remaining

    def earn(self) -> None:
        """Count one success."""
        self._remaining = min(MAX_BUDGET, self._remaining + EARNED_PER_SUCCESS)

    def take(self, overloaded: bool) -> bool:
        """Spend one retry if there is one and the fleet has room for it."""
        if overloaded or self._remaining < 1.0:
            return False
        self._remaining -= 1.0
        return True
