"""The report on where a job would go; sent between daemons and to tools."""

from __future__ import annotations

import msgspec

__all__ = ["PlacementReport", "StepReport", "TenantReport"]


class StepReport(msgspec.Struct, omit_defaults=True):
    """The waiting tasks of one step, or of one that isn't sent."""

    occurrence: int
    step: int
    tasks: int
    # Whether the first of them would be started by the next plan.
    starts_now: bool
    # The executor that the first of them would get, its host, zone and rack.
    executor: str = ""
    host: str = ""
    zone: str = ""
    rack: str = ""
    # The executors that could take the first of them now.
    candidates: int = 0
    # The other executors, by the first reason that rules each out.
    ruled_out: dict[str, int] = {}
    # What it waits for; empty if it would be started.
    waits_for: str = ""
    # The tasks that are placed before it, and the CPU that they request.
    tasks_ahead: int = 0
    cpu_ahead: int = 0
    # The expected wait in seconds; None if nothing indicates an end.
    expected_wait_s: float | None = None


class TenantReport(msgspec.Struct, omit_defaults=True):
    """A tenant at the pool's owner; CPU, memory and GPUs each."""

    name: str
    cap: list[int] = []
    # What the pool may use of the cap, and what it uses.
    reserved: list[int] = []
    used: list[int] = []
    # Jobs a second.
    weight: float = 0.0
    # Whether the next job would be more than the share.
    is_over_share: bool = False


class PlacementReport(msgspec.Struct, omit_defaults=True):
    """Where a job would go now, or what it waits for."""

    queue: str
    pool: str
    # The state of a job that was sent; "not sent" otherwise.
    state: str
    job: str = ""
    # The owner that reports, and its term.
    owner: str = ""
    term: int = 0
    # Whether it can be in time if it starts now: in-time, late or overdue.
    outlook: str = ""
    # The tasks that run, and those that wait for earlier steps.
    running: int = 0
    blocked: int = 0
    steps: list[StepReport] = []
    tenant: TenantReport | None = None
    # The executors of the pool.
    executors: int = 0
    # The ages of what the report is based on, in seconds: the last proof of
    # ownership, and the list of executors.
    ownership_age_s: float = 0.0
    executor_list_age_s: float = 0.0
    configuration_version: int = 0
