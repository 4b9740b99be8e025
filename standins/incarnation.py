"""One incarnation of a stand-in executor: what it counts and what it runs.

It simulates each task by waiting.  It follows the platform's published
protocol: a run number that is not higher than the task's last one is
rejected, and so is every call with an outdated fencing token; all runs end
when the lease expires; ends are reported until they are acknowledged.  The
clock, the numbers of the ends, the highest fencing token and the runs begin
anew in each incarnation.
"""

from __future__ import annotations

import asyncio
import time
import zlib
from typing import TYPE_CHECKING, Any, Final

import msgspec

from lycheelug.http import Answer, json_answer
from standins.run_records import RunRecord

if TYPE_CHECKING:
    from standins.hint_tickets import HintTickets

__all__ = [
    "HINTED",
    "LONG_RUNNING",
    "ExecutorCall",
    "Incarnation",
    "SimulatedWork",
]

# The longest lease that is granted, from the arrival of a call.
LEASE_MAX_MS: Final = 6000
# How many ends one answer lists at most.
ENDS_PER_ANSWER: Final = 500

# The job payload whose tasks need a ticket.
HINTED: Final = "hinted"
# The job payload whose tasks run until they are stopped.
LONG_RUNNING: Final = "lasting"


class ExecutorCall(msgspec.Struct):
    """The body of a start, stop or poll call."""

    fencing_token: int = 0
    task: str = ""
    run: int = 0
    spec: str = ""
    deadline_ms: int | None = None
    last_seen: int = 0
    wait_ms: int = 0
    ticket: str = ""


class SimulatedWork:
    """How long the tasks run."""

    __slots__ = ("_mean_s", "_spread")

    def __init__(self, mean_s: float, spread: float = 0.0) -> None:
        self._mean_s = mean_s
        # The largest deviation from the mean, as a part of it.
        self._spread = spread

    def duration_s(self, task: str) -> float:
        """Return the run time of a task, the same for each of its runs."""
        deviation = zlib.crc32(task.encode()) % 1001 / 500 - 1
        return self._mean_s * (1 + self._spread * deviation)


