"""Traces of requests and failures, stored as lines of JSON.

The first line is the header; each further line is one event, in order of
time.  docs/TRACES.md describes the fields.  This module parses, validates
and renders lines; it opens no files.

A reader accepts the versions that it knows and rejects others.  Unknown
fields are ignored, so an additional field needs no new version.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Final, TypeAlias

import msgspec
from returns.result import Failure, Result, Success

from lycheelug.decoding import MALFORMED
from lycheelug.errors import TRACE_INVALID, Fault, Peer, Step
from lycheelug.requests import RequestClass  # noqa: TC001 (msgspec reads it)

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

__all__ = [
    "FORMAT",
    "VERSION",
    "Arrival",
    "Cancel",
    "Event",
    "Header",
    "HostBack",
    "HostFailed",
    "Trace",
    "TraceExecutor",
    "TracePool",
    "WorkerBad",
    "WorkerSlowed",
    "parse_trace",
    "render_trace",
]

FORMAT: Final = "lycheelug-trace"
VERSION: Final = 1


class TraceExecutor(msgspec.Struct):
    """An executor of a pool, by the name, zone and rack of its host."""

    host: str
    zone: str = ""
    rack: str = ""


class TracePool(msgspec.Struct):
    """A pool with its executors, and the slots and connections of each.

    If an executor has more runs than slots, each run has the speed
    (slots / runs) ** `sink`.  With `sink` 1, the throughput of the
    executor stays constant.
    """

    name: str
    executors: list[TraceExecutor]
    slots: int = 8
    connections: int = 64
    sink: float = 1.0


class Header(msgspec.Struct, tag_field="type", tag="header"):
    """The origin and the pools of a trace.

    `seed` is 0 if the trace was recorded.  `dropped` is the number of
    events that exceeded the bound of the recorder.
    """

    format: str
    version: int
    deployment: str
    duration_s: float
    pools: list[TracePool]
    seed: int = 0
    dropped: int = 0


class Arrival(
    msgspec.Struct, tag_field="type", tag="arrival", omit_defaults=True
):
    """The arrival of a request.

    `deadline_s` is relative to the arrival; None means no deadline.
    `actual_s` is None if the recorder did not observe a successful run.  A
    request that is not `runnable` fails on every worker.
    """

    at: float
    id: int
    pool: str
    tenant: str
    request_class: RequestClass = msgspec.field(name="class")
    declared_s: float
    actual_s: float | None = None
    deadline_s: float | None = None
    repeatable: bool = True
    runnable: bool = True


class Cancel(msgspec.Struct, tag_field="type", tag="cancel"):
    """The cancellation of a request by its caller."""

    at: float
    id: int


class HostFailed(msgspec.Struct, tag_field="type", tag="host_failed"):
    """The failure of a host, which aborts all its runs."""

    at: float
    host: str


class HostBack(msgspec.Struct, tag_field="type", tag="host_back"):
    """The recovery of a host."""

    at: float
    host: str


class WorkerBad(msgspec.Struct, tag_field="type", tag="worker_bad"):
    """A fault by which a worker fails every run until its host recovers."""

    at: float
    host: str


class WorkerSlowed(msgspec.Struct, tag_field="type", tag="worker_slowed"):
    """A change of the number of requests that a worker runs at full speed."""

    at: float
    host: str
    slots: int


Event: TypeAlias = (
    Arrival | Cancel | HostFailed | HostBack | WorkerBad | WorkerSlowed
)
_DECODER: Final = msgspec.json.Decoder(Header | Event)
_FIELD: Final = re.compile(r"at `\$\.([^`]*)`|field `([^`]*)`")
REMEDIES: Final = {
    "at": "give seconds since the trace's start as a number",
    "id": "give each arrival a whole number that no other has",
    "pool": "use a pool that the header lists",
    "host": "use a host that the header lists",
    "class": "use urgent, short or long",
    "actual_s": "give seconds above zero, or null if unknown",
    "declared_s": "give seconds above zero",
    "deadline_s": "give seconds after the arrival, or null for none",
    "slots": "give a whole number of at least 1",
    "type": "use header, arrival, cancel, host_failed, host_back,"
    " worker_bad or worker_slowed",
    "version": f"this release reads version {VERSION}",
    "format": f"the header's format must be {FORMAT}",
}
NO_REMEDY: Final = "see docs/TRACES.md for the fields of each line"


class Trace:
    """A complete trace: header, and events in order of time."""

    __slots__ = ("events", "header")

    def __init__(self, header: Header, events: Sequence[Event]) -> None:
        self.header = header
        self.events = list(events)


class _FieldError(Exception):
    """A fault in a field of the current line."""

    def __init__(self, field: str, problem: str) -> None:
        super().__init__(problem)
        self.field = field
        self.problem = problem


class _EventValidator:
    """Validates events against the header and the preceding events."""

    __slots__ = ("_hosts", "_ids", "_last_at", "_pools")

    def __init__(self, header: Header) -> None:
        self._pools = {pool.name for pool in header.pools}
        self._hosts = {
            executor.host
            for pool in header.pools
            for executor in pool.executors
        }
        self._ids: set[int] = set()
        self._last_at = 0.0

    def check(self, event: Event) -> None:
        """Raise _FieldError if an event is invalid."""
        if not event.at >= self._last_at:
            raise _FieldError("at", f"{event.at} is before {self._last_at}")
        self._last_at = event.at
        if isinstance(event, Arrival):
            self._check_arrival(event)
        elif isinstance(event, Cancel):
            if event.id not in self._ids:
                raise _FieldError("id", f"no arrival {event.id} before it")
        elif event.host not in self._hosts:
            raise _FieldError("host", f"unknown host {event.host!r}")
        elif isinstance(event, WorkerSlowed) and event.slots < 1:
            raise _FieldError("slots", f"{event.slots} is not above 0")

    def _check_arrival(self, event: Arrival) -> None:
        if event.id in self._ids:
            raise _FieldError("id", f"{event.id} arrived before")
        self._ids.add(event.id)
        if event.pool not in self._pools:
            raise _FieldError("pool", f"unknown pool {event.pool!r}")
        if event.declared_s <= 0:
            raise _FieldError(
                "declared_s", f"{event.declared_s} is not above 0"
            )
        if event.actual_s is not None and event.actual_s <= 0:
            raise _FieldError("actual_s", f"{event.actual_s} is not above 0")
        if event.deadline_s is not None and event.deadline_s < 0:
            raise _FieldError("deadline_s", f"{event.deadline_s} is below 0")


def parse_trace(lines: Iterable[bytes], source: str) -> Result[Trace, Fault]:
    """Parse the lines of a trace; `source` identifies them in faults.

    >>> parse_trace([b'{"type": "header"}'], "x.jsonl").failure().detail
    "x.jsonl:1: format: missing: the header's format must be lycheelug-trace"
    """
    header: Header | None = None
    validator: _EventValidator | None = None
    events: list[Event] = []
    number = 0
    for number, line in enumerate(lines, start=1):
        if not line.strip():
            continue
        try:
            entry = _decode(line)
            if isinstance(entry, Header):
                header = _check_header(entry, header)
                validator = _EventValidator(header)
                continue
            if validator is None:
                raise _FieldError("type", "an event comes before the header")
            validator.check(entry)
            events.append(entry)
        except _FieldError as invalid:
            return Failure(_fault(source, number, invalid))
    if header is None:
        empty = _FieldError("format", "there is no header")
        return Failure(_fault(source, max(1, number), empty))
    return Success(Trace(header, events))


def render_trace(trace: Trace) -> Iterator[bytes]:
    """Yield the lines of a trace, each with a newline."""
    encoder = msgspec.json.Encoder()
    yield encoder.encode(trace.header) + b"\n"
    for event in trace.events:
        yield encoder.encode(event) + b"\n"


def _decode(line: bytes) -> Header | Event:
    """Decode a line; raise _FieldError if it is invalid."""
    try:
        return _DECODER.decode(line)
    except msgspec.ValidationError as error:
        raise _FieldError(*_field_and_problem(str(error))) from error
    except MALFORMED as error:
        raise _FieldError("", f"not JSON ({error})") from error


def _field_and_problem(message: str) -> tuple[str, str]:
    """Split a message of the decoder into field and problem."""
    if "missing required field" in message:
        names = re.findall(r"`([^`$]+)`", message)
        return (names[0] if names else "", "missing")
    found = _FIELD.search(message)
    field = (found.group(1) or found.group(2)) if found else ""
    return field, message.split(" - at ", maxsplit=1)[0]


def _check_header(header: Header, earlier: Header | None) -> Header:
    """Return the header; raise _FieldError if it is not supported."""
    if earlier is not None:
        raise _FieldError("type", "a second header")
    if header.format != FORMAT:
        raise _FieldError("format", f"unknown format {header.format!r}")
    if header.version != VERSION:
        raise _FieldError("version", f"unknown version {header.version}")
    return header


def _fault(source: str, line: int, invalid: _FieldError) -> Fault:
    """Return a fault with file, line, field, problem and remedy."""
    location = f"{source}:{line}"
    if invalid.field:
        location = f"{location}: {invalid.field}"
    remedy = REMEDIES.get(invalid.field, NO_REMEDY)
    detail = f"{location}: {invalid.problem}: {remedy}"
    return Fault(TRACE_INVALID, Step.PARSE, Peer.OPERATOR, detail)
