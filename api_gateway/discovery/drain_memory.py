"""Remembers which endpoints are draining or removed, so that an older list cannot restore them."""

from __future__ import annotations

from dataclasses import replace

from api_gateway import interface as api
from api_gateway.base.endpoint_list import EndpointListing

MAX_REMEMBERED_DRAINS = 1024  # endpoints; the oldest is evicted first


class DrainMemory:
    """Remembers draining and removed endpoints and the version of the last list.

    `last_version` is the version of the last list, even if it came from another address.
    """

    def __init__(self) -> None:
        """Initialise with no remembered endpoints."""
        self.last_version = 0
        self.started_at: dict[str, float] = {}  # start times of remembered endpoints, by id, oldest first

    def is_older(self, listing: EndpointListing) -> bool:
        """Return whether a list is a full list that is no newer than the last list."""
        return listing.endpoint_list.mode != "delta" and listing.endpoint_list.version <= self.last_version

    def correct(self, listing: EndpointListing) -> EndpointListing:
        """Return the list with the states that apply here, and remember draining and removed endpoints."""
        is_older = self.is_older(listing)
        endpoints = tuple(
            self.correct_endpoint(endpoint, is_older) for endpoint in listing.endpoint_list.endpoints
        )
        while len(self.started_at) > MAX_REMEMBERED_DRAINS:
            del self.started_at[next(iter(self.started_at))]
        self.last_version = listing.endpoint_list.version
        return replace(listing, endpoint_list=replace(listing.endpoint_list, endpoints=endpoints))

    def correct_endpoint(self, endpoint: api.Endpoint, is_older: bool) -> api.Endpoint:
        """Return an endpoint with the state that applies here.

        Another address or a lagging service may send a full list that is no newer than the last one. Such a
        list does not restore an endpoint that was draining or removed, unless the endpoint has been started
        since.

        Args:
            endpoint: The endpoint as the list describes it.
            is_older: Whether that list is no newer than the last one.
        """
        if endpoint.state != "up":
            self.started_at.pop(endpoint.id, None)
            self.started_at[endpoint.id] = endpoint.started_at
        elif is_older and endpoint.started_at <= self.started_at.get(endpoint.id, -1.0):
            return replace(endpoint, state="leaving")
        else:
            self.started_at.pop(endpoint.id, None)
        return endpoint
