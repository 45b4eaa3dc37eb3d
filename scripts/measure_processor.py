"""Measures processor time of an instance apart from its requests, and of streams; prints ``name=value``."""

from __future__ import annotations

import asyncio
import io
import pathlib
import socket
import subprocess
import sys
import time
from collections.abc import Callable

from figpaddle.coordination import HeartbeatTable
from figpaddle.http1 import HttpRequest, RequestLimits, Responder
from figpaddle.http1._channel import Channel
from figpaddle.http1._client import HttpClientConnection
from figpaddle.http1._server import ServerConnection
from figpaddle.regional._events import EventSplitter
from figpaddle.telemetry import make_log
from figpaddle.wire import InstanceHeartbeat, InstanceRole, Readiness, decode, encode

STARTS = 3
EXCHANGES = 1500
EVENTS = 3000
REPEATS = 2000
INSTANCES = (30, 100, 300)
EVENT = b"id: %d\ndata: a token of an answer\n\n"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
#: A request and a response of the usual size.
REQUEST = (
    b"POST /v1/answers HTTP/1.1\r\nHost: entry-1\r\nAuthorization: Bearer 0123456789abcdef\r\n"
    b"Accept: */*\r\nContent-Type: application/json\r\nX-Request-Id: a7b50bce30af22ec\r\n"
    b"Traceparent: 00-0123456789abcdef0123456789abcdef-0123456789abcdef-01\r\n"
    b"X-Deadline: 4000\r\nContent-Length: 400\r\n\r\n" + b"a" * 400
)
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Load: 0.5\r\nX-Request-Id: a7b50bce30af22ec\r\n"
    b"Keep-Alive: timeout=8\r\nContent-Length: 300\r\n\r\n" + b"b" * 300
)
#: What a process of the regional program does before its first task: it imports the modules of its role.
START = (
    "import sys, time; sys.path[:0] = ['platform', '.']; import serve; "
    "serve.process_class(serve.InstanceRole(sys.argv[1])); print(time.process_time())"
)


def main() -> None:
    """Run every measurement and print its figures."""
    root = pathlib.Path(__file__).resolve().parent.parent
    measure_start(root)
    asyncio.run(measure_exchange())
    asyncio.run(measure_stream())
    measure_log_lines()
    for instances in INSTANCES:
        measure_heartbeats(instances)


def print_figure(name: str, value: float) -> None:
    """Print one figure."""
    print(f"{name}={value:.4g}", flush=True)


def per_call_us(function: Callable[[], object]) -> float:
    """Return the processor time of a call, microseconds."""
    began_at = time.process_time()
    for _ in range(REPEATS):
        function()
    return (time.process_time() - began_at) / REPEATS * 1e6


def measure_start(root: pathlib.Path) -> None:
    """Measure the processor time until a process of each role has its modules."""
    for role in InstanceRole:
        command = [sys.executable, "-c", START, role.value]
        times = [float(subprocess.check_output(command, cwd=root)) for _ in range(STARTS)]
        print_figure(f"start_s_{role.value}", min(times))


async def _pair() -> tuple[socket.socket, socket.socket]:
    loop = asyncio.get_running_loop()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.setblocking(False)
        near = socket.socket()
        near.setblocking(False)
        accepted, _ = await asyncio.gather(
            loop.sock_accept(listener), loop.sock_connect(near, listener.getsockname())
        )
    accepted[0].setblocking(False)
    return near, accepted[0]


