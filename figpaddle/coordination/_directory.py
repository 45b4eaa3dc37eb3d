"""The directory of known instances."""

from __future__ import annotations

from figpaddle.wire import InstanceInfo, InstanceState

#: Within one incarnation a state of a higher rank replaces a lower one.
_STATE_RANK = {InstanceState.SERVING: 0, InstanceState.LEAVING: 1, InstanceState.GONE: 2}


class InstanceDirectory:
    """Known instances by name; a newer incarnation or a later state replaces an older entry.

    >>> first = InstanceInfo(
    ...     name="one", region="seoul", zone="seoul-a", peer_address="127.0.0.1:1",
    ...     caller_address="127.0.0.1:2", incarnation=1,
    ... )
    >>> directory = InstanceDirectory(own=first)
    >>> directory.merge((first.with_state(InstanceState.LEAVING),))[0].state
    <InstanceState.LEAVING: 'leaving'>
    """

    def __init__(self, *, own: InstanceInfo) -> None:
        self._own_name = own.name
        self._by_name = {own.name: own}

    @property
    def own(self) -> InstanceInfo:
        """The instance that holds this directory."""
        return self._by_name[self._own_name]

    @property
    def instances(self) -> tuple[InstanceInfo, ...]:
        """All known instances in the order of their names."""
        return tuple(self._by_name[name] for name in sorted(self._by_name))

    def find(self, name: str) -> InstanceInfo | None:
        """Return the instance called ``name``, or None."""
        return self._by_name.get(name)

    def peers(self) -> tuple[InstanceInfo, ...]:
        """Return all other instances that are not gone."""
        return tuple(
            info
            for info in self.instances
            if info.name != self._own_name and info.state is not InstanceState.GONE
        )

    def merge(self, infos: tuple[InstanceInfo, ...]) -> tuple[InstanceInfo, ...]:
        """Apply the entries that are newer than the known ones and return them.

        An entry that declares the own instance gone is ignored.
        """
        changed = []
        for info in infos:
            known = self._by_name.get(info.name)
            if known is not None and not _supersedes(info, known):
                continue
            if info.name == self._own_name and info.state is InstanceState.GONE:
                continue
            self._by_name[info.name] = info
            changed.append(info)
        return tuple(changed)

    def remove(self, name: str) -> None:
        """Remove the entry of another instance; the own one stays."""
        if name != self._own_name:
            self._by_name.pop(name, None)


def _supersedes(new: InstanceInfo, known: InstanceInfo) -> bool:
    if new.incarnation != known.incarnation:
        return new.incarnation > known.incarnation
    return _STATE_RANK[new.state] > _STATE_RANK[known.state]
