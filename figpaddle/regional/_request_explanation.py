"""Explains where an entry would send a request now, without sending it."""

from __future__ import annotations

import dataclasses
import random
from collections.abc import Callable
from typing import Any

from figpaddle.errors import InvalidRequestError
from figpaddle.http1 import HttpRequest
from figpaddle.regional._cluster import ClusterFollower
from figpaddle.regional._dialect import Dialect
from figpaddle.regional._gateway import Gateway, UnroutedRefusal
from figpaddle.regional._placer import Placer
from figpaddle.regional._quota_client import QuotaClient, QuotaOutlook
from figpaddle.regional._request_context import RequestContext
from figpaddle.regional._request_quarantine import RequestQuarantine
from figpaddle.regional._settings import ProcessSettings
from figpaddle.regional._unplaced_requests import unplaced_refusal
from figpaddle.routing import (
    Choice,
    ExplainedCandidate,
    RemoteRegion,
    jittered_retry_after,
    refuse_late,
)

#: Most backend servers that an explanation lists; the others are only counted.
MAX_LISTED = 64

#: A part of an explanation, as a JSON object.
Document = dict[str, Any]


class RequestExplainer:
    """Goes through the decisions about a caller's request up to its first attempt, and notes nothing.

    Random numbers are drawn from a generator of its own that follows from the request id, so that the same
    question has the same answer as long as nothing changes, and other ids show how requests spread.
    """

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        dialect: Dialect,
        follower: ClusterFollower,
        gateway: Gateway,
        placer: Placer,
        quotas: QuotaClient,
        quarantine: RequestQuarantine,
        clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._dialect = dialect
        self._follower = follower
        self._gateway = gateway
        self._placer = placer
        self._quotas = quotas
        self._quarantine = quarantine
        self._clock = clock

    def explain(self, request: HttpRequest, *, workspace: str = "") -> Document:
        """Return where a caller's request would go and why.

        ``workspace`` is the name of the workspace whose key the caller would have; where it is empty, the
        request's own key counts.
        """
        state = self._follower.state
        document: Document = {
            "entry": self._settings.label,
            "region": self._settings.region,
            "revision": state.revision,
            "configuration_version": state.version,
            "evacuated": list(state.evacuated),
        }
        try:
            caller = self._dialect.read_request(request)
        except InvalidRequestError as error:
            return {**document, "outcome": _refused(400, str(error))}
        rng = random.Random(caller.request_id)
        if workspace:
            digest = self._key_digest_of(workspace)
            if digest is None:
                reason = "no such workspace, or it has no key"
                return {**document, "outcome": _refused(401, reason)}
            caller = dataclasses.replace(caller, key_digest=digest)
        accepted = self._gateway.accept(request, caller, rng=rng)
        if isinstance(accepted, UnroutedRefusal):
            wait_s = accepted.wait_s if accepted.status == 503 else None
            outcome = _refused(accepted.status, accepted.reason, wait_s)
            return {**document, "workspace": accepted.workspace, "outcome": outcome}
        return {**document, **self._explain_accepted(accepted, rng)}

    def _key_digest_of(self, name: str) -> bytes | None:
        """Return the digest of a key of a workspace; None if it isn't known or has no key."""
        configuration = self._follower.configuration
        workspace = None if configuration is None else configuration.workspace(name)
        return None if workspace is None else min(workspace.key_digests, default=None)

    def _explain_accepted(self, context: RequestContext, rng: random.Random) -> Document:
        placer = self._placer.preview(rng=rng)
        self._quarantine.confine(context)
        choice = placer.place(context)
        route, now = context.route, self._clock()
        max_wait_s = self._gateway.max_wait_s(context)
        explained = placer.compare_backends(context)
        obstacles = placer.obstacles(context)
        quota = self._quotas.outlook(context)
        return {
            "route": route.name,
            "service": context.service.name,
            "workspace": context.workspace_name,
            "home_regions": list(route.home_regions),
            "priority": route.priority,
            "urgency": context.urgency,
            "target_s": route.target_s,
            "left_s": _rounded(context.remaining_s(now=now)),
            "max_wait_s": _rounded(max_wait_s),
            "suspected_of_a_crash": context.confined_by is not None,
            "quota": None if quota is None else dataclasses.asdict(quota),
            "backends": [_explain_backend(item) for item in explained[:MAX_LISTED]],
            "backends_total": len(explained),
            "obstacles": dict(sorted(obstacles.items())[:MAX_LISTED]),
            "obstacles_total": len(obstacles),
            "regions": [_explain_region(*item) for item in placer.compare_regions(context)],
            "outcome": self._outcome(context, choice, placer, quota, max_wait_s, rng),
        }

    def _outcome(
        self,
        context: RequestContext,
        choice: Choice | None,
        placer: Placer,
        quota: QuotaOutlook | None,
        max_wait_s: float,
        rng: random.Random,
    ) -> Document:
        """Return the place or the refusal, by the same checks and in the same order as for a request."""
        now = self._clock()
        if not self._gateway.accepts:
            return _refused(503, "leaving")
        if context.takes_up_stream:
            return {
                "kind": "question",
                "reason": "other instances are asked which version began the stream",
            }
        quarantine = self._quarantine.refusal(context.traits)
        if quarantine is not None:
            return _refused(503, quarantine.reason, quarantine.remaining_s)
        lacks_quota = quota is not None and quota.available < quota.cost
        if quota is not None and lacks_quota and quota.refill_s is not None:
            return _refused(429, "over quota", quota.refill_s)
        if choice is None:
            reason, wait_s = unplaced_refusal(context, placer)
            remaining_s = max(0.0, context.remaining_s(now=now))
            wait_s = jittered_retry_after(wait_s, remaining_s=remaining_s, rng=rng)
            return _refused(503, reason, wait_s)
        outlasting = self._gateway.outlasting(context, choice)
        if outlasting is not None:
            return {**_refused(503, "leaving"), **outlasting}
        late = refuse_late(context.demand(now=now), choice, max_wait_s=max_wait_s, rng=rng)
        if late is not None:
            return {**_refused(503, late.reason, late.retry_after_s), **_expected(choice)}
        if choice.backend is None:
            entry = placer.pick_entry(choice.region, context)
            return {
                "kind": "region",
                "place": choice.region,
                "through": entry,
                **_expected(choice),
            }
        if quota is not None and lacks_quota:
            if quota.holder is None:
                return _refused(503, "quota not known")
            reason = f"voter {quota.holder} is asked for the quota first"
        else:
            reason = ""
        return {
            "kind": "backend server",
            "place": choice.backend.name,
            "reason": reason,
            **_expected(choice),
        }


