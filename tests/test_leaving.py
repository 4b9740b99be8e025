from __future__ import annotations

import pytest

from lycheelug.leaving import LeavingHosts, LeavingSign

OBSERVED = [
    LeavingSign.REFUSED_CLOSING,
    LeavingSign.CLOSING,
    LeavingSign.CONNECT_FAILED,
]


def record_sign(hosts: LeavingHosts, sign: LeavingSign, now: float) -> None:
    hosts.record_sign("w1", sign, now, revision=5, reporter="e2")


@pytest.mark.parametrize("sign", LeavingSign)
def test_first_sign_of_any_kind_stops_new_work_at_once(
    sign: LeavingSign,
) -> None:
    hosts = LeavingHosts()
    assert not hosts.is_leaving("w1", 10.0)
    record_sign(hosts, sign, 10.0)
    assert hosts.is_leaving("w1", 10.0)
    assert not hosts.is_leaving("w2", 10.0)


@pytest.mark.parametrize("sign", LeavingSign)
def test_only_observed_signs_are_reported(sign: LeavingSign) -> None:
    hosts = LeavingHosts()
    record_sign(hosts, sign, 10.0)
    assert hosts.hosts_to_report(10.0) == (["w1"] if sign in OBSERVED else [])


def test_reports_of_two_daemons_expire() -> None:
    one, two = LeavingHosts(), LeavingHosts()
    one.record_sign("w1", LeavingSign.CONNECT_FAILED, 0.0)
    for second in range(4):
        for host in one.hosts_to_report(second):
            two.record_sign(host, LeavingSign.TOLD, second, reporter="e1")
        for host in two.hosts_to_report(second):
            one.record_sign(host, LeavingSign.TOLD, second, reporter="e2")
    assert two.is_leaving("w1", 3.0)
    one.start_probe("w1", 3.0)
    one.record_success("w1", 3.1, closing=False)
    assert not one.is_leaving("w1", 3.1)
    assert not two.is_leaving("w1", 8.1)


@pytest.mark.parametrize(
    ("sign", "hold_s"),
    [
        (LeavingSign.CONNECT_FAILED, 1.0),
        (LeavingSign.CLOSING, 5.0),
        (LeavingSign.REFUSED_CLOSING, 10.0),
        (LeavingSign.TOLD, 10.0),
    ],
)
def test_probe_after_the_hold_time_and_one_at_a_time(
    sign: LeavingSign, hold_s: float
) -> None:
    hosts = LeavingHosts()
    record_sign(hosts, sign, 0.0)
    for second in range(1, 11):
        # A peer's report is valid only while it is renewed.
        if sign is LeavingSign.TOLD:
            record_sign(hosts, sign, float(second))
    assert not hosts.probe_allowed("w1", hold_s - 0.1)
    assert hosts.probe_allowed("w1", hold_s)
    hosts.start_probe("w1", hold_s)
    assert not hosts.probe_allowed("w1", hold_s + 0.1)
    hosts.record_success("w1", hold_s + 0.2, closing=False)
    assert not hosts.is_leaving("w1", hold_s + 0.2)


def test_failed_probe_doubles_the_hold_time_up_to_a_bound() -> None:
    hosts = LeavingHosts()
    now = 0.0
    holds: list[float] = []
    hosts.record_sign("w1", LeavingSign.CONNECT_FAILED, now)
    for _ in range(8):
        since = now
        while not hosts.probe_allowed("w1", now):
            now += 0.5
        holds.append(now - since)
        hosts.start_probe("w1", now)
        hosts.record_sign("w1", LeavingSign.CONNECT_FAILED, now)
    assert holds == [1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 60.0, 60.0]


def test_more_signs_of_old_requests_do_not_double_the_hold_time() -> None:
    hosts = LeavingHosts()
    for _ in range(10):
        hosts.record_sign("w1", LeavingSign.CONNECT_FAILED, 0.0)
    assert hosts.probe_allowed("w1", 1.0)


def test_answer_to_an_older_request_clears_no_sign() -> None:
    hosts = LeavingHosts()
    hosts.record_sign("w1", LeavingSign.REFUSED_CLOSING, 0.0)
    hosts.record_success("w1", 0.1, closing=False)
    assert hosts.is_leaving("w1", 0.1)


@pytest.mark.parametrize(
    ("revision", "leaving"),
    [(4, True), (5, True), (6, False)],
    ids=["older", "same", "newer"],
)
def test_list_restores_a_host_only_at_a_newer_revision(
    revision: int, leaving: bool
) -> None:
    hosts = LeavingHosts()
    hosts.record_sign("w1", LeavingSign.LISTED, 0.0, revision=5)
    hosts.record_live("w1", revision, 1.0)
    assert hosts.is_leaving("w1", 1.0) is leaving


def test_late_list_does_not_make_a_returned_host_leave() -> None:
    hosts = LeavingHosts()
    hosts.record_sign("w1", LeavingSign.LISTED, 0.0, revision=5)
    hosts.record_live("w1", 7, 1.0)
    hosts.record_sign("w1", LeavingSign.LISTED, 2.0, revision=6)
    assert not hosts.is_leaving("w1", 2.0)


@pytest.mark.parametrize(
    ("answered_at", "now", "allowed"),
    [
        (0.0, 20.0, False),
        (0.0, 59.0, False),
        (0.0, 60.0, True),
        (50.0, 79.0, False),
        (50.0, 80.0, True),
    ],
    ids=["fresh", "too-early", "stale", "answered-since", "stale-again"],
)
def test_listed_host_is_probed_only_while_the_list_is_stale(
    answered_at: float, now: float, allowed: bool
) -> None:
    hosts = LeavingHosts()
    hosts.record_sign("w1", LeavingSign.LISTED, 0.0, revision=5)
    hosts.record_list_answer(answered_at)
    assert hosts.probe_allowed("w1", now) is allowed


def test_upstream_that_always_closes_is_used_again() -> None:
    hosts = LeavingHosts()
    now = 0.0
    hosts.record_sign("w1", LeavingSign.CLOSING, now)
    for _ in range(2):
        while not hosts.probe_allowed("w1", now):
            now += 1.0
        hosts.start_probe("w1", now)
        hosts.record_success("w1", now, closing=True)
    hosts.record_sign("w1", LeavingSign.CLOSING, now)
    assert not hosts.is_leaving("w1", now)
    hosts.record_success("w1", now, closing=False)
    hosts.record_sign("w1", LeavingSign.CLOSING, now)
    assert hosts.is_leaving("w1", now)


def test_nothing_is_kept_of_hosts_that_came_back() -> None:
    hosts = LeavingHosts()
    for number in range(100):
        hosts.record_sign(f"w{number}", LeavingSign.TOLD, 0.0, reporter="e2")
    assert hosts.hosts_to_report(100.0) == []
    assert hosts.known == []
