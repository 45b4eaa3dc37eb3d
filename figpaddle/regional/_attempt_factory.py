"""What attempts at backend servers and by other entries have in common."""

from __future__ import annotations

import abc
import math
from collections.abc import Callable

from figpaddle.deployment import Repeat
from figpaddle.http1 import Responder, ResponseHead
from figpaddle.regional._attempt import Attempt
from figpaddle.regional._dialect import BackendAnswer
from figpaddle.regional._exchange import Offer
from figpaddle.regional._placer import Placer
from figpaddle.regional._request_context import AttemptResult, RequestContext
from figpaddle.regional._stream_origins import StreamOrigins
from figpaddle.routing import AnswerTimes, Choice, assumed_answer_s
from figpaddle.telemetry import Log, MetricsRegistry

#: Offers a request to another place if there is one. It gets the time since which the request's server is
#: silent, the number of attempts that the present one has used, and the entry that serves it if it
#: was forwarded, else an empty string.
MakeOffer = Callable[[float, int, str], Offer | None]


class AttemptFactory(abc.ABC):
    """Makes attempts at one kind of place, and records them for later placements."""

    def __init__(
        self,
        *,
        placer: Placer,
        streams: StreamOrigins,
        answer_times: AnswerTimes,
        clock: Callable[[], float],
        log: Log,
        metrics: MetricsRegistry,
    ) -> None:
        self._placer = placer
        self._streams = streams
        self._answer_times = answer_times
        self._clock = clock
        self._log = log
        self._metrics = metrics

    @abc.abstractmethod
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
        """Return the attempt of which the context has the number, or None if it can't be made.

        It may use up to ``attempts`` of those that the request has left. ``is_offer`` is whether another
        attempt is in progress, at a silent server.
        """

    def _measured_s(self, context: RequestContext) -> float | None:
        """Return the time until the end of its answer by what was measured, seconds; None if it isn't known."""
        answer_s = measured_answer_s(self._answer_times, context, now=self._clock())
        return answer_s if math.isfinite(answer_s) else None

    def _note_begun(self, context: RequestContext) -> None:
        self._answer_times.note_begun(
            context.attempt_key,
            kind_of(context),
            scale_s=assumed_answer_s(context.caller.output_tokens),
            now=self._clock(),
        )

    def _note_ended(self, attempt_key: str, result: AttemptResult) -> None:
        self._answer_times.note_ended(
            attempt_key, answered=result.is_answer and not result.is_failure, now=self._clock()
        )

    def _note_unconfirmed_refusal(
        self, context: RequestContext, result: AttemptResult, *, place: str
    ) -> None:
        """Log and count an answer that reads as a refusal and whose server doesn't state that it is one."""
        if result.unconfirmed_status is None:
            return
        status = result.unconfirmed_status
        self._log.warning(
            "refusal_unconfirmed",
            request=context.request_id,
            place=place,
            attempt=context.attempt,
            status=status,
            repeat=context.route.repeat.value,
            fate=result.outcome.value,
        )
        self._metrics.count(
            "unconfirmed_refusals_total",
            service=context.service.name,
            status=str(status),
            fate=result.outcome.value,
        )

    def _note_relaying(self, attempt_key: str) -> None:
        self._answer_times.note_relaying(attempt_key, now=self._clock())

    def _note_relayed(self, attempt_key: str) -> None:
        self._answer_times.note_relayed(attempt_key, now=self._clock())

    def _record_first_byte(self, context: RequestContext, choice: Choice, took_s: float) -> None:
        context.first_byte_s = took_s
        self._placer.note_first_byte(context, choice, took_s=took_s)
        labels = {"service": context.service.name, "priority": str(context.route.priority)}
        self._metrics.record_duration("first_byte_seconds", took_s, **labels)
        self._metrics.record_duration("first_byte_expected_seconds", choice.expected_s, **labels)

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


def kind_of(context: RequestContext) -> tuple[str, str]:
    """Return the key of ``AnswerTimes`` for a request."""
    return context.service.name, context.route.name


def measured_answer_s(
    times: AnswerTimes, context: RequestContext, *, unmeasured_s: float = math.inf, now: float
) -> float:
    """Return the time within which an answer ends by what was measured, seconds; infinity if it isn't known.

    For a request that may not be repeated it has to hold for the slowest answers too. For others it is
    ``unmeasured_s`` if none was measured.
    """
    kind, scale_s = kind_of(context), assumed_answer_s(context.caller.output_tokens)
    if context.route.repeat is Repeat.ONCE:
        return times.longest_s(kind, scale_s=scale_s, now=now)
    return times.usual_s(kind, scale_s=scale_s, unmeasured_s=unmeasured_s, now=now)


def may_retry_after(attempts: int, context: RequestContext) -> bool:
    """Return whether another place may get the request after one that uses one of ``attempts``."""
    return attempts > 1 and context.route.repeat is not Repeat.ONCE


def is_retryable(context: RequestContext, answer: BackendAnswer) -> bool:
    """Return whether an answer is a failure that a retry may replace."""
    return answer.status >= 500 and may_retry_after(context.attempts_left, context)
