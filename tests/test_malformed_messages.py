"""Malformed messages and rows: each is rejected, and nothing else is lost.

Valid messages are mutated at random: values of other types, negative, huge
and missing ones, deep nesting, unknown names, cut and changed bytes.
"""

from __future__ import annotations

import copy
import json
import random
from typing import TYPE_CHECKING, Any

import pytest

from lycheelug.fleetplan import (
    FleetPlanner,
    MaintenanceWave,
    decode_hosts,
    decode_plan,
    decode_summary,
    decode_turns,
    decode_wave_record,
)
from lycheelug.jobservice.tables import decode_job, decode_progress
from lycheelug.platform.config import decode_configuration, decode_wave
from lycheelug.platform.executors import _decode_report, decode_executor
from lycheelug.platform.ingress import decode_job_message
from lycheelug.store.rows import StoredRow
from tests.test_fleet_planner import FleetWorld

if TYPE_CHECKING:
    from collections.abc import Callable

MUTATIONS = 600
SURROGATE = "\\ud800"
DEEP: Any = []
for _ in range(200):
    DEEP = [DEEP]

VALUES: list[Any] = [
    None,
    True,
    -1,
    0,
    2**31,
    2**63,
    -(2**63),
    10**30,
    0.5,
    -1e300,
    1e308,
    "",
    "x",
    "7",
    "a.b.c.d",
    "0.0.0.0",
    "y" * 5_000,
    [],
    {},
    [None],
    {"unknown": 1},
    DEEP,
]

TASK = "5c0e7a21d94b36f8.0.1.17"
JOB = {
    "spec": "(text)",
    "steps": [
        {"count": 4, "cpu": 500, "mem_mb": 256, "estimate_ms": 900},
        {"count": 2, "cpu": 20, "depends_on": [0], "checkpointing": True},
    ],
    "repeats": 2,
    "start_at_ms": 5,
    "interval_ms": 7,
}
CONFIG = {
    "version": 3,
    "routes": [
        {
            "name": "r",
            "host": "a.example",
            "path_prefix": "/x/",
            "service": "s",
            "slo_ms": 600,
            "priority": 1,
            "max_attempts": 3,
            "stretch": 1.6,
        }
    ],
    "services": [{"name": "s", "rejects_overload": False, "standby": True}],
}
ENTRY = {
    "service": "quotes",
    "address": "10.0.0.1:80",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
    "labels": ["a", "r1"],
    "machine": "m-1",
    "born": 99,
    "remaining_ms": 40,
}
REPORT = {
    "clock_ms": 482113,
    "born": 99,
    "running": [[TASK, 2, "00000bb87a21d94b", 41, 7]],
    "ended": [[58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""]],
}
WAVE = {"wave": 1, "machines": ["m-1", "m-2"], "deadline_s": 25.0, "cap": 50}
RECORD = {
    "queue": "r",
    "payload": "p",
    "steps": [{"count": 2, "cpu_millis": 100, "depends_on": []}],
    "accepted_ms": 1,
    "schedule": {"count": 2, "first_ms": 1, "interval_ms": 1},
}
PROGRESS = {
    "begun_term": 1,
    "state": "running",
    "done": {"0.0": [1, 2]},
    "failures": {"0.0.1": 1},
    "counted_runs": {"0.0.1": [1001]},
    "checkpoints": {"0.0.1": "ab"},
    "finished": [0],
}
SUMMARY = {"term": 1, "ready_cpu": 5, "waiting": {"r": 2}, "vacated": {}}
HOSTS = {"term": 1, "hosts": {"m-1": ["i-1", True, 100, 1, 0]}}
PLAN = {"term": 1, "orders": {"m-1": ["1.2", "quotes", "off", 0, True]}}
WAVE_RECORD = {"maintained": ["m-1"], "is_completed": False, "seen_ms": 5}
TURNS = {"turns": [["quotes", 5, 100]]}


def _row(value: bytes) -> StoredRow:
    return StoredRow("servers", "", "i-1", value, 5)


DECODERS: list[tuple[str, Any, Callable[[bytes], object]]] = [
    ("job", JOB, lambda body: decode_job_message(body, "q", 0)),
    ("configuration", CONFIG, decode_configuration),
    ("executor", ENTRY, lambda body: decode_executor(_row(body))),
    ("report", REPORT, _decode_report),
    ("wave", WAVE, lambda body: decode_wave(_row(body))),
    ("record", RECORD, decode_job),
    ("progress", PROGRESS, decode_progress),
    ("summary", SUMMARY, decode_summary),
    ("hosts", HOSTS, decode_hosts),
    ("plan", PLAN, decode_plan),
    ("wave-record", WAVE_RECORD, decode_wave_record),
    ("turns", TURNS, decode_turns),
]


