"""A gateway's view: the part of the hosts that it uses. Only with the key `view`.

A list service that knows views tells the view alone. Another one tells all hosts: then the same view is taken
from them here. All of them lie on a shelf, each as its place on the rings and one short text, so that any can
be brought in when the view shifts.
"""

from __future__ import annotations

import asyncio
import json
import logging
from bisect import bisect_left, insort
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, replace
from sys import intern
from typing import Any

from api_gateway import interface as api
from api_gateway.base.endpoint_list import Address, Entries, Listing, Odd, read_beside, with_hosts
from api_gateway.base.subsets import SIZE_MOST, Ring, Rings, View, place_of
from api_gateway.discovery.fetcher import Fetcher, StatusError

SLICE = 50  # entries of a long list that are read in one turn of the loop: some 2 ms
LOOK = 1000  # records of the shelf that are looked at in one turn: some 1 ms
PLACE, ROUND = 8, 4  # bytes of a record's place and of the number of the list that named it
END = b"\0\0"  # of an id: no other text begins below, so that ids are in their own order
ZERO = b"\0\xff"  # what stands for a zero in an id
GROWTH = 8  # times its size to which a view grows at most, where `most` is not given
UNKNOWN = (400, 404, 414)  # statuses by which a service may tell that it knows no views

Found = tuple[api.Endpoint, Address | None]
Early = Callable[[Listing], None]

log = logging.getLogger(__name__)
encode = json.JSONEncoder(separators=(",", ":")).encode


@dataclass(frozen=True, slots=True)
class Wanted:
    """The key `view`."""

    size: int  # hosts that are up
    kinds: tuple[str, ...]  # none: all hosts as one group
    most: int  # to which the size may grow


def read_size(name: str, value: object) -> int:
    if type(value) is not int or not 1 <= value <= SIZE_MOST:
        raise ValueError(f"view.{name} is {value!r}, not a whole number from 1 to {SIZE_MOST}")
    return value


def read_wanted(told: Any) -> Wanted:
    """Raises ValueError that names the key, its value and what is allowed."""
    if not isinstance(told, dict) or set(told) - {"size", "kinds", "most"}:
        raise ValueError("view may hold size, kinds and most")
    size, kinds = read_size("size", told.get("size")), told.get("kinds", [])
    most = read_size("most", told.get("most", min(SIZE_MOST, GROWTH * size)))
    if most < size:
        raise ValueError(f"view.most is {most}, less than view.size, {size}")
    if not isinstance(kinds, list) or not all(isinstance(kind, str) and kind for kind in kinds):
        raise ValueError(f"view.kinds is {kinds!r}, not a list of names")
    return Wanted(size, View(0, size, "", tuple(kinds)).kinds, most)


