"""The queue of members whose updates are still to be disseminated, ordered by number of transmissions."""

from __future__ import annotations

import itertools
from collections import OrderedDict


class UpdateQueue:
    """Names of members whose updates are still to be disseminated, least transmitted first."""

    def __init__(self) -> None:
        """Start empty."""
        self._transmissions: dict[str, int] = {}  # number of transmissions by name
        self._names_by_count: dict[int, OrderedDict[str, None]] = {}

    def __len__(self) -> int:
        """Return the number of members with a pending update."""
        return len(self._transmissions)

    def enqueue(self, name: str, transmission_count: int = 0) -> None:
        """Queue the update of a member, replacing an older one."""
        self.discard(name)
        self._transmissions[name] = transmission_count
        self._names_by_count.setdefault(transmission_count, OrderedDict())[name] = None

    def discard(self, name: str) -> None:
        """Remove the update of a member, if one is queued."""
        count = self._transmissions.pop(name, None)
        if count is None:
            return
        del self._names_by_count[count][name]
        if not self._names_by_count[count]:
            del self._names_by_count[count]

    def least_transmitted(self, count: int) -> list[str]:
        """Return at most `count` names, least transmitted first and then in queueing order."""
        groups = (self._names_by_count[transmitted] for transmitted in sorted(self._names_by_count))
        return list(itertools.islice(itertools.chain.from_iterable(groups), count))

    def record_transmission(self, name: str, max_transmissions: int) -> None:
        """Count one transmission of a member's update, and remove it after `max_transmissions`."""
        count = self._transmissions.get(name)
        if count is None:
            return
        if count + 1 >= max_transmissions:
            self.discard(name)
        else:
            self.enqueue(name, count + 1)
