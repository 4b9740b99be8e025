"""Replays seeded requests of one pool against the decision modules.

A discrete-event simulation feeds a list of arrivals to the decisions of
several entry daemons (slot share, dispatch choice, ejection, retry budget).
An executor is a counter of busy slots with a list of faults.  Network,
platform and the scheduling of processes are left out.
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
    "Replay",
    "ReplayConfig",
    "Stats",
    "surging_arrivals",
]

MAX_START_DELAY_S: Final = 2.9
REFUSAL_S: Final = 0.002
FAST_FAILURE_S: Final = 0.001
REQUEUE_DELAY_S: Final = 0.02
DIGEST_INTERVAL_S: Final = 1.0
FAILURE_DETECTION_S: Final = 3.0
LIMITS_INTERVAL_S: Final = 0.1


class FaultKind(StrEnum):
    """The kind of an executor's fault."""

    SLOW = "slow"
    FAIL = "fail"
    FLAP = "flap"


class Fault:
    """A fault of one executor during a time interval."""

    __slots__ = ("end", "kind", "start", "worker")

    def __init__(
        self, worker: int, kind: FaultKind, start: float, end: float
    ) -> None:
        self.worker = worker
        self.kind = kind
        self.start = start
        self.end = end

    def is_active(self, now: float) -> bool:
        """Return whether the fault is active; flapping toggles every 2 s."""
        if not self.start <= now < self.end:
            return False
        if self.kind is not FaultKind.FLAP:
            return True
        return (now - self.start) % 4.0 < 2.0


class Freeze:
    """A time interval in which one daemon is frozen."""

    __slots__ = ("daemon", "end", "start")

    def __init__(self, daemon: int, start: float, end: float) -> None:
        self.daemon = daemon
        self.start = start
        self.end = end


class Arrival:
    """One request as it arrives from a caller."""

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


