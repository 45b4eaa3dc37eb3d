"""Quarantine of requests and prompt parts that crash the backend servers that run them."""

from __future__ import annotations

import collections
import dataclasses
import enum
import random
from collections.abc import Iterable, Mapping

from figpaddle.routing._loss_records import LOSS_TTL_S, Loss, LossRecords
from figpaddle.routing._outages import Outages
from figpaddle.routing._unsettled_attempts import Process, RequestTraits, SuspectedAttempt
from figpaddle.wire import InstanceAnswers, SuspectNews, SuspectRecord

#: Settled answers that outweigh the losses of one moment. Parts that nearly all prompts share are in progress at
#: most crashes too, but have far more settled answers than losses.
ANSWERS_PER_LOSS = 5
#: Settled answers before a loss that count beyond those that outweigh the losses before it. A request
#: may begin to crash backend servers only with their next release.
MAX_EARLIER_ANSWERS = 12
#: Losses after which a request or part is refused for which no answer has settled.
MAX_LOSSES = 2
#: The same if answers have settled, and for a part if another digest explains the same losses as well.
#: A part concerns many requests; a whole request only its own repeats.
MAX_AMBIGUOUS_LOSSES = 3
#: Losses within this time of each other count as one, seconds: a power failure ends many backend
#: servers at once.
SAME_MOMENT_S = 0.2
#: Largest number of digests whose answers are counted; beyond it, the least recently answered one of
#: the member with the most is dropped.
MAX_COUNTED_DIGESTS = 16384
#: Largest number of digests of which the answers of other instances are kept, and of instances for
#: each. Answers of further instances don't count.
MAX_STATED_DIGESTS, MAX_STATING_INSTANCES = 1024, 128
#: Largest number of instances whose answers a record states, the last that changed.
MAX_STATED_IN_RECORD = 8
#: Longest time for which a refusal waits for what others state of the answers up to the last loss, and
#: for which an instance tells others of answers that one of them lacks, seconds.
CONFIRM_S, TELL_S = 3.0, 3.0
#: Size of a drawn identity, bits.
IDENTITY_BITS = 53
#: Longest time for which verdicts are reused, seconds.
VERDICTS_TTL_S = 0.5


class QuarantineVerdict(enum.Enum):
    """How a request is handled."""

    #: No loss counts against it.
    CLEAR = "clear"
    #: It may have crashed a backend server.
    SUSPECT = "suspect"
    #: It is refused.
    REFUSED = "refused"


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Verdicts:
    """The verdicts on the digests with losses, as of ``decided_at``."""

    refused: frozenset[bytes]
    #: The regions in which each suspect digest may have crashed a backend server.
    suspect: Mapping[bytes, frozenset[str]]
    decided_at: float

    @property
    def not_clear(self) -> frozenset[bytes]:
        """All digests that aren't clear."""
        return self.refused | frozenset(self.suspect)


