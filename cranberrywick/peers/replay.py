"""Distinguishes new messages of a sender from replayed and outdated ones."""

from collections import OrderedDict

from cranberrywick.errors import PeerMessageInvalid

__all__ = ["ReplayGuard"]

# Number of a sender's latest messages whose sequence numbers are remembered. Reordered
# messages arrive a few places late, never this many.
WINDOW = 256
# Most senders that are remembered, ten times the design size: 320 daemons of which 350
# are replaced each day need eleven days to fill it. The sender that has been silent for
# longest is evicted first; messages recorded from it are by then older than what the
# receivers know about it.
MAX_SENDERS = 4096


class _Window:
    """The newest sequence number of one run of a sender, and which others were seen.

    Bit ``n`` of ``seen`` is set if the message ``n`` places before the newest one has
    been received.
    """

    __slots__ = ("incarnation", "newest", "seen")

    def __init__(self, incarnation: int):
        self.incarnation = incarnation
        self.newest = -1
        self.seen = 0

    def accept(self, sequence: int) -> bool:
        if sequence > self.newest:
            step = sequence - self.newest
            self.seen = ((self.seen << min(step, WINDOW)) | 1) & ((1 << WINDOW) - 1)
            self.newest = sequence
            return True
        age = self.newest - sequence
        if age >= WINDOW or self.seen >> age & 1:
            return False
        self.seen |= 1 << age
        return True


class ReplayGuard:
    """Accepts each message of each sender's newest run once.

    A recorded message stays authentic forever, and if it were accepted again, it would
    renew a lease or restore outdated state. Its sequence number can't be changed
    without the fleet's secret, so it is enough to remember the numbers seen.
    """

    def __init__(self) -> None:
        self._windows_by_sender: OrderedDict[str, _Window] = OrderedDict()

    def newest_incarnation(self, sender: str) -> int:
        """Return the newest incarnation seen of the sender, 0 if there is none."""
        window = self._windows_by_sender.get(sender)
        return 0 if window is None else window.incarnation

    def accept(self, sender: str, incarnation: int, sequence: int) -> None:
        """Record a message of the sender's newest known run, or of a newer one.

        Raises `PeerMessageInvalid` if the message has been received before.
        """
        window = self._windows_by_sender.get(sender)
        if window is None or incarnation > window.incarnation:
            window = self._add(sender, incarnation)
        self._windows_by_sender.move_to_end(sender)
        if not window.accept(sequence):
            raise PeerMessageInvalid("the message came before")

    def _add(self, sender: str, incarnation: int) -> _Window:
        window = _Window(incarnation)
        self._windows_by_sender[sender] = window
        if len(self._windows_by_sender) > MAX_SENDERS:
            self._windows_by_sender.popitem(last=False)
        return window
