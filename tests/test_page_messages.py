"""Tests of decoding the platform's messages, one case a field.

The bytes are written from the fields and examples of the platform's pages,
not from the types that decode them.
"""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any, TypeVar

import pytest

from lycheelug.http import Answer, HttpServer
from lycheelug.jobservice.interfaces import HostAnswer, StopAnswer
from lycheelug.platform.config import decode_wave
from lycheelug.platform.executors import PlatformExecutors, decode_executor
from lycheelug.platform.hosts import PlatformHosts
from lycheelug.platform.ingress import decode_job_message
from lycheelug.platform.settings import read_settings
from lycheelug.store.memory_rows import MemoryRows
from lycheelug.store.rows import StoredRow
from lycheelug.workloads import (
    EndKind,
    ExecutorInfo,
    JobRecord,
    Resources,
    StartAnswer,
    StepName,
    TaskName,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

    from lycheelug.http import Request

T = TypeVar("T")
TASK = TaskName("5c0e7a21d94b36f8", 0, 1, 17)
STEP = StepName("5c0e7a21d94b36f8", 0, 1)
ROOM = Resources(16000, 32768, 1)


def ask(
    status: int,
    body: object,
    use: Callable[[str], Awaitable[T]],
    seen: list[tuple[bytes, Any]] | None = None,
) -> T:
    """Run `use` with the address of a server that always answers this."""

    async def handler(request: Request) -> Answer:
        if seen is not None:
            seen.append((request.target, json.loads(request.body or b"null")))
        return Answer(status, [], json.dumps(body).encode())

    async def run() -> T:
        server = HttpServer(handler)
        await server.start("127.0.0.1", 0)
        try:
            return await use(f"127.0.0.1:{server.port}")
        finally:
            server.stop()

    return asyncio.run(run())


def executor(address: str) -> ExecutorInfo:
    return ExecutorInfo("i-7f3a91c2", "quotes", address, ROOM)


ENTRY: dict[str, Any] = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "akureyri",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 1},
    "labels": ["a", "r1-3"],
    "clock_ms": 482113,
    "seq_no": 4,
}


# Guards against a field of an executor's entry that makes it unusable.
@pytest.mark.parametrize(
    ("field", "value", "attribute", "expected"),
    [
        ("service", "quotes", "pool", "quotes"),
        ("address", "10.0.0.1:80", "address", "10.0.0.1:80"),
        ("zone", "pos-a", "zone", "pos-a"),
        ("version", "v2", "pool", "huvo11a"),
        ("slots", 64, "pool", "huvo11a"),
        ("state", "draining", "draining", True),
        ("cold_left_ms", 1500, "cold_s", 1.5),
        ("capacity", {"cpu": 1}, "capacity", Resources(1, 0, 0)),
        ("capacity", ENTRY["capacity"], "capacity", ROOM),
        ("labels", ["b", "r2"], "labels", ("b", "r2")),
        ("clock_ms", 0, "pool", "huvo11a"),
        ("seq_no", 10**12, "pool", "huvo11a"),
        ("machine", "m-0a3f1", "host", "m-0a3f1"),
        ("born", 1765000000000, "born_ms", 1765000000000),
        ("remaining_ms", 4500, "leaves_in_s", 4.5),
        ("unheard_of", [{}], "pool", "huvo11a"),
    ],
)
def test_each_field_of_an_executor_is_decoded(
    field: str, value: object, attribute: str, expected: object
) -> None:
    entry = json.dumps({**ENTRY, field: value}).encode()
    info = decode_executor(StoredRow("servers", "", "i-1", entry, 5))
    assert info is not None
    assert getattr(info, attribute) == expected


RUNNING = ["5c0e7a21d94b36f8.0.1.17", 2, "00000bb87a21d94b", 41]
ENDED = [58, "5c0e7a21d94b36f8.0.1.17", 1, "done", ""]


