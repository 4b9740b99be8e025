"""At most once under kills, freezes and lost answers of the platform.

Every request may not be repeated and has a key; its caller sends it again,
through another daemon, until it is told an answer or it gives up.
"""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Any

import msgspec
import pytest

from standins.callers import Callers, CallResult
from standins.cluster import Cluster
from standins.processes import http_call, wait_until

if TYPE_CHECKING:
    from pathlib import Path

    from standins.processes import DaemonProcess

KEYS = 6
REPEATS = 4
KEYS_PATH = "/.well-known/lycheelug/keys"

# Where the first daemon is hit: what the platform and the upstreams do.
STEPS: dict[str, tuple[dict[str, Any], dict[str, Any]]] = {
    "before-claim": ({"delay_ms": 400}, {}),
    "after-claim": ({"delay_ms": 100}, {"delay_ms": 150}),
    "after-first-byte": ({}, {"delay_ms": 700}),
    "after-answer": ({}, {}),
}
# When it is hit, after its requests were sent.
HIT_S = {
    "before-claim": 0.15,
    "after-claim": 0.25,
    "after-first-byte": 0.3,
    "after-answer": 0.5,
}


def key_of(payload: str) -> str:
    return payload.replace(" ", "-")


def check(
    counts: dict[str, int], told: list[CallResult], payloads: list[str]
) -> None:
    """Hold what callers were told against what the upstreams ran."""
    for payload in payloads:
        assert counts.get(payload, 0) <= 1, payload
    for each in told:
        assert each.has_no_wrong_answer, each
        if each.outcome == "answered":
            assert counts.get(each.payload) == 1, each


async def repeat(callers: Callers, payload: str) -> CallResult:
    """Send a keyed request again until it is answered."""
    told = await callers.send(payload, key=key_of(payload))
    for _ in range(REPEATS):
        if told.outcome == "answered":
            break
        await asyncio.sleep(0.05)
        told = await callers.send(payload, key=key_of(payload))
    return told


async def hit(daemon: DaemonProcess, how: str) -> None:
    if how == "kill":
        await daemon.kill()
        return
    daemon.send_signal(signal.SIGSTOP)


async def run_step(cluster: Cluster, step: str, how: str, number: int) -> None:
    """Hit one daemon at one step, and repeat its requests elsewhere."""
    victim = await cluster.start_entry(f"v{number}")
    other = cluster.daemons["e1"]
    platform, upstream = STEPS[step]
    await cluster.set_platform_faults(**platform)
    await cluster.set_all_upstream_faults(**upstream)
    payloads = [f"{step} {how} {n}" for n in range(KEYS)]
    first = Callers(lambda: [victim], deadline_s=8.0)
    flying = [
        asyncio.create_task(first.send(each, key=key_of(each)))
        for each in payloads
    ]
    await asyncio.sleep(HIT_S[step])
    await hit(victim, how)
    again = Callers(lambda: [other], deadline_s=8.0)
    await asyncio.gather(*(repeat(again, each) for each in payloads))
    await cluster.set_platform_faults()
    # A frozen daemon goes on with what it was doing.
    victim.send_signal(signal.SIGCONT)
    await asyncio.gather(*flying)
    last = [await again.send(each, key=key_of(each)) for each in payloads]
    counts = await cluster.run_counts()
    told = first.results + again.results
    check(counts, told, payloads)
    for each in last:
        # Not run at the end would mean that it is refused for ever.
        assert each.outcome in {"answered", "unknown"}, each
    for each in again.results:
        # Who is told not-run by the last word was not run before it.
        if each.outcome == "not-run":
            assert each.reason != "key-claimed", each
    if step == "after-answer":
        # The outcome was recorded: every repeat gets it.
        assert {each.outcome for each in again.results} == {"answered"}
    first.close()
    again.close()
    await victim.kill()


def test_key_runs_once_however_its_daemon_is_hit(tmp_path: Path) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 3})
            await cluster.start_entry("e1")
            number = 0
            for step in STEPS:
                for how in ("kill", "freeze"):
                    number += 1
                    await run_step(cluster, step, how, number)

    asyncio.run(run())


PLATFORM_TABLE: dict[str, dict[str, Any]] = {
    "lost-answers": {"lose_answers": 12},
    "lost-share": {"lose_share": 0.4, "seed": 3},
    "late-writes": {"late_writes": 4},
    "slow": {"delay_ms": 150},
    "stale": {"stale_reads": 5},
    "down": {"down": True},
}


def test_key_runs_once_whatever_the_platform_does(tmp_path: Path) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 3})
            daemons = [await cluster.start_entry(f"e{n}") for n in range(3)]
            for name, faults in PLATFORM_TABLE.items():
                await cluster.set_platform_faults(**faults)
                callers = Callers(lambda: daemons, deadline_s=8.0)
                payloads = [f"{name} {n}" for n in range(KEYS)]
                # Each key arrives at two daemons at once, then again.
                await asyncio.gather(
                    *(repeat(callers, each) for each in payloads * 2)
                )
                await cluster.set_platform_faults()
                await http_call(cluster.platform.address, "POST", "/late")
                told = [
                    await callers.send(each, key=key_of(each))
                    for each in payloads
                ]
                counts = await cluster.run_counts()
                check(counts, callers.results, payloads)
                for each in told:
                    assert each.outcome in {"answered", "unknown"}, each
                if name == "down":
                    assert {each.outcome for each in told} == {"answered"}
                callers.close()

    asyncio.run(run())


async def issue_key(daemon: DaemonProcess) -> str:
    answer = await http_call(daemon.callers, "POST", KEYS_PATH)
    return str(msgspec.json.decode(answer.body)["key"])


def test_cut_off_daemon_serves_by_the_keys_that_it_issued(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 2})
            first = await cluster.start_entry("e1")
            second = await cluster.start_entry("e2")
            at_first = Callers(lambda: [first], deadline_s=5.0)
            at_second = Callers(lambda: [second], deadline_s=5.0)
            await cluster.set_platform_faults(down=True)
            own = await at_first.send("by own key", key="callers-own")
            assert own.outcome == "not-run"
            key = await issue_key(first)
            told = [await at_first.send("cut 1", key=key) for _ in range(3)]
            assert [each.is_served for each in told] == [True] * 3
            elsewhere = await at_second.send("cut 1", key=key)
            assert elsewhere.outcome == "unknown"
            unused = await issue_key(first)
            await first.kill()
            ended = await at_second.send("cut 2", key=unused)
            assert (ended.outcome, ended.reason) == (
                "unknown",
                "key-run-ended",
            )
            counts = await cluster.run_counts()
            assert counts == {"cut 1": 1}
            at_first.close()
            at_second.close()

    asyncio.run(run())


@pytest.mark.parametrize("mode", ["drop", "truncate"])
def test_request_without_key_is_never_sent_twice(
    tmp_path: Path, mode: str
) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 3})
            daemon = await cluster.start_entry("e1")
            await cluster.set_all_upstream_faults(mode=mode)
            callers = Callers(lambda: [daemon])
            await wait_until(lambda: daemon.is_serving)
            told = await callers.send_batch(20)
            assert {each.outcome for each in told} == {"unknown"}
            counts = await cluster.run_counts()
            assert set(counts.values()) == {1}
            callers.close()

    asyncio.run(run())
