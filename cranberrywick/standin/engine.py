"""A stand-in for a model engine, served over HTTP.

It has streams, a prefix cache, exports and imports, orders and faults. In addition
to the faults of every stand-in (see `cranberrywick.standin.server`), these kinds
apply to the next ``count`` answers:

============= =============================================================
drop_stream   close the connection after event ``after``
cut_stream    end the body properly after event ``after``, without ``[DONE]``
skip_event    leave out event ``event``
repeat_event  send event ``event`` twice
cross_event   send event ``event`` with another request's id
cross         answer with the request id and attempt of another request
no_usage      leave the token count out
refuse        answer 503 with ``reason`` cold, leaving or full; do not run it
lose_cancel   confirm a cancellation without cancelling
============= =============================================================

These kinds take effect at once: ``turn_cold``, ``turn_warm``, ``turn_leaving``,
``slow_factor`` (multiply all durations by ``factor``), ``fall_over`` (lose all
streams and memory and restart cold), ``cache_gap`` (lose the next ``count`` cache
events) and ``die`` (end the process).
"""

import os
from collections.abc import Callable, Iterator

import click

from cranberrywick.model import EndpointPhase
from cranberrywick.standin.engine_answers import (
    NO_EVENT,
    StreamFaults,
    event,
    read_prompt,
    whole_answer,
)
from cranberrywick.standin.engine_core import (
    EngineCore,
    EngineSettings,
    Generation,
    NotTaken,
)
from cranberrywick.standin.server import (
    Answer,
    BrokenAnswer,
    Request,
    RunningStandIn,
    StandIn,
    json_answer,
    serve,
)
from cranberrywick.standin.server import start as start_standin
from cranberrywick.standin.service import echo_headers, other_headers, refusal

__all__ = ["EngineSettings", "EngineStandIn", "engine_command", "start"]

# Server threads. Each stream and each call that waits occupies one.
THREADS = 96