# Guards against a field of a list of runs that makes an executor silent.
@pytest.mark.parametrize(
    ("running", "ended", "expected"),
    [
        ([RUNNING], [], (2, "00000bb87a21d94b", 41, 0)),
        ([[*RUNNING, 350]], [], (2, "00000bb87a21d94b", 41, 350)),
        ([[*RUNNING, 350.5, "new"]], [], (2, "00000bb87a21d94b", 41, 350)),
        ([[RUNNING[0], 2, "", 100]], [], (2, "", 100, 0)),
        ([], [ENDED], (58, 1, EndKind.DONE, "")),
        ([], [[*ENDED[:3], "failed", ""]], (58, 1, EndKind.FAILED, "")),
        ([], [[*ENDED[:3], "stopped", "c"]], (58, 1, EndKind.STOPPED, "c")),
        ([], [[*ENDED[:3], "lapsed", ""]], (58, 1, EndKind.LAPSED, "")),
        ([], [[*ENDED[:3], "broken", ""]], (58, 1, EndKind.BROKEN, "")),
        ([], [[*ENDED[:3], "alone", ""]], (58, 1, EndKind.ALONE, "")),
    ],
)
def test_each_field_of_a_list_of_runs_is_decoded(
    running: list[list[Any]], ended: list[list[Any]], expected: object
) -> None:
    body = {
        "clock_ms": 482113,
        "born": 1765000000000,
        "running": running,
        "ended": ended,
    }
    seen: list[tuple[bytes, Any]] = []
    report = ask(
        200,
        body,
        lambda address: PlatformExecutors().poll(
            executor(address), 7, 57, 486000, 1.0
        ),
        seen,
    ).unwrap()
    assert (report.clock_ms, report.born_ms) == (482113, 1765000000000)
    found: list[object] = [
        (run.run, run.checkpoint, run.percent, run.load)
        for run in report.running
    ]
    for end in report.ended:
        found.append((end.number, end.run, end.kind, end.checkpoint))
    assert found == [expected]
    assert {each.task for each in report.running + report.ended} == {TASK}
    assert seen == [
        (
            b"/v1/hold",
            {
                "deadline_ms": 486000,
                "fencing_token": 7,
                "last_seen": 57,
                "wait_ms": 1000,
            },
        )
    ]


# Guards against an executor that counts as silent for the length of a
# checkpoint, of which the pages name no limit.
def test_list_of_runs_with_a_long_checkpoint_is_decoded() -> None:
    long = "c" * 100_000
    body = {
        "clock_ms": 1,
        "running": [[RUNNING[0], 2, long, 41]],
        "ended": [[58, RUNNING[0], 1, "stopped", long]],
    }
    report = ask(
        200,
        body,
        lambda address: PlatformExecutors().poll(
            executor(address), 7, 57, None, 0.0
        ),
    ).unwrap()
    # It can't be stored with the job, so the task starts without it.
    assert [run.checkpoint for run in report.running] == [""]
    assert [end.checkpoint for end in report.ended] == [""]


# Guards against an answer to a start that is taken for another one.
@pytest.mark.parametrize(
    ("status", "reason", "expected"),
    [
        (200, "", StartAnswer.STARTED),
        (409, "fence", StartAnswer.FENCED),
        (409, "old", StartAnswer.REJECTED),
        (409, "late", StartAnswer.REJECTED),
        (409, "room", StartAnswer.NO_ROOM),
        (409, "ticket", StartAnswer.BAD_TICKET),
        (400, "", StartAnswer.REJECTED),
        (429, "", StartAnswer.NO_ROOM),
        (503, "", StartAnswer.NO_ROOM),
    ],
)
def test_each_answer_to_a_start_is_decoded(
    status: int, reason: str, expected: StartAnswer
) -> None:
    seen: list[tuple[bytes, Any]] = []
    answer = ask(
        status,
        {"clock_ms": 482113, "reason": reason},
        lambda address: PlatformExecutors().start(
            executor(address), TASK, 2, "(text)", "0bb8", 486000, 7, "c81e"
        ),
        seen,
    )
    assert answer == (expected, 482113)
    assert seen == [
        (
            b"/v1/run-start",
            {
                "task": "5c0e7a21d94b36f8.0.1.17",
                "run": 2,
                "spec": "(text)",
                "deadline_ms": 486000,
                "fencing_token": 7,
                "checkpoint": "0bb8",
                "ticket": "c81e",
            },
        )
    ]


