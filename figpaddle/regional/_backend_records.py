"""Sends records of backend servers to instances that may not know them, and tells how they come."""

from __future__ import annotations

from figpaddle.regional._mesh import Mesh
from figpaddle.routing import Fleet, highest_ranked
from figpaddle.wire import BackendNews, BackendRecord, InstanceHeartbeat, InstanceRole

#: Records in one datagram, so that it fits into one packet.
RECORDS_PER_DATAGRAM = 6
#: Number of entries that send their records to a new one; two, in case the records of one get lost.
RECORD_SENDERS = 2


def send_records(mesh: Mesh, records: list[BackendRecord], name: str) -> None:
    """Send ``records`` to the instance called ``name``."""
    for news in in_datagrams(records):
        mesh.send_datagrams(news, [name])


def reports_heard_at(mesh: Mesh, fleet: Fleet) -> float:
    """Return when a report of a backend server of the region last came, or would have come.

    Backend servers report to the control instances, which tell the others.
    """
    return max((*mesh.controls_heard_at(), fleet.newest_report_at))


def in_datagrams(records: list[BackendRecord]) -> list[BackendNews]:
    """Return ``records`` as messages that each fit into one packet."""
    return [
        BackendNews(records=tuple(records[start : start + RECORDS_PER_DATAGRAM]))
        for start in range(0, len(records), RECORDS_PER_DATAGRAM)
    ]


def is_record_sender(
    name: str, newcomer: InstanceHeartbeat, neighbours: list[str], region: str
) -> bool:
    """Return whether the entry ``name`` sends its records of ``region`` to ``newcomer``.

    ``neighbours`` are the other entries of the region. Control instances also send their records,
    but hold them only in memory: a failure that restarts the newcomer may restart them as well.
    """
    if newcomer.role is not InstanceRole.ENTRY or newcomer.region != region:
        return False
    others = {*neighbours, name} - {newcomer.name}
    return name in highest_ranked(newcomer.name, others, count=RECORD_SENDERS)
