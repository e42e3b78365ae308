"""Chooses the subset of the endpoints that a gateway uses. No I/O, no clock, no random draws.

Endpoints and gateways have positions on rings of size 2**63. A subset contains the endpoints that follow its
gateway's position, half of them in the gateway's own zone. If kinds (services) are named, this holds for each
kind. Positions depend only on names and numbers. Therefore adding or removing an endpoint changes only the
subsets whose arc contains it, by one endpoint each, and adding or removing a gateway changes no other subset.
Weights are ignored.

If the gateway's own zone always contributed half, endpoints of a small zone would be in more subsets than
those of a large zone. With the same number of gateways in each of z zones, all endpoints are in the same
number of subsets if the arc in the own zone is z - 1 times as long as the arc in the other zones. So the own
zone contributes half as long as the arcs have this ratio within random variation, and otherwise less or more.
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
# The golden section of the ring. Steps of this length fill the ring evenly, however many there are.
GOLDEN_RATIO_STEP = 5700357409661599243
MIN_GROUP_SIZE = 6  # minimum number of endpoints of each kind, if the kind has as many
MAX_SUBSET_SIZE = 65536
MAX_KINDS = 4096
MAX_NAME_CHARS = 128  # characters of the name of a zone or a kind
MAX_NUMBER_DIGITS = 18  # digits of a number in a query
# Divided by the root of the group size, the deviation (four standard deviations) of the ratio of a group's
# two arcs that random variation alone explains.
ARC_RATIO_TOLERANCE = 8.0
SPARE_DEVIATIONS = 2.5  # standard deviations read from each list beyond its expected part of the result

RingKey = tuple[int, str]  # position and id of an endpoint; the id breaks ties


def position_of_endpoint(name: str) -> int:
    """Return the 63-bit position of an endpoint, a hash of its id."""
    text = f"{name}\x1fplace".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big") >> 1


@dataclass(frozen=True, slots=True)
class SubsetSpec:
    """Parameters of a gateway's subset.

    Kinds are sorted and deduplicated, so that the same subset has equal parameters.

    Raises:
        ValueError: A value is out of range.
    """

    index: int  # number of the gateway
    size: int  # number of available endpoints of all kinds together
    zone: str = ""  # zone of the gateway; empty: zones are ignored
    kinds: tuple[str, ...] = ()  # empty: all endpoints form one group

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

        Consecutive numbers are spread evenly over the ring. So is every n-th number, as those of one of n
        zones, if n is less than ten; some larger strides are less even.
        """
        return self.index * GOLDEN_RATIO_STEP % RING_SIZE

    @property
    def groups(self) -> tuple[str | None, ...]:
        """The groups: the named kinds, or None for a single group of all endpoints."""
        return self.kinds or (None,)

    @property
    def group_size(self) -> int:
        """Number of available endpoints requested of each group."""
        return max(MIN_GROUP_SIZE, -(-self.size // len(self.kinds))) if self.kinds else self.size

    def query(self) -> str:
        """Return the URL query: view=INDEX,SIZE,ZONE, and kinds=A,B if kinds are named."""
        params = {"view": f"{self.index},{self.size},{self.zone}"}
        if self.kinds:
            params["kinds"] = ",".join(quote(kind, safe="") for kind in self.kinds)
        return urlencode(params)


def is_encodable(name: str) -> bool:
    """Return whether a name can be encoded as UTF-8, which a lone surrogate cannot."""
    return not any("\ud800" <= char <= "\udfff" for char in name)


def read_subset_spec(view: str, kinds: str | None = None) -> SubsetSpec:
    """Parse subset parameters from the values of a URL query.

    Args:
        view: INDEX,SIZE or INDEX,SIZE,ZONE, after the quoting of the URL has been undone.
        kinds: Kinds separated by commas, each quoted a second time; None: no kinds are named.

    Raises:
        ValueError: A value is malformed or out of range.
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
    """The members of a subset in one group, either of its own zone or of all other zones."""

    group: str | None
    is_own_zone: bool
    members: tuple[Any, ...]  # ids, or what EndpointRings.members_of() returns, in ring order
    end: RingKey | None  # changes after it do not affect the part; None: any change may


@dataclass(slots=True)
class RingEntry:
    """The ring key and the attributes of an endpoint that select its rings."""

    ring_key: RingKey
    kind: str
    zone: str
    up: bool


class Ring:
    """The available and the draining endpoints of one group in one zone, each sorted by position."""

    __slots__ = ("draining", "up")

    def __init__(self) -> None:
        """Initialise an empty ring."""
        self.up: list[Any] = []
        self.draining: list[Any] = []


class EndpointRings:
    """All endpoints. A change costs two binary searches and two list shifts, however many subsets there are.

    A subclass may represent ring keys differently if it overrides position_key(), position_of(), id_of() and
    members_of().
    """

    def __init__(self) -> None:
        """Initialise with no endpoints."""
        self.entries: dict[str, RingEntry] = {}  # by id
        self.groups: dict[str | None, dict[str, Ring]] = {None: {}}  # by kind (None: all), by zone

    def set_endpoint(self, name: str, kind: str, zone: str, up: bool) -> None:
        """Add or update an endpoint, which is available (`up`) or draining."""
        previous = self.entries.get(name)
        if previous is not None and (previous.kind, previous.zone, previous.up) == (kind, zone, up):
            return
        self.remove_endpoint(name)
        ring_key = (position_of_endpoint(name), name) if previous is None else previous.ring_key
        self.entries[name] = RingEntry(ring_key, kind, zone, up)
        for group in (None, kind):
            ring = self.groups.setdefault(group, {}).setdefault(zone, Ring())
            insort(ring.up if up else ring.draining, ring_key)

    def remove_endpoint(self, name: str) -> None:
        """Remove an endpoint if it is stored."""
        endpoint = self.entries.pop(name, None)
        if endpoint is None:
            return
        for group in (None, endpoint.kind):
            ring = self.groups[group][endpoint.zone]
            ring_keys = ring.up if endpoint.up else ring.draining
            del ring_keys[bisect_left(ring_keys, endpoint.ring_key)]
            self.remove_empty_ring(group, endpoint.zone, ring)

    def remove_empty_ring(self, group: str | None, zone: str, ring: Ring) -> None:
        """Remove a ring if it has no endpoints, and its group if it has no other ring."""
        if not ring.up and not ring.draining:
            del self.groups[group][zone]
            if not self.groups[group] and group is not None:
                del self.groups[group]

    @staticmethod
    def position_key(position: int) -> Any:
        """Return a lower bound of the ring keys at a position, which sorts after those of lower positions."""
        return position, ""

    @staticmethod
    def position_of(ring_key: Any) -> int:
        """Return the position in a ring key."""
        position: int = ring_key[0]
        return position

    @staticmethod
    def id_of(ring_key: Any) -> str:
        """Return the endpoint id in a ring key."""
        endpoint_id: str = ring_key[1]
        return endpoint_id

    @staticmethod
    def members_of(ring_keys: list[Any]) -> list[Any]:
        """Return the members of a SubsetPart for these ring keys, which are their ids."""
        return list(map(itemgetter(1), ring_keys))

    def total(self, view: SubsetSpec) -> int:
        """Return the number of available endpoints in all groups of a subset."""
        return sum(len(ring.up) for group in view.groups for ring in self.groups.get(group, {}).values())

    def members(self, view: SubsetSpec) -> set[str]:
        """Return a subset with the draining endpoints between its members, at most twice its size."""
        return {name for group in view.groups for part in self.parts(view, group) for name in part.members}

    def zone_count(self, group: str | None) -> int:
        """Return the number of named zones with available endpoints of a group, in time linear in zones."""
        return sum(bool(zone and ring.up) for zone, ring in self.groups.get(group, {}).items())

    def parts(self, view: SubsetSpec, group: str | None) -> Iterator[SubsetPart]:
        """Yield the parts of a subset in a group.

        Half of the endpoints are in the own zone and the rest in the others, or as ZoneSplit decides if the
        zones are uneven. If one side has too few available endpoints, the other contributes more. If both
        have too few, all are taken.

        A draining endpoint is included if it would be a member without draining, so that the gateway is
        informed that it drains. This limits their number when a whole zone drains at once. Draining members
        lie before the last available member, unless all available endpoints are members. So a change
        after the end of a part does not affect it, unless a zone gets its first endpoint or loses its last.
        """
        zones = self.groups.get(group, {})
        size = view.group_size
        own_rings = [zones[view.zone]] if view.zone and view.zone in zones else []
        other_rings = [ring for zone, ring in zones.items() if not view.zone or zone != view.zone]
        half = -(-size // 2) if view.zone else 0
        own = ZoneSide(self, own_rings, view)
        other = ZoneSide(self, other_rings, view)
        own_count = min(own.available, max(half, size - other.available))
        min_count = max(0, size - other.available)
        max_count = min(own.available, size)
        if min_count < max_count:
            own_count = ZoneSplit(own, other, size, self.zone_count(group)).find(
                own_count, min_count, max_count
            )
        other_count = min(other.available, size - own_count)
        if view.zone:
            yield own.part(group, is_own=True, limit=own_count, rank_limit=max(half, own_count))
        yield other.part(group, is_own=False, limit=other_count, rank_limit=max(size - half, other_count))


class ZoneSide:
    """The endpoints of one group in the own zone, or in all other zones, that follow a subset's position."""

    def __init__(self, all_rings: EndpointRings, rings: list[Ring], view: SubsetSpec) -> None:
        """Initialise the side that consists of `rings`, some of `all_rings`."""
        self.all_rings = all_rings
        self.rings = rings
        self.position = view.position
        self.size = view.group_size
        self.available = sum(len(ring.up) for ring in rings)
        self.found: list[Any] = []  # ring keys of the first available endpoints found so far
        self.end = 0.0  # length of the arc within which any change may affect the split

    def _take_from_position(self, lists: list[list[Any]], limit: int) -> list[Any]:
        return take_from(lists, self.all_rings.position_key(self.position), limit)

    def first_available(self, count: int) -> list[Any]:
        """Return at least the first `count` available endpoints, or all if there are fewer.

        They are searched for once, or twice if the split is not half and half.
        """
        if len(self.found) < min(count, self.available):
            limit = self.size + 1 if self.found else count + 1
            self.found = self._take_from_position([ring.up for ring in self.rings], limit)
        return self.found

    def distance(self, ring_key: Any) -> int:
        """Return the distance of a ring key from the subset's position."""
        return (self.all_rings.position_of(ring_key) - self.position) % RING_SIZE

    def arc_length(self, count: int) -> float:
        """Return the length of the arc to the `count`-th available endpoint; inf if there are fewer."""
        if count > self.available:
            return math.inf
        return self.distance(self.first_available(count)[count - 1]) if count else 0.0

    def part(self, group: str | None, *, is_own: bool, limit: int, rank_limit: int) -> SubsetPart:
        """Return the first `limit` available endpoints, and the draining ones of the first `rank_limit`."""
        found = self.first_available(limit)[:limit]
        has_end = limit < self.available
        if draining := [ring.draining for ring in self.rings if ring.draining]:
            id_of = self.all_rings.id_of
            ranks = [(self.distance(ring_key), id_of(ring_key)) for ring_key in found]
            for before, ring_key in enumerate(self._take_from_position(draining, rank_limit)):
                available_before = bisect_left(ranks, (self.distance(ring_key), id_of(ring_key)))
                if before + available_before >= rank_limit or (has_end and available_before >= limit):
                    break
                found.append(ring_key)
        members = tuple(self.all_rings.members_of(found))
        return SubsetPart(group, is_own, members, self._last_relevant(limit) if has_end else None)

    def _last_relevant(self, count: int) -> RingKey | None:
        """Return the last ring key at which a change may affect a part of `count` available endpoints."""
        if self.end >= RING_SIZE - 1:
            return None
        if self.end > self.arc_length(count):
            return (self.position + math.ceil(self.end)) % RING_SIZE, ""
        if not count:
            return self.position, ""
        ring_key = self.first_available(count)[count - 1]
        return self.all_rings.position_of(ring_key), self.all_rings.id_of(ring_key)


class ZoneSplit:
    """Decides how many endpoints of a group are taken from the own zone."""

    def __init__(self, own: ZoneSide, other: ZoneSide, size: int, zone_count: int) -> None:
        """Initialise the split of `size` endpoints; `zone_count` zones have available endpoints."""
        self.own = own
        self.other = other
        self.size = size
        ratio = max(1, zone_count - 1)
        tolerance = 1.0 + ARC_RATIO_TOLERANCE / math.sqrt(size)
        self.low_ratio = ratio / tolerance
        self.high_ratio = ratio * tolerance

    def is_farther(self, count: int, ratio: float) -> bool:
        """Return whether the `count`-th endpoint of the own zone is farther than its replacement elsewhere.

        Distances in the other zones are multiplied by `ratio`.
        """
        return self.own.arc_length(count) > ratio * self.other.arc_length(self.size - count + 1)

    def find(self, half: int, min_count: int, max_count: int) -> int:
        """Return the count closest to `half` for which the ratio of the arcs is within its bounds."""
        count = half
        if half < max_count and not self.is_farther(half + 1, self.low_ratio):
            candidates = range(half + 1, max_count + 1)
            count += bisect_left(
                candidates, True, key=lambda candidate: self.is_farther(candidate, self.low_ratio)
            )
        elif half > min_count and self.is_farther(half, self.high_ratio):
            candidates = range(min_count + 1, half + 1)
            count = min_count + bisect_left(
                candidates, True, key=lambda candidate: self.is_farther(candidate, self.high_ratio)
            )
        # A new endpoint within these arcs would be nearer than the last endpoint of the other side.
        own_ratio = self.high_ratio if count < half else self.low_ratio
        other_ratio = self.low_ratio if count > half else self.high_ratio
        self.own.end = own_ratio * self.other.arc_length(self.size - count) if count < self.size else 0.0
        self.other.end = self.own.arc_length(count) / other_ratio
        return count


def take_from(lists: list[list[Any]], start: Any, limit: int) -> list[Any]:
    """Return the first `limit` ring keys of all sorted lists, from `start` on and around the ring."""
    starts = [bisect_left(ring_keys, start) for ring_keys in lists]
    after = [(ring_keys, index, len(ring_keys)) for ring_keys, index in zip(lists, starts, strict=True)]
    found = merge_runs(after, limit)
    if len(found) < limit:
        before = [(ring_keys, 0, index) for ring_keys, index in zip(lists, starts, strict=True)]
        found += merge_runs(before, limit - len(found))
    return found


def merge_runs(runs: list[tuple[list[Any], int, int]], limit: int) -> list[Any]:
    """Return the first `limit` ring keys of all runs: a list, a first and an end index, sorted in between.

    More of each run is read than its expected part. The result is final once `limit` ring keys sort before
    all that were not read; otherwise more is read.
    """
    if len(runs) == 1:
        ring_keys, start, end = runs[0]
        return ring_keys[start : min(end, start + limit)]
    total = sum(end - start for _, start, end in runs)
    spare_deviations = SPARE_DEVIATIONS
    while True:
        found: list[Any] = []
        first_unread: Any = None
        for ring_keys, start, end in runs:
            expected = limit * (end - start) / total if total else 0.0
            read_end = min(
                end, start + limit, start + int(expected + spare_deviations * (1.0 + math.sqrt(expected)))
            )
            found += ring_keys[start:read_end]
            if read_end < end and (first_unread is None or ring_keys[read_end] < first_unread):
                first_unread = ring_keys[read_end]
        found.sort()
        if first_unread is None or bisect_left(found, first_unread) >= limit:
            return found[:limit]
        spare_deviations *= 4.0
