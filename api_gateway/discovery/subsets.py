"""The subset of the endpoints that a gateway uses. Only with the configuration key `view`.

A list service that knows subsets sends the subset alone. Another one sends all endpoints: then the same
subset is taken from them here. All of them lie in a compact store, so that any can be brought in when the
subset changes.
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

UNSUPPORTED_STATUSES = (400, 404, 414)  # by which a service may say that it knows no subsets


class EndpointSubset:
    """The subset of one gateway, from whatever service answers.

    Lists pass in their order through read(), then bring(), then take(); only what passes the last is in
    force. `shelf` has all endpoints where the service sent them; None: the service chose the subset.
    `reading` counts the lists that are being read.
    """

    def __init__(self, config: SubsetConfig, index: int, zone: str) -> None:
        """Initialise the subset, of no endpoints yet.

        Args:
            config: Its size and kinds.
            index: Number of the gateway.
            zone: The gateway's own.
        """
        self.config = config
        self.view = SubsetSpec(index, config.size, zone, config.kinds)
        self.is_chosen_by_service = False  # then watches name the subset, too
        self.shelf: CompactEndpointStore | None = None
        self.used: dict[str, bytes] = {}  # encoded endpoints of the subset, as the decision module has them
        self.applied_view: SubsetSpec | None = None  # that of `used`, where the subset was taken here
        self.group_members: dict[str | None, set[str]] = {}  # ids of `used`, by group
        self.total = 0  # available endpoints in all groups of the subset
        self.reading = 0

    def resize(self, size: int) -> bool:
        """Ask for `size` available endpoints, within the bounds.

        Returns:
            Whether the subset is another one now.
        """
        bounded = min(max(self.config.size, size), self.config.max_size)
        return self.move(self.view.index, self.view.zone, bounded)

    def move(self, index: int, zone: str, size: int | None = None) -> bool:
        """Take the subset for another gateway index and zone.

        Returns:
            Whether it is another one now.
        """
        last_view = self.view
        self.view = replace(self.view, index=index, zone=zone, size=size or self.view.size)
        return self.view != last_view

    def status(self) -> dict[str, Any]:
        """Return what operators see of the subset, as JSON."""
        return {
            "size": self.view.size,
            "hosts": len(self.used),
            "total": self.total,
            "by_service": self.is_chosen_by_service,
            "shelf": 0 if self.shelf is None else self.shelf.size(),
        }

    def may_enter(self, name: str) -> bool:
        """Return whether an endpoint may enter the subset.

        A service that sends the subset alone names no others, so any may.
        """
        return self.shelf is None or self.shelf.find(name) is not None

    # Calls

    async def ask(
        self,
        fetcher: Fetcher,
        address: Address,
        path: str,
        query: str,
        limit: float,
        on_partial_list: OnPartialList | None = None,
    ) -> EndpointListing:
        """Fetch a list; without `on_partial_list` that has no effect here.

        Args:
            fetcher: Makes the calls.
            address: Where discovery listens.
            path: Of the endpoint list.
            query: Of a watch; empty: the full list is fetched.
            limit: Time limit of each call in seconds.
            on_partial_list: As SubsetListReader has it.

        Raises:
            ValueError: The answer is no list, or the service refuses to watch a subset.
            FetchError, OSError: The call failed.
        """
        if query and not self.is_chosen_by_service:
            return await self.read(await fetcher.fetch(address, f"{path}?{query}", limit), on_partial_list)
        subset_query = f"{query}&{self.view.query()}" if query else self.view.query()
        try:
            body = await fetcher.fetch(address, f"{path}?{subset_query}", limit)
        except StatusError as err:
            if err.status not in UNSUPPORTED_STATUSES:
                raise
            if query:
                raise ValueError(f"the watch of a view is refused: {err}") from err
            body = await fetcher.fetch(address, path, limit)
        return await self.read(body, on_partial_list)

    async def read(
        self, body: bytes | bytearray, on_partial_list: OnPartialList | None = None
    ) -> EndpointListing:
        """Read a list, as SubsetListReader does.

        Raises:
            ValueError: It is none, or has changes of another subset than the one in force.
        """
        self.reading += 1
        try:
            reader = SubsetListReader(
                body,
                self.view.kinds,
                self.shelf,
                lambda endpoint_id: endpoint_id in self.used,
                self.yield_turn,
                on_partial_list,
            )
            listing = await reader.read()
            if listing.endpoint_list.mode == "delta" and listing.is_subset != self.is_chosen_by_service:
                raise ValueError("changes of another part of the hosts")
            return listing
        finally:
            self.reading -= 1

    async def yield_turn(self) -> None:
        """Let the event loop turn."""
        await asyncio.sleep(0)

    # Lists that take effect

    async def bring(self, listing: EndpointListing) -> None:
        """Put changes into the store.

        A call that ends in between is made again from the same version on, and what was stored already is
        stored once more.
        """
        if self.shelf is None or listing.endpoint_list.mode != "delta":
            return
        for count, endpoint in enumerate(listing.endpoint_list.endpoints, 1):
            self.shelf.store(endpoint, listing.addresses.get(endpoint.id))
            if count % ENTRIES_PER_TURN == 0:
                await self.yield_turn()

    def take(
        self,
        listing: EndpointListing,
        correct: Callable[[api.Endpoint], api.Endpoint],
        drained_ids: Iterable[str],
    ) -> EndpointListing:
        """Let a list take effect and return what of it the decision module is to get.

        Args:
            listing: The list.
            correct: Returns an endpoint as it holds here, as a list that lags may bring back others.
            drained_ids: Endpoints that lists have named as draining or removed.
        """
        if listing.endpoint_list.mode != "delta":
            self.is_chosen_by_service = listing.is_subset
            self.shelf = listing.store if isinstance(listing, StoredListing) else None
            self._forget()
        store = self.shelf
        if store is None:
            return self._record_chosen_subset(listing)
        for endpoint in listing.endpoint_list.endpoints:  # changes, which are in the store
            correct(endpoint)
        if isinstance(listing, StoredListing):
            names = (*store.draining_ids(), *drained_ids)
            for endpoint, address in [found for name in names if (found := store.get(name))]:
                store.store(correct(endpoint), address)
        return self.shift(
            EndpointListing(
                listing.endpoint_list, listing.addresses, listing.epoch, listing.is_subset
            )  # without the store
        )

    def _record_chosen_subset(self, listing: EndpointListing) -> EndpointListing:
        """Note what the service sent as the subset."""
        self.total = listing.endpoint_list.available_total
        for endpoint in listing.endpoint_list.endpoints:
            if endpoint.state == "down":
                self.used.pop(endpoint.id, None)
            else:
                self.used[endpoint.id] = encode_endpoint(endpoint, listing.addresses.get(endpoint.id))
        return listing

    def shift(self, listing: EndpointListing) -> EndpointListing:
        """Return the list with the endpoints that the subset takes from the store.

        Of changes, with what changed among these since the last time.
        """
        assert self.shelf is not None
        store = self.shelf
        is_moved = self.view != self.applied_view
        groups = [group for group in self.view.groups if is_moved or group in store.touched_groups]
        before = {name: self.used.pop(name) for group in groups for name in self.group_members.get(group, ())}
        after = self._select(store, groups)
        self.used |= after
        self.applied_view = self.view
        store.touched_groups = set()
        if groups:
            self.total = store.total(self.view)
        listing = with_endpoints(listing, changed_endpoints(before, after))
        return replace(listing, endpoint_list=replace(listing.endpoint_list, available_total=self.total))

    def _select(self, store: CompactEndpointStore, groups: list[str | None]) -> dict[str, bytes]:
        """Return the encoded endpoints of the subset in these groups, and note their ids."""
        selected: dict[str, bytes] = {}
        for group in groups:
            records = [record for part in store.parts(self.view, group) for record in part.members]
            encoded = {store.id_of(record): store.encoded_endpoint(record) for record in records}
            self.group_members[group] = set(encoded)
            selected |= dict(sorted(encoded.items()))
        return selected

    def _forget(self) -> None:
        """Forget what the decision module has: the next list is a full one."""
        self.used = {}
        self.applied_view = None
        self.group_members = {}

    def resume(self, query: object) -> bool:
        """Return whether watches may go on from a cached list.

        Args:
            query: That of the subset which the service chose, as the list was cached with it.
        """
        self.is_chosen_by_service = query == self.view.query()
        return self.is_chosen_by_service

    def cut(self, listing: EndpointListing) -> EndpointListing:
        """Return the subset of a list that is known from before."""
        self._forget()
        self.shelf = CompactEndpointStore(self.view.kinds)
        for endpoint in listing.endpoint_list.endpoints:
            self.shelf.store(endpoint, listing.addresses.get(endpoint.id))
        subset = self.shift(listing)
        self.shelf = None
        self.total = max(self.total, listing.endpoint_list.available_total)  # the list may be a subset itself
        return replace(subset, endpoint_list=replace(subset.endpoint_list, available_total=self.total))


def changed_endpoints(before: dict[str, bytes], after: dict[str, bytes]) -> list[AddressedEndpoint]:
    """Return what is new or different in `after`, then what is gone from `before`, as removed endpoints."""
    changed = [
        decode_endpoint(name, encoded) for name, encoded in after.items() if before.get(name) != encoded
    ]
    removed: list[AddressedEndpoint] = [
        AddressedEndpoint(replace(decode_endpoint(name, before[name]).endpoint, state="down"), None)
        for name in sorted(before.keys() - after.keys())
    ]
    return [*changed, *removed]
