"""An entry explains where it would send a request, and nothing changes by the question."""

from __future__ import annotations

import copy
import dataclasses
from types import SimpleNamespace
from typing import Any

import pytest

from figpaddle.deployment import Workspace, WorkspaceQuota
from figpaddle.regional._placer import Placer
from figpaddle.regional._quota_client import QuotaOutlook
from figpaddle.regional._request_context import RequestContext
from figpaddle.regional._request_explanation import MAX_LISTED, RequestExplainer
from figpaddle.regional.tests.test_cut_off_placement import START_S, request, server_record
from figpaddle.regional.tests.test_offers import placer_in_contact
from figpaddle.routing import BackendReport

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def explained(
    placer: Placer, context: RequestContext, *, quota: QuotaOutlook | None = None
) -> dict[str, Any]:
    """Return the explanation for a request that the gateway has accepted."""
    gateway = SimpleNamespace(
        accept=lambda request, caller, rng: copy.copy(context),
        accepts=True,
        max_wait_s=lambda context: context.max_wait_s,
        outlasting=lambda context, choice: None,
    )
    unused: Any = None
    explainer = RequestExplainer(
        settings=placer._settings,
        dialect=SimpleNamespace(read_request=lambda request: context.caller),  # type: ignore[arg-type]
        follower=placer._follower,
        gateway=gateway,  # type: ignore[arg-type]
        placer=placer,
        quotas=SimpleNamespace(outlook=lambda context: quota),  # type: ignore[arg-type]
        quarantine=SimpleNamespace(  # type: ignore[arg-type]
            confine=lambda context: None, refusal=lambda traits: None
        ),
        clock=lambda: START_S,
    )
    return explainer.explain(unused)


def home_request() -> RequestContext:
    new = request(home_regions=("north",))
    new.service = dataclasses.replace(
        new.service, is_model=True, memory_tokens=100_000, max_connections=100
    )
    new.caller = dataclasses.replace(new.caller, prompt_tokens=4000, output_tokens=100)
    return new


def noted(placer: Placer) -> dict[str, Any]:
    """Return what a placement may leave behind in a placer."""
    return {
        "dump": placer.dump(),
        "random": placer._rng.getstate(),
        "trackers": set(placer._trackers),
        "asked for": dict(placer._warmth_wanted_at),
        "turns": copy.deepcopy(vars(placer._named_limits)),
        "census": copy.copy(vars(placer._region_entries._census)),
        "subsets": dict(placer._subsets),
        "evacuated": set(placer._last_evacuated),
        "fleet": copy.deepcopy(placer.fleet.backends()),
    }


@pytest.mark.parametrize("state", ["usual", "limited", "cold", "zone returned"])
async def test_an_explanation_leaves_no_trace(state: str) -> None:
    placer = await placer_in_contact(servers=3)
    if state == "limited":
        placer._named_limits.note_stated("i-1", 1000.0, born=1, now=START_S)
        entries = placer._region_entries
        entries._shares = dataclasses.replace(entries.shares(now=START_S), settled=True)
    elif state == "cold":
        placer.fleet.apply(server_record(3, warmup_s=9.0), now=START_S)
    elif state == "zone returned":
        placer._last_evacuated = {"north-a"}
    before = noted(placer)
    # A dump looks at the trackers of all servers, and so makes those that are missing.
    placer._trackers.clear()
    explained(placer, home_request())
    assert not placer._trackers
    assert noted(placer) == before


async def test_an_explanation_names_the_place_that_a_request_gets() -> None:
    placer = await placer_in_contact(servers=3)
    for number, running in enumerate((4, 1, 4)):
        report = BackendReport(running=running, waiting=0, slots=4)
        placer.tracker_of(f"i-{number}").note_backend_report(report, now=START_S)
    document = explained(placer, home_request())
    choice = placer.place(home_request())
    assert choice is not None and choice.backend is not None
    assert document["outcome"]["place"] == choice.backend.name == "i-1"
    assert document["outcome"]["expected_s"] == pytest.approx(choice.expected_s, abs=1e-3)
    assert [item["name"] for item in document["backends"]][0] == "i-1"
    for item in document["backends"]:
        assert sum(item["parts"].values()) == pytest.approx(item["score"], abs=0.01)


async def test_an_explanation_says_which_limit_keeps_a_server_from_a_request() -> None:
    placer = await placer_in_contact(servers=4)
    placer._named_limits.note_stated("i-1", 0.0, born=1, now=START_S)
    placer.fleet.note_pause("i-2", 5.0, born=1, now=START_S)
    placer.fleet.note_leaving("i-3", born=1)
    document = explained(placer, home_request())
    assert document["obstacles"] == {"i-1": "limited", "i-2": "pausing", "i-3": "leaving"}
    assert [item["name"] for item in document["backends"]] == ["i-0"]
    placer.fleet.note_unreachable("i-0", now=START_S)
    outcome = explained(placer, home_request())["outcome"]
    assert (outcome["kind"], outcome["status"]) == ("refusal", 503) and outcome["retry_after_s"] > 0


@pytest.mark.parametrize(
    ("available", "refill_s", "holder", "expected"),
    [
        (1.0, None, "m-1", ("backend server", None)),
        (0.0, None, "m-1", ("backend server", None)),
        (0.0, 0.2, "m-1", ("refusal", 429)),
        (0.0, None, None, ("refusal", 503)),
    ],
)
async def test_an_explanation_says_what_the_quota_leaves(
    available: float, refill_s: float | None, holder: str | None, expected: tuple[str, int | None]
) -> None:
    new = home_request()
    new.workspace = Workspace(name="desk", quota=WorkspaceQuota(per_s=1.0, burst=1.0))
    quota = QuotaOutlook(cost=1.0, available=available, refill_s=refill_s, holder=holder)
    outcome = explained(await placer_in_contact(servers=1), new, quota=quota)["outcome"]
    assert (outcome["kind"], outcome.get("status")) == expected
    assert ("m-1" in outcome["reason"]) == (expected[0] == "backend server" and not available)


async def test_an_explanation_has_a_bounded_size() -> None:
    placer = await placer_in_contact(servers=0)
    for number in range(3 * MAX_LISTED):
        record = dataclasses.replace(server_record(1, warmup_s=0.0), name=f"s-{number}")
        record = dataclasses.replace(record, address=f"10.4.0.{number % 250 + 1}:{80 + number}")
        placer.fleet.apply(record, now=START_S)
        if number % 2:
            placer.fleet.note_leaving(record.name, born=1)
    document = explained(placer, home_request())
    assert len(document["backends"]) == len(document["obstacles"]) == MAX_LISTED
    assert document["backends_total"] + document["obstacles_total"] == 3 * MAX_LISTED


async def test_a_late_request_is_explained_as_refused() -> None:
    placer = await placer_in_contact(servers=1)
    report = BackendReport(running=4, waiting=400, slots=4)
    placer.tracker_of("i-0").note_backend_report(report, now=START_S)
    outcome = explained(placer, home_request())["outcome"]
    assert (outcome["kind"], outcome["reason"]) == ("refusal", "late")
    assert outcome["wait_s"] > home_request().max_wait_s
