"""The rows of claimed idempotency keys, and what a claim answers.

The row's key is a hash of tenant and idempotency key: neither is stored.
A row without an outcome is never taken over: whoever finds it can't know
whether its work was dispatched.
"""

from __future__ import annotations

import hashlib
from enum import StrEnum
from typing import TYPE_CHECKING, Final

import msgspec

from lycheelug.store.interface import ABSENT

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = [
    "CLAIM_PREFIX",
    "AnswerHeaders",
    "Claim",
    "ClaimAttempt",
    "ClaimRow",
    "ClaimState",
    "Replay",
    "StoredAnswer",
    "claim_key",
    "object_name",
    "pack_answer",
    "unpack_headers",
]

CLAIM_PREFIX: Final = "claim/"

AnswerHeaders = list[tuple[bytes, bytes]]


class ClaimState(StrEnum):
    """What a claim's row says.

    FREE marks a key that was given back unused; anybody may claim it.
    """

    CLAIMED = "claimed"
    ANSWERED = "answered"
    FREE = "free"


class StoredAnswer(msgspec.Struct):
    """An answer's headers and body; headers are Latin-1 text."""

    headers: list[tuple[str, str]] = []
    body: bytes = b""


class ClaimRow(msgspec.Struct, omit_defaults=True):
    """One claimed key; `nonce` tells whose claim it is.

    `claimed_at` is Unix time in seconds.  `in_object` says that the answer
    lies in the object store, `kept` is False where it was too large.
    """

    digest: str
    daemon: str
    run: str
    nonce: str
    claimed_at: float
    state: ClaimState = ClaimState.CLAIMED
    status: int = 0
    answer: StoredAnswer | None = None
    in_object: bool = False
    kept: bool = True


class Claim:
    """A key that this daemon holds: its work may be dispatched once."""

    __slots__ = (
        "_closed",
        "_has_late_write",
        "_row",
        "_use_limit_s",
        "key",
        "revision",
    )

    def __init__(
        self,
        key: str,
        row: ClaimRow,
        revision: int,
        use_limit_s: float,
        has_late_write: bool = False,
    ) -> None:
        self.key = key
        self.revision = revision
        self._row = row
        self._use_limit_s = use_limit_s
        self._has_late_write = has_late_write
        self._closed = ""

    @property
    def row(self) -> ClaimRow:
        """The row as it was claimed."""
        return self._row

    @property
    def claimed_at(self) -> float:
        """When the claim was asked for, in Unix seconds."""
        return self._row.claimed_at

    @property
    def has_late_write(self) -> bool:
        """Whether a copy of the claim's write may still arrive."""
        return self._has_late_write

    @property
    def closed(self) -> str:
        """How the claim ended: "released", "recorded", or ""."""
        return self._closed

    def is_usable(self, now: float) -> bool:
        """Whether work may still be dispatched on this claim.

        A daemon asks directly before the first byte leaves.  The bound
        this leaves: a daemon that stands still between the question and
        the byte for longer than the retention time less the use limit
        (with the defaults 23 h 50 min) may dispatch on a row that was
        deleted meanwhile and claimed again.  Clocks of daemons must agree
        within that bound, too.
        """
        if self._closed:
            return False
        return abs(now - self._row.claimed_at) <= self._use_limit_s

    def close(self, how: str) -> None:
        """Mark the claim as ended; only its book calls this."""
        self._closed = how


class ClaimAttempt:
    """A claim on its way: what the row must be, and what may be in flight.

    `uncertain` says that a copy of the write may still take effect.
    """

    __slots__ = ("detail", "expected", "name", "row", "uncertain")

    def __init__(self, name: str, row: ClaimRow) -> None:
        self.name = name
        self.row = row
        self.expected = ABSENT
        self.uncertain = False
        self.detail = "raced by other claims"


class Replay:
    """The recorded outcome of a key's one run.

    `body_kept` is False where the answer was too large to be kept, or is
    deleted already: the work ran, and its answer can't be given again.
    """

    __slots__ = ("body", "body_kept", "headers", "status")

    def __init__(
        self,
        status: int,
        headers: AnswerHeaders,
        body: bytes,
        body_kept: bool = True,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.body_kept = body_kept


def claim_key(tenant: str, key: str) -> str:
    """Return the row key of a tenant's idempotency key.

    >>> len(claim_key("guild", "order-7"))
    70
    """
    text = f"{tenant}\0{key}"
    digest = hashlib.sha256(text.encode("utf-8", "surrogateescape"))
    return CLAIM_PREFIX + digest.hexdigest()


def object_name(key: str, nonce: str) -> str:
    """Return the name of a claim's answer in the object store."""
    return f"{key}/{nonce}"


def pack_answer(
    headers: Sequence[tuple[bytes, bytes]], body: bytes
) -> StoredAnswer:
    """Return the stored form of an answer."""
    packed: list[tuple[str, str]] = []
    for name, value in headers:
        packed.append((name.decode("latin-1"), value.decode("latin-1")))
    return StoredAnswer(packed, body)


def unpack_headers(answer: StoredAnswer) -> AnswerHeaders:
    """Return the headers of a stored answer as they were sent."""
    headers: AnswerHeaders = []
    for name, value in answer.headers:
        headers.append((name.encode("latin-1"), value.encode("latin-1")))
    return headers
