"""All error codes with their texts, and the Fault value that carries them.

Expected failures are returned as `Result[..., Fault]` values.  A fault
names the step at which it occurred and the peer involved, so log lines and
answers to callers show where to search for the cause.  Exceptions are
reserved for programming errors.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final

__all__ = [
    "CODES",
    "ErrorCode",
    "Fault",
    "Peer",
    "Step",
]


class Step(StrEnum):
    """The processing step at which a fault occurred."""

    PARSE = "parse"
    ADMIT = "admit"
    QUEUE = "queue"
    CLAIM = "claim"
    CHOOSE = "choose"
    CONNECT = "connect"
    SEND = "send"
    RECEIVE = "receive"
    RECORD = "record"
    READ = "read"
    WRITE = "write"
    PLAN = "plan"
    JOIN = "join"
    GOSSIP = "gossip"
    CONFIGURE = "configure"


class Peer(StrEnum):
    """The kind of peer on whose side a fault occurred."""

    CALLER = "caller"
    UPSTREAM = "upstream"
    PLATFORM = "platform"
    OPERATOR = "operator"
    ENTRY = "entry"
    SELF = "self"


class ErrorCode:
    """An error code with its HTTP status and a description."""

    __slots__ = ("name", "status", "text")

    def __init__(self, name: str, status: int, text: str) -> None:
        self.name = name
        self.status = status
        self.text = text

    def __repr__(self) -> str:
        return f"ErrorCode({self.name})"


CODES: Final[dict[str, ErrorCode]] = {}


def _code(name: str, status: int, text: str) -> ErrorCode:
    """Define an error code and register it in CODES."""
    if name in CODES:
        raise ValueError(f"error code {name!r} defined twice")
    code = ErrorCode(name, status, text)
    CODES[name] = code
    return code


# --- Callers: requests that are rejected before anything is dispatched.
BAD_REQUEST: Final = _code(
    "bad-request", 400, "The request is not valid HTTP/1.1."
)
HEADERS_TOO_LARGE: Final = _code(
    "headers-too-large", 431, "The request's header section is too large."
)
BODY_TOO_LARGE: Final = _code(
    "body-too-large", 413, "The request's body exceeds the limit."
)
SLOW_SENDER: Final = _code(
    "slow-sender", 408, "The request did not arrive in time."
)
TOO_MANY_CONNECTIONS: Final = _code(
    "too-many-connections", 503, "The daemon has reached its connection limit."
)
TOO_MANY_BYTES: Final = _code(
    "too-many-bytes",
    503,
    "The daemon holds too many bytes of requests and answers.",
)
BAD_HEADER: Final = _code(
    "bad-header", 400, "A request header has a value that is not allowed."
)
UNKNOWN_POOL: Final = _code(
    "unknown-pool", 404, "No pool of that name is configured."
)
UNKNOWN_TENANT: Final = _code(
    "unknown-tenant", 403, "No tenant of that name is configured."
)
NOT_READY: Final = _code(
    "not-ready", 503, "The daemon is starting or stopping."
)
INTERNAL_ERROR: Final = _code(
    "internal-error", 500, "The daemon failed because of an internal error."
)

# --- Admission and queueing.
QUEUE_FULL: Final = _code("queue-full", 503, "The pool's queue is full.")
TOO_LATE: Final = _code(
    "too-late", 503, "The request cannot finish before its deadline."
)
QUOTA_SPENT: Final = _code(
    "quota-spent", 429, "The tenant's quota in this pool is exhausted."
)
DEADLINE_PASSED: Final = _code("deadline-passed", 504, "The deadline passed.")
NO_UPSTREAM: Final = _code(
    "no-upstream", 503, "No upstream of the pool currently accepts work."
)

# --- Upstreams.
CONNECT_FAILED: Final = _code(
    "connect-failed", 503, "The connection to the upstream failed."
)
SEND_FAILED: Final = _code(
    "send-failed", 502, "The request could not be sent completely."
)
ANSWER_TRUNCATED: Final = _code(
    "answer-truncated", 502, "The upstream's answer ended early."
)
ANSWER_INVALID: Final = _code(
    "answer-invalid", 502, "The upstream's answer is not valid HTTP/1.1."
)
ANSWER_TOO_LARGE: Final = _code(
    "answer-too-large", 502, "The upstream's answer exceeds the limit."
)
ANSWER_CROSSED: Final = _code(
    "answer-crossed", 502, "The upstream answered another request."
)
ANSWER_TIMEOUT: Final = _code(
    "answer-timeout", 504, "The upstream did not answer in time."
)
UPSTREAM_REFUSED: Final = _code(
    "upstream-refused", 503, "The upstream refused the request."
)

# --- Claims of idempotency keys, and long jobs.
KEY_REUSED: Final = _code(
    "key-reused",
    422,
    "The idempotency key was used with another request.",
)
KEY_CLAIMED: Final = _code(
    "key-claimed",
    409,
    "A request with this key is running or its outcome is unknown.",
)
KEY_RUN_ENDED: Final = _code(
    "key-run-ended", 409, "The daemon run that issued this key has ended."
)
KEY_FORGOTTEN: Final = _code(
    "key-forgotten",
    409,
    "The daemon no longer has a record of this issued key or its use.",
)
ANSWER_NOT_KEPT: Final = _code(
    "answer-not-kept",
    410,
    "The request was run, but its answer is not stored.",
)
CLAIM_LOST: Final = _code(
    "claim-lost", 503, "The claim could not be confirmed in time."
)
UNKNOWN_JOB: Final = _code("unknown-job", 404, "No job has this handle.")
JOB_NOT_DONE: Final = _code("job-not-done", 409, "The job has no answer.")
JOB_CONFLICT: Final = _code(
    "job-conflict", 409, "Another daemon changed the job concurrently."
)

# --- Platform.
PLATFORM_UNREACHABLE: Final = _code(
    "platform-unreachable", 503, "The platform could not be reached."
)
PLATFORM_UNKNOWN: Final = _code(
    "platform-unknown",
    503,
    "The platform gave no answer; the write may have taken effect.",
)
PLATFORM_INVALID: Final = _code(
    "platform-invalid", 502, "The platform's answer is not valid."
)
UNKNOWN_OBJECT: Final = _code(
    "unknown-object", 404, "The object store has no object of that name."
)
UNKNOWN_HOST: Final = _code("unknown-host", 404, "No host has that name.")
HOST_NOT_DRAINED: Final = _code(
    "host-not-drained", 409, "Only a drained host can be rebooted."
)
REVISION_FORGOTTEN: Final = _code(
    "revision-forgotten",
    410,
    "Deletions since that revision are no longer known; read again from 0.",
)

# --- Operators, the sheet and plans.
UNAUTHORIZED: Final = _code(
    "unauthorized", 401, "The operator's token is missing or wrong."
)
UNKNOWN_ROUTE: Final = _code("unknown-route", 404, "No such resource.")
SHEET_INVALID: Final = _code(
    "sheet-invalid", 422, "The sheet has faults; nothing was changed."
)
SHEET_IMPOSSIBLE: Final = _code(
    "sheet-impossible", 422, "No fleet can match the sheet."
)
SHEET_RACED: Final = _code(
    "sheet-raced", 409, "Another operator's change came first."
)

TRACE_INVALID: Final = _code(
    "trace-invalid", 422, "The trace has an invalid line."
)

# --- Configuration and membership.
CONFIG_INVALID: Final = _code(
    "config-invalid", 422, "The configuration has faults."
)
CONFIG_REFUSED: Final = _code(
    "config-refused", 409, "The configuration was not accepted."
)
CONFIG_UNKNOWN: Final = _code(
    "config-unknown",
    504,
    "It is unknown whether the configuration was accepted.",
)
ENTRY_UNREACHABLE: Final = _code(
    "entry-unreachable", 503, "The entry daemon could not be reached."
)
ENTRY_INVALID: Final = _code(
    "entry-invalid", 502, "The entry daemon's message is not valid."
)
ENTRY_NAME_TAKEN: Final = _code(
    "entry-name-taken",
    409,
    "Another run of the daemon holds its name in the platform's table.",
)


class Fault:
    """An expected failure: error code, step, peer and a detail text."""

    __slots__ = ("code", "detail", "peer", "peer_name", "step")

    def __init__(
        self,
        code: ErrorCode,
        step: Step,
        peer: Peer,
        detail: str = "",
        peer_name: str = "",
    ) -> None:
        self.code = code
        self.step = step
        self.peer = peer
        self.detail = detail
        self.peer_name = peer_name

    def __str__(self) -> str:
        peer = f"{self.peer} {self.peer_name}".strip()
        text = f"{self.code.name} at {self.step} ({peer})"
        return f"{text}: {self.detail}" if self.detail else text

    def __repr__(self) -> str:
        return f"Fault({self})"
