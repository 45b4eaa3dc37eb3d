"""Which entry of another region gets a request that leaves this one."""

from __future__ import annotations

import random
from collections.abc import Callable

from figpaddle.routing._ranking import highest_ranked

#: Entries of another region to which one entry sends. A new connection between regions costs a
#: whole round trip, so they are few enough to keep connections to them in use, and more than one,
#: since one may be lost.
HOP_PARTNERS = 3


def hop_partner(
    name: str, ready: list[str], *, is_warm: Callable[[str], bool], rng: random.Random
) -> str | None:
    """Return the entry among ``ready`` to which the entry ``name`` sends, or None for none.

    ``is_warm`` tells where an idle connection leads. Different entries have different partners,
    so that the work is spread.
    """
    partners = highest_ranked(name, ready, count=HOP_PARTNERS)
    warm = [partner for partner in partners if is_warm(partner)]
    return rng.choice(warm or partners) if partners else None
