"""Amounts of resources, shared by workloads and tenants; no I/O."""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Resources", "add_resources"]


class Resources(NamedTuple):
    """An amount of CPU (thousandths of a core), memory (MB) and GPUs."""

    cpu_millis: int
    memory_mb: int
    gpus: int


def add_resources(first: Resources, second: Resources) -> Resources:
    """Return the sum of two amounts.

    >>> add_resources(Resources(1, 2, 0), Resources(10, 20, 1))
    Resources(cpu_millis=11, memory_mb=22, gpus=1)
    """
    return Resources(
        first.cpu_millis + second.cpu_millis,
        first.memory_mb + second.memory_mb,
        first.gpus + second.gpus,
    )
