"""A stand-in for one executor of the users' platform, and its faults.

It may crash and start again under its id and address.  The id doesn't tell
its incarnations apart, so whichever is there carries out a call:

* A crash closes the connections, unless it is *dark*.  In a dark crash calls
  that arrive meanwhile wait, and the next incarnation carries them out.
* While it is cut off, calls and answers are lost; the runs go on while their
  lease lasts.
* A share of the calls gets no answer and is carried out some seconds later.

What is random is drawn from the given source.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Final

import msgspec

from lycheelug.http import Answer, HttpServer, find_header, json_answer
from standins.incarnation import ExecutorCall, Incarnation

if TYPE_CHECKING:
    import random

    from lycheelug.http import Request
    from standins.hint_tickets import HintTickets
    from standins.incarnation import SimulatedWork
    from standins.run_records import RunRecord

__all__ = ["TaskExecutor"]

HOST: Final = "127.0.0.1"
CHECK_INTERVAL_S: Final = 0.02
STATUS_WRONG_INSTANCE: Final = 421
# An executor's clock may be so much slower than a right one.
CLOCK_RATE_MIN: Final = 0.98
# How long after their arrival late calls are carried out.
LATE_MIN_S: Final = 0.3
LATE_MAX_S: Final = 4.0


class TaskExecutor:
    """One executor, listening on its own port."""

    def __init__(
        self,
        executor_id: str,
        work: SimulatedWork,
        records: list[RunRecord],
        tickets: HintTickets,
        rng: random.Random,
    ) -> None:
        self.executor_id = executor_id
        # The share of calls that are carried out late.
        self.late_share = 0.0
        self._work = work
        self._records = records
        self._tickets = tickets
        self._rng = rng
        # The highest fencing token of all calls that have arrived.
        self._highest_token = 0
        self._incarnation = self._create_incarnation()
        # Set unless a dark crash lasts.
        self._accepts_calls = asyncio.Event()
        self._accepts_calls.set()
        # How many cuts last.
        self._cuts = 0
        # A bound socket keeps the port while nobody listens on it.
        self._port_holder = socket.socket()
        self._port_holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._port_holder.bind((HOST, 0))
        self._port: int = self._port_holder.getsockname()[1]
        self._server = HttpServer(self._handle)
        # Calls in progress, which go on if their callers disconnect.
        self._calls: set[asyncio.Task[Answer | None]] = set()

    @property
    def address(self) -> str:
        """The address that it listens on, in all incarnations."""
        return f"{HOST}:{self._port}"

    @property
    def is_up(self) -> bool:
        """Whether an incarnation is there."""
        return self._incarnation.is_up

    @property
    def is_reported_up(self) -> bool:
        """Whether the list of hosts says so; a dark crash isn't seen."""
        return self.is_up or not self._accepts_calls.is_set()

    @property
    def born_ms(self) -> int:
        """The start of the latest incarnation, in Unix milliseconds."""
        return self._incarnation.born_ms

    async def run(self) -> None:
        """End runs that are done or without a lease, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self.is_up:
                self._incarnation.end_runs()

    async def start(self) -> None:
        """Listen on its port."""
        await self._server.start(HOST, self._port)

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()
        self._port_holder.close()
        for call in self._calls:
            call.cancel()

    def next_sequence(self) -> int:
        """Return the number of the incarnation's next entry."""
        self._incarnation.sequence += 1
        return self._incarnation.sequence

    async def restart(self, pause_s: float, is_dark: bool) -> None:
        """Crash, and start again after a pause."""
        self._incarnation.crash()
        if is_dark:
            self._accepts_calls.clear()
        else:
            self._server.stop()
        await asyncio.sleep(pause_s)
        self._tickets.revoke(self.executor_id)
        self._incarnation = self._create_incarnation()
        if is_dark:
            self._accepts_calls.set()
            return
        self._server = HttpServer(self._handle)
        await self.start()

    async def cut_off(self, duration_s: float) -> None:
        """Lose all calls and answers for a time."""
        self._cuts += 1
        await asyncio.sleep(duration_s)
        self._cuts -= 1

    def _create_incarnation(self) -> Incarnation:
        """Return an incarnation that starts now."""
        return Incarnation(
            self.executor_id,
            self._work,
            self._records,
            self._tickets,
            self._rng.uniform(CLOCK_RATE_MIN, 1.0),
            self._highest_token,
        )

    async def _handle(self, request: Request) -> Answer:
        """Answer one call, or wait until its caller has disconnected."""
        expected = find_header(request.headers, b"expected-instance")
        if expected != self.executor_id.encode():
            return json_answer(STATUS_WRONG_INSTANCE, {"reason": "instance"})
        try:
            call = msgspec.json.decode(request.body, type=ExecutorCall)
        except msgspec.DecodeError as error:
            return json_answer(400, {"reason": str(error)})
        self._highest_token = max(self._highest_token, call.fencing_token)
        if not self._cuts:
            task = asyncio.create_task(self._carry_out(request.target, call))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)
            answer = await asyncio.shield(task)
            if answer is not None and not self._cuts:
                return answer
        await asyncio.Event().wait()
        raise AssertionError("the event is never set")

    async def _carry_out(
        self, target: bytes, call: ExecutorCall
    ) -> Answer | None:
        """Let whichever incarnation is there carry out a call.

        Return None if there is no answer.
        """
        is_late = self._rng.random() < self.late_share
        if is_late:
            delay_s = self._rng.uniform(LATE_MIN_S, LATE_MAX_S)
            await asyncio.sleep(delay_s)
        await self._accepts_calls.wait()
        incarnation = self._incarnation
        if not incarnation.is_up:
            return None
        answer = await incarnation.carry_out(target, call, is_late)
        if is_late or not incarnation.is_up:
            return None
        return answer
