"""A malformed frame closes the link on which it was sent and affects no other link."""

from __future__ import annotations

import dataclasses
import random
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest
import structlog
from websockets.asyncio.client import ClientConnection
from websockets.asyncio.server import ServerConnection, serve
from websockets.exceptions import ConnectionClosed

from figpaddle.daemon._dialler import Dialler
from figpaddle.daemon._peers import PeerNetwork
from figpaddle.daemon._sockets import listen
from figpaddle.errors import PeerUnreachableError
from figpaddle.wire import (
    Challenge,
    Handshake,
    Hello,
    LinkPurpose,
    Message,
    decode,
    decode_frame,
    encode,
    message,
)

HANDSHAKE = Handshake(key=b"k" * 32)
TIMEOUT_S = 10.0
MALFORMED_FRAMES = [b"\xff\xff not a frame", "a text frame", b"\x84\x18\x63\x61x\x01\xa0"]


@message("test.question")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Question(Message):
    number: int


def make_network(name: str) -> PeerNetwork:
    return PeerNetwork(
        name=name,
        handshake=HANDSHAKE,
        listener=listen("127.0.0.1:0"),
        rng=random.Random(1),
        log=structlog.get_logger(),
        clock=time.monotonic,
    )


async def echo(peer: str, item: Question) -> Message:
    return item


@asynccontextmanager
async def running(network: PeerNetwork) -> AsyncIterator[None]:
    network.register(Question, echo)
    async with anyio.create_task_group() as tasks:
        await tasks.start(lambda *, task_status: network.run(task_status=task_status))
        yield
        tasks.cancel_scope.cancel()


async def request_until_link_opens(network: PeerNetwork, peer: str) -> Message:
    """Return the reply of ``peer``, retrying until its link is open."""
    while True:
        try:
            return await network.request(peer, Question(number=7), timeout_s=TIMEOUT_S)
        except PeerUnreachableError:
            await anyio.sleep(0.01)


@pytest.mark.parametrize("malformed_frame", MALFORMED_FRAMES, ids=["garbage", "text", "version"])
def test_malformed_frame_from_a_dialled_peer_closes_only_its_link(
    malformed_frame: bytes | str,
) -> None:
    async def send_malformed_frame(socket: ServerConnection) -> None:
        challenge = Challenge(nonce=b"n" * 32)
        await socket.send(encode(challenge))
        hello = decode(await socket.recv(decode=False))
        assert isinstance(hello, Hello)
        await socket.send(encode(HANDSHAKE.welcome(challenge, hello, sender="odd")))
        await socket.recv()
        await socket.send(malformed_frame)
        await socket.wait_closed()

    async def main() -> None:
        network, healthy = make_network("one"), make_network("two")
        async with (
            serve(send_malformed_frame, "127.0.0.1", 0) as server,
            running(network),
            running(healthy),
        ):
            host, port = server.sockets[0].getsockname()
            network.set_addresses({"odd": f"{host}:{port}", "two": healthy.address})
            with anyio.fail_after(TIMEOUT_S):
                while "odd" not in network.open_links:
                    await anyio.sleep(0.01)
                network.post("odd", Question(number=1))
                while "odd" in network.open_links:
                    await anyio.sleep(0.01)
                assert await request_until_link_opens(network, "two") == Question(number=7)

    anyio.run(main)


@pytest.mark.parametrize("malformed_frame", MALFORMED_FRAMES[:2], ids=["garbage", "text"])
def test_malformed_frame_from_a_dialling_peer_closes_only_its_link(
    malformed_frame: bytes | str,
) -> None:
    async def main() -> None:
        network, healthy = make_network("one"), make_network("two")
        dialler = Dialler(name="odd", handshake=HANDSHAKE, own_address="127.0.0.1:0")
        async with running(network), running(healthy):
            healthy.set_addresses({"one": network.address})
            with anyio.fail_after(TIMEOUT_S):
                async with dialler.dial(network.address, LinkPurpose.CONTROL) as (socket, _):
                    await socket.send(malformed_frame)
                    with pytest.raises(ConnectionClosed) as closed:
                        await socket.recv()
                    assert closed.value.rcvd is not None
                    assert closed.value.rcvd.code == 1000
                assert await request_until_link_opens(healthy, "one") == Question(number=7)

    anyio.run(main)


def test_unknown_message_type_is_refused_with_the_correlation_of_its_request() -> None:
    async def check_refusal(socket: ClientConnection) -> None:
        pack_record = encode(Question(number=1), correlation=5).replace(b"question", b"surprise")
        await socket.send(pack_record)
        reply = decode_frame(await socket.recv(decode=False))
        assert reply.correlation == 5
        assert reply.item.wire_name == "link.refused"

    async def main() -> None:
        network = make_network("one")
        dialler = Dialler(name="odd", handshake=HANDSHAKE, own_address="127.0.0.1:0")
        async with running(network):
            with anyio.fail_after(TIMEOUT_S):
                async with dialler.dial(network.address, LinkPurpose.CONTROL) as (socket, _):
                    await check_refusal(socket)

    anyio.run(main)
