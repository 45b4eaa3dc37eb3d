"""Asks backend servers whether they are cold, where no other word of them comes."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from figpaddle.errors import TransportError
from figpaddle.http1 import ConnectionPool, HttpClientConnection, ResponseHead
from figpaddle.regional._dialect import Dialect, HealthAnswer
from figpaddle.regional._placer import Placer, WarmthQuestion
from figpaddle.regional._tasks import ContainedTasks
from figpaddle.regional._wake_ups import sleep_until_shared
from figpaddle.telemetry import Log, MetricsRegistry

#: Interval at which the checks that are due are begun, seconds.
CHECK_INTERVAL_S = 0.05
#: Time within which a live backend server accepts a connection, seconds.
CONNECT_TIMEOUT_S = 0.4
#: Time within which a check is answered, seconds. It waits for a slot like a request.
ANSWER_TIMEOUT_S = 1.0
#: Pause after a check that told nothing, seconds; a busy backend server refuses it like a request.
RETRY_DELAY_S = 1.0
#: Largest body of an answer, bytes.
MAX_BODY_BYTES = 16 * 1024


class WarmthChecks:
    """Runs the health checks that ``Placer.warmth_questions`` calls for, one at a time for each server."""

    def __init__(
        self,
        *,
        placer: Placer,
        pool: ConnectionPool,
        dialect: Dialect,
        tasks: ContainedTasks,
        clock: Callable[[], float],
        log: Log,
        metrics: MetricsRegistry,
    ) -> None:
        self._placer = placer
        self._pool = pool
        self._dialect = dialect
        self._tasks = tasks
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._asked: set[str] = set()

    async def run(self) -> None:
        """Begin the checks that are due, until cancelled."""
        while True:
            for question in self._placer.warmth_questions():
                if question.name not in self._asked:
                    self._asked.add(question.name)
                    self._tasks.start_soon(self._ask, question)
            await sleep_until_shared(CHECK_INTERVAL_S)

    async def _ask(self, question: WarmthQuestion) -> None:
        try:
            asked_at = self._clock()
            self._placer.note_asked(question)
            warmup_s = await self._warmup_s(question)
            self._metrics.count("warmth_checks_total", answered=str(warmup_s is not None))
            if warmup_s is not None:
                self._placer.note_warmth(question, warmup_s, asked_at=asked_at)
            else:
                await anyio.sleep(RETRY_DELAY_S)
        finally:
            self._asked.discard(question.name)

    async def _warmup_s(self, question: WarmthQuestion) -> float | None:
        """Return the time until a backend server is warm; None if it doesn't tell."""
        answer = None
        try:
            with anyio.move_on_after(ANSWER_TIMEOUT_S):
                answer = await self._exchange(question)
        except TransportError as error:
            self._log.info("warmth_unknown", backend=question.name, reason=error.what)
        if answer is None or not answer.healthy or answer.backend != question.name:
            return None
        return answer.warmup_s

    async def _exchange(self, question: WarmthQuestion) -> HealthAnswer:
        """Return the answer to a health check; raises TransportError."""
        connection = await self._pool.acquire(question.address, timeout_s=CONNECT_TIMEOUT_S)
        finished = False
        try:
            await connection.send(
                method=b"GET",
                target=question.health_path.encode(),
                headers=self._dialect.health_headers(question.name),
                body=b"",
            )
            head = await connection.read_head(self._answers_check)
            await connection.read_whole_body(max_bytes=MAX_BODY_BYTES)
            finished = True
        finally:
            self._close_or_keep(question, connection, finished=finished)
        return self._dialect.read_health(head)

    def _answers_check(self, head: ResponseHead) -> bool:
        return self._dialect.read_health(head).is_of_check

    def _close_or_keep(
        self, question: WarmthQuestion, connection: HttpClientConnection, *, finished: bool
    ) -> None:
        if finished:
            self._pool.release(question.address, connection)
        else:
            connection.abandon()
