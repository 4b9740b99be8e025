"""Executors as the platform has them: entries in the store, and orders."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

import msgspec
from returns.result import Failure, Success

from lycheelug.errors import PLATFORM_UNREACHABLE, Fault, Peer, Step
from lycheelug.http import HttpClient, Request
from lycheelug.jobservice.interfaces import (
    ExecutorGateway,
    PlacementHint,
    PollFailure,
    StopAnswer,
)
from lycheelug.platform.wire import (
    AdviceAnswer,
    EntryMessage,
    HoldAnswer,
    OrderAnswer,
)
from lycheelug.workloads import (
    EndKind,
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

# Executors answer orders within some milliseconds.  One that does not is
# taken for silent until it answers a look.
ORDER_TIMEOUT_S: Final = 0.5
# Added to the time that a look may wait for an end.
LOOK_MARGIN_S: Final = 0.5
CONNECT_TIMEOUT_S: Final = 0.4
# Executors close connections that are idle for longer.
REUSE_IDLE_S: Final = 8.0
# The advice service takes calls in turn, each for some milliseconds an
# executor.
ADVICE_TIMEOUT_S: Final = 3.0
# Orders to one executor that are under way at once.
ORDERS_AT_ONCE: Final = 4
EXPECTED_LIFE: Final = b"expected-instance"
STATUS_OTHER_LIFE: Final = 421

STATES: Final = {"ready": False, "draining": True}

END_KINDS: Final = {kind.value: kind for kind in EndKind}

ANSWERS: Final = {
    "fence": StartAnswer.FENCED,
    "old": StartAnswer.REJECTED,
    "late": StartAnswer.REJECTED,
    "ticket": StartAnswer.BAD_TICKET,
    "room": StartAnswer.NO_ROOM,
}


def decode_executor(row: StoredRow) -> ExecutorInfo | None:
    """Return an executor's entry; None where it names no usable one."""
    if row.value is None:
        return None
    try:
        entry = msgspec.json.decode(row.value, type=EntryMessage)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    if entry.state not in STATES or ":" not in entry.address:
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
        draining=STATES[entry.state],
        born_ms=entry.born,
        leaves_in_s=leaves_in_s,
        cold_s=entry.cold_left_ms / 1000,
        version=row.version,
    )


class _Link:
    """The connections to one executor."""

    __slots__ = ("client", "orders", "silences")

    def __init__(self, address: str) -> None:
        self.client = HttpClient(
            address, Peer.UPSTREAM, connect_s=CONNECT_TIMEOUT_S
        )
        self.orders = asyncio.Semaphore(ORDERS_AT_ONCE)
        # How many orders were not answered.
        self.silences = 0


