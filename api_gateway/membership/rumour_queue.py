"""Which members there is news of, and how often each piece of news was passed on."""

from __future__ import annotations

import itertools
from collections import OrderedDict


class RumourQueue:
    """Names of members whose state is still to be passed on; those passed on least come first."""

    def __init__(self) -> None:
        """Start without any news."""
        self._transmissions: dict[str, int] = {}  # by name: how often it was passed on
        self._names_by_count: dict[int, OrderedDict[str, None]] = {}

    def __len__(self) -> int:
        """Return how many members there is news of."""
        return len(self._transmissions)

    def put(self, name: str, transmission_count: int = 0) -> None:
        """Queue news of a member, in place of older news of it."""
        self.discard(name)
        self._transmissions[name] = transmission_count
        self._names_by_count.setdefault(transmission_count, OrderedDict())[name] = None

    def discard(self, name: str) -> None:
        """Drop what is queued of a member, if anything is."""
        count = self._transmissions.pop(name, None)
        if count is None:
            return
        del self._names_by_count[count][name]
        if not self._names_by_count[count]:
            del self._names_by_count[count]

    def least_transmitted(self, count: int) -> list[str]:
        """Return at most `count` names, those passed on least first, oldest first among equals."""
        rows = (self._names_by_count[transmitted] for transmitted in sorted(self._names_by_count))
        return list(itertools.islice(itertools.chain.from_iterable(rows), count))

    def record_transmission(self, name: str, max_transmissions: int) -> None:
        """Count that news of a member was passed on; drop it once that was often enough."""
        count = self._transmissions.get(name)
        if count is None:
            return
        if count + 1 >= max_transmissions:
            self.discard(name)
        else:
            self.put(name, count + 1)
