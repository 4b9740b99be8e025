"""Orders to hosts on a permission that has expired.

The platform may not check fencing tokens, so an order of an owner that was
replaced has to be kept from being sent at all.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import pytest

from lycheelug.errors import Peer
from lycheelug.fleetplan import (
    PLAN_KEY,
    PLANS_TABLE,
    MaintenanceWave,
    decode_plan,
)
from lycheelug.http import ClientConnection
from lycheelug.jobservice.interfaces import HostAnswer
from lycheelug.jobservice.order_permit import (
    ORDER_TRANSIT_S,
    ORDER_VALID_S,
    OrderPermit,
)
from lycheelug.jobservice.tables import FLEET_PART
from lycheelug.platform.hosts import PlatformHosts
from lycheelug.store.memory_rows import MemoryRows
from lycheelug.store.rows import RowName
from tests.job_world import FaultyRows, JobWorld, until
from tests.test_plan_ownership import SilentFleet
from tests.virtual_time import VirtualClock, run_virtual

if TYPE_CHECKING:
    from collections.abc import Mapping

    from returns.result import Result

    from lycheelug.errors import Fault
    from lycheelug.store.rows import (
        HistoryGone,
        RowCommit,
        RowConflict,
        RowSet,
    )

PLAN_ROW = RowName(PLANS_TABLE, PLAN_KEY)
WAVE = MaintenanceWave(1, ["h-x0"], 1.0, 1, 1)


class FreezingRows(FaultyRows):
    """The store as a daemon sees it that can be stopped for a while.

    It is stopped once the store has recorded that an order is about to be
    sent, as the answer is on its way.
    """

    __slots__ = ("freeze_s", "thawed")

    def __init__(
        self,
        shared: MemoryRows,
        locks: dict[str, asyncio.Lock] | None = None,
    ) -> None:
        super().__init__(shared, locks)
        self.freeze_s = 0.0
        self.thawed = asyncio.Event()
        self.thawed.set()

    async def commit(
        self,
        part: str,
        expected: Mapping[RowName, int],
        writes: Mapping[RowName, bytes | None],
    ) -> Result[RowCommit | RowConflict, Fault]:
        await self.thawed.wait()
        result = await super().commit(part, expected, writes)
        plan = decode_plan(writes.get(PLAN_ROW) or b"")
        orders = plan.orders.values() if plan is not None else []
        if self.freeze_s and any(order.sent for order in orders):
            self._freeze()
        await self.thawed.wait()
        return result

    async def read(
        self, table: str, part: str, first: str = "", end: str = ""
    ) -> Result[RowSet, Fault]:
        await self.thawed.wait()
        result = await super().read(table, part, first, end)
        await self.thawed.wait()
        return result

    async def feed(
        self, table: str, after: int, wait_s: float
    ) -> Result[RowSet | HistoryGone, Fault]:
        await self.thawed.wait()
        result = await super().feed(table, after, wait_s)
        await self.thawed.wait()
        return result

    def _freeze(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(self.freeze_s, self.thawed.set)
        self.freeze_s = 0.0
        self.thawed.clear()


async def start_planner(
    world: JobWorld, store_class: type[FaultyRows] = FaultyRows
) -> str:
    """Start three daemons and an executor; return the plan's owner."""
    world.start_fleet()
    world.fleet.add("x0")
    for number in range(3):
        world.start_daemon(f"e{number}", store_class=store_class)
    await until(lambda: len(world.holders(FLEET_PART)) == 1)
    (owner,) = world.holders(FLEET_PART)
    # The summary of the pool is stored by then.
    await asyncio.sleep(2.0)
    return owner


def announce_wave(world: JobWorld) -> None:
    for service in world.daemons.values():
        service.update_wave(WAVE)


def tokens_of(world: JobWorld) -> list[int]:
    return [token for _, _, token in world.fleet.host_orders]


