"""Load balancing: the choice of a pool's executor for the next request.

The default, `least-cost`, takes the executor with the lowest product of load
and latency.  `two-choices` samples two executors with a free slot and takes
the one with the lower load (Mitzenmacher, "The Power of Two Choices in
Randomized Load Balancing", 2001).  Sampling avoids herding where many clients
act on the same stale counts; here each daemon counts its own requests, and
those counts are never stale.

Load is relative to the executor's limit, and higher for an executor whose
recent requests failed.  Without that, an executor that fails immediately
would always seem idle and attract most of the pool's requests.  For the same
reason only successful answers count towards the latency.

Limits: requests of other daemons are not taken into account.  Callers must
leave out executors that may not be used (ejected, leaving or draining).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, Protocol

from lycheelug.registry import Registry

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

__all__ = ["CHOICES", "DEFAULT_CHOICE", "Choice", "Executor"]

DEFAULT_CHOICE: Final = "least-cost"
# Weight of the newest sample in the exponential moving averages.
_EWMA_WEIGHT: Final = 0.2
# The load of an executor whose requests all fail is multiplied by 1 plus this.
_FAILURE_FACTOR: Final = 20.0


class Executor:
    """One executor with this daemon's own counts and measurements.

    The daemon updates `limit` and `in_flight`.

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
        "round_robin_position",
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
        # Number of slots that this daemon may currently use on the executor.
        self.limit = limit
        self.in_flight = 0
        # Exponential moving averages; 0.0 until the first sample.
        self.latency_s = 0.0
        self.failure_rate = 0.0
        # Position in the round-robin order; the lowest comes next.
        self.round_robin_position = 0

    @property
    def has_free_slot(self) -> bool:
        """Whether this daemon may send one more request to the executor."""
        return self.in_flight < self.limit

    @property
    def load(self) -> float:
        """The load after one more request, relative to the limit."""
        share = (self.in_flight + 1) / max(1, self.limit)
        return share * (1.0 + self.failure_rate * _FAILURE_FACTOR)

    def record(self, ok: bool, latency_s: float) -> None:
        """Update the averages with the end of one request."""
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
    """Chooses an executor with a free slot, or None if there is none."""

    def __call__(
        self,
        candidates: Sequence[Executor],
        rng: random.Random,
        exclude: frozenset[str],
    ) -> Executor | None:
        """Return the executor for the next request."""


CHOICES: Final[Registry[Choice]] = Registry("dispatch choice")


def _sample_two(
    usable: Sequence[Executor], rng: random.Random
) -> tuple[Executor, Executor]:
    """Return two different executors, at random, of at least two.

    Two draws cost a fraction of the time of `random.sample`.
    """
    count = len(usable)
    first = int(rng.random() * count)
    second = int(rng.random() * (count - 1))
    if second >= first:
        second += 1
    return usable[first], usable[second]


def _with_free_slot(
    candidates: Sequence[Executor], exclude: frozenset[str]
) -> list[Executor]:
    """Return the candidates with a free slot that are not excluded."""
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
    usable = _with_free_slot(candidates, exclude)
    if not usable:
        return None
    if len(usable) == 1:
        return usable[0]
    first, second = _sample_two(usable, rng)
    return first if first.load <= second.load else second


@CHOICES.register("two-choices-latency")
def choose_two_by_latency(
    candidates: Sequence[Executor],
    rng: random.Random,
    exclude: frozenset[str],
) -> Executor | None:
    """Return the one of two with the lower product of load and latency."""
    usable = _with_free_slot(candidates, exclude)
    if not usable:
        return None
    if len(usable) == 1:
        return usable[0]
    first, second = _sample_two(usable, rng)
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
    """Baseline: return the one of two with fewer requests in flight."""
    usable = _with_free_slot(candidates, exclude)
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
    """Return the executor with the lowest product of load and latency.

    >>> import random
    >>> fast = Executor("w1", "", "r1", "arima", limit=2)
    >>> slow = Executor("w2", "", "r1", "arima", limit=2)
    >>> fast.record(ok=True, latency_s=0.1)
    >>> slow.record(ok=True, latency_s=0.5)
    >>> choose_least_cost([fast, slow], random.Random(1), frozenset()).name
    'w1'
    """
    usable = _with_free_slot(candidates, exclude)
    if not usable:
        return None
    default_s = _mean_latency_s(usable)
    costs: list[float] = []
    for executor in usable:
        costs.append(executor.load * (executor.latency_s or default_s))
    least = min(costs)
    best: list[Executor] = []
    for executor, cost in zip(usable, costs, strict=True):
        if cost == least:
            best.append(executor)
    return rng.choice(best)


def _mean_latency_s(executors: Sequence[Executor]) -> float:
    """Return the latency to assume for executors without an answer yet.

    Without it a new executor would have zero cost and get every request.
    """
    known = [each.latency_s for each in executors if each.latency_s > 0.0]
    return sum(known) / len(known) if known else 1.0


@CHOICES.register("least-loaded")
def choose_least_loaded(
    candidates: Sequence[Executor],
    rng: random.Random,
    exclude: frozenset[str],
) -> Executor | None:
    """Return the least loaded executor; break ties at random."""
    usable = _with_free_slot(candidates, exclude)
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
    """Baseline: return a random executor with a free slot."""
    usable = _with_free_slot(candidates, exclude)
    return rng.choice(usable) if usable else None


@CHOICES.register("round-robin")
def choose_round_robin(
    candidates: Sequence[Executor],
    rng: random.Random,
    exclude: frozenset[str],
) -> Executor | None:
    """Baseline: return the least recently chosen executor."""
    del rng
    usable = _with_free_slot(candidates, exclude)
    if not usable:
        return None
    chosen = min(usable, key=lambda each: each.round_robin_position)
    chosen.round_robin_position = 1 + max(
        each.round_robin_position for each in candidates
    )
    return chosen
