"""Stores the fleet plan: its open orders, and a row for each wave.

The owners of pools receive each version of the orders, so these are in a row
apart from the hosts that were maintained.  A new, sent or withdrawn order is
stored at once.  The end of an order is stored later: until then, the next
owner of the plan would repeat a call that the platform has carried out.

A row whose write was not answered is written again, even if the plan is back
at its last stored state, so that a late execution can't replace it.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import msgspec
from returns.result import Failure, Success

from lycheelug.fleetplan import (
    PLAN_KEY,
    PLANS_TABLE,
    TURNS_KEY,
    TURNS_TABLE,
    WAVES_TABLE,
    PlanRecord,
    TurnsRecord,
    WaveRecord,
    decode_plan,
    decode_turns,
    decode_wave_record,
)
from lycheelug.jobservice.tables import FLEET_PART, OWNER_ROW
from lycheelug.logs import log_change, log_fault
from lycheelug.store.rows import RowConflict, RowName

if TYPE_CHECKING:
    from returns.result import Result

    from lycheelug.errors import Fault
    from lycheelug.store.rows import RowStore, StoredRow

__all__ = ["PlanStore"]

PLAN_ROW: Final = RowName(PLANS_TABLE, PLAN_KEY)
TURNS_ROW: Final = RowName(TURNS_TABLE, TURNS_KEY)
# The minimum time between two writes in which only orders have ended.
ENDED_INTERVAL_S: Final = 0.4


class PlanStore:
    """The stored fleet plan during one term."""

    __slots__ = (
        "_orders",
        "_owner_version",
        "_store",
        "_stored",
        "_versions",
        "_written_at",
        "is_lost",
    )

    def __init__(self, store: RowStore, owner_version: int) -> None:
        self._store = store
        self._owner_version = owner_version
        # The rows' versions, and their values as far as these are known.
        self._versions: dict[RowName, int] = {}
        self._stored: dict[RowName, bytes] = {}
        # The stored orders by number, and whether they are marked as sent.
        self._orders: dict[str, bool] = {}
        self._written_at = -math.inf
        # Whether the plan has another owner.
        self.is_lost = False

    async def load(self, term: int) -> Result[PlanRecord, Fault]:
        """Return the plan that the last owner stored."""
        plan = PlanRecord(term)
        for table in (PLANS_TABLE, WAVES_TABLE, TURNS_TABLE):
            read = await self._store.read(table, FLEET_PART)
            if isinstance(read, Failure):
                return Failure(read.failure())
            for row in read.unwrap().rows:
                self._versions[row.name] = row.version
                if not _add_row(plan, row):
                    log_change("row-unreadable", table=table, key=row.key)
                elif table != PLANS_TABLE and row.value is not None:
                    self._stored[row.name] = row.value
        return Success(plan)

    async def save(
        self, plan: PlanRecord, now: float, needs_proof: bool = False
    ) -> bool:
        """Store what has changed; return False if that failed.

        True doesn't mean that the ends of orders are stored.  With
        `needs_proof` it means that the plan had no other owner after the call
        began, because a transaction is made even if nothing has changed.
        """
        changed: dict[RowName, bytes] = {}
        for name, value in _rows(plan).items():
            if self._stored.get(name) != value:
                changed[name] = value
        if not needs_proof:
            if not changed:
                return True
            is_early = now - self._written_at < ENDED_INTERVAL_S
            if is_early and not self._is_urgent(plan):
                return True
        if changed:
            self._written_at = now
        orders = _orders_of(plan)
        expected = {OWNER_ROW: self._owner_version}
        for name in changed:
            expected[name] = self._versions.get(name, 0)
            self._stored.pop(name, None)
        result = await self._store.commit(FLEET_PART, expected, dict(changed))
        if isinstance(result, Failure):
            log_fault("plan-not-stored", result.failure())
            return False
        outcome = result.unwrap()
        if isinstance(outcome, RowConflict):
            self._apply_conflict(outcome, changed)
            return False
        for name, value in changed.items():
            self._versions[name] = outcome.version
            self._stored[name] = value
        self._orders = orders
        return True

    def _is_urgent(self, plan: PlanRecord) -> bool:
        """Whether an order is new, newly sent or withdrawn."""
        if PLAN_ROW not in self._stored:
            return True
        orders = _orders_of(plan)
        for number, is_sent in orders.items():
            if self._orders.get(number) != is_sent:
                return True
        for number, was_sent in self._orders.items():
            if number not in orders and not was_sent:
                return True
        return False

    def _apply_conflict(
        self, conflict: RowConflict, changed: dict[RowName, bytes]
    ) -> None:
        """Detect another owner; otherwise adopt the stored versions."""
        owner = conflict.rows.get(OWNER_ROW)
        if owner is None or owner.version != self._owner_version:
            self.is_lost = True
            return
        for name in changed:
            row = conflict.rows.get(name)
            self._versions[name] = row.version if row is not None else 0


def _orders_of(plan: PlanRecord) -> dict[str, bool]:
    """Return the numbers of the open orders, and whether they are sent."""
    return {order.number: order.sent for order in plan.orders.values()}


def _rows(plan: PlanRecord) -> dict[RowName, bytes]:
    """Return the rows of a plan."""
    orders = PlanRecord(plan.term, plan.orders)
    rows = {PLAN_ROW: msgspec.json.encode(orders)}
    waves = set(plan.maintained)
    waves.update(str(number) for number in plan.completed)
    waves.update(plan.seen_ms)
    for wave in waves:
        record = WaveRecord(
            plan.maintained.get(wave, []),
            int(wave) in plan.completed,
            plan.seen_ms.get(wave, 0),
        )
        rows[RowName(WAVES_TABLE, wave)] = msgspec.json.encode(record)
    if plan.turns:
        rows[TURNS_ROW] = msgspec.json.encode(TurnsRecord(plan.turns))
    return rows


def _add_row(plan: PlanRecord, row: StoredRow) -> bool:
    """Add a row's content to a plan; return False if it is unreadable."""
    if row.table == PLANS_TABLE:
        stored = decode_plan(row.value or b"")
        if stored is None or row.key != PLAN_KEY:
            return False
        plan.orders = stored.orders
        return True
    if row.table == TURNS_TABLE:
        turns = decode_turns(row.value or b"")
        if turns is None:
            return False
        plan.turns = turns.turns
        return True
    wave = decode_wave_record(row.value or b"")
    if wave is None or not row.key.isdecimal():
        return False
    plan.maintained[row.key] = wave.maintained
    if wave.seen_ms:
        plan.seen_ms[row.key] = wave.seen_ms
    if wave.is_completed:
        plan.completed.append(int(row.key))
    return True
