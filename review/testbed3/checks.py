"""The rules that the scripts judge, from what the stand-ins have seen."""

from __future__ import annotations

import json
import time

EARLY_S = 0.25


def _by_unit(world):
    found = {}
    for run in world.all_runs:
        found.setdefault(run.name, []).append(run)
    return found


def check_twice(world) -> list[str]:
    """TWICE: two runs at a time, or a start after a noted `done`."""
    broken = []
    now = time.monotonic()
    for name, runs in _by_unit(world).items():
        step = world.step_of(name)
        if step is None or step.get("speculative"):
            continue
        for place, first in enumerate(runs):
            for second in runs[place + 1 :]:
                end = first.ended if first.ended is not None else now
                if second.began < end:
                    broken.append(
                        f"TWICE {name}: run {first.number} on "
                        f"{first.executor.name} and run {second.number} on "
                        f"{second.executor.name} at one time"
                    )
                elif (
                    first.how == "done"
                    and first.taken_note_at is not None
                    and not first.has_lapsed
                    and not step.get("long_running")
                ):
                    broken.append(
                        f"TWICE {name}: run {second.number} after run "
                        f"{first.number} had ended done"
                    )
    return broken


def check_order(world) -> list[str]:
    """ORDER: a start before its dependencies or before its time."""
    broken = []
    units = _by_unit(world)
    for run in world.all_runs:
        job_id, occurrence, number, _ = run.parts
        job = world.jobs.get(job_id)
        if job is None:
            continue
        step = job["steps"][number]
        for earlier in step.get("depends_on", ()):
            count = job["steps"][earlier]["count"]
            is_gang = job["steps"][earlier].get("gang")
            done = 0
            for index in range(count):
                name = f"{job_id}.{occurrence}.{earlier}.{index}"
                done += any(
                    each.how == "done"
                    and each.ended is not None
                    and each.ended <= run.began
                    for each in units.get(name, ())
                )
            if done < (1 if is_gang else count):
                broken.append(f"ORDER {run.name}: step {earlier} isn't done")
        if job.get("repeats"):
            due_s = (
                job["start_at_ms"] + occurrence * job["interval_ms"]
            ) / 1000
            began = time.time() - (time.monotonic() - run.began)
            if began < due_s - EARLY_S:
                broken.append(f"ORDER {run.name}: {due_s - began:.2f} s early")
    return broken


def check_route(world) -> list[str]:
    """ROUTE: the label and the limit of one executor."""
    broken = []
    for run in world.all_runs:
        step = world.step_of(run.name)
        if step is None:
            continue
        label = step.get("requirements")
        labels = getattr(run, "labels", run.executor.labels)
        if label and label not in labels:
            broken.append(
                f"ROUTE {run.name} on {run.executor.name} {labels}: "
                f"needs {label}"
            )
        limit = step.get("anti_affinity")
        if limit:
            others = {
                each.name
                for each in world.all_runs
                if each.executor is run.executor
                and each.life == run.life
                and each.name.rpartition(".")[0] == run.name.rpartition(".")[0]
                and each.began <= run.began
                and (each.ended is None or each.ended > run.began)
            }
            if len(others) > limit:
                broken.append(
                    f"ROUTE {run.name}: {len(others)} of {limit} on "
                    f"{run.executor.name}"
                )
    return broken


def check_limit(world) -> list[str]:
    """LIMIT: a start brings an executor over its capacity."""
    broken = []
    for run in world.all_runs:
        used = {"cpu": 0, "mem_mb": 0, "gpu": 0}
        for each in world.all_runs:
            if each.executor is not run.executor or each.life != run.life:
                continue
            if each.began > run.began:
                continue
            if each.ended is not None and each.ended <= run.began:
                continue
            step = world.step_of(each.name)
            if step is None:
                continue
            for field in used:
                if not (field == "cpu" and step.get("fills")):
                    used[field] += step.get(field, 0)
        for field, amount in used.items():
            if amount > run.executor.capacity.get(field, 0):
                broken.append(
                    f"LIMIT {run.name} on {run.executor.name}: "
                    f"{field} {amount}"
                )
    return broken


def check_budget(world, max_attempts: int = 3) -> list[str]:
    """BUDGET: a start after as many failed runs as are allowed."""
    broken = []
    for name, runs in _by_unit(world).items():
        step = world.step_of(name)
        if step is None or step.get("long_running"):
            continue
        for run in runs:
            failed = sum(
                each.how == "failed"
                and each.ended is not None
                and each.ended < run.began
                and each.taken_note_at is not None
                and not each.has_lapsed
                for each in runs
            )
            if failed >= max_attempts:
                broken.append(f"BUDGET {name}: run {run.number}")
    return broken


def check_unasked(world) -> list[str]:
    """UNASKED: what no client sent, or after a cancel."""
    broken = []
    cancel_s = world.bounds["cancel_ms"] / 1000
    for run in world.all_runs:
        job = world.jobs.get(run.parts[0])
        if job is None:
            broken.append(f"UNASKED {run.name}: no such job")
            continue
        if run.spec != job.get("spec", ""):
            broken.append(f"UNASKED {run.name}: another spec")
        step = job["steps"][run.parts[2]]
        if run.checkpoint:
            own = run.checkpoint.rpartition("/")[0]
            unit = run.name
            if step.get("gang"):
                own, unit = own.rpartition(".")[0], unit.rpartition(".")[0]
            if own != unit:
                broken.append(f"UNASKED {run.name}: {run.checkpoint}")
        at = job.get("cancelled_at")
        if at is not None and run.began - world.began > at + cancel_s:
            broken.append(f"UNASKED {run.name}: started after its cancel")
    return broken


def check_alone(world) -> list[str]:
    """GANG: runs that ended alone."""
    return [
        f"GANG {run.name} run {run.number} ended alone"
        for run in world.all_runs
        if run.how == "alone"
    ]


def check_refused(world) -> list[str]:
    """REFUSED: a work unit of a job starts whose attempts were rejected."""
    broken = []
    for run in world.all_runs:
        job = world.jobs.get(run.parts[0])
        if job is None or not job.get("answers"):
            continue
        if all(status in (404, 429, 503) for status in job["answers"]):
            broken.append(f"REFUSED {run.name}: {job['answers']}")
    return broken


def all_checks(world) -> list[str]:
    """Return what is broken, but for GANG and LOST."""
    found = []
    for check in (
        check_twice,
        check_order,
        check_route,
        check_limit,
        check_budget,
        check_unasked,
        check_refused,
    ):
        found.extend(check(world))
    return sorted(set(found))


def describe(job: dict) -> str:
    """Return a job in one line."""
    return json.dumps({k: v for k, v in job.items() if k != "spec"})
