#!/usr/bin/env bash
# Plays the standard days of deployments and prints the table of each: day, worth, broken rules.
# Usage: scripts/score_sites.sh BENCH WHY SITE...   (the bench and the site files lie outside)
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 why=$2
shift 2
for site in "$@"; do
  "$bench" score "$site" --jobs "${JOBS:-4}" --why "$why" | sed -n '/^day  /,$p'
done
