"""Defines experiments and the registry that `bench.experiments` runs.

A module `bench/experiments_<subject>.py` registers one or more experiments.
Each returns a page, which `bench.experiments` writes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from lycheelug.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

__all__ = ["EXPERIMENTS", "Page", "markdown_table"]


class Page:
    """A page of results: its path relative to the repository, and text."""

    __slots__ = ("path", "text")

    def __init__(self, path: str, text: str) -> None:
        self.path = path
        self.text = text


# Experiments by name; each runs all of its seeds and returns its page.
EXPERIMENTS: Final[Registry[Callable[[], Page]]] = Registry("experiment")


def markdown_table(
    header: Sequence[str], rows: Sequence[Sequence[str]]
) -> str:
    """Return a table in Markdown.

    >>> print(markdown_table(["policy", "late"], [["fifo", "3"]]))
    | policy | late |
    | --- | --- |
    | fifo | 3 |
    """
    lines = [
        "| " + " | ".join(header) + " |",
        "| " + " | ".join("---" for _ in header) + " |",
    ]
    for row in rows:
        lines.append("| " + " | ".join(row) + " |")
    return "\n".join(lines)
