"""Which executor of a pool gets the next request.

The default, `least-cost`, takes the executor with the least load times
latency.  `two-choices` samples two executors with room and takes the one
with the lower load (Mitzenmacher, "The Power of Two Choices in Randomized
Load Balancing", 2001), which guards against many choosers that act on the
same stale counts; a daemon's own counts are its own and never stale.

Load is judged relative to the executor's limit, and is raised for an
executor whose recent requests failed.  Without that, an executor that
fails at once always looks idle and draws most of the pool's requests.
Latency enters only through successful answers, for the same reason.

Limits: no view of other daemons' requests; which executors may be used at
all (ejected, leaving, draining) is decided before the choice.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

from lycheelug.registry import Registry

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

__all__ = ["CHOICES", "DEFAULT_CHOICE", "Choice", "Executor"]

DEFAULT_CHOICE: Final = "least-cost"
# Weight of the newest sample in the moving averages.
_EWMA_WEIGHT: Final = 0.2
# An executor whose requests all fail counts as this many times as loaded.
_FAILURE_FACTOR: Final = 20.0


class Executor:
    """One executor as this daemon sees it; the daemon keeps the counts.

    >>> executor = Executor("w1", "10.0.0.1:80", "r1", "arima", limit=2)
    >>> executor.in_flight = 1
    >>> executor.has_free_slot, executor.load
    (True, 1.0)
    """

    __slots__ = (
        "address",
        "failure_rate",
        "in_flight",
        "latency_s",
        "limit",
        "name",
        "rack",
        "turn",
        "zone",
    )

    def __init__(
        self,
        name: str,
        address: str,
        rack: str,
        zone: str,
        limit: int = 0,
    ) -> None:
        self.name = name
        self.address = address
        self.rack = rack
        self.zone = zone
        # Slots that this daemon may use on the executor now.
        self.limit = limit
        self.in_flight = 0
        # Moving averages; 0.0 until the first sample.
        self.latency_s = 0.0
        self.failure_rate = 0.0
        # Position in the round-robin order; the lowest comes next.
        self.turn = 0

    @property
    def has_free_slot(self) -> bool:
        """Whether this daemon may send one more request to it."""
        return self.in_flight < self.limit

    @property
    def load(self) -> float:
        """Load after one more request, relative to the limit."""
        share = (self.in_flight + 1) / max(1, self.limit)
        return share * (1.0 + self.failure_rate * _FAILURE_FACTOR)

    def record(self, ok: bool, latency_s: float) -> None:
        """Take in the end of one request."""
        failed = 0.0 if ok else 1.0
        self.failure_rate += _EWMA_WEIGHT * (failed - self.failure_rate)
        if not ok:
            return
        if self.latency_s == 0.0:
            self.latency_s = latency_s
            return
        self.latency_s += _EWMA_WEIGHT * (latency_s - self.latency_s)

    def __repr__(self) -> str:
        return f"Executor({self.name} {self.in_flight}/{self.limit})"


class Choice(Protocol):
    """Chooses an executor with room, or None where there is none."""

    def __call__(
        self,
        candidates: Sequence[Executor],
        rng: random.Random,
        exclude: frozenset[str],
    ) -> Executor | None:
        """Return the executor for the next request."""


CHOICES: Final[Registry[Choice]] = Registry("dispatch choice")


def _two_of(
    usable: Sequence[Executor], rng: random.Random
) -> tuple[Executor, Executor]:
    """Return two different executors of at least two, at random.

    Two draws cost a fraction of `random.sample`.
    """
    count = len(usable)
    first = int(rng.random() * count)
    second = int(rng.random() * (count - 1))
    if second >= first:
        second += 1
    return usable[first], usable[second]


def _with_room(
    candidates: Sequence[Executor], exclude: frozenset[str]
) -> list[Executor]:
    """Return the candidates that may take one more request."""
    usable = [each for each in candidates if each.in_flight < each.limit]
    if not exclude:
        return usable
    return [each for each in usable if each.name not in exclude]


@CHOICES.register("two-choices")
def choose_two(
    candidates: Sequence[Executor],
    rng: random.Random,
    exclude: frozenset[str],
) -> Executor | None:
    """Return the less loaded of two random executors.

    >>> import random
    >>> idle = Executor("w1", "", "r1", "arima", limit=2)
    >>> busy = Executor("w2", "", "r1", "arima", limit=2)
    >>> busy.in_flight = 1
    >>> choose_two([idle, busy], random.Random(1), frozenset()).name
    'w1'
    """
    usable = _with_room(candidates, exclude)
    if not usable:
        return None
    if len(usable) == 1:
        return usable[0]
    first, second = _two_of(usable, rng)
    return first if first.load <= second.load else second


@CHOICES.register("two-choices-latency")
def choose_two_by_latency(
    candidates: Sequence[Executor],
    rng: random.Random,
    exclude: frozenset[str],
) -> Executor | None:
    """Return the one of two with the lower load times latency."""
    usable = _with_room(candidates, exclude)
    if not usable:
        return None
    if len(usable) == 1:
        return usable[0]
    first, second = _two_of(usable, rng)
    if first.latency_s == 0.0 or second.latency_s == 0.0:
        return first if first.load <= second.load else second
    first_cost = first.load * first.latency_s
    second_cost = second.load * second.latency_s
    return first if first_cost <= second_cost else second


@CHOICES.register("two-choices-plain")
def choose_two_plain(
    candidates: Sequence[Executor],
    rng: random.Random,
    exclude: frozenset[str],
) -> Executor | None:
    """Baseline: two choices by requests in flight alone."""
    usable = _with_room(candidates, exclude)
    if not usable:
        return None
    if len(usable) == 1:
        return usable[0]
    first, second = rng.sample(usable, 2)
    return first if first.in_flight <= second.in_flight else second


@CHOICES.register(DEFAULT_CHOICE)
def choose_least_cost(
    candidates: Sequence[Executor],
    rng: random.Random,
    exclude: frozenset[str],
) -> Executor | None:
    """Return the executor with the least load times latency.

    >>> import random
    >>> fast = Executor("w1", "", "r1", "arima", limit=2)
    >>> slow = Executor("w2", "", "r1", "arima", limit=2)
    >>> fast.record(ok=True, latency_s=0.1)
    >>> slow.record(ok=True, latency_s=0.5)
    >>> choose_least_cost([fast, slow], random.Random(1), frozenset()).name
    'w1'
    """
    usable = _with_room(candidates, exclude)
    if not usable:
        return None
    usual_s = _usual_latency_s(usable)
    costs: list[float] = []
    for executor in usable:
        costs.append(executor.load * (executor.latency_s or usual_s))
    least = min(costs)
    best: list[Executor] = []
    for executor, cost in zip(usable, costs, strict=True):
        if cost == least:
            best.append(executor)
    return rng.choice(best)


def _usual_latency_s(executors: Sequence[Executor]) -> float:
    """Return what to reckon with where an executor has not answered yet.

    Without it a new executor would look free of cost, and be flooded.
    """
    known = [each.latency_s for each in executors if each.latency_s > 0.0]
    return sum(known) / len(known) if known else 1.0


@CHOICES.register("least-loaded")
def choose_least_loaded(
    candidates: Sequence[Executor],
    rng: random.Random,
    exclude: frozenset[str],
) -> Executor | None:
    """Return the least loaded executor, ties at random."""
    usable = _with_room(candidates, exclude)
    if not usable:
        return None
    least = min(executor.load for executor in usable)
    return rng.choice([each for each in usable if each.load == least])


@CHOICES.register("random")
def choose_random(
    candidates: Sequence[Executor],
    rng: random.Random,
    exclude: frozenset[str],
) -> Executor | None:
    """Baseline: return any executor with room."""
    usable = _with_room(candidates, exclude)
    return rng.choice(usable) if usable else None


@CHOICES.register("round-robin")
def choose_round_robin(
    candidates: Sequence[Executor],
    rng: random.Random,
    exclude: frozenset[str],
) -> Executor | None:
    """Baseline: return the executor chosen longest ago."""
    del rng
    usable = _with_room(candidates, exclude)
    if not usable:
        return None
    chosen = min(usable, key=lambda each: each.turn)
    chosen.turn = 1 + max(each.turn for each in candidates)
    return chosen