class ReplayConfig:
    """The configuration of one replay."""

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
    """The measurements of one replay."""

    __slots__ = (
        "answered",
        "failed_at",
        "first_tries_at",
        "healthy_ejections",
        "healthy_set_aside",
        "idle_waiting_slot_s",
        "late",
        "latencies_s",
        "min_serving",
        "refusals",
        "retries_at",
        "set_aside",
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
        self.healthy_ejections = 0
        self.set_aside = 0
        self.healthy_set_aside = 0

    def latency_ms(self, quantile: float) -> float:
        """Return a quantile of the latency of the answered requests."""
        if not self.latencies_s:
            return 0.0
        ordered = sorted(self.latencies_s)
        return 1000.0 * ordered[int(quantile * (len(ordered) - 1))]


class _Request:
    """A request that has not ended."""

    __slots__ = ("arrival", "attempts", "excluded", "key")

    def __init__(self, arrival: Arrival, key: str) -> None:
        self.arrival = arrival
        self.key = key
        self.attempts = 0
        self.excluded: frozenset[str] = frozenset()


class _Worker:
    """The busy slots and faults of one executor."""

    __slots__ = ("busy", "faults", "slots")

    def __init__(self, slots: int, faults: Sequence[Fault]) -> None:
        self.slots = slots
        self.busy = 0
        self.faults = faults

    def fails(self, now: float) -> bool:
        """Return whether all requests to the executor fail now."""
        return any(
            fault.is_active(now) and fault.kind is not FaultKind.SLOW
            for fault in self.faults
        )

    def slowdown(self, now: float) -> float:
        """Return the factor by which the executor is slowed down now."""
        slow = any(
            fault.is_active(now) and fault.kind is FaultKind.SLOW
            for fault in self.faults
        )
        return 5.0 if slow else 1.0


class _Daemon:
    """The queue and the decision objects of one entry daemon."""

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

    def __init__(self, name: str, config: ReplayConfig) -> None:
        self.name = name
        self.queue: deque[_Request] = deque()
        self.frozen = False
        self.deferred: list[Callable[[], None]] = []
        self.reports: dict[str, IdleReport] = {}
        self.jobs = JobFailures()
        self.budget: Budget = BUDGETS.get(config.budget)()
        self.share: SlotShare = SHARES.get(config.share)(
            ShareSettings(config.slots, configured_daemons=config.daemons)
        )
        self.views: dict[str, Executor] = {}
        for index in range(config.workers):
            worker = f"w{index}"
            # Four workers to a rack.
            rack = f"r{index // 4}"
            self.views[worker] = Executor(worker, "", rack, "z")
        self.ejector: HostEjector = EJECTORS.get(config.ejector)()
        self.ejector.update_pool(self.views, config.floor)

    @property
    def idle(self) -> int:
        """The number of unused slots within the limits."""
        idle = 0
        for view in self.views.values():
            idle += max(0, view.limit - view.in_flight)
        return idle


class Replay:
    """Replays one list of arrivals under one configuration."""

    __slots__ = (
        "_advanced_to",
        "_config",
        "_daemons",
        "_events",
        "_now",
        "_queued",
        "_rng",
        "_seen_alive",
        "_sequence",
        "_stats",
        "_workers",
    )

    def __init__(self, config: ReplayConfig, seed: int) -> None:
        self._config = config
        self._rng = random.Random(seed)
        self._stats = Stats(config.workers)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._now = 0.0
        self._advanced_to = 0.0
        self._queued = 0
        self._daemons = [
            _Daemon(f"e{index}", config) for index in range(config.daemons)
        ]
        self._seen_alive = {daemon.name: 0.0 for daemon in self._daemons}
        self._workers: dict[str, _Worker] = {}
        for index in range(config.workers):
            faults = [each for each in config.faults if each.worker == index]
            self._workers[f"w{index}"] = _Worker(config.slots, faults)

    def run(self, arrivals: Sequence[Arrival]) -> Stats:
        """Replay all arrivals and return the measurements."""
        end = arrivals[-1].at + 3 * MAX_START_DELAY_S
        for number, arrival in enumerate(arrivals):
            request = _Request(arrival, f"j{number}")
            self._schedule(arrival.at, partial(self._arrive, request))
        for index, daemon in enumerate(self._daemons):
            self._set_limits(daemon)
            phase = DIGEST_INTERVAL_S * index / len(self._daemons)
            self._schedule(phase, partial(self._exchange_digests, daemon, end))
            self._schedule(phase, partial(self._renew_limits, daemon, end))
        for freeze in self._config.freezes:
            frozen = self._daemons[freeze.daemon]
            self._schedule(freeze.start, partial(self._freeze, frozen))
            self._schedule(freeze.end, partial(self._resume, frozen))
        while self._events:
            at, _, action = heapq.heappop(self._events)
            self._advance(at)
            action()
        return self._stats

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        """Schedule an action for a time."""
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, action))

    def _advance(self, at: float) -> None:
        """Advance the time, and count slots idle while requests wait."""
        if self._queued > 0:
            free = 0
            for worker in self._workers.values():
                free += worker.slots - worker.busy
            idle = min(free, self._queued)
            self._stats.idle_waiting_slot_s += idle * (at - self._advanced_to)
        self._advanced_to = at
        self._now = at

    def _arrive(self, request: _Request) -> None:
        """Queue a request at its daemon, or at the next one not frozen."""
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

    def _exchange_digests(self, daemon: _Daemon, end: float) -> None:
        """Send a digest to the peers and recompute the limits."""
        if self._now < end:
            self._schedule(
                self._now + DIGEST_INTERVAL_S,
                lambda: self._exchange_digests(daemon, end),
            )
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
        """Recompute the limits periodically while requests wait."""
        if self._now < end:
            self._schedule(
                self._now + LIMITS_INTERVAL_S,
                partial(self._renew_limits, daemon, end),
            )
        if daemon.frozen or not daemon.queue:
            return
        self._set_limits(daemon)
        self._dispatch(daemon)

    def _set_limits(self, daemon: _Daemon) -> None:
        """Apply the limits that the slot share computes now."""
        live: list[str] = []
        for name, seen in self._seen_alive.items():
            if self._now - seen <= FAILURE_DETECTION_S:
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
        """Freeze a daemon; its queued requests move to other daemons."""
        daemon.frozen = True
        waiting = list(daemon.queue)
        daemon.queue.clear()
        self._queued -= len(waiting)
        for request in waiting:
            self._arrive(request)

    def _resume(self, daemon: _Daemon) -> None:
        """Resume a daemon and run the actions deferred by the freeze."""
        daemon.frozen = False
        deferred = daemon.deferred
        daemon.deferred = []
        for action in deferred:
            action()
        self._dispatch(daemon)

    def _dispatch(self, daemon: _Daemon) -> None:
        """Send queued requests while an executor has a free slot."""
        choose = CHOICES.get(self._config.choice)
        while daemon.queue and not daemon.frozen:
            request = daemon.queue[0]
            if self._now - request.arrival.at > MAX_START_DELAY_S:
                daemon.queue.popleft()
                self._queued -= 1
                self._stats.late += 1
                continue
            chosen = choose(
                self._candidates(daemon), self._rng, request.excluded
            )
            if chosen is None:
                return
            daemon.queue.popleft()
            self._queued -= 1
            self._send(daemon, request, chosen)

    def _candidates(self, daemon: _Daemon) -> list[Executor]:
        """Return the executors in service, or one that is due for a probe."""
        usable: list[Executor] = []
        for name, view in daemon.views.items():
            if not daemon.ejector.is_ejected(name, self._now):
                usable.append(view)
                continue
            if daemon.ejector.probe_allowed(name, self._now):
                # The probe takes precedence. Otherwise, it would wait until
                # all other executors are busy.
                return [view]
        return usable

    def _send(
        self, daemon: _Daemon, request: _Request, view: Executor
    ) -> None:
        """Send a request to an executor and schedule its outcome."""
        if daemon.ejector.is_ejected(view.name, self._now):
            daemon.ejector.start_probe(view.name, self._now)
        view.in_flight += 1
        worker = self._workers[view.name]
        if worker.busy >= worker.slots:
            self._stats.refusals += 1
            self._schedule(
                self._now + REFUSAL_S,
                lambda: self._handle_refusal(daemon, request, view),
            )
            return
        if request.attempts == 0:
            self._stats.first_tries_at.append(self._now)
            daemon.budget.on_first_try(self._now)
        else:
            self._stats.retries_at.append(self._now)
        request.attempts += 1
        worker.busy += 1
        succeeded = (
            not worker.fails(self._now) and not request.arrival.never_runs
        )
        duration_s = FAST_FAILURE_S
        if succeeded:
            duration_s = request.arrival.service_s * worker.slowdown(self._now)
        self._schedule(
            self._now + duration_s,
            lambda: self._finish_run(
                daemon, request, view, succeeded, duration_s
            ),
        )

    def _handle_refusal(
        self, daemon: _Daemon, request: _Request, view: Executor
    ) -> None:
        """Retry a refused request elsewhere, or after REQUEUE_DELAY_S."""
        view.in_flight -= 1
        daemon.share.record_refusal(view.name, self._now)
        self._queued += 1
        daemon.queue.appendleft(request)
        request.excluded |= {view.name}
        if len(request.excluded) >= 3:
            daemon.queue.popleft()
            self._schedule(
                self._now + REQUEUE_DELAY_S,
                lambda: self._requeue(daemon, request),
            )
        if not daemon.frozen:
            self._set_limits(daemon)
        self._dispatch(daemon)

    def _requeue(self, daemon: _Daemon, request: _Request) -> None:
        """Queue a request again after several refusals."""
        request.excluded = frozenset()
        daemon.queue.appendleft(request)
        self._dispatch(daemon)

    def _finish_run(
        self,
        daemon: _Daemon,
        request: _Request,
        view: Executor,
        succeeded: bool,
        duration_s: float,
    ) -> None:
        """Free the slot; record the outcome, deferred while frozen."""
        self._workers[view.name].busy -= 1
        if daemon.frozen:
            daemon.deferred.append(
                lambda: self._record_outcome(
                    daemon, request, view, succeeded, duration_s
                )
            )
            return
        self._record_outcome(daemon, request, view, succeeded, duration_s)
        self._dispatch(daemon)

    def _record_outcome(
        self,
        daemon: _Daemon,
        request: _Request,
        view: Executor,
        succeeded: bool,
        duration_s: float,
    ) -> None:
        """Record an outcome in the daemon's decision objects."""
        now = self._now
        view.in_flight -= 1
        view.record(succeeded, duration_s)
        before = daemon.ejector.is_ejected(view.name, now)
        daemon.ejector.record(
            view.name, view.rack, request.key, succeeded, duration_s, now
        )
        after = daemon.ejector.is_ejected(view.name, now)
        if after and not before and not self._workers[view.name].faults:
            self._stats.healthy_ejections += 1
        serving = len(daemon.views) - len(daemon.ejector.ejected)
        self._stats.min_serving = min(self._stats.min_serving, serving)
        if succeeded:
            daemon.jobs.forget(request.key)
            self._stats.answered += 1
            self._stats.latencies_s.append(now - request.arrival.at)
            return
        self._handle_failure(daemon, request, view)

    def _handle_failure(
        self, daemon: _Daemon, request: _Request, view: Executor
    ) -> None:
        """Set a failed request aside, retry it, or record it as failed."""
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
                self._stats.healthy_set_aside += 1
        decision = should_retry(
            daemon.budget,
            self._config.retrying and verdict is None,
            now,
            request.arrival.at + MAX_START_DELAY_S,
            request.arrival.service_s,
            request.attempts,
        )
        if not isinstance(decision, Retry):
            if not request.arrival.never_runs:
                self._stats.failed_at.append(now)
            daemon.jobs.forget(request.key)
            return
        request.excluded |= {view.name}
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
    failing_share: float = 0.0,
) -> list[Arrival]:
    """Return arrivals whose rate surges to five times the mean, then drops.

    In each cycle of 42 s, the rate is five times the mean for 4 s, then a
    twentieth of it for 17 s, and otherwise the mean, so that the average
    over a cycle is the mean.  Skewed callers prefer one daemon, which
    changes every 5 s.
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
                # Real run times vary widely around the declared size.
                service_s * rng.lognormvariate(-0.32, 0.8),
                rng.random() < failing_share,
            )
        )
