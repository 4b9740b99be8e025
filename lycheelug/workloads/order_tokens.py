"""Fencing tokens of one owner's calls to one executor.

An executor rejects calls with a lower token than the highest that it has
seen.  An incarnation that has just started has seen none, and its id doesn't
tell it from the one before, so the term alone would let it carry out calls
that its owner sent to the former incarnation.  Therefore an owner raises the
token during its term:

* A *barrier* is a poll with a higher token than all calls before it, which
  acknowledges nothing.  The incarnation that answers it lists all that it
  has carried out of them, and rejects the rest.
* A start that is sent after an acknowledgement has a higher token than that.
  An incarnation that has carried out the start rejects the acknowledgement,
  which would let it forget the end of that run.

What can't be prevented is that a call reaches a new incarnation before the
first barrier does.
"""

from __future__ import annotations

from typing import Final

__all__ = ["OrderTokens", "TokenSource", "term_of"]

# Size of a term's range of tokens.  Ranges of later terms are higher.
TOKENS_PER_TERM: Final = 2**36


class TokenSource:
    """Issues the tokens of one owner, each higher than all before.

    All executors share it, so that one which is removed and comes back never
    gets a token that it has seen before.
    """

    __slots__ = ("_last",)

    def __init__(self, term: int) -> None:
        self._last = term * TOKENS_PER_TERM

    def issue(self) -> int:
        """Return the next token."""
        self._last += 1
        return self._last


class OrderTokens:
    """The tokens of one owner's calls to one executor."""

    __slots__ = ("_source", "current")

    def __init__(self, source: TokenSource) -> None:
        self._source = source
        # The token of the calls that are sent now.
        self.current = source.issue()

    def advance(self) -> None:
        """Let all later calls have a higher token."""
        self.current = self._source.issue()

    def is_past(self, token: int) -> bool:
        """Return whether later calls have had a higher token than one."""
        return token < self.current


def term_of(token: int) -> int:
    """Return the term in which a call with this token was sent."""
    return token // TOKENS_PER_TERM
