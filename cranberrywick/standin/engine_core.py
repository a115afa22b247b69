"""Timing and memory of the engine stand-in, without its HTTP interface.

Prefill handles one prompt at a time, in order of priority and then of arrival; a long
prompt delays those behind it, as in real engines. Decoding runs at a fixed rate for
each stream. No thread generates tokens: the time of every token is computed, and a
reader waits until that time.
"""

import threading
import time
from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from cranberrywick.model import EndpointPhase, EndpointRefusal
from cranberrywick.standin.engine_memory import PrefixCache, Reservations

__all__ = ["EngineCore", "EngineSettings", "Generation", "NotTaken", "Prompt"]

NEVER = float("inf")


class EngineSettings(NamedTuple):
    """Sizes, in tokens or requests, and rates of an engine.

    A cold engine runs ``cold_slots`` requests at once and restarts, losing all of
    them, when it gets one more. It is warm after ``cold_completions`` completed
    requests. ``restart_seconds`` is how long a restart takes, and ``load_lag_seconds``
    the age of load reports. A stream without a reader can be resumed for
    ``linger_seconds``.
    """

    models: tuple[str, ...] = ("small",)
    slots: int = 8
    cold_slots: int = 1
    prefill_tokens_per_second: float = 20_000.0
    decode_tokens_per_second: float = 50.0
    cache_tokens: int = 600_000
    checks_fencing: bool = False
    cold: bool = False
    cold_completions: int = 8
    restart_seconds: float = 1.0
    load_lag_seconds: float = 0.0
    linger_seconds: float = 5.0


class Prompt(NamedTuple):
    """One request to the engine.

    A lower ``priority`` is prefilled first. ``imports`` are ids of imports that hold
    parts of the prompt.
    """

    request_id: str
    attempt: int
    owner: str
    prefix_keys: tuple[str, ...]
    prompt_tokens: int
    output_tokens: int
    priority: int
    imports: tuple[str, ...] = ()

    @property
    def stream_id(self) -> str:
        """The id of the stream that answers the request."""
        return f"{self.request_id}.{self.attempt}"


class NotTaken(Exception):
    """Raised when the engine refuses a request, which does not run."""

    def __init__(self, reason: EndpointRefusal):
        super().__init__(reason.value)
        self.reason = reason


@dataclass(eq=False)
class Generation:
    """One stream; times are on the monotonic clock, in seconds.

    ``prefill_ends`` is infinite until the prefill starts, ``abandoned_at`` the time
    when its last reader disconnected, infinite while it has one or has had none, and
    ``broken`` means that it ended early.
    """

    prompt: Prompt
    memory_tokens: int
    prefill_seconds: float
    prefill_ends: float = NEVER
    readers: int = 0
    abandoned_at: float = NEVER
    ends_at: float = NEVER
    broken: bool = False


