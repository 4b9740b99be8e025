"""The fleet plan owner's permission to send orders to hosts.

Where the platform checks no fencing tokens, nothing but the sender keeps an
order of a former owner from being carried out.  The permission rests on a
transaction that required the owner's row to be unchanged, and its age counts
from the request of that transaction, because the row may have changed right
after the transaction took effect.  It is asked for immediately before each
order is written to its connection.

The next owner's claim changes that row, so each earlier proof was requested
before the claim was answered.  The next owner sends nothing until all these
proofs have expired and the last order that rests on one has arrived.  An
owner that releases the plan first ends its calls, so nothing is awaited.

An order that can't be delivered for `ORDER_TRANSIT_S` is discarded, even if
its process is stopped.

What remains: a process that is stopped between the check and the write, and
an order that the platform, or a network that has taken it, delays for longer.
Such an order is refused where fencing tokens are checked.  Elsewhere a
repeated maintenance of a wave or move to the same pool has no effect, because
the next owner completes all orders that were stored as sent before it uses
their hosts, and sends no other order for them for a while
(`known_hosts.LATE_CALL_S`).  A move that arrives after that is carried out.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

from lycheelug.workloads.executors import CLOCK_DRIFT

if TYPE_CHECKING:
    from lycheelug.jobservice.clock import Clock

__all__ = ["ORDER_TRANSIT_S", "ORDER_VALID_S", "OrderPermit"]

# How long after its request a proof of ownership permits orders, in seconds.
ORDER_VALID_S: Final = 1.0
# How long an order may be on its way, and its sender waits, in seconds.
ORDER_TRANSIT_S: Final = 1.0


class OrderPermit:
    """Whether the owner of the fleet plan may send orders now."""

    __slots__ = ("_clock", "_held_until", "_is_revoked", "_proved_at")

    def __init__(self, clock: Clock, awaits_predecessor: bool) -> None:
        """Create the permission of an owner whose claim was answered.

        `awaits_predecessor` says that an earlier owner may still send orders.
        """
        self._clock = clock
        self._held_until = clock.now()
        if awaits_predecessor:
            self._held_until += (
                ORDER_VALID_S * (1 + CLOCK_DRIFT) + ORDER_TRANSIT_S
            )
        # Local time at which the last proof of ownership was requested.
        self._proved_at = -math.inf
        self._is_revoked = False

    @property
    def is_held(self) -> bool:
        """Whether orders of an earlier owner may still arrive."""
        return self._clock.now() < self._held_until

    @property
    def age_s(self) -> float:
        """The age of the last proof in seconds; infinite without one."""
        return self._clock.now() - self._proved_at

    def record_proof(self, requested_at: float) -> None:
        """Record a proof of ownership by the local time of its request."""
        self._proved_at = requested_at

    def revoke(self) -> None:
        """Permit no more orders."""
        self._is_revoked = True

    def may_send(self) -> bool:
        """Return whether an order may be written now."""
        if self._is_revoked or self.is_held:
            return False
        return self.age_s < ORDER_VALID_S
