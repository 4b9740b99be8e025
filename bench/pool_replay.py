"""Replays seeded requests of one pool against the decision code.

A list of arrivals is fed to a few entry daemons' decisions (slot share,
dispatch choice, ejection, retry budget); an executor is a counter of busy
slots with a list of faults.  There is no network, no platform and no
scheduling of processes: only what the decisions need to be judged.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from enum import StrEnum
from functools import partial
from typing import TYPE_CHECKING, Final

from lycheelug.dispatch import CHOICES, DEFAULT_CHOICE, Executor
from lycheelug.ejection import DEFAULT_EJECTOR, EJECTORS
from lycheelug.job_failures import JobFailure, JobFailures
from lycheelug.retries import BUDGETS, DEFAULT_BUDGET, Retry, should_retry
from lycheelug.slots import DEFAULT_SHARE, SHARES, IdleReport, ShareSettings

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from lycheelug.ejection import HostEjector
    from lycheelug.retries import Budget
    from lycheelug.slots import SlotShare

__all__ = [
    "Arrival",
    "Fault",
    "FaultKind",
    "Freeze",
    "Plan",
    "Replay",
    "Stats",
    "surging_arrivals",
]

START_LIMIT_S: Final = 2.9
REFUSAL_S: Final = 0.002
FAST_FAILURE_S: Final = 0.001
PARK_S: Final = 0.02
DIGEST_S: Final = 1.0
DETECT_S: Final = 3.0
LIMITS_S: Final = 0.1


class FaultKind(StrEnum):
    """What an executor does wrong."""

    SLOW = "slow"
    FAIL = "fail"
    FLAP = "flap"


class Fault:
    """An executor's fault from a time to another."""

    __slots__ = ("end", "kind", "start", "worker")

    def __init__(
        self, worker: int, kind: FaultKind, start: float, end: float
    ) -> None:
        self.worker = worker
        self.kind = kind
        self.start = start
        self.end = end

    def holds(self, now: float) -> bool:
        """Whether the fault shows now; flapping shows every other 2 s."""
        if not self.start <= now < self.end:
            return False
        if self.kind is not FaultKind.FLAP:
            return True
        return (now - self.start) % 4.0 < 2.0


class Freeze:
    """A daemon that stands still from a time to another."""

    __slots__ = ("daemon", "end", "start")

    def __init__(self, daemon: int, start: float, end: float) -> None:
        self.daemon = daemon
        self.start = start
        self.end = end


class Arrival:
    """One request as it comes from a caller."""

    __slots__ = ("at", "daemon", "never_runs", "service_s")

    def __init__(
        self,
        at: float,
        daemon: int,
        service_s: float,
        never_runs: bool = False,
    ) -> None:
        self.at = at
        self.daemon = daemon
        self.service_s = service_s
        self.never_runs = never_runs


class Plan:
    """What one replay runs with."""

    __slots__ = (
        "budget",
        "choice",
        "daemons",
        "ejector",
        "faults",
        "floor",
        "freezes",
        "retrying",
        "share",
        "slots",
        "workers",
    )

    def __init__(
        self,
        daemons: int = 4,
        workers: int = 8,
        slots: int = 8,
        share: str = DEFAULT_SHARE,
        choice: str = DEFAULT_CHOICE,
        ejector: str = DEFAULT_EJECTOR,
        budget: str = DEFAULT_BUDGET,
        retrying: bool = False,
        floor: int = 4,
        faults: Sequence[Fault] = (),
        freezes: Sequence[Freeze] = (),
    ) -> None:
        self.daemons = daemons
        self.workers = workers
        self.slots = slots
        self.share = share
        self.choice = choice
        self.ejector = ejector
        self.budget = budget
        self.retrying = retrying
        self.floor = floor
        self.faults = faults
        self.freezes = freezes


class Stats:
    """What one replay measured."""

    __slots__ = (
        "answered",
        "ejected_sound",
        "failed_at",
        "first_tries_at",
        "idle_waiting_slot_s",
        "late",
        "latencies_s",
        "min_serving",
        "refusals",
        "retries_at",
        "set_aside",
        "set_aside_wrong",
    )

    def __init__(self, workers: int) -> None:
        self.answered = 0
        self.late = 0
        self.refusals = 0
        self.idle_waiting_slot_s = 0.0
        self.latencies_s: list[float] = []
        self.failed_at: list[float] = []
        self.first_tries_at: list[float] = []
        self.retries_at: list[float] = []
        self.min_serving = workers
        self.ejected_sound = 0
        self.set_aside = 0
        self.set_aside_wrong = 0

    def latency_ms(self, part: float) -> float:
        """Return a quantile of the answered requests' latency."""
        if not self.latencies_s:
            return 0.0
        ordered = sorted(self.latencies_s)
        return 1000.0 * ordered[int(part * (len(ordered) - 1))]


