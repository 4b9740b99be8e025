"""Tests of how long suspects wait for executors of their own."""

from __future__ import annotations

import pytest

from lycheelug.fleetplan import HostInfo, HostState
from lycheelug.jobservice.pool_cleanup import find_host_evidence
from lycheelug.workloads import (
    HostEvidence,
    Job,
    LossCause,
    StartOrder,
    StepSpec,
    TaskState,
)
from lycheelug.workloads.lost_runs import clear_runs
from tests.pool_world import CAPACITY, PoolWorld

OTHER = "00000000000000ff"
# A task must run again within this time if there is room for it.
RESTARTED_S = 3.0
TICK_S = 0.1


class SuspectWorld(PoolWorld):
    """A pool whose executors fall silent and whose time goes on."""

    def __init__(self, executors: int = 6) -> None:
        super().__init__()
        for number in range(executors):
            self.add_executor(f"x{number}")

    def start_all(self) -> list[StartOrder]:
        """Plan, and let all starts succeed."""
        orders = self.starts()
        for order in orders:
            self.answer(order)
        return orders

    def lose(self, executor_id: str) -> None:
        """Let an executor fall silent until its last lease has ended."""
        view = self.schedule.executors[executor_id]
        view.last_report_at = None
        self.schedule.crashes.record_silence(
            self.schedule, view, self.now, self.now
        )
        self.plan()
        self.pass_time(4.0, beside=executor_id)
        view.has_entry = False
        self.schedule.remove_executor(
            executor_id, self.now, LossCause.LEASE_ENDED
        )

    def prove(self, executor_id: str) -> None:
        """Let the list of hosts show that an executor has ended."""
        crashes = self.schedule.crashes
        crashes.record_hosts({executor_id: HostEvidence.ENDED})
        crashes.review(self.schedule, self.now, 0)

    def pass_time(
        self, duration_s: float, beside: str = "", starts: bool = False
    ) -> list[StartOrder]:
        """Let executors report for a while; return the runs started."""
        orders: list[StartOrder] = []
        end = self.now + duration_s
        while self.now < end:
            self.now += TICK_S
            for view in self.schedule.executors.values():
                if view.executor_id != beside and view.last_report_at:
                    view.record_lease(self.now, self.schedule.lease_s)
                    self.report_tasks(
                        view.executor_id, list(view.runs), percent=100
                    )
            if starts:
                orders.extend(self.start_all())
        return orders

    def start_next(self) -> str:
        """Return the executor on which the next task starts soon."""
        for _ in range(int(RESTARTED_S / TICK_S)):
            for order in self.pass_time(TICK_S, starts=True):
                return order.executor_id
        raise AssertionError("nothing is started")

    def waiting(self, job: Job) -> int:
        """Return how many tasks of a job wait."""
        return sum(task.state is TaskState.READY for task in job.tasks())


# Guards against a gang that waits for executors on which it never fits.
@pytest.mark.parametrize(
    "step",
    [
        StepSpec(count=3, cpu_millis=500, is_gang=True, max_per_executor=1),
        StepSpec(count=3, cpu_millis=2500, is_gang=True),
        StepSpec(count=3, cpu_millis=100, memory_mb=2500, is_gang=True),
    ],
    ids=["apart", "cpu", "memory"],
)
def test_suspected_gang_starts_again_after_a_crash(step: StepSpec) -> None:
    world = SuspectWorld()
    job = world.add_job([step])
    first = world.start_all()
    assert len(first) == step.count
    world.lose(first[0].executor_id)
    for view in list(world.schedule.executors.values()):
        clear_runs(
            world.schedule,
            view,
            list(view.runs.values()),
            world.now,
            LossCause.HOST_ORDER,
        )
    assert job.is_suspect
    orders = world.pass_time(1.0, starts=True)
    assert len(orders) == step.count


# Guards against a reservation of executors that have as many tasks of the
# step as they may, so that the suspect never starts.
def test_suspect_is_not_sent_where_its_siblings_run() -> None:
    world = SuspectWorld(executors=3)
    step = StepSpec(count=3, cpu_millis=500, lasts=True, max_per_executor=1)
    job = world.add_job([step])
    lost = world.start_all()[0].executor_id
    # More tasks run on the only executor without one of the step.
    world.add_executor("new", labels=("b", "r2"))
    busy = StepSpec(count=2, cpu_millis=500, lasts=True, required_label="b")
    world.add_job([busy], OTHER)
    assert len(world.start_all()) == busy.count
    world.lose(lost)
    orders = world.pass_time(RESTARTED_S, starts=True)
    assert [order.executor_id for order in orders] == ["new"]
    assert not world.waiting(job)


