"""Builds the mesh of an entry in the test process, for tests of single components."""

from __future__ import annotations

import random

import anyio
import structlog

from figpaddle.http1 import ConnectionPool
from figpaddle.regional import Bounds, ProcessSettings
from figpaddle.regional._mesh import Mesh
from figpaddle.telemetry import MetricsRegistry
from figpaddle.wire import InstanceRole

OWN_IP = "127.0.0.1"


def make_mesh(pool: ConnectionPool, *, port: int = 0) -> Mesh:
    """Return the mesh of an entry whose peer port is ``port``."""
    settings = ProcessSettings(
        label="e",
        ip=OWN_IP,
        role=InstanceRole.ENTRY,
        region="north",
        zone="n-a",
        zones={"n-a": "north"},
        caller_address="",
        readiness_address="",
        control_address="",
        lookup_address="",
        peer_port=port,
        metrics_port=0,
        seeds=(),
        first_start=False,
        data_folder=None,
        max_descriptors=100,
        bounds=Bounds(),
    )
    return Mesh(
        settings=settings,
        incarnation=1,
        pool=pool,
        clock=anyio.current_time,
        rng=random.Random(1),
        log=structlog.get_logger(),
        metrics=MetricsRegistry(),
    )
