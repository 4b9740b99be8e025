"""Reads what a caller asks for from its request's headers.

docs/INTERFACES.md defines each header.  Repeatability follows the method's
semantics (RFC 9110, section 9.2.2) unless the caller says otherwise.
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
READ_HEADERS: Final = frozenset(
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
# Different sets of headers whose meaning is remembered; each is bounded by
# the size of a request's head.
MAX_REMEMBERED: Final = 128
NAME_PATTERN: Final = re.compile(rb"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
KEY_PATTERN: Final = re.compile(rb"[\x21-\x7e]{1,255}")
CLASSES: Final = {item.value.encode(): item for item in RequestClass}
YES_NO: Final = {b"yes": True, b"no": False}


class _Asked:
    """What a set of headers asks for.

    `timeout_s` is the time until the deadline, as asked on arrival.  `key`
    is the idempotency key, or "" where there is none.
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


class CallerRequest(_Asked):
    """A caller's request and what it asks of the daemon."""

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


class _Given:
    """The header values given, each at most once."""

    __slots__ = ("_values",)

    def __init__(self) -> None:
        self._values: dict[bytes, bytes] = {}

    def fill(self, headers: Sequence[tuple[bytes, bytes]]) -> Fault | None:
        """Take the headers that are read here; refuse one given twice."""
        for name, value in headers:
            if name in self._values:
                return _bad(name, value, "given once")
            self._values[name] = value
        return None

    def get(self, name: bytes) -> bytes | None:
        """Return a value, or None."""
        return self._values.get(name)


def parse_request(
    request: Request, default_timeout_s: float, max_timeout_s: float
) -> Result[CallerRequest, Fault]:
    """Return what a caller asks for, or the first bad header."""
    read = tuple([pair for pair in request.headers if pair[0] in READ_HEADERS])
    asked = _parse_headers(
        read, request.method, default_timeout_s, max_timeout_s
    )
    if isinstance(asked, Fault):
        return Failure(asked)
    return Success(
        CallerRequest(
            request,
            asked.pool,
            asked.tenant,
            asked.request_class,
            asked.timeout_s,
            asked.repeatable,
            asked.key,
        )
    )


@lru_cache(maxsize=MAX_REMEMBERED)
def _parse_headers(
    headers: tuple[tuple[bytes, bytes], ...],
    method: bytes,
    default_timeout_s: float,
    max_timeout_s: float,
) -> _Asked | Fault:
    """Return what headers ask for; callers repeat theirs, so remember."""
    given = _Given()
    fault = given.fill(headers)
    if fault is not None:
        return fault
    pool = _name(given, POOL_HEADER, "")
    if isinstance(pool, Fault):
        return pool
    tenant = _name(given, TENANT_HEADER, DEFAULT_TENANT)
    if isinstance(tenant, Fault):
        return tenant
    request_class = _request_class(given)
    if isinstance(request_class, Fault):
        return request_class
    timeout_s = _timeout_s(given, default_timeout_s, max_timeout_s)
    if isinstance(timeout_s, Fault):
        return timeout_s
    repeatable = _repeatable(given, method)
    if isinstance(repeatable, Fault):
        return repeatable
    key = _key(given)
    if isinstance(key, Fault):
        return key
    return _Asked(pool, tenant, request_class, timeout_s, repeatable, key)


def _bad(name: bytes, value: bytes, allowed: str) -> Fault:
    """Return the fault of a header's value."""
    shown = value.decode("latin-1")[:80]
    detail = f"{name.decode()}: found {shown!r}; allowed: {allowed}"
    return Fault(BAD_HEADER, Step.PARSE, Peer.CALLER, detail)


def _name(given: _Given, header: bytes, default: str) -> str | Fault:
    """Return a name, the default, or a fault."""
    value = given.get(header)
    if value is None and default:
        return default
    if value is None:
        return _bad(header, b"", "a name; this header is required")
    if not NAME_PATTERN.fullmatch(value):
        return _bad(header, value, "letters, digits, '.', '_', '-'")
    return value.decode()


def _request_class(given: _Given) -> RequestClass | Fault:
    """Return the class; short where none is given."""
    value = given.get(CLASS_HEADER)
    if value is None:
        return RequestClass.SHORT
    found = CLASSES.get(value.lower())
    if found is None:
        return _bad(CLASS_HEADER, value, "urgent, short or long")
    return found


def _timeout_s(given: _Given, default_s: float, max_s: float) -> float | Fault:
    """Return the seconds until the deadline."""
    value = given.get(DEADLINE_HEADER)
    if value is None:
        return default_s
    allowed = f"seconds from now, over 0 and at most {max_s:g}"
    try:
        seconds = float(value)
    except ValueError:
        return _bad(DEADLINE_HEADER, value, allowed)
    if not math.isfinite(seconds) or not 0 < seconds <= max_s:
        return _bad(DEADLINE_HEADER, value, allowed)
    return seconds


def _repeatable(given: _Given, method: bytes) -> bool | Fault:
    """Return whether the request may be run more than once."""
    value = given.get(REPEATABLE_HEADER)
    if value is None:
        return method in IDEMPOTENT_METHODS
    found = YES_NO.get(value.lower())
    if found is None:
        return _bad(REPEATABLE_HEADER, value, "yes or no")
    return found


def _key(given: _Given) -> str | Fault:
    """Return the idempotency key without its quotes, or ""."""
    value = given.get(KEY_HEADER)
    if value is None:
        return ""
    if len(value) > 1 and value[:1] == value[-1:] == b'"':
        value = value[1:-1]
    if not KEY_PATTERN.fullmatch(value):
        allowed = "1 to 255 visible ASCII characters"
        return _bad(KEY_HEADER, value, allowed)
    return value.decode()
