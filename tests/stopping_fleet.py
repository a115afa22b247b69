"""Gateways that are told to stop while requests wait in them, for tests.

with running_stopping_fleet(tmp_path) as fleet:
    fleet.occupy("desk", "GET", "/reads/1")
    caller = fleet.send(fleet.gateways[0], "POST", "/books/1")
    fleet.stop(fleet.gateways[0])
    caller.answer().status
"""

import re
import signal
import socket
import threading
import time
from collections.abc import Iterator, Mapping
from contextlib import contextmanager, suppress
from itertools import count
from pathlib import Path
from types import MappingProxyType

from cut_fleet import CutFleet
from gateway_fleet import (
    PROMPT_HEADERS,
    WAIT_SECONDS,
    Answer,
    Gateway,
    configuration,
    read_answer,
    request_bytes,
    route,
    wait_for,
)

GRACE_SECONDS = 8.0
# Interval at which a listener is looked for, in seconds. Its gateway may end 40 ms
# after it is closed.
LOOK_SECONDS = 0.002
# Long enough that no request here ends because of it, in milliseconds.
DEADLINE = {"Cranberrywick-Deadline-Ms": "25000"}
# How long the only slot of an endpoint is taken, in seconds.
OCCUPIED_SECONDS = 30.0
# A prompt whose prefill takes 8.8 s and that leaves no memory for another one.
LONG_PROMPT = {
    **DEADLINE,
    "Cranberrywick-Model": "m",
    "Cranberrywick-Token-Count": "280000,1000",
    "Cranberrywick-Prefix-Hash": "5c1e07a2:280000",
}
WAITING_PROMPT = {**PROMPT_HEADERS, **DEADLINE}
WAITING_PROMPT["Cranberrywick-Token-Count"] = "60000,1000"


class Caller:
    """One request on its own connection, and what came back.

    Moments are those of the monotonic clock; ``sent_at`` is that before the request was
    written, and ``ended_at`` None before the end.
    """

    def __init__(self, connection: socket.socket, request_id: str, data: bytes):
        self.request_id = request_id
        self.connection = connection
        self.ended_at: float | None = None
        self._answer: Answer | None = None
        self.sent_at = time.monotonic()
        connection.sendall(data)
        self._thread = threading.Thread(target=self._read, daemon=True)
        self._thread.start()

    def _read(self) -> None:
        try:
            self._answer = read_answer(self.connection)
        except OSError:
            self._answer = Answer(0, {}, b"", whole=False)
        self.ended_at = time.monotonic()

    def answer(self) -> Answer:
        """Return the answer, after waiting for it."""
        self._thread.join()
        return self._answer


