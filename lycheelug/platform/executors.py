"""The platform's executors: their entries in the store, and orders to them.

An executor's entry in the store announces its address and capacity.  Orders
are sent directly to the executor over HTTP.  They name its id and carry the
owner's fencing token, so neither another executor at its address nor one that
has seen a higher token carries them out.  The id doesn't tell an executor
from its next incarnation, if that one has the same id.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgspec
from returns.result import Failure, Success

from lycheelug.decoding import decode_json, is_address
from lycheelug.errors import PLATFORM_UNREACHABLE, Fault, Peer, Step
from lycheelug.http import HttpClient, Request
from lycheelug.jobservice.interfaces import (
    ExecutorGateway,
    PlacementHint,
    PollFailure,
    StopAnswer,
)
from lycheelug.logs import log_frequent
from lycheelug.platform.wire import (
    EntryMessage,
    HoldAnswer,
    OrderAnswer,
    PlacementHintAnswer,
)
from lycheelug.workloads import (
    EndReport,
    ExecutorInfo,
    Resources,
    RunReport,
    StartAnswer,
    TaskName,
    TaskReport,
)

if TYPE_CHECKING:
    from collections.abc import Sequence
    from typing import Any

    from returns.result import Result

    from lycheelug.http import Answer
    from lycheelug.store.rows import StoredRow
    from lycheelug.workloads import StepName

__all__ = ["EXECUTORS_TABLE", "PlatformExecutors", "decode_executor"]

EXECUTORS_TABLE: Final = "servers"

# Executors normally answer orders within milliseconds.  One that doesn't
# counts as unresponsive until it answers a poll.
ORDER_TIMEOUT_S: Final = 0.5
# Added to the time that a poll waits for a run to end.
POLL_MARGIN_S: Final = 0.5
CONNECT_TIMEOUT_S: Final = 0.4
# Executors close connections that are idle for longer.
REUSE_IDLE_S: Final = 8.0
# Added to the expected duration of a call to the placement hint service, which
# handles the calls of several daemons one after another.
HINT_TIMEOUT_S: Final = 3.0
# The maximum number of concurrent orders to one executor.
MAX_CONCURRENT_ORDERS: Final = 4
# It holds the executor's id; one with another id answers with this status.
INCARNATION_HEADER: Final = b"expected-instance"
STATUS_OTHER_INCARNATION: Final = 421
# How many ends one list of runs has at most; the next ones are listed once
# these are acknowledged.
ENDS_PER_ANSWER: Final = 500
# A job's progress, with the checkpoints of all its tasks, has to fit into the
# store's rows.
CHECKPOINT_LENGTH_MAX: Final = 4_000

IS_DRAINING_BY_STATE: Final = {"ready": False, "draining": True}

START_ANSWERS: Final = {
    "fence": StartAnswer.FENCED,
    "old": StartAnswer.REJECTED,
    "late": StartAnswer.REJECTED,
    "ticket": StartAnswer.BAD_TICKET,
    "room": StartAnswer.NO_ROOM,
}


def decode_executor(row: StoredRow) -> ExecutorInfo | None:
    """Return the decoded executor entry.

    The result is None if the row was removed, the entry is invalid, or it
    has an unknown state or no valid address.
    """
    if row.value is None:
        return None
    entry = decode_json(row.value, EntryMessage).value_or(None)
    if entry is None:
        return None
    if entry.state not in IS_DRAINING_BY_STATE:
        return None
    if not is_address(entry.address):
        return None
    leaves_in_s = None
    if entry.remaining_ms is not None:
        leaves_in_s = entry.remaining_ms / 1000
    capacity = entry.capacity
    return ExecutorInfo(
        row.key,
        entry.service,
        entry.address,
        Resources(capacity.cpu, capacity.mem_mb, capacity.gpu),
        zone=entry.zone,
        labels=tuple(entry.labels),
        host=entry.machine,
        draining=IS_DRAINING_BY_STATE[entry.state],
        born_ms=entry.born,
        leaves_in_s=leaves_in_s,
        cold_s=entry.cold_left_ms / 1000,
        version=row.version,
    )


class _Link:
    """The connections to one executor."""

    __slots__ = ("client", "orders", "unanswered_orders")

    def __init__(self, address: str) -> None:
        self.client = HttpClient(
            address, Peer.UPSTREAM, connect_s=CONNECT_TIMEOUT_S
        )
        self.orders = asyncio.Semaphore(MAX_CONCURRENT_ORDERS)
        # The number of orders that were not answered.
        self.unanswered_orders = 0


class PlatformExecutors(ExecutorGateway):
    """A client of the executors and of the placement hint service."""

    __slots__ = ("_hint_address", "_hint_client", "_links")

    def __init__(self, hint_address: str = "") -> None:
        self._links: dict[tuple[str, str], _Link] = {}
        # The placement hint service; empty if there is none.
        self._hint_address = hint_address
        self._hint_client = HttpClient(
            hint_address, Peer.PLATFORM, connect_s=CONNECT_TIMEOUT_S
        )

    async def start(
        self,
        info: ExecutorInfo,
        task: TaskName,
        run: int,
        payload: str,
        checkpoint: str,
        deadline_ms: int,
        token: int,
        ticket: str = "",
    ) -> tuple[StartAnswer, int | None]:
        """Start a run; also return the executor's clock if known."""
        body: dict[str, Any] = {
            "task": task.render(),
            "run": run,
            "spec": payload,
            "deadline_ms": deadline_ms,
            "fencing_token": token,
        }
        if checkpoint:
            body["checkpoint"] = checkpoint
        if ticket:
            body["ticket"] = ticket
        answer, sent = await self._send_order(info, b"/v1/run-start", body)
        if answer is None:
            unanswered = StartAnswer.NO_ANSWER
            return (unanswered if sent else StartAnswer.NOT_SENT), None
        reply = _decode_order(answer)
        if answer.status == 200:
            return StartAnswer.STARTED, reply.clock_ms
        if answer.status in (429, 503):
            return StartAnswer.NO_ROOM, reply.clock_ms
        if answer.status >= 500:
            return StartAnswer.NO_ANSWER, reply.clock_ms
        return (
            START_ANSWERS.get(reply.reason, StartAnswer.REJECTED),
            reply.clock_ms,
        )

    async def stop(
        self, info: ExecutorInfo, task: TaskName, run: int, token: int
    ) -> StopAnswer:
        """Stop a run."""
        body = {"task": task.render(), "run": run, "fencing_token": token}
        answer, _ = await self._send_order(info, b"/v1/run-stop", body)
        if answer is None:
            return StopAnswer.NO_ANSWER
        if answer.status == 200:
            return StopAnswer.ANSWERED
        if answer.status == STATUS_OTHER_INCARNATION:
            return StopAnswer.GONE
        if answer.status == 409 and _decode_order(answer).reason == "fence":
            return StopAnswer.FENCED
        return StopAnswer.NO_ANSWER

    async def poll(
        self,
        info: ExecutorInfo,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_s: float,
    ) -> Result[TaskReport, PollFailure]:
        """Return the executor's task report.

        The executor waits up to `wait_s` for a run to end before it answers.
        """
        body: dict[str, Any] = {
            "fencing_token": token,
            "last_seen": acknowledged,
        }
        if deadline_ms is not None:
            body["deadline_ms"] = deadline_ms
        if wait_s > 0:
            body["wait_ms"] = int(wait_s * 1000)
        link = self._link(info)
        answer, sent = await self._call(
            link, info, b"/v1/hold", body, wait_s + POLL_MARGIN_S
        )
        if answer is None:
            return Failure(
                PollFailure.NO_ANSWER if sent else PollFailure.REFUSED
            )
        if answer.status == STATUS_OTHER_INCARNATION:
            return Failure(PollFailure.GONE)
        if answer.status == 409 and _decode_order(answer).reason == "fence":
            return Failure(PollFailure.FENCED)
        if answer.status != 200:
            return Failure(PollFailure.NO_ANSWER)
        report = _decode_report(answer.body)
        if report is None:
            return Failure(PollFailure.NO_ANSWER)
        return Success(report)

    async def pace(
        self,
        info: ExecutorInfo,
        task: TaskName,
        run: int,
        percent: int,
        token: int,
    ) -> bool:
        """Limit a run to a share of its speed; return False if that failed."""
        body = {
            "task": task.render(),
            "run": run,
            "percent": percent,
            "fencing_token": token,
        }
        answer, _ = await self._send_order(info, b"/v1/pace", body)
        return answer is not None and answer.status == 200

    async def request_placement_hint(
        self, step: StepName, executors: Sequence[str], call_s: float = 0.0
    ) -> Result[PlacementHint, Fault]:
        """Return which of some executors may run a step."""
        data = msgspec.json.encode(
            {"step": step.render(), "workers": list(executors)}
        )
        headers = [
            (b"host", self._hint_address.encode()),
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(data)),
        ]
        request = Request(b"POST", b"/v1/advise", headers, data)
        result = await self._hint_client.request(
            request, HINT_TIMEOUT_S + call_s, REUSE_IDLE_S
        )
        if isinstance(result, Failure):
            return Failure(result.failure())
        answer = result.unwrap()
        message = None
        if answer.status == 200:
            decoded = decode_json(answer.body, PlacementHintAnswer)
            message = decoded.value_or(None)
        if message is None:
            return Failure(
                Fault(
                    PLATFORM_UNREACHABLE,
                    Step.READ,
                    Peer.PLATFORM,
                    f"status {answer.status}",
                    self._hint_address,
                )
            )
        valid_s = None
        if message.valid_ms is not None:
            valid_s = message.valid_ms / 1000
        return Success(PlacementHint(dict(message.allowed), valid_s))

    def forget(self, info: ExecutorInfo) -> None:
        """Close the connections to an executor that was removed."""
        link = self._links.pop((info.executor_id, info.address), None)
        if link is not None:
            link.client.close()

    def _link(self, info: ExecutorInfo) -> _Link:
        """Return the connections to an executor."""
        key = (info.executor_id, info.address)
        link = self._links.get(key)
        if link is None:
            link = _Link(info.address)
            self._links[key] = link
        return link

    async def _send_order(
        self, info: ExecutorInfo, path: bytes, body: dict[str, Any]
    ) -> tuple[Answer | None, bool]:
        """Send an order when the limit of concurrent orders permits it.

        If an order is not answered meanwhile, the waiting ones are not sent.
        """
        link = self._link(info)
        unanswered_orders = link.unanswered_orders
        async with link.orders:
            if link.unanswered_orders != unanswered_orders:
                return None, False
            answer, sent = await self._call(
                link, info, path, body, ORDER_TIMEOUT_S
            )
            if answer is None:
                link.unanswered_orders += 1
            return answer, sent

    async def _call(
        self,
        link: _Link,
        info: ExecutorInfo,
        path: bytes,
        body: dict[str, Any],
        timeout_s: float,
    ) -> tuple[Answer | None, bool]:
        """Return the answer, and whether the request may have been sent."""
        data = msgspec.json.encode(body)
        headers = [
            (b"host", info.address.encode()),
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(data)),
            (INCARNATION_HEADER, info.executor_id.encode()),
        ]
        request = Request(b"POST", path, headers, data)
        result = await link.client.request(request, timeout_s, REUSE_IDLE_S)
        if isinstance(result, Failure):
            return None, result.failure().maybe_sent
        return result.unwrap(), True


