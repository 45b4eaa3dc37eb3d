"""Only holders of the deployment key can create or alter a request or a reply."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from figpaddle.errors import HandshakeError
from figpaddle.wire import SEAL_NONCE_BYTES, Seal

AUTHENTICATOR = Seal(key=b"k" * 32)
OTHER_AUTHENTICATOR = Seal(key=b"o" * 32)
NONCE = b"n" * SEAL_NONCE_BYTES
LATER_NONCE = b"l" * SEAL_NONCE_BYTES


@pytest.mark.parametrize(
    "attempt",
    [
        lambda: AUTHENTICATOR.open_request(OTHER_AUTHENTICATOR.request(NONCE, b"question")),
        lambda: AUTHENTICATOR.open_request(AUTHENTICATOR.request(NONCE, b"question")[:-1] + b"x"),
        lambda: AUTHENTICATOR.open_request(b""),
        lambda: AUTHENTICATOR.open_request(AUTHENTICATOR.reply(NONCE, b"answer")),
        lambda: AUTHENTICATOR.open_reply(NONCE, OTHER_AUTHENTICATOR.reply(NONCE, b"answer")),
        lambda: AUTHENTICATOR.open_reply(LATER_NONCE, AUTHENTICATOR.reply(NONCE, b"answer")),
        lambda: AUTHENTICATOR.open_reply(NONCE, AUTHENTICATOR.request(NONCE, b"question")),
    ],
)
def test_forged_altered_and_replayed_exchanges_are_rejected(attempt: Callable[[], object]) -> None:
    with pytest.raises(HandshakeError):
        attempt()
