from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from lycheelug.entries.client import EntryClients
from lycheelug.entries.gossip import Gossip
from lycheelug.entries.messages import (
    ConfigAnswer,
    ConfigPush,
    Digest,
    ViewReply,
    ViewRequest,
)
from lycheelug.entries.service import EntryHandler, EntryServer
from lycheelug.membership import Members, MemberState

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence


class Daemon(EntryHandler):
    """An entry daemon that only exchanges digests."""

    def __init__(self, name: str, zone: str, now: list[float]) -> None:
        self.name = name
        self.zone = zone
        self.now = now
        self.changed_names: list[str] = []
        self.sleep: Callable[[float], Awaitable[object]] = asyncio.sleep
        self.server = EntryServer("127.0.0.1", 0, self)
        self.clients = EntryClients(timeout_s=5.0)

    async def start(self, seeds: Sequence[str]) -> None:
        await self.server.start()
        own = Digest(
            self.name,
            self.zone,
            f"r-{self.name}",
            0,
            self.server.address,
            "ready",
            0,
            0,
            [],
            [],
            [],
        )
        self.members = Members(own, seeds)
        self.gossip = Gossip(
            self.members,
            self.clients,
            lambda: self.members.publish("ready", 0, 0, [], [], []),
            lambda: self.now[0],
            random.Random(1),
            self.sleep,
            on_change=self.changed_names.extend,
        )

    async def stop(self) -> None:
        await self.gossip.stop()
        self.clients.close()
        await self.server.stop()

    async def exchange(self, digests: Sequence[Digest]) -> list[Digest]:
        return self.gossip.answer(digests)

    async def leave(self, digest: Digest) -> None:
        self.members.on_leave(digest, self.now[0])

    async def fetch_view(self, request: ViewRequest) -> ViewReply:
        raise NotImplementedError

    async def push_config(self, push: ConfigPush) -> ConfigAnswer:
        raise NotImplementedError


def test_daemons_find_each_other_by_a_seed_and_leave() -> None:
    async def run() -> None:
        now = [0.0]
        daemons = [
            Daemon("e1", "arima", now),
            Daemon("e2", "arima", now),
            Daemon("e3", "chaguanas", now),
        ]
        first, second, third = daemons
        await first.start([])
        await second.start([first.server.address])
        await third.start([first.server.address])
        for number in range(3):
            for daemon in daemons:
                await daemon.gossip.run_round(number)
        for daemon in daemons:
            assert len(daemon.members.alive(now[0])) == 2
        assert {"e1", "e2"} <= set(third.changed_names)

        await third.server.stop()
        # A digest counts from its arrival, even if a partner forwards it late.
        for now[0] in (60.0, 100.0):
            for _ in range(3):
                await first.gossip.run_round(0)
                await second.gossip.run_round(0)
        assert first.gossip.counters.failed > 0
        assert first.members.state("e2", now[0]) is MemberState.ALIVE
        assert first.members.state("e3", now[0]) is MemberState.SILENT
        assert first.members.not_gone("chaguanas") == ["e3"]

        await second.gossip.announce_leave()
        assert first.members.state("e2", now[0]) is MemberState.GONE
        for daemon in daemons:
            await daemon.stop()

    asyncio.run(run())


def test_loop_runs_until_stopped() -> None:
    async def run() -> None:
        daemon = Daemon("e1", "arima", [0.0])
        second_round = asyncio.Event()
        periods: list[float] = []

        async def sleep(seconds: float) -> None:
            periods.append(seconds)
            if len(periods) == 2:
                second_round.set()
                await asyncio.Event().wait()

        daemon.sleep = sleep
        await daemon.start([])
        daemon.gossip.start()
        await second_round.wait()
        await daemon.stop()
        assert daemon.gossip.counters.rounds == 2
        assert all(0.8 <= period <= 1.2 for period in periods)

    asyncio.run(run())
