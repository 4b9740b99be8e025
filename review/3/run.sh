#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
# run.  TROUBLE=0 leaves the disruption out.  What was sent, answered and run
# is written to record.txt, beside this file.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
exec python3 case.py
