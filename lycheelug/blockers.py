"""Blockers: the conditions that a plan waits for, by kind and subject."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["Blocker", "BlockerKind"]


class BlockerKind(StrEnum):
    """Kinds of conditions that a plan waits for.

    VIEW_BEHIND means that the planning daemon's own view is out of date;
    ENTRY that entry daemons have yet to acknowledge a drain; SHORTAGE that a
    pool stays short of hosts after all moves.
    """

    NO_SHEET = "no-sheet"
    VIEW_BEHIND = "view-behind"
    ENTRY = "entry"
    BUDGET = "budget"
    SHORTAGE = "shortage"
    WINDOW = "window"
    HOST_DRAIN = "host-drain"
    HOST_REBOOT = "host-reboot"
    HOST_LATE = "host-late"
    HOST_LEAVING = "host-leaving"


class Blocker:
    """A condition that a plan waits for.

    `subject` is the blocked host, pool, zone or fleet.  `waiting_for` names
    the daemons or zones that it waits for, if any.
    """

    __slots__ = ("detail", "kind", "subject", "waiting_for")

    def __init__(
        self,
        kind: BlockerKind,
        subject: str,
        waiting_for: Sequence[str] = (),
        detail: str = "",
    ) -> None:
        self.kind = kind
        self.subject = subject
        self.waiting_for = tuple(waiting_for)
        self.detail = detail

    def __str__(self) -> str:
        """Return a one-line description.

        >>> print(Blocker(BlockerKind.ENTRY, "w7", ["e3"]))
        w7: waiting for entry e3
        """
        if self.kind is BlockerKind.ENTRY:
            names = ", ".join(self.waiting_for)
            return f"{self.subject}: waiting for entry {names}"
        return f"{self.subject}: {self.detail}"

    def __repr__(self) -> str:
        return f"Blocker({self.kind}, {self})"
