"""The messages and paths of the HTTP binding, for its client and servers.

Messages are JSON with stored values in base64.  An object is sent as the
raw body.  An error answer has one of the platform's error codes.
"""

from __future__ import annotations

from typing import Final
from urllib.parse import quote, unquote

import msgspec

from lycheelug.decoding import Amount, Integer  # noqa: TC001
from lycheelug.errors import (
    HOST_NOT_DRAINED,
    REVISION_FORGOTTEN,
    UNKNOWN_HOST,
    UNKNOWN_OBJECT,
)
from lycheelug.store.interface import (
    Commit,
    Conflict,
    Delta,
    Guard,
    HostDelta,
    HostEntry,
    HostRole,
    HostState,
    Row,
    Transaction,
    Write,
)

__all__ = [
    "DELTA_PATH",
    "HOSTS_PATH",
    "OBJECTS_PATH",
    "PLATFORM_CODES",
    "ROW_PATH",
    "TRANSACTIONS_PATH",
    "DeltaMessage",
    "FaultMessage",
    "HostMessage",
    "HostsMessage",
    "RebootMessage",
    "RowAnswer",
    "RowMessage",
    "TransactionAnswer",
    "TransactionMessage",
    "encode_path",
    "split_path",
]

ROW_PATH: Final = "/table/row"
DELTA_PATH: Final = "/table/delta"
TRANSACTIONS_PATH: Final = "/table/transactions"
OBJECTS_PATH: Final = "/objects"
HOSTS_PATH: Final = "/hosts"

# The errors that the platform itself reports; the call had no effect.
PLATFORM_CODES: Final = {
    code.name: code
    for code in (
        HOST_NOT_DRAINED,
        REVISION_FORGOTTEN,
        UNKNOWN_HOST,
        UNKNOWN_OBJECT,
    )
}


class RowMessage(msgspec.Struct):
    """One row."""

    key: str
    value: bytes | None
    revision: Integer

    @classmethod
    def of(cls, row: Row) -> RowMessage:
        """Return the message of a row."""
        return cls(row.key, row.value, row.revision)

    def to_row(self) -> Row:
        """Return the row of this message."""
        return Row(self.key, self.value, self.revision)


class RowAnswer(msgspec.Struct):
    """The answer to a read."""

    row: RowMessage | None


class DeltaMessage(msgspec.Struct):
    """The answer to a read of a prefix."""

    rows: list[RowMessage]
    revision: Integer

    @classmethod
    def of(cls, delta: Delta) -> DeltaMessage:
        """Return the message of a delta."""
        rows = [RowMessage.of(row) for row in delta.rows]
        return cls(rows, delta.revision)

    def to_delta(self) -> Delta:
        """Return the delta of this message."""
        return Delta([row.to_row() for row in self.rows], self.revision)


class GuardMessage(msgspec.Struct, array_like=True):
    """One condition of a transaction."""

    key: str
    revision: Integer


class WriteMessage(msgspec.Struct, array_like=True):
    """One write of a transaction."""

    key: str
    value: bytes | None


class TransactionMessage(msgspec.Struct):
    """A conditional transaction."""

    guards: list[GuardMessage]
    writes: list[WriteMessage]
    nonce: str

    @classmethod
    def of(cls, transaction: Transaction) -> TransactionMessage:
        """Return the message of a transaction."""
        guards: list[GuardMessage] = []
        for guard in transaction.guards:
            guards.append(GuardMessage(guard.key, guard.revision))
        writes: list[WriteMessage] = []
        for write in transaction.writes:
            writes.append(WriteMessage(write.key, write.value))
        return cls(guards, writes, transaction.nonce)

    def to_transaction(self) -> Transaction:
        """Return the transaction of this message."""
        guards = [Guard(item.key, item.revision) for item in self.guards]
        writes = [Write(item.key, item.value) for item in self.writes]
        return Transaction(guards, writes, self.nonce)


class TransactionAnswer(msgspec.Struct):
    """The result of a transaction; `conflicts` is None for a commit."""

    revision: Integer
    conflicts: list[str] | None = None

    @classmethod
    def of(cls, answer: Commit | Conflict) -> TransactionAnswer:
        """Return the message of an answer."""
        if isinstance(answer, Commit):
            return cls(answer.revision)
        return cls(answer.revision, list(answer.keys))

    def to_answer(self) -> Commit | Conflict:
        """Return the answer of this message."""
        if self.conflicts is None:
            return Commit(self.revision)
        return Conflict(self.conflicts, self.revision)


class HostMessage(msgspec.Struct, omit_defaults=True):
    """One entry of the host list."""

    name: str
    zone: str
    rack: str
    address: str
    role: HostRole = HostRole.WORKER
    state: HostState = HostState.LIVE
    cores: Amount = 0
    memory_mb: Amount = 0

    @classmethod
    def of(cls, entry: HostEntry) -> HostMessage:
        """Return the message of a host entry."""
        return cls(
            entry.name,
            entry.zone,
            entry.rack,
            entry.address,
            entry.role,
            entry.state,
            entry.cores,
            entry.memory_mb,
        )

    def to_entry(self) -> HostEntry:
        """Return the host entry of this message."""
        return HostEntry(
            self.name,
            self.zone,
            self.rack,
            self.address,
            self.role,
            self.state,
            self.cores,
            self.memory_mb,
        )


class HostsMessage(msgspec.Struct):
    """A part of the host list; requests don't use the revision."""

    hosts: list[HostMessage]
    revision: Integer = 0

    @classmethod
    def of(cls, delta: HostDelta) -> HostsMessage:
        """Return the message of a host delta."""
        hosts = [HostMessage.of(entry) for entry in delta.hosts]
        return cls(hosts, delta.revision)

    def to_delta(self) -> HostDelta:
        """Return the host delta of this message."""
        hosts = [message.to_entry() for message in self.hosts]
        return HostDelta(hosts, self.revision)


class RebootMessage(msgspec.Struct):
    """A request for a reboot, identified by its nonce."""

    nonce: str


class FaultMessage(msgspec.Struct):
    """An error answer."""

    code: str
    detail: str = ""


def encode_path(*parts: str, **query: str | int) -> bytes:
    """Return a request target for path parts and query values.

    The first part is used unchanged, the others are percent-encoded.

    >>> encode_path("/objects", "a/b", since=3)
    b'/objects/a%2Fb?since=3'
    """
    target = parts[0]
    for part in parts[1:]:
        target += "/" + quote(part, safe="")
    pairs: list[str] = []
    for name, value in query.items():
        pairs.append(f"{name}={quote(str(value), safe='')}")
    if pairs:
        target += "?" + "&".join(pairs)
    return target.encode("ascii")


def split_path(target: bytes) -> tuple[list[str], dict[str, str]]:
    """Return the path parts and query values of a request target.

    >>> split_path(b"/objects/a%2Fb?since=3")
    (['objects', 'a/b'], {'since': '3'})
    """
    path, _, query = target.decode("ascii", "replace").partition("?")
    parts: list[str] = []
    for part in path.split("/")[1:]:
        parts.append(unquote(part))
    values: dict[str, str] = {}
    for pair in query.split("&"):
        name, mark, value = pair.partition("=")
        if mark:
            values[name] = unquote(value)
    return parts, values
