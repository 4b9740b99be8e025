"""Stand-ins for the machines, their executors and the machines' interface.

They follow PROTOCOL.md ("Running work units", "Machines", "Service
discovery").  What an executor does with a work unit is a function that a
case gives: how long it works, and how it ends.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from testbed.wire import Call, WireServer

if TYPE_CHECKING:
    from testbed.record import Record
    from testbed.store import Store

__all__ = ["Executor", "Fleet", "Machine", "Work"]

TICK_S = 0.01
BEAT_S = 1.5
# An entry is removed after three intervals of silence.
SILENCE_S = 3 * BEAT_S
ENDS_MAX = 500
STARTUP_S = 0.5


class Work:
    """What a run of a work unit does: how long, and how it ends."""

    __slots__ = ("how", "lasts", "seconds")

    def __init__(
        self, seconds: float, how: str = "done", *, lasts: bool = False
    ) -> None:
        self.seconds = seconds
        self.how = how
        # A work unit that lasts is at work after a short startup.
        self.lasts = lasts


Worker = Callable[[str, int, str], Work]


class _Run:
    __slots__ = ("began", "came", "run", "stops_at", "task", "work")

    def __init__(self, task: str, run: int, work: Work) -> None:
        self.task = task
        self.run = run
        self.work = work
        self.came = time.monotonic()
        # When it began to work; None while its gang isn't complete.
        self.began: float | None = self.came
        self.stops_at: float | None = None

    def percent(self, now: float) -> int:
        """Return how far it is; 100 for one that lasts and is at work."""
        if self.began is None:
            return 0
        if self.work.lasts:
            return min(100, int(100 * (now - self.began) / STARTUP_S))
        return min(99, int(100 * (now - self.began) / self.work.seconds))


class Machine:
    """One machine; its executor lives as long as nothing ends it."""

    def __init__(
        self, name: str, pool: str, rack: str, zone: str, cores: int
    ) -> None:
        self.name = name
        self.pool = pool
        self.state = "up"
        self.zone = zone
        self.labels = ["a", rack]
        self.capacity = {"cpu": cores * 1000, "mem_mb": 131072, "gpu": 0}
        self.executor: Executor | None = None
        # The highest fence number and the last order that was accepted.
        self.fence = 0
        self.waves_done: set[int] = set()


class Executor:
    """One life of a machine."""

    def __init__(self, fleet: Fleet, machine: Machine, number: int) -> None:
        self._fleet = fleet
        self.machine = machine
        self.id = f"i-{number:04x}{machine.name.removeprefix('m-')}"
        self.born_ms = int(time.time() * 1000)
        self._born = time.monotonic()
        self._fence = 0
        self._deadline_ms = 0
        self._runs: dict[str, _Run] = {}
        self._highest: dict[str, int] = {}
        self._ended: list[list[Any]] = []
        self._end_number = 0
        self._changed = asyncio.Event()
        self._server = WireServer(self._handle, self.id)
        self._sequence = 0
        self._task: asyncio.Task[None] | None = None
        self.has_ended = False
        # Handles calls in place of `answer`, to disturb them.
        self.on_call: (
            Callable[[Executor, Call], Awaitable[tuple[int, Any] | None]]
            | None
        ) = None

    @property
    def clock_ms(self) -> int:
        """Its own steady clock."""
        return int((time.monotonic() - self._born) * 1000)

    async def start(self) -> None:
        """Begin to listen and to report."""
        await self._server.start()
        self._task = asyncio.create_task(self._live())

    def end(self, why: str) -> None:
        """End at once, with everything that runs."""
        if self.has_ended:
            return
        self.has_ended = True
        if self._task is not None:
            self._task.cancel()
        self._server.stop()
        self._fleet.record.add(
            "executor-ends", executor=self.id, why=why, runs=len(self._runs)
        )
        lost = list(self._runs.values())
        self._runs.clear()
        for run in lost:
            self._fleet.on_end(self.id, run.task, run.run, "lost")
        for run in lost:
            self._fleet.end_gang(run, "broken")

    @property
    def running(self) -> int:
        """How many runs are on it."""
        return len(self._runs)

    async def _live(self) -> None:
        beat_at = 0.0
        while True:
            now = time.monotonic()
            if now >= beat_at:
                beat_at = now + BEAT_S
                self._beat()
            for run in list(self._runs.values()):
                if self.clock_ms > self._deadline_ms:
                    self._finish(run, "lapsed")
                elif run.stops_at is not None and now >= run.stops_at:
                    self._finish(run, "stopped")
                elif run.began is None:
                    if now - run.came >= self._fleet.gang_wait_s:
                        self._finish(run, "alone")
                elif now - run.began >= run.work.seconds:
                    self._finish(run, run.work.how)
            await asyncio.sleep(TICK_S)

    def _beat(self) -> None:
        self._sequence += 1
        self._fleet.store.put(
            "servers",
            self.id,
            {
                "service": self.machine.pool,
                "address": self._server.address,
                "zone": self.machine.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": self.machine.capacity,
                "labels": self.machine.labels,
                "machine": self.machine.name,
                "clock_ms": self.clock_ms,
                "born": self.born_ms,
                "seq_no": self._sequence,
            },
        )

    def find(self, run: _Run) -> bool:
        """Whether a run is here."""
        return self._runs.get(run.task) is run

    def finish(self, run: _Run, how: str) -> None:
        """End a run that is here; its gang ends with it."""
        self._finish(run, how)

    def _finish(self, run: _Run, how: str) -> None:
        if self._runs.get(run.task) is not run:
            return
        del self._runs[run.task]
        self._end_number += 1
        self._ended.append([self._end_number, run.task, run.run, how, ""])
        self._fleet.on_end(self.id, run.task, run.run, how)
        self._changed.set()
        self._changed = asyncio.Event()
        if how != "alone":
            self._fleet.end_gang(run, "done" if how == "done" else "broken")

    async def _handle(self, call: Call) -> tuple[int, Any] | None:
        if self.on_call is not None:
            return await self.on_call(self, call)
        return await self.answer(call)

    async def answer(self, call: Call) -> tuple[int, Any] | None:
        """Answer a call."""
        if call.path == "/healthz":
            return 200, {}
        expected = call.headers.get("expected-instance")
        if expected is not None and expected != self.id:
            return 421, {"clock_ms": self.clock_ms}
        message = call.message
        fence = message.get("fencing_token", 0)
        if fence < self._fence:
            return self._reject("fence")
        self._fence = fence
        if call.path == "/v1/run-start":
            return self._start_run(message)
        if call.path == "/v1/run-stop":
            return self._stop_run(message)
        if call.path == "/v1/hold":
            return await self._hold(message)
        if call.path == "/v1/pace":
            return 200, self._content()
        return 404, {}

    def _start_run(self, message: dict[str, Any]) -> tuple[int, Any]:
        task, run = message["task"], message["run"]
        self._extend(message.get("deadline_ms"))
        known = self._runs.get(task)
        if known is not None and known.run == run:
            return 200, self._content()
        if known is not None or run <= self._highest.get(task, 0):
            return self._reject("old")
        if self.clock_ms > message["deadline_ms"]:
            return self._reject("late")
        self._highest[task] = run
        work = self._fleet.worker(task, run, self.id)
        started = _Run(task, run, work)
        self._runs[task] = started
        self._fleet.on_start(self.id, task, run, message["fencing_token"])
        self._fleet.join_gang(self, started)
        return 200, self._content()

    def _stop_run(self, message: dict[str, Any]) -> tuple[int, Any]:
        task, run = message["task"], message["run"]
        self._highest[task] = max(self._highest.get(task, 0), run)
        known = self._runs.get(task)
        if known is not None and known.run == run and known.stops_at is None:
            known.stops_at = time.monotonic() + self._fleet.stop_grace_s / 2
        return 200, self._content()

    async def _hold(self, message: dict[str, Any]) -> tuple[int, Any]:
        self._extend(message.get("deadline_ms"))
        seen = message.get("last_seen", 0)
        for end in self._ended:
            if end[0] <= seen:
                self._fleet.on_seen(self.id, end[1], end[2])
        self._ended = [end for end in self._ended if end[0] > seen]
        wait_ms = min(2000, message.get("wait_ms", 0))
        if wait_ms and not self._ended:
            changed = self._changed
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await changed.wait()
            except TimeoutError:
                pass
        content = self._content()
        now = time.monotonic()
        content["running"] = [
            [
                run.task,
                run.run,
                "",
                run.percent(now),
                0,
            ]
            for run in self._runs.values()
        ]
        content["ended"] = self._ended[:ENDS_MAX]
        return 200, content

    def _extend(self, deadline_ms: int | None) -> None:
        if deadline_ms is None:
            return
        limit = self.clock_ms + self._fleet.hold_max_ms
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, limit))

    def _content(self) -> dict[str, Any]:
        return {"clock_ms": self.clock_ms, "born": self.born_ms}

    def _reject(self, reason: str) -> tuple[int, Any]:
        return 409, {**self._content(), "reason": reason}


class Fleet:
    """All machines, and the interface that lists, moves and upkeeps them."""

    def __init__(
        self,
        store: Store,
        record: Record,
        *,
        hold_max_ms: int = 6000,
        stop_grace_s: float = 0.4,
        migrate_s: float = 1.5,
        maintenance_s: float = 2.0,
        require_fencing: bool = True,
    ) -> None:
        self.store = store
        self.record = record
        self.hold_max_ms = hold_max_ms
        self.stop_grace_s = stop_grace_s
        self._migrate_s = migrate_s
        self._maintenance_s = maintenance_s
        self.require_fencing = require_fencing
        self.machines: dict[str, Machine] = {}
        self.worker: Worker = lambda task, run, executor: Work(1.0)
        # Runs by work unit: [executor, run, start, end or None, how].
        self.runs: dict[str, list[list[Any]]] = {}
        # The accepted orders about machines: time, machine, what, holder and
        # fence number.
        self.orders: list[tuple[float, str, str, str, int]] = []
        # The number of members of the steps that are gangs, and the members
        # that are there, by step and run.
        self.gangs: dict[str, int] = {}
        self.gang_wait_s = 3.0
        self._members: dict[tuple[str, int], list[tuple[Executor, _Run]]] = {}
        self._executors = 0
        self._server = WireServer(self._handle, "machines")
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """The address of the machines' interface."""
        return self._server.address

    async def start(self) -> None:
        """Listen."""
        await self._server.start()

    def stop(self) -> None:
        """Stop all executors and the interface."""
        for task in self._tasks:
            task.cancel()
        for machine in self.machines.values():
            if machine.executor is not None:
                machine.executor.end("the test ends")
        self._server.stop()

    async def add(
        self,
        name: str,
        pool: str,
        *,
        rack: str = "r1-1",
        zone: str = "z1",
        cores: int = 64,
        standby: bool = False,
    ) -> Machine:
        """Add a machine; in a standby pool it is off."""
        machine = Machine(name, pool, rack, zone, cores)
        self.machines[name] = machine
        if not standby:
            await self._revive(machine)
        self.record.add("machine-added", machine=name, pool=pool)
        return machine

    async def crash(self, machine: Machine, down_s: float) -> None:
        """Crash the executor of a machine; a new life comes later."""
        executor = machine.executor
        assert executor is not None
        machine.executor = None
        machine.state = "down"
        executor.end("crash")
        self._spawn(self._forget(executor))

        async def come_back() -> None:
            await asyncio.sleep(down_s)
            machine.state = "up"
            await self._revive(machine)

        self._spawn(come_back())

    def on_start(self, executor: str, task: str, run: int, fence: int) -> None:
        """Note the start of a run."""
        self.runs.setdefault(task, []).append(
            [executor, run, time.monotonic(), None, ""]
        )
        self.record.add(
            "start", task=task, run=run, executor=executor, fence=fence
        )

    def on_seen(self, executor: str, task: str, run: int) -> None:
        """Note that an end was taken note of."""

    def on_end(self, executor: str, task: str, run: int, how: str) -> None:
        """Note the end of a run."""
        for each in self.runs.get(task, []):
            if each[:2] == [executor, run] and each[3] is None:
                each[3] = time.monotonic()
                each[4] = how
        self.record.add("end", task=task, run=run, executor=executor, how=how)

    def join_gang(self, executor: Executor, run: _Run) -> None:
        """Let a member wait for the others; all begin together."""
        step = run.task.rpartition(".")[0]
        if step not in self.gangs:
            return
        run.began = None
        members = self._members.setdefault((step, run.run), [])
        members.append((executor, run))
        present = [member for where, member in members if where.find(member)]
        if len(present) == self.gangs[step]:
            now = time.monotonic()
            for member in present:
                member.began = now

    def end_gang(self, run: _Run, how: str) -> None:
        """End the other members of a run's gang."""
        key = (run.task.rpartition(".")[0], run.run)
        for executor, member in self._members.pop(key, []):
            if executor.find(member):
                executor.finish(member, how)

    # --- The interface.

    async def _handle(self, call: Call) -> tuple[int, Any] | None:
        await asyncio.sleep(0.004)
        if call.path == "/v1/machines":
            rows = [
                {
                    "machine": machine.name,
                    "pool": machine.pool,
                    "state": machine.state,
                    "zone": machine.zone,
                    "labels": machine.labels,
                    "capacity": machine.capacity,
                    "id": machine.executor.id if machine.executor else None,
                }
                for machine in self.machines.values()
            ]
            return 200, {"machines": rows, "next_token": None}
        holder = call.headers.get("duty-holder", "")
        fence = int(call.headers.get("fencing-token", "0"))
        message = call.message
        what = call.path.rpartition("/")[2]
        answer = self._order(what, message, fence)
        self.record.add(
            "machine-order",
            machine=message.get("machine"),
            what=what,
            pool=message.get("pool", ""),
            wave=message.get("wave", 0),
            holder=holder,
            fence=fence,
            status=answer[0],
            reason=answer[1].get("reason", ""),
        )
        if answer[0] == 200:
            self.orders.append(
                (time.monotonic(), message["machine"], what, holder, fence)
            )
        return answer

    def _order(
        self, what: str, message: dict[str, Any], fence: int
    ) -> tuple[int, dict[str, Any]]:
        machine = self.machines.get(message.get("machine", ""))
        if machine is None:
            return 400, {}
        if self.require_fencing and fence < machine.fence:
            return 409, {"reason": "fence"}
        machine.fence = max(machine.fence, fence)
        if what == "machine-move":
            if machine.pool == message["pool"]:
                return 200, {}
            if machine.state != "up":
                return 409, {"reason": "busy"}
            machine.pool = message["pool"]
            self._renew(machine, "moving", self._migrate_s)
            return 200, {}
        wave = self.store.get("op", f"wave/{message['wave']}")
        if wave is None or machine.name not in wave["machines"]:
            return 409, {"reason": "wave"}
        if message["wave"] in machine.waves_done:
            return 200, {}
        if machine.state != "up":
            return 409, {"reason": "busy"}
        machine.waves_done.add(message["wave"])
        self._renew(machine, "upkeep", self._maintenance_s)
        return 200, {}

    def _renew(self, machine: Machine, state: str, seconds: float) -> None:
        """End the executor; a new one comes after some seconds."""
        machine.state = state
        executor = machine.executor
        machine.executor = None
        if executor is not None:
            executor.end(state)
            self.store.drop("servers", executor.id)

        async def come_back() -> None:
            await asyncio.sleep(seconds)
            machine.state = "up"
            if machine.pool not in self.standby_pools:
                await self._revive(machine)

        self._spawn(come_back())

    @property
    def standby_pools(self) -> set[str]:
        """The services whose machines are off."""
        config = self.store.get("op", "config") or {"services": []}
        return {
            each["name"] for each in config["services"] if each.get("standby")
        }

    async def _revive(self, machine: Machine) -> None:
        self._executors += 1
        executor = Executor(self, machine, self._executors)
        machine.executor = executor
        await executor.start()

    async def _forget(self, executor: Executor) -> None:
        await asyncio.sleep(SILENCE_S)
        self.store.drop("servers", executor.id)

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
