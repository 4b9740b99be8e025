#!/usr/bin/env bash
# Checks that the stand-ins of the cases compile.  They need nothing besides
# the standard library of the Python that the deploy file uses, and nothing
# is installed.
set -eu
cd "$(dirname "$0")"
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
PYTHONPYCACHEPREFIX="$out" python3 -m compileall -q testbed ./*/case.py