# Guards against a suspect that waits for isolation without end.
@pytest.mark.parametrize("lasts", [False, True])
def test_suspect_starts_without_isolation_if_all_is_reserved(
    lasts: bool,
) -> None:
    world = SuspectWorld(executors=2)
    step = StepSpec(count=1, cpu_millis=500, lasts=lasts)
    job = world.add_job([step])
    lost = world.start_all()[0].executor_id
    world.lose(lost)
    (left,) = world.schedule.executors
    # Another job holds the only executor, and its task doesn't fit.
    world.schedule.isolation.restore(left, OTHER)
    other = world.add_job([StepSpec(count=1, cpu_millis=99_000)], OTHER)
    other.progress.crashes = job.progress.crashes.copy()
    world.schedule.crashes.add_job(other)
    orders = world.pass_time(RESTARTED_S, starts=True)
    assert [order.task.job for order in orders] == [job]


# Guards against a long-running task that waits though a reserved executor has
# room for it.
def test_long_running_task_takes_a_reserved_executor_after_a_while() -> None:
    world = SuspectWorld(executors=2)
    step = StepSpec(count=1, cpu_millis=500, lasts=True)
    suspect = world.add_job([step])
    world.lose(world.start_all()[0].executor_id)
    (order,) = world.pass_time(TICK_S, starts=True)
    (left,) = world.schedule.executors.values()
    job = world.add_job([step], OTHER)
    started: list[StartOrder] = []
    waited_s = 0.0
    while not started:
        # Its suspects follow one another.
        left.runs[(order.task.name, order.run)].ordered_at = world.now
        started = world.pass_time(TICK_S, starts=True)
        waited_s += TICK_S
        assert waited_s <= RESTARTED_S
    assert [each.task.job for each in started] == [job]
    assert not world.waiting(suspect)
    assert not world.schedule.isolation.job_on(left.executor_id)


# Guards against a task that waits without end for the proof of losses.
@pytest.mark.parametrize("lasts", [False, True])
def test_task_of_silent_executors_starts_again(lasts: bool) -> None:
    world = SuspectWorld(executors=8)
    job = world.add_job([StepSpec(count=1, cpu_millis=500, lasts=lasts)])
    for _ in range(4):
        world.lose(world.start_next())
    world.start_next()
    assert not job.is_final


# Guards against more starts of a deadly task than are allowed after three
# crashes, while nothing can prove that its executors have ended.
def test_task_of_five_silent_executors_waits_until_one_is_explained() -> None:
    world = SuspectWorld(executors=8)
    job = world.add_job([StepSpec(count=1, cpu_millis=500)])
    lost: list[str] = []
    for _ in range(5):
        lost.append(world.start_next())
        world.lose(lost[-1])
    assert world.pass_time(5.0, starts=True) == []
    assert not job.is_final
    hosts = dict.fromkeys(lost[:1], HostEvidence.ENDED)
    world.schedule.crashes.record_hosts(hosts)
    world.pass_time(TICK_S, starts=True)
    assert not job.is_final
    hosts = dict.fromkeys(lost, HostEvidence.ENDED)
    world.schedule.crashes.record_hosts(hosts)
    world.pass_time(TICK_S, starts=True)
    assert job.is_final


# Guards against a job that waits for good if no proof ever comes.
def test_unproved_losses_are_forgotten_after_a_while() -> None:
    world = SuspectWorld(executors=8)
    job = world.add_job([StepSpec(count=1, cpu_millis=500)])
    for _ in range(5):
        world.lose(world.start_next())
    assert len(world.pass_time(30.0, starts=True)) == 1
    assert not job.is_final


@pytest.mark.parametrize(
    ("evidence", "records"),
    [
        (HostEvidence.ENDED, 1),
        # The host was in operation when it was moved or maintained.
        (HostEvidence.ENDED_BY_ORDER, 0),
    ],
)
def test_list_of_hosts_decides_about_a_silent_executor(
    evidence: HostEvidence, records: int
) -> None:
    world = SuspectWorld()
    job = world.add_job([StepSpec(count=1, cpu_millis=500)])
    lost = world.start_all()[0].executor_id
    world.lose(lost)
    world.schedule.crashes.record_hosts({lost: evidence})
    assert len(job.progress.crashes.get("0.0.0", [])) == records
    for record in job.progress.crashes.get("0.0.0", []):
        assert record.proof == evidence.value


