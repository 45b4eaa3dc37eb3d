"""Offers requests whose server is silent to other places."""

from __future__ import annotations

import dataclasses
from collections.abc import Awaitable, Callable

from figpaddle.regional._attempt import Attempt
from figpaddle.regional._exchange import CallerGoneError, Offer
from figpaddle.regional._offer_times import FORWARDED_REFUSAL_TIMEOUT_S, REFUSAL_TIMEOUT_S
from figpaddle.regional._request_context import (
    AttemptOutcome,
    RequestContext,
    TriedPlaces,
)
from figpaddle.routing import TAKEN_OVER_TTL_S, OfferLimits
from figpaddle.telemetry import Log, MetricsRegistry


class RequestOffer(Offer):
    """Offers a request to another place as its next attempt, while the present one is open.

    If the place refuses it or can't be reached, the request stays where it is, with its attempts left: a
    refused attempt is no run. ``tried_before`` are the places that were tried before this one.
    ``await_probe`` waits until it is known whether a server that lost the request's connection has crashed.
    ``note_attempts`` tells the entry that forwarded the request, if one did, that an attempt is used up.
    ``give_retry_back`` returns a part of the retry budget: a request that a server refused has arrived and
    counts, one that reached none doesn't.
    """

    def __init__(
        self,
        *,
        context: RequestContext,
        attempt: Attempt,
        place: str,
        tried_before: TriedPlaces,
        limits: OfferLimits,
        await_probe: Callable[[], Awaitable[None]],
        note_attempts: Callable[[], Awaitable[None]],
        give_retry_back: Callable[[], None],
        clock: Callable[[], float],
        log: Log,
        metrics: MetricsRegistry,
    ) -> None:
        self._context = context
        self._attempt = attempt
        self._place = place
        self._tried_before = tried_before
        self._limits = limits
        self._await_probe = await_probe
        self._note_attempts = note_attempts
        self._give_retry_back = give_retry_back
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._offered_at = clock()
        self._ended = False
        self._has_used = False
        limits.note_offered(place)

    async def run(self) -> bool:
        """Send the request; return whether the place takes it over."""
        is_forwarded = self._attempt.choice.backend is None
        try:
            result = await self._attempt.begin(
                timeout_s=FORWARDED_REFUSAL_TIMEOUT_S if is_forwarded else REFUSAL_TIMEOUT_S
            )
        except CallerGoneError:
            raise
        except Exception:  # noqa: BLE001
            # An error of this process doesn't end what the silent server may still answer.
            self._metrics.count("internal_errors_total")
            self._log.exception("offer_failed", request=self._context.request_id)
            self._limits.note_refused(self._place, now=self._clock())
            self.withdraw()
            return False
        if result is None:
            return True
        self._end(result.outcome.value, reason=result.reason)
        is_unsent = result.outcome is AttemptOutcome.NOT_SENT
        if not (is_unsent and is_forwarded):
            self._limits.note_refused(self._place, now=self._clock())
        if is_unsent:
            self._forget_attempt()
        elif result.outcome is AttemptOutcome.NOT_RUN:
            self._context.restore_tried(self._tried_before)
            if not result.has_arrived:
                self._give_retry_back()
        else:
            self._use_up(result.attempts_used)
            await self._await_probe()
        return False

    def complete(self) -> None:
        """Have the request go on with the attempt."""
        if self._attempt.is_accepted:
            self._limits.note_taken(
                self._place,
                asked_at=self._offered_at,
                now=self._clock(),
                ttl_s=TAKEN_OVER_TTL_S,
            )
        else:
            self._limits.note_not_refused(self._place, now=self._clock())
        self._context.taker, self._context.left_silent_server = self._attempt, True
        self._end("taken" if self._attempt.is_accepted else "undecided")

    def withdraw(self) -> None:
        """End the offer, unless it was refused."""
        if self._ended:
            return
        result = self._attempt.withdraw()
        if self._attempt.may_have_arrived:
            # It may run there, if only until its connection is closed.
            self._use_up(result.attempts_used)
        else:
            self._forget_attempt()
        self._end("withdrawn")

    async def settle(self) -> None:
        """Tell the entry that forwarded the request that attempts were used up; raises CallerGoneError."""
        if self._has_used:
            await self._note_attempts()

    def _forget_attempt(self) -> None:
        """Take back what the attempt has taken, as it wasn't sent; another entry of a region is next."""
        entries = frozenset(self._context.entries_tried)
        self._context.restore_tried(dataclasses.replace(self._tried_before, entries=entries))
        self._give_retry_back()

    def _use_up(self, attempts: int) -> None:
        """Count attempts that may have run the request."""
        self._has_used = self._context.may_have_run = True
        self._context.attempts_left -= attempts

    def _end(self, outcome: str, *, reason: str = "") -> None:
        """Record how the offer ended."""
        self._ended = True
        self._limits.note_ended(self._place)
        self._metrics.count("offers_total", service=self._context.service.name, outcome=outcome)
        self._log.info(
            "offer_ended",
            request=self._context.request_id,
            place=self._place,
            outcome=outcome,
            reason=reason,
            last_event=self._context.last_event,
            attempts_left=self._context.attempts_left,
        )