# Guards against ONE: an owner of the fleet plan that was stopped as the proof
# of its ownership was answered, and orders after its successor has.
@pytest.mark.parametrize("freeze_s", [3.5, 6.0, 12.0])
def test_owner_that_was_stopped_sends_no_order_on_an_old_proof(
    freeze_s: float,
) -> None:
    async def run() -> list[int]:
        world = JobWorld()
        owner = await start_planner(world, FreezingRows)
        store = world.stores[owner]
        assert isinstance(store, FreezingRows)
        store.freeze_s = freeze_s
        announce_wave(world)
        await until(lambda: not store.thawed.is_set())
        await until(store.thawed.is_set)
        await asyncio.sleep(5.0)
        await world.stop()
        return tokens_of(world)

    tokens = run_virtual(run())
    assert tokens == [2]


# Guards against ONE: an order that arrives late, after that of a successor
# which has claimed the plan while the sender's proof was valid.
@pytest.mark.parametrize("transit_s", [0.1, 0.5, 0.9])
def test_successor_orders_only_after_the_orders_of_its_predecessor(
    transit_s: float,
) -> None:
    async def run() -> list[int]:
        world = JobWorld()
        world.fleet = SilentFleet(HostAnswer.NO_ANSWER)
        world.fleet.host_order_transits[1] = transit_s
        owner = await start_planner(world)
        announce_wave(world)
        await until(lambda: len(world.fleet.host_orders) > 1)
        # Its heartbeats fail, while its transactions of the plan pass.
        world.stores[owner].refused_parts = {owner}
        await until(lambda: world.holders(FLEET_PART) != [owner])
        await asyncio.sleep(5.0)
        await world.stop()
        return tokens_of(world)

    tokens = run_virtual(run())
    assert set(tokens) == {1, 2}
    assert tokens == sorted(tokens)


def test_successor_of_an_owner_that_released_the_plan_orders_at_once() -> None:
    async def run() -> tuple[float, list[int]]:
        world = JobWorld()
        world.fleet = SilentFleet(HostAnswer.NO_ANSWER)
        owner = await start_planner(world)
        announce_wave(world)
        await until(lambda: len(world.fleet.host_orders) > 1)
        await world.daemons[owner].drain()
        loop = asyncio.get_running_loop()
        released_at = loop.time()
        await until(lambda: tokens_of(world)[-1] == 2)
        waited_s = loop.time() - released_at
        await asyncio.sleep(1.0)
        await world.stop()
        return waited_s, tokens_of(world)

    waited_s, tokens = run_virtual(run())
    assert tokens == sorted(tokens)
    assert waited_s < ORDER_VALID_S


# Guards against hosts that wait for a successor's pause although the platform
# keeps the orders of its predecessor apart.
@pytest.mark.parametrize("checks_fencing", [False, True])
def test_successor_waits_only_if_no_fencing_tokens_are_checked(
    checks_fencing: bool,
) -> None:
    async def run() -> float:
        world = JobWorld()
        world.fleet = SilentFleet(HostAnswer.NO_ANSWER)
        world.fleet.checks_fencing = checks_fencing
        owner = await start_planner(world)
        announce_wave(world)
        await until(lambda: len(world.fleet.host_orders) > 1)
        world.stores[owner].down = True
        await until(lambda: world.holders(FLEET_PART) != [owner])
        loop = asyncio.get_running_loop()
        claimed_at = loop.time()
        await until(lambda: tokens_of(world)[-1] == 2)
        waited_s = loop.time() - claimed_at
        await world.stop()
        return waited_s

    waited_s = run_virtual(run())
    assert (waited_s < ORDER_VALID_S) is checks_fencing


