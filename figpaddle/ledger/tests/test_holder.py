"""Votes, expiry and recovery of a single holder."""

from __future__ import annotations

import dataclasses

import pytest

from figpaddle.ledger import Holder, HolderSettings, RecoverySource
from figpaddle.wire import (
    LedgerAbandon,
    LedgerBegin,
    LedgerFinish,
    LedgerPage,
    LedgerRecord,
    LedgerRecover,
    LedgerVote,
    RecordedAnswer,
    RecordKey,
    SlotVote,
    Verdict,
)

SLOTS = ("a", "b", "c")
KEY = RecordKey(member="hanbit", client="desk", key="f-1")
ANSWER = RecordedAnswer(
    status=201, headers=(), body=b"filed", backend="r-1", instance="a", region="seoul"
)
RETENTION_S = 100.0


def settings(voting_from: float | None = None) -> HolderSettings:
    return HolderSettings(slot="a", slots=SLOTS, retention_s=RETENTION_S, voting_from=voting_from)


def voting_holder() -> Holder:
    holder = Holder(settings=settings(1.0), incarnation=5, started_at=0.0)
    holder.poll(now=1.0)
    return holder


def recovering_holder() -> Holder:
    return Holder(settings=settings(), incarnation=9, started_at=50.0)


def begin_request(attempt: str, *, digest: bytes = b"d", key: RecordKey = KEY) -> LedgerBegin:
    return LedgerBegin(
        key=key, service="filing", digest=digest, attempt=attempt, votes=(), slots=SLOTS
    )


def record(attempt: str, *, finished: bool = False, begun_at: float = 2.0) -> LedgerRecord:
    return LedgerRecord(
        key=KEY,
        digest=b"d",
        attempt=attempt,
        begun_at=begun_at,
        finished=finished,
        answer=ANSWER if finished else None,
    )


def verdict(holder: Holder, item: LedgerBegin, *, now: float = 2.0) -> Verdict:
    return vote(holder, item, now=now).verdict


def vote(holder: Holder, item: LedgerBegin, *, now: float = 2.0) -> LedgerVote:
    reply = holder.handle(item, now=now).reply
    assert isinstance(reply, LedgerVote)
    return reply


def test_first_attempt_of_a_key_is_recorded_and_later_ones_conflict_with_it() -> None:
    holder = voting_holder()
    assert verdict(holder, begin_request("one")) is Verdict.ACCEPTED
    assert verdict(holder, begin_request("one")) is Verdict.ACCEPTED
    assert vote(holder, begin_request("two")).record == record("one")


@pytest.mark.parametrize("field", ["member", "client", "key"])
def test_key_is_scoped_to_member_and_client(field: str) -> None:
    holder = voting_holder()
    verdict(holder, begin_request("one"))
    other = dataclasses.replace(KEY, **{field: "other"})
    assert verdict(holder, begin_request("two", key=other)) is Verdict.ACCEPTED


def test_answer_is_returned_only_for_the_same_digest() -> None:
    holder = voting_holder()
    verdict(holder, begin_request("one"))
    holder.handle(LedgerFinish(record=record("one", finished=True), service="filing"), now=3.0)
    same = vote(holder, begin_request("two")).record
    other = vote(holder, begin_request("two", digest=b"other")).record
    assert same is not None and same.answer == ANSWER
    assert other is not None and other.answer is None and other.finished


@pytest.mark.parametrize(
    ("attempt", "released"), [("one", True), ("two", False)], ids=["own", "another's"]
)
def test_key_is_released_by_its_own_attempt_only(attempt: str, released: bool) -> None:
    holder = voting_holder()
    verdict(holder, begin_request("one"))
    holder.handle(LedgerAbandon(key=KEY, attempt=attempt), now=2.0)
    assert (verdict(holder, begin_request("three")) is Verdict.ACCEPTED) is released


def test_finished_record_is_never_released() -> None:
    holder = voting_holder()
    holder.handle(LedgerFinish(record=record("one", finished=True), service="filing"), now=2.0)
    holder.handle(LedgerAbandon(key=KEY, attempt="one"), now=2.0)
    assert verdict(holder, begin_request("two")) is Verdict.CONFLICT


def test_record_expires_only_by_age() -> None:
    holder = voting_holder()
    verdict(holder, begin_request("one"), now=2.0)
    assert verdict(holder, begin_request("two"), now=2.0 + RETENTION_S - 0.1) is Verdict.CONFLICT
    assert verdict(holder, begin_request("two"), now=2.0 + RETENTION_S) is Verdict.ACCEPTED


def test_request_with_another_list_of_slots_gets_no_vote() -> None:
    changed = dataclasses.replace(begin_request("one"), slots=("a", "b"))
    assert verdict(voting_holder(), changed) is Verdict.NOT_VOTING


