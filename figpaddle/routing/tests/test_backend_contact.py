"""An entry that is cut off from all backend servers finds out, and isn't misled by failing servers."""

from __future__ import annotations

from figpaddle.routing import BackendContact
from figpaddle.routing._backend_contact import CHECK_INTERVAL_S, CUT_CHECK_INTERVAL_S, SILENCE_S

SERVERS = ("e1", "e2", "e3")


def cut_off_contact(now: float) -> BackendContact:
    contact = BackendContact()
    contact.note_unreached("e1", now=now)
    contact.note_unreached("e2", now=now)
    contact.note_check(servers=SERVERS, reached=False, now=now)
    return contact


def test_one_failing_server_of_several_calls_for_no_check() -> None:
    contact = BackendContact()
    for step in range(10):
        contact.note_unreached("e1", now=step * 0.1)
    assert not contact.needs_check(servers=SERVERS, now=1.0)
    assert contact.needs_check(servers=["e1"], now=1.0)


def test_requests_without_any_answer_call_for_a_check() -> None:
    contact = BackendContact()
    contact.note_sent("e1", now=0.0)
    contact.note_sent("e2", now=0.1)
    assert not contact.needs_check(servers=SERVERS, now=SILENCE_S)
    assert contact.needs_check(servers=SERVERS, now=0.1 + SILENCE_S)
    contact.note_received("e3", now=0.2 + SILENCE_S)
    assert not contact.needs_check(servers=SERVERS, now=0.3 + SILENCE_S)


def test_a_check_that_reaches_a_server_ends_the_suspicion() -> None:
    contact = cut_off_contact(now=1.0)
    assert contact.cut_off
    assert not contact.needs_check(servers=SERVERS, now=1.1)
    assert contact.needs_check(servers=SERVERS, now=1.0 + CUT_CHECK_INTERVAL_S)
    contact.note_check(servers=SERVERS, reached=True, now=2.0)
    assert not contact.cut_off
    assert not contact.needs_check(servers=SERVERS, now=2.0 + CHECK_INTERVAL_S)


def test_a_server_that_replaces_a_lost_one_is_checked_at_once() -> None:
    # Guards against refusals at a region whose only server crashed, while its successor serves.
    contact = cut_off_contact(now=1.0)
    assert contact.needs_check(servers=(*SERVERS, "e4"), now=1.1)
    assert contact.unchecked((*SERVERS, "e4")) == {"e4"}
    contact.note_check(servers=(*SERVERS, "e4"), reached=False, now=1.5)
    assert contact.cut_off
    assert not contact.needs_check(servers=(*SERVERS, "e4"), now=1.6)
    contact.note_check(servers=(*SERVERS, "e4"), reached=True, now=2.0)
    assert not contact.needs_check(servers=(*SERVERS, "e4", "e5"), now=2.1)


def test_open_connections_that_work_are_known_by_the_bytes_that_come_from_them() -> None:
    contact = cut_off_contact(now=1.0)
    assert not contact.keeps_connections
    contact.note_received("e1", now=1.5)
    assert contact.cut_off and contact.keeps_connections
    contact.note_check(servers=SERVERS, reached=True, now=2.0)
    assert contact.kept_connections
    hanging = cut_off_contact(now=1.0)
    hanging.note_check(servers=SERVERS, reached=True, now=2.0)
    assert not hanging.kept_connections


def test_no_check_is_due_without_servers() -> None:
    contact = cut_off_contact(now=1.0)
    assert not contact.needs_check(servers=[], now=9.0)


def test_a_server_that_wakes_up_from_a_silence_is_not_steady_at_once() -> None:
    # Guards against giving up servers of a common silence for the first of them that goes on.
    contact = BackendContact()
    for tenth in (0, 3, 6):
        contact.note_received("e1", now=tenth / 10)
    assert contact.is_steady("e1", now=0.7)
    assert not contact.is_steady("e1", now=1.9)
    contact.note_received("e1", now=2.0)
    assert not contact.is_steady("e1", now=2.1)
    contact.note_received("e1", now=2.4)
    assert contact.is_steady("e1", now=2.5)
    contact.forget(["e1"])
    assert not contact.is_steady("e1", now=2.5)
