"""Reads one list of a gateway that uses a subset, entry by entry, with turns of the event loop in between."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from typing import Any

from api_gateway.base.endpoint_list import (
    AddressedEndpoint,
    EndpointListing,
    UnreadableEntries,
    read_list_header,
    with_endpoints,
)
from api_gateway.base.entry_stream import EntryStream
from api_gateway.discovery.compact_store import CompactEndpointStore

ENTRIES_PER_TURN = 50  # of a long list, read in one turn of the event loop: some 2 ms

OnPartialList = Callable[[EndpointListing], None]


@dataclass(frozen=True, slots=True)
class StoredListing(EndpointListing):
    """A full list whose endpoints are all in a store and not in the list itself."""

    store: CompactEndpointStore | None = None


class SubsetListReader:
    """Reads one list: all endpoints go into a store; changes and a subset that the service chose do not.

    Where `on_partial_list` is given the store is the current one, as two take twice the memory. Should the
    list break off, the store holds a mix of two lists until the next list, which is a full one.
    """

    def __init__(
        self,
        body: bytes | bytearray,
        kinds: tuple[str, ...],
        current_store: CompactEndpointStore | None,
        is_used: Callable[[str], bool],
        yield_turn: Callable[[], Awaitable[None]],
        on_partial_list: OnPartialList | None,
    ) -> None:
        """Prepare to read a list.

        Args:
            body: Its text.
            kinds: Kinds of endpoints that a new store takes.
            current_store: The store in use.
            is_used: Whether an endpoint is in the subset, by its id.
            yield_turn: Lets the event loop turn.
            on_partial_list: Gets what precedes the entries of a full list, and then, while it is read, those
                of the subset that leave. It may raise. None: reading has no effect outside.
        """
        self.entries = EntryStream(body)
        self.unreadable = UnreadableEntries()
        self.store = CompactEndpointStore(kinds)
        self.list_number = self.store.list_number
        self.current_store = current_store
        self.is_used = is_used
        self.yield_turn = yield_turn
        self.on_partial_list = on_partial_list
        self.is_full = False  # whether what precedes the entries says that they are all endpoints
        self.named: dict[str, AddressedEndpoint] = {}  # entries of what is not known to be a full list
        self.departing: list[AddressedEndpoint] = []  # of the subset, not passed on yet

    async def read(self) -> EndpointListing:
        """Read the list to its end. Raises ValueError where it is none."""
        readable_count = 0
        for number, entry in enumerate(self.entries):
            if number == 0:
                self._begin()
            if number % ENTRIES_PER_TURN == ENTRIES_PER_TURN - 1:
                self._pass_departing_on()
                await self.yield_turn()
            if (found := self.unreadable.read(entry)) is not None:
                readable_count += 1
                self._add(found)
        listing = read_list_header(self.entries.head)
        self.unreadable.check(readable_count, listing.endpoint_list.mode)
        if not listing.is_subset and listing.endpoint_list.mode != "delta":
            await self._complete_store(self.named.values())
            return StoredListing(
                listing.endpoint_list, listing.addresses, listing.epoch, listing.is_subset, self.store
            )
        if self.is_full:  # that it is a subset stood after the entries
            return with_endpoints(listing, self._stored_entries())
        return with_endpoints(listing, self.named.values())

    def _begin(self) -> None:
        """Decide by what precedes the entries where they go."""
        head = self.entries.head
        self.is_full = is_full_list(head)
        if self.is_full and self.on_partial_list and self.current_store is not None:
            self.on_partial_list(read_list_header(head))
            self.store = self.current_store
            self.store.list_number += 1
            self.list_number = self.store.list_number

    def _add(self, found: AddressedEndpoint) -> None:
        endpoint = found.endpoint
        if self.is_full:
            self.store.store(*found)
        else:
            self.named[endpoint.id] = found
        if endpoint.state != "up" and self.is_used(endpoint.id):
            self.departing.append(found)

    def _pass_departing_on(self) -> None:
        if self.is_full and self.on_partial_list and self.departing:
            self.on_partial_list(with_endpoints(read_list_header(self.entries.head), self.departing))
            self.departing = []

    def _stored_entries(self) -> list[AddressedEndpoint]:
        """Return what this list has put into the store, by id."""
        ids = sorted(name for some in self.store.ids_named_by(self.list_number) for name in some)
        return [found for name in ids if (found := self.store.get(name)) is not None]

    async def _complete_store(self, named: Iterable[AddressedEndpoint]) -> None:
        """Store entries that came before the list was known as a full one, and drop what it does not name."""
        for count, found in enumerate(named, 1):
            self.store.store(*found)
            if count % ENTRIES_PER_TURN == 0:
                await self.yield_turn()
        unnamed = []
        for some in self.store.ids_not_named_since(self.list_number):
            unnamed += some
            await self.yield_turn()
        for count, name in enumerate(unnamed, 1):
            self.store.remove_endpoint(name, self.list_number)
            if count % ENTRIES_PER_TURN == 0:
                await self.yield_turn()


def is_full_list(head: dict[str, Any]) -> bool:
    """Return whether what precedes the entries says that they are all endpoints.

    A list that holds a subset which the service chose says so there.
    """
    return bool(head.get("full")) and head.get("view") is not True
