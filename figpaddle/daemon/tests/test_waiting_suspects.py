"""A request that waits for a place without other suspects begins only if it ends before a planned stop."""

from __future__ import annotations

import dataclasses
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
from figpaddle.errors import DrainingError
from figpaddle.routing import Placement, RequestTraits
from figpaddle.routing._answer_times import MIN_TAIL_SAMPLES

SERVICE = ServiceConfiguration(
    name="draft", kind=ServiceKind.MODEL, repeatable=True, deadline_s=5.0, regions=("seoul",)
)
#: Digest of the request, and of a part of its prompt.
REQUEST, PART = b"request", b"part"
#: Measured time of answers, and time from the request until the process stops, seconds.
ANSWER_S, STOPS_IN_S = 0.4, 1.0


class Quarantine:
    """Suspects a digest, and has no free slot until a time, or answers only then if it is ``slow``."""

    def __init__(self, *, suspected: bytes, free_at: float, slow: bool) -> None:
        self._slow = slow
        self._suspected = suspected
        self._free_at = free_at
        self.held: set[tuple[str, bytes]] = set()

    def digest(self, head: RequestHead, body: BodySource) -> bytes:
        return REQUEST

    def traits(self, head: RequestHead, digest: bytes) -> RequestTraits:
        return RequestTraits(member=head.member, fingerprint=digest, parts=(PART,))

    def check(self, traits: RequestTraits) -> bytes:
        return self._suspected

    async def acquire_slot(self, name: str, digest: bytes) -> bool:
        if self._slow:
            await anyio.sleep_until(self._free_at)
        if anyio.current_time() < self._free_at:
            return False
        self.held.add((name, digest))
        return True

    def release_slot(self, name: str, digest: bytes) -> None:
        self.held.discard((name, digest))

    def note_sent(self, *args: Any, **kwargs: Any) -> None: ...

    def note_ended(self, *args: Any, **kwargs: Any) -> None: ...


class Placer:
    """Has one backend server."""

    def __init__(self) -> None:
        info = SimpleNamespace(name="engine", incarnation=1)
        self._placement = Placement(backend=SimpleNamespace(info=info))  # type: ignore[arg-type]

    def place(self, head: RequestHead, regions: tuple[str, ...], excluded: set[str]) -> Any:
        return None if "engine" in excluded else self._placement

    def withdraw(self, head: RequestHead, placement: Placement) -> None:
        return

    def start_progress(self, head: RequestHead, placement: Placement) -> Any:
        return SimpleNamespace(record_end=lambda: None)


class Client:
    """Counts the requests sent."""

    def __init__(self) -> None:
        self.sent = 0

    async def send(self, *args: Any, **kwargs: Any) -> None:
        self.sent += 1


class Backends:
    """Knows one backend server."""

    def candidates(self, service_key: str, *, now: float) -> tuple[str, ...]:
        return ("engine",)

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


@dataclasses.dataclass(kw_only=True)
class Result:
    """What became of the request."""

    sent: int
    refused_after_s: float | None = None
    #: Slots that it still holds.
    held: set[tuple[str, bytes]]


async def serve(*, suspected: bytes, free_in_s: float, slow: bool = False) -> Result:
    """Serve a suspect request at a stopping instance, and return what became of it."""
    begun_at = anyio.current_time()
    configuration = ConfigurationState()
    member = MemberConfiguration(name="hanbit", services=(SERVICE,))
    configuration.install(Configuration(revision=1, members=(member,)))
    quarantine = Quarantine(suspected=suspected, free_at=begun_at + free_in_s, slow=slow)
    client = Client()
    gateway = Gateway(
        directory=SimpleNamespace(own=SimpleNamespace(name="seoul-1", region="seoul")),  # type: ignore[arg-type]
        configuration=configuration,
        backends=Backends(),  # type: ignore[arg-type]
        placer=Placer(),  # type: ignore[arg-type]
        client=client,  # type: ignore[arg-type]
        forwarder=SimpleNamespace(),  # type: ignore[arg-type]
        at_most_once=SimpleNamespace(),  # type: ignore[arg-type]
        quarantine=quarantine,  # type: ignore[arg-type]
        faults=SimpleNamespace(),  # type: ignore[arg-type]
        clock=anyio.current_time,
        log=structlog.get_logger(),
    )
    for number in range(MIN_TAIL_SAMPLES):
        kind = ("hanbit/draft", False)
        gateway._answer_times.note_begun(str(number), kind, now=begun_at - ANSWER_S)
        gateway._answer_times.note_ended(str(number), answered=True, now=begun_at)
    gateway.stop_at(begun_at + STOPS_IN_S, announced_at=begun_at)
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
        deadline_at=begun_at + SERVICE.deadline_s,
        deadline_s=SERVICE.deadline_s,
        priority=0,
    )
    refused_after_s = None
    try:
        await gateway._serve(head, BufferedBody(data=b"x"), NoSink(), OutcomeTracker())
    except DrainingError:
        refused_after_s = anyio.current_time() - begun_at
    return Result(sent=client.sent, refused_after_s=refused_after_s, held=quarantine.held)


@pytest.mark.parametrize("suspected", [REQUEST, PART], ids=["request", "part"])
def test_a_suspect_that_gets_its_place_too_late_to_end_before_the_stop_is_refused(
    suspected: bytes,
) -> None:
    result = anyio.run(lambda: serve(suspected=suspected, free_in_s=STOPS_IN_S - ANSWER_S / 2))
    assert (result.sent, result.held) == (0, set())
    # It is refused once it can't begin any more, not only when the place is free.
    assert result.refused_after_s is not None
    assert result.refused_after_s < STOPS_IN_S - ANSWER_S / 2


@pytest.mark.parametrize("suspected", [REQUEST, PART], ids=["request", "part"])
def test_a_suspect_whose_place_is_granted_too_late_gives_it_back(suspected: bytes) -> None:
    free_in_s = STOPS_IN_S - ANSWER_S / 2
    result = anyio.run(lambda: serve(suspected=suspected, free_in_s=free_in_s, slow=True))
    assert (result.sent, result.held) == (0, set())
    assert result.refused_after_s is not None


@pytest.mark.parametrize("suspected", [REQUEST, PART], ids=["request", "part"])
def test_a_suspect_that_gets_its_place_in_time_is_sent(suspected: bytes) -> None:
    result = anyio.run(lambda: serve(suspected=suspected, free_in_s=0.1))
    assert (result.sent, result.refused_after_s, result.held) == (1, None, set())