class StoppingFleet(CutFleet):
    """Gateways before endpoints whose slots tests take."""

    def __init__(self, path: Path):
        super().__init__(path)
        self._versions = count(1)

    def reconfigure(
        self, calls: Mapping[str, object] = MappingProxyType({}), **desk: object
    ) -> int:
        """Write the next version of the configuration to the store, and return it.

        ``desk`` are fields of the plain endpoints' service, ``calls`` of its routes.
        """
        version = next(self._versions)
        fields = configuration(version)
        fields["services"][0].update(desk)
        stream = {"streamResume": True, "gapAimMs": 250, "stickySessions": True}
        fields["routes"] = [
            route("reads", "safe", "desk", timeoutMs=30_000, **calls),
            route("books", "unsafe", "desk", timeoutMs=30_000, **calls),
            route("prompts", "streaming", "pool", timeoutMs=30_000, **stream),
        ]
        fields["limits"] = {**fields["limits"], "idleTimeoutMs": 15_000}
        self.configure(fields)
        return version

    def keep_pace(self) -> None:
        """Let streams take as long on a busy machine as on an idle one."""
        for endpoint in self.endpoints.values():
            endpoint.keeps_pace = True

    def send(
        self,
        gateway: Gateway,
        method: str,
        target: str,
        headers: dict[str, str] = DEADLINE,
        body: bytes = b"",
    ) -> Caller:
        """Send a request on a new connection."""
        request_id = self.new_id()
        data = request_bytes(method, target, body, headers, request_id)
        return Caller(self.connect(gateway), request_id, data)

    def send_reads(
        self, gateway: Gateway, number: int, pause: float, began: float
    ) -> list[Caller]:
        """Send calls, one each ``pause`` seconds from the moment ``began`` on."""
        calls = []
        for due in (began + each * pause for each in range(number)):
            time.sleep(max(0.0, due - time.monotonic()))
            calls.append(self.send(gateway, "GET", "/reads/1"))
        return calls

    def occupy(self, gateway: Gateway, prefix: str = "reads") -> Caller:
        """Take a slot of an endpoint, or the memory of an engine, for long."""
        headers = LONG_PROMPT if prefix == "prompts" else DEADLINE
        method = "GET" if prefix == "reads" else "POST"
        caller = self.send(gateway, method, f"/{prefix}/occupied", headers)
        wait_for(lambda: self.runs(caller.request_id) == 1, "the slot to be taken")
        # The stand-in reads its ``work_seconds`` a moment later.
        time.sleep(0.1)
        return caller

    def send_each_kind(self, gateway: Gateway) -> list[Caller]:
        """Send requests that wait: reads, calls that may not run twice and prompts."""
        return [
            *(self.send(gateway, "GET", f"/reads/{n}") for n in range(2)),
            *(self.send(gateway, "POST", f"/books/{n}") for n in range(2)),
            *(
                self.send(gateway, "POST", f"/prompts/{n}", WAITING_PROMPT)
                for n in range(2)
            ),
        ]

    def wait_until_seen(self, gateway: Gateway) -> None:
        """Wait until a gateway has handled all that was sent to it before."""
        assert self.call(gateway, "GET", "/none/1").status == 404
        time.sleep(0.1)

    def wait_until_unlistening(self, gateway: Gateway) -> None:
        """Wait until a gateway has closed its listener; it sees nothing of that."""
        host, _, port = gateway.front.rpartition(":")
        until = time.monotonic() + WAIT_SECONDS
        while True:
            assert time.monotonic() < until, f"{gateway.name} still listens"
            with socket.socket() as other:
                other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                # An address is taken while another socket listens there.
                with suppress(OSError):
                    other.bind((host, int(port)))
                    return
            time.sleep(LOOK_SECONDS)

    def stop(self, gateway: Gateway, number: int = signal.SIGTERM) -> float:
        """Send a gateway a signal; return the moment."""
        gateway.process.send_signal(number)
        return time.monotonic()


def waiting_at_stop(gateway: Gateway) -> int:
    """Return how many requests waited in a gateway when it began to stop."""
    (waiting,) = re.findall(r"event=drain_started .*waiting=(\d+)", gateway.log)
    return int(waiting)


def outcomes(gateway: Gateway) -> list[str]:
    """Return the outcomes of a gateway's requests, as logged."""
    return re.findall(r"event=request_ended .*?outcome=(\S+)", gateway.log)


def peer_outcomes(gateway: Gateway) -> list[str]:
    """Return the outcomes of the requests that peers forwarded, as logged."""
    return re.findall(r"event=peer_request_ended .*?outcome=(\S+)", gateway.log)


@contextmanager
def running_stopping_fleet(
    path: Path, gateways: int = 1, desks: int = 1, slots: int = 1
) -> Iterator[StoppingFleet]:
    """Run gateways before plain endpoints with few slots, and one engine.

    A call or a prefill takes `OCCUPIED_SECONDS`.
    """
    fleet = StoppingFleet(path)
    try:
        fleet.reconfigure()
        for number in range(1, desks + 1):
            shape = {"work_seconds": OCCUPIED_SECONDS}
            fleet.add_endpoint(f"desk-{number}", "desk", **shape)
            fleet.register(f"desk-{number}", "desk", slots=slots)
        fleet.add_endpoint("engine-1", "pool", work_seconds=OCCUPIED_SECONDS)
        for number in range(gateways):
            fleet.start_gateway(f"gateway-{number}", wait=False)
        for gateway in fleet.gateways:
            fleet.wait_ready(gateway)
        for gateway in fleet.gateways:
            wait_for(
                lambda each=gateway: len(fleet.addresses(each)) == gateways,
                "the gateways to know one another",
            )
        yield fleet
    finally:
        fleet.close()
