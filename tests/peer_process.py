"""A peer in a process of its own, for tests.

Prints its address, then a line with the ids of the serving members at each change.
Its arguments are its id and the addresses of its seeds.
"""

import sys
import threading

from peer_fleet import settings

from cranberrywick.peers.node import PeerNode
from cranberrywick.timers import TimerService


def main(daemon_id, *seeds):
    timers = TimerService()
    timers.start()
    node = PeerNode(settings(daemon_id), timers)
    print(node.address, flush=True)
    node.on_membership(
        lambda snapshot: print(*sorted(snapshot.serving_by_id), flush=True)
    )
    node.set_seeds(seeds)
    node.start()
    threading.Event().wait()


if __name__ == "__main__":
    main(*sys.argv[1:])
