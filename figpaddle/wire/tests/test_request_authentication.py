"""Only who holds the key can ask, answer or alter an exchange."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from figpaddle.errors import HandshakeError
from figpaddle.wire import SEAL_NONCE_BYTES, Seal

SEAL = Seal(key=b"k" * 32)
OTHER = Seal(key=b"o" * 32)
NONCE = b"n" * SEAL_NONCE_BYTES
LATER = b"l" * SEAL_NONCE_BYTES


@pytest.mark.parametrize(
    "attempt",
    [
        lambda: SEAL.open_request(OTHER.request(NONCE, b"question")),
        lambda: SEAL.open_request(SEAL.request(NONCE, b"question")[:-1] + b"x"),
        lambda: SEAL.open_request(b""),
        lambda: SEAL.open_request(SEAL.reply(NONCE, b"answer")),
        lambda: SEAL.open_reply(NONCE, OTHER.reply(NONCE, b"answer")),
        lambda: SEAL.open_reply(LATER, SEAL.reply(NONCE, b"answer")),
        lambda: SEAL.open_reply(NONCE, SEAL.request(NONCE, b"question")),
    ],
)
def test_forged_altered_and_old_exchanges_are_refused(attempt: Callable[[], object]) -> None:
    with pytest.raises(HandshakeError):
        attempt()
