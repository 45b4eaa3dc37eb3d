"""Selection of the entry instance in another region that receives forwarded requests."""

from __future__ import annotations

import random
from collections.abc import Callable

from figpaddle.routing._ranking import highest_ranked

#: Number of entry instances in another region that one entry instance forwards to. A new connection
#: between regions costs a full round trip, so there are few enough to keep their connections in
#: use, and more than one, since one may be lost.
FORWARDING_PEERS = 3


def choose_forwarding_peer(
    name: str, ready: list[str], *, is_warm: Callable[[str], bool], rng: random.Random
) -> str | None:
    """Return the entry among ``ready`` to which the entry ``name`` forwards, or None.

    ``is_warm`` says whether there is an idle connection to an entry. Rendezvous hashing gives
    different entries different peers, which spreads the load.
    """
    peers = highest_ranked(name, ready, count=FORWARDING_PEERS)
    warm_peers = [peer for peer in peers if is_warm(peer)]
    return rng.choice(warm_peers or peers) if peers else None
