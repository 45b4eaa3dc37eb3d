"""What an entry charges its retry budget with, for requests that real servers break off or refuse."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
from collections.abc import AsyncIterator
from types import SimpleNamespace
from typing import Any

import anyio
import pytest
import structlog

from figpaddle.deployment import Repeat
from figpaddle.http1 import ConnectionPool, Headers, header
from figpaddle.regional._forwarding import ATTEMPTS_FIELD, NOT_RUN, OUTCOME_FIELD
from figpaddle.regional._gateway import Gateway
from figpaddle.regional._placer import Placer
from figpaddle.regional._request_context import RequestContext
from figpaddle.regional.tests.test_cut_off_placement import cut_off_placer, server_record
from figpaddle.routing._rate_limits import SLACK_FRACTION
from figpaddle.telemetry import MetricsRegistry
from tests.scripted_exchange import DIALECT, RecordingResponder, new_context

pytestmark = pytest.mark.anyio

REQUESTS = 12
#: Repeats that the entry may make in all: one for each request, and four refusals.
REPEATS = REQUESTS + 4
#: Time for which servers refuse after the others have lost their requests, seconds.
REFUSES_FOR_S = 0.3
#: An address at which nothing listens.
CLOSED_ADDRESS = "127.0.0.1:1"
TIMEOUT_S = 6.0
SERVICE = "plain"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class Server:
    """A server that holds requests, and breaks them off, or refuses or answers them at once."""

    def __init__(self, *, acts: str) -> None:
        self.acts = acts
        self.address = ""
        self.arrivals = 0
        self.refusals = 0
        self._writers: list[asyncio.StreamWriter] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                name = head.partition("x-figpaddle-request-id: ")[2].partition("\r\n")[0].encode()
                self.arrivals += 1
                if self.acts == "refuses":
                    self.refusals += 1
                    writer.write(
                        b"HTTP/1.1 503 Full\r\nX-Figpaddle-Request-Id: %b\r\n"
                        b"X-Figpaddle-Not-Executed: full\r\nContent-Length: 0\r\n\r\n" % name
                    )
                elif self.acts == "forwards to none":
                    writer.write(
                        b"HTTP/1.1 503 Full\r\n%b: %b\r\n%b: 0\r\nContent-Length: 0\r\n\r\n"
                        % (OUTCOME_FIELD, NOT_RUN, ATTEMPTS_FIELD)
                    )
                elif self.acts == "forwards to one that refuses":
                    writer.write(
                        b"HTTP/1.1 503 Full\r\n%b: %b\r\n%b: 1\r\nContent-Length: 0\r\n\r\n"
                        % (OUTCOME_FIELD, NOT_RUN, ATTEMPTS_FIELD)
                    )
                elif self.acts == "answers":
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nX-Figpaddle-Request-Id: %b\r\n"
                        b"X-Figpaddle-Server-Seal: seal\r\nContent-Length: 2\r\n\r\nok" % name
                    )

    def close(self) -> None:
        for writer in self._writers:
            writer.close()


class CallerResponder(RecordingResponder):
    """The answer of a caller, with its header fields."""

    def __init__(self) -> None:
        super().__init__()
        self.headers: Headers = ()

    async def answer(self, status: int, headers: Headers, body: bytes) -> None:
        self.headers = headers
        await super().answer(status, headers, body)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """An entry whose region has the servers."""

    gateway: Gateway
    placer: Placer
    servers: list[Server]

    async def serve(self, context: RequestContext) -> CallerResponder:
        responder = CallerResponder()
        await self.gateway._attempt_until_done(context, responder)
        return responder

    @property
    def charged(self) -> int:
        """Repeats that the budget is charged with."""
        used = self.gateway.retry_budget.used(now=anyio.current_time())
        return used.get(SERVICE, 0)


@contextlib.asynccontextmanager
async def running_entry(*acts: str) -> AsyncIterator[Entry]:
    """Run an entry and a server for each of ``acts``."""
    placer = await cut_off_placer(warmups_s=())
    clock = anyio.current_time
    placer._clock = clock
    bounds = dataclasses.replace(
        placer._settings.bounds, retry_ratio=0.0, retry_slack=(REPEATS + 0.5) / SLACK_FRACTION
    )
    settings = dataclasses.replace(placer._settings, bounds=bounds, first_start=True)

    async def may_retry(*_: Any, **__: Any) -> bool:
        return True

    quarantine: Any = SimpleNamespace(
        refusal=lambda _: None,
        refuses_retry=lambda _: False,
        confine=lambda _: None,
        may_retry=may_retry,
        wait_until_reported=may_retry,
        **dict.fromkeys(
            ("note_sent", "note_not_run", "note_ended", "note_progress", "note_lost_connection"),
            lambda *_, **__: None,
        ),
    )
    unused: Any = None
    pool = ConnectionPool(clock=clock, ack_timeout_s=2.0)
    gateway = Gateway(
        settings=settings,
        dialect=DIALECT,
        mesh=placer._mesh,
        follower=placer._follower,
        placer=placer,
        pool=pool,
        requests=unused,
        clock=clock,
        boot_clock=clock,
        quarantine=quarantine,
        streams=unused,
        # Its requests are of no workspace, so there is no quota to charge.
        leases=SimpleNamespace(),
        quotas=SimpleNamespace(
            known_refusal=lambda context: None,
            refusal_of_region=lambda context, region: None,
            try_charge=lambda context: True,
            settle=lambda context, *, may_have_run: None,
        ),
        rng=random.Random(1),
        log=structlog.wrap_logger(structlog.ReturnLogger(), processors=[]),
        metrics=MetricsRegistry(),
    )
    servers = [Server(acts=how) for how in acts]
    async with contextlib.AsyncExitStack() as stack:
        for number, server in enumerate(servers):
            listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
            host, port = listener.sockets[0].getsockname()
            server.address = f"{host}:{port}"
            stack.callback(listener.close)
            stack.callback(server.close)
            place(placer, number, server.address)
        placer.contact.note_check(servers=(), reached=True, now=clock())
        with anyio.fail_after(TIMEOUT_S):
            yield Entry(gateway=gateway, placer=placer, servers=servers)


def place(placer: Placer, number: int, address: str) -> None:
    """Let an entry know a server."""
    record = dataclasses.replace(
        server_record(number, warmup_s=0.0), service=SERVICE, slots=100, address=address
    )
    placer.fleet.apply(record, now=anyio.current_time())


def request(name: str) -> RequestContext:
    """Return a request for a whole answer that may be repeated."""
    context = new_context(name)
    context.route = dataclasses.replace(
        context.route, repeat=Repeat.IDEMPOTENT, target_s=3.0, home_regions=("north",)
    )
    context.service = dataclasses.replace(context.service, max_connections=1000)
    context.deadline_at = anyio.current_time() + TIMEOUT_S
    context.attempts_left = 2
    return context


async def test_requests_that_lose_their_server_together_do_not_spend_the_budget_on_refusals() -> (
    None
):
    # Guards against requests that are cut as all of them asked servers that refused the first already.
    async with running_entry("holds") as entry:
        replies: list[CallerResponder] = []

        async def send(number: int) -> None:
            replies.append(await entry.serve(request(f"r{number}")))

        async with anyio.create_task_group() as tasks:
            for number in range(REQUESTS):
                tasks.start_soon(send, number)
            holding = entry.servers[0]
            while holding.arrivals < REQUESTS:
                await anyio.sleep(0.01)
            others = [Server(acts="refuses"), Server(acts="refuses")]
            for number, server in enumerate(others, 1):
                listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
                host, port = listener.sockets[0].getsockname()
                place(entry.placer, number, f"{host}:{port}")
            holding.acts = "refuses"
            holding.close()
            await anyio.sleep(REFUSES_FOR_S)
            for server in (holding, *others):
                server.acts = "answers"
        assert [reply.status for reply in replies] == [200] * REQUESTS
        arrivals = sum(server.arrivals for server in (holding, *others))
        assert entry.charged == arrivals - REQUESTS <= REPEATS


async def break_off(entry: Entry, *, address: str) -> None:
    """Let the only server break its request off once another one is known, and refuse it from then on."""
    holding = entry.servers[0]
    while not holding.arrivals:
        await anyio.sleep(0.01)
    place(entry.placer, 1, address)
    holding.acts = "refuses"
    holding.close()


async def test_an_attempt_that_reaches_no_server_leaves_no_charge() -> None:
    async with running_entry("holds") as entry, anyio.create_task_group() as tasks:
        tasks.start_soon(lambda: break_off(entry, address=CLOSED_ADDRESS))
        reply = await entry.serve(request("r0"))
        assert reply.status == 502
        assert entry.charged == entry.servers[0].arrivals - 1


async def test_a_caller_that_leaves_while_its_request_waits_for_a_place_leaves_no_charge() -> None:
    async with running_entry("holds") as entry, anyio.create_task_group() as tasks:
        tasks.start_soon(entry.serve, request("r0"))
        for name in ("i-0", "i-1"):
            entry.placer.offer_limits.note_refused(name, now=anyio.current_time())
        await break_off(entry, address=CLOSED_ADDRESS)
        await anyio.sleep(0.25)
        tasks.cancel_scope.cancel()
    assert entry.servers[0].arrivals == 1 and not entry.charged


async def test_a_refused_request_states_whether_a_server_got_it_to_the_entry_that_forwarded_it() -> (
    None
):
    async with running_entry("refuses") as entry:
        for number, arrived in enumerate((b"1", b"0")):
            context = request(f"r{number}")
            context.origin, context.attempts_allowed = "south", 2
            if arrived == b"0":
                entry.placer.fleet.note_unreachable("i-0", now=anyio.current_time())
            reply = await entry.serve(context)
            assert reply.status == 503
            assert header(reply.headers, OUTCOME_FIELD) == NOT_RUN
            assert header(reply.headers, ATTEMPTS_FIELD) == arrived


@pytest.mark.parametrize(
    ("acts", "charged"), [("forwards to none", 0), ("forwards to one that refuses", 1)]
)
async def test_a_repeat_after_another_region_refused_a_request_is_charged_if_a_server_there_got_it(
    acts: str, charged: int
) -> None:
    # Guards against arrivals at several servers of which none is charged.
    async with running_entry("answers") as entry:
        elsewhere = Server(acts=acts)
        listener = await asyncio.start_server(elsewhere.serve, "127.0.0.1", 0)
        host, port = listener.sockets[0].getsockname()
        entry.placer._mesh.peer_address = lambda _: f"{host}:{port}"  # type: ignore[method-assign]
        context = request("r0")
        place_here = entry.placer.place
        forwarded = dataclasses.replace(place_here(context), backend=None, region="south")  # type: ignore[type-var]
        choices = iter((forwarded,))
        entry.placer.place = lambda context, **_: next(choices, None) or place_here(context)  # type: ignore[method-assign]
        reply = await entry.serve(context)
        assert (reply.status, elsewhere.arrivals, entry.servers[0].arrivals) == (200, 1, 1)
        assert entry.charged == charged