def mutate(message: Any, rng: random.Random) -> bytes:
    """Return an encoded message with one or two random changes."""
    changed = copy.deepcopy(message)
    for _ in range(rng.choice([1, 1, 2])):
        _change_value(changed, rng)
    body = json.dumps(changed).encode()
    kind = rng.randrange(10)
    if kind == 0:
        return body[: rng.randrange(len(body))]
    if kind == 1:
        position = rng.randrange(len(body))
        changed_byte = bytes([rng.randrange(256)])
        return body[:position] + changed_byte + body[position + 1 :]
    if kind == 2:
        return body.replace(b"1", rng.choice([b"NaN", b"1e999", b"-0"]), 1)
    if kind == 3:
        return body.replace(b'"', b'"' + SURROGATE.encode(), 1)
    return body


def _change_value(node: Any, rng: random.Random) -> None:
    """Replace, remove or add one value somewhere below a node."""
    while True:
        keys = list(node) if isinstance(node, dict) else range(len(node))
        if not keys:
            return
        key = rng.choice(list(keys))
        child = node[key]
        if isinstance(child, dict | list) and child and rng.random() < 0.7:
            node = child
            continue
        if rng.random() < 0.2:
            del node[key]
        else:
            node[key] = rng.choice(VALUES)
        return


@pytest.mark.parametrize(
    ("message", "decode"),
    [(message, decode) for _, message, decode in DECODERS],
    ids=[name for name, _, _ in DECODERS],
)
def test_mutated_message_raises_nothing(
    message: Any, decode: Callable[[bytes], object]
) -> None:
    valid = decode(json.dumps(message).encode())
    assert valid is not None
    assert not isinstance(valid, str)
    rng = random.Random(7)
    for _ in range(MUTATIONS):
        decode(mutate(message, rng))


@pytest.mark.parametrize(
    "body",
    [
        b'{"clock_ms":1,"running":[["%s",null,"",0]]}' % TASK.encode(),
        b'{"clock_ms":1,"running":[["%s",[],"",0]]}' % TASK.encode(),
        b'{"clock_ms":1,"ended":[[1,"%s",1,[],""]]}' % TASK.encode(),
        b'{"clock_ms":1,"ended":[[1,"%s",1,"vanished",""]]}' % TASK.encode(),
        b'{"clock_ms":1,"ended":[[1]]}',
    ],
)
def test_report_with_one_malformed_entry_proves_nothing(body: bytes) -> None:
    """A run missing from a report would be started again elsewhere."""
    assert _decode_report(body) is None


@pytest.mark.parametrize(
    "address", ["10.0.0.1:", "10.0.0.1:x", "10.0.0.1:99999", "10.0.0.1:\u00b2"]
)
def test_executor_without_a_valid_port_is_not_used(address: str) -> None:
    body = json.dumps({**ENTRY, "address": address}).encode()
    assert decode_executor(_row(body)) is None


@pytest.mark.parametrize(
    ("hosts", "deadline_s", "cap"),
    [
        (("s1",), float("inf"), 1),
        (("s1",), float("nan"), 1),
        (("s1",), -1e308, 1),
        (("s1",), 20.0, -5),
        (("s1", "s1", "gone"), 20.0, 2**62),
        ((), 0.0, 0),
    ],
)
def test_malformed_wave_keeps_no_host_from_being_moved(
    hosts: tuple[str, ...], deadline_s: float, cap: int
) -> None:
    world = FleetWorld()
    world.add("a", "a1", used=900)
    world.add("b", "b1")
    world.add("off", "s1", "s2", "s3", "s4")
    world.planner.summaries["a"].ready_cpu = 1700
    world.planner.waves[9] = MaintenanceWave(9, hosts, deadline_s, cap, 1)
    for _ in range(40):
        world.decide(0.5)
        world.planner.sizes()
    assert list(world.targets.values()).count("a") == 2


def test_planner_survives_rows_of_another_version() -> None:
    """Stored plans and turns may come from another version of the daemon."""
    rng = random.Random(3)
    for _ in range(200):
        plan = decode_plan(mutate(PLAN, rng))
        turns = decode_turns(mutate(TURNS, rng))
        if plan is None or turns is None:
            continue
        plan.turns = turns.turns
        planner = FleetPlanner(3, plan, 2.0)
        planner.pools = ["a", "quotes"]
        planner.standby = "off"
        planner.decide(10.0, 1_000)
        planner.due_calls()
