"""Waitress on its own thread, with a stop that cuts no request."""

import threading
import time
from collections.abc import Callable

from waitress import wasyncore
from waitress.channel import HTTPChannel

from cranberrywick.http_limits import create_http_server
from cranberrywick.logs import EventLog

__all__ = ["HttpServer"]

_log = EventLog(part="http")

# Longest wait of one turn of the event loop, in seconds.
POLL_SECONDS = 1.0
# Interval between checks for running requests during a drain, in seconds.
IDLE_CHECK_SECONDS = 0.05
# Longest time for the answers to what was read just before a stop, in seconds.
LAST_ANSWERS_SECONDS = 0.5
# Pause after a turn of the event loop that failed, in seconds.
FAILED_TURN_SECONDS = 0.05


class _Connection(HTTPChannel):
    """A connection from which nothing is read once its server has stopped reading."""

    def readable(self) -> bool:
        return self.server.reads and super().readable()


class HttpServer:
    """Serves one WSGI application until it is stopped.

    Waitress's own `run` ends its application threads as soon as it has to stop,
    which cuts the streams that they are writing. This class runs the event loop
    itself instead: `stop_accepting` closes the listener, `wait_until_idle` waits for
    the running requests, `finish` also lets no more come, and `stop` ends the loop.
    """

    def __init__(self, application: Callable, listen: str, threads: int):
        self._server = create_http_server(application, listen, threads=threads)
        self._server.channel_class = _Connection
        self._server.reads = True
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="http", daemon=True)

    @property
    def address(self) -> str:
        """The address on which the server listens, as ``ip:port``."""
        return f"{self._server.effective_host}:{self._server.effective_port}"

    def start(self) -> None:
        """Start the thread that serves requests."""
        self._thread.start()

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                wasyncore.loop(
                    timeout=POLL_SECONDS, map=self._server._map, count=1, use_poll=True
                )
            except Exception as error:  # Other connections go on.
                _log.error("http_loop_failed", error=error)
                time.sleep(FAILED_TURN_SECONDS)

    def stop_accepting(self) -> None:
        """Close the listener; open connections stay open."""
        self._run_on_loop(self._close_listener)

    def _close_listener(self) -> None:
        self._server.del_channel()
        self._server.socket.close()

    def _stop_reading(self) -> None:
        self._server.reads = False

    def _run_on_loop(self, step: Callable[[], None]) -> None:
        """Run a step on the loop's own thread, between two polls, and wait for it.

        A listener closed during a poll would leave a stale descriptor in the poll set.
        """
        done = threading.Event()

        def run() -> None:
            try:
                step()
            finally:
                done.set()

        self._server.trigger.pull_trigger(run)
        done.wait(2 * POLL_SECONDS)

    def wait_until_idle(self, seconds: float) -> bool:
        """Wait at most ``seconds`` for running requests; return whether all ended."""
        deadline = time.monotonic() + seconds
        while self._n_running:
            if time.monotonic() >= deadline:
                return False
            time.sleep(IDLE_CHECK_SECONDS)
        return True

    def finish(self, seconds: float) -> bool:
        """Serve what comes until nothing is left, and read nothing more from then on.

        What was read after the last look is served, too. Return whether all requests
        ended within ``seconds``.
        """
        deadline = time.monotonic() + seconds
        self.wait_until_idle(seconds)
        self._end_reading()
        return self.wait_until_idle(max(0.0, deadline - time.monotonic()))

    def _end_reading(self) -> None:
        self._run_on_loop(self._stop_reading)
        # The turn that has taken this step still reads what its poll has found.
        self._run_on_loop(lambda: None)

    @property
    def _n_running(self) -> int:
        channels = list(self._server.active_channels.values())
        return sum(
            1 for channel in channels if channel.requests or channel.total_outbufs_len
        )

    def stop(self) -> None:
        """Close every connection and end the threads.

        Nothing is read any more, and what has been read gets its answer before, if that
        takes no longer than `LAST_ANSWERS_SECONDS`.
        """
        self._end_reading()
        self.wait_until_idle(LAST_ANSWERS_SECONDS)
        self._stopping.set()
        self._server.pull_trigger()
        self._thread.join()
        self._server.task_dispatcher.shutdown(timeout=POLL_SECONDS)
        wasyncore.close_all(self._server._map, ignore_all=True)