class EngineStandIn(StandIn):
    """HTTP interface of an `EngineCore`."""

    def __init__(self, settings: EngineSettings | None = None):
        super().__init__()
        self.core = EngineCore(settings or EngineSettings())
        self.highest_fence = 0
        self.orders: list[dict] = []
        self._routes: tuple[tuple[str, Callable[[Request], Answer]], ...] = (
            ("/v1/chat/completions", self._complete),
            ("/v1/load", self._load),
            ("/v1/streams", self._streams),
            ("/v1/cache/events", self._cache_events),
            ("/v1/cache/exports", self._reservations),
            ("/v1/cache/imports", self._reservations),
            ("/v1/cache", self._cache),
            ("/v1/orders", self._orders),
            ("/state", self._state),
        )

    def handle(self, request: Request) -> Answer:
        """Answer one call of the engine's interface, 404 for an unknown path."""
        for path, route in self._routes:
            if request.path == path or request.path.startswith(f"{path}/"):
                return route(request)
        return json_answer(404, {"error": {"type": "not_found"}})

    def answer(self, request: Request) -> Answer:
        """Apply a fault that takes effect at once, or answer as the base does."""
        if request.path == "/faults" and request.method == "POST":
            if self._apply(request.json()):
                return json_answer(200, self.faults.describe())
        return super().answer(request)

    def stopping(self) -> None:
        """Wake the threads that wait for tokens."""
        self.core.close()

    def _apply(self, fault: dict) -> bool:
        match fault["kind"]:
            case "turn_cold":
                self.core.turn_cold()
            case "turn_warm":
                self.core.turn(EndpointPhase.WARM)
            case "turn_leaving":
                self.core.turn(EndpointPhase.LEAVING)
            case "slow_factor":
                self.core.set_slow_factor(fault["factor"])
            case "fall_over":
                self.core.fall_over()
            case "cache_gap":
                self.core.cache.events_to_lose += fault.get("count", 1)
            case "die":
                os._exit(1)
            case _:
                return False
        return True

    def _complete(self, request: Request) -> Answer:
        if refuse := self.faults.take("refuse", request.path):
            return refusal(request, refuse.details["reason"])
        body = request.json()
        try:
            generation = self.core.submit(read_prompt(request, body))
        except NotTaken as refused:
            return refusal(request, refused.reason.value)
        headers = echo_headers(request)
        if cross := self.faults.take("cross", request.path):
            headers = other_headers(cross.details)
        if body.get("stream"):
            events = self._events(generation, 0, self._take_faults(request.path))
            return _event_stream(events, headers)
        last = generation.prompt.output_tokens - 1
        self.core.count_reader(generation, 1)
        try:
            if not self.core.wait_for_token(generation, last):
                return Answer(200, _broken_body(), (("Content-Length", "1"), *headers))
        finally:
            self.core.count_reader(generation, -1)
        return json_answer(200, whole_answer(generation), *headers)

    def _take_faults(self, path: str) -> StreamFaults:
        def detail(kind: str, name: str) -> int:
            fault = self.faults.take(kind, path)
            return fault.details[name] if fault else NO_EVENT

        return StreamFaults(
            drop_after=detail("drop_stream", "after"),
            cut_after=detail("cut_stream", "after"),
            skip=detail("skip_event", "event"),
            repeat=detail("repeat_event", "event"),
            cross=detail("cross_event", "event"),
            no_usage=self.faults.take("no_usage", path) is not None,
        )

    def _events(
        self, generation: Generation, first: int, faults: StreamFaults
    ) -> Iterator[bytes]:
        self.core.count_reader(generation, 1)
        try:
            for number in range(first, generation.prompt.output_tokens + 1):
                if number - 1 == faults.drop_after:
                    raise BrokenAnswer
                if number - 1 == faults.cut_after:
                    return
                token = min(number, generation.prompt.output_tokens - 1)
                if not self.core.wait_for_token(generation, token):
                    raise BrokenAnswer
                if number != faults.skip:
                    yield event(generation, number, faults)
                if number == faults.repeat:
                    yield event(generation, number, faults)
            yield b"data: [DONE]\n\n"
        finally:
            self.core.count_reader(generation, -1)

    def _streams(self, request: Request) -> Answer:
        stream_id = request.path.removeprefix("/v1/streams").strip("/")
        if request.method == "DELETE":
            if self.faults.take("lose_cancel", request.path):
                return json_answer(200, {"cancelled": True})
            return json_answer(200, {"cancelled": self.core.cancel(stream_id)})
        if not stream_id:
            return json_answer(200, {"streams": self._list_streams()})
        generation = self.core.attach(stream_id)
        if generation is None:
            return json_answer(410, {"error": {"type": "gone"}}, *echo_headers(request))
        first = int(request.query.get("after", "-1")) + 1
        events = self._events(generation, first, self._take_faults(request.path))
        return _event_stream(events, echo_headers(request))

    def _list_streams(self) -> list[dict]:
        return [
            {
                "id": live.prompt.stream_id,
                "request_id": live.prompt.request_id,
                "attempt": live.prompt.attempt,
                "owner": live.prompt.owner,
                "readers": live.readers,
            }
            for live in self.core.live()
        ]

    def _load(self, request: Request) -> Answer:
        return json_answer(200, self.core.load())

    def _cache(self, request: Request) -> Answer:
        with self.core.changed:
            cache = self.core.cache
            return json_answer(200, {"seq": cache.seq, "keys": cache.keys})

    def _cache_events(self, request: Request) -> Answer:
        after = int(request.query.get("after", "0"))
        with self.core.changed:
            return json_answer(200, {"events": self.core.cache.events_after(after)})

    def _reservations(self, request: Request) -> Answer:
        kind, _, name = request.path.removeprefix("/v1/cache/").partition("/")
        held = self.core.exports if kind == "exports" else self.core.imports
        with self.core.changed:
            self.core.advance()
            if request.method == "GET":
                return json_answer(200, {kind: held.describe()})
            if request.method == "DELETE":
                return json_answer(200 if held.remove(name) else 404, {})
            fields = request.json()
            source = fields.get("source", "")
            wanted = 0 if source else fields["tokens"]
            if self.core.memory_used + wanted > self.core.settings.cache_tokens:
                return refusal(request, "full")
            added = held.add(
                fields["owner"], fields["tokens"], fields["ttl_seconds"], source
            )
            self.core.record_load()
            return json_answer(200, {"id": added.reservation_id})

    def _orders(self, request: Request) -> Answer:
        if request.method == "GET":
            return json_answer(200, {"orders": self.orders})
        order = request.json()
        with self.core.changed:
            old = order["fence"] < self.highest_fence
            if self.core.settings.checks_fencing and old:
                return json_answer(409, {"fence": self.highest_fence})
            self.highest_fence = max(self.highest_fence, order["fence"])
            self.orders.append(order)
            self._execute_order(order)
            return json_answer(200, {"incarnation": self.core.incarnation})

    def _execute_order(self, order: dict) -> None:
        core = self.core
        if order["order"] == "set_role":
            core.role = order["role"]
        elif order.get("adapter"):
            core.adapters.append(order["adapter"])
        else:
            core.models = [order["model"]]
            core.version_by_model = {order["model"]: order.get("version", "")}
            core.adapters = []
            core.turn_cold()
        core.record_load()

    def _state(self, request: Request) -> Answer:
        core = self.core
        state = {
            "overrun": core.overrun,
            "completed": core.completed,
            "cancelled": core.cancelled,
            "memory_used": core.memory_used,
            "phase": core.phase.value,
        }
        return json_answer(200, state)


