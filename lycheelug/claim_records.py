"""The rows of claimed idempotency keys, and the results of a claim.

The row's key is a hash of tenant and idempotency key, neither of which is
stored.  A row without an outcome is never taken over by another daemon, since
that daemon can't know whether the request was dispatched.
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
    """The state of a claim's row.

    FREE marks a key that was released unused; any daemon may claim it.
    """

    CLAIMED = "claimed"
    ANSWERED = "answered"
    FREE = "free"


class StoredAnswer(msgspec.Struct):
    """An answer's headers and body; headers are Latin-1 text."""

    headers: list[tuple[str, str]] = []
    body: bytes = b""


class ClaimRow(msgspec.Struct, omit_defaults=True):
    """One claimed key; `nonce` identifies the claim.

    `claimed_at` is Unix time in seconds.  `in_object` is True if the answer
    is in the object store, `kept` is False if the answer was not stored.
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
    """A claim of a key by this daemon, which permits one dispatch."""

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
        """The time of the claim request, in Unix seconds."""
        return self._row.claimed_at

    @property
    def has_late_write(self) -> bool:
        """Whether a copy of the claim's write may still take effect."""
        return self._has_late_write

    @property
    def closed(self) -> str:
        """How the claim ended: "released" or "recorded"; else empty."""
        return self._closed

    def is_usable(self, now: float) -> bool:
        """Whether the request may still be dispatched on this claim.

        A daemon checks this immediately before it sends the first byte.
        Remaining risk: a daemon that is paused between the check and the
        send for longer than the retention time minus the use limit (23 h
        50 min by default) may dispatch on a row that was deleted and
        claimed again in the meantime.  The daemons' clocks must agree
        within that bound as well.
        """
        if self._closed:
            return False
        return abs(now - self._row.claimed_at) <= self._use_limit_s

    def close(self, how: str) -> None:
        """Mark the claim as ended; only `ClaimStore` calls this."""
        self._closed = how


class ClaimAttempt:
    """The state of an unfinished claim.

    `expected` is the revision that the row must have for the next write.
    `uncertain` is True if a copy of the write may still take effect.
    """

    __slots__ = ("detail", "expected", "name", "row", "uncertain")

    def __init__(self, name: str, row: ClaimRow) -> None:
        self.name = name
        self.row = row
        self.expected = ABSENT
        self.uncertain = False
        self.detail = "other claims changed the row"


class Replay:
    """The recorded outcome of the only run of a key's request.

    `body_kept` is False if the answer was too large to store, or is already
    deleted: the request ran, but its answer can't be replayed.
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
    """Return the name of the object that holds a claim's answer."""
    return f"{key}/{nonce}"


def pack_answer(
    headers: Sequence[tuple[bytes, bytes]], body: bytes
) -> StoredAnswer:
    """Convert an answer to its stored form."""
    packed: list[tuple[str, str]] = []
    for name, value in headers:
        packed.append((name.decode("latin-1"), value.decode("latin-1")))
    return StoredAnswer(packed, body)


def unpack_headers(answer: StoredAnswer) -> AnswerHeaders:
    """Convert the headers of a stored answer back to bytes."""
    headers: AnswerHeaders = []
    for name, value in answer.headers:
        headers.append((name.encode("latin-1"), value.encode("latin-1")))
    return headers
