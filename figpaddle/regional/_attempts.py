"""Runs attempts: at a backend server of the own region, or by forwarding to another region."""

from __future__ import annotations

import dataclasses
import functools
import math
import secrets
from collections.abc import Callable

from figpaddle.deployment import Repeat
from figpaddle.errors import ConnectionLostError
from figpaddle.http1 import ConnectionPool, Headers, Responder, ResponseHead, header
from figpaddle.regional._dialect import BackendAnswer, Dialect
from figpaddle.regional._exchange import (
    ABANDON_CHECK_INTERVAL_S,
    MIN_REMAINING_S,
    CallerGoneError,
    Exchange,
    UpstreamRequest,
)
from figpaddle.regional._forwarding import (
    NOT_RUN,
    OUTCOME_FIELD,
    STATEMENT_KEY_BYTES,
    VERSION_FIELD,
    ForwardingTerms,
    decode_statement,
    encode_statement,
    forwarding_headers,
    stated_attempts,
    without_statements,
)
from figpaddle.regional._mesh import Mesh
from figpaddle.regional._placer import ROUND_TRIP_S, Placer
from figpaddle.regional._request_context import AttemptOutcome, AttemptResult, RequestContext
from figpaddle.regional._request_quarantine import RequestQuarantine
from figpaddle.regional._settings import ProcessSettings
from figpaddle.regional._stream_origins import StreamOrigins
from figpaddle.routing import (
    ALIVE_S,
    AnswerTimes,
    Choice,
    FleetBackend,
    Process,
    assumed_answer_s,
    event_gap_timeout_s,
    first_byte_timeout_s,
    forwarded_gap_timeout_s,
    is_worth_abandoning,
)
from figpaddle.telemetry import Log, MetricsRegistry

#: Timeout for connecting to a backend server of the own region, seconds.
BACKEND_CONNECT_TIMEOUT_S = 0.4
#: Timeout for connecting to an entry of another region, seconds; covers two lost packets.
FORWARD_CONNECT_TIMEOUT_S = 0.8
#: A failed attempt that lasted at least this long closes the idle connections to its address too,
#: seconds.
STALE_CONNECTION_S = 1.0


