"""The leases of one entry, what it would begin at each engine, and what it has begun."""

from __future__ import annotations

import collections
import dataclasses
import math
from collections.abc import Iterable, Mapping

from figpaddle.engine_leases._lease import EngineLease, HeldLease
from figpaddle.engine_leases._pace import EngineUse, owed_gap_s

#: Interval at which an entry asks for its leases, seconds.
ASK_INTERVAL_S = 0.4
#: Time constant of the measured demand, seconds.
DEMAND_S = 1.0
#: Time for which the pace that a request was owed is remembered, seconds, and the largest number of requests.
OWED_SPAN_S, MAX_OWED = 30.0, 100
#: Fraction of the requests that may state that they are owed a faster pace than the account goes by: a few that state
#: answers of any length must not slow down all others.
FASTEST_FRACTION = 0.05
#: Weight of a request in the average part of its prompt that an engine hasn't cached.
UNCACHED_WEIGHT = 0.05
#: Least demand from which on the mean length of the prompts of a class counts as known, tokens a second.
MIN_PROMPTS_PER_S = 1.0
#: Rate of starts that limits nothing, streams a second.
UNLIMITED_PER_S = 1e9
#: Fraction of an engine's time that all entries together use for each less urgent class while they hold no lease,
#: as the keeper of the account is silent.
UNLEASED_FRACTION = 0.05


class _Rate:
    """Amount a second with a memory of about ``DEMAND_S``."""

    def __init__(self) -> None:
        self._per_s = 0.0
        self._noted_at = 0.0

    def note(self, amount: float, *, now: float) -> None:
        self._per_s = self.per_s(now=now) + amount / DEMAND_S
        self._noted_at = now

    def per_s(self, *, now: float) -> float:
        return self._per_s * math.exp(-max(0.0, now - self._noted_at) / DEMAND_S)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LeasedRequest:
    """What the book knows of a request."""

    service: str
    #: Number of priorities of the service that are more urgent.
    urgency_class: int
    prompt_tokens: int
    #: Most events of its answer; 0 if it isn't a stream.
    events: int
    #: Time limit of its route, and the time to the first byte that is on time, seconds.
    timeout_s: float
    target_s: float


@dataclasses.dataclass(frozen=True, kw_only=True)
class EngineState:
    """What this entry sees of one engine."""

    #: Streams that it has there.
    streams: int
    #: Mean time between their events, seconds; 0 if none was seen lately.
    gap_s: float
    #: Mean time for which a stream runs, seconds.
    stream_s: float
    #: Prompt tokens that the engine reads a second.
    prompt_per_s: float


class _ServiceDemand:
    """What callers ask of a service, by class, and the pace that their streams are owed."""

    def __init__(self, *, classes: int) -> None:
        self.prompts = [_Rate() for _ in range(classes)]
        self.starts = [_Rate() for _ in range(classes)]
        #: Average part of the prompts that engines had to read, by class.
        self.uncached = [1.0] * classes
        # Times between events that requests were owed, and when they came, by class.
        self._owed: list[collections.deque[tuple[float, float]]] = [
            collections.deque(maxlen=MAX_OWED) for _ in range(classes)
        ]

    def note(self, request: LeasedRequest, *, now: float) -> None:
        self.prompts[request.urgency_class].note(float(request.prompt_tokens), now=now)
        self.starts[request.urgency_class].note(1.0, now=now)
        owed_s = owed_gap_s(
            timeout_s=request.timeout_s, target_s=request.target_s, events=request.events
        )
        self._owed[request.urgency_class].append((owed_s, now))

    def note_begun(self, urgency_class: int, *, read: float, of_tokens: float) -> None:
        """Record how much of a prompt an engine reads."""
        if of_tokens > 0.0:
            part = min(1.0, read / of_tokens)
            self.uncached[urgency_class] += UNCACHED_WEIGHT * (part - self.uncached[urgency_class])

    def owed_s(self, urgency_class: int, *, now: float) -> float:
        """Return the time between events that requests of a class are owed, seconds."""
        recent = sorted(
            owed_s for owed_s, at in self._owed[urgency_class] if now - at <= OWED_SPAN_S
        )
        return recent[int(FASTEST_FRACTION * len(recent))] if recent else math.inf


class _Engine:
    def __init__(self, *, classes: int) -> None:
        self.held = HeldLease(classes=classes)
        self.begun = [_Rate() for _ in range(classes)]
        #: The part that is used without a lease.
        self.unleased = HeldLease(classes=classes)


