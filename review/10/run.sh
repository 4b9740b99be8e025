#!/bin/sh
# Plays the case; without the disruption if TROUBLE=0 is set.  Writes what was
# sent, answered and run to record.txt.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
