"""Subsets: which part of the endpoints a gateway uses. No I/O, no clock, no random draws.

Endpoints and gateways have positions on rings of 2**63. A subset takes the endpoints after its gateway's
position: by service (an endpoint's kind) where kinds are named, half of them in the gateway's own zone. As
positions come from names and numbers alone, an endpoint that comes or goes changes only the subsets whose arc
it lies in, by one endpoint each; a gateway that comes or goes changes no other's. Weights do not matter.

Were it half whatever the zones are, endpoints of a small zone would be in more subsets than those of a large
one. With equally many gateways in each zone, endpoints are in equally many subsets where the arc in the own
zone is as many times as long as that in the other zones as there are others. So it is half as far as that
ratio is met within chance, and beyond that the part in the own zone is smaller or larger.
"""

from __future__ import annotations

import hashlib
import math
from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass
from operator import itemgetter
from typing import Any
from urllib.parse import quote, unquote, urlencode

RING_SIZE = 2**63
GOLDEN_RATIO_STEP = (
    5700357409661599243  # the golden section of a ring: steps of it fill a ring evenly, however many
)
MIN_GROUP_SIZE = 6  # endpoints of each kind, as far as there are so many
MAX_SUBSET_SIZE = 65536
MAX_KINDS = 4096
MAX_NAME_CHARS = 128  # of a zone or a kind
MAX_NUMBER_DIGITS = 18  # of a number in a query
# Over the root of a group's size: chance alone moves the ratio of its two arcs by so much (four deviations).
ARC_RATIO_TOLERANCE = 8.0
SPARE_DEVIATIONS = 2.5  # read from each of several lists past its part by length, in standard deviations

RingKey = tuple[int, str]  # an endpoint's position and its id, which breaks ties


def position_of_endpoint(name: str) -> int:
    """Return an endpoint's position, of 63 bits, by its id."""
    text = f"{name}\x1fplace".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big") >> 1


