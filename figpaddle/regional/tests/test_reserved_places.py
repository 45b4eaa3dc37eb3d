"""The place of the next attempt is reserved before the present one is given up."""

from __future__ import annotations

import dataclasses
from types import SimpleNamespace
from typing import Any

import pytest

from figpaddle.regional._attempts import AttemptRunner
from figpaddle.regional._placer import Placer
from figpaddle.regional._request_context import RequestContext
from figpaddle.regional.tests.test_cut_off_placement import START_S, cut_off_placer, request
from figpaddle.routing import ALIVE_S, Choice
from figpaddle.telemetry import MetricsRegistry

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def placer_in_contact(*, servers: int) -> Placer:
    """Return the placer of an entry that reaches its backend servers."""
    placer = await cut_off_placer(warmups_s=(0.0,) * servers)
    placer.contact.note_check(servers=(), reached=True, now=START_S)
    return placer


def silent_request(name: str, *, tried: str = "i-0") -> RequestContext:
    """Return a request of the region that has been sent to one backend server."""
    context = request()
    context.caller = dataclasses.replace(context.caller, request_id=name)
    context.route = dataclasses.replace(context.route, home_regions=("north",))
    context.attempt, context.attempts_left = 1, 3
    context.backends_tried = {tried}
    return context


def chosen(choice: Choice | None) -> str:
    assert choice is not None and choice.backend is not None
    return choice.backend.name


def may_abandon(
    placer: Placer, context: RequestContext, *, suspect: bytes | None = None, metrics: Any = None
) -> bool:
    """Return whether a request whose server has been silent for long may be given up."""
    unused: Any = None
    quarantine: Any = SimpleNamespace(
        refuses_retry=lambda traits: False, suspect_digest=lambda traits: suspect
    )
    runner = AttemptRunner(
        settings=unused,
        dialect=unused,
        mesh=unused,
        placer=placer,
        pool=unused,
        quarantine=quarantine,
        streams=unused,
        take_retry=lambda _: True,
        may_begin=lambda *_: True,
        clock=lambda: START_S,
        boot_clock=lambda: 0.0,
        log=unused,
        metrics=metrics or MetricsRegistry(),
    )
    present = placer.place(context)
    assert present is not None
    responder: Any = SimpleNamespace(started=bool(context.last_event))
    return runner._may_abandon(context, present, responder, START_S - 5.0)


async def test_a_reservation_that_is_not_used_leaves_no_request_in_progress() -> None:
    placer = await placer_in_contact(servers=2)
    context = silent_request("a")
    assert may_abandon(placer, context)
    assert context.reserved is not None
    tracker = placer.tracker_of(chosen(context.reserved.choice))
    assert tracker.local_requests == 1
    # The attempt may have begun when its caller leaves.
    context.attempt += 1
    placer.cancel_reservation(context)
    assert not tracker.local_requests


async def test_a_server_with_a_request_that_was_just_sent_is_not_taken_for_silent() -> None:
    placer = await placer_in_contact(servers=2)
    first, second = silent_request("a"), silent_request("b")
    choice = placer.place_again(first, silent_s=ALIVE_S)
    assert choice is not None and chosen(choice) == "i-1"
    placer.reserve(first, choice)
    assert chosen(placer.place_again(second, silent_s=ALIVE_S)) == "i-1"


async def test_a_request_that_has_become_suspect_is_confined_when_it_is_given_up() -> None:
    # Guards against a second crash at a server that other requests with its digest don't go to.
    placer = await placer_in_contact(servers=4)
    context = silent_request("c")
    digest = context.traits.fingerprint
    assert may_abandon(placer, context, suspect=digest)
    assert context.confined_by == digest


async def test_a_stream_that_goes_on_is_not_held_to_the_time_of_a_whole_answer() -> None:
    placer = await placer_in_contact(servers=2)
    context = silent_request("d")
    context.last_event, context.goes_on = "700", True
    context.caller = dataclasses.replace(context.caller, output_tokens=2000)
    assert may_abandon(placer, context)
