"""Which software versions of each service have run lately."""

from __future__ import annotations

import dataclasses
from collections.abc import Collection, Iterable, Mapping

#: Longest time for which nobody may have vouched for the versions of a region, seconds. What started and
#: ended meanwhile is in the statements that a decision needs besides.
MAX_SILENCE_S = 15.0
#: Time after which a version that was seen no more is forgotten, seconds; longer than any stream.
VERSION_TTL_S = 120.0


@dataclasses.dataclass(kw_only=True, slots=True)
class _RegionHistory:
    #: When the versions of the region became known, without a longer silence since, seconds.
    known_since: float
    #: When somebody who would know of another version last vouched for them, seconds.
    vouched_at: float
    #: When each version was last vouched for, seconds; "" stands for servers whose version isn't known.
    seen_at: dict[str, float] = dataclasses.field(default_factory=dict)


class VersionHistory:
    """Tells the version at which a stream must have begun if only one has run since.

    What was noted is older than a stream that has just begun, so a conclusion also needs statements that
    were asked for after it.

    >>> history = VersionHistory()
    >>> for now in range(20):
    ...     history.note("model", "north", ["v1"], vouched_at=now)
    >>> history.sole_version("model", ["north"], stated=[{"north": ["v1"]}], window_s=12.0, now=19.0)
    'v1'
    >>> history.sole_version(
    ...     "model", ["north"], stated=[{"north": ["v1", "v2"]}], window_s=12.0, now=19.0
    ... ) is None
    True
    """

    def __init__(self) -> None:
        self._regions: dict[tuple[str, str], _RegionHistory] = {}

    def note(
        self, service: str, region: str, versions: Iterable[str], *, vouched_at: float
    ) -> None:
        """Record the versions of all servers of a service that ran in a region at ``vouched_at``.

        That is the last moment at which somebody who would know of another version was heard.
        """
        history = self._regions.get((service, region))
        if history is None or vouched_at - history.vouched_at > MAX_SILENCE_S:
            seen_at = {} if history is None else history.seen_at
            history = self._regions[service, region] = _RegionHistory(
                known_since=vouched_at, vouched_at=vouched_at, seen_at=seen_at
            )
        history.vouched_at = max(history.vouched_at, vouched_at)
        history.seen_at.update(dict.fromkeys(versions, history.vouched_at))
        for version, seen_at_s in list(history.seen_at.items()):
            if history.vouched_at - seen_at_s > VERSION_TTL_S:
                del history.seen_at[version]

    def sole_version(
        self,
        service: str,
        regions: Collection[str],
        *,
        stated: Iterable[Mapping[str, Collection[str]]],
        window_s: float,
        now: float,
    ) -> str | None:
        """Return the only version that has run in ``regions`` in the last ``window_s``, or None.

        None if that isn't known for all of the window in each region. ``stated`` are the versions by
        region in the answers to a question that was asked after the stream broke off; one without a
        region leaves it open.
        """
        versions: set[str] = set()
        for region in regions:
            history = self._regions.get((service, region))
            if (
                history is None
                or now - history.vouched_at > MAX_SILENCE_S
                or now - history.known_since < window_s
            ):
                return None
            until = history.vouched_at - window_s
            versions |= {version for version, at in history.seen_at.items() if at >= until}
        for statement in stated:
            for region in regions:
                if region not in statement:
                    return None
                versions.update(statement[region])
        return versions.pop() if len(versions) == 1 and "" not in versions else None

    def expire(self, *, now: float) -> None:
        """Forget services and regions that weren't noted for long."""
        for key, history in list(self._regions.items()):
            if now - history.vouched_at > VERSION_TTL_S:
                del self._regions[key]


def majority_heard_at(heard_at: Collection[float]) -> float | None:
    """Return the last moment at which more than half of some instances had been heard since.

    >>> majority_heard_at([10.0, 3.0, 7.0])
    7.0
    >>> majority_heard_at([10.0, 3.0])
    3.0
    """
    if not heard_at:
        return None
    return sorted(heard_at, reverse=True)[len(heard_at) // 2]
