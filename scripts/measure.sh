#!/usr/bin/env bash
# Runs one measurement and prints name=value lines: scripts/measure.sh path|control|requests|...
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
name=${1:?specify a measurement: $(ls scripts | sed -n 's/^measure_\(.*\)\.py$/\1/p' | tr '\n' ' ')}
shift
PYTHONPATH=. exec .venv/bin/python "scripts/measure_$name.py" "$@"
