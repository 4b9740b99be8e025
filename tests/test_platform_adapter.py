"""Tests of the adapter to the users' platform: decoding and the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from urllib.parse import parse_qsl

import pytest
from returns.result import Failure, Success

from lycheelug.errors import PLATFORM_UNKNOWN, PLATFORM_UNREACHABLE
from lycheelug.http import Answer, HttpServer, json_answer
from lycheelug.platform.config import decode_configuration
from lycheelug.platform.executors import decode_executor
from lycheelug.platform.ingress import decode_job_message
from lycheelug.platform.settings import read_settings
from lycheelug.platform.store import READ_TIMEOUT_S, PlatformRows
from lycheelug.store.rows import (
    HistoryGone,
    RowCommit,
    RowConflict,
    RowName,
    StoredRow,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

    from lycheelug.http import Request

ENTRY = (
    b'{"service":"quotes","address":"10.0.0.1:80","zone":"z","version":"v1",'
    b'"slots":8,"state":"%s","cold_left_ms":0,"capacity":{"cpu":16000,'
    b'"mem_mb":32768,"gpu":0},"labels":["a","r1"],"machine":"m-1",'
    b'"clock_ms":12,"seq_no":4,"born":99}'
)


@pytest.mark.parametrize(
    ("value", "usable", "draining"),
    [
        (ENTRY % b"ready", True, False),
        (ENTRY % b"draining", True, True),
        (ENTRY % b"other", False, False),
        (b"\xff\xfe", False, False),
        (b'{"service":7}', False, False),
        (ENTRY.replace(b'"10.0.0.1:80"', b"null") % b"ready", False, False),
    ],
)
def test_invalid_entry_yields_no_executor(
    value: bytes, usable: bool, draining: bool
) -> None:
    info = decode_executor(StoredRow("servers", "", "i-1", value, 5))
    assert (info is not None) is usable
    if info is not None:
        assert info.draining is draining
        assert (info.host, info.born_ms, info.labels) == (
            "m-1",
            99,
            ("a", "r1"),
        )


@pytest.mark.parametrize(
    ("body", "fault"),
    [
        (b"{", "the body is not a valid job"),
        (b'{"steps":[]}', "steps: 0"),
        (b'{"steps":[{"count":0}]}', "steps[0].count"),
        (b'{"steps":[{"count":"two"}]}', "$.steps[0].count"),
        (b'{"steps":[{"count":1,"depends_on":[0]}]}', "earlier steps only"),
        (b'{"spec":"%s","steps":[{"count":1}]}' % (b"x" * 4001), "spec"),
    ],
)
def test_error_of_invalid_submission_names_the_field(
    body: bytes, fault: str
) -> None:
    decoded = decode_job_message(body, "q", 0)
    assert isinstance(decoded, str)
    assert fault in decoded


def test_submission_keeps_all_requirements_of_a_step() -> None:
    decoded = decode_job_message(
        b'{"spec":"s","repeats":2,"start_at_ms":5,"interval_ms":7,"steps":['
        b'{"count":3,"cpu":500,"mem_mb":9,"anti_affinity":2,"gang":true,'
        b'"affinity":"r1","requirements":"k","long_running":true,'
        b'"may_miss":1,"fills":true}]}',
        "q",
        1,
    )
    assert not isinstance(decoded, str)
    (step,) = decoded.steps
    assert (step.count, step.max_per_executor, step.may_miss) == (3, 2, 1)
    assert step.is_gang
    assert step.lasts
    assert step.resources.cpu_millis == 0
    assert decoded.occurrences == 2


def test_longest_prefix_selects_the_queue() -> None:
    configuration = decode_configuration(
        b'{"version":3,"services":[],"routes":['
        b'{"name":"r1","host":"a.example","path_prefix":"/x/",'
        b'"service":"s1","slo_ms":600},'
        b'{"name":"r2","host":"a.example","path_prefix":"/x/y/",'
        b'"service":"s2","slo_ms":600}]}'
    )
    assert configuration is not None
    found = configuration.find_route("a.example", "/x/y/12")
    assert found is not None
    assert found.name == "r2"
    assert configuration.find_route("b.example", "/x/y/12") is None


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("node_name = 3", "node_name"),
        ("= 3", "not valid TOML"),
        (
            'node_name="n"\nip="1"\nzone="z"\n[platform]\naddress="a:1"\n'
            '[listen_addrs]\nfrontend_addr="nowhere"',
            "listen_addrs.frontend_addr",
        ),
    ],
)
def test_error_of_invalid_settings_names_the_field(
    tmp_path: Path, text: str, fault: str
) -> None:
    path = tmp_path / "local.toml"
    path.write_text(text, encoding="utf-8")
    result = read_settings(str(path))
    assert isinstance(result, Failure)
    assert fault in result.failure()
    assert isinstance(read_settings(""), Failure)


async def with_store(
    handler: Callable[[Request], Awaitable[Answer]],
    use: Callable[[PlatformRows], Awaitable[None]],
) -> None:
    """Run `use` with a client of a store that `handler` implements."""
    server = HttpServer(handler)
    await server.start("127.0.0.1", 0)
    store = PlatformRows(f"127.0.0.1:{server.port}")
    try:
        await use(store)
    finally:
        store.close()
        server.stop()


WRITES = {RowName("t", "k"): b"v"}


@pytest.mark.parametrize(
    ("status", "content", "kind"),
    [
        (200, {"row_version": 9}, RowCommit),
        (412, {"rows": []}, RowConflict),
        (503, {}, PLATFORM_UNREACHABLE),
        (429, {}, PLATFORM_UNREACHABLE),
    ],
)
def test_result_of_commit_depends_on_the_status(
    status: int, content: dict[str, object], kind: object
) -> None:
    async def handler(request: Request) -> Answer:
        assert b'"value":"dg=="' in request.body
        return json_answer(status, content)

    async def use(store: PlatformRows) -> None:
        result = await store.commit("p", {RowName("t", "k"): 0}, WRITES)
        if isinstance(kind, type):
            assert isinstance(result, Success)
            assert isinstance(result.unwrap(), kind)
            return
        assert isinstance(result, Failure)
        assert result.failure().code is kind

    asyncio.run(with_store(handler, use))


def test_commit_with_truncated_answer_is_unknown() -> None:
    async def handler(request: Request) -> Answer:
        answer = Answer(200, [(b"content-length", b"99")], b"cut")
        answer.close = True
        return answer

    async def use(store: PlatformRows) -> None:
        result = await store.commit("p", {}, WRITES)
        assert isinstance(result, Failure)
        assert result.failure().code is PLATFORM_UNKNOWN

    asyncio.run(with_store(handler, use))


def test_read_follows_all_pages() -> None:
    async def handler(request: Request) -> Answer:
        first = b"from=a%00" not in request.target
        key = "a" if first else "b"
        row = {
            "table": "t",
            "part": "p",
            "key": key,
            "value": "dg==",
            "row_version": 3,
        }
        return json_answer(
            200, {"rows": [row], "has_more": first, "row_version": 8}
        )

    async def use(store: PlatformRows) -> None:
        result = await store.read("t", "p")
        assert [row.key for row in result.unwrap().rows] == ["a", "b"]
        assert result.unwrap().rows[0].value == b"v"

    asyncio.run(with_store(handler, use))


# Guards against a table that is never read over a slow link: each answer was
# thrown away at the time limit and asked for again.
def test_read_without_answer_is_repeated_in_shorter_pages() -> None:
    keys = [f"k{number:03d}" for number in range(350)]
    targets: list[str] = []

    async def handler(request: Request) -> Answer:
        target = request.target.decode()
        targets.append(target)
        query = dict(parse_qsl(target.partition("?")[2]))
        limit = int(query.get("limit", "500"))
        left = [key for key in keys if key >= query.get("from", "")]
        page = left[:limit]
        # A link that takes 250 rows in the time limit.
        await asyncio.sleep(READ_TIMEOUT_S * len(page) / 250)
        rows = [
            {"table": "t", "part": "p", "key": key, "row_version": 3}
            for key in page
        ]
        has_more = len(left) > limit
        return json_answer(
            200, {"rows": rows, "has_more": has_more, "row_version": 8}
        )

    async def use(store: PlatformRows) -> None:
        result = await store.read("t", "p")
        assert [row.key for row in result.unwrap().rows] == keys
        # One without an answer and four pages.
        assert len(targets) == 5

    asyncio.run(with_store(handler, use))


def test_feed_reports_removed_rows_and_dropped_history() -> None:
    async def handler(request: Request) -> Answer:
        if b"depends_on=1&" in request.target:
            return Answer(410, [])
        row = {
            "table": "t",
            "part": "p",
            "key": "k",
            "row_version": 7,
            "tombstone": True,
        }
        return json_answer(200, {"rows": [row], "row_version": 7})

    async def use(store: PlatformRows) -> None:
        dropped = await store.feed("t", 1, 0.1)
        assert isinstance(dropped.unwrap(), HistoryGone)
        changes = (await store.feed("t", 2, 0.1)).unwrap()
        assert not isinstance(changes, HistoryGone)
        assert changes.rows[0].value is None

    asyncio.run(with_store(handler, use))


@pytest.mark.parametrize(
    ("control", "expected"),
    [
        ("10.0.0.1:7000", ["10.0.0.2:8623"]),
        ("", ["10.0.0.2:7000"]),
    ],
)
def test_seed_addresses_omit_this_daemon(
    control: str, expected: list[str], tmp_path: Path
) -> None:
    path = tmp_path / "local.toml"
    path.write_text(
        'node_name = "e1"\nip = "10.0.0.1"\nzone = "z1"\n'
        f'seeds = ["10.0.0.1:{7000 if control else 8623}", "10.0.0.2:8623"]\n'
        '[platform]\naddress = "10.9.9.9:1"\n'
        '[listen_addrs]\nfrontend_addr = "10.0.0.1:1"\n'
        f'readiness_addr = "10.0.0.1:2"\ncontrol = "{control}"\n'
    )
    settings = read_settings(str(path)).unwrap()
    assert settings.seed_addresses(7000) == expected
