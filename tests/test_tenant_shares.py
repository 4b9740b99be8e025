"""Tests of one pool's part of a tenant's cap, of weights, and their logs."""

from __future__ import annotations

import msgspec
import pytest

from lycheelug.cli.explain import explain
from lycheelug.metrics import MAX_COUNTED_TENANTS, Metrics
from lycheelug.tenants.model import Tenant, TenantDirectory
from lycheelug.tenants.records import PoolEntry, ShareRecord, decode_share
from lycheelug.tenants.reservation import NO_NEED, Need
from lycheelug.tenants.shares import PoolShares
from lycheelug.tenants.weights import TenantWeights
from lycheelug.workloads import (
    JobRecord,
    LossCause,
    QueuePolicy,
    StepSpec,
)
from lycheelug.workloads.lost_runs import clear_runs
from lycheelug.workloads.model import Resources
from tests.pool_world import PoolWorld

TENANT = "parish"
PLENTY = Resources(10**6, 10**6, 0)
CAP = Resources(16_000, 0, 0)


def _cpu(cores: float) -> Resources:
    return Resources(int(cores * 1000), 0, 0)


def _need(waiting: float, task: float = 1.0) -> Need:
    unit = min(waiting, task)
    return Need(_cpu(waiting), _cpu(unit), _cpu(unit))


def _shares(
    pools: dict[str, PoolEntry] | None = None,
    cap: Resources = CAP,
    term: int = 1,
    is_settled: bool = True,
) -> PoolShares:
    shares = PoolShares("a", term)
    shares.configure(1, TenantDirectory([Tenant(TENANT, cap=cap)]))
    shares.begin_plan(is_settled)
    if pools is not None:
        record = ShareRecord(1, *cap, pools)
        shares.apply_row(TENANT, record, 1)
    return shares


def _review(
    shares: PoolShares, need: Need, now: float = 0.0
) -> ShareRecord | None:
    changes = shares.review({TENANT: need}, PLENTY, now)
    return changes[0].record if changes else None


@pytest.mark.parametrize(
    ("elsewhere", "need", "reserved", "wanted"),
    [
        # Some more than needed.
        (PoolEntry(1, 0), _need(4), 5_000, 0),
        (PoolEntry(1, 10_000), _need(4), 5_000, 0),
        # Not beyond the cap.
        (PoolEntry(1, 13_000), _need(4), 3_000, 4_000),
        (PoolEntry(1, 16_000), _need(4), 0, 4_000),
        # Only what is needed while the other pool lacks something.
        (PoolEntry(1, 8_000, wanted_cpu=9_000), _need(4), 4_000, 0),
        # The part that is proportional to what both want.
        (PoolEntry(1, 2_000, wanted_cpu=16_000), _need(16), 8_000, 16_000),
        # A task that the cap can't hold runs alone.
        (PoolEntry(1, 0), _need(20, 20), 20_000, 0),
        (PoolEntry(1, 1_000), _need(20, 20), 15_000, 20_000),
    ],
)
def test_reservation_of_a_pool_without_any(
    elsewhere: PoolEntry, need: Need, reserved: int, wanted: int
) -> None:
    record = _review(_shares({"b": elsewhere}), need)
    assert record is not None
    assert record.pools["b"] == elsewhere
    assert record.pools["a"] == PoolEntry(1, reserved, wanted_cpu=wanted)


@pytest.mark.parametrize(
    ("elsewhere", "waits_s", "expected"),
    [
        # What is not needed is kept for a while, and a part for longer.
        (0, [0.0], 12_000),
        (0, [0.0, 0.5], 12_000),
        (0, [0.0, 0.5, 1.0, 1.5, 2.0], 1_000),
        (0, [0.0, 1.0, 2.0, 10.0, 19.0], 1_000),
        (0, [0.0, 1.0, 2.0, 10.0, 21.0], None),
        # Another pool lacks something.
        (1, [0.0, 0.3], None),
    ],
)
def test_unused_reservation_is_given_back(
    elsewhere: int, waits_s: list[float], expected: int | None
) -> None:
    pools = {"a": PoolEntry(1, 12_000)}
    if elsewhere:
        pools["b"] = PoolEntry(1, 4_000, wanted_cpu=8_000)
    shares = _shares(pools)
    version = 1
    for number, now in enumerate(waits_s):
        need = _need(11.5) if not number else NO_NEED
        record = _review(shares, need, now)
        if record is None:
            continue
        share = shares.share_of(TENANT)
        assert share is not None
        version += 1
        share.begin_write(record)
        share.apply_commit(version)
    share = shares.share_of(TENANT)
    assert share is not None
    entry = share.record.pools.get("a")
    assert (entry.cpu_millis if entry else None) == expected


