"""Engines that work in passes, for the experiment in `cranberrywick.bench.prompts`.

They do step by step what `cranberrywick.routing.engine_model` predicts by formula.
"""

from typing import NamedTuple

from cranberrywick.routing.model import EngineProfile, PromptSize

__all__ = ["KINDS", "PROFILE", "Kind", "Reading", "SimulatedEngine", "SimulatedPrompt"]

# An engine as a service declares it: a 70-billion model on one accelerator.
PROFILE = EngineProfile(
    slots=8,
    memory_tokens=315_000,
    stride=51,
    step_seconds=0.00085,
    writer_seconds=0.0000085,
    context_seconds=2.85e-9,
    prefill_rate=177_000.0,
    pair_seconds=1.84e-10,
    chunk_tokens=2048,
    usual_prompt_tokens=11_000.0,
)


class Kind(NamedTuple):
    """A kind of prompt: how often, how long, and what its callers expect.

    ``spread`` is the standard deviation of the logarithm of its length.
    """

    name: str
    per_second: float
    prompt_tokens: float
    spread: float
    events: float
    target_seconds: float
    gap_seconds: float
    worth: float


KINDS = (
    Kind("short", 16.3, 4_960, 0.8, 33, 0.3, 0.25, 1.3),
    Kind("middle", 0.83, 45_000, 0.4, 20, 1.5, 0.6, 4.2),
    Kind("long", 0.5, 154_000, 0.55, 16, 3.0, 1.0, 21.0),
)


class SimulatedPrompt:
    """One prompt on its way, and what its caller has received of it."""

    def __init__(self, name: str, kind: Kind, size: PromptSize, at: float, events: int):
        self.name = name
        self.kind = kind
        self.size = size
        self.at = at
        self.events_left = events
        self.parts_left = 1
        self.daemon = 0
        self.first_at: float | None = None
        self.last_at = at
        self.longest_gap = 0.0
        self.home: SimulatedEngine | None = None


class Reading(NamedTuple):
    """A part of a prompt that an engine has still to read.

    ``helper`` says that another engine answers, ``joint`` that several read it.
    """

    prompt: SimulatedPrompt
    tokens: float
    seconds_per_token: float
    helper: bool
    joint: bool


class SimulatedEngine:
    """One engine, advanced pass by pass."""

    def __init__(self, name: str, profile: EngineProfile = PROFILE):
        self.name = name
        self._profile = profile
        self.readings: list[Reading] = []
        self.writers: list[SimulatedPrompt] = []
        self.waiting: list[Reading] = []
        self.busy = False

    def add(self, reading: Reading) -> None:
        if not reading.helper and self._own >= self._profile.slots:
            self.waiting.append(reading)
        else:
            self._admit(reading)

    @property
    def _own(self) -> int:
        return len(self.writers) + sum(not each.helper for each in self.readings)

    def admit(self) -> None:
        while self.waiting and self._own < self._profile.slots:
            self._admit(self.waiting.pop(0))

    def _admit(self, reading: Reading) -> None:
        # Parts are read ahead of whole prompts, the last that came first.
        self.readings.insert(0 if reading.joint else len(self.readings), reading)

    def run_pass(self) -> tuple[float, list[SimulatedPrompt], list[SimulatedPrompt]]:
        """Make one pass; return its length, who wrote and whose part was read."""
        self.admit()
        seconds, steps = 0.0, 1
        if self.writers:
            steps = self._profile.stride
            context = sum(each.size.total for each in self.writers)
            own = len(self.writers) * self._profile.writer_seconds
            step = (
                self._profile.step_seconds
                + own
                + context * self._profile.context_seconds
            )
            seconds = steps * step
        budget = steps * self._profile.chunk_tokens
        read: list[SimulatedPrompt] = []
        while self.readings and budget > 0:
            reading = self.readings[0]
            taken = min(budget, reading.tokens)
            budget -= taken
            seconds += taken * reading.seconds_per_token
            if taken >= reading.tokens:
                self.readings.pop(0)
                read.append(reading.prompt)
            else:
                self.readings[0] = reading._replace(tokens=reading.tokens - taken)
        return seconds, list(self.writers), read