def _event_stream(events: Iterator[bytes], headers: tuple) -> Answer:
    return Answer(200, events, (("Content-Type", "text/event-stream"), *headers))


def _broken_body() -> Iterator[bytes]:
    raise BrokenAnswer
    yield b""


def start(
    settings: EngineSettings | None = None, listen: str = "127.0.0.1:0"
) -> RunningStandIn:
    """Serve a new engine on a thread of this process and return it."""
    return start_standin(EngineStandIn(settings), listen, THREADS)


@click.command("engine")
@click.option("--listen", default="127.0.0.1:0", show_default=True)
@click.option("--model", "models", multiple=True, default=("small",), show_default=True)
@click.option("--slots", default=8, show_default=True)
@click.option("--cold-slots", default=1, show_default=True)
@click.option("--prefill-rate", default=20_000.0, help="Prompt tokens a second.")
@click.option("--decode-rate", default=50.0, help="Tokens a second of each stream.")
@click.option("--cache-tokens", default=600_000, show_default=True)
@click.option("--cold", is_flag=True, help="Start cold.")
@click.option("--checks-fencing", is_flag=True)
@click.option("--load-lag", default=0.0, help="Age of load reports in seconds.")
def engine_command(
    listen: str,
    models: tuple[str, ...],
    slots: int,
    cold_slots: int,
    prefill_rate: float,
    decode_rate: float,
    cache_tokens: int,
    cold: bool,
    checks_fencing: bool,
    load_lag: float,
) -> None:
    """Run a stand-in for a model engine.

    Example: cranberrywick standin engine --model small --decode-rate 50
    """
    settings = EngineSettings(
        models=models,
        slots=slots,
        cold_slots=cold_slots,
        prefill_tokens_per_second=prefill_rate,
        decode_tokens_per_second=decode_rate,
        cache_tokens=cache_tokens,
        cold=cold,
        checks_fencing=checks_fencing,
        load_lag_seconds=load_lag,
    )
    serve(EngineStandIn(settings), listen)


if __name__ == "__main__":
    engine_command()
