"""Each request that was read as a whole is answered, whatever the configuration does meanwhile."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import json
import random
import re
import signal
import socket
from collections.abc import Callable
from typing import Any

import anyio
import pytest

from figpaddle.deployment import ClusterState, GatewayRoute, GatewayService, Repeat
from figpaddle.regional._forwarding import (
    NOT_RUN,
    OUTCOME_FIELD,
    TERMS_FIELD,
    ForwardingTerms,
    encode_terms,
)
from tests.long_turns import (
    READ_BYTES,
    SHORT_TURN_S,
    START_S,
    Answers,
    LateEntry,
    Script,
    late_entry,
    whole_answer,
)
from tests.platform_standin import (
    HOST,
    MODEL_SERVICE,
    PLAIN_SERVICE,
    PlatformDeployment,
    configuration,
    platform_deployment,
)
from tests.raw_http import NO_RESPONSE, RawConnection

#: Time for which an entry is played, simulated seconds; longer than the callers' deadlines.
PLAY_S = 6.0
#: Port of an entry for other instances, counted from that of callers.
PEER_PORT = 2
#: Revision that is in force as the play begins.
FIRST_REVISION = 1


class Change(Script):
    """Installs a configuration as the next revision at a time, seconds from the end of the start."""

    def __init__(self, entry: LateEntry, document: dict[str, Any], *, at: float) -> None:
        self._entry = entry
        self._document = document
        self._at = START_S + at
        self._is_done = False

    def step(self, now: float) -> None:
        if self._is_done or now < self._at:
            return
        self._is_done = True
        follower = self._entry.process._follower
        revision = follower.state.revision + 1
        document = json.dumps({**self._document, "version": revision}).encode()
        state = ClusterState(revision=revision, version=revision, document=document, evacuated=())
        follower.install(state, source="test")
        assert follower.state.revision == revision


class PieceCaller(Script):
    """Sends the pieces of one request, each at its time, on a connection that it opened before."""

    def __init__(
        self, *, address: str, pieces: list[tuple[float, bytes]], reads_after: float = 0.0
    ) -> None:
        self.send_errors: list[OSError] = []
        self._reads_after = START_S + reads_after
        self.received = bytearray()
        self.closed = False
        self._address = address
        self._pieces = list(pieces)
        self._socket: socket.socket | None = None

    def step(self, now: float) -> None:
        if now < START_S or self.closed:
            return
        if self._socket is None:
            host, _, port = self._address.rpartition(":")
            self._socket = socket.create_connection((host, int(port)))
            # The kernel's delays don't follow simulated time.
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._socket.setblocking(False)
        while self._pieces and now >= START_S + self._pieces[0][0]:
            try:
                self._socket.sendall(self._pieces[0][1])
            except OSError as error:
                self.send_errors.append(error)
            del self._pieces[0]
        if now < self._reads_after:
            return
        with contextlib.suppress(BlockingIOError):
            try:
                data = self._socket.recv(READ_BYTES)
            except ConnectionResetError:
                data = b""
            self.received += data
            if not data:
                self.closed = True
                self._socket.close()

    @property
    def status(self) -> int:
        """The status of the answer; 0 if there is no complete one."""
        match = re.match(rb"HTTP/1.1 (\d+).*?\r\n\r\n", self.received, re.DOTALL)
        if match is None:
            return 0
        length = re.search(rb"content-length: (\d+)", match[0].lower())
        body = bytes(self.received[match.end() :])
        if length is None:
            return int(match[1]) if body.endswith(b"0\r\n\r\n") else 0
        return int(match[1]) if len(body) == int(length[1]) else 0

    @property
    def answered_not_run(self) -> bool:
        return OUTCOME_FIELD + b": " + NOT_RUN in bytes(self.received).lower()


def head(path: str, *fields: str, body: bytes = b"", chunked: bool = False) -> bytes:
    framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(body)}"
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        "X-Figpaddle-Request-Id: r1",
        "X-Figpaddle-Deadline-Ms: 4000",
        framing,
        *fields,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def without_route(name: str) -> dict[str, Any]:
    document = configuration()
    document["routes"] = [route for route in document["routes"] if route["name"] != name]
    return document


def without_service(name: str) -> dict[str, Any]:
    document = configuration()
    document["routes"] = [route for route in document["routes"] if route["service"] != name]
    document["services"] = [item for item in document["services"] if item["name"] != name]
    return document


def with_routes(**changes: Any) -> dict[str, Any]:
    document = configuration()
    for route in document["routes"]:
        route.update({name.replace("_", "-"): value for name, value in changes.items()})
    return document


def with_limits(**limits: int) -> dict[str, Any]:
    named = {name.replace("_", "-"): value for name, value in limits.items()}
    return configuration(limits=named)


CHANGES = {
    "routes dropped": {"version": 1, "routes": [], "services": [], "limits": {}},
    "the plain routes dropped": without_service(PLAIN_SERVICE),
    "the route dropped": without_route("read"),
    "routes moved to another service": with_routes(service=MODEL_SERVICE),
    "timeouts shortened": with_routes(timeout_ms=200),
    "one attempt": with_routes(**{"max-attempts": 1}),
    "kept to another region": with_routes(home_regions=["south"]),
    "smaller heads": with_limits(max_header_bytes=40),
    "smaller bodies": with_limits(max_body_bytes=4),
    "short limits of time": with_limits(header_timeout_ms=50, idle_timeout_ms=50),
}
BODY = b"0123456789"
FAILING_STATUS = "500 Error"


def fails_first(number: int, request_id: str) -> tuple[float, bytes]:
    if number == 0:
        return (0.3, whole_answer(request_id, status=FAILING_STATUS))
    return (0.3, whole_answer(request_id))


#: What the backend servers do with a request that is in progress.
SERVERS: dict[str, Answers] = {
    "answers late": lambda number, request_id: (0.6, whole_answer(request_id)),
    "fails once": fails_first,
    "refuses": lambda number, request_id: (
        0.3,
        whole_answer(request_id, "X-Figpaddle-Not-Executed: full", status="503 Full", body=""),
    ),
    "is silent": lambda number, request_id: None,
}


def slow_pieces(path: str) -> dict[str, list[tuple[float, bytes]]]:
    """Return ways to send a request, around the change at 0.5 s."""
    whole = head(path, body=BODY) + BODY
    chunked = head(path, chunked=True)
    chunks = [b"1\r\n%c\r\n" % byte for byte in BODY] + [b"0\r\n\r\n"]
    return {
        "in one piece before": [(0.3, whole)],
        "in one piece at the change": [(0.5, whole)],
        "the head in two": [(0.3, whole[:60]), (0.7, whole[60:])],
        "the body in two": [(0.3, whole[:-5]), (0.7, whole[-5:])],
        "in slow chunks": [(0.2, chunked)]
        + [(0.25 + 0.05 * number, chunk) for number, chunk in enumerate(chunks)],
    }


def play(
    entry: LateEntry,
    pieces: list[tuple[float, bytes]],
    answers: Answers,
    *,
    port: int = 0,
) -> PieceCaller:
    for _ in range(2):
        entry.add_server(answers)
    host, _, caller_port = entry.address.rpartition(":")
    caller = PieceCaller(address=f"{host}:{int(caller_port) + port}", pieces=pieces)
    entry.loop.scripts.append(caller)
    entry.play(PLAY_S, turn_s=SHORT_TURN_S)
    return caller


def play_caller(entry: LateEntry, pieces: list[tuple[float, bytes]]) -> PieceCaller:
    """Play a caller beside servers and scripts that were added before."""
    caller = PieceCaller(address=entry.address, pieces=pieces)
    entry.loop.scripts.append(caller)
    entry.play(PLAY_S, turn_s=SHORT_TURN_S)
    return caller


@pytest.mark.parametrize("servers", SERVERS)
@pytest.mark.parametrize("change", CHANGES)
def test_a_request_that_is_read_or_in_progress_at_a_change_is_answered(
    change: str, servers: str
) -> None:
    for path in ("/read/1", "/hold/1"):
        for way, pieces in slow_pieces(path).items():
            with late_entry() as entry:
                entry.loop.scripts.append(Change(entry, CHANGES[change], at=0.5))
                caller = play(entry, pieces, SERVERS[servers])
                assert caller.status, (path, way, bytes(caller.received), entry.log()[-2000:])
                ran = sum(len(server.arrivals) for server in entry.servers)
                if caller.status in (408, 421, 429, 503) and servers != "refuses":
                    assert not ran, (path, way)
                if path == "/hold/1" and servers != "refuses":
                    assert ran <= 1, way


def forwarded_head(path: str, *, revision: int, left_s: float = 4.0) -> bytes:
    route = GatewayRoute(
        name="read",
        host="",
        path_prefix="/",
        streaming=False,
        repeat=Repeat.IDEMPOTENT,
        timeout_s=left_s,
        target_s=0.6,
        gap_s=0.3,
        priority=1,
        max_attempts=2,
        services=((PLAIN_SERVICE, 1),),
        home_regions=(),
    )
    service = GatewayService(
        name=PLAIN_SERVICE,
        health_path="/health",
        max_connections=8,
        cold_per_s=0.0,
        warmup_s=0.0,
        is_model=False,
        slots=0,
        memory_tokens=0,
        tokens_per_event=1,
    )
    terms = ForwardingTerms(
        origin="south",
        revision=revision,
        left_s=left_s,
        attempts=2,
        last_event="",
        route=route,
        service=service,
    )
    return head(path, f"{TERMS_FIELD.decode()}: {encode_terms(terms).decode()}")


@pytest.mark.parametrize("change", CHANGES)
def test_a_forwarded_request_that_waits_for_a_revision_is_answered(change: str) -> None:
    """The revision is in force in time, late, or never; others come before it."""
    for times in ((0.5,), (0.4, 0.5, 0.6), (0.95,), ()):
        with late_entry() as entry:
            for at in times:
                entry.loop.scripts.append(Change(entry, CHANGES[change], at=at))
            awaited = FIRST_REVISION + max(1, len(times))
            request = forwarded_head("/read/1", revision=awaited)
            caller = play(entry, [(0.3, request)], SERVERS["answers late"], port=PEER_PORT)
            assert caller.status in (200, 503), (times, bytes(caller.received))
            ran = any(server.arrivals for server in entry.servers)
            assert ran == (caller.status == 200) and caller.answered_not_run == (not ran)
            if times and times[-1] < 0.8:
                assert caller.status == 200, (times, entry.log()[-2000:])


def test_a_stream_that_is_taken_up_as_its_service_is_dropped_is_answered() -> None:
    for change in CHANGES:
        for at in (0.2, 0.31, 0.35, 0.5, 0.8):
            with late_entry() as entry:
                entry.loop.scripts.append(Change(entry, CHANGES[change], at=at))
                request = head("/plan/1", "Last-Event-Id: 2", "Resumes: r0")
                caller = play(entry, [(0.3, request)], SERVERS["answers late"])
                assert caller.status, (change, at, entry.log()[-2000:])


#: Limits that a change raises or lowers.
LOW_LIMITS = {
    "heads": {"max_header_bytes": 60},
    "bodies": {"max_body_bytes": 4},
    "time for a head": {"header_timeout_ms": 150},
    "idle time": {"idle_timeout_ms": 400},
}


class LateBytes(Script):
    """Has each server send more of the answer to a request at a time, seconds from the end of the start."""

    def __init__(self, entry: LateEntry, data: bytes, *, at: float) -> None:
        self._entry = entry
        self._data = data
        self._at = START_S + at
        self._is_done = False

    def step(self, now: float) -> None:
        if not self._is_done and now >= self._at:
            self._is_done = True
            for server in self._entry.servers:
                server.send_now("r1", self._data)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def event(number: int) -> bytes:
    return b"id: %d\ndata: %d\n\n" % (number, number)


STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Figpaddle-Request-Id: r1\r\nX-Figpaddle-Server-Seal: seal\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
LAST_CHUNK = b"0\r\n\r\n"
EVENTS = [event(number) for number in range(1, 6)]
#: What ends the first attempt of a stream, after two of its events.
BREAKS = {"the end of its connection": b"", "bytes that are no answer": b"zz\r\n"}


@pytest.mark.parametrize("ending", BREAKS)
@pytest.mark.parametrize("change", CHANGES)
def test_a_stream_that_breaks_off_after_a_change_goes_on_by_the_old_configuration(
    change: str, ending: str
) -> None:
    for change_at in (0.2, 0.5, 0.82, 0.95):
        with late_entry() as entry:
            attempts = 0

            def answers(number: int, request_id: str) -> tuple[float, bytes]:
                nonlocal attempts
                attempts += 1
                if attempts == 1:
                    return (0.1, STREAM_HEAD + b"".join(map(chunk, EVENTS[:2])))
                return (0.1, STREAM_HEAD + b"".join(map(chunk, EVENTS[2:])) + LAST_CHUNK)

            settings = entry.process._settings
            # Only an entry that starts for the first time has retries to spend at once.
            entry.process._settings = dataclasses.replace(settings, first_start=True)
            for _ in range(2):
                entry.add_server(answers, service=MODEL_SERVICE)
            entry.loop.scripts.append(Change(entry, CHANGES[change], at=change_at))
            entry.loop.scripts.append(LateBytes(entry, BREAKS[ending], at=0.8))
            request = head("/plan/1")
            sent_at = 0.1 if change_at < 0.3 else 0.3
            caller = play_caller(entry, [(sent_at, request)])
            assert caller.status == 200, (change_at, entry.log()[-3000:])
            assert all(caller.received.count(item) == 1 for item in EVENTS), caller.received
            assert attempts == 2


#: Durations of the turns of an event loop that is more or less late, simulated seconds.
TURNS_S = (SHORT_TURN_S, 0.07, 0.4)


class NextRequestCaller(PieceCaller):
    """Sends a second request on its connection at a time, unless it has seen it closed by then."""

    def __init__(self, *, address: str, first_at: float, second_at: float) -> None:
        request = head("/read/1")
        self.is_sent = False
        self._second_at = START_S + second_at
        super().__init__(address=address, pieces=[(first_at, request)])

    def step(self, now: float) -> None:
        if now >= self._second_at and not self.is_sent and not self.closed:
            self.is_sent = not self._socket_has_end()
            self._pieces += [(0.0, head("/read/1"))] if self.is_sent else []
        super().step(now)

    def _socket_has_end(self) -> bool:
        assert self._socket is not None
        with contextlib.suppress(BlockingIOError):
            return not self._socket.recv(1, socket.MSG_PEEK)
        return False


@pytest.mark.parametrize("turn_s", TURNS_S)
def test_a_request_that_comes_before_a_connection_is_closed_as_idle_is_answered(
    turn_s: float,
) -> None:
    for changes_at in (0.05, 0.5):
        is_sent = []
        for offset in range(40):
            with late_entry() as entry:
                document = with_limits(idle_timeout_ms=400)
                entry.loop.scripts.append(Change(entry, document, at=changes_at))
                entry.add_server(lambda number, request_id: (0.01, whole_answer(request_id)))
                caller = NextRequestCaller(
                    address=entry.address, first_at=0.1, second_at=0.3 + offset * 0.11
                )
                entry.loop.scripts.append(caller)
                entry.play(PLAY_S, turn_s=turn_s)
                is_sent.append(caller.is_sent)
                statuses = re.findall(rb"HTTP/1.1 (\d+) ", caller.received)
                assert len(statuses) == 1 + caller.is_sent, (offset, entry.log()[-2000:])
                # One that is read over a second late is refused.
                assert set(statuses) <= ({b"200"} if turn_s < 0.1 else {b"200", b"503"})
        assert any(is_sent) and (changes_at > 0.1 or not all(is_sent)), is_sent


@pytest.mark.parametrize("turn_s", TURNS_S)
@pytest.mark.parametrize("limit", ["heads", "bodies"])
def test_a_caller_that_reads_after_it_has_sent_all_gets_the_refusal_of_a_long_request(
    limit: str, turn_s: float
) -> None:
    """A limit was lowered that the caller doesn't know yet."""
    # Guards against a reset while the caller still sends, which hides the refusal.
    body = bytes(64 * 1024)
    whole = head("/read/1", body=body) + body
    size = len(whole) // 30 + 1
    pieces = [(0.3 + 0.05 * number, whole[size * number :][:size]) for number in range(30)]
    with late_entry() as entry:
        entry.loop.scripts.append(Change(entry, with_limits(**LOW_LIMITS[limit]), at=0.1))
        caller = PieceCaller(address=entry.address, pieces=pieces, reads_after=2.0)
        entry.loop.scripts.append(caller)
        entry.play(PLAY_S, turn_s=turn_s)
        assert not caller.send_errors, (caller.send_errors, bytes(caller.received))
        assert caller.status == (431 if limit == "heads" else 413), bytes(caller.received)


