"""Rows of docs/PROOFS.md that scripts/check_proofs.py must accept or reject."""

from __future__ import annotations

import pytest

from scripts.check_proofs import check_row

PASSING = {"tests/test_one.py::test_passes"}
KNOWN_RED = {"tests/test_one.py::test_fails"}


def proof_row(test: str, verdict: str) -> list[str]:
    return ["a statement", f"`{test}`", "kill -9", "abc1234: a mutation", verdict]


def test_passing_test_proves() -> None:
    assert (
        check_row(proof_row("tests/test_one.py::test_passes", "proved"), PASSING, KNOWN_RED) == []
    )


def test_known_red_test_exists_but_proves_nothing() -> None:
    name = "tests/test_one.py::test_fails"
    assert check_row(proof_row(name, "partly: red now and then"), PASSING, KNOWN_RED) == []
    assert check_row(proof_row(name, "proved"), PASSING, KNOWN_RED) == [
        "a statement: proved by a test that is known to be red"
    ]


@pytest.mark.parametrize("verdict", ["proved", "partly: no mutation kept"])
def test_test_that_does_not_exist_is_a_fault(verdict: str) -> None:
    faults = check_row(proof_row("tests/test_one.py::test_renamed", verdict), PASSING, KNOWN_RED)
    assert faults == ["a statement: no such test tests/test_one.py::test_renamed"]
