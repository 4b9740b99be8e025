"""Idempotency keys over separate processes: a repeat does not run again."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from standins.cluster import Cluster

if TYPE_CHECKING:
    from pathlib import Path


def key_header(text: str) -> list[tuple[bytes, bytes]]:
    return [(b"idempotency-key", text.encode())]


def test_repeat_at_another_daemon_gets_the_recorded_outcome(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 2})
            daemons = [await cluster.start_entry(f"e{n}") for n in range(2)]
            replies = []
            for daemon in (*daemons, *daemons):
                replies.append(
                    await cluster.send_request(
                        daemon, "run 7", headers=key_header("k7")
                    )
                )
            assert [each.outcome for each in replies] == ["answered"] * 4
            assert {each.echo for each in replies} == {"run 7"}
            other = await cluster.send_request(
                daemons[1], "run 8", headers=key_header("k7")
            )
            assert (other.status, other.outcome) == (422, "not-run")
            assert len(await cluster.runs()) == 1

    asyncio.run(run())
