"""Fails when docs/PROOFS.md names a test that is not collected, or leaves a row without a verdict.

A row of the tables is ``| statement | proof | fault | seen red | verdict |``. The proof holds test
ids between backquotes; the verdict is ``proved``, ``partly`` or ``unproved`` and the last two give
a reason in the row.
"""

from __future__ import annotations

import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
VERDICTS = ("proved", "partly", "unproved")
COLUMNS = 5


def collected() -> set[str]:
    """Return the ids of all tests, without their parameters."""
    command = [sys.executable, "-m", "pytest", "--collect-only"]
    output = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True).stdout
    return {line.split("[")[0].strip() for line in output.splitlines() if "::" in line}


def rows() -> list[list[str]]:
    """Return the cells of each row of the tables."""
    text = (ROOT / "docs" / "PROOFS.md").read_text(encoding="utf-8")
    lines = [line for line in text.splitlines() if line.startswith("| ")]
    cells = [[cell.strip() for cell in line.strip("|").split("|")] for line in lines]
    return [row for row in cells if row[0] not in ("statement",) and not set(row[0]) <= set("- ")]


def faults_of(row: list[str], tests: set[str]) -> list[str]:
    """Return what is wrong with one row."""
    if len(row) != COLUMNS:
        return [f"{row[0]}: {len(row)} cells instead of {COLUMNS}"]
    statement, proof, _, red, verdict = row
    named = re.findall(r"`([^`]+::[^`]+)`", proof)
    faults = [f"{statement}: no such test {name}" for name in named if name not in tests]
    word = verdict.split(":")[0].strip()
    if word not in VERDICTS:
        faults.append(f"{statement}: the verdict is none of {', '.join(VERDICTS)}")
    if word == "proved" and (not named or not red):
        faults.append(f"{statement}: proved without a test that was seen red")
    if word != "proved" and ":" not in verdict:
        faults.append(f"{statement}: {word} without a reason")
    return faults


def main() -> None:
    """Check every row."""
    tests = collected()
    table = rows()
    faults = [fault for row in table for fault in faults_of(row, tests)]
    for fault in faults:
        print(f"docs/PROOFS.md: {fault}", file=sys.stderr)
    if faults or not table:
        sys.exit(1)
    print(f"docs/PROOFS.md: {len(table)} rows, every named test is collected")


if __name__ == "__main__":
    main()
