"""The JSON messages of the operators' interface.

The daemon and the command-line tool share them, so that a field has the same
name in both.
"""

from __future__ import annotations

import msgspec

__all__ = [
    "ConfigReply",
    "HostView",
    "JobFailureView",
    "MemberView",
    "PoolView",
    "SetAsideView",
    "StatusView",
]


class MemberView(msgspec.Struct):
    """One entry daemon, in the view of the daemon that answers."""

    name: str
    zone: str
    state: str
    address: str
    run: str
    joined: bool
    silent_s: float
    table_revision: int
    config_revision: int


class StatusView(msgspec.Struct):
    """The state of the daemon that answers, and of its view."""

    name: str
    zone: str
    run: str
    phase: str
    uptime_s: float
    platform_binding: str
    platform_reachable: bool
    table_revision: int
    host_list_revision: int
    config_revision: int
    requests_in_flight: int
    requests_queued: int
    connections: int
    members: list[MemberView]


class HostView(msgspec.Struct):
    """One worker host in the availability zone of the daemon that answers.

    `use` is used, ejected, leaving or unused.
    """

    name: str
    zone: str
    rack: str
    pool: str
    phase: str
    listed: str
    address: str
    use: str
    in_flight: int
    limit: int


class PoolView(msgspec.Struct):
    """The state and the load of one pool at the daemon that answers."""

    name: str
    min_available: int
    spare: bool
    hosts: int
    usable_slots: int
    in_flight: int
    queued: int
    ejected: list[str]
    out: list[str]


class ConfigReply(msgspec.Struct):
    """A configuration, or the outcome of a submission.

    `outcome` is accepted, refused or unknown, or "" if the message only
    describes the configuration in force.
    """

    outcome: str
    revision: int
    nonce: str
    submitter: str
    body: msgspec.Raw
    reason: str = ""
    missing: list[str] = []


class JobFailureView(msgspec.Struct):
    """One failed run of a long job; `at` is in Unix seconds."""

    host: str
    rack: str
    reason: str
    at: float


class SetAsideView(msgspec.Struct):
    """A long job that was set aside after failures on several workers.

    `name` is a digest of the job's handle; only the caller knows the handle.
    """

    name: str
    tenant: str
    pool: str
    submitted_at: float
    set_aside_at: float
    detail: str
    failures: list[JobFailureView]