@pytest.mark.parametrize(
    ("age_s", "awaits_predecessor", "is_revoked", "expected"),
    [
        pytest.param(0.0, False, False, True, id="new"),
        pytest.param(0.9 * ORDER_VALID_S, False, False, True, id="valid"),
        pytest.param(ORDER_VALID_S, False, False, False, id="expired"),
        pytest.param(0.0, False, True, False, id="lost"),
        pytest.param(0.0, True, False, False, id="takeover"),
        pytest.param(None, False, False, False, id="no-proof"),
    ],
)
def test_permission_to_send(
    age_s: float | None,
    awaits_predecessor: bool,
    is_revoked: bool,
    expected: bool,
) -> None:
    async def run() -> bool:
        clock = VirtualClock()
        permit = OrderPermit(clock, awaits_predecessor)
        if age_s is not None:
            permit.record_proof(clock.now())
            await asyncio.sleep(age_s)
        if is_revoked:
            permit.revoke()
        return permit.may_send()

    assert run_virtual(run()) is expected


def test_successor_waits_for_permissions_and_orders_on_their_way() -> None:
    async def run() -> tuple[bool, bool]:
        permit = OrderPermit(VirtualClock(), awaits_predecessor=True)
        await asyncio.sleep(ORDER_VALID_S + ORDER_TRANSIT_S)
        before = permit.is_held
        await asyncio.sleep(0.1)
        return before, permit.is_held

    assert run_virtual(run()) == (True, False)


# Guards against ONE: a permission that expires while the order's connection
# is being opened.
@pytest.mark.parametrize("call", ["move", "maintain"])
def test_order_asks_for_its_permission_once_it_is_connected(call: str) -> None:
    requests: list[bytes] = []
    writers: list[asyncio.StreamWriter] = []
    connected = asyncio.Event()

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writers.append(writer)
        connected.set()
        while data := await reader.read(10_000):
            requests.append(data)
            writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")

    async def run() -> list[HostAnswer]:
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        hosts = PlatformHosts(f"127.0.0.1:{port}", MemoryRows())
        answers: list[HostAnswer] = []
        for is_permitted in (False, True):
            asked = 0

            def may_send(is_permitted: bool = is_permitted) -> bool:
                nonlocal asked
                asked += 1
                return is_permitted

            if call == "move":
                answer = await hosts.move("h1", "quotes", "e0", 3, may_send)
            else:
                answer = await hosts.maintain("h1", 1, "e0", 3, may_send)
            answers.append(answer)
            assert asked == 1
            await connected.wait()
            assert len(requests) == int(is_permitted)
        for writer in writers:
            writer.close()
            await writer.wait_closed()
        server.close()
        await server.wait_closed()
        return answers

    answers = asyncio.run(run())
    assert answers == [HostAnswer.NOT_SENT, HostAnswer.DONE]
    assert len(writers) == 1


# Guards against ONE: an order that its sender has given up, and that the
# system delivers once the platform can be reached again.
def test_order_without_an_answer_is_not_delivered_later() -> None:
    received: list[bytes] = []
    resets = 0
    ended = asyncio.Event()

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal resets
        try:
            while data := await reader.read(10_000):
                received.append(data)
        except ConnectionResetError:
            resets += 1
        writer.close()
        ended.set()

    async def run() -> HostAnswer:
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        hosts = PlatformHosts(f"127.0.0.1:{port}", MemoryRows())
        answer = await hosts.move("h1", "quotes", "e0", 3, lambda: True)
        await ended.wait()
        server.close()
        await server.wait_closed()
        return answer

    assert asyncio.run(run()) is HostAnswer.NO_ANSWER
    assert len(received) == 1
    # A connection that is reset delivers nothing further.
    assert resets == 1


def test_system_gives_up_an_order_of_a_process_that_is_stopped() -> None:
    async def run() -> int:
        server = await asyncio.start_server(
            lambda _, writer: writer.close(), "127.0.0.1", 0
        )
        host, port = server.sockets[0].getsockname()
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_connection(
            lambda: ClientConnection(
                Peer.PLATFORM, "", unsent_max_s=ORDER_TRANSIT_S
            ),
            host,
            port,
        )
        sock = transport.get_extra_info("socket")
        timeout_ms: int = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )
        transport.abort()
        server.close()
        await server.wait_closed()
        return timeout_ms

    assert asyncio.run(run()) == ORDER_TRANSIT_S * 1000
