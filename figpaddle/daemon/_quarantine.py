"""Isolation and rejection of requests that crash backend servers."""

from __future__ import annotations

import contextlib
import hashlib
import hmac
import random
import zlib
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc

from figpaddle.coordination import InstanceDirectory
from figpaddle.daemon._component import Component
from figpaddle.daemon._peers import PeerNetwork
from figpaddle.daemon._request_response import BodySource, BufferedBody, RequestHead
from figpaddle.daemon._sockets import split_address
from figpaddle.errors import PeerUnreachableError, RequestQuarantinedError
from figpaddle.routing import (
    CrashQuarantine,
    KnownBackend,
    Process,
    RequestTraits,
    SuspectSlots,
    UnsettledAttempts,
)
from figpaddle.telemetry import Log
from figpaddle.wire import (
    InstanceState,
    Message,
    SuspectNews,
    SuspectRecord,
    SuspectSlot,
    SuspectSlotReply,
)

#: Interval at which all records are sent to one random instance, seconds.
GOSSIP_INTERVAL_S = 1.0
#: Timeout for acquiring a slot from another instance, seconds.
SLOT_TIMEOUT_S = 0.5
#: Time within which a backend server has to accept a probe connection, seconds.
PROBE_TIMEOUT_S = 1.0
#: Time for which the probe connection has to stay open, seconds.
PROBE_HOLD_S = 0.2
#: Domain separation of the digests from other uses of the deployment key.
DIGEST_DOMAIN = b"figpaddle request content"
#: The same of digests of prompt parts.
PART_DIGEST_DOMAIN = b"figpaddle prompt part"


