"""The interface to the platform: a table, objects, and hosts.

The platform's own protocol is not published, so the rest of the project only
uses these types, and bindings translate them.  A binding guarantees:

* `transact` is linearizable and atomic.  A fault with the code
  `platform-unreachable` means that it had no effect, `platform-unknown` that
  it may have had one.
* `read` and `read_since` may answer from a lagging replica.  A caller that
  needs at least revision R must retry until the answer's revision is R or
  higher.
* `hosts_since` may lag behind the actual state of the fleet.
* Repeated transactions with the same nonce take effect once.  A repetition
  returns the first commit, as long as the platform remembers the nonce;
  writers may rely on that only for a retry.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import StrEnum
from typing import TYPE_CHECKING, Final

from lycheelug.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from returns.result import Result

    from lycheelug.errors import Fault

__all__ = [
    "ABSENT",
    "BINDINGS",
    "Commit",
    "Conflict",
    "Delta",
    "Guard",
    "HostDelta",
    "HostEntry",
    "HostRole",
    "HostState",
    "Platform",
    "Row",
    "Transaction",
    "Write",
]

# A guard with this revision requires that the key does not exist.
ABSENT: Final = 0


class Row:
    """One row of the table; `value` is None for a deleted row."""

    __slots__ = ("key", "revision", "value")

    def __init__(self, key: str, value: bytes | None, revision: int) -> None:
        self.key = key
        self.value = value
        self.revision = revision


class Guard:
    """The condition that a row has this revision, or is ABSENT."""

    __slots__ = ("key", "revision")

    def __init__(self, key: str, revision: int) -> None:
        self.key = key
        self.revision = revision


class Write:
    """One write; a value of None deletes the row."""

    __slots__ = ("key", "value")

    def __init__(self, key: str, value: bytes | None) -> None:
        self.key = key
        self.value = value


class Transaction:
    """Writes that take effect atomically if all guards hold."""

    __slots__ = ("guards", "nonce", "writes")

    def __init__(
        self,
        guards: Sequence[Guard],
        writes: Sequence[Write],
        nonce: str,
    ) -> None:
        self.guards = tuple(guards)
        self.writes = tuple(writes)
        self.nonce = nonce


class Commit:
    """The result of a transaction that took effect at this revision."""

    __slots__ = ("revision",)

    def __init__(self, revision: int) -> None:
        self.revision = revision


class Conflict:
    """The result of a transaction whose guards of these keys failed."""

    __slots__ = ("keys", "revision")

    def __init__(self, keys: Sequence[str], revision: int) -> None:
        self.keys = tuple(keys)
        self.revision = revision


class Delta:
    """The rows of a prefix that were written after a requested revision.

    The delta is complete up to `revision`.  A deleted row has a value of
    None.
    """

    __slots__ = ("revision", "rows")

    def __init__(self, rows: Sequence[Row], revision: int) -> None:
        self.rows = tuple(rows)
        self.revision = revision


class HostRole(StrEnum):
    """The purpose of a host."""

    WORKER = "worker"
    ENTRY = "entry"


class HostState(StrEnum):
    """The state of a host in the platform's list, which may lag."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class HostEntry:
    """One host in the platform's list.

    `address` is the `ip:port` of the executor on a worker, or of the port
    for other daemons on an entry host.
    """

    __slots__ = (
        "address",
        "cores",
        "memory_mb",
        "name",
        "rack",
        "role",
        "state",
        "zone",
    )

    def __init__(
        self,
        name: str,
        zone: str,
        rack: str,
        address: str,
        role: HostRole = HostRole.WORKER,
        state: HostState = HostState.LIVE,
        cores: int = 0,
        memory_mb: int = 0,
    ) -> None:
        self.name = name
        self.zone = zone
        self.rack = rack
        self.address = address
        self.role = role
        self.state = state
        self.cores = cores
        self.memory_mb = memory_mb


class HostDelta:
    """The hosts whose entry changed after a requested list revision."""

    __slots__ = ("hosts", "revision")

    def __init__(self, hosts: Sequence[HostEntry], revision: int) -> None:
        self.hosts = tuple(hosts)
        self.revision = revision


class Platform(ABC):
    """The base class of bindings.

    Calls may take long.  They report failures as faults and don't raise.
    """

    @abstractmethod
    async def read(self, key: str) -> Result[Row | None, Fault]:
        """Return a row, or None if the key does not exist."""

    @abstractmethod
    async def read_since(
        self, prefix: str, revision: int
    ) -> Result[Delta, Fault]:
        """Return the rows of a prefix written after a revision."""

    @abstractmethod
    async def transact(
        self, transaction: Transaction
    ) -> Result[Commit | Conflict, Fault]:
        """Apply all writes if all guards hold."""

    @abstractmethod
    async def put_object(self, name: str, data: bytes) -> Result[None, Fault]:
        """Store an object, replacing an existing one of this name."""

    @abstractmethod
    async def get_object(self, name: str) -> Result[bytes, Fault]:
        """Return an object; the fault is `unknown-object` if none exists."""

    @abstractmethod
    async def delete_object(self, name: str) -> Result[None, Fault]:
        """Delete an object; succeed if it does not exist."""

    @abstractmethod
    async def hosts_since(self, revision: int) -> Result[HostDelta, Fault]:
        """Return the hosts whose list entry changed after a revision."""

    @abstractmethod
    async def drain(self, host: str) -> Result[None, Fault]:
        """Drain a host, which puts it in the state leaving; idempotent."""

    @abstractmethod
    async def reboot(self, host: str, nonce: str) -> Result[None, Fault]:
        """Reboot a drained host once per nonce; it is live afterwards."""

    @abstractmethod
    async def resume(self, host: str) -> Result[None, Fault]:
        """End a drain without a reboot; idempotent."""

    async def close(self) -> None:
        """Close the connections."""
        return


# Bindings by their name in the settings.  An entry creates a Platform from
# the binding's address, which is empty if the binding needs none.
BINDINGS: Final[Registry[Callable[[str], Platform]]] = Registry(
    "platform binding"
)