def _refused(status: int, reason: str, wait_s: float | None = None) -> Document:
    return {
        "kind": "refusal",
        "status": status,
        "reason": reason[:200],
        "retry_after_s": _rounded(wait_s),
    }


def _expected(choice: Choice) -> Document:
    return {
        "expected_s": _rounded(choice.expected_s),
        "wait_s": _rounded(choice.wait_s),
        "score": _rounded(choice.score),
    }


def _explain_backend(explained: ExplainedCandidate) -> Document:
    candidate, choice, parts = explained.candidate, explained.choice, explained.parts
    return {
        "name": candidate.backend.name,
        "zone": candidate.backend.record.zone,
        "healthy": explained.is_healthy,
        "requests": explained.requests,
        "slots": candidate.slots,
        "slots_while_starting": candidate.paced_slots,
        "cached_tokens": round(explained.cached_tokens),
        "preferred_for_prefix": candidate.is_preferred,
        "speed_factor": _rounded(explained.speed_factor),
        "pace": _rounded(explained.pace),
        "correction": _rounded(candidate.correction.factor),
        "full": choice is None,
        **({} if choice is None else _expected(choice)),
        "parts": (
            None
            if parts is None
            else {name: _rounded(value) for name, value in dataclasses.asdict(parts).items()}
        ),
    }


def _explain_region(region: RemoteRegion, choice: Choice | None) -> Document:
    return {
        "name": region.region,
        "backends": region.backends,
        "room": region.room,
        "recently_sent": region.recently_sent,
        "full": choice is None,
        **({} if choice is None else _expected(choice)),
    }


def _rounded(value: float | None) -> float | None:
    return None if value is None else round(value, 3)
