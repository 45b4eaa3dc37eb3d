#!/usr/bin/env bash
# Runs the tests with four workers, each a file at a time; arguments are passed to pytest.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
PYTHONPATH=. exec .venv/bin/python -m pytest -n 4 --dist loadfile "$@"
