"""Writes the short traces under traces/ and their expected outcomes.

Run as `python -m bench.make_traces`.  The output of one release is always
the same, byte for byte.
"""

from __future__ import annotations

from pathlib import Path
from typing import Final

import msgspec

from lycheelug.replay_report import Expectation
from lycheelug.trace_generator import DEPLOYMENTS, make_trace
from lycheelug.traces import render_trace

__all__ = ["SHORT_DURATION_S", "SHORT_SCALE", "SHORT_SEED", "main"]

ROOT: Final = Path(__file__).resolve().parent.parent
SHORT_SEED: Final = 7
SHORT_DURATION_S: Final = 40.0
SHORT_SCALE: Final = 0.25
# The requirements on scheduling, as bounds on the measures of a replay under
# the default policy.
EXPECTED_OUTCOMES: Final = [
    Expectation("lost", "long work waits its turn without being lost", 0),
    Expectation(
        "urgent_excess",
        "urgent work starts within 2.9 s for all but what no schedule"
        " could start",
        0,
    ),
    Expectation(
        "late_share",
        "late-arriving short work still finishes on time",
        0.03,
    ),
    Expectation(
        "long_wait_max_s", "long work waits its turn", SHORT_DURATION_S
    ),
]


def main() -> None:
    """Write the trace and the expected outcomes of each deployment."""
    for name in DEPLOYMENTS:
        trace = make_trace(
            DEPLOYMENTS.get(name), SHORT_SEED, SHORT_DURATION_S, SHORT_SCALE
        )
        path = ROOT / "traces" / f"{name}.jsonl"
        path.write_bytes(b"".join(render_trace(trace)))
        outcomes = msgspec.json.format(msgspec.json.encode(EXPECTED_OUTCOMES))
        path.with_suffix(".outcomes.json").write_bytes(outcomes + b"\n")


if __name__ == "__main__":
    main()
