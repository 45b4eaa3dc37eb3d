"""A retry is charged to the budget of its member only if it is sent."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import anyio
import pytest
import structlog

from figpaddle.daemon._configuration_state import ConfigurationState
from figpaddle.daemon._gateway import Gateway
from figpaddle.daemon._outcome_tracker import OutcomeTracker
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
from figpaddle.errors import (
    BackendServerLostError,
    Outcome,
    OverloadedError,
    RequestError,
    RequestQuarantinedError,
)
from figpaddle.routing import Placement, RequestTraits, RetryBudget

#: Names of the backend servers of each service; the first one of each breaks all connections.
SERVERS = {"draft": ("draft-1",), "desk-chat": ("desk-chat-1", "desk-chat-2")}
DEADLINE_S = 5.0


class Quarantine:
    """Refuses requests of one service once they have failed, if told so."""

    def __init__(self, *, refuses_failed: bool) -> None:
        self._refuses_failed = refuses_failed
        self._failed: set[str] = set()

    def digest(self, head: RequestHead, body: BodySource) -> bytes:
        return head.service.encode()

    def traits(self, head: RequestHead, digest: bytes) -> RequestTraits:
        return RequestTraits(member=head.member, fingerprint=digest, parts=())

    def check(self, traits: RequestTraits) -> None:
        if traits.fingerprint.decode() in self._failed:
            raise RequestQuarantinedError(retry_after_s=1.0)

    async def report_lost_connection(
        self, head: RequestHead, backend: Any, *, on_lost: Callable[[], None]
    ) -> None:
        if self._refuses_failed and head.service == "draft":
            self._failed.add(head.service)

    def release_slot(self, name: str, digest: bytes) -> None: ...

    def note_sent(self, *args: Any, **kwargs: Any) -> None: ...

    def note_ended(self, *args: Any, **kwargs: Any) -> None: ...


class Placer:
    """Takes the backend servers in turn, and admits no second attempt of a service if told so."""

    def __init__(self, *, admits_retries: bool) -> None:
        self._admits_retries = admits_retries

    def place(self, head: RequestHead, regions: tuple[str, ...], excluded: set[str]) -> Any:
        if excluded and head.service == "draft" and not self._admits_retries:
            raise OverloadedError(service=head.service, retry_after_s=1.0)
        for name in SERVERS[head.service]:
            if name not in excluded:
                info = SimpleNamespace(name=name, incarnation=1)
                return Placement(backend=SimpleNamespace(info=info))  # type: ignore[arg-type]
        return None

    def start_progress(self, head: RequestHead, placement: Placement) -> Any:
        return SimpleNamespace(record_end=lambda: None)


class Client:
    """Loses the connections to the first backend server of each service."""

    def __init__(self) -> None:
        self.sent_to: list[str] = []

    async def send(
        self, head: RequestHead, body: BodySource, backend: Any, *_: Any, **__: Any
    ) -> None:
        self.sent_to.append(backend.info.name)
        if backend.info.name.endswith("-1"):
            raise BackendServerLostError(backend=backend.info.name)


class Backends:
    """Knows some backend server."""

    def candidates(self, service_key: str, *, now: float) -> tuple[str, ...]:
        return (service_key,)

    def started(self, name: str) -> None: ...

    def finished(self, name: str) -> None: ...

    def note_connection(self, name: str, *, opened: bool) -> None: ...


class NoSink(ResponseSink):
    """Takes a response."""

    @property
    def started(self) -> bool:
        return False

    async def start(self, head: ResponseHead) -> None: ...

    async def write(self, data: bytes) -> None: ...

    async def finish(self) -> None: ...


def make_gateway(*, client: Client, admits_retries: bool, refuses_failed: bool) -> Gateway:
    """Return a gateway whose member has a single retry left."""
    services = tuple(
        ServiceConfiguration(
            name=name,
            kind=ServiceKind.MODEL,
            repeatable=True,
            deadline_s=DEADLINE_S,
            regions=("seoul",),
        )
        for name in SERVERS
    )
    configuration = ConfigurationState()
    member = MemberConfiguration(name="hanbit", services=services)
    configuration.install(Configuration(revision=1, members=(member,)))
    gateway = Gateway(
        directory=SimpleNamespace(own=SimpleNamespace(name="seoul-1", region="seoul")),  # type: ignore[arg-type]
        configuration=configuration,
        backends=Backends(),  # type: ignore[arg-type]
        placer=Placer(admits_retries=admits_retries),  # type: ignore[arg-type]
        client=client,  # type: ignore[arg-type]
        forwarder=SimpleNamespace(),  # type: ignore[arg-type]
        at_most_once=SimpleNamespace(),  # type: ignore[arg-type]
        quarantine=Quarantine(refuses_failed=refuses_failed),  # type: ignore[arg-type]
        faults=SimpleNamespace(),  # type: ignore[arg-type]
        clock=anyio.current_time,
        log=structlog.get_logger(),
    )
    gateway._retry_budget = RetryBudget(share=0.0, per_s=0.0, max_saved=1.0)
    return gateway


async def serve(gateway: Gateway, service: str) -> RequestError | None:
    """Serve a request; return its failure."""
    head = RequestHead(
        request_id="id",
        member="hanbit",
        client="desk",
        home="seoul",
        service=service,
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
    return None


@pytest.mark.parametrize(
    ("admits_retries", "refuses_failed", "problem"),
    [
        (True, False, "backend-server-lost"),
        (False, False, "overloaded"),
        (True, True, "request-quarantined"),
    ],
    ids=["no place", "not admitted", "quarantined"],
)
def test_requests_that_are_not_sent_again_leave_the_retries_to_others_of_their_member(
    admits_retries: bool, refuses_failed: bool, problem: str
) -> None:
    async def run() -> None:
        client = Client()
        gateway = make_gateway(
            client=client, admits_retries=admits_retries, refuses_failed=refuses_failed
        )
        failure = await serve(gateway, "draft")
        assert failure is not None
        assert (failure.problem, failure.outcome) == (problem, Outcome.UNKNOWN)
        assert await serve(gateway, "desk-chat") is None
        assert client.sent_to == ["draft-1", "desk-chat-1", "desk-chat-2"]
        # That one was sent and charged.
        assert await serve(gateway, "desk-chat") is not None

    anyio.run(run)
