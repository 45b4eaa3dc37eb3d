"""Failure detection and gossip in the manner of SWIM: probes, suspicion and refutation."""

from __future__ import annotations

import dataclasses
import random

from figpaddle.coordination._member_table import MemberRecord, differing_buckets
from figpaddle.coordination._member_view import MemberView
from figpaddle.coordination._membership_events import (
    Call,
    CallFinished,
    MembershipEffect,
    MembershipEvent,
    MembershipTick,
    ProbeRequested,
    RequestReceived,
    Respond,
)
from figpaddle.coordination._membership_options import MembershipOptions
from figpaddle.wire import (
    Ack,
    IndirectPing,
    InstanceInfo,
    MemberNews,
    Message,
    Ping,
    Sync,
    SyncReply,
)


@dataclasses.dataclass(kw_only=True)
class _Probe:
    """A pending probe of one instance."""

    target: str
    incarnation: int
    #: Helpers that have not answered yet; 0 while the direct probe is pending.
    pending_helpers: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _ProbeForOther:
    """A pending probe made at the request of another instance."""

    target: str
    token: int
    requester: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class _SyncRound:
    """A pending round of anti-entropy."""

    address: str
    rounds_left: int


class Membership:
    """The membership protocol of one instance, without input or output.

    In each interval it probes one instance; it cycles through all of them in a random order. If
    the instance doesn't answer, some helpers are asked to probe it. If they fail as well, the
    instance is suspected, and unless it refutes the suspicion with a higher incarnation before
    the suspicion timeout, it is considered gone. Updates are piggybacked on probes and their
    answers; anti-entropy with a random instance repairs what an instance has missed.

    Each exchange is a call with one reply on its own connection, so that a half-open connection
    can't make a live peer look dead.

    >>> info = InstanceInfo(
    ...     name="one", region="seoul", zone="seoul-a", peer_address="127.0.0.1:1",
    ...     caller_address="127.0.0.1:2", incarnation=1,
    ... )
    >>> alone = Membership(own=info, join=("127.0.0.1:9",), rng=random.Random(1))
    >>> [effect] = alone.handle(MembershipTick(), now=0.0)
    >>> effect.address, type(effect.item).__name__
    ('127.0.0.1:9', 'Sync')
    """

    def __init__(
        self,
        *,
        own: InstanceInfo,
        join: tuple[str, ...],
        rng: random.Random,
        options: MembershipOptions | None = None,
    ) -> None:
        self._options = options or MembershipOptions()
        self._view = MemberView(own=own, options=self._options)
        self._join = join
        self._rng = rng
        self._probe_order: list[str] = []
        self._own_suspicions: list[str] = []
        self._pending_calls: dict[int, _Probe | _ProbeForOther | _SyncRound] = {}
        self._last_call_id = 0
        self._last_event_at: float | None = None
        self._next_probe_at = 0.0
        self._next_sync_at = 0.0
        self._next_rejoin_at = 0.0
        self._effects: list[MembershipEffect] = []

    @property
    def own(self) -> InstanceInfo:
        """This instance, as it describes itself to others."""
        return self._view.own

    @property
    def records(self) -> tuple[MemberRecord, ...]:
        """The records of all known instances, including this one, in the order of their names."""
        return self._view.table.records

    @property
    def pending_calls(self) -> int:
        """Number of calls that have not ended."""
        return len(self._pending_calls)

    @property
    def queued_updates(self) -> int:
        """Number of updates that are still sent to other instances."""
        return len(self._view.update_queue)

    def handle(self, event: MembershipEvent, *, now: float) -> tuple[MembershipEffect, ...]:
        """Handle ``event`` and return the effects to carry out, in order."""
        self._compensate_for_stall(now)
        if isinstance(event, MembershipTick):
            self._on_tick(now)
        elif isinstance(event, CallFinished):
            self._on_call_finished(event, now)
        elif isinstance(event, RequestReceived):
            self._on_request(event, now)
        elif isinstance(event, ProbeRequested):
            self._on_probe_request(event)
        else:
            self._view.update_own(self._view.own.with_state(event.state))
        effects = self._view.drain_changes() + tuple(self._effects)
        self._effects.clear()
        return effects

    def _on_tick(self, now: float) -> None:
        self._view.expire(now=now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + self._options.probe_interval_s
            self._probe_in_turn()
            self._reprobe_own_suspicions()
        if now >= self._next_sync_at:
            self._next_sync_at = now + self._jittered(self._options.sync_interval_s)
            self._sync_with_random_member()
        if now >= self._next_rejoin_at:
            self._next_rejoin_at = now + self._jittered(self._options.rejoin_interval_s)
            self._rejoin()

    def _compensate_for_stall(self, now: float) -> None:
        """After a stall of this process, postpone expiries and drop probes.

        They would otherwise time out although the other instances may have answered.
        """
        previous = now if self._last_event_at is None else self._last_event_at
        self._last_event_at = now
        if now - previous <= self._options.stall_threshold_s:
            return
        self._view.table.postpone_expiries(now - previous)
        for call_id, call in list(self._pending_calls.items()):
            if isinstance(call, _Probe):
                del self._pending_calls[call_id]

    def _jittered(self, interval_s: float) -> float:
        return interval_s * self._rng.uniform(0.75, 1.25)

    def _probe_in_turn(self) -> None:
        target = self._next_probe_target()
        if target is not None:
            self._probe(target)

    def _reprobe_own_suspicions(self) -> None:
        """Probe instances that this one suspects, so that they can refute it quickly."""
        records = [self._view.table.find(name) for name in self._own_suspicions]
        suspected = [record for record in records if record is not None and record.suspected]
        self._own_suspicions = [record.info.name for record in suspected]
        count = min(len(suspected), self._options.reprobes_per_interval)
        for record in self._rng.sample(suspected, count):
            self._probe(record)

    def _on_probe_request(self, event: ProbeRequested) -> None:
        target = self._view.table.find(event.name)
        if target is not None and not target.gone and event.name != self._view.own.name:
            self._probe(target)

    def _probe(self, target: MemberRecord) -> None:
        probe = _Probe(target=target.info.name, incarnation=target.info.incarnation)
        self._ping(target, probe, self._options.probe_timeout_s)

    def _next_probe_target(self) -> MemberRecord | None:
        for _ in range(2):
            while self._probe_order:
                record = self._view.table.find(self._probe_order.pop())
                if (
                    record is not None
                    and not record.gone
                    and record.info.name != self._view.own.name
                ):
                    return record
            self._probe_order = self._view.others
            self._rng.shuffle(self._probe_order)
        return None

    def _ping(
        self, target: MemberRecord, purpose: _Probe | _ProbeForOther, timeout_s: float
    ) -> None:
        ping = Ping(
            sender=self._view.own.name,
            target=target.info.name,
            news=self._view.updates_for(target.info.name),
        )
        self._call(target.info.peer_address, ping, purpose, timeout_s)

    def _call(
        self,
        address: str,
        item: Message,
        purpose: _Probe | _ProbeForOther | _SyncRound,
        timeout_s: float,
    ) -> None:
        self._last_call_id += 1
        self._pending_calls[self._last_call_id] = purpose
        call = Call(call_id=self._last_call_id, address=address, item=item, timeout_s=timeout_s)
        self._effects.append(call)

    def _on_call_finished(self, event: CallFinished, now: float) -> None:
        purpose = self._pending_calls.pop(event.call_id, None)
        if isinstance(purpose, _SyncRound):
            self._on_sync_finished(purpose, event.reply, now)
            return
        if purpose is None:
            return
        confirmed_by = self._process_ack(event.reply, now)
        if isinstance(purpose, _ProbeForOther):
            self._reply_to_requester(purpose, confirmed_by == purpose.target)
        elif purpose.pending_helpers:
            self._on_helper_finished(purpose, confirmed_by is not None, now)
        elif confirmed_by != purpose.target:
            self._probe_indirectly(purpose, now)

    def _merge_updates(self, updates: tuple[MemberNews, ...], now: float) -> None:
        for name in self._view.merge_updates(updates, now=now):
            self._probe_order.insert(self._rng.randint(0, len(self._probe_order)), name)

    def _process_ack(self, reply: Message | None, now: float) -> str | None:
        """Merge the updates of an ack; return its sender if the target was reached, else None."""
        if not isinstance(reply, Ack):
            return None
        self._merge_updates(reply.news, now)
        return reply.sender if reply.reached else None

    def _reply_to_requester(self, probe: _ProbeForOther, reached: bool) -> None:
        ack = Ack(
            sender=self._view.own.name,
            reached=reached,
            news=self._view.updates_for(probe.requester),
        )
        self._effects.append(Respond(token=probe.token, item=ack))

    def _probe_indirectly(self, probe: _Probe, now: float) -> None:
        record = self._view.table.find(probe.target)
        if record is None or record.gone:
            return
        others = [name for name in self._view.others if name != probe.target]
        helpers = self._rng.sample(others, min(len(others), self._options.indirect_probes))
        if not helpers:
            self._suspect(probe, now)
            return
        probe.pending_helpers = len(helpers)
        for name in helpers:
            helper = self._view.table.find(name)
            assert helper is not None
            ping = IndirectPing(
                sender=self._view.own.name,
                target=probe.target,
                address=record.info.peer_address,
                news=self._view.updates_for(name),
            )
            self._call(helper.info.peer_address, ping, probe, self._options.indirect_timeout_s)

    def _on_helper_finished(self, probe: _Probe, reached: bool, now: float) -> None:
        if reached:
            self._drop_probe(probe)
            return
        probe.pending_helpers -= 1
        if probe.pending_helpers == 0:
            self._suspect(probe, now)

    def _drop_probe(self, probe: _Probe) -> None:
        for call_id, call in list(self._pending_calls.items()):
            if call is probe:
                del self._pending_calls[call_id]

    def _suspect(self, probe: _Probe, now: float) -> None:
        record = self._view.table.find(probe.target)
        if record is None or record.gone or record.info.incarnation != probe.incarnation:
            return
        if not record.suspected:
            self._merge_updates((MemberNews(info=record.info, suspected=True),), now)
            self._own_suspicions.append(probe.target)

    def _on_request(self, event: RequestReceived, now: float) -> None:
        request = event.item
        if isinstance(request, Ping):
            self._merge_updates(request.news, now)
            reached = request.target == self._view.own.name
            ack = Ack(
                sender=self._view.own.name,
                reached=reached,
                news=self._view.updates_for(request.sender),
            )
            self._effects.append(Respond(token=event.token, item=ack))
        elif isinstance(request, IndirectPing):
            self._merge_updates(request.news, now)
            self._probe_for_requester(request, event.token)
        elif isinstance(request, Sync):
            self._on_sync(request, event.token, now)

    def _probe_for_requester(self, request: IndirectPing, token: int) -> None:
        purpose = _ProbeForOther(target=request.target, token=token, requester=request.sender)
        ping = Ping(
            sender=self._view.own.name,
            target=request.target,
            news=self._view.updates_for(request.target),
        )
        self._call(request.address, ping, purpose, self._options.probe_timeout_s)

    def _sync_with_random_member(self) -> None:
        others = self._view.others
        if not others:
            return
        record = self._view.table.find(self._rng.choice(others))
        assert record is not None
        self._sync(record.info.peer_address, set(), self._options.sync_rounds)

    def _rejoin(self) -> None:
        """Sync with a join address that is not live, or with an instance that is gone.

        Either may have become reachable after a partition.
        """
        known = {record.info.peer_address: record for record in self._view.table.records}
        candidates = [
            address for address in self._join if address not in known or known[address].gone
        ]
        for name in self._view.table.gone:
            record = self._view.table.find(name)
            if record is not None and record.info.peer_address not in candidates:
                candidates.append(record.info.peer_address)
        if candidates:
            self._sync(self._rng.choice(candidates), set(), self._options.sync_rounds)

    def _sync(self, address: str, buckets: set[int], rounds_left: int) -> None:
        sync = Sync(
            sender=self._view.own,
            digests=self._view.table.digests(),
            news=self._sample_updates(buckets),
        )
        purpose = _SyncRound(address=address, rounds_left=rounds_left - 1)
        self._call(address, sync, purpose, self._options.sync_timeout_s)

    def _sample_updates(self, buckets: set[int]) -> tuple[MemberNews, ...]:
        return self._view.table.sample(buckets, limit=self._options.max_sync_updates, rng=self._rng)

    def _on_sync(self, request: Sync, token: int, now: float) -> None:
        self._merge_updates((MemberNews(info=request.sender), *request.news), now)
        to_refute = self._view.updates_to_refute(request.sender.name)
        buckets = differing_buckets(request.digests, self._view.table.digests())
        reply = SyncReply(
            sender=self._view.own,
            digests=self._view.table.digests(),
            news=to_refute + self._sample_updates(buckets),
        )
        self._effects.append(Respond(token=token, item=reply))

    def _on_sync_finished(self, finished: _SyncRound, reply: Message | None, now: float) -> None:
        if not isinstance(reply, SyncReply):
            return
        self._merge_updates((MemberNews(info=reply.sender), *reply.news), now)
        buckets = differing_buckets(reply.digests, self._view.table.digests())
        if buckets and finished.rounds_left > 0:
            self._sync(finished.address, buckets, finished.rounds_left)
