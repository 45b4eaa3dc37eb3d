#!/usr/bin/env bash
# Creates the virtual environment for the other scripts, unless it is up to date.
set -euo pipefail
cd "$(dirname "$0")/.."
stamp=.venv/requirements.stamp
if [ ! -f "$stamp" ] || ! cmp -s "$stamp" requirements-dev.txt; then
  python3 -m venv .venv
  .venv/bin/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
  cp requirements-dev.txt "$stamp"
fi
