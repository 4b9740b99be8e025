"""Arithmetic on amounts of resources, resource by resource; no I/O."""

from __future__ import annotations

from typing import Final

from lycheelug.resources import Resources

__all__ = [
    "NOTHING",
    "is_at_most",
    "larger",
    "limited",
    "scale",
    "smaller",
    "subtract",
    "times",
]

NOTHING: Final = Resources(0, 0, 0)


def is_at_most(first: Resources, second: Resources) -> bool:
    """Return whether an amount is at most another one in each resource."""
    return (
        first[0] <= second[0]
        and first[1] <= second[1]
        and first[2] <= second[2]
    )


def larger(first: Resources, second: Resources) -> Resources:
    """Return the larger amount of each resource.

    >>> larger(Resources(1, 20, 0), Resources(2, 10, 0))
    Resources(cpu_millis=2, memory_mb=20, gpus=0)
    """
    return Resources(
        max(first[0], second[0]),
        max(first[1], second[1]),
        max(first[2], second[2]),
    )


def smaller(first: Resources, second: Resources) -> Resources:
    """Return the smaller amount of each resource."""
    return Resources(
        min(first[0], second[0]),
        min(first[1], second[1]),
        min(first[2], second[2]),
    )


def subtract(first: Resources, second: Resources) -> Resources:
    """Return the difference, which may be negative."""
    return Resources(
        first[0] - second[0], first[1] - second[1], first[2] - second[2]
    )


def times(amount: Resources, count: int) -> Resources:
    """Return a multiple of an amount."""
    return Resources(amount[0] * count, amount[1] * count, amount[2] * count)


def scale(amount: Resources, part: int, whole: int) -> Resources:
    """Return a fraction of an amount, rounded down."""
    return Resources(
        amount[0] * part // whole,
        amount[1] * part // whole,
        amount[2] * part // whole,
    )


def limited(amount: Resources, cap: Resources) -> Resources:
    """Return what an amount has of the resources that a cap limits.

    >>> limited(Resources(4, 16, 1), Resources(8, 0, 2))
    Resources(cpu_millis=4, memory_mb=0, gpus=1)
    """
    return Resources(
        amount[0] if cap[0] else 0,
        amount[1] if cap[1] else 0,
        amount[2] if cap[2] else 0,
    )
