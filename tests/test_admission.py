from __future__ import annotations

import gc
import math
import tracemalloc
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lycheelug.admission import QUEUES, QueueSettings, RequestClass, Ticket
from lycheelug.deadline_queue import DeadlineQueue
from lycheelug.errors import (
    QUEUE_FULL,
    QUOTA_SPENT,
    TOO_LATE,
    ErrorCode,
)
from lycheelug.run_times import RunTimeHistogram
from lycheelug.ticket_heap import TicketHeap

URGENT = RequestClass.URGENT
SHORT = RequestClass.SHORT
LONG = RequestClass.LONG


def make_ticket(
    number: int,
    kind: RequestClass = SHORT,
    deadline: float = math.inf,
    tenant: str = "shop",
    at: float = 0.0,
) -> Ticket:
    return Ticket(number, "quotes", tenant, kind, at, deadline)


def make_queue(settings: QueueSettings | None = None) -> DeadlineQueue:
    return DeadlineQueue("quotes", settings or QueueSettings())


def record_runs(
    queue: DeadlineQueue, seconds: float, kind: RequestClass = SHORT
) -> None:
    """Record enough runs of one length for the queue to use them."""
    for number in range(40):
        ticket = make_ticket(10_000 + number, kind, tenant="measured")
        queue.on_started(ticket, 0.0)
        queue.on_finished(ticket, seconds, 0.0)


def take_all(queue: DeadlineQueue, now: float) -> list[int]:
    taken = []
    while (ticket := queue.take(now)) is not None:
        queue.on_started(ticket, now)
        taken.append(ticket.ticket_id)
    return taken


@pytest.mark.parametrize(
    ("offered", "taken"),
    [
        pytest.param(
            [(1, SHORT, 9.0), (2, SHORT, 4.0)], [2, 1], id="by-deadline"
        ),
        pytest.param(
            [
                (1, LONG, math.inf),
                (2, LONG, math.inf),
                (3, SHORT, 9.0),
                (4, URGENT, 9.0),
            ],
            [1, 4, 3, 2],
            id="by-class-after-the-share-of-long",
        ),
        pytest.param(
            [(1, URGENT, 9.0), (2, SHORT, 2.0)],
            [2, 1],
            id="short-first-while-urgent-has-time",
        ),
    ],
)
def test_order_of_deadline_queue(
    offered: list[tuple[int, RequestClass, float]], taken: list[int]
) -> None:
    queue = make_queue()
    for number, kind, deadline in offered:
        assert queue.offer(make_ticket(number, kind, deadline), 0.0, 8) is None
    assert take_all(queue, 0.1) == taken
    assert len(queue) == 0


def test_urgent_starts_first_when_it_has_no_slack() -> None:
    queue = make_queue()
    record_runs(queue, 1.0, URGENT)
    for number in range(3):
        ticket = make_ticket(number, URGENT, 9.0)
        assert queue.offer(ticket, 0.0, 1) is None
    assert queue.offer(make_ticket(9, SHORT, 2.5), 0.0, 1) is None
    first = queue.take(0.1)
    assert first is not None
    assert first.request_class is URGENT


@pytest.mark.parametrize(
    ("run_s", "waiting", "deadline", "code"),
    [
        pytest.param(0.0, 0, 0.5, None, id="cold-start-refuses-nothing"),
        pytest.param(2.0, 0, 1.0, TOO_LATE, id="run-longer-than-deadline"),
        pytest.param(2.0, 0, 4.0, None, id="run-fits"),
        pytest.param(2.0, 6, 12.0, TOO_LATE, id="work-before-takes-too-long"),
        pytest.param(2.0, 4, 4.0, None, id="goes-first-and-all-still-start"),
        pytest.param(2.0, 4, 20.0, None, id="waits-and-fits"),
        pytest.param(0.0, 0, 0.0, TOO_LATE, id="deadline-passed-already"),
    ],
)
def test_refuses_by_measured_run_times(
    run_s: float, waiting: int, deadline: float, code: ErrorCode | None
) -> None:
    queue = make_queue(QueueSettings(fair=False))
    if run_s:
        record_runs(queue, run_s)
    for number in range(waiting):
        ticket = make_ticket(number, SHORT, 12.0, at=0.0)
        assert queue.offer(ticket, 0.0, 1) is None
    newest = make_ticket(99, SHORT, deadline)
    refusal = queue.offer(newest, 0.0, 1)
    assert (refusal.code if refusal else None) is code


