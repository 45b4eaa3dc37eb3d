"""Keeps which software version began each stream, for entries that ask."""

from __future__ import annotations

from collections.abc import Callable

from figpaddle.regional._mesh import Mesh
from figpaddle.routing import StreamVersions
from figpaddle.wire import Message, RegionVersions, StreamNews, StreamQuery, StreamReply


class StreamRecords:
    """The origins of streams that entries tell, at an entry or a control instance.

    Control instances keep them too, since all entries may end at once. ``versions_of`` returns what
    this instance states of the versions of a service.
    """

    def __init__(
        self,
        *,
        mesh: Mesh,
        clock: Callable[[], float],
        versions_of: Callable[[str], tuple[RegionVersions, ...]] = lambda service: (),
    ) -> None:
        self._clock = clock
        self._versions_of = versions_of
        self._versions = StreamVersions()
        mesh.on_datagram(StreamNews, self._apply_news)
        mesh.on_query(StreamQuery, self._answer_query)

    @property
    def versions(self) -> StreamVersions:
        """The origins by key."""
        return self._versions

    def _apply_news(self, news: Message) -> None:
        assert isinstance(news, StreamNews)
        self._versions.merge(news.streams, now=self._clock())

    async def _answer_query(self, query: Message) -> Message:
        assert isinstance(query, StreamQuery)
        origin = self._versions.origin_of(query.key, now=self._clock())
        if origin is None:
            versions = self._versions_of(query.service) if query.service else ()
            return StreamReply(known=False, versions=versions)
        return StreamReply(known=True, service=origin.service, version=origin.version)