# Guards against an answer to a stop that is taken for another one.
@pytest.mark.parametrize(
    ("status", "reason", "expected"),
    [
        (200, "", StopAnswer.ANSWERED),
        (409, "fence", StopAnswer.FENCED),
        (421, "", StopAnswer.GONE),
    ],
)
def test_each_answer_to_a_stop_is_decoded(
    status: int, reason: str, expected: StopAnswer
) -> None:
    seen: list[tuple[bytes, Any]] = []
    answer = ask(
        status,
        {"clock_ms": 482113, "reason": reason},
        lambda address: PlatformExecutors().stop(
            executor(address), TASK, 2, 7
        ),
        seen,
    )
    assert answer is expected
    body = {"task": "5c0e7a21d94b36f8.0.1.17", "run": 2, "fencing_token": 7}
    assert seen == [(b"/v1/run-stop", body)]


# Guards against tickets that count as valid for 0 s, as the answer doesn't
# state their validity (review case 6).
@pytest.mark.parametrize(
    ("body", "tickets", "valid_s"),
    [
        ({"allowed": []}, {}, None),
        ({"allowed": [["i-1", "c81e"]]}, {"i-1": "c81e"}, None),
        ({"allowed": [["i-1", "c"]], "valid_ms": 3000}, {"i-1": "c"}, 3.0),
        ({"allowed": [["i-1", "c"]], "valid_ms": 0.5}, {"i-1": "c"}, 0.0005),
    ],
)
def test_each_field_of_a_placement_hint_is_decoded(
    body: object, tickets: dict[str, str], valid_s: float | None
) -> None:
    seen: list[tuple[bytes, Any]] = []
    hint = ask(
        200,
        body,
        lambda address: PlatformExecutors(address).request_placement_hint(
            STEP, ["i-1", "i-2"]
        ),
        seen,
    ).unwrap()
    assert (hint.tickets, hint.valid_s) == (tickets, valid_s)
    call = {"step": "5c0e7a21d94b36f8.0.1", "workers": ["i-1", "i-2"]}
    assert seen == [(b"/v1/advise", call)]


# Guards against a wave of maintenance that is never seen.
@pytest.mark.parametrize(
    ("field", "value", "attribute"),
    [
        ("wave", 3, "number"),
        ("machines", ["m-0a3f1", "m-141e8"], "hosts"),
        ("deadline_s", 20, "deadline_s"),
        ("deadline_s", 20.5, "deadline_s"),
        ("cap", 2, "max_concurrent"),
    ],
)
def test_each_field_of_a_wave_is_decoded(
    field: str, value: object, attribute: str
) -> None:
    order: dict[str, Any] = {
        "wave": 1,
        "machines": ["m-0a3f1"],
        "deadline_s": 20,
        "cap": 1,
    }
    order[field] = value
    row = StoredRow("op", "", "wave/1", json.dumps(order).encode(), 5)
    wave = decode_wave(row)
    assert wave is not None
    found = getattr(wave, attribute)
    assert (list(found) if isinstance(value, list) else found) == value


MACHINE: dict[str, Any] = {
    "machine": "m-0a3f1",
    "pool": "huvo11a",
    "state": "up",
    "zone": "akureyri",
    "labels": ["a", "r1-2"],
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 1},
    "id": "i-7f3a91c2",
}


# Guards against a host that counts as unknown for one of its fields.
@pytest.mark.parametrize(
    ("field", "value", "attribute", "expected"),
    [
        ("machine", "m-9", "name", "m-9"),
        ("pool", "quotes", "pool", "quotes"),
        ("state", "moving", "state", "MOVING"),
        ("state", "upkeep", "state", "IN_UPKEEP"),
        ("state", "down", "state", "DOWN"),
        ("zone", "pos-a", "zone", "pos-a"),
        ("id", "i-9", "executor_id", "i-9"),
        ("id", None, "name", "m-0a3f1"),
        ("capacity", {"cpu": 1}, "capacity", Resources(1, 0, 0)),
        ("unheard_of", {}, "name", "m-0a3f1"),
    ],
)
def test_each_field_of_a_host_is_decoded(
    field: str, value: object, attribute: str, expected: object
) -> None:
    body = {"machines": [{**MACHINE, field: value}], "next_token": None}
    (host,) = ask(
        200,
        body,
        lambda address: PlatformHosts(address, MemoryRows()).hosts(),
    ).unwrap()
    found = getattr(host, attribute)
    assert getattr(found, "name", found) == expected


