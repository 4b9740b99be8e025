"""The configuration in force on one daemon, and its rows in the table.

There is one configuration with a monotonic revision. A daemon applies a
configuration only if its revision is higher than that in force, whatever
the source. The body is opaque to this module: a validator decides whether
it can be applied.

A change is first prepared on the daemons, which then hold its body, and is
accepted by a transaction on the row `config/current`. The same transaction
records the nonce of the change in a log row, so each nonce is decided
exactly once, as accepted or refused, and the decision can be queried later.
Log rows are buckets by the hash of the nonce; the oldest entries of a
bucket are dropped.

Pure: no I/O and no clock.
"""

from __future__ import annotations

import hashlib
import zlib
from typing import TYPE_CHECKING, Final

import msgspec

from lycheelug.records import decode, encode

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

__all__ = [
    "LOG_PREFIX",
    "MAX_BODY_BYTES",
    "REFUSED",
    "ConfigLogRow",
    "ConfigRow",
    "ConfigState",
    "Configuration",
    "LogEntry",
    "config_value",
    "log_key",
    "new_nonce",
    "read_config_row",
    "read_log_row",
]

LOG_PREFIX: Final = "config-log/"
MAX_BODY_BYTES: Final = 256 * 1024
# The revision that the log holds for a change that was finally refused.
REFUSED: Final = 0

_LOG_ROWS: Final = 1024
_ENTRIES_PER_ROW: Final = 16
_MAX_PREPARED: Final = 8


class Configuration(msgspec.Struct, frozen=True):
    """One configuration; revision 0 means that there is none."""

    revision: int = 0
    nonce: str = ""
    submitter: str = ""
    body: bytes = b""

    def checksum(self) -> str:
        """Return a checksum that identifies the body.

        >>> Configuration(body=b"{}").checksum()
        '44136fa355b3678a'
        """
        return hashlib.sha256(self.body).hexdigest()[:16]


class ConfigRow(msgspec.Struct):
    """The accepted configuration, as the table's row `config/current`."""

    revision: int
    nonce: str
    submitter: str
    body: str

    @classmethod
    def of(cls, configuration: Configuration) -> ConfigRow:
        """Return the row that stores a configuration."""
        return cls(
            configuration.revision,
            configuration.nonce,
            configuration.submitter,
            configuration.body.decode(),
        )

    def configuration(self) -> Configuration:
        """Return the configuration that this row stores."""
        return Configuration(
            self.revision, self.nonce, self.submitter, self.body.encode()
        )


class LogEntry(msgspec.Struct, frozen=True):
    """The decision on a nonce: revision and checksum, or REFUSED."""

    nonce: str
    revision: int
    checksum: str = ""


class ConfigLogRow(msgspec.Struct):
    """One bucket of decided nonces, oldest first.

    `dropped` is the highest nonce that was dropped from the bucket.
    """

    entries: list[LogEntry] = []
    dropped: str = ""

    def find(self, nonce: str) -> LogEntry | None:
        """Return the decision on a nonce, or None if the row has none."""
        for entry in self.entries:
            if entry.nonce == nonce:
                return entry
        return None

    def with_entry(self, entry: LogEntry) -> ConfigLogRow:
        """Return the bucket with one decision added."""
        entries = [*self.entries, entry]
        dropped = self.dropped
        while len(entries) > _ENTRIES_PER_ROW:
            dropped = max(dropped, entries.pop(0).nonce)
        return ConfigLogRow(entries, dropped)


def log_key(nonce: str) -> str:
    """Return the key of the log row for a nonce.

    >>> log_key("a")
    'config-log/0579'
    """
    bucket = zlib.crc32(nonce.encode()) % _LOG_ROWS
    return f"{LOG_PREFIX}{bucket:04d}"


def new_nonce(wall_time_s: float, rng: random.Random) -> str:
    """Return a nonce for a change; nonces sort by creation time.

    >>> import random
    >>> rng = random.Random(1)
    >>> new_nonce(1.0, rng) < new_nonce(2.0, rng)
    True
    """
    return f"{int(wall_time_s * 1000):012x}-{rng.getrandbits(64):016x}"


class ConfigState:
    """The accepted and the prepared configurations of one daemon run.

    >>> state = ConfigState(lambda body: "" if body else "empty")
    >>> change = Configuration(1, "n", "e1", b"{}")
    >>> state.prepare(change)
    ''
    >>> state.accept_prepared(1, "n", change.checksum())
    True
    >>> state.accept(change)
    False
    >>> state.accepted.revision
    1
    """

    __slots__ = ("_accepted", "_prepared", "_validate")

    def __init__(self, validate: Callable[[bytes], str]) -> None:
        self._validate = validate
        self._accepted = Configuration()
        # The key contains the checksum as well as the nonce, because two
        # submitters may use the same nonce.
        self._prepared: dict[str, Configuration] = {}

    @property
    def accepted(self) -> Configuration:
        """The configuration in force."""
        return self._accepted

    def prepare(self, configuration: Configuration) -> str:
        """Hold a configuration; return "" or the reason for a refusal."""
        if configuration.revision <= self._accepted.revision:
            return f"revision {self._accepted.revision} is in force"
        if len(configuration.body) > MAX_BODY_BYTES:
            return f"body is over {MAX_BODY_BYTES} bytes"
        reason = self._validate(configuration.body)
        if reason:
            return reason
        key = configuration.checksum() + configuration.nonce
        self._prepared.pop(key, None)
        self._prepared[key] = configuration
        if len(self._prepared) > _MAX_PREPARED:
            del self._prepared[next(iter(self._prepared))]
        return ""

    def accept(self, configuration: Configuration) -> bool:
        """Apply an accepted configuration; return whether it took effect."""
        if configuration.revision <= self._accepted.revision:
            return False
        self._accepted = configuration
        for key, held in list(self._prepared.items()):
            if held.revision <= configuration.revision:
                del self._prepared[key]
        return True

    def accept_prepared(
        self, revision: int, nonce: str, checksum: str
    ) -> bool:
        """Apply an accepted change that is prepared here.

        Return False if the change is not held or did not take effect.
        """
        held = self._prepared.get(checksum + nonce)
        if held is None or held.revision != revision:
            return False
        return self.accept(held)

    def holds(self, revision: int, nonce: str, checksum: str) -> bool:
        """Return whether a configuration is prepared or in force here."""
        held = self._prepared.get(checksum + nonce)
        if self._accepted.revision == revision:
            held = self._accepted
        if held is None or held.revision != revision:
            return False
        return held.nonce == nonce and held.checksum() == checksum


def read_config_row(value: bytes | None) -> Configuration | None:
    """Return the configuration in a stored row, or None if invalid."""
    if value is None:
        return Configuration()
    row = decode(value, ConfigRow).value_or(None)
    return row.configuration() if row is not None else None


def read_log_row(value: bytes | None) -> ConfigLogRow | None:
    """Return the bucket in a stored row, or None if invalid."""
    if value is None:
        return ConfigLogRow()
    return decode(value, ConfigLogRow).value_or(None)


def config_value(configuration: Configuration) -> bytes:
    """Return the stored form of a configuration."""
    return encode(ConfigRow.of(configuration))
