#!/usr/bin/env bash
# Checks the stand-ins of review 3.  They need Python 3.11 and its standard
# library alone, so there is nothing to compile or install.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
for file in review/testbed3/*.py review/1[1-5]/case.py; do
    [ ! -e "$file" ] || python3 -c '
import sys
compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
