"""Handles requests of callers and of entries in other regions until each has its final answer."""

from __future__ import annotations

import dataclasses
import functools
import math
import random
from collections.abc import Callable
from typing import Any

import anyio

from figpaddle.deployment import GatewayConfiguration, GatewayService, Repeat, Workspace
from figpaddle.engine_leases import LeaseExchange
from figpaddle.errors import InvalidRequestError, MalformedRequestError
from figpaddle.http1 import ConnectionPool, Headers, HttpRequest, Responder, header
from figpaddle.regional._attempts import AttemptRunner
from figpaddle.regional._cluster import ClusterFollower
from figpaddle.regional._dialect import CallerRequest, Dialect
from figpaddle.regional._exchange import MIN_REMAINING_S, CallerGoneError
from figpaddle.regional._forwarding import (
    ATTEMPTS_FIELD,
    NOT_RUN,
    OUTCOME_FIELD,
    UNKNOWN,
    ForwardingTerms,
    decode_terms,
    without_terms,
)
from figpaddle.regional._mesh import Mesh, is_ready
from figpaddle.regional._open_requests import OpenRequests
from figpaddle.regional._placer import Placer
from figpaddle.regional._quota_client import QuotaClient, QuotaRefusal
from figpaddle.regional._request_context import (
    AttemptOutcome,
    AttemptResult,
    FailureAnswer,
    RequestContext,
)
from figpaddle.regional._request_quarantine import QuarantineRefusal, RequestQuarantine
from figpaddle.regional._settings import ProcessSettings
from figpaddle.regional._size_metrics import SizeMetrics
from figpaddle.regional._statements import state_attempts
from figpaddle.regional._stream_origins import StreamOrigins
from figpaddle.regional._unplaced_requests import (
    DEFAULT_RETRY_AFTER_S,
    unplaced_reason,
    unplaced_refusal,
)
from figpaddle.regional._unsent_requests import unsent_on_error
from figpaddle.regional._workspace_metrics import WorkspaceMetrics
from figpaddle.routing import (
    ALIVE_S,
    CLOSE_RESERVE_S,
    AccessRefusal,
    CallerAccess,
    Choice,
    RetryCharge,
    SharedRetryBudget,
    TransitTimes,
    WorkspaceFairness,
    decide_access,
    is_announced,
    jittered_retry_after,
    may_begin,
    refuse_late,
    startup_wait_s,
)
from figpaddle.telemetry import Log, MetricsRegistry

#: Attempts per request that may end before anything was sent.
MAX_UNSENT_ATTEMPTS = 4
#: Time for which a forwarded request waits until this entry has installed the revision of the
#: cluster state that the sender used, seconds.
REVISION_WAIT_S = 0.5
#: Delay before a stream is resumed at another backend server, seconds. The previous one must have
#: noticed that its connection is closed.
RESUME_DELAY_S = 0.1
#: Interval at which a request that an attempt has begun looks for a place, seconds.
PLACE_INTERVAL_S = 0.1
#: Base of Retry-After for a caller that should use another entry, seconds.
OTHER_ENTRY_RETRY_AFTER_S = 0.01
#: Longest time from the earliest possible arrival of a request until it is read, seconds, and as a
#: fraction of the time for which its caller waits. Callers go to another entry after that time.
MAX_UNREAD_S, MAX_UNREAD_FRACTION = 1.0, 1 / 3
#: Delay of a forwarded request on its way from which on it is logged, seconds.
NOTED_DELAY_S = 0.25
#: Base of Retry-After while there is no configuration, seconds: the usual time from the start of an
#: entry to its first configuration.
STARTUP_RETRY_AFTER_S = 0.4
#: Base of Retry-After where only another configuration can help, seconds.
CONFIGURATION_RETRY_AFTER_S = 5.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnroutedRefusal:
    """Why a caller's request isn't handled at all; it has not run."""

    status: int
    reason: str
    #: Base of Retry-After, seconds.
    wait_s: float = STARTUP_RETRY_AFTER_S
    #: The workspace, if it is known.
    workspace: str = ""


