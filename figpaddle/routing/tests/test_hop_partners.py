"""Requests that leave a region use connections that are already there."""

from __future__ import annotations

import collections
import random

from figpaddle.routing import hop_partner

#: Time for which an idle connection is kept and time that a hop takes, seconds.
KEEP_S, HOP_S = 8.0, 0.6
ENTRIES = 28


def test_a_region_that_spills_opens_few_connections_and_spreads_its_work() -> None:
    """A region at its peak: each entry sends one request a second to another region."""
    rng = random.Random(1)
    ready = [f"10.2.0.{number}" for number in range(ENTRIES)]
    opened = sent = 0
    received: collections.Counter[str] = collections.Counter()
    for number in range(ENTRIES):
        idle: dict[str, list[float]] = {name: [] for name in ready}
        busy: list[tuple[float, str]] = []
        now = 0.0
        while now < 60.0:
            now += rng.expovariate(1.0)
            for ends_at, name in [one for one in busy if one[0] <= now]:
                busy.remove((ends_at, name))
                idle[name].append(ends_at)
            for name in ready:
                idle[name] = [since for since in idle[name] if now - since < KEEP_S]
            partner = hop_partner(
                f"10.1.0.{number}",
                ready,
                is_warm=lambda name: bool(idle[name]),  # noqa: B023
                rng=rng,
            )
            assert partner is not None
            sent += 1
            received[partner] += 1
            if idle[partner]:
                idle[partner].pop()
            else:
                opened += 1
            busy.append((now + HOP_S, partner))
    assert opened < sent / 8
    assert max(received.values()) < 4 * sent / ENTRIES


def test_other_partners_take_over_when_one_is_gone() -> None:
    ready = [f"10.2.0.{number}" for number in range(4)]
    rng = random.Random(1)
    while ready:
        partner = hop_partner("10.1.0.1", ready, is_warm=lambda _: False, rng=rng)
        assert partner in ready
        ready.remove(partner)
    assert hop_partner("10.1.0.1", ready, is_warm=lambda _: False, rng=rng) is None