@pytest.mark.parametrize(
    ("kind", "waiting_limit"), [(URGENT, 20), (SHORT, 18), (LONG, 10)]
)
def test_queue_is_bounded_by_class(
    kind: RequestClass, waiting_limit: int
) -> None:
    queue = make_queue(QueueSettings(max_queued=20))
    codes = []
    for number in range(25):
        refusal = queue.offer(make_ticket(number, kind, 99.0), 0.0, 8)
        codes.append(refusal.code if refusal else None)
    assert codes.count(None) == waiting_limit
    assert set(codes) == {None, QUEUE_FULL}


def test_urgent_is_dropped_after_its_start_limit() -> None:
    queue = make_queue()
    assert queue.offer(make_ticket(1, URGENT, 60.0), 0.0, 8) is None
    assert queue.drop_expired(2.9) == []
    assert queue.take(2.95) is None
    assert [t.ticket_id for t in queue.drop_expired(2.95)] == [1]
    assert len(queue) == 0


def test_quota_binds_only_while_others_wait() -> None:
    queue = make_queue(QueueSettings(quotas={"hog": 0.25}))
    hog = make_ticket(1, tenant="hog")
    queue.on_started(hog, 0.0)
    queue.on_finished(hog, 30.0, 0.0)
    alone = make_ticket(2, SHORT, 90.0, "hog")
    assert queue.offer(alone, 0.0, 8) is None
    assert queue.offer(make_ticket(3, SHORT, 90.0), 0.0, 8) is None
    refusal = queue.offer(make_ticket(4, SHORT, 90.0, "hog"), 0.0, 8)
    assert refusal is not None
    assert refusal.code is QUOTA_SPENT
    # Usage decays with time.
    assert queue.offer(make_ticket(5, SHORT, 90.0, "hog"), 20.0, 8) is None


def test_overload_is_shed_from_tenants_over_their_share() -> None:
    queue = make_queue()
    record_runs(queue, 1.0)
    hog = make_ticket(1, tenant="hog")
    queue.on_started(hog, 0.0)
    queue.on_finished(hog, 60.0, 0.0)
    for number in range(10, 13):
        ticket = make_ticket(number, SHORT, 5.0, "hog")
        assert queue.offer(ticket, 0.0, 1) is None
    for number in range(20, 23):
        ticket = make_ticket(number, SHORT, 5.0, "shop")
        assert queue.offer(ticket, 0.0, 1) is None
    dropped = {ticket.tenant for ticket in queue.drop_expired(0.0)}
    assert dropped == {"hog"}


def test_long_has_a_bounded_share_and_a_cap() -> None:
    queue = make_queue(QueueSettings(long_share=0.25, long_cap=0.5))
    for number in range(20):
        assert queue.offer(make_ticket(number, LONG), 0.0, 8) is None
        short = make_ticket(100 + number, SHORT, 90.0)
        assert queue.offer(short, 0.0, 8) is None
    order = take_all(queue, 0.1)
    assert [number for number in order[:3] if number < 100] == [0, 1]
    assert sum(number < 100 for number in order) == 4
    assert min(order[2:22]) >= 100


def test_long_with_a_small_share_starts_after_its_patience() -> None:
    queue = make_queue(QueueSettings(long_patience_s=30.0))
    assert queue.offer(make_ticket(1, LONG), 0.0, 2) is None
    for number in range(2, 30):
        ticket = make_ticket(number, SHORT, 90.0, at=0.0)
        assert queue.offer(ticket, 0.0, 2) is None
    first = queue.take(29.0)
    assert first is not None
    assert first.request_class is SHORT
    second = queue.take(30.0)
    assert second is not None
    assert second.ticket_id == 1