class _Request:
    """A request on its way."""

    __slots__ = ("arrival", "attempts", "exclude", "key")

    def __init__(self, arrival: Arrival, key: str) -> None:
        self.arrival = arrival
        self.key = key
        self.attempts = 0
        self.exclude: frozenset[str] = frozenset()


class _Worker:
    """The busy slots and faults of one executor."""

    __slots__ = ("busy", "faults", "slots")

    def __init__(self, slots: int, faults: Sequence[Fault]) -> None:
        self.slots = slots
        self.busy = 0
        self.faults = faults

    def fails(self, now: float) -> bool:
        """Whether everything fails now."""
        return any(
            fault.holds(now) and fault.kind is not FaultKind.SLOW
            for fault in self.faults
        )

    def factor(self, now: float) -> float:
        """Return how many times as long work takes now."""
        slow = any(
            fault.holds(now) and fault.kind is FaultKind.SLOW
            for fault in self.faults
        )
        return 5.0 if slow else 1.0


class _Daemon:
    """One entry daemon's decisions and counts."""

    __slots__ = (
        "budget",
        "deferred",
        "ejector",
        "frozen",
        "jobs",
        "name",
        "queue",
        "reports",
        "share",
        "views",
    )

    def __init__(self, name: str, plan: Plan) -> None:
        self.name = name
        self.queue: deque[_Request] = deque()
        self.frozen = False
        self.deferred: list[Callable[[], None]] = []
        self.reports: dict[str, IdleReport] = {}
        self.jobs = JobFailures()
        self.budget: Budget = BUDGETS.get(plan.budget)()
        self.share: SlotShare = SHARES.get(plan.share)(
            ShareSettings(plan.slots, configured_daemons=plan.daemons)
        )
        self.views: dict[str, Executor] = {}
        for index in range(plan.workers):
            worker = f"w{index}"
            # Four workers to a rack.
            rack = f"r{index // 4}"
            self.views[worker] = Executor(worker, "", rack, "z")
        self.ejector: HostEjector = EJECTORS.get(plan.ejector)()
        self.ejector.update_pool(self.views, plan.floor)

    @property
    def idle(self) -> int:
        """Slots within the limits that are not in use."""
        idle = 0
        for view in self.views.values():
            idle += max(0, view.limit - view.in_flight)
        return idle


