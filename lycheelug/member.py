"""One member of the group of entry daemons: its run, state and digest.

A run is one incarnation of a daemon process. Runs of one daemon name are
ordered by their text, and the digests of one run by their sequence number.

Pure: the time and the random source are arguments.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Final

import msgspec

from lycheelug.store.interface import HostRole, HostState

if TYPE_CHECKING:
    import random

    from lycheelug.entries.messages import Digest
    from lycheelug.records import EntryRow
    from lycheelug.store.interface import HostEntry

__all__ = [
    "LEFT",
    "EndedRuns",
    "Member",
    "MemberState",
    "MemberStatus",
    "RemovedHosts",
    "Thresholds",
    "is_newer",
    "new_run",
]

# The state in the last digest of a run, which ends it.
LEFT: Final = "left"

_MAX_ENDED_RUNS: Final = 4096
_MAX_REMOVED_HOSTS: Final = 1024


def new_run(wall_time_s: float, rng: random.Random, after: str = "") -> str:
    """Return a run that sorts after the earlier runs of a daemon.

    `after` is the highest known run of this daemon. It is needed if the
    host's clock was set back.

    >>> import random
    >>> first = new_run(1000.0, random.Random(1))
    >>> first < new_run(999.0, random.Random(2), after=first)
    True
    """
    started_ms = int(wall_time_s * 1000)
    if after:
        started_ms = max(started_ms, int(after.partition("-")[0], 16) + 1)
    return f"{started_ms:012x}-{rng.getrandbits(32):08x}"


class MemberState(StrEnum):
    """The state of a member as known to this daemon.

    A SILENT member is unresponsive, but may be behind a network partition
    and still serve. The run of a GONE member has ended.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    SILENT = "silent"
    GONE = "gone"


class Thresholds:
    """The ages of the newest digest at which a member's state changes."""

    __slots__ = ("silent_s", "suspect_s")

    def __init__(
        self, suspect_s: float = 10.0, silent_s: float = 30.0
    ) -> None:
        self.suspect_s = suspect_s
        self.silent_s = silent_s


class RemovedHosts:
    """Entry hosts that the platform's delayed list reports as removed."""

    __slots__ = ("_addresses",)

    def __init__(self) -> None:
        self._addresses: dict[str, str] = {}

    def apply(self, host: HostEntry) -> None:
        """Apply an entry of the list; drop the oldest over the limit."""
        if host.role is not HostRole.ENTRY:
            return
        self._addresses.pop(host.name, None)
        if host.state is HostState.GONE:
            self._addresses[host.name] = host.address
        if len(self._addresses) > _MAX_REMOVED_HOSTS:
            del self._addresses[next(iter(self._addresses))]

    def __contains__(self, name: object) -> bool:
        return name in self._addresses

    def items(self) -> list[tuple[str, str]]:
        """Return the names and addresses of the hosts."""
        return list(self._addresses.items())


class MemberStatus:
    """The status of one member, as shown to operators."""

    __slots__ = (
        "address",
        "age_s",
        "config_revision",
        "joined",
        "name",
        "run",
        "state",
        "table_revision",
        "zone",
    )

    def __init__(
        self, member: Member, state: MemberState, age_s: float
    ) -> None:
        digest = member.digest
        self.name = member.name
        self.zone = member.zone
        self.address = member.address
        self.run = member.run
        self.state = state
        self.age_s = age_s
        self.joined = member.row is not None
        self.table_revision = digest.table_revision if digest else 0
        self.config_revision = digest.config_revision if digest else 0


class Member:
    """The known state of one name; `run` is "" until a run is known."""

    __slots__ = (
        "address",
        "digest",
        "ended_at",
        "last_seen_at",
        "name",
        "row",
        "run",
        "zone",
    )

    def __init__(self, name: str, now: float) -> None:
        self.name = name
        self.zone = ""
        self.address = ""
        self.run = ""
        self.digest: Digest | None = None
        self.row: EntryRow | None = None
        self.last_seen_at = now
        self.ended_at: float | None = None

    def apply_digest(self, digest: Digest, now: float) -> None:
        """Apply a newer digest of the member's run."""
        self.digest = _with_loads(digest, self.digest)
        self.zone = digest.zone
        self.address = digest.address
        self.last_seen_at = now

    def state(self, now: float, thresholds: Thresholds) -> MemberState:
        """Return the member's state at the given time."""
        if self.ended_at is not None:
            return MemberState.GONE
        age_s = now - self.last_seen_at
        if age_s > thresholds.silent_s:
            return MemberState.SILENT
        if age_s > thresholds.suspect_s or self.digest is None:
            return MemberState.SUSPECT
        return MemberState.ALIVE


class EndedRuns:
    """The runs that have ended; the oldest are dropped over a limit.

    >>> ended = EndedRuns()
    >>> ended.add("r1")
    >>> "r1" in ended, "r2" in ended
    (True, False)
    """

    __slots__ = ("_runs",)

    def __init__(self) -> None:
        self._runs: dict[str, None] = {}

    def __contains__(self, run: str) -> bool:
        return run in self._runs

    def add(self, run: str) -> None:
        """Record that a run has ended; ignore "", which means no run."""
        if not run:
            return
        self._runs[run] = None
        if len(self._runs) > _MAX_ENDED_RUNS:
            del self._runs[next(iter(self._runs))]


def is_newer(digest: Digest, known: Digest | None) -> bool:
    """Return whether a digest is newer or more complete than `known`."""
    if known is None or digest.sequence > known.sequence:
        return True
    adds_loads = known.is_summary and not digest.is_summary
    return digest.sequence == known.sequence and adds_loads


def _with_loads(digest: Digest, known: Digest | None) -> Digest:
    """Return the digest, with the known loads if it has none itself."""
    if not digest.is_summary or known is None or known.is_summary:
        return digest
    return msgspec.structs.replace(digest, loads=known.loads, is_summary=False)