def test_a_refused_request_without_end_is_given_up() -> None:
    pieces = [(0.3 + 0.1 * number, bytes(100)) for number in range(150)]
    request = head("/read/1", body=bytes(1 << 20))
    with late_entry() as entry:
        entry.loop.scripts.append(Change(entry, with_limits(**LOW_LIMITS["bodies"]), at=0.1))
        pieces.insert(0, (0.3, request))
        caller = PieceCaller(address=entry.address, pieces=pieces, reads_after=15.4)
        entry.loop.scripts.append(caller)
        entry.play(16.0, turn_s=SHORT_TURN_S)
        assert caller.status == 413
        # It was read for 10 s of 15.
        assert 30 < len(caller.send_errors) < 55


#: Descriptors with which a listener serves 64 connections.
FEW_DESCRIPTORS = 100
SERVED_CONNECTIONS, FURTHER_CONNECTIONS = 64, 16


def test_a_burst_beyond_the_limit_of_connections_beside_a_change_is_answered() -> None:
    with late_entry() as entry:
        settings = entry.process._settings
        entry.process._settings = dataclasses.replace(settings, max_descriptors=FEW_DESCRIPTORS)
        entry.loop.scripts.append(Change(entry, with_routes(timeout_ms=3000), at=0.15))
        for _ in range(8):
            entry.add_server(lambda number, request_id: (0.5, whole_answer(request_id)))
        callers = [
            entry.add_caller(f"r{number}", send_at=0.1 + number * 0.001, leave_at=4.5)
            for number in range(SERVED_CONNECTIONS + FURTHER_CONNECTIONS)
        ]
        entry.play(PLAY_S, turn_s=SHORT_TURN_S)
        log = entry.log()
    assert {caller.status for caller in callers} <= {200, 503}
    assert log.count('outcome="refused: too many connections"') == FURTHER_CONNECTIONS
    assert "event=connections_over_limit" in log


