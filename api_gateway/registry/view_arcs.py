"""Find the views that a change of a host may affect, without a pass over all views.

A view takes an arc of a ring, from its gateway's position to its last host. A change can affect the view only
within this arc, or anywhere if the view takes the complete ring. So a change searches the arcs that cover its
position: they start at most the longest arc's length before it, and bisection finds them. If the arcs have
similar lengths, about as many arcs are searched as are affected: gateways * size / hosts.
"""

from __future__ import annotations

import itertools
from bisect import bisect_left
from collections.abc import Iterator
from dataclasses import dataclass, field

from api_gateway.base.subsets import RING_SIZE, SubsetPart
from api_gateway.registry.live_view import LiveView


class Arcs:
    """The arcs that the views of one zone take of one ring."""

    def __init__(self) -> None:
        """Start without views."""
        self._starts: list[tuple[int, int]] = []  # position and number of each view, sorted
        self._arc_by_number: dict[int, tuple[LiveView, int]] = {}  # each view with its arc length
        self._full_ring_views: dict[int, LiveView] = {}  # views that take the complete ring, by number
        self._longest_length = 0
        self._puts_since_longest = 0  # since the longest arc was last determined

    def is_empty(self) -> bool:
        """Return whether no view takes a part of the ring."""
        return not self._arc_by_number and not self._full_ring_views

    def views(self) -> Iterator[LiveView]:
        """Yield all views that take a part of the ring."""
        yield from self._full_ring_views.values()
        yield from (live for live, _ in self._arc_by_number.values())

    def put(self, live: LiveView, part: SubsetPart) -> None:
        """Set the part of the ring that a view takes; it replaces the previous part."""
        if part.end is None:
            self._discard_arc(live)
            self._full_ring_views[live.number] = live
            return
        self._full_ring_views.pop(live.number, None)
        if live.number not in self._arc_by_number:
            start = (live.view.position, live.number)
            self._starts.insert(bisect_left(self._starts, start), start)
        length = (part.end[0] - live.view.position) % RING_SIZE
        self._arc_by_number[live.number] = (live, length)
        self._longest_length = max(self._longest_length, length)
        self._puts_since_longest += 1
        if self._puts_since_longest > 2 * len(self._arc_by_number):
            self._longest_length = max(length for _, length in self._arc_by_number.values())
            self._puts_since_longest = 0

    def discard(self, live: LiveView) -> None:
        """Remove a view, if it takes a part of the ring."""
        self._discard_arc(live)
        self._full_ring_views.pop(live.number, None)

    def covering(self, position: int) -> Iterator[LiveView]:
        """Yield the views that a change at a position of the ring may affect."""
        yield from self._full_ring_views.values()
        first = position - self._longest_length
        ranges = [(max(first, 0), position)]
        if first < 0:  # arcs that wrap around the end of the ring
            ranges.append((max(first + RING_SIZE, position + 1), RING_SIZE))
        for low, high in ranges:
            begin = bisect_left(self._starts, (low, 0))
            end = bisect_left(self._starts, (high + 1, 0))
            for index in range(begin, end):
                start, number = self._starts[index]
                live, length = self._arc_by_number[number]
                if (position - start) % RING_SIZE <= length:
                    yield live

    def _discard_arc(self, live: LiveView) -> None:
        if self._arc_by_number.pop(live.number, None) is not None:
            del self._starts[bisect_left(self._starts, (live.view.position, live.number))]


@dataclass(slots=True)
class GroupArcs:
    """The arcs of one group of hosts, by the zone of the view.

    Attributes:
        same_zone_arcs: Arcs of the rings of the views' own zones.
        other_zone_arcs: Arcs of the rings of the other zones.
    """

    same_zone_arcs: dict[str, Arcs] = field(default_factory=dict)
    other_zone_arcs: dict[str, Arcs] = field(default_factory=dict)

    def is_empty(self) -> bool:
        """Return whether no view takes a part of the group."""
        return not self.same_zone_arcs and not self.other_zone_arcs

    def put(self, live: LiveView, part: SubsetPart) -> None:
        """Set the part that a view takes of one ring."""
        arcs_by_zone = self.same_zone_arcs if part.is_own_zone else self.other_zone_arcs
        arcs_by_zone.setdefault(live.view.zone, Arcs()).put(live, part)

    def discard(self, live: LiveView) -> None:
        """Remove a view."""
        zone = live.view.zone
        for arcs_by_zone in (self.same_zone_arcs, self.other_zone_arcs):
            if zone in arcs_by_zone:
                arcs_by_zone[zone].discard(live)
                if arcs_by_zone[zone].is_empty():
                    del arcs_by_zone[zone]

    def views(self) -> Iterator[LiveView]:
        """Yield the views of the group; a view may be yielded twice."""
        for arcs in itertools.chain(self.same_zone_arcs.values(), self.other_zone_arcs.values()):
            yield from arcs.views()

    def affected_views(self, zone: str, position: int) -> Iterator[LiveView]:
        """Yield the views that a change of a host in `zone`, at `position` of its ring, may affect."""
        if zone in self.same_zone_arcs:
            yield from self.same_zone_arcs[zone].covering(position)
        for view_zone, arcs in self.other_zone_arcs.items():
            if view_zone != zone or not view_zone:
                yield from arcs.covering(position)
