"""The executors of one pool that a daemon may currently use.

Combines the fleet view (which hosts serve the pool), the slot share, signs of
leaving hosts, and ejection.  A leaving or ejected host returns to service
after probes, single requests that may be repeated, have succeeded on it.

An executor with recent failures is chosen less often.  Its failure rate
decays with time, because an executor without requests can't prove that it
works again.

The list of usable executors is rebuilt on each change, and before a request
if it is older than `REFRESH_S`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.dispatch import Executor
from lycheelug.ejection import Ejector
from lycheelug.leaving import LeavingSign

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Sequence

    from lycheelug.dispatch import Choice
    from lycheelug.leaving import LeavingHosts
    from lycheelug.records import HostRow
    from lycheelug.slots import IdleReport, SlotShare

__all__ = ["ExecutorSet"]

# Age from which the list of usable executors is rebuilt before a request.
REFRESH_S: Final = 0.1
# Half-life of failure rates, and the rate below which they are set to 0.
FAILURE_HALF_LIFE_S: Final = 2.0
NEGLIGIBLE_FAILURE_RATE: Final = 0.02


class ExecutorSet:
    """The executors of one pool in the daemon's availability zone."""

    __slots__ = (
        "_choice",
        "_decayed_at",
        "_ejector",
        "_executors",
        "_leaving",
        "_probes",
        "_refreshed_at",
        "_rng",
        "_serving",
        "_share",
        "_usable",
        "_usable_slots",
        "min_available",
        "pool",
        "slots",
    )

    def __init__(
        self,
        pool: str,
        slots: int,
        min_available: int,
        share: SlotShare,
        choice: Choice,
        leaving: LeavingHosts,
        rng: random.Random,
    ) -> None:
        self.pool = pool
        self.slots = slots
        self.min_available = min_available
        self._share = share
        self._choice = choice
        self._leaving = leaving
        self._rng = rng
        self._ejector = Ejector()
        # All known executors, including those that only finish requests, and
        # those that serve the pool.
        self._executors: dict[str, Executor] = {}
        self._serving: dict[str, Executor] = {}
        self._usable: list[Executor] = []
        # The sum of the usable executors' limits.
        self._usable_slots = 0
        self._probes: set[str] = set()
        self._decayed_at = 0.0
        self._refreshed_at = -REFRESH_S

    @property
    def executors(self) -> list[Executor]:
        """The executors that serve the pool."""
        return list(self._serving.values())

    @property
    def ejected(self) -> list[str]:
        """The names of the ejected executors."""
        return self._ejector.ejected

    @property
    def capacity(self) -> int:
        """The number of slots that this daemon may use, including probes."""
        return self._usable_slots + len(self._probes)

    @property
    def usable_racks(self) -> int:
        """The number of racks that have usable executors."""
        return len({each.rack for each in self._usable})

    @property
    def in_flight(self) -> int:
        """The number of requests in flight on the pool's executors."""
        return sum(each.in_flight for each in self._executors.values())

    @property
    def idle(self) -> int:
        """The number of free slots that this daemon may use."""
        free = 0
        for executor in self._usable:
            free += max(0, executor.limit - executor.in_flight)
        return free

    def in_flight_on(self, host: str) -> int:
        """Return how many requests are in flight on one host."""
        executor = self._executors.get(host)
        return executor.in_flight if executor else 0

    def has_free_slot(self) -> bool:
        """Whether any executor may get a request now."""
        if self._probes:
            return True
        for executor in self._usable:
            if executor.in_flight < executor.limit:
                return True
        return False

    def reconfigure(
        self, slots: int, min_available: int, share: SlotShare
    ) -> None:
        """Replace the slots per executor, the minimum and the slot share."""
        self.slots = slots
        self.min_available = min_available
        self._share = share

    def update_hosts(self, rows: Sequence[HostRow], now: float) -> None:
        """Replace the hosts that serve the pool."""
        serving: dict[str, Executor] = {}
        for row in rows:
            known = self._executors.get(row.name)
            if known is None or known.address != row.address:
                known = Executor(row.name, row.address, row.rack, row.zone)
                self._executors[row.name] = known
            serving[row.name] = known
        self._serving = serving
        self._ejector.update_pool(list(serving), self.min_available)
        for name, executor in tuple(self._executors.items()):
            if name not in serving and executor.in_flight == 0:
                del self._executors[name]
        self.refresh(now)

    def update_shares(
        self,
        own_name: str,
        live_daemons: Iterable[str],
        reports: Iterable[IdleReport],
        now: float,
    ) -> None:
        """Recompute the limit of each executor from the slot share."""
        limits = self._share.limits(
            self.executors, own_name, live_daemons, reports, now
        )
        for name, executor in self._serving.items():
            executor.limit = limits.get(name, 0)
        self._count_slots()

    def refresh_if_due(self, now: float) -> None:
        """Rebuild the list of usable executors if it is too old."""
        if now - self._refreshed_at >= REFRESH_S:
            self.refresh(now)

    def refresh(self, now: float) -> None:
        """Rebuild the list of usable executors."""
        self._refreshed_at = now
        self._decay_failures(now)
        usable: list[Executor] = []
        probes: set[str] = set()
        for name, executor in self._serving.items():
            leaving = self._leaving.is_leaving(name, now)
            ejected = self._ejector.is_ejected(name, now)
            if not leaving and not ejected:
                usable.append(executor)
                continue
            if leaving and not self._leaving.probe_allowed(name, now):
                continue
            if ejected and not self._ejector.probe_allowed(name, now):
                continue
            if executor.in_flight == 0:
                probes.add(name)
        self._usable = usable
        self._probes = probes
        self._count_slots()

    def _decay_failures(self, now: float) -> None:
        """Decay the failure rates by the time since the last call."""
        factor = 0.5 ** (
            max(0.0, now - self._decayed_at) / FAILURE_HALF_LIFE_S
        )
        self._decayed_at = now
        for executor in self._serving.values():
            executor.failure_rate *= factor
            if executor.failure_rate < NEGLIGIBLE_FAILURE_RATE:
                executor.failure_rate = 0.0

    def choose(
        self, exclude: frozenset[str], may_probe: bool, now: float
    ) -> Executor | None:
        """Occupy a slot of an executor; return None if none is free.

        `may_probe` allows the request to probe a leaving or ejected host.  If
        all hosts are leaving or ejected, any request may probe: otherwise a
        pool whose requests can't be repeated would never recover.
        """
        if self._probes and (may_probe or not self._usable):
            name = self._probes.pop()
            if name not in exclude:
                executor = self._serving[name]
                if self._leaving.is_leaving(name, now):
                    self._leaving.start_probe(name, now)
                if self._ejector.is_ejected(name, now):
                    self._ejector.start_probe(name, now)
                executor.in_flight += 1
                return executor
        chosen = self._choice(self._usable, self._rng, exclude)
        if chosen is None and exclude:
            chosen = self._choice(self._usable, self._rng, frozenset())
        if chosen is not None:
            chosen.in_flight += 1
        return chosen

    def _count_slots(self) -> None:
        """Compute the sum of the limits of the usable executors."""
        self._usable_slots = sum(each.limit for each in self._usable)

    def release(self, executor: Executor) -> None:
        """Release a slot of an executor."""
        executor.in_flight -= 1
        if executor.in_flight > 0 or executor.name in self._serving:
            return
        if self._executors.get(executor.name) is executor:
            del self._executors[executor.name]

    def record_end(
        self,
        executor: Executor,
        job_key: str,
        ok: bool,
        closing: bool,
        latency_s: float,
        now: float,
    ) -> None:
        """Record the end of a request that was sent to the executor."""
        executor.record(ok, latency_s)
        name = executor.name
        was_ejected = self._ejector.is_ejected(name, now)
        self._ejector.record(name, executor.rack, job_key, ok, latency_s, now)
        was_leaving = self._leaving.is_leaving(name, now)
        if ok:
            self._leaving.record_success(name, now, closing)
        if closing and not self._leaving.is_leaving(name, now):
            self._leaving.record_sign(name, LeavingSign.CLOSING, now)
        if (
            closing
            or was_leaving
            or was_ejected != self._ejector.is_ejected(name, now)
        ):
            self.refresh(now)

    def record_refusal(
        self, executor: Executor, closing: bool, now: float
    ) -> None:
        """Record that an executor rejected a request without running it."""
        self._share.record_refusal(executor.name, now)
        if closing:
            self._leaving.record_sign(
                executor.name, LeavingSign.REFUSED_CLOSING, now
            )
        self.refresh(now)

    def record_unreachable(self, executor: Executor, now: float) -> None:
        """Record that the connection to an executor failed."""
        self._leaving.record_sign(
            executor.name, LeavingSign.CONNECT_FAILED, now
        )
        self.refresh(now)
