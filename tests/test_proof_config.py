"""Changes of the configuration over separate processes, under faults."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from standins.cluster import Cluster
from standins.processes import http_call, wait_until

if TYPE_CHECKING:
    from collections.abc import Sequence
    from pathlib import Path

    from standins.processes import DaemonProcess

CHANGES = 20
IN_FORCE_TARGET_S = 7.0


async def start(cluster: Cluster, names: Sequence[str]) -> list[DaemonProcess]:
    """Start daemons and wait until each sees all others alive."""
    cluster.settings["timing"] |= {"gossip_s": 0.2, "member_suspect_s": 2}
    await cluster.start_platform_and_pools({"quotes": 1})
    for name in names:
        await cluster.start_entry(name)
    daemons = list(cluster.daemons.values())
    for daemon in daemons:
        await cluster.wait_members(daemon, alive=len(names))
    return daemons


async def submit(
    daemon: DaemonProcess, share: float, nonce: str = "", excused: str = ""
) -> Any:
    body = msgspec.json.encode({"tenants": {"arima": share}})
    nonce = nonce or await new_nonce(daemon)
    target = f"/v1/config?nonce={nonce}&excused={excused}"
    answer = await http_call(daemon.operators, "POST", target, body)
    return msgspec.json.decode(answer.body)


async def new_nonce(daemon: DaemonProcess) -> str:
    answer = await http_call(daemon.operators, "POST", "/v1/config/nonce")
    return str(msgspec.json.decode(answer.body)["nonce"])


async def revision(daemon: DaemonProcess) -> int:
    return int((await daemon.get("/v1/config"))["revision"])


async def all_have(daemons: Sequence[DaemonProcess], wanted: int) -> bool:
    found = [await revision(daemon) for daemon in daemons]
    assert max(found) <= wanted
    return found == [wanted] * len(found)


def test_frozen_daemon_blocks_a_change_unless_excused(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            daemons = await start(cluster, ("e1", "e2", "e3"))
            base = (await submit(daemons[0], 0.1))["revision"]
            await wait_until(lambda: all_have(daemons, base))
            frozen = daemons[2]
            frozen.send_signal(signal.SIGSTOP)
            refused = await submit(daemons[0], 0.2)
            assert refused["outcome"] == "refused"
            assert refused["missing"] == ["e3"]
            assert await all_have(daemons[:2], base)
            accepted = await submit(daemons[0], 0.3, excused="e3")
            assert accepted["outcome"] == "accepted", accepted
            later = accepted["revision"]
            assert later > base
            await wait_until(lambda: all_have(daemons[:2], later))
            frozen.send_signal(signal.SIGCONT)
            await wait_until(lambda: all_have(daemons, later))

    asyncio.run(run())


def test_accepted_change_survives_submitter_and_platform_loss(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            daemons = await start(cluster, ("e1", "e2", "e3"))
            base = (await submit(daemons[0], 0.1))["revision"]
            await wait_until(lambda: all_have(daemons, base))
            frozen = daemons[2]
            frozen.send_signal(signal.SIGSTOP)
            accepted = await submit(daemons[0], 0.2, excused="e3")
            wanted = accepted["revision"]
            await wait_until(lambda: all_have(daemons[1:2], wanted))
            await cluster.set_platform_faults(down=True)
            await daemons[0].kill()
            frozen.send_signal(signal.SIGCONT)
            # The daemon that was frozen can get it only from the survivor.
            await wait_until(lambda: all_have(daemons[1:], wanted))
            await cluster.set_platform_faults(stale_reads=3)
            for _ in range(20):
                assert await all_have(daemons[1:], wanted)
                await asyncio.sleep(0.05)
            await cluster.set_platform_faults()
            restarted = await cluster.start_entry("e4")
            assert await revision(restarted) == wanted

    asyncio.run(run())


def test_change_with_a_lost_answer_is_resolved_by_nonce(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            daemons = await start(cluster, ("e1", "e2"))
            last_revision = 0
            for number in range(6):
                nonce = await new_nonce(daemons[0])
                await cluster.set_platform_faults(lose_share=0.6, seed=number)
                reply = await submit(daemons[0], 0.1 + number / 100, nonce)
                await cluster.set_platform_faults()
                # Another daemon must reach the same decision.
                found = await resolve(daemons[1], nonce)
                assert found["outcome"] in {"accepted", "refused"}
                if reply["outcome"] != "unknown":
                    assert found["outcome"] == reply["outcome"]
                if found["outcome"] == "refused":
                    continue
                assert found["revision"] > last_revision
                last_revision = found["revision"]
            assert last_revision > 0
            await wait_until(lambda: all_have(daemons, last_revision))

    asyncio.run(run())


@pytest.mark.parametrize(
    ("late_first", "outcome"), [(True, "accepted"), (False, "refused")]
)
def test_unknown_change_is_decided_once_by_its_nonce(
    tmp_path: Path, late_first: bool, outcome: str
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            daemons = await start(cluster, ("e1", "e2"))
            base = (await submit(daemons[0], 0.1))["revision"]
            await wait_until(lambda: all_have(daemons, base))
            nonce = await new_nonce(daemons[0])
            # Writes take effect later, and their answers are lost.
            await cluster.set_platform_faults(late_writes=1000)
            reply = await submit(daemons[0], 0.2, nonce)
            assert reply["outcome"] == "unknown", reply
            await cluster.set_platform_faults()
            if late_first:
                await apply_late_writes(cluster)
            found = await resolve(daemons[1], nonce)
            assert found["outcome"] == outcome
            # Writes that arrive after the decision must not change it.
            await apply_late_writes(cluster)
            for daemon in daemons:
                repeated = await resolve(daemon, nonce)
                assert repeated["outcome"] == outcome
            wanted = found["revision"] if late_first else base
            await wait_until(lambda: all_have(daemons, wanted))

    asyncio.run(run())


async def apply_late_writes(cluster: Cluster) -> None:
    """Apply the writes that the platform has delayed."""
    await http_call(cluster.platform.address, "POST", "/late")


async def resolve(daemon: DaemonProcess, nonce: str) -> Any:
    return await daemon.get(f"/v1/config/{nonce}")


def test_consecutive_changes_take_effect_in_time_and_order(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            daemons = await start(cluster, ("e1", "e2", "e3"))
            last = 0
            slowest_s = 0.0
            for number in range(CHANGES):
                submitter = daemons[number % len(daemons)]
                started = time.monotonic()
                reply = await submit(submitter, (number + 1) / 100)
                assert reply["outcome"] == "accepted", reply
                assert reply["revision"] > last
                last = reply["revision"]
                wanted = last
                await wait_until(lambda w=wanted: all_have(daemons, w))  # type: ignore[misc]
                duration_s = time.monotonic() - started
                slowest_s = max(slowest_s, duration_s)
            assert slowest_s <= IN_FORCE_TARGET_S
            await daemons[0].kill()
            restarted = await cluster.start_entry("e1")
            assert await revision(restarted) == last
            print(f"slowest of {CHANGES}: {slowest_s:.3f} s")

    asyncio.run(run())
