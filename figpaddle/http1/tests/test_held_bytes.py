"""Which clients are ended once a process holds too much for all of them."""

from __future__ import annotations

from figpaddle.http1 import ClientAccount, ClientLimits, ClientPhase, HeldClient
from figpaddle.http1._held_bytes import PROGRESS_BYTES, SMALL_BYTES, STALL_S

LIMIT = 1_000_000


class Client(HeldClient):
    """A connection that records whether it was ended."""

    def __init__(self, account: ClientAccount, *, now: float = 0.0) -> None:
        self.ended = False
        account.add(self, now=now)
        account.enter(self, ClientPhase.RECEIVING, now=now)

    def end_for_others(self) -> None:
        self.ended = True


def account(connections: int = 100) -> ClientAccount:
    return ClientAccount(limits=ClientLimits(held_bytes=LIMIT, connections=connections))


def test_the_client_that_has_stalled_for_longest_is_ended_and_no_other() -> None:
    held = account()
    first, second = Client(held), Client(held, now=0.1)
    for client in (second, first):
        assert held.hold(client, LIMIT // 2, now=0.1)
    assert held.hold(Client(held, now=3.0), 1000, now=3.0)
    assert first.ended and not second.ended


def test_a_client_that_gets_on_keeps_its_bytes_and_a_byte_from_time_to_time_is_no_progress() -> (
    None
):
    held = account()
    upload, drip = Client(held), Client(held)
    assert held.hold(upload, LIMIT // 2, now=0.0) and held.hold(drip, LIMIT // 2, now=0.0)
    for tenth in range(30):
        held.note_passed(upload, PROGRESS_BYTES, now=tenth / 10)
        held.note_passed(drip, 1, now=tenth / 10)
    assert held.hold(Client(held, now=3.0), LIMIT // 4, now=3.0)
    assert drip.ended and not upload.ended


def test_a_request_that_was_read_is_never_given_up_and_a_small_one_finds_room_beside_it() -> None:
    held = account()
    served = Client(held)
    assert held.hold(served, LIMIT, now=0.0)
    held.enter(served, ClientPhase.SERVING, now=0.0)
    late = 60.0
    assert held.hold(Client(held, now=late), SMALL_BYTES, now=late)
    assert not held.hold(Client(held, now=late), 2 * SMALL_BYTES, now=late)
    assert not served.ended


def test_uploads_that_all_get_on_are_refused_beyond_the_limit_though_they_hold_no_more() -> None:
    held = account()
    uploads = [Client(held) for _ in range(4)]
    # Input that was read ahead becomes a part of a body, so what is held for it stays the same.
    for client in uploads:
        held.hold(client, LIMIT // 2, now=0.0)
    assert not held.hold(uploads[0], LIMIT // 2, now=0.1)
    assert held.hold(uploads[0], 0, now=0.1)


def test_a_new_connection_takes_the_place_of_one_that_has_sent_nothing_before_an_idle_one() -> None:
    held = account(connections=2)
    idle, silent = Client(held), Client(held, now=0.5)
    held.enter(idle, ClientPhase.IDLE, now=0.0)
    held.enter(silent, ClientPhase.FRESH, now=0.5)
    assert not held.has_room(now=STALL_S / 2)
    assert held.has_room(now=5.0)
    assert silent.ended and not idle.ended
