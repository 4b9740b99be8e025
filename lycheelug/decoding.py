"""Decodes messages and rows that other programs have written.

This is the only place that knows which exceptions malformed data may raise.
Besides its own errors, msgspec raises `RecursionError` for data that is
nested too deeply.  It decodes integers of any size but encodes only those of
64 bits, so the fields of messages use the bounded types below.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Annotated, Final, TypeVar

import msgspec
from msgspec import Meta
from returns.result import Failure, Result, Success

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "DEPTH_MAX",
    "MALFORMED",
    "Amount",
    "DurationFigure",
    "DurationMs",
    "Figure",
    "Integer",
    "UnixMs",
    "decode_json",
    "decode_msgpack",
    "decode_with",
    "deepest_field",
    "is_address",
    "parse_number",
]

T = TypeVar("T")

# The largest magnitude of an integer that can be encoded again.
INTEGER_MAX: Final = 2**63 - 1
# The largest amount of a resource.  Sums over any number of executors are
# still integers as above.
AMOUNT_MAX: Final = 2**31
# The largest duration in milliseconds: about a year.
DURATION_MAX_MS: Final = 2**35
# The largest Unix time in milliseconds, which is exact as a float too.
UNIX_MAX_MS: Final = 2**53
# The largest magnitude of an approximate figure.
FIGURE_MAX: Final = 1e12

Integer = Annotated[int, Meta(ge=-INTEGER_MAX, le=INTEGER_MAX)]
Amount = Annotated[int, Meta(ge=0, le=AMOUNT_MAX)]
DurationMs = Annotated[int, Meta(ge=-DURATION_MAX_MS, le=DURATION_MAX_MS)]
UnixMs = Annotated[int, Meta(ge=0, le=UNIX_MAX_MS)]
Figure = Annotated[float, Meta(ge=-FIGURE_MAX, le=FIGURE_MAX)]
# A duration in milliseconds that may be a fraction.
DurationFigure = Annotated[float, Meta(ge=0, le=DURATION_MAX_MS)]

# The exceptions that malformed data raises.
MALFORMED: Final = (
    msgspec.MsgspecError,
    ValueError,
    OverflowError,
    RecursionError,
)

_NUMBER: Final = re.compile(r"[0-9]{1,18}")
PORT_MAX: Final = 65_535
_ADDRESS: Final = re.compile(
    r"(?:[0-9A-Za-z._-]+|\[[0-9A-Fa-f:.]+\]):([0-9]{1,5})"
)

# No message is nested more deeply than this.
DEPTH_MAX: Final = 32
_JSON_TOKEN: Final = re.compile(rb'"((?:[^"\\]|\\.)*)"|[\[\]{}]', re.DOTALL)


def decode_json(data: bytes | str, kind: type[T]) -> Result[T, str]:
    """Return the decoded JSON, or the reason why it is malformed.

    >>> decode_json(b"[1]", list[int]).unwrap()
    [1]
    >>> decode_json(b"[" * 5000, list).failure()
    'nested too deeply'
    """
    try:
        return Success(msgspec.json.decode(data, type=kind))
    except MALFORMED as error:
        return Failure(_describe(error))


def decode_msgpack(data: bytes, kind: type[T]) -> Result[T, str]:
    """Return the decoded MessagePack, or the reason why it is malformed."""
    try:
        return Success(msgspec.msgpack.decode(data, type=kind))
    except MALFORMED as error:
        return Failure(_describe(error))


def decode_with(decode: Callable[[bytes], T], data: bytes) -> Result[T, str]:
    """Return what a decoder's method returns, or why data is malformed."""
    try:
        return Success(decode(data))
    except MALFORMED as error:
        return Failure(_describe(error))


def is_address(text: str) -> bool:
    r"""Return whether a text is a host, a colon and a port.

    The host may be a name, an IPv4 address or an IPv6 address in brackets.

    >>> is_address("10.0.0.1:80"), is_address("[::1]:80")
    (True, True)
    >>> is_address("10.0.0.1:0"), is_address("a\r\n:80")
    (False, False)
    """
    found = _ADDRESS.fullmatch(text)
    return found is not None and 1 <= int(found[1]) <= PORT_MAX


def parse_number(text: str) -> int | None:
    """Return a number of up to 18 ASCII digits; None for any other text.

    >>> parse_number("1500"), parse_number("-1"), parse_number("9" * 5000)
    (1500, None, None)
    """
    return int(text) if _NUMBER.fullmatch(text) else None


def deepest_field(data: bytes) -> str:
    """Return the field of a JSON object that is nested too deeply, or "".

    >>> deepest_field(b'{"spec": "[[", "steps": ' + b"[" * 99)
    'steps'
    >>> deepest_field(b'{"spec": "", "steps": [[]]}')
    ''
    """
    depth = 0
    field = b""
    for token in _JSON_TOKEN.finditer(data):
        kind = token[0][:1]
        if kind == b'"':
            field = token[1] if depth == 1 else field
            continue
        depth += 1 if kind in b"[{" else -1
        if depth > DEPTH_MAX:
            return field.decode("utf-8", "replace")
    return ""


def _describe(error: Exception) -> str:
    """Return the reason why data is malformed."""
    if isinstance(error, RecursionError):
        return "nested too deeply"
    return str(error) or type(error).__name__
