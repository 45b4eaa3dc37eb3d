"""Connects the membership protocol to the clock, the network and the instance directory."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc

from figpaddle.coordination import (
    Call,
    CallFinished,
    InstanceDirectory,
    MemberChanged,
    MemberRemoved,
    MembershipEffect,
    MembershipEvent,
    MembershipTick,
    OwnStateChanged,
    ProbeRequested,
    RequestReceived,
    Respond,
)
from figpaddle.coordination import Membership as MembershipCore
from figpaddle.daemon._component import Component
from figpaddle.daemon._one_shot_exchange import ExchangeClient, ExchangeServer
from figpaddle.daemon._peers import PeerNetwork
from figpaddle.errors import WireError
from figpaddle.telemetry import Log
from figpaddle.wire import InstanceState, Message

#: Interval of the protocol's timer events, seconds.
TICK_INTERVAL_S = 0.2
#: Time for which a stopping process announces its departure, seconds.
DEPARTURE_SPREAD_S = 0.3
#: Number of instances that a leaving one notifies directly; gossip reaches the others.
DIRECT_NOTICE_PEERS = 8
#: Timeout for the reply to an exchange, which may involve a probe of another instance, seconds.
EXCHANGE_TIMEOUT_S = 3.0


class Membership(Component):
    """Joins the deployment, detects failed instances and spreads membership changes."""

    def __init__(
        self,
        *,
        directory: InstanceDirectory,
        network: PeerNetwork,
        join: tuple[str, ...],
        key: bytes,
        own_ip: str,
        rng: random.Random,
        clock: Callable[[], float],
        log: Log,
    ) -> None:
        self._directory = directory
        self._network = network
        self._clock = clock
        self._log = log
        self._core = MembershipCore(own=directory.own, join=join, rng=rng)
        self._client = ExchangeClient(key=key, own_ip=own_ip)
        self._reply_callbacks: dict[int, Callable[[Message], None]] = {}
        self._last_token = 0
        self._tasks: anyio.abc.TaskGroup | None = None
        server = ExchangeServer(key=key, handler=self._on_exchange)
        network.serve_exchanges(server.process_request)
        network.set_broken_link_handler(self._on_broken_link)

    @property
    def name(self) -> str:
        """Key of this component's section in the state dump."""
        return "membership"

    def dump(self, *, now: float, member: str | None) -> Any:
        """Return the known instances and the open links."""
        records = self._core.records
        return {
            "instances": [
                {
                    "name": record.info.name,
                    "region": record.info.region,
                    "state": record.info.state.value,
                }
                for record in records
            ],
            "incarnations": {record.info.name: record.info.incarnation for record in records},
            "suspected": [record.info.name for record in records if record.suspected],
            "links": list(self._network.open_links),
            "spreading": self._core.queued_updates,
            "exchanges": {
                "begun": self._client.exchanges,
                "bytes_sent": self._client.bytes_sent,
                "bytes_received": self._client.bytes_received,
            },
        }

    async def run(self) -> None:
        """Run the protocol's timer until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            while True:
                self._handle_event(MembershipTick())
                await anyio.sleep(TICK_INTERVAL_S)

    async def announce_leaving(self) -> None:
        """Announce that this instance accepts no new work."""
        self._change_own_state(InstanceState.LEAVING)

    async def announce_departure(self) -> None:
        """Announce that this instance has left, and allow time for the gossip to spread."""
        self._change_own_state(InstanceState.GONE)
        await anyio.sleep(DEPARTURE_SPREAD_S)

    def _change_own_state(self, state: InstanceState) -> None:
        self._handle_event(OwnStateChanged(state=state))
        for peer in self._directory.peers()[:DIRECT_NOTICE_PEERS]:
            self._handle_event(ProbeRequested(name=peer.name))

    def _handle_event(self, event: MembershipEvent) -> None:
        for effect in self._core.handle(event, now=self._clock()):
            self._apply_effect(effect)

    def _apply_effect(self, effect: MembershipEffect) -> None:
        if isinstance(effect, Call):
            if self._tasks is not None:
                self._tasks.start_soon(self._call, effect)
        elif isinstance(effect, Respond):
            self._reply_callbacks.pop(effect.token, _ignore)(effect.item)
        elif isinstance(effect, MemberChanged):
            self._on_member_changed(effect)
        else:
            self._on_member_removed(effect)

    async def _call(self, call: Call) -> None:
        reply: Message | None
        try:
            reply = await self._client.exchange(call.address, call.item, timeout_s=call.timeout_s)
        except WireError:
            reply = None
        self._handle_event(CallFinished(call_id=call.call_id, reply=reply))

    async def _on_exchange(self, message: Message) -> Message | None:
        self._last_token += 1
        token = self._last_token
        replied = anyio.Event()
        replies: list[Message] = []

        def respond(reply: Message) -> None:
            replies.append(reply)
            replied.set()

        self._reply_callbacks[token] = respond
        try:
            self._handle_event(RequestReceived(token=token, item=message))
            with anyio.move_on_after(EXCHANGE_TIMEOUT_S):
                await replied.wait()
        finally:
            self._reply_callbacks.pop(token, None)
        return replies[0] if replies else None

    def _on_broken_link(self, peer: str) -> None:
        self._handle_event(ProbeRequested(name=peer))

    def _on_member_changed(self, change: MemberChanged) -> None:
        info = change.info
        self._directory.merge((info,))
        self._log.info(
            "instance_changed",
            peer=info.name,
            state=info.state.value,
            incarnation=info.incarnation,
        )
        self._update_links()

    def _on_member_removed(self, removed: MemberRemoved) -> None:
        self._directory.remove(removed.name)
        self._log.info("instance_forgotten", peer=removed.name)

    def _update_links(self) -> None:
        peers = self._directory.peers()
        self._network.set_addresses({peer.name: peer.peer_address for peer in peers})


def _ignore(message: Message) -> None:
    """Drop a reply whose exchange has already ended."""
