"""Loans of reading time that other entries leave unused."""

import dataclasses

import pytest

from figpaddle.engine_leases import LeasedRequest
from figpaddle.engine_leases.tests.test_accounts import account, use
from figpaddle.engine_leases.tests.test_lease_exchange import Network

SPEED = 80_000.0
#: Prompt tokens a second that leave streams with 0.05 s between events, who are owed 0.1 s, their pace.
READ_PER_S = (1.0 - 0.05 / 0.09) * SPEED
REVIEW = LeasedRequest(
    service="draft", urgency_class=1, prompt_tokens=9000, events=0, timeout_s=10.0, target_s=1.0
)


@pytest.mark.parametrize("prompt_tokens", [500.0, 40_000.0])
def test_loans_use_what_leases_leave_whatever_a_request_costs(prompt_tokens: float) -> None:
    # Guards against requests that are refused beside leases that nobody uses.
    engine = account()
    engine.grant("e", use(0.0, 0.0), now=2.0)
    lent = sum(
        engine.lend(1, prompt_tokens=prompt_tokens, now=2.0 + step / 100) for step in range(100)
    )
    assert 1 <= lent <= READ_PER_S * 1.5 / prompt_tokens + 1


def test_nothing_is_lent_where_all_is_read_or_as_many_streams_run_as_fit() -> None:
    busy, full = account(), account()
    reading = dataclasses.replace(use(0.0, READ_PER_S), begun_per_s=(0.0, SPEED))
    slow = dataclasses.replace(use(0.0, 0.0, gap_s=0.2), streams=60)
    for step in range(30):
        busy.grant("e", reading, now=2.0 + step / 10)
        full.grant("e", slow, now=2.0 + step / 10)
    assert not busy.lend(1, prompt_tokens=10.0, now=5.0)
    assert not full.lend(0, prompt_tokens=10.0, now=5.0)


@pytest.mark.anyio
@pytest.mark.parametrize("anyio_backend", ["asyncio"])
async def test_a_request_beyond_the_leases_of_its_entry_begins_with_a_loan(
    anyio_backend: str,
) -> None:
    network = Network(1)
    node = network.nodes["e0"]
    network.run(4.0)
    while node.book.may_begin("i", "draft", 1, now=network.now):
        node.book.note_begun("i", "draft", 1, prompt_tokens=9000, now=network.now)
    assert await node.exchange.borrow(REVIEW)
    assert node.book.may_begin("i", "draft", 1, now=network.now)
