"""Runs attempts, and offers requests whose server is silent to other places."""

from __future__ import annotations

import functools
import math
from collections.abc import Callable

from figpaddle.deployment import Repeat
from figpaddle.http1 import ConnectionPool, Responder
from figpaddle.regional._attempt import Attempt
from figpaddle.regional._attempt_factory import AttemptFactory, kind_of, measured_answer_s
from figpaddle.regional._backend_attempts import BackendAttempts
from figpaddle.regional._dialect import Dialect
from figpaddle.regional._exchange import MIN_REMAINING_S, Offer
from figpaddle.regional._forwarded_attempts import ForwardedAttempts
from figpaddle.regional._mesh import Mesh
from figpaddle.regional._offer import RequestOffer
from figpaddle.regional._offer_times import ROUND_TRIP_S
from figpaddle.regional._placer import Placer
from figpaddle.regional._quota_client import QuotaClient
from figpaddle.regional._request_context import AttemptOutcome, AttemptResult, RequestContext
from figpaddle.regional._request_quarantine import RequestQuarantine
from figpaddle.regional._settings import ProcessSettings
from figpaddle.regional._statements import state_attempts
from figpaddle.regional._stream_origins import StreamOrigins
from figpaddle.routing import (
    ALIVE_S,
    AnswerTimes,
    Choice,
    RetryCharge,
    assumed_answer_s,
    is_worth_offering,
)
from figpaddle.telemetry import Log, MetricsRegistry


