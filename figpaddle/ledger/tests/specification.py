"""Specification of the ledger's protocol for the explicit-state model checker.

Three slots and two attempts of one key. Each attempt asks the slots in a fixed order; a question
may be lost, or answered without the reply arriving; between any two steps an attempt may be
frozen for as long as it takes, since steps of all parts interleave freely. A slot may lose its
memory and recovers by reading the others one after another.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterator
from typing import Any

from minicheck import Protocol

SLOTS = (0, 1, 2)
MAJORITY = 2
RECOVERY = 2
NOTHING, FIRST, SECOND, UNCLEAR = 0, 1, 2, 3
ASKING, GRANTED, SENT, REFUSED = "asking", "granted", "sent", "refused"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Rules:
    """The protocol as it is; each mutation turns one rule off."""

    record_before_dispatch: bool = True
    votes_needed: int = MAJORITY
    refuse_after_amnesia: bool = True
    list_votes: bool = True
    report_own_incarnation: bool = True
    losses: int = 2


@dataclasses.dataclass(frozen=True, order=True)
class Slot:
    """Record, incarnation, whether it votes, incarnations known, and what recovery has read."""

    record: int = NOTHING
    incarnation: int = 0
    voting: bool = True
    known: tuple[int, ...] = (0, 0, 0)
    read: tuple[int, ...] = ()
    found: int = NOTHING
    heard: tuple[int, ...] = (0, 0, 0)


@dataclasses.dataclass(frozen=True, order=True)
class Attempt:
    """Phase, next slot to ask, and votes as (slot, incarnation)."""

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
        invariants={"at_most_once": lambda named: _runs(named["attempts"]) <= 1},
    )


def _runs(attempts: tuple[Attempt, ...]) -> int:
    return sum(attempt.sent for attempt in attempts)


def _transitions(state: State, rules: Rules) -> Iterator[tuple[str, State]]:
    slots, attempts, losses = state
    for index, attempt in enumerate(attempts):
        for label, next_slots, following in _attempt_steps(slots, index, attempt, rules):
            changed = _replace(attempts, index, following)
            yield f"attempt {index}: {label}", (next_slots, changed, losses)
    for index in SLOTS:
        if losses:
            lost = _lose(slots[index], rules)
            yield f"slot {index} loses its memory", (
                _replace(slots, index, lost),
                attempts,
                losses - 1,
            )
        for label, next_slots in _recovery_steps(slots, index, rules):
            yield f"slot {index}: {label}", (next_slots, attempts, losses)


def _lose(slot: Slot, rules: Rules) -> Slot:
    return Slot(incarnation=slot.incarnation + 1, voting=not rules.refuse_after_amnesia)


def _attempt_steps(
    slots: tuple[Slot, ...], index: int, attempt: Attempt, rules: Rules
) -> Iterator[tuple[str, tuple[Slot, ...], Attempt]]:
    own = FIRST if index == 0 else SECOND
    if attempt.phase == GRANTED:
        yield "sends", slots, dataclasses.replace(attempt, phase=SENT, sent=1)
    if attempt.phase == REFUSED and not attempt.sent:
        for number, slot in enumerate(slots):
            if slot.record == own:
                released = dataclasses.replace(slot, record=NOTHING)
                yield f"releases {number}", _replace(slots, number, released), attempt
    if attempt.phase != ASKING:
        return
    if not rules.record_before_dispatch and not attempt.sent:
        yield "sends before it is recorded", slots, dataclasses.replace(attempt, sent=1)
        return
    if attempt.position == len(SLOTS):
        yield "gives up", slots, dataclasses.replace(attempt, phase=REFUSED, votes=())
        return
    asked = attempt.position
    onward = dataclasses.replace(attempt, position=asked + 1)
    yield f"no reply from {asked}", slots, onward
    slot = slots[asked]
    if not slot.voting:
        return
    if rules.list_votes and any(number < slot.known[who] for who, number in attempt.votes):
        yield f"{asked} finds a vote stale", slots, dataclasses.replace(
            attempt, phase=REFUSED, votes=()
        )
        return
    if slot.record not in (NOTHING, own):
        yield f"{asked} has another", slots, dataclasses.replace(attempt, phase=REFUSED, votes=())
        return
    recorded = _replace(slots, asked, dataclasses.replace(slot, record=own))
    yield f"reply of {asked} is lost", recorded, onward
    votes = (*attempt.votes, (asked, slot.incarnation))
    granted = len(votes) >= rules.votes_needed
    phase = (SENT if attempt.sent else GRANTED) if granted else ASKING
    yield f"{asked} accepts", recorded, dataclasses.replace(onward, phase=phase, votes=votes)


def _recovery_steps(
    slots: tuple[Slot, ...], index: int, rules: Rules
) -> Iterator[tuple[str, tuple[Slot, ...]]]:
    slot = slots[index]
    if slot.voting:
        return
    if len(slot.read) == RECOVERY:
        done = Slot(
            record=slot.found, incarnation=slot.incarnation, known=_own_zero(slot.heard, index)
        )
        yield "votes again", _replace(slots, index, done)
        return
    for other in SLOTS:
        if other == index or other in slot.read or not slots[other].voting:
            continue
        known = _replace(slots[other].known, index, slot.incarnation)
        told = _replace(slots, other, dataclasses.replace(slots[other], known=known))
        heard = known
        if rules.report_own_incarnation:
            heard = _replace(known, other, slots[other].incarnation)
        reader = dataclasses.replace(
            slot,
            read=tuple(sorted((*slot.read, other))),
            found=_merge(slot.found, slots[other].record),
            heard=tuple(map(max, slot.heard, heard)),
        )
        yield f"reads {other}", _replace(told, index, reader)


def _own_zero(known: tuple[int, ...], index: int) -> tuple[int, ...]:
    return _replace(known, index, 0)


def _merge(one: int, other: int) -> int:
    if NOTHING in (one, other) or one == other:
        return max(one, other)
    return UNCLEAR


def _replace(items: tuple[Any, ...], index: int, item: Any) -> tuple[Any, ...]:
    return (*items[:index], item, *items[index + 1 :])
