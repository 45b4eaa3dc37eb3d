"""Keeps the directory of instances up to date and the links to them open."""

from __future__ import annotations

import contextlib
from typing import Any

import anyio

from figpaddle.coordination import InstanceDirectory
from figpaddle.daemon._component import Component
from figpaddle.daemon._logs import Log
from figpaddle.daemon._peers import PeerNetwork
from figpaddle.errors import PeerUnreachableError
from figpaddle.wire import DirectoryExchange, InstanceInfo, InstanceState, Message

#: Interval of directory exchanges with the instances to join by, seconds.
JOIN_INTERVAL_S = 1.0
#: Timeout of a directory exchange, seconds.
JOIN_TIMEOUT_S = 1.0


class Membership(Component):
    """Joins the deployment and spreads news of instances."""

    def __init__(
        self,
        *,
        directory: InstanceDirectory,
        network: PeerNetwork,
        join: tuple[str, ...],
        log: Log,
    ) -> None:
        self._directory = directory
        self._network = network
        self._join = join
        self._log = log
        network.register(DirectoryExchange, self._on_directory)

    @property
    def name(self) -> str:
        """Key of its part in the state dump."""
        return "membership"

    def dump(self, *, now: float, member: str | None) -> Any:
        """Return the known instances and the open links."""
        return {
            "instances": [
                {"name": info.name, "region": info.region, "state": info.state.value}
                for info in self._directory.instances
            ],
            "links": list(self._network.open_links),
        }

    async def run(self) -> None:
        """Exchange directories with the instances to join by until cancelled."""
        while True:
            for address in self._join:
                with contextlib.suppress(PeerUnreachableError):
                    await self._exchange(address)
            await anyio.sleep(JOIN_INTERVAL_S)

    async def leave(self) -> None:
        """Tell the peers that this instance takes no new work."""
        self._announce_state(InstanceState.LEAVING)

    async def depart(self) -> None:
        """Tell the peers that this instance has left."""
        self._announce_state(InstanceState.GONE)

    def _announce_state(self, state: InstanceState) -> None:
        own = self._directory.own.with_state(state)
        self._directory.merge((own,))
        for peer in self._directory.peers():
            self._network.post(peer.name, DirectoryExchange(instances=(own,)))

    async def _exchange(self, address: str) -> None:
        if address in {peer.peer_address for peer in self._directory.peers()}:
            return
        question = DirectoryExchange(instances=self._directory.instances)
        reply = await self._network.ask(address, question, timeout_s=JOIN_TIMEOUT_S)
        if isinstance(reply, DirectoryExchange):
            self._take(reply.instances)

    async def _on_directory(self, peer: str, item: DirectoryExchange) -> Message | None:
        self._take(item.instances)
        return DirectoryExchange(instances=self._directory.instances)

    def _take(self, infos: tuple[InstanceInfo, ...]) -> None:
        changed = self._directory.merge(infos)
        if not changed:
            return
        for info in changed:
            self._log.info("instance_seen", peer=info.name, state=info.state.value)
        peers = self._directory.peers()
        self._network.set_addresses({peer.name: peer.peer_address for peer in peers})
        news = DirectoryExchange(instances=changed)
        for peer in peers:
            self._network.post(peer.name, news)
