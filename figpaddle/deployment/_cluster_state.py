"""Cluster state that all instances agree on: current configuration and evacuated zones."""

from __future__ import annotations

import dataclasses
import zlib

import cbor2

from figpaddle.errors import MalformedMessageError


@dataclasses.dataclass(frozen=True, kw_only=True)
class ClusterState:
    """One revision of the cluster state; each change creates the next revision.

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
    #: The configuration document as the operator sent it.
    document: bytes
    #: Availability zones whose backend servers get no requests.
    evacuated: tuple[str, ...]

    def with_configuration(self, version: int, document: bytes) -> ClusterState:
        """Return the state with a new configuration; a version that isn't higher is ignored."""
        if version <= self.version:
            return self
        return dataclasses.replace(
            self, revision=self.revision + 1, version=version, document=document
        )

    def with_evacuation(self, zone: str) -> ClusterState:
        """Return the state with ``zone`` evacuated."""
        if zone in self.evacuated:
            return self
        evacuated = tuple(sorted((*self.evacuated, zone)))
        return dataclasses.replace(self, revision=self.revision + 1, evacuated=evacuated)

    def without_evacuation(self, zone: str) -> ClusterState:
        """Return the state with the evacuation of ``zone`` withdrawn."""
        if zone not in self.evacuated:
            return self
        evacuated = tuple(other for other in self.evacuated if other != zone)
        return dataclasses.replace(self, revision=self.revision + 1, evacuated=evacuated)


#: Fastest zlib level. Configurations are repetitive, so that even this level shrinks them to a
#: sixth. They are compressed because each change crosses the links between regions several times.
COMPRESSION_LEVEL = 1

#: State before the first change.
EMPTY_STATE = ClusterState(revision=0, version=0, document=b"", evacuated=())


def encode_state(state: ClusterState) -> bytes:
    """Return the encoded ``state``."""
    document = zlib.compress(state.document, COMPRESSION_LEVEL)
    return cbor2.dumps([state.revision, state.version, document, list(state.evacuated)])


def decode_state(data: bytes) -> ClusterState:
    """Return the state encoded in ``data``; empty bytes stand for EMPTY_STATE.

    Raises MalformedMessageError.
    """
    if not data:
        return EMPTY_STATE
    try:
        revision, version, document, evacuated = cbor2.loads(data)
        decompressed = zlib.decompress(document)
    except (cbor2.CBORDecodeError, ValueError, TypeError, zlib.error) as error:
        raise MalformedMessageError(what="not a cluster state", where="register") from error
    return ClusterState(
        revision=revision, version=version, document=decompressed, evacuated=tuple(evacuated)
    )
