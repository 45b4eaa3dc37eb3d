"""Takes requests of callers and of other regions' entries and sees each to its final answer."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

import anyio

from figpaddle.deployment import GatewayConfiguration, GatewayRoute, Repeat
from figpaddle.errors import InvalidRequestError, MalformedRequestError
from figpaddle.http1 import ConnectionPool, Headers, HttpRequest, Responder, header
from figpaddle.regional._attempts import Attempts
from figpaddle.regional._cluster import ClusterFollower
from figpaddle.regional._dialect import CallerRequest, Dialect
from figpaddle.regional._exchange import CallerGoneError
from figpaddle.regional._hops import (
    NOT_RUN,
    OUTCOME_FIELD,
    UNKNOWN,
    decode_terms,
    without_terms,
)
from figpaddle.regional._job import Ending, Fate, Job
from figpaddle.regional._mesh import Mesh
from figpaddle.regional._placer import Placer
from figpaddle.regional._settings import ProcessSettings
from figpaddle.regional._suspects import Suspects
from figpaddle.routing import SharedRetryBudget, may_take, refuse_late, spread_return
from figpaddle.telemetry import Counters, Log

#: Times that one request may find a place where nothing could be sent.
MAX_UNSENT = 4
#: Time left below which a request isn't sent any more, seconds.
MIN_LEFT_S = 0.03
#: Time for which a hop waits for the revision that the other entry had, seconds.
REVISION_WAIT_S = 0.5
#: Pause before a stream is taken up elsewhere, seconds: the backend server must have noticed
#: that the connection before is closed.
RESUME_PAUSE_S = 0.1
#: How many times its target the start of an answer may take before it is refused.
PATIENCE = 4.0
#: When a caller that is sent to another entry may come there, seconds.
ELSEWHERE_S = 0.01
#: Time that an entry takes from its start to its first configuration, seconds.
STARTING_S = 0.4
#: Longest wait after which a refused caller should come back when nothing is known, seconds.
RETURN_S = 0.6


class Gateway:
    """Decides what happens to each request and carries it out."""

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        dialect: Dialect,
        mesh: Mesh,
        follower: ClusterFollower,
        placer: Placer,
        pool: ConnectionPool,
        clock: Callable[[], float],
        suspects: Suspects,
        rng: random.Random,
        log: Log,
        counters: Counters,
    ) -> None:
        self._suspects = suspects
        self._settings = settings
        self._dialect = dialect
        self._follower = follower
        self._placer = placer
        self._clock = clock
        self._rng = rng
        self._log = log
        self._counters = counters
        self._attempts = Attempts(
            settings=settings,
            dialect=dialect,
            mesh=mesh,
            placer=placer,
            pool=pool,
            suspects=suspects,
            clock=clock,
            log=log,
            counters=counters,
        )
        self._active = 0
        self._stopping_at: float | None = None
        self._retired = False
        bounds = settings.bounds
        self.retries = SharedRetryBudget(
            ratio=bounds.retry_ratio,
            window_s=bounds.retry_window_s,
            slack=bounds.retry_slack,
            now=clock(),
            first_start=settings.first_start,
        )

    @property
    def active(self) -> int:
        """Requests in progress."""
        return self._active

    def stop_at(self, now: float) -> None:
        """Take only requests that can end within the grace time, which begins now."""
        self._stopping_at = now

    def retire(self) -> None:
        """Refuse new requests from now on; those in progress go on."""
        self._retired = True

    async def handle_caller(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a caller's request."""
        try:
            caller = self._dialect.read_request(request)
        except InvalidRequestError as error:
            self._log.warning("request_invalid", reason=str(error))
            await responder.answer(400, (), b"")
            return
        configuration = self._follower.configuration
        if configuration is None:
            await self._refuse_early(caller, responder, 503, "no configuration yet")
            return
        path = request.path.decode("latin-1")
        route = configuration.route_for(caller.host, path)
        if route is None:
            await self._refuse_early(caller, responder, 404, "no route")
            return
        job = self._job(request, caller, route, configuration)
        if job is None:
            await self._refuse_early(caller, responder, 503, "no such service")
            return
        self.retries.note_request(job.service.name, now=request.received_at)
        await self._run(job, responder)

    async def handle_hop(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a request that an entry of another region passed on."""
        try:
            terms = decode_terms(request)
            request = dataclasses.replace(request, headers=without_terms(request.headers))
            caller = self._dialect.read_request(request)
        except (MalformedRequestError, InvalidRequestError) as error:
            self._log.warning("hop_invalid", reason=str(error))
            await responder.answer(400, ((OUTCOME_FIELD, NOT_RUN),), b"")
            return
        job = Job(
            request=request,
            caller=caller,
            route=terms.route,
            service=terms.service,
            revision=terms.revision,
            deadline_at=request.received_at + terms.left_s,
            origin=terms.origin,
            attempts_left=terms.attempts,
            last_event=terms.last_event,
        )
        if not terms.route.allows(self._settings.region):
            await self._refuse(job, responder, "region not allowed", self._return(RETURN_S))
            return
        if not await self._follower.wait_for_revision(terms.revision, timeout_s=REVISION_WAIT_S):
            await self._refuse(
                job, responder, "older state than the sender", self._return(RETURN_S)
            )
            return
        await self._run(job, responder)

    def _job(
        self,
        request: HttpRequest,
        caller: CallerRequest,
        route: GatewayRoute,
        configuration: GatewayConfiguration,
    ) -> Job | None:
        names, weights = zip(*route.services, strict=True)
        service = configuration.service(self._rng.choices(names, weights=weights)[0])
        if service is None:
            return None
        patience_s = caller.patience_s if caller.patience_s is not None else route.timeout_s
        return Job(
            request=request,
            caller=caller,
            route=route,
            service=service,
            revision=self._follower.state.revision,
            deadline_at=request.received_at + min(patience_s, route.timeout_s),
            attempts_left=max(1, route.max_attempts),
            last_event=caller.last_event,
        )

    async def _run(self, job: Job, responder: Responder) -> None:
        self._active += 1
        try:
            refused_for_s = self._suspects.refused_for_s(job.fingerprint())
            if not self._may_take(job):
                await self._refuse(job, responder, "leaving", ELSEWHERE_S)
            elif refused_for_s:
                again_s = self._return(refused_for_s)
                await self._refuse(job, responder, "crashes backend servers", again_s)
            else:
                await self._serve(job, responder)
        except CallerGoneError:
            self._note_end(job, "caller left")
        except anyio.get_cancelled_exc_class():
            self._note_end(job, "caller left")
            raise
        finally:
            self._active -= 1

    def _may_take(self, job: Job) -> bool:
        if self._retired:
            return False
        if self._stopping_at is None:
            return True
        return may_take(
            stopping_for_s=self._clock() - self._stopping_at,
            grace_s=self._settings.bounds.grace_s,
            output_tokens=job.caller.output_tokens,
        )

    async def _serve(self, job: Job, responder: Responder) -> None:
        unsent = 0
        while True:
            now = self._clock()
            if job.left_s(now=now) < MIN_LEFT_S:
                await self._give_up(job, responder, "deadline reached")
                return
            choice = self._placer.place(job)
            if choice is None:
                await self._no_place(job, responder)
                return
            if job.attempt == 0 and not job.forwarded:
                refusal = refuse_late(
                    job.demand(now=now),
                    choice,
                    target_s=job.route.target_s,
                    patience=PATIENCE,
                    rng=self._rng,
                )
                if refusal is not None:
                    self._log.warning(
                        "request_not_admitted",
                        request=job.request_id,
                        service=job.service.name,
                        place=choice.region or (choice.member.name if choice.member else ""),
                        expected_s=round(choice.expected_s, 3),
                        target_s=job.route.target_s,
                        left_s=round(job.left_s(now=now), 3),
                        retry_after_s=refusal.retry_after_s,
                    )
                    await self._refuse(job, responder, refusal.reason, refusal.retry_after_s)
                    return
            ending = await self._attempts.run(job, choice, responder)
            if ending.fate is Fate.ANSWERED:
                self._note_end(job, ending.reason)
                return
            if ending.fate is Fate.NOT_SENT:
                unsent += 1
                if unsent < MAX_UNSENT:
                    continue
                await self._no_place(job, responder)
                return
            job.last_failure = ending.reason
            if not await self._may_go_on(job, ending):
                await self._fail(job, ending, responder)
                return

    async def _may_go_on(self, job: Job, ending: Ending) -> bool:
        """Decide whether another backend server may get the request."""
        now = self._clock()
        job.attempts_left -= 1
        if ending.fate is not Fate.NOT_RUN:
            job.may_have_run = True
            if job.route.repeat is Repeat.ONCE:
                return False
        if job.attempts_left <= 0 or job.left_s(now=now) < MIN_LEFT_S:
            return False
        if ending.reached and not self.retries.take(job.service.name, now=now):
            self._log.warning("retry_denied", request=job.request_id, service=job.service.name)
            return False
        if job.last_event and ending.fate is Fate.BROKEN:
            await anyio.sleep(RESUME_PAUSE_S)
        self._counters.count("retries_total", service=job.service.name)
        return True

    async def _no_place(self, job: Job, responder: Responder) -> None:
        usable = self._placer.usable_count(job.service.name)
        reason = "no room" if usable else "no backend server"
        if job.may_have_run or responder.started:
            reason = f"{reason} after {job.last_failure}"
            await self._fail(job, Ending(fate=Fate.UNKNOWN, reason=reason), responder)
            return
        await self._refuse(job, responder, reason, self._return(RETURN_S, job))

    async def _give_up(self, job: Job, responder: Responder, reason: str) -> None:
        await self._fail(job, Ending(fate=Fate.UNKNOWN, reason=reason), responder)

    async def _fail(self, job: Job, ending: Ending, responder: Responder) -> None:
        if responder.started:
            # The answer is left without its end mark, so that it can't look complete.
            self._note_end(job, f"broken: {ending.reason}", failed=True)
            return
        if not job.may_have_run:
            await self._refuse(job, responder, ending.reason, self._return(RETURN_S, job))
            return
        if job.spare is not None and header(job.spare.answer.headers, OUTCOME_FIELD) is None:
            answer = job.spare.answer
            self._note_end(job, f"status {answer.status}: {ending.reason}", failed=True)
            await responder.answer(answer.status, answer.headers, job.spare.body)
            return
        status = 504 if job.left_s(now=self._clock()) < MIN_LEFT_S else 502
        self._note_end(job, f"{status}: {ending.reason}", failed=True)
        headers = ((OUTCOME_FIELD, UNKNOWN),) if job.forwarded else ()
        await responder.answer(status, headers, b"")

    async def _refuse(
        self, job: Job, responder: Responder, reason: str, retry_after_s: float
    ) -> None:
        self._note_end(job, f"refused: {reason}", failed=True)
        headers = [(b"Retry-After", f"{retry_after_s:.3f}".encode())]
        if job.forwarded:
            headers.append((OUTCOME_FIELD, NOT_RUN))
        await responder.answer(503, tuple(headers), b"")

    def _return(self, wait_s: float, job: Job | None = None) -> float:
        """Return when to come back; ``job`` is given where an overload is the reason."""
        left_s = 0.0 if job is None else max(0.0, job.left_s(now=self._clock()))
        return spread_return(wait_s, left_s=left_s, rng=self._rng)

    async def _refuse_early(
        self, caller: CallerRequest, responder: Responder, status: int, reason: str
    ) -> None:
        self._log.warning(
            "request_ended",
            request=caller.request_id,
            host=caller.host,
            outcome=f"refused: {reason}",
            revision=self._follower.state.revision,
        )
        self._counters.count("requests_total", service="", outcome=reason)
        headers: Headers = ()
        if status == 503:
            headers = ((b"Retry-After", f"{self._return(STARTING_S):.3f}".encode()),)
        await responder.answer(status, headers, b"")

    def _note_end(self, job: Job, outcome: str, *, failed: bool = False) -> None:
        now = self._clock()
        received_at = job.request.received_at
        took_s = now - received_at
        write = self._log.warning if failed else self._log.info
        write(
            "request_ended",
            request=job.request_id,
            route=job.route.name,
            service=job.service.name,
            outcome=outcome,
            attempts=job.attempt,
            first_s=None if job.first_at is None else round(job.first_at - received_at, 3),
            took_s=round(took_s, 3),
            revision=job.revision,
            origin=job.origin or self._settings.region,
        )
        kind = outcome.split(":")[0]
        self._counters.count("requests_total", service=job.service.name, outcome=kind)
        self._counters.record("request_seconds", took_s, service=job.service.name)
