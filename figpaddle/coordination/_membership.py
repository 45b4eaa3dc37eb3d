"""Which instances are alive: probes, suspicion, refutation and spreading of news."""

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
    PeerDoubted,
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
    """A probe of one instance that has not ended."""

    target: str
    incarnation: int
    #: Calls to other instances that have not ended; 0 while the direct one runs.
    helpers_left: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Relayed:
    """A probe made for another instance."""

    target: str
    token: int
    asker: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class _SyncRound:
    """A round of anti-entropy that has not ended."""

    address: str
    rounds_left: int


class Membership:
    """The membership protocol of one instance, without input or output.

    Each interval one instance is probed, in a random order that goes round all of them. Where it
    doesn't answer, some others are asked to probe it; where they fail as well, it is suspected,
    and unless it refutes that with a higher incarnation in time, it is gone. News travels with
    probes and their answers; anti-entropy with a random instance mends what news has missed.

    Each exchange is a call with one reply, on a connection of its own: a connection that has
    gone silent can't make its peer look dead.

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
        self._order: list[str] = []
        self._blamed: list[str] = []
        self._calls: dict[int, _Probe | _Relayed | _SyncRound] = {}
        self._last_call_id = 0
        self._last_event: float | None = None
        self._next_probe = 0.0
        self._next_sync = 0.0
        self._next_rejoin = 0.0
        self._effects: list[MembershipEffect] = []

    @property
    def own(self) -> InstanceInfo:
        """The instance itself, as it tells others."""
        return self._view.own

    @property
    def records(self) -> tuple[MemberRecord, ...]:
        """All known instances, itself among them, in the order of their names."""
        return self._view.table.records

    @property
    def pending_calls(self) -> int:
        """Calls that have not ended."""
        return len(self._calls)

    @property
    def spreading_news(self) -> int:
        """Items of news that still spread."""
        return len(self._view.news)

    def handle(self, event: MembershipEvent, *, now: float) -> tuple[MembershipEffect, ...]:
        """Take in ``event`` and return what is to be done, in order."""
        self._notice_lapse(now)
        if isinstance(event, MembershipTick):
            self._on_tick(now)
        elif isinstance(event, CallFinished):
            self._on_call_finished(event, now)
        elif isinstance(event, RequestReceived):
            self._on_request(event, now)
        elif isinstance(event, PeerDoubted):
            self._on_doubt(event)
        else:
            self._view.set_own(self._view.own.with_state(event.state))
        effects = self._view.take_changes() + tuple(self._effects)
        self._effects.clear()
        return effects

    def _on_tick(self, now: float) -> None:
        self._view.expire(now=now)
        if now >= self._next_probe:
            self._next_probe = now + self._options.probe_interval_s
            self._probe_next()
            self._probe_blamed()
        if now >= self._next_sync:
            self._next_sync = now + self._spread_interval(self._options.sync_interval_s)
            self._sync_with_random()
        if now >= self._next_rejoin:
            self._next_rejoin = now + self._spread_interval(self._options.rejoin_interval_s)
            self._rejoin()

    def _notice_lapse(self, now: float) -> None:
        """After a standstill of this process, drop what only seems to have timed out."""
        last = now if self._last_event is None else self._last_event
        self._last_event = now
        if now - last <= self._options.lapse_s:
            return
        self._view.table.postpone(now - last)
        for call_id, call in list(self._calls.items()):
            if isinstance(call, _Probe):
                del self._calls[call_id]

    def _spread_interval(self, interval_s: float) -> float:
        return interval_s * self._rng.uniform(0.75, 1.25)

    def _probe_next(self) -> None:
        target = self._next_in_order()
        if target is not None:
            self._probe(target)

    def _probe_blamed(self) -> None:
        """Give an instance that was suspected here the chance to refute it at once."""
        records = [self._view.table.find(name) for name in self._blamed]
        suspected = [record for record in records if record is not None and record.suspected]
        self._blamed = [record.info.name for record in suspected]
        count = min(len(suspected), self._options.blamed_probes)
        for record in self._rng.sample(suspected, count):
            self._probe(record)

    def _on_doubt(self, event: PeerDoubted) -> None:
        target = self._view.table.find(event.name)
        if target is not None and not target.gone and event.name != self._view.own.name:
            self._probe(target)

    def _probe(self, target: MemberRecord) -> None:
        probe = _Probe(target=target.info.name, incarnation=target.info.incarnation)
        self._ping(target, probe, self._options.probe_timeout_s)

    def _next_in_order(self) -> MemberRecord | None:
        for _ in range(2):
            while self._order:
                record = self._view.table.find(self._order.pop())
                if (
                    record is not None
                    and not record.gone
                    and record.info.name != self._view.own.name
                ):
                    return record
            self._order = self._view.others
            self._rng.shuffle(self._order)
        return None

    def _ping(self, target: MemberRecord, purpose: _Probe | _Relayed, timeout_s: float) -> None:
        item = Ping(
            sender=self._view.own.name,
            target=target.info.name,
            news=self._view.news_for(target.info.name),
        )
        self._call(target.info.peer_address, item, purpose, timeout_s)

    def _call(
        self,
        address: str,
        item: Message,
        purpose: _Probe | _Relayed | _SyncRound,
        timeout_s: float,
    ) -> None:
        self._last_call_id += 1
        self._calls[self._last_call_id] = purpose
        call = Call(call_id=self._last_call_id, address=address, item=item, timeout_s=timeout_s)
        self._effects.append(call)

    def _on_call_finished(self, event: CallFinished, now: float) -> None:
        purpose = self._calls.pop(event.call_id, None)
        if isinstance(purpose, _SyncRound):
            self._on_sync_finished(purpose, event.reply, now)
            return
        if purpose is None:
            return
        reached = self._take_ack(event.reply, now)
        if isinstance(purpose, _Relayed):
            self._answer_asker(purpose, reached == purpose.target)
        elif purpose.helpers_left:
            self._on_helper_finished(purpose, reached is not None, now)
        elif reached != purpose.target:
            self._ask_helpers(purpose, now)

    def _take_news(self, news: tuple[MemberNews, ...], now: float) -> None:
        for name in self._view.take_news(news, now=now):
            self._order.insert(self._rng.randint(0, len(self._order)), name)

    def _take_ack(self, reply: Message | None, now: float) -> str | None:
        """Return who says that the instance meant was reached, or None."""
        if not isinstance(reply, Ack):
            return None
        self._take_news(reply.news, now)
        return reply.sender if reply.reached else None

    def _answer_asker(self, relayed: _Relayed, reached: bool) -> None:
        ack = Ack(
            sender=self._view.own.name, reached=reached, news=self._view.news_for(relayed.asker)
        )
        self._effects.append(Respond(token=relayed.token, item=ack))

    def _ask_helpers(self, probe: _Probe, now: float) -> None:
        record = self._view.table.find(probe.target)
        if record is None or record.gone:
            return
        others = [name for name in self._view.others if name != probe.target]
        helpers = self._rng.sample(others, min(len(others), self._options.indirect_probes))
        if not helpers:
            self._suspect(probe, now)
            return
        probe.helpers_left = len(helpers)
        for name in helpers:
            helper = self._view.table.find(name)
            assert helper is not None
            item = IndirectPing(
                sender=self._view.own.name,
                target=probe.target,
                address=record.info.peer_address,
                news=self._view.news_for(name),
            )
            self._call(helper.info.peer_address, item, probe, self._options.indirect_timeout_s)

    def _on_helper_finished(self, probe: _Probe, reached: bool, now: float) -> None:
        if reached:
            self._drop_probe(probe)
            return
        probe.helpers_left -= 1
        if probe.helpers_left == 0:
            self._suspect(probe, now)

    def _drop_probe(self, probe: _Probe) -> None:
        for call_id, call in list(self._calls.items()):
            if call is probe:
                del self._calls[call_id]

    def _suspect(self, probe: _Probe, now: float) -> None:
        record = self._view.table.find(probe.target)
        if record is None or record.gone or record.info.incarnation != probe.incarnation:
            return
        if not record.suspected:
            self._take_news((MemberNews(info=record.info, suspected=True),), now)
            self._blamed.append(probe.target)

    def _on_request(self, event: RequestReceived, now: float) -> None:
        item = event.item
        if isinstance(item, Ping):
            self._take_news(item.news, now)
            reached = item.target == self._view.own.name
            ack = Ack(
                sender=self._view.own.name, reached=reached, news=self._view.news_for(item.sender)
            )
            self._effects.append(Respond(token=event.token, item=ack))
        elif isinstance(item, IndirectPing):
            self._take_news(item.news, now)
            self._probe_for(item, event.token)
        elif isinstance(item, Sync):
            self._on_sync(item, event.token, now)

    def _probe_for(self, item: IndirectPing, token: int) -> None:
        purpose = _Relayed(target=item.target, token=token, asker=item.sender)
        ping = Ping(
            sender=self._view.own.name, target=item.target, news=self._view.news_for(item.target)
        )
        self._call(item.address, ping, purpose, self._options.probe_timeout_s)

    def _sync_with_random(self) -> None:
        others = self._view.others
        if not others:
            return
        record = self._view.table.find(self._rng.choice(others))
        assert record is not None
        self._sync(record.info.peer_address, set(), self._options.sync_rounds)

    def _rejoin(self) -> None:
        """Try an instance that is gone, for a partition may have healed, or one to join by."""
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
        item = Sync(
            sender=self._view.own,
            digests=self._view.table.digests(),
            news=self._sample(buckets),
        )
        purpose = _SyncRound(address=address, rounds_left=rounds_left - 1)
        self._call(address, item, purpose, self._options.sync_timeout_s)

    def _sample(self, buckets: set[int]) -> tuple[MemberNews, ...]:
        return self._view.table.sample(buckets, limit=self._options.max_sync_news, rng=self._rng)

    def _on_sync(self, item: Sync, token: int, now: float) -> None:
        self._take_news((MemberNews(info=item.sender), *item.news), now)
        doubts = self._view.doubts_about(item.sender.name)
        buckets = differing_buckets(item.digests, self._view.table.digests())
        reply = SyncReply(
            sender=self._view.own,
            digests=self._view.table.digests(),
            news=doubts + self._sample(buckets),
        )
        self._effects.append(Respond(token=token, item=reply))

    def _on_sync_finished(self, done: _SyncRound, reply: Message | None, now: float) -> None:
        if not isinstance(reply, SyncReply):
            return
        self._take_news((MemberNews(info=reply.sender), *reply.news), now)
        buckets = differing_buckets(reply.digests, self._view.table.digests())
        if buckets and done.rounds_left > 0:
            self._sync(done.address, buckets, done.rounds_left)
