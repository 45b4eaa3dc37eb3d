#!/usr/bin/env bash
# Sets up the environment and runs the demo: three regions with stand-in backend servers.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
PYTHONPATH=. exec .venv/bin/python scripts/demo.py
