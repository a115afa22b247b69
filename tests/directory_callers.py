"""Callers that keep the directory's answers and their connections, for tests."""

import json
import random
import socket
import time
from typing import TYPE_CHECKING, NamedTuple

from gateway_fleet import HOST, Answer, read_answer, request_bytes

if TYPE_CHECKING:
    from stop_series import StopSeries

DEADLINE_SECONDS = 1.6
DEADLINE = {"Cranberrywick-Deadline-Ms": str(round(1000 * DEADLINE_SECONDS))}
# How long callers keep an answer of the directory, in seconds, and how many times as
# long some of them do.
TTL_SECONDS, LONGER = 1.0, 3


class Sent(NamedTuple):
    """A call and its answer; moments are those of the wall clock.

    ``earlier`` is how many calls the connection had carried, ``end`` how it ended.
    """

    request_id: str
    gateway: str
    earlier: int
    sent_at: float
    ended_at: float
    answer: Answer
    end: str


class DirectoryCaller:
    """Sends calls that may not run twice, as a caller of the platform does.

    ``series`` gets what became of them.
    """

    def __init__(self, series: "StopSeries", number: int, pause: float):
        self._series = series
        self._rng = random.Random(number)
        self._pause = pause
        self._kept = TTL_SECONDS * (LONGER if number % 3 == 0 else 1)
        self._directories = [each.directory for each in series.fleet.gateways]
        self._rng.shuffle(self._directories)
        self._addresses: list[str] = []
        self._failed: set[str] = set()
        self._fresh_until = 0.0
        self._connection: socket.socket | None = None
        self._address = ""
        self._earlier = 0

    def run(self, until: float) -> None:
        while time.monotonic() < until:
            time.sleep(self._pause * self._rng.uniform(0.2, 1.8))
            self._resolve()
            if self._connection is not None or self._connect():
                self._call()
        self._close()

    def _resolve(self) -> None:
        if time.monotonic() < self._fresh_until:
            return
        for directory in self._directories:
            addresses = _resolve(directory)
            if addresses:
                self._addresses, self._failed = addresses, set()
                self._fresh_until = time.monotonic() + self._kept
                if self._address not in addresses:
                    self._close()
                return

    def _connect(self) -> bool:
        usable = [each for each in self._addresses if each not in self._failed]
        if not usable:
            self._fresh_until = 0.0
            return False
        self._address = self._rng.choice(usable)
        host, _, port = self._address.rpartition(":")
        try:
            self._connection = socket.create_connection((host, int(port)), 1.0)
        except OSError:
            self._failed.add(self._address)
            return False
        self._earlier = 0
        return True

    def _call(self) -> None:
        series, connection = self._series, self._connection
        connection.settimeout(DEADLINE_SECONDS)
        if _has_ended(connection):
            self._close()
            return
        request_id = series.new_id()
        data = request_bytes("POST", "/books/1", b"{}", DEADLINE, request_id)
        sent_at, end = time.time(), ""
        answer = Answer(0, {}, b"", whole=False)
        try:
            connection.sendall(data)
            answer = read_answer(connection)
            end = "" if answer.whole else "closed"
        except OSError as error:
            end = type(error).__name__
        series.sent.append(
            Sent(
                request_id,
                series.name_by_address[self._address],
                self._earlier,
                sent_at,
                time.time(),
                answer,
                end,
            )
        )
        self._earlier += 1
        if not answer.whole:
            self._failed.add(self._address)
        if not answer.whole or answer.headers.get("connection") == "close":
            self._close()

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def _has_ended(connection: socket.socket) -> bool:
    """Whether the gateway has closed a connection."""
    connection.setblocking(False)
    try:
        return connection.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        connection.settimeout(DEADLINE_SECONDS)


def _resolve(directory: str) -> list[str]:
    host, _, port = directory.rpartition(":")
    target = f"/resolve?name={HOST}&region=r&zone=a"
    try:
        with socket.create_connection((host, int(port)), 1.0) as connection:
            connection.sendall(f"GET {target} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
            answer = read_answer(connection)
    except OSError:
        return []
    return json.loads(answer.body)["addresses"] if answer.status == 200 else []
