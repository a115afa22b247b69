"""For how long a thread has run on a processor, or has waited for one."""

from pathlib import Path
from time import monotonic, thread_time

__all__ = ["busy_seconds"]

# What the kernel's scheduler knows of the calling thread: the time that it ran, the
# time that it waited for a processor, and how often it got one.
SCHEDULER_PATH = Path("/proc/thread-self/schedstat")


def busy_seconds() -> float:
    """Return for how long the calling thread has run or waited for a processor.

    Unit: seconds, from an arbitrary moment on. A process that is suspended, or waits
    for events, does neither. Where the kernel doesn't tell, all time counts. Source:
    the thread's processor clock, and the scheduler's statistics of Linux.

    >>> began_at = busy_seconds()
    >>> time.sleep(1.0)
    >>> busy_seconds() - began_at
    0.0001
    """
    try:
        _, waited, turns = map(int, SCHEDULER_PATH.read_bytes().split())
    except (OSError, ValueError):
        return monotonic()
    return thread_time() + waited / 1e9 if turns else monotonic()
