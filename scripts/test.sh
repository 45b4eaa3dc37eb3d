#!/usr/bin/env bash
# Runs the tests with six workers, each a file at a time; arguments are passed to pytest.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
PYTHONPATH=. exec .venv/bin/python -m pytest -n 6 --dist loadfile "$@"
