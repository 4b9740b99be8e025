"""Parses the headers with which a caller controls its request.

docs/INTERFACES.md defines each header.  Whether a request is repeatable
follows from its method (RFC 9110, section 9.2.2) unless a header states it.
"""

from __future__ import annotations

import math
import re
from functools import lru_cache
from typing import TYPE_CHECKING, Final

from returns.result import Failure, Result, Success

from lycheelug.errors import BAD_HEADER, Fault, Peer, Step
from lycheelug.requests import RequestClass

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lycheelug.http import Request

__all__ = ["CallerRequest", "parse_request"]

POOL_HEADER: Final = b"lycheelug-pool"
TENANT_HEADER: Final = b"lycheelug-tenant"
CLASS_HEADER: Final = b"lycheelug-class"
DEADLINE_HEADER: Final = b"lycheelug-deadline"
REPEATABLE_HEADER: Final = b"lycheelug-repeatable"
KEY_HEADER: Final = b"idempotency-key"
CONTROL_HEADERS: Final = frozenset(
    {
        POOL_HEADER,
        TENANT_HEADER,
        CLASS_HEADER,
        DEADLINE_HEADER,
        REPEATABLE_HEADER,
        KEY_HEADER,
    }
)

IDEMPOTENT_METHODS: Final = frozenset(
    {b"GET", b"HEAD", b"PUT", b"DELETE", b"OPTIONS", b"TRACE"}
)
DEFAULT_TENANT: Final = "default"
# The number of header sets whose parsed form is cached.  The size of a set is
# bounded by the limit on a request's head.
MAX_CACHED_HEADER_SETS: Final = 128
NAME_PATTERN: Final = re.compile(rb"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
KEY_PATTERN: Final = re.compile(rb"[\x21-\x7e]{1,255}")
CLASSES: Final = {item.value.encode(): item for item in RequestClass}
YES_NO: Final = {b"yes": True, b"no": False}


class _ParsedHeaders:
    """The parsed headers of a request.

    `timeout_s` is the time from arrival to the deadline.  `key` is the
    idempotency key, or "" if there is none.
    """

    __slots__ = (
        "key",
        "pool",
        "repeatable",
        "request_class",
        "tenant",
        "timeout_s",
    )

    def __init__(
        self,
        pool: str,
        tenant: str,
        request_class: RequestClass,
        timeout_s: float,
        repeatable: bool,
        key: str,
    ) -> None:
        self.pool = pool
        self.tenant = tenant
        self.request_class = request_class
        self.timeout_s = timeout_s
        self.repeatable = repeatable
        self.key = key


class CallerRequest(_ParsedHeaders):
    """A caller's request with its parsed headers."""

    __slots__ = ("request",)

    def __init__(
        self,
        request: Request,
        pool: str,
        tenant: str,
        request_class: RequestClass,
        timeout_s: float,
        repeatable: bool,
        key: str,
    ) -> None:
        super().__init__(
            pool, tenant, request_class, timeout_s, repeatable, key
        )
        self.request = request


class _HeaderValues:
    """The values of the headers, each of which may occur only once."""

    __slots__ = ("_values",)

    def __init__(self) -> None:
        self._values: dict[bytes, bytes] = {}

    def add_all(self, headers: Sequence[tuple[bytes, bytes]]) -> Fault | None:
        """Store the headers; return a fault for a repeated one."""
        for name, value in headers:
            if name in self._values:
                return _header_fault(name, value, "at most one such header")
            self._values[name] = value
        return None

    def get(self, name: bytes) -> bytes | None:
        """Return the value of a header, or None."""
        return self._values.get(name)


def parse_request(
    request: Request, default_timeout_s: float, max_timeout_s: float
) -> Result[CallerRequest, Fault]:
    """Return a caller's request, or the fault of its first bad header."""
    control_headers = tuple(
        [pair for pair in request.headers if pair[0] in CONTROL_HEADERS]
    )
    parsed = _parse_headers(
        control_headers, request.method, default_timeout_s, max_timeout_s
    )
    if isinstance(parsed, Fault):
        return Failure(parsed)
    return Success(
        CallerRequest(
            request,
            parsed.pool,
            parsed.tenant,
            parsed.request_class,
            parsed.timeout_s,
            parsed.repeatable,
            parsed.key,
        )
    )


@lru_cache(maxsize=MAX_CACHED_HEADER_SETS)
def _parse_headers(
    headers: tuple[tuple[bytes, bytes], ...],
    method: bytes,
    default_timeout_s: float,
    max_timeout_s: float,
) -> _ParsedHeaders | Fault:
    """Return the parsed headers, or the first fault.

    Cached, because a caller usually sends the same headers again.
    """
    values = _HeaderValues()
    fault = values.add_all(headers)
    if fault is not None:
        return fault
    pool = _parse_name(values, POOL_HEADER, "")
    if isinstance(pool, Fault):
        return pool
    tenant = _parse_name(values, TENANT_HEADER, DEFAULT_TENANT)
    if isinstance(tenant, Fault):
        return tenant
    request_class = _parse_class(values)
    if isinstance(request_class, Fault):
        return request_class
    timeout_s = _parse_timeout_s(values, default_timeout_s, max_timeout_s)
    if isinstance(timeout_s, Fault):
        return timeout_s
    repeatable = _parse_repeatable(values, method)
    if isinstance(repeatable, Fault):
        return repeatable
    key = _parse_key(values)
    if isinstance(key, Fault):
        return key
    return _ParsedHeaders(
        pool, tenant, request_class, timeout_s, repeatable, key
    )


def _header_fault(name: bytes, value: bytes, allowed: str) -> Fault:
    """Return the fault for a header's value."""
    shown = value.decode("latin-1")[:80]
    detail = f"{name.decode()}: found {shown!r}; allowed: {allowed}"
    return Fault(BAD_HEADER, Step.PARSE, Peer.CALLER, detail)


def _parse_name(
    headers: _HeaderValues, header: bytes, default: str
) -> str | Fault:
    """Return the name in a header, its default, or a fault."""
    value = headers.get(header)
    if value is None and default:
        return default
    if value is None:
        return _header_fault(header, b"", "a name; this header is required")
    if not NAME_PATTERN.fullmatch(value):
        return _header_fault(header, value, "letters, digits, '.', '_', '-'")
    return value.decode()


def _parse_class(headers: _HeaderValues) -> RequestClass | Fault:
    """Return the request class; short if no header states it."""
    value = headers.get(CLASS_HEADER)
    if value is None:
        return RequestClass.SHORT
    found = CLASSES.get(value.lower())
    if found is None:
        return _header_fault(CLASS_HEADER, value, "urgent, short or long")
    return found


def _parse_timeout_s(
    headers: _HeaderValues, default_s: float, max_s: float
) -> float | Fault:
    """Return the seconds until the deadline."""
    value = headers.get(DEADLINE_HEADER)
    if value is None:
        return default_s
    allowed = f"seconds from now, over 0 and at most {max_s:g}"
    try:
        seconds = float(value)
    except ValueError:
        return _header_fault(DEADLINE_HEADER, value, allowed)
    if not math.isfinite(seconds) or not 0 < seconds <= max_s:
        return _header_fault(DEADLINE_HEADER, value, allowed)
    return seconds


def _parse_repeatable(headers: _HeaderValues, method: bytes) -> bool | Fault:
    """Return whether the request may be run more than once."""
    value = headers.get(REPEATABLE_HEADER)
    if value is None:
        return method in IDEMPOTENT_METHODS
    found = YES_NO.get(value.lower())
    if found is None:
        return _header_fault(REPEATABLE_HEADER, value, "yes or no")
    return found


def _parse_key(headers: _HeaderValues) -> str | Fault:
    """Return the idempotency key without quotes, "" if none, or a fault."""
    value = headers.get(KEY_HEADER)
    if value is None:
        return ""
    if len(value) > 1 and value[:1] == value[-1:] == b'"':
        value = value[1:-1]
    if not KEY_PATTERN.fullmatch(value):
        allowed = "1 to 255 visible ASCII characters"
        return _header_fault(KEY_HEADER, value, allowed)
    return value.decode()