async def measure_exchange() -> None:
    """Measure the processor time of relaying a request and its response, without any decision."""
    loop = asyncio.get_running_loop()
    backend, upstream = await _pair()
    caller, accepted = await _pair()
    connection = HttpClientConnection(channel=Channel(raw=upstream), opened_at=0.0)

    async def handle(request: HttpRequest, responder: Responder) -> None:
        await connection.send(
            method=request.method,
            target=request.target,
            headers=request.headers,
            body=request.body,
        )
        head = await connection.read_head(lambda _: True)
        body = await connection.read_whole_body(max_bytes=1 << 20)
        await responder.answer(head.status, head.headers[:-1], body)

    server = ServerConnection(
        channel=Channel(raw=accepted),
        handler=handle,
        limits=RequestLimits,
        clock=time.monotonic,
        close_after_response=lambda: False,
    )
    serving = asyncio.create_task(server.run())
    began_at = time.process_time()
    for _ in range(EXCHANGES):
        await loop.sock_sendall(caller, REQUEST)
        await loop.sock_recv(backend, 4096)
        await loop.sock_sendall(backend, RESPONSE)
        await loop.sock_recv(caller, 4096)
    print_figure("exchange_us", (time.process_time() - began_at) / EXCHANGES * 1e6)
    serving.cancel()
    for raw in (backend, caller):
        raw.close()


async def measure_stream() -> None:
    """Measure the processor time of relaying an event that arrives alone, from server to caller."""
    loop = asyncio.get_running_loop()
    backend, upstream = await _pair()
    caller, accepted = await _pair()
    connection = HttpClientConnection(channel=Channel(raw=upstream), opened_at=0.0)

    async def handle(request: HttpRequest, responder: Responder) -> None:
        await connection.send(
            method=b"GET", target=request.target, headers=request.headers, body=b""
        )
        head = await connection.read_head(lambda _: True)
        await responder.start(head.status, head.headers[:1], length=None)
        splitter = EventSplitter(last_event="")
        async for chunk in connection.read_body():
            for event in splitter.feed(chunk):
                await responder.write(event)
        await responder.finish()

    server = ServerConnection(
        channel=Channel(raw=accepted),
        handler=handle,
        limits=RequestLimits,
        clock=time.monotonic,
        close_after_response=lambda: False,
    )
    serving = asyncio.create_task(server.run())
    await loop.sock_sendall(caller, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    await loop.sock_recv(backend, 4096)
    await loop.sock_sendall(backend, HEAD)
    await loop.sock_recv(caller, 4096)
    began_at = time.process_time()
    for number in range(EVENTS):
        event = EVENT % number
        await loop.sock_sendall(backend, b"%x\r\n%b\r\n" % (len(event), event))
        await loop.sock_recv(caller, 4096)
    print_figure("stream_event_us", (time.process_time() - began_at) / EVENTS * 1e6)
    serving.cancel()
    for raw in (backend, caller):
        raw.close()


def measure_log_lines() -> None:
    """Measure the processor time of a log line about a request."""

    class _Discarded(io.StringIO):
        def write(self, text: str) -> int:
            return len(text)

    sys.stdout, output = _Discarded(), sys.stdout
    log = make_log(instance="entry-1")
    fields = {f"field_{number}": number / 8 for number in range(12)}
    log.info("request_ended", request="a7b50bce30af22ec", outcome="status 200", **fields)
    took_us = per_call_us(
        lambda: log.info("request_ended", request="a7b5", outcome="status 200", **fields)
    )
    sys.stdout = output
    print_figure("log_line_us", took_us)


def _heartbeat(number: int, sequence: int) -> InstanceHeartbeat:
    return InstanceHeartbeat(
        name=f"10.{number // 100}.0.{number % 100}",
        incarnation=1,
        sequence=sequence,
        role=InstanceRole.ENTRY,
        region="north",
        zone="north-a",
        caller_address="10.0.0.1:80",
        readiness=Readiness.READY,
        stopping_s=0.0,
        revision=1,
        founding=False,
        work=(),
        loads=(),
        acquaintances=(),
    )


def measure_heartbeats(instances: int) -> None:
    """Measure the processor time of a heartbeat that comes, and of a look at all instances."""
    table: HeartbeatTable[InstanceHeartbeat] = HeartbeatTable()
    for number in range(instances):
        table.record(_heartbeat(number, 1), now=0.0)
    data = encode(_heartbeat(0, 2))
    print_figure(f"heartbeat_us_{instances}", per_call_us(lambda: decode(data)))
    print_figure(f"live_instances_us_{instances}", per_call_us(lambda: table.live(now=1.0)))


if __name__ == "__main__":
    main()
