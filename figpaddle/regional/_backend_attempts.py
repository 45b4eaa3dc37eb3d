"""Makes attempts at backend servers of the own region."""

from __future__ import annotations

import dataclasses
from typing import Any

from figpaddle.http1 import ConnectionPool, Responder, ResponseHead
from figpaddle.regional._attempt import WITHDRAWN, Attempt
from figpaddle.regional._attempt_factory import (
    AttemptFactory,
    MakeOffer,
    is_retryable,
    may_retry_after,
)
from figpaddle.regional._dialect import BackendAnswer, Dialect
from figpaddle.regional._exchange import OFFER_INTERVAL_S, Exchange, UpstreamRequest
from figpaddle.regional._forwarding import without_statements
from figpaddle.regional._offer_times import SENDER_TURN_S
from figpaddle.regional._request_context import AttemptOutcome, AttemptResult, RequestContext
from figpaddle.regional._request_quarantine import RequestQuarantine
from figpaddle.regional._statements import state_attempts
from figpaddle.routing import (
    MAX_COMMON_SILENCE_S,
    Choice,
    FleetBackend,
    Process,
    event_gap_timeout_s,
    first_byte_timeout_s,
)

#: Timeout for connecting to a backend server of the own region, seconds.
BACKEND_CONNECT_TIMEOUT_S = 0.4
#: Silence within a stream up to which only the entry that hears the server offers the stream, seconds.
OWN_TURN_S = MAX_COMMON_SILENCE_S + OFFER_INTERVAL_S
#: A failed attempt that lasted at least this long closes the idle connections to its address too,
#: seconds.
STALE_CONNECTION_S = 1.0


