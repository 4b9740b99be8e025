"""Counts the calls to the platform and their bytes, by what they are about.

The counts show which table or interface fills a host's link.  Only message
bodies are counted, not headers and not the framing of the connection.
"""

from __future__ import annotations

__all__ = ["StoreTraffic", "TrafficCount"]


class TrafficCount:
    """Calls about one subject, and the bytes of their bodies."""

    __slots__ = ("bytes_in", "bytes_out", "calls", "failures")

    def __init__(self) -> None:
        self.calls = 0
        self.failures = 0
        self.bytes_in = 0
        self.bytes_out = 0


class StoreTraffic:
    """Counts since the start of the process, by table or interface.

    >>> traffic = StoreTraffic()
    >>> traffic.record("progress", sent=100, received=20)
    >>> traffic.record("progress", sent=50, received=None)
    >>> count = traffic.by_subject["progress"]
    >>> count.calls, count.failures, count.bytes_out, count.bytes_in
    (2, 1, 150, 20)
    """

    __slots__ = ("by_subject",)

    def __init__(self) -> None:
        self.by_subject: dict[str, TrafficCount] = {}

    def record(self, subject: str, sent: int, received: int | None) -> None:
        """Record one call; `received` is None if it was not answered."""
        count = self.by_subject.get(subject)
        if count is None:
            count = self.by_subject[subject] = TrafficCount()
        count.calls += 1
        count.bytes_out += sent
        if received is None:
            count.failures += 1
        else:
            count.bytes_in += received