class Shelf(Rings):
    """All hosts of some kinds (none named: of all), each as one record on the ring of its group, zone and
    state: its place, its id, the number of the whole list that named it last, and a text in place of objects.
    There is no table of hosts, which would take as much again: one is sought on the rings of all zones."""

    def __init__(self, kinds: tuple[str, ...]) -> None:
        super().__init__()
        self.kinds = frozenset(kinds)
        self.listed: dict[str, str] = {}  # where kinds are named: each host's
        self.touched: set[str | None] = set()  # groups in which something has changed
        self.round = 0  # whole lists that were begun

    # Records

    @staticmethod
    def start(place: int) -> bytes:
        return place.to_bytes(PLACE, "big")

    @staticmethod
    def place(spot: bytes) -> int:
        return int.from_bytes(spot[:PLACE], "big")

    def spot(self, name: str) -> bytes:
        """What its record begins with."""
        return self.start(place_of(name)) + name.encode("utf-8", "surrogatepass").replace(b"\0", ZERO) + END

    @staticmethod
    def name(spot: bytes) -> str:
        return spot[PLACE : spot.index(END, PLACE)].replace(ZERO, b"\0").decode("utf-8", "surrogatepass")

    @staticmethod
    def hosts(spots: list[bytes]) -> list[bytes]:
        return spots

    @staticmethod
    def told(spot: bytes) -> bytes:
        return spot[spot.index(END, PLACE) + len(END) + ROUND :]

    @staticmethod
    def named_in(spot: bytes) -> int:
        at = spot.index(END, PLACE) + len(END)
        return int.from_bytes(spot[at : at + ROUND], "big")

    # Hosts

    def find(self, name: str, zone: str = "") -> tuple[str, Ring, list[bytes], int] | None:
        """Its zone, ring, list and place in that. It is sought in this zone first."""
        spot = self.spot(name)
        zones = self.groups.get(self.listed.get(name) if self.kinds else None, {})
        for there in (zone, *zones) if zone in zones else zones:
            ring = zones[there]
            for spots in (ring.up, ring.draining):
                at = bisect_left(spots, spot)
                if at < len(spots) and spots[at].startswith(spot):
                    return there, ring, spots, at
        return None

    def lay(self, host: api.Endpoint, address: Address | None) -> None:
        if host.state == "down" or (self.kinds and host.kind not in self.kinds):
            self.drop(host.id)
            return
        text = write_host(host, address)
        spot = self.spot(host.id) + self.round.to_bytes(ROUND, "big") + text
        if (found := self.find(host.id, host.zone)) is not None:
            _, _, spots, at = found
            if self.told(spots[at]) == text:
                spots[at] = spot
                return
            self.drop(host.id)
        group = intern(host.kind) if self.kinds else None
        if group is not None:
            self.listed[host.id] = group
        ring = self.groups.setdefault(group, {}).setdefault(intern(host.zone), Ring())
        insort(ring.up if host.state == "up" else ring.draining, spot)
        self.touched.add(group)

    def drop(self, name: str, number: int | None = None) -> None:
        """Where a whole list's number is told, only if neither that list nor a later one has named it."""
        if (found := self.find(name)) is None:
            return
        zone, ring, spots, at = found
        if number is not None and self.named_in(spots[at]) >= number:
            return
        group = self.listed.pop(name) if self.kinds else None
        del spots[at]
        self.tidy(group, zone, ring)
        self.touched.add(group)

    def get(self, name: str) -> Found | None:
        found = self.find(name)
        return None if found is None else read_host(name, self.told(found[2][found[3]]))

    def size(self) -> int:
        return sum(map(len, self.lists()))

    def lists(self) -> Iterator[list[bytes]]:
        for zones in self.groups.values():
            for ring in zones.values():
                yield from (ring.up, ring.draining)

    def leaving(self) -> list[str]:
        return [
            self.name(spot)
            for zones in self.groups.values()
            for ring in zones.values()
            for spot in ring.draining
        ]

    def named(self, number: int) -> Iterator[list[str]]:
        """Hosts that this whole list has named, some at a time."""
        return self.sought(lambda told: told == number)

    def unnamed(self, number: int) -> Iterator[list[str]]:
        """Those that neither it nor a later one has named."""
        return self.sought(lambda told: told < number)

    def sought(self, fits: Callable[[int], bool]) -> Iterator[list[str]]:
        for spots in [list(spots) for spots in self.lists()]:  # which may change between two of them
            for at in range(0, len(spots), LOOK):
                yield [self.name(spot) for spot in spots[at : at + LOOK] if fits(self.named_in(spot))]


def write_host(host: api.Endpoint, address: Address | None) -> bytes:
    return encode(
        [host.zone, host.cell, host.weight, host.kind, host.state, host.started_at, address]
    ).encode()


def read_host(name: str, text: bytes) -> Found:
    *told, address = json.loads(text)
    return api.Endpoint(name, *told), tuple(address) if address else None