def _decode_order(answer: Answer) -> OrderAnswer:
    """Return the decoded answer to an order, or an empty one if invalid."""
    return decode_json(answer.body, OrderAnswer).value_or(OrderAnswer())


def _decode_report(body: bytes) -> TaskReport | None:
    """Return the decoded task report, or None if it is invalid.

    Without one entry a run that goes on would look as if it had ended, so an
    invalid entry makes the whole report invalid.  Runs with an invalid task
    name are left out.
    """
    message = decode_json(body, HoldAnswer).value_or(None)
    if message is None:
        return None
    report = TaskReport(
        message.clock_ms,
        message.born,
        [],
        [],
        lists_all_ends=len(message.ended) < ENDS_PER_ANSWER,
    )
    for run in message.running:
        task = TaskName.parse(run.task)
        if task is None:
            continue
        report.running.append(
            RunReport(
                task,
                run.run,
                _storable(run.checkpoint, run.task),
                int(run.percent),
                int(run.load),
            )
        )
    for end in message.ended:
        task = TaskName.parse(end.task)
        if task is None:
            continue
        report.ended.append(
            EndReport(
                end.number,
                task,
                end.run,
                end.kind,
                _storable(end.checkpoint, end.task),
            )
        )
    return report


def _storable(checkpoint: str, task: str) -> str:
    """Return a checkpoint, or none if it can't be stored with its job."""
    if len(checkpoint) <= CHECKPOINT_LENGTH_MAX:
        return checkpoint
    log_frequent("checkpoint-too-long", task=task, length=len(checkpoint))
    return ""
