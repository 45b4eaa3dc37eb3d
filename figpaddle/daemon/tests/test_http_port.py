"""A port that closes answers the requests on the connections that have reached it."""

from __future__ import annotations

import socket

import anyio
import pytest

from figpaddle.daemon._client_connections import ClientConnections
from figpaddle.daemon._http import Receive, Scope, Send, send_json
from figpaddle.daemon._http_port import HttpPort
from figpaddle.daemon._sockets import listen, split_address
from figpaddle.http1 import ClientAccount, ClientLimits

#: Turns of the event loop from the end of the port until callers connect, which the closing takes.
CLOSING_TURNS = range(8)
#: Callers that connect in one turn, and how long each waits for an answer, seconds.
CALLERS, WAIT_S = 5, 3.0


async def answer(scope: Scope, receive: Receive, send: Send) -> None:
    if scope["type"] == "http":
        await send_json(send, status=503, value="closed")


async def call_while_closing(turns: int) -> list[bytes]:
    """Return what callers get that connect some turns after the port is told to close."""
    listener = listen("127.0.0.1:0")
    account = ClientAccount(limits=ClientLimits())
    port = HttpPort(
        application=answer,
        listener=listener,
        connections=ClientConnections(account=account, held=account, clock=anyio.current_time),
        instance="seoul-1",
        clock=anyio.current_time,
    )
    closing = anyio.Event()
    callers = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(port.run, closing)
        await anyio.sleep(0.2)
        closing.set()
        for _ in range(turns):
            await anyio.sleep(0)
        for _ in range(CALLERS):
            try:
                caller = socket.create_connection(split_address(listener.address), WAIT_S)
            except ConnectionRefusedError:
                continue
            caller.sendall(b"GET /v1/entries HTTP/1.1\r\nHost: figpaddle\r\n\r\n")
            callers.append(caller)
    answers = []
    for caller in callers:
        with caller:
            answers.append(caller.recv(1 << 16))
    return answers


@pytest.mark.parametrize("turns", CLOSING_TURNS)
def test_connections_that_reach_a_port_as_it_closes_are_answered_or_refused(turns: int) -> None:
    answers = anyio.run(call_while_closing, turns)
    assert all(answer.startswith(b"HTTP/1.1 503 ") for answer in answers), answers
    if turns == 0:
        assert len(answers) == CALLERS
