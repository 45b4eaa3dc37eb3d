"""Mutual proof of the deployment key when a link between instances opens."""

from __future__ import annotations

import hashlib
import hmac

from figpaddle.errors import HandshakeError
from figpaddle.wire._messages import Challenge, Hello, LinkPurpose, Welcome

#: Length of the random number in a challenge, bytes.
NONCE_BYTES = 32


class Handshake:
    """The deployment key and the digests made with it.

    Nothing but a random number is sent before the dialling side has proved that it holds the
    key, so an outsider on the peer port learns and changes nothing. The key proves membership
    and doesn't encrypt what follows.

    >>> shared = Handshake(key=b"k" * 32)
    >>> challenge = Challenge(nonce=b"a" * 32)
    >>> hello = shared.hello(challenge, sender="one", purpose=LinkPurpose.CONTROL, nonce=b"b" * 32)
    >>> welcome = shared.welcome(challenge, hello, sender="two")
    >>> shared.check_welcome(challenge, hello, welcome)
    """

    def __init__(self, *, key: bytes) -> None:
        self._key = key

    def _proof(self, *parts: bytes) -> bytes:
        digest = hmac.new(self._key, digestmod=hashlib.sha256)
        for part in parts:
            digest.update(len(part).to_bytes(4, "big"))
            digest.update(part)
        return digest.digest()

    def hello(
        self, challenge: Challenge, *, sender: str, purpose: LinkPurpose, nonce: bytes
    ) -> Hello:
        """Return the dialling side's answer to ``challenge``."""
        proof = self._proof(
            b"hello", challenge.nonce, nonce, sender.encode(), purpose.value.encode()
        )
        return Hello(sender=sender, purpose=purpose, nonce=nonce, proof=proof)

    def welcome(self, challenge: Challenge, hello: Hello, *, sender: str) -> Welcome:
        """Return the accepting side's proof, or raise HandshakeError for a wrong ``hello``."""
        expected = self.hello(
            challenge, sender=hello.sender, purpose=hello.purpose, nonce=hello.nonce
        )
        if not hmac.compare_digest(expected.proof, hello.proof):
            raise HandshakeError(what="wrong proof", where="hello", mend="check the deployment key")
        return Welcome(sender=sender, proof=self._welcome_proof(challenge, hello, sender))

    def check_welcome(self, challenge: Challenge, hello: Hello, welcome: Welcome) -> None:
        """Raise HandshakeError unless ``welcome`` proves that its sender holds the key."""
        expected = self._welcome_proof(challenge, hello, welcome.sender)
        if not hmac.compare_digest(expected, welcome.proof):
            raise HandshakeError(
                what="wrong proof", where="welcome", mend="check the deployment key"
            )

    def _welcome_proof(self, challenge: Challenge, hello: Hello, sender: str) -> bytes:
        return self._proof(b"welcome", challenge.nonce, hello.nonce, sender.encode())
