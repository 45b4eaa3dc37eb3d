"""An answer without a length to an upload that is still being written never looks complete to a caller."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import pytest

from tests.calls import wait_until
from tests.conftest import HANBIT_KEY
from tests.harness import Deployment
from tests.raw_http import RawResponse, raw_call
from tests.scripted_backend import ScriptedBackend

#: A legal body that the kernel's buffers don't take.
UPLOAD_BYTES = 7 * 1024 * 1024
#: Value of SO_LINGER with which a close resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class EarlyBackend(ScriptedBackend):
    """A backend server that answers at once and ends the connection within the answer.

    If it resets the connection, it has read only the beginning of the upload.
    """

    resets = True

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if await reader.read(1):
            self.request_count += 1
            writer.write(b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\na part")
            if self.resets:
                await asyncio.sleep(0.1)
                raw = writer.get_extra_info("socket")
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            else:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.5):
                        while await reader.read(1 << 16):
                            pass
        writer.close()


def upload(address: str, key: str, size: int = UPLOAD_BYTES) -> RawResponse:
    return asyncio.run(
        raw_call(
            address,
            "POST",
            "/services/intake-records/filings",
            key=HANBIT_KEY,
            body=bytes(size),
            headers=(f"idempotency-key: {key}",),
        )
    )


@pytest.mark.parametrize("resets", [True, False])
@pytest.mark.parametrize("name", ["seoul-1", "busan-1"])
def test_a_part_of_an_early_answer_never_looks_complete(
    deployment: Deployment, name: str, resets: bool
) -> None:
    target = deployment.start_instance("seoul-1", "seoul").ready_fields["backends"]
    deployment.start_instance("busan-1", "busan")
    address = deployment.caller_address(name)
    with EarlyBackend("early", "seoul", ("hanbit/intake-records",), target) as backend:
        backend.resets = resets

        def is_known() -> bool:
            upload(address, f"known-{backend.request_count}", size=1)
            return backend.request_count > 0

        wait_until(is_known, description="the backend server is known")
        before = backend.request_count
        responses = [upload(address, f"upload-{number}") for number in range(5)]
        assert backend.request_count > before
    assert all(response.status == 502 or not response.complete for response in responses), responses
