"""Views: which part of the hosts a gateway is told of. No I/O, no clock, and nothing here is drawn by chance.

Hosts and gateways have places on rings of 2**63. A view takes the hosts that follow its gateway's place: by
service (a host's kind) where kinds are named, half of them in its own zone. As places come from names and
numbers alone, a host that comes or goes moves only the views whose arc it lies in, one host each; a gateway
that comes or goes moves no other's. Weights are not looked at.

Were it half whatever the zones are, hosts of a small zone would stand in more views than those of a large
one. With as many gateways in each zone hosts stand in equally many where the arc in the own zone is as many
times as long as that in the others as there are others. So half it is as far as that length is met within
chance, and beyond that the part in the own zone is smaller or larger: seen from the hosts there alone.
"""

from __future__ import annotations

import hashlib
import math
from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from operator import itemgetter
from typing import Any
from urllib.parse import quote, unquote, urlencode

RING = 2**63
GOLDEN = 5700357409661599243  # the golden section of a ring: steps of it fill a ring evenly, however many
LEAST = 6  # hosts of each kind, as far as there are so many
SIZE_MOST = 65536
CHANCE = 8.0  # over the root of a share: by so much chance alone moves the ratio of two arcs that hold half
# of it each, at four deviations
KINDS_MOST = 4096
WORD_MOST = 128  # characters of a zone or a kind

Spot = tuple[int, str]  # a host's place and its id, which breaks ties


def place_of(name: str) -> int:
    """A host's place, of 63 bits, by its id."""
    text = f"{name}\x1fplace".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big") >> 1


