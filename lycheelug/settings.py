"""Settings of a daemon as plain classes, without reading or validation.

`settings_schema` lists each field with its bounds and description, and
`settings_file` reads a YAML file and validates it against that list.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = [
    "EmbeddedHost",
    "EmbeddedPool",
    "LimitSettings",
    "ListenSettings",
    "LogSettings",
    "PlatformSettings",
    "PolicySettings",
    "Settings",
    "TenantSettings",
    "TimingSettings",
    "UpstreamSettings",
]


class ListenSettings:
    """The addresses that a daemon listens on, each `ip:port`."""

    __slots__ = ("callers", "entries", "operators")

    def __init__(self) -> None:
        # Where callers send their requests.
        self.callers = "127.0.0.1:8080"
        # Where the command-line tool and metrics scrapers connect.
        self.operators = "127.0.0.1:8081"
        # Where the other entry daemons connect.
        self.entries = "127.0.0.1:8082"


class PlatformSettings:
    """How the daemon connects to the platform's services."""

    __slots__ = ("address", "binding", "hosts", "poll_s", "pools")

    def __init__(self) -> None:
        # A name in the registry of platform bindings.
        self.binding = "memory"
        # `ip:port` of the platform; empty for the binding "memory".
        self.address = ""
        # Seconds between polls of the table and of the host list.
        self.poll_s = 2.0
        # Initial pools and hosts for the binding "memory".
        self.pools: list[EmbeddedPool] = []
        self.hosts: list[EmbeddedHost] = []


class EmbeddedPool:
    """An initial pool of an embedded platform."""

    __slots__ = ("connections", "min_available", "name", "slots", "spare")

    def __init__(self) -> None:
        self.name = ""
        # Hosts that stay in service during planned stops.
        self.min_available = 0
        # Requests that one executor runs at the same time.
        self.slots = 8
        # Connections that one executor accepts.
        self.connections = 64
        # Whether the pool contains the spare hosts.
        self.spare = False


class EmbeddedHost:
    """An initial worker host of an embedded platform."""

    __slots__ = ("address", "name", "pool", "rack")

    def __init__(self) -> None:
        self.name = ""
        # `ip:port` of the executor.
        self.address = ""
        self.pool = ""
        self.rack = "r1"


class TenantSettings:
    """A tenant and its quota."""

    __slots__ = ("name", "share")

    def __init__(self) -> None:
        self.name = ""
        # The share of a pool's slots that the tenant may hold while others
        # wait.
        self.share = 1.0


class LimitSettings:
    """Bounds on the resources that callers may use."""

    __slots__ = (
        "default_deadline_s",
        "max_answer_bytes",
        "max_body_bytes",
        "max_connections",
        "max_connections_per_address",
        "max_deadline_s",
        "max_entry_connections",
        "max_head_bytes",
        "max_headers",
        "max_held_bytes",
        "max_idle_s",
        "max_operator_connections",
        "max_queued",
        "receive_s",
        "send_s",
    )

    def __init__(self) -> None:
        # Open connections of all callers.
        self.max_connections = 1024
        # Open connections of callers from one IP address; 0 for no limit.
        self.max_connections_per_address = 0
        # Open connections of operators, and of other entry daemons.
        self.max_operator_connections = 256
        self.max_entry_connections = 1024
        # Bytes of a request's target and headers.
        self.max_head_bytes = 16 * 1024
        # The number of a request's headers.
        self.max_headers = 128
        # Bytes of bodies and unsent answers that one listener may hold.
        self.max_held_bytes = 64 * 1024 * 1024
        # Bytes of a request's body.
        self.max_body_bytes = 1024 * 1024
        # Bytes of an upstream's answer, which is buffered completely.
        self.max_answer_bytes = 8 * 1024 * 1024
        # Requests waiting in one pool's queue.
        self.max_queued = 4096
        # Seconds within which a request must arrive completely.
        self.receive_s = 10.0
        # Seconds within which a caller must read its answer.
        self.send_s = 10.0
        # Seconds that a connection may stay open without a request.
        self.max_idle_s = 60.0
        # Deadline of a request that does not specify one, in seconds.
        self.default_deadline_s = 30.0
        # Longest deadline that a caller may request, in seconds.
        self.max_deadline_s = 600.0


