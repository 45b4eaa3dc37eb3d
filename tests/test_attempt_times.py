"""What an entry assumes of the time of an attempt before it has measured any."""

from __future__ import annotations

import dataclasses
import math
from typing import Any, cast

import pytest

from figpaddle.deployment import Repeat
from figpaddle.regional._attempt_factory import kind_of
from figpaddle.regional._attempts import AttemptRunner
from figpaddle.regional._offer_times import ROUND_TRIP_S
from figpaddle.regional._request_context import RequestContext
from figpaddle.routing import Choice, FleetBackend, assumed_answer_s
from tests.scripted_exchange import new_context

pytestmark = pytest.mark.anyio

OUTPUT_TOKENS = 80
FORWARDED = Choice(backend=None, region="south", expected_s=0.1, wait_s=0.0, prefill=0.0, score=0.1)
AT_BACKEND = Choice(
    backend=cast(FleetBackend, object()),
    region="",
    expected_s=0.1,
    wait_s=0.0,
    prefill=0.0,
    score=0.1,
)
#: How long the answers of the two kinds take, seconds.
SHORT_S, LONG_S = 0.02, 2.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def new_runner() -> AttemptRunner:
    """Return the attempts of an entry that has measured nothing."""
    unused: Any = None
    return AttemptRunner(
        settings=unused,
        dialect=unused,
        mesh=unused,
        placer=unused,
        pool=unused,
        quarantine=unused,
        streams=unused,
        quotas=unused,
        take_retry=lambda *_: None,
        give_retry_back=lambda _: None,
        may_begin=lambda *_: True,
        clock=lambda: 0.0,
        boot_clock=lambda: 0.0,
        log=unused,
        metrics=unused,
    )


@pytest.mark.parametrize(
    ("repeat", "assumes_unmeasured", "expected_s"),
    [
        (Repeat.IDEMPOTENT, True, assumed_answer_s(OUTPUT_TOKENS) + ROUND_TRIP_S),
        (Repeat.IDEMPOTENT, False, math.inf),
        (Repeat.ONCE, True, math.inf),
        (Repeat.ONCE, False, math.inf),
    ],
)
async def test_an_unmeasured_time_is_assumed_by_tokens_if_the_request_may_be_repeated(
    repeat: Repeat, assumes_unmeasured: bool, expected_s: float
) -> None:
    runner = new_runner()
    context = new_context("r1")
    context.caller = dataclasses.replace(context.caller, output_tokens=OUTPUT_TOKENS)
    context.route = dataclasses.replace(context.route, repeat=repeat)
    answer_s = runner.answer_s(context, FORWARDED, assumes_unmeasured=assumes_unmeasured)
    assert answer_s == expected_s


def measure(runner: AttemptRunner, context: RequestContext, *, took_s: float, count: int) -> None:
    """Have an entry measure answers to requests like that in ``context``."""
    for number in range(count):
        runner._answer_times.note_begun(str(number), kind_of(context), now=-took_s)
        runner._answer_times.note_ended(str(number), answered=True, now=0.0)


@pytest.mark.parametrize("repeat", [Repeat.IDEMPOTENT, Repeat.ONCE])
@pytest.mark.parametrize("assumes_unmeasured", [True, False])
async def test_an_entry_counts_on_the_longer_answers_that_the_sender_of_a_request_has_measured(
    repeat: Repeat, assumes_unmeasured: bool
) -> None:
    # Guards against forwarded requests that a stopping entry begins too late, and answers with 502, as the
    # requests before them went to other entries.
    sender, receiver = new_runner(), new_runner()
    context = new_context("r1")
    context.route = dataclasses.replace(context.route, repeat=repeat)
    measure(sender, context, took_s=LONG_S, count=6)
    measure(receiver, context, took_s=SHORT_S, count=6)
    assert receiver.answer_s(context, AT_BACKEND, assumes_unmeasured=assumes_unmeasured) < LONG_S
    stated_s = sender._forwarded._measured_s(context)
    assert stated_s is not None
    context.sender_answer_s = stated_s
    answer_s = receiver.answer_s(context, AT_BACKEND, assumes_unmeasured=assumes_unmeasured)
    assert answer_s >= LONG_S
    # One that has measured none knows the usual time by that, but not the longest one.
    unmeasured_s = new_runner().answer_s(context, AT_BACKEND, assumes_unmeasured=assumes_unmeasured)
    assert unmeasured_s == (math.inf if repeat is Repeat.ONCE else answer_s)


async def test_an_entry_that_has_measured_nothing_states_no_time() -> None:
    assert new_runner()._forwarded._measured_s(new_context("r1")) is None
