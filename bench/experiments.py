"""Runs the seeded experiments and writes their pages under docs/.

`python -m bench.experiments` runs every experiment that a module
`bench/experiments_*.py` registers, or only those named as arguments.
"""

from __future__ import annotations

import importlib
import pkgutil
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING, Final

import bench
from bench.experiment_registry import EXPERIMENTS

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["main"]

ROOT: Final = Path(__file__).resolve().parent.parent
MODULE_PREFIX: Final = "experiments_"


def main(names: Sequence[str]) -> None:
    """Run the named experiments, or all, and write their pages."""
    for module in pkgutil.iter_modules(bench.__path__):
        if module.name.startswith(MODULE_PREFIX):
            importlib.import_module(f"bench.{module.name}")
    for name in names or list(EXPERIMENTS):
        started = time.monotonic()
        page = EXPERIMENTS.get(name)()
        (ROOT / page.path).write_text(page.text, encoding="utf-8")
        duration_s = time.monotonic() - started
        print(f"{name}: {page.path} in {duration_s:.0f} s", flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
