"""Tests of the selection of a job's log lines."""

from __future__ import annotations

import json
from typing import Any

import pytest

from lycheelug.cli.explain import explain

JOB = "00000000000000aa"


def line(number: int, **fields: Any) -> str:
    return json.dumps({"time": str(number), "daemon": "e", **fields})


# Guards against a command that fails on lines which count tasks.
@pytest.mark.parametrize(
    ("fields", "is_selected"),
    [
        ({"event": "runs-lost", "tasks": [f"{JOB}.0.0.1/1001"]}, True),
        ({"event": "runs-lost", "tasks": ["00000000000000bb.0.0.1"]}, False),
        ({"event": "loss-proved", "tasks": 3}, False),
        ({"event": "suspect-cleared", "tasks": 1, "job": JOB}, True),
        ({"event": "x", "tasks": 2, "others": [f"{JOB}.0.0.1"]}, True),
        ({"event": "x", "tasks": None}, False),
    ],
)
def test_lines_that_name_or_count_tasks(
    fields: dict[str, Any], is_selected: bool
) -> None:
    lines = [
        line(1, event="job-accepted", job=JOB),
        line(2, **fields),
        line(3, event="job-ended", job=JOB),
    ]
    times = [found.time for found in explain(lines, JOB)]
    assert times == (["1", "2", "3"] if is_selected else ["1", "3"])
