"""The control instance: answers operators and backend servers, and holds durable state."""

from __future__ import annotations

from typing import Any

import anyio

from figpaddle.errors import DocumentFault, SettingsError
from figpaddle.http1 import HttpRequest, RequestLimits, Responder
from figpaddle.regional._control import ControlApi
from figpaddle.regional._process import RegionalProcess
from figpaddle.regional._quota_holder import QuotaHolder
from figpaddle.regional._register_host import RegisterHost
from figpaddle.regional._register_store import RegisterStore
from figpaddle.regional._stream_records import StreamRecords
from figpaddle.regional._tasks import ContainedTasks
from figpaddle.wire import InstanceHeartbeat, InstanceRole

#: Time for which new calls are still accepted after the request to stop, seconds. Callers learn of it
#: from the answers, which close their connections.
DRAIN_S = 1.0
#: Largest configuration accepted, bytes.
MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024


class ControlProcess(RegionalProcess):
    """Serves calls of operators and backend servers and is a voter of the cluster state."""

    def prepare(self) -> None:
        """Open the store; raises SettingsError or StorageError."""
        settings = self._settings
        if settings.data_folder is None:
            fault = DocumentFault(
                path="data folder", what="is missing", hint="set the path of a folder"
            )
            raise SettingsError(document="settings", faults=(fault,))
        self._store = RegisterStore(folder=settings.data_folder, name=settings.ip)
        self._store.open(first_start=settings.first_start)

    def start(self, tasks: ContainedTasks) -> None:
        """Start the register and the control API, and open their ports."""
        settings = self._settings
        store = self._store
        self._log.info(
            "store_opened",
            complete=store.voter.state.complete,
            voters=",".join(store.voters),
            ballot=store.voter.state.accepted.number,
        )
        self._register = RegisterHost(
            settings=settings,
            mesh=self._mesh,
            follower=self._follower,
            store=store,
            tasks=tasks,
            clock=self._clock,
            rng=self._rng,
            log=self._log,
        )
        self._api = ControlApi(
            settings=settings,
            dialect=self._dialect,
            mesh=self._mesh,
            relaying=self._relaying,
            follower=self._follower,
            register=self._register,
            clock=self._clock,
            boot_clock=self._boot_clock,
            log=self._log,
            metrics=self._metrics,
        )
        self._streams = StreamRecords(
            mesh=self._mesh, clock=self._clock, versions_of=self._api.recent_versions
        )
        self._quotas = QuotaHolder(
            settings=settings,
            mesh=self._mesh,
            follower=self._follower,
            clock=self._clock,
            boot_clock=self._boot_clock,
            log=self._log,
            metrics=self._metrics,
        )
        tasks.start_service(self._register.run)
        tasks.start_service(self._quotas.run)
        tasks.start_service(self._api.run)
        limits = RequestLimits(body_bytes=MAX_CONFIGURATION_BYTES)
        self._control_listener = self._listen(
            settings.control_address, self._interruptible(self._api.handle), limits=lambda: limits
        )

    def heartbeat(self, *, same_region: bool) -> InstanceHeartbeat:
        """Return the heartbeat to send now; only the sample of names depends on the recipient."""
        settings = self._settings
        return InstanceHeartbeat(
            name=settings.ip,
            incarnation=self._mesh.incarnation,
            sequence=self._mesh.next_sequence(),
            role=InstanceRole.CONTROL,
            region=settings.region,
            zone=settings.zone,
            caller_address="",
            readiness=self.readiness(),
            stopping_s=0.0,
            revision=self._follower.state.revision,
            founding=settings.first_start,
            work=(),
            loads=(),
            acquaintances=self._mesh.sample_live_names(same_region=same_region),
            entry_counts=self._mesh.entry_counts(),
            relays=True,
            relayed=self._relaying.enabled,
        )

    def dump(self) -> dict[str, Any]:
        """Return the state of the process for operators, as a JSON object."""
        return {**super().dump(), "quotas": self._quotas.dump()}

    async def handle_forwarded(self, request: HttpRequest, responder: Responder) -> None:
        """Refuse the request: a control instance serves no callers."""
        await responder.answer(404, (), b"")

    async def drain(self, *, since: float) -> None:
        """Accept calls for a moment, and end those in progress."""
        ends_at = since + self._settings.bounds.grace_s
        await anyio.sleep(DRAIN_S)
        self._control_listener.drain()
        await self.finish_requests(ends_at=ends_at)

    async def run_housekeeping(self) -> None:
        """Forget streams that have ended; the control API expires its records itself."""
        self._streams.versions.expire(now=self._clock())
