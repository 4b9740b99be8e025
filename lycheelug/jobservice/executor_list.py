"""Follows the platform's list of executors while this daemon owns a pool.

Executors rewrite their entries all the time, and each follower of the list
receives each version.  So a daemon without a pool doesn't follow it.  Once a
pool is won, one read brings the list up to date; the new owner waits for it,
because an older or an empty list would show executors as removed.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, Final

from lycheelug.store.replica import TableReplica

if TYPE_CHECKING:
    from collections.abc import Callable

    from lycheelug.store.rows import RowStore, StoredRow

__all__ = ["CAPACITY_AGE_MAX_S", "LIST_AGE_MAX_S", "ExecutorList"]

# The pause between two calls to the feed, so that one call returns several
# changed entries.
FEED_PAUSE_S: Final = 0.25
# How often is checked whether this daemon still owns a pool.
RELEASE_CHECK_S: Final = 1.0
# The feed answers at least each two seconds.  A list of which it has not for
# longer than this may lack executors.
LIST_AGE_MAX_S: Final = 3.0
# Nothing is started on capacities from an older list.  The platform allows 3 s
# and one heartbeat until a shrunk capacity must be respected.
CAPACITY_AGE_MAX_S: Final = 2.75


class ExecutorList:
    """Keeps a daemon's list of executors up to date while it is needed."""

    __slots__ = ("_answered_at", "_is_needed", "_replica", "_requested")

    def __init__(
        self,
        store: RowStore,
        table: str,
        listener: Callable[[StoredRow], None],
        is_needed: Callable[[], bool],
    ) -> None:
        self._replica = TableReplica(
            store,
            table,
            listener,
            part="",
            pause_s=FEED_PAUSE_S,
            on_answer=self._on_answer,
        )
        # Time of the last answer of the store.
        self._answered_at = -math.inf
        # Whether this daemon owns any pool.
        self._is_needed = is_needed
        self._requested = asyncio.Event()

    @property
    def age_s(self) -> float:
        """The time since the store's last answer."""
        return asyncio.get_running_loop().time() - self._answered_at

    def request(self) -> None:
        """Follow the list from now on, as a pool was won."""
        self._requested.set()

    async def wait_loaded(self) -> None:
        """Wait until the list is complete."""
        await self._replica.loaded.wait()

    async def run(self) -> None:
        """Follow the list whenever it is needed, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await self._requested.wait()
            following = loop.create_task(self._replica.run())
            try:
                # Checked at intervals: a pool is rarely lost.
                while self._is_needed():  # noqa: ASYNC110
                    await asyncio.sleep(RELEASE_CHECK_S)
            finally:
                following.cancel()
            # The next owner of a pool has to read the whole list again.
            self._replica.loaded.clear()
            self._requested.clear()

    def _on_answer(self) -> None:
        """Record that the store has answered."""
        self._answered_at = asyncio.get_running_loop().time()
