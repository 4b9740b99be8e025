"""Observes which tasks of a pool slow each other down; no I/O.

It turns what executors report into the observations of an
`InterferenceEstimator`: how long runs took against those of their step on
other executors, and the tail response times of serving tasks against their
targets.  Placement prefers executors without the kinds that interfere; a task
never waits for one.

A task's kind is its image or, without one, its queue.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from lycheelug.interference import (
    InterferenceEstimator,
    RunHistory,
    SiblingRun,
    Siblings,
)
from lycheelug.workloads.executors import RunPhase

if TYPE_CHECKING:
    from lycheelug.workloads.executors import ExecutorView, Run
    from lycheelug.workloads.jobs import Task

__all__ = ["Neighbors", "kind_of"]

# The response times of one serving run are observed at most this often, as
# successive reports show nearly the same.
OBSERVE_S: Final = 1.0
# A backfill task that is paced below the first percentage says nothing of its
# interference; up to the second, it counts as absent.
PACE_PRESENT: Final = 60
PACE_ABSENT: Final = 10
# Percentage at which a long-running task has finished its startup.
STARTED_PERCENT: Final = 100
HISTORIES_MAX: Final = 512
# How often pairs without evidence are looked for.
FORGET_INTERVAL_S: Final = 5.0


class Neighbors:
    """The kinds of tasks that are kept apart in one pool."""

    __slots__ = (
        "_forget_at",
        "_histories",
        "_observed_at",
        "_siblings",
        "estimator",
        "is_enabled",
    )

    def __init__(self) -> None:
        self.is_enabled = False
        self.estimator = InterferenceEstimator()
        self._siblings = Siblings()
        # The ended runs of each executor.
        self._histories: OrderedDict[str, RunHistory] = OrderedDict()
        # Local time of the last observation of each serving run, by executor
        # and run.
        self._observed_at: OrderedDict[tuple[object, ...], float] = (
            OrderedDict()
        )
        self._forget_at = 0.0

    def partners(self, task: Task) -> frozenset[str]:
        """Return the kinds to keep apart from a task."""
        if not self.is_enabled or self.estimator.is_empty:
            return frozenset()
        return self.estimator.partners(kind_of(task))

    def are_beside(self, view: ExecutorView, partners: frozenset[str]) -> bool:
        """Return whether an executor runs a task of any of some kinds."""
        for run in view.runs.values():
            if run.task is not None and kind_of(run.task) in partners:
                return True
        return False

    def record_end(self, view: ExecutorView, run: Run, now: float) -> None:
        """Record that a run is no longer on its executor."""
        if not self.is_enabled or run.task is None:
            return
        if run.confirmed_at is None:
            return
        self._history(view).record_end(
            kind_of(run.task), run.confirmed_at, now
        )

    def record_done(self, view: ExecutorView, run: Run, now: float) -> None:
        """Record a run that was observed from its start to its end."""
        if not self.is_enabled or run.task is None:
            return
        began_at = run.confirmed_at
        if began_at is None or now <= began_at:
            return
        active: list[tuple[str, float]] = []
        for other in view.runs.values():
            if other.task is None or other.confirmed_at is None:
                continue
            active.append((kind_of(other.task), other.confirmed_at))
        beside = self._history(view).shares(active, began_at, now)
        sibling = SiblingRun(
            view.executor_id, math.log(now - began_at), beside
        )
        kind = kind_of(run.task)
        for each in self._siblings.add(
            run.task.name[:3], sibling, run.task.step.count
        ):
            self.estimator.observe(
                kind, each.executor, each.deviation, each.beside, now
            )

    def record_response_times(self, view: ExecutorView, now: float) -> None:
        """Record the response times in an executor's newest report."""
        if not self.is_enabled:
            return
        self._forget_old(now)
        for run in view.runs.values():
            if not _is_serving(run):
                continue
            key = (view.executor_id, *run.key)
            if now - self._observed_at.get(key, -math.inf) < OBSERVE_S:
                continue
            beside = _kinds_beside(view, run)
            if beside is None:
                continue
            self._observed_at[key] = now
            self._observed_at.move_to_end(key)
            if len(self._observed_at) > HISTORIES_MAX:
                self._observed_at.popitem(last=False)
            assert run.task is not None
            deviation = math.log(run.load / run.task.step.target_ms)
            self.estimator.observe(
                kind_of(run.task), view.executor_id, deviation, beside, now
            )

    def _forget_old(self, now: float) -> None:
        """Forget pairs without recent evidence, at intervals."""
        if now >= self._forget_at:
            self._forget_at = now + FORGET_INTERVAL_S
            self.estimator.forget_old(now)

    def _history(self, view: ExecutorView) -> RunHistory:
        """Return the ended runs of an executor."""
        known = self._histories.get(view.executor_id)
        if known is None:
            known = self._histories[view.executor_id] = RunHistory()
            if len(self._histories) > HISTORIES_MAX:
                self._histories.popitem(last=False)
        return known


def kind_of(task: Task) -> str:
    """Return the name of a task's kind."""
    return task.step.image or task.job.record.queue


def _is_serving(run: Run) -> bool:
    """Return whether a report shows a run's response times."""
    if run.task is None or run.phase is not RunPhase.RUNNING:
        return False
    step = run.task.step
    if not step.lasts or step.fills or not step.target_ms:
        return False
    return run.load > 0 and run.percent >= STARTED_PERCENT


def _kinds_beside(view: ExecutorView, run: Run) -> dict[str, float] | None:
    """Return the kinds beside a run; None if a backfill task is paced."""
    beside: dict[str, float] = {}
    for other in view.runs.values():
        if other is run or other.task is None:
            continue
        if other.phase is not RunPhase.RUNNING:
            continue
        if other.task.step.fills:
            if other.pace <= PACE_ABSENT:
                continue
            if other.pace < PACE_PRESENT:
                return None
        beside[kind_of(other.task)] = 1.0
    return beside
