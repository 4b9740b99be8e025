"""At most one run per key under kills, freezes and platform faults.

No request may be repeated, and each has a key.  Its caller sends it again
with the same key through another daemon until it is answered or the caller
gives up.
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

# The steps at which the first daemon is interrupted, each with the faults of
# the platform and of the upstreams that prolong it.
STEPS: dict[str, tuple[dict[str, Any], dict[str, Any]]] = {
    "before-claim": ({"delay_ms": 400}, {}),
    "after-claim": ({"delay_ms": 100}, {"delay_ms": 150}),
    "after-first-byte": ({}, {"delay_ms": 700}),
    "after-answer": ({}, {}),
}
# Time from sending the requests to the interruption.
INTERRUPT_AFTER_S = {
    "before-claim": 0.15,
    "after-claim": 0.25,
    "after-first-byte": 0.3,
    "after-answer": 0.5,
}


def key_of(payload: str) -> str:
    return payload.replace(" ", "-")


def check(
    counts: dict[str, int], results: list[CallResult], payloads: list[str]
) -> None:
    """Compare the results of callers with what the upstreams ran."""
    for payload in payloads:
        assert counts.get(payload, 0) <= 1, payload
    for each in results:
        assert each.has_no_wrong_answer, each
        if each.outcome == "answered":
            assert counts.get(each.payload) == 1, each


async def send_until_answered(callers: Callers, payload: str) -> CallResult:
    """Send a request with a key until it is answered or REPEATS is used up."""
    result = await callers.send(payload, key=key_of(payload))
    for _ in range(REPEATS):
        if result.outcome == "answered":
            break
        await asyncio.sleep(0.05)
        result = await callers.send(payload, key=key_of(payload))
    return result


async def interrupt(daemon: DaemonProcess, how: str) -> None:
    if how == "kill":
        await daemon.kill()
        return
    daemon.send_signal(signal.SIGSTOP)


async def run_step(cluster: Cluster, step: str, how: str, number: int) -> None:
    """Interrupt one daemon at one step; repeat its requests elsewhere."""
    daemon = await cluster.start_entry(f"v{number}")
    other = cluster.daemons["e1"]
    platform, upstream = STEPS[step]
    await cluster.set_platform_faults(**platform)
    await cluster.set_all_upstream_faults(**upstream)
    payloads = [f"{step} {how} {n}" for n in range(KEYS)]
    first = Callers(lambda: [daemon], deadline_s=8.0)
    in_flight = [
        asyncio.create_task(first.send(each, key=key_of(each)))
        for each in payloads
    ]
    await asyncio.sleep(INTERRUPT_AFTER_S[step])
    await interrupt(daemon, how)
    retries = Callers(lambda: [other], deadline_s=8.0)
    await asyncio.gather(
        *(send_until_answered(retries, each) for each in payloads)
    )
    await cluster.set_platform_faults()
    # A frozen daemon resumes its requests.
    daemon.send_signal(signal.SIGCONT)
    await asyncio.gather(*in_flight)
    last = [await retries.send(each, key=key_of(each)) for each in payloads]
    counts = await cluster.run_counts()
    results = first.results + retries.results
    check(counts, results, payloads)
    for each in last:
        # "not-run" at the end would mean that the key is refused for good.
        assert each.outcome in {"answered", "unknown"}, each
    for each in retries.results:
        # A key that another daemon has claimed may have run, so it must
        # not be reported as not run.
        if each.outcome == "not-run":
            assert each.reason != "key-claimed", each
    if step == "after-answer":
        # The outcome was recorded, so every repeat gets it.
        assert {each.outcome for each in retries.results} == {"answered"}
    first.close()
    retries.close()
    await daemon.kill()


def test_key_runs_once_when_its_daemon_is_interrupted(tmp_path: Path) -> None:
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


PLATFORM_FAULTS: dict[str, dict[str, Any]] = {
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
            for name, faults in PLATFORM_FAULTS.items():
                await cluster.set_platform_faults(**faults)
                callers = Callers(lambda: daemons, deadline_s=8.0)
                payloads = [f"{name} {n}" for n in range(KEYS)]
                # Each key is sent to two daemons at once, then again.
                await asyncio.gather(
                    *(
                        send_until_answered(callers, each)
                        for each in payloads * 2
                    )
                )
                await cluster.set_platform_faults()
                await http_call(cluster.platform.address, "POST", "/late")
                results = [
                    await callers.send(each, key=key_of(each))
                    for each in payloads
                ]
                counts = await cluster.run_counts()
                check(counts, callers.results, payloads)
                for each in results:
                    assert each.outcome in {"answered", "unknown"}, each
                if name == "down":
                    assert {each.outcome for each in results} == {"answered"}
                callers.close()

    asyncio.run(run())


async def issue_key(daemon: DaemonProcess) -> str:
    answer = await http_call(daemon.callers, "POST", KEYS_PATH)
    return str(msgspec.json.decode(answer.body)["key"])


def test_cut_off_daemon_accepts_only_the_keys_that_it_issued(
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
            results = [await at_first.send("cut 1", key=key) for _ in range(3)]
            assert [each.is_served for each in results] == [True] * 3
            elsewhere = await at_second.send("cut 1", key=key)
            assert elsewhere.outcome == "unknown"
            unused_key = await issue_key(first)
            await first.kill()
            ended = await at_second.send("cut 2", key=unused_key)
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
            results = await callers.send_batch(20)
            assert {each.outcome for each in results} == {"unknown"}
            counts = await cluster.run_counts()
            assert set(counts.values()) == {1}
            callers.close()

    asyncio.run(run())
