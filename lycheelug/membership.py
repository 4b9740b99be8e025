"""What a daemon knows of the entry daemons: who they are, who is heard.

Each daemon publishes a digest of itself under a growing sequence, and the
newest digest of each member spreads by push-pull exchange.  A member is
known from its row in the platform's table, from a digest, or, before
either, as a bare seed address of the settings.

A run is one life of a daemon's process.  Runs of one name are ordered by
their text (see `new_run`), the highest one counts, and a run that ended
never comes back.  Age alone never ends a run: a daemon that is not heard
may be cut off and still serve.  Only its own word, the deletion of its row
(by an operator, or after the platform's list said that its host is gone),
or a later run of the same name ends it.

A digest counts as heard when it comes, also where a partner passes it on
late, so a member that is silent may seem alive for one more threshold.

Pure: time and random source are arguments.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

import msgspec

from lycheelug.entries.messages import Digest
from lycheelug.member import (
    LEFT,
    EndedRuns,
    GoneHosts,
    Member,
    MemberState,
    MemberStatus,
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
_FORGET_S: Final = 300.0
# One choice in this many goes to a member that is not heard, so that two
# sides of a partition find each other again.
_SILENT_CHOICE: Final = 8


class Members:
    """The membership as one daemon sees it.

    `own` must be published anew (`publish`) before each exchange.
    """

    __slots__ = (
        "_ended_runs",
        "_gone_hosts",
        "_members",
        "_own",
        "_own_row_seen",
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
        self._gone_hosts = GoneHosts()
        self._sponsored: dict[str, None] = {}
        self._own_row_seen = False
        self._superseded = False

    @property
    def own(self) -> Digest:
        """The daemon's own newest digest."""
        return self._own

    @property
    def is_superseded(self) -> bool:
        """True once the own run was ended by others; it must stop."""
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
        """Replace the own digest by one of the next sequence.

        `table_revision` and `busy_draining` must be of one moment: nobody
        may be dispatched to by an older row after it.
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
        """Take in that the platform no longer knows the own run."""
        self._superseded = True

    def sponsor(self, newcomer: str) -> None:
        """List a daemon that takes its view from here and has no row yet."""
        member = self._members.get(newcomer)
        if newcomer == self._own.name:
            return
        if member is not None and member.row is not None:
            return
        self._sponsored[newcomer] = None
        self._expect([newcomer], self._own.zone)

    def merge(self, digests: Sequence[Digest], now: float) -> list[str]:
        """Take in digests; return the names of which newer ones came."""
        changed = []
        for digest in digests:
            if digest.name == self._own.name:
                self._meet_own_name(digest.run)
                continue
            is_new = digest.name not in self._members
            if is_new and len(self._members) >= _MAX_MEMBERS:
                continue
            member = self._member_of_run(digest.name, digest.run, now)
            if member is None or not is_newer(digest, member.digest):
                continue
            member.take(digest, now)
            changed.append(digest.name)
            self._expect(digest.sponsored, digest.zone)
            if digest.state == LEFT:
                self._end(member, now)
        return changed

    def on_leave(self, digest: Digest, now: float) -> None:
        """Take in the last word of a run."""
        last = msgspec.structs.replace(digest, state=LEFT)
        self.merge([last], now)

    def apply_row(self, name: str, row: EntryRow | None, now: float) -> None:
        """Take in a row of the table, or its deletion.

        Rows must come in the order of their revisions.  A row without an
        address tells that its run was declared dead.
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
            self._end(member, now)
            return
        member.row = row
        if member.digest is None:
            member.zone = row.zone
            member.address = row.address

    def is_host_gone(self, name: str) -> bool:
        """Whether the platform's list calls an entry host gone."""
        return name in self._gone_hosts

    def apply_host(self, host: HostEntry) -> None:
        """Take in an entry host's line of the platform's lagging list."""
        self._gone_hosts.apply(host)

    def removable(self, now: float) -> list[EntryRow]:
        """Return the runs to remove: host gone by the list, and silent.

        The caller deletes their rows in the table; until then they count.
        """
        rows: list[EntryRow] = []
        for name, address in self._gone_hosts.items():
            member = self._members.get(name)
            if member is None or member.address not in {"", address}:
                continue
            if member.state(now, self._thresholds) is not MemberState.SILENT:
                continue
            rows.append(EntryRow(name, member.zone, address, member.run))
        return rows

    def state(self, name: str, now: float) -> MemberState:
        """Return a member's state; GONE for a name never heard of."""
        if name == self._own.name:
            return MemberState.ALIVE
        member = self._members.get(name)
        return (
            member.state(now, self._thresholds) if member else MemberState.GONE
        )

    def digest(self, name: str) -> Digest | None:
        """Return the newest digest of a member that has not ended."""
        if name == self._own.name:
            return self._own
        member = self._members.get(name)
        is_known = member is not None and member.ended_at is None
        return member.digest if member and is_known else None

    def alive(self, now: float) -> list[Digest]:
        """Return the newest digests of the others that are heard."""
        found = []
        for member in self._members.values():
            if member.state(now, self._thresholds) is not MemberState.ALIVE:
                continue
            if member.digest is not None:
                found.append(member.digest)
        return found

    def not_gone(self, zone: str = "") -> list[str]:
        """Return the others that may serve, of a zone or of all ("")."""
        names = []
        for member in self._members.values():
            in_zone = not zone or member.zone == zone
            if in_zone and member.ended_at is None:
                names.append(member.name)
        return sorted(names)

    def addresses(self) -> dict[str, str]:
        """Return the known addresses of the others that may serve."""
        found = {}
        for member in self._members.values():
            if member.ended_at is None and member.address:
                found[member.name] = member.address
        return found

    def waiting_for(self, zone: str, host: str, revision: int) -> list[str]:
        """Return the daemons that may still dispatch to a draining host.

        They are those of the host's zone, heard or not, whose view has not
        reached the drain's revision or that have requests in flight there.
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
        """Return a line a member, sorted by zone and name."""
        own = Member(self._own.name, now)
        own.run = self._own.run
        own.take(self._own, now)
        lines = [MemberStatus(own, MemberState.ALIVE, 0.0)]
        lines[0].joined = self._own_row_seen
        for member in self._members.values():
            state = member.state(now, self._thresholds)
            lines.append(MemberStatus(member, state, now - member.heard_at))
        lines.sort(key=lambda line: (line.zone, line.name))
        return lines

    def choose_partners(
        self, rng: random.Random, now: float, in_zone: bool, n: int = 1
    ) -> list[str]:
        """Return addresses of up to n random partners for an exchange.

        A seed whose owner is not known counts as of another zone.
        """
        heard: list[str] = []
        silent: list[str] = []
        for member in self._members.values():
            state = member.state(now, self._thresholds)
            if state is MemberState.GONE or not member.address:
                continue
            if (member.zone == self._own.zone) is not in_zone:
                continue
            quiet = state is MemberState.SILENT or member.digest is None
            (silent if quiet else heard).append(member.address)
        if not in_zone:
            silent.extend(self._unknown_seeds())
        use_silent = not heard or rng.randrange(_SILENT_CHOICE) == 0
        candidates = silent if silent and use_silent else heard
        return rng.sample(candidates, min(n, len(candidates)))

    def forget_ended(self, now: float) -> None:
        """Drop members that ended long ago; their runs stay ended."""
        for member in list(self._members.values()):
            ended_at = member.ended_at
            if ended_at is not None and now - ended_at > _FORGET_S:
                del self._members[member.name]

    def known_digests(self) -> list[Digest]:
        """Return the own digest, then the newest of each member.

        The last digest of an ended run is among them for a while, so that
        its end spreads.
        """
        digests = [self._own]
        for member in self._members.values():
            if member.digest is not None:
                digests.append(member.digest)
        return digests

    def _member_of_run(self, name: str, run: str, now: float) -> Member | None:
        """Return the member, moved on to this run; None for an ended run."""
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

    def _expect(self, newcomers: Sequence[str], zone: str) -> None:
        """Know sponsored daemons by name until a row or digest comes."""
        for name in newcomers:
            if name == self._own.name or name in self._members:
                continue
            member = self._members[name] = Member(name, float("-inf"))
            member.zone = zone

    def _end(self, member: Member, now: float) -> None:
        self._ended_runs.add(member.run)
        self._sponsored.pop(member.name, None)
        member.ended_at = now
        member.row = None

    def _on_row_deleted(self, name: str, now: float) -> None:
        member = self._members.get(name)
        # A run without a row has not joined yet: the deleted row was of an
        # earlier run.
        if member is None or member.row is None:
            return
        self._end(member, now)

    def _apply_own_row(self, row: EntryRow | None) -> None:
        if row is None:
            self._superseded |= self._own_row_seen
            return
        if not row.address:
            self._superseded |= row.run == self._own.run
            return
        self._meet_own_name(row.run)
        self._own_row_seen |= row.run == self._own.run

    def _meet_own_name(self, run: str) -> None:
        if run > self._own.run:
            self._superseded = True
        elif run < self._own.run:
            self._ended_runs.add(run)

    def _unknown_seeds(self) -> list[str]:
        known = {self._own.address}
        for member in self._members.values():
            known.add(member.address)
        return [seed for seed in self._seeds if seed not in known]
