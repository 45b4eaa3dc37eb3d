#!/usr/bin/env bash
# The test command; arguments are passed on to pytest. Four files of tests run at once.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
PYTHONPATH=. exec .venv/bin/python -m pytest -n 4 --dist loadfile "$@"
