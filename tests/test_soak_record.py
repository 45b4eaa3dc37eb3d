"""The invariants of a soak run allow for what the test itself observed late, and for no more."""

from __future__ import annotations

import pytest

from tests.platform_standin import PLAIN_SERVICE, Engine
from tests.soak_record import (
    DEADLINE_TOLERANCE_S,
    SCHEDULING_ALLOWANCE_S,
    SoakRecord,
    SoakRequest,
    violations,
)

DEADLINE_S = 1.5
#: When an answer must have come, seconds from the request.
LATEST_S = DEADLINE_S + DEADLINE_TOLERANCE_S + SCHEDULING_ALLOWANCE_S


def record_of_request(*, ended_at: float) -> SoakRecord:
    request = SoakRequest(
        request_id="s1",
        route="read",
        entry="m-4",
        body=b"",
        sent_at=0.0,
        deadline_s=DEADLINE_S,
        ended_at=ended_at,
        outcome="answered",
        status=504,
    )
    return SoakRecord(requests={"s1": request})


@pytest.mark.parametrize(("ended_at", "is_late"), [(LATEST_S, False), (LATEST_S + 0.1, True)])
def test_response_after_the_deadline_is_a_violation(ended_at: float, is_late: bool) -> None:
    assert bool(violations(record_of_request(ended_at=ended_at), [])) is is_late


@pytest.mark.parametrize(("ended_at", "is_late"), [(LATEST_S + 0.9, False), (LATEST_S + 1.1, True)])
def test_time_in_which_the_test_was_late_does_not_count(ended_at: float, is_late: bool) -> None:
    record = record_of_request(ended_at=ended_at)
    record.note_turn(due_at=2.0, now=3.0)
    assert bool(violations(record, [])) is is_late


def test_lateness_outside_a_request_and_short_turns_do_not_count() -> None:
    record = record_of_request(ended_at=LATEST_S + 0.1)
    record.note_turn(due_at=-2.0, now=0.0)
    record.note_turn(due_at=LATEST_S + 0.1, now=LATEST_S + 5.0)
    for turn in range(20):
        record.note_turn(due_at=turn * 0.1, now=turn * 0.1 + 0.04)
    assert violations(record, [])


def test_lateness_counts_only_within_the_asked_time() -> None:
    record = SoakRecord()
    record.note_turn(due_at=1.0, now=2.0)
    record.note_turn(due_at=3.0, now=3.5)
    assert record.late_s(0.0, 10.0) == 1.5
    assert record.late_s(1.75, 3.25) == 0.5


@pytest.mark.parametrize(
    ("status", "seal", "violation"),
    [
        (503, "e", "refused as not run, but ran"),
        (502, "e", "a failure with a seal whose status no engine gave"),
        (502, "", ""),
    ],
)
def test_a_failure_after_a_run_is_neither_a_refusal_nor_of_another_status(
    status: int, seal: str, violation: str
) -> None:
    # Guards against a check that takes the sealed failure of an engine for a true refusal.
    engine = Engine(
        name="i-1", service=PLAIN_SERVICE, address="", zone="n-a", incarnation=1, executed=["s1"]
    )
    engine.failed["s1"] = 503
    engine.request_headers["s1"] = {"x-figpaddle-deadline-ms": "1000"}
    record = record_of_request(ended_at=1.0)
    request = record.requests["s1"]
    request.route, request.status = "hold", status
    request.headers = {"x-figpaddle-server-seal": seal} if seal else {}
    found = violations(record, [engine])
    assert len(found) == bool(violation) and all(violation in finding for finding in found)