class CrashQuarantine:
    """Decides which requests, and which parts of their prompts, crash backend servers.

    A crash counts against each request that hadn't settled at that server, by its own digest and
    those of its parts. Settled answers outweigh losses, so that a popular request, or a part shared by
    sound ones, stays clear. An outage ends servers whatever they ran, see ``Outages``. Of the other digests, one that best explains several losses is refused, and
    the losses that it explains no longer count against others. A digest with one unexplained loss is
    suspect.

    Each instance counts its own answers and states them, with those it has heard of, in its records. The
    sum counts. Instances that exchange records reach the same verdicts. ``identity`` distinguishes the
    process from all others that exchange records with it, also from those before its restart; it is
    drawn if it isn't given.

    >>> quarantine = CrashQuarantine()
    >>> traits = RequestTraits(member="guide.example", fingerprint=b"f", parts=(b"p",))
    >>> for number in range(2):
    ...     _ = quarantine.note_loss(
    ...         traits, process=(f"e{number}", 1), sent_at=number, now=number + 0.5
    ...     )
    >>> quarantine.refused_digest(traits, now=2.0)
    b'f'
    """

    def __init__(self, *, loss_ttl_s: float = LOSS_TTL_S, identity: int | None = None) -> None:
        self._loss_ttl_s = loss_ttl_s
        self._losses = LossRecords(loss_ttl_s=loss_ttl_s)
        self._answers = _AnswerCounts(
            identity=random.getrandbits(IDENTITY_BITS) if identity is None else identity
        )
        self._verdicts: _Verdicts | None = None
        #: Digests with answers that another instance lacks, by the time when it was last heard to.
        self._lacking: dict[bytes, float] = {}
        #: Outages by member, as of the last change of the losses.
        self._outages: dict[str, Outages] = {}

    def note_answer(self, traits: RequestTraits) -> None:
        """Count a settled answer."""
        for digest in traits.digests:
            self._answers.add(traits.member, digest)
            if self._verdicts is not None and digest in self._verdicts.not_clear:
                self._verdicts = None

    def note_loss(
        self,
        traits: RequestTraits,
        *,
        process: Process,
        sent_at: float,
        now: float,
        region: str = "",
    ) -> tuple[bytes, ...]:
        """Record the loss of a process with an unsettled request; return the digests with news.

        Digests whose answers far outweigh their losses have none.
        """
        news = []
        for digest in traits.digests:
            moments = _moments(self._losses.losses_of(digest, now=now))
            self._limit_answers(digest, moments)
            is_new = self._losses.note_loss(
                traits.member,
                digest,
                is_request=digest not in traits.parts,
                process=process,
                sent_at=sent_at,
                now=now,
                region=region,
            )
            if is_new and self._matters(digest, moments + 1):
                news.append(digest)
        self._forget_verdicts()
        return tuple(news)

    def note_crash(
        self,
        suspects: Iterable[SuspectedAttempt],
        *,
        process: Process,
        now: float,
        region: str = "",
    ) -> tuple[bytes, ...]:
        """Record a loss for all suspects; return the digests that others have to be told.

        ``region`` is that of the process.
        """
        news: dict[bytes, None] = {}
        for suspect in suspects:
            digests = self.note_loss(
                suspect.traits, process=process, sent_at=suspect.sent_at, now=now, region=region
            )
            news.update(dict.fromkeys(digests))
        causes = [digest for digest in news if self._possible_losses(digest, now=now)]
        if causes:
            return tuple(causes)
        # Others recognise an outage by its processes, for which one record of each member is enough.
        return tuple({self.member_of(digest): digest for digest in reversed(news)}.values())

    def losses_caused(self, digest: bytes, *, now: float) -> int:
        """Return the number of losses that a digest may have caused; an outage's don't count."""
        return len(self._possible_losses(digest, now=now))

    def answers_to(self, digest: bytes) -> float:
        """Return the number of settled answers of the deployment to a digest, as far as it is known."""
        return self._answers_of(digest)

    def knows_more(self, record: SuspectRecord, *, now: float) -> bool:
        """Return whether this instance knows losses of a digest that ``record`` lacks."""
        named = {(loss.backend, loss.incarnation) for loss in record.losses}
        return not self._losses.losses_of(record.digest, now=now).keys() <= named

    def member_of(self, digest: bytes) -> str:
        """Return the member whose request or part has a digest with losses."""
        return self._losses.member_of(digest)

    def members_of(self, process: Process) -> set[str]:
        """Return the members with whose requests a process is known to have been lost."""
        return self._losses.members_of(process)

    def processes_lost_since(self, since: float) -> set[Process]:
        """Return the processes that were lost at ``since`` or later."""
        return self._losses.processes_since(since)

    def verdict(self, digest: bytes, *, now: float) -> QuarantineVerdict:
        """Return how requests with ``digest`` are handled."""
        verdicts = self._current_verdicts(now)
        if digest in verdicts.refused:
            return QuarantineVerdict.REFUSED
        if digest in verdicts.suspect:
            return QuarantineVerdict.SUSPECT
        return QuarantineVerdict.CLEAR

    def refused_digests(self, *, now: float) -> frozenset[bytes]:
        """Return all refused digests."""
        return self._current_verdicts(now).refused

    def refused_digest(self, traits: RequestTraits, *, now: float) -> bytes | None:
        """Return the digest for which a request is refused, or None."""
        refused = self._current_verdicts(now).refused
        return next((digest for digest in traits.digests if digest in refused), None)

    def suspect_digest(self, traits: RequestTraits, *, now: float) -> bytes | None:
        """Return the digest for which a request is suspect, a part rather than its own, or None."""
        suspect = self._current_verdicts(now).suspect
        return next((digest for digest in reversed(traits.digests) if digest in suspect), None)

    def suspect_regions(self, digest: bytes, *, now: float) -> frozenset[str]:
        """Return the regions in which a suspect digest may have crashed a backend server."""
        return self._current_verdicts(now).suspect.get(digest, frozenset())

    def refused_for_s(self, digest: bytes, *, now: float) -> float:
        """Return the time until a refused digest may be refused no longer, seconds."""
        losses = self._losses.active_losses(now=now).get(digest, {})
        times = sorted(loss.lost_at for loss in losses.values())
        if len(times) < MAX_LOSSES:
            return 0.0
        return max(0.0, times[-MAX_LOSSES] + self._loss_ttl_s - now)

    def is_proven(self, digests: Iterable[bytes]) -> bool:
        """Return whether an answer has settled for each of ``digests``."""
        return all(self._answers.get(digest) for digest in digests)

    def pardon(self, digest: bytes, *, now: float) -> bool:
        """Pardon all known losses of a digest; return whether any counted before."""
        self._forget_verdicts()
        return self._losses.pardon(digest, now=now)

    def merge(self, news: SuspectNews, *, now: float) -> dict[Process, float]:
        """Merge the records of another instance; return when the processes in them were lost."""
        not_clear = frozenset() if self._verdicts is None else self._verdicts.not_clear
        has_new_answers = False
        records = (*news.records, *news.parts)
        for record in records:
            if not record.stated:
                is_higher = self._answers.raise_to(record.member, record.digest, record.answers)
                has_new_answers |= is_higher and record.digest in not_clear
        changed = self._losses.merge(news, now=now)
        for digest in changed:
            moments = _moments(self._losses.losses_of(digest, now=now))
            if moments:
                self._limit_answers(digest, moments - 1)
        for record in records:
            if record.stated and self._merge_answers(record, now=now):
                has_new_answers |= record.digest in not_clear
        # Most records come again several times, and a decision takes long beside many records.
        if changed or has_new_answers:
            self._forget_verdicts()
        lost_at: dict[Process, float] = {}
        for record in (*news.records, *news.parts):
            for loss in record.losses:
                process = (loss.backend, loss.incarnation)
                known_at = self._losses.lost_at(record.member).get(process)
                if known_at is not None and not loss.pardoned:
                    lost_at[process] = min(known_at, lost_at.get(process, known_at))
        return lost_at

    def news(self, *, now: float, digests: tuple[bytes, ...] | None = None) -> SuspectNews:
        """Return the records for other instances, only those of ``digests`` if given.

        Otherwise digests are left out whose losses are all those of outages, or are far outweighed
        by answers.
        """

        def is_wanted(digest: bytes) -> bool:
            if digests is not None or digest in self._lacking or self._losses.is_pardoned(digest):
                return True
            losses = self._possible_losses(digest, now=now)
            return bool(losses) and self._matters(digest, self._moments_of(digest, losses))

        self._lacking = {key: at for key, at in self._lacking.items() if now - at < TELL_S}
        known = self._losses.digests(now=now) if digests is None else digests
        found = self._losses.news(now=now, digests=filter(is_wanted, known))
        return SuspectNews(
            records=self._with_answers(found.records), parts=self._with_answers(found.parts)
        )

    def _with_answers(self, records: tuple[SuspectRecord, ...]) -> tuple[SuspectRecord, ...]:
        return tuple(
            dataclasses.replace(
                record,
                answers=int(self._answers_of(record.digest)),
                stated=self._answers.stated(record.digest),
            )
            for record in records
        )

    def _merge_answers(self, record: SuspectRecord, *, now: float) -> bool:
        """Merge the answers that a record states; return whether any are new."""
        moments = _moments(self._losses.losses_of(record.digest, now=now))
        if not moments:
            return False
        limit = _earlier_limit(moments - 1)
        is_behind = self.knows_more(record, now=now)
        if not is_behind:
            self._answers.note_confirmed(record.digest, moments, by=record.stated[0].instance)
        if not self._matters(record.digest, moments) and record.answers < self._answers_of(
            record.digest
        ):
            self._lacking[record.digest] = now
        has_new = False
        for stated in record.stated[:MAX_STATED_IN_RECORD]:
            has_new |= self._answers.merge(
                record.member, record.digest, stated, limit=limit, is_behind=is_behind
            )
        return has_new

    def _possible_losses(self, digest: bytes, *, now: float) -> dict[Process, Loss]:
        """Return the losses that a digest may have caused."""
        losses = self._losses.losses_of(digest, now=now)
        if not losses:
            return {}
        possible = self._outages_of(digest).possible_causes(losses)
        return {process: loss for process, loss in losses.items() if process in possible}

    def _moments_of(self, digest: bytes, losses: dict[Process, Loss]) -> int:
        """Return the number of moments of losses of a digest; each outage is one."""
        outages = self._outages_of(digest) if losses else Outages({})
        single = {key: loss for key, loss in losses.items() if not outages.together(key)}
        return _moments(single) + len(
            {outages.together(key) for key in losses.keys() - single.keys()}
        )

    def _outages_of(self, digest: bytes) -> Outages:
        # By member, so that what ends servers of one member is judged by nobody else's losses.
        member = self._losses.member_of(digest)
        outages = self._outages.get(member)
        if outages is None:
            outages = self._outages[member] = Outages(self._losses.lost_at(member))
        return outages

    def _forget_verdicts(self) -> None:
        self._verdicts = None
        self._outages.clear()

    def processes_lost(self) -> set[Process]:
        """Return the processes whose losses are recorded."""
        return self._losses.processes()

    def _limit_answers(self, digest: bytes, earlier_moments: int) -> None:
        """Limit the answers before a loss that followed ``earlier_moments`` other moments of losses."""
        self._answers.limit(digest, _earlier_limit(earlier_moments))

    def _matters(self, digest: bytes, moments: int) -> bool:
        """Return whether the losses of a digest may soon outweigh its answers."""
        return self._answers_of(digest) < ANSWERS_PER_LOSS * (moments + 2)

    def _answers_of(self, digest: bytes) -> float:
        return self._answers.get(digest)

    def _current_verdicts(self, now: float) -> _Verdicts:
        verdicts = self._verdicts
        if verdicts is None or not 0.0 <= now - verdicts.decided_at < VERDICTS_TTL_S:
            verdicts = self._verdicts = self._decide(now)
        return verdicts

    def _decide(self, now: float) -> _Verdicts:
        self._outages.clear()
        possible = {
            digest: self._possible_losses(digest, now=now)
            for digest in self._losses.digests(now=now)
        }
        unexplained = self._not_outweighed({key: item for key, item in possible.items() if item})
        refused: set[bytes] = set()
        suspect: dict[bytes, set[str]] = collections.defaultdict(set)
        while best := self._best_explanations(unexplained):
            enough = self._enough_losses(best, unexplained, now)
            refused |= enough
            for digest in best - enough:
                suspect[digest] |= {loss.region for loss in unexplained[digest].values()}
            explained = {process for digest in best for process in unexplained[digest]}
            unexplained = self._not_outweighed(
                {
                    digest: {key: at for key, at in losses.items() if key not in explained}
                    for digest, losses in unexplained.items()
                    if digest not in best
                }
            )
        for process, digests in self._least_proven(unexplained):
            for digest in digests:
                suspect[digest].add(unexplained[digest][process].region)
        return _Verdicts(
            refused=frozenset(refused),
            suspect={key: frozenset(filter(None, regions)) for key, regions in suspect.items()},
            decided_at=now,
        )

    def _not_outweighed(
        self, losses_by_digest: dict[bytes, dict[Process, Loss]]
    ) -> dict[bytes, dict[Process, Loss]]:
        """Return the digests whose answers don't outweigh their losses."""
        return {
            digest: losses
            for digest, losses in losses_by_digest.items()
            if self._answers_of(digest) < ANSWERS_PER_LOSS * self._moments_of(digest, losses)
        }

    def _best_explanations(self, unexplained: dict[bytes, dict[Process, Loss]]) -> set[bytes]:
        """Return the digests that explain several losses best: with the fewest answers for each."""

        def rank(digest: bytes) -> tuple[float, int]:
            losses = len(unexplained[digest])
            return self._answers_of(digest) / losses, -losses

        candidates = [digest for digest, losses in unexplained.items() if len(losses) >= MAX_LOSSES]
        best_rank = min(map(rank, candidates), default=None)
        return {digest for digest in candidates if rank(digest) == best_rank}

    def _enough_losses(
        self, digests: set[bytes], unexplained: dict[bytes, dict[Process, Loss]], now: float
    ) -> set[bytes]:
        """Return those of equally good explanations whose losses are enough to refuse them."""
        enough = set()
        for digest in digests:
            losses = unexplained[digest]
            has_answers = self._answers_of(digest) > 0
            is_request = self._losses.is_request(digest)
            shares_losses = any(
                losses.keys() & unexplained[other].keys() for other in digests - {digest}
            )
            is_ambiguous = has_answers or (not is_request and shares_losses)
            # Copies of a request may be sent to several servers before the first crash is known.
            count = len(losses)
            if not is_request or has_answers:
                count = self._moments_of(digest, losses)
            is_enough = count >= (MAX_AMBIGUOUS_LOSSES if is_ambiguous else MAX_LOSSES)
            if is_enough and not self._is_unconfirmed(digest, now):
                enough.add(digest)
        return enough

    def _is_unconfirmed(self, digest: bytes, now: float) -> bool:
        """Return whether others that answer a digest may still state answers up to its last loss."""
        losses = self._losses.losses_of(digest, now=now)
        last_at = max((loss.lost_at for loss in losses.values()), default=now)
        return now - last_at < CONFIRM_S and self._answers.lacks_confirmation(
            digest, _moments(losses)
        )

    def _least_proven(
        self, unexplained: dict[bytes, dict[Process, Loss]]
    ) -> Iterable[tuple[Process, set[bytes]]]:
        """Return, for each loss, the requests and the parts with the fewest answers of those in it.

        Each kind for itself: most requests are sent once and have no answers, which says nothing in
        favour of their parts.
        """
        by_process: dict[tuple[Process, bool], list[bytes]] = collections.defaultdict(list)
        for digest, losses in unexplained.items():
            for process in losses:
                by_process[process, self._losses.is_request(digest)].append(digest)
        for (process, _), digests in by_process.items():
            fewest = min(map(self._answers_of, digests))
            yield process, {digest for digest in digests if self._answers_of(digest) == fewest}


