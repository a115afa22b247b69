"""Requests that are sent although quarantined, since the judgement may be wrong.

Without them nothing would be sent that could clear a trait of sound requests. If the
judgement is right, each trial costs an endpoint, so there are few, and daemons take
turns in making them.
"""

from collections.abc import Iterable
from typing import NamedTuple

from cranberrywick.routing.crash_judgement import may_be_sound
from cranberrywick.routing.crash_statement import Quarantine
from cranberrywick.routing.request_traits import RequestTraits, is_narrow

__all__ = ["QuarantineTrials", "Turn"]

# Least time from the last crash to a trial, in seconds, by how many trials have led to
# another crash; the last one holds for all further trials. A trait that was lost only
# once at a time is one caller's: its trial can wait until the quarantine is about to
# end, when it spares the endpoints that all waiting repeats would cost.
TRIAL_SECONDS = (20.0, 60.0, 540.0)
# Number of trials that may be made at once if the crashes have another explanation.
MAX_EARLY_TRIALS = 2
# Length of a daemon's turn, in seconds: a request with the trait should arrive there in
# that time, and its answer begin.
TURN_SECONDS = 5.0
# Longest time for which a trial that has not ended keeps others from being made, and
# how long one does that was lost, in seconds. The daemon knows by then whether the
# endpoint has crashed.
LONGEST_TRIAL_SECONDS = 10.0
LOST_TRIAL_SECONDS = 1.0


class Turn(NamedTuple):
    """This daemon's position among those that serve, from 0, and their number."""

    rank: int
    daemons: int


class _Trial(NamedTuple):
    request_key: str
    until: float


class QuarantineTrials:
    """Decides which quarantined requests this daemon sends as trials.

    >>> trials = QuarantineTrials()
    >>> quarantine = Quarantine("bad", last_crash_at=0.0, crashes=3)
    >>> traits = RequestTraits(("bad", "own"), b"POST", "host", b"/", b"")
    >>> trials.admits([quarantine], traits, "r1", now=1.0, turn=Turn(0, 1))
    False
    >>> trials.admits([quarantine], traits, "r1", now=21.0, turn=Turn(0, 1))
    True
    >>> trials.admits([quarantine], traits, "r2", now=21.0, turn=Turn(0, 1))
    False
    """

    def __init__(self) -> None:
        self._trials_by_id: dict[str, _Trial] = {}

    def admits(
        self,
        quarantines: Iterable[Quarantine],
        traits: RequestTraits,
        request_key: str,
        now: float,
        turn: Turn,
    ) -> bool:
        """Whether a request is sent in spite of the quarantines that it falls under.

        If so it is the trial until it ends. ``request_key`` is unique in the daemon.
        """
        quarantine, *others = quarantines
        if others or not quarantine.crashes:
            # Its answer wouldn't show which one is wrong, or it is another's judgement.
            return False
        trait_id = quarantine.trait_id
        trial = self._trials_by_id.get(trait_id)
        if trial is not None and trial.until > now:
            return trial.request_key == request_key
        if not _is_due(quarantine, traits, now, turn):
            return False
        self._trials_by_id[trait_id] = _Trial(request_key, now + LONGEST_TRIAL_SECONDS)
        return True

    def is_trial(self, request_key: str) -> bool:
        """Whether a request was sent as a trial, which has not ended."""
        trials = self._trials_by_id.values()
        return any(each.request_key == request_key for each in trials)

    def lost(self, request_key: str, now: float) -> None:
        """Record that a request was lost; if it was a trial, it isn't sent again."""
        for trait_id, trial in self._trials_by_id.items():
            if trial.request_key == request_key:
                until = now + LOST_TRIAL_SECONDS
                self._trials_by_id[trait_id] = _Trial("", until)

    def ended(self, request_key: str) -> None:
        """Record that a request has ended; another trial may follow."""
        for trait_id, trial in list(self._trials_by_id.items()):
            if trial.request_key == request_key:
                del self._trials_by_id[trait_id]

    def forget(self, now: float) -> None:
        """Remove what counts no longer."""
        for trait_id, trial in list(self._trials_by_id.items()):
            if trial.until <= now:
                del self._trials_by_id[trait_id]


def _is_due(
    quarantine: Quarantine, traits: RequestTraits, now: float, turn: Turn
) -> bool:
    since = now - quarantine.last_crash_at
    if int(since / TURN_SECONDS) % turn.daemons != turn.rank:
        return False
    is_narrow_trait = is_narrow(quarantine.trait_id)
    if quarantine.trials < MAX_EARLY_TRIALS and not is_narrow_trait:
        if may_be_sound(quarantine, traits.all):
            return True
    step = min(quarantine.trials, len(TRIAL_SECONDS) - 1)
    if is_narrow_trait and not quarantine.is_crowded:
        step = len(TRIAL_SECONDS) - 1
    return since >= TRIAL_SECONDS[step]
