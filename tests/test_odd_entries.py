"""Tests with malformed rows, answers and requests of other writers."""

from __future__ import annotations

import ast
import asyncio
import json
import typing
from pathlib import Path
from types import SimpleNamespace
from typing import TYPE_CHECKING, Annotated, Any, get_args, get_origin
from urllib.parse import quote

import msgspec
import pytest
from returns.result import Failure, Success

import lycheelug
from lycheelug.errors import BAD_REQUEST
from lycheelug.fleetplan import HostState
from lycheelug.fleetplan.records import (
    HOSTS_KEY,
    PLAN_KEY,
    PLANS_TABLE,
    SUMMARIES_TABLE,
    SUMMARY_KEY,
    TURNS_KEY,
    TURNS_TABLE,
    WAVES_TABLE,
    HostsRecord,
    PlanRecord,
    SummaryRecord,
    TurnsRecord,
    WaveRecord,
)
from lycheelug.http import Answer, HttpServer, Request
from lycheelug.jobservice.interfaces import PollFailure
from lycheelug.jobservice.pool_cleanup import find_host_evidence
from lycheelug.jobservice.submissions import ReplyKind
from lycheelug.jobservice.tables import (
    FLEET_PART,
    JOB_PREFIX,
    PROGRESS_TABLE,
    jobs_table,
)
from lycheelug.jobservice.used_executors import (
    USED_EXECUTORS_TABLE,
    UsedExecutor,
    decode_used_executors,
)
from lycheelug.operators.routes import OperatorRequest
from lycheelug.operators.sheet_routes import post_sheet
from lycheelug.ownership.records import (
    CENSUS_KEY,
    CENSUS_PART,
    DAEMONS_TABLE,
    OWNERS_TABLE,
    CensusRecord,
    HeartbeatRecord,
    OwnerRecord,
    PeerRecord,
)
from lycheelug.platform import wire
from lycheelug.platform.executors import (
    PlatformExecutors,
    _decode_report,
    decode_executor,
)
from lycheelug.platform.hosts import PlatformHosts
from lycheelug.platform.ingress import (
    DEADLINE_DEFAULT_S,
    DEADLINE_MAX_S,
    _deadline_s,
    decode_job_message,
)
from lycheelug.platform.store import PlatformRows
from lycheelug.store.codec import DeltaMessage, RowAnswer, TransactionAnswer
from lycheelug.store.memory_rows import MemoryRows
from lycheelug.store.rows import RowName
from lycheelug.workloads import ExecutorInfo, Resources
from lycheelug.workloads.model import JobState
from tests.job_world import POOL, JobWorld
from tests.test_job_service import start_all, wait_state
from tests.test_malformed_messages import (
    DECODERS,
    ENTRY,
    JOB,
    REPORT,
    TASK,
    _row,
)
from tests.virtual_time import run_virtual

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

NESTED = b"[" * 60_000 + b"]" * 60_000
# Not a number of 64 bits, of a float, and of Python's limit of digits.
WIDE = b"1" + b"0" * 30
WIDER = b"1" + b"0" * 400
WIDEST = b"1" * 4_400

ODD_VALUES = {
    "nested": NESTED,
    "nested-below-the-limit": b"[" * 900 + b"]" * 900,
    "wide": WIDE,
    "wider": WIDER,
    "widest": WIDEST,
    "negative": b"-" + WIDER,
    "exponent": b"1e999999999",
    "not-utf-8": b'"\xff\xfe"',
    "text": b'"\\u0000\\r\\n"',
}


def replace_field(message: Any, field: str, value: bytes) -> bytes:
    """Return an encoded message in which one field has another value."""
    body = json.dumps({**message, field: "~"}).encode()
    return body.replace(b'"~"', value)


def fields_of(message: Any) -> list[str]:
    return [*message, "unknown"]


ALL_DECODERS = [
    *DECODERS,
    (
        "used-executors",
        {"i-1": ["h", "10.0.0.1:1", 4000, 4096]},
        decode_used_executors,
    ),
]


# Guards against a row or an answer that raises an unexpected error, which
# ended the owner that read it and each owner after it.
@pytest.mark.parametrize("odd", ODD_VALUES)
@pytest.mark.parametrize(
    ("message", "decode"),
    [(message, decode) for _, message, decode in ALL_DECODERS],
    ids=[name for name, _, _ in ALL_DECODERS],
)
def test_odd_value_in_any_field_raises_nothing(
    message: Any, decode: Callable[[bytes], object], odd: str
) -> None:
    for field in fields_of(message):
        body = replace_field(message, field, ODD_VALUES[odd])
        decoded = decode(body)
        if decoded is not None and msgspec_struct(decoded):
            msgspec.json.encode(decoded)


