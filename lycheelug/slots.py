"""How many slots of each executor this daemon may use.

The slots of an executor are shared by all entry daemons of its zone, which
can't count together.  A share turns what a daemon knows (the live daemons,
their digests, refusals) into a limit for each executor:

* `whole`: all slots; executors refuse what is too much.
* `fixed`: slots divided by the configured number of daemons.
* `live`: slots divided by the live daemons.  What does not divide evenly
  rotates over the daemons from executor to executor, so that all slots are
  used and daemons that agree on membership never overrun an executor.
* `borrow`: the live share, and what peers report idle.
* `probe`: the live share, and one more slot at a time until refused.
* `borrow-probe`: both; the default.

Limits: while daemons disagree on membership, or borrow more than is idle,
an executor may be overrun; it refuses, which is not run and may be tried
elsewhere.
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
