"""Sends records of backend servers to instances that may not know them."""

from __future__ import annotations

from figpaddle.regional._mesh import Mesh
from figpaddle.routing import highest_ranked
from figpaddle.wire import BackendNews, BackendRecord, InstanceHeartbeat, InstanceRole

#: Records in one datagram; they stay within one packet.
RECORDS_IN_DATAGRAM = 6
#: Entries that tell a new neighbour what they know: one, and another in case it is lost.
INTRODUCERS = 2


def send_records(mesh: Mesh, records: list[BackendRecord], name: str) -> None:
    """Send ``records`` to the instance called ``name``."""
    for first in range(0, len(records), RECORDS_IN_DATAGRAM):
        part = tuple(records[first : first + RECORDS_IN_DATAGRAM])
        mesh.tell(BackendNews(records=part), [name])


def introduces(name: str, newcomer: InstanceHeartbeat, neighbours: list[str], region: str) -> bool:
    """Return whether the entry ``name`` tells ``newcomer`` about the backend servers of ``region``.

    ``neighbours`` are the other entries there. Control knows them too, but may have lost them
    together with the newcomer: it keeps them in memory only.
    """
    if newcomer.role is not InstanceRole.ENTRY or newcomer.region != region:
        return False
    others = {*neighbours, name} - {newcomer.name}
    return name in highest_ranked(newcomer.name, others, count=INTRODUCERS)
