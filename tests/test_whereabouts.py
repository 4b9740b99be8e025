"""Where a job would go now, or what it waits for, by a pool's schedule."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from lycheelug.cli.where import render_report
from lycheelug.tenants import Tenant, TenantDirectory
from lycheelug.whereabouts import (
    PlacementReport,
    StepReport,
    locate_job,
    locate_record,
)
from lycheelug.whereabouts.exclusions import EXCLUSIONS, PRECEDENCE
from lycheelug.workloads import (
    JobRecord,
    QueuePolicy,
    Resources,
    StepSpec,
)
from tests.pool_world import CAPACITY, JOB, PoolWorld

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.workloads import ExecutorView

OTHER = "0" * 16


def step(count: int = 1, **fields: Any) -> StepSpec:
    return StepSpec(count=count, **{"cpu_millis": 1_000, **fields})


def ask(world: PoolWorld, *steps: StepSpec, tenant: str = "") -> StepReport:
    """Ask for a job that isn't sent; return the report on its first step."""
    return ask_all(world, *steps, tenant=tenant).steps[0]


def ask_all(
    world: PoolWorld,
    *steps: StepSpec,
    tenant: str = "",
    needs_placement_hint: bool = False,
) -> PlacementReport:
    record = JobRecord("queue", "payload", list(steps), tenant=tenant)
    policy = QueuePolicy(
        "queue", "quotes", needs_placement_hint=needs_placement_hint
    )
    return locate_record(
        world.schedule, record, policy, world.now, world.unix_ms
    )


def start(world: PoolWorld, spec: StepSpec, job_id: str = JOB) -> None:
    """Start the tasks of a job."""
    world.add_job([spec], job_id=job_id)
    for order in world.starts():
        world.answer(order)


def drain(view: ExecutorView) -> None:
    view.drain_order = "1.1"


def unlist(view: ExecutorView) -> None:
    view.has_entry = False


def silence(view: ExecutorView) -> None:
    view.last_report_at = None


def unrecord(view: ExecutorView) -> None:
    view.is_recorded = False


def back_off(view: ExecutorView) -> None:
    view.backoff_until = 1_000.0


def stall(view: ExecutorView) -> None:
    view.health.record_stall(100.0)


def leave_unanswered(view: ExecutorView) -> None:
    view.require_barrier()


def name_next_incarnation(view: ExecutorView) -> None:
    view.expect_restart()


def keep_former_entry(view: ExecutorView) -> None:
    view.begin_incarnation(view.born_ms + 1)


def test_each_reason_has_its_precedence() -> None:
    assert sorted(PRECEDENCE) == list(EXCLUSIONS)


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (unlist, "unlisted"),
        (drain, "draining"),
        (silence, "not answering"),
        (unrecord, "not recorded yet"),
        (leave_unanswered, "start unanswered"),
        (name_next_incarnation, "restarted"),
        (keep_former_entry, "restarted"),
        (back_off, "backing off"),
        (stall, "quarantined"),
    ],
)
def test_executor_that_takes_no_tasks_is_ruled_out(
    change: Callable[[ExecutorView], None], reason: str
) -> None:
    world = PoolWorld()
    change(world.add_executor("e0"))
    world.add_executor("e1")
    report = ask(world, step())
    assert report.ruled_out == {reason: 1}
    assert report.candidates == 1
    assert report.executor == "e1"


@pytest.mark.parametrize(
    ("spec", "reason"),
    [
        (step(required_label="gpu"), "label"),
        (step(cpu_millis=5_000), "cpu"),
        (step(memory_mb=5_000), "memory"),
        (step(gpus=1), "gpus"),
    ],
)
def test_task_that_fits_nowhere_says_why(spec: StepSpec, reason: str) -> None:
    world = PoolWorld()
    world.add_executor("e0")
    report = ask(world, spec)
    assert not report.starts_now
    assert report.waits_for == "an executor"
    assert report.ruled_out == {reason: 1}


def test_empty_pool_has_no_candidates() -> None:
    report = ask(PoolWorld(), step())
    assert not report.starts_now
    assert report.candidates == 0
    assert report.ruled_out == {}
    assert report.expected_wait_s is None


def test_limit_of_tasks_per_executor_rules_out() -> None:
    world = PoolWorld()
    world.add_executor("e0")
    start(world, step(2, max_per_executor=1))
    job = world.schedule.jobs[JOB]
    report = locate_job(world.schedule, job, world.now, 0)
    assert report.running == 1
    (waiting,) = report.steps
    assert waiting.tasks == 1
    assert waiting.ruled_out == {"tasks of the step": 1}


def test_answer_is_what_the_next_plan_does() -> None:
    world = PoolWorld()
    for name, zone in (("e0", "a"), ("e1", "b"), ("e2", "b")):
        world.add_executor(name, zone=zone)
    start(world, step(3), OTHER)
    expected = ask(world, step())
    world.add_job([step()])
    (order,) = world.starts()
    assert expected.starts_now
    assert expected.executor == order.executor_id


