"""Idempotency keys that one run of a daemon issues and keeps in memory.

While a zone is cut off from the platform, its daemons can't claim new keys in
the platform's table.  A key that a daemon issued itself is valid only in the
current run of that daemon, so that a claim in memory suffices.  A key that is
no longer known, because the run ended or because of the limits below, is
never run again: the caller gets the outcome unknown.

Limits: the newest `keys_max` unused and used keys each, and `bytes_max` bytes
of answers are kept.  With `random.SystemRandom` as `rng`, other callers can't
guess a key.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Final

from returns.result import Failure, Result, Success

from lycheelug.claim_records import AnswerHeaders, Replay
from lycheelug.errors import (
    KEY_CLAIMED,
    KEY_FORGOTTEN,
    KEY_REUSED,
    KEY_RUN_ENDED,
    Fault,
    Peer,
    Step,
)

if TYPE_CHECKING:
    import random

    from lycheelug.errors import ErrorCode

__all__ = ["IssuedClaim", "IssuedKeys"]

ISSUED_PREFIX: Final = "lk1."
RANDOM_BITS: Final = 128
KEYS_MAX: Final = 4_096
BYTES_MAX: Final = 1024 * 1024
KEY_TTL_S: Final = 900.0


class IssuedClaim:
    """A claim of an issued key, which permits one dispatch."""

    __slots__ = ("key",)

    def __init__(self, key: str) -> None:
        self.key = key


class _KeyUse:
    """The request of a used key; `replay` is its outcome once known."""

    __slots__ = ("digest", "replay")

    def __init__(self, digest: str) -> None:
        self.digest = digest
        self.replay: Replay | None = None


class IssuedKeys:
    """The keys that this run of a daemon issued.

    >>> import random
    >>> keys = IssuedKeys("arima-1", "r7", random.Random(1))
    >>> key = keys.issue(0.0)
    >>> keys.claim(key, "digest", 1.0).unwrap().key == key
    True
    >>> keys.claim(key, "digest", 2.0).failure().code.name
    'key-claimed'
    """

    __slots__ = (
        "_bytes",
        "_bytes_max",
        "_issued",
        "_keys_max",
        "_prefix",
        "_rng",
        "_ttl_s",
        "_used",
    )

    def __init__(
        self,
        daemon: str,
        run: str,
        rng: random.Random,
        keys_max: int = KEYS_MAX,
        bytes_max: int = BYTES_MAX,
        ttl_s: float = KEY_TTL_S,
    ) -> None:
        self._prefix = f"{ISSUED_PREFIX}{daemon}.{run}."
        self._rng = rng
        self._keys_max = keys_max
        self._bytes_max = bytes_max
        self._ttl_s = ttl_s
        # Time of issue of each unused key, oldest first.
        self._issued: OrderedDict[str, float] = OrderedDict()
        self._used: OrderedDict[str, _KeyUse] = OrderedDict()
        self._bytes = 0

    @property
    def unused(self) -> int:
        """The number of issued keys that were not claimed yet."""
        return len(self._issued)

    @staticmethod
    def is_issued(key: str) -> bool:
        """Whether a key has the form of keys that daemons issue."""
        return key.startswith(ISSUED_PREFIX)

    def issue(self, now: float) -> str:
        """Return a new key, valid for `ttl_s` until it is claimed."""
        key = f"{self._prefix}{self._rng.getrandbits(RANDOM_BITS):032x}"
        self._issued[key] = now
        if len(self._issued) > self._keys_max:
            self._issued.popitem(last=False)
        return key

    def claim(
        self, key: str, digest: str, now: float
    ) -> Result[IssuedClaim | Replay, Fault]:
        """Claim an issued key for one dispatch of the request.

        After a failure, the outcome of an earlier use of the key is unknown.
        """
        if not key.startswith(self._prefix):
            return Failure(_fault(KEY_RUN_ENDED))
        use = self._used.get(key)
        if use is not None:
            return self._answer_repeated(use, digest)
        issued_at = self._issued.pop(key, None)
        if issued_at is None or now - issued_at > self._ttl_s:
            return Failure(_fault(KEY_FORGOTTEN))
        self._used[key] = _KeyUse(digest)
        if len(self._used) > self._keys_max:
            _, oldest = self._used.popitem(last=False)
            self._evict_answer(oldest)
        return Success(IssuedClaim(key))

    def release(self, claim: IssuedClaim, now: float) -> None:
        """Release a key whose request was certainly not dispatched."""
        use = self._used.get(claim.key)
        if use is None or use.replay is not None:
            return
        del self._used[claim.key]
        self._issued[claim.key] = now

    def record(
        self,
        claim: IssuedClaim,
        status: int,
        headers: AnswerHeaders,
        body: bytes,
    ) -> None:
        """Store the outcome of a claimed key; evict old answers if needed."""
        use = self._used.get(claim.key)
        if use is None or use.replay is not None:
            return
        use.replay = Replay(status, headers, body)
        self._bytes += _size(use.replay)
        for older in self._used.values():
            if self._bytes <= self._bytes_max:
                return
            self._evict_answer(older)

    def _answer_repeated(
        self, use: _KeyUse, digest: str
    ) -> Result[IssuedClaim | Replay, Fault]:
        if use.digest != digest:
            return Failure(_fault(KEY_REUSED))
        if use.replay is None:
            return Failure(_fault(KEY_CLAIMED))
        return Success(use.replay)

    def _evict_answer(self, use: _KeyUse) -> None:
        """Free the memory of an answer, but not the record of its use."""
        replay = use.replay
        if replay is None or not replay.body_kept:
            return
        self._bytes -= _size(replay)
        use.replay = Replay(replay.status, [], b"", body_kept=False)


def _size(replay: Replay) -> int:
    size = len(replay.body)
    for name, value in replay.headers:
        size += len(name) + len(value)
    return size


def _fault(code: ErrorCode) -> Fault:
    return Fault(code, Step.CLAIM, Peer.SELF)
