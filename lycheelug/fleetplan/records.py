"""The stored records that pool owners and the fleet planner exchange.

A pool's owner publishes the pool's demand in its summary and the loads of
its hosts in another row, which is larger and written less often.  The planner
publishes drain orders for hosts, each with a unique number.  An owner places
no new tasks on a host with an order, and confirms the order's number once
nothing runs there and no start is in flight.  Only then may the planner move
the host or begin its maintenance, and it deletes an order whose call was sent
only after the platform has answered.  An owner refuses an order while a
long-running task has no other place, and the planner withdraws it if its call
was not sent.  A new owner of a pool reads the plan
after it has acquired its term, so it can't start a task on a host whose
order was already confirmed.
"""

from __future__ import annotations

from typing import Final

import msgspec

from lycheelug.decoding import Figure, Integer, decode_json

__all__ = [
    "HOSTS_KEY",
    "PLANS_TABLE",
    "PLAN_KEY",
    "SUMMARIES_TABLE",
    "SUMMARY_KEY",
    "TURNS_KEY",
    "TURNS_TABLE",
    "WAVES_TABLE",
    "DrainOrder",
    "HostCall",
    "HostLoad",
    "HostsRecord",
    "PlanRecord",
    "SummaryRecord",
    "Turn",
    "TurnsRecord",
    "WaveRecord",
    "decode_hosts",
    "decode_plan",
    "decode_summary",
    "decode_turns",
    "decode_wave_record",
]

SUMMARIES_TABLE: Final = "summaries"
SUMMARY_KEY: Final = "summary"
HOSTS_KEY: Final = "hosts"
PLANS_TABLE: Final = "plans"
PLAN_KEY: Final = "plan"
WAVES_TABLE: Final = "waves"
TURNS_TABLE: Final = "turns"
TURNS_KEY: Final = "turns"


class HostLoad(msgspec.Struct, array_like=True):
    """The load of one host as its pool's owner reports it."""

    executor: str
    # The host accepts tasks: it responds, is not draining and has no order.
    is_usable: bool = False
    # CPU in use by all runs, in thousandths of a core.
    used_cpu: Integer = 0
    runs: Integer = 0
    lasting_runs: Integer = 0


class HostsRecord(msgspec.Struct, omit_defaults=True):
    """The loads of a pool's hosts."""

    term: Integer
    hosts: dict[str, HostLoad] = {}


class SummaryRecord(msgspec.Struct, omit_defaults=True):
    """The load of a pool; all CPU figures are in thousandths of a core."""

    term: Integer
    # Stored in a row of its own, the `HostsRecord`; readers join the two.
    hosts: dict[str, HostLoad] = {}
    # Tasks that only wait for free capacity.
    ready_cpu: Integer = 0
    ready_memory: Integer = 0
    # The part of `ready_cpu` whose jobs can no longer meet their deadline.
    late_cpu: Integer = 0
    # The expected increase of arriving work until a new host could start.
    growing_cpu: Integer = 0
    # The work that arrived in the last second, and its jobs, without those
    # that are long-running.
    arriving_cpu: Integer = 0
    arriving_jobs: Integer = 0
    # Tasks that wait for earlier steps of their job.
    blocked_cpu: Integer = 0
    running_cpu: Integer = 0
    running_memory: Integer = 0
    lasting_cpu: Integer = 0
    # The largest number of executors that a long-running step needs because
    # of its limit of tasks per executor.
    spread: Integer = 0
    # The number of long-running tasks that may be relocated at once, by the
    # limits of their steps; 0 if unknown.
    relocations_max: Integer = 0
    # The number of accepted jobs without a started task, by queue.
    waiting: dict[str, Integer] = {}
    # The owner's run time statistics, by queue.
    run_times: dict[str, list[Figure]] = {}
    # The tasks that slow each other down, by the kinds of the slowed and the
    # other task, as `InterferenceEstimator` exports them.
    interference: dict[str, dict[str, list[Figure]]] = {}
    # The numbers of the confirmed orders, by host.
    vacated: dict[str, str] = {}
    # The numbers of the orders for hosts that long-running tasks can't do
    # without, by host.
    refused: dict[str, str] = {}

    @property
    def finite_cpu(self) -> int:
        """The CPU that tasks other than long-running ones use or wait for."""
        wanted = self.running_cpu + self.ready_cpu + self.blocked_cpu
        return wanted - self.lasting_cpu


class Turn(msgspec.Struct, array_like=True):
    """One turn of a pool."""

    pool: str
    # Unix time in milliseconds, as clocks of planners on other hosts differ
    # by less than turns do.
    began_ms: Integer
    # The largest work that arrived in a second, in thousandths of a core.
    peak_cpu: Integer = 0


class TurnsRecord(msgspec.Struct, omit_defaults=True):
    """The last turns of all pools, as the planner has learned them."""

    turns: list[Turn] = []


class DrainOrder(msgspec.Struct, array_like=True):
    """An order to drain a host before a move or maintenance."""

    number: str
    pool: str
    # The pool to move the host to; empty for maintenance.
    target: str = ""
    wave: Integer = 0
    # The call may have been sent, so it must be retried until it is answered.
    sent: bool = False


class PlanRecord(msgspec.Struct, omit_defaults=True):
    """The planner's open orders and the progress of maintenance waves."""

    term: Integer
    orders: dict[str, DrainOrder] = {}
    # Stored in a row for each wave, the `WaveRecord`: the maintained hosts by
    # wave, the waves that were published as completed, and their ages.
    maintained: dict[str, list[str]] = {}
    completed: list[Integer] = []
    # Unix times in milliseconds at which waves were first seen, by wave.
    seen_ms: dict[str, Integer] = {}
    # Stored in a row of their own, the `TurnsRecord`.
    turns: list[Turn] = []


class WaveRecord(msgspec.Struct, omit_defaults=True):
    """The progress of one maintenance wave."""

    maintained: list[str] = []
    # The wave was published as completed.
    is_completed: bool = False
    # Unix time in milliseconds at which it was first seen; 0 if unknown.
    seen_ms: Integer = 0


class HostCall:
    """A call to move or maintain a host that is due now."""

    __slots__ = ("host", "order")

    def __init__(self, host: str, order: DrainOrder) -> None:
        self.host = host
        self.order = order


def decode_summary(value: bytes) -> SummaryRecord | None:
    """Return the decoded summary, or None if the value is invalid."""
    return decode_json(value, SummaryRecord).value_or(None)


def decode_hosts(value: bytes) -> HostsRecord | None:
    """Return the decoded loads of hosts, or None if the value is invalid."""
    return decode_json(value, HostsRecord).value_or(None)


def decode_plan(value: bytes) -> PlanRecord | None:
    """Return the decoded plan, or None if the value is invalid."""
    return decode_json(value, PlanRecord).value_or(None)


def decode_wave_record(value: bytes) -> WaveRecord | None:
    """Return the decoded progress of a wave, or None if it is invalid."""
    return decode_json(value, WaveRecord).value_or(None)


def decode_turns(value: bytes) -> TurnsRecord | None:
    """Return the decoded turns, or None if the value is invalid."""
    return decode_json(value, TurnsRecord).value_or(None)
