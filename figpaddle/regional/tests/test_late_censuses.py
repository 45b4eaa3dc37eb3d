"""What a cold backend server gets from entries whose counts of each other differ in age."""

from __future__ import annotations

import pytest

from figpaddle.regional.tests.test_shared_limits import APART_S, MAX_COLD_PER_S, Region

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


# Guards FAILBACK of landing 6 (docs/incidents/2026-12-cold-server-flooded-after-a-zone-start.md).
@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(("entries", "left"), [(2, 1), (3, 1)])
async def test_entries_that_join_while_another_hears_nobody_flood_no_cold_backend_server(
    entries: int, left: int, seed: int
) -> None:
    """Those that are left divide by the number before; the others start after they were forgotten."""
    region = Region(entries, seed=seed)
    region.kill(*region.names[left:])
    await region.network.run(APART_S)
    region.sent.clear()
    deaf = set(region.names[:left])
    region.network.blocks = lambda sender, receiver: (sender in deaf) != (receiver in deaf)
    region.start(*region.names[left:])
    await region.network.run(2.0)
    region.network.blocks = lambda sender, receiver: False
    await region.network.run(4.0)
    assert region.max_per_second() <= MAX_COLD_PER_S
