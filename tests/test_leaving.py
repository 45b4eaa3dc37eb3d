"""Backend servers and instances leave under load without a request cut."""

from __future__ import annotations

import asyncio
import collections
import collections.abc
import itertools
import signal
import time

from tests.calls import chat, wait_until
from tests.conftest import HANBIT_KEY
from tests.harness import Deployment
from tests.hostile import HostileBackend, echo
from tests.raw_http import NOTHING, RawAnswer, RawConnection, chat_bytes, raw_call, raw_chat

CALLERS = 12
LOOKUP_INTERVAL_S = 0.5
NO_NEW_WORK_S = 2.0
LEAVE_GRACE_S = 1.5


def start_all(deployment: Deployment, instances: tuple[str, ...], engines: int) -> None:
    for name in instances:
        deployment.start_instance(name, "seoul", limits={"leave_grace_s": LEAVE_GRACE_S})
    for number in range(engines):
        deployment.start_backend(
            f"engine-{number}", "engine", "seoul", ("draft",), "--decode-ms", "20"
        )
    for name in instances:
        wait_until(
            lambda n=name: chat(deployment.entry(n), "draft", "x", key=HANBIT_KEY).is_success,
            what="the engines are known",
        )


class Callers:
    """Callers that follow the entry lookup and check every answer."""

    def __init__(self, deployment: Deployment, *, stream: bool) -> None:
        self._entries = [deployment.entry(name) for name in deployment.instances]
        self._stream = stream
        self._stopped = asyncio.Event()
        self._numbers = itertools.count()
        #: Answers that were not whole and right.
        self.failures: list[RawAnswer] = []
        #: When the last request that each backend server answered was sent.
        self.last_sent_at: dict[str, float] = {}
        #: Whole and right answers by instance.
        self.answered: collections.Counter[str] = collections.Counter()

    def stop(self) -> None:
        self._stopped.set()

    async def run(self) -> None:
        await asyncio.gather(self._look_up(), *(self._call() for _ in range(CALLERS)))

    async def _look_up(self) -> None:
        while not self._stopped.is_set():
            for entry in self._entries:
                answer = await raw_call(entry, "GET", "/v1/entries", key=HANBIT_KEY)
                if answer.status == 200:
                    self._entries = [one["address"] for one in answer.json()["entries"]]
                    break
            await asyncio.sleep(LOOKUP_INTERVAL_S)

    async def _call(self) -> None:
        while not self._stopped.is_set():
            number = next(self._numbers)
            sent_at = time.monotonic()
            answer = await self._send(f"text-{number}", number)
            if answer.chat_text() != f"text-{number} " * 10:
                self.failures.append(answer)
                continue
            self.answered[answer.headers["figpaddle-instance"]] += 1
            backend = answer.headers["figpaddle-backend"]
            self.last_sent_at[backend] = max(sent_at, self.last_sent_at.get(backend, 0.0))

    async def _send(self, text: str, number: int) -> RawAnswer:
        answer = NOTHING
        entries = list(self._entries)
        for turn in range(len(entries)):
            entry = entries[(number + turn) % len(entries)]
            answer = await raw_chat(
                entry, "draft", text, key=HANBIT_KEY, stream=self._stream, max_tokens=10
            )
            if answer.status != 503 or answer.problem != "draining":
                break
        return answer


def run_while(callers: Callers, disturb: collections.abc.Awaitable[None]) -> None:
    async def run() -> None:
        running = asyncio.create_task(callers.run())
        await disturb
        callers.stop()
        await running

    asyncio.run(run())


def test_announced_leaving_of_a_backend_server_cuts_nothing_and_ends_new_work(
    deployment: Deployment,
) -> None:
    start_all(deployment, ("seoul-1", "seoul-2"), engines=3)
    callers = Callers(deployment, stream=True)
    left_at = 0.0

    async def leave() -> None:
        nonlocal left_at
        await asyncio.sleep(1.0)
        left_at = time.monotonic()
        deployment.backends["engine-0"].signal(signal.SIGTERM)
        while deployment.backends["engine-0"].popen.poll() is None:
            await asyncio.sleep(0.05)
        await asyncio.sleep(NO_NEW_WORK_S)

    run_while(callers, leave())
    assert callers.failures == []
    assert callers.last_sent_at["engine-0"] < left_at + NO_NEW_WORK_S
    assert callers.last_sent_at["engine-1"] > left_at + NO_NEW_WORK_S
    assert deployment.backends["engine-0"].popen.returncode == 0


