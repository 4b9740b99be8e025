"""A stand-in for one executor of the users' platform.

It simulates each task by waiting.  It follows the platform's published
protocol: a run number that is not higher than the task's last one is
rejected, and so is every call with an outdated fencing token; all runs end
when the lease expires; ends are reported until they are acknowledged.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, Final

import msgspec

from lycheelug.http import Answer, HttpServer, find_header, json_answer

if TYPE_CHECKING:
    from lycheelug.http import Request
    from standins.hint_tickets import HintTickets

__all__ = ["HINTED", "LONG_RUNNING", "RunRecord", "TaskExecutor"]

CHECK_INTERVAL_S: Final = 0.02
STATUS_WRONG_INSTANCE: Final = 421
# How many ends one answer lists at most.
ENDS_PER_ANSWER: Final = 500


class _Call(msgspec.Struct):
    """The body of a start, stop or poll call."""

    fencing_token: int = 0
    task: str = ""
    run: int = 0
    spec: str = ""
    deadline_ms: int | None = None
    last_seen: int = 0
    wait_ms: int = 0
    ticket: str = ""


# The job payload whose tasks need a ticket.
HINTED: Final = "hinted"
# The job payload whose tasks run until they are stopped.
LONG_RUNNING: Final = "lasting"


class RunRecord(msgspec.Struct):
    """A run that was started."""

    task: str
    run: int
    executor: str
    # Unix times in seconds; `ended` is 0 while the task runs.
    began: float
    ended: float = 0.0
    how: str = ""
    lasts: bool = False


class TaskExecutor:
    """One executor, listening on its own port."""

    def __init__(
        self,
        executor_id: str,
        work_s: float,
        records: list[RunRecord],
        tickets: HintTickets,
    ) -> None:
        self.executor_id = executor_id
        self._tickets = tickets
        self.born_ms = int(time.time() * 1000)
        # How long each task runs.
        self.work_s = work_s
        # The runs of all executors, in the order of their starts.
        self._records = records
        self._fencing_token = 0
        self._deadline_ms = 0
        self._running: dict[str, RunRecord] = {}
        self._highest_runs: dict[str, int] = {}
        self._unacked_ends: list[list[Any]] = []
        self._end_count = 0
        self._changed = asyncio.Event()
        self._server = HttpServer(self._handle)

    @property
    def address(self) -> str:
        """The address that it listens on."""
        return f"127.0.0.1:{self._server.port}"

    async def run(self) -> None:
        """End runs that are done or without a lease, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            for record in list(self._running.values()):
                if self._clock_ms() > self._deadline_ms:
                    self._end(record, "lapsed")
                elif self._progress(record) >= 1 and not record.lasts:
                    self._end(record, "done")

    async def start(self) -> None:
        """Listen on a free port."""
        await self._server.start("127.0.0.1", 0)

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()

    async def _handle(self, request: Request) -> Answer:
        """Answer one call."""
        expected = find_header(request.headers, b"expected-instance")
        if expected != self.executor_id.encode():
            return json_answer(STATUS_WRONG_INSTANCE, {"reason": "instance"})
        try:
            call = msgspec.json.decode(request.body, type=_Call)
        except msgspec.DecodeError as error:
            return json_answer(400, {"reason": str(error)})
        if call.fencing_token < self._fencing_token:
            return self._reject("fence")
        self._fencing_token = call.fencing_token
        if request.target == b"/v1/run-start":
            return self._start_run(call)
        if request.target == b"/v1/run-stop":
            return self._stop_run(call)
        if request.target == b"/v1/hold":
            return await self._poll(call)
        return json_answer(404, {"reason": "no such call"})

    def _start_run(self, call: _Call) -> Answer:
        """Start a run, unless the task had the same or a later run."""
        if call.deadline_ms is not None:
            self._deadline_ms = max(self._deadline_ms, call.deadline_ms)
        present = self._running.get(call.task)
        if present is not None and present.run == call.run:
            return self._success()
        if call.run <= self._highest_runs.get(call.task, 0):
            return self._reject("old")
        if self._clock_ms() > (call.deadline_ms or 0):
            return self._reject("late")
        if call.spec == HINTED and not self._tickets.accept(
            call.task, self.executor_id, call.ticket
        ):
            return self._reject("ticket")
        self._highest_runs[call.task] = call.run
        record = RunRecord(
            call.task,
            call.run,
            self.executor_id,
            time.time(),
            lasts=call.spec == LONG_RUNNING,
        )
        self._running[call.task] = record
        self._records.append(record)
        return self._success()

    def _stop_run(self, call: _Call) -> Answer:
        """End a run; a start of it that arrives later is rejected."""
        known = self._highest_runs.get(call.task, 0)
        self._highest_runs[call.task] = max(known, call.run)
        record = self._running.get(call.task)
        if record is not None and record.run == call.run:
            self._end(record, "stopped")
        return self._success()

    async def _poll(self, call: _Call) -> Answer:
        """Extend the lease, drop acknowledged ends, report all others."""
        if call.deadline_ms is not None:
            self._deadline_ms = max(self._deadline_ms, call.deadline_ms)
        self._unacked_ends = [
            end for end in self._unacked_ends if end[0] > call.last_seen
        ]
        if not self._unacked_ends and call.wait_ms:
            changed = self._changed
            try:
                async with asyncio.timeout(call.wait_ms / 1000):
                    await changed.wait()
            except TimeoutError:
                pass
        running: list[list[Any]] = []
        for record in self._running.values():
            max_percent = 100 if record.lasts else 99
            percent = min(max_percent, int(100 * self._progress(record)))
            running.append([record.task, record.run, "", percent, 0])
        ended = self._unacked_ends[:ENDS_PER_ANSWER]
        return self._success(running=running, ended=ended)

    def _end(self, record: RunRecord, outcome: str) -> None:
        """End a run and report its end."""
        del self._running[record.task]
        record.ended = time.time()
        record.how = outcome
        self._end_count += 1
        self._unacked_ends.append(
            [self._end_count, record.task, record.run, outcome, ""]
        )
        self._changed.set()
        self._changed = asyncio.Event()

    def _progress(self, record: RunRecord) -> float:
        """Return the part of its run time that a run has completed."""
        return (time.time() - record.began) / self.work_s

    def _clock_ms(self) -> int:
        """Return the monotonic clock in milliseconds."""
        return int(time.monotonic() * 1000)

    def _success(self, **content: Any) -> Answer:
        """Return a success answer with the clock and the incarnation."""
        content["clock_ms"] = self._clock_ms()
        content["born"] = self.born_ms
        return json_answer(200, content)

    def _reject(self, reason: str) -> Answer:
        """Return an answer that rejects the call."""
        return json_answer(
            409, {"clock_ms": self._clock_ms(), "reason": reason}
        )
