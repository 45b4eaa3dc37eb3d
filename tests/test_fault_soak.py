"""Short runs of the fault soak; the longer ones are started by hand."""

from __future__ import annotations

import pathlib

import pytest

from tests.fault_soak import soak

pytestmark = pytest.mark.anyio

#: Seeds of the usual run: between them they play every kind of fault.
SEEDS = (39, 42)
#: Seeds that once failed, each with its cause.
REGRESSIONS: dict[int, str] = {}


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.mark.parametrize("seed", [*SEEDS, *REGRESSIONS])
async def test_no_promise_is_broken_under_overlapping_faults(
    seed: int, tmp_path: pathlib.Path
) -> None:
    found, history = await soak(seed, keep=tmp_path)
    assert not found, (history, found)
