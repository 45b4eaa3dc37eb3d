"""Only holders of the deployment key can create or alter a request or a reply."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from figpaddle.errors import HandshakeError
from figpaddle.wire import EXCHANGE_NONCE_BYTES, ExchangeAuthenticator

AUTHENTICATOR = ExchangeAuthenticator(key=b"k" * 32)
OTHER_AUTHENTICATOR = ExchangeAuthenticator(key=b"o" * 32)
NONCE = b"n" * EXCHANGE_NONCE_BYTES
LATER_NONCE = b"l" * EXCHANGE_NONCE_BYTES


@pytest.mark.parametrize(
    "attempt",
    [
        lambda: AUTHENTICATOR.verify_request(OTHER_AUTHENTICATOR.sign_request(NONCE, b"question")),
        lambda: AUTHENTICATOR.verify_request(
            AUTHENTICATOR.sign_request(NONCE, b"question")[:-1] + b"x"
        ),
        lambda: AUTHENTICATOR.verify_request(b""),
        lambda: AUTHENTICATOR.verify_request(AUTHENTICATOR.sign_reply(NONCE, b"answer")),
        lambda: AUTHENTICATOR.verify_reply(NONCE, OTHER_AUTHENTICATOR.sign_reply(NONCE, b"answer")),
        lambda: AUTHENTICATOR.verify_reply(LATER_NONCE, AUTHENTICATOR.sign_reply(NONCE, b"answer")),
        lambda: AUTHENTICATOR.verify_reply(NONCE, AUTHENTICATOR.sign_request(NONCE, b"question")),
    ],
)
def test_forged_altered_and_replayed_exchanges_are_rejected(attempt: Callable[[], object]) -> None:
    with pytest.raises(HandshakeError):
        attempt()
