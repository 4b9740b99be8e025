"""Stand-ins for the executors and for the list of machines."""

from __future__ import annotations

import asyncio
import json
import secrets
import time
from typing import TYPE_CHECKING, Any

from httpd import HttpServer

if TYPE_CHECKING:
    from collections.abc import Callable

    from store import Store

HEARTBEAT_S = 1.5
# The platform removes the entry of an executor that was silent for so long.
SILENCE_S = 3 * HEARTBEAT_S
CHECK_S = 0.01
ENDS_PER_ANSWER = 500
HOLD_MAX_MS = 6000
STOP_GRACE_S = 0.2
MIGRATE_S = 1.5
MAINTENANCE_S = 2.0


class Run:
    """One run of a work unit, as the executor sees it."""

    def __init__(self, executor: Executor, task: str, run: int) -> None:
        self.executor = executor
        self.task = task
        self.run = run
        self.began = time.monotonic()
        self.ended: float | None = None
        self.how = ""
        # The number of its end, and when `last_seen` reached it.
        self.number = 0
        self.noted: float | None = None
        self.stopping_at: float | None = None


class Executor:
    """One life of a machine, listening on its own port."""

    def __init__(
        self, fleet: Fleet, machine: str, pool: str, executor_id: str = ""
    ) -> None:
        self.fleet = fleet
        self.id = executor_id or "w" + secrets.token_hex(6)
        self.machine = machine
        self.pool = pool
        # Its kind and its rack.
        self.labels = ["a", "r1-1"]
        # How long after its start it writes its first entry.
        self.registers_after_s = 0.0
        self.born = int(time.time() * 1000)
        self.is_up = True
        self.fence = 0
        self.deadline_ms = 0
        self.running: dict[str, Run] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[Run] = []
        self.count = 0
        self.sequence = 0
        # When its lease was seen to have expired.
        self.lapses: list[float] = []
        self._changed = asyncio.Event()
        self.server = HttpServer(self._handle)

    def clock_ms(self) -> int:
        """Return the executor's steady clock, which began at its start."""
        return int(time.time() * 1000) - self.born + 1000

    def heartbeat(self) -> None:
        """Write the entry in the store."""
        self.sequence += 1
        self.fleet.store.put(
            "servers",
            self.id,
            {
                "service": self.pool,
                "address": self.server.address,
                "zone": "z1",
                "version": "1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "seq_no": self.sequence,
                "born": self.born,
                "machine": self.machine,
                "labels": self.labels,
                "capacity": self.fleet.capacity,
            },
        )

    async def live(self) -> None:
        """Send heartbeats and end runs until the executor ends."""
        next_beat = time.monotonic() + self.registers_after_s
        while self.is_up:
            now = time.monotonic()
            if now >= next_beat:
                self.heartbeat()
                next_beat = now + HEARTBEAT_S
            has_lapsed = self.clock_ms() > self.deadline_ms
            if has_lapsed:
                self.lapses.append(now)
            for run in list(self.running.values()):
                if has_lapsed:
                    self._end(run, "lapsed")
                elif run.stopping_at is not None:
                    if now >= run.stopping_at:
                        self._end(run, "stopped")
                elif self.fleet.lasts(run.task):
                    continue
                elif now - run.began >= self.fleet.work_s(run.task):
                    has_failed = self.fleet.fails(run.task)
                    self._end(run, "failed" if has_failed else "done")
            await asyncio.sleep(CHECK_S)

    def terminate(self) -> None:
        """End everything at once: the machine is moved or maintained."""
        self.is_up = False
        for run in list(self.running.values()):
            del self.running[run.task]
            run.ended = time.monotonic()
            run.how = "gone"
        self.server.stop()

    async def _handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, Any] | None:
        if headers.get("expected-instance", self.id) != self.id:
            return 421, {"clock_ms": self.clock_ms()}
        call = json.loads(body or b"{}")
        if call.get("fencing_token", 0) < self.fence:
            return self._reject("fence")
        self.fence = call.get("fencing_token", 0)
        if target == "/v1/run-start":
            return self._start(call)
        if target == "/v1/run-stop":
            return self._stop(call)
        if target == "/v1/pace":
            return 200, {"clock_ms": self.clock_ms()}
        if target == "/v1/hold":
            return await self._hold(call)
        return 404, {"clock_ms": self.clock_ms()}

    def _extend(self, deadline_ms: int | None) -> None:
        if deadline_ms is not None:
            allowed = min(deadline_ms, self.clock_ms() + HOLD_MAX_MS)
            self.deadline_ms = max(self.deadline_ms, allowed)

    def _start(self, call: dict[str, Any]) -> tuple[int, Any]:
        task, run = call["task"], call["run"]
        self.fleet.log("order-start", executor=self.id, task=task, run=run)
        present = self.running.get(task)
        if present is not None and present.run == run:
            return 200, {"clock_ms": self.clock_ms()}
        if run <= self.highest.get(task, 0) or present is not None:
            self._extend(call.get("deadline_ms"))
            return self._reject("old")
        if call.get("deadline_ms", 0) < self.clock_ms():
            return self._reject("late")
        self._extend(call["deadline_ms"])
        self.highest[task] = run
        started = Run(self, task, run)
        self.running[task] = started
        self.fleet.runs.append(started)
        self.fleet.log("run-began", executor=self.id, task=task, run=run)
        return 200, {"clock_ms": self.clock_ms()}

    def _stop(self, call: dict[str, Any]) -> tuple[int, Any]:
        task, run = call["task"], call["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        present = self.running.get(task)
        if present is not None and present.run == run:
            present.stopping_at = time.monotonic() + STOP_GRACE_S
        return 200, {"clock_ms": self.clock_ms()}

    async def _hold(self, call: dict[str, Any]) -> tuple[int, Any]:
        self._extend(call.get("deadline_ms"))
        last_seen = call.get("last_seen", 0)
        now = time.monotonic()
        for run in self.ended:
            if run.number <= last_seen and run.noted is None:
                run.noted = now
                self.fleet.log(
                    "end-noted", executor=self.id, task=run.task, run=run.run
                )
        self.ended = [run for run in self.ended if run.number > last_seen]
        wait_s = min(call.get("wait_ms", 0), 2000) / 1000
        if not self.ended and wait_s:
            changed = self._changed
            try:
                async with asyncio.timeout(wait_s):
                    await changed.wait()
            except TimeoutError:
                pass
        running = []
        for run in self.running.values():
            share = (time.monotonic() - run.began) / self.fleet.work_s(
                run.task
            )
            percent = min(99, int(share * 100))
            if self.fleet.lasts(run.task):
                percent = 100
            running.append([run.task, run.run, "", percent, 0])
        ended = [
            [run.number, run.task, run.run, run.how, ""] for run in self.ended
        ]
        return 200, {
            "clock_ms": self.clock_ms(),
            "born": self.born,
            "running": running,
            "ended": ended[:ENDS_PER_ANSWER],
        }

    def _end(self, run: Run, how: str) -> None:
        del self.running[run.task]
        run.ended = time.monotonic()
        run.how = how
        self.count += 1
        run.number = self.count
        self.ended.append(run)
        self._changed.set()
        self._changed = asyncio.Event()
        self.fleet.log(
            "run-ended", executor=self.id, task=run.task, run=run.run, how=how
        )

    def _reject(self, reason: str) -> tuple[int, Any]:
        return 409, {"clock_ms": self.clock_ms(), "reason": reason}


class Fleet:
    """All machines, and the platform's calls about them."""

    def __init__(
        self,
        store: Store,
        capacity: dict[str, int],
        work_s: Callable[[str], float],
        log: Callable[..., None],
    ) -> None:
        self.store = store
        self.capacity = capacity
        self.work_s = work_s
        # Whether a work unit fails by its own fault, each time.
        self.fails: Callable[[str], bool] = lambda task: False
        # Whether it lasts until it is stopped.
        self.lasts: Callable[[str], bool] = lambda task: False
        self.log = log
        # All runs, in the order of their starts.
        self.runs: list[Run] = []
        self.machines: dict[str, Executor] = {}
        # The states of machines that are not up.
        self._states: dict[str, str] = {}
        self._fences: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.server = HttpServer(self._handle)

    async def add(self, machine: str, pool: str) -> Executor:
        """Start an executor on a machine."""
        executor = Executor(self, machine, pool)
        await executor.server.start()
        self.machines[machine] = executor
        self._states.pop(machine, None)
        self._spawn(executor.live())
        return executor

    def crash(self, machine: str) -> Executor:
        """Crash a machine's executor: its channels are reset."""
        executor = self.machines[machine]
        executor.terminate()
        self._states[machine] = "down"
        self._spawn(self._expire(executor, SILENCE_S))
        self.log("crash", machine=machine, executor=executor.id)
        return executor

    async def restart(
        self, former: Executor, kind: str, registers_after_s: float
    ) -> Executor:
        """Start a crashed executor again, under its id and its address."""
        executor = Executor(self, former.machine, former.pool, former.id)
        executor.labels = [kind, former.labels[1]]
        executor.registers_after_s = registers_after_s
        executor.server.port = former.server.port
        await executor.server.start()
        self.machines[former.machine] = executor
        self._states.pop(former.machine, None)
        self.log(
            "restart",
            machine=former.machine,
            executor=executor.id,
            born=executor.born,
            labels=executor.labels,
        )
        self._spawn(executor.live())
        return executor

    async def _expire(self, executor: Executor, silence_s: float) -> None:
        """Remove the entry of an executor that has ended, after a silence."""
        await asyncio.sleep(silence_s)
        present = self.machines[executor.machine]
        if present is executor or present.id != executor.id:
            self.store.remove("servers", executor.id)

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, Any] | None:
        await asyncio.sleep(0.004)
        if target.startswith("/v1/machines"):
            return 200, {"machines": self._list()}
        call = json.loads(body or b"{}")
        executor = self.machines.get(call.get("machine", ""))
        if executor is None:
            return 400, {}
        machine = executor.machine
        fence = int(headers.get("fencing-token", "0"))
        if fence < self._fences.get(machine, 0):
            return 409, {"reason": "fence"}
        self._fences[machine] = fence
        if machine in self._states:
            return 409, {"reason": "busy"}
        if target == "/v1/machine-move":
            pool = call["pool"]
            if executor.pool == pool:
                return 200, {}
            state, pause_s = "moving", MIGRATE_S
        elif target == "/v1/machine-upkeep":
            return 409, {"reason": "wave"}
        else:
            return 404, {}
        self.log("machine-move", machine=machine, pool=pool)
        self._states[machine] = state
        executor.terminate()
        self._spawn(self._expire(executor, 0.0))
        executor.pool = pool
        self._spawn(self._return(machine, pool, pause_s))
        return 200, {}

    async def _return(self, machine: str, pool: str, pause_s: float) -> None:
        await asyncio.sleep(pause_s)
        await self.add(machine, pool)

    def _list(self) -> list[dict[str, Any]]:
        return [
            {
                "machine": machine,
                "pool": executor.pool,
                "state": self._states.get(machine, "up"),
                "zone": "z1",
                "labels": executor.labels,
                "capacity": self.capacity,
                "id": "" if machine in self._states else executor.id,
            }
            for machine, executor in self.machines.items()
        ]


