"""A daemon without direct access to the store relays calls to a peer."""

from __future__ import annotations

import asyncio

import pytest
from returns.result import Failure, Result, Success

from lycheelug.errors import PLATFORM_UNKNOWN, PLATFORM_UNREACHABLE, Fault
from lycheelug.relay import RelayedRows, RelayServer
from lycheelug.store.memory_rows import MemoryRows
from lycheelug.store.rows import (
    HistoryGone,
    RowCommit,
    RowConflict,
    RowName,
)
from tests.job_world import FaultyRows

NAME = RowName("t", "k")


class World:
    """One store, a daemon whose direct access can fail, and its peer."""

    def __init__(self) -> None:
        self.rows = MemoryRows()
        self.direct = FaultyRows(self.rows)
        self.peer = FaultyRows(self.rows)
        self.server = RelayServer(self.peer)
        # Addresses of peers that are called before the server.
        self.first_peers: list[str] = []
        self.store = RelayedRows(
            self.direct,
            lambda: [*self.first_peers, f"127.0.0.1:{self.server.port}"],
            lambda: asyncio.get_running_loop().time(),
        )

    async def __aenter__(self) -> World:
        await self.server.start("127.0.0.1", 0)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.store.close()
        await self.server.stop()


def test_all_calls_are_relayed_while_direct_access_fails() -> None:
    async def run() -> None:
        async with World() as world:
            world.direct.down = True
            done = await world.store.commit("p", {NAME: 0}, {NAME: b"v"})
            assert isinstance(done.unwrap(), RowCommit)
            again = await world.store.commit("p", {NAME: 0}, {NAME: b"w"})
            conflict = again.unwrap()
            assert isinstance(conflict, RowConflict)
            assert conflict.rows[NAME].value == b"v"
            read = await world.store.read("t", "p")
            assert [row.value for row in read.unwrap().rows] == [b"v"]
            assert (await world.store.parts("t")).unwrap() == ["p"]
            fed = (await world.store.feed("t", 0, 0.1)).unwrap()
            assert not isinstance(fed, HistoryGone)
            assert fed.rows[0].key == "k"
            world.rows.forget_history(0)
            gone = await world.store.feed("t", 0, 0.1)
            assert isinstance(gone.unwrap(), HistoryGone)
            assert world.store.failing_since is None

    asyncio.run(run())


@pytest.mark.parametrize("peer_down", [True, False])
def test_rejected_commit_has_no_effect_when_all_access_fails(
    peer_down: bool,
) -> None:
    async def run() -> None:
        async with World() as world:
            world.direct.down = True
            world.peer.down = peer_down
            if not peer_down:
                await world.server.stop()
            result: Result[object, Fault] = await world.store.commit(
                "p", {NAME: 0}, {NAME: b"v"}
            )
            assert isinstance(result, Failure)
            code = result.failure().code
            assert code in (PLATFORM_UNREACHABLE, PLATFORM_UNKNOWN)
            assert (await world.rows.read("t", "p")).unwrap().rows == []
            assert world.store.failing_since is not None

    asyncio.run(run())


def test_peer_that_does_not_answer_is_skipped() -> None:
    """Unreachable peers of a partitioned zone must not delay every feed."""

    async def run() -> None:
        async with World() as world:
            world.direct.down = True
            world.first_peers.append("127.0.0.1:1")
            assert isinstance(await world.store.read("t", "p"), Success)
            loop = asyncio.get_running_loop()
            began = loop.time()
            assert isinstance(await world.store.read("t", "p"), Success)
            assert loop.time() - began < 0.2

    asyncio.run(run())


def test_commit_tries_the_next_peer_when_one_has_stopped() -> None:
    """A stopped peer refuses the connection, so nothing was sent."""

    async def run() -> None:
        async with World() as world:
            world.direct.down = True
            world.first_peers.append("127.0.0.1:1")
            done = await world.store.commit("p", {NAME: 0}, {NAME: b"v"})
            assert isinstance(done, Success)

    asyncio.run(run())


def test_pending_feed_moves_to_a_peer_when_direct_access_is_lost() -> None:
    """A pending feed must not wait for a connection that no longer answers.

    Otherwise the owner of a pool sees submissions 3 s late.
    """

    async def run() -> None:
        async with World() as world:
            loop = asyncio.get_running_loop()
            feed = loop.create_task(world.store.feed("t", 0, 30.0))
            await asyncio.sleep(0.02)
            world.direct.is_unresponsive = True
            lost = loop.create_task(world.store.read("t", "p"))
            await asyncio.sleep(0.02)
            world.direct.time_out()
            assert isinstance(await lost, Success)
            await world.peer.commit("p", {NAME: 0}, {NAME: b"v"})
            async with asyncio.timeout(1.0):
                fed = (await feed).unwrap()
                assert not isinstance(fed, HistoryGone)
            while not fed.rows:
                again = await world.store.feed("t", 0, 0.1)
                fed = again.unwrap()
                assert not isinstance(fed, HistoryGone)
            assert fed.rows[0].value == b"v"
            world.direct.is_unresponsive = False
            while world.store.is_direct_access_lost:  # noqa: ASYNC110
                await asyncio.sleep(0.02)
            read = await world.store.read("t", "p")
            assert len(read.unwrap().rows) == 1

    asyncio.run(run())


def test_next_peer_is_tried_when_the_first_has_no_access_either() -> None:
    """The nearest peer often loses its direct access at the same time."""

    async def run() -> None:
        async with World() as world:
            refused = RelayServer(world.direct)
            await refused.start("127.0.0.1", 0)
            world.direct.down = True
            world.first_peers.append(f"127.0.0.1:{refused.port}")
            done = await world.store.commit("p", {NAME: 0}, {NAME: b"v"})
            assert isinstance(done, Success)
            await refused.stop()

    asyncio.run(run())


@pytest.mark.parametrize("is_refused_next", [True, False])
def test_commit_that_may_have_taken_effect_is_not_repeated(
    is_refused_next: bool,
) -> None:
    """The rejection of a second write would not show the first one's result.

    Guards against reporting a submission as refused that a slow store did
    accept.
    """

    async def run() -> None:
        async with World() as world:
            name = RowName("jobs-01", "job/1")
            world.direct.lose_answers = 1
            world.direct.down_after_loss = is_refused_next
            world.peer.down = is_refused_next
            result = await world.store.commit("p", {name: 0}, {name: b"v"})
            assert isinstance(result, Failure)
            assert result.failure().code is PLATFORM_UNKNOWN

    asyncio.run(run())