@dataclass(frozen=True, slots=True)
class SubsetSpec:
    """What a gateway asks for: its subset. Equal values are one subset, as kinds are sorted, each once.

    Raises:
        ValueError: A value is out of its bounds.
    """

    index: int  # the gateway's number
    size: int  # available endpoints, over all kinds
    zone: str = ""  # the gateway's own; none: one ring over all zones
    kinds: tuple[str, ...] = ()  # none: all endpoints are one group

    def __post_init__(self) -> None:
        """Check the values and sort the kinds."""
        if type(self.index) is not int or not 0 <= self.index < RING_SIZE:
            raise ValueError(f"the index of a view is {str(self.index)[:40]!r}, not a whole number from 0 on")
        if type(self.size) is not int or not 1 <= self.size <= MAX_SUBSET_SIZE:
            raise ValueError(
                f"the size of a view is {str(self.size)[:40]!r}, "
                f"not a whole number from 1 to {MAX_SUBSET_SIZE}"
            )
        object.__setattr__(self, "kinds", tuple(sorted(set(self.kinds))))
        if len(self.kinds) > MAX_KINDS:
            raise ValueError(f"a view names {len(self.kinds)} kinds, more than {MAX_KINDS}")
        for name in (self.zone, *self.kinds):
            if len(name) > MAX_NAME_CHARS or not is_encodable(name):
                raise ValueError(
                    f"a view names {name[:40]!r}, not a text of at most {MAX_NAME_CHARS} characters"
                )

    @property
    def position(self) -> int:
        """Position of the gateway.

        Any run of numbers is spread evenly over the ring, and so is every n-th of them, as those of one of n
        zones, where n is below ten; some strides beyond are less even.
        """
        return self.index * GOLDEN_RATIO_STEP % RING_SIZE

    @property
    def groups(self) -> tuple[str | None, ...]:
        """The kinds, or None for all endpoints as one group."""
        return self.kinds or (None,)

    @property
    def group_size(self) -> int:
        """Available endpoints wanted of each group."""
        return max(MIN_GROUP_SIZE, -(-self.size // len(self.kinds))) if self.kinds else self.size

    def query(self) -> str:
        """Return it as part of a URL: view=INDEX,SIZE,ZONE, and kinds=A,B where kinds are named."""
        params = {"view": f"{self.index},{self.size},{self.zone}"}
        if self.kinds:
            params["kinds"] = ",".join(quote(kind, safe="") for kind in self.kinds)
        return urlencode(params)


def is_encodable(name: str) -> bool:
    """Return whether a name can be sent: half of a pair of surrogates can't."""
    return not any("\ud800" <= char <= "\udfff" for char in name)


def read_subset_spec(view: str, kinds: str | None = None) -> SubsetSpec:
    """Read a subset from the values in a query.

    Args:
        view: INDEX,SIZE or INDEX,SIZE,ZONE, once the URL's own quoting is undone.
        kinds: Kinds, each quoted once more, separated by commas; None: none are named.

    Raises:
        ValueError: It is none.
    """
    index, _, rest = view.partition(",")
    size, _, zone = rest.partition(",")
    for text in (index, size):
        if not (text.isascii() and text.isdecimal()) or len(text) > MAX_NUMBER_DIGITS:
            raise ValueError(f"view is {view[:40]!r}, not INDEX,SIZE or INDEX,SIZE,ZONE")
    names = () if kinds is None else tuple(unquote(kind) for kind in kinds.split(","))
    return SubsetSpec(int(index), int(size), zone, names)


@dataclass(frozen=True, slots=True)
class SubsetPart:
    """What a subset takes of one ring: of its own zone's (own), or of that of all others."""

    group: str | None
    is_own_zone: bool
    members: tuple[Any, ...]  # ids, or what Rings.members_of() returns, in the order of the ring
    end: RingKey | None  # up to there a change may change the part; None: anywhere on the ring


@dataclass(slots=True)
class RingEntry:
    """An endpoint as it lies in the rings."""

    ring_key: RingKey
    kind: str
    zone: str
    up: bool


class Ring:
    """The endpoints of one group in one zone, sorted by position: the available and the draining ones."""

    __slots__ = ("draining", "up")

    def __init__(self) -> None:
        """Initialise an empty ring."""
        self.up: list[Any] = []
        self.draining: list[Any] = []


class EndpointRings:
    """All endpoints. A change costs two searches and two shifts of a list, whatever the subsets are.

    Spots may have another form in a subclass that overrides position_key(), position_of(), id_of() and
    members_of().
    """

    def __init__(self) -> None:
        """Initialise without endpoints."""
        self.entries: dict[str, RingEntry] = {}  # by id
        self.groups: dict[str | None, dict[str, Ring]] = {None: {}}  # by kind (None: all), by zone

    def set_endpoint(self, name: str, kind: str, zone: str, up: bool) -> None:
        """Store an endpoint that is available (up) or draining, whatever it was before."""
        last = self.entries.get(name)
        if last is not None and (last.kind, last.zone, last.up) == (kind, zone, up):
            return
        self.remove_endpoint(name)
        ring_key = (position_of_endpoint(name), name) if last is None else last.ring_key
        self.entries[name] = RingEntry(ring_key, kind, zone, up)
        for group in (None, kind):
            ring = self.groups.setdefault(group, {}).setdefault(zone, Ring())
            insort(ring.up if up else ring.draining, ring_key)

    def remove_endpoint(self, name: str) -> None:
        """Remove an endpoint, if it is there."""
        endpoint = self.entries.pop(name, None)
        if endpoint is None:
            return
        for group in (None, endpoint.kind):
            ring = self.groups[group][endpoint.zone]
            ring_keys = ring.up if endpoint.up else ring.draining
            del ring_keys[bisect_left(ring_keys, endpoint.ring_key)]
            self.remove_empty_ring(group, endpoint.zone, ring)

    def remove_empty_ring(self, group: str | None, zone: str, ring: Ring) -> None:
        """Remove a ring without endpoints, and its group if that has no other."""
        if not ring.up and not ring.draining:
            del self.groups[group][zone]
            if not self.groups[group] and group is not None:
                del self.groups[group]

    @staticmethod
    def position_key(position: int) -> Any:
        """Return what sorts before all ring_keys of a position and after those of the positions before."""
        return position, ""

    @staticmethod
    def position_of(ring_key: Any) -> int:
        """Return the position of a ring_key."""
        position: int = ring_key[0]
        return position

    @staticmethod
    def id_of(ring_key: Any) -> str:
        """Return the endpoint id of a ring_key."""
        endpoint_id: str = ring_key[1]
        return endpoint_id

    @staticmethod
    def members_of(ring_keys: list[Any]) -> list[Any]:
        """Return ring_keys as a Part holds them: their ids."""
        return list(map(itemgetter(1), ring_keys))

    def total(self, view: SubsetSpec) -> int:
        """Return the count of available endpoints in the groups of a subset."""
        return sum(len(ring.up) for group in view.groups for ring in self.groups.get(group, {}).values())

    def members(self, view: SubsetSpec) -> set[str]:
        """Return a subset: the available ones and the draining among them, at most twice its size."""
        return {name for group in view.groups for part in self.parts(view, group) for name in part.members}

    def zone_count(self, group: str | None) -> int:
        """Return the count of named zones with available endpoints of a group, in time linear in zones."""
        return sum(bool(zone and ring.up) for zone, ring in self.groups.get(group, {}).items())

    def parts(self, view: SubsetSpec, group: str | None) -> Iterator[SubsetPart]:
        """Yield what a subset takes of a group.

        That is half of its size in the own zone and the rest in the others, or as ZoneSplit says where zones
        are uneven. Where one side has too few available endpoints the other gives more, and where both have,
        all are taken.

        Draining endpoints belong to it where they would be among the first without draining, so that they are
        passed on as draining; that bounds them when a zone drains at once. They lie before the last available
        one, or there is none beyond. So a change beyond the end of a part changes nothing in it, unless
        another zone has its first endpoint or has lost its last.
        """
        zones = self.groups.get(group, {})
        size = view.group_size
        own_rings = [zones[view.zone]] if view.zone and view.zone in zones else []
        other_rings = [ring for zone, ring in zones.items() if not view.zone or zone != view.zone]
        half = -(-size // 2) if view.zone else 0
        own = ZoneSide(self, own_rings, view)
        other = ZoneSide(self, other_rings, view)
        own_count = min(own.available, max(half, size - other.available))
        lowest = max(0, size - other.available)
        highest = min(own.available, size)
        if lowest < highest:
            own_count = ZoneSplit(own, other, size, self.zone_count(group)).find(own_count, lowest, highest)
        other_count = min(other.available, size - own_count)
        if view.zone:
            yield own.part(group, is_own=True, limit=own_count, reach=max(half, own_count))
        yield other.part(group, is_own=False, limit=other_count, reach=max(size - half, other_count))


class ZoneSide:
    """The endpoints of one group in the own zone, or in all others, from a subset's position on."""

    def __init__(self, all_rings: EndpointRings, rings: list[Ring], view: SubsetSpec) -> None:
        """Initialise the side of some rings of all."""
        self.all_rings = all_rings
        self.rings = rings
        self.position = view.position
        self.size = view.group_size
        self.available = sum(len(ring.up) for ring in rings)
        self.found: list[Any] = []  # ring_keys of the first available ones, as far as they were sought
        self.end = 0.0  # length of an arc within which any change matters

    def _take_from_position(self, lists: list[list[Any]], limit: int) -> list[Any]:
        return take_from(lists, self.all_rings.position_key(self.position), limit)

    def first_available(self, count: int) -> list[Any]:
        """Return the first `count` available ones, as far as there are so many, and maybe more.

        They are sought once, or twice where the split is not half and half.
        """
        if len(self.found) < min(count, self.available):
            limit = self.size + 1 if self.found else count + 1
            self.found = self._take_from_position([ring.up for ring in self.rings], limit)
        return self.found

    def distance(self, ring_key: Any) -> int:
        """Return how far after the subset's position a ring_key lies."""
        return (self.all_rings.position_of(ring_key) - self.position) % RING_SIZE

    def arc_length(self, count: int) -> float:
        """Return the length of the arc to the last of the first `count` available; inf: there are fewer."""
        if count > self.available:
            return math.inf
        return self.distance(self.first_available(count)[count - 1]) if count else 0.0

    def part(self, group: str | None, *, is_own: bool, limit: int, reach: int) -> SubsetPart:
        """Return the first `limit` available ones, and the draining among the first `reach` of all."""
        found = self.first_available(limit)[:limit]
        has_end = limit < self.available
        if draining := [ring.draining for ring in self.rings if ring.draining]:
            id_of = self.all_rings.id_of
            ranks = [(self.distance(ring_key), id_of(ring_key)) for ring_key in found]
            for before, ring_key in enumerate(self._take_from_position(draining, reach)):
                available_before = bisect_left(ranks, (self.distance(ring_key), id_of(ring_key)))
                if before + available_before >= reach or (has_end and available_before >= limit):
                    break
                found.append(ring_key)
        members = tuple(self.all_rings.members_of(found))
        return SubsetPart(group, is_own, members, self._last_relevant(limit) if has_end else None)

    def _last_relevant(self, count: int) -> RingKey | None:
        """Return up to where a change matters, if `count` available ones are taken."""
        if self.end >= RING_SIZE - 1:
            return None
        if self.end > self.arc_length(count):
            return (self.position + math.ceil(self.end)) % RING_SIZE, ""
        if not count:
            return self.position, ""
        ring_key = self.first_available(count)[count - 1]
        return self.all_rings.position_of(ring_key), self.all_rings.id_of(ring_key)


class ZoneSplit:
    """Decides how many endpoints of a group are of the own zone."""

    def __init__(self, own: ZoneSide, other: ZoneSide, size: int, zone_count: int) -> None:
        """Initialise the split of `size` endpoints, of which there are some in `zone_count` zones."""
        self.own = own
        self.other = other
        self.size = size
        ratio = max(1, zone_count - 1)
        tolerance = 1.0 + ARC_RATIO_TOLERANCE / math.sqrt(size)
        self.low_ratio = ratio / tolerance
        self.high_ratio = ratio * tolerance

    def is_farther(self, count: int, ratio: float) -> bool:
        """Return whether the last of `count` in the own zone lies farther than its replacement elsewhere.

        Lengths in the other zones count `ratio` times.
        """
        return self.own.arc_length(count) > ratio * self.other.arc_length(self.size - count + 1)

    def find(self, half: int, lowest: int, highest: int) -> int:
        """Return half, or as many more or fewer as bring the ratio of the arcs within its bounds."""
        count = half
        if half < highest and not self.is_farther(half + 1, self.low_ratio):
            tried = range(half + 1, highest + 1)
            count += bisect_left(tried, True, key=lambda tried: self.is_farther(tried, self.low_ratio))
        elif half > lowest and self.is_farther(half, self.high_ratio):
            tried = range(lowest + 1, half + 1)
            count = lowest + bisect_left(
                tried, True, key=lambda tried: self.is_farther(tried, self.high_ratio)
            )
        # An endpoint that comes within these would be nearer than the last that the other side gives.
        own_ratio = self.high_ratio if count < half else self.low_ratio
        other_ratio = self.low_ratio if count > half else self.high_ratio
        self.own.end = own_ratio * self.other.arc_length(self.size - count) if count < self.size else 0.0
        self.other.end = self.own.arc_length(count) / other_ratio
        return count


def take_from(lists: list[list[Any]], start: Any, limit: int) -> list[Any]:
    """Return the first `limit` of all lists, each sorted, from the start on and round the ring."""
    starts = [bisect_left(ring_keys, start) for ring_keys in lists]
    after = [(ring_keys, index, len(ring_keys)) for ring_keys, index in zip(lists, starts, strict=True)]
    found = merge_runs(after, limit)
    if len(found) < limit:
        before = [(ring_keys, 0, index) for ring_keys, index in zip(lists, starts, strict=True)]
        found += merge_runs(before, limit - len(found))
    return found


def merge_runs(runs: list[tuple[list[Any], int, int]], limit: int) -> list[Any]:
    """Return the first `limit` of all runs, each a list, its first index and its end, sorted in between.

    Of each run more is read than its part by length. What comes before all that was not read is certain.
    """
    if len(runs) == 1:
        ring_keys, start, end = runs[0]
        return ring_keys[start : min(end, start + limit)]
    total = sum(end - start for _, start, end in runs)
    spare = SPARE_DEVIATIONS
    while True:
        found: list[Any] = []
        unread: Any = None
        for ring_keys, start, end in runs:
            expected = limit * (end - start) / total if total else 0.0
            cut = min(end, start + limit, start + int(expected + spare * (1.0 + math.sqrt(expected))))
            found += ring_keys[start:cut]
            if cut < end and (unread is None or ring_keys[cut] < unread):
                unread = ring_keys[cut]
        found.sort()
        if unread is None or bisect_left(found, unread) >= limit:
            return found[:limit]
        spare *= 4.0
