"""Decodes the operator's rows: the configuration and maintenance waves."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from returns.result import Failure

from lycheelug.decoding import decode_json
from lycheelug.fleetplan import MaintenanceWave
from lycheelug.jobservice.interfaces import (
    Configuration,
    PoolPolicy,
    Route,
)
from lycheelug.logs import log_change
from lycheelug.platform.wire import (
    ConfigMessage,
    EntryName,
    RouteAddress,
    RouteMessage,
    ServiceMessage,
    TenantMessage,
    TenantName,
    WaveMessage,
)
from lycheelug.tenants import Tenant, TenantDirectory
from lycheelug.tenants.model import NO_CAP
from lycheelug.workloads.model import HintTiming, Resources

if TYPE_CHECKING:
    import msgspec

    from lycheelug.platform.wire import HintMessage
    from lycheelug.store.rows import StoredRow

__all__ = [
    "CONFIG_KEY",
    "OPERATOR_TABLE",
    "WAVE_PREFIX",
    "decode_configuration",
    "decode_wave",
]

OPERATOR_TABLE: Final = "op"
CONFIG_KEY: Final = "config"
WAVE_PREFIX: Final = "wave/"


def decode_configuration(
    value: bytes, former: Configuration | None = None
) -> Configuration | None:
    """Return the decoded configuration, or None if the value is invalid.

    An entry that can't be read costs only itself.  A queue or pool keeps
    what the former configuration had of it, and a tenant its cap and weight,
    but no key.
    """
    message = decode_json(value, ConfigMessage).value_or(None)
    if message is None:
        return None
    routes: list[Route] = []
    for entry in message.routes:
        route = _to_route(entry, former)
        if route is not None:
            routes.append(route)
    pools: list[PoolPolicy] = []
    for entry in message.services:
        pool = _to_pool(entry, former)
        if pool is not None:
            pools.append(pool)
    tenants: list[Tenant] = []
    known = former.tenants if former is not None else TenantDirectory()
    for entry in message.tenants:
        tenant = _to_tenant(entry, known)
        if tenant is not None:
            tenants.append(tenant)
    return Configuration(
        message.version, routes, pools, TenantDirectory(tenants)
    )


def _to_route(
    entry: msgspec.Raw, former: Configuration | None
) -> Route | None:
    """Convert a queue from the platform's representation.

    If only its address can be read, the queue has the policy that it had in
    the former configuration; without one, it takes no submissions.
    """
    decoded = decode_json(bytes(entry), RouteMessage)
    if not isinstance(decoded, Failure):
        message = decoded.unwrap()
        return Route(
            message.name,
            message.host.lower(),
            message.path_prefix,
            message.service,
            message.priority,
            message.max_attempts,
            message.stretch,
            message.slo_ms / 1000,
            message.hint is not None,
            message.public,
            _to_timing(message.hint),
        )
    address = decode_json(bytes(entry), RouteAddress).value_or(None)
    named = decode_json(bytes(entry), EntryName).value_or(None)
    name = named.name if named is not None else ""
    log_change("queue-unreadable", queue=name, error=decoded.failure())
    known = former.find_queue(name) if former is not None else None
    if address is None:
        return known
    if known is None:
        return Route.without_policy(
            address.name,
            address.host.lower(),
            address.path_prefix,
            address.service,
        )
    return known.at(address.host.lower(), address.path_prefix, address.service)


def _to_timing(hint: HintMessage | None) -> HintTiming | None:
    """Convert the timing of a queue's placement hints."""
    if hint is None:
        return None
    return HintTiming(
        hint.decide_ms / 1000, hint.period_ms / 1000, hint.valid_ms / 1000
    )


def _to_pool(
    entry: msgspec.Raw, former: Configuration | None
) -> PoolPolicy | None:
    """Convert a pool from the platform's representation.

    One that can't be read, and was not known before, is served as a pool
    whose executors don't reject overload, which is safe for any.
    """
    decoded = decode_json(bytes(entry), ServiceMessage)
    if not isinstance(decoded, Failure):
        message = decoded.unwrap()
        return PoolPolicy(
            message.name, message.standby, message.rejects_overload
        )
    named = decode_json(bytes(entry), EntryName).value_or(None)
    name = named.name if named is not None else ""
    log_change("pool-unreadable", pool=name, error=decoded.failure())
    if named is None:
        return None
    known = former.pools.get(name) if former is not None else None
    return known or PoolPolicy(name)


def _to_tenant(entry: msgspec.Raw, known: TenantDirectory) -> Tenant | None:
    """Convert a tenant from the platform's representation.

    An invalid entry may have taken any of its keys away, so it gives access
    to none.
    """
    decoded = decode_json(bytes(entry), TenantMessage)
    if isinstance(decoded, Failure):
        named = decode_json(bytes(entry), TenantName).value_or(None)
        name = named.name if named is not None else ""
        log_change("tenant-unreadable", tenant=name, error=decoded.failure())
        former = known.find(name)
        if former is None:
            return None
        return Tenant(name, (), former.weight, former.cap)
    message = decoded.unwrap()
    cap = NO_CAP
    if message.cap is not None:
        cap = Resources(message.cap.cpu, message.cap.mem_mb, message.cap.gpu)
    return Tenant(message.name, message.api_keys, message.weight, cap)


def decode_wave(row: StoredRow) -> MaintenanceWave | None:
    """Return the decoded maintenance wave, or None if the row is invalid."""
    message = decode_json(row.value or b"", WaveMessage).value_or(None)
    if message is None:
        return None
    return MaintenanceWave(
        message.wave,
        message.machines,
        message.deadline_s,
        message.cap,
        row.version,
    )