# Guards against a proof from a list of hosts that may be incomplete, and from
# a host that only can't be reached.
@pytest.mark.parametrize(
    ("state", "present", "is_ordered", "evidence"),
    [
        (HostState.UP, "lost", False, None),
        (HostState.UP, "lost", True, None),
        (HostState.UP, "new", False, HostEvidence.ENDED),
        (HostState.UP, "new", True, HostEvidence.ENDED_BY_ORDER),
        (HostState.DOWN, "", False, HostEvidence.ENDED),
        (HostState.MOVING, "", True, HostEvidence.ENDED_BY_ORDER),
        (HostState.IN_UPKEEP, "", True, HostEvidence.ENDED_BY_ORDER),
        # However often it is missing.
        (None, "", False, None),
        (None, "", True, None),
    ],
)
def test_evidence_of_the_list_of_hosts(
    state: HostState | None,
    present: str,
    is_ordered: bool,
    evidence: HostEvidence | None,
) -> None:
    hosts: dict[str, HostInfo] = {}
    if state is not None:
        hosts["h"] = HostInfo("h", "quotes", state, executor_id=present)
    under_order = {"h"} if is_ordered else set()
    for _ in range(3):
        found = find_host_evidence(hosts, {"lost": "h"}, under_order)
        assert found.get("lost") is evidence
    assert find_host_evidence(hosts, {"lost": ""}, set()) == {}


# Guards against a wait for isolation that begins anew with each attempt.
def test_gang_that_finds_no_place_keeps_its_waiting_time() -> None:
    world = SuspectWorld(executors=2)
    job = world.add_job([StepSpec(count=3, cpu_millis=3000, is_gang=True)])
    since = job.tasks()[0].ready_at
    assert world.pass_time(3.0, starts=True) == []
    assert {task.ready_at for task in job.tasks()} == {since}


# Guards against a long-running job that is given up for a few ordinary
# crashes soon after its restarts, which an old job has met in any case.
@pytest.mark.parametrize(
    ("lasts", "crashes_max"),
    # A task may be started twice more after three crashes.
    [(False, 3), (True, 5)],
)
def test_job_is_given_up_for_proved_crashes_only(
    lasts: bool, crashes_max: int
) -> None:
    world = SuspectWorld(executors=8)
    job = world.add_job([StepSpec(count=1, cpu_millis=500, lasts=lasts)])
    crashes = 0
    while not job.is_final:
        lost = world.start_next()
        world.lose(lost)
        world.prove(lost)
        crashes += 1
        assert crashes <= crashes_max
    assert crashes >= (4 if lasts else 2)


# Guards against late losses of a long-running task that add up over time.
def test_late_losses_never_fail_a_long_running_job() -> None:
    world = SuspectWorld(executors=12)
    job = world.add_job([StepSpec(count=1, cpu_millis=500, lasts=True)])
    for _ in range(10):
        lost = world.start_next()
        world.pass_time(2.5, starts=True)
        world.lose(lost)
        world.prove(lost)
    assert not job.is_final


# Guards against an executor without GPUs that is reserved for a task that
# needs one, which then waits in vain.
def test_executor_without_gpus_is_not_reserved_for_a_task_with_one() -> None:
    world = SuspectWorld(executors=2)
    with_gpu = CAPACITY._replace(gpus=1)
    world.add_executor("y0", capacity=with_gpu)
    world.add_job([StepSpec(count=1, cpu_millis=500, gpus=1)])
    (order,) = world.start_all()
    assert order.executor_id == "y0"
    # Another one has a GPU, and no room until a short task has ended.
    world.add_executor("y1", capacity=with_gpu, labels=("b", "r2"))
    short = StepSpec(count=1, cpu_millis=4000, required_label="b")
    world.add_job([short], OTHER)
    assert len(world.start_all()) == 1
    world.lose("y0")
    world.pass_time(2 * TICK_S, starts=True)
    reserved = {
        name
        for name in world.schedule.executors
        if world.schedule.isolation.job_on(name)
    }
    assert reserved == {"y1"}
