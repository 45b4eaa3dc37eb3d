"""Mutual authentication with the deployment key when a link between instances opens."""

from __future__ import annotations

import hashlib
import hmac

from figpaddle.errors import HandshakeError
from figpaddle.wire._messages import Challenge, Hello, LinkPurpose, Welcome

#: Length of the nonces in a challenge and in its answer, bytes.
NONCE_BYTES = 32


class Handshake:
    """Creates and verifies the messages of the challenge-response handshake.

    The accepting side sends nothing but a random number before the dialling side has proved that
    it knows the deployment key, so an outsider on the peer port learns and changes nothing. The
    key authenticates the two sides; it doesn't encrypt or sign later messages.

    >>> handshake = Handshake(key=b"k" * 32)
    >>> challenge = Challenge(nonce=b"a" * 32)
    >>> hello = handshake.hello(challenge, sender="one", purpose=LinkPurpose.CONTROL, nonce=b"b" * 32)
    >>> welcome = handshake.welcome(challenge, hello, sender="two")
    >>> handshake.check_welcome(challenge, hello, welcome)
    """

    def __init__(self, *, key: bytes) -> None:
        self._key = key

    def _hmac(self, *fields: bytes) -> bytes:
        digest = hmac.new(self._key, digestmod=hashlib.sha256)
        for field in fields:
            digest.update(len(field).to_bytes(4, "big"))
            digest.update(field)
        return digest.digest()

    def hello(
        self, challenge: Challenge, *, sender: str, purpose: LinkPurpose, nonce: bytes
    ) -> Hello:
        """Return the dialling side's response to ``challenge``."""
        proof = self._hmac(
            b"hello", challenge.nonce, nonce, sender.encode(), purpose.value.encode()
        )
        return Hello(sender=sender, purpose=purpose, nonce=nonce, proof=proof)

    def welcome(self, challenge: Challenge, hello: Hello, *, sender: str) -> Welcome:
        """Verify ``hello`` and return the accepting side's proof; raises HandshakeError."""
        expected = self.hello(
            challenge, sender=hello.sender, purpose=hello.purpose, nonce=hello.nonce
        )
        if not hmac.compare_digest(expected.proof, hello.proof):
            raise HandshakeError(
                what="invalid proof", where="hello", hint="check the deployment key"
            )
        return Welcome(sender=sender, proof=self._welcome_proof(challenge, hello, sender))

    def check_welcome(self, challenge: Challenge, hello: Hello, welcome: Welcome) -> None:
        """Raise HandshakeError unless ``welcome`` proves that its sender knows the key."""
        expected = self._welcome_proof(challenge, hello, welcome.sender)
        if not hmac.compare_digest(expected, welcome.proof):
            raise HandshakeError(
                what="invalid proof", where="welcome", hint="check the deployment key"
            )

    def _welcome_proof(self, challenge: Challenge, hello: Hello, sender: str) -> bytes:
        return self._hmac(b"welcome", challenge.nonce, hello.nonce, sender.encode())
