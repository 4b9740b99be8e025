from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lycheelug.dispatch import Executor
from lycheelug.ejection import EjectionSettings, Ejector
from lycheelug.leaving import LeavingHosts, LeavingSettings, LeavingSign
from lycheelug.slots import SHARES, IdleReport, ShareSettings, SlotShare

HOSTS = [f"w{index}" for index in range(6)]
DAEMONS = [f"e{index}" for index in range(4)]
SLOTS = 8
FLOOR = 3

host_names = st.sampled_from(HOSTS)
daemon_names = st.sampled_from(DAEMONS)


class DispatchState(RuleBasedStateMachine):
    """Applies the same events to ejection, leaving hosts and slot shares."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.jobs = 0
        self.ejector = Ejector(EjectionSettings(min_jobs=2, threshold=4.0))
        self.leaving = LeavingHosts()
        self.signed_at: dict[str, float] = {}
        self.live = set(DAEMONS)
        self.executors = [Executor(name, "", "r", "z") for name in HOSTS]
        self.shares: dict[str, dict[str, SlotShare]] = {}
        for name in SHARES:
            self.shares[name] = {}
            for daemon in DAEMONS:
                share = SHARES.get(name)(ShareSettings(SLOTS, len(DAEMONS)))
                self.shares[name][daemon] = share
        self.reports: dict[str, IdleReport] = {}
        self.update_pool()

    def update_pool(self) -> None:
        serving = [
            host
            for host in HOSTS
            if not self.leaving.is_leaving(host, self.now)
        ]
        self.serving = serving
        self.ejector.update_pool(serving, FLOOR)

    @rule(seconds=st.floats(0.0, 40.0))
    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.leaving.hosts_to_report(self.now)
        self.update_pool()

    @rule(host=host_names, count=st.integers(1, 8), same=st.booleans())
    def fail(self, host: str, count: int, same: bool) -> None:
        for _ in range(count):
            if not same:
                self.jobs += 1
            job = f"j{self.jobs}"
            self.ejector.record(host, "r", job, False, 0.0, self.now)

    @rule(host=host_names, count=st.integers(1, 8))
    def succeed(self, host: str, count: int) -> None:
        for _ in range(count):
            self.jobs += 1
            job = f"j{self.jobs}"
            self.ejector.record(host, "r", job, True, 0.1, self.now)

    @rule(host=host_names)
    def probe(self, host: str) -> None:
        if self.ejector.probe_allowed(host, self.now):
            self.ejector.start_probe(host, self.now)
            assert not self.ejector.probe_allowed(host, self.now)
        if self.leaving.probe_allowed(host, self.now):
            self.leaving.start_probe(host, self.now)
            assert not self.leaving.probe_allowed(host, self.now)

    @rule(
        host=host_names,
        sign=st.sampled_from(LeavingSign),
        revision=st.integers(1, 5),
    )
    def sign(self, host: str, sign: LeavingSign, revision: int) -> None:
        newest = sign is not LeavingSign.LISTED
        self.leaving.record_sign(host, sign, self.now, revision, "e1")
        if newest and self.leaving.is_leaving(host, self.now):
            self.signed_at[host] = self.now
        self.update_pool()

    @rule(host=host_names, revision=st.integers(1, 8))
    def listed_live(self, host: str, revision: int) -> None:
        self.leaving.record_live(host, revision, self.now)
        self.signed_at.pop(host, None)
        self.update_pool()

    @rule(host=host_names, closing=st.booleans())
    def answer(self, host: str, closing: bool) -> None:
        before = self.leaving.is_leaving(host, self.now)
        self.leaving.record_success(host, self.now, closing)
        if before and not self.leaving.is_leaving(host, self.now):
            self.signed_at.pop(host, None)
        self.update_pool()

    @rule(daemon=daemon_names)
    def toggle_daemon(self, daemon: str) -> None:
        if daemon in self.live and len(self.live) > 1:
            self.live.remove(daemon)
        else:
            self.live.add(daemon)

    @rule(
        daemon=daemon_names, idle=st.integers(0, 60), queued=st.integers(0, 2)
    )
    def report(self, daemon: str, idle: int, queued: int) -> None:
        self.reports[daemon] = IdleReport(daemon, idle, queued, self.now)

    @rule(daemon=daemon_names, host=host_names)
    def refuse(self, daemon: str, host: str) -> None:
        for shares in self.shares.values():
            shares[daemon].record_refusal(host, self.now)

    @rule(host=host_names, in_flight=st.integers(0, SLOTS))
    def use(self, host: str, in_flight: int) -> None:
        self.executors[HOSTS.index(host)].in_flight = in_flight

    @invariant()
    def ejection_leaves_the_floor(self) -> None:
        in_service = len(self.serving) - len(self.ejector.ejected)
        assert in_service >= min(FLOOR, len(self.serving))
        assert set(self.ejector.ejected) <= set(self.serving)

    @invariant()
    def signed_hosts_get_no_work_within_the_shortest_hold(self) -> None:
        hold_s = LeavingSettings().hold_connect_s
        for host, at in self.signed_at.items():
            if self.now < at + hold_s:
                assert self.leaving.is_leaving(host, self.now)

    @invariant()
    def live_shares_never_overload_an_executor(self) -> None:
        used = dict.fromkeys(HOSTS, 0)
        for daemon in self.live:
            share = self.shares["live"][daemon]
            limits = share.limits(
                [Executor(name, "", "r", "z") for name in HOSTS],
                daemon,
                self.live,
                [],
                self.now,
            )
            for host, limit in limits.items():
                used[host] += limit
        assert max(used.values()) <= SLOTS

    @invariant()
    def no_limit_is_beyond_an_executor(self) -> None:
        reports = list(self.reports.values())
        for shares in self.shares.values():
            for daemon in self.live:
                limits = shares[daemon].limits(
                    self.executors, daemon, self.live, reports, self.now
                )
                assert set(limits) == set(HOSTS)
                assert min(limits.values()) >= 0
                assert max(limits.values()) <= SLOTS


TestDispatchState = DispatchState.TestCase
TestDispatchState.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=30, deadline=None
)
