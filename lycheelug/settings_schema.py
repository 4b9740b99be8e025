"""The fields of a settings file with their kinds, bounds and descriptions.

`settings_file` validates files against this table, and docs/SETTINGS.md is
generated from it, so code and documentation cannot diverge.
"""

from __future__ import annotations

import re
from ipaddress import ip_address
from typing import TYPE_CHECKING, Final

from lycheelug.settings import (
    EmbeddedHost,
    EmbeddedPool,
    LimitSettings,
    ListenSettings,
    LogSettings,
    PlatformSettings,
    PolicySettings,
    Settings,
    TenantSettings,
    TimingSettings,
    UpstreamSettings,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = [
    "ROOT",
    "Address",
    "Choice",
    "Field",
    "Flag",
    "Group",
    "GroupList",
    "Kind",
    "Name",
    "Number",
    "Scalar",
    "ScalarList",
    "Text",
    "split_address",
]

NAME_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
MAX_PORT: Final = 65_535


def split_address(text: str) -> tuple[str, int] | None:
    """Return IP address and port, or None if the text is not an address.

    >>> split_address("127.0.0.1:80")
    ('127.0.0.1', 80)
    >>> split_address("[::1]:80")
    ('::1', 80)
    >>> split_address("localhost:80") is None
    True
    """
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdecimal() or int(port) > MAX_PORT:
        return None
    host = host.removeprefix("[").removesuffix("]")
    try:
        ip_address(host)
    except ValueError:
        return None
    return host, int(port)


class Scalar:
    """A kind of scalar value; `allowed` describes the accepted values."""

    __slots__ = ("allowed",)

    def __init__(self, allowed: str) -> None:
        self.allowed = allowed

    def accepts(self, value: object) -> bool:
        """Return whether a value from YAML is allowed."""
        raise NotImplementedError


class Name(Scalar):
    """A name of a host, pool, tenant, zone or daemon."""

    __slots__ = ()

    def __init__(self) -> None:
        super().__init__("a name of letters, digits, '.', '_', '-'")

    def accepts(self, value: object) -> bool:
        """Accept a name of at most 63 characters."""
        return isinstance(value, str) and bool(NAME_PATTERN.fullmatch(value))


class Text(Scalar):
    """Any string."""

    __slots__ = ()

    def __init__(self) -> None:
        super().__init__("a string")

    def accepts(self, value: object) -> bool:
        """Accept any string."""
        return isinstance(value, str)


class Address(Scalar):
    """An IP address and a port."""

    __slots__ = ()

    def __init__(self) -> None:
        super().__init__("an IP address and a port, such as 127.0.0.1:8080")

    def accepts(self, value: object) -> bool:
        """Accept `ip:port`."""
        return isinstance(value, str) and split_address(value) is not None


class Number(Scalar):
    """A number within bounds."""

    __slots__ = ("_high", "_integer", "_low")

    def __init__(
        self, low: float, high: float, *, integer: bool = False
    ) -> None:
        noun = "a whole number" if integer else "a number"
        super().__init__(f"{noun} from {low:g} to {high:g}")
        self._low = low
        self._high = high
        self._integer = integer

    def accepts(self, value: object) -> bool:
        """Accept a number within the bounds, but no boolean."""
        if isinstance(value, bool):
            return False
        if self._integer and not isinstance(value, int):
            return False
        if not isinstance(value, int | float):
            return False
        return self._low <= value <= self._high


class Flag(Scalar):
    """A boolean."""

    __slots__ = ()

    def __init__(self) -> None:
        super().__init__("true or false")

    def accepts(self, value: object) -> bool:
        """Accept a boolean."""
        return isinstance(value, bool)


class Choice(Scalar):
    """One of a fixed set of strings."""

    __slots__ = ("_choices",)

    def __init__(self, choices: Sequence[str]) -> None:
        super().__init__("one of " + ", ".join(choices))
        self._choices = frozenset(choices)

    def accepts(self, value: object) -> bool:
        """Accept a string of the set."""
        return isinstance(value, str) and value in self._choices


class ScalarList:
    """A list of scalar values."""

    __slots__ = ("item",)

    def __init__(self, item: Scalar) -> None:
        self.item = item


class Group:
    """A mapping that is read into an instance of a settings class."""

    __slots__ = ("fields", "settings_class")

    def __init__(
        self, settings_class: type[object], fields: Sequence[Field]
    ) -> None:
        self.settings_class = settings_class
        self.fields = tuple(fields)


class GroupList:
    """A list of mappings."""

    __slots__ = ("item",)

    def __init__(self, item: Group) -> None:
        self.item = item


Kind = Scalar | ScalarList | Group | GroupList


class Field:
    """A key of a mapping, with its kind and description."""

    __slots__ = ("kind", "name", "required", "text")

    def __init__(
        self, name: str, kind: Kind, text: str, *, required: bool = False
    ) -> None:
        self.name = name
        self.kind = kind
        self.text = text
        self.required = required


SECONDS: Final = Number(0.01, 86_400)
BYTES: Final = Number(64, 1 << 30, integer=True)
COUNT: Final = Number(1, 100_000, integer=True)

POOL: Final = Group(
    EmbeddedPool,
    [
        Field("name", Name(), "The pool's name.", required=True),
        Field(
            "min_available",
            Number(0, 100_000, integer=True),
            "Hosts that stay in service during planned stops.",
        ),
        Field(
            "slots", COUNT, "Requests that one executor runs at the same time."
        ),
        Field("connections", COUNT, "Connections that one executor accepts."),
        Field("spare", Flag(), "Whether the pool contains the spare hosts."),
    ],
)

HOST: Final = Group(
    EmbeddedHost,
    [
        Field("name", Name(), "The host's name.", required=True),
        Field("address", Address(), "The executor's address.", required=True),
        Field("pool", Name(), "The pool it belongs to.", required=True),
        Field("rack", Name(), "Its rack, a failure domain."),
    ],
)

TENANT: Final = Group(
    TenantSettings,
    [
        Field("name", Name(), "The tenant's name.", required=True),
        Field(
            "share",
            Number(0.001, 1),
            "Share of a pool's slots it may hold while others wait.",
        ),
    ],
)

LISTEN: Final = Group(
    ListenSettings,
    [
        Field("callers", Address(), "Address for callers, HTTP/1.1."),
        Field("operators", Address(), "Address for operators, HTTP/1.1."),
        Field(
            "entries", Address(), "Address for the other entry daemons, gRPC."
        ),
    ],
)

PLATFORM: Final = Group(
    PlatformSettings,
    [
        Field(
            "binding",
            Choice(["memory", "http"]),
            "How to connect to the platform.",
        ),
        Field(
            "address",
            Address(),
            "The platform's address, for the binding http.",
        ),
        Field("poll_s", Number(0.05, 4), "Seconds between polls."),
        Field(
            "pools", GroupList(POOL), "Initial pools, for the binding memory."
        ),
        Field(
            "hosts", GroupList(HOST), "Initial hosts, for the binding memory."
        ),
    ],
)

LIMITS: Final = Group(
    LimitSettings,
    [
        Field("max_connections", COUNT, "Open connections of all callers."),
        Field(
            "max_connections_per_address",
            Number(0, 100_000, integer=True),
            "Open connections of callers from one address; 0 for no limit.",
        ),
        Field(
            "max_operator_connections", COUNT, "Open connections of operators."
        ),
        Field(
            "max_entry_connections",
            COUNT,
            "Open connections of other entry daemons.",
        ),
        Field(
            "max_head_bytes", BYTES, "Bytes of a request's target and headers."
        ),
        Field("max_headers", COUNT, "Headers of a request."),
        Field("max_body_bytes", BYTES, "Bytes of a request's body."),
        Field(
            "max_held_bytes",
            BYTES,
            "Bytes of bodies and unsent answers that one listener holds.",
        ),
        Field("max_answer_bytes", BYTES, "Bytes of an upstream's answer."),
        Field("max_queued", COUNT, "Requests waiting in a pool's queue."),
        Field("receive_s", SECONDS, "Seconds to receive a request."),
        Field("send_s", SECONDS, "Seconds to send an answer to a caller."),
        Field(
            "max_idle_s",
            SECONDS,
            "Seconds after which an idle connection is closed.",
        ),
        Field(
            "default_deadline_s",
            SECONDS,
            "Deadline in seconds if the request has none.",
        ),
        Field("max_deadline_s", SECONDS, "The longest deadline in seconds."),
    ],
)

UPSTREAMS: Final = Group(
    UpstreamSettings,
    [
        Field("connect_s", SECONDS, "Seconds to establish a connection."),
        Field(
            "max_tries",
            Number(1, 10, integer=True),
            "Attempts per request, including the first.",
        ),
        Field(
            "retry_share",
            Number(0, 1),
            "Allowed retries as a share of first attempts.",
        ),
        Field(
            "reuse_idle_s",
            Number(0, 3600),
            "Idle seconds after which a connection is not reused.",
        ),
        Field(
            "unrepeatable_reuse_idle_s",
            Number(0, 3600),
            "The same, for requests that may not be repeated.",
        ),
        Field(
            "request_id_required",
            Flag(),
            "Whether an answer must carry its request's X-Request-Id.",
        ),
        Field(
            "reuse_without_request_id",
            Flag(),
            "Whether connections are reused if the upstream does not echo it.",
        ),
    ],
)

POLICIES: Final = Group(
    PolicySettings,
    [
        Field("queue", Name(), "Which waiting request starts next."),
        Field("choice", Name(), "Which executor runs a request."),
        Field("retries", Name(), "How the budget for retries is computed."),
        Field(
            "share",
            Name(),
            "How an executor's slots are divided among daemons.",
        ),
    ],
)

TIMING: Final = Group(
    TimingSettings,
    [
        Field(
            "gossip_s",
            Number(0.05, 60),
            "Seconds between exchanges of digests.",
        ),
        Field(
            "member_suspect_s",
            SECONDS,
            "Seconds without a heartbeat until a daemon is suspect and loses"
            " its slots.",
        ),
        Field(
            "grace_s", SECONDS, "Seconds to finish requests at a planned stop."
        ),
        Field(
            "claim_retention_s",
            Number(3600, 2_592_000),
            "Seconds for which a key's outcome is stored.",
        ),
    ],
)

LOGS: Final = Group(
    LogSettings,
    [
        Field("format", Choice(["text", "json"]), "Format of the lines."),
        Field(
            "level",
            Choice(["DEBUG", "INFO", "WARNING", "ERROR"]),
            "Lowest level that is written.",
        ),
    ],
)

ROOT: Final = Group(
    Settings,
    [
        Field("name", Name(), "The daemon's name, unique.", required=True),
        Field(
            "zone", Name(), "The daemon's availability zone.", required=True
        ),
        Field("listen", LISTEN, "Addresses to listen on."),
        Field("operator_token", Text(), "Token that operators must present."),
        Field(
            "seeds", ScalarList(Address()), "First entry daemons to contact."
        ),
        Field("platform", PLATFORM, "Connection to the platform's services."),
        Field("tenants", GroupList(TENANT), "Tenants and their quotas."),
        Field(
            "limits", LIMITS, "Bounds on the resources that callers may use."
        ),
        Field("upstreams", UPSTREAMS, "Connections to upstreams and retries."),
        Field("policies", POLICIES, "Names of the active policies."),
        Field("timing", TIMING, "Periods and time limits."),
        Field("logs", LOGS, "How state changes are logged."),
    ],
)