class Gateway:
    """Accepts or refuses each request, places it, and retries until it has its final answer."""

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        dialect: Dialect,
        mesh: Mesh,
        follower: ClusterFollower,
        placer: Placer,
        pool: ConnectionPool,
        requests: OpenRequests,
        clock: Callable[[], float],
        boot_clock: Callable[[], float],
        quarantine: RequestQuarantine,
        streams: StreamOrigins,
        quotas: QuotaClient,
        leases: LeaseExchange,
        rng: random.Random,
        log: Log,
        metrics: MetricsRegistry,
    ) -> None:
        self._quarantine = quarantine
        self._streams = streams
        self._quotas = quotas
        self._leases = leases
        self._settings = settings
        self._dialect = dialect
        self._mesh = mesh
        self._follower = follower
        self._placer = placer
        self._clock = clock
        self._boot_clock = boot_clock
        self._transits = TransitTimes()
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._attempts = AttemptRunner(
            settings=settings,
            dialect=dialect,
            mesh=mesh,
            placer=placer,
            pool=pool,
            quarantine=quarantine,
            streams=streams,
            quotas=quotas,
            take_retry=lambda service: self.retry_budget.try_take(service, now=clock()),
            give_retry_back=lambda charge: self.retry_budget.give_back(charge),
            may_begin=self._may_begin,
            clock=clock,
            boot_clock=boot_clock,
            log=log,
            metrics=metrics,
        )
        self._fairness = WorkspaceFairness()
        self._workspace_metrics = WorkspaceMetrics(metrics=metrics)
        self._size_metrics = SizeMetrics(metrics=metrics)
        self._requests = requests
        self._stopping_at: float | None = None
        self._stopped_accepting = False
        #: Requests that wait for the first configuration.
        self._awaiting_configuration = 0
        bounds = settings.bounds
        self.retry_budget = SharedRetryBudget(
            ratio=bounds.retry_ratio,
            window_s=bounds.retry_window_s,
            slack=bounds.retry_slack,
            now=clock(),
            first_start=settings.first_start,
        )

    @property
    def accepts(self) -> bool:
        """Whether new requests are taken up."""
        return not self._stopped_accepting

    @property
    def active(self) -> int:
        """Requests in progress."""
        return self._requests.count

    def begin_stopping(self, now: float) -> None:
        """Begin only attempts that end within the grace time, which begins at ``now``."""
        self._stopping_at = now

    def stop_accepting(self) -> None:
        """Refuse all new requests; those in progress go on."""
        self._stopped_accepting = True

    async def handle_caller(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a caller's request; raises UnsentRequestError."""
        with unsent_on_error(responder):
            context = await self._read_caller_request(request, responder)
        if context is not None:
            await self._handle(context, responder)

    async def handle_forwarded_request(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a request that an entry of another region forwarded; raises UnsentRequestError."""
        with unsent_on_error(responder):
            context = await self._read_forwarded_request(request, responder)
        if context is not None:
            await self._handle(context, responder)

    async def _read_caller_request(
        self, request: HttpRequest, responder: Responder
    ) -> RequestContext | None:
        """Return the context of a caller's request, or None once it is refused."""
        try:
            caller = self._dialect.read_request(request)
        except InvalidRequestError as error:
            self._log.warning("request_invalid", reason=str(error))
            await responder.answer(400, (), b"")
            return None
        if _is_read_too_late(request, caller):
            await self._refuse_unrouted(
                caller, responder, 503, "read too late", OTHER_ENTRY_RETRY_AFTER_S
            )
            return None
        if self._follower.configuration is None:
            await self._await_configuration(request, caller, responder)
        accepted = self.accept(request, caller, rng=self._rng)
        if isinstance(accepted, UnroutedRefusal):
            await self._refuse_unrouted(
                caller,
                responder,
                accepted.status,
                accepted.reason,
                accepted.wait_s,
                workspace=accepted.workspace,
            )
            return None
        self.retry_budget.note_request(accepted.service.name, now=request.received_at)
        return accepted

    async def _await_configuration(
        self, request: HttpRequest, caller: CallerRequest, responder: Responder
    ) -> None:
        """Wait for the first configuration and backend servers as long as a caller may be kept for them."""
        timeout_s = caller.caller_timeout_s
        left_s = None if timeout_s is None else timeout_s - (self._clock() - request.arrived_after)
        wait_s = startup_wait_s(
            uptime_s=self._mesh.uptime_s,
            left_s=left_s,
            waiting=self._awaiting_configuration,
        )
        if wait_s <= 0:
            return
        self._awaiting_configuration += 1
        outcome = "left"
        try:
            await self._requests.run(
                responder,
                functools.partial(self._wait_until_known, request, caller, timeout_s=wait_s),
            )
            outcome = "refused" if self._follower.configuration is None else "served"
        finally:
            self._awaiting_configuration -= 1
            self._metrics.count("startup_waits_total", outcome=outcome)

    async def _wait_until_known(
        self, request: HttpRequest, caller: CallerRequest, *, timeout_s: float
    ) -> None:
        """Wait for the configuration and for a backend server that the route of a request may use."""
        with anyio.move_on_after(timeout_s):
            configuration = await self._follower.wait_for_configuration()
            route = configuration.route_for(caller.host, request.path.decode("latin-1"))
            services = () if route is None else route.services
            # Their records come from control once it is heard, at about the same time.
            while services and not any(self._placer.knows_backends(name) for name, _ in services):
                await anyio.sleep(PLACE_INTERVAL_S)

    def accept(
        self, request: HttpRequest, caller: CallerRequest, *, rng: random.Random
    ) -> RequestContext | UnroutedRefusal:
        """Decide whether a caller's request is handled, by whose and by which route; note nothing."""
        configuration = self._follower.configuration
        if configuration is None:
            return UnroutedRefusal(status=503, reason="no configuration yet")
        route = configuration.route_for(caller.host, request.path.decode("latin-1"))
        if route is None:
            return UnroutedRefusal(status=404, reason="no route")
        access = decide_access(
            configuration, route, caller.key_digest, keys_are_current=self._keys_are_current()
        )
        if isinstance(access, AccessRefusal):
            wait_s = OTHER_ENTRY_RETRY_AFTER_S if access.elsewhere else CONFIGURATION_RETRY_AFTER_S
            return UnroutedRefusal(
                status=access.status,
                reason=access.reason,
                wait_s=wait_s,
                workspace=access.workspace,
            )
        request = self._without_identity(request, configuration)
        context = self._new_context(request, caller, access, configuration, rng=rng)
        return context or UnroutedRefusal(status=503, reason="no such service")

    async def _read_forwarded_request(
        self, request: HttpRequest, responder: Responder
    ) -> RequestContext | None:
        """Return the context of a forwarded request, or None once it is refused."""
        try:
            terms = decode_terms(request)
            request = dataclasses.replace(request, headers=without_terms(request.headers))
            request = self._without_identity(request, self._follower.configuration)
            caller = self._dialect.read_request(request)
        except (MalformedRequestError, InvalidRequestError) as error:
            self._log.warning("hop_invalid", reason=str(error))
            await responder.answer(400, ((OUTCOME_FIELD, NOT_RUN),), b"")
            return None
        by_forwards_s, delay_s = self._delays_s(request, terms)
        # Its time on the way counts too, as far as it is known.
        sent_after = request.arrived_after - delay_s
        context = RequestContext(
            request=request,
            caller=caller,
            route=terms.route,
            service=terms.service,
            revision=terms.revision,
            deadline_at=sent_after + terms.left_s,
            workspace=self._stated_workspace(terms),
            origin=terms.origin,
            attempts_left=terms.attempts,
            last_event=terms.last_event,
            goes_on=bool(terms.last_event),
            origin_digest=terms.digest,
            version=terms.version,
            states_version=terms.reads_version,
            attempts_allowed=terms.attempts if terms.reads_attempts else None,
            statement_key=terms.statement_key,
            reads_interim=terms.reads_interim,
            is_offered=terms.is_offer,
            stated_suspect=terms.suspect,
            takes_turns=terms.takes_turns,
            sender_answer_s=terms.answer_s or 0.0,
        )
        is_refused = delay_s > _max_unread_s(terms.left_s)
        if is_refused or delay_s > NOTED_DELAY_S:
            self._log.warning(
                "forward_delayed",
                request=context.request_id,
                sender=request.caller,
                delay_s=round(delay_s, 3),
                by_forwards_s=round(by_forwards_s, 3),
                left_s=round(terms.left_s, 3),
                refused=is_refused,
            )
        if is_refused:
            await self._refuse(context, responder, "read too late", OTHER_ENTRY_RETRY_AFTER_S)
            return None
        return context

    def expire(self) -> None:
        """Forget what is known of entries that no longer forward requests, and of silent workspaces."""
        self._transits.expire(now=self._boot_clock())
        self._fairness.expire(now=self._clock())

    def _delays_s(self, request: HttpRequest, terms: ForwardingTerms) -> tuple[float, float]:
        """Return by how much at least a forwarded request has come later than usual, seconds.

        First by the requests that its sender has forwarded before, which say nothing of the first one,
        then by all that is known of the sender's clock.
        """
        if terms.sent_at_s is None:
            return 0.0, 0.0
        sender = (request.caller, terms.incarnation)
        boot_offset_s = self._boot_clock() - self._clock()
        received_after = request.arrived_after + boot_offset_s
        by_forwards_s = self._transits.note(
            sender,
            sent_at=terms.sent_at_s,
            received_after=received_after,
            received_at=request.received_at + boot_offset_s,
        )
        offset_s = self._mesh.clock_offsets.offset_s(sender)
        if offset_s is None:
            return by_forwards_s, by_forwards_s
        return by_forwards_s, max(by_forwards_s, received_after - terms.sent_at_s - offset_s)

    def _keys_are_current(self) -> bool:
        """Return whether a key that was taken away would be known to be so, where that matters."""
        bounds = self._settings.bounds
        if not bounds.fail_closed:
            return True
        return self._clock() - self._placer.voters_heard_at() <= bounds.revoke_s

    def _without_identity(
        self, request: HttpRequest, configuration: GatewayConfiguration | None
    ) -> HttpRequest:
        """Return a request without a key or workspace of its caller's, unless none matter here."""
        if configuration is not None and not configuration.workspaces:
            return request
        headers = self._dialect.without_identity(request.headers)
        return dataclasses.replace(request, headers=headers)

    def _stated_workspace(self, terms: ForwardingTerms) -> Workspace | None:
        """Return the workspace that the entry which accepted a request found, as this one knows it.

        The configuration here may be an older one without it, or a newer one.
        """
        if not terms.workspace:
            return None
        configuration = self._follower.configuration
        known = None if configuration is None else configuration.workspace(terms.workspace)
        return known or Workspace(name=terms.workspace)

    def _new_context(
        self,
        request: HttpRequest,
        caller: CallerRequest,
        access: CallerAccess,
        configuration: GatewayConfiguration,
        *,
        rng: random.Random,
    ) -> RequestContext | None:
        route = access.route
        names, weights = zip(*route.services, strict=True)
        service = configuration.service(rng.choices(names, weights=weights)[0])
        if service is None:
            return None
        caller_timeout_s = (
            caller.caller_timeout_s if caller.caller_timeout_s is not None else route.timeout_s
        )
        return RequestContext(
            request=request,
            caller=caller,
            route=route,
            service=service,
            revision=self._follower.state.revision,
            deadline_at=request.arrived_after + min(caller_timeout_s, route.timeout_s),
            workspace=access.workspace,
            attempts_left=max(1, route.max_attempts),
            last_event=caller.last_event,
            goes_on=bool(caller.last_event),
        )

    async def _handle(self, context: RequestContext, responder: Responder) -> None:
        with unsent_on_error(
            responder, may_have_run=lambda: context.may_have_run or context.is_sent
        ):
            await self._serve_interruptibly(context, responder)

    async def _serve_interruptibly(self, context: RequestContext, responder: Responder) -> None:
        try:
            interrupted = await self._requests.run(
                responder, functools.partial(self._serve, context, responder)
            )
            if interrupted:
                await self._answer_interrupted(context, responder)
        except CallerGoneError:
            self._record_caller_left(context, responder)
        except anyio.get_cancelled_exc_class():
            self._record_caller_left(context, responder)
            raise
        finally:
            context.withdraw_taker()

    async def _serve(self, context: RequestContext, responder: Responder) -> None:
        if self._stopped_accepting:
            await self._refuse(context, responder, "leaving", self._leaving_retry_after_s(context))
        elif context.forwarded and not await self._may_serve_forwarded(context, responder):
            return
        elif await self._may_take_up(context, responder):
            await self._attempt_until_done(context, responder)

    async def _may_serve_forwarded(self, context: RequestContext, responder: Responder) -> bool:
        """Return whether this entry may serve a forwarded request; refuse it if not."""
        if not context.route.allows(self._settings.region):
            reason = "region not allowed"
        elif not await self._follower.wait_for_revision(
            context.revision, timeout_s=REVISION_WAIT_S
        ):
            reason = "cluster state older than the sender's"
        elif self._lacks_workspace(context):
            reason = "workspace not stated"
        else:
            return True
        await self._refuse(context, responder, reason, self._retry_after_s(DEFAULT_RETRY_AFTER_S))
        return False

    def _lacks_workspace(self, context: RequestContext) -> bool:
        """Return whether an entry that knows no workspaces has forwarded a request that needs one."""
        configuration = self._follower.configuration
        if context.workspace is not None or configuration is None:
            return False
        return configuration.needs_workspace(context.route.name)

    async def _answer_interrupted(self, context: RequestContext, responder: Responder) -> None:
        """Answer a request that this process can't keep until its end."""
        if responder.started:
            # The answer is left unterminated, so that the caller detects that it is incomplete.
            self._record_end(context, "broken: leaving", failed=True)
        elif context.may_have_run or context.is_sent:
            await self._answer_failure(context, "leaving", responder)
        else:
            await self._refuse(context, responder, "leaving", self._leaving_retry_after_s(context))

    async def _may_take_up(self, context: RequestContext, responder: Responder) -> bool:
        """Look up which version began a stream that a caller takes up; refuse it if that isn't known.

        Bytes of two versions don't fit together, and a refusal costs the caller only a retry.
        """
        if not context.takes_up_stream:
            return True
        found = await self._streams.find(context)
        origin, service = found.origin, None
        if origin is not None and origin.service in dict(context.route.services):
            service = self._service(origin.service, context)
        if origin is None or not origin.version or service is None:
            is_known = origin is not None and bool(origin.version)
            reason = "stream of another service" if is_known else "version of the stream unknown"
            wait_s = self._retry_after_s(DEFAULT_RETRY_AFTER_S, context)
            if found.out_of_contact:
                reason = "out of contact, version of the stream unknown"
                wait_s = OTHER_ENTRY_RETRY_AFTER_S
            self._log.warning(
                "stream_not_taken_up",
                request=context.request_id,
                resumes=context.caller.resumed_request,
                last_event=context.last_event,
                reason=reason,
            )
            await self._refuse(context, responder, reason, wait_s)
            return False
        context.service, context.version = service, origin.version
        self._log.info(
            "stream_taken_up",
            request=context.request_id,
            resumes=context.caller.resumed_request,
            last_event=context.last_event,
            service=service.name,
            version=origin.version,
        )
        return True

    def _service(self, name: str, context: RequestContext) -> GatewayService | None:
        """Return a service as the configuration, or the entry that forwarded a request, has it."""
        if context.service.name == name:
            return context.service
        configuration = self._follower.configuration
        return None if configuration is None else configuration.service(name)

    def _may_begin(self, context: RequestContext, choice: Choice, responder: Responder) -> bool:
        """Return whether an attempt ends before this process does.

        A stream that is taken up would otherwise be broken off now, so it goes on for as long as it can.
        """
        outlasting = None if responder.started else self.outlasting(context, choice)
        if outlasting is not None:
            self._log.warning(
                "request_not_begun",
                request=context.request_id,
                service=context.service.name,
                **outlasting,
            )
        return outlasting is None

    def outlasting(self, context: RequestContext, choice: Choice) -> dict[str, Any] | None:
        """Return what shows that a request's answer would outlast this process; None if it doesn't."""
        if self._stopping_at is None:
            return None
        now = self._clock()
        # A whole answer that doesn't come in time is replaced by a failure. A stream that has begun is cut,
        # so one whose caller could have gone elsewhere begins only if its deadline bounds it.
        only_bounded = context.route.streaming and is_announced(
            stopping_at=self._stopping_at, received_at=context.request.received_at
        )
        ends_by = self._stopping_at + self._settings.bounds.grace_s - CLOSE_RESERVE_S
        # Another entry serves a refused request at once. Where none does, one that may be repeated loses
        # less by an answer that comes too late than by waiting.
        another_serves = self._mesh.ready_entries(self._settings.region, since=self._stopping_at)
        answer_s = self._attempts.answer_s(context, choice, assumes_unmeasured=not another_serves)
        deadline_s = context.remaining_s(now=now)
        if may_begin(
            now=now,
            ends_by=ends_by,
            answer_s=answer_s,
            deadline_s=deadline_s,
            only_bounded=only_bounded,
        ):
            return None
        return {
            "answer_s": None if math.isinf(answer_s) else round(answer_s, 3),
            "only_bounded": only_bounded,
            "deadline_s": round(deadline_s, 3),
            "stops_in_s": round(ends_by - now, 3),
        }

    def max_wait_s(self, context: RequestContext) -> float:
        """Return the longest time that a request may wait, shorter beyond its workspace's share."""
        if context.workspace is None:
            return context.max_wait_s
        return context.max_wait_s * self._fairness.wait_fraction(
            context.service.name, context.route.priority, context.workspace.name, now=self._clock()
        )

    def _note_work(self, context: RequestContext) -> None:
        """Count a request as demand, and as work of its workspace."""
        self._placer.note_demand(context)
        if context.workspace is not None:
            caller = context.caller
            self._fairness.note_request(
                context.service.name,
                context.route.priority,
                context.workspace.name,
                work=float(caller.prompt_tokens + caller.output_tokens) or 1.0,
                now=self._clock(),
            )

    async def _attempt_until_done(self, context: RequestContext, responder: Responder) -> None:
        self._note_work(context)
        unsent_attempts = 0
        unplaced_since = None
        failed: AttemptResult | None = None
        # Whether the next attempt is a repeat that the retry budget hasn't been charged with.
        owes_charge = False
        has_borrowed = False
        while True:
            now = self._clock()
            if context.remaining_s(now=now) < MIN_REMAINING_S:
                await self._fail_expired(context, responder, "deadline reached")
                return
            quarantine = self._quarantine.refusal(context.traits)
            if quarantine is not None:
                await self._fail_quarantined(context, quarantine, responder)
                return
            if not context.may_have_run and not responder.started:
                over_quota = self._quotas.known_refusal(context)
                if over_quota is not None:
                    await self._fail_over_quota(context, over_quota, responder)
                    return
            waited_s = 0.0 if unplaced_since is None else now - unplaced_since
            may_wait = _may_wait_for_place(context, waited_s=waited_s, now=now) and (
                unplaced_since is not None or self._placer.has_place_later(context)
            )
            choice = self._place(context, responder, may_wait=may_wait)
            if choice is None and may_wait:
                unplaced_since = now - waited_s
                await anyio.sleep(PLACE_INTERVAL_S)
                continue
            is_local = choice is not None and choice.backend is not None
            if not is_local and not has_borrowed and self._placer.lacks_lease(context):
                # Other entries may leave unused what this one lacks, and the way to another region is longer.
                has_borrowed = True
                if await self._leases.borrow(self._placer.leased_request(context)):
                    continue
            if choice is None:
                await self._fail_unplaced(context, responder)
                return
            if choice.backend is None and not context.may_have_run and not responder.started:
                over_quota = self._quotas.refusal_of_region(context, choice.region)
                if over_quota is not None:
                    await self._fail_over_quota(context, over_quota, responder)
                    return
            # The server that has taken a request over is at work on it already.
            if context.taker is None and not self._may_begin(context, choice, responder):
                await self._fail_leaving(context, responder)
                return
            if not context.may_have_run and not responder.started:
                max_wait_s = self.max_wait_s(context)
                refusal = refuse_late(
                    context.demand(now=now), choice, max_wait_s=max_wait_s, rng=self._rng
                )
                if refusal is not None:
                    self._log.warning(
                        "request_not_admitted",
                        request=context.request_id,
                        service=context.service.name,
                        place=choice.region or (choice.backend.name if choice.backend else ""),
                        expected_s=round(choice.expected_s, 3),
                        wait_s=round(choice.wait_s, 3),
                        max_wait_s=round(max_wait_s, 3),
                        workspace=context.workspace_name,
                        target_s=context.route.target_s,
                        left_s=round(context.remaining_s(now=now), 3),
                        prompt_tokens=context.caller.prompt_tokens,
                        output_tokens=context.caller.output_tokens,
                        retry_after_s=refusal.retry_after_s,
                    )
                    await self._refuse(context, responder, refusal.reason, refusal.retry_after_s)
                    return
            is_charged_here = choice.backend is not None and context.taker is None
            if is_charged_here and not self._quotas.try_charge(context):
                over_quota = await self._quotas.wait(context)
                if over_quota is not None:
                    await self._fail_over_quota(context, over_quota, responder)
                    return
                # The best place may be another one by now.
                continue
            charge = None
            if owes_charge and failed is not None:
                charge = self._take_retry(context)
                if charge is None and _may_wait_for_retry(
                    context, failed, waited_s=waited_s, now=now
                ):
                    await anyio.sleep(PLACE_INTERVAL_S)
                    continue
                if charge is None:
                    self._log.warning(
                        "retry_denied", request=context.request_id, service=context.service.name
                    )
                    await self._fail(context, failed, responder)
                    return
            result = await self._run_attempt(context, choice, responder, charge)
            if result.outcome is AttemptOutcome.NOT_RUN and context.over_quota_s is not None:
                refused = QuotaRefusal(
                    status=429,
                    reason="over quota elsewhere",
                    retry_after_s=context.over_quota_s,
                )
                self._quotas.note_refused_elsewhere(
                    context, choice.region, refill_s=refused.retry_after_s
                )
                await self._fail_over_quota(context, refused, responder)
                return
            owes_charge = owes_charge and not result.has_arrived
            context.has_arrived = context.has_arrived or result.has_arrived
            context.is_sent = False
            if result.outcome is AttemptOutcome.NOT_RUN and unplaced_since is None:
                unplaced_since = self._clock()
            elif result.outcome not in (AttemptOutcome.NOT_SENT, AttemptOutcome.NOT_RUN):
                unplaced_since = None
            if result.outcome is AttemptOutcome.ANSWERED:
                self._record_end(context, result.reason)
                return
            if result.outcome is AttemptOutcome.NOT_SENT:
                unsent_attempts += 1
                if unsent_attempts < MAX_UNSENT_ATTEMPTS:
                    continue
                await self._fail_unplaced(context, responder)
                return
            context.last_failure = result.reason
            failed = result
            # One that was taken over was charged when it was offered.
            owes_charge = owes_charge or (result.has_arrived and context.taker is None)
            if not await self._prepare_retry(context, result, responder):
                await self._fail(context, result, responder)
                return

    async def _run_attempt(
        self,
        context: RequestContext,
        choice: Choice,
        responder: Responder,
        charge: RetryCharge | None,
    ) -> AttemptResult:
        """Run an attempt; give its charges back if it reached no server, and the quota's if it didn't run."""
        has_arrived = may_run = False
        context.over_quota_s = None
        try:
            result = await self._attempts.run(context, choice, responder)
            has_arrived = result.has_arrived
            may_run = result.outcome not in (AttemptOutcome.NOT_SENT, AttemptOutcome.NOT_RUN)
        except BaseException:
            has_arrived = may_run = context.is_sent
            raise
        finally:
            self._quotas.settle(context, may_have_run=may_run and choice.backend is not None)
            if charge is not None and not has_arrived:
                self.retry_budget.give_back(charge)
        return result

    def _place(
        self, context: RequestContext, responder: Responder, *, may_wait: bool
    ) -> Choice | None:
        """Return the place for the next attempt, or None if there is none.

        A request that ``may_wait`` for one isn't sent to a server that was silent.
        """
        if context.taker is not None:
            return context.taker.choice
        self._quarantine.confine(context)
        if context.left_silent_server:
            choice = self._placer.place_again(context, silent_s=ALIVE_S)
            if choice is None and may_wait:
                # The server that was silent may be heard again.
                choice = self._placer.place_again(context, silent_s=ALIVE_S, include_tried=True)
            # Rather than at a server that was silent, the entry that forwarded a stream goes on elsewhere.
            if choice is not None or may_wait or responder.started and context.statement_key:
                return choice
        return self._placer.place(context)

    async def _prepare_retry(
        self, context: RequestContext, result: AttemptResult, responder: Responder
    ) -> bool:
        """Return whether the request may be retried; update its attempts."""
        now = self._clock()
        if result.outcome is AttemptOutcome.NOT_RUN and not context.may_have_run:
            # A refusal is no run, but one that no server takes isn't asked for without end.
            context.refusals += result.attempts_used
            if context.refusals >= context.attempts_left:
                return False
        else:
            context.attempts_left -= result.attempts_used
        if result.outcome is not AttemptOutcome.NOT_RUN:
            context.may_have_run = True
            if context.route.repeat is Repeat.ONCE:
                return False
        if context.attempts_left <= 0 or context.remaining_s(now=now) < MIN_REMAINING_S:
            return False
        is_taken_over = context.taker is not None
        if (
            result.outcome is AttemptOutcome.BROKEN
            and context.attempts_allowed is not None
            and not is_taken_over
        ):
            # The entry that forwarded it knows what is left and takes the stream up, here or elsewhere.
            return False
        if result.outcome is AttemptOutcome.BROKEN and not context.last_event:
            # Without ids the events of another attempt would repeat those that the caller has.
            return False
        if context.lost_process is not None and not await self._quarantine.may_retry(
            context.traits, process=context.lost_process
        ):
            return False
        has_broken_off = bool(context.last_event) and result.outcome is AttemptOutcome.BROKEN
        if has_broken_off or not responder.started:
            # An entry that offers the request leaves its own place once it is told that one here has it.
            silent_s = 0.0 if context.is_offered else None
            await state_attempts(context, responder, in_progress=True, silent_s=silent_s)
        if has_broken_off and not is_taken_over:
            await anyio.sleep(RESUME_DELAY_S)
        self._metrics.count("retries_total", service=context.service.name)
        return True

    def _take_retry(self, context: RequestContext) -> RetryCharge | None:
        """Charge the retry budget with an attempt that is about to be made, if it allows one."""
        # A caller may repeat a request that hasn't run.
        return self.retry_budget.try_take(
            context.service.name, now=self._clock(), spares_reserve=not context.may_have_run
        )

    async def _fail_unplaced(self, context: RequestContext, responder: Responder) -> None:
        if context.may_have_run or responder.started:
            reason = f"{unplaced_reason(context, self._placer)} after {context.last_failure}"
            await self._fail(
                context, AttemptResult(outcome=AttemptOutcome.UNKNOWN, reason=reason), responder
            )
            return
        reason, wait_s = unplaced_refusal(context, self._placer)
        await self._refuse(context, responder, reason, self._retry_after_s(wait_s, context))

    async def _fail_leaving(self, context: RequestContext, responder: Responder) -> None:
        """End a request that another attempt would keep beyond the end of this process."""
        if context.may_have_run or responder.started:
            reason = f"leaving after {context.last_failure}"
            result = AttemptResult(outcome=AttemptOutcome.UNKNOWN, reason=reason)
            await self._fail(context, result, responder)
            return
        await self._refuse(context, responder, "leaving", self._leaving_retry_after_s(context))

    async def _fail_quarantined(
        self, context: RequestContext, refusal: QuarantineRefusal, responder: Responder
    ) -> None:
        """End a request that the quarantine refuses, now or after an attempt."""
        if refusal.part_index is not None:
            self._log.warning(
                "part_refused",
                request=context.request_id,
                part=context.traits.parts[refusal.part_index].hex(),
                caller_part=context.caller.shared_parts[refusal.part_index],
            )
        if context.may_have_run or responder.started:
            result = AttemptResult(outcome=AttemptOutcome.UNKNOWN, reason=refusal.reason)
            await self._fail(context, result, responder)
            return
        retry_after_s = self._retry_after_s(refusal.remaining_s)
        await self._refuse(context, responder, refusal.reason, retry_after_s)

    async def _fail_over_quota(
        self, context: RequestContext, refusal: QuotaRefusal, responder: Responder
    ) -> None:
        """End a request of a workspace whose quota leaves nothing for an attempt."""
        if context.may_have_run or responder.started:
            result = AttemptResult(outcome=AttemptOutcome.UNKNOWN, reason=refusal.reason)
            await self._fail(context, result, responder)
            return
        await self._refuse(
            context, responder, refusal.reason, refusal.retry_after_s, status=refusal.status
        )

    async def _fail_expired(
        self, context: RequestContext, responder: Responder, reason: str
    ) -> None:
        await self._fail(
            context, AttemptResult(outcome=AttemptOutcome.UNKNOWN, reason=reason), responder
        )

    async def _fail(
        self, context: RequestContext, result: AttemptResult, responder: Responder
    ) -> None:
        if responder.started:
            # An attempt that was stated and not made is left to the entry that forwarded the request.
            await state_attempts(context, responder, in_progress=context.taker is not None)
            # The answer is left unterminated, so that the caller detects that it is incomplete.
            self._record_end(context, f"broken: {result.reason}", failed=True)
            return
        if not context.may_have_run:
            await self._refuse(
                context,
                responder,
                result.reason,
                self._retry_after_s(DEFAULT_RETRY_AFTER_S, context),
            )
            return
        if context.lost_process is not None and _relayable_failure(context) is None:
            await self._quarantine.wait_until_reported(
                context.traits,
                process=context.lost_process,
                timeout_s=context.remaining_s(now=self._clock()) - MIN_REMAINING_S,
            )
        await self._answer_failure(context, result.reason, responder)

    async def _answer_failure(
        self, context: RequestContext, reason: str, responder: Responder
    ) -> None:
        """Answer a request that may have run: with a server's failure if there is one."""
        failure = _relayable_failure(context)
        if failure is not None:
            answer = failure.answer
            self._record_end(context, f"status {answer.status}: {reason}", failed=True)
            await responder.answer(answer.status, answer.headers, failure.body)
            return
        status = 504 if context.remaining_s(now=self._clock()) < MIN_REMAINING_S else 502
        self._record_end(context, f"{status}: {reason}", failed=True)
        headers: Headers = ((OUTCOME_FIELD, UNKNOWN),) if context.forwarded else ()
        is_in_progress = context.is_sent or context.taker is not None
        used = context.attempts_used(in_progress=is_in_progress)
        if used is not None:
            headers = (*headers, (ATTEMPTS_FIELD, str(used).encode()))
        await responder.answer(status, headers, b"")

    async def _refuse(
        self,
        context: RequestContext,
        responder: Responder,
        reason: str,
        retry_after_s: float,
        *,
        status: int = 503,
    ) -> None:
        self._record_end(context, f"refused: {reason}", failed=True)
        self._metrics.count(
            "requests_refused_total",
            service=context.service.name,
            priority=str(context.route.priority),
            reason=reason,
        )
        headers = [(b"Retry-After", f"{retry_after_s:.3f}".encode())]
        if context.forwarded:
            headers.append((OUTCOME_FIELD, NOT_RUN))
            headers.append((ATTEMPTS_FIELD, b"%d" % context.has_arrived))
        await responder.answer(status, tuple(headers), b"")

    def _retry_after_s(self, wait_s: float, context: RequestContext | None = None) -> float:
        """Return a Retry-After time, spread at random; ``context`` is given on overload."""
        remaining_s = 0.0 if context is None else max(0.0, context.remaining_s(now=self._clock()))
        return jittered_retry_after(wait_s, remaining_s=remaining_s, rng=self._rng)

    def _leaving_retry_after_s(self, context: RequestContext) -> float:
        """Return Retry-After of a refusal by a stopping entry: short if another one may serve the caller."""
        regions = filter(context.route.allows, self._settings.regions)
        if any(is_ready(entry) for region in regions for entry in self._mesh.live_entries(region)):
            return OTHER_ENTRY_RETRY_AFTER_S
        return self._retry_after_s(DEFAULT_RETRY_AFTER_S)

    async def _refuse_unrouted(
        self,
        caller: CallerRequest,
        responder: Responder,
        status: int,
        reason: str,
        retry_after_s: float = STARTUP_RETRY_AFTER_S,
        *,
        workspace: str = "",
    ) -> None:
        self._log.warning(
            "request_ended",
            request=caller.request_id,
            host=caller.host,
            workspace=workspace,
            outcome=f"refused: {reason}",
            revision=self._follower.state.revision,
            version=self._follower.state.version,
        )
        self._metrics.count("requests_total", service="", outcome=reason)
        self._workspace_metrics.count_end(workspace, f"refused: {reason}")
        headers: Headers = ()
        if status == 503:
            headers = ((b"Retry-After", f"{self._retry_after_s(retry_after_s):.3f}".encode()),)
        await responder.answer(status, headers, b"")

    def _record_caller_left(self, context: RequestContext, responder: Responder) -> None:
        """Record the end of a request whose caller has left, and how long its servers may have worked on."""
        left_since, closed_at = responder.caller_left_since, context.abandoned_at
        if closed_at is None:
            closed_at = self._clock()
        self._record_end(
            context,
            "caller left",
            unread_s=None if left_since is None else _rounded(closed_at - left_since),
            closed=context.abandoned_count,
        )

    def _record_end(
        self, context: RequestContext, outcome: str, *, failed: bool = False, **fields: Any
    ) -> None:
        now = self._clock()
        received_at = context.request.received_at
        took_s = now - received_at
        write = self._log.warning if failed else self._log.info
        write(
            "request_ended",
            request=context.request_id,
            route=context.route.name,
            service=context.service.name,
            workspace=context.workspace_name,
            outcome=outcome,
            attempts=context.attempt,
            priority=context.route.priority,
            target_s=context.route.target_s,
            expected_s=_rounded(context.expected_s),
            backend_s=_rounded(context.first_byte_s),
            first_s=_rounded(
                None
                if context.answer_started_at is None
                else context.answer_started_at - received_at
            ),
            longest_gap_s=_rounded(context.longest_gap_s),
            prompt_tokens=context.caller.prompt_tokens,
            output_tokens=context.caller.output_tokens,
            events=context.events,
            took_s=round(took_s, 3),
            revision=context.revision,
            origin=context.origin or self._settings.region,
            **fields,
        )
        kind = outcome.split(":")[0]
        self._metrics.count("requests_total", service=context.service.name, outcome=kind)
        self._workspace_metrics.count_end(context.workspace_name, outcome)
        self._size_metrics.count_end(
            context.route.name,
            prompt_tokens=context.caller.prompt_tokens,
            output_tokens=context.caller.output_tokens,
            outcome=outcome,
        )
        self._metrics.record_duration("request_seconds", took_s, service=context.service.name)


def _may_wait_for_place(context: RequestContext, *, waited_s: float, now: float) -> bool:
    """Return whether a request that has no place may wait for one.

    One that hasn't run is refused instead, and one that was forwarded is left to the other entry.
    """
    if context.remaining_s(now=now) < MIN_REMAINING_S:
        return False
    return context.may_have_run and not context.forwarded and waited_s < context.max_wait_s


def _may_wait_for_retry(
    context: RequestContext, result: AttemptResult, *, waited_s: float, now: float
) -> bool:
    """Return whether a request for which the retry budget has nothing left may wait for it."""
    is_refused = result.outcome is AttemptOutcome.NOT_RUN
    return is_refused and _may_wait_for_place(context, waited_s=waited_s, now=now)


def _relayable_failure(context: RequestContext) -> FailureAnswer | None:
    """Return the failure of a backend server that its caller may get; entries' own aren't relayed."""
    failure = context.failure_answer
    if failure is None or header(failure.answer.headers, OUTCOME_FIELD) is not None:
        return None
    return failure


def _is_read_too_late(request: HttpRequest, caller: CallerRequest) -> bool:
    """Return whether the caller may have gone to another entry before its request was read."""
    return request.unread_s > _max_unread_s(caller.caller_timeout_s)


def _max_unread_s(left_s: float | None) -> float:
    """Return how late a request may be while its caller surely waits, seconds.

    ``left_s`` is the time for which its caller, or the entry that forwarded it, waits.
    """
    if left_s is None:
        return MAX_UNREAD_S
    return min(MAX_UNREAD_S, MAX_UNREAD_FRACTION * left_s)


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
