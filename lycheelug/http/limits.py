"""Time limits of an exchange that goes on while its answer arrives.

A limit on a whole exchange discards a large answer that arrives steadily but
takes long on a slow link, and the same answer is then too large for every
repetition.  These limits instead fail an exchange whose peer stops sending.
"""

from __future__ import annotations

__all__ = ["ProgressLimits"]


class ProgressLimits:
    """Limits of an exchange after the first byte of its answer."""

    __slots__ = ("answer_s", "idle_s")

    def __init__(self, idle_s: float, answer_s: float) -> None:
        # Maximum time without a new byte of the answer.
        self.idle_s = idle_s
        # Maximum time from the first byte of the answer to its end, so that
        # a peer that sends very slowly doesn't hold the call forever.
        self.answer_s = answer_s
