"""Which hosts are leaving and get no new work.

The platform's list of leaving hosts lags, and can be down.  So any of
these signs takes a host out of dispatch at once: the list, a refusal with
`Connection: close`, an answer with `Connection: close`, a failed connect,
and word from a peer daemon.

How a host comes back:

* listed as leaving: when the list says live at a newer revision.  Where
  the list itself has not been heard for a while, a probe may clear it.
* a sign seen here: after a hold time, one probe at a time; a success
  clears it, a failure doubles the hold time.
* told by a peer: when the peer stops saying so, or earlier by a successful
  probe here after the peer began saying so.

Only signs seen here are told to peers: a repeated rumour would never end.
An upstream that closes after every answer as a matter of course is noticed
by its successful probes, and its `Connection: close` is ignored until an
answer comes without it.

Limits: the daemon chooses the probe: a health request, or one repeatable
request.  Opening a connection proves enough only after a failed connect,
since a draining host may accept connections and refuse what comes.
"""

from __future__ import annotations

import math
from enum import StrEnum
from typing import Final

__all__ = ["LeavingHosts", "LeavingSettings", "LeavingSign"]

_HOLD_CONNECT_S: Final = 1.0
_HOLD_CLOSING_S: Final = 5.0
_HOLD_REFUSED_S: Final = 10.0
_HOLD_MAX_S: Final = 60.0
_TOLD_TTL_S: Final = 5.0
_LIST_STALE_S: Final = 30.0
_HOLD_LISTED_S: Final = 60.0
_HOLD_TOLD_S: Final = 10.0
_PROBE_TIMEOUT_S: Final = 3.0
# Successful probes that still closed, after which closing is a habit.
_HABIT_PROBES: Final = 2


class LeavingSign(StrEnum):
    """How a host showed that it leaves."""

    LISTED = "listed"
    REFUSED_CLOSING = "refused-closing"
    CLOSING = "closing"
    CONNECT_FAILED = "connect-failed"
    TOLD = "told"


class LeavingSettings:
    """Times of the rules, in seconds."""

    __slots__ = (
        "hold_closing_s",
        "hold_connect_s",
        "hold_listed_s",
        "hold_max_s",
        "hold_refused_s",
        "hold_told_s",
        "list_stale_s",
        "probe_timeout_s",
        "told_ttl_s",
    )

    def __init__(
        self,
        hold_connect_s: float = _HOLD_CONNECT_S,
        hold_closing_s: float = _HOLD_CLOSING_S,
        hold_refused_s: float = _HOLD_REFUSED_S,
        hold_max_s: float = _HOLD_MAX_S,
        told_ttl_s: float = _TOLD_TTL_S,
        list_stale_s: float = _LIST_STALE_S,
        hold_listed_s: float = _HOLD_LISTED_S,
        hold_told_s: float = _HOLD_TOLD_S,
        probe_timeout_s: float = _PROBE_TIMEOUT_S,
    ) -> None:
        # First hold time after a failed connect, doubled each time.
        self.hold_connect_s = hold_connect_s
        # The same after an answer with `Connection: close`.
        self.hold_closing_s = hold_closing_s
        # The same after a refusal with `Connection: close`.
        self.hold_refused_s = hold_refused_s
        self.hold_max_s = hold_max_s
        # How long a peer's word holds after its last digest.
        self.told_ttl_s = told_ttl_s
        # Age at which the platform's list no longer forbids probes.
        self.list_stale_s = list_stale_s
        # Earliest probe of a listed host once the list is stale.
        self.hold_listed_s = hold_listed_s
        # Earliest probe of a host that only peers call leaving.
        self.hold_told_s = hold_told_s
        # After this a probe without result no longer blocks the next.
        self.probe_timeout_s = probe_timeout_s

    def first_hold_s(self, sign: LeavingSign) -> float:
        """Return the hold time after a first sign seen here."""
        if sign is LeavingSign.REFUSED_CLOSING:
            return self.hold_refused_s
        if sign is LeavingSign.CLOSING:
            return self.hold_closing_s
        return self.hold_connect_s


class _Told:
    """One peer's word on one host."""

    __slots__ = ("first", "last")

    def __init__(self, now: float) -> None:
        self.first = now
        self.last = now


class _Host:
    """What is known of one host that showed a sign."""

    __slots__ = (
        "habit",
        "hold_s",
        "listed_at",
        "listed_revision",
        "probe_at",
        "retry_at",
        "sign",
        "success_at",
        "told",
    )

    def __init__(self) -> None:
        self.listed_at: float | None = None
        self.listed_revision = 0
        self.sign: LeavingSign | None = None
        self.hold_s = 0.0
        self.retry_at = 0.0
        self.probe_at = -math.inf
        self.success_at = -math.inf
        self.habit = 0
        self.told: dict[str, _Told] = {}

    @property
    def empty(self) -> bool:
        """Whether nothing needs to be remembered."""
        return (
            self.listed_at is None
            and self.sign is None
            and not self.told
            and self.habit == 0
        )


