"""Specification of the ledger's protocol for the explicit-state model checker.

Three slots and two attempts of one key. Each attempt contacts the slots in a fixed order. A vote
request may be lost, and so may its reply. All steps interleave freely, so an attempt may pause for
any length of time between two of its steps. A slot may lose its state; it then recovers by reading
the other slots one after another.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from typing import Any

from minicheck import Protocol

SLOTS = (0, 1, 2)
MAJORITY = 2
RECOVERY_SIZE = 2
NO_RECORD, FIRST_ATTEMPT, SECOND_ATTEMPT, AMBIGUOUS = 0, 1, 2, 3
ASKING, GRANTED, SENT, REFUSED = "asking", "granted", "sent", "refused"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rules:
    """Rules of the protocol, all on by default; a mutation test turns one off."""

    record_before_dispatch: bool = True
    votes_needed: int = MAJORITY
    refuse_after_amnesia: bool = True
    list_votes: bool = True
    report_own_incarnation: bool = True
    losses: int = 2


@dataclasses.dataclass(frozen=True, order=True)
class Slot:
    """State of a slot: record, incarnation, whether it votes, known incarnations, recovery."""

    record: int = NO_RECORD
    incarnation: int = 0
    voting: bool = True
    known: tuple[int, ...] = (0, 0, 0)
    slots_read: tuple[int, ...] = ()
    recovered_record: int = NO_RECORD
    reported_incarnations: tuple[int, ...] = (0, 0, 0)


@dataclasses.dataclass(frozen=True, order=True)
class Attempt:
    """State of an attempt: phase, next slot to contact, and votes as (slot, incarnation)."""

    phase: str = ASKING
    position: int = 0
    votes: tuple[tuple[int, int], ...] = ()
    sent: int = 0


State = tuple[Any, ...]


def protocol(rules: Rules) -> Protocol:
    """Return the protocol under ``rules``."""
    slots = tuple(Slot() for _ in SLOTS)
    return Protocol(
        name="ledger",
        candidate=False,
        fields=("slots", "attempts", "losses"),
        initial=(slots, (Attempt(), Attempt()), rules.losses),
        transitions=lambda state: list(_transitions(state, rules)),
        invariants={
            "at_most_once": lambda state_fields: _dispatches(state_fields["attempts"]) <= 1
        },
    )


def _dispatches(attempts: tuple[Attempt, ...]) -> int:
    return sum(attempt.sent for attempt in attempts)


def _transitions(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    slots, attempts, losses = state
    for index, attempt in enumerate(attempts):
        for label, next_slots, updated_attempt in _attempt_steps(slots, index, attempt, rules):
            updated_attempts = _replace(attempts, index, updated_attempt)
            yield f"attempt {index}: {label}", (next_slots, updated_attempts, losses)
    for index in SLOTS:
        if losses:
            blank = _lose_state(slots[index], rules)
            yield f"slot {index} loses its state", (
                _replace(slots, index, blank),
                attempts,
                losses - 1,
            )
        for label, next_slots in _recovery_steps(slots, index, rules):
            yield f"slot {index}: {label}", (next_slots, attempts, losses)


def _lose_state(slot: Slot, rules: Rules) -> Slot:
    return Slot(incarnation=slot.incarnation + 1, voting=not rules.refuse_after_amnesia)


def _attempt_steps(
    slots: tuple[Slot, ...], index: int, attempt: Attempt, rules: Rules
) -> Iterator[tuple[str, tuple[Slot, ...], Attempt]]:
    own_record = FIRST_ATTEMPT if index == 0 else SECOND_ATTEMPT
    if attempt.phase == GRANTED:
        yield "sends", slots, dataclasses.replace(attempt, phase=SENT, sent=1)
    if attempt.phase == REFUSED and not attempt.sent:
        for number, slot in enumerate(slots):
            if slot.record == own_record:
                released = dataclasses.replace(slot, record=NO_RECORD)
                yield f"releases {number}", _replace(slots, number, released), attempt
    if attempt.phase != ASKING:
        return
    if not rules.record_before_dispatch and not attempt.sent:
        yield "sends before it is recorded", slots, dataclasses.replace(attempt, sent=1)
        return
    if attempt.position == len(SLOTS):
        yield "gives up", slots, dataclasses.replace(attempt, phase=REFUSED, votes=())
        return
    slot_index = attempt.position
    advanced = dataclasses.replace(attempt, position=slot_index + 1)
    yield f"no reply from {slot_index}", slots, advanced
    slot = slots[slot_index]
    if not slot.voting:
        return
    if rules.list_votes and any(number < slot.known[voter] for voter, number in attempt.votes):
        yield f"{slot_index} rejects a stale vote", slots, dataclasses.replace(
            attempt, phase=REFUSED, votes=()
        )
        return
    if slot.record not in (NO_RECORD, own_record):
        yield f"{slot_index} has recorded the other attempt", slots, dataclasses.replace(
            attempt, phase=REFUSED, votes=()
        )
        return
    recorded = _replace(slots, slot_index, dataclasses.replace(slot, record=own_record))
    yield f"reply from {slot_index} is lost", recorded, advanced
    votes = (*attempt.votes, (slot_index, slot.incarnation))
    granted = len(votes) >= rules.votes_needed
    phase = (SENT if attempt.sent else GRANTED) if granted else ASKING
    yield f"{slot_index} accepts", recorded, dataclasses.replace(advanced, phase=phase, votes=votes)


def _recovery_steps(
    slots: tuple[Slot, ...], index: int, rules: Rules
) -> Iterator[tuple[str, tuple[Slot, ...]]]:
    slot = slots[index]
    if slot.voting:
        return
    if len(slot.slots_read) == RECOVERY_SIZE:
        recovered = Slot(
            record=slot.recovered_record,
            incarnation=slot.incarnation,
            known=_without_own_incarnation(slot.reported_incarnations, index),
        )
        yield "votes again", _replace(slots, index, recovered)
        return
    for other in SLOTS:
        if other == index or other in slot.slots_read or not slots[other].voting:
            continue
        known = _replace(slots[other].known, index, slot.incarnation)
        updated_slots = _replace(slots, other, dataclasses.replace(slots[other], known=known))
        reported_incarnations = known
        if rules.report_own_incarnation:
            reported_incarnations = _replace(known, other, slots[other].incarnation)
        reading_slot = dataclasses.replace(
            slot,
            slots_read=tuple(sorted((*slot.slots_read, other))),
            recovered_record=_merge_records(slot.recovered_record, slots[other].record),
            reported_incarnations=tuple(
                map(max, slot.reported_incarnations, reported_incarnations)
            ),
        )
        yield f"reads {other}", _replace(updated_slots, index, reading_slot)


def _without_own_incarnation(known: tuple[int, ...], index: int) -> tuple[int, ...]:
    return _replace(known, index, 0)


def _merge_records(first: int, second: int) -> int:
    if NO_RECORD in (first, second) or first == second:
        return max(first, second)
    return AMBIGUOUS


def _replace(items: tuple[Any, ...], index: int, replacement: Any) -> tuple[Any, ...]:
    return (*items[:index], replacement, *items[index + 1 :])
