"""The gossip loop that exchanges digests with the other entry daemons.

Each round, about once a second, exchanges digests with partners in the
daemon's own zone, unless one of them has just started an exchange with it.
Every few rounds it also does so with partners in other zones.  The daemon's
own digest is renewed before each exchange.

Clock, random source and sleep are injected, so that tests need not wait.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING, Final

from returns.result import Failure, Success

from lycheelug.digest_exchange import DigestExchange
from lycheelug.membership import LEFT

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable, Sequence

    from lycheelug.entries.client import EntryClients
    from lycheelug.entries.messages import Digest
    from lycheelug.membership import Members

__all__ = ["GOSSIP_PERIOD_S", "Gossip", "GossipCounters"]

GOSSIP_PERIOD_S: Final = 1.0
# Every this many rounds there is an exchange with another zone.
_CROSS_ZONE_ROUNDS: Final = 3
_JITTER: Final = 0.2
_LEAVE_TIMEOUT_S: Final = 1.0


class GossipCounters:
    """The numbers of rounds, exchanges and digests since the start."""

    __slots__ = ("answered", "completed", "digests", "failed", "rounds")

    def __init__(self) -> None:
        self.rounds = 0
        self.completed = 0
        self.failed = 0
        self.answered = 0
        self.digests = 0


class Gossip:
    """Runs the gossip loop, and answers the exchanges of other daemons.

    `publish` is called before each exchange; it must renew the daemon's own
    digest with `members.publish`.  `on_change` is called with the names of
    the daemons whose digests were received.
    """

    __slots__ = (
        "_clients",
        "_clock",
        "_counters",
        "_exchange",
        "_last_request_at",
        "_members",
        "_on_change",
        "_period_s",
        "_publish",
        "_rng",
        "_sleep",
        "_task",
    )

    def __init__(
        self,
        members: Members,
        clients: EntryClients,
        publish: Callable[[], object],
        clock: Callable[[], float],
        rng: random.Random,
        sleep: Callable[[float], Awaitable[object]] = asyncio.sleep,
        on_change: Callable[[Sequence[str]], object] | None = None,
        period_s: float = GOSSIP_PERIOD_S,
    ) -> None:
        self._period_s = period_s
        self._members = members
        self._clients = clients
        self._publish = publish
        self._clock = clock
        self._rng = rng
        self._sleep = sleep
        self._on_change = on_change
        self._exchange = DigestExchange(members)
        self._counters = GossipCounters()
        self._last_request_at = float("-inf")
        self._task: asyncio.Task[None] | None = None

    @property
    def counters(self) -> GossipCounters:
        """The numbers of rounds, exchanges and digests since the start."""
        return self._counters

    def start(self) -> None:
        """Start the loop."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop the loop and cancel the exchanges in progress."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._task = None

    async def announce_leave(self) -> None:
        """Notify all members that this run ends; wait at most one second."""
        self._publish()
        own = self._members.own
        own.state = LEFT
        calls = []
        for member in self._members.status(self._clock()):
            if member.name == own.name or not member.address:
                continue
            calls.append(self._clients.get(member.address).leave(own))
        with suppress(TimeoutError):
            async with asyncio.timeout(_LEAVE_TIMEOUT_S):
                await asyncio.gather(*calls)

    async def exchange_with_all(self) -> None:
        """Exchange digests with all members, to spread a local change fast."""
        calls = []
        for member in self._members.status(self._clock()):
            if member.name == self._members.own.name or not member.address:
                continue
            calls.append(self._exchange_with(member.address))
        await asyncio.gather(*calls)

    def answer(self, received: Sequence[Digest]) -> list[Digest]:
        """Apply a partner's digests; return those that the partner lacks."""
        self._publish()
        self._counters.answered += 1
        self._counters.digests += len(received)
        now = self._clock()
        if received and received[0].zone == self._members.own.zone:
            self._last_request_at = now
        newer = self._exchange.answer(received, now)
        self._notify([digest.name for digest in received])
        return newer

    async def run_round(self, number: int) -> None:
        """Choose the partners of one round and exchange digests with them."""
        now = self._clock()
        self._counters.rounds += 1
        self._members.forget_ended(now)
        partners: list[str] = []
        is_recent = now - self._last_request_at < GOSSIP_PERIOD_S / 2
        if not is_recent:
            partners = self._members.choose_partners(
                self._rng, now, in_zone=True
            )
        if number % _CROSS_ZONE_ROUNDS == 0 or not (partners or is_recent):
            partners += self._members.choose_partners(
                self._rng, now, in_zone=False
            )
        calls = [self._exchange_with(address) for address in partners]
        await asyncio.gather(*calls)

    async def _run(self) -> None:
        number = 0
        while True:
            await self.run_round(number)
            number += 1
            jitter = 1 + _JITTER * (2 * self._rng.random() - 1)
            await self._sleep(self._period_s * jitter)

    async def _exchange_with(self, address: str) -> None:
        self._publish()
        sent = self._exchange.request(address)
        match await self._clients.get(address).exchange(sent):
            case Success(received):
                self._counters.completed += 1
                self._counters.digests += len(received)
                now = self._clock()
                self._notify(self._exchange.complete(sent, received, now))
            case Failure(_):
                self._counters.failed += 1

    def _notify(self, names: Sequence[str]) -> None:
        if names and self._on_change is not None:
            self._on_change(names)