class PlatformExecutors(ExecutorGateway):
    """Sends orders to executors over HTTP."""

    __slots__ = ("_advice", "_advice_address", "_links")

    def __init__(self, advice_address: str = "") -> None:
        self._links: dict[tuple[str, str], _Link] = {}
        # Where the advice service is; empty where there is none.
        self._advice_address = advice_address
        self._advice = HttpClient(
            advice_address, Peer.PLATFORM, connect_s=CONNECT_TIMEOUT_S
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
        """Start a run; also return the executor's clock if it told it."""
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
        answer, sent = await self._order(info, b"/v1/run-start", body)
        if answer is None:
            unanswered = StartAnswer.NO_ANSWER
            return (unanswered if sent else StartAnswer.NOT_SENT), None
        told = _decode_order(answer)
        if answer.status == 200:
            return StartAnswer.STARTED, told.clock_ms
        if answer.status in (429, 503):
            return StartAnswer.NO_ROOM, told.clock_ms
        if answer.status >= 500:
            return StartAnswer.NO_ANSWER, told.clock_ms
        return (
            ANSWERS.get(told.reason, StartAnswer.REJECTED),
            told.clock_ms,
        )

    async def stop(
        self, info: ExecutorInfo, task: TaskName, run: int, token: int
    ) -> StopAnswer:
        """Stop a run."""
        body = {"task": task.render(), "run": run, "fencing_token": token}
        answer, _ = await self._order(info, b"/v1/run-stop", body)
        if answer is None:
            return StopAnswer.NO_ANSWER
        if answer.status == 200:
            return StopAnswer.ANSWERED
        if answer.status == STATUS_OTHER_LIFE:
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
        """Return the executor's lists; wait for an end up to `wait_s`."""
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
            link, info, b"/v1/hold", body, wait_s + LOOK_MARGIN_S
        )
        if answer is None:
            return Failure(
                PollFailure.NO_ANSWER if sent else PollFailure.REFUSED
            )
        if answer.status == STATUS_OTHER_LIFE:
            return Failure(PollFailure.GONE)
        if answer.status == 409 and _decode_order(answer).reason == "fence":
            return Failure(PollFailure.FENCED)
        if answer.status != 200:
            return Failure(PollFailure.NO_ANSWER)
        report = _decode_lists(answer.body)
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
        """Let a run work at a share of its speed; False without effect."""
        body = {
            "task": task.render(),
            "run": run,
            "percent": percent,
            "fencing_token": token,
        }
        answer, _ = await self._order(info, b"/v1/pace", body)
        return answer is not None and answer.status == 200

    async def request_placement_hint(
        self, step: StepName, executors: Sequence[str]
    ) -> Result[PlacementHint, Fault]:
        """Ask which of some executors may run a step."""
        data = msgspec.json.encode(
            {"step": step.render(), "workers": list(executors)}
        )
        headers = [
            (b"host", self._advice_address.encode()),
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(data)),
        ]
        request = Request(b"POST", b"/v1/advise", headers, data)
        result = await self._advice.request(
            request, ADVICE_TIMEOUT_S, REUSE_IDLE_S
        )
        if isinstance(result, Failure):
            return Failure(result.failure())
        answer = result.unwrap()
        message = None
        if answer.status == 200:
            try:
                message = msgspec.json.decode(answer.body, type=AdviceAnswer)
            except (msgspec.DecodeError, UnicodeDecodeError):
                message = None
        if message is None:
            return Failure(
                Fault(
                    PLATFORM_UNREACHABLE,
                    Step.READ,
                    Peer.PLATFORM,
                    f"status {answer.status}",
                    self._advice_address,
                )
            )
        return Success(
            PlacementHint(dict(message.allowed), message.valid_ms / 1000)
        )

    def forget(self, info: ExecutorInfo) -> None:
        """Close the connections to an executor that is gone."""
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

    async def _order(
        self, info: ExecutorInfo, path: bytes, body: dict[str, Any]
    ) -> tuple[Answer | None, bool]:
        """Send an order within the bound of orders at once.

        What waits behind an order that is not answered is not sent.
        """
        link = self._link(info)
        silences = link.silences
        async with link.orders:
            if link.silences != silences:
                return None, False
            answer, sent = await self._call(
                link, info, path, body, ORDER_TIMEOUT_S
            )
            if answer is None:
                link.silences += 1
            return answer, sent

    async def _call(
        self,
        link: _Link,
        info: ExecutorInfo,
        path: bytes,
        body: dict[str, Any],
        timeout_s: float,
    ) -> tuple[Answer | None, bool]:
        """Return the answer, and whether the call may have left."""
        data = msgspec.json.encode(body)
        headers = [
            (b"host", info.address.encode()),
            (b"content-type", b"application/json"),
            (b"content-length", b"%d" % len(data)),
            (EXPECTED_LIFE, info.executor_id.encode()),
        ]
        request = Request(b"POST", path, headers, data)
        result = await link.client.request(request, timeout_s, REUSE_IDLE_S)
        if isinstance(result, Failure):
            return None, result.failure().sent
        return result.unwrap(), True


def _decode_order(answer: Answer) -> OrderAnswer:
    """Return an order's answer; an unreadable one says nothing."""
    try:
        return msgspec.json.decode(answer.body, type=OrderAnswer)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return OrderAnswer()


def _decode_lists(body: bytes) -> TaskReport | None:
    """Return an executor's lists; None where they can't be read."""
    try:
        message = msgspec.json.decode(body, type=HoldAnswer)
        running = [_decode_run(entry) for entry in message.running]
        ended = [_decode_end(entry) for entry in message.ended]
    except (
        msgspec.DecodeError,
        UnicodeDecodeError,
        ValueError,
        IndexError,
        KeyError,
    ):
        return None
    return TaskReport(
        message.clock_ms,
        message.born,
        [run for run in running if run is not None],
        [end for end in ended if end is not None],
    )


def _decode_run(values: list[Any]) -> RunReport | None:
    """Return one entry of the list of runs: task, run, saved, percent."""
    task = TaskName.parse(str(values[0]))
    if task is None:
        return None
    load = int(values[4]) if len(values) > 4 else 0
    return RunReport(
        task, int(values[1]), str(values[2]), int(values[3]), load
    )


def _decode_end(values: list[Any]) -> EndReport | None:
    """Return one entry of the list of ends: number, task, run, how, saved."""
    task = TaskName.parse(str(values[1]))
    if task is None:
        return None
    return EndReport(
        int(values[0]),
        task,
        int(values[2]),
        END_KINDS[values[3]],
        str(values[4]),
    )
