"""A request that ends without an answer while its caller waits is counted and logged."""

from __future__ import annotations

from collections.abc import MutableMapping
from typing import Any

import anyio
import pytest
import structlog.testing

from figpaddle.daemon._configuration_state import ConfigurationState
from figpaddle.daemon._fault_reporter import FaultReporter
from figpaddle.daemon._http import REQUEST_ID_KEY, Receive, Scope, Send, send_json
from figpaddle.daemon._metrics import Metrics
from figpaddle.daemon._problem_boundary import Application, ProblemBoundary

pytestmark = pytest.mark.anyio

WHOLE = {"type": "http.request", "body": b"x", "more_body": False}
PART = {"type": "http.request", "body": b"x", "more_body": True}
LEFT = {"type": "http.disconnect"}


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def read_and_wait(scope: Scope, receive: Receive, send: Send) -> None:
    scope[REQUEST_ID_KEY] = "r1"
    await receive()
    await receive()


async def answer(scope: Scope, receive: Receive, send: Send) -> None:
    await receive()
    await send_json(send, status=200, value="done")
    await anyio.sleep_forever()


async def raise_error(scope: Scope, receive: Receive, send: Send) -> None:
    await receive()
    raise KeyError("odd")


async def return_without_an_answer(scope: Scope, receive: Receive, send: Send) -> None:
    await receive()


@pytest.mark.parametrize(
    ("application", "events", "reasons"),
    [
        (read_and_wait, [WHOLE], ["cancelled"]),
        (read_and_wait, [PART], []),
        (read_and_wait, [WHOLE, LEFT], []),
        (return_without_an_answer, [WHOLE], ["not answered"]),
        (answer, [WHOLE], []),
        (raise_error, [WHOLE], []),
    ],
)
async def test_only_a_whole_request_without_an_answer_whose_caller_waits_is_noted(
    application: Application,
    events: list[MutableMapping[str, Any]],
    reasons: list[str],
) -> None:
    unread = list(events)

    async def receive() -> MutableMapping[str, Any]:
        if unread:
            return unread.pop(0)
        return await anyio.sleep_forever()

    async def send(event: MutableMapping[str, Any]) -> None:
        pass

    metrics, log = Metrics(), structlog.get_logger()
    faults = FaultReporter(configuration=ConfigurationState(), log=log)
    boundary = ProblemBoundary(application=application, faults=faults, metrics=metrics, log=log)
    with structlog.testing.capture_logs() as lines, anyio.move_on_after(0.05):
        await boundary({"type": "http", "method": "GET", "path": "/"}, receive, send)
    noted = [line for line in lines if line["event"] == "request_unanswered"]
    assert [line["reason"] for line in noted] == reasons
    for reason in reasons:
        assert f'unanswered_total{{reason="{reason}"}} 1' in metrics.render(member=None)
