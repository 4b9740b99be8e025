"""Limits how often the platform's whole list of hosts is read.

The list has one entry a host and no way to read only changes, so the
interval between two reads grows with its length.  On a host with a larger
link it grows later.
"""

from __future__ import annotations

from typing import Final

__all__ = ["HOST_ENTRY_BYTES", "read_interval_s"]

# The size of a host's entry in the list.
HOST_ENTRY_BYTES: Final = 250


def read_interval_s(
    hosts: int, shortest_s: float, bytes_per_s: float, weight: float = 1.0
) -> float:
    """Return the interval at which reads take at most `bytes_per_s`.

    That is the limit of a small host, of weight 1 or less.

    >>> read_interval_s(hosts=60, shortest_s=0.4, bytes_per_s=50_000)
    0.4
    >>> read_interval_s(hosts=400, shortest_s=0.4, bytes_per_s=50_000)
    2.0
    >>> read_interval_s(400, 0.4, 50_000, weight=4.0)
    0.5
    """
    limit = bytes_per_s * max(1.0, weight)
    return max(shortest_s, hosts * HOST_ENTRY_BYTES / limit)