def find_starts_over_budget(runs: list[Run], max_attempts: int) -> list[str]:
    """Return the breaches of the rule BUDGET, as the executors saw them."""
    found = []
    failed: dict[str, list[Run]] = {}
    for run in runs:
        former = failed.setdefault(run.task, [])
        ended = [each for each in former if _has_failed_by(each, run.began)]
        if len(ended) >= max_attempts:
            found.append(
                f"{run.task}: run {run.run} began on {run.executor.id} after "
                f"{len(ended)} runs had ended failed"
            )
        former.append(run)
    return found


def _has_failed_by(run: Run, moment: float) -> bool:
    """Whether a run had ended failed, and that end was taken note of."""
    if run.how != "failed" or run.ended is None or run.ended > moment:
        return False
    return _is_taken_note_of(run)


def _is_taken_note_of(run: Run) -> bool:
    """Whether `last_seen` reached an end, without a lapse in between."""
    if run.ended is None or run.noted is None:
        return False
    lapses = run.executor.lapses
    return not any(run.ended <= at <= run.noted for at in lapses)


def find_second_runs(runs: list[Run]) -> list[str]:
    """Return the breaches of the rule TWICE, as the executors saw them."""
    found = []
    by_task: dict[str, list[Run]] = {}
    for run in runs:
        for former in by_task.setdefault(run.task, []):
            if former.ended is None or former.ended > run.began:
                found.append(
                    f"{run.task}: run {run.run} began on {run.executor.id} "
                    f"while run {former.run} was at work on "
                    f"{former.executor.id}"
                )
            elif former.how == "done" and _is_taken_note_of(former):
                found.append(
                    f"{run.task}: run {run.run} began "
                    f"{run.began - former.ended:.2f} s after run "
                    f"{former.run} had ended done; that end was noted"
                )
        by_task[run.task].append(run)
    return found
