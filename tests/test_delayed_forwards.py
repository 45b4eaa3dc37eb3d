"""A forwarded request that a full link has delayed is handled by when it was sent."""

from __future__ import annotations

import contextlib
import dataclasses
import io
import socket

import cbor2
import pytest

from figpaddle.coordination._rosters import roster_member
from figpaddle.coordination.tests.test_zone_relays import heartbeat
from figpaddle.regional._forwarding import OUTCOME_FIELD, TERMS_FIELD, encode_terms
from figpaddle.regional.tests.test_forwarding import terms
from figpaddle.wire import Message, ZoneRoster, encode
from tests.long_turns import (
    READ_BYTES,
    SHORT_TURN_S,
    START_S,
    LateEntry,
    Script,
    SimulatedLoop,
    arrivals,
    late_entry,
    whole_answer,
)
from tests.platform_standin import HOST, PLAIN_SERVICE

#: Time on the way without a queue, seconds.
USUAL_TRANSIT_S = 0.02
#: Difference between the clocks of the two entries, seconds.
CLOCK_OFFSET_S = 5000.0
LEFT_S = 4.0
#: Time by which the deadline that a server is given may end after that of the sender, seconds.
MARGIN_S = 0.1
PEER_PORT = 2
BODY = b"x" * 1000
#: Incarnation of the sending entry.
INCARNATION = 17
#: How long the receiving entry stands still, seconds.
PAUSE_S = 1.5


class ForwardingEntry(Script):
    """An entry of another region, whose requests take ``transit_s`` each, one connection each."""

    def __init__(
        self, *, address: str, transit_s: dict[str, float], body_s: dict[str, float]
    ) -> None:
        self._body_s = body_s
        #: The bodies to be sent, and when.
        self._bodies: list[tuple[float, socket.socket]] = []
        self.answers: dict[str, bytes] = {}
        self.sent_at: dict[str, float] = {}
        self._address = address
        self._unsent = [
            (START_S + 0.1 * number, request_id, transit)
            for number, (request_id, transit) in enumerate(transit_s.items(), 1)
        ]
        self._sockets: dict[str, socket.socket] = {}

    def step(self, now: float) -> None:
        for request_id, connection in self._sockets.items():
            with contextlib.suppress(BlockingIOError, ConnectionResetError):
                self.answers[request_id] += connection.recv(READ_BYTES)
        for due in [due for due in self._bodies if due[0] <= now]:
            self._bodies.remove(due)
            due[1].sendall(BODY)
        while self._unsent and self._unsent[0][0] <= now:
            _, request_id, transit_s = self._unsent.pop(0)
            host, _, port = self._address.rpartition(":")
            connection = socket.create_connection((host, int(port) + PEER_PORT))
            connection.setblocking(False)
            self._sockets[request_id], self.answers[request_id] = connection, b""
            self.sent_at[request_id] = now - transit_s
            body = BODY if request_id in self._body_s else b""
            head = forwarded_request(request_id, sent_at=now - transit_s, body_bytes=len(body))
            connection.sendall(head)
            if body:
                self._bodies.append((now + self._body_s[request_id], connection))

    def close(self) -> None:
        for connection in self._sockets.values():
            connection.close()


class Acquaintance(Script):
    """Has an entry hear of the sending one before that forwards anything: itself, or through a relay."""

    def __init__(self, *, entry: LateEntry, relayed: bool) -> None:
        self._entry = entry
        self._relayed = relayed
        self._is_heard = False

    def step(self, now: float) -> None:
        if self._is_heard or now < START_S - 0.5:
            return
        self._is_heard = True
        sent_at_s = now - USUAL_TRANSIT_S + CLOCK_OFFSET_S
        sender = dataclasses.replace(
            heartbeat("127.0.0.1"), incarnation=INCARNATION, sent_at_s=sent_at_s
        )
        message: Message = sender
        if self._relayed:
            message = ZoneRoster(
                relay="127.9.9.9",
                incarnation=3,
                sequence=1,
                region="south",
                zone="s-a",
                version=1,
                since=0,
                members=(roster_member(sender).row(),),
                removed=(),
                revision=0,
                up_to_date=(),
                # The clock of the relay is a thousand seconds ahead of that of the entry.
                sent_at_s=now - USUAL_TRANSIT_S + 1000.0,
                clock_offsets_s=(1000.0 - CLOCK_OFFSET_S + USUAL_TRANSIT_S,),
            )
        self._entry.process._mesh.receive_datagram(encode(message))


class Pause(Script):
    """Makes the first turn of an event loop that begins after a time last ``PAUSE_S``."""

    def __init__(self, *, loop: SimulatedLoop, at: float) -> None:
        self._loop = loop
        self._at = at

    def step(self, now: float) -> None:
        # The turn has begun long before its half.
        is_due = self._at <= now < self._at + PAUSE_S / 2
        self._loop.turn_s = PAUSE_S if is_due else SHORT_TURN_S


