"""A stand-in for the platform's placement hint service, and its tickets.

It follows the platform's published protocol: a call takes a fixed time and
more for each executor that it names, calls are handled one after another, and
a ticket is good for all tasks of a step on one incarnation of an executor, for
a limited time.
The answer doesn't state that time, which is in the queue's configuration.
"""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, Final

import msgspec

from lycheelug.http import Answer, json_answer

if TYPE_CHECKING:
    from lycheelug.http import Request

__all__ = ["HINT", "HintTickets"]

# The `hint` of the queue, in milliseconds.
HINT: Final[dict[str, int]] = {
    "decide_ms": 20,
    "period_ms": 1,
    "valid_ms": 1500,
}
EXECUTORS_MAX: Final = 100
WAITING_MAX: Final = 32


class HintTickets:
    """Gives tickets, and checks them for the executors."""

    def __init__(self, allowed: set[str]) -> None:
        # The executors that may run the steps.
        self._allowed = allowed
        # Step, executor, and the time at which a ticket ends, by ticket.
        self._tickets: dict[str, tuple[str, str, float]] = {}
        self._given = 0
        self._turn = asyncio.Lock()
        self._waiting = 0
        self.calls = 0
        # Starts that were rejected for their tickets.
        self.rejected = 0

    async def advise(self, request: Request) -> Answer:
        """Answer a call for the executors that may run a step."""
        call: dict[str, Any] = msgspec.json.decode(request.body)
        executors = call["workers"]
        if len(executors) > EXECUTORS_MAX:
            return json_answer(400, {"error": "workers: too many"})
        if self._waiting >= WAITING_MAX:
            return json_answer(429, {"error": "too many calls"})
        self.calls += 1
        self._waiting += 1
        try:
            async with self._turn:
                call_ms = HINT["decide_ms"]
                call_ms += HINT["period_ms"] * len(executors)
                await asyncio.sleep(call_ms / 1000)
        finally:
            self._waiting -= 1
        rows: list[list[str]] = []
        ends_at = time.monotonic() + HINT["valid_ms"] / 1000
        for executor_id in executors:
            if executor_id not in self._allowed:
                continue
            self._given += 1
            ticket = f"ticket-{self._given}"
            self._tickets[ticket] = (call["step"], executor_id, ends_at)
            rows.append([executor_id, ticket])
        return json_answer(200, {"allowed": rows})

    def revoke(self, executor_id: str) -> None:
        """Drop the tickets for an executor's former incarnation."""
        for ticket, (_, holder, _) in list(self._tickets.items()):
            if holder == executor_id:
                del self._tickets[ticket]

    def accept(self, task: str, executor_id: str, ticket: str) -> bool:
        """Return whether a start may use a ticket; count it if not."""
        step = task.rpartition(".")[0]
        found = self._tickets.get(ticket)
        is_valid = (
            found is not None
            and found[:2] == (step, executor_id)
            and time.monotonic() < found[2]
        )
        self.rejected += not is_valid
        return is_valid
