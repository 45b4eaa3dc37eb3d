"""Makes attempts by forwarding requests to other entries."""

from __future__ import annotations

import dataclasses
import secrets
from collections.abc import Callable
from typing import Any

from figpaddle.http1 import Headers, Responder, ResponseHead, header
from figpaddle.regional._attempt import WITHDRAWN, Attempt
from figpaddle.regional._attempt_factory import AttemptFactory, MakeOffer, may_retry_after
from figpaddle.regional._backend_attempts import BACKEND_CONNECT_TIMEOUT_S
from figpaddle.regional._dialect import BackendAnswer, Dialect
from figpaddle.regional._exchange import OFFER_INTERVAL_S, Exchange, Offer, UpstreamRequest
from figpaddle.regional._forwarding import (
    NOT_RUN,
    OUTCOME_FIELD,
    STATEMENT_KEY_BYTES,
    VERSION_FIELD,
    ForwardingTerms,
    decode_silence,
    decode_statement,
    forwarding_headers,
    stated_attempts,
    stated_silence_s,
    without_statements,
)
from figpaddle.regional._mesh import Mesh
from figpaddle.regional._offer_times import (
    REFUSAL_TIMEOUT_S,
    ROUND_TRIP_S,
    TURN_BEGIN_S,
    TURN_LAPSE_S,
)
from figpaddle.regional._request_context import AttemptOutcome, AttemptResult, RequestContext
from figpaddle.regional._settings import ProcessSettings
from figpaddle.regional._stream_gaps import StreamGaps
from figpaddle.routing import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    Choice,
    forwarded_gap_timeout_s,
)

#: Timeout for connecting to an entry of another region, seconds; covers two lost packets.
FORWARD_CONNECT_TIMEOUT_S = 0.8
#: Status with which another entry refuses a request beyond the quota of its workspace.
OVER_QUOTA_STATUS = 429


class ForwardedAttempts(AttemptFactory):
    """Makes attempts that have an entry of another region, or of the own one, serve a request."""

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        dialect: Dialect,
        mesh: Mesh,
        boot_clock: Callable[[], float],
        **options: Any,
    ) -> None:
        super().__init__(**options)
        self._settings = settings
        self._dialect = dialect
        self._mesh = mesh
        self._boot_clock = boot_clock

    def make(
        self,
        context: RequestContext,
        choice: Choice,
        responder: Responder,
        *,
        attempts: int,
        is_offer: bool,
        offer: MakeOffer,
    ) -> Attempt | None:
        """Return the attempt of which the context has the number, or None if no entry is ready."""
        now = self._clock()
        entry = self._placer.pick_entry(choice.region, context, is_offer=is_offer)
        is_own_region = choice.region == self._settings.region
        if entry is None or not is_own_region:
            context.regions_tried.add(choice.region)
        if entry is None:
            return None
        context.entries_tried.add(entry)
        attempt_key = context.attempt_key
        answer_s = self._measured_s(context)
        statement_key = secrets.token_bytes(STATEMENT_KEY_BYTES)
        used_there: int | None = None
        silence_stated_at: float | None = None

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

        def note_silence() -> None:
            nonlocal silence_stated_at
            silence_stated_at = self._clock()

        def offer_elsewhere(silent_since: float) -> Offer | None:
            if used_there is None or not _is_own_turn(silence_stated_at, now=self._clock()):
                return None
            return offer(silent_since, used_there, entry)

        def read_silence(event: bytes) -> float | None:
            silent_s = decode_silence(statement_key, event)
            if silent_s is not None:
                note_silence()
            return silent_s

        def read_interim(head: ResponseHead) -> float | None:
            nonlocal used_there
            used_there = stated_attempts(head.headers)
            silent_s = stated_silence_s(head.headers)
            if silent_s is not None:
                note_silence()
            self._log.info(
                "attempt_stated",
                request=context.request_id,
                entry=entry,
                attempts=used_there,
                silent_s=silent_s,
            )
            return silent_s

        def make_headers(remaining_s: float) -> Headers:
            terms = ForwardingTerms(
                origin=self._settings.region,
                revision=context.revision,
                left_s=remaining_s,
                attempts=attempts,
                last_event=context.last_event,
                route=context.route,
                service=context.service,
                digest=context.traits.fingerprint,
                version=context.version,
                reads_version=True,
                reads_attempts=True,
                statement_key=statement_key,
                reads_interim=True,
                is_offer=is_offer,
                sent_at_s=self._boot_clock(),
                incarnation=self._mesh.incarnation,
                suspect=context.confined_by,
                takes_turns=True,
                answer_s=answer_s,
                workspace=context.workspace_name,
            )
            return forwarding_headers(context.request, terms)

        def decode_head(head: ResponseHead) -> BackendAnswer:
            nonlocal used_there
            used_there = stated_attempts(head.headers)
            return _decode_forwarded_answer(self._dialect, head, context, is_offer=is_offer)

        def note_first_byte_time(_: BackendAnswer) -> None:
            if context.first_byte_s is None:
                self._placer.offer_limits.note_taken(choice.region, asked_at=now, now=self._clock())
                self._placer.offer_limits.note_decided(choice.region, attempt_key)
                self._record_first_byte(context, choice, self._clock() - now)

        gaps = StreamGaps()

        def note_relaying() -> None:
            gaps.note_relaying(arrived_after=self._placer.arrived_after())
            self._note_relaying(attempt_key)

        def note_relayed() -> None:
            gaps.note_relayed(now=self._clock())
            self._note_relayed(attempt_key)

        def note_end(result: AttemptResult) -> AttemptResult:
            self._note_ended(attempt_key, result)
            self._note_unconfirmed_refusal(context, result, place=entry)
            self._placer.offer_limits.note_decided(choice.region, attempt_key)
            self._placer.note_forwarded_stream(context, choice.region, longest_gap_s=gaps.longest_s)
            if not result.is_answer and result is not WITHDRAWN:
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
                # No attempt is used up, but servers there may have refused the request, which counts as an
                # arrival. Earlier builds don't state whether they reached one.
                result = dataclasses.replace(
                    result, reached_backend=used_there != 0, attempts_used=0
                )
                if not context.may_have_run:
                    return result
                self._placer.offer_limits.note_refused(choice.region, now=self._clock())
                if is_own_region:
                    return result
                # That region may have room again later.
                context.regions_tried.discard(choice.region)
                if self._placer.is_ready(entry):
                    context.entries_tried.discard(entry)
                return result
            if result.outcome is AttemptOutcome.NOT_SENT:
                if context.may_have_run and not result.own_cause:
                    # Another entry of that region may go on with it.
                    context.regions_tried.discard(choice.region)
                return result
            # Unless the other entry states how many it used, that may be all that it was allowed.
            assumed = 1 if is_offer else attempts
            used = assumed if used_there is None else max(1, used_there)
            if context.attempts_left > used:
                # Another entry of that region may serve it, or the same one if its server failed.
                context.regions_tried.discard(choice.region)
                if self._placer.is_ready(entry):
                    context.entries_tried.discard(entry)
            return dataclasses.replace(result, attempts_used=used)

        self._note_begun(context)
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
        upstream = UpstreamRequest(
            address=self._mesh.peer_address(entry),
            repeats_ids=False,
            make_headers=make_headers,
            connect_timeout_s=min(
                BACKEND_CONNECT_TIMEOUT_S if is_own_region else FORWARD_CONNECT_TIMEOUT_S,
                context.remaining_s(now=now),
            ),
            stream_idle_timeout_s=_idle_timeout_s(context, attempts),
            is_statement=is_statement,
            read_silence=read_silence,
            read_interim=read_interim,
        )
        exchange = Exchange(
            context=context,
            upstream=upstream,
            pool=self._mesh.pool,
            responder=responder,
            decode_head=decode_head,
            before_relay=note_first_byte_time,
            may_join=self._join_check(context, _stated_version),
            is_retryable=lambda answer: header(answer.headers, OUTCOME_FIELD) is not None,
            offer=offer_elsewhere,
            clock=self._clock,
            on_relaying=note_relaying,
            on_relayed=note_relayed,
        )
        return Attempt(choice=choice, exchange=exchange, note_end=note_end)


