"""Detection of daemon runs that hold jobs and have ended.

A run claims jobs only after it has joined, and its row is in the table
while it is joined. So a run that holds a job, but is not in the daemons'
rows at the same or a later revision than the read of its jobs, has left,
was replaced, or was declared dead. If its process is still running, its
next conditional write on the job fails.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Failure, Result, Success

from lycheelug.errors import PLATFORM_UNREACHABLE, Fault, Peer, Step
from lycheelug.job_records import RUNNING_PREFIX
from lycheelug.logs import log_change
from lycheelug.records import ENTRY_PREFIX, EntryRow, decode

if TYPE_CHECKING:
    from lycheelug.store import Platform

__all__ = ["find_ended_owners"]


async def find_ended_owners(
    platform: Platform,
) -> Result[list[str], Fault]:
    """Return the owner names of held jobs whose runs have ended."""
    held = await platform.read_since(RUNNING_PREFIX, 0)
    if isinstance(held, Failure):
        return Failure(held.failure())
    delta = held.unwrap()
    owners: set[str] = set()
    for row in delta.rows:
        if row.value is not None:
            owners.add(row.key.split("/")[1])
    if not owners:
        return Success([])
    joined = await platform.read_since(ENTRY_PREFIX, 0)
    if isinstance(joined, Failure):
        return Failure(joined.failure())
    entries = joined.unwrap()
    if entries.revision < delta.revision:
        detail = "the daemons' rows are older than the jobs' rows"
        return Failure(
            Fault(PLATFORM_UNREACHABLE, Step.READ, Peer.PLATFORM, detail)
        )
    for row in entries.rows:
        if row.value is None:
            continue
        decoded = decode(row.value, EntryRow)
        if isinstance(decoded, Failure):
            # Any of the daemon's runs may be alive.
            name = row.key.removeprefix(ENTRY_PREFIX)
            owners = {
                owner for owner in owners if owner.rpartition(".")[0] != name
            }
            log_change("row-unreadable", key=row.key, error=decoded.failure())
            continue
        entry = decoded.unwrap()
        if entry.address:
            owners.discard(f"{entry.name}.{entry.run}")
    return Success(sorted(owners))