@dataclass(frozen=True, slots=True)
class View:
    """What a gateway asks for. Equal values are one view: kinds are sorted, each once. Raises ValueError."""

    index: int  # the gateway's number
    size: int  # hosts that are up, over all kinds
    zone: str = ""  # the gateway's own; none: one ring over all zones
    kinds: tuple[str, ...] = ()  # none: all hosts are one group

    def __post_init__(self) -> None:
        if type(self.index) is not int or not 0 <= self.index < RING:
            raise ValueError(f"the index of a view is {str(self.index)[:40]!r}, not a whole number from 0 on")
        if type(self.size) is not int or not 1 <= self.size <= SIZE_MOST:
            raise ValueError(
                f"the size of a view is {str(self.size)[:40]!r}, not a whole number from 1 to {SIZE_MOST}"
            )
        object.__setattr__(self, "kinds", tuple(sorted(set(self.kinds))))
        if len(self.kinds) > KINDS_MOST:
            raise ValueError(f"a view names {len(self.kinds)} kinds, more than {KINDS_MOST}")
        for word in (self.zone, *self.kinds):
            if len(word) > WORD_MOST or not is_text(word):
                raise ValueError(f"a view names {word[:40]!r}, not a text of at most {WORD_MOST} characters")

    @property
    def place(self) -> int:
        """The gateway's place. Any run of numbers is spread evenly over the ring, and so is every n-th of
        them, as those of one of n zones, where n is below ten; some strides beyond are less even."""
        return self.index * GOLDEN % RING

    @property
    def groups(self) -> tuple[str | None, ...]:
        """The kinds, or None for all hosts as one."""
        return self.kinds or (None,)

    @property
    def share(self) -> int:
        """Hosts that are up wanted of each group."""
        return max(LEAST, -(-self.size // len(self.kinds))) if self.kinds else self.size

    def query(self) -> str:
        """As part of a URL: view=INDEX,SIZE,ZONE and kinds=A,B where kinds are named."""
        told = {"view": f"{self.index},{self.size},{self.zone}"}
        if self.kinds:
            told["kinds"] = ",".join(quote(kind, safe="") for kind in self.kinds)
        return urlencode(told)


def is_text(word: str) -> bool:
    """Whether it can be sent: half of a pair of surrogates can't."""
    return not any("\ud800" <= c <= "\udfff" for c in word)


def read_view(view: str, kinds: str | None = None) -> View:
    """Of the values in a query, as they are once the URL's own quoting is undone. Raises ValueError."""
    index, _, rest = view.partition(",")
    size, _, zone = rest.partition(",")
    for text in (index, size):
        if not (text.isascii() and text.isdecimal()) or len(text) > 18:
            raise ValueError(f"view is {view[:40]!r}, not INDEX,SIZE or INDEX,SIZE,ZONE")
    words = () if kinds is None else tuple(unquote(kind) for kind in kinds.split(","))
    return View(int(index), int(size), zone, words)


@dataclass(frozen=True, slots=True)
class Part:
    """What a view takes of one ring: of its own zone's (own), or of that of all others."""

    group: str | None
    own: bool
    hosts: tuple[Any, ...]  # ids, or what Rings.members_of() gives, in the order of the ring
    end: Spot | None  # up to there a change may change the part; None: anywhere on the ring


@dataclass(slots=True)
class Known:
    """A host as it lies in the rings."""

    spot: Spot
    kind: str
    zone: str
    up: bool


class Ring:
    """The hosts of one group in one zone, by place: those that are up, and those that drain."""

    __slots__ = ("draining", "up")

    def __init__(self) -> None:
        self.up: list[Any] = []  # spots
        self.draining: list[Any] = []


class Rings:
    """All hosts. A change costs two searches and two shifts of a list, whatever the views are. Spots may have
    another form where position_key(), position_of(), id_of() and
    members_of() read it."""

    def __init__(self) -> None:
        self.known: dict[str, Known] = {}
        self.groups: dict[str | None, dict[str, Ring]] = {None: {}}  # by kind (None: all), by zone

    def put(self, name: str, kind: str, zone: str, up: bool) -> None:
        """It is there, up or draining, whatever it was before."""
        old = self.known.get(name)
        if old is not None and (old.kind, old.zone, old.up) == (kind, zone, up):
            return
        self.drop(name)
        spot = (place_of(name), name) if old is None else old.spot
        host = self.known[name] = Known(spot, kind, zone, up)
        for group in (None, kind):
            ring = self.groups.setdefault(group, {}).setdefault(zone, Ring())
            insort(ring.up if up else ring.draining, host.spot)

    def drop(self, name: str) -> None:
        host = self.known.pop(name, None)
        if host is None:
            return
        for group in (None, host.kind):
            ring = self.groups[group][host.zone]
            spots = ring.up if host.up else ring.draining
            del spots[bisect_left(spots, host.spot)]
            self.remove_empty_ring(group, host.zone, ring)

    def remove_empty_ring(self, group: str | None, zone: str, ring: Ring) -> None:
        """Remove a ring without hosts."""
        if not ring.up and not ring.draining:
            del self.groups[group][zone]
            if not self.groups[group] and group is not None:
                del self.groups[group]

    @staticmethod
    def position_key(position: int) -> Any:
        """Before all spots of this place, after all of those before."""
        return position, ""

    @staticmethod
    def position_of(spot: Any) -> int:
        return spot[0]

    @staticmethod
    def id_of(spot: Any) -> str:
        return spot[1]

    @staticmethod
    def members_of(spots: list[Any]) -> list[Any]:
        """As parts() tells them."""
        return list(map(itemgetter(1), spots))

    def total(self, view: View) -> int:
        """Hosts that are up in the view's groups."""
        return sum(len(ring.up) for group in view.groups for ring in self.groups.get(group, {}).values())

    def members(self, view: View) -> set[str]:
        """At most twice the view's shares: those that are up, and those that drain among them."""
        return {name for group in view.groups for part in self.parts(view, group) for name in part.hosts}

    def zones(self, group: str | None) -> int:
        """Named zones with hosts of the group that are up. Costs what there are of zones."""
        return sum(bool(zone and ring.up) for zone, ring in self.groups.get(group, {}).items())

    def parts(self, view: View, group: str | None) -> Iterator[Part]:
        """What the view takes of a group: half of its share in its own zone, the rest in the others, or as
        split() says where zones are uneven. Where one side has too few that are up the other gives more, and
        where both have, all is taken.

        Those that drain belong to it where they would be among the first without draining, so that they are
        told as such; that bounds them when a whole zone drains at once. They lie before the last that is up,
        or there is none beyond: a change beyond the end of a part changes nothing in it, unless another zone
        has its first host or has lost its last.
        """
        zones, share = self.groups.get(group, {}), view.share
        mine = [zones[view.zone]] if view.zone and view.zone in zones else []
        others = [ring for zone, ring in zones.items() if not view.zone or zone != view.zone]
        half = -(-share // 2) if view.zone else 0
        there, elsewhere = count(mine), count(others)
        own, other = Side(self, mine, view, there), Side(self, others, view, elsewhere)
        near = min(there, max(half, share - elsewhere))
        least, most = max(0, share - elsewhere), min(there, share)
        if least < most:
            near = Split(own, other, share, self.zones(group)).find(near, least, most)
        far = min(elsewhere, share - near)
        if view.zone:
            yield own.part(group, True, near, max(half, near))
        yield other.part(group, False, far, max(share - half, far))


class Side:
    """The hosts of one group in the own zone, or in all others, by the ring from a view's place on."""

    def __init__(self, all_: Rings, rings: list[Ring], view: View, up: int) -> None:
        self.all, self.rings, self.place, self.up = all_, rings, view.place, up
        self.most, self.found = view.share, list[Any]()  # spots of the first that are up, as far as sought
        self.end = 0.0  # length of an arc within which any change matters

    def follow(self, lists: list[list[Any]], most: int) -> list[Any]:
        return follow(lists, self.all.position_key(self.place), most)

    def seek(self, n: int) -> list[Any]:
        """The first n that are up, as far as there are so many, and maybe more. They are sought once, or
        twice where the split is not half and half."""
        if len(self.found) < min(n, self.up):
            self.found = self.follow([ring.up for ring in self.rings], self.most + 1 if self.found else n + 1)
        return self.found

    def ahead(self, spot: Any) -> int:
        return (self.all.position_of(spot) - self.place) % RING

    def length(self, n: int) -> float:
        """Of the arc to the n-th that is up, from 1; inf where there are fewer."""
        if n > self.up:
            return math.inf
        return self.ahead(self.seek(n)[n - 1]) if n else 0.0

    def part(self, group: str | None, own: bool, most: int, reach: int) -> Part:
        """The first `most` that are up after the place, and those that drain among the first `reach` of
        all."""
        found, taken = self.seek(most)[:most], most < self.up  # so that there is an end
        if drains := [ring.draining for ring in self.rings if ring.draining]:
            ranks = [(self.ahead(spot), self.all.id_of(spot)) for spot in found]
            for before, spot in enumerate(self.follow(drains, reach)):
                ahead = bisect_left(ranks, (self.ahead(spot), self.all.id_of(spot)))
                if before + ahead >= reach or (taken and ahead >= most):
                    break
                found.append(spot)
        return Part(group, own, tuple(self.all.members_of(found)), self.last(most) if taken else None)

    def last(self, most: int) -> Spot | None:
        """Up to where a change matters, of so many that are up."""
        if self.end >= RING - 1:
            return None
        if self.end > self.length(most):
            return (self.place + math.ceil(self.end)) % RING, ""
        if not most:
            return self.place, ""
        spot = self.seek(most)[most - 1]
        return self.all.position_of(spot), self.all.id_of(spot)


class Split:
    """Of a share, how many are of the own zone. `zones`: in so many there are hosts."""

    def __init__(self, own: Side, other: Side, share: int, zones: int) -> None:
        self.own, self.other, self.share = own, other, share
        ratio, chance = max(1, zones - 1), 1.0 + CHANCE / math.sqrt(share)
        self.low, self.high = ratio / chance, ratio * chance

    def exceeds(self, n: int, ratio: float) -> bool:
        """Whether the n-th of the own zone lies farther, in this measure, than that of the others which would
        be there in its place."""
        return self.own.length(n) > ratio * self.other.length(self.share - n + 1)

    def find(self, half: int, least: int, most: int) -> int:
        """Half, or as many more or fewer as bring the ratio of the arcs within its bounds."""
        near = half
        if half < most and not self.exceeds(half + 1, self.low):
            near += bisect_left(range(half + 1, most + 1), True, key=lambda n: self.exceeds(n, self.low))
        elif half > least and self.exceeds(half, self.high):
            tried = range(least + 1, half + 1)
            near = least + bisect_left(tried, True, key=lambda n: self.exceeds(n, self.high))
        # A host that comes within these would be nearer than the last that the other side gives.
        more, fewer = self.high if near < half else self.low, self.low if near > half else self.high
        self.own.end = more * self.other.length(self.share - near) if near < self.share else 0.0
        self.other.end = self.own.length(near) / fewer
        return near


def count(rings: Iterable[Ring]) -> int:
    return sum(len(ring.up) for ring in rings)


def follow(lists: list[list[Any]], start: Any, most: int) -> list[Any]:
    """The first `most` of all the lists, each sorted, from the start on and round the ring."""
    starts = [bisect_left(spots, start) for spots in lists]
    runs = zip(lists, starts, strict=True)
    found = merged([(spots, at, len(spots)) for spots, at in runs], most)
    if len(found) < most:
        found += merged([(spots, 0, at) for spots, at in zip(lists, starts, strict=True)], most - len(found))
    return found


def merged(runs: list[tuple[list[Any], int, int]], most: int) -> list[Any]:
    """The first `most` of all runs, each a stretch of a sorted list. Of each some more are looked at than its
    part by length: what comes before all that was not looked at is certain."""
    if len(runs) == 1:
        spots, at, end = runs[0]
        return spots[at : min(end, at + most)]
    total = sum(end - at for _, at, end in runs)
    spare = 2.5  # deviations
    while True:
        found: list[Any] = []
        unseen: Any = None
        for spots, at, end in runs:
            part = most * (end - at) / total if total else 0.0
            cut = min(end, at + most, at + int(part + spare * (1.0 + math.sqrt(part))))
            found += spots[at:cut]
            if cut < end and (unseen is None or spots[cut] < unseen):
                unseen = spots[cut]
        found.sort()
        if unseen is None or bisect_left(found, unseen) >= most:
            return found[:most]
        spare *= 4.0
