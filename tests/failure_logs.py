"""Keeps the logs of the processes of tests that fail."""

from __future__ import annotations

import os
import pathlib
import re
import shutil

FOLDER = pathlib.Path(__file__).parent.parent / "target" / "failed"
#: Ids of the tests of this process that have failed.
_failed: set[str] = set()


def note_failure(test: str) -> None:
    """Record that a test has failed; the logs that its fixtures hand over later are kept."""
    _failed.add(test)


def keep_logs(folder: pathlib.Path, *, raised: bool) -> None:
    """Copy the logs in ``folder`` to target/failed if the present test failed.

    ``raised`` says that an exception ends the test inside the block that runs the processes.
    """
    test = os.environ.get("PYTEST_CURRENT_TEST", "").rpartition(" ")[0]
    if not test or not (raised or test in _failed):
        return
    name = re.sub(r"[^\w.-]+", "_", test.rpartition("/")[2])
    kept = FOLDER / f"{name}-{os.getpid()}"
    kept.mkdir(parents=True, exist_ok=True)
    for path in folder.glob("*.log"):
        shutil.copy(path, kept)
    print(f"logs of {test}: {kept}")