#: When the pieces of a request are sent, around the change at 0.3 s that raises a limit, seconds.
TIMES_AROUND_RAISE = {"after it": (0.7, 0.75), "around it": (0.25, 0.5)}


@pytest.mark.parametrize("times", TIMES_AROUND_RAISE)
@pytest.mark.parametrize("limit", LOW_LIMITS)
def test_a_connection_that_was_open_before_a_limit_was_raised_has_the_new_limit(
    limit: str, times: str
) -> None:
    begin, end = TIMES_AROUND_RAISE[times]
    whole = head("/read/1", body=BODY) + BODY
    with late_entry() as entry:
        entry.loop.scripts.append(Change(entry, with_limits(**LOW_LIMITS[limit]), at=-0.2))
        entry.loop.scripts.append(Change(entry, configuration(), at=0.3))
        caller = play(entry, [(begin, whole[:60]), (end, whole[60:])], SERVERS["answers late"])
        assert caller.status == 200, bytes(caller.received)


@pytest.mark.parametrize("limit", ["heads", "bodies"])
def test_a_request_that_is_being_read_as_a_limit_is_lowered_is_read_by_the_old_one(
    limit: str,
) -> None:
    whole = head("/read/1", body=BODY) + BODY
    with late_entry() as entry:
        entry.loop.scripts.append(Change(entry, with_limits(**LOW_LIMITS[limit]), at=0.5))
        caller = play(entry, [(0.3, whole[:60]), (0.7, whole[60:])], SERVERS["answers late"])
        assert caller.status == 200, bytes(caller.received)


