#!/usr/bin/env bash
# The main job on a fresh machine: three regions, stand-in backend servers, real requests.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
PYTHONPATH=. exec .venv/bin/python scripts/demo.py