class AttemptRunner:
    """Runs the attempts of requests.

    ``take_retry`` charges the retry budget of a service with an offer if there is one left, and
    ``give_retry_back`` returns one that wasn't sent. ``may_begin`` returns whether an attempt at a place
    ends before this process does.
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
        quotas: QuotaClient,
        take_retry: Callable[[str], RetryCharge | None],
        give_retry_back: Callable[[RetryCharge], None],
        may_begin: Callable[[RequestContext, Choice, Responder], bool],
        clock: Callable[[], float],
        boot_clock: Callable[[], float],
        log: Log,
        metrics: MetricsRegistry,
    ) -> None:
        self._placer = placer
        self._quarantine = quarantine
        self._quotas = quotas
        self._take_retry = take_retry
        self._give_retry_back = give_retry_back
        self._may_begin = may_begin
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._answer_times = AnswerTimes()
        self._at_backends = BackendAttempts(
            dialect=dialect,
            pool=pool,
            quarantine=quarantine,
            placer=placer,
            streams=streams,
            answer_times=self._answer_times,
            clock=clock,
            log=log,
            metrics=metrics,
        )
        self._forwarded = ForwardedAttempts(
            settings=settings,
            dialect=dialect,
            mesh=mesh,
            boot_clock=boot_clock,
            placer=placer,
            streams=streams,
            answer_times=self._answer_times,
            clock=clock,
            log=log,
            metrics=metrics,
        )

    async def run(
        self, context: RequestContext, choice: Choice, responder: Responder
    ) -> AttemptResult:
        """Send a request to the place in ``choice`` and return the result.

        An attempt that has taken the request over goes on.
        """
        attempt, context.taker = context.taker, None
        if attempt is None:
            attempt = self._make(context, choice, responder, attempts=context.attempts_left)
        else:
            # It was sent as an offer.
            context.note_sending()
        if attempt is None:
            return AttemptResult(
                outcome=AttemptOutcome.NOT_SENT, reason="no ready entry in that region"
            )
        context.lost_process = None
        context.expected_s = choice.expected_s
        context.first_byte_s = None
        return await attempt.run()

    def answer_s(
        self, context: RequestContext, choice: Choice, *, assumes_unmeasured: bool
    ) -> float:
        """Return the time within which an attempt ends, seconds; infinity if that isn't known.

        The entry that forwarded the request may have measured longer answers: this one knows only those of the
        requests that it got. For a request that may be repeated, ``assumes_unmeasured`` allows an assumed time if
        neither has measured any.
        """
        scale_s = assumed_answer_s(context.caller.output_tokens)
        answer_s = measured_answer_s(
            self._answer_times,
            context,
            unmeasured_s=context.sender_answer_s or (scale_s if assumes_unmeasured else math.inf),
            now=self._clock(),
        )
        answer_s = max(answer_s, context.sender_answer_s)
        return answer_s if choice.backend is not None else answer_s + ROUND_TRIP_S

    def _make(
        self,
        context: RequestContext,
        choice: Choice,
        responder: Responder,
        *,
        attempts: int,
        is_offer: bool = False,
    ) -> Attempt | None:
        """Return the next attempt, at a chosen place, or None if it can't be made there.

        It may use up to ``attempts`` of those that the request has left.
        """
        context.attempt += 1
        factory: AttemptFactory = self._forwarded if choice.backend is None else self._at_backends
        return factory.make(
            context,
            choice,
            responder,
            attempts=attempts,
            is_offer=is_offer,
            offer=functools.partial(self._offer, context, choice, responder),
        )

    def _offer(
        self,
        context: RequestContext,
        present: Choice,
        responder: Responder,
        silent_since: float,
        used: int,
        entry: str,
    ) -> Offer | None:
        """Offer a request that is silent at ``present`` to another place; None if there is none.

        An error of this process doesn't end what the silent server may still answer.
        """
        try:
            return self._find_offer(context, present, responder, silent_since, used, entry)
        except Exception:  # noqa: BLE001
            self._metrics.count("internal_errors_total")
            self._log.exception("offer_failed", request=context.request_id)
            return None

    def _find_offer(
        self,
        context: RequestContext,
        present: Choice,
        responder: Responder,
        silent_since: float,
        used: int,
        entry: str,
    ) -> Offer | None:
        """Return the offer of a request to another place; None if there is none.

        ``used`` is the number of attempts that the present one has used, and ``entry`` the one that serves
        it if it was forwarded. What the next attempt needs is taken at once, its place and its part of the
        retry budget: many requests become silent at the same moment.
        """
        obstacle, charge = "no attempt left", None
        if context.attempts_left > used and context.route.repeat is not Repeat.ONCE:
            self._quarantine.confine(context)
            choice = self._next_place(context, present, entry)
            obstacle = self._obstacle(context, choice, responder, silent_since)
            if choice is not None and not obstacle:
                charge = self._take_retry(context.service.name)
                obstacle = "" if charge is not None else "no repeat left"
            if choice is not None and charge is not None:
                give_back = self._charge_quota(context, choice, charge)
                if give_back is not None:
                    attempts = context.attempts_left - used
                    return self._make_offer(
                        context, choice, responder, give_back, attempts=attempts
                    )
                obstacle = "no quota left"
        self._metrics.count(
            "silent_attempts_kept_total", service=context.service.name, reason=obstacle
        )
        return None

    def _charge_quota(
        self, context: RequestContext, choice: Choice, charge: RetryCharge
    ) -> Callable[[], None] | None:
        """Charge the quota of the workspace with an offer that this entry sends to a backend server.

        Return what gives both charges back, or None, with the repeat given back, if nothing is left of it.
        """
        workspace = context.workspace
        if choice.backend is None or workspace is None or workspace.quota is None:
            return lambda: self._give_retry_back(charge)
        quota_charge = self._quotas.charge_offer(context)
        if quota_charge is None:
            self._give_retry_back(charge)
            return None

        def give_back() -> None:
            self._give_retry_back(charge)
            self._quotas.give_back(quota_charge)

        return give_back

    def _make_offer(
        self,
        context: RequestContext,
        choice: Choice,
        responder: Responder,
        give_back: Callable[[], None],
        *,
        attempts: int,
    ) -> Offer | None:
        tried_before = context.tried_places()
        attempt: Attempt | None = None
        try:
            attempt = self._make(context, choice, responder, attempts=attempts, is_offer=True)
        finally:
            if attempt is None:
                context.restore_tried(tried_before)
                give_back()
        if attempt is None:
            return None

        async def await_probe() -> None:
            if context.lost_process is not None:
                await self._quarantine.may_retry(context.traits, process=context.lost_process)

        return RequestOffer(
            context=context,
            attempt=attempt,
            place=choice.region if choice.backend is None else choice.backend.name,
            tried_before=tried_before,
            limits=self._placer.offer_limits,
            await_probe=await_probe,
            note_attempts=lambda: state_attempts(context, responder, in_progress=True),
            give_retry_back=give_back,
            clock=self._clock,
            log=self._log,
            metrics=self._metrics,
        )

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
        elif self._placer.pick_entry(choice.region, context, is_offer=True) is None:
            return "no entry"
        if not is_worth_offering(
            silent_since=silent_since,
            other_is_steady=is_steady,
            expected_s=choice.expected_s,
            now=now,
        ):
            is_sooner = now - silent_since >= choice.expected_s
            return "common silence" if is_sooner else "no sooner elsewhere"
        if not self._may_begin(context, choice, responder):
            return "stopping"
        return ""

    def _next_place(self, context: RequestContext, present: Choice, entry: str) -> Choice | None:
        """Return the place of the attempt after the one at ``present``, which ``entry`` may serve."""
        if not entry or self._placer.is_ready(entry):
            return self._placer.place_again(context, silent_s=ALIVE_S, is_offer=True)
        # Others of its region may go on with what an entry has that isn't heard any more.
        was_tried = present.region in context.regions_tried
        context.regions_tried.discard(present.region)
        try:
            return self._placer.place_again(context, silent_s=ALIVE_S, is_offer=True)
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
        answer_s = self._answer_times.median_s(kind_of(context), scale_s=scale_s, now=now)
        if answer_s is None or context.goes_on:
            return choice.expected_s
        begun_at = context.answer_started_at
        streamed_s = 0.0 if begun_at is None else silent_since - begun_at
        return max(choice.expected_s, answer_s - streamed_s)
