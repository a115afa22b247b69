"""How long an endpoint's answer may be, and how much of answers a daemon keeps.

Load pattern: an endpoint sends bytes without end in the place of an answer, as fast as
its link allows, while others send sound answers of several megabytes to callers that
read slowly. An answer is kept until it is whole, since one that breaks off can then be
replaced by another endpoint's. A bound for each answer alone would be too low for the
sound ones or, with many at a time, exceed the memory of a VM with 200 MB. There is
therefore a bound for all of them as well, beyond which answers are forwarded as they
come, no faster than their callers read.
"""

from enum import StrEnum

__all__ = [
    "BYTES_PER_TURN",
    "FREE_READ_BYTES",
    "FREE_READ_RATE",
    "HELD_BYTES",
    "HELD_OF_LAST_BYTES",
    "HELD_OF_ONE_BYTES",
    "MAX_ANSWER_BYTES",
    "MAX_IDLE_BYTES",
    "MAX_INTERIM_RESPONSES",
    "MAX_PARTS_OF_A_READ",
    "MIN_CHUNK_BYTES",
    "AnswerBound",
    "HeldLedger",
    "is_endless",
    "longest_held",
]

MIB = 1024 * 1024
# Longest answer, in bytes. A million output tokens, at about 60 bytes an event, stay
# below it.
MAX_ANSWER_BYTES = 64 * MIB
# How much of all answers is kept, in bytes.
HELD_BYTES = 16 * MIB
# How much of one answer is kept, in bytes. No error message is as long.
HELD_OF_ONE_BYTES = 8 * MIB
# The same if no other endpoint may be tried, in bytes.
HELD_OF_LAST_BYTES = 4 * MIB
# What every answer may keep, whatever the others do, in bytes. Most answers have a few
# kB.
OWN_PART_BYTES = 65_536
# Largest number of interim responses, such as 100 (Continue), before an answer.
MAX_INTERIM_RESPONSES = 16
# Longest row of comments, empty lines and empty events between two others, in bytes.
MAX_IDLE_BYTES = 65_536
# Largest number of parts, such as chunks, in a read of 32 KiB. The events of a sound
# stream have five bytes at least.
MAX_PARTS_OF_A_READ = 3000
# Smallest mean length of the chunks of a read, in bytes, where they are not counted.
MIN_CHUNK_BYTES = 5
# How much of one answer is read at once, in bytes, and how much more a second. Beyond
# it answers are read one after the other. Most streams have a few kB a second.
FREE_READ_BYTES = 65_536
FREE_READ_RATE = 65_536
# How much of a long answer is read in its turn, in bytes.
BYTES_PER_TURN = 131_072


class AnswerBound(StrEnum):
    """A bound that bytes exceed which can't be an answer."""

    DECLARED = "declared_length"
    WHOLE = "answer_length"
    HELD = "held_length"
    EVENT = "event_length"
    IDLE = "bytes_without_event"
    INTERIM = "interim_responses"
    PARTS = "parts_of_a_read"


def longest_held(status: int, may_repeat: bool) -> int:
    """Return how many bytes are kept of an answer that is not whole yet.

    Of one that can't be replaced by another endpoint's fewer are kept, so that others
    have the room.
    """
    is_error = status >= 500
    return HELD_OF_ONE_BYTES if may_repeat or is_error else HELD_OF_LAST_BYTES


def is_endless(status: int, received: int, may_repeat: bool, is_usual: bool) -> bool:
    """Whether an answer that can't be kept any longer counts as one without an end.

    Otherwise it is forwarded as it comes. ``received`` is how many bytes have come and
    ``may_repeat`` says whether another endpoint may still be tried. ``is_usual`` says
    that a sound answer may be as long, since it declares its length, or since others
    of its route were.

    >>> is_endless(200, HELD_OF_ONE_BYTES + 1, may_repeat=True, is_usual=False)
    True
    """
    is_long = received > HELD_OF_ONE_BYTES
    if status >= 500:
        return is_long or may_repeat
    return is_long and may_repeat and not is_usual


class HeldLedger:
    """Counts the bytes of the answers that are kept.

    One answer at a time may exceed the limit. It is soon whole, or recognised as one
    without an end; if all waited for the others, none would be. Answers are told apart
    by identity.

    >>> ledger = HeldLedger(limit=100_000)
    >>> ledger.admits("first", own=0, more=200_000)
    True
    >>> ledger.admits("second", own=0, more=200_000)
    False
    """

    def __init__(self, limit: int = HELD_BYTES):
        self._limit = limit
        self._ahead: object = None
        self.held = 0

    def admits(self, answer: object, own: int, more: int) -> bool:
        """Whether an answer of which ``own`` bytes are kept may keep ``more``."""
        if own + more <= OWN_PART_BYTES or self.held + more <= self._limit:
            return True
        if self._ahead is None:
            self._ahead = answer
        return self._ahead is answer

    def add(self, more: int) -> None:
        """Record that more bytes are kept, or fewer if it is negative."""
        self.held += more

    def end(self, answer: object) -> None:
        """Record that nothing is kept of an answer any more."""
        if self._ahead is answer:
            self._ahead = None
