"""Decide which failed attempts are retried, within a budget.

Load pattern: an engine, or a third of all engines, fails with dozens of requests in
progress; or the fleet is so overloaded that attempts fail for that reason.

Without it: either every caller of a failed engine sees the failure, or each failure
under overload causes two more attempts, which increase the overload.

How: a request is retried only if the attempt did not run, or if the call is idempotent
and the caller has not yet received any of the answer. Each success adds a fraction of a
retry to a budget, and each retry spends one. There are no retries while the fleet
refuses work for lack of capacity, after the third attempt, or if a retry could not meet
the deadline. The next attempt avoids the failure domains that have failed.

Grounds: with retries limited to a tenth of the successes, the usual bound, they cannot
double the load. The budget is at most one hundred retries: that is how many requests a
third of sixteen engines loses if a failure domain fails at full load. All but the
first ten of them must have been earned.
"""

from typing import NamedTuple

from cranberrywick.model import Executed, SendResult, Work

__all__ = ["Attempts", "RetryBudget", "may_repeat"]

# All in retries: what one success adds to the budget, and its initial and largest size.
EARNED_PER_SUCCESS = 0.1
INITIAL_BUDGET = 10.0
MAX_BUDGET = 100.0
# Largest number of attempts for one request, the first included.
MAX_ATTEMPTS = 3


class Attempts(NamedTuple):
    """The failed attempts of one request, and whether any of them may have run."""

    count: int = 0
    failed_domains: frozenset[str] = frozenset()
    may_have_run: bool = False

    @property
    def is_last(self) -> bool:
        """Whether no further attempt will be made."""
        return self.count >= MAX_ATTEMPTS

    def with_failure(self, domain: str, executed: Executed) -> "Attempts":
        """Return these attempts and one more failed attempt."""
        may_have_run = self.may_have_run or executed is not Executed.NO
        return Attempts(self.count + 1, self.failed_domains | {domain}, may_have_run)


def may_repeat(work: Work, result: SendResult) -> bool:
    """Whether the request can be attempted again without harm.

    Once a first token has arrived, it may have reached the caller, and a second answer
    would not continue the text of the first.
    """
    if result.executed is Executed.NO:
        return True
    return work.idempotent and result.first_token_seconds is None


class RetryBudget:
    """A budget of retries that grows with successes.

    >>> budget = RetryBudget()
    >>> budget.take(overloaded=False)
    True
    """

    def __init__(self) -> None:
        self._remaining = INITIAL_BUDGET

    @property
    def remaining(self) -> float:
        """The number of retries that may still be made, not always whole."""
        return self._remaining

    def earn(self) -> None:
        """Add the fraction of a retry that one success earns."""
        self._remaining = min(MAX_BUDGET, self._remaining + EARNED_PER_SUCCESS)

    def take(self, overloaded: bool) -> bool:
        """Spend one retry and return True, or return False if none is allowed.

        None is allowed under overload or with less than one retry in the budget.
        """
        if overloaded or self._remaining < 1.0:
            return False
        self._remaining -= 1.0
        return True
