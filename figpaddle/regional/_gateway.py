"""Takes requests of callers and of other regions' entries and sees each to its final answer."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable

import anyio

from figpaddle.deployment import GatewayConfiguration, GatewayRoute, Repeat
from figpaddle.errors import InvalidRequestError, MalformedRequestError
from figpaddle.http1 import AnswerHead, ConnectionPool, Headers, HttpRequest, Responder, header
from figpaddle.regional._cluster import ClusterFollower
from figpaddle.regional._dialect import BackendAnswer, CallerRequest, Dialect
from figpaddle.regional._exchange import CallerGoneError, Exchange, Leg
from figpaddle.regional._hops import (
    NOT_RUN,
    OUTCOME_FIELD,
    TERMS_FIELD,
    UNKNOWN,
    HopTerms,
    decode_terms,
    encode_terms,
    without_terms,
)
from figpaddle.regional._job import Ending, Fate, Job
from figpaddle.regional._mesh import Mesh
from figpaddle.regional._placer import Placer
from figpaddle.regional._settings import ProcessSettings
from figpaddle.regional._suspects import Suspects
from figpaddle.routing import Choice, SharedRetryBudget, may_take, refuse_late, spread_return
from figpaddle.telemetry import Counters, Log

#: Time for a connection to a backend server of the own region, seconds.
BACKEND_CONNECT_S = 0.4
#: Time for a connection to an entry of another region, seconds; two lost packets.
HOP_CONNECT_S = 0.8
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
#: Time to a failure from which the connection counts as gone silent, seconds.
SILENT_S = 1.0
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
        self._mesh = mesh
        self._follower = follower
        self._placer = placer
        self._pool = pool
        self._clock = clock
        self._rng = rng
        self._log = log
        self._counters = counters
        self._active = 0
        self._stopping_at: float | None = None
        self._retired = False
        bounds = settings.bounds
        self.retries = SharedRetryBudget(
            ratio=bounds.retry_ratio,
            window_s=bounds.retry_window_s,
            slack=bounds.retry_slack,
            now=clock(),
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
            await self._refuse(job, responder, "region not allowed", RETURN_S)
            return
        if not await self._follower.wait_for_revision(terms.revision, timeout_s=REVISION_WAIT_S):
            await self._refuse(job, responder, "older state than the sender", RETURN_S)
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
                await self._refuse(job, responder, "crashes backend servers", refused_for_s)
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
            ending = await self._attempt(job, choice, responder)
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

    async def _attempt(self, job: Job, choice: Choice, responder: Responder) -> Ending:
        job.attempt += 1
        if choice.member is None:
            return await self._attempt_away(job, choice, responder)
        member = choice.member
        job.tried.add(member.name)
        now = self._clock()
        leg = Leg(
            address=member.address,
            headers=self._dialect.backend_headers(
                job.request,
                backend=member.name,
                left_s=job.left_s(now=now),
                priority=job.route.priority,
                last_event=job.last_event,
            ),
            connect_timeout_s=min(BACKEND_CONNECT_S, job.left_s(now=now)),
            first_byte_timeout_s=max(0.0, job.left_s(now=now) + 0.1),
        )
        job.sent_at = now
        self._placer.note_sent(job, choice)
        self._log.info(
            "request_placed",
            request=job.request_id,
            route=job.route.name,
            service=job.service.name,
            backend=member.name,
            attempt=job.attempt,
            expected_s=round(choice.expected_s, 3),
            score=round(choice.score, 3),
            left_s=round(job.left_s(now=now), 3),
            record_age_s=round(now - member.said_at, 2),
            revision=job.revision,
        )
        key = job.key
        work = self._placer.work_at(member.name)
        ending = Ending(fate=Fate.UNKNOWN, reason="caller left")

        def first(answer: BackendAnswer) -> None:
            took_s = work.answered(key, now=self._clock())
            if took_s is not None:
                self._placer.fleet.note_reached(member.name)
                self._counters.record("first_byte_seconds", took_s, service=job.service.name)

        def read(head: AnswerHead) -> BackendAnswer:
            answer = self._dialect.read_answer(head)
            if answer.load is not None:
                work.note_reported(answer.load, now=self._clock())
            return answer

        try:
            ending = await Exchange(
                job=job,
                leg=leg,
                pool=self._pool,
                responder=responder,
                read=read,
                on_first=first,
                retryable=lambda answer: self._worth_retrying(job, answer),
                clock=self._clock,
            ).run()
        finally:
            failed = ending.fate in (Fate.UNKNOWN, Fate.BROKEN) and ending.reason != "caller left"
            work.ended(key, failed=failed, now=self._clock())
        await self._learn(job, member.name, member.address, ending)
        return ending

    async def _learn(self, job: Job, backend: str, address: str, ending: Ending) -> None:
        now = self._clock()
        if ending.fate is Fate.ANSWERED:
            return
        rest_s = 0.0
        if ending.fate is Fate.NOT_SENT:
            rest_s = self._placer.fleet.note_unreachable(backend, now=now)
            await self._pool.drop(address)
        if ending.reason == "wrong server":
            self._placer.fleet.note_foreign(backend)
            # Its arrival still counts as a retry, but it is no attempt at this backend server.
            job.attempts_left += 1
        elif ending.fate in (Fate.UNKNOWN, Fate.BROKEN):
            member = self._placer.fleet.get(backend)
            born = 0 if member is None else member.record.born
            if now - job.sent_at >= SILENT_S:
                # Other connections that were open as long may have gone silent too.
                await self._pool.drop(address)
            self._suspects.note_broken(
                job.fingerprint(), backend, address, born=born, sent_at=job.sent_at
            )
        self._log.warning(
            "attempt_failed",
            request=job.request_id,
            backend=backend,
            attempt=job.attempt,
            fate=ending.fate.value,
            reason=ending.reason,
            rest_s=round(rest_s, 2),
            left_s=round(job.left_s(now=now), 3),
        )

    async def _attempt_away(self, job: Job, choice: Choice, responder: Responder) -> Ending:
        now = self._clock()
        job.regions_tried.add(choice.region)
        entry = self._placer.entry_of(choice.region)
        if entry is None:
            return Ending(fate=Fate.NOT_SENT, reason="no entry there")
        terms = HopTerms(
            origin=self._settings.region,
            revision=job.revision,
            left_s=job.left_s(now=now),
            attempts=job.attempts_left,
            last_event=job.last_event,
            route=job.route,
            service=job.service,
        )
        leg = Leg(
            address=self._mesh.peer_address(entry.name),
            headers=(*job.request.headers, (TERMS_FIELD, encode_terms(terms))),
            connect_timeout_s=min(HOP_CONNECT_S, job.left_s(now=now)),
            first_byte_timeout_s=max(0.0, job.left_s(now=now) + 0.1),
        )
        self._placer.note_sent(job, choice)
        self._log.info(
            "request_forwarded",
            request=job.request_id,
            route=job.route.name,
            service=job.service.name,
            region=choice.region,
            entry=entry.name,
            attempt=job.attempt,
            expected_s=round(choice.expected_s, 3),
            score=round(choice.score, 3),
            left_s=round(job.left_s(now=now), 3),
            revision=job.revision,
        )
        ending = await Exchange(
            job=job,
            leg=leg,
            pool=self._mesh.pool,
            responder=responder,
            read=lambda head: _read_hop(self._dialect, head, job),
            on_first=lambda _: None,
            retryable=lambda answer: header(answer.headers, OUTCOME_FIELD) is not None,
            clock=self._clock,
        ).run()
        if ending.fate is not Fate.ANSWERED:
            self._log.warning(
                "hop_failed",
                request=job.request_id,
                region=choice.region,
                entry=entry.name,
                fate=ending.fate.value,
                reason=ending.reason,
            )
        if ending.fate is Fate.NOT_RUN:
            # The other entry reached no backend server, so the attempt is not used up.
            job.attempts_left += 1
            return dataclasses.replace(ending, reached=False)
        if ending.fate is not Fate.NOT_SENT:
            # The other entry may have used all attempts that it was given.
            job.attempts_left = 0
        return ending

    def _worth_retrying(self, job: Job, answer: BackendAnswer) -> bool:
        """Return whether a failure of a backend server may be replaced by another's answer."""
        if answer.status < 500 or job.attempts_left <= 1:
            return False
        return job.route.repeat is not Repeat.ONCE

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
        await self._refuse(job, responder, reason, RETURN_S)

    async def _give_up(self, job: Job, responder: Responder, reason: str) -> None:
        await self._fail(job, Ending(fate=Fate.UNKNOWN, reason=reason), responder)

    async def _fail(self, job: Job, ending: Ending, responder: Responder) -> None:
        if responder.started:
            # The answer is left without its end mark, so that it can't look complete.
            self._note_end(job, f"broken: {ending.reason}", failed=True)
            return
        if not job.may_have_run:
            await self._refuse(job, responder, ending.reason, RETURN_S)
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
        if retry_after_s > ELSEWHERE_S:
            retry_after_s = spread_return(retry_after_s, rng=self._rng)
        self._note_end(job, f"refused: {reason}", failed=True)
        headers = [(b"Retry-After", f"{retry_after_s:.3f}".encode())]
        if job.forwarded:
            headers.append((OUTCOME_FIELD, NOT_RUN))
        await responder.answer(503, tuple(headers), b"")

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
            retry_after_s = spread_return(STARTING_S, rng=self._rng)
            headers = ((b"Retry-After", f"{retry_after_s:.3f}".encode()),)
        await responder.answer(status, headers, b"")

    def _note_end(self, job: Job, outcome: str, *, failed: bool = False) -> None:
        now = self._clock()
        took_s = now - job.request.received_at
        write = self._log.warning if failed else self._log.info
        write(
            "request_ended",
            request=job.request_id,
            route=job.route.name,
            service=job.service.name,
            outcome=outcome,
            attempts=job.attempt,
            took_s=round(took_s, 3),
            revision=job.revision,
            origin=job.origin or self._settings.region,
        )
        kind = outcome.split(":")[0]
        self._counters.count("requests_total", service=job.service.name, outcome=kind)
        self._counters.record("request_seconds", took_s, service=job.service.name)


def _read_hop(dialect: Dialect, head: AnswerHead, job: Job) -> BackendAnswer:
    """Return what an entry of another region answered."""
    outcome = header(head.headers, OUTCOME_FIELD)
    answer = dialect.read_answer(head)
    if outcome is None:
        return dataclasses.replace(answer, not_run=False, wrong_server=False)
    return dataclasses.replace(
        answer,
        request_id=job.request_id,
        not_run=outcome == NOT_RUN,
        wrong_server=False,
        headers=head.headers,
    )