def msgspec_struct(value: object) -> bool:
    return isinstance(value, msgspec.Struct)


# Guards against a decoder with a list of exceptions of its own, which lacked
# those of nested and of wide values.
def test_only_one_module_decodes_untrusted_data() -> None:
    root = Path(lycheelug.__file__).parent
    found: set[str] = set()
    for path in root.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Attribute) or node.attr != "decode":
                continue
            module = ast.unparse(node.value)
            if module in ("msgspec.json", "msgspec.msgpack"):
                found.add(str(path.relative_to(root)))
    assert found == {"decoding.py"}


MESSAGES = [
    kind
    for kind in vars(wire).values()
    if isinstance(kind, type)
    and issubclass(kind, msgspec.Struct)
    # The limits of jobs are checked after decoding.
    and kind not in (wire.JobMessage, wire.StepMessage)
]
RECORDS = [
    CensusRecord,
    DeltaMessage,
    HeartbeatRecord,
    HostsRecord,
    OwnerRecord,
    PeerRecord,
    PlanRecord,
    RowAnswer,
    SummaryRecord,
    TransactionAnswer,
    TurnsRecord,
    UsedExecutor,
    WaveRecord,
]


def unbounded(annotation: Any) -> bool:
    """Whether a type has an integer of any size, or any value at all."""
    if get_origin(annotation) is Annotated:
        inner, *notes = get_args(annotation)
        if inner is int:
            return not any(
                isinstance(note, msgspec.Meta) and note.le is not None
                for note in notes
            )
        return unbounded(inner)
    if annotation in (int, Any):
        return True
    return any(unbounded(each) for each in get_args(annotation))


# Guards against numbers that are decoded and can't be encoded again, which
# broke sums, log lines and stored rows later.
@pytest.mark.parametrize("kind", [*MESSAGES, *RECORDS])
def test_message_has_no_number_without_limits(kind: type) -> None:
    hints = typing.get_type_hints(kind, include_extras=True)
    assert [name for name, note in hints.items() if unbounded(note)] == []


# Guards against an entry with an address that can't be connected to, or that
# breaks the head of a request.
@pytest.mark.parametrize(
    "address",
    [
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:" + "1" * 4_400,
        "10.0.0.1:-1",
        "10.0.0.1:+1",
        "10.0.0.1:1_0",
        ":80",
        " :80",
        "10.0.0.1\r\nx-a: b:80",
        "10.0.0.1\x00:80",
        "10.0.0.1 :80",
        "10.0.0.1:80\n",
        "a" * 300 + ":80",
        "\u0661\u0660.0.0.1:80",
    ],
)
def test_entry_with_an_odd_address_names_no_executor(address: str) -> None:
    body = json.dumps({**ENTRY, "address": address}).encode()
    assert decode_executor(_row(body)) is None


# Guards against an entry whose amounts break the sums over a pool, or whose
# texts make the rows of its owner too large for the store.
@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("capacity", {"cpu": -1, "mem_mb": 1}),
        ("capacity", {"cpu": 2**40, "mem_mb": 1}),
        ("born", -1),
        ("born", 2**63),
        ("born", 0.5),
        ("remaining_ms", 10**400),
        ("cold_left_ms", -(10**400)),
        ("machine", "m" * 50_000),
        ("zone", "z" * 50_000),
        ("labels", ["l"] * 50_000),
        ("labels", ["l" * 50_000]),
    ],
)
def test_entry_with_an_odd_amount_names_no_executor(
    field: str, value: object
) -> None:
    body = json.dumps({**ENTRY, field: value}).encode()
    assert decode_executor(_row(body)) is None
    assert decode_executor(_row(json.dumps(ENTRY).encode())) is not None


# Guards against a malformed report that ends the loop of an executor, or of
# which only the readable runs count.
@pytest.mark.parametrize("odd", ODD_VALUES)
@pytest.mark.parametrize(
    ("entries", "position"),
    [
        ("running", 0),
        ("running", 1),
        ("running", 3),
        ("running", 4),
        ("ended", 0),
        ("ended", 1),
        ("ended", 2),
        ("ended", 3),
    ],
)
def test_report_with_an_odd_value_is_no_report(
    entries: str, position: int, odd: str
) -> None:
    if odd == "text" and position in (0, 1):
        return
    message = json.loads(json.dumps(REPORT))
    message[entries][0][position] = "~"
    body = json.dumps(message).encode().replace(b'"~"', ODD_VALUES[odd])
    assert _decode_report(body) is None


