"""The subset of the endpoints that a gateway uses; only with the configuration key `view`.

A list service that supports subsets sends only the subset. Any other service sends all endpoints, and the
same subset is selected from them here. All endpoints are stored compactly, so that any of them can be used
when the subset changes.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from api_gateway import interface as api
from api_gateway.base.endpoint_list import Address, AddressedEndpoint, EndpointListing, with_endpoints
from api_gateway.base.subsets import SubsetSpec
from api_gateway.discovery.compact_store import (
    CompactEndpointStore,
    decode_endpoint,
    encode_endpoint,
)
from api_gateway.discovery.fetcher import Fetcher, StatusError
from api_gateway.discovery.subset_config import SubsetConfig
from api_gateway.discovery.subset_reader import (
    ENTRIES_PER_TURN,
    OnPartialList,
    StoredListing,
    SubsetListReader,
)

UNSUPPORTED_STATUSES = (400, 404, 414)  # a service without support for subsets may return these


class EndpointSubset:
    """The subset of one gateway, whether or not the service supports subsets.

    Each list passes through read(), then store_changes(), then apply(), in the order of the lists. It takes
    effect only with apply(). `endpoint_store` contains all endpoints if the service sends them, and is None
    if the service chose the subset. `open_reads` is the number of lists that are being read.
    """

    def __init__(self, config: SubsetConfig, index: int, zone: str) -> None:
        """Initialise the subset without endpoints.

        Args:
            config: Size and kinds of the subset.
            index: Index of the gateway.
            zone: Zone of the gateway.
        """
        self.config = config
        self.spec = SubsetSpec(index, config.size, zone, config.kinds)
        self.is_chosen_by_service = False  # if so, watches send the subset query as well
        self.endpoint_store: CompactEndpointStore | None = None
        self.selected: dict[str, bytes] = {}  # encoded endpoints that the decision engine has, by id
        self.applied_spec: SubsetSpec | None = None  # spec of `selected`, if the subset was selected here
        self.group_members: dict[str | None, set[str]] = {}  # ids in `selected`, by group
        self.total = 0  # available endpoints in all groups of the subset
        self.open_reads = 0

    def resize(self, size: int) -> bool:
        """Change the size to `size` available endpoints, within the bounds.

        Returns:
            Whether the subset has changed.
        """
        bounded = min(max(self.config.size, size), self.config.max_size)
        return self.relocate(self.spec.index, self.spec.zone, bounded)

    def relocate(self, index: int, zone: str, size: int | None = None) -> bool:
        """Switch to the subset for another gateway index and zone.

        Returns:
            Whether the subset has changed.
        """
        previous_spec = self.spec
        self.spec = replace(self.spec, index=index, zone=zone, size=size or self.spec.size)
        return self.spec != previous_spec

    def status(self) -> dict[str, Any]:
        """Return the status of the subset for operators, as JSON."""
        return {
            "size": self.spec.size,
            "hosts": len(self.selected),
            "total": self.total,
            "by_service": self.is_chosen_by_service,
            "shelf": 0 if self.endpoint_store is None else self.endpoint_store.size(),
        }

    def may_contain(self, endpoint_id: str) -> bool:
        """Return whether an endpoint may become part of the subset.

        A service that sends only the subset does not list the other endpoints, so any endpoint may.
        """
        return self.endpoint_store is None or self.endpoint_store.find(endpoint_id) is not None

    # Calls

    async def fetch(
        self,
        fetcher: Fetcher,
        address: Address,
        path: str,
        query: str,
        limit: float,
        on_partial_list: OnPartialList | None = None,
    ) -> EndpointListing:
        """Fetch a list. Without `on_partial_list` the subset and its store stay unchanged.

        Args:
            fetcher: Makes the calls.
            address: Address of discovery.
            path: URL path of the endpoint list.
            query: URL query of a watch; empty: the full list is fetched.
            limit: Time limit of each call in seconds.
            on_partial_list: As in SubsetListReader.

        Raises:
            ValueError: The answer is not a list, or the service refuses to watch a subset.
            FetchError, OSError: The call failed.
        """
        if query and not self.is_chosen_by_service:
            return await self.read(await fetcher.fetch(address, f"{path}?{query}", limit), on_partial_list)
        subset_query = f"{query}&{self.spec.query()}" if query else self.spec.query()
        try:
            body = await fetcher.fetch(address, f"{path}?{subset_query}", limit)
        except StatusError as err:
            if err.status not in UNSUPPORTED_STATUSES:
                raise
            if query:
                raise ValueError(f"the service refuses to watch a subset: {err}") from err
            body = await fetcher.fetch(address, path, limit)
        return await self.read(body, on_partial_list)

    async def read(
        self, body: bytes | bytearray, on_partial_list: OnPartialList | None = None
    ) -> EndpointListing:
        """Read a list with a SubsetListReader.

        Raises:
            ValueError: The body is not a list, or contains changes of another subset than the current one.
        """
        self.open_reads += 1
        try:
            reader = SubsetListReader(
                body,
                self.spec.kinds,
                self.endpoint_store,
                lambda endpoint_id: endpoint_id in self.selected,
                self.yield_turn,
                on_partial_list,
            )
            listing = await reader.read()
            if listing.endpoint_list.mode == "delta" and listing.is_subset != self.is_chosen_by_service:
                raise ValueError("changes of another part of the hosts")
            return listing
        finally:
            self.open_reads -= 1

    async def yield_turn(self) -> None:
        """Yield to the event loop."""
        await asyncio.sleep(0)

    # Applying lists

    async def store_changes(self, listing: EndpointListing) -> None:
        """Put the changes of a list into the store, yielding to the event loop in between.

        If this is interrupted, the call is repeated from the same version and stores the same changes again.
        """
        if self.endpoint_store is None or listing.endpoint_list.mode != "delta":
            return
        for count, endpoint in enumerate(listing.endpoint_list.endpoints, 1):
            self.endpoint_store.store(endpoint, listing.addresses.get(endpoint.id))
            if count % ENTRIES_PER_TURN == 0:
                await self.yield_turn()

    def apply(
        self,
        listing: EndpointListing,
        correct: Callable[[api.Endpoint], api.Endpoint],
        drained_ids: Iterable[str],
    ) -> EndpointListing:
        """Apply a list and return the list to pass to the decision engine.

        Args:
            listing: The list.
            correct: Returns an endpoint with the state that applies here, since a stale list may contain
                endpoints that have been drained or removed.
            drained_ids: Ids of endpoints that lists have marked as draining or removed.
        """
        if listing.endpoint_list.mode != "delta":
            self.is_chosen_by_service = listing.is_subset
            self.endpoint_store = listing.store if isinstance(listing, StoredListing) else None
            self._clear_selection()
        store = self.endpoint_store
        if store is None:
            return self._record_chosen_subset(listing)
        for endpoint in listing.endpoint_list.endpoints:  # changes, which store_changes() has stored
            correct(endpoint)
        if isinstance(listing, StoredListing):
            names = (*store.draining_ids(), *drained_ids)
            for endpoint, address in [found for name in names if (found := store.get(name))]:
                store.store(correct(endpoint), address)
        # The copy does not refer to the store.
        return self.update_selection(
            EndpointListing(listing.endpoint_list, listing.addresses, listing.epoch, listing.is_subset)
        )

    def _record_chosen_subset(self, listing: EndpointListing) -> EndpointListing:
        """Record the endpoints that the service sent as the subset."""
        self.total = listing.endpoint_list.available_total
        for endpoint in listing.endpoint_list.endpoints:
            if endpoint.state == "down":
                self.selected.pop(endpoint.id, None)
            else:
                self.selected[endpoint.id] = encode_endpoint(endpoint, listing.addresses.get(endpoint.id))
        return listing

    def update_selection(self, listing: EndpointListing) -> EndpointListing:
        """Select the subset from the store again and return the list with its changed endpoints.

        After a full list, which clears the previous selection, these are all endpoints of the subset.
        """
        assert self.endpoint_store is not None
        store = self.endpoint_store
        is_spec_changed = self.spec != self.applied_spec
        groups = [group for group in self.spec.groups if is_spec_changed or group in store.touched_groups]
        before = {
            name: self.selected.pop(name) for group in groups for name in self.group_members.get(group, ())
        }
        after = self._select(store, groups)
        self.selected |= after
        self.applied_spec = self.spec
        store.touched_groups = set()
        if groups:
            self.total = store.total(self.spec)
        listing = with_endpoints(listing, changed_endpoints(before, after))
        return replace(listing, endpoint_list=replace(listing.endpoint_list, available_total=self.total))

    def _select(self, store: CompactEndpointStore, groups: list[str | None]) -> dict[str, bytes]:
        """Return the encoded endpoints of the subset in these groups, and record their ids."""
        selected: dict[str, bytes] = {}
        for group in groups:
            records = [record for part in store.parts(self.spec, group) for record in part.members]
            encoded = {store.id_of(record): store.encoded_endpoint(record) for record in records}
            self.group_members[group] = set(encoded)
            selected |= dict(sorted(encoded.items()))
        return selected

    def _clear_selection(self) -> None:
        """Clear the selection, because the next list to the decision engine is a full one."""
        self.selected = {}
        self.applied_spec = None
        self.group_members = {}

    def resume(self, query: object) -> bool:
        """Return whether watches may continue from a cached list.

        Args:
            query: Query of the subset chosen by the service, as stored with the cached list.
        """
        self.is_chosen_by_service = query == self.spec.query()
        return self.is_chosen_by_service

    def select_from(self, listing: EndpointListing) -> EndpointListing:
        """Select the subset from the initial list and return the list with its endpoints."""
        self._clear_selection()
        self.endpoint_store = CompactEndpointStore(self.spec.kinds)
        for endpoint in listing.endpoint_list.endpoints:
            self.endpoint_store.store(endpoint, listing.addresses.get(endpoint.id))
        subset = self.update_selection(listing)
        self.endpoint_store = None
        self.total = max(self.total, listing.endpoint_list.available_total)  # the list itself may be a subset
        return replace(subset, endpoint_list=replace(subset.endpoint_list, available_total=self.total))


def changed_endpoints(before: dict[str, bytes], after: dict[str, bytes]) -> list[AddressedEndpoint]:
    """Return the endpoints that are new or changed in `after`, then those missing from it, as removed."""
    changed = [
        decode_endpoint(name, encoded) for name, encoded in after.items() if before.get(name) != encoded
    ]
    removed: list[AddressedEndpoint] = [
        AddressedEndpoint(replace(decode_endpoint(name, before[name]).endpoint, state="down"), None)
        for name in sorted(before.keys() - after.keys())
    ]
    return [*changed, *removed]
