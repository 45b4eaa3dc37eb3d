"""Checks that every test named in docs/PROOFS.md exists and that every row has a verdict.

A row of the tables is ``| statement | proof | fault | seen red | verdict |``. The proof holds test
ids between backquotes; the verdict is ``proved``, ``partly`` or ``unproved``, and the last two
require a reason after a colon. A test that KNOWN-RED.txt lists may be named, but isn't a proof.
"""

from __future__ import annotations

import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
VERDICTS = ("proved", "partly", "unproved")
COLUMNS = 5
#: Exit code of pytest if no test was selected.
NO_TESTS_EXIT_CODE = 5


def collect_test_ids(*options: str) -> set[str]:
    """Return the ids of the tests that pytest selects with ``options``, without their parameters."""
    command = [sys.executable, "-m", "pytest", "--collect-only", *options]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    if result.returncode not in (0, NO_TESTS_EXIT_CODE):
        raise SystemExit(result.stdout + result.stderr)
    lines = [line for line in result.stdout.splitlines() if not line.startswith("known red: ")]
    return {line.split("[")[0].strip() for line in lines if "::" in line}


def read_rows() -> list[list[str]]:
    """Return the cells of each row of the tables."""
    text = (ROOT / "docs" / "PROOFS.md").read_text(encoding="utf-8")
    lines = [line for line in text.splitlines() if line.startswith("| ")]
    cells = [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]
    return [row for row in cells if row[0] not in ("statement",) and not set(row[0]) <= set("- ")]


def check_row(row: list[str], tests: set[str], red: set[str]) -> list[str]:
    """Return what is wrong with one row, given the ids of the tests and of those known to fail."""
    if len(row) != COLUMNS:
        return [f"{row[0]}: {len(row)} cells instead of {COLUMNS}"]
    statement, proof, _, seen_red, verdict = row
    named_tests = re.findall(r"`([^`]+::[^`]+)`", proof)
    faults = [
        f"{statement}: no such test {name}" for name in named_tests if name not in tests | red
    ]
    verdict_name = verdict.split(":")[0].strip()
    if verdict_name not in VERDICTS:
        faults.append(f"{statement}: the verdict is none of {', '.join(VERDICTS)}")
    if verdict_name == "proved" and any(name in red for name in named_tests):
        faults.append(f"{statement}: proved by a test that is known to be red")
    if verdict_name == "proved" and (not named_tests or not seen_red):
        faults.append(f"{statement}: proved without a test that was seen red")
    if verdict_name != "proved" and ":" not in verdict:
        faults.append(f"{statement}: {verdict_name} without a reason")
    return faults


def main() -> None:
    """Check every row."""
    tests, red = collect_test_ids(), collect_test_ids("--known-red")
    rows = read_rows()
    faults = [fault for row in rows for fault in check_row(row, tests, red)]
    for fault in faults:
        print(f"docs/PROOFS.md: {fault}", file=sys.stderr)
    if faults or not rows:
        sys.exit(1)
    print(f"docs/PROOFS.md: {len(rows)} rows, every named test exists")


if __name__ == "__main__":
    main()
