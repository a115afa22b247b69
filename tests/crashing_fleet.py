"""Gateway processes whose engines crash under some prompts, and start again.

with running_gateways(tmp_path, gateways=3, fleet_type=CrashingFleet) as fleet:
    fleet.add_engines()
    fleet.load(seconds=4.0)
"""

import random
import time
from collections.abc import Callable, Set
from concurrent.futures import ThreadPoolExecutor
from itertools import count
from typing import NamedTuple

from gateway_fleet import PROMPT_HEADERS, Answer, Fleet, Gateway

from cranberrywick.standin.platform.endpoint import EndpointStandIn, SeenRequest

ENGINES = 8
# Time until a crashed engine has started again, in seconds.
RESTART_SECONDS = 1.0
CRASHING_SEGMENT = "bad0"
CRASHING_SEGMENTS = frozenset({CRASHING_SEGMENT, "bad1"})
FIRST_SEGMENT = "f125"
CRASHING_PAUSE_SECONDS = 0.3
SOUND_PAUSE_SECONDS = 0.1


class Timed(NamedTuple):
    """An answer, and the time of the request on the stand-ins' clock."""

    answer: Answer
    sent_at: float
    is_crashing: bool
    request_id: str


def service_of(endpoint: EndpointStandIn) -> str:
    """Return the service of an endpoint, which its id begins with."""
    return "desk" if endpoint.endpoint_id.startswith("desk") else "pool"


def has_shared_segment(segment_ids: Set[str]) -> Callable[[SeenRequest], bool]:
    """Return whether a prompt has one of these segments before its last."""

    def has_one(request: SeenRequest) -> bool:
        prefix = request.headers.get("cranberrywick-prefix-hash", "")
        entries = prefix.split(",")[:-1]
        return any(each.partition(":")[0] in segment_ids for each in entries)

    return has_one


def shared_segments(is_crashing: bool, number: int) -> list[str]:
    """Return the segments of a prompt that others have, too."""
    return [FIRST_SEGMENT, CRASHING_SEGMENT if is_crashing else f"50{number % 3}"]


class CrashingFleet(Fleet):
    """Counts what engines get while those crash that answer `CRASHING_SEGMENTS`.

    ``crashed_at`` has the times of the crashes, on the stand-ins' clock, and
    ``shared_segments`` returns the shared segments of a prompt, given whether it is to
    crash engines, and its number.
    """

    def __init__(self, path):
        super().__init__(path)
        self.crashed_at: list[float] = []
        self.shared_segments = shared_segments
        self._rng = random.Random(1)
        self._numbers = count(1)
        self._starts = count(2)

    def add_engines(self) -> None:
        """Add engines up to `ENGINES`, and let all of them crash."""
        for number in range(3, ENGINES + 1):
            self.add_endpoint(f"engine-{number}", "pool")
        for engine in self.engines:
            engine.event_seconds = 0.03
            engine.crashes_under = has_shared_segment(CRASHING_SEGMENTS)
            engine.crashed = self._restart_later

    @property
    def engines(self) -> list[EndpointStandIn]:
        """The engines, which keep their ids when they start again."""
        return [self.endpoints[f"engine-{n}"] for n in range(1, ENGINES + 1)]

    def load(
        self, seconds: float, gateways: list[Gateway] | None = None, sound: bool = True
    ) -> list[Timed]:
        """Send requests of both kinds to gateways, and return their answers."""
        until = time.monotonic() + seconds
        jobs: list[Callable[[], list[Timed]]] = []
        for gateway in gateways or self.gateways:
            jobs.append(lambda g=gateway: self._call_repeatedly(g, True, until))
            if sound:
                jobs += [lambda g=gateway: self._call_repeatedly(g, False, until)] * 2
        with ThreadPoolExecutor(len(jobs)) as callers:
            calls = [callers.submit(job) for job in jobs]
            return [timed for call in calls for timed in call.result()]

    def crashing_arrivals(self, since: float) -> list[str]:
        """Return the ids of crashing requests that reached engines after a time."""
        return [
            arrival.request_id
            for endpoint in self.endpoints.values()
            for arrival in endpoint.arrivals
            if arrival.at > since and arrival.request_id.startswith("crashing")
        ]

    def send(self, gateway: Gateway, is_crashing: bool) -> Timed:
        """Send one request; no two have the same last segment."""
        number = next(self._numbers)
        segment_ids = [*self.shared_segments(is_crashing, number), f"{number:x}e"]
        prefix = ",".join(f"{each}:600" for each in segment_ids)
        headers = {**PROMPT_HEADERS, "Cranberrywick-Prefix-Hash": prefix}
        request_id = f"{'crashing' if is_crashing else 'sound'}-{number}"
        sent_at = self.loop.time()
        try:
            answer = self.call(
                gateway, "POST", f"/prompts/{number}", b"p", headers, request_id
            )
        except ConnectionError:
            answer = Answer(0, {}, b"", whole=False)
        return Timed(answer, sent_at, is_crashing, request_id)

    def _call_repeatedly(
        self, gateway: Gateway, is_crashing: bool, until: float
    ) -> list[Timed]:
        pause = CRASHING_PAUSE_SECONDS if is_crashing else SOUND_PAUSE_SECONDS
        answers = []
        while time.monotonic() < until:
            answers.append(self.send(gateway, is_crashing))
            time.sleep(pause * self._rng.uniform(0.5, 1.5))
        return answers

    def _restart_later(self, endpoint: EndpointStandIn) -> None:
        self.crashed_at.append(self.loop.time())
        self.loop.call_later(RESTART_SECONDS, self._restart, endpoint)

    def _restart(self, endpoint: EndpointStandIn) -> None:
        self.loop.create_task(self._start_again(endpoint))

    async def _start_again(self, endpoint: EndpointStandIn) -> None:
        await endpoint.start()
        record = {
            "service": service_of(endpoint),
            "address": endpoint.address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": next(self._starts),
        }
        self.store.put_json(f"servers/{endpoint.endpoint_id}", record)
