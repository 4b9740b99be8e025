"""One daemon's own access to the store, and its use for other daemons.

After a failed call, a probe retries the access until it works again.  In the
meantime the daemon's own calls go elsewhere.  Calls that it relays for others
are refused if the access doesn't come back at once: their senders try the
next peer instead of waiting for a call that is never answered.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, Final, TypeVar

from returns.result import Failure, Success

from lycheelug.errors import PLATFORM_UNREACHABLE, Fault, Peer, Step
from lycheelug.logs import log_change
from lycheelug.store.rows import RowStore

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Mapping

    from returns.result import Result

    from lycheelug.store.rows import (
        HistoryGone,
        RowCommit,
        RowConflict,
        RowName,
        RowSet,
    )

__all__ = ["DirectAccess", "RowsForPeers"]

T = TypeVar("T")

# The pause between two probes of direct access.
PROBE_S: Final = 0.2
# Peers are refused once the access has been lost for this long: a little
# longer than until the first probe is answered if a single call has failed.
REFUSE_AFTER_S: Final = 0.25
# A probe reads a part that has no rows.
PROBE_TABLE: Final = "owners"
PROBE_PART: Final = "~probe"


class DirectAccess:
    """Whether this daemon's own calls to the store work."""

    __slots__ = (
        "_has_no_access",
        "_is_lost",
        "_on_regained",
        "_probe",
        "_store",
        "_timer",
    )

    def __init__(
        self, store: RowStore, on_regained: Callable[[], None]
    ) -> None:
        self._store = store
        # Called when the access works again.
        self._on_regained = on_regained
        # Set from the first failed call on.
        self._is_lost = asyncio.Event()
        # Set while peers are refused.
        self._has_no_access = asyncio.Event()
        self._probe: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    @property
    def is_lost(self) -> bool:
        """Whether a call has failed, and no probe has worked since."""
        return self._is_lost.is_set()

    @property
    def refuses_peers(self) -> bool:
        """Whether the access has been lost for a while."""
        return self._has_no_access.is_set()

    def record_failure(self, fault: Fault) -> None:
        """Record a failed call; begin to probe."""
        if self._is_lost.is_set():
            return
        log_change("own-way-lost", code=fault.code.name, detail=fault.detail)
        self._is_lost.set()
        loop = asyncio.get_running_loop()
        self._probe = loop.create_task(self._run_probe())
        self._timer = loop.call_later(REFUSE_AFTER_S, self._has_no_access.set)

    async def read(
        self, call: Coroutine[Any, Any, Result[T, Fault]]
    ) -> Result[T, Fault] | None:
        """Make a read; return None once the access is lost."""
        return await _await_unless(call, self._is_lost)

    async def read_for_peer(
        self, call: Coroutine[Any, Any, Result[T, Fault]]
    ) -> Result[T, Fault] | None:
        """Make a read for a peer; return None once peers are refused."""
        return await _await_unless(call, self._has_no_access)

    def close(self) -> None:
        """Stop probing."""
        if self._probe is not None:
            self._probe.cancel()
        if self._timer is not None:
            self._timer.cancel()

    async def _run_probe(self) -> None:
        """Probe the access until it works again."""
        while True:
            await asyncio.sleep(PROBE_S)
            probe = await self._store.read(PROBE_TABLE, PROBE_PART)
            if isinstance(probe, Success):
                break
        log_change("own-way-regained", peer="platform")
        if self._timer is not None:
            self._timer.cancel()
        self._is_lost.clear()
        self._has_no_access.clear()
        self._on_regained()


class RowsForPeers(RowStore):
    """The direct access to the store, for calls that are relayed."""

    __slots__ = ("_access", "_store")

    def __init__(self, store: RowStore, access: DirectAccess) -> None:
        self._store = store
        self._access = access

    async def commit(
        self,
        part: str,
        expected: Mapping[RowName, int],
        writes: Mapping[RowName, bytes | None],
    ) -> Result[RowCommit | RowConflict, Fault]:
        """Write rows, unless the access is known to be lost.

        A write that was begun is waited for, as it may take effect.
        """
        if self._access.refuses_peers:
            return Failure(_no_access(Step.WRITE))
        return await self._store.commit(part, expected, writes)

    async def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[RowSet, Fault]:
        """Return all rows of a part from key `first` to before `end`."""
        return await self._read(self._store.read(table, part, first, end))

    async def parts(self, table: str) -> Result[list[str], Fault]:
        """Return the parts of a table that have rows."""
        return await self._read(self._store.parts(table))

    async def feed(
        self, table: str, after: int, wait_s: float
    ) -> Result[RowSet | HistoryGone, Fault]:
        """Return a table's changes; wait for the first one."""
        return await self._read(self._store.feed(table, after, wait_s))

    async def _read(
        self, call: Coroutine[Any, Any, Result[T, Fault]]
    ) -> Result[T, Fault]:
        """Make a read, or refuse it once the access is lost."""
        result = await self._access.read_for_peer(call)
        if result is None:
            return Failure(_no_access(Step.READ))
        return result


async def _await_unless(
    call: Coroutine[Any, Any, T], event: asyncio.Event
) -> T | None:
    """Return the result of a call, or None once an event is set."""
    if event.is_set():
        call.close()
        return None
    loop = asyncio.get_running_loop()
    call_task = loop.create_task(call)
    event_task = loop.create_task(event.wait())
    try:
        await asyncio.wait(
            (call_task, event_task), return_when=asyncio.FIRST_COMPLETED
        )
    finally:
        event_task.cancel()
        if not call_task.done():
            call_task.cancel()
    return call_task.result() if call_task.done() else None


def _no_access(step: Step) -> Fault:
    """Return the fault of a call that was refused."""
    detail = "this daemon has no direct access"
    return Fault(PLATFORM_UNREACHABLE, step, Peer.PLATFORM, detail)
