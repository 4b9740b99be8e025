"""Builds the HTTP answers for callers, with the outcome in a header.

Error bodies are problem details (RFC 9457) with the additional members
`code`, `outcome`, `step` and `peer`, which a caller's program can evaluate.
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
RESERVED_PREFIX: Final = b"lycheelug-"
PROBLEM_TYPE: Final = b"application/problem+json"
# Seconds after which a caller may retry a request that was rejected because
# of overload.
RETRY_AFTER: Final = (b"retry-after", b"1")
RETRY_STATUSES: Final = frozenset({429, 503})
OUTCOME_HEADERS: Final = {
    outcome: (OUTCOME_HEADER, outcome.value.encode()) for outcome in Outcome
}
ANSWERED: Final = OUTCOME_HEADERS[Outcome.ANSWERED]


class Problem(msgspec.Struct):
    """The body of an error answer, in the form of RFC 9457."""

    type: str
    title: str
    status: int
    detail: str
    code: str
    outcome: str
    step: str
    peer: str


def forward_answer(answer: Answer) -> Answer:
    """Return an upstream's answer as it is forwarded to the caller.

    Headers with the daemon's own prefix are removed: only the daemon may
    state an outcome.
    """
    headers: RawHeaders = [
        pair
        for pair in end_to_end_headers(answer.headers)
        if not pair[0].startswith(RESERVED_PREFIX)
    ]
    headers.append(ANSWERED)
    return Answer(answer.status, headers, answer.body)


def problem_answer(fault: Fault, outcome: Outcome) -> Answer:
    """Return the answer that reports a fault to the caller."""
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
    """Return the error answer to a request that the HTTP server rejects.

    Such a request was not run.  After an internal error of the daemon it is
    unknown whether it was run.
    """
    fault = Fault(code, Step.PARSE, Peer.CALLER, detail)
    is_internal = code.name == "internal-error"
    outcome = Outcome.UNKNOWN if is_internal else Outcome.NOT_RUN
    return problem_answer(fault, outcome)
