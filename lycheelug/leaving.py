"""Detection of leaving hosts, which get no new work.

The platform's list of leaving hosts is delayed and can be unavailable. So
any of these signs takes a host out of dispatch at once: an entry of the
list, a refusal with `Connection: close`, an answer with `Connection:
close`, a failed connect, and a report of a peer daemon.

A host is used again under these conditions:

* listed as leaving: when the list says live at a newer revision. If the
  list itself has not answered for some time, a successful probe suffices.
* a sign observed by this daemon: after a hold time, one probe at a time is
  allowed; a success clears the sign, a failure doubles the hold time.
* reported by a peer: when the peer stops reporting it, or earlier after a
  probe by this daemon that succeeded after the peer's first report.

Only signs observed by this daemon are reported to peers: if reports were
forwarded, the daemons would keep renewing each other's reports for ever. An
upstream that closes the connection after every answer is detected by its
successful probes, and its `Connection: close` is ignored until it sends an
answer without it.

Limits: the daemon chooses the probe, which is a health request or one
repeatable request. Opening a connection is sufficient evidence only after a
failed connect, because a draining host may accept connections and refuse
the requests.
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
_REPORT_TTL_S: Final = 5.0
_LIST_STALE_S: Final = 30.0
_HOLD_LISTED_S: Final = 60.0
_HOLD_REPORTED_S: Final = 10.0
_PROBE_TIMEOUT_S: Final = 3.0
# After this many successful probes whose answer had `Connection: close`,
# that header no longer counts as a sign of leaving.
_CLOSING_PROBES_LIMIT: Final = 2


class LeavingSign(StrEnum):
    """The kind of evidence that a host is leaving."""

    LISTED = "listed"
    REFUSED_CLOSING = "refused-closing"
    CLOSING = "closing"
    CONNECT_FAILED = "connect-failed"
    TOLD = "told"


class LeavingSettings:
    """The time limits of the rules, in seconds."""

    __slots__ = (
        "hold_closing_s",
        "hold_connect_s",
        "hold_listed_s",
        "hold_max_s",
        "hold_refused_s",
        "hold_reported_s",
        "list_stale_s",
        "probe_timeout_s",
        "report_ttl_s",
    )

    def __init__(
        self,
        hold_connect_s: float = _HOLD_CONNECT_S,
        hold_closing_s: float = _HOLD_CLOSING_S,
        hold_refused_s: float = _HOLD_REFUSED_S,
        hold_max_s: float = _HOLD_MAX_S,
        report_ttl_s: float = _REPORT_TTL_S,
        list_stale_s: float = _LIST_STALE_S,
        hold_listed_s: float = _HOLD_LISTED_S,
        hold_reported_s: float = _HOLD_REPORTED_S,
        probe_timeout_s: float = _PROBE_TIMEOUT_S,
    ) -> None:
        # The first hold time after a failed connect. A failed probe doubles
        # the hold time.
        self.hold_connect_s = hold_connect_s
        # The same after an answer with `Connection: close`.
        self.hold_closing_s = hold_closing_s
        # The same after a refusal with `Connection: close`.
        self.hold_refused_s = hold_refused_s
        self.hold_max_s = hold_max_s
        # How long a peer's report is valid after the last digest with it.
        self.report_ttl_s = report_ttl_s
        # The time without an answer of the platform's list after which a
        # listed host may be probed.
        self.list_stale_s = list_stale_s
        # The shortest time from the listing of a host to its first probe,
        # which also requires that the list is stale.
        self.hold_listed_s = hold_listed_s
        # The shortest time from a peer's first report to a probe, if there
        # is no sign observed by this daemon.
        self.hold_reported_s = hold_reported_s
        # After this time a probe without a result no longer blocks the next
        # one.
        self.probe_timeout_s = probe_timeout_s

    def first_hold_s(self, sign: LeavingSign) -> float:
        """Return the hold time after a first sign observed here."""
        if sign is LeavingSign.REFUSED_CLOSING:
            return self.hold_refused_s
        if sign is LeavingSign.CLOSING:
            return self.hold_closing_s
        return self.hold_connect_s


class _PeerReport:
    """One peer's report on one host: times of first and last digest."""

    __slots__ = ("first_at", "last_at")

    def __init__(self, now: float) -> None:
        self.first_at = now
        self.last_at = now


