"""Forwarding to another region reuses existing connections."""

from __future__ import annotations

import collections
import random

from figpaddle.routing import choose_forwarding_peer

#: Keep-alive time of an idle connection and duration of a forwarded request, seconds.
KEEP_ALIVE_S, FORWARDED_REQUEST_S = 8.0, 0.6
ENTRIES = 28


def test_forwarding_opens_few_connections_and_spreads_the_load() -> None:
    """Each entry of a region at its peak forwards one request a second to another region."""
    rng = random.Random(1)
    ready = [f"10.2.0.{number}" for number in range(ENTRIES)]
    opened = sent = 0
    requests_by_peer: collections.Counter[str] = collections.Counter()
    for number in range(ENTRIES):
        idle_since: dict[str, list[float]] = {name: [] for name in ready}
        in_flight: list[tuple[float, str]] = []
        now = 0.0
        while now < 60.0:
            now += rng.expovariate(1.0)
            for ends_at, name in [request for request in in_flight if request[0] <= now]:
                in_flight.remove((ends_at, name))
                idle_since[name].append(ends_at)
            for name in ready:
                idle_since[name] = [
                    idle_at for idle_at in idle_since[name] if now - idle_at < KEEP_ALIVE_S
                ]
            peer = choose_forwarding_peer(
                f"10.1.0.{number}",
                ready,
                is_warm=lambda name: bool(idle_since[name]),  # noqa: B023
                rng=rng,
            )
            assert peer is not None
            sent += 1
            requests_by_peer[peer] += 1
            if idle_since[peer]:
                idle_since[peer].pop()
            else:
                opened += 1
            in_flight.append((now + FORWARDED_REQUEST_S, peer))
    assert opened < sent / 8
    assert max(requests_by_peer.values()) < 4 * sent / ENTRIES


def test_another_peer_is_chosen_when_one_is_gone() -> None:
    ready = [f"10.2.0.{number}" for number in range(4)]
    rng = random.Random(1)
    while ready:
        peer = choose_forwarding_peer("10.1.0.1", ready, is_warm=lambda _: False, rng=rng)
        assert peer in ready
        ready.remove(peer)
    assert choose_forwarding_peer("10.1.0.1", ready, is_warm=lambda _: False, rng=rng) is None
