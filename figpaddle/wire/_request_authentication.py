"""Proof of the deployment key for a single request and its reply on a new connection."""

from __future__ import annotations

import hashlib
import hmac

from figpaddle.errors import HandshakeError

#: Length of the random number that ties a reply to its request, bytes.
SEAL_NONCE_BYTES = 16
_PROOF_BYTES = 32


class Seal:
    """Adds and checks keyed digests.

    A reply is bound to the nonce of its request, so that an old reply proves nothing. An old
    request can be repeated by whoever has seen it; what it asks for must bear that.

    >>> seal = Seal(key=b"k" * 32)
    >>> nonce, item = seal.open_request(seal.request(b"n" * 16, b"question"))
    >>> seal.open_reply(nonce, seal.reply(nonce, b"answer"))
    b'answer'
    """

    def __init__(self, *, key: bytes) -> None:
        self._key = key

    def request(self, nonce: bytes, data: bytes) -> bytes:
        """Return a request that carries ``data``."""
        return self._proof(b"request", nonce + data) + nonce + data

    def open_request(self, sealed: bytes) -> tuple[bytes, bytes]:
        """Return the nonce and the data of a request; raises HandshakeError."""
        content = self._open(b"request", b"", sealed)
        return content[:SEAL_NONCE_BYTES], content[SEAL_NONCE_BYTES:]

    def reply(self, nonce: bytes, data: bytes) -> bytes:
        """Return the reply to the request with ``nonce``."""
        return self._proof(b"reply", nonce + data) + data

    def open_reply(self, nonce: bytes, sealed: bytes) -> bytes:
        """Return the data of a reply; raises HandshakeError."""
        return self._open(b"reply", nonce, sealed)

    def _proof(self, purpose: bytes, content: bytes) -> bytes:
        return hmac.digest(self._key, purpose + b"/" + content, hashlib.sha256)

    def _open(self, purpose: bytes, prefix: bytes, sealed: bytes) -> bytes:
        proof, content = sealed[:_PROOF_BYTES], sealed[_PROOF_BYTES:]
        if not hmac.compare_digest(proof, self._proof(purpose, prefix + content)):
            raise HandshakeError(
                what="wrong proof", where=purpose.decode(), mend="check the deployment key"
            )
        return content
