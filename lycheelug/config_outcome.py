"""The possible outcomes of a submitted configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lycheelug.errors import CONFIG_UNKNOWN

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lycheelug.errors import ErrorCode

__all__ = [
    "Accepted",
    "Outcome",
    "PendingChange",
    "Refused",
    "Undecided",
]


class Accepted:
    """The change was accepted; `unconfirmed` daemons may not have it."""

    __slots__ = ("revision", "unconfirmed")

    def __init__(self, revision: int, unconfirmed: Iterable[str] = ()) -> None:
        self.revision = revision
        self.unconfirmed = sorted(unconfirmed)

    def __repr__(self) -> str:
        return f"Accepted({self.revision}, {self.unconfirmed})"


class Refused:
    """The change was not accepted and never will be under its nonce.

    `names` are the daemons that were unreachable or refused the change.
    """

    __slots__ = ("code", "names", "reason")

    def __init__(
        self, code: ErrorCode, reason: str, names: Iterable[str] = ()
    ) -> None:
        self.code = code
        self.reason = reason
        self.names = sorted(names)

    def __repr__(self) -> str:
        return f"Refused({self.code.name}, {self.reason!r}, {self.names})"


class Undecided:
    """The outcome is not known; it can be queried by the nonce."""

    __slots__ = ("code", "nonce", "reason")

    def __init__(self, nonce: str, reason: str) -> None:
        self.code = CONFIG_UNKNOWN
        self.nonce = nonce
        self.reason = reason

    def __repr__(self) -> str:
        return f"Undecided({self.nonce!r}, {self.reason!r})"


Outcome = Accepted | Refused | Undecided


class PendingChange:
    """A submission in progress, as shown to operators."""

    __slots__ = ("missing", "nonce", "revision")

    def __init__(self, nonce: str) -> None:
        self.nonce = nonce
        self.revision = 0
        self.missing: list[str] = []
