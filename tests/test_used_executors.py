"""The record of the executors that a pool uses, for its next owner."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.jobservice.used_executors import (
    USED_EXECUTORS_ROWS,
    UsedExecutors,
)
from lycheelug.store.rows import StoredRow
from tests.pool_world import PoolWorld

if TYPE_CHECKING:
    from lycheelug.store.rows import RowName


class RecordedWorld(PoolWorld):
    """A pool whose executors are recorded by the test."""

    def __init__(self) -> None:
        super().__init__()
        self.used = UsedExecutors(self.schedule)
        self.version = 0
        self.stored: dict[RowName, StoredRow] = {}

    def add(self, executor_id: str) -> None:
        self.add_executor(executor_id).is_recorded = False

    def is_usable(self, executor_id: str) -> bool:
        return self.schedule.executors[executor_id].is_healthy(self.now)

    def store(self) -> int:
        """Store the changes; return the number of rows."""
        self.version += 1
        changes = self.used.take_changes()
        for name, (version, value) in changes.items():
            known = self.stored.get(name)
            assert version == (known.version if known is not None else 0)
            self.stored[name] = StoredRow(
                name.table, "quotes", name.key, value, self.version
            )
        self.used.apply_commit(self.version)
        return len(changes)

    def next_owner(self) -> set[str]:
        """Return the executors that a new owner looks for runs on."""
        found: set[str] = set()
        successor = UsedExecutors(PoolWorld(term=2).schedule)
        for row in self.stored.values():
            found.update(successor.restore(row))
        return found


# Guards against tasks that run twice after a takeover: an executor in use
# that the next owner doesn't know.
def test_executor_is_used_only_once_it_is_recorded() -> None:
    world = RecordedWorld()
    world.add("x1")
    assert world.used.is_due
    assert not world.is_usable("x1")
    assert world.store() == 1
    assert world.is_usable("x1")
    assert not world.used.is_due
    assert world.next_owner() == {"x1"}


# Guards against a new owner that waits for the lease of an emptied host, and
# against one that doesn't know a host which is in use again.
def test_drained_executor_is_recorded_again_before_its_next_use() -> None:
    world = RecordedWorld()
    world.add("x1")
    world.store()
    view = world.schedule.executors["x1"]
    view.drain_order = "1.1"
    assert world.store() == 1
    assert world.next_owner() == set()
    view.drain_order = ""
    assert not world.is_usable("x1")
    assert world.used.is_due
    assert world.store() == 1
    assert world.is_usable("x1")
    assert world.next_owner() == {"x1"}


# Guards against a removal that the store executes late, after the executor
# is in use again.
def test_unanswered_removal_is_replaced_before_the_next_use() -> None:
    world = RecordedWorld()
    world.add("x1")
    world.store()
    view = world.schedule.executors["x1"]
    view.drain_order = "1.1"
    removal = world.used.take_changes()
    assert len(removal) == 1
    world.used.apply_failure()
    view.drain_order = ""
    assert not world.is_usable("x1")
    assert world.store() == 1
    (name,) = removal
    # The condition of the late removal doesn't hold any more.
    assert removal[name][0] != world.stored[name].version
    assert world.is_usable("x1")


# Guards against an executor that is never used again: its view was replaced,
# but its record had not changed.
def test_executor_with_unchanged_record_is_usable_without_a_write() -> None:
    world = RecordedWorld()
    world.add("x1")
    world.store()
    world.schedule.executors.pop("x1")
    world.add("x1")
    assert world.used.is_due
    assert world.store() == 0
    assert world.is_usable("x1")


# Guards against transactions above the store's limit of 100 entries.
def test_executors_of_a_large_pool_fit_into_one_transaction() -> None:
    world = RecordedWorld()
    for number in range(200):
        world.add(f"x{number}")
    assert world.store() == USED_EXECUTORS_ROWS
    assert len(world.next_owner()) == 200


# Guards against a crash of a new owner on a row of another build.
def test_unreadable_row_is_ignored_and_replaced() -> None:
    world = RecordedWorld()
    world.add("x1")
    world.store()
    (row,) = world.stored.values()
    row.value = b"[1]"
    successor = RecordedWorld()
    assert successor.used.restore(row) == {}
    successor.stored = world.stored
    successor.add("x1")
    successor.store()
    assert successor.next_owner() == {"x1"}
