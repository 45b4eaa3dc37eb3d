"""What an entry measures of its servers' answers decides what it still begins once it stops."""

from __future__ import annotations

import signal

import anyio
import pytest

from figpaddle.routing._answer_times import MIN_TAIL_SAMPLES
from figpaddle.wire import Readiness
from tests.long_turns import SHORT_TURN_S, arrivals, late_entry, whole_answer
from tests.platform_standin import platform_deployment
from tests.test_planned_stops import Callers, SlowCallers, add_engines
from tests.test_stop_order import STOP_AT_S, Stop

pytestmark = pytest.mark.anyio

#: When a slow caller begins to read, and when quick requests come after the signal, seconds.
READ_AFTER_S, SENT_AFTER_S = 2.2, 1.2
#: Time of an answer that doesn't end within the grace any more, and when it is asked for, seconds.
LONG_ANSWER_S, LATE_S = 4.9, 4.0


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_a_caller_that_reads_slowly_says_nothing_of_the_time_of_answers() -> None:
    async with platform_deployment(engines=False) as platform:
        await add_engines(platform, "n-a", "s-a")
        callers = Callers(platform=platform)
        await callers.measure("m-6")
        slow = SlowCallers(platform=platform, reads_at=anyio.current_time() + READ_AFTER_S)
        await slow.send("m-6", "large")
        assert slow.answers == [(200, True)]
        platform.signal("m-6", signal.SIGTERM)
        await anyio.sleep(SENT_AFTER_S)
        for number in range(5):
            await callers.send("m-6", "hold", f"late-{number}")
        assert [ending.status for ending in callers.endings] == [200] * 5


@pytest.mark.parametrize(
    ("status", "answered"),
    [
        ("500 Error", 500),
        ("404 Not Found", 404),
        # It would promise that the request has not run, and these have.
        ("429 Too Many Requests", 502),
    ],
)
def test_quick_failures_begin_nothing_that_outlasts_a_stop(status: str, answered: int) -> None:
    def answers(number: int, request_id: str) -> tuple[float, bytes]:
        if request_id.startswith("quick"):
            return 0.02, whole_answer(request_id, status=status)
        return LONG_ANSWER_S, whole_answer(request_id)

    with late_entry() as entry:
        entry.add_server(answers)
        quick = [
            entry.add_caller(
                f"quick{number}", path="/hold/1", send_at=0.1 + 0.05 * number, leave_at=2.0
            )
            for number in range(MIN_TAIL_SAMPLES + 1)
        ]
        stop = Stop(entry=entry, heard_after_s=1.0, readiness=Readiness.LEAVING, stopping_s=1.5)
        entry.loop.scripts.append(stop)
        late = entry.add_caller(
            "late",
            path="/hold/1",
            connect_at=STOP_AT_S + 1.0,
            send_at=STOP_AT_S + LATE_S,
            leave_at=STOP_AT_S + LATE_S + 8.0,
            deadline_s=30.0,
        )
        entry.play(STOP_AT_S + 10.0, turn_s=SHORT_TURN_S)
        assert {caller.status for caller in quick} == {answered}
        assert late.status == 503
        assert "late" not in [arrival.request_id for arrival in arrivals(entry.servers)]
