"""Reads and checks the settings file that the platform provides."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import TYPE_CHECKING, Final

import msgspec
from returns.result import Failure, Success

from lycheelug.client_limits import ClientLimits
from lycheelug.fleetplan import PlanPolicies
from lycheelug.scarcity import OverloadPolicy
from lycheelug.tenants import KeyCheck
from lycheelug.workloads import JobLimits

if TYPE_CHECKING:
    from returns.result import Result

__all__ = ["SETTINGS_VARIABLE", "PlatformSettings", "read_settings"]

SETTINGS_VARIABLE: Final = "LYCHEELUG_NODE_FILE"
# Contracts under which callers compete for too little room, and tasks on one
# executor slow each other down.
CONTENTION: Final = "pressure"
SHARING: Final = "sharing"


class _ListenAddresses(msgspec.Struct):
    """The addresses that the daemon listens on."""

    frontend_addr: str = ""
    readiness_addr: str = ""
    control: str = ""


class _Store(msgspec.Struct):
    """The address of the platform's store."""

    address: str


class _Cloud(msgspec.Struct):
    """The host interface; its rate limits apply to all daemons together."""

    address: str = ""
    rate_per_s: float = 10.0
    duty_per_s: float = 10.0


class _Bounds(msgspec.Struct):
    """The guaranteed time limits of the platform that the daemon uses.

    Their figures may be whole numbers or fractions.
    """

    hold_max_ms: float = 6000
    grace_s: float = 6.0
    stop_grace_ms: float = 500
    migrate_s: float = 2.0
    maintenance_s: float = 2.0
    notice_ms: float = 4500
    early_ms: float = 250
    # Whether the host interface refuses outdated fencing tokens.
    require_fencing: bool = False
    # Whether calls are refused where it can't be known that their key was
    # not taken away more than `revoke_ms` before.
    strict_revocation: bool = False
    revoke_ms: float = 5000
    # How soon a new configuration has to be in force.
    config_apply_ms: float = 2000


class _Limits(msgspec.Struct):
    """The capacity of this host; 0 if it is not given."""

    # The share of one core, which is `cores` times as fast as a usual one.
    cpu_share: float = 0.0
    cores: float = 1.0
    link_mbps: float = 0.0
    memory_mb: float = 0
    max_fds: int = 0

    @property
    def memory_bytes(self) -> int:
        """The memory of this host; 0 if it is not given."""
        return int(self.memory_mb * 1_000_000)


class PlatformSettings(msgspec.Struct):
    """The decoded settings file; unknown fields are ignored."""

    node_name: str
    ip: str
    zone: str
    platform: _Store
    listen_addrs: _ListenAddresses
    cloud_api: _Cloud = msgspec.field(default_factory=_Cloud)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # What one job may ask for.
    job_limits: JobLimits = msgspec.field(default_factory=JobLimits)
    # What clients may occupy.
    client_limits: ClientLimits = msgspec.field(default_factory=ClientLimits)
    internal_ports: list[int] = []
    # The control addresses of some daemons, which may be stale or down.
    seeds: list[str] = []
    hint: str = ""
    # The parts of the platform's protocol that are in force.
    contracts: list[str] = []

    @property
    def has_tenants(self) -> bool:
        """Whether calls carry keys of tenants."""
        return "tenants" in self.contracts

    @property
    def keeps_tasks_apart(self) -> bool:
        """Whether tasks that slow each other down are kept apart."""
        return CONTENTION in self.contracts and SHARING in self.contracts

    @property
    def plan_policies(self) -> PlanPolicies:
        """The policies for hosts, which may be too few under pressure."""
        if CONTENTION in self.contracts:
            return PlanPolicies(
                forecast="major-turns",
                sharing="urgency",
                relocates_early=True,
            )
        return PlanPolicies()

    @property
    def overload_policy(self) -> OverloadPolicy:
        """What owners of pools do while they can't serve all in time."""
        if CONTENTION not in self.contracts:
            return OverloadPolicy()
        return OverloadPolicy(rejects=True)

    def key_check(self) -> KeyCheck | None:
        """Return the check of calls' keys, or None if they carry none."""
        if not self.has_tenants:
            return None
        return KeyCheck(
            self.bounds.strict_revocation,
            self.bounds.revoke_ms / 1000,
            self.bounds.config_apply_ms / 1000,
        )

    def seed_addresses(self, port: int) -> list[str]:
        """Return the seeds' addresses, without this daemon's own.

        Seeds are control addresses.  If no control address is configured,
        daemons listen on an internal port, which is the same on all hosts.
        """
        found: list[str] = []
        for seed in self.seeds:
            host, _, seed_port = seed.rpartition(":")
            if not self.listen_addrs.control:
                seed_port = str(port)
            if (host, seed_port) != (self.ip, str(port)):
                found.append(f"{host}:{seed_port}")
        return found


def read_settings(path: str) -> Result[PlatformSettings, str]:
    """Return the settings, or an error that names the field and remedy."""
    if not path:
        return Failure(
            f"{SETTINGS_VARIABLE}: not set; set it to the settings file"
        )
    try:
        values = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        return Failure(f"{path}: {error.strerror}; check {SETTINGS_VARIABLE}")
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return Failure(f"{path}: not valid TOML: {error}")
    try:
        settings = msgspec.convert(values, PlatformSettings)
    except msgspec.ValidationError as error:
        return Failure(f"{path}: {error}; correct this field")
    addresses = settings.listen_addrs
    for field in ("frontend_addr", "readiness_addr", "control"):
        address = getattr(addresses, field)
        if field == "control" and not address:
            continue
        if not address.rpartition(":")[2].isdigit():
            return Failure(
                f"{path}: listen_addrs.{field}: {address!r}; give IP:PORT"
            )
    for name in ("revoke_ms", "config_apply_ms"):
        if settings.has_tenants and getattr(settings.bounds, name) < 1:
            return Failure(f"{path}: bounds.{name}: give 1 or more")
    for name in settings.job_limits.__struct_fields__:
        if getattr(settings.job_limits, name) < 1:
            return Failure(f"{path}: job_limits.{name}: give 1 or more")
    return Success(settings)
