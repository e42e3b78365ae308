"""Live views: which hosts each of them holds, what entered and left it by version, which a change concerns.

A change costs no walk over all views. What a view takes of a ring is an arc from its gateway's place to its
last host; only a change within an arc can change the view, or, where the view takes all of a ring, any change
there. So a change looks, for each ring it lies on, for the arcs that cover its place: those that begin at
most the longest arc's length before it, found by bisection; with arcs of about one length that is about as
many as are concerned, gateways * size / hosts. Only these views are made anew, in O(size) each, when they are
asked for or their watches are woken. Where more than BURST changes come together all views are made anew, and
where a zone has its first host or has lost its last, all views of that group.
"""

from __future__ import annotations

import itertools
from bisect import bisect_left
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from operator import is_not
from typing import TYPE_CHECKING

from api_gateway.base.subsets import RING, Part, Rings, View

if TYPE_CHECKING:
    from api_gateway.registry.core import Host

MOST_VIEWS = 8192  # live at once, where nothing else is said
KEEP = 60.0  # s for which a view that nobody asks for any longer is kept
IDLE_LEAST = 5.0  # s that it is kept though there are too many: the next watch comes sooner
BURST = 512  # changes that are looked up one by one
MARKS_LEAST = 256  # changes within a view that are remembered at most; of large views twice their hosts
REMEMBER = 600.0  # s for which a change is remembered, as hosts are that went
LEFT_MOST = 4096  # hosts that left views, as they are told to all of them


class TooMany(Exception):
    """Views are live already, as many as may be."""


@dataclass(eq=False, slots=True)
class Live:
    """A view that is asked for."""

    view: View
    number: int
    base: int  # what changed since an older version cannot be told
    hosts: dict[str | None, dict[str, Host]] = field(default_factory=dict)  # by group and id, as told
    marks: dict[str, tuple[int, Host]] = field(default_factory=dict)  # last changes, by version; those
    # that left are removed there
    dirty: dict[str | None, None] = field(default_factory=dict)  # groups in which something may have changed
    keys: dict[object, None] = field(default_factory=dict)  # of watches that wait
    marked: int = 0  # version of the last mark

    @property
    def cost(self) -> int:
        return self.view.share * len(self.dirty)

    def whole(self) -> tuple[Host, ...]:
        return tuple(host for hosts in self.hosts.values() for host in hosts.values())

    def since(self, index: int) -> tuple[Host, ...]:
        found = itertools.takewhile(lambda mark: mark[0] > index, reversed(self.marks.values()))
        return tuple(host for _, host in found)

    def mark(self, version: int, host: Host) -> None:
        self.marks.pop(host.id, None)
        self.marks[host.id] = version, host
        self.marked = version

    def trim(self, horizon: int) -> None:
        """Of changes up to the version `horizon` none is told any longer."""
        for name in list(itertools.takewhile(lambda name: self.marks[name][0] <= horizon, self.marks)):
            self.base, _ = self.marks.pop(name)
        most = max(MARKS_LEAST, 2 * sum(map(len, self.hosts.values())))
        while len(self.marks) > most:
            self.base, _ = self.marks.pop(next(iter(self.marks)))


class Arcs:
    """What the views of one zone take of one ring. Which of them cover a place?"""

    def __init__(self) -> None:
        self.starts: list[tuple[int, int]] = []  # place and number of the view, sorted
        self.lengths: dict[int, tuple[Live, int]] = {}  # by number
        self.whole: dict[int, Live] = {}  # those that take all of the ring
        self.longest, self.fresh = 0, 0  # changes since the longest was looked for

    def put(self, live: Live, part: Part) -> None:
        if part.end is None:
            self.cut(live)
            self.whole[live.number] = live
            return
        self.whole.pop(live.number, None)
        if live.number not in self.lengths:
            at = live.view.place, live.number
            self.starts.insert(bisect_left(self.starts, at), at)
        length = (part.end[0] - live.view.place) % RING
        self.lengths[live.number] = live, length
        self.longest, self.fresh = max(self.longest, length), self.fresh + 1
        if self.fresh > 2 * len(self.lengths):
            self.longest, self.fresh = max(length for _, length in self.lengths.values()), 0

    def cut(self, live: Live) -> None:
        if self.lengths.pop(live.number, None) is not None:
            del self.starts[bisect_left(self.starts, (live.view.place, live.number))]

    def drop(self, live: Live) -> None:
        self.cut(live)
        self.whole.pop(live.number, None)

    def covering(self, place: int) -> Iterator[Live]:
        yield from self.whole.values()
        first = place - self.longest
        runs = [(max(first, 0), place)] + ([(max(first + RING, place + 1), RING)] if first < 0 else [])
        for low, high in runs:
            for at in range(bisect_left(self.starts, (low, 0)), bisect_left(self.starts, (high + 1, 0))):
                start, number = self.starts[at]
                live, length = self.lengths[number]
                if (place - start) % RING <= length:
                    yield live


