"""Admission control under overload: which requests are refused."""

from __future__ import annotations

import dataclasses
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from figpaddle.errors import OverloadedError
from figpaddle.routing import Admission, Demand, Placement
from figpaddle.routing._admission import MAX_USAGE_RECORDS

SHARES = {"hanbit": 0.5, "cumbre": 0.5}


def demand(member: str = "cumbre", priority: int = 0, **fields: object) -> Demand:
    default = Demand(request_id="r", member=member, service="s", priority=priority, deadline_s=2.0)
    return dataclasses.replace(default, **fields)  # type: ignore[arg-type]


def expected_placement(seconds: float) -> Placement:
    return Placement(region="engine", expected_s=seconds, work_s=1.0)


def admit_and_serve(
    admission: Admission, request: Demand, expected_s: float, *, now: float = 0.0
) -> bool:
    """Return whether ``request`` is admitted; an admitted request is served at once."""
    try:
        admission.admit(request, expected_placement(expected_s), shares=SHARES, now=now)
    except OverloadedError:
        return False
    admission.note_response_started(request, target="engine", work_s=1.0, now=now)
    return True


@pytest.mark.parametrize(("expected_s", "admitted"), [(0.5, True), (1.7, True), (1.9, False)])
def test_requests_expected_to_be_late_are_refused_at_once(
    expected_s: float, admitted: bool
) -> None:
    assert admit_and_serve(Admission(rng=random.Random(1)), demand(), expected_s) is admitted


def test_retry_delay_grows_with_the_queue_and_is_jittered() -> None:
    admission = Admission(rng=random.Random(1))
    times: dict[float, list[float]] = {}
    for expected_s in (3.0, 6.0):
        for _ in range(20):
            with pytest.raises(OverloadedError) as caught:
                admission.admit(demand(), expected_placement(expected_s), shares=SHARES, now=0.0)
            times.setdefault(expected_s, []).append(caught.value.retry_after_s or 0.0)
    assert all(1.2 <= retry <= 2.4 for retry in times[3.0])
    assert all(4.2 <= retry <= 8.4 for retry in times[6.0])
    assert len(set(times[3.0])) > 10


@pytest.mark.parametrize(("room", "admitted"), [(1, True), (0, False)])
def test_requests_from_other_regions_get_only_spare_capacity(room: int, admitted: bool) -> None:
    admission = Admission(rng=random.Random(1))
    forwarded_demand = demand(forwarded=True)
    try:
        admission.admit(
            forwarded_demand, expected_placement(0.1), shares=SHARES, room=room, now=0.0
        )
        assert admitted
    except OverloadedError:
        assert not admitted


def test_idle_share_is_usable_by_others_until_its_owner_has_demand() -> None:
    admission = Admission(rng=random.Random(1))
    assert all(admit_and_serve(admission, demand("cumbre"), 1.0, now=n / 10) for n in range(100))
    served = {"hanbit": 0, "cumbre": 0}
    for number in range(400):
        for member in served:
            served[member] += admit_and_serve(admission, demand(member), 1.0, now=10 + number / 10)
    assert served["hanbit"] > served["cumbre"]
    served_later = dict.fromkeys(served, 0)
    for number in range(200):
        for member in served_later:
            served_later[member] += admit_and_serve(
                admission, demand(member), 1.0, now=50 + number / 10
            )
    assert served_later["cumbre"] == pytest.approx(served_later["hanbit"], rel=0.25)


def test_shares_hold_only_while_capacity_is_contended() -> None:
    admission = Admission(rng=random.Random(1))
    assert all(admit_and_serve(admission, demand("cumbre"), 0.3, now=n / 10) for n in range(100))
    assert admit_and_serve(admission, demand("hanbit"), 1.0, now=10.0)
    assert not admit_and_serve(admission, demand("cumbre"), 1.0, now=10.1)
    assert all(
        admit_and_serve(admission, demand("cumbre"), 0.3, now=10.1 + n / 10) for n in range(40)
    )


def served_by_priority(admission: Admission, *, slow_chat_s: float) -> dict[int, int]:
    served = {0: 0, 1: 0}
    for number in range(1000):
        for priority, deadline_s in ((0, 2.0), (0, 2.0), (0, 2.0), (1, 30.0)):
            request = demand(priority=priority, deadline_s=deadline_s)
            slow = priority == 0 and number % 4 == 0
            expected_s = slow_chat_s if slow else 1.5
            served[priority] += admit_and_serve(admission, request, expected_s, now=number / 20)
    return served


def test_dossiers_yield_while_chat_is_refused_but_keep_a_tenth() -> None:
    served = served_by_priority(Admission(rng=random.Random(1)), slow_chat_s=3.0)
    assert 0.08 < served[1] / (served[0] + served[1]) < 0.13


def test_dossiers_are_not_limited_while_chat_is_in_time() -> None:
    assert served_by_priority(Admission(rng=random.Random(1)), slow_chat_s=0.3)[1] == 1000


def test_chat_yields_when_dossiers_get_less_than_a_tenth() -> None:
    admission = Admission(rng=random.Random(1))
    assert all(admit_and_serve(admission, demand(), 1.5, now=n / 10) for n in range(50))
    with pytest.raises(OverloadedError):
        admission.admit(demand(priority=1), expected_placement(3.0), shares=SHARES, now=5.0)
    assert not admit_and_serve(admission, demand(), 1.5, now=5.1)


def test_usage_of_idle_targets_is_dropped() -> None:
    admission = Admission(rng=random.Random(1))
    for number in range(MAX_USAGE_RECORDS + 10):
        target = f"engine-{number}"
        placement = Placement(region=target, expected_s=0.1, work_s=1.0)
        admission.admit(demand(), placement, shares=SHARES, now=float(number))
        admission.note_response_started(demand(), target=target, work_s=1.0, now=float(number))
    assert len(admission._usage) < MAX_USAGE_RECORDS


@settings(derandomize=True, deadline=None, max_examples=50)
@given(
    priorities_sent=st.lists(st.integers(0, 2), min_size=60, max_size=60),
    expected=st.floats(0.9, 1.7),
)
def test_raising_own_priorities_does_not_reduce_another_members_service(
    priorities_sent: list[int], expected: float
) -> None:
    def served_of_hanbit(priorities: list[int]) -> int:
        admission = Admission(rng=random.Random(1))
        served = 0
        for number, priority in enumerate(priorities * 3):
            admit_and_serve(admission, demand("cumbre", priority), expected, now=number / 10)
            served += admit_and_serve(admission, demand("hanbit", 1), expected, now=number / 10)
        return served

    assert served_of_hanbit([0] * len(priorities_sent)) >= served_of_hanbit(priorities_sent)
