#!/usr/bin/env bash
# Scores the standard test scenarios of each site, which the benchmark calls days, and prints the
# table of days, scores and broken rules. BENCH is the external benchmark program, WHY the value of
# its option --why.
# Usage: scripts/score_sites.sh BENCH WHY SITE...
set -euo pipefail
cd "$(dirname "$0")/.."
bench=$1 why=$2
shift 2
for site in "$@"; do
  "$bench" score "$site" --jobs "${JOBS:-4}" --why "$why" | sed -n '/^day  /,$p'
done
