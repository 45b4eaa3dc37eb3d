"""A request whose backend server is lost is answered by its deadline, and the loss counts."""

from __future__ import annotations

import contextlib
import random
import socket
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

import anyio
import structlog

from figpaddle.coordination import InstanceDirectory
from figpaddle.daemon._configuration_state import ConfigurationState
from figpaddle.daemon._gateway import Gateway
from figpaddle.daemon._outcome_tracker import OutcomeTracker
from figpaddle.daemon._quarantine import PROBE_HOLD_S, PROBE_TIMEOUT_S, QuarantineComponent
from figpaddle.daemon._request_response import (
    BodySource,
    BufferedBody,
    RequestHead,
    ResponseHead,
    ResponseSink,
)
from figpaddle.deployment import (
    Configuration,
    MemberConfiguration,
    ServiceConfiguration,
    ServiceKind,
)
from figpaddle.errors import BackendServerLostError, Outcome, RequestError
from figpaddle.routing import Placement
from figpaddle.wire import InstanceInfo, InstanceState

#: Deadline of the service, and when the connection to its backend server is lost, seconds.
DEADLINE_S, LOST_AFTER_S = 0.5, 0.4
#: Time by which the answer may be late, seconds.
MARGIN_S = 0.4
SERVICE = ServiceConfiguration(
    name="draft", kind=ServiceKind.MODEL, repeatable=True, deadline_s=DEADLINE_S, regions=("seoul",)
)
#: Connections that fill the queue of a listener, with some to spare.
FILLING_CONNECTIONS = 4


@contextlib.contextmanager
def unanswering_address() -> Iterator[str]:
    """Yield an address at which connections are neither accepted nor refused."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        host, port = listener.getsockname()
        for _ in range(FILLING_CONNECTIONS):
            filling = stack.enter_context(socket.socket())
            filling.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filling.connect((host, port))
        yield f"{host}:{port}"


class Client:
    """Loses each connection after some time."""

    async def send(
        self, head: RequestHead, body: BodySource, backend: Any, *_: Any, **__: Any
    ) -> None:
        await anyio.sleep(LOST_AFTER_S)
        raise BackendServerLostError(backend=backend.info.name)


class Placer:
    """Has one backend server."""

    def __init__(self, address: str) -> None:
        info = SimpleNamespace(name="engine", incarnation=1, address=address)
        self._placement = Placement(backend=SimpleNamespace(info=info))  # type: ignore[arg-type]

    def place(self, head: RequestHead, regions: tuple[str, ...], excluded: set[str]) -> Any:
        return None if "engine" in excluded else self._placement

    def start_progress(self, head: RequestHead, placement: Placement) -> Any:
        return SimpleNamespace(record_end=lambda: None)


class Backends:
    """Knows one backend server."""

    def __init__(self) -> None:
        self.lost: list[str] = []

    def candidates(self, service_key: str, *, now: float) -> tuple[str, ...]:
        return ("engine",)

    def started(self, name: str) -> None: ...

    def finished(self, name: str) -> None: ...

    def note_lost(self, name: str) -> None:
        self.lost.append(name)


class NoSink(ResponseSink):
    """Takes a response."""

    @property
    def started(self) -> bool:
        return False

    async def start(self, head: ResponseHead) -> None: ...

    async def write(self, data: bytes) -> None: ...

    async def finish(self) -> None: ...


def make_directory() -> InstanceDirectory:
    info = InstanceInfo(
        name="seoul-1",
        region="seoul",
        zone="seoul-a",
        state=InstanceState.SERVING,
        peer_address="127.0.0.1:1",
        caller_address="127.0.0.1:2",
        incarnation=1,
    )
    return InstanceDirectory(own=info)


def make_quarantine(directory: InstanceDirectory) -> QuarantineComponent:
    network = SimpleNamespace(register=lambda *_: None)
    return QuarantineComponent(
        directory=directory,
        network=network,  # type: ignore[arg-type]
        key=b"key",
        rng=random.Random(1),
        clock=anyio.current_time,
        log=structlog.get_logger(),
    )


async def serve(address: str, backends: Backends, quarantine: QuarantineComponent) -> RequestError:
    """Serve a request and return its failure."""
    configuration = ConfigurationState()
    member = MemberConfiguration(name="hanbit", services=(SERVICE,))
    configuration.install(Configuration(revision=1, members=(member,)))
    gateway = Gateway(
        directory=make_directory(),
        configuration=configuration,
        backends=backends,  # type: ignore[arg-type]
        placer=Placer(address),  # type: ignore[arg-type]
        client=Client(),  # type: ignore[arg-type]
        forwarder=SimpleNamespace(),  # type: ignore[arg-type]
        at_most_once=SimpleNamespace(),  # type: ignore[arg-type]
        quarantine=quarantine,
        faults=SimpleNamespace(),  # type: ignore[arg-type]
        clock=anyio.current_time,
        log=structlog.get_logger(),
    )
    head = RequestHead(
        request_id="id",
        member="hanbit",
        client="desk",
        home="seoul",
        service="draft",
        method="POST",
        target="/",
        headers=(),
        idempotent=True,
        idempotency_key=None,
        deadline_at=anyio.current_time() + DEADLINE_S,
        deadline_s=DEADLINE_S,
        priority=0,
    )
    try:
        await gateway._serve(head, BufferedBody(data=b"x"), NoSink(), OutcomeTracker())
    except RequestError as error:
        return error
    raise AssertionError("the request was served")


def test_a_probe_of_a_lost_backend_server_does_not_delay_an_answer_beyond_its_deadline() -> None:
    async def run(address: str) -> None:
        backends = Backends()
        quarantine = make_quarantine(make_directory())
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(quarantine.run)
            await anyio.sleep(0.0)
            begun_at = anyio.current_time()
            failure = await serve(address, backends, quarantine)
            assert anyio.current_time() - begun_at < DEADLINE_S + MARGIN_S
            assert (failure.problem, failure.outcome) == ("backend-server-lost", Outcome.UNKNOWN)
            # The probe goes on, and its result counts.
            with anyio.fail_after(PROBE_TIMEOUT_S + PROBE_HOLD_S + MARGIN_S):
                while not backends.lost:
                    await anyio.sleep(0.01)
            assert [
                row["kind"] for row in quarantine.dump(now=anyio.current_time(), member=None)
            ] == ["request"]
            tasks.cancel_scope.cancel()

    with unanswering_address() as address:
        anyio.run(run, address)