@dataclass(slots=True)
class Sides:
    """The arcs of one group, by the views' own zones."""

    own: dict[str, Arcs] = field(default_factory=dict)
    others: dict[str, Arcs] = field(default_factory=dict)

    def all(self) -> Iterator[Live]:
        for arcs in itertools.chain(self.own.values(), self.others.values()):
            yield from arcs.whole.values()
            yield from (live for live, _ in arcs.lengths.values())

    def concerned(self, zone: str, place: int) -> Iterator[Live]:
        if zone in self.own:
            yield from self.own[zone].covering(place)
        for their, arcs in self.others.items():
            if their != zone or not their:
                yield from arcs.covering(place)


class Views:
    """All live views, over the hosts that the registry puts in and takes out. Times as in the core."""

    def __init__(self, most: int = MOST_VIEWS) -> None:
        self.most = most
        self.rings = Rings()
        self.told: dict[str, Host] = {}  # hosts that are listed, as they are
        self.lives: dict[View, Live] = {}
        self.idle: dict[View, float] = {}  # those that no watch waits on, in the order of their ends
        self.sides: dict[str | None, Sides] = {}
        self.numbers = itertools.count()
        self.now = 0.0  # the last time that was told
        self.ages: deque[tuple[float, int]] = deque()  # times, and the versions then
        self.left: dict[str, tuple[Host, Host]] = {}  # by id, as it was last, and as removed
        self.pending: list[tuple[str, str, int]] = []  # changes: kind, zone and place
        self.burst = False  # there were too many
        self.split: set[str | None] = set()  # groups whose zones are others
        self.queue: dict[int, Live] = {}  # dirty ones with watches, by number, while changes are gathered
        self.ready: dict[int, Live] = {}  # then, until they are made anew

    # Changes of hosts

    def put(self, host: Host) -> None:
        self.touch(host.id)
        known = self.rings.known.get(host.id)
        groups = {None, host.kind, known.kind if known is not None else None}
        zones = {group: self.rings.zones(group) for group in groups}
        if host.state == "removed":
            self.rings.drop(host.id)
            self.told.pop(host.id, None)
        else:
            self.rings.put(host.id, host.kind, host.zone, host.state == "up")
            self.told[host.id] = host
            self.touch(host.id)
        self.split |= {group for group in groups if self.rings.zones(group) != zones[group]}

    def touch(self, name: str) -> None:
        known = self.rings.known.get(name)
        if known is None or not self.lives or self.burst:
            return
        change = known.kind, known.zone, known.spot[0]
        if not self.pending or self.pending[-1] != change:
            self.pending.append(change)
        if len(self.pending) > BURST:
            self.burst = True
            self.pending.clear()

    def dispatch(self) -> None:
        """What has changed since the last time makes the views dirty that it concerns."""
        if self.burst:
            for live in self.lives.values():
                live.dirty.update(dict.fromkeys(live.view.groups))
                self.enqueue(live)
        for kind, zone, place in self.pending:
            for group in (None, kind):
                for live in self.sides[group].concerned(zone, place) if group in self.sides else ():
                    live.dirty[group] = None
                    self.enqueue(live)
        for group in self.split:
            for live in self.sides[group].all() if group in self.sides else ():
                live.dirty[group] = None
                self.enqueue(live)
        self.burst = False
        self.pending.clear()
        self.split.clear()

    def gathered(self) -> None:
        """The watches are to be woken."""
        self.dispatch()
        self.ready.update(self.queue)
        self.queue.clear()

    def enqueue(self, live: Live) -> None:
        if live.keys:
            self.queue[live.number] = live

    # Views

    def ask(self, now: float, view: View, version: int) -> Live:
        """The view as it is at this version, which is the present one. Raises TooMany."""
        self.now = now
        live = self.lives.get(view)
        if live is None:
            live = self.begin(view, version)
        if not live.keys:
            self.rest(live)
        return self.refresh(live, version)

    def begin(self, view: View, version: int) -> Live:
        if len(self.lives) >= self.most:
            oldest = next(iter(self.idle), None)
            if oldest is None or self.idle[oldest] - KEEP > self.now - IDLE_LEAST:
                raise TooMany(f"{self.most} views are live")
            self.end(oldest)
        self.dispatch()  # the new one knows all that
        live = self.lives[view] = Live(view, next(self.numbers), version)
        live.dirty.update(dict.fromkeys(view.groups))
        self.refresh(live, version)
        live.marks.clear()
        return live

    def refresh(self, live: Live, version: int) -> Live:
        """It is made anew where it may have changed."""
        self.dispatch()
        if not live.dirty:
            return live
        old, new = self.remake(live, next(iter(live.dirty)))
        if len(live.dirty) > 1:
            pairs = [(old, new), *(self.remake(live, group) for group in list(live.dirty)[1:])]
            old, new = ({name: host for pair in pairs for name, host in pair[n].items()} for n in (0, 1))
        for name in [name for name in old if name not in new] if old.keys() - new.keys() else ():
            live.mark(version, self.removed(old[name]))  # it is in none of the groups
        # The loop over all is the interpreter's own: it is most of what a change costs.
        for host in list(itertools.compress(new.values(), map(is_not, new.values(), map(old.get, new)))):
            live.mark(version, host)
        live.dirty.clear()
        live.trim(self.horizon(version))
        return live

    def horizon(self, version: int) -> int:
        """The version of REMEMBER ago, or of a little before."""
        if not self.ages or self.now - self.ages[-1][0] >= REMEMBER / 10:
            self.ages.append((self.now, version))
        while len(self.ages) > 1 and self.ages[1][0] <= self.now - REMEMBER:
            self.ages.popleft()
        return self.ages[0][1] if self.ages[0][0] <= self.now - REMEMBER else -1

    def removed(self, host: Host) -> Host:
        """As it is told where it has left a view, though it may still exist: one object for all views."""
        host = self.told.get(host.id, host)
        known = self.left.get(host.id)
        if known is None or known[0] is not host:
            if len(self.left) >= LEFT_MOST:
                self.left.clear()
            known = self.left[host.id] = host, replace(host, state="removed")
        return known[1]

    def remake(self, live: Live, group: str | None) -> tuple[dict[str, Host], dict[str, Host]]:
        """A group's hosts as they were and as they are now; its arcs with them."""
        sides, told = self.sides.setdefault(group, Sides()), self.told
        new: dict[str, Host] = {}
        for part in self.rings.parts(live.view, group):
            arcs = sides.own if part.own else sides.others
            arcs.setdefault(live.view.zone, Arcs()).put(live, part)
            new.update({name: told[name] for name in part.hosts})
        old, live.hosts[group] = live.hosts.get(group, {}), new
        return old, new

    def woken(self, most: int, version: int) -> list[Live]:
        """Some of those with watches that may have changed, made anew: about so many hosts in all."""
        found = []
        while self.ready and most > 0:
            live = self.ready.pop(next(iter(self.ready)))
            most -= max(1, live.cost)
            found.append(self.refresh(live, version))
        return found

    # Watches, and none any longer

    def park(self, live: Live, key: object) -> None:
        live.keys[key] = None
        self.idle.pop(live.view, None)

    def leave(self, view: View, key: object) -> None:
        live = self.lives.get(view)
        if live is not None and key in live.keys:
            del live.keys[key]
            if not live.keys:
                self.unqueue(live)
                self.rest(live)

    def unqueue(self, live: Live) -> None:
        self.queue.pop(live.number, None)
        self.ready.pop(live.number, None)

    def rest(self, live: Live) -> None:
        self.idle.pop(live.view, None)
        self.idle[live.view] = self.now + KEEP

    def expire(self, now: float) -> None:
        self.now = now
        for view in list(itertools.takewhile(lambda view: self.idle[view] <= now, self.idle)):
            self.end(view)

    def end(self, view: View) -> None:
        live = self.lives.pop(view)
        self.idle.pop(view, None)
        self.unqueue(live)
        for group in view.groups:
            sides = self.sides[group]
            for arcs in (sides.own, sides.others):
                if view.zone in arcs:
                    arcs[view.zone].drop(live)
                    if not arcs[view.zone].lengths and not arcs[view.zone].whole:
                        del arcs[view.zone]
            if not sides.own and not sides.others:
                del self.sides[group]

    def total(self, view: View) -> int:
        return self.rings.total(view)
