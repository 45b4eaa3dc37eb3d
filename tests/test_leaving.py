"""Backend servers and instances leave under load without failing a request."""

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
from tests.raw_http import NO_RESPONSE, RawConnection, RawResponse, chat_bytes, raw_call, raw_chat
from tests.scripted_backend import ScriptedBackend, echo

CALLERS = 12
LOOKUP_INTERVAL_S = 0.5
STOP_PROPAGATION_S = 2.0
LEAVE_GRACE_S = 1.5


def start_deployment(deployment: Deployment, instances: tuple[str, ...], engines: int) -> None:
    for name in instances:
        deployment.start_instance(name, "seoul", limits={"leave_grace_s": LEAVE_GRACE_S})
    for number in range(engines):
        deployment.start_backend(
            f"engine-{number}", "engine", "seoul", ("draft",), "--decode-ms", "20"
        )
    for name in instances:
        wait_until(
            lambda n=name: chat(
                deployment.caller_address(n), "draft", "x", key=HANBIT_KEY
            ).is_success,
            description="the engines are known",
        )


class Callers:
    """Callers that refresh their entries from the lookup and check every response."""

    def __init__(self, deployment: Deployment, *, stream: bool) -> None:
        self._entries = [deployment.caller_address(name) for name in deployment.instances]
        self._stream = stream
        self._stopped = asyncio.Event()
        self._numbers = itertools.count()
        #: Responses that were incomplete or wrong.
        self.failures: list[RawResponse] = []
        #: For each backend server, when the last request that it answered was sent.
        self.last_sent_at: dict[str, float] = {}
        #: Number of complete and correct responses by instance.
        self.answered: collections.Counter[str] = collections.Counter()

    def stop(self) -> None:
        self._stopped.set()

    async def run(self) -> None:
        await asyncio.gather(self._look_up(), *(self._call() for _ in range(CALLERS)))

    async def _look_up(self) -> None:
        while not self._stopped.is_set():
            for entry in self._entries:
                response = await raw_call(entry, "GET", "/v1/entries", key=HANBIT_KEY)
                if response.status == 200:
                    self._entries = [entry["address"] for entry in response.json()["entries"]]
                    break
            await asyncio.sleep(LOOKUP_INTERVAL_S)

    async def _call(self) -> None:
        while not self._stopped.is_set():
            number = next(self._numbers)
            sent_at = time.monotonic()
            response = await self._send(f"text-{number}", number)
            if response.chat_text() != f"text-{number} " * 10:
                self.failures.append(response)
                continue
            self.answered[response.headers["figpaddle-instance"]] += 1
            backend = response.headers["figpaddle-backend"]
            self.last_sent_at[backend] = max(sent_at, self.last_sent_at.get(backend, 0.0))

    async def _send(self, text: str, number: int) -> RawResponse:
        response = NO_RESPONSE
        entries = list(self._entries)
        for offset in range(len(entries)):
            entry = entries[(number + offset) % len(entries)]
            response = await raw_chat(
                entry, "draft", text, key=HANBIT_KEY, stream=self._stream, max_tokens=10
            )
            if response.status != 503 or response.problem != "draining":
                break
        return response


def run_during(callers: Callers, disruption: collections.abc.Awaitable[None]) -> None:
    async def run() -> None:
        running = asyncio.create_task(callers.run())
        await disruption
        callers.stop()
        await running

    asyncio.run(run())


def test_planned_stop_of_a_backend_server_fails_no_request_and_ends_new_requests_to_it(
    deployment: Deployment,
) -> None:
    start_deployment(deployment, ("seoul-1", "seoul-2"), engines=3)
    callers = Callers(deployment, stream=True)
    stopped_at = 0.0

    async def stop_backend() -> None:
        nonlocal stopped_at
        await asyncio.sleep(1.0)
        stopped_at = time.monotonic()
        deployment.backends["engine-0"].signal(signal.SIGTERM)
        while deployment.backends["engine-0"].popen.poll() is None:
            await asyncio.sleep(0.05)
        await asyncio.sleep(STOP_PROPAGATION_S)

    run_during(callers, stop_backend())
    assert callers.failures == []
    assert callers.last_sent_at["engine-0"] < stopped_at + STOP_PROPAGATION_S
    assert callers.last_sent_at["engine-1"] > stopped_at + STOP_PROPAGATION_S
    assert deployment.backends["engine-0"].popen.returncode == 0


def test_kill_of_a_backend_server_fails_no_request(deployment: Deployment) -> None:
    start_deployment(deployment, ("seoul-1", "seoul-2"), engines=3)
    callers = Callers(deployment, stream=False)
    killed_at = 0.0

    async def kill_backend() -> None:
        nonlocal killed_at
        await asyncio.sleep(1.0)
        deployment.backends["engine-0"].kill()
        killed_at = time.monotonic()
        await asyncio.sleep(2.0)

    run_during(callers, kill_backend())
    assert callers.failures == []
    assert callers.last_sent_at["engine-0"] < killed_at
    assert callers.last_sent_at["engine-1"] > killed_at + 1.0


def test_instances_replaced_one_after_another_fail_no_request(deployment: Deployment) -> None:
    names = ("seoul-1", "seoul-2", "seoul-3")
    start_deployment(deployment, names, engines=2)
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
        listen = {port: process.ready_fields[port] for port in ("callers", "backends", "peers")}
        listen["operators"] = "127.0.0.1:0"
        deployment.start_instance(
            name, "seoul", limits={"leave_grace_s": LEAVE_GRACE_S}, listen=listen
        )

    run_during(callers, replace_all())
    assert callers.failures == []
    assert all(callers.answered[name] > 20 for name in names)


def test_planned_stop_interrupts_neither_an_upload_nor_a_slow_caller(
    deployment: Deployment,
) -> None:
    limits = {"leave_grace_s": 0.2}
    seoul = deployment.start_instance("seoul-1", "seoul", limits=limits)
    busan = deployment.start_instance("busan-1", "busan", limits=limits)
    size = 16_000_000

    async def respond(
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
        upload: RawConnection | None = await RawConnection.open(
            deployment.caller_address("seoul-1")
        )
        data = chat_bytes("draft", "uploaded", HANBIT_KEY)
        upload.writer.write(data[:-5])
        slow_connections = []
        for name in deployment.instances:
            connection = await RawConnection.open(deployment.caller_address(name))
            connection.writer.write(chat_bytes("draft", "flood", HANBIT_KEY))
            await connection.reader.readuntil(b"\r\n")
            slow_connections.append(connection)
        for instance in (seoul, busan):
            instance.signal(signal.SIGTERM)
        while not all("event=leaving" in "\n".join(instance.lines) for instance in (seoul, busan)):
            await asyncio.sleep(0.05)
        for connection in slow_connections:
            await asyncio.sleep(2.0)
            head = await connection.reader.readuntil(b"\r\n\r\n")
            assert f"content-length: {size}".encode() in head.lower()
            await connection.reader.readexactly(size)
            if upload is not None:
                await asyncio.sleep(2.0)
                upload.writer.write(data[-5:])
                assert (await upload.read_response()).chat_text() == "uploaded"
                upload = None

    with ScriptedBackend(
        "flood", "seoul", ("hanbit/draft",), seoul.ready_fields["backends"]
    ) as backend:
        backend.set_behaviour(respond)
        for name in deployment.instances:
            wait_until(
                lambda n=name: chat(
                    deployment.caller_address(n), "draft", "x", key=HANBIT_KEY
                ).is_success,
                description="the backend server is known",
            )
        asyncio.run(run())
    for instance in (seoul, busan):
        assert instance.popen.wait(10.0) == 0