@dataclasses.dataclass(kw_only=True)
class _AnswerCount:
    """Settled answers to one digest, of all instances as far as they are known."""

    #: Answers before the last known loss that count, and answers since.
    before: float = 0.0
    since: float = 0.0
    #: The same of each instance that has any, by identity, the last that changed at the end.
    by_instance: dict[int, InstanceAnswers] = dataclasses.field(default_factory=dict)

    #: Number of moments of losses that another instance knew when it last stated its answers.
    confirmed_moments: int = 0

    @property
    def sum(self) -> float:
        """All answers that count."""
        return self.before + self.since

    def put(self, stated: InstanceAnswers) -> None:
        """Set the answers of one instance."""
        self.by_instance.pop(stated.instance, None)
        self.by_instance[stated.instance] = stated

    def limit(self, limit: float, *, identity: int) -> None:
        """Count all answers as earlier ones, ``limit`` at most."""
        share = min(1.0, limit / self.sum) if self.sum else 1.0
        self.before, self.since = self.sum * share, 0.0
        for instance, stated in self.by_instance.items():
            before = stated.before + stated.since
            # An instance gives up its own share only, as the others do so themselves.
            before *= share if instance == identity else 1.0
            self.by_instance[instance] = dataclasses.replace(stated, before=before, since=0)

    def add_earlier(self, count: float, limit: float, *, identity: int) -> None:
        """Add answers before the last loss, as far as all of these stay within ``limit``."""
        before = self.before + count
        if not before:
            return
        share = min(before, max(self.before, limit)) / before
        self.before = before * share
        own = self.by_instance.get(identity)
        if own is not None:
            self.by_instance[identity] = dataclasses.replace(own, before=own.before * share)


