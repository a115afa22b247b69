"""Several peers in one process for tests, each with its own sockets."""

import time
from types import SimpleNamespace

from cranberrywick.peers.node import PeerNode
from cranberrywick.timers import TimerService

# Longest wait for a condition, in seconds. It is long so that a test does not fail only
# because the machine is busy.
WAIT_SECONDS = 60.0
SECRET = "the fleet's secret"


def wait_for(condition):
    """Poll until the condition holds; fail after `WAIT_SECONDS`."""
    deadline = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, "the condition did not come true"
        time.sleep(0.01)


def settings(daemon_id, secret=SECRET):
    """Return the part of a daemon's settings that a node needs."""
    return SimpleNamespace(
        daemon_id=daemon_id,
        failure_domain="fd-1",
        region="north",
        listen="127.0.0.1:1",
        peer_listen="127.0.0.1:0",
        peer_secret=secret,
    )


class FastTimers:
    """Timers and a clock that run ``speed`` times as fast as real time."""

    def __init__(self, speed):
        self._speed = speed
        self._timers = TimerService(seed=1)

    def clock(self):
        return time.monotonic() * self._speed

    def every(self, seconds, callback, jitter=0.0):
        return self._timers.every(seconds / self._speed, callback, jitter)

    def start(self):
        self._timers.start()

    def stop(self):
        self._timers.stop()


class Fleet:
    """Nodes of which each has the nodes added before it as seeds.

    With ``speed`` above 1, waits such as the suspicion time of three seconds are
    shorter.
    """

    def __init__(self, speed=1):
        self._timers = FastTimers(speed)
        self._timers.start()
        self.nodes = []

    def clock(self):
        return self._timers.clock()

    def every(self, seconds, callback):
        self._timers.every(seconds, callback)

    def add(self, daemon_id, secret=SECRET, **options):
        node = PeerNode(
            settings(daemon_id, secret),
            self._timers,
            seed=len(self.nodes),
            clock=self._timers.clock,
            **options,
        )
        node.on_configuration(node.set_configuration)
        node.set_seeds([other.address for other in self.nodes])
        node.start()
        self.nodes.append(node)
        return node

    def add_many(self, number, **options):
        nodes = [self.add(f"e{i}", **options) for i in range(1, number + 1)]
        self.wait_until_all_see(nodes)
        return nodes

    def wait_until_all_see(self, seen, by=None):
        """Wait until the nodes ``by``, or all, see exactly ``seen`` as serving."""
        ids = {node.myself.daemon_id for node in seen}
        for node in by or self.nodes:
            wait_for(lambda node=node: set(node.snapshot.serving_by_id) == ids)

    def remove(self, node):
        """Stop a node without notice to the others, as if it were killed."""
        self.nodes.remove(node)
        node.stop()

    def cut(self, senders, receivers):
        """Drop every message from ``senders`` to ``receivers`` until `heal` is called.

        Returns a list to which the recipient's address of each lost message is added.
        """
        addresses = {node.address for node in receivers}
        lost = []

        def is_cut(address):
            if address in addresses:
                lost.append(address)
            return address in addresses

        for node in senders:
            node.transport.is_cut = is_cut
        return lost

    def heal(self):
        for node in self.nodes:
            node.transport.is_cut = lambda address: False

    def stop(self):
        for node in self.nodes:
            node.stop()
        self._timers.stop()
