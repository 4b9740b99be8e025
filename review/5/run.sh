#!/usr/bin/env bash
cd "$(dirname "$0")" || exit 2
exec python3 case.py