class _AnswerCounts:
    """Counts settled answers by digest, of a bounded number of digests."""

    def __init__(self, *, identity: int) -> None:
        self._identity = identity
        self._counts: dict[str, collections.OrderedDict[bytes, _AnswerCount]] = {}
        self._members: dict[bytes, str] = {}
        #: Digests with answers of other instances, the last heard of at the end.
        self._stated: collections.OrderedDict[bytes, None] = collections.OrderedDict()

    def get(self, digest: bytes) -> float:
        count = self._find(digest)
        return 0.0 if count is None else count.sum

    def add(self, member: str, digest: bytes) -> None:
        count = self._touch(member, digest)
        own = count.by_instance.get(self._identity, self._none())
        count.since += 1.0
        count.put(dataclasses.replace(own, total=own.total + 1, since=own.since + 1))

    def raise_to(self, member: str, digest: bytes, count: float) -> bool:
        """Raise a sum to ``count``, an estimate; return whether it was lower."""
        missing = count - self.get(digest)
        if missing <= 0:
            return False
        self._touch(member, digest).before += missing
        return True

    def limit(self, digest: bytes, limit: float) -> None:
        count = self._find(digest)
        if count is not None:
            count.limit(limit, identity=self._identity)

    def merge(
        self, member: str, digest: bytes, stated: InstanceAnswers, *, limit: float, is_behind: bool
    ) -> bool:
        """Add the answers of another instance that are new; return whether any are.

        Those before the last loss count up to ``limit``. ``is_behind`` tells that the sender lacks a loss,
        so that all its answers may be earlier.
        """
        if stated.instance == self._identity or stated.total <= 0:
            return False
        count = self._touch(member, digest)
        known = count.by_instance.get(stated.instance)
        new = stated.total - (known.total if known else 0)
        if new <= 0 or (known is None and len(count.by_instance) >= MAX_STATING_INSTANCES):
            return False
        since = 0 if is_behind else min(new, max(0, stated.since))
        earlier = max(0.0, stated.before) + (max(0, stated.since) if is_behind else 0)
        count.since += since
        count.add_earlier(min(new - since, earlier), limit, identity=self._identity)
        if is_behind:
            stated = dataclasses.replace(stated, before=earlier, since=0)
        count.put(stated)
        self._stated[digest] = None
        self._stated.move_to_end(digest)
        if len(self._stated) > MAX_STATED_DIGESTS:
            self._forget_stated()
        return True

    def note_confirmed(self, digest: bytes, moments: int, *, by: int) -> None:
        """Record that another instance that knows so many moments of losses has stated answers."""
        count = self._find(digest)
        if count is not None and by != self._identity:
            count.confirmed_moments = moments

    def lacks_confirmation(self, digest: bytes, moments: int) -> bool:
        """Return whether others have answers, and none has stated them after so many losses."""
        count = self._find(digest)
        if count is None or not count.by_instance.keys() - {self._identity}:
            return False
        return count.confirmed_moments < moments

    def stated(self, digest: bytes) -> tuple[InstanceAnswers, ...]:
        """Return the answers of this instance, and those of others that changed last."""
        count = self._find(digest)
        if count is None or count.sum < 1.0:
            return ()
        others = [item for key, item in count.by_instance.items() if key != self._identity]
        own = count.by_instance.get(self._identity, self._none())
        return own, *others[:-MAX_STATED_IN_RECORD:-1]

    def _none(self) -> InstanceAnswers:
        return InstanceAnswers(instance=self._identity, total=0, before=0.0, since=0)

    def _forget_stated(self) -> None:
        digest, _ = self._stated.popitem(last=False)
        count = self._find(digest)
        if count is not None:
            own = count.by_instance.get(self._identity)
            count.by_instance = {} if own is None else {self._identity: own}

    def _find(self, digest: bytes) -> _AnswerCount | None:
        member = self._members.get(digest)
        return None if member is None else self._counts[member][digest]

    def _touch(self, member: str, digest: bytes) -> _AnswerCount:
        member = self._members.setdefault(digest, member)
        counts = self._counts.setdefault(member, collections.OrderedDict())
        count = counts.setdefault(digest, _AnswerCount())
        counts.move_to_end(digest)
        if len(self._members) > MAX_COUNTED_DIGESTS:
            largest = max(sorted(self._counts), key=lambda name: len(self._counts[name]))
            dropped, _ = self._counts[largest].popitem(last=False)
            del self._members[dropped]
            self._stated.pop(dropped, None)
            if not self._counts[largest]:
                del self._counts[largest]
        return count


def _earlier_limit(earlier_moments: int) -> float:
    """Return how many answers count before a loss that followed ``earlier_moments`` of losses."""
    return float(MAX_EARLIER_ANSWERS + ANSWERS_PER_LOSS * earlier_moments)


def _moments(losses: dict[Process, Loss]) -> int:
    """Return the number of moments of losses, where those within ``SAME_MOMENT_S`` are one.

    A loss of a process that got a request after an earlier loss is another moment.
    """
    count = 0
    moment_at = float("-inf")
    for loss in sorted(losses.values(), key=lambda loss: loss.lost_at):
        if loss.lost_at - moment_at > SAME_MOMENT_S or loss.sent_at > moment_at:
            count += 1
            moment_at = loss.lost_at
    return count
