from __future__ import annotations

import pytest

from lycheelug.ejection import EjectionSettings, Ejector
from lycheelug.job_failures import JobFailure, JobFailures, judge_job

HOSTS = [f"w{i}" for i in range(8)]


def make_ejector(hosts: list[str] = HOSTS, floor: int = 4) -> Ejector:
    ejector = Ejector()
    ejector.update_pool(hosts, floor)
    return ejector


def record_failures(
    ejector: Ejector, host: str, count: int, now: float = 1.0
) -> None:
    for number in range(count):
        ejector.record(host, "r", f"{host}-{now}-{number}", False, 0.1, now)


@pytest.mark.parametrize("latency_s", [0.0, 0.001, 30.0])
def test_host_that_fails_three_jobs_is_ejected_at_any_speed(
    latency_s: float,
) -> None:
    ejector = make_ejector()
    for number in range(3):
        assert not ejector.is_ejected("w0", 1.0)
        ejector.record("w0", "r", f"j{number}", False, latency_s, 1.0)
    assert ejector.ejected == ["w0"]


@pytest.mark.parametrize("successes", [0, 5, 500])
def test_many_successes_barely_delay_ejection(successes: int) -> None:
    ejector = make_ejector()
    for number in range(successes):
        ejector.record("w0", "r", f"ok{number}", True, 0.1, 1.0)
    record_failures(ejector, "w0", 3)
    assert ejector.is_ejected("w0", 1.0)


def test_one_job_failing_repeatedly_ejects_no_host() -> None:
    ejector = make_ejector()
    for _ in range(20):
        ejector.record("w0", "r", "same", False, 0.1, 1.0)
    assert ejector.ejected == []


def test_jobs_that_fail_everywhere_eject_no_host() -> None:
    ejector = make_ejector()
    for number in range(50):
        for offset in range(3):
            host = HOSTS[(number + offset) % len(HOSTS)]
            ejector.record(host, "r", f"bad{number}", False, 0.1, 1.0)
    assert ejector.ejected == []


def test_job_that_succeeds_elsewhere_counts_against_the_host() -> None:
    ejector = make_ejector()
    for number in range(3):
        ejector.record("w0", "r", f"j{number}", False, 0.1, 1.0)
        ejector.record("w1", "r", f"j{number}", True, 0.1, 1.0)
    assert ejector.ejected == ["w0"]


@pytest.mark.parametrize(
    ("failing", "floor", "most"),
    [
        (HOSTS[:4], 4, 4),
        (HOSTS[:4], 6, 2),
        (HOSTS, 4, 4),
        (HOSTS, 0, 4),
        (HOSTS, 8, 0),
        (HOSTS, 99, 0),
    ],
    ids=["rack", "rack-floor-6", "all", "no-floor", "floor-8", "floor-over"],
)
def test_correlated_failures_respect_the_floor(
    failing: list[str], floor: int, most: int
) -> None:
    ejector = make_ejector(floor=floor)
    for round_ in range(10):
        for host in failing:
            record_failures(ejector, host, 1, float(round_))
    assert len(ejector.ejected) <= most
    if failing != HOSTS:
        assert len(ejector.ejected) == most


@pytest.mark.parametrize("count", [1, 2, 3])
def test_small_pool_keeps_a_host(count: int) -> None:
    hosts = HOSTS[:count]
    ejector = make_ejector(hosts, floor=0)
    for host in hosts:
        record_failures(ejector, host, 10)
    assert len(ejector.ejected) <= count // 2


def test_shrinking_pool_readmits_the_longest_ejected() -> None:
    ejector = make_ejector()
    for number, host in enumerate(("w0", "w1", "w2")):
        record_failures(ejector, host, 3, float(number))
    assert ejector.ejected == ["w0", "w1", "w2"]
    ejector.update_pool(["w0", "w1", "w2", "w3", "w4", "w5"], 4)
    assert ejector.ejected == ["w1", "w2"]


def test_half_open_probes_one_at_a_time_with_backoff() -> None:
    ejector = make_ejector()
    record_failures(ejector, "w0", 3, 0.0)
    assert not ejector.probe_allowed("w0", 4.9)
    assert ejector.probe_allowed("w0", 5.0)
    ejector.start_probe("w0", 5.0)
    assert not ejector.probe_allowed("w0", 6.0)
    ejector.record("w0", "r", "p1", False, 0.1, 6.0)
    assert not ejector.probe_allowed("w0", 15.9)
    assert ejector.probe_allowed("w0", 16.0)
    for number in range(2):
        ejector.start_probe("w0", 16.0 + number)
        assert ejector.is_ejected("w0", 16.0)
        ejector.record("w0", "r", f"ok{number}", True, 0.1, 16.5 + number)
    assert not ejector.is_ejected("w0", 18.0)


def test_probe_without_outcome_does_not_block_for_ever() -> None:
    ejector = make_ejector()
    record_failures(ejector, "w0", 3, 0.0)
    ejector.start_probe("w0", 5.0)
    assert not ejector.probe_allowed("w0", 34.0)
    assert ejector.probe_allowed("w0", 35.0)


def test_outcome_of_a_job_sent_before_ejection_is_no_probe() -> None:
    ejector = make_ejector()
    record_failures(ejector, "w0", 3, 0.0)
    for number in range(5):
        ejector.record("w0", "r", f"old{number}", True, 0.1, 1.0)
    assert ejector.is_ejected("w0", 1.0)


def test_old_evidence_is_dropped() -> None:
    ejector = Ejector(EjectionSettings(window_s=30.0))
    ejector.update_pool(HOSTS, 4)
    record_failures(ejector, "w0", 2, 0.0)
    record_failures(ejector, "w0", 1, 100.0)
    assert ejector.ejected == []


@pytest.mark.parametrize(
    ("runs", "suspects", "racks", "is_set_aside"),
    [
        ("w0:r0 w1:r0", "", 2, False),
        ("w0:r0 w1:r0 w4:r1", "", 2, True),
        ("w0:r0 w1:r0 w2:r0", "", 2, False),
        ("w0:r0 w1:r0 w2:r0", "", 1, True),
        ("w0:r0 w0:r0 w4:r1", "", 2, False),
        ("w0:r0 w1:r0 w4:r1", "w1", 2, False),
        ("w0:r0 " * 12, "", 2, True),
    ],
    ids=[
        "two-hosts",
        "independent",
        "one-rack",
        "pool-of-one-rack",
        "same-host-twice",
        "suspect-host",
        "cap",
    ],
)
def test_job_is_set_aside_after_three_independent_hosts(
    runs: str, suspects: str, racks: int, is_set_aside: bool
) -> None:
    failures: list[JobFailure] = []
    for run in runs.split():
        host, rack = run.split(":")
        failures.append(JobFailure(host, rack, "exit 1", 1.0))
    verdict = judge_job(failures, lambda host: host in suspects, racks)
    assert (verdict is not None) is is_set_aside
    if verdict is not None:
        assert len(verdict.reasons) == len(failures)


def test_job_failures_are_kept_until_the_job_ends() -> None:
    jobs = JobFailures()
    for host, rack in (("w0", "r0"), ("w1", "r0"), ("w4", "r1")):
        jobs.record("j1", JobFailure(host, rack, "exit 1", 1.0))
    verdict = jobs.verdict("j1", lambda host: False)
    assert verdict is not None
    assert verdict.reasons[2] == "w4: exit 1"
    jobs.forget("j1")
    assert jobs.failures("j1") == ()
