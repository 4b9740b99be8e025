"""The settings that can be changed at run time, and their application.

The body of a configuration is a JSON object. A field that is left out keeps
the value of the daemon's settings file.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, TypeVar

import msgspec
from msgspec import Meta
from returns.result import Failure

from lycheelug.decoding import decode_json

if TYPE_CHECKING:
    from lycheelug.settings import Settings

__all__ = ["RuntimeConfig", "RuntimeSettings", "validate_body"]

Seconds = Annotated[float, Meta(gt=0, le=86_400)]
Count = Annotated[int, Meta(ge=1, le=100_000)]
Share = Annotated[float, Meta(gt=0, le=1)]
Tries = Annotated[int, Meta(ge=1, le=10)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]


class RuntimeConfig(msgspec.Struct, forbid_unknown_fields=True):
    """The body of a configuration."""

    # The share of a pool's slots for each tenant; replaces the tenants of
    # the settings file.
    tenants: dict[Name, Share] | None = None
    max_queued: Count | None = None
    default_deadline_s: Seconds | None = None
    max_deadline_s: Seconds | None = None
    max_tries: Tries | None = None


def validate_body(body: bytes) -> str:
    """Return the reason why a body is invalid, or "" if it is valid.

    >>> validate_body(b'{"max_tries": 2}')
    ''
    >>> validate_body(b'{"max_tries": 0}')
    'Expected `int` >= 1 - at `$.max_tries`'
    """
    decoded = decode_json(body, RuntimeConfig)
    if isinstance(decoded, Failure):
        return str(decoded.failure())
    config = decoded.unwrap()
    default_s = config.default_deadline_s
    max_s = config.max_deadline_s
    if default_s is None or max_s is None or default_s <= max_s:
        return ""
    return "default_deadline_s is over max_deadline_s"


class RuntimeSettings:
    """Applies configurations to a daemon's settings."""

    __slots__ = ("_base", "_settings", "_tenants")

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        # The values of the settings file, for fields that are left out.
        self._base = RuntimeConfig(
            None,
            settings.limits.max_queued,
            settings.limits.default_deadline_s,
            settings.limits.max_deadline_s,
            settings.upstreams.max_tries,
        )
        self._tenants = {
            tenant.name: tenant.share for tenant in settings.tenants
        }

    def apply(self, body: bytes) -> None:
        """Apply a validated body to the settings."""
        config = self._base
        if body:
            config = decode_json(body, RuntimeConfig).unwrap()
        limits = self._settings.limits
        limits.max_queued = _value_or(config.max_queued, self._base.max_queued)
        limits.default_deadline_s = _value_or(
            config.default_deadline_s, self._base.default_deadline_s
        )
        limits.max_deadline_s = _value_or(
            config.max_deadline_s, self._base.max_deadline_s
        )
        self._settings.upstreams.max_tries = _value_or(
            config.max_tries, self._base.max_tries
        )
        shares = self._tenants if config.tenants is None else config.tenants
        self._settings.set_tenants(shares)


N = TypeVar("N", int, float)


def _value_or(value: N | None, base: N | None) -> N:
    """Return a value, or the base value if it was left out."""
    if value is not None:
        return value
    assert base is not None
    return base