class Viewing:
    """The view of one gateway, from whatever service answers. Lists pass in their order through read(), then
    bring(), then take(); only what passes the last is in force."""

    def __init__(self, wanted: Wanted, index: int, zone: str) -> None:
        self.wanted, self.view = wanted, View(index, wanted.size, zone, wanted.kinds)
        self.known = False  # whether the service told the view by itself, so that watches are by view
        self.shelf: Shelf | None = None  # what it told where it did not
        self.used: dict[str, bytes] = {}  # the hosts of the view, as the module was told
        self.shown: View | None = None  # the view that these are of, where it was taken here
        self.members: dict[str | None, set[str]] = {}  # their ids then, by group
        self.total = 0  # hosts that are up in all groups of the view
        self.reading = 0  # lists that are being read
        self.turns = 0  # of the loop that reading took

    def resize(self, size: int) -> bool:
        """Whether the view is another one now."""
        return self.move(self.view.index, self.view.zone, min(max(self.wanted.size, size), self.wanted.most))

    def move(self, index: int, zone: str, size: int | None = None) -> bool:
        last, self.view = self.view, replace(self.view, index=index, zone=zone, size=size or self.view.size)
        return self.view != last

    def told_of(self) -> dict[str, Any]:
        """What operators see of it."""
        return {
            "size": self.view.size,
            "hosts": len(self.used),
            "total": self.total,
            "by_service": self.known,
            "shelf": 0 if self.shelf is None else self.shelf.size(),
        }

    def holds(self, name: str) -> bool:
        """Whether a host may come into the view: a service that tells the view alone names no others."""
        return self.shelf is None or self.shelf.find(name) is not None

    # Calls

    async def ask(
        self,
        fetcher: Fetcher,
        address: Address,
        path: str,
        query: str,
        limit: float,
        early: Early | None = None,
    ) -> Listing:
        """A list as it is told; without `early` that has no effect here. `early` gets what a whole list says
        beside its hosts, and then, while it is read, those that leave of the view: it may raise. Raises what
        went wrong."""
        if query and not self.known:
            return await self.read(await fetcher.fetch(address, f"{path}?{query}", limit), early)
        asked = f"{query}&{self.view.query()}" if query else self.view.query()
        try:
            body = await fetcher.fetch(address, f"{path}?{asked}", limit)
        except StatusError as err:
            if err.status not in UNKNOWN:
                raise
            if query:
                raise ValueError(f"the watch of a view is refused: {err}") from err
            body = await fetcher.fetch(address, path, limit)
        return await self.read(body, early)

    async def read(self, body: bytes | bytearray, early: Early | None = None) -> Listing:
        """Raises ValueError."""
        self.reading += 1
        try:
            return await self.read_each(body, early)
        finally:
            self.reading -= 1

    async def read_each(self, body: bytes | bytearray, early: Early | None) -> Listing:
        """All hosts go on a shelf, entry by entry; a view and changes stay as they are. Where `early` allows
        it that is the shelf that is there, as two take twice the memory. Should the list break off, it lies
        between two lists until the next one, which is whole."""
        entries, odd, count = Entries(body), Odd(), 0
        named, left = dict[str, Found](), list[Found]()
        shelf = Shelf(self.view.kinds)
        mine = shelf.round  # the number of this list
        whole: bool | None = None  # whether it is a list of all hosts; None: that is not known yet
        for number, entry in enumerate(entries):
            if number == 0 and (whole := self.is_whole(entries.told)) and early and self.shelf is not None:
                early(read_beside(entries.told))
                shelf = self.shelf
                shelf.round += 1
                mine = shelf.round
            if number % SLICE == SLICE - 1:
                if whole and early and left:
                    early(with_hosts(read_beside(entries.told), left))
                    left = []
                await self.turn()
            if (found := odd.read(entry)) is None:
                continue
            host, count = found[0], count + 1
            if whole:
                shelf.lay(*found)
            else:
                named[host.id] = found
            if host.state != "up" and host.id in self.used:
                left.append(found)
        listing = read_beside(entries.told)
        odd.weigh(count, listing.hosts.mode)
        if not listing.view and listing.hosts.mode != "delta":
            await self.sort_out(shelf, named.values(), mine)
            return replace(listing, shelf=shelf)
        if listing.hosts.mode == "delta" and listing.view != self.known:
            raise ValueError("changes of another part of the hosts")
        if whole:  # that it is a view stood behind them
            names = sorted(name for some in shelf.named(mine) for name in some)
            named = {name: found for name in names if (found := shelf.get(name)) is not None}
        return with_hosts(listing, named.values())

    async def sort_out(self, shelf: Shelf, named: Iterable[Found], mine: int) -> None:
        """The rest of a whole list: hosts that were `named` before it was known as one, and those that it
        names no more."""
        for number, found in enumerate(named, 1):
            shelf.lay(*found)
            if number % SLICE == 0:
                await self.turn()
        gone = []
        for some in shelf.unnamed(mine):
            gone += some
            await self.turn()
        for number, name in enumerate(gone, 1):
            shelf.drop(name, mine)
            if number % SLICE == 0:
                await self.turn()

    @staticmethod
    def is_whole(told: dict[str, Any]) -> bool:
        """Whether what stands before the entries says that they are all hosts. A list that tells it is by
        view tells so there."""
        return bool(told.get("full")) and told.get("view") is not True

    async def turn(self) -> None:
        self.turns += 1
        await asyncio.sleep(0)

    # Lists that count

    async def bring(self, listing: Listing) -> None:
        """Lays changes on the shelf. A call that ends in between is made again from the same version on, and
        what was laid there already is laid there once more."""
        if self.shelf is None or listing.hosts.mode != "delta":
            return
        for number, host in enumerate(listing.hosts.endpoints, 1):
            self.shelf.lay(host, listing.addresses.get(host.id))
            if number % SLICE == 0:
                await self.turn()

    def take(
        self, listing: Listing, counts: Callable[[api.Endpoint], api.Endpoint], left: Iterable[str]
    ) -> Listing:
        """What of it the module is to be told. `counts` tells a host as it counts here, as a list that lags
        may bring back those that `left`."""
        if listing.hosts.mode != "delta":
            self.known, self.shelf = listing.view, listing.shelf
            self.forget()
        shelf = self.shelf
        if shelf is None:
            return self.note(listing)
        for host in listing.hosts.endpoints:  # changes, which lie on the shelf
            counts(host)
        if listing.shelf is not None:
            for host, address in [found for name in (*shelf.leaving(), *left) if (found := shelf.get(name))]:
                shelf.lay(counts(host), address)
        return self.shift(replace(listing, shelf=None))

    def note(self, listing: Listing) -> Listing:
        """What the service told as the view."""
        self.total = listing.hosts.available_total
        for host in listing.hosts.endpoints:
            if host.state == "down":
                self.used.pop(host.id, None)
            else:
                self.used[host.id] = write_host(host, listing.addresses.get(host.id))
        return listing

    def shift(self, listing: Listing) -> Listing:
        """With those hosts that the view takes from the shelf, or what changed among them since the last."""
        assert self.shelf is not None
        shelf, view = self.shelf, self.view
        groups = [group for group in view.groups if view != self.shown or group in shelf.touched]
        last = {name: self.used.pop(name) for group in groups for name in self.members.get(group, ())}
        now = dict[str, bytes]()
        for group in groups:
            spots = [spot for part in shelf.parts(view, group) for spot in part.hosts]
            found = {shelf.name(spot): shelf.told(spot) for spot in spots}
            self.members[group] = set(found)
            now |= dict(sorted(found.items()))
        self.used |= now
        self.shown, shelf.touched = view, set()
        fresh = [read_host(name, text) for name, text in now.items() if last.get(name) != text]
        gone = [
            (replace(read_host(name, last[name])[0], state="down"), None)
            for name in sorted(last.keys() - now.keys())
        ]
        if groups:
            self.total = shelf.total(view)
        told = with_hosts(listing, [*fresh, *gone])
        return replace(told, hosts=replace(told.hosts, available_total=self.total))

    def forget(self) -> None:
        """What the module was told: the next list is a whole one."""
        self.used, self.shown, self.members = {}, None, {}

    def resume(self, query: Any) -> bool:
        """Whether watches may go on from a list that was kept, with this query of the service's own view."""
        self.known = query == self.view.query()
        return self.known

    def cut(self, listing: Listing) -> Listing:
        """Of a list that is known from before."""
        self.forget()
        self.shelf = Shelf(self.view.kinds)
        for host in listing.hosts.endpoints:
            self.shelf.lay(host, listing.addresses.get(host.id))
        cut, self.shelf = self.shift(listing), None
        self.total = max(self.total, listing.hosts.available_total)  # the list may be of a view itself
        return replace(cut, hosts=replace(cut.hosts, available_total=self.total))
