"""The topology, pools and workload of the deployments that traces model."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.registry import Registry
from lycheelug.requests import RequestClass

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["DEPLOYMENTS", "ClassMix", "Deployment", "PoolMix"]

URGENT: Final = RequestClass.URGENT
SHORT: Final = RequestClass.SHORT
LONG: Final = RequestClass.LONG


class ClassMix:
    """The share, run times and deadlines of one class of a pool's work.

    Deadlines are distributed uniformly between the two bounds.  Without
    bounds, requests have no deadline.
    """

    __slots__ = (
        "deadline_from_s",
        "deadline_to_s",
        "request_class",
        "run_mean_s",
        "run_sigma",
        "work_share",
    )

    def __init__(
        self,
        request_class: RequestClass,
        work_share: float,
        run_mean_s: float,
        run_sigma: float,
        deadline_from_s: float | None = None,
        deadline_to_s: float | None = None,
    ) -> None:
        self.request_class = request_class
        # Share of the pool's slot-seconds.
        self.work_share = work_share
        self.run_mean_s = run_mean_s
        self.run_sigma = run_sigma
        self.deadline_from_s = deadline_from_s
        self.deadline_to_s = deadline_to_s


class PoolMix:
    """The workload of a pool: mean load as a share of slots, and classes."""

    __slots__ = ("classes", "load", "name", "repeatable_share")

    def __init__(
        self,
        name: str,
        load: float,
        repeatable_share: float,
        classes: Sequence[ClassMix],
    ) -> None:
        self.name = name
        self.load = load
        self.repeatable_share = repeatable_share
        self.classes = tuple(classes)


class Deployment:
    """The zones, pools and number of tenants of one user's fleet."""

    __slots__ = ("executors", "name", "pools", "tenants", "zones")

    def __init__(
        self,
        name: str,
        zones: Sequence[str],
        executors: int,
        tenants: int,
        pools: Sequence[PoolMix],
    ) -> None:
        self.name = name
        self.zones = tuple(zones)
        # Number of executors of each pool.
        self.executors = executors
        self.tenants = tenants
        self.pools = tuple(pools)


# Deployments by name.
DEPLOYMENTS: Final[Registry[Deployment]] = Registry("deployment")


def _urgent(share: float, run_mean_s: float) -> ClassMix:
    return ClassMix(URGENT, share, run_mean_s, 0.6, 4.0, 8.0)


def _short(share: float, run_mean_s: float) -> ClassMix:
    return ClassMix(SHORT, share, run_mean_s, 0.8, 2.0, 10.0)


def _long(share: float, run_mean_s: float) -> ClassMix:
    return ClassMix(LONG, share, run_mean_s, 0.7)


DEPLOYMENTS.register("guild")(
    Deployment(
        name="guild",
        zones=("chaguanas", "san-fernando", "arima", "piarco"),
        executors=8,
        tenants=42,
        pools=(
            PoolMix(
                "quotes", 0.40, 0.9, [_urgent(0.6, 0.4), _short(0.4, 0.5)]
            ),
            PoolMix(
                "tooling",
                0.45,
                0.8,
                [_urgent(0.1, 0.5), _short(0.5, 0.8), _long(0.4, 8.0)],
            ),
            PoolMix(
                "sheet-stores", 0.35, 0.9, [_short(0.7, 0.6), _long(0.3, 6.0)]
            ),
            PoolMix(
                "bookings", 0.40, 0.5, [_urgent(0.3, 0.4), _short(0.7, 0.7)]
            ),
            PoolMix("spare", 0.25, 0.9, [_short(0.3, 0.6), _long(0.7, 10.0)]),
        ),
    )
)
DEPLOYMENTS.register("calo")(
    Deployment(
        name="calo",
        zones=("palermo", "catania", "messina"),
        executors=6,
        tenants=24,
        pools=(
            PoolMix(
                "orders", 0.40, 0.9, [_urgent(0.5, 0.4), _short(0.5, 0.6)]
            ),
            PoolMix(
                "chips-and-gates",
                0.45,
                0.6,
                [_urgent(0.3, 0.5), _short(0.4, 0.8), _long(0.3, 8.0)],
            ),
            PoolMix(
                "reprints",
                0.40,
                0.4,
                [_urgent(0.2, 0.8), _short(0.4, 1.2), _long(0.4, 12.0)],
            ),
            PoolMix(
                "press-room", 0.35, 0.2, [_short(0.5, 1.0), _long(0.5, 12.0)]
            ),
            PoolMix(
                "accounts", 0.25, 0.9, [_short(0.3, 0.6), _long(0.7, 8.0)]
            ),
        ),
    )
)
