"""Which hosts have left the fleet, as the platform's lists of hosts show.

A list that was requested before a question arose can't answer it, and a
single list proves little: it may be cut short, or the host may be on its way
into the list.  So a host has left only once all lists of a while lack it.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Collection

__all__ = ["GONE_AFTER_S", "HostAbsences"]

# How long lists must have lacked a host, in seconds.
GONE_AFTER_S: Final = 4.0


class HostAbsences:
    """The hosts that are missing in the lists requested after a moment.

    >>> absences = HostAbsences(since=10.0)
    >>> absences.record_list(["h1"], [], requested_at=9.0)
    >>> absences.record_list(["h1"], [], requested_at=11.0)
    >>> absences.is_gone("h1")
    False
    >>> absences.record_list(["h1"], [], requested_at=15.0)
    >>> absences.is_gone("h1")
    True
    """

    __slots__ = ("_listed_at", "_missing_since", "_since")

    def __init__(self, since: float = -math.inf) -> None:
        self._since = since
        # When the last list was requested, and by host the first one of
        # those that lack it.
        self._listed_at = -math.inf
        self._missing_since: dict[str, float] = {}

    def record_list(
        self,
        hosts: Collection[str],
        listed: Collection[str],
        requested_at: float,
    ) -> None:
        """Record which of some hosts a list has; the others are forgotten."""
        if requested_at <= self._since:
            return
        self._listed_at = requested_at
        self._missing_since = {
            name: self._missing_since.get(name, requested_at)
            for name in hosts
            if name not in listed
        }

    def is_gone(self, name: str) -> bool:
        """Return whether a host has left."""
        since = self._missing_since.get(name)
        return since is not None and self._listed_at - since >= GONE_AFTER_S
