#!/usr/bin/env bash
# The stand-ins are plain Python without dependencies; this compiles them, which shows that they are whole.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common ./*/*.py
