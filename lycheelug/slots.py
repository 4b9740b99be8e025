"""Division of each executor's slots among the daemons that use it.

All entry daemons of a zone share the slots of its executors, without a common
count of requests in flight.  A slot share computes one daemon's limit for
each executor from what the daemon knows (the live daemons, their digests, and
rejections by executors):

* `whole`: all slots; executors reject the excess.
* `fixed`: the slots divided by the configured number of daemons.
* `live`: the slots divided by the number of live daemons.  The remainder
  rotates over the daemons from executor to executor, so that all slots are
  used and daemons that agree on membership never overload an executor.
* `borrow`: the live share plus slots that peers report as idle.
* `probe`: the live share plus one more slot at a time until a rejection.
* `borrow-probe`: both of these; the default.

Limits: while daemons disagree on membership, or borrow more slots than are
idle, an executor may get too many requests.  It rejects the excess without
running it, so that the requests may be retried on other executors.
"""

from __future__ import annotations

from typing import Final

from lycheelug.slot_borrowing import (
    BorrowProbeShare,
    BorrowShare,
    ProbeShare,
)
from lycheelug.slot_shares import (
    SHARES,
    FixedShare,
    IdleReport,
    LiveShare,
    ShareSettings,
    SlotShare,
    WholeShare,
    live_part,
)

__all__ = [
    "DEFAULT_SHARE",
    "SHARES",
    "BorrowProbeShare",
    "BorrowShare",
    "FixedShare",
    "IdleReport",
    "LiveShare",
    "ProbeShare",
    "ShareSettings",
    "SlotShare",
    "WholeShare",
    "live_part",
]

DEFAULT_SHARE: Final = "borrow-probe"