def forwarded_request(
    request_id: str, *, sent_at: float, body_bytes: int = 0, incarnation: int = INCARNATION
) -> bytes:
    stream = io.BytesIO(bytes.fromhex(encode_terms(terms()).decode()))
    decoder = cbor2.CBORDecoder(stream)
    fields, later_fields = decoder.decode(), decoder.decode()
    fields[2] = LEFT_S
    fields[6] = [PLAIN_SERVICE, *fields[6][1:]]
    fields[1] = 1
    later_fields |= {
        "version": None,
        "sent_at_s": sent_at + CLOCK_OFFSET_S,
        "incarnation": incarnation,
    }
    value = (cbor2.dumps(fields) + cbor2.dumps(later_fields)).hex()
    return (
        f"GET /read/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Figpaddle-Request-Id: {request_id}\r\n"
        f"{TERMS_FIELD.decode()}: {value}\r\nContent-Length: {body_bytes}\r\n\r\n"
    ).encode()


def play(
    entry: LateEntry,
    transit_s: dict[str, float],
    *,
    body_s: dict[str, float] | None = None,
    paused_at: float | None = None,
) -> ForwardingEntry:
    entry.add_server(lambda number, request_id: (0.01, whole_answer(request_id)))
    body_s = body_s or {}
    sender = ForwardingEntry(address=entry.address, transit_s=transit_s, body_s=body_s)
    entry.loop.scripts.append(sender)
    if paused_at is not None:
        entry.loop.scripts.append(Pause(loop=entry.loop, at=paused_at))
    entry.play(0.1 * len(transit_s) + 1.0 + max(body_s.values(), default=0), turn_s=SHORT_TURN_S)
    sender.close()
    return sender


def usual(count: int) -> dict[str, float]:
    return {f"usual-{number}": USUAL_TRANSIT_S for number in range(count)}


def test_a_request_that_was_on_its_way_for_longer_than_its_caller_waits_reaches_no_server() -> None:
    with late_entry() as entry:
        sender = play(entry, {**usual(3), "delayed": 1.5, "next": USUAL_TRANSIT_S})
        assert {item.request_id for item in arrivals(entry.servers)} == {*usual(3), "next"}
        answer = sender.answers["delayed"].lower()
        assert answer.startswith(b"http/1.1 503 ") and OUTCOME_FIELD + b": not run" in answer
        assert b"retry-after" in answer


def test_the_deadline_of_a_delayed_request_counts_from_when_it_was_sent() -> None:
    with late_entry() as entry:
        sender = play(entry, {**usual(3), "delayed": 0.8})
        delayed = next(item for item in arrivals(entry.servers) if item.request_id == "delayed")
        deadline_at = sender.sent_at["delayed"] + LEFT_S
        assert delayed.at + delayed.deadline_s <= deadline_at + MARGIN_S


@pytest.mark.parametrize("relayed", [False, True])
def test_the_first_request_of_an_entry_that_was_on_its_way_for_too_long_reaches_no_server(
    relayed: bool,
) -> None:
    # Guards against work for callers that have left, whose first forward lay in a full link.
    with late_entry() as entry:
        entry.loop.scripts.append(Acquaintance(entry=entry, relayed=relayed))
        sender = play(entry, {"delayed": 1.5, "next": USUAL_TRANSIT_S})
        assert {item.request_id for item in arrivals(entry.servers)} == {"next"}
        answer = sender.answers["delayed"].lower()
        assert answer.startswith(b"http/1.1 503 ") and OUTCOME_FIELD + b": not run" in answer


@pytest.mark.parametrize("relayed", [False, True])
def test_the_deadline_of_the_first_request_of_an_entry_counts_from_when_it_was_sent(
    relayed: bool,
) -> None:
    # Guards against attempts after the end of the caller's time, which began as its first forward was read.
    with late_entry() as entry:
        entry.loop.scripts.append(Acquaintance(entry=entry, relayed=relayed))
        sender = play(entry, {"delayed": 0.8})
        (delayed,) = arrivals(entry.servers)
        assert delayed.at + delayed.deadline_s <= sender.sent_at["delayed"] + LEFT_S + MARGIN_S


def test_requests_of_an_entry_with_another_clock_are_served() -> None:
    with late_entry() as entry:
        play(entry, usual(4))
        seen = arrivals(entry.servers)
        assert {item.request_id for item in seen} == set(usual(4))
        assert all(item.deadline_s >= LEFT_S - MARGIN_S for item in seen)


def test_a_request_whose_body_takes_long_is_served() -> None:
    with late_entry() as entry:
        play(entry, {**usual(3), "upload": USUAL_TRANSIT_S}, body_s={"upload": 1.5})
        seen = {item.request_id: item for item in arrivals(entry.servers)}
        assert "upload" in seen and seen["upload"].deadline_s >= LEFT_S - 1.5 - MARGIN_S


def test_requests_after_a_pause_of_their_receiver_are_not_taken_for_delayed() -> None:
    """What comes during the pause is read after it, and may have come at any time in it."""
    with late_entry() as entry:
        paused_at = START_S + 0.35
        sender = play(entry, usual(30), paused_at=paused_at)
        seen = {item.request_id: item for item in arrivals(entry.servers)}
        assert not [at for at in (seen[key].at for key in seen) if 0.2 < at - paused_at < PAUSE_S]
        later = {key for key, at in sender.sent_at.items() if at > paused_at + PAUSE_S + 0.2}
        assert len(later) > 5 and later <= set(seen)
        assert all(seen[request_id].deadline_s >= LEFT_S - MARGIN_S for request_id in later)