class Replay:
    """Runs one plan over one list of arrivals."""

    __slots__ = (
        "_daemons",
        "_events",
        "_last",
        "_now",
        "_plan",
        "_queued",
        "_rng",
        "_seen_alive",
        "_sequence",
        "_stats",
        "_workers",
    )

    def __init__(self, plan: Plan, seed: int) -> None:
        self._plan = plan
        self._rng = random.Random(seed)
        self._stats = Stats(plan.workers)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._now = 0.0
        self._last = 0.0
        self._queued = 0
        self._daemons = [
            _Daemon(f"e{index}", plan) for index in range(plan.daemons)
        ]
        self._seen_alive = {daemon.name: 0.0 for daemon in self._daemons}
        self._workers: dict[str, _Worker] = {}
        for index in range(plan.workers):
            faults = [each for each in plan.faults if each.worker == index]
            self._workers[f"w{index}"] = _Worker(plan.slots, faults)

    def run(self, arrivals: Sequence[Arrival]) -> Stats:
        """Return what was measured over all arrivals."""
        end = arrivals[-1].at + 3 * START_LIMIT_S
        for number, arrival in enumerate(arrivals):
            request = _Request(arrival, f"j{number}")
            self._at(arrival.at, partial(self._arrive, request))
        for index, daemon in enumerate(self._daemons):
            self._set_limits(daemon)
            phase = DIGEST_S * index / len(self._daemons)
            self._at(phase, partial(self._tick, daemon, end))
            self._at(phase, partial(self._renew_limits, daemon, end))
        for freeze in self._plan.freezes:
            frozen = self._daemons[freeze.daemon]
            self._at(freeze.start, partial(self._freeze, frozen))
            self._at(freeze.end, partial(self._thaw, frozen))
        while self._events:
            at, _, action = heapq.heappop(self._events)
            self._advance(at)
            action()
        return self._stats

    def _at(self, at: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, action))

    def _advance(self, at: float) -> None:
        """Move time on, and count slots idle while work waits."""
        if self._queued > 0:
            free = 0
            for worker in self._workers.values():
                free += worker.slots - worker.busy
            idle = min(free, self._queued)
            self._stats.idle_waiting_slot_s += idle * (at - self._last)
        self._last = at
        self._now = at

    def _arrive(self, request: _Request) -> None:
        """Queue a request at its daemon, or at the next that runs."""
        start = request.arrival.daemon
        for offset in range(len(self._daemons)):
            index = (start + offset) % len(self._daemons)
            daemon = self._daemons[index]
            if daemon.frozen:
                continue
            daemon.queue.append(request)
            self._queued += 1
            self._dispatch(daemon)
            return

    def _tick(self, daemon: _Daemon, end: float) -> None:
        """Send a digest to the peers and take new limits."""
        if self._now < end:
            self._at(self._now + DIGEST_S, lambda: self._tick(daemon, end))
        if daemon.frozen:
            return
        self._seen_alive[daemon.name] = self._now
        report = IdleReport(
            daemon.name, daemon.idle, len(daemon.queue), self._now
        )
        for peer in self._daemons:
            if peer is not daemon and not peer.frozen:
                peer.reports[daemon.name] = report
        self._set_limits(daemon)
        self._dispatch(daemon)

    def _renew_limits(self, daemon: _Daemon, end: float) -> None:
        """Take new limits while work waits."""
        if self._now < end:
            self._at(
                self._now + LIMITS_S, partial(self._renew_limits, daemon, end)
            )
        if daemon.frozen or not daemon.queue:
            return
        self._set_limits(daemon)
        self._dispatch(daemon)

    def _set_limits(self, daemon: _Daemon) -> None:
        """Take the limits that the share gives now."""
        live: list[str] = []
        for name, seen in self._seen_alive.items():
            if self._now - seen <= DETECT_S:
                live.append(name)
        limits = daemon.share.limits(
            list(daemon.views.values()),
            daemon.name,
            live,
            list(daemon.reports.values()),
            self._now,
        )
        for name, limit in limits.items():
            daemon.views[name].limit = limit

    def _freeze(self, daemon: _Daemon) -> None:
        """Stop a daemon; its callers go elsewhere."""
        daemon.frozen = True
        waiting = list(daemon.queue)
        daemon.queue.clear()
        self._queued -= len(waiting)
        for request in waiting:
            self._arrive(request)

    def _thaw(self, daemon: _Daemon) -> None:
        """Let a daemon go on with what it knew."""
        daemon.frozen = False
        deferred = daemon.deferred
        daemon.deferred = []
        for action in deferred:
            action()
        self._dispatch(daemon)

    def _dispatch(self, daemon: _Daemon) -> None:
        """Send queued requests while there is room."""
        choose = CHOICES.get(self._plan.choice)
        while daemon.queue and not daemon.frozen:
            request = daemon.queue[0]
            if self._now - request.arrival.at > START_LIMIT_S:
                daemon.queue.popleft()
                self._queued -= 1
                self._stats.late += 1
                continue
            chosen = choose(
                self._candidates(daemon), self._rng, request.exclude
            )
            if chosen is None:
                return
            daemon.queue.popleft()
            self._queued -= 1
            self._send(daemon, request, chosen)

    def _candidates(self, daemon: _Daemon) -> list[Executor]:
        """Return the executors that are not ejected, or are due a probe."""
        usable: list[Executor] = []
        for name, view in daemon.views.items():
            if not daemon.ejector.is_ejected(name, self._now):
                usable.append(view)
                continue
            if daemon.ejector.probe_allowed(name, self._now):
                # A probe goes first, or it would wait for a busy time.
                return [view]
        return usable

    def _send(
        self, daemon: _Daemon, request: _Request, view: Executor
    ) -> None:
        """Send a request to an executor."""
        if daemon.ejector.is_ejected(view.name, self._now):
            daemon.ejector.start_probe(view.name, self._now)
        view.in_flight += 1
        worker = self._workers[view.name]
        if worker.busy >= worker.slots:
            self._stats.refusals += 1
            self._at(
                self._now + REFUSAL_S,
                lambda: self._refused(daemon, request, view),
            )
            return
        if request.attempts == 0:
            self._stats.first_tries_at.append(self._now)
            daemon.budget.on_first_try(self._now)
        else:
            self._stats.retries_at.append(self._now)
        request.attempts += 1
        worker.busy += 1
        ok = not worker.fails(self._now) and not request.arrival.never_runs
        took_s = FAST_FAILURE_S
        if ok:
            took_s = request.arrival.service_s * worker.factor(self._now)
        self._at(
            self._now + took_s,
            lambda: self._end(daemon, request, view, ok, took_s),
        )

    def _refused(
        self, daemon: _Daemon, request: _Request, view: Executor
    ) -> None:
        """Try a refused request elsewhere, or a little later."""
        view.in_flight -= 1
        daemon.share.record_refusal(view.name, self._now)
        self._queued += 1
        daemon.queue.appendleft(request)
        request.exclude |= {view.name}
        if len(request.exclude) >= 3:
            daemon.queue.popleft()
            self._at(self._now + PARK_S, lambda: self._unpark(daemon, request))
        if not daemon.frozen:
            self._set_limits(daemon)
        self._dispatch(daemon)

    def _unpark(self, daemon: _Daemon, request: _Request) -> None:
        """Queue a request again that was refused several times."""
        request.exclude = frozenset()
        daemon.queue.appendleft(request)
        self._dispatch(daemon)

    def _end(
        self,
        daemon: _Daemon,
        request: _Request,
        view: Executor,
        ok: bool,
        took_s: float,
    ) -> None:
        """Free the slot, and let the daemon take in the outcome."""
        self._workers[view.name].busy -= 1
        if daemon.frozen:
            daemon.deferred.append(
                lambda: self._take_in(daemon, request, view, ok, took_s)
            )
            return
        self._take_in(daemon, request, view, ok, took_s)
        self._dispatch(daemon)

    def _take_in(
        self,
        daemon: _Daemon,
        request: _Request,
        view: Executor,
        ok: bool,
        took_s: float,
    ) -> None:
        """Record an outcome with the daemon's decisions."""
        now = self._now
        view.in_flight -= 1
        view.record(ok, took_s)
        before = daemon.ejector.is_ejected(view.name, now)
        daemon.ejector.record(
            view.name, view.rack, request.key, ok, took_s, now
        )
        after = daemon.ejector.is_ejected(view.name, now)
        if after and not before and not self._workers[view.name].faults:
            self._stats.ejected_sound += 1
        serving = len(daemon.views) - len(daemon.ejector.ejected)
        self._stats.min_serving = min(self._stats.min_serving, serving)
        if ok:
            daemon.jobs.forget(request.key)
            self._stats.answered += 1
            self._stats.latencies_s.append(now - request.arrival.at)
            return
        self._failed(daemon, request, view)

    def _failed(
        self, daemon: _Daemon, request: _Request, view: Executor
    ) -> None:
        """Set a failed request aside, try it again, or give it up."""
        now = self._now
        daemon.jobs.record(
            request.key, JobFailure(view.name, view.rack, "failed", now)
        )
        racks: set[str] = set()
        for each in daemon.views.values():
            if not daemon.ejector.is_ejected(each.name, now):
                racks.add(each.rack)
        verdict = daemon.jobs.verdict(
            request.key,
            lambda host: daemon.ejector.is_ejected(host, now),
            len(racks),
        )
        if verdict is not None:
            self._stats.set_aside += 1
            if not request.arrival.never_runs:
                self._stats.set_aside_wrong += 1
        decision = should_retry(
            daemon.budget,
            self._plan.retrying and verdict is None,
            now,
            request.arrival.at + START_LIMIT_S,
            request.arrival.service_s,
            request.attempts,
        )
        if not isinstance(decision, Retry):
            if not request.arrival.never_runs:
                self._stats.failed_at.append(now)
            daemon.jobs.forget(request.key)
            return
        request.exclude |= {view.name}
        daemon.queue.appendleft(request)
        self._queued += 1


def surging_arrivals(
    seed: int,
    duration_s: float,
    mean_per_s: float,
    daemons: int,
    service_s: float = 0.2,
    surging: bool = True,
    skewed: bool = True,
    never_runs: float = 0.0,
) -> list[Arrival]:
    """Return arrivals that surge to five times their mean, then fall.

    The rate is the mean, then five times it for 4 s, then a twentieth of
    it for 17 s, which keeps the mean, in a cycle of 42 s.  Skewed callers
    favour one daemon, another one in each 5 s.
    """
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    now = 0.0
    while True:
        cycle_s = now % 42.0
        rate = mean_per_s
        if surging and 10.0 <= cycle_s < 14.0:
            rate = 5.0 * mean_per_s
        elif surging and 14.0 <= cycle_s < 31.0:
            rate = 0.05 * mean_per_s
        now += rng.expovariate(rate)
        if now >= duration_s:
            return arrivals
        daemon = rng.randrange(daemons)
        if skewed and rng.random() < 0.4:
            daemon = int(now / 5.0) % daemons
        arrivals.append(
            Arrival(
                now,
                daemon,
                # Declared sizes say little; real ones vary widely.
                service_s * rng.lognormvariate(-0.32, 0.8),
                rng.random() < never_runs,
            )
        )
