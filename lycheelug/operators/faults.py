"""Converts faults to HTTP answers for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from lycheelug.http import Answer, json_answer

if TYPE_CHECKING:
    from lycheelug.errors import Fault

__all__ = ["FaultReply", "fault_answer"]

PROBLEM_TYPE: Final = b"application/problem+json"


class FaultReply(msgspec.Struct):
    """The body of an error answer to an operator."""

    code: str
    title: str
    status: int
    detail: str
    step: str
    peer: str


def fault_answer(fault: Fault) -> Answer:
    """Return the error answer that reports a fault."""
    reply = FaultReply(
        fault.code.name,
        fault.code.text,
        fault.code.status,
        fault.detail,
        fault.step.value,
        f"{fault.peer} {fault.peer_name}".strip(),
    )
    return json_answer(fault.code.status, reply, PROBLEM_TYPE)
