"""Which requests may have crashed their backend server."""

from __future__ import annotations

from figpaddle.routing import RequestTraits, UnsettledAttempts
from figpaddle.routing._unsettled_attempts import ENDED_TTL_S, MAX_ENDED_ATTEMPTS, SETTLING_S

PROCESS = ("e1", 7)


def traits(name: str) -> RequestTraits:
    return RequestTraits(member="m", fingerprint=name.encode(), parts=(b"part " + name.encode(),))


def lost(attempts: UnsettledAttempts, at: float) -> set[str]:
    suspects = attempts.take_lost(PROCESS, lost_at=at)
    return {suspect.traits.fingerprint.decode() for suspect in suspects}


def test_an_attempt_is_suspect_until_its_answer_has_gone_on_for_a_while() -> None:
    attempts = UnsettledAttempts()
    for name, progress in (("none", ()), ("young", (0.5, 1.2)), ("old", (0.2, 0.9, 1.2))):
        attempts.note_sent(name, traits(name), process=PROCESS, now=0.0)
        for at in progress:
            attempts.note_progress(name, now=at)
    assert lost(attempts, 1.3) == {"none", "young"}


def test_a_stream_that_fell_silent_soon_after_its_beginning_stays_suspect() -> None:
    attempts = UnsettledAttempts()
    attempts.note_sent("a", traits("a"), process=PROCESS, now=0.0)
    for at in (0.1, 0.2):
        assert attempts.note_progress("a", now=at) is None
    assert lost(attempts, 30.0) == {"a"}


def test_a_complete_answer_settles_only_if_its_process_goes_on() -> None:
    attempts = UnsettledAttempts()
    for name, ended_at in (("early", 1.0), ("late", 1.9)):
        attempts.note_sent(name, traits(name), process=PROCESS, now=0.5)
        attempts.note_ended(name, complete=True, now=ended_at)
    settled = attempts.take_settled(now=1.0 + SETTLING_S)
    assert [item.fingerprint for item in settled] == [b"early"]
    assert attempts.take_settled(now=1.0 + SETTLING_S) == []
    assert lost(attempts, 2.0) == {"late"}


def test_a_request_whose_caller_left_just_before_the_crash_is_suspect() -> None:
    attempts = UnsettledAttempts()
    for name, left_at in (("before", 0.2), ("just before", 1.9)):
        attempts.note_sent(name, traits(name), process=PROCESS, now=0.0)
        attempts.note_ended(name, complete=False, now=left_at)
    assert lost(attempts, 2.0) == {"just before"}
    assert attempts.take_settled(now=10.0) == []


def test_a_request_that_was_not_run_and_one_at_another_process_are_not_suspect() -> None:
    attempts = UnsettledAttempts()
    attempts.note_sent("refused", traits("refused"), process=PROCESS, now=0.0)
    attempts.note_not_run("refused")
    attempts.note_ended("refused", complete=False, now=0.1)
    attempts.note_sent("other", traits("other"), process=("e1", 8), now=0.0)
    assert lost(attempts, 0.2) == set()


def test_ended_attempts_are_bounded_in_number_and_time() -> None:
    attempts = UnsettledAttempts()
    for number in range(MAX_ENDED_ATTEMPTS + 100):
        attempts.note_sent(str(number), traits(str(number)), process=PROCESS, now=0.0)
        attempts.note_ended(str(number), complete=False, now=0.0)
    assert len(lost(attempts, 0.1)) == MAX_ENDED_ATTEMPTS
    attempts.note_sent("a", traits("a"), process=PROCESS, now=0.0)
    attempts.note_ended("a", complete=False, now=0.0)
    attempts.take_settled(now=ENDED_TTL_S)
    assert lost(attempts, 0.1) == set()
