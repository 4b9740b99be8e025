"""Selects the lines about one job from the daemons' logs; does no I/O.

It selects the lines that name the job and, between the first and the last of
them, the lines about the owners of its pools, about the executors that ran its
tasks, and about what its tenant may run in its pools.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

import msgspec

from lycheelug.decoding import decode_json

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["LogLine", "explain", "parse_records"]

# Events about the ownership of a pool.
OWNER_EVENTS: Final = frozenset(
    {"duty-claimed", "duty-given-back", "pool-recovered", "pool-lost"}
)
# Events in which an owner changed its view of an executor.
EXECUTOR_EVENTS: Final = frozenset(
    {
        "executor-ended",
        "executor-heard",
        "executor-lost",
        "runs-lost",
    }
)
# Events about what a tenant may run in a pool.
TENANT_EVENTS: Final = frozenset(
    {
        "tenant-over-share",
        "tenant-share-changed",
        "tenant-waits-for-cap",
        "tenant-waits-for-configuration",
    }
)


class LogLine(msgspec.Struct):
    """A log line that concerns a job."""

    time: str
    daemon: str
    event: str
    # The other fields as text.
    detail: str


def explain(lines: Iterable[str], job_id: str) -> list[LogLine]:
    """Return the lines that concern a job, ordered by time.

    >>> text = '{"time":"1","daemon":"e1","event":"job-accepted","job":"j"}'
    >>> [line.event for line in explain([text, "no line"], "j")]
    ['job-accepted']
    >>> text = '{"time":"1","event":"runs-lost","tasks":["j.0.0.1/2"]}'
    >>> [line.event for line in explain([text], "j")]
    ['runs-lost']
    """
    records = parse_records(lines)
    job_records = [record for record in records if _names_job(record, job_id)]
    if not job_records:
        return []
    pools = {record["pool"] for record in job_records if "pool" in record}
    tenants = {
        record["tenant"] for record in job_records if record.get("tenant")
    }
    executors = {
        record["executor"] for record in job_records if "executor" in record
    }
    first, last = job_records[0]["time"], job_records[-1]["time"]
    found: list[LogLine] = []
    for record in records:
        is_during_job = first <= record["time"] <= last
        is_about_owner = record["event"] in OWNER_EVENTS and (
            record.get("duty", record.get("pool")) in pools
        )
        is_about_executor = (
            record["event"] in EXECUTOR_EVENTS
            and record.get("executor") in executors
        )
        is_about_tenant = (
            record["event"] in TENANT_EVENTS
            and record.get("tenant") in tenants
            and record.get("pool") in pools
            # Others are about single jobs.
            and "job" not in record
            and "subject" not in record
        )
        if _names_job(record, job_id) or (
            is_during_job
            and (is_about_owner or is_about_executor or is_about_tenant)
        ):
            found.append(_log_line(record))
    return found


def parse_records(lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the decoded log lines of daemons, ordered by time."""
    found: list[dict[str, Any]] = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        record = decode_json(line[start:], dict[str, Any]).value_or(None)
        if record is None:
            continue
        if "time" in record and "event" in record:
            found.append(record)
    return sorted(found, key=lambda record: str(record["time"]))


def _names_job(record: dict[str, Any], job_id: str) -> bool:
    """Return whether a log record names a job."""
    if job_id in (record.get("job"), record.get("subject")):
        return True
    tasks = record.get("tasks")
    if not isinstance(tasks, list):
        # Some lines have the number of tasks, and name others.
        tasks = record.get("others", [])
    if any(str(task).startswith(f"{job_id}.") for task in tasks):
        return True
    return job_id in str(record.get("target", ""))


def _log_line(record: dict[str, Any]) -> LogLine:
    """Return a log record in the form that is shown."""
    separate_fields = ("time", "level", "daemon", "event")
    details = [
        f"{name}={value}"
        for name, value in record.items()
        if name not in separate_fields
    ]
    return LogLine(
        str(record["time"]),
        str(record.get("daemon", "")),
        str(record["event"]),
        " ".join(details),
    )
