"""Engines that work in passes, for the experiment in `cranberrywick.bench.prompts`.

They simulate pass by pass what `cranberrywick.routing.engine_model` predicts by
formula.
"""

from typing import NamedTuple

from cranberrywick.routing.model import EngineProfile, PromptSize

__all__ = [
    "KINDS",
    "PROFILE",
    "Kind",
    "PendingPrefill",
    "SimulatedEngine",
    "SimulatedPrompt",
]

# An engine as a service declares it: a model of 70 billion parameters on one
# accelerator.
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
    """A kind of prompt: its rate, sizes, and the limits that its callers set.

    ``per_second`` is the number of arrivals a second in a fleet with a rate of 1,
    ``prompt_tokens`` the mean length, ``spread`` the standard deviation of the
    logarithm of the length and ``events`` the median number of events of an answer. An
    answer is on time when its first event comes within ``target_seconds`` and no pause
    between events exceeds ``gap_seconds``; ``worth`` is the weight of a prompt of mean
    length in the figures.
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
    """One prompt in progress, and what its caller has received of the answer.

    ``at`` is the time of its arrival and ``home`` the engine that writes the answer.
    """

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


class PendingPrefill(NamedTuple):
    """The part of a prompt that an engine has still to prefill.

    ``helper`` means that another engine writes the answer, ``joint`` that several
    engines prefill the prompt.
    """

    prompt: SimulatedPrompt
    tokens: float
    seconds_per_token: float
    helper: bool
    joint: bool


class SimulatedEngine:
    """One engine, advanced pass by pass.

    Parts in ``waiting`` have no slot yet. ``busy`` is set while a pass is running.
    """

    def __init__(self, name: str, profile: EngineProfile = PROFILE):
        self.name = name
        self._profile = profile
        self.prefills: list[PendingPrefill] = []
        self.decoding_prompts: list[SimulatedPrompt] = []
        self.waiting: list[PendingPrefill] = []
        self.busy = False

    def add(self, pending: PendingPrefill) -> None:
        """Queue a part; helpers need no slot."""
        if not pending.helper and self._slots_used >= self._profile.slots:
            self.waiting.append(pending)
        else:
            self._admit(pending)

    @property
    def _slots_used(self) -> int:
        return len(self.decoding_prompts) + sum(
            not each.helper for each in self.prefills
        )

    def admit(self) -> None:
        """Give free slots to waiting parts."""
        while self.waiting and self._slots_used < self._profile.slots:
            self._admit(self.waiting.pop(0))

    def _admit(self, pending: PendingPrefill) -> None:
        # Parts of joint prompts precede whole prompts, and the latest part comes first.
        self.prefills.insert(0 if pending.joint else len(self.prefills), pending)

    def run_pass(self) -> tuple[float, list[SimulatedPrompt], list[SimulatedPrompt]]:
        """Run one pass.

        Return its duration in seconds, the prompts that decoded and those of which the
        pass completed the prefill of a part.
        """
        self.admit()
        seconds, steps = 0.0, 1
        if self.decoding_prompts:
            steps = self._profile.stride
            context = sum(each.size.total for each in self.decoding_prompts)
            own = len(self.decoding_prompts) * self._profile.writer_seconds
            step = (
                self._profile.step_seconds
                + own
                + context * self._profile.context_seconds
            )
            seconds = steps * step
        budget = steps * self._profile.chunk_tokens
        prefilled: list[SimulatedPrompt] = []
        while self.prefills and budget > 0:
            pending = self.prefills[0]
            taken = min(budget, pending.tokens)
            budget -= taken
            seconds += taken * pending.seconds_per_token
            if taken >= pending.tokens:
                self.prefills.pop(0)
                prefilled.append(pending.prompt)
            else:
                self.prefills[0] = pending._replace(tokens=pending.tokens - taken)
        return seconds, list(self.decoding_prompts), prefilled
