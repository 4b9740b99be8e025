"""Tests of settings files: all faults are reported, the page is current."""

from __future__ import annotations

from pathlib import Path

import pytest

from lycheelug.settings_file import check_text, read_settings
from lycheelug.settings_page import render_page

VALID = "name: e1\nzone: arima\n"
PAGE = Path(__file__).parent.parent / "docs" / "SETTINGS.md"


def test_page_is_current() -> None:
    assert PAGE.read_text(encoding="utf-8") == render_page()


def test_missing_fields_have_defaults() -> None:
    settings = check_text(VALID).unwrap()
    assert (settings.name, settings.zone) == ("e1", "arima")
    assert settings.listen.operators == "127.0.0.1:8081"
    assert settings.policies.queue == "deadline"


@pytest.mark.parametrize(
    ("added", "line", "path"),
    [
        pytest.param("typo: 1", 3, "typo", id="unknown-key"),
        pytest.param("name: e2", 3, "name", id="key-twice"),
        pytest.param(
            "listen: {callers: localhost:80}", 3, "listen.callers", id="host"
        ),
        pytest.param(
            "listen: {operators: 10.0.0.1:81}",
            3,
            "listen.operators",
            id="open-without-token",
        ),
        pytest.param(
            "limits:\n  max_queued: true", 4, "limits.max_queued", id="bool"
        ),
        pytest.param(
            "limits: {max_queued: 0}", 3, "limits.max_queued", id="bound"
        ),
        pytest.param(
            "limits: {default_deadline_s: 700}",
            3,
            "limits.default_deadline_s",
            id="over-another",
        ),
        pytest.param("limits: []", 3, "limits", id="no-mapping"),
        pytest.param("seeds: here", 3, "seeds", id="no-list"),
        pytest.param("seeds: [here]", 3, "seeds[0]", id="list-item"),
        pytest.param(
            "platform: {binding: http}", 3, "platform.binding", id="no-address"
        ),
        pytest.param(
            "policies: {queue: none}", 3, "policies.queue", id="policy"
        ),
        pytest.param(
            "tenants: [{name: a}, {name: a}]", 3, "tenants[1].name", id="twice"
        ),
        pytest.param(
            "platform: {hosts: [{name: w, address: 127.0.0.1:1, pool: x}]}",
            3,
            "platform.hosts[0].pool",
            id="unknown-pool",
        ),
    ],
)
def test_fault_names_line_and_path(added: str, line: int, path: str) -> None:
    faults = check_text(VALID + added + "\n").failure()
    assert [(each.line, each.path) for each in faults] == [(line, path)]
    assert "allowed: " in faults[0].render("s.yaml")


@pytest.mark.parametrize(
    ("text", "found"),
    [
        ("", "an empty file"),
        ("name: [", "expected the node content"),
        ("- a", "'a list'"),
    ],
)
def test_text_without_settings_is_a_fault(text: str, found: str) -> None:
    faults = check_text(text).failure()
    assert found in faults[0].found


def test_all_faults_are_reported_at_once() -> None:
    text = "zone: 5\ntypo: 1\nlimits: {max_queued: x}\n"
    paths = {each.path for each in check_text(text).failure()}
    assert paths == {"name", "zone", "typo", "limits.max_queued"}


def test_missing_file_is_a_fault(tmp_path: Path) -> None:
    faults = read_settings(tmp_path / "none.yaml").failure()
    assert "No such file" in faults[0].found