def test_nothing_is_changed_by_a_question() -> None:
    world = PoolWorld()
    world.add_executor("e0")
    start(world, step(2), OTHER)
    before = (
        dict(world.schedule.jobs),
        list(world.schedule.executors["e0"].runs),
        len(world.schedule.ready),
    )
    ask_all(world, step(3), step(depends_on=[0]))
    after = (
        dict(world.schedule.jobs),
        list(world.schedule.executors["e0"].runs),
        len(world.schedule.ready),
    )
    assert before == after
    assert world.starts() == []


def test_full_pool_gives_queue_and_expected_start() -> None:
    """Load: a pool that is full, with tasks that wait before the job."""
    world = PoolWorld()
    world.add_executor("e0")
    start(world, step(6, estimate_ms=2_000))
    world.now += 0.5
    world.report_tasks(
        "e0",
        [run.key for run in world.schedule.executors["e0"].runs.values()],
    )
    report = ask(world, step())
    assert report.waits_for == "an executor"
    assert report.tasks_ahead == 2
    assert report.cpu_ahead == 2_000
    assert report.expected_wait_s == pytest.approx(1.5, abs=0.1)
    waiting = locate_job(
        world.schedule, world.schedule.jobs[JOB], world.now, 0
    ).steps[0]
    assert waiting.tasks_ahead == 0
    assert waiting.ruled_out == {"cpu": 1}


def test_job_waits_for_the_mark_that_it_has_begun() -> None:
    world = PoolWorld()
    world.add_executor("e0")
    job = world.add_job([step()], is_begun_stored=False)
    report = locate_job(world.schedule, job, world.now, 0)
    assert report.steps[0].waits_for.startswith("the store")


def test_job_waits_for_executors_of_an_earlier_owner() -> None:
    world = PoolWorld(term=2, earlier_leases_end_at=200.0)
    world.add_executor("e0")
    world.add_executor("e1", has_reported=False)
    job = world.add_job([step()])
    job.progress.begun_term = 1
    report = locate_job(world.schedule, job, world.now, 0)
    assert report.steps[0].waits_for.startswith("reports of executors")


def test_old_capacities_are_waited_for() -> None:
    world = PoolWorld()
    world.add_executor("e0")
    world.schedule.is_capacity_current = False
    assert ask(world, step()).waits_for == "a current list of executors"


def test_executor_without_a_ticket_is_ruled_out() -> None:
    world = PoolWorld()
    world.add_executor("e0")
    report = ask_all(world, step(), needs_placement_hint=True).steps[0]
    assert report.ruled_out == {"no ticket": 1}


def capped_world(cap: Resources) -> PoolWorld:
    world = PoolWorld()
    world.add_executor("e0", capacity=Resources(64_000, 65_536, 0))
    shares = world.schedule.tenant_shares
    tenants = TenantDirectory([Tenant("parish", ["k"], 2.0, cap)])
    shares.configure(1, tenants)
    shares.begin_plan(is_settled=True)
    return world


def test_tenant_without_reservation_waits_for_its_cap() -> None:
    world = capped_world(Resources(8_000, 0, 0))
    # The share is known once the tenant has a job.
    world.schedule.tenant_shares.has_room(
        "parish", Resources(1, 0, 0), Resources(1, 0, 0)
    )
    report = ask_all(world, step(), tenant="parish")
    assert report.steps[0].waits_for == "its tenant's cap"
    assert report.tenant is not None
    assert report.tenant.cap == [8_000, 0, 0]
    assert report.tenant.reserved == [0, 0, 0]
    assert report.tenant.weight == 2.0


def test_tenant_over_its_share_is_said_to_be() -> None:
    world = capped_world(Resources(0, 0, 0))
    shares = world.schedule.tenant_shares
    while shares.takes_share("parish", world.now):
        pass
    report = ask_all(world, step(), tenant="parish")
    assert report.tenant is not None
    assert report.tenant.is_over_share
    assert report.steps[0].starts_now


def test_question_takes_nothing_of_the_share() -> None:
    world = capped_world(Resources(0, 0, 0))
    for _ in range(100):
        ask_all(world, step(), tenant="parish")
    assert world.schedule.tenant_shares.takes_share("parish", world.now)


def test_report_names_candidates_reasons_and_ages() -> None:
    world = PoolWorld()
    world.add_executor("e0", zone="z1")
    drain(world.add_executor("e1"))
    report = ask_all(world, step(2), step(depends_on=[0]))
    report.owner = "entry-1"
    report.executor_list_age_s = 1.25
    assert report.state == "not sent"
    assert report.blocked == 1
    text = "\n".join(render_report(report))
    assert "step 0, 2 tasks: the first goes to e0 (h-e0, r1, z1) now" in text
    assert "1 candidates; ruled out: 1 draining" in text
    assert "list of executors 1.2 s old" in text


def test_report_survives_its_encoding() -> None:
    world = PoolWorld()
    world.add_executor("e0", capacity=CAPACITY)
    report = ask_all(world, step(9))
    encoded = msgspec.json.encode(report)
    assert msgspec.json.decode(encoded, type=PlacementReport) == report