class AttemptRunner:
    """Sends requests and records the results for later placements.

    ``take_retry`` charges the retry budget of a service with another attempt if there is one left.
    ``may_begin`` returns whether an attempt at a place ends before this process does.
    """

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        dialect: Dialect,
        mesh: Mesh,
        placer: Placer,
        pool: ConnectionPool,
        quarantine: RequestQuarantine,
        streams: StreamOrigins,
        take_retry: Callable[[str], bool],
        may_begin: Callable[[RequestContext, Choice, Responder], bool],
        clock: Callable[[], float],
        boot_clock: Callable[[], float],
        log: Log,
        metrics: MetricsRegistry,
    ) -> None:
        self._boot_clock = boot_clock
        self._settings = settings
        self._dialect = dialect
        self._mesh = mesh
        self._placer = placer
        self._pool = pool
        self._quarantine = quarantine
        self._streams = streams
        self._take_retry = take_retry
        self._may_begin = may_begin
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._answer_times = AnswerTimes()

    async def run(
        self, context: RequestContext, choice: Choice, responder: Responder
    ) -> AttemptResult:
        """Send a request to the place in ``choice`` and return the result."""
        context.attempt += 1
        context.lost_process = None
        context.expected_s = choice.expected_s
        context.first_byte_s = None
        attempt_key = context.attempt_key
        self._answer_times.note_begun(
            attempt_key,
            _kind_of(context),
            scale_s=assumed_answer_s(context.caller.output_tokens),
            now=self._clock(),
        )
        answered = False
        try:
            if choice.backend is None:
                result = await self._forward(context, choice, responder)
            else:
                result = await self._send_to_backend(context, choice, choice.backend, responder)
            answered = result.outcome is AttemptOutcome.ANSWERED and not result.is_failure
        finally:
            self._answer_times.note_ended(attempt_key, answered=answered, now=self._clock())
        return result

    async def state_attempts(
        self, context: RequestContext, responder: Responder, *, in_progress: bool
    ) -> None:
        """Tell the entry that forwarded a stream which has begun how many attempts are used here.

        ``in_progress`` is whether another one is about to be made. Raises CallerGoneError.
        """
        used = context.attempts_used(in_progress=in_progress)
        if used is None or not context.statement_key or not responder.started:
            return
        try:
            await responder.write(encode_statement(context.statement_key, used))
        except ConnectionLostError as error:
            raise CallerGoneError(
                what="the caller closed the connection", where="caller"
            ) from error

    def answer_s(
        self, context: RequestContext, choice: Choice, *, assumes_unmeasured: bool
    ) -> float:
        """Return the time within which an attempt ends, seconds; infinity if that isn't known.

        For a request that may not be repeated it has to hold for the slowest answers too. For others
        ``assumes_unmeasured`` allows an assumed time if none was measured.
        """
        kind, now = _kind_of(context), self._clock()
        scale_s = assumed_answer_s(context.caller.output_tokens)
        if context.route.repeat is Repeat.ONCE:
            answer_s = self._answer_times.longest_s(kind, scale_s=scale_s, now=now)
        else:
            answer_s = self._answer_times.usual_s(
                kind,
                scale_s=scale_s,
                unmeasured_s=scale_s if assumes_unmeasured else math.inf,
                now=now,
            )
        return answer_s if choice.backend is not None else answer_s + ROUND_TRIP_S

    def _note_relaying(self, attempt_key: str) -> None:
        self._answer_times.note_relaying(attempt_key, now=self._clock())

    def _note_relayed(self, attempt_key: str) -> None:
        self._answer_times.note_relayed(attempt_key, now=self._clock())

    async def _send_to_backend(
        self,
        context: RequestContext,
        choice: Choice,
        backend: FleetBackend,
        responder: Responder,
    ) -> AttemptResult:
        context.backends_tried.add(backend.name)
        now = self._clock()
        upstream = UpstreamRequest(
            address=backend.address,
            repeats_ids=True,
            make_headers=lambda remaining_s: self._dialect.backend_headers(
                context.request,
                backend=backend.name,
                remaining_s=remaining_s,
                priority=context.route.priority,
                last_event=context.last_event,
            ),
            connect_timeout_s=min(BACKEND_CONNECT_TIMEOUT_S, context.remaining_s(now=now)),
            first_byte_timeout_s=self._first_byte_timeout_s(context, choice),
            stream_idle_timeout_s=self._stream_idle_timeout_s(context),
        )
        process = (backend.name, backend.record.born)
        attempt_key = context.attempt_key
        born = backend.record.born
        tracker = self._placer.tracker_of(backend.name)
        result = AttemptResult(outcome=AttemptOutcome.UNKNOWN, reason="caller left")

        def note_progress(answer: BackendAnswer) -> None:
            self._quarantine.note_progress(attempt_key)
            self._placer.contact.note_received(backend.name, now=self._clock())
            self._placer.note_accepted(backend.name, attempt_key)
            took_s = tracker.note_first_byte(attempt_key, now=self._clock())
            if took_s is not None:
                self._placer.fleet.note_reached(backend.name, now=self._clock())
                self._record_first_byte(context, choice, took_s)

        def version_of_process(_: ResponseHead) -> str:
            return self._placer.fleet.version_of(backend.name, born=born)

        def decode_head(head: ResponseHead) -> BackendAnswer:
            answer = self._dialect.read_answer(head)
            answer = dataclasses.replace(answer, headers=without_statements(answer.headers))
            if answer.load is not None:
                tracker.note_backend_report(answer.load, now=self._clock())
            if not answer.wrong_server and answer.request_id in ("", context.request_id):
                self._placer.note_backend_limit(
                    backend.name, answer, born=born, request_id=context.request_id
                )
                self._placer.note_bears_refusals(context.service.name, answer)
            if answer.leaving or answer.pause_s is not None:
                self._placer.note_backend_notice(
                    backend.name, answer, born=born, request_id=context.request_id
                )
            return answer

        try:
            context.sent_at = now
            self._placer.note_sent(context, choice)
            self._quarantine.note_sent(attempt_key, context.traits, process=process)
            self._log_placed(context, choice, backend, now)
            result = await Exchange(
                context=context,
                upstream=upstream,
                pool=self._pool,
                responder=responder,
                decode_head=decode_head,
                before_relay=note_progress,
                may_join=self._join_check(context, version_of_process),
                is_retryable=lambda answer: self._is_retryable(context, answer),
                may_abandon=functools.partial(self._may_abandon, context, choice, responder),
                clock=self._clock,
                on_relaying=lambda: self._note_relaying(attempt_key),
                on_relayed=lambda: self._note_relayed(attempt_key),
            ).run()
        finally:
            failed = (
                result.outcome in (AttemptOutcome.UNKNOWN, AttemptOutcome.BROKEN)
                and result.reason != "caller left"
            )
            tracker.note_ended(attempt_key, failed=failed, now=self._clock())
            if result.outcome is AttemptOutcome.NOT_RUN and result.reason != "wrong server":
                self._placer.note_refused(backend.name, attempt_key)
            else:
                self._placer.note_accepted(backend.name, attempt_key)
            if result.outcome in (AttemptOutcome.NOT_SENT, AttemptOutcome.NOT_RUN):
                self._quarantine.note_not_run(attempt_key)
            is_answered = result.outcome is AttemptOutcome.ANSWERED
            self._quarantine.note_ended(attempt_key, complete=is_answered)
        await self._record_failure(context, process, backend.address, result)
        return result

    def _log_placed(
        self, context: RequestContext, choice: Choice, backend: FleetBackend, now: float
    ) -> None:
        self._log.info(
            "request_placed",
            request=context.request_id,
            route=context.route.name,
            service=context.service.name,
            backend=backend.name,
            version=backend.record.version,
            resumes=context.caller.resumed_request,
            last_event=context.last_event,
            attempt=context.attempt,
            prompt=context.caller.prompt_tokens,
            prefill=round(choice.prefill),
            requests=self._placer.tracker_of(backend.name).requests(now=now),
            expected_s=round(choice.expected_s, 3),
            score=round(choice.score, 3),
            left_s=round(context.remaining_s(now=now), 3),
            record_age_s=round(now - backend.reported_at, 2),
            revision=context.revision,
        )

    def _record_first_byte(self, context: RequestContext, choice: Choice, took_s: float) -> None:
        context.first_byte_s = took_s
        self._placer.note_first_byte(context, choice, took_s=took_s)
        labels = {"service": context.service.name, "priority": str(context.route.priority)}
        self._metrics.record_duration("first_byte_seconds", took_s, **labels)
        self._metrics.record_duration("first_byte_expected_seconds", choice.expected_s, **labels)

    async def _record_failure(
        self, context: RequestContext, process: Process, address: str, result: AttemptResult
    ) -> None:
        backend = process[0]
        now = self._clock()
        if result.outcome is AttemptOutcome.ANSWERED:
            if result.ends_with_connection:
                self._quarantine.note_unmarked_end(context.traits, process, address)
            return
        backoff_s = 0.0
        if result.outcome is AttemptOutcome.NOT_SENT and not result.own_cause:
            backoff_s = self._placer.fleet.note_unreachable(backend, now=now)
            self._placer.contact.note_unreached(backend, now=now)
            if not self._placer.contact.cut_off:
                self._pool.close_idle(address)
        if result.reason == "wrong server":
            self._placer.fleet.note_replaced(backend)
            # The request keeps this attempt, because the intended backend server didn't get it. The
            # retry still counts against the retry budget.
            context.attempts_left += 1
        elif result.outcome in (AttemptOutcome.UNKNOWN, AttemptOutcome.BROKEN):
            if result.lost_connection:
                self._placer.contact.note_unreached(backend, now=now)
            if result.closed_unanswered or result.too_large:
                backoff_s = self._placer.fleet.note_disconnect(backend, now=now)
            if now - context.sent_at >= STALE_CONNECTION_S:
                # Other connections that were open as long may be half-open too.
                self._pool.close_idle(address)
            self._quarantine.note_lost_connection(process, address)
            if context.reserved is None:
                context.lost_process = process
        self._log.warning(
            "attempt_failed",
            request=context.request_id,
            backend=backend,
            attempt=context.attempt,
            fate=result.outcome.value,
            reason=result.reason,
            answered=context.first_byte_s is not None,
            parts=",".join(context.caller.shared_parts),
            digest=context.traits.fingerprint.hex(),
            rest_s=round(backoff_s, 2),
            left_s=round(context.remaining_s(now=now), 3),
        )

    async def _forward(
        self, context: RequestContext, choice: Choice, responder: Responder
    ) -> AttemptResult:
        now = self._clock()
        entry = self._placer.pick_entry(choice.region, context)
        is_own_region = choice.region == self._settings.region
        if entry is None or not is_own_region:
            context.regions_tried.add(choice.region)
        if entry is None:
            self._placer.cancel_reservation(context)
            return AttemptResult(
                outcome=AttemptOutcome.NOT_SENT, reason="no ready entry in that region"
            )
        context.entries_tried.add(entry)
        attempt_key = context.attempt_key
        statement_key = secrets.token_bytes(STATEMENT_KEY_BYTES)
        used_there: int | None = None

        def is_statement(event: bytes) -> bool:
            nonlocal used_there
            stated = decode_statement(statement_key, event)
            if stated is None:
                return False
            used_there = stated
            self._log.info(
                "attempt_stated", request=context.request_id, entry=entry, attempts=stated
            )
            return True

        def may_abandon(silent_since: float) -> bool:
            return used_there is not None and self._may_abandon(
                context, choice, responder, silent_since, used=used_there, entry=entry
            )

        def make_headers(remaining_s: float) -> Headers:
            terms = ForwardingTerms(
                origin=self._settings.region,
                revision=context.revision,
                left_s=remaining_s,
                attempts=context.attempts_left,
                last_event=context.last_event,
                route=context.route,
                service=context.service,
                digest=context.traits.fingerprint,
                version=context.version,
                reads_version=True,
                reads_attempts=True,
                statement_key=statement_key,
                sent_at_s=self._boot_clock(),
                incarnation=self._mesh.incarnation,
            )
            return forwarding_headers(context.request, terms)

        upstream = UpstreamRequest(
            address=self._mesh.peer_address(entry),
            repeats_ids=False,
            make_headers=make_headers,
            connect_timeout_s=min(
                BACKEND_CONNECT_TIMEOUT_S if is_own_region else FORWARD_CONNECT_TIMEOUT_S,
                context.remaining_s(now=now),
            ),
            stream_idle_timeout_s=self._forwarded_idle_timeout_s(context),
            is_statement=is_statement,
        )
        self._placer.note_sent(context, choice)
        self._mesh.warm_connections(entry)
        self._log.info(
            "request_forwarded",
            request=context.request_id,
            route=context.route.name,
            service=context.service.name,
            region=choice.region,
            entry=entry,
            attempt=context.attempt,
            expected_s=round(choice.expected_s, 3),
            score=round(choice.score, 3),
            left_s=round(context.remaining_s(now=now), 3),
            revision=context.revision,
        )

        def decode_head(head: ResponseHead) -> BackendAnswer:
            nonlocal used_there
            used_there = stated_attempts(head.headers)
            return _decode_forwarded_answer(self._dialect, head, context)

        def note_first_byte_time(_: BackendAnswer) -> None:
            if context.first_byte_s is None:
                self._record_first_byte(context, choice, self._clock() - now)

        result = await Exchange(
            context=context,
            upstream=upstream,
            pool=self._mesh.pool,
            responder=responder,
            decode_head=decode_head,
            before_relay=note_first_byte_time,
            may_join=self._join_check(context, _stated_version),
            is_retryable=lambda answer: header(answer.headers, OUTCOME_FIELD) is not None,
            may_abandon=may_abandon,
            clock=self._clock,
            on_relaying=lambda: self._note_relaying(attempt_key),
            on_relayed=lambda: self._note_relayed(attempt_key),
        ).run()
        if result.outcome is not AttemptOutcome.ANSWERED:
            self._log.warning(
                "hop_failed",
                request=context.request_id,
                region=choice.region,
                entry=entry,
                fate=result.outcome.value,
                reason=result.reason,
                digest=context.traits.fingerprint.hex(),
            )
        if result.outcome is AttemptOutcome.NOT_RUN:
            # The other entry reached no backend server, so the attempt isn't used up.
            context.attempts_left += 1
            return dataclasses.replace(result, reached_backend=False)
        if result.outcome is not AttemptOutcome.NOT_SENT:
            # Unless the other entry states how many it used, that may be all that remained. The last one
            # is counted with the attempts of this entry.
            used = context.attempts_left if used_there is None else used_there
            context.attempts_left -= max(0, used - 1)
            if context.attempts_left > 1:
                # Another entry of that region may serve it, or the same one if its server failed.
                context.regions_tried.discard(choice.region)
                if self._placer.is_ready(entry):
                    context.entries_tried.discard(entry)
        return result

    def _join_check(
        self, context: RequestContext, version_of: Callable[[ResponseHead], str]
    ) -> Callable[[ResponseHead], bool]:
        """Return the check whether the events of one attempt may follow what the caller already has.

        The first events of a stream decide its version, which this entry and others then keep.
        ``version_of`` returns the version of the software that answers, empty if it isn't known.
        """

        def may_join(head: ResponseHead) -> bool:
            if context.route.repeat is not Repeat.RESUMABLE:
                return True
            version = version_of(head)
            if context.version is None:
                context.version = version
                self._streams.note_begun(context)
                return True
            return bool(version) and version == context.version

        return may_join

    def _first_byte_timeout_s(self, context: RequestContext, choice: Choice) -> float | None:
        if not _may_retry(context):
            return None
        return first_byte_timeout_s(target_s=context.route.target_s, expected_s=choice.expected_s)

    def _stream_idle_timeout_s(self, context: RequestContext) -> float | None:
        if not _may_retry(context) or context.sender_decides_retries:
            return None
        return event_gap_timeout_s(gap_s=context.route.gap_s)

    def _forwarded_idle_timeout_s(self, context: RequestContext) -> float | None:
        """Return the timeout between two events of a stream that another entry serves, seconds."""
        if not _may_retry(context):
            return None
        return forwarded_gap_timeout_s(
            gap_s=context.route.gap_s,
            check_interval_s=ABANDON_CHECK_INTERVAL_S,
            round_trip_s=ROUND_TRIP_S,
        )

    def _may_abandon(
        self,
        context: RequestContext,
        present: Choice,
        responder: Responder,
        silent_since: float,
        *,
        used: int = 1,
        entry: str = "",
    ) -> bool:
        """Return whether another place surely goes on with a request that is silent at ``present``.

        ``used`` is the number of attempts that the present one has used, and ``entry`` the one that serves
        it if it was forwarded. All that the next attempt needs is taken before the present one is given up,
        its place and its part of the retry budget: many requests become silent at the same moment,
        and the server may go on at any.
        """
        obstacle = "no attempt left"
        if context.attempts_left > used:
            context.confined_by = self._quarantine.suspect_digest(context.traits)
            choice = self._next_place(context, present, entry)
            obstacle = self._obstacle(context, choice, responder, silent_since)
            if not obstacle and not self._take_retry(context.service.name):
                obstacle = "no repeat left"
            if choice is not None and not obstacle:
                self._placer.reserve(context, choice)
                context.left_silent_server = True
                return True
        self._metrics.count(
            "silent_attempts_kept_total", service=context.service.name, reason=obstacle
        )
        return False

    def _obstacle(
        self,
        context: RequestContext,
        choice: Choice | None,
        responder: Responder,
        silent_since: float,
    ) -> str:
        """Return why a request that is silent here can't go on at ``choice``; empty if it can."""
        now = self._clock()
        if responder.started and not context.last_event:
            return "no event ids"
        if self._quarantine.refuses_retry(context.traits):
            return "suspected of a crash"
        if choice is None or choice.wait_s > context.max_wait_s:
            return "no room"
        rest_s = self._rest_s(context, choice, silent_since=silent_since, now=now)
        if context.remaining_s(now=now) < max(MIN_REMAINING_S, rest_s):
            # It would take what the budget allows from a request that can still end in time.
            return "too late"
        is_steady = False
        if choice.backend is not None:
            is_steady = self._placer.contact.is_steady(choice.backend.name, now=now)
        elif self._placer.pick_entry(choice.region, context) is None:
            return "no entry"
        if not is_worth_abandoning(silent_since=silent_since, other_is_steady=is_steady, now=now):
            return "common silence"
        if not self._may_begin(context, choice, responder):
            return "stopping"
        return ""

    def _next_place(self, context: RequestContext, present: Choice, entry: str) -> Choice | None:
        """Return the place of the attempt after the one at ``present``, which ``entry`` may serve."""
        if not entry or self._placer.is_ready(entry):
            return self._placer.place_again(context, silent_s=ALIVE_S)
        # Others of its region may go on with what an entry has that isn't heard any more.
        was_tried = present.region in context.regions_tried
        context.regions_tried.discard(present.region)
        try:
            return self._placer.place_again(context, silent_s=ALIVE_S)
        finally:
            if was_tried:
                context.regions_tried.add(present.region)

    def _rest_s(
        self, context: RequestContext, choice: Choice, *, silent_since: float, now: float
    ) -> float:
        """Return the time that another attempt takes to its end as a rule, seconds.

        Of a stream that goes on with another one, or if no answer was measured, only the beginning is known.
        """
        scale_s = assumed_answer_s(context.caller.output_tokens)
        answer_s = self._answer_times.median_s(_kind_of(context), scale_s=scale_s, now=now)
        if answer_s is None or context.goes_on:
            return choice.expected_s
        begun_at = context.answer_started_at
        streamed_s = 0.0 if begun_at is None else silent_since - begun_at
        return max(choice.expected_s, answer_s - streamed_s)

    def _is_retryable(self, context: RequestContext, answer: BackendAnswer) -> bool:
        """Return whether an answer is a failure that a retry may replace."""
        return answer.status >= 500 and _may_retry(context)