def test_backend_server_that_goes_without_a_word_costs_no_request(deployment: Deployment) -> None:
    start_all(deployment, ("seoul-1", "seoul-2"), engines=3)
    callers = Callers(deployment, stream=False)
    killed_at = 0.0

    async def kill() -> None:
        nonlocal killed_at
        await asyncio.sleep(1.0)
        deployment.backends["engine-0"].kill()
        killed_at = time.monotonic()
        await asyncio.sleep(2.0)

    run_while(callers, kill())
    assert callers.failures == []
    assert callers.last_sent_at["engine-0"] < killed_at
    assert callers.last_sent_at["engine-1"] > killed_at + 1.0


def test_instances_replaced_one_after_another_cut_no_request(deployment: Deployment) -> None:
    names = ("seoul-1", "seoul-2", "seoul-3")
    start_all(deployment, names, engines=2)
    callers = Callers(deployment, stream=True)

    async def replace_all() -> None:
        for name in names:
            await asyncio.to_thread(replace, name)
            before = callers.answered[name]
            while callers.answered[name] == before:
                await asyncio.sleep(0.05)

    def replace(name: str) -> None:
        process = deployment.instances[name]
        assert process.stop() == 0
        listens = {port: process.fields[port] for port in ("callers", "backends", "peers")}
        listens["operators"] = "127.0.0.1:0"
        deployment.start_instance(
            name, "seoul", limits={"leave_grace_s": LEAVE_GRACE_S}, listen=listens
        )

    run_while(callers, replace_all())
    assert callers.failures == []
    assert all(callers.answered[name] > 20 for name in names)


def test_planned_stop_cuts_neither_an_upload_nor_a_slow_caller(deployment: Deployment) -> None:
    limits = {"leave_grace_s": 0.2}
    seoul = deployment.start_instance("seoul-1", "seoul", limits=limits)
    busan = deployment.start_instance("busan-1", "busan", limits=limits)
    size = 16_000_000

    async def answer(
        body: bytes, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if b"flood" not in body:
            writer.write(echo(body))
            return
        writer.write(f"HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n".encode())
        for _ in range(size // 10_000):
            writer.write(b"x" * 10_000)
            await writer.drain()

    async def run() -> None:
        upload: RawConnection | None = await RawConnection.open(deployment.entry("seoul-1"))
        data = chat_bytes("draft", "uploaded", HANBIT_KEY)
        upload.writer.write(data[:-5])
        slow = []
        for name in deployment.instances:
            connection = await RawConnection.open(deployment.entry(name))
            connection.writer.write(chat_bytes("draft", "flood", HANBIT_KEY))
            await connection.reader.readuntil(b"\r\n")
            slow.append(connection)
        for instance in (seoul, busan):
            instance.signal(signal.SIGTERM)
        while not all("event=leaving" in "\n".join(one.lines) for one in (seoul, busan)):
            await asyncio.sleep(0.05)
        for connection in slow:
            await asyncio.sleep(2.0)
            head = await connection.reader.readuntil(b"\r\n\r\n")
            assert f"content-length: {size}".encode() in head.lower()
            await connection.reader.readexactly(size)
            if upload is not None:
                await asyncio.sleep(2.0)
                upload.writer.write(data[-5:])
                assert (await upload.read_answer()).chat_text() == "uploaded"
                upload = None

    with HostileBackend("flood", "seoul", ("hanbit/draft",), seoul.fields["backends"]) as backend:
        backend.behave(answer)
        for name in deployment.instances:
            wait_until(
                lambda n=name: chat(deployment.entry(n), "draft", "x", key=HANBIT_KEY).is_success,
                what="the stand-in is known",
            )
        asyncio.run(run())
    for instance in (seoul, busan):
        assert instance.popen.wait(10.0) == 0
