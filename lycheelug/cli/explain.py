"""Assembles what the daemons' logs say about one job; no I/O.

Beside the lines that name the job, those are kept that tell of its pool's
owners and of the executors that ran its tasks, from its acceptance to its
last line.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["LogLine", "explain"]

# Lines that tell who owned a pool.
OWNER_EVENTS: Final = frozenset(
    {"duty-claimed", "duty-given-back", "pool-recovered", "pool-lost"}
)
# Lines that tell what an owner believed of an executor.
EXECUTOR_EVENTS: Final = frozenset(
    {"executor-lost", "executor-heard", "executor-ended"}
)


class LogLine(msgspec.Struct):
    """One line that matters for a job."""

    time: str
    daemon: str
    event: str
    # The other fields, as text.
    detail: str


def explain(lines: Iterable[str], job_id: str) -> list[LogLine]:
    """Return the lines that matter for a job, in order of time.

    >>> text = '{"time":"1","daemon":"e1","event":"job-accepted","job":"j"}'
    >>> [line.event for line in explain([text, "no line"], "j")]
    ['job-accepted']
    """
    records = _records(lines)
    own = [each for each in records if _names(each, job_id)]
    if not own:
        return []
    pools = {each["pool"] for each in own if "pool" in each}
    executors = {each["executor"] for each in own if "executor" in each}
    first, last = own[0]["time"], own[-1]["time"]
    found: list[LogLine] = []
    for each in records:
        is_near = first <= each["time"] <= last
        about_owner = each["event"] in OWNER_EVENTS and (
            each.get("duty", each.get("pool")) in pools
        )
        about_executor = (
            each["event"] in EXECUTOR_EVENTS
            and each.get("executor") in executors
        )
        if _names(each, job_id) or (
            is_near and (about_owner or about_executor)
        ):
            found.append(_line(each))
    return found


def _records(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the lines that are the daemons', in order of time."""
    found: list[dict[str, Any]] = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            record = msgspec.json.decode(line[start:], type=dict[str, Any])
        except msgspec.DecodeError:
            continue
        if "time" in record and "event" in record:
            found.append(record)
    return sorted(found, key=lambda record: str(record["time"]))


def _names(record: dict[str, Any], job_id: str) -> bool:
    """Whether a line names a job."""
    if job_id in (record.get("job"), record.get("subject")):
        return True
    return job_id in str(record.get("target", ""))


def _line(record: dict[str, Any]) -> LogLine:
    """Return a line as it is shown."""
    known = ("time", "level", "daemon", "event")
    rest = [
        f"{name}={value}"
        for name, value in record.items()
        if name not in known
    ]
    return LogLine(
        str(record["time"]),
        str(record.get("daemon", "")),
        str(record["event"]),
        " ".join(rest),
    )
