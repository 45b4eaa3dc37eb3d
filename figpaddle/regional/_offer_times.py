"""Times in which places decide on requests that are offered to them, and in which two entries take turns."""

from __future__ import annotations

#: Assumed round-trip time to another region, seconds.
ROUND_TRIP_S = 0.17
#: Time in which a server refuses a request that it doesn't take, seconds, with the delays of two busy
#: processes; then the request may be waiting there. Servers must not work on a request at two places for
#: more than 0.4 s.
REFUSAL_TIMEOUT_S = 0.15
#: The same where another entry sends the request, with a round trip between regions. The silent server
#: learns of its end half a round trip later, as the other one does of the request.
FORWARDED_REFUSAL_TIMEOUT_S = 0.3
#: Time from reading a statement of a silence within which the entry that forwarded the request begins an
#: offer, seconds.
TURN_BEGIN_S = 0.1
#: Time after such a statement in which the entry that made it offers the request to no other server, seconds:
#: until the connection of the one that forwarded it would be closed, if that one has found a place.
SENDER_TURN_S = ROUND_TRIP_S + TURN_BEGIN_S + 2 * FORWARDED_REFUSAL_TIMEOUT_S
#: Time after which a further statement is overdue, seconds: the other entry no longer decides.
TURN_LAPSE_S = 2 * SENDER_TURN_S
