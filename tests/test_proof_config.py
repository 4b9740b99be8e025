"""Configuration over separate processes, with faults on the way."""

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
    """Start daemons that hear each other."""
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


def test_frozen_daemon_holds_a_change_by_name_unless_excused(
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


def test_accepted_change_outlives_its_submitter_and_the_platform(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            daemons = await start(cluster, ("e1", "e2", "e3"))
            base = (await submit(daemons[0], 0.1))["revision"]
            await wait_until(lambda: all_have(daemons, base))
            late = daemons[2]
            late.send_signal(signal.SIGSTOP)
            accepted = await submit(daemons[0], 0.2, excused="e3")
            wanted = accepted["revision"]
            await wait_until(lambda: all_have(daemons[1:2], wanted))
            await cluster.set_platform_faults(down=True)
            await daemons[0].kill()
            late.send_signal(signal.SIGCONT)
            # The one that was frozen learns it from the survivor only.
            await wait_until(lambda: all_have(daemons[1:], wanted))
            await cluster.set_platform_faults(stale_reads=3)
            for _ in range(20):
                assert await all_have(daemons[1:], wanted)
                await asyncio.sleep(0.05)
            await cluster.set_platform_faults()
            again = await cluster.start_entry("e4")
            assert await revision(again) == wanted

    asyncio.run(run())


def test_lost_answer_is_told_truthfully_and_resolved_by_nonce(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            daemons = await start(cluster, ("e1", "e2"))
            at = 0
            for number in range(6):
                nonce = await new_nonce(daemons[0])
                await cluster.set_platform_faults(lose_share=0.6, seed=number)
                told = await submit(daemons[0], 0.1 + number / 100, nonce)
                await cluster.set_platform_faults()
                # Another daemon must come to the same decision.
                found = await resolved(daemons[1], nonce)
                assert found["outcome"] in {"accepted", "refused"}
                if told["outcome"] != "unknown":
                    assert found["outcome"] == told["outcome"]
                if found["outcome"] == "refused":
                    continue
                assert found["revision"] > at
                at = found["revision"]
            assert at > 0
            await wait_until(lambda: all_have(daemons, at))

    asyncio.run(run())


@pytest.mark.parametrize(
    ("late_first", "outcome"), [(True, "accepted"), (False, "refused")]
)
def test_unknown_change_is_decided_once_when_asked_by_its_nonce(
    tmp_path: Path, late_first: bool, outcome: str
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            daemons = await start(cluster, ("e1", "e2"))
            base = (await submit(daemons[0], 0.1))["revision"]
            await wait_until(lambda: all_have(daemons, base))
            nonce = await new_nonce(daemons[0])
            # Writes take effect late, and their answers are lost.
            await cluster.set_platform_faults(late_writes=1000)
            told = await submit(daemons[0], 0.2, nonce)
            assert told["outcome"] == "unknown", told
            await cluster.set_platform_faults()
            if late_first:
                await apply_late_writes(cluster)
            found = await resolved(daemons[1], nonce)
            assert found["outcome"] == outcome
            # What comes after the decision must not change it.
            await apply_late_writes(cluster)
            for daemon in daemons:
                again = await resolved(daemon, nonce)
                assert again["outcome"] == outcome
            wanted = found["revision"] if late_first else base
            await wait_until(lambda: all_have(daemons, wanted))

    asyncio.run(run())


async def apply_late_writes(cluster: Cluster) -> None:
    """Let the writes that the platform held take effect."""
    await http_call(cluster.platform.address, "POST", "/late")


async def resolved(daemon: DaemonProcess, nonce: str) -> Any:
    return await daemon.get(f"/v1/config/{nonce}")


def test_changes_in_a_row_are_in_force_in_time_and_only_grow(
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
                told = await submit(submitter, (number + 1) / 100)
                assert told["outcome"] == "accepted", told
                assert told["revision"] > last
                last = told["revision"]
                wanted = last
                await wait_until(lambda w=wanted: all_have(daemons, w))  # type: ignore[misc]
                took_s = time.monotonic() - started
                slowest_s = max(slowest_s, took_s)
            assert slowest_s <= IN_FORCE_TARGET_S
            await daemons[0].kill()
            again = await cluster.start_entry("e1")
            assert await revision(again) == last
            print(f"slowest of {CHANGES}: {slowest_s:.3f} s")

    asyncio.run(run())