#: Time for which processes are played, seconds.
PROCESSES_PLAY_S, RELOADS_PLAY_S = 12.0, 10.0
CALLERS = 12


@dataclasses.dataclass(kw_only=True)
class Tally:
    """What callers got."""

    statuses: collections.Counter[int] = dataclasses.field(default_factory=collections.Counter)
    #: Requests that were sent as a whole and got no complete answer.
    unanswered: list[str] = dataclasses.field(default_factory=list)


async def send_in_pieces(connection: RawConnection, data: bytes, rng: random.Random) -> None:
    """Send a request at once or in a few pieces."""
    count = rng.choice((1, 1, 2, 5))
    size = len(data) // count + 1
    for start in range(0, len(data), size):
        if start:
            await anyio.sleep(rng.uniform(0.01, 0.25))
        connection.writer.write(data[start : start + size])


async def call_until(
    platform: PlatformDeployment, number: int, ends_at: float, tally: Tally
) -> None:
    """Send requests over every route, on kept and on new connections."""
    rng = random.Random(number)
    entry = ("m-4", "m-5", "m-6")[number % 3]
    keeps = number % 2 == 0
    connection: RawConnection | None = None
    count = 0
    while anyio.current_time() < ends_at:
        count += 1
        request_id = f"c{number}-{count}"
        path = rng.choice(("/read/1", "/hold/1", "/plan/1", "/chat/1", "/extra/1"))
        if connection is None:
            connection = await RawConnection.open(platform.address(entry, "front"))
        body = bytes(rng.randrange(1, 2000))
        data = head(path, body=body).replace(b": r1\r\n", f": {request_id}\r\n".encode()) + body
        reply = NO_RESPONSE
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            async with asyncio.timeout(8.0):
                await send_in_pieces(connection, data, rng)
                reply = await connection.read_response()
        tally.statuses[reply.status] += 1
        if not reply.complete:
            tally.unanswered.append(f"{request_id} {path} at {entry}: {reply.status}")
        if not keeps or reply.headers.get("connection") == "close" or not reply.complete:
            connection.abort()
            connection = None
        await anyio.sleep(rng.uniform(0.0, 0.05))


