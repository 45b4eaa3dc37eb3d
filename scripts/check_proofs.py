"""Fails when docs/PROOFS.md names a test that doesn't exist, or leaves a row without a verdict.

A row of the tables is ``| statement | proof | fault | seen red | verdict |``. The proof holds test
ids between backquotes; the verdict is ``proved``, ``partly`` or ``unproved`` and the last two give
a reason in the row. A test that KNOWN-RED.txt lists exists, but proves nothing.
"""

from __future__ import annotations

import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
VERDICTS = ("proved", "partly", "unproved")
COLUMNS = 5


#: Exit code of pytest where nothing was selected.
NOTHING_SELECTED = 5


def collected(*options: str) -> set[str]:
    """Return the ids of the tests that pytest selects with ``options``, without parameters."""
    command = [sys.executable, "-m", "pytest", "--collect-only", *options]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    if done.returncode not in (0, NOTHING_SELECTED):
        raise SystemExit(done.stdout + done.stderr)
    lines = [line for line in done.stdout.splitlines() if not line.startswith("known red: ")]
    return {line.split("[")[0].strip() for line in lines if "::" in line}


def rows() -> list[list[str]]:
    """Return the cells of each row of the tables."""
    text = (ROOT / "docs" / "PROOFS.md").read_text(encoding="utf-8")
    lines = [line for line in text.splitlines() if line.startswith("| ")]
    cells = [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]
    return [row for row in cells if row[0] not in ("statement",) and not set(row[0]) <= set("- ")]


def faults_of(row: list[str], tests: set[str], red: set[str]) -> list[str]:
    """Return what is wrong with one row, given the passing tests and those known to be red."""
    if len(row) != COLUMNS:
        return [f"{row[0]}: {len(row)} cells instead of {COLUMNS}"]
    statement, proof, _, seen_red, verdict = row
    named = re.findall(r"`([^`]+::[^`]+)`", proof)
    faults = [f"{statement}: no such test {name}" for name in named if name not in tests | red]
    word = verdict.split(":")[0].strip()
    if word not in VERDICTS:
        faults.append(f"{statement}: the verdict is none of {', '.join(VERDICTS)}")
    if word == "proved" and any(name in red for name in named):
        faults.append(f"{statement}: proved by a test that is known to be red")
    if word == "proved" and (not named or not seen_red):
        faults.append(f"{statement}: proved without a test that was seen red")
    if word != "proved" and ":" not in verdict:
        faults.append(f"{statement}: {word} without a reason")
    return faults


def main() -> None:
    """Check every row."""
    tests, red = collected(), collected("--known-red")
    table = rows()
    faults = [fault for row in table for fault in faults_of(row, tests, red)]
    for fault in faults:
        print(f"docs/PROOFS.md: {fault}", file=sys.stderr)
    if faults or not table:
        sys.exit(1)
    print(f"docs/PROOFS.md: {len(table)} rows, every named test exists")


if __name__ == "__main__":
    main()