@pytest.mark.parametrize(("is_held", "kept"), [(False, 3_000), (True, 8_470)])
def test_tasks_that_wait_for_something_else_reserve_little(
    is_held: bool, kept: int
) -> None:
    """Tasks with room that aren't started leave it to pools that lack it."""
    lacking = PoolEntry(1, 6_000, wanted_cpu=8_000)
    shares = _shares({"a": PoolEntry(1, 10_000), "b": lacking})
    if is_held:
        shares.held[TENANT] = 1
    record = _review(shares, _need(9, task=3))
    assert record is not None
    assert record.pools["a"].cpu_millis == kept


@pytest.mark.parametrize("is_settled", [False, True])
def test_claim_keeps_what_earlier_owners_may_use(is_settled: bool) -> None:
    shares = _shares({"a": PoolEntry(1, 6_000)}, term=2, is_settled=is_settled)
    assert not shares.has_room(TENANT, _cpu(1), _cpu(1))
    record = _review(shares, _need(2))
    assert record is not None
    entry = record.pools["a"]
    assert entry.term == 2
    assert entry.cpu_millis == (3_000 if is_settled else 9_000)
    share = shares.share_of(TENANT)
    assert share is not None
    share.begin_write(record)
    assert not shares.has_room(TENANT, _cpu(1), _cpu(1))
    share.apply_commit(2)
    assert shares.has_room(TENANT, _cpu(3), _cpu(1))
    assert not shares.has_room(TENANT, _cpu(4), _cpu(1))


def test_outdated_owner_writes_nothing() -> None:
    shares = _shares({"a": PoolEntry(3, 6_000)}, term=2)
    assert shares.is_superseded
    assert _review(shares, _need(2)) is None
    assert not shares.has_room(TENANT, _cpu(1), _cpu(1))


@pytest.mark.parametrize(
    ("value", "is_valid"),
    [
        (b"", False),
        (b"[]", False),
        (b'{"pools":{"a":[1,-5]}}', False),
        (b'{"pools":{"a":[1,99999999999999999999]}}', False),
        (b"{}", True),
        (b'{"pools":{"a":[1,5]},"later":1}', True),
    ],
)
def test_decoding_of_records(value: bytes, is_valid: bool) -> None:
    assert (decode_share(value) is not None) is is_valid


# --- The plan of a pool.


def _world(weight: float = 100.0, cap: Resources = CAP) -> PoolWorld:
    world = PoolWorld()
    world.schedule.tenant_shares.configure(
        1, TenantDirectory([Tenant(TENANT, [], weight, cap)])
    )
    world.add_executor("x1", capacity=Resources(32_000, 32_000, 0))
    return world


def _add_job(
    world: PoolWorld, job_id: str, steps: list[StepSpec], tenant: str
) -> None:
    job = world.schedule.add_job(
        job_id,
        JobRecord("queue", "payload", steps, tenant=tenant),
        QueuePolicy("queue", "quotes"),
        None,
        0,
        world.now,
    )
    job.mark_begun(world.schedule.term)
    job.begin_is_stored = True


def _reserve(world: PoolWorld, cores: float) -> None:
    record = ShareRecord(1, *CAP, {"quotes": PoolEntry(1, int(cores * 1000))})
    world.schedule.tenant_shares.apply_row(TENANT, record, 1)


@pytest.mark.parametrize(
    ("step", "cores", "starts"),
    [
        (StepSpec(count=5, cpu_millis=1_000), 3, 3),
        (StepSpec(count=5, cpu_millis=1_000), 0, 0),
        (StepSpec(count=5, cpu_millis=1_000), 5, 5),
        # Backfill tasks count with what they request.
        (StepSpec(count=5, cpu_millis=1_000, fills=True), 2, 2),
        (StepSpec(count=5, cpu_millis=1_000, is_gang=True), 4, 0),
        (StepSpec(count=5, cpu_millis=1_000, is_gang=True), 5, 5),
    ],
)
def test_plan_starts_what_is_reserved(
    step: StepSpec, cores: int, starts: int
) -> None:
    world = _world()
    _reserve(world, cores)
    _add_job(world, "a" * 16, [step], TENANT)
    other = StepSpec(count=2, cpu_millis=1_000)
    _add_job(world, "b" * 16, [other], "")
    orders = world.starts()
    started = [order.task.name.job[0] for order in orders]
    assert started.count("a") == starts
    assert started.count("b") == 2
    assert bool(world.schedule.tenant_shares.held) is (starts < 5)