class Incarnation:
    """An executor from one start to the next crash."""

    def __init__(
        self,
        executor_id: str,
        work: SimulatedWork,
        records: list[RunRecord],
        tickets: HintTickets,
        clock_rate: float,
        token_before: int,
    ) -> None:
        self.born_ms = int(time.time() * 1000)
        self.is_up = True
        # How many entries it has written.
        self.sequence = 0
        self._executor_id = executor_id
        self._work = work
        # The runs of all executors, in the order of their starts.
        self._records = records
        self._tickets = tickets
        self._started_at = time.monotonic()
        self._clock_rate = clock_rate
        # The highest token of the calls that arrived before its start.
        self._token_before = token_before
        self._fencing_token = 0
        self._deadline_ms = 0
        self._running: dict[str, RunRecord] = {}
        self._highest_runs: dict[str, int] = {}
        # The ends by number, in the order of the numbers.
        self._unacked_ends: dict[int, RunRecord] = {}
        self._end_count = 0
        self._changed = asyncio.Event()

    def end_runs(self) -> None:
        """End the runs that are done or without a lease."""
        if self._clock_ms() > self._deadline_ms:
            for record in list(self._running.values()):
                self._end(record, "lapsed")
            for record in self._unacked_ends.values():
                record.has_lapsed = True
        for record in list(self._running.values()):
            if not record.lasts and self._progress(record) >= 1:
                self._end(record, "done")

    def crash(self) -> None:
        """End everything; the ends are never listed."""
        self.is_up = False
        for record in self._running.values():
            record.ended = time.time()
            record.how = "crashed"
        self._running.clear()
        self._unacked_ends.clear()
        self._changed.set()

    async def carry_out(
        self, target: bytes, call: ExecutorCall, is_late: bool
    ) -> Answer:
        """Carry out one call; nobody gets the answer if it is late."""
        self.end_runs()
        if call.fencing_token < self._fencing_token:
            return self._reject("fence")
        self._fencing_token = call.fencing_token
        if target == b"/v1/run-start":
            return self._start_run(call, is_late)
        if target == b"/v1/run-stop":
            return self._stop_run(call)
        if target == b"/v1/hold":
            return await self._poll(call, is_late)
        return json_answer(404, {"reason": "no such call"})

    def _start_run(self, call: ExecutorCall, is_late: bool) -> Answer:
        """Start a run, unless the task had the same or a later run."""
        self._extend_lease(call)
        present = self._running.get(call.task)
        if present is not None and present.run == call.run:
            return self._success()
        if call.run <= self._highest_runs.get(call.task, 0):
            return self._reject("old")
        if self._clock_ms() > (call.deadline_ms or 0):
            return self._reject("late")
        if call.spec == HINTED and not self._tickets.accept(
            call.task, self._executor_id, call.ticket
        ):
            return self._reject("ticket")
        self._highest_runs[call.task] = call.run
        record = RunRecord(
            call.task,
            call.run,
            self._executor_id,
            time.time(),
            lasts=call.spec == LONG_RUNNING,
            born_ms=self.born_ms,
            was_unfenced=is_late and self._fencing_token <= self._token_before,
        )
        self._running[call.task] = record
        self._records.append(record)
        return self._success()

    def _stop_run(self, call: ExecutorCall) -> Answer:
        """End a run; a start of it that arrives later is rejected."""
        known = self._highest_runs.get(call.task, 0)
        self._highest_runs[call.task] = max(known, call.run)
        record = self._running.get(call.task)
        if record is not None and record.run == call.run:
            self._end(record, "stopped")
        return self._success()

    async def _poll(self, call: ExecutorCall, is_late: bool) -> Answer:
        """Extend the lease, drop acknowledged ends, report all others."""
        self._extend_lease(call)
        for number in list(self._unacked_ends):
            if number <= call.last_seen:
                record = self._unacked_ends.pop(number)
                record.acknowledged = time.time()
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
        ended: list[list[Any]] = []
        for number, record in self._unacked_ends.items():
            if len(ended) == ENDS_PER_ANSWER:
                break
            ended.append([number, record.task, record.run, record.how, ""])
            record.is_listed = record.is_listed or not is_late
        return self._success(running=running, ended=ended)

    def _extend_lease(self, call: ExecutorCall) -> None:
        """Extend the lease to the call's deadline, within the longest."""
        if call.deadline_ms is None:
            return
        longest_ms = self._clock_ms() + LEASE_MAX_MS
        deadline_ms = min(call.deadline_ms, longest_ms)
        self._deadline_ms = max(self._deadline_ms, deadline_ms)

    def _end(self, record: RunRecord, outcome: str) -> None:
        """End a run and report its end."""
        del self._running[record.task]
        record.ended = time.time()
        record.how = outcome
        self._end_count += 1
        self._unacked_ends[self._end_count] = record
        self._changed.set()
        self._changed = asyncio.Event()

    def _progress(self, record: RunRecord) -> float:
        """Return the part of its run time that a run has completed."""
        duration_s = self._work.duration_s(record.task)
        return (time.time() - record.began) / duration_s

    def _clock_ms(self) -> int:
        """Return the incarnation's own clock in milliseconds."""
        age_s = time.monotonic() - self._started_at
        return int(age_s * self._clock_rate * 1000)

    def _success(self, **content: Any) -> Answer:
        """Return a success answer with the clock.

        Only lists of runs name the incarnation.
        """
        content["clock_ms"] = self._clock_ms()
        if "running" in content:
            content["born"] = self.born_ms
        return json_answer(200, content)

    def _reject(self, reason: str) -> Answer:
        """Return an answer that rejects the call."""
        return json_answer(
            409, {"clock_ms": self._clock_ms(), "reason": reason}
        )
