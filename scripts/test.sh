#!/usr/bin/env bash
# The test command; arguments are passed on to pytest.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
PYTHONPATH=. exec .venv/bin/python -m pytest "$@"
