"""Group membership and failure detection among the entry daemons.

Each daemon publishes a digest of itself with an increasing sequence number,
and the newest digest of each member is disseminated by push-pull gossip. A
member is known from its row in the platform's table, from a digest, or,
before either, only as a seed address of the settings.

A run is one incarnation of a daemon process. Runs of one name are ordered
by their text (see `new_run`), the highest one is current, and a run that
has ended never becomes current again. Age alone never ends a run: an
unresponsive daemon may be behind a network partition and still serve. A run
is ended only by its own leave message, by the deletion of its row (by an
operator, or after the platform's list reported its host as removed), or by
a later run of the same name.

A digest refreshes its member at the time of receipt, even if a partner
forwards it late, so an unresponsive member may seem alive for up to one
more threshold.

Pure: the time and the random source are arguments.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from lycheelug.entries.messages import Digest
from lycheelug.member import (
    LEFT,
    EndedRuns,
    Member,
    MemberState,
    MemberStatus,
    RemovedHosts,
    Thresholds,
    is_newer,
    new_run,
)
from lycheelug.records import EntryRow

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from lycheelug.entries.messages import PoolLoad
    from lycheelug.store.interface import HostEntry

__all__ = [
    "LEFT",
    "MemberState",
    "MemberStatus",
    "Members",
    "Thresholds",
    "new_run",
]

_MAX_MEMBERS: Final = 256
_ENDED_RETENTION_S: Final = 300.0
# One exchange in this many goes to an unresponsive member, so that the two
# sides of a healed partition find each other again.
_EXCHANGES_PER_SILENT: Final = 8


class Members:
    """The membership as known to one daemon.

    Call `publish` before each exchange, to renew the daemon's own digest.
    """

    __slots__ = (
        "_ended_runs",
        "_members",
        "_own",
        "_own_row_seen",
        "_removed_hosts",
        "_seeds",
        "_sponsored",
        "_superseded",
        "_thresholds",
    )

    def __init__(
        self,
        own: Digest,
        seeds: Sequence[str] = (),
        thresholds: Thresholds | None = None,
    ) -> None:
        self._own = own
        self._seeds = tuple(seeds)
        self._thresholds = thresholds or Thresholds()
        self._members: dict[str, Member] = {}
        self._ended_runs = EndedRuns()
        self._removed_hosts = RemovedHosts()
        self._sponsored: dict[str, None] = {}
        self._own_row_seen = False
        self._superseded = False

    @property
    def own(self) -> Digest:
        """The newest digest of this daemon itself."""
        return self._own

    @property
    def is_superseded(self) -> bool:
        """Whether others have ended this run, so that it must stop."""
        return self._superseded

    def publish(
        self,
        state: str,
        table_revision: int,
        config_revision: int,
        loads: list[PoolLoad],
        busy_draining: list[str],
        leaving: list[str],
    ) -> Digest:
        """Replace this daemon's digest by one with the next sequence.

        `table_revision` and `busy_draining` must be read at the same
        moment: after it, no dispatch may be based on an older row.
        """
        own = self._own
        self._own = Digest(
            name=own.name,
            zone=own.zone,
            run=own.run,
            sequence=own.sequence + 1,
            address=own.address,
            state=state,
            table_revision=table_revision,
            config_revision=config_revision,
            loads=loads,
            busy_draining=busy_draining,
            leaving=leaving,
            sponsored=list(self._sponsored),
        )
        return self._own

    def mark_superseded(self) -> None:
        """Record that the platform's table no longer contains this run."""
        self._superseded = True

    def sponsor(self, newcomer: str) -> None:
        """List a daemon that copies its view from here and has no row."""
        member = self._members.get(newcomer)
        if newcomer == self._own.name:
            return
        if member is not None and member.row is not None:
            return
        self._sponsored[newcomer] = None
        self._add_sponsored([newcomer], self._own.zone)

    def merge(self, digests: Sequence[Digest], now: float) -> list[str]:
        """Merge digests; return the names of members that were updated."""
        changed = []
        for digest in digests:
            if digest.name == self._own.name:
                self._check_own_run(digest.run)
                continue
            is_new = digest.name not in self._members
            if is_new and len(self._members) >= _MAX_MEMBERS:
                continue
            member = self._member_of_run(digest.name, digest.run, now)
            if member is None or not is_newer(digest, member.digest):
                continue
            member.apply_digest(digest, now)
            changed.append(digest.name)
            self._add_sponsored(digest.sponsored, digest.zone)
            if digest.state == LEFT:
                self._end_run(member, now)
        return changed

    def on_leave(self, digest: Digest, now: float) -> None:
        """Handle the leave message of a run."""
        last = msgspec.structs.replace(digest, state=LEFT)
        self.merge([last], now)

    def apply_row(self, name: str, row: EntryRow | None, now: float) -> None:
        """Apply a member's row of the table, or its deletion.

        Rows must be applied in the order of their revisions. A row without
        an address means that its run was declared dead.
        """
        if name == self._own.name:
            self._apply_own_row(row)
            return
        if row is None:
            self._on_row_deleted(name, now)
            return
        self._sponsored.pop(name, None)
        member = self._member_of_run(name, row.run, now)
        if member is None:
            return
        if not row.address:
            self._end_run(member, now)
            return
        member.row = row
        if member.digest is None:
            member.zone = row.zone
            member.address = row.address

    def is_host_gone(self, name: str) -> bool:
        """Return whether the host list reports an entry host as removed."""
        return name in self._removed_hosts

    def apply_host(self, host: HostEntry) -> None:
        """Apply an entry host's state in the platform's delayed list."""
        self._removed_hosts.apply(host)

    def removable(self, now: float) -> list[EntryRow]:
        """Return the unresponsive runs whose hosts were removed.

        The caller deletes their rows in the table; until then they are
        still members.
        """
        rows: list[EntryRow] = []
        for name, address in self._removed_hosts.items():
            member = self._members.get(name)
            if member is None or member.address not in {"", address}:
                continue
            if member.state(now, self._thresholds) is not MemberState.SILENT:
                continue
            rows.append(EntryRow(name, member.zone, address, member.run))
        return rows

    def state(self, name: str, now: float) -> MemberState:
        """Return a member's state, or GONE for an unknown name."""
        if name == self._own.name:
            return MemberState.ALIVE
        member = self._members.get(name)
        return (
            member.state(now, self._thresholds) if member else MemberState.GONE
        )

    def digest(self, name: str) -> Digest | None:
        """Return a member's newest digest, or None if its run has ended."""
        if name == self._own.name:
            return self._own
        member = self._members.get(name)
        is_known = member is not None and member.ended_at is None
        return member.digest if member and is_known else None

    def alive(self, now: float) -> list[Digest]:
        """Return the newest digests of the other members that are alive."""
        found = []
        for member in self._members.values():
            if member.state(now, self._thresholds) is not MemberState.ALIVE:
                continue
            if member.digest is not None:
                found.append(member.digest)
        return found

    def not_gone(self, zone: str = "") -> list[str]:
        """Return the other members that may serve, of a zone or all ("")."""
        names = []
        for member in self._members.values():
            in_zone = not zone or member.zone == zone
            if in_zone and member.ended_at is None:
                names.append(member.name)
        return sorted(names)

    def addresses(self) -> dict[str, str]:
        """Return the addresses of the others that may serve, by name."""
        found = {}
        for member in self._members.values():
            if member.ended_at is None and member.address:
                found[member.name] = member.address
        return found

    def waiting_for(self, zone: str, host: str, revision: int) -> list[str]:
        """Return the daemons that may still dispatch to a draining host.

        These are the daemons of the host's zone, responsive or not, whose
        view has not reached the drain's revision, or that have requests in
        flight on the host.
        """
        names = self.not_gone(zone)
        if self._own.zone == zone:
            names.append(self._own.name)
        waiting = []
        for name in names:
            digest = self.digest(name)
            if digest is None or digest.table_revision < revision:
                waiting.append(name)
                continue
            if host in digest.busy_draining:
                waiting.append(name)
        return waiting

    def status(self, now: float) -> list[MemberStatus]:
        """Return the status of each member, sorted by zone and name."""
        own = Member(self._own.name, now)
        own.run = self._own.run
        own.apply_digest(self._own, now)
        statuses = [MemberStatus(own, MemberState.ALIVE, 0.0)]
        statuses[0].joined = self._own_row_seen
        for member in self._members.values():
            state = member.state(now, self._thresholds)
            statuses.append(
                MemberStatus(member, state, now - member.last_seen_at)
            )
        statuses.sort(key=lambda status: (status.zone, status.name))
        return statuses

    def choose_partners(
        self, rng: random.Random, now: float, in_zone: bool, n: int = 1
    ) -> list[str]:
        """Return the addresses of up to n random partners for an exchange.

        A seed address that belongs to no known member counts as one of
        another zone.
        """
        responsive: list[str] = []
        silent: list[str] = []
        for member in self._members.values():
            state = member.state(now, self._thresholds)
            if state is MemberState.GONE or not member.address:
                continue
            if (member.zone == self._own.zone) is not in_zone:
                continue
            is_silent = state is MemberState.SILENT or member.digest is None
            (silent if is_silent else responsive).append(member.address)
        if not in_zone:
            silent.extend(self._unknown_seeds())
        use_silent = (
            not responsive or rng.randrange(_EXCHANGES_PER_SILENT) == 0
        )
        candidates = silent if silent and use_silent else responsive
        return rng.sample(candidates, min(n, len(candidates)))

    def forget_ended(self, now: float) -> None:
        """Drop members that ended long ago, but remember the ended runs."""
        for member in list(self._members.values()):
            ended_at = member.ended_at
            if ended_at is not None and now - ended_at > _ENDED_RETENTION_S:
                del self._members[member.name]

    def known_digests(self) -> list[Digest]:
        """Return this daemon's digest, then the newest of each member.

        The last digest of an ended run is included for some time, so that
        the other daemons learn of the end.
        """
        digests = [self._own]
        for member in self._members.values():
            if member.digest is not None:
                digests.append(member.digest)
        return digests

    def _member_of_run(self, name: str, run: str, now: float) -> Member | None:
        """Return the member, updated to this run, or None if it has ended."""
        if run in self._ended_runs:
            return None
        member = self._members.get(name)
        if member is None:
            member = self._members[name] = Member(name, now)
        if run < member.run:
            self._ended_runs.add(run)
            return None
        if run > member.run:
            self._ended_runs.add(member.run)
            member.run = run
            member.digest = None
            member.row = None
            member.ended_at = None
        return member

    def _add_sponsored(self, newcomers: Sequence[str], zone: str) -> None:
        """Add sponsored daemons by name, before a row or digest is known."""
        for name in newcomers:
            if name == self._own.name or name in self._members:
                continue
            member = self._members[name] = Member(name, float("-inf"))
            member.zone = zone

    def _end_run(self, member: Member, now: float) -> None:
        self._ended_runs.add(member.run)
        self._sponsored.pop(member.name, None)
        member.ended_at = now
        member.row = None

    def _on_row_deleted(self, name: str, now: float) -> None:
        member = self._members.get(name)
        # A run without a row has not joined yet, so the deleted row was
        # that of an earlier run.
        if member is None or member.row is None:
            return
        self._end_run(member, now)

    def _apply_own_row(self, row: EntryRow | None) -> None:
        if row is None:
            self._superseded |= self._own_row_seen
            return
        if not row.address:
            self._superseded |= row.run == self._own.run
            return
        self._check_own_run(row.run)
        self._own_row_seen |= row.run == self._own.run

    def _check_own_run(self, run: str) -> None:
        if run > self._own.run:
            self._superseded = True
        elif run < self._own.run:
            self._ended_runs.add(run)

    def _unknown_seeds(self) -> list[str]:
        known = {self._own.address}
        for member in self._members.values():
            known.add(member.address)
        return [seed for seed in self._seeds if seed not in known]
