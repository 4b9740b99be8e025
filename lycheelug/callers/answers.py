"""Answers to callers, each with its outcome in a header.

Errors are problem details (RFC 9457) with the fields `code`, `outcome`,
`step` and `peer` for a caller's program.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from lycheelug.errors import Fault, Peer, Step
from lycheelug.http import Answer, end_to_end_headers, json_answer
from lycheelug.requests import Outcome

if TYPE_CHECKING:
    from lycheelug.errors import ErrorCode
    from lycheelug.http import RawHeaders

__all__ = [
    "OUTCOME_HEADER",
    "REASON_HEADER",
    "Problem",
    "forward_answer",
    "problem_answer",
    "refuse_incomplete",
]

OUTCOME_HEADER: Final = b"lycheelug-outcome"
REASON_HEADER: Final = b"lycheelug-reason"
OWN_PREFIX: Final = b"lycheelug-"
PROBLEM_TYPE: Final = b"application/problem+json"
# Seconds after which a caller may try again what was not run for load.
RETRY_AFTER: Final = (b"retry-after", b"1")
RETRY_STATUSES: Final = frozenset({429, 503})
OUTCOME_HEADERS: Final = {
    outcome: (OUTCOME_HEADER, outcome.value.encode()) for outcome in Outcome
}
ANSWERED: Final = OUTCOME_HEADERS[Outcome.ANSWERED]


class Problem(msgspec.Struct):
    """The body of an error."""

    type: str
    title: str
    status: int
    detail: str
    code: str
    outcome: str
    step: str
    peer: str


def forward_answer(answer: Answer) -> Answer:
    """Return an upstream's whole answer as the caller gets it."""
    headers: RawHeaders = [
        pair
        for pair in end_to_end_headers(answer.headers)
        if not pair[0].startswith(OWN_PREFIX)
    ]
    headers.append(ANSWERED)
    return Answer(answer.status, headers, answer.body)


def problem_answer(fault: Fault, outcome: Outcome) -> Answer:
    """Return an error as the caller gets it."""
    code = fault.code
    problem = Problem(
        f"urn:lycheelug:error:{code.name}",
        code.text,
        code.status,
        fault.detail,
        code.name,
        outcome.value,
        fault.step.value,
        fault.peer.value,
    )
    answer = json_answer(code.status, problem, PROBLEM_TYPE)
    answer.headers.append(OUTCOME_HEADERS[outcome])
    answer.headers.append((REASON_HEADER, code.name.encode()))
    if outcome is Outcome.NOT_RUN and code.status in RETRY_STATUSES:
        answer.headers.append(RETRY_AFTER)
    return answer


def refuse_incomplete(code: ErrorCode, detail: str) -> Answer:
    """Return the answer to a request that never became whole.

    A defect of the daemon leaves it open whether the request was run.
    """
    fault = Fault(code, Step.PARSE, Peer.CALLER, detail)
    defect = code.name == "internal-error"
    outcome = Outcome.UNKNOWN if defect else Outcome.NOT_RUN
    return problem_answer(fault, outcome)
