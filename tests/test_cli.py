"""Tests the command-line tool: files, usage errors, daemons, traces."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

import pytest

from standins.cluster import Cluster
from standins.processes import ProcessGroup

if TYPE_CHECKING:
    from pathlib import Path


async def run_tool(directory: Path, *arguments: str) -> tuple[int, str]:
    return await ProcessGroup(directory).run_tool(*arguments)


@pytest.mark.parametrize(
    ("arguments", "code", "text"),
    [
        pytest.param(
            ["status", "--address", "127.0.0.1:1"],
            3,
            "daemon at 127.0.0.1:1: connect-failed",
            id="no-daemon",
        ),
        pytest.param(
            ["status", "--address", "here"], 2, "allowed:", id="address"
        ),
        pytest.param(
            ["sheet", "check", "/nowhere.csv"],
            2,
            "/nowhere.csv: No such file",
            id="no-file",
        ),
        pytest.param(["hosts", "--output", "xml"], 2, "xml", id="output"),
        pytest.param(["nonsense"], 2, "nonsense", id="command"),
        pytest.param(["--help"], 0, "Exit codes", id="help"),
    ],
)
def test_error_is_reported_with_an_exit_code(
    tmp_path: Path, arguments: list[str], code: int, text: str
) -> None:
    found, output = asyncio.run(run_tool(tmp_path, *arguments))
    assert found == code
    assert text in output
    assert "Traceback" not in output


def test_generated_trace_is_replayed_with_two_policies(tmp_path: Path) -> None:
    file = tmp_path / "guild.jsonl"
    arguments = ["trace", "make", str(file), "--seconds", "5"]
    code, _ = asyncio.run(run_tool(tmp_path, *arguments))
    assert code == 0
    arguments = ["replay", str(file), "--policy", "deadline", "fifo"]
    code, text = asyncio.run(
        run_tool(tmp_path, *arguments, "--output", "json")
    )
    assert code == 0, text
    reports = json.loads(text)
    assert [each["policy"] for each in reports] == ["deadline", "fifo"]
    assert all(each["lost"] == 0 for each in reports)


def test_bad_trace_names_file_line_and_field(tmp_path: Path) -> None:
    file = tmp_path / "bad.jsonl"
    file.write_text('{"type": "header"}\n')
    code, text = asyncio.run(run_tool(tmp_path, "replay", str(file)))
    assert code == 2
    assert f"{file}:1: format" in text


def test_recorded_trace_contains_the_requests_of_callers(
    tmp_path: Path,
) -> None:
    async def run() -> None:
        file = tmp_path / "recorded.jsonl"
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 1})
            daemon = await cluster.start_entry("e1")
            recording = asyncio.create_task(
                cluster.run_tool(
                    "trace",
                    "record",
                    str(file),
                    "--seconds",
                    "3",
                    "--address",
                    daemon.operators,
                )
            )
            while not recording.done():
                await cluster.send_request(daemon, "bowl")
            code, text = await recording
            assert code == 0, text
        lines = [json.loads(line) for line in file.open()]
        assert lines[0]["pools"][0]["name"] == "quotes"
        kinds = {line["type"] for line in lines[1:]}
        assert kinds == {"arrival"}

    asyncio.run(run())


def test_output_names_a_daemon_declared_dead(tmp_path: Path) -> None:
    async def run() -> None:
        async with Cluster(tmp_path) as cluster:
            await cluster.start_platform_and_pools({"quotes": 1})
            first = await cluster.start_entry("e1")
            second = await cluster.start_entry("e2")
            await cluster.wait_members(first, alive=2)
            arguments = ["--address", first.operators]
            code, text = await cluster.run_tool(
                "entries", "dead", "e9", *arguments
            )
            assert (code, "e9" in text) == (1, True), text
            code, text = await cluster.run_tool(
                "entries", "dead", "e2", *arguments
            )
            assert (code, "e2: run" in text) == (0, True), text
            assert await second.wait() == 1

    asyncio.run(run())