class _Host:
    """The recorded evidence about one host."""

    __slots__ = (
        "closing_probes",
        "hold_s",
        "listed_at",
        "listed_revision",
        "peer_reports",
        "probe_at",
        "retry_at",
        "sign",
        "success_at",
    )

    def __init__(self) -> None:
        self.listed_at: float | None = None
        self.listed_revision = 0
        self.sign: LeavingSign | None = None
        self.hold_s = 0.0
        self.retry_at = 0.0
        self.probe_at = -math.inf
        self.success_at = -math.inf
        self.closing_probes = 0
        self.peer_reports: dict[str, _PeerReport] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to keep for this host."""
        return (
            self.listed_at is None
            and self.sign is None
            and not self.peer_reports
            and self.closing_probes == 0
        )


class LeavingHosts:
    """The hosts of a zone that get no new work because they are leaving.

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

    __slots__ = ("_hosts", "_list_answered_at", "_settings")

    def __init__(self, settings: LeavingSettings | None = None) -> None:
        self._settings = settings or LeavingSettings()
        self._hosts: dict[str, _Host] = {}
        self._list_answered_at = -math.inf

    @property
    def known(self) -> list[str]:
        """The hosts with any recorded evidence."""
        return sorted(self._hosts)

    def record_sign(
        self,
        host: str,
        sign: LeavingSign,
        now: float,
        revision: int = 0,
        reporter: str = "",
    ) -> None:
        """Record a sign that a host is leaving.

        `revision` is the revision of the platform's list for LISTED;
        `reporter` is the name of the peer daemon for TOLD.
        """
        state = self._hosts.setdefault(host, _Host())
        if sign is LeavingSign.LISTED:
            if revision >= state.listed_revision:
                state.listed_at = now
                state.listed_revision = revision
            return
        if sign is LeavingSign.TOLD:
            self._record_report(state, reporter, now)
            return
        if (
            sign is LeavingSign.CLOSING
            and state.closing_probes >= _CLOSING_PROBES_LIMIT
        ):
            return
        self._record_observed(state, sign, now)

    def record_list_answer(self, now: float) -> None:
        """Record that the platform's list answered, changed or not."""
        self._list_answered_at = now

    def record_live(self, host: str, revision: int, now: float) -> None:
        """Record that the list says live at a revision."""
        del now
        state = self._hosts.get(host)
        if state is None:
            return
        if revision <= state.listed_revision:
            return
        state.listed_revision = revision
        if state.listed_at is None:
            return
        # The host has returned since it was listed, so the older signs
        # belong to the time before.
        state.listed_at = None
        state.sign = None
        state.peer_reports.clear()

    def record_success(self, host: str, now: float, closing: bool) -> None:
        """Record a successful probe or answer of a host.

        `closing` is true if the answer had `Connection: close`. An answer
        to a request sent before the sign is no evidence, so a success
        counts only while a probe is in progress.
        """
        state = self._hosts.get(host)
        if state is None:
            return
        if not closing:
            state.closing_probes = 0
        if state.probe_at == -math.inf:
            self._drop_if_empty(host, state)
            return
        if closing:
            state.closing_probes += 1
            if state.closing_probes < _CLOSING_PROBES_LIMIT:
                self._record_observed(state, LeavingSign.CLOSING, now)
                return
        state.probe_at = -math.inf
        state.success_at = now
        state.sign = None
        state.listed_at = None
        self._drop_if_empty(host, state)

    def is_leaving(self, host: str, now: float) -> bool:
        """Return whether the host gets no new work."""
        state = self._hosts.get(host)
        if state is None:
            return False
        if state.listed_at is not None or state.sign is not None:
            return True
        return self._is_reported(state, now)

    def probe_allowed(self, host: str, now: float) -> bool:
        """Return whether one probe of a leaving host may start now."""
        state = self._hosts.get(host)
        if state is None or not self.is_leaving(host, now):
            return False
        if now < state.probe_at + self._settings.probe_timeout_s:
            return False
        if state.listed_at is not None:
            list_age_s = now - self._list_answered_at
            if list_age_s < self._settings.list_stale_s:
                return False
            if now < state.listed_at + self._settings.hold_listed_s:
                return False
        if state.sign is not None:
            return now >= state.retry_at
        for report in state.peer_reports.values():
            if now < report.first_at + self._settings.hold_reported_s:
                return False
        return True

    def start_probe(self, host: str, now: float) -> None:
        """Record that an allowed probe starts."""
        state = self._hosts.get(host)
        if state is not None:
            state.probe_at = now

    def hosts_to_report(self, now: float) -> list[str]:
        """Return the hosts with signs observed here, for the digest.

        Also drops the expired reports of peers.
        """
        observed: list[str] = []
        for host, state in list(self._hosts.items()):
            self._drop_expired(state, now)
            self._drop_if_empty(host, state)
            if state.sign is not None:
                observed.append(host)
        return sorted(observed)

    def forget(self, host: str) -> None:
        """Drop the evidence about a host that was removed for good."""
        self._hosts.pop(host, None)

    def _record_observed(
        self, state: _Host, sign: LeavingSign, now: float
    ) -> None:
        """Start a hold, or double its time after a failed probe."""
        settings = self._settings
        probed = state.probe_at > -math.inf
        state.probe_at = -math.inf
        if state.sign is None:
            state.hold_s = settings.first_hold_s(sign)
        elif probed:
            state.hold_s = min(settings.hold_max_s, state.hold_s * 2)
        state.sign = sign
        state.retry_at = now + state.hold_s

    def _record_report(self, state: _Host, reporter: str, now: float) -> None:
        """Record a peer's report, or renew an earlier one."""
        report = state.peer_reports.get(reporter)
        if (
            report is None
            or now - report.last_at > self._settings.report_ttl_s
        ):
            state.peer_reports[reporter] = _PeerReport(now)
            return
        report.last_at = now

    def _is_reported(self, state: _Host, now: float) -> bool:
        """Return whether a peer's report is valid and not yet disproved."""
        for report in state.peer_reports.values():
            if now - report.last_at > self._settings.report_ttl_s:
                continue
            if report.first_at < state.success_at:
                continue
            return True
        return False

    def _drop_expired(self, state: _Host, now: float) -> None:
        """Drop the reports that peers have not renewed."""
        for reporter, report in list(state.peer_reports.items()):
            if now - report.last_at > self._settings.report_ttl_s:
                del state.peer_reports[reporter]

    def _drop_if_empty(self, host: str, state: _Host) -> None:
        """Drop the record of a host without any remaining evidence."""
        if state.is_empty:
            del self._hosts[host]