@pytest.mark.parametrize(
    "name", [TASK + "_0", TASK + "\u0661", TASK + "1" * 300, "x.1.2.-3"]
)
def test_task_is_reported_only_by_its_own_name(name: str) -> None:
    body = json.dumps({**REPORT, "running": [[name, 2, "", 41, 7]]}).encode()
    report = _decode_report(body)
    assert report is None or report.running == []


# Guards against a submission that is answered with an internal error.
@pytest.mark.parametrize(
    ("body", "text"),
    [
        (replace_field(JOB, "steps", NESTED), "steps: nested too deeply"),
        (replace_field(JOB, "spec", NESTED), "spec: nested too deeply"),
        (replace_field(JOB, "more", NESTED), "more: nested too deeply"),
        (replace_field(JOB, "repeats", WIDEST), "repeats"),
        (replace_field(JOB, "repeats", WIDER), "repeats"),
        (replace_field(JOB, "steps", b'[{"count":%s}]' % WIDER), "count"),
        (
            replace_field(
                JOB, "steps", b'[{"count":1,"depends_on":[%s]}]' % WIDER
            ),
            "depends_on",
        ),
        (NESTED, "Expected `object`"),
    ],
    ids=range(8),
)
def test_odd_submission_is_refused_with_its_field(
    body: bytes, text: str
) -> None:
    refused = decode_job_message(body, "q", 0)
    assert isinstance(refused, str)
    assert text in refused


INFO = ExecutorInfo("i-1", "quotes", "", Resources(1000, 1000, 0))


async def serve(
    status: int, body: bytes, use: Callable[[str], Awaitable[None]]
) -> None:
    """Run `use` with the address of a server that always answers this."""

    async def handler(request: Request) -> Answer:
        del request
        return Answer(status, [], body)

    server = HttpServer(handler)
    await server.start("127.0.0.1", 0)
    try:
        await use(f"127.0.0.1:{server.port}")
    finally:
        server.stop()


ODD_BODIES = [
    NESTED,
    b'{"x":' + NESTED + b"}",
    b'{"clock_ms":%s}' % WIDER,
    b'{"clock_ms":%s}' % WIDEST,
    b'{"row_version":%s}' % WIDER,
    b'{"machines":[],"next_token":%s}' % NESTED,
    b'{"valid_ms":%s}' % WIDER,
    b"\xff",
    b"",
]


# Guards against an answer that raises an unexpected error in the task that
# polls an executor, follows a table or reads the list of hosts.
@pytest.mark.parametrize("body", ODD_BODIES, ids=range(len(ODD_BODIES)))
@pytest.mark.parametrize("status", [200, 409, 412])
def test_odd_answer_is_a_failed_call(status: int, body: bytes) -> None:
    async def use(address: str) -> None:
        executors = PlatformExecutors(address)
        info = ExecutorInfo("i-1", "quotes", address, Resources(1, 1, 0))
        polled = await executors.poll(info, 1, 0, None, 0.0)
        if not isinstance(polled, Success):
            assert polled.failure() is PollFailure.NO_ANSWER
        hint = await executors.request_placement_hint(TASK_STEP, ["i-1"])
        assert isinstance(hint, Success | Failure)
        hosts = PlatformHosts(address, MemoryRows())
        await hosts.move("m-1", "quotes", "d", 1, lambda: True)
        assert isinstance(await hosts.hosts(), Success | Failure)
        rows = PlatformRows(address)
        assert isinstance(await rows.read("t", "p"), Success | Failure)
        assert isinstance(await rows.feed("t", 0, 0.0), Success | Failure)
        assert isinstance(await rows.commit("p", {}, {}), Success | Failure)

    asyncio.run(serve(status, body, use))


TASK_STEP = typing.cast("Any", type("Step", (), {"render": lambda _: "x"})())