def _kind_of(context: RequestContext) -> tuple[str, str]:
    """Return the key of ``AnswerTimes`` for a request."""
    return context.service.name, context.route.name


def _may_retry(context: RequestContext) -> bool:
    """Return whether another backend server may get the request after the present attempt."""
    return context.attempts_left > 1 and context.route.repeat is not Repeat.ONCE


def _stated_version(head: ResponseHead) -> str:
    """Return the version that another entry states in the head of a stream; empty if none."""
    value = header(head.headers, VERSION_FIELD) or b""
    try:
        return bytes.fromhex(value.decode("ascii")).decode()
    except ValueError:
        return ""


def _decode_forwarded_answer(
    dialect: Dialect, head: ResponseHead, context: RequestContext
) -> BackendAnswer:
    """Decode the head of an answer from an entry of another region."""
    forward_outcome = header(head.headers, OUTCOME_FIELD)
    answer = dialect.read_answer(head)
    if forward_outcome is None:
        return dataclasses.replace(
            answer,
            not_run=False,
            wrong_server=False,
            headers=without_statements(answer.headers),
        )
    return dataclasses.replace(
        answer,
        request_id=context.request_id,
        not_run=forward_outcome == NOT_RUN,
        wrong_server=False,
        headers=head.headers,
    )
