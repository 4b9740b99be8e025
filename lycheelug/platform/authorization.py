"""Reads a call's key from its `Authorization` header."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Final

from returns.result import Failure, Success

if TYPE_CHECKING:
    from returns.result import Result

    from lycheelug.http import RawHeaders

__all__ = ["SCHEME", "read_key"]

HEADER: Final = b"authorization"
SCHEME: Final = b"Token"
KEY_LENGTH_MAX: Final = 1_000

# Visible ASCII characters.
_KEY: Final = re.compile(rb"[!-~]+")


def read_key(headers: RawHeaders) -> Result[str, str]:
    """Return the key, or an error that names the field and the remedy.

    >>> read_key([(b"authorization", b"Token k1")]).unwrap()
    'k1'
    >>> read_key([]).failure()
    'authorization: missing; send one "Token KEY"'
    """
    values = [value for name, value in headers if name == HEADER]
    if not values:
        return _fault("missing")
    if len(values) > 1:
        return _fault(f"sent {len(values)} times")
    scheme, _, rest = values[0].strip().partition(b" ")
    key = rest.strip()
    if scheme.lower() != SCHEME.lower():
        return _fault("not of the scheme Token")
    if not key:
        return _fault("without a key")
    if len(key) > KEY_LENGTH_MAX:
        return _fault(f"a key of over {KEY_LENGTH_MAX} characters")
    if _KEY.fullmatch(key) is None:
        return _fault("a key that isn't one word of visible ASCII")
    return Success(key.decode("ascii"))


def _fault(found: str) -> Result[str, str]:
    """Return the error for a header."""
    return Failure(f'authorization: {found}; send one "Token KEY"')