# Guards against one malformed host that hides all others from the planner,
# or that is left out, so that its maintenance wave would look completed, or
# that is the proof that an executor has crashed.
@pytest.mark.parametrize(
    "odd",
    [
        {"machine": "m-2", "pool": "quotes", "state": "unheard-of"},
        {"machine": "m-2", "pool": 7, "state": "up"},
        {"machine": "m-2", "pool": "quotes"},
        {"machine": "m-2", "pool": "quotes", "state": "up", "labels": 1},
        {
            "machine": "m-2",
            "pool": "quotes",
            "state": "up",
            "capacity": {"cpu": -5},
        },
    ],
)
def test_malformed_host_is_listed_and_proves_nothing(
    odd: dict[str, object],
) -> None:
    good = {"machine": "m-1", "pool": "quotes", "state": "up", "id": "i-1"}
    body = json.dumps({"machines": [good, odd]}).encode()

    async def use(address: str) -> None:
        listed = (await PlatformHosts(address, MemoryRows()).hosts()).unwrap()
        assert [host.name for host in listed] == ["m-1", "m-2"]
        assert [host.state for host in listed] == [
            HostState.UP,
            HostState.UNKNOWN,
        ]
        assert not listed[1].has_incarnation_ended("i-2")
        hosts = {host.name: host for host in listed}
        assert find_host_evidence(hosts, {"i-2": "m-2"}, set()) == {}

    asyncio.run(serve(200, body, use))


ODD_ROWS = [
    (PROGRESS_TABLE, POOL, "0000000000000099"),
    (SUMMARIES_TABLE, POOL, SUMMARY_KEY),
    (SUMMARIES_TABLE, POOL, HOSTS_KEY),
    (USED_EXECUTORS_TABLE, POOL, "3"),
    (PLANS_TABLE, FLEET_PART, PLAN_KEY),
    (WAVES_TABLE, FLEET_PART, "1"),
    (TURNS_TABLE, FLEET_PART, TURNS_KEY),
    (jobs_table(POOL), POOL, JOB_PREFIX + "0000000000000099"),
    (DAEMONS_TABLE, "odd", "odd"),
    (OWNERS_TABLE, CENSUS_PART, CENSUS_KEY),
]


# Guards against one malformed row that ends each owner that reads it, so that
# the jobs of its pool never run.
@pytest.mark.parametrize(
    "value",
    [b'{"x":%s}' % NESTED, b'{"term":%s}' % WIDER],
    ids=["nested", "wider"],
)
@pytest.mark.parametrize(
    ("table", "part", "key"), ODD_ROWS, ids=[row[0] for row in ODD_ROWS]
)
def test_jobs_run_beside_a_malformed_row(
    table: str, part: str, key: str, value: bytes
) -> None:
    async def run() -> None:
        world = JobWorld()
        name = RowName(table, key)
        (await world.rows.commit(part, {}, {name: value})).unwrap()
        await start_all(world, executors=2, daemons=2)
        reply = await world.submit("e0", 1)
        assert reply.kind is ReplyKind.OK
        await wait_state(world, "e0", 1, JobState.COMPLETED)
        for service in world.daemons.values():
            assert "defects" not in service.metrics.exposition()
        await world.stop()

    run_virtual(run())


# Guards against a number in a header or a query that is answered with an
# internal error.
@pytest.mark.parametrize(
    ("value", "deadline_s"),
    [
        (b"", DEADLINE_DEFAULT_S),
        (b"1500", 1.5),
        (b"0", 0.2),
        (b"-5", DEADLINE_DEFAULT_S),
        (b"\xb2", DEADLINE_DEFAULT_S),
        (b"9" * 18, DEADLINE_MAX_S),
        (WIDER, DEADLINE_DEFAULT_S),
        (WIDEST, DEADLINE_DEFAULT_S),
    ],
)
def test_odd_deadline_is_no_deadline(value: bytes, deadline_s: float) -> None:
    request = Request(b"GET", b"/", [(b"deadline-ms", value)])
    assert _deadline_s(request) == deadline_s


@pytest.mark.parametrize("based_on", ["1" * 4_400, "\u0661\u0662", "-1"])
def test_odd_revision_of_a_sheet_is_refused(based_on: str) -> None:
    async def snapshot() -> object:
        return object()

    daemon = SimpleNamespace(plan=SimpleNamespace(snapshot=snapshot))
    target = f"/v1/sheet?nonce=n&based_on={quote(based_on)}"
    request = OperatorRequest(Request(b"POST", target.encode(), []))

    async def run() -> Answer:
        return await post_sheet(typing.cast("Any", daemon), request)

    answer = asyncio.run(run())
    assert answer.status == BAD_REQUEST.status
    assert b"based_on must be a revision" in answer.body