def _idle_timeout_s(context: RequestContext, attempts: int) -> float | None:
    """Return the timeout between two events of a stream that another entry serves, seconds."""
    if not may_retry_after(attempts, context):
        return None
    return forwarded_gap_timeout_s(
        gap_s=context.route.gap_s,
        check_interval_s=OFFER_INTERVAL_S,
        refusal_timeout_s=REFUSAL_TIMEOUT_S,
        round_trip_s=ROUND_TRIP_S,
    )


def _is_own_turn(silence_stated_at: float | None, *, now: float) -> bool:
    """Return whether the entry that forwarded a request may offer it elsewhere now.

    The entry that serves it makes offers of its own between its statements of a silence. One that makes none,
    as those of earlier builds, or is overdue leaves the decision here.
    """
    if silence_stated_at is None:
        return True
    return not TURN_BEGIN_S < now - silence_stated_at <= TURN_LAPSE_S


def _stated_version(head: ResponseHead) -> str:
    """Return the version that another entry states in the head of a stream; empty if none."""
    value = header(head.headers, VERSION_FIELD) or b""
    try:
        return bytes.fromhex(value.decode("ascii")).decode()
    except ValueError:
        return ""


def _stated_retry_after_s(head: ResponseHead) -> float:
    """Return the Retry-After time of a refusal by another entry, seconds."""
    value = header(head.headers, b"retry-after") or b""
    try:
        stated_s = float(value)
    except ValueError:
        return MIN_RETRY_AFTER_S
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, stated_s))


def _decode_forwarded_answer(
    dialect: Dialect, head: ResponseHead, context: RequestContext, *, is_offer: bool = False
) -> BackendAnswer:
    """Decode the head of an answer from an entry of another region.

    That the workspace is over its quota there ends the request, but not one of which an earlier attempt is
    in progress: that attempt decides.
    """
    forward_outcome = header(head.headers, OUTCOME_FIELD)
    answer = dialect.read_answer(head)
    if forward_outcome == NOT_RUN and head.status == OVER_QUOTA_STATUS and not is_offer:
        context.over_quota_s = _stated_retry_after_s(head)
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
