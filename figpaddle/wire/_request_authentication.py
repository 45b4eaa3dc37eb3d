"""Authentication of a single request and reply on a new connection, with the deployment key."""

from __future__ import annotations

import hashlib
import hmac

from figpaddle.errors import HandshakeError

#: Length of the nonce that binds a reply to its request, bytes.
EXCHANGE_NONCE_BYTES = 16
_HMAC_BYTES = 32


class ExchangeAuthenticator:
    """Adds and verifies an HMAC over each request and reply.

    A reply is bound to the nonce of its request, so that a replayed reply is rejected. A replayed
    request is accepted, so requests must be safe to repeat.

    >>> authenticator = ExchangeAuthenticator(key=b"k" * 32)
    >>> request = authenticator.sign_request(b"n" * 16, b"question")
    >>> nonce, data = authenticator.verify_request(request)
    >>> authenticator.verify_reply(nonce, authenticator.sign_reply(nonce, b"answer"))
    b'answer'
    """

    def __init__(self, *, key: bytes) -> None:
        self._key = key

    def sign_request(self, nonce: bytes, data: bytes) -> bytes:
        """Return an authenticated request that contains ``data``."""
        return self._hmac(b"request", nonce + data) + nonce + data

    def verify_request(self, message_bytes: bytes) -> tuple[bytes, bytes]:
        """Verify a request and return its nonce and data; raises HandshakeError."""
        content = self._verify(b"request", b"", message_bytes)
        return content[:EXCHANGE_NONCE_BYTES], content[EXCHANGE_NONCE_BYTES:]

    def sign_reply(self, nonce: bytes, data: bytes) -> bytes:
        """Return an authenticated reply, with ``data``, to the request with ``nonce``."""
        return self._hmac(b"reply", nonce + data) + data

    def verify_reply(self, nonce: bytes, message_bytes: bytes) -> bytes:
        """Verify the reply to the request with ``nonce`` and return its data.

        Raises HandshakeError.
        """
        return self._verify(b"reply", nonce, message_bytes)

    def _hmac(self, purpose: bytes, content: bytes) -> bytes:
        return hmac.digest(self._key, purpose + b"/" + content, hashlib.sha256)

    def _verify(self, purpose: bytes, prefix: bytes, message_bytes: bytes) -> bytes:
        mac, content = message_bytes[:_HMAC_BYTES], message_bytes[_HMAC_BYTES:]
        if not hmac.compare_digest(mac, self._hmac(purpose, prefix + content)):
            raise HandshakeError(
                what="invalid proof", where=purpose.decode(), hint="check the deployment key"
            )
        return content