# Guards against an answer to a host's order that is taken for another one.
@pytest.mark.parametrize(
    ("status", "reason", "expected"),
    [
        (200, "", HostAnswer.DONE),
        (409, "fence", HostAnswer.FENCED),
        (409, "busy", HostAnswer.BUSY),
        (409, "wave", HostAnswer.REFUSED),
        (400, "", HostAnswer.REFUSED),
        (429, "", HostAnswer.THROTTLED),
    ],
)
def test_each_answer_to_a_host_order_is_decoded(
    status: int, reason: str, expected: HostAnswer
) -> None:
    seen: list[tuple[bytes, Any]] = []
    answer = ask(
        status,
        {"reason": reason},
        lambda address: PlatformHosts(address, MemoryRows()).maintain(
            "m-0a3f1", 1, "frontend-akureyri-1", 12, lambda: True
        ),
        seen,
    )
    assert answer is expected
    body = {"machine": "m-0a3f1", "wave": 1}
    assert seen == [(b"/v1/machine-upkeep", body)]


# Guards against a job that is refused, or run otherwise, for one field.
@pytest.mark.parametrize(
    ("field", "value", "attribute", "expected"),
    [
        ("count", 20, "count", 20),
        ("cpu", 2000, "cpu_millis", 2000),
        ("mem_mb", 1024, "memory_mb", 1024),
        ("gpu", 1, "gpus", 1),
        ("estimate_ms", 7000, "estimate_ms", 7000),
        ("depends_on", [0], "depends_on", [0]),
        ("checkpointing", True, "saves_checkpoints", True),
        ("gang", True, "is_gang", True),
        ("same_rack", True, "wants_one_rack", True),
        ("requirements", "a", "required_label", "a"),
        ("affinity", "r1-3", "data_rack", "r1-3"),
        ("anti_affinity", 2, "max_per_executor", 2),
        ("speculative", True, "may_duplicate", True),
        ("long_running", True, "lasts", True),
        ("image", "img-7", "image", "img-7"),
        ("target_ms", 80, "target_ms", 80),
        ("fills", True, "fills", True),
        ("may_miss", 1, "may_miss", 1),
        ("unheard_of", {}, "count", 4),
    ],
)
def test_each_field_of_a_step_is_decoded(
    field: str, value: object, attribute: str, expected: object
) -> None:
    step = {"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 900}
    body = {"spec": "(text)", "steps": [step, {**step, field: value}]}
    record = decode_job_message(json.dumps(body).encode(), "q", 0)
    assert isinstance(record, JobRecord)
    assert getattr(record.steps[1], attribute) == expected


SETTINGS = """\
node_name = "e1"
ip = "10.0.0.1"
zone = "z1"
[platform]
address = "10.9.9.9:1"
[listen_addrs]
frontend_addr = "10.0.0.1:1"
readiness_addr = "10.0.0.1:2"
[bounds]
"""


# Guards against a daemon that doesn't start, as a figure of the bounds is a
# fraction, which the pages allow.
@pytest.mark.parametrize("value", ["2", "1500.5", "1500.0", "1500"])
@pytest.mark.parametrize(
    "name",
    [
        "hold_max_ms",
        "grace_s",
        "stop_grace_ms",
        "migrate_s",
        "maintenance_s",
        "notice_ms",
        "early_ms",
        "revoke_ms",
        "config_apply_ms",
    ],
)
def test_each_bound_may_be_a_fraction(
    name: str, value: str, tmp_path: Path
) -> None:
    path = tmp_path / "local.toml"
    path.write_text(f"{SETTINGS}{name} = {value}\n")
    settings = read_settings(str(path)).unwrap()
    assert getattr(settings.bounds, name) == float(value)