class LeaseBook:
    """Keeps the leases of an entry and counts what it begins under them.

    Requests of the most urgent class begin without a lease while none of the service is in force. Less urgent ones use a small
    part of the engine then, of which all entries of the region have equal parts.

    >>> book = LeaseBook()
    >>> book.set_classes({"draft": 2})
    >>> book.may_begin("i-1", "draft", 1, now=0.0), book.may_begin("i-1", "draft", 0, now=0.0)
    (False, True)
    >>> lease = EngineLease(prompt_per_s=(9.0, 9.0), starts_per_s=(9.0, 9.0), life_s=1.0)
    >>> book.renew("i-1", "draft", lease, asked_at=0.0)
    >>> book.may_begin("i-1", "draft", 1, now=0.5)
    True
    """

    def __init__(self) -> None:
        self._classes: dict[str, int] = {}
        self._demands: dict[str, _ServiceDemand] = {}
        self._engines: dict[tuple[str, str], _Engine] = {}
        # Until when some lease is in force, by service.
        self._held_until: dict[str, float] = {}

    def set_classes(self, classes: Mapping[str, int]) -> None:
        """Set the number of classes of each service that is leased; others aren't."""
        if classes == self._classes:
            return
        changed = {name for name, count in self._classes.items() if classes.get(name) != count}
        self._classes = dict(classes)
        self._demands = {
            name: demand for name, demand in self._demands.items() if name not in changed
        }
        self._engines = {
            key: engine for key, engine in self._engines.items() if key[1] not in changed
        }
        self._find_held()

    def is_leased(self, service: str) -> bool:
        """Return whether the engines of a service are used under leases."""
        return service in self._classes

    def note_request(self, request: LeasedRequest, *, now: float) -> None:
        """Count a request of a caller, or of another region, for the demand."""
        classes = self._classes.get(request.service)
        if classes is None or request.urgency_class >= classes:
            return
        demand = self._demands.setdefault(request.service, _ServiceDemand(classes=classes))
        demand.note(request, now=now)

    def may_begin(self, engine: str, service: str, urgency_class: int, *, now: float) -> bool:
        """Return whether a request of a class may begin at an engine."""
        classes = self._classes.get(service)
        if classes is None or urgency_class >= classes:
            return True
        known = self._engines.get((engine, service))
        if known is not None and known.held.is_held(now=now):
            return known.held.may_begin(urgency_class, now=now)
        if urgency_class == 0:
            # An engine whose account doesn't answer is used as if there were none. At others nothing begins beyond
            # the leases, or entries would meet at the engines that none of them asks for.
            is_asked = known is not None and known.unleased.is_held(now=now)
            return is_asked or now >= self._held_until.get(service, float("-inf"))
        return known is not None and known.unleased.may_begin(urgency_class, now=now)

    def lacks_lease(self, service: str, urgency_class: int, *, now: float) -> bool:
        """Return whether some leases of a service are in force and none lets a request of a class begin."""
        held = [
            engine.held
            for (_, name), engine in self._engines.items()
            if name == service and engine.held.is_held(now=now)
        ]
        return bool(held) and not any(item.may_begin(urgency_class, now=now) for item in held)

    def holds(self, engine: str, service: str, *, now: float) -> bool:
        """Return whether a lease of an engine is in force."""
        known = self._engines.get((engine, service))
        return known is not None and known.held.is_held(now=now)

    def note_begun(
        self,
        engine: str,
        service: str,
        urgency_class: int,
        *,
        prompt_tokens: float,
        of_tokens: float = 0.0,
        now: float,
        is_charged: bool = True,
    ) -> None:
        """Count a request that begins at an engine, which reads ``prompt_tokens`` of the ``of_tokens`` of its prompt.

        ``of_tokens`` is 0 where the whole prompt isn't known.

        One that goes on with what has begun elsewhere isn't charged to the lease: others would wait for it.
        """
        classes = self._classes.get(service)
        if classes is None or urgency_class >= classes:
            return
        known = self._engine(engine, service)
        known.begun[urgency_class].note(prompt_tokens, now=now)
        demand = self._demands.get(service)
        if demand is not None:
            demand.note_begun(urgency_class, read=prompt_tokens, of_tokens=of_tokens)
        if not is_charged:
            return
        held = known.held if known.held.is_held(now=now) else known.unleased
        held.spend(urgency_class, prompt_tokens=prompt_tokens, now=now)

    def uses(
        self, service: str, engines: Mapping[str, EngineState], *, now: float
    ) -> dict[str, EngineUse]:
        """Return what to state of each engine of a service at which this entry asks for a lease."""
        classes = self._classes.get(service, 0)
        demand = self._demands.get(service) or _ServiceDemand(classes=classes)
        part = 1.0 / max(1, len(engines))
        return {
            name: EngineUse(
                prompt_per_s=tuple(
                    part * uncached * rate.per_s(now=now)
                    for uncached, rate in zip(demand.uncached, demand.prompts, strict=True)
                ),
                starts_per_s=tuple(part * rate.per_s(now=now) for rate in demand.starts),
                begun_per_s=tuple(
                    rate.per_s(now=now) for rate in self._engine(name, service).begun
                ),
                streams=state.streams,
                gap_s=state.gap_s,
                stream_s=state.stream_s,
                owed_s=tuple(demand.owed_s(index, now=now) for index in range(classes)),
            )
            for name, state in engines.items()
        }

    def renew(self, engine: str, service: str, lease: EngineLease, *, asked_at: float) -> None:
        """Take a lease that was asked for at ``asked_at``."""
        classes = self._classes.get(service)
        # The classes may have changed since the question.
        if classes is not None and lease.classes >= classes:
            self._engine(engine, service).held.renew(lease, asked_at=asked_at)
            held_until = self._held_until.get(service, float("-inf"))
            self._held_until[service] = max(held_until, asked_at + lease.life_s)

    def keep_unleased_part(
        self, engine: str, service: str, *, prompt_per_s: float, entries: int, now: float
    ) -> None:
        """Renew the part of an engine that this entry uses while no account answers it."""
        classes = self._classes.get(service)
        if classes is None:
            return
        per_s = UNLEASED_FRACTION * prompt_per_s / max(1, entries)
        lease = EngineLease(
            prompt_per_s=(per_s,) * classes,
            starts_per_s=(UNLIMITED_PER_S,) * classes,
            life_s=2.0 * ASK_INTERVAL_S,
        )
        self._engine(engine, service).unleased.renew(lease, asked_at=now)

    def lenders(self, service: str, *, now: float) -> list[str]:
        """Return the engines of a service at which a loan may be asked: those with a lease in force."""
        return [
            name
            for (name, of_service), engine in self._engines.items()
            if of_service == service and engine.held.is_held(now=now)
        ]

    def note_lent(
        self, engine: str, service: str, urgency_class: int, *, prompt_tokens: float, now: float
    ) -> None:
        """Let one request of a class begin at an engine beyond the lease."""
        held = self._engine(engine, service).held
        held.lend(urgency_class, prompt_tokens=prompt_tokens, now=now)

    def room(
        self, service: str, urgency_class: int, *, entries: int, within_s: float, now: float
    ) -> int | None:
        """Return how many more requests of a class the engines of the region may begin within a time.

        It concludes from what this entry leaves of its leases, which are about as large as those of each other one.
        None where no prompts of the class have come that would say how long they are.
        """
        demand = self._demands.get(service)
        if demand is None or urgency_class >= self._classes.get(service, 0):
            return None
        prompts_per_s = demand.prompts[urgency_class].per_s(now=now)
        if prompts_per_s < MIN_PROMPTS_PER_S:
            return None
        mean_tokens = prompts_per_s / demand.starts[urgency_class].per_s(now=now)
        unused_per_s = sum(
            max(0.0, engine.held.lease.prompt_per_s[urgency_class] - begun.per_s(now=now))
            for (_, name), engine in self._engines.items()
            for begun in (engine.begun[urgency_class],)
            if name == service and engine.held.lease and engine.held.is_held(now=now)
        )
        return int(entries * unused_per_s * within_s / mean_tokens)

    def forget(self, known: Iterable[str]) -> None:
        """Forget the engines that aren't among the ``known`` ones."""
        names = set(known)
        self._engines = {key: item for key, item in self._engines.items() if key[0] in names}
        self._find_held()

    def dump(self, *, now: float) -> dict[str, dict[str, object]]:
        """Return the leases for operators, by engine."""
        return {
            name: {
                "held": engine.held.is_held(now=now),
                "prompt_per_s": [round(per_s) for per_s in engine.held.lease.prompt_per_s],
                "starts_per_s": [round(per_s, 1) for per_s in engine.held.lease.starts_per_s],
                "begun_per_s": [round(rate.per_s(now=now)) for rate in engine.begun],
            }
            for (name, _), engine in self._engines.items()
            if engine.held.lease is not None
        }

    def _find_held(self) -> None:
        """Find until when some lease is in force, after some were dropped."""
        self._held_until = {}
        for (_, service), engine in self._engines.items():
            known = self._held_until.get(service, float("-inf"))
            self._held_until[service] = max(known, engine.held.expires_at)

    def _engine(self, name: str, service: str) -> _Engine:
        engine = self._engines.get((name, service))
        if engine is None:
            engine = self._engines[name, service] = _Engine(classes=self._classes[service])
        return engine
