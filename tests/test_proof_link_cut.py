"""One daemon's link to the platform is cut while the others keep theirs.

The daemon without a link serves requests by its outdated view.  A host that
it may use must therefore not change pool before this daemon has acknowledged
the drain; otherwise it would send the host work of a pool that it left.
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
            cut_daemon = await cluster.start_entry("e2", platform=platform)
            await cluster.wait_members(driver, alive=2)
            await apply(driver, quotes=3, tooling=1)

            async def is_rolled_out() -> bool:
                return bool((await progress(driver))["matched"])

            async def is_waiting_for_cut_daemon() -> bool:
                blockers = (await progress(driver))["blockers"]
                return any("waiting for entry e2" in one for one in blockers)

            await wait_until(is_rolled_out)
            callers = Callers(lambda: [cut_daemon], deadline_s=5.0)
            link.cut()
            await apply(driver, quotes=2, tooling=2)
            await wait_until(is_waiting_for_cut_daemon)
            # It serves by its outdated view, but can claim no new key.
            results = await callers.send_batch(12)
            assert [each.is_served for each in results] == [True] * 12
            rejected = await callers.send("fresh", key="fresh")
            assert rejected.outcome == "not-run"
            assert not await is_rolled_out()
            assert await is_waiting_for_cut_daemon()
            link.restore()
            await wait_until(is_rolled_out)
            again = await callers.send("fresh", key="fresh")
            assert again.is_served
            counts = await cluster.run_counts()
            assert max(counts.values()) == 1
            callers.close()
            link.stop()

    asyncio.run(run())