@pytest.mark.parametrize(
    ("started_at", "voting_from", "now", "votes"),
    [
        pytest.param(0.0, 10.0, 9.0, False, id="before the first vote"),
        pytest.param(0.0, 10.0, 10.0, True, id="started before the first vote"),
        pytest.param(10.0, 10.0, 20.0, False, id="started afterwards without its state"),
        pytest.param(0.0, None, 99.0, False, id="time of the first vote unknown"),
        pytest.param(50.0, 10.0, 150.0, True, id="all lost records have expired"),
    ],
)
def test_empty_state_votes_only_if_no_valid_record_can_be_lost(
    started_at: float, voting_from: float | None, now: float, votes: bool
) -> None:
    holder = Holder(settings=settings(voting_from), incarnation=1, started_at=started_at)
    holder.poll(now=now)
    assert holder.voting is votes


def source(slot: str, *records: LedgerRecord) -> RecoverySource:
    return RecoverySource(slot=slot, records=records, known=())


@pytest.mark.parametrize(
    ("sources", "votes"),
    [((), False), ((source("b"),), False), ((source("b"), source("c")), True)],
    ids=["none", "one", "two"],
)
def test_lost_state_is_recovered_from_enough_other_slots(
    sources: tuple[RecoverySource, ...], votes: bool
) -> None:
    holder = recovering_holder()
    holder.recover_from(sources)
    assert holder.voting is votes
    expected = Verdict.ACCEPTED if votes else Verdict.NOT_VOTING
    assert verdict(holder, begin_request("one"), now=60.0) is expected


@pytest.mark.parametrize(
    ("one", "other", "attempt", "expected"),
    [
        pytest.param(record("x"), record("x"), "x", Verdict.ACCEPTED, id="same attempt"),
        pytest.param(record("x"), record("y"), "x", Verdict.CONFLICT, id="ambiguous, first"),
        pytest.param(record("x"), record("y"), "y", Verdict.CONFLICT, id="ambiguous, second"),
        pytest.param(
            record("x"), record("y", finished=True), "x", Verdict.CONFLICT, id="finished wins"
        ),
    ],
)
def test_recovered_state_never_gives_a_vote_that_the_lost_state_may_have_refused(
    one: LedgerRecord, other: LedgerRecord, attempt: str, expected: Verdict
) -> None:
    holder = recovering_holder()
    holder.recover_from((source("b", one), source("c", other)))
    assert verdict(holder, begin_request(attempt), now=60.0) is expected


def recover(holder: Holder, *records: LedgerRecord) -> None:
    known = (SlotVote(slot="b", incarnation=3),)
    holder.recover_from(
        (
            RecoverySource(slot="b", records=records, known=known),
            RecoverySource(slot="c", records=(), known=()),
        )
    )
    assert holder.voting


def test_key_that_is_released_during_a_recovery_is_not_taken_again_by_records_read_before() -> None:
    # Guards against refusals of a request whose attempt was given up while another slot was read.
    holder = recovering_holder()
    holder.handle(LedgerAbandon(key=KEY, attempt="one"), now=60.0)
    recover(holder, record("one", begun_at=59.0))
    assert verdict(holder, begin_request("two"), now=61.0) is Verdict.ACCEPTED


@pytest.mark.parametrize(
    ("attempt", "finished"), [("two", False), ("one", True)], ids=["another's", "finished"]
)
def test_other_records_are_recovered_although_an_attempt_was_given_up(
    attempt: str, finished: bool
) -> None:
    holder = recovering_holder()
    holder.handle(LedgerAbandon(key=KEY, attempt="one"), now=60.0)
    recover(holder, record(attempt, finished=finished, begun_at=59.0))
    assert verdict(holder, begin_request("three"), now=61.0) is Verdict.CONFLICT


def test_recovered_records_are_stored_before_the_entry_that_allows_voting() -> None:
    store = recovering_holder().recover_from((source("b", record("x")), source("c"))).store
    assert [type(entry).__name__ for entry in store] == ["StoredRecord", "StoredMemory"]


def test_partly_stored_recovery_is_discarded() -> None:
    store = recovering_holder().recover_from((source("b", record("x")), source("c"))).store
    holder = recovering_holder()
    holder.load(store[:-1])
    assert not holder.voting and holder.records == 0
    holder.load(store)
    assert holder.voting and holder.records == 1


def test_vote_from_a_lost_state_is_stale() -> None:
    holder = voting_holder()
    holder.handle(LedgerRecover(slot="b", incarnation=7, offset=0), now=2.0)
    for incarnation, expected in ((6, Verdict.STALE), (7, Verdict.ACCEPTED)):
        request = dataclasses.replace(
            begin_request("one"), votes=(SlotVote(slot="b", incarnation=incarnation),)
        )
        assert verdict(holder, request) is expected


def test_page_contains_the_incarnation_of_its_sender() -> None:
    page = voting_holder().handle(LedgerRecover(slot="b", incarnation=7, offset=0), now=2.0).reply
    assert isinstance(page, LedgerPage)
    assert SlotVote(slot="a", incarnation=5) in page.known


def test_snapshot_restores_the_state() -> None:
    holder = voting_holder()
    verdict(holder, begin_request("one"))
    restored = recovering_holder()
    restored.load(holder.snapshot(now=3.0))
    assert restored.voting and restored.incarnation == 5
    assert verdict(restored, begin_request("two"), now=3.0) is Verdict.CONFLICT