def random_configuration(version: int, rng: random.Random) -> dict[str, Any]:
    """Return a configuration whose routes, timeouts, attempts, services and limits are drawn."""
    document = configuration(version)
    extra = {**document["routes"][-1], "name": "extra", "path-prefix": "/extra/"}
    document["routes"].append(extra)
    dropped = rng.choice(("extra", "read", "plan", "none"))
    document["routes"] = [route for route in document["routes"] if route["name"] != dropped]
    for route in document["routes"]:
        route["timeout-ms"] = rng.choice((1500, 2500, 5000))
        route["max-attempts"] = rng.choice((1, 2, 3))
    for service in document["services"]:
        service["max-conns"] = rng.choice((4, 20, 60))
    document["limits"] = {
        "max-header-bytes": rng.choice((4096, 16384)),
        "max-body-bytes": rng.choice((4096, 4194304)),
        "idle-timeout-ms": rng.choice((2000, 15000)),
        "header-timeout-ms": rng.choice((2000, 3000)),
    }
    return document


@pytest.mark.anyio
@pytest.mark.parametrize("seed", [1])
async def test_no_process_leaves_a_whole_request_unanswered_beside_changes(
    seed: int, record_property: Callable[[str, object], None]
) -> None:
    """The plain service is in the south alone and the models in the north, so half cross a hop."""
    tally = Tally()
    rng = random.Random(seed)
    async with platform_deployment(engines=False) as platform:
        for _ in range(2):
            await platform.add_engine(PLAIN_SERVICE, "s-a")
            await platform.add_engine(MODEL_SERVICE, "n-a", event_count=20, event_interval_s=0.02)
        await anyio.sleep(1.0)
        ends_at = anyio.current_time() + PROCESSES_PLAY_S
        version = 1
        async with anyio.create_task_group() as tasks:
            for number in range(CALLERS):
                tasks.start_soon(call_until, platform, number + 100 * seed, ends_at, tally)
            while anyio.current_time() < ends_at:
                version += 1
                document = random_configuration(version, rng)
                reply = await platform.send_operator_command("POST", "/v1/config/put", document)
                assert reply.status == 200
                if rng.random() < 0.5:
                    platform.signal(rng.choice(("m-4", "m-5", "m-6")), signal.SIGHUP)
                await anyio.sleep(rng.uniform(0.05, 0.3))
        logs = "".join(platform.log(name) for name in ("m-4", "m-5", "m-6"))
    record_property("statuses", dict(tally.statuses))
    record_property("configurations", version)
    assert not tally.unanswered, tally
    assert tally.statuses[200] > 100 and version > 10, (tally.statuses, version)
    assert "event=internal_error" not in logs


