"""What all instances agree on: the configuration in force and the evacuated zones."""

from __future__ import annotations

import dataclasses
import zlib

import cbor2

from figpaddle.errors import MalformedMessageError


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClusterState:
    """One revision of the agreed state; every change makes the next one.

    >>> state = EMPTY_STATE.with_configuration(3, b"three")
    >>> state.with_configuration(2, b"two") is state
    True
    >>> state.with_evacuation("seoul-a").evacuated
    ('seoul-a',)
    """

    #: Number of changes so far.
    revision: int
    #: Version of the configuration; 0 before the first.
    version: int
    #: The configuration as the operator sent it.
    document: bytes
    #: Availability zones whose backend servers get nothing.
    evacuated: tuple[str, ...]

    def with_configuration(self, version: int, document: bytes) -> ClusterState:
        """Return the state after a configuration was sent; only a higher version changes it."""
        if version <= self.version:
            return self
        return dataclasses.replace(
            self, revision=self.revision + 1, version=version, document=document
        )

    def with_evacuation(self, zone: str) -> ClusterState:
        """Return the state after the evacuation of ``zone`` began."""
        if zone in self.evacuated:
            return self
        evacuated = tuple(sorted((*self.evacuated, zone)))
        return dataclasses.replace(self, revision=self.revision + 1, evacuated=evacuated)

    def without_evacuation(self, zone: str) -> ClusterState:
        """Return the state after the evacuation of ``zone`` was withdrawn."""
        if zone not in self.evacuated:
            return self
        evacuated = tuple(one for one in self.evacuated if one != zone)
        return dataclasses.replace(self, revision=self.revision + 1, evacuated=evacuated)


#: Level of compression: the fastest. Configurations repeat themselves and shrink to a sixth; they
#: cross the links between regions several times for each change.
COMPRESSION_LEVEL = 1

#: The state before any change.
EMPTY_STATE = ClusterState(revision=0, version=0, document=b"", evacuated=())


def encode_state(state: ClusterState) -> bytes:
    """Return the bytes that stand for ``state``."""
    document = zlib.compress(state.document, COMPRESSION_LEVEL)
    return cbor2.dumps([state.revision, state.version, document, list(state.evacuated)])


def decode_state(data: bytes) -> ClusterState:
    """Return the state that ``data`` stands for; empty bytes are the first one.

    Raises MalformedMessageError.
    """
    if not data:
        return EMPTY_STATE
    try:
        revision, version, document, evacuated = cbor2.loads(data)
        unpacked = zlib.decompress(document)
    except (cbor2.CBORDecodeError, ValueError, TypeError, zlib.error) as error:
        raise MalformedMessageError(what="not a cluster state", where="register") from error
    return ClusterState(
        revision=revision, version=version, document=unpacked, evacuated=tuple(evacuated)
    )
