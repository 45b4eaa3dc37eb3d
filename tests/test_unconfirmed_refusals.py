"""What becomes of an answer whose status promises that a request has not run, without its server's word."""

from __future__ import annotations

import pytest

from figpaddle.regional._mesh import Mesh
from figpaddle.regional._placer import Placer
from figpaddle.routing import Choice
from tests.long_turns import LateEntry, Script, late_entry, whole_answer
from tests.platform_standin import MODEL_SERVICE, PLAIN_SERVICE
from tests.test_internal_errors import FAILED_ID, PEER_PORT, forwarded_request, play, request

#: Routes whose requests may run once, with the services that run them.
ONCE_ROUTES = {"/hold/1": PLAIN_SERVICE, "/chat/1": MODEL_SERVICE}
#: Statuses that callers take for the promise, of those that a server may answer after a run.
PROMISES = ("408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable")
ELSEWHERE = Choice(
    backend=None, region="south", expected_s=0.01, wait_s=0.0, prefill=0.0, score=0.01
)


def play_failing(
    entry: LateEntry, status: str, request_bytes: bytes, *, port: int = 0, work_s: float = 0.01
) -> bytes:
    """Return what a caller gets whose server runs each request and answers with a status."""
    server = entry.add_server(
        lambda _, request_id: (work_s, whole_answer(request_id, status=status, body="failed")),
        service=MODEL_SERVICE if b" /chat/" in request_bytes else PLAIN_SERVICE,
    )
    caller = play(entry, request_bytes, port=port)
    assert server.arrivals
    (answer,) = caller.answers
    return answer


class PlannedStop(Script):
    """Tells an entry to stop once its first request is in progress."""

    def __init__(self, entry: LateEntry) -> None:
        self._entry = entry

    def step(self, now: float) -> None:
        process = self._entry.process
        if self._entry.servers[0].arrivals and not process._stop_requested.is_set():
            process._lifecycle.handle("stop")
            process._lifecycle.handle("grace_over")
            process._stop_requested.set()


def assert_promises_nothing(answer: bytes) -> None:
    """Check that an answer is of the entry itself and doesn't say that the request has not run."""
    head, _, body = answer.lower().partition(b"\r\n\r\n")
    assert head.startswith(b"http/1.1 502 ")
    assert b"x-figpaddle-server-seal" not in head and not body


@pytest.mark.parametrize("path", ONCE_ROUTES)
@pytest.mark.parametrize("status", PROMISES)
def test_a_caller_is_not_told_that_a_request_which_has_run_did_not(status: str, path: str) -> None:
    # Guards against requests that run twice, as callers take a failure after the run for a refusal.
    with late_entry() as entry:
        answer = play_failing(entry, status, request(FAILED_ID, path))
        assert_promises_nothing(answer)
        assert len(entry.servers[0].arrivals) == 1
        log = entry.log()
    assert f"status={status[:3]} repeat=once fate=withheld" in log
    # A failure after a run is neither a lost connection nor a want of room.
    assert "backend_lost" not in log and "backend_pausing" not in log


@pytest.mark.parametrize("path", ONCE_ROUTES)
def test_a_planned_stop_passes_on_no_failure_that_reads_as_a_refusal(path: str) -> None:
    # Guards against the same in a stop, where a request that has run ends with a server's failure.
    with late_entry() as entry:
        entry.loop.scripts.append(PlannedStop(entry))
        answer = play_failing(entry, PROMISES[-1], request(FAILED_ID, path), work_s=0.5)
        assert entry.process.leaving
    assert_promises_nothing(answer)


@pytest.mark.parametrize("path", ONCE_ROUTES)
@pytest.mark.parametrize("status", PROMISES)
def test_an_entry_that_forwarded_a_request_is_told_that_it_may_have_run(
    status: str, path: str
) -> None:
    # Guards against such a failure that passes on through another region's entry.
    with late_entry() as entry:
        answer = play_failing(entry, status, forwarded_request(path), port=PEER_PORT)
    assert_promises_nothing(answer)
    assert b"figpaddle-outcome: unknown" in answer.lower()


@pytest.mark.parametrize("path", ONCE_ROUTES)
@pytest.mark.parametrize("status", PROMISES)
def test_a_failure_that_another_entry_passes_on_is_withheld_too(
    monkeypatch: pytest.MonkeyPatch, status: str, path: str
) -> None:
    # Guards against entries of earlier builds, which answer with the status of their server.
    with late_entry() as entry:
        other = entry.add_server(
            lambda _, request_id: (0.01, whole_answer(request_id, status=status, body="failed"))
        )
        monkeypatch.setattr(Placer, "place", lambda *_: ELSEWHERE)
        monkeypatch.setattr(Placer, "pick_entry", lambda *_, **__: "entry-south")
        monkeypatch.setattr(Mesh, "peer_address", lambda *_: other.address)
        monkeypatch.setattr(Mesh, "warm_connections", lambda *_: None)
        (answer,) = play(entry, request(FAILED_ID, path)).answers
        assert len(other.arrivals) == 1
    assert_promises_nothing(answer)


@pytest.mark.parametrize(
    ("path", "status"),
    [
        *(("/read/1", status) for status in PROMISES),
        *((path, "500 Internal Server Error") for path in ONCE_ROUTES),
        *((path, "504 Gateway Timeout") for path in ONCE_ROUTES),
    ],
)
def test_a_failure_that_tells_its_caller_nothing_wrong_is_passed_on_unchanged(
    path: str, status: str
) -> None:
    # Guards against servers' failures that are replaced though a repeat does no harm or isn't promised.
    with late_entry() as entry:
        answer = play_failing(entry, status, request(FAILED_ID, path))
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(f"HTTP/1.1 {status[:3]} ".encode())
    assert b"X-Figpaddle-Server-Seal: seal" in head and body == b"failed"
