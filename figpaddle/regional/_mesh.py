"""Heartbeats, news and questions between the instances of a deployment."""

from __future__ import annotations

import itertools
import random
import socket
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import anyio.abc

from figpaddle.coordination import SILENT_AFTER_S, Heard, HeartbeatTable
from figpaddle.errors import (
    ConnectFailedError,
    MalformedMessageError,
    PeerUnreachableError,
    TransportError,
    UnknownMessageError,
)
from figpaddle.http1 import ConnectionPool, HttpRequest, Responder
from figpaddle.regional._beat_times import NEAR_INTERVAL_S, beat_interval
from figpaddle.regional._settings import ProcessSettings
from figpaddle.telemetry import Counters, Log
from figpaddle.wire import InstanceHeartbeat, InstanceRole, Message, Readiness, decode, encode

#: Instances named in a heartbeat.
ACQUAINTANCES = 6
#: Instances named in a heartbeat to another region, over links that are thin.
FAR_ACQUAINTANCES = 2
#: Time after its start for which an instance names as many to all, seconds: after a power loss all
#: look for each other.
NEW_S = 20.0
#: Largest datagram read, bytes.
MAX_DATAGRAM_BYTES = 65507
#: Datagrams read before other tasks get their turn.
MAX_DATAGRAMS_IN_TURN = 32
#: Pause after datagrams were read, seconds: among a hundred instances they come one by one, and
#: waking up for each costs more than reading it. Short against every interval of news.
DATAGRAM_PAUSE_S = 0.02
#: Interval at which due heartbeats are looked for, seconds.
BEAT_TICK_S = NEAR_INTERVAL_S / 2
#: Path of questions on the port for other instances.
QUESTION_PATH = b"/question"
#: Media type of questions and replies.
CBOR_TYPE = b"application/cbor"
#: Time for a connection to another instance, seconds; over six times the longest round trip.
CONNECT_TIMEOUT_S = 1.0

#: Idle connections kept to an entry to which requests go. One that has to be opened first delays its
#: request by a whole round trip between regions; a clump of callers needs several at once.
SPARE_CONNECTIONS = 3

ReplyT = TypeVar("ReplyT", bound=Message)

#: Answers a question of another instance.
Answerer = Callable[[Message], Awaitable[Message]]


