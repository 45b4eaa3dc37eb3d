"""Who is refused under overload, and who is not."""

from __future__ import annotations

import dataclasses
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from figpaddle.errors import OverloadedError
from figpaddle.routing import Admission, Demand, Placement

SHARES = {"hanbit": 0.5, "cumbre": 0.5}


def demand(member: str = "cumbre", priority: int = 0, **fields: object) -> Demand:
    plain = Demand(request_id="r", member=member, service="s", priority=priority, deadline_s=2.0)
    return dataclasses.replace(plain, **fields)  # type: ignore[arg-type]


def expecting(seconds: float) -> Placement:
    return Placement(region="engine", expected_s=seconds, work_s=1.0)


def ask(admission: Admission, asked: Demand, expected_s: float, *, now: float = 0.0) -> bool:
    """Return whether ``asked`` is admitted; an admitted one is served at once."""
    try:
        admission.admit(asked, expecting(expected_s), shares=SHARES, now=now)
    except OverloadedError:
        return False
    admission.served(asked, target="engine", work_s=1.0, now=now)
    return True


@pytest.mark.parametrize(("expected_s", "admitted"), [(0.5, True), (1.7, True), (1.9, False)])
def test_what_would_be_late_is_refused_at_once(expected_s: float, admitted: bool) -> None:
    assert ask(Admission(rng=random.Random(1)), demand(), expected_s) is admitted


def test_time_to_come_back_grows_with_the_queue_and_is_jittered() -> None:
    admission = Admission(rng=random.Random(1))
    times: dict[float, list[float]] = {}
    for expected_s in (3.0, 6.0):
        for _ in range(20):
            with pytest.raises(OverloadedError) as caught:
                admission.admit(demand(), expecting(expected_s), shares=SHARES, now=0.0)
            times.setdefault(expected_s, []).append(caught.value.retry_after_s or 0.0)
    assert all(1.2 <= retry <= 2.4 for retry in times[3.0])
    assert all(4.2 <= retry <= 8.4 for retry in times[6.0])
    assert len(set(times[3.0])) > 10


@pytest.mark.parametrize(("room", "admitted"), [(1, True), (0, False)])
def test_work_from_other_regions_gets_only_the_room_left_by_home_work(
    room: int, admitted: bool
) -> None:
    admission = Admission(rng=random.Random(1))
    spilled = demand(forwarded=True)
    try:
        admission.admit(spilled, expecting(0.1), shares=SHARES, room=room, now=0.0)
        assert admitted
    except OverloadedError:
        assert not admitted


def test_unused_share_is_lent_and_comes_back() -> None:
    admission = Admission(rng=random.Random(1))
    assert all(ask(admission, demand("cumbre"), 1.0, now=n / 10) for n in range(100))
    served = {"hanbit": 0, "cumbre": 0}
    for number in range(400):
        for member in served:
            served[member] += ask(admission, demand(member), 1.0, now=10 + number / 10)
    assert served["hanbit"] > served["cumbre"]
    late = dict.fromkeys(served, 0)
    for number in range(200):
        for member in late:
            late[member] += ask(admission, demand(member), 1.0, now=50 + number / 10)
    assert late["cumbre"] == pytest.approx(late["hanbit"], rel=0.25)


def test_shares_hold_only_while_capacity_is_contended() -> None:
    admission = Admission(rng=random.Random(1))
    assert all(ask(admission, demand("cumbre"), 0.3, now=n / 10) for n in range(100))
    assert ask(admission, demand("hanbit"), 1.0, now=10.0)
    assert not ask(admission, demand("cumbre"), 1.0, now=10.1)
    assert all(ask(admission, demand("cumbre"), 0.3, now=10.1 + n / 10) for n in range(40))


def mixed(admission: Admission, *, chat_expects_s: float) -> dict[int, int]:
    served = {0: 0, 1: 0}
    for number in range(1000):
        for priority, deadline_s in ((0, 2.0), (0, 2.0), (0, 2.0), (1, 30.0)):
            asked = demand(priority=priority, deadline_s=deadline_s)
            slow = priority == 0 and number % 4 == 0
            expected_s = chat_expects_s if slow else 1.5
            served[priority] += ask(admission, asked, expected_s, now=number / 20)
    return served


def test_dossiers_give_way_while_chat_is_refused_but_keep_a_tenth() -> None:
    served = mixed(Admission(rng=random.Random(1)), chat_expects_s=3.0)
    assert 0.08 < served[1] / (served[0] + served[1]) < 0.13


def test_dossiers_run_freely_while_chat_is_in_time() -> None:
    assert mixed(Admission(rng=random.Random(1)), chat_expects_s=0.3)[1] == 1000


def test_chat_gives_way_when_dossiers_get_less_than_a_tenth() -> None:
    admission = Admission(rng=random.Random(1))
    assert all(ask(admission, demand(), 1.5, now=n / 10) for n in range(50))
    with pytest.raises(OverloadedError):
        admission.admit(demand(priority=1), expecting(3.0), shares=SHARES, now=5.0)
    assert not ask(admission, demand(), 1.5, now=5.1)


@settings(derandomize=True, deadline=None, max_examples=50)
@given(
    marks=st.lists(st.integers(0, 2), min_size=60, max_size=60),
    expected=st.floats(0.9, 1.7),
)
def test_marking_all_requests_urgent_takes_nothing_from_another_member(
    marks: list[int], expected: float
) -> None:
    def served_of_hanbit(priorities: list[int]) -> int:
        admission = Admission(rng=random.Random(1))
        served = 0
        for number, priority in enumerate(priorities * 3):
            ask(admission, demand("cumbre", priority), expected, now=number / 10)
            served += ask(admission, demand("hanbit", 1), expected, now=number / 10)
        return served

    assert served_of_hanbit([0] * len(marks)) >= served_of_hanbit(marks)
