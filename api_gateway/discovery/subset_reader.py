"""Reads a list for a gateway with a subset, entry by entry, yielding to the event loop in between."""

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

ENTRIES_PER_TURN = 50  # entries of a list read per turn of the event loop, which takes about 2 ms

OnPartialList = Callable[[EndpointListing], None]


@dataclass(frozen=True, slots=True)
class StoredListing(EndpointListing):
    """A full list whose endpoints are in a store instead of the list itself."""

    store: CompactEndpointStore | None = None


class SubsetListReader:
    """Reads one list, and puts its endpoints into a store if the list contains all endpoints.

    Changes and subsets chosen by the service are returned as they are. If `on_partial_list` is given, a full
    list is read into the current store, because two stores would need twice the memory. If reading fails
    halfway, the store contains a mix of two lists until the next list, which is a full one.
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
            body: Text of the list.
            kinds: Kinds of endpoints that a new store accepts.
            current_store: The store in use.
            is_used: Returns whether the endpoint with an id is in the subset.
            yield_turn: Yields to the event loop.
            on_partial_list: Called with the header of a full list before its entries are read, then with the
                endpoints of the subset that are draining or removed, as they are read. It may raise. None:
                reading does not change the store in use.
        """
        self.entries = EntryStream(body)
        self.unreadable = UnreadableEntries()
        self.store = CompactEndpointStore(kinds)
        self.list_number = self.store.list_number
        self.current_store = current_store
        self.is_used = is_used
        self.yield_turn = yield_turn
        self.on_partial_list = on_partial_list
        self.is_full = False  # whether the header says that the entries are all endpoints
        self.collected: dict[str, AddressedEndpoint] = {}  # entries of a list not known to be a full one
        self.departing: list[AddressedEndpoint] = []  # endpoints of the subset that were not reported yet

    async def read(self) -> EndpointListing:
        """Read the complete list. Raises ValueError if the body is not an endpoint list."""
        readable_count = 0
        for number, entry in enumerate(self.entries):
            if number == 0:
                self._on_first_entry()
            if number % ENTRIES_PER_TURN == ENTRIES_PER_TURN - 1:
                self._report_departing()
                await self.yield_turn()
            if (found := self.unreadable.read(entry)) is not None:
                readable_count += 1
                self._add_entry(found)
        listing = read_list_header(self.entries.head)
        self.unreadable.check(readable_count, listing.endpoint_list.mode)
        if not listing.is_subset and listing.endpoint_list.mode != "delta":
            await self._complete_store(self.collected.values())
            return StoredListing(
                listing.endpoint_list, listing.addresses, listing.epoch, listing.is_subset, self.store
            )
        if self.is_full:  # the field that marks it as a subset followed the entries
            return with_endpoints(listing, self._stored_entries())
        return with_endpoints(listing, self.collected.values())

    def _on_first_entry(self) -> None:
        """Choose the destination of the entries by the fields that precede them."""
        head = self.entries.head
        self.is_full = is_full_list(head)
        if self.is_full and self.on_partial_list and self.current_store is not None:
            self.on_partial_list(read_list_header(head))
            self.store = self.current_store
            self.store.list_number += 1
            self.list_number = self.store.list_number

    def _add_entry(self, found: AddressedEndpoint) -> None:
        endpoint = found.endpoint
        if self.is_full:
            self.store.store(*found)
        else:
            self.collected[endpoint.id] = found
        if endpoint.state != "up" and self.is_used(endpoint.id):
            self.departing.append(found)

    def _report_departing(self) -> None:
        if self.is_full and self.on_partial_list and self.departing:
            self.on_partial_list(with_endpoints(read_list_header(self.entries.head), self.departing))
            self.departing = []

    def _stored_entries(self) -> list[AddressedEndpoint]:
        """Return the entries that this list has put into the store, sorted by id."""
        ids = sorted(name for batch in self.store.ids_last_listed_in(self.list_number) for name in batch)
        return [found for name in ids if (found := self.store.get(name)) is not None]

    async def _complete_store(self, collected: Iterable[AddressedEndpoint]) -> None:
        """Store the collected entries of a full list and remove the endpoints that it does not contain."""
        for count, found in enumerate(collected, 1):
            self.store.store(*found)
            if count % ENTRIES_PER_TURN == 0:
                await self.yield_turn()
        unlisted_ids = []
        for batch in self.store.ids_not_listed_since(self.list_number):
            unlisted_ids += batch
            await self.yield_turn()
        for count, name in enumerate(unlisted_ids, 1):
            self.store.remove_endpoint(name, self.list_number)
            if count % ENTRIES_PER_TURN == 0:
                await self.yield_turn()


def is_full_list(head: dict[str, Any]) -> bool:
    """Return whether the fields before the entries say that the list contains all endpoints.

    A list with a subset chosen by the service is marked there as such.
    """
    return bool(head.get("full")) and head.get("view") is not True