def test_reconfigure_keeps_queue_and_run_times() -> None:
    queue = make_queue()
    record_runs(queue, 2.0)
    assert queue.offer(make_ticket(1, SHORT, 90.0), 0.0, 8) is None
    queue.reconfigure(QueueSettings(quotas={"shop": 0.5}))
    assert len(queue) == 1
    refusal = queue.offer(make_ticket(2, SHORT, 1.0), 0.0, 8)
    assert refusal is not None
    assert refusal.code is TOO_LATE


def test_runs_that_failed_or_never_began_are_not_measured() -> None:
    queue = make_queue()
    for number in range(100):
        ticket = make_ticket(number)
        queue.on_started(ticket, 0.0)
        queue.on_finished(ticket, 9.0, 0.0, ok=False)
        queue.on_finished(ticket, 0.0, 0.0)
    assert queue.offer(make_ticket(200, SHORT, 1.0), 0.0, 8) is None


@pytest.mark.parametrize("policy", list(QUEUES))
@settings(derandomize=True, deadline=None, max_examples=40)
@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(["offer", "take", "cancel", "drop", "finish"]),
            st.integers(0, 5),
            st.sampled_from(list(RequestClass)),
            st.floats(0.0, 5.0),
        ),
        max_size=80,
    )
)
def test_every_accepted_ticket_is_removed_once(
    policy: str, steps: list[tuple[str, int, RequestClass, float]]
) -> None:
    queue = QUEUES.get(policy)("quotes", QueueSettings(max_queued=20))
    waiting: dict[int, Ticket] = {}
    running: list[Ticket] = []
    now = 0.0
    for number, (action, choice, kind, seconds) in enumerate(steps):
        now += 0.1
        if action == "offer":
            tenant = f"t{choice % 3}"
            ticket = make_ticket(number, kind, now + seconds, tenant, now)
            if queue.offer(ticket, now, 2) is None:
                waiting[number] = ticket
        elif action == "take":
            taken = queue.take(now)
            if taken is not None:
                assert taken.deadline > now
                assert waiting.pop(taken.ticket_id) is taken
                queue.on_started(taken, now)
                running.append(taken)
        elif action == "cancel" and waiting:
            victim = sorted(waiting)[choice % len(waiting)]
            assert queue.cancel(victim)
            assert not queue.cancel(victim)
            del waiting[victim]
        elif action == "drop":
            for dropped in queue.drop_expired(now):
                assert waiting.pop(dropped.ticket_id) is dropped
        elif running:
            queue.on_finished(running.pop(), seconds, now)
        assert len(queue) == len(waiting)
        counts = queue.queued_by_tenant
        assert sum(counts.values()) == len(waiting)
        assert all(counts.values())


def test_heap_keeps_no_more_than_twice_its_live_tickets() -> None:
    rng = Random(1)
    heap = TicketHeap()
    live: set[int] = set()
    for number in range(5000):
        heap.push(rng.random(), make_ticket(number))
        live.add(number)
        if number % 3:
            victim = rng.choice(sorted(live))
            assert heap.remove(victim)
            live.discard(victim)
        assert heap.stored_entries <= 2 * len(heap) + 17
    assert len(heap) == len(live)


@pytest.mark.parametrize("policy", list(QUEUES))
def test_cancelled_requests_free_their_memory(policy: str) -> None:
    queue = QUEUES.get(policy)("quotes", QueueSettings(max_queued=10_000))
    kinds = list(RequestClass)
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        for number in range(3000):
            tenant = f"t{number % 42}"
            ticket = make_ticket(number, kinds[number % 3], 99.0, tenant)
            assert queue.offer(ticket, 0.0, 8000) is None
        for number in range(3000):
            assert queue.cancel(number)
        # A full collection also empties the interpreter's free lists.
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert after - before < 20_000


def test_run_times_follow_a_change() -> None:
    histogram = RunTimeHistogram()
    for _ in range(500):
        histogram.record(0.1)
    for _ in range(1500):
        histogram.record(5.0)
    assert 4.0 < histogram.quantile(0.5) < 6.0
    assert 3.0 < histogram.mean_s < 6.0