def test_held_tasks_cost_no_search() -> None:
    world = _world()
    _reserve(world, 0)
    for number in range(50):
        step = StepSpec(count=20, cpu_millis=100 + number)
        _add_job(world, f"{number:016x}", [step], TENANT)
    assert not world.starts()
    assert world.schedule.budget.checks == 0


def test_unanswered_start_counts_until_it_is_disproved() -> None:
    world = _world()
    _reserve(world, 2)
    step = StepSpec(count=4, cpu_millis=1_000)
    _add_job(world, "a" * 16, [step], TENANT)
    assert len(world.starts()) == 2
    usage = world.schedule.tenant_shares.usage
    assert usage.started(TENANT) == Resources(2_000, 0, 0)
    assert not world.starts()
    for view in world.schedule.executors.values():
        clear_runs(
            world.schedule,
            view,
            list(view.runs.values()),
            world.now,
            LossCause.LEASE_ENDED,
        )
    assert usage.started(TENANT) == Resources(0, 0, 0)


def test_jobs_over_the_share_go_after_the_others() -> None:
    world = _world(weight=1.0, cap=Resources(0, 0, 0))
    step = StepSpec(count=1, cpu_millis=32_000)
    for number in range(5):
        _add_job(world, f"a{number:015x}", [step], TENANT)
    _add_job(world, "b" * 16, [step], "")
    jobs = world.schedule.jobs
    over = [job.is_over_share for job in jobs.values()]
    assert over == [False] * 3 + [True, True, False]
    order = world.schedule.ready.ordered(0, world.schedule.run_times)
    assert [step.job.job_id[0] for step in order] == list("aaabaa")


@pytest.mark.parametrize(
    ("weight", "sent_at", "within"),
    [
        (1.0, [0.0] * 5, [True] * 3 + [False] * 2),
        (1.0, [0.0, 0.0, 0.0, 1.0, 1.5], [True] * 4 + [False]),
        (1.0, [0.0, 1.0, 2.0, 3.0, 4.0], [True] * 5),
        (0.1, [0.0, 0.0, 0.0, 9.0, 10.1], [True] * 3 + [False, True]),
        (20.0, [0.0] * 12, [True] * 10 + [False] * 2),
        (0.0, [0.0, 0.0, 0.0, 100.0], [True] * 3 + [False]),
    ],
)
def test_weight_limits_jobs_a_second(
    weight: float, sent_at: list[float], within: list[bool]
) -> None:
    weights = TenantWeights()
    assert [weights.take(TENANT, weight, at) for at in sent_at] == within


# --- Logs and counters.


def test_explain_shows_what_a_tenant_waits_for() -> None:
    lines: list[dict[str, object]] = [
        {"event": "job-accepted", "job": "j", "pool": "p", "tenant": "t"},
        {"event": "tenant-waits-for-cap", "pool": "p", "tenant": "t"},
        {"event": "tenant-waits-for-cap", "pool": "q", "tenant": "t"},
        {"event": "tenant-waits-for-cap", "pool": "p", "tenant": "u"},
        {"event": "tenant-over-share", "pool": "p", "tenant": "t", "job": "k"},
        {"event": "task-start", "tasks": ["j.0.0.0/1"]},
        {"event": "tenant-waits-for-cap", "pool": "p", "tenant": "t"},
    ]
    texts: list[str] = []
    for number, line in enumerate(lines):
        texts.append(
            msgspec.json.encode(line | {"time": str(number)}).decode()
        )
    assert [line.time for line in explain(texts, "j")] == ["0", "1", "5"]


def test_number_of_tenants_with_counters_is_bounded() -> None:
    metrics = Metrics()
    for number in range(MAX_COUNTED_TENANTS + 10):
        metrics.count_tenant("held", f"t{number}")
    assert metrics.counters["held-of-(other)"] == 10
    assert len(metrics.counters) == MAX_COUNTED_TENANTS + 1


def test_tenant_is_stored_with_a_job() -> None:
    record = JobRecord("queue", "", [StepSpec(1)], tenant=TENANT)
    stored = msgspec.json.encode(record)
    assert msgspec.json.decode(stored, type=JobRecord).tenant == TENANT