class EngineCore:
    """Streams, phase and memory of one engine; thread-safe."""

    def __init__(self, settings: EngineSettings):
        self.settings = settings
        self.models = list(settings.models)
        # Versions set by orders; a model that no order has named has none.
        self.version_by_model: dict[str, str] = {}
        self.adapters: list[str] = []
        self.role: str | None = None
        self.incarnation = 1
        self.phase = EndpointPhase.COLD if settings.cold else EndpointPhase.WARM
        self.slow_factor = 1.0
        self.overrun = 0
        self.completed = 0
        self.cancelled = 0
        self.cache = PrefixCache(settings.cache_tokens // 2)
        self.exports = Reservations("export-")
        self.imports = Reservations("import-")
        # Guards all state; notified when the time of a token may have changed.
        self.changed = threading.Condition()
        self._live_by_id: dict[str, Generation] = {}
        self._ended_by_id: dict[str, Generation] = {}
        self._prefilling: Generation | None = None
        self._queue: list[Generation] = []
        self._completed_since_cold = 0
        self._down_until = 0.0
        self._reports: deque[tuple[float, dict]] = deque(maxlen=4096)
        self._closed = False
        self.record_load()

    @property
    def memory_used(self) -> int:
        """Tokens of memory held by streams, exports and imports."""
        held = sum(live.memory_tokens for live in self._live_by_id.values())
        return held + self.exports.tokens + self.imports.tokens

    def submit(self, prompt: Prompt) -> Generation:
        """Queue a request for prefill and return its stream.

        Raise `NotTaken` when the engine is restarting, cold and busy, leaving or
        full.
        """
        with self.changed:
            self.advance()
            self._check_accepts(prompt)
            memory = prompt.prompt_tokens + prompt.output_tokens
            memory -= self._imported_tokens(prompt)
            if self.memory_used + memory > self.settings.cache_tokens:
                raise NotTaken(EndpointRefusal.FULL)
            keys = prompt.prefix_keys
            ready = self.cache.hit_tokens(keys) + self._remote_tokens(prompt)
            to_prefill = max(prompt.prompt_tokens - ready, 1)
            seconds = to_prefill / self.settings.prefill_tokens_per_second
            generation = Generation(prompt, max(memory, 0), seconds * self.slow_factor)
            self.cache.add(keys)
            self._live_by_id[prompt.stream_id] = generation
            self._queue.append(generation)
            self._queue.sort(key=lambda queued: queued.prompt.priority)
            self.advance()
            self.record_load()
            return generation

    def wait_for_token(self, generation: Generation, number: int) -> bool:
        """Wait until token ``number``, counted from 0, is due.

        Return False when the stream has ended early or the engine is closing.
        """
        with self.changed:
            while not (generation.broken or self._closed):
                self.advance()
                left = self.token_time(generation, number) - time.monotonic()
                if left <= 0:
                    return True
                self.changed.wait(min(left, 1.0))
            return False

    def token_time(self, generation: Generation, number: int) -> float:
        """Return the monotonic time at which token ``number`` is due.

        It is infinite until the prefill has started.
        """
        seconds_per_token = self.slow_factor / self.settings.decode_tokens_per_second
        return generation.prefill_ends + number * seconds_per_token

    def attach(self, stream_id: str) -> Generation | None:
        """Return a stream to resume, or None when it is no longer kept."""
        with self.changed:
            self.advance()
            return self._live_by_id.get(stream_id) or self._ended_by_id.get(stream_id)

    def count_reader(self, generation: Generation, change: int) -> None:
        """Record that a reader has connected (1) or disconnected (-1)."""
        with self.changed:
            generation.readers += change
            gone = generation.readers == 0
            generation.abandoned_at = time.monotonic() if gone else NEVER

    def cancel(self, stream_id: str) -> bool:
        """End a stream and free its memory; return whether it was live."""
        with self.changed:
            generation = self._live_by_id.get(stream_id)
            if generation is None:
                return False
            self.cancelled += 1
            self._drop(generation)
            return True

    def live(self) -> list[Generation]:
        """Return the streams that are running or waiting for prefill."""
        with self.changed:
            self.advance()
            return list(self._live_by_id.values())

    def turn_cold(self) -> None:
        """Become cold without restarting; streams continue."""
        with self.changed:
            self.phase = EndpointPhase.COLD
            self._completed_since_cold = 0
            self.record_load()

    def turn(self, phase: EndpointPhase) -> None:
        """Set the phase."""
        with self.changed:
            self.phase = phase
            self.record_load()

    def set_slow_factor(self, factor: float) -> None:
        """Make prefill and decoding take ``factor`` times as long.

        Load reports do not show it. Prompts that are already queued keep their
        prefill times.
        """
        with self.changed:
            self.slow_factor = factor
            self.changed.notify_all()

    def fall_over(self) -> None:
        """Lose all streams and memory and restart cold, with a new incarnation."""
        with self.changed:
            for generation in list(self._live_by_id.values()):
                self._drop(generation)
            self.cache.clear()
            self.exports.clear()
            self.imports.clear()
            self.incarnation += 1
            self._down_until = time.monotonic() + self.settings.restart_seconds
            self.turn_cold()

    def close(self) -> None:
        """Wake every waiting thread; no token comes after this."""
        with self.changed:
            self._closed = True
            self.changed.notify_all()

    def load(self) -> dict:
        """Return the load as of ``load_lag_seconds`` ago, or the oldest one kept."""
        with self.changed:
            self.advance()
            self.record_load()
            now = time.monotonic()
            oldest = now - self.settings.load_lag_seconds
            seen = [report for at, report in self._reports if at <= oldest]
            report = seen[-1] if seen else self._reports[0][1]
            return {**report, "age_seconds": self.settings.load_lag_seconds}

    def record_load(self) -> None:
        """Keep the present load for later reports."""
        waiting = self._queue
        report = {
            "incarnation": self.incarnation,
            "phase": self.phase.value,
            "running": len(self._live_by_id) - len(waiting),
            "waiting": len(waiting),
            "prefill_tokens_waiting": sum(q.prompt.prompt_tokens for q in waiting),
            "cache_tokens_used": self.memory_used,
            "models": list(self.models),
            "versions": dict(self.version_by_model),
            "adapters": list(self.adapters),
            "role": self.role,
        }
        self._reports.append((time.monotonic(), report))

    def advance(self) -> None:
        """Apply all prefills, completions and expiries that were due by now."""
        now = time.monotonic()
        self.exports.expire()
        self.imports.expire()
        self._advance_prefill(now)
        for generation in list(self._live_by_id.values()):
            if self._end_time(generation) <= now:
                self._complete(generation, now)
            elif now - generation.abandoned_at > self.settings.linger_seconds:
                self.cancel(generation.prompt.stream_id)
        for stream_id, ended in list(self._ended_by_id.items()):
            if now - ended.ends_at > self.settings.linger_seconds:
                del self._ended_by_id[stream_id]

    def _check_accepts(self, prompt: Prompt) -> None:
        if time.monotonic() < self._down_until:
            raise NotTaken(EndpointRefusal.COLD)
        if self.phase == EndpointPhase.LEAVING:
            raise NotTaken(EndpointRefusal.LEAVING)
        if len(self._live_by_id) >= 2 * self.settings.slots:
            raise NotTaken(EndpointRefusal.FULL)
        cold = self.phase == EndpointPhase.COLD
        if cold and len(self._live_by_id) >= self.settings.cold_slots:
            self.overrun += 1
            self.fall_over()
            raise NotTaken(EndpointRefusal.COLD)

    def _imported_tokens(self, prompt: Prompt) -> int:
        """Return how many of the request's tokens imports already hold memory for."""
        held = [self.imports.get(cache_id) for cache_id in prompt.imports]
        return sum(each.tokens for each in held if each is not None)

    def _remote_tokens(self, prompt: Prompt) -> int:
        """Return how many of the request's tokens another engine has prefilled."""
        held = [self.imports.get(cache_id) for cache_id in prompt.imports]
        return sum(each.tokens for each in held if each is not None and each.source)

    def _advance_prefill(self, now: float) -> None:
        while True:
            current = self._prefilling
            if current is not None and current.prefill_ends > now:
                return
            start = current.prefill_ends if current is not None else now
            self._prefilling = None
            if not self._queue:
                return
            self._prefilling = self._queue.pop(0)
            self._prefilling.prefill_ends = start + self._prefilling.prefill_seconds
            self.changed.notify_all()

    def _end_time(self, generation: Generation) -> float:
        return self.token_time(generation, generation.prompt.output_tokens - 1)

    def _complete(self, generation: Generation, now: float) -> None:
        stream_id = generation.prompt.stream_id
        del self._live_by_id[stream_id]
        generation.ends_at = now
        self._ended_by_id[stream_id] = generation
        self.completed += 1
        self._completed_since_cold += 1
        if self._completed_since_cold >= self.settings.cold_completions:
            if self.phase == EndpointPhase.COLD:
                self.phase = EndpointPhase.WARM
        self.record_load()

    def _drop(self, generation: Generation) -> None:
        generation.broken = True
        self._live_by_id.pop(generation.prompt.stream_id, None)
        if generation in self._queue:
            self._queue.remove(generation)
        if self._prefilling is generation:
            self._prefilling = None
        self.record_load()
        self.changed.notify_all()
