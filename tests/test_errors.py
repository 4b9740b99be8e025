from __future__ import annotations

from pathlib import Path

import pytest

from lycheelug.errors import CODES, ErrorCode, Fault, Peer, Step
from lycheelug.errors_page import render_page


@pytest.mark.parametrize("code", CODES.values(), ids=list(CODES))
def test_code_has_error_status_and_full_sentence(code: ErrorCode) -> None:
    assert 400 <= code.status <= 599
    assert code.text.endswith(".")


def test_fault_names_step_and_peer() -> None:
    fault = Fault(
        CODES["connect-failed"], Step.CONNECT, Peer.UPSTREAM, "refused", "w1"
    )
    assert str(fault) == "connect-failed at connect (upstream w1): refused"


def test_page_is_current() -> None:
    page = Path(__file__).parent.parent / "docs" / "operators" / "errors.md"
    assert page.read_text(encoding="utf-8") == render_page()
