"""Chooses the peer through which a call to the store is relayed.

The preferred peers take turns, so that one slow peer delays only some of a
daemon's calls.  A peer that answers nothing is not called for a while.  One
that is slow, or had no direct access, is a last resort for a while: it is
called if no other peer can be.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable, Container

__all__ = ["PeerChoice"]

# How many of the peers that may be called take turns.
TURNS: Final = 3
# A peer is not called for this long after nothing on its connection was
# answered.
AVOID_SILENT_S: Final = 4.0
# The same after its own direct access failed.
AVOID_WITHOUT_ACCESS_S: Final = 1.0
# How long a peer without direct access is a last resort, unless it relays a
# call.
WITHOUT_ACCESS_S: Final = 10.0
# The same for a peer that was slow to answer one call, but answered others.
SLOW_S: Final = 0.5


class PeerChoice:
    """Tracks which peers may be called, and gives them turns.

    >>> choice = PeerChoice(lambda: ["a", "b"], lambda: 0.0)
    >>> choice.choose(()), choice.choose(()), choice.choose(())
    ('a', 'b', 'a')
    >>> choice.record_no_access("b")
    >>> choice.choose(()), choice.choose(("a",))
    ('a', '')
    """

    __slots__ = (
        "_avoided_until",
        "_last_resort_until",
        "_now",
        "_peers",
        "_turn",
    )

    def __init__(
        self, peers: Callable[[], list[str]], now: Callable[[], float]
    ) -> None:
        # Returns the addresses of other daemons, preferred ones first.
        self._peers = peers
        self._now = now
        # By address of a peer that failed: until when it is not called.
        self._avoided_until: dict[str, float] = {}
        # By address of a slow peer, or one without direct access: until when
        # it is a last resort.
        self._last_resort_until: dict[str, float] = {}
        self._turn = 0

    def choose(self, tried: Container[str]) -> str:
        """Return the next peer, not one of those tried; empty for none."""
        now = self._now()
        preferred: list[str] = []
        last_resort = ""
        for address in self._peers():
            if address in tried or now < self._avoided_until.get(address, 0.0):
                continue
            if now < self._last_resort_until.get(address, 0.0):
                last_resort = last_resort or address
                continue
            preferred.append(address)
            if len(preferred) == TURNS:
                break
        if not preferred:
            return last_resort
        self._turn += 1
        return preferred[(self._turn - 1) % len(preferred)]

    def record_success(self, address: str) -> None:
        """Record that a peer has relayed a call."""
        self._avoided_until.pop(address, None)
        self._last_resort_until.pop(address, None)

    def record_no_access(self, address: str) -> None:
        """Record that a peer's own call to the store failed."""
        now = self._now()
        self._avoided_until[address] = now + AVOID_WITHOUT_ACCESS_S
        self._last_resort_until[address] = now + WITHOUT_ACCESS_S

    def record_slow(self, address: str) -> None:
        """Record that a peer answered other calls, but not one in time."""
        until = self._now() + SLOW_S
        known = self._last_resort_until.get(address, 0.0)
        self._last_resort_until[address] = max(known, until)

    def record_silent(self, address: str) -> None:
        """Record that a peer has answered nothing."""
        self._avoided_until[address] = self._now() + AVOID_SILENT_S
