"""The stored reservations of one tenant's cap; no I/O.

A record lists what each pool has reserved.  The fields are the stored
format: they may only be added, each with a default.
"""

from __future__ import annotations

import msgspec

from lycheelug.decoding import Amount, Integer, decode_json
from lycheelug.resources import Resources, add_resources
from lycheelug.tenants.amounts import NOTHING, is_at_most

__all__ = [
    "PoolEntry",
    "ShareRecord",
    "decode_share",
    "describe_lack",
    "make_entry",
]


class PoolEntry(msgspec.Struct, array_like=True, frozen=True):
    """What one pool has reserved of a tenant's cap."""

    # The term of the pool's owner that wrote the entry.
    term: Integer = 0
    cpu_millis: Amount = 0
    memory_mb: Amount = 0
    gpus: Amount = 0
    # What the pool wants in all, if it lacks something; otherwise 0.
    wanted_cpu: Amount = 0
    wanted_memory: Amount = 0
    wanted_gpus: Amount = 0

    @property
    def reserved(self) -> Resources:
        """The reserved amount."""
        return Resources(self.cpu_millis, self.memory_mb, self.gpus)

    @property
    def wanted(self) -> Resources:
        """What the pool wants in all; 0 if it lacks nothing."""
        return Resources(self.wanted_cpu, self.wanted_memory, self.wanted_gpus)

    @property
    def is_lacking(self) -> bool:
        """Whether the pool wants more than it has reserved."""
        return not is_at_most(self.wanted, self.reserved)


class ShareRecord(msgspec.Struct, omit_defaults=True, frozen=True):
    """The reservations of one tenant, by pool."""

    # The newest version of the configuration that a writer knew, and the
    # tenant's cap in it.
    version: Integer = 0
    cap_cpu: Amount = 0
    cap_memory: Amount = 0
    cap_gpus: Amount = 0
    pools: dict[str, PoolEntry] = {}

    @property
    def cap(self) -> Resources:
        """The cap in that version."""
        return Resources(self.cap_cpu, self.cap_memory, self.cap_gpus)

    def reserved_elsewhere(self, pool: str) -> Resources:
        """Return what all other pools have reserved."""
        total = NOTHING
        for name, entry in self.pools.items():
            if name != pool:
                total = add_resources(total, entry.reserved)
        return total

    def is_lacking_elsewhere(self, pool: str) -> bool:
        """Return whether another pool wants more than it has reserved."""
        for name, entry in self.pools.items():
            if name != pool and entry.is_lacking:
                return True
        return False


def make_entry(term: int, reserved: Resources, wanted: Resources) -> PoolEntry:
    """Return a pool's entry."""
    return PoolEntry(term, *reserved, *wanted)


def decode_share(value: bytes) -> ShareRecord | None:
    """Decode a record; return None for invalid bytes.

    >>> record = ShareRecord(3, 8000, pools={"quotes": PoolEntry(2, 500)})
    >>> decode_share(msgspec.json.encode(record)) == record
    True
    """
    return decode_json(value, ShareRecord).value_or(None)


def describe_lack(record: ShareRecord, pool: str) -> str:
    """Return what a pool lacks of the tenant's cap; empty for nothing.

    >>> pools = {"quotes": PoolEntry(2, 500, wanted_cpu=900)}
    >>> describe_lack(ShareRecord(3, 600, pools=pools), "quotes")
    "its tenant's cap: CPU 500 reserved of 900 wanted, cap 600"
    """
    entry = record.pools.get(pool)
    if entry is None or not entry.is_lacking:
        return ""
    parts: list[str] = []
    names = ("CPU", "memory", "GPUs")
    for name, reserved, wanted, cap in zip(
        names, entry.reserved, entry.wanted, record.cap, strict=True
    ):
        if wanted > reserved:
            parts.append(
                f"{name} {reserved} reserved of {wanted} wanted, cap {cap}"
            )
    return "its tenant's cap: " + "; ".join(parts)