class Mesh:
    """Knows the other instances and carries messages to them.

    Heartbeats and news go as datagrams, since a lost one is replaced by the next; questions go
    over HTTP with CBOR bodies.
    """

    def __init__(
        self,
        *,
        settings: ProcessSettings,
        incarnation: int,
        pool: ConnectionPool,
        clock: Callable[[], float],
        rng: random.Random,
        log: Log,
        counters: Counters,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._pool = pool
        self._clock = clock
        self._started_at = clock()
        self._rng = rng
        self._log = log
        self._counters = counters
        self._table: HeartbeatTable[InstanceHeartbeat] = HeartbeatTable()
        self._names: set[str] = set(settings.seeds) - {settings.ip}
        self._next_at: dict[str, float] = {}
        self._silent: set[str] = set()
        self._sequence = itertools.count(1)
        self._socket: socket.socket | None = None
        self._readers: dict[type[Message], Callable[[Message], None]] = {}
        self._heard_readers: list[Callable[[InstanceHeartbeat], None]] = []
        self._answerers: dict[type[Message], Answerer] = {}
        self._compose: Callable[[bool], InstanceHeartbeat] | None = None
        self._hurry = anyio.Event()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._warming: set[str] = set()

    @property
    def incarnation(self) -> int:
        """Start of this process, milliseconds of Unix time."""
        return self._incarnation

    @property
    def pool(self) -> ConnectionPool:
        """Connections to other instances."""
        return self._pool

    def on_news(self, kind: type[Message], reader: Callable[[Message], None]) -> None:
        """Let ``reader`` take datagrams of one kind."""
        self._readers[kind] = reader

    def on_question(self, kind: type[Message], answerer: Answerer) -> None:
        """Let ``answerer`` answer questions of one kind."""
        self._answerers[kind] = answerer

    def on_heard(self, reader: Callable[[InstanceHeartbeat], None]) -> None:
        """Let ``reader`` know of each instance that comes into touch or has started again."""
        self._heard_readers.append(reader)

    def compose_with(self, compose: Callable[[bool], InstanceHeartbeat]) -> None:
        """Let ``compose`` make the heartbeats, given whether they are for the own region."""
        self._compose = compose

    def next_sequence(self) -> int:
        """Return the sequence number of the next heartbeat."""
        return next(self._sequence)

    def acquaintances(self, *, near: bool) -> tuple[str, ...]:
        """Return some live instances to be named to others."""
        is_new = self._clock() - self._started_at < NEW_S
        count = ACQUAINTANCES if near or is_new else FAR_ACQUAINTANCES
        live = [beat.name for beat in self.live()]
        return tuple(self._rng.sample(live, min(count, len(live))))

    def live(self) -> list[InstanceHeartbeat]:
        """Return the newest heartbeats of the instances that are alive."""
        return self._table.live(now=self._clock())

    def heard(self, name: str) -> Heard[InstanceHeartbeat] | None:
        """Return the newest heartbeat of an instance."""
        return self._table.get(name)

    def known(self) -> list[str]:
        """Return the names of all instances that are remembered."""
        return self._table.known()

    def entries(self, region: str) -> list[InstanceHeartbeat]:
        """Return the entries of ``region`` that are alive."""
        return [
            beat
            for beat in self.live()
            if beat.role is InstanceRole.ENTRY and beat.region == region
        ]

    def controls(self) -> list[InstanceHeartbeat]:
        """Return the control instances that are alive."""
        return [beat for beat in self.live() if beat.role is InstanceRole.CONTROL]

    def peer_address(self, name: str) -> str:
        """Return where an instance takes questions and forwarded requests."""
        return f"{name}:{self._settings.peer_port}"

    def add_seeds(self, seeds: tuple[str, ...]) -> list[str]:
        """Get to know instances named in the settings; return those that were unknown."""
        added = [name for name in seeds if name not in self._names and name != self._settings.ip]
        self._names.update(added)
        return added

    def keep_warm(self, name: str) -> None:
        """Have idle connections ready to an instance to which a request is going."""
        address = self.peer_address(name)
        if self._tasks is None or address in self._warming:
            return
        if self._pool.idle_to(address) < SPARE_CONNECTIONS:
            self._warming.add(address)
            self._tasks.start_soon(self._warm, address)

    def send_soon(self) -> None:
        """Send heartbeats to all at once, since something has changed."""
        self._next_at.clear()
        self._hurry.set()

    def tell(self, message: Message, names: list[str]) -> None:
        """Send news to instances as datagrams."""
        if self._socket is None:
            return
        data = encode(message)
        for name in names:
            self._send_datagram(data, name)

    async def ask(self, name: str, question: Message, *, timeout_s: float) -> Message:
        """Return an instance's reply; raises PeerUnreachableError."""
        address = self.peer_address(name)
        try:
            with anyio.fail_after(timeout_s):
                return await self._ask(address, question)
        except TimeoutError as error:
            self._pool.drop(address)
            raise PeerUnreachableError(what=f"no reply in {timeout_s} s", where=address) from error
        except (TransportError, MalformedMessageError, UnknownMessageError) as error:
            raise PeerUnreachableError(what=str(error), where=address) from error

    async def answer(self, request: HttpRequest, responder: Responder) -> None:
        """Answer a question that came over HTTP."""
        try:
            question = decode(request.body)
            answerer = self._answerers.get(type(question))
            if answerer is None:
                raise UnknownMessageError(what=f"no answer to {question.wire_name}")
            reply = await answerer(question)
        except (MalformedMessageError, UnknownMessageError) as error:
            self._log.warning("question_unreadable", reason=str(error))
            await responder.answer(400, (), b"")
            return
        await responder.answer(200, ((b"Content-Type", CBOR_TYPE),), encode(reply))

    async def run(self) -> None:
        """Send and receive until cancelled."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
            datagrams.setblocking(False)
            datagrams.bind((self._settings.ip, self._settings.peer_port))
            self._socket = datagrams
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                tasks.start_soon(self._receive, datagrams)
                tasks.start_soon(self._beat)

    async def _warm(self, address: str) -> None:
        try:
            while self._pool.idle_to(address) < SPARE_CONNECTIONS:
                connection = await self._pool.open(address, timeout_s=CONNECT_TIMEOUT_S)
                self._pool.release(address, connection)
        except ConnectFailedError as error:
            self._log.debug("connection_not_warmed", address=address, reason=error.what)
        finally:
            self._warming.discard(address)

    async def _ask(self, address: str, question: Message) -> Message:
        connection = await self._pool.acquire(address, timeout_s=CONNECT_TIMEOUT_S)
        complete = False
        try:
            body = encode(question)
            headers = (
                (b"Host", address.encode()),
                (b"Content-Type", CBOR_TYPE),
                (b"Content-Length", str(len(body)).encode()),
            )
            await connection.send(method=b"POST", target=QUESTION_PATH, headers=headers, body=body)
            head = await connection.read_head(lambda _: True)
            data = b"".join([piece async for piece in connection.read_body()])
            complete = True
        finally:
            if complete:
                self._pool.release(address, connection)
            else:
                connection.close()
        if head.status != 200:
            raise MalformedMessageError(what=f"status {head.status}", where=address)
        return decode(data)

    async def _receive(self, datagrams: socket.socket) -> None:
        while True:
            await anyio.wait_readable(datagrams)
            for _ in range(MAX_DATAGRAMS_IN_TURN):
                try:
                    data = datagrams.recv(MAX_DATAGRAM_BYTES)
                except BlockingIOError:
                    break
                except OSError as error:
                    # An ICMP message about an earlier datagram; the next heartbeat replaces it.
                    self._log.debug("datagram_refused", reason=str(error))
                    continue
                self._take_datagram(data)
            else:
                await anyio.sleep(0)
                continue
            await anyio.sleep(DATAGRAM_PAUSE_S)

    def _take_datagram(self, data: bytes) -> None:
        try:
            message = decode(data)
        except (MalformedMessageError, UnknownMessageError) as error:
            self._counters.count("datagrams_unreadable_total")
            self._log.warning("datagram_unreadable", reason=str(error))
            return
        if isinstance(message, InstanceHeartbeat):
            self._take_heartbeat(message)
        reader = self._readers.get(type(message))
        if reader is not None:
            reader(message)

    def _take_heartbeat(self, beat: InstanceHeartbeat) -> None:
        if beat.name == self._settings.ip:
            return
        now = self._clock()
        if self._table.note(beat, now=now):
            self._silent.discard(beat.name)
            self._log.info(
                "instance_heard",
                peer=beat.name,
                role=beat.role.value,
                region=beat.region,
                incarnation=beat.incarnation,
                readiness=beat.readiness.value,
            )
            self._next_at.pop(beat.name, None)
            for reader in self._heard_readers:
                reader(beat)
        self._names.add(beat.name)
        for name in beat.acquaintances:
            if name != self._settings.ip:
                self._names.add(name)

    async def _beat(self) -> None:
        while True:
            now = self._clock()
            self._note_silent(now)
            due = [name for name in self._names if self._next_at.get(name, 0.0) <= now]
            near = [name for name in due if self._is_near(name)]
            for names in (near, [name for name in due if name not in near]):
                self._send_heartbeat(names, near=names is near, now=now)
            self._hurry = anyio.Event()
            with anyio.move_on_after(BEAT_TICK_S):
                await self._hurry.wait()

    def _send_heartbeat(self, names: list[str], *, near: bool, now: float) -> None:
        if not names or self._compose is None:
            return
        data = encode(self._compose(near))
        for name in names:
            self._next_at[name] = now + self._interval(name, now)
            self._send_datagram(data, name)

    def _is_near(self, name: str) -> bool:
        heard = self._table.get(name)
        return heard is not None and heard.beat.region == self._settings.region

    def _interval(self, name: str, now: float) -> float:
        heard = self._table.get(name)
        return beat_interval(
            silent=heard is None or now - heard.at > SILENT_AFTER_S,
            near=self._is_near(name),
            is_seed=name in self._settings.seeds,
            instances=len(self._names),
            running_s=now - self._started_at,
        )

    def _note_silent(self, now: float) -> None:
        for name in self._table.known():
            heard = self._table.get(name)
            if heard is None or now - heard.at <= SILENT_AFTER_S or name in self._silent:
                continue
            self._silent.add(name)
            self._log.warning(
                "instance_silent",
                peer=name,
                role=heard.beat.role.value,
                region=heard.beat.region,
                silent_s=round(now - heard.at, 2),
            )
        for name in self._table.expire(now=now):
            self._silent.discard(name)
            if name not in self._settings.seeds:
                self._names.discard(name)

    def _send_datagram(self, data: bytes, name: str) -> None:
        if self._socket is None:
            return
        try:
            self._socket.sendto(data, (name, self._settings.peer_port))
        except OSError as error:
            self._counters.count("datagrams_unsent_total")
            self._log.debug("datagram_unsent", peer=name, reason=str(error))


def is_ready(beat: InstanceHeartbeat) -> bool:
    """Return whether the sender wants callers."""
    return beat.readiness is Readiness.READY