class QuarantineComponent(Component):
    """Identifies suspect requests by content digest and shares the records with all instances.

    Digests are keyed with the deployment key and include the member. The content thus can't be
    guessed from a digest, and equal requests of two members have different digests.
    """

    def __init__(
        self,
        *,
        directory: InstanceDirectory,
        network: PeerNetwork,
        key: bytes,
        rng: random.Random,
        clock: Callable[[], float],
        log: Log,
    ) -> None:
        self._directory = directory
        self._network = network
        self._key = key
        self._rng = rng
        self._clock = clock
        self._log = log
        self._quarantine = CrashQuarantine()
        self._attempts = UnsettledAttempts()
        #: Lost processes at which this instance has looked for its own unsettled attempts.
        self._examined: set[Process] = set()
        self._slots = SuspectSlots()
        #: Slots held by in-flight requests: granting instance by backend server and digest.
        self._acquired_slots: dict[tuple[str, bytes], str] = {}
        #: Runs the probes of backend servers while the component runs.
        self._probes: anyio.abc.TaskGroup | None = None
        network.register(SuspectNews, self._on_records)
        network.register(SuspectSlot, self._on_slot)

    @property
    def name(self) -> str:
        """Key of this component's section in the state dump."""
        return "quarantine"

    def dump(self, *, now: float, member: str | None) -> Any:
        """Return the recorded requests and prompt parts, of one ``member`` if given."""
        news = self._quarantine.news(now=now)
        return [
            self._row(kind, record, now)
            for kind, records in (("request", news.records), ("part", news.parts))
            for record in records
            if member in (None, record.member)
        ]

    def digest(self, head: RequestHead, body: BodySource) -> bytes:
        """Return the digest of a request's content; empty if its body isn't fully buffered."""
        if not isinstance(body, BufferedBody):
            return b""
        return content_digest(head, body.data, key=self._key)

    def traits(self, head: RequestHead, digest: bytes) -> RequestTraits:
        """Return what a request may share with others that crash backend servers."""
        return RequestTraits(
            member=head.member,
            fingerprint=digest,
            parts=tuple(
                _keyed_digest(self._key, PART_DIGEST_DOMAIN, head.member, head.service, part.hex())
                for part in head.prompt.shared_parts
            ),
        )

    def check(self, traits: RequestTraits) -> bytes | None:
        """Return the digest by which a request is suspect, or None.

        Raises RequestQuarantinedError if the request, or a part of its prompt, is refused.
        """
        now = self._clock()
        refused = self._quarantine.refused_digest(traits, now=now)
        if refused is not None:
            raise RequestQuarantinedError(
                retry_after_s=self._quarantine.refused_for_s(refused, now=now)
            )
        return self._quarantine.suspect_digest(traits, now=now)

    def note_sent(self, key: str, traits: RequestTraits, *, process: Process) -> None:
        """Record that an attempt is being sent; ``key`` identifies it until it ends."""
        self._attempts.note_sent(key, traits, process=process, now=self._clock())

    def note_progress(self, key: str) -> None:
        """Record that bytes of the answer to an attempt arrived."""
        traits = self._attempts.note_progress(key, now=self._clock())
        if traits is not None:
            self._quarantine.note_answer(traits)

    def note_ended(self, key: str, *, complete: bool) -> None:
        """Record the end of an attempt; ``complete`` tells whether its whole answer arrived."""
        self._attempts.note_ended(key, complete=complete, now=self._clock())

    def lift(self, member: str | None, digest: bytes) -> bool:
        """Lift the quarantine of a request or prompt part; return whether it was recorded.

        An operator of one ``member`` can do so only for this member's.
        """
        now = self._clock()
        news = self._quarantine.news(now=now, digests=(digest,))
        if not any(member in (None, item.member) for item in (*news.records, *news.parts)):
            return False
        self._log.info("quarantine_lifted", digest=digest.hex())
        self._quarantine.pardon(digest, now=now)
        self._broadcast((digest,))
        return True

    async def report_lost_connection(
        self, head: RequestHead, backend: KnownBackend, *, on_lost: Callable[[], None]
    ) -> None:
        """Probe ``backend`` with a new connection; ``on_lost`` is called if it is lost.

        A loss counts against the requests that hadn't settled there. Returns once the result is known,
        or at the deadline of the request; the probe goes on then, as it does if the request is
        cancelled.
        """
        if self._probes is None:
            await self._probe(head, backend, on_lost)
            return
        ended = anyio.Event()

        async def probe() -> None:
            try:
                await self._probe(head, backend, on_lost)
            except Exception as error:  # noqa: BLE001
                # An error that nobody expects must not end the process.
                self._log.error("probe_failed", backend=backend.info.name, exc_info=error)
            finally:
                ended.set()

        self._probes.start_soon(probe)
        with anyio.move_on_after(max(0.0, head.deadline_at - self._clock())):
            await ended.wait()

    async def _probe(
        self, head: RequestHead, backend: KnownBackend, on_lost: Callable[[], None]
    ) -> None:
        lost_at = self._clock()
        if await _keeps_connection(backend.info.address):
            return
        self._log.info("backend_lost", backend=backend.info.name, request_id=head.request_id)
        self._count_loss((backend.info.name, backend.info.incarnation), lost_at=lost_at)
        on_lost()

    async def acquire_slot(self, backend: str, digest: bytes) -> bool:
        """Acquire the slot for suspect requests on ``backend``; return whether it was free.

        One instance of the region, chosen by rendezvous hashing, grants the slot of a backend
        server. If it can't be reached, this instance decides from its own records.
        """
        owner = self._slot_owner(backend)
        granted = await self._ask_slot(owner, SuspectSlot(backend=backend, digest=digest))
        if granted:
            self._acquired_slots[backend, digest] = owner
        return granted

    def release_slot(self, backend: str, digest: bytes) -> None:
        """Release the slot of ``backend`` if this request has acquired it."""
        owner = self._acquired_slots.pop((backend, digest), None)
        if owner is not None:
            self._slots.release(backend, digest)
            self._network.post(owner, SuspectSlot(backend=backend, digest=digest, release=True))

    async def run(self) -> None:
        """Gossip the records to a random instance at each interval until cancelled."""
        async with anyio.create_task_group() as probes:
            self._probes = probes
            try:
                await self._gossip()
            finally:
                self._probes = None

    async def _gossip(self) -> None:
        while True:
            now = self._clock()
            peers = self._directory.peers()
            for traits in self._attempts.take_settled(now=now):
                self._quarantine.note_answer(traits)
            news = self._quarantine.news(now=now)
            if (news.records or news.parts) and peers:
                self._network.post(self._rng.choice(peers).name, news)
            await anyio.sleep(GOSSIP_INTERVAL_S)

    def _row(self, kind: str, record: SuspectRecord, now: float) -> dict[str, Any]:
        return {
            "kind": kind,
            "member": record.member,
            "digest": record.digest.hex(),
            "verdict": self._quarantine.verdict(record.digest, now=now).value,
            "answers": record.answers,
            "losses": [
                {"backend": loss.backend, "pardoned": loss.pardoned} for loss in record.losses
            ],
        }

    def _count_loss(self, process: Process, *, lost_at: float) -> None:
        """Count a loss against the requests that hadn't settled at a process."""
        self._examined.add(process)
        suspects = self._attempts.take_lost(process, lost_at=lost_at)
        news = self._quarantine.note_crash(suspects, process=process, now=self._clock())
        if news:
            self._log.info("requests_suspected", backend=process[0], digests=len(news))
            self._broadcast(news)

    def _broadcast(self, digests: tuple[bytes, ...]) -> None:
        news = self._quarantine.news(now=self._clock(), digests=digests)
        for peer in self._directory.peers():
            self._network.post(peer.name, news)

    def _slot_owner(self, backend: str) -> str:
        own_region = self._directory.own.region
        names = [
            info.name
            for info in self._directory.instances
            if info.region == own_region and info.state is InstanceState.SERVING
        ]
        names = names or [self._directory.own.name]
        return max(names, key=lambda name: zlib.crc32(f"{name}/{backend}".encode()))

    async def _ask_slot(self, owner: str, message: SuspectSlot) -> bool:
        if owner != self._directory.own.name:
            with contextlib.suppress(PeerUnreachableError):
                reply = await self._network.request(owner, message, timeout_s=SLOT_TIMEOUT_S)
                return isinstance(reply, SuspectSlotReply) and reply.granted
        return self._slots.take(message.backend, message.digest, now=self._clock())

    async def _on_records(self, peer: str, message: SuspectNews) -> Message | None:
        now = self._clock()
        for process, lost_at in self._quarantine.merge(message, now=now).items():
            if process not in self._examined:
                self._count_loss(process, lost_at=lost_at)
        self._examined &= self._quarantine.processes_lost()
        return None

    async def _on_slot(self, peer: str, message: SuspectSlot) -> Message | None:
        if message.release:
            self._slots.release(message.backend, message.digest)
            return None
        granted = self._slots.take(message.backend, message.digest, now=self._clock())
        return SuspectSlotReply(granted=granted)


def content_digest(head: RequestHead, data: bytes, *, key: bytes) -> bytes:
    """Return the keyed digest of a request's member, service, method, path and body.

    The query may differ each time that the request is sent.
    """
    path = head.target.partition("?")[0]
    return _keyed_digest(
        key, DIGEST_DOMAIN, head.member, head.service, head.method, path, data=data
    )


def _keyed_digest(key: bytes, domain: bytes, *fields: str, data: bytes = b"") -> bytes:
    digest = hmac.new(key, domain, hashlib.sha256)
    for field in fields:
        encoded = field.encode()
        digest.update(len(encoded).to_bytes(4, "big") + encoded)
    digest.update(data)
    return digest.digest()


async def _keeps_connection(address: str) -> bool:
    """Return whether a new connection is accepted and stays open for PROBE_HOLD_S."""
    host, port = split_address(address)
    try:
        with anyio.fail_after(PROBE_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, port)
    except (OSError, TimeoutError):
        return False
    async with stream:
        with anyio.move_on_after(PROBE_HOLD_S) as scope:
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                await stream.receive(1)
                return True
        return scope.cancelled_caught
