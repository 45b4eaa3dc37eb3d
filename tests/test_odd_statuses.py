"""An answer with a status outside the protocol reaches no caller, also over another region's entry."""

from __future__ import annotations

import anyio
import pytest

from tests.platform_standin import PLAIN_SERVICE, platform_deployment

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_a_status_outside_the_protocol_is_no_answer_to_a_caller() -> None:
    async with platform_deployment(engines=False) as platform:
        engine = await platform.add_engine(PLAIN_SERVICE, "n-a", failure="999")
        await anyio.sleep(1.0)
        for entry in ("m-4", "m-6"):
            ran = len(engine.executed)
            _, reply = await platform.send_request(entry, "/read/1")
            assert reply.status in (502, 503, 504) and reply.body != b"odd", (entry, reply)
            assert len(engine.executed) > ran, entry
