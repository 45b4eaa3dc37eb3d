#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10: plain Python without dependencies, which is compiled to show that it is whole.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q harness_2
for case in 6 7 8 9 10; do
  [ ! -d "$case" ] || python3 -m compileall -q "$case"
done
