"""Relayed reads of whole parts over a link that many calls share."""

from __future__ import annotations

import asyncio

from returns.result import Success

from lycheelug.relay import RelayedRows
from lycheelug.store.rows import RowName
from tests.test_relay import World
from tests.test_relay_calls import Link

# A part of this size is read within the limits of direct calls.
PART_BYTES = 600_000
LINK_BYTES_PER_S = 500_000.0
ATTEMPTS = 8


# Guards against a pool that a daemon without direct access can't recover: the
# answer arrives steadily, is discarded after 0.5 s, and is asked for again.
def test_large_part_is_relayed_over_a_slow_link() -> None:
    async def run() -> None:
        async with World() as world, Link(world.server.port) as link:
            link.bytes_per_s = LINK_BYTES_PER_S
            store = RelayedRows(
                world.direct,
                lambda: [link.address],
                lambda: asyncio.get_running_loop().time(),
            )
            world.direct.down = True
            large = {RowName("t", "large"): bytes(PART_BYTES)}
            assert isinstance(await world.peer.commit("p", {}, large), Success)
            is_read = False
            for _ in range(ATTEMPTS):
                is_read = isinstance(await store.read("t", "p"), Success)
                if is_read:
                    break
                # A peer that was silent is avoided for four seconds.
                await asyncio.sleep(0.6)
            store.close()
            assert is_read

    asyncio.run(run())
