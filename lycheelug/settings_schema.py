"""The fields of a settings file: kind, bounds and text of each.

The reader walks this table, and docs/SETTINGS.md is generated from it, so
that neither can drift from the other.
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
    """Return ip and port of an address, or None where it is none.

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
    """A kind of single value: `allowed` in words, and its check."""

    __slots__ = ("allowed",)

    def __init__(self, allowed: str) -> None:
        self.allowed = allowed

    def accepts(self, value: object) -> bool:
        """Whether a value read from YAML is allowed."""
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
    """Any text."""

    __slots__ = ()

    def __init__(self) -> None:
        super().__init__("a text")

    def accepts(self, value: object) -> bool:
        """Accept any string."""
        return isinstance(value, str)


class Address(Scalar):
    """An IP number and a port."""

    __slots__ = ()

    def __init__(self) -> None:
        super().__init__("an IP number and a port, as 127.0.0.1:8080")

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
        """Accept a number in bounds; true and false are none."""
        if isinstance(value, bool):
            return False
        if self._integer and not isinstance(value, int):
            return False
        if not isinstance(value, int | float):
            return False
        return self._low <= value <= self._high


class Flag(Scalar):
    """True or false."""

    __slots__ = ()

    def __init__(self) -> None:
        super().__init__("true or false")

    def accepts(self, value: object) -> bool:
        """Accept a boolean."""
        return isinstance(value, bool)


class Choice(Scalar):
    """One of some words."""

    __slots__ = ("_words",)

    def __init__(self, words: Sequence[str]) -> None:
        super().__init__("one of " + ", ".join(words))
        self._words = frozenset(words)

    def accepts(self, value: object) -> bool:
        """Accept one of the words."""
        return isinstance(value, str) and value in self._words


class ScalarList:
    """A list of single values."""

    __slots__ = ("item",)

    def __init__(self, item: Scalar) -> None:
        self.item = item


class Group:
    """A mapping read into a settings class."""

    __slots__ = ("fields", "made")

    def __init__(self, made: type[object], fields: Sequence[Field]) -> None:
        self.made = made
        self.fields = tuple(fields)


class GroupList:
    """A list of mappings."""

    __slots__ = ("item",)

    def __init__(self, item: Group) -> None:
        self.item = item


Kind = Scalar | ScalarList | Group | GroupList


class Field:
    """One key of a mapping."""

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
            "Hosts that stay in service through every planned stop.",
        ),
        Field("slots", COUNT, "Requests that one executor runs at a time."),
        Field("connections", COUNT, "Connections that one executor accepts."),
        Field("spare", Flag(), "Whether the pool holds the spare hosts."),
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
        Field("callers", Address(), "For callers, HTTP/1.1."),
        Field("operators", Address(), "For operators, HTTP/1.1."),
        Field("entries", Address(), "For the other entry daemons, gRPC."),
    ],
)

PLATFORM: Final = Group(
    PlatformSettings,
    [
        Field("binding", Choice(["memory", "http"]), "How it is reached."),
        Field("address", Address(), "Its address, for the binding http."),
        Field("poll_s", Number(0.05, 4), "Seconds between two polls."),
        Field("pools", GroupList(POOL), "Pools, for the binding memory."),
        Field("hosts", GroupList(HOST), "Hosts, for the binding memory."),
    ],
)

LIMITS: Final = Group(
    LimitSettings,
    [
        Field("max_connections", COUNT, "Callers' connections."),
        Field("max_head_bytes", BYTES, "Bytes of target and headers."),
        Field("max_body_bytes", BYTES, "Bytes of a request's body."),
        Field("max_answer_bytes", BYTES, "Bytes of an upstream's answer."),
        Field("max_queued", COUNT, "Requests waiting in a pool's queue."),
        Field("receive_s", SECONDS, "Seconds for a request to arrive."),
        Field("send_s", SECONDS, "Seconds for a caller to take an answer."),
        Field("max_idle_s", SECONDS, "Idle seconds of a connection."),
        Field("default_deadline_s", SECONDS, "Deadline where none is given."),
        Field("max_deadline_s", SECONDS, "The longest deadline."),
    ],
)

UPSTREAMS: Final = Group(
    UpstreamSettings,
    [
        Field("connect_s", SECONDS, "Seconds to connect."),
        Field("max_tries", Number(1, 10, integer=True), "Tries, at most."),
        Field("retry_share", Number(0, 1), "Retries per first try."),
        Field("reuse_idle_s", Number(0, 3600), "Idle seconds before reuse."),
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
            "Whether connections of upstreams without it are reused.",
        ),
    ],
)

POLICIES: Final = Group(
    PolicySettings,
    [
        Field("queue", Name(), "Which waiting request starts next."),
        Field("choice", Name(), "Which executor takes it."),
        Field("retries", Name(), "What retries are paid from."),
        Field("share", Name(), "How daemons divide an executor's slots."),
    ],
)

TIMING: Final = Group(
    TimingSettings,
    [
        Field("gossip_s", Number(0.05, 60), "Seconds between exchanges."),
        Field(
            "member_suspect_s",
            SECONDS,
            "Silence until a daemon is suspect, and its slots shared out.",
        ),
        Field("grace_s", SECONDS, "Seconds for a planned stop."),
        Field(
            "claim_retention_s",
            Number(3600, 2_592_000),
            "How long a key's outcome is kept, in seconds.",
        ),
    ],
)

LOGS: Final = Group(
    LogSettings,
    [
        Field("format", Choice(["text", "json"]), "Form of a line."),
        Field(
            "level",
            Choice(["DEBUG", "INFO", "WARNING", "ERROR"]),
            "The least level that is written.",
        ),
    ],
)

ROOT: Final = Group(
    Settings,
    [
        Field("name", Name(), "The daemon's name, unique.", required=True),
        Field("zone", Name(), "Its availability zone.", required=True),
        Field("listen", LISTEN, "Addresses to listen on."),
        Field("operator_token", Text(), "What operators have to present."),
        Field("seeds", ScalarList(Address()), "Entry daemons to ask first."),
        Field("platform", PLATFORM, "The platform's services."),
        Field("tenants", GroupList(TENANT), "Tenants and their quotas."),
        Field("limits", LIMITS, "Bounds on what callers may hold."),
        Field("upstreams", UPSTREAMS, "How upstreams are treated."),
        Field("policies", POLICIES, "Names of the policies in force."),
        Field("timing", TIMING, "Periods and time limits."),
        Field("logs", LOGS, "How state changes are logged."),
    ],
)