class UpstreamSettings:
    """How the daemon connects to upstreams and retries requests."""

    __slots__ = (
        "connect_s",
        "max_tries",
        "request_id_required",
        "retry_share",
        "reuse_idle_s",
        "reuse_without_request_id",
        "unrepeatable_reuse_idle_s",
    )

    def __init__(self) -> None:
        # Seconds within which a connection to an upstream must be established.
        self.connect_s = 1.0
        # Attempts per request, including the first.
        self.max_tries = 3
        # Allowed retries as a share of first attempts.
        self.retry_share = 0.1
        # Idle seconds after which a connection is not reused.
        self.reuse_idle_s = 5.0
        # The same for requests that may not be repeated.  If the upstream
        # closes an idle connection while such a request is sent, its outcome
        # is unknown.
        self.unrepeatable_reuse_idle_s = 0.5
        # Whether an answer must carry the X-Request-Id of its request.
        self.request_id_required = False
        # Whether connections are reused if the upstream does not echo it.
        self.reuse_without_request_id = False


class PolicySettings:
    """The names of the active policies, each from its registry."""

    __slots__ = ("choice", "queue", "retries", "share")

    def __init__(self) -> None:
        # Which waiting request starts next.
        self.queue = "deadline"
        # Which executor runs a request.
        self.choice = "two-choices"
        # How the budget for retries is computed.
        self.retries = "answered"
        # How the slots of an executor are divided among daemons.
        self.share = "live"


class TimingSettings:
    """Periods and time limits of the daemon's own work, in seconds."""

    __slots__ = (
        "claim_retention_s",
        "gossip_s",
        "grace_s",
        "member_suspect_s",
    )

    def __init__(self) -> None:
        # Period between exchanges of digests.
        self.gossip_s = 1.0
        # Time without a heartbeat until a daemon counts as suspect and loses
        # its share of the slots.
        self.member_suspect_s = 10.0
        # Time for requests in flight to finish at a planned stop.
        self.grace_s = 60.0
        # Time for which the outcome of an idempotency key is stored.
        self.claim_retention_s = 86_400.0


class LogSettings:
    """How state changes are logged, on standard error."""

    __slots__ = ("format", "level")

    def __init__(self) -> None:
        # "text" or "json", one line per change.
        self.format = "text"
        # Lowest level that is written.
        self.level = "INFO"


class Settings:
    """All settings of one daemon."""

    __slots__ = (
        "_tenant_names",
        "limits",
        "listen",
        "logs",
        "name",
        "operator_token",
        "platform",
        "policies",
        "seeds",
        "tenants",
        "timing",
        "upstreams",
        "zone",
    )

    def __init__(self) -> None:
        # The daemon's name, unique among all entry daemons.
        self.name = ""
        # The availability zone of the daemon.
        self.zone = ""
        self.listen = ListenSettings()
        # Token that operators must present; may be empty on loopback only.
        self.operator_token = ""
        # `ip:port` of the first entry daemons to contact; the others are
        # discovered.
        self.seeds: list[str] = []
        self.platform = PlatformSettings()
        # Tenants with their quotas; if empty, any tenant name is accepted.
        self.tenants: list[TenantSettings] = []
        self._tenant_names: frozenset[str] = frozenset()
        self.limits = LimitSettings()
        self.upstreams = UpstreamSettings()
        self.policies = PolicySettings()
        self.timing = TimingSettings()
        self.logs = LogSettings()

    def set_tenants(self, shares: Mapping[str, float]) -> None:
        """Replace the tenants and their shares."""
        tenants: list[TenantSettings] = []
        for name, share in sorted(shares.items()):
            tenant = TenantSettings()
            tenant.name = name
            tenant.share = share
            tenants.append(tenant)
        self.tenants = tenants
        self._tenant_names = frozenset(shares)

    def allows_tenant(self, name: str) -> bool:
        """Return whether the tenant is listed or no tenants are listed."""
        return not self._tenant_names or name in self._tenant_names
