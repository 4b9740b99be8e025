"""A stand-in for one executor of the users' platform.

It runs tasks by waiting, on the platform's published protocol: runs rise,
a lower fencing token does nothing, all that runs ends with its lease, and
ends are listed until they are acknowledged.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, Final

import msgspec

from lycheelug.http import Answer, HttpServer, find_header, json_answer

if TYPE_CHECKING:
    from lycheelug.http import Request

__all__ = ["LASTING", "RunRecord", "TaskExecutor"]

TICK_S: Final = 0.02
STATUS_OTHER_LIFE: Final = 421


class _Call(msgspec.Struct):
    """What a start, a stop or a look carries."""

    fencing_token: int = 0
    task: str = ""
    run: int = 0
    spec: str = ""
    deadline_ms: int | None = None
    last_seen: int = 0
    wait_ms: int = 0


# Tasks of jobs with this payload run until they are stopped.
LASTING: Final = "lasting"


class RunRecord(msgspec.Struct):
    """A run that really began."""

    task: str
    run: int
    executor: str
    # Unix times in seconds; the end is 0 while it runs.
    began: float
    ended: float = 0.0
    how: str = ""
    lasts: bool = False


class TaskExecutor:
    """One executor, with a port of its own."""

    def __init__(
        self, executor_id: str, work_s: float, records: list[RunRecord]
    ) -> None:
        self.executor_id = executor_id
        self.born_ms = int(time.time() * 1000)
        # How long each task runs.
        self.work_s = work_s
        # All runs of all executors, in order.
        self._records = records
        self._token = 0
        self._deadline_ms = 0
        self._running: dict[str, RunRecord] = {}
        self._highest: dict[str, int] = {}
        self._ended: list[list[Any]] = []
        self._ends = 0
        self._changed = asyncio.Event()
        self._server = HttpServer(self._handle)

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self._server.port}"

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            for record in list(self._running.values()):
                if self._clock_ms() > self._deadline_ms:
                    self._end(record, "lapsed")
                elif self._share(record) >= 1 and not record.lasts:
                    self._end(record, "done")

    async def start(self) -> None:
        """Listen on a port of its own."""
        await self._server.start("127.0.0.1", 0)

    def stop(self) -> None:
        """Listen no more."""
        self._server.stop()

    async def _handle(self, request: Request) -> Answer:
        """Answer one call."""
        expected = find_header(request.headers, b"expected-instance")
        if expected != self.executor_id.encode():
            return json_answer(STATUS_OTHER_LIFE, {"reason": "instance"})
        try:
            call = msgspec.json.decode(request.body, type=_Call)
        except msgspec.DecodeError as error:
            return json_answer(400, {"reason": str(error)})
        if call.fencing_token < self._token:
            return self._refuse("fence")
        self._token = call.fencing_token
        if request.target == b"/v1/run-start":
            return self._start_run(call)
        if request.target == b"/v1/run-stop":
            return self._stop_run(call)
        if request.target == b"/v1/hold":
            return await self._hold(call)
        return json_answer(404, {"reason": "no such call"})

    def _start_run(self, call: _Call) -> Answer:
        """Begin a run, unless a later one was seen."""
        if call.deadline_ms is not None:
            self._deadline_ms = max(self._deadline_ms, call.deadline_ms)
        present = self._running.get(call.task)
        if present is not None and present.run == call.run:
            return self._told()
        if call.run <= self._highest.get(call.task, 0):
            return self._refuse("old")
        if self._clock_ms() > (call.deadline_ms or 0):
            return self._refuse("late")
        self._highest[call.task] = call.run
        record = RunRecord(
            call.task,
            call.run,
            self.executor_id,
            time.time(),
            lasts=call.spec == LASTING,
        )
        self._running[call.task] = record
        self._records.append(record)
        return self._told()

    def _stop_run(self, call: _Call) -> Answer:
        """End a run; it is rejected if it comes later."""
        known = self._highest.get(call.task, 0)
        self._highest[call.task] = max(known, call.run)
        record = self._running.get(call.task)
        if record is not None and record.run == call.run:
            self._end(record, "stopped")
        return self._told()

    async def _hold(self, call: _Call) -> Answer:
        """Extend the lease, forget what was seen, list the rest."""
        if call.deadline_ms is not None:
            self._deadline_ms = max(self._deadline_ms, call.deadline_ms)
        self._ended = [end for end in self._ended if end[0] > call.last_seen]
        if not self._ended and call.wait_ms:
            changed = self._changed
            try:
                async with asyncio.timeout(call.wait_ms / 1000):
                    await changed.wait()
            except TimeoutError:
                pass
        running: list[list[Any]] = []
        for record in self._running.values():
            most = 100 if record.lasts else 99
            percent = min(most, int(100 * self._share(record)))
            running.append([record.task, record.run, "", percent, 0])
        return self._told(running=running, ended=self._ended)

    def _end(self, record: RunRecord, how: str) -> None:
        """End a run and list it."""
        del self._running[record.task]
        record.ended = time.time()
        record.how = how
        self._ends += 1
        self._ended.append([self._ends, record.task, record.run, how, ""])
        self._changed.set()
        self._changed = asyncio.Event()

    def _share(self, record: RunRecord) -> float:
        """Return how much of its time a run has had."""
        return (time.time() - record.began) / self.work_s

    def _clock_ms(self) -> int:
        """Return its steady clock."""
        return int(time.monotonic() * 1000)

    def _told(self, **content: Any) -> Answer:
        """Return an answer with its clock and its life."""
        content["clock_ms"] = self._clock_ms()
        content["born"] = self.born_ms
        return json_answer(200, content)

    def _refuse(self, reason: str) -> Answer:
        """Return a refusal."""
        return json_answer(
            409, {"clock_ms": self._clock_ms(), "reason": reason}
        )
