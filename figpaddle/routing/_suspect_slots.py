"""Slots that keep suspect requests apart."""

from __future__ import annotations

#: Time after which a suspect's slot on a backend server expires if it was not released, seconds.
SUSPECT_SLOT_TTL_S = 120.0


class SuspectSlots:
    """Limits each backend server to one suspect at a time.

    >>> slots = SuspectSlots()
    >>> slots.take("e1", b"one", now=0.0), slots.take("e1", b"two", now=0.0)
    (True, False)
    """

    def __init__(self) -> None:
        self._holders: dict[str, tuple[bytes, float]] = {}

    def take(self, backend: str, digest: bytes, *, now: float) -> bool:
        """Give the slot of ``backend`` to a suspect; return False while another suspect has it."""
        holder_digest, taken_at = self._holders.get(backend, (digest, now))
        if holder_digest != digest and now - taken_at < SUSPECT_SLOT_TTL_S:
            return False
        self._holders[backend] = (digest, now)
        return True

    def release(self, backend: str, digest: bytes) -> None:
        """Release the slot of ``backend`` if ``digest`` has it."""
        if self._holders.get(backend, (b"", 0.0))[0] == digest:
            del self._holders[backend]
