"""Tests of the answer to a request that isn't answered in time.

Load: a store, or a pool's owner, that doesn't answer before the caller's
deadline.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest

from lycheelug.http import Request
from lycheelug.jobservice.clock import Clock
from lycheelug.jobservice.interfaces import (
    Configuration,
    PoolPolicy,
    Route,
    SubmissionAnswer,
    SubmissionRouter,
)
from lycheelug.jobservice.queue_rows import (
    NO_GATES,
    QUEUES_PART,
    GateVersions,
    QueueRecord,
    address_name,
    encode_row,
    queue_name,
)
from lycheelug.jobservice.submissions import Submissions
from lycheelug.jobservice.tables import JOB_PREFIX, jobs_table
from lycheelug.metrics import Metrics
from lycheelug.platform.ingress import Ingress
from lycheelug.store.memory_rows import MemoryRows
from lycheelug.store.rows import RowName
from lycheelug.workloads import JobLimits

if TYPE_CHECKING:
    from lycheelug.jobservice.interfaces import WaitingCount
    from lycheelug.workloads import JobRecord

ROUTE = Route("quick", "", "/q/", "new", 0, 2, 1.6, 0.6, False)
MOVED = Route("quick", "", "/q/", "old", 0, 2, 1.6, 0.6, False)
JOB_PATH = b"/q/5c0e7a21d94b36f8"
BODY = b'{"spec":"s","steps":[{"count":1,"cpu":100,"estimate_ms":10}]}'


class SilentRouter(SubmissionRouter):
    """An owner that never answers."""

    async def submit(
        self,
        pool: str,
        job_id: str,
        record: JobRecord,
        gates: GateVersions = NO_GATES,
    ) -> SubmissionAnswer:
        await asyncio.sleep(60)
        return SubmissionAnswer.STORED

    async def count_waiting(
        self, pool: str, queue: str, address: str
    ) -> WaitingCount:
        await asyncio.sleep(60)
        return 0


class SilentRows(MemoryRows):
    """A store that answers no reads, or no writes."""

    __slots__ = ("answers_reads",)

    def __init__(self, answers_reads: bool) -> None:
        super().__init__()
        self.answers_reads = answers_reads

    async def read(self, *arguments: Any, **options: Any) -> Any:
        if not self.answers_reads:
            await asyncio.sleep(60)
        return await super().read(*arguments, **options)

    async def commit(self, *arguments: Any, **options: Any) -> Any:
        await asyncio.sleep(60)
        return await super().commit(*arguments, **options)


class Service:
    """The parts of the job service that the ingress uses."""

    def __init__(self, rows: MemoryRows, has_moved: bool) -> None:
        self.submissions = Submissions(
            rows, Clock(), Metrics(), SilentRouter()
        )
        routes = [MOVED, ROUTE] if has_moved else [ROUTE]
        for version, route in enumerate(routes, start=1):
            self.configuration = Configuration(
                version, [route], [PoolPolicy(route.pool)]
            )
            self.submissions.apply_configuration(self.configuration)


@pytest.mark.parametrize(
    ("method", "path", "answers_reads", "has_moved", "status"),
    [
        pytest.param(b"GET", b"/q/", True, False, 503, id="count"),
        pytest.param(b"GET", JOB_PATH, False, False, 503, id="state"),
        pytest.param(
            b"POST", JOB_PATH, False, True, 503, id="read before the owner"
        ),
        pytest.param(b"POST", JOB_PATH, True, False, 504, id="at the owner"),
        pytest.param(
            b"DELETE", JOB_PATH, False, False, 503, id="read before a cancel"
        ),
        pytest.param(b"DELETE", JOB_PATH, True, False, 504, id="cancel"),
    ],
)
def test_only_what_may_have_taken_effect_is_answered_504(
    method: bytes,
    path: bytes,
    answers_reads: bool,
    has_moved: bool,
    status: int,
) -> None:
    async def ask() -> Any:
        rows = SilentRows(answers_reads)
        # The queue was served before the store fell silent.
        pools = ["new", "old"] if has_moved else ["new"]
        row = encode_row(QueueRecord("quick", 1, pools, ROUTE.address))
        names = (queue_name("quick"), address_name(ROUTE.address))
        await MemoryRows.commit(
            rows, QUEUES_PART, {}, dict.fromkeys(names, row)
        )
        name = RowName(jobs_table("new"), JOB_PREFIX + "5c0e7a21d94b36f8")
        if method == b"DELETE":
            await MemoryRows.commit(rows, "new", {}, {name: b"{}"})
        ingress = Ingress(
            Service(rows, has_moved),  # type: ignore[arg-type]
            Clock(),
            JobLimits(),
        )
        headers = [(b"host", b"x"), (b"deadline-ms", b"200")]
        return await ingress.handle(Request(method, path, headers, BODY))

    answer = asyncio.run(ask())
    assert answer.status == status
    has_retry_after = b"retry-after" in dict(answer.headers)
    assert has_retry_after is (status == 503)
