"""Cluster state that all instances agree on: configuration, evacuated zones and voters.

An encoded state is a CBOR array of four fields, which all builds read. A map with further fields may
follow it. Earlier builds read the array and stop there, so they leave the map out of the states that
they write.
"""

from __future__ import annotations

import dataclasses
import io
import zlib
from typing import Any

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
    #: Names of the voters of the register, sorted; empty as long as they are those that were recorded
    #: beside the register by an earlier build.
    voters: tuple[str, ...] = ()
    #: The voters before the change in progress; empty if there is none.
    previous_voters: tuple[str, ...] = ()
    #: Number of orders that were confirmed for each availability zone, sorted by zone. It grows with orders
    #: that change nothing, too, and the revision doesn't.
    zone_orders: tuple[tuple[str, int], ...] = ()

    def with_configuration(self, version: int, document: bytes) -> ClusterState:
        """Return the state with a new configuration; a version that isn't higher is ignored."""
        if version <= self.version:
            return self
        return dataclasses.replace(
            self, revision=self.revision + 1, version=version, document=document
        )

    def order_count(self, zone: str) -> int:
        """Return the number of confirmed orders for an availability zone."""
        return dict(self.zone_orders).get(zone, 0)

    def overtakes(self, zone: str, *, evacuated: bool, base: int | None) -> bool:
        """Return whether an order for ``zone`` must have no effect, since another one followed it.

        ``base`` is the number of orders that were confirmed as this one was given; None if its sender
        doesn't state it. An order that asks for what is in force is never overtaken.

        >>> evacuated = EMPTY_STATE.with_evacuation("seoul-a")
        >>> evacuated.overtakes("seoul-a", evacuated=False, base=0)
        True
        >>> evacuated.overtakes("seoul-a", evacuated=False, base=1)
        False
        """
        if base is None or base == self.order_count(zone):
            return False
        return (zone in self.evacuated) != evacuated

    def with_evacuation(self, zone: str) -> ClusterState:
        """Return the state with ``zone`` evacuated."""
        state = self._with_order(zone)
        if zone in self.evacuated:
            return state
        evacuated = tuple(sorted((*self.evacuated, zone)))
        return dataclasses.replace(state, revision=self.revision + 1, evacuated=evacuated)

    def without_evacuation(self, zone: str) -> ClusterState:
        """Return the state with the evacuation of ``zone`` withdrawn."""
        state = self._with_order(zone)
        if zone not in self.evacuated:
            return state
        evacuated = tuple(other for other in self.evacuated if other != zone)
        return dataclasses.replace(state, revision=self.revision + 1, evacuated=evacuated)

    def _with_order(self, zone: str) -> ClusterState:
        orders = {**dict(self.zone_orders), zone: self.order_count(zone) + 1}
        return dataclasses.replace(self, zone_orders=tuple(sorted(orders.items())))

    def with_voters(self, names: tuple[str, ...], *, previous: tuple[str, ...]) -> ClusterState:
        """Return the state that begins the change from the voters ``previous`` to ``names``."""
        return dataclasses.replace(
            self, revision=self.revision + 1, voters=names, previous_voters=previous
        )

    def with_settled_voters(self) -> ClusterState:
        """Return the state that ends the change of the voters in progress."""
        if not self.previous_voters:
            return self
        return dataclasses.replace(self, revision=self.revision + 1, previous_voters=())


#: Fastest zlib level. Configurations are repetitive, so that even this level shrinks them to a
#: sixth. They are compressed because each change crosses the links between regions several times.
COMPRESSION_LEVEL = 1

#: State before the first change.
EMPTY_STATE = ClusterState(revision=0, version=0, document=b"", evacuated=())


def encode_state(state: ClusterState) -> bytes:
    """Return the encoded ``state``."""
    document = zlib.compress(state.document, COMPRESSION_LEVEL)
    data = cbor2.dumps([state.revision, state.version, document, list(state.evacuated)])
    fields: dict[str, Any] = {}
    if state.voters:
        fields["voters"] = list(state.voters)
    if state.previous_voters:
        fields["previous"] = list(state.previous_voters)
    if state.zone_orders:
        fields["orders"] = dict(state.zone_orders)
    return data + cbor2.dumps(fields) if fields else data


def decode_state(data: bytes) -> ClusterState:
    """Return the state encoded in ``data``; empty bytes stand for EMPTY_STATE.

    Raises MalformedMessageError.
    """
    if not data:
        return EMPTY_STATE
    try:
        (revision, version, document, evacuated), fields = _decode_items(data)
        return ClusterState(
            revision=revision,
            version=version,
            document=zlib.decompress(document),
            evacuated=tuple(evacuated),
            voters=tuple(fields.get("voters", ())),
            previous_voters=tuple(fields.get("previous", ())),
            zone_orders=tuple(sorted(fields.get("orders", {}).items())),
        )
    except (cbor2.CBORDecodeError, ValueError, TypeError, AttributeError, zlib.error) as error:
        raise MalformedMessageError(what="not a cluster state", where="register") from error


def decode_voters(data: bytes) -> tuple[tuple[str, ...], tuple[str, ...]]:
    """Return the voters and the previous voters of an encoded state, without its document.

    Raises MalformedMessageError.
    """
    if not data:
        return (), ()
    try:
        fields = _decode_items(data)[1]
        return tuple(fields.get("voters", ())), tuple(fields.get("previous", ()))
    except (cbor2.CBORDecodeError, ValueError, TypeError, AttributeError) as error:
        raise MalformedMessageError(what="not a cluster state", where="register") from error


def _decode_items(data: bytes) -> tuple[Any, Any]:
    """Return the array of a state and the map that follows it, which may be absent."""
    source = io.BytesIO(data)
    decoder = cbor2.CBORDecoder(source)
    array = decoder.decode()
    try:
        return array, decoder.decode()
    except cbor2.CBORDecodeEOF:
        return array, {}
