"""Changes race, are resent and are scoped to their member."""

from __future__ import annotations

import dataclasses

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from figpaddle.deployment import (
    RETAINED_ANSWERS,
    Change,
    ChangeAnswer,
    ChangeMachine,
    Configuration,
    MemberConfiguration,
    Verdict,
    VersionedConfiguration,
    encode_change,
)

HANBIT = MemberConfiguration(name="hanbit", services=())
CUMBRE = MemberConfiguration(name="cumbre", services=())
BOOTSTRAP = VersionedConfiguration.bootstrap(Configuration(revision=2, members=(CUMBRE, HANBIT)))


def make(command_id: str, base: int, *, member: str = "hanbit", share: float = 0.5) -> Change:
    configuration = MemberConfiguration(name=member, services=(), share=share)
    return Change(command_id=command_id, operator="root", base_revision=base, member=configuration)


def apply(machine: ChangeMachine, change: Change) -> ChangeAnswer:
    return machine.apply(encode_change(change))[1]


def restored(machine: ChangeMachine) -> ChangeMachine:
    other = ChangeMachine(versioned=VersionedConfiguration())
    other.restore(machine.snapshot())
    return other


def test_first_of_two_equal_changes_wins_and_is_named() -> None:
    machine = ChangeMachine(versioned=BOOTSTRAP)
    first = apply(machine, make("one", 2, share=0.1))
    second = apply(machine, make("two", 2, share=0.2))
    assert (first.verdict, first.revision) == (Verdict.ACCEPTED, 3)
    assert (second.verdict, second.winner, second.revision) == (Verdict.CONFLICT, "one", 3)


def test_resend_gets_the_first_answer_after_later_changes_and_a_snapshot() -> None:
    machine = ChangeMachine(versioned=BOOTSTRAP)
    change = make("one", 2)
    first = apply(machine, change)
    refused = apply(machine, make("late", 2))
    apply(machine, make("two", 3))
    for one in (machine, restored(machine)):
        assert apply(one, change) == first
        assert apply(one, make("late", 2)) == refused
        assert one.versioned.revision == 4


def test_id_used_for_other_content_is_refused_and_changes_nothing() -> None:
    machine = ChangeMachine(versioned=BOOTSTRAP)
    apply(machine, make("one", 2, share=0.1))
    assert apply(machine, make("one", 3, share=0.9)).verdict is Verdict.REUSED
    assert machine.versioned.revision == 3


def test_ids_of_other_operators_and_members_are_apart() -> None:
    machine = ChangeMachine(versioned=BOOTSTRAP)
    apply(machine, make("one", 2))
    other = dataclasses.replace(make("one", 3), operator="other")
    assert apply(machine, other).verdict is Verdict.ACCEPTED
    assert apply(machine, make("one", 2, member="cumbre")).verdict is Verdict.ACCEPTED


def test_answer_that_is_no_longer_kept_never_runs_twice() -> None:
    machine = ChangeMachine(versioned=BOOTSTRAP)
    first = make("first", 2)
    apply(machine, first)
    for number in range(RETAINED_ANSWERS):
        apply(machine, make(f"later-{number}", 3 + number))
    assert machine.answer_to(first) is None
    revision = machine.versioned.revision
    assert apply(machine, first).verdict is Verdict.CONFLICT
    assert machine.versioned.revision == revision


def test_flood_of_one_member_pushes_out_no_answer_of_another() -> None:
    machine = ChangeMachine(versioned=BOOTSTRAP)
    own = make("own", 2, member="cumbre")
    first = apply(machine, own)
    for number in range(RETAINED_ANSWERS + 1):
        apply(machine, make(f"flood-{number}", 0))
    assert machine.answer_to(own) == first


def test_too_many_answers_in_all_cost_the_member_with_the_most(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("figpaddle.deployment._changes.RETAINED_ANSWERS_IN_ALL", 6)
    machine = ChangeMachine(versioned=BOOTSTRAP)
    modest = [make(f"m{number}", 2 + number, member="cumbre") for number in range(2)]
    greedy = [make(f"g{number}", 2 + number) for number in range(10)]
    for change in (*modest, *greedy):
        apply(machine, change)
    for one in (machine, restored(machine)):
        assert [one.answer_to(change) is not None for change in modest] == [True] * 2
        assert [one.answer_to(change) is not None for change in greedy] == [False] * 6 + [True] * 4


STEPS = st.lists(
    st.tuples(st.sampled_from(["hanbit", "cumbre", "new"]), st.integers(0, 5), st.integers(0, 3)),
    max_size=30,
)


@settings(derandomize=True, deadline=None)
@given(STEPS)
def test_members_never_meet_and_deltas_rebuild_every_revision(
    steps: list[tuple[str, int, int]],
) -> None:
    machine = ChangeMachine(versioned=BOOTSTRAP)
    alone = {name: ChangeMachine(versioned=BOOTSTRAP) for name in ("hanbit", "cumbre", "new")}
    history = [machine.versioned]
    for member, base, number in steps:
        change = make(f"c{number}", base, member=member)
        answer, single = apply(machine, change), apply(alone[member], change)
        assert (answer.verdict, answer.revision, answer.winner) == (
            single.verdict,
            single.revision,
            single.winner,
        )
        history.append(machine.versioned)
    newest = machine.versioned
    assert [one.revision for one in history] == sorted(one.revision for one in history)
    for older in history:
        for since in range(older.revision + 1):
            assert older.merged(newest.revision, newest.parts_since(since)) == newest
    assert restored(machine).versioned == newest
