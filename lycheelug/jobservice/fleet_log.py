"""Logs what the fleet planner decides besides its calls to the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.logs import log_change

if TYPE_CHECKING:
    from lycheelug.fleetplan import FleetPlanner
    from lycheelug.metrics import Metrics

__all__ = ["FleetLog"]

# The minimum time between two log lines about changed pool sizes.
SIZE_LOG_INTERVAL_S: Final = 1.0


class FleetLog:
    """The log lines of one owner of the fleet plan."""

    __slots__ = ("_metrics", "_sizes", "_sizes_at", "_term")

    def __init__(self, metrics: Metrics, term: int) -> None:
        self._metrics = metrics
        self._term = term
        # The pool sizes that were logged last, and the local time of that.
        self._sizes: dict[str, tuple[int, int]] = {}
        self._sizes_at = 0.0

    def log_withdrawals(self, planner: FleetPlanner) -> None:
        """Log the drain orders that were withdrawn in this round."""
        for call in planner.withdrawals.events:
            order = call.order
            log_change(
                "order-withdrawn",
                host=call.host,
                pool=order.pool,
                target=order.target,
                wave=order.wave,
                number=order.number,
                term=self._term,
                refusals=planner.withdrawals.count(call.host),
            )
            self._metrics.count("orders-withdrawn")
        planner.withdrawals.events.clear()

    def log_sizes(self, planner: FleetPlanner, now: float) -> None:
        """Log the actual and wanted host counts, at most once a second."""
        sizes = planner.sizes()
        if sizes == self._sizes or now - self._sizes_at < SIZE_LOG_INTERVAL_S:
            return
        self._sizes = sizes
        self._sizes_at = now
        fields: dict[str, object] = {"have,wanted": sizes}
        granted = {
            pool: planner.granted[pool]
            for pool, (_, wanted) in sizes.items()
            if planner.granted.get(pool, wanted) < wanted
        }
        if granted:
            fields["granted"] = granted
            self._metrics.count("hosts-short")
        expected = {
            pool: cpu for pool, cpu in planner.expected_cpu.items() if cpu
        }
        if expected:
            fields["expected_millis"] = expected
        log_change("pool-sizes", **fields)