class LeavingHosts:
    """The hosts of a zone that get no new work because they leave.

    >>> hosts = LeavingHosts()
    >>> hosts.record_sign("w1", LeavingSign.CONNECT_FAILED, now=10.0)
    >>> hosts.is_leaving("w1", now=10.0), hosts.hosts_to_report(now=10.0)
    (True, ['w1'])
    >>> hosts.probe_allowed("w1", now=11.5)
    True
    >>> hosts.start_probe("w1", now=11.5)
    >>> hosts.record_success("w1", now=11.6, closing=False)
    >>> hosts.is_leaving("w1", now=11.6)
    False
    """

    __slots__ = ("_hosts", "_list_heard_at", "_settings")

    def __init__(self, settings: LeavingSettings | None = None) -> None:
        self._settings = settings or LeavingSettings()
        self._hosts: dict[str, _Host] = {}
        self._list_heard_at = -math.inf

    @property
    def known(self) -> list[str]:
        """Hosts of which anything is remembered."""
        return sorted(self._hosts)

    def record_sign(
        self,
        host: str,
        sign: LeavingSign,
        now: float,
        revision: int = 0,
        reporter: str = "",
    ) -> None:
        """Take in a sign of leaving.

        `revision` is the platform list's for LISTED; `reporter` names the
        peer daemon for TOLD.
        """
        state = self._hosts.setdefault(host, _Host())
        if sign is LeavingSign.LISTED:
            if revision >= state.listed_revision:
                state.listed_at = now
                state.listed_revision = revision
            return
        if sign is LeavingSign.TOLD:
            self._note_told(state, reporter, now)
            return
        if sign is LeavingSign.CLOSING and state.habit >= _HABIT_PROBES:
            return
        self._note_seen(state, sign, now)

    def record_list_answer(self, now: float) -> None:
        """Take in that the platform's list answered, with news or not."""
        self._list_heard_at = now

    def record_live(self, host: str, revision: int, now: float) -> None:
        """Take in that the list says live at a revision."""
        del now
        state = self._hosts.get(host)
        if state is None:
            return
        if revision <= state.listed_revision:
            return
        state.listed_revision = revision
        if state.listed_at is None:
            return
        # The host has come back since: older signs are of its last run.
        state.listed_at = None
        state.sign = None
        state.told.clear()

    def record_success(self, host: str, now: float, closing: bool) -> None:
        """Take in a successful probe or answer of a host.

        `closing` tells whether the answer carried `Connection: close`.
        An answer to a request sent before the sign proves nothing, so
        a success counts only where a probe is under way.
        """
        state = self._hosts.get(host)
        if state is None:
            return
        if not closing:
            state.habit = 0
        if state.probe_at == -math.inf:
            self._forget_if_empty(host, state)
            return
        if closing:
            state.habit += 1
            if state.habit < _HABIT_PROBES:
                self._note_seen(state, LeavingSign.CLOSING, now)
                return
        state.probe_at = -math.inf
        state.success_at = now
        state.sign = None
        state.listed_at = None
        self._forget_if_empty(host, state)

    def is_leaving(self, host: str, now: float) -> bool:
        """Whether the host gets no new work."""
        state = self._hosts.get(host)
        if state is None:
            return False
        if state.listed_at is not None or state.sign is not None:
            return True
        return self._is_told(state, now)

    def probe_allowed(self, host: str, now: float) -> bool:
        """Whether one probe of a leaving host may start now."""
        state = self._hosts.get(host)
        if state is None or not self.is_leaving(host, now):
            return False
        if now < state.probe_at + self._settings.probe_timeout_s:
            return False
        if state.listed_at is not None:
            list_age_s = now - self._list_heard_at
            if list_age_s < self._settings.list_stale_s:
                return False
            if now < state.listed_at + self._settings.hold_listed_s:
                return False
        if state.sign is not None:
            return now >= state.retry_at
        for told in state.told.values():
            if now < told.first + self._settings.hold_told_s:
                return False
        return True

    def start_probe(self, host: str, now: float) -> None:
        """Take in that the allowed probe starts."""
        state = self._hosts.get(host)
        if state is not None:
            state.probe_at = now

    def hosts_to_report(self, now: float) -> list[str]:
        """Return the hosts whose signs were seen here, for the digest.

        Drops expired words of peers on the way.
        """
        seen: list[str] = []
        for host, state in list(self._hosts.items()):
            self._drop_expired(state, now)
            self._forget_if_empty(host, state)
            if state.sign is not None:
                seen.append(host)
        return sorted(seen)

    def forget(self, host: str) -> None:
        """Drop what is known of a host that is gone for good."""
        self._hosts.pop(host, None)

    def _note_seen(self, state: _Host, sign: LeavingSign, now: float) -> None:
        """Start, or after a failed probe prolong, a hold."""
        settings = self._settings
        probed = state.probe_at > -math.inf
        state.probe_at = -math.inf
        if state.sign is None:
            state.hold_s = settings.first_hold_s(sign)
        elif probed:
            state.hold_s = min(settings.hold_max_s, state.hold_s * 2)
        state.sign = sign
        state.retry_at = now + state.hold_s

    def _note_told(self, state: _Host, reporter: str, now: float) -> None:
        """Start or prolong a peer's word."""
        told = state.told.get(reporter)
        if told is None or now - told.last > self._settings.told_ttl_s:
            state.told[reporter] = _Told(now)
            return
        told.last = now

    def _is_told(self, state: _Host, now: float) -> bool:
        """Whether a peer's word holds and nothing here refutes it."""
        for told in state.told.values():
            if now - told.last > self._settings.told_ttl_s:
                continue
            if told.first < state.success_at:
                continue
            return True
        return False

    def _drop_expired(self, state: _Host, now: float) -> None:
        """Drop the words of peers that stopped saying so."""
        for reporter, told in list(state.told.items()):
            if now - told.last > self._settings.told_ttl_s:
                del state.told[reporter]

    def _forget_if_empty(self, host: str, state: _Host) -> None:
        """Drop the record of a host that shows no sign any more."""
        if state.empty:
            del self._hosts[host]
