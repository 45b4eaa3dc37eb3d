"""Configuration changes: concurrent changes, resends and separation of members."""

from __future__ import annotations

import dataclasses

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from figpaddle.deployment import (
    MAX_ANSWERS_PER_MEMBER,
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


def new_change(command_id: str, base: int, *, member: str = "hanbit", share: float = 0.5) -> Change:
    configuration = MemberConfiguration(name=member, services=(), share=share)
    return Change(command_id=command_id, operator="root", base_revision=base, member=configuration)


def apply(machine: ChangeMachine, change: Change) -> ChangeAnswer:
    return machine.apply(encode_change(change))[1]


def restored(machine: ChangeMachine) -> ChangeMachine:
    other = ChangeMachine(versioned=VersionedConfiguration())
    other.restore(machine.snapshot())
    return other


def test_first_of_two_changes_with_the_same_base_wins_and_is_reported() -> None:
    machine = ChangeMachine(versioned=BOOTSTRAP)
    first = apply(machine, new_change("one", 2, share=0.1))
    second = apply(machine, new_change("two", 2, share=0.2))
    assert (first.verdict, first.revision) == (Verdict.ACCEPTED, 3)
    assert (second.verdict, second.winner, second.revision) == (Verdict.CONFLICT, "one", 3)


def test_resend_gets_the_first_answer_after_later_changes_and_a_snapshot() -> None:
    machine = ChangeMachine(versioned=BOOTSTRAP)
    change = new_change("one", 2)
    first = apply(machine, change)
    refused = apply(machine, new_change("late", 2))
    apply(machine, new_change("two", 3))
    for replica in (machine, restored(machine)):
        assert apply(replica, change) == first
        assert apply(replica, new_change("late", 2)) == refused
        assert replica.versioned.revision == 4


def test_reused_command_id_with_other_content_is_refused() -> None:
    machine = ChangeMachine(versioned=BOOTSTRAP)
    apply(machine, new_change("one", 2, share=0.1))
    assert apply(machine, new_change("one", 3, share=0.9)).verdict is Verdict.REUSED
    assert machine.versioned.revision == 3


def test_command_ids_are_separate_for_each_operator_and_member() -> None:
    machine = ChangeMachine(versioned=BOOTSTRAP)
    apply(machine, new_change("one", 2))
    other = dataclasses.replace(new_change("one", 3), operator="other")
    assert apply(machine, other).verdict is Verdict.ACCEPTED
    assert apply(machine, new_change("one", 2, member="cumbre")).verdict is Verdict.ACCEPTED


def test_change_whose_answer_was_evicted_does_not_run_twice() -> None:
    machine = ChangeMachine(versioned=BOOTSTRAP)
    first = new_change("first", 2)
    apply(machine, first)
    for number in range(MAX_ANSWERS_PER_MEMBER):
        apply(machine, new_change(f"later-{number}", 3 + number))
    assert machine.answer_to(first) is None
    revision = machine.versioned.revision
    assert apply(machine, first).verdict is Verdict.CONFLICT
    assert machine.versioned.revision == revision


def test_flood_of_one_member_evicts_no_answer_of_another() -> None:
    machine = ChangeMachine(versioned=BOOTSTRAP)
    own = new_change("own", 2, member="cumbre")
    first = apply(machine, own)
    for number in range(MAX_ANSWERS_PER_MEMBER + 1):
        apply(machine, new_change(f"flood-{number}", 0))
    assert machine.answer_to(own) == first


def test_too_many_answers_in_total_evict_those_of_the_member_with_the_most(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("figpaddle.deployment._changes.MAX_ANSWERS_TOTAL", 6)
    machine = ChangeMachine(versioned=BOOTSTRAP)
    few_changes = [new_change(f"m{number}", 2 + number, member="cumbre") for number in range(2)]
    flood = [new_change(f"g{number}", 2 + number) for number in range(10)]
    for change in (*few_changes, *flood):
        apply(machine, change)
    for replica in (machine, restored(machine)):
        assert [replica.answer_to(change) is not None for change in few_changes] == [True] * 2
        assert [replica.answer_to(change) is not None for change in flood] == [False] * 6 + [
            True
        ] * 4


STEPS = st.lists(
    st.tuples(st.sampled_from(["hanbit", "cumbre", "new"]), st.integers(0, 5), st.integers(0, 3)),
    max_size=30,
)


@settings(derandomize=True, deadline=None)
@given(STEPS)
def test_members_are_independent_and_deltas_rebuild_every_revision(
    steps: list[tuple[str, int, int]],
) -> None:
    machine = ChangeMachine(versioned=BOOTSTRAP)
    separate_machines = {
        name: ChangeMachine(versioned=BOOTSTRAP) for name in ("hanbit", "cumbre", "new")
    }
    history = [machine.versioned]
    for member, base, number in steps:
        change = new_change(f"c{number}", base, member=member)
        answer, separate_answer = apply(machine, change), apply(separate_machines[member], change)
        assert (answer.verdict, answer.revision, answer.winner) == (
            separate_answer.verdict,
            separate_answer.revision,
            separate_answer.winner,
        )
        history.append(machine.versioned)
    newest = machine.versioned
    assert [state.revision for state in history] == sorted(state.revision for state in history)
    for older in history:
        for since in range(older.revision + 1):
            assert older.merged(newest.revision, newest.parts_since(since)) == newest
    assert restored(machine).versioned == newest