def with_setting(key: bytes, value: bytes) -> Callable[[bytes], bytes]:
    return lambda text: re.sub(rb"(?m)^%s=.*$" % re.escape(key), b"%s=%s" % (key, value), text)


SETTINGS_CHANGES: dict[str, Callable[[bytes], bytes]] = {
    "the address of callers moved": with_setting(b"listen.front", b"127.0.0.1:9"),
    "the ports of instances and metrics moved": with_setting(b"internal-ports", b"9,10"),
    "another name, zone and region": with_setting(b"region", b"south"),
    "cut short": lambda text: text[: len(text) // 2],
    "no text": lambda text: b"\xff\xfe" + text,
    "empty": lambda text: b"",
    "odd seeds": with_setting(b"seeds", b"nowhere,:1,a.invalid:1,127.0.0.1"),
    "as before": lambda text: text,
}


@pytest.mark.anyio
async def test_reloads_beside_new_configurations_leave_no_whole_request_unanswered() -> None:
    """After each change of its settings an entry gets the signal twice, beside two configurations."""
    tally = Tally()
    entries = ("m-4", "m-5", "m-6")
    async with platform_deployment(engines=False) as platform:
        await platform.add_engine(PLAIN_SERVICE, "s-a")
        await platform.add_engine(MODEL_SERVICE, "n-a", event_count=20, event_interval_s=0.02)
        await anyio.sleep(1.0)
        settings = {name: platform.settings(name) for name in entries}
        version = 1
        async with anyio.create_task_group() as tasks:
            ends_at = anyio.current_time() + RELOADS_PLAY_S
            for number in range(6):
                tasks.start_soon(call_until, platform, number, ends_at, tally)
            for change in SETTINGS_CHANGES.values():
                for name in entries:
                    platform.write_settings(name, change(settings[name]))
                for _ in range(2):
                    for name in entries:
                        platform.signal(name, signal.SIGHUP)
                    version += 1
                    document = random_configuration(version, random.Random(version))
                    reply = await platform.send_operator_command("POST", "/v1/config/put", document)
                    assert reply.status == 200
                    await anyio.sleep(0.3)
            assert anyio.current_time() < ends_at
        assert not platform.ended()
        metrics = (await platform.metrics("m-4", "/metrics")).body.decode()
        logs = [platform.log(name) for name in entries]
    assert not tally.unanswered, tally
    assert tally.statuses[200] > 100, tally
    assert "figpaddle_state_revision" in metrics
    for log in logs:
        assert "event=internal_error" not in log and "event=task_failed" not in log
        # Signals that come in one turn count once.
        assert log.count("event=settings_reloaded") >= len(SETTINGS_CHANGES) - 3
        assert log.count("event=settings_not_reloaded") >= 3


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"
