"""A gateway whose event loop is slow once it is told to stop, for tests.

TURN=0.05 CRANBERRYWICK_CONFIG=settings.json python tests/slow_turn_gateway.py gateway

``TURN`` is how long a turn of the loop takes at least, in seconds.
"""

import os
import time

from cranberrywick.cli.main import main
from cranberrywick.gateway import turn_limit
from cranberrywick.gateway.app import Gateway

TURN_SECONDS = float(os.environ["TURN"])
_select = turn_limit._BoundedSelector.select
_ask_to_stop = Gateway._ask_to_stop


def _select_slowly(selector, timeout=None):
    ready = _select(selector, timeout)
    time.sleep(TURN_SECONDS)
    return ready


def _slow_down(gateway):
    turn_limit._BoundedSelector.select = _select_slowly
    _ask_to_stop(gateway)


Gateway._ask_to_stop = _slow_down

if __name__ == "__main__":
    main()
