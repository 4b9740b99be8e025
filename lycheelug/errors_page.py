"""Writes docs/operators/errors.md from the error codes.

Run with `python -m lycheelug.errors_page > docs/operators/errors.md`; a test
compares the page with what this module writes.
"""

from __future__ import annotations

import sys
from typing import Final

from lycheelug.errors import CODES

__all__ = ["render_page"]

HEAD: Final = """\
# Errors by code

The code stands in `Lycheelug-Reason`, in the problem, in counters and in log
lines. Whether the request was run is told by its outcome, not by the
code. This page is written by `python -m lycheelug.errors_page`.

| code | status | meaning |
| --- | --- | --- |
"""


def render_page() -> str:
    """Return the page."""
    lines = [HEAD]
    for name, code in sorted(CODES.items()):
        lines.append(f"| `{name}` | {code.status} | {code.text} |\n")
    return "".join(lines)


if __name__ == "__main__":
    sys.stdout.write(render_page())
