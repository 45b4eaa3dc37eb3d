"""How long what a backend server told of its warm-up counts at an entry."""

from __future__ import annotations

#: Time without a word of a control instance, or of a backend server through one, after which an entry
#: counts as out of contact with them, seconds; several heartbeats of the former.
CONTROL_SILENCE_S = 0.8
#: Time for which a backend server counts as warm after it said so, seconds. In contact, its next word comes
#: by itself, and may come late. Out of contact, the entry asks it.
MAX_AGE_IN_CONTACT_S, MAX_AGE_OUT_OF_CONTACT_S = 5.0, 0.8
#: How long before the end of that time it is asked, seconds; an answer takes a slot there.
ASKED_AHEAD_S = 0.4


def max_warmth_age_s(*, heard_at: float, now: float) -> float:
    """Return how old a backend server's word that it is warm may be.

    ``heard_at`` is when the entry last heard a control instance.

    >>> max_warmth_age_s(heard_at=10.0, now=10.3)
    5.0
    >>> max_warmth_age_s(heard_at=10.0, now=13.0)
    0.8
    """
    in_contact = now - heard_at <= CONTROL_SILENCE_S
    return MAX_AGE_IN_CONTACT_S if in_contact else MAX_AGE_OUT_OF_CONTACT_S