class BackendAttempts(AttemptFactory):
    """Makes attempts that send a request to a backend server."""

    def __init__(
        self,
        *,
        dialect: Dialect,
        pool: ConnectionPool,
        quarantine: RequestQuarantine,
        **options: Any,
    ) -> None:
        super().__init__(**options)
        self._dialect = dialect
        self._pool = pool
        self._quarantine = quarantine

    def make(
        self,
        context: RequestContext,
        choice: Choice,
        responder: Responder,
        *,
        attempts: int,
        is_offer: bool,
        offer: MakeOffer,
    ) -> Attempt:
        """Return the attempt of which the context has the number."""
        backend = choice.backend
        assert backend is not None
        context.backends_tried.add(backend.name)
        now = self._clock()
        upstream = UpstreamRequest(
            address=backend.address,
            repeats_ids=True,
            make_headers=lambda remaining_s: self._dialect.backend_headers(
                context.request,
                backend=backend.name,
                remaining_s=remaining_s,
                priority=context.start_order,
                last_event=context.last_event,
                workspace=context.workspace_name,
            ),
            connect_timeout_s=min(BACKEND_CONNECT_TIMEOUT_S, context.remaining_s(now=now)),
            first_byte_timeout_s=_first_byte_timeout_s(context, choice, attempts),
            stream_idle_timeout_s=_stream_idle_timeout_s(context, attempts),
        )
        process = (backend.name, backend.record.born)
        attempt, attempt_key = context.attempt, context.attempt_key
        born = backend.record.born
        tracker = self._placer.tracker_of(backend.name)

        def note_progress(answer: BackendAnswer) -> None:
            self._quarantine.note_progress(attempt_key)
            self._placer.contact.note_received(backend.name, now=self._clock())
            self._placer.note_accepted(backend.name, attempt_key)
            self._placer.offer_limits.note_decided(backend.name, attempt_key)
            took_s = tracker.note_first_byte(attempt_key, now=self._clock())
            if took_s is not None:
                self._placer.offer_limits.note_taken(backend.name, asked_at=now, now=self._clock())
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

        def note_relaying() -> None:
            tracker.note_events(
                attempt_key, now=self._clock(), arrived_after=self._placer.arrived_after()
            )
            self._note_relaying(attempt_key)

        def note_relayed() -> None:
            tracker.note_relayed(attempt_key, now=self._clock())
            self._note_relayed(attempt_key)

        def note_end(result: AttemptResult) -> AttemptResult:
            self._note_ended(attempt_key, result)
            self._note_unconfirmed_refusal(context, result, place=backend.name)
            self._placer.offer_limits.note_decided(backend.name, attempt_key)
            failed = result is not WITHDRAWN and result.outcome in (
                AttemptOutcome.UNKNOWN,
                AttemptOutcome.BROKEN,
                AttemptOutcome.WITHHELD,
            )
            tracker.note_ended(attempt_key, failed=failed, now=self._clock())
            is_refusal = result.outcome is AttemptOutcome.NOT_RUN
            is_wrong_server = result.reason == "wrong server"
            if is_refusal and not is_wrong_server:
                self._placer.note_refused(backend.name, attempt_key)
            else:
                self._placer.note_accepted(backend.name, attempt_key)
            if result.outcome in (AttemptOutcome.NOT_SENT, AttemptOutcome.NOT_RUN):
                self._quarantine.note_not_run(attempt_key)
            self._quarantine.note_ended(attempt_key, complete=result.is_complete)
            if result is not WITHDRAWN:
                self._record_result(context, backend, process, result, sent_at=now, attempt=attempt)
            if is_refusal and context.may_have_run:
                self._placer.note_refused_repeat(context, backend.name)
            # A server that isn't the intended one leaves a request its attempt, and so does any that
            # refuses a request which another one has begun, as a refusal is no run. The retry still counts
            # against the retry budget.
            is_given_back = is_refusal and (is_wrong_server or context.may_have_run)
            return dataclasses.replace(result, attempts_used=0 if is_given_back else 1)

        async def note_placed() -> None:
            await state_attempts(context, responder, in_progress=True)
            context.is_offered = False

        async def note_kept(silent_since: float) -> float:
            silent_s = self._clock() - silent_since
            if responder.started and silent_s < OWN_TURN_S:
                return OFFER_INTERVAL_S
            await state_attempts(context, responder, in_progress=True, silent_s=silent_s)
            return SENDER_TURN_S if context.takes_turns else OFFER_INTERVAL_S

        try:
            self._note_begun(context)
            self._placer.note_sent(context, choice)
            self._quarantine.note_sent(attempt_key, context.traits, process=process)
            self._log_placed(context, choice, backend, now)
        except BaseException:
            note_end(WITHDRAWN)
            raise
        exchange = Exchange(
            context=context,
            upstream=upstream,
            pool=self._pool,
            responder=responder,
            decode_head=decode_head,
            before_relay=note_progress,
            may_join=self._join_check(context, version_of_process),
            is_retryable=lambda answer: is_retryable(context, answer),
            offer=lambda silent_since: offer(silent_since, 1, ""),
            note_placed=note_placed if context.is_offered and not responder.started else None,
            note_kept=note_kept,
            clock=self._clock,
            on_relaying=note_relaying,
            on_relayed=note_relayed,
        )
        return Attempt(choice=choice, exchange=exchange, note_end=note_end)

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

    def _record_result(
        self,
        context: RequestContext,
        backend: FleetBackend,
        process: Process,
        result: AttemptResult,
        *,
        sent_at: float,
        attempt: int,
    ) -> None:
        """Record what a result says of the backend server, and log a failure."""
        name, address = backend.name, backend.address
        now = self._clock()
        if result.is_answer:
            if result.ends_with_connection:
                self._quarantine.note_unmarked_end(context.traits, process, address)
            return
        backoff_s = 0.0
        if result.outcome is AttemptOutcome.NOT_SENT and not result.own_cause:
            backoff_s = self._placer.note_unreachable(name)
            self._placer.contact.note_unreached(name, now=now)
            if not self._placer.contact.cut_off:
                self._pool.close_idle(address)
        if result.reason == "wrong server":
            self._placer.fleet.note_replaced(name)
        elif result.outcome in (AttemptOutcome.UNKNOWN, AttemptOutcome.BROKEN):
            if result.lost_connection:
                self._placer.contact.note_unreached(name, now=now)
            if result.closed_unanswered or result.too_large:
                backoff_s = self._placer.note_disconnect(name)
            if now - sent_at >= STALE_CONNECTION_S:
                # Other connections that were open as long may be half-open too.
                self._pool.close_idle(address)
            self._quarantine.note_lost_connection(process, address)
            if context.taker is None:
                context.lost_process = process
        self._log.warning(
            "attempt_failed",
            request=context.request_id,
            backend=name,
            attempt=attempt,
            fate=result.outcome.value,
            reason=result.reason,
            answered=context.first_byte_s is not None,
            parts=",".join(context.caller.shared_parts),
            digest=context.traits.fingerprint.hex(),
            rest_s=round(backoff_s, 2),
            left_s=round(context.remaining_s(now=now), 3),
        )


def _first_byte_timeout_s(context: RequestContext, choice: Choice, attempts: int) -> float | None:
    if not may_retry_after(attempts, context):
        return None
    return first_byte_timeout_s(target_s=context.route.target_s, expected_s=choice.expected_s)


def _stream_idle_timeout_s(context: RequestContext, attempts: int) -> float | None:
    if not may_retry_after(attempts, context) or context.sender_decides_retries:
        return None
    return event_gap_timeout_s(gap_s=context.route.gap_s)
