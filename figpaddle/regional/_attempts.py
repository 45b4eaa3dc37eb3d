"""Carries out one attempt: at a backend server of the own region, or over a hop."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from figpaddle.deployment import Repeat
from figpaddle.http1 import AnswerHead, ConnectionPool, Responder, header
from figpaddle.regional._dialect import BackendAnswer, Dialect
from figpaddle.regional._exchange import LATE_ANSWER_S, Exchange, Leg
from figpaddle.regional._hops import NOT_RUN, OUTCOME_FIELD, HopTerms, hop_headers
from figpaddle.regional._job import Ending, Fate, Job
from figpaddle.regional._mesh import Mesh
from figpaddle.regional._placer import Placer
from figpaddle.regional._settings import ProcessSettings
from figpaddle.regional._suspects import Suspects
from figpaddle.routing import Choice, silence_before_answer, silence_between_events
from figpaddle.telemetry import Counters, Log

#: Time for a connection to a backend server of the own region, seconds.
BACKEND_CONNECT_S = 0.4
#: Time for a connection to an entry of another region, seconds; two lost packets.
HOP_CONNECT_S = 0.8
#: Time to a failure from which the connection counts as gone silent, seconds.
SILENT_S = 1.0


class Attempts:
    """Sends requests and learns from how that ends."""

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        dialect: Dialect,
        mesh: Mesh,
        placer: Placer,
        pool: ConnectionPool,
        suspects: Suspects,
        clock: Callable[[], float],
        log: Log,
        counters: Counters,
    ) -> None:
        self._settings = settings
        self._dialect = dialect
        self._mesh = mesh
        self._placer = placer
        self._pool = pool
        self._suspects = suspects
        self._clock = clock
        self._log = log
        self._counters = counters

    async def run(self, job: Job, choice: Choice, responder: Responder) -> Ending:
        """Send a request where ``choice`` says and return how that ended."""
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
            first_byte_timeout_s=self._answer_timeout_s(job, choice, now=now),
            silence_s=self._silence_s(job),
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
            prompt=job.caller.prompt_tokens,
            prefill=round(choice.prefill),
            requests=self._placer.work_at(member.name).requests(now=now),
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
            self._pool.drop(address)
        if ending.reason == "wrong server":
            self._placer.fleet.note_foreign(backend)
            # Its arrival still counts as a retry, but it is no attempt at this backend server.
            job.attempts_left += 1
        elif ending.fate in (Fate.UNKNOWN, Fate.BROKEN):
            member = self._placer.fleet.get(backend)
            born = 0 if member is None else member.record.born
            if ending.unanswered:
                rest_s = self._placer.fleet.note_broken(backend, now=now)
            if now - job.sent_at >= SILENT_S:
                # Other connections that were open as long may have gone silent too.
                self._pool.drop(address)
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
            address=self._mesh.peer_address(entry),
            headers=hop_headers(job.request, terms),
            connect_timeout_s=min(HOP_CONNECT_S, job.left_s(now=now)),
            first_byte_timeout_s=max(0.0, job.left_s(now=now) + LATE_ANSWER_S),
        )
        self._placer.note_sent(job, choice)
        self._mesh.keep_warm(entry)
        self._log.info(
            "request_forwarded",
            request=job.request_id,
            route=job.route.name,
            service=job.service.name,
            region=choice.region,
            entry=entry,
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
                entry=entry,
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

    def _answer_timeout_s(self, job: Job, choice: Choice, *, now: float) -> float:
        left_s = max(0.0, job.left_s(now=now) + LATE_ANSWER_S)
        if not _may_go_elsewhere(job):
            return left_s
        limit_s = silence_before_answer(target_s=job.route.target_s, expected_s=choice.expected_s)
        return min(left_s, limit_s)

    def _silence_s(self, job: Job) -> float | None:
        return silence_between_events(gap_s=job.route.gap_s) if _may_go_elsewhere(job) else None

    def _worth_retrying(self, job: Job, answer: BackendAnswer) -> bool:
        """Return whether a failure of a backend server may be replaced by another's answer."""
        return answer.status >= 500 and _may_go_elsewhere(job)


def _may_go_elsewhere(job: Job) -> bool:
    """Return whether another backend server may get a request after the present one."""
    return job.attempts_left > 1 and job.route.repeat is not Repeat.ONCE


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
