"""One daemon's link to the platform is cut while the others go on.

The cut daemon goes on serving by its old view, so a host that it may use
must not change pool before it has heard of the drain.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec

from standins.callers import Callers
from standins.cluster import Cluster
from standins.forwarder import Forwarder
from standins.processes import DaemonProcess, http_call, wait_until

if TYPE_CHECKING:
    from pathlib import Path

SHEET = """\
kind,pool,min_available,hosts:z1
pool,quotes,1,{quotes}
pool,tooling,0,{tooling}
"""


async def progress(daemon: DaemonProcess) -> Any:
    return await daemon.get("/v1/sheet/progress")


async def apply(daemon: DaemonProcess, quotes: int, tooling: int) -> None:
    based_on = (await progress(daemon))["sheet_revision"]
    text = SHEET.format(quotes=quotes, tooling=tooling)
    answer = await http_call(
        daemon.operators,
        "POST",
        f"/v1/sheet?nonce=n{quotes}&based_on={based_on}",
        text.encode(),
    )
    assert msgspec.json.decode(answer.body)["outcome"] == "accepted"


def test_move_waits_for_a_daemon_cut_from_the_platform(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            cluster.settings["timing"] |= {"gossip_s": 0.2}
            await cluster.start_platform_and_pools({"quotes": 3, "tooling": 1})
            link = Forwarder(cluster.platform.address)
            await link.start()
            driver = await cluster.start_entry("e1")
            platform = {
                **cluster.settings["platform"],
                "address": link.address,
            }
            cut = await cluster.start_entry("e2", platform=platform)
            await cluster.wait_members(driver, alive=2)
            await apply(driver, quotes=3, tooling=1)

            async def matched() -> bool:
                return bool((await progress(driver))["matched"])

            async def waits_for_cut() -> bool:
                blockers = (await progress(driver))["blockers"]
                return any("waiting for entry e2" in one for one in blockers)

            await wait_until(matched)
            callers = Callers(lambda: [cut], deadline_s=5.0)
            link.cut()
            await apply(driver, quotes=2, tooling=2)
            await wait_until(waits_for_cut)
            # It serves what it can by its old view, and tells the truth.
            told = await callers.send_batch(12)
            assert [each.is_served for each in told] == [True] * 12
            fresh = await callers.send("fresh", key="fresh")
            assert fresh.outcome == "not-run"
            assert not await matched()
            assert await waits_for_cut()
            link.restore()
            await wait_until(matched)
            again = await callers.send("fresh", key="fresh")
            assert again.is_served
            counts = await cluster.run_counts()
            assert max(counts.values()) == 1
            callers.close()
            link.stop()

    asyncio.run(run())
