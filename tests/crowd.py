"""Crowds of clients that misbehave, and what the process that they reach uses meanwhile."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import socket
from collections.abc import AsyncIterator, Callable, Iterable, Iterator

import anyio
import anyio.abc

#: Size of the parts of a long upload, bytes.
PART_BYTES = 64 * 1024
#: Receive buffer of the clients, bytes; answers that they don't read stay in the process soon.
RECEIVE_BUFFER_BYTES = 4096
#: Polls without progress of any client, at an idle process, after which a crowd has done what it can, and
#: their interval, seconds.
SETTLED_POLLS, POLL_INTERVAL_S = 12, 0.1
#: Polls after which a crowd isn't waited for any longer; some keep a process busy for long.
MAX_POLLS = 300
#: Processor time in a poll from which a process counts as busy, seconds.
BUSY_S = 0.03


@dataclasses.dataclass(kw_only=True)
class Usage:
    """What a process has used at most, as /proc tells."""

    pid: int
    descriptors: int = 0

    @property
    def peak_bytes(self) -> int:
        """The highest resident memory of the process."""
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text("utf-8")
        (line,) = (line for line in status.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1]) * 1024

    @property
    def processor_s(self) -> float:
        """The processor time of the process, seconds."""
        fields = (
            pathlib.Path(f"/proc/{self.pid}/stat").read_text("utf-8").rpartition(")")[2].split()
        )
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def poll(self) -> None:
        count = sum(1 for _ in pathlib.Path(f"/proc/{self.pid}/fd").iterdir())
        self.descriptors = max(self.descriptors, count)


class Crowd:
    """Clients that each send their bytes as far as they can, read nothing and stay."""

    def __init__(self, *, tasks: anyio.abc.TaskGroup) -> None:
        self._tasks = tasks
        self._sent_parts = 0
        self._active = 0

    def add(
        self,
        address: str,
        parts_of: Callable[[int], Iterable[bytes]],
        *,
        count: int,
        drips: bool = False,
    ) -> None:
        """Add clients of ``address``; each sends what ``parts_of`` returns for its number.

        With ``drips`` it goes on with a byte from time to time.
        """
        for number in range(count):
            self._active += 1
            self._tasks.start_soon(self._run_client, address, parts_of(number), drips)

    async def settle(self, usage: Usage) -> None:
        """Return once no client gets on any more."""
        polls, before = 0, (-1, 0.0)
        for _ in range(MAX_POLLS):
            await anyio.sleep(POLL_INTERVAL_S)
            usage.poll()
            sent_parts, processor_s = self._sent_parts, usage.processor_s
            is_still = sent_parts == before[0] or not self._active
            polls = polls + 1 if is_still and processor_s - before[1] < BUSY_S else 0
            if polls >= SETTLED_POLLS:
                return
            before = (sent_parts, processor_s)

    async def _run_client(self, address: str, parts: Iterable[bytes], drips: bool) -> None:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        with socket.socket() as raw:
            raw.setblocking(False)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            # The process may refuse the client or close its connection.
            with contextlib.suppress(OSError):
                await loop.sock_connect(raw, (host, int(port)))
                for part in parts:
                    await loop.sock_sendall(raw, part)
                    self._sent_parts += 1
                    await asyncio.sleep(0)
            self._active -= 1
            with contextlib.suppress(OSError):
                while drips:
                    await anyio.sleep(POLL_INTERVAL_S)
                    await loop.sock_sendall(raw, b"x")
            await anyio.sleep_forever()


@contextlib.asynccontextmanager
async def running_crowd() -> AsyncIterator[Crowd]:
    """Run a crowd until the end of the context."""
    async with anyio.create_task_group() as tasks:
        yield Crowd(tasks=tasks)
        tasks.cancel_scope.cancel()


class Repeated:
    """Parts that are the same bytes many times, after a first one."""

    def __init__(self, *, first: bytes, part: bytes, count: int) -> None:
        self._first = first
        self._part = part
        self._count = count

    def __iter__(self) -> Iterator[bytes]:
        yield self._first
        for _ in range(self._count):
            yield self._part


def head(method: str, path: str, *fields: str) -> bytes:
    """Return the head of a request."""
    lines = [f"{method} {path} HTTP/1.1", "Host: guide.example", *fields]
    return "\r\n".join([*lines, "", ""]).encode()


def body_but_its_end(path: str, size: int, *fields: str, part_bytes: int = PART_BYTES) -> Repeated:
    """Return a request whose body of ``size`` bytes lacks its last part."""
    first = head("POST", path, f"Content-Length: {size}", *fields)
    return Repeated(first=first, part=bytes(part_bytes), count=size // part_bytes - 1)


def chunks_without_end(path: str, size: int, *fields: str, chunk_bytes: int) -> Repeated:
    """Return a request with a body of ``size`` bytes in chunks, without the last one."""
    chunk = f"{chunk_bytes:x}\r\n".encode() + bytes(chunk_bytes) + b"\r\n"
    chunks_of_part = PART_BYTES // chunk_bytes
    first = head("POST", path, "Transfer-Encoding: chunked", *fields)
    return Repeated(first=first, part=chunk * chunks_of_part, count=size // PART_BYTES - 1)


def oversized_body(path: str, *fields: str, declared: int, sent: int) -> Repeated:
    """Return a request that declares a body far over the limit and sends a part of it."""
    first = head("POST", path, f"Content-Length: {declared}", *fields)
    return Repeated(first=first, part=bytes(PART_BYTES), count=sent // PART_BYTES)


def many_fields(path: str, *fields: str, size: int) -> list[bytes]:
    """Return a request with a head of ``size`` bytes in fields of four bytes and a body without its end."""
    short_fields = ["a:"] * (size // 5 - 40)
    return [head("POST", path, "Content-Length: 10", *fields, *short_fields) + b"123456789"]


def endless_head(path: str, *, size: int) -> list[bytes]:
    """Return ``size`` bytes of a head in short fields that doesn't end."""
    return [head("GET", path).removesuffix(b"\r\n"), b"a:\r\n" * (size // 4)]


def requests_ahead(path: str, *fields: str, size: int) -> Repeated:
    """Return many whole requests, ``size`` bytes in all."""
    request = head("GET", path, *fields)
    batch = request * (PART_BYTES // len(request))
    return Repeated(first=request, part=batch, count=size // len(batch))


def whole_request(path: str, *fields: str, size: int) -> Repeated:
    """Return a whole request with a body of ``size`` bytes."""
    first = head("POST", path, f"Content-Length: {size}", *fields)
    return Repeated(first=first, part=bytes(PART_BYTES), count=size // PART_BYTES)
