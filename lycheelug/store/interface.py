"""The narrow interface to the platform: table, objects, hosts, host pools.

The platform's own protocol is not published, so everything outside this
package speaks these types and a binding carries them.  What a binding
promises:

* `transact` is linearizable.  Its writes take effect together or not at
  all.  A fault with code `platform-unreachable` means that nothing took
  effect, `platform-unknown` that it may have.
* `read` and `read_since` may answer from a lagging replica: a caller that
  needs at least revision R asks again until the answer's revision is R.
* `hosts_since` lags behind the fleet.
* A repeated transaction with the same nonce takes effect once: the second
  one returns the first one's commit for as long as the platform remembers
  it, and writers must not rely on that beyond a retry.
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

# The expected revision of a key that must not exist.
ABSENT: Final = 0


class Row:
    """One row of the table; `value` is None for a deleted row."""

    __slots__ = ("key", "revision", "value")

    def __init__(self, key: str, value: bytes | None, revision: int) -> None:
        self.key = key
        self.value = value
        self.revision = revision


class Guard:
    """A condition: the row's last write had this revision (or ABSENT)."""

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
    """Guards and writes that take effect together or not at all."""

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
    """A transaction took effect at this revision of the table."""

    __slots__ = ("revision",)

    def __init__(self, revision: int) -> None:
        self.revision = revision


class Conflict:
    """A transaction did not take effect: these keys' guards failed."""

    __slots__ = ("keys", "revision")

    def __init__(self, keys: Sequence[str], revision: int) -> None:
        self.keys = tuple(keys)
        self.revision = revision


class Delta:
    """Rows of a prefix written after the revision asked for.

    `revision` is the one that the answer is complete up to.  Deleted rows
    come as rows whose value is None.
    """

    __slots__ = ("revision", "rows")

    def __init__(self, rows: Sequence[Row], revision: int) -> None:
        self.rows = tuple(rows)
        self.revision = revision


class HostRole(StrEnum):
    """What a host is for."""

    WORKER = "worker"
    ENTRY = "entry"


class HostState(StrEnum):
    """What the platform's lagging list says of a host."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class HostEntry:
    """One host in the platform's list.

    `address` is `ip:port` of the executor on a worker, and of the
    inter-daemon port on an entry host.
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
    """Hosts whose entry changed after the list revision asked for."""

    __slots__ = ("hosts", "revision")

    def __init__(self, hosts: Sequence[HostEntry], revision: int) -> None:
        self.hosts = tuple(hosts)
        self.revision = revision


class Platform(ABC):
    """What a binding provides.  Every call may take long; none raises."""

    @abstractmethod
    async def read(self, key: str) -> Result[Row | None, Fault]:
        """Return a row, or None where the key does not exist."""

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
        """Store an object; a second put of a name replaces the first."""

    @abstractmethod
    async def get_object(self, name: str) -> Result[bytes, Fault]:
        """Return an object; `unknown-object` where there is none."""

    @abstractmethod
    async def delete_object(self, name: str) -> Result[None, Fault]:
        """Delete an object; succeeds where there is none."""

    @abstractmethod
    async def hosts_since(self, revision: int) -> Result[HostDelta, Fault]:
        """Return the hosts whose list entry changed after a revision."""

    @abstractmethod
    async def drain(self, host: str) -> Result[None, Fault]:
        """Ask that a host takes no new work (state leaving); idempotent."""

    @abstractmethod
    async def reboot(self, host: str, nonce: str) -> Result[None, Fault]:
        """Reboot a drained host once per nonce; it comes back live."""

    @abstractmethod
    async def resume(self, host: str) -> Result[None, Fault]:
        """End a drain without a reboot; idempotent."""

    async def close(self) -> None:
        """Release connections."""
        return


# Bindings by the name that settings give; each entry makes a Platform from
# the binding's address ("" where it has none).
BINDINGS: Final[Registry[Callable[[str], Platform]]] = Registry(
    "platform binding"
)
