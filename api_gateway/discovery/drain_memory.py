"""Endpoints that lists have named as draining or removed, so that an older list does not bring them back."""

from __future__ import annotations

from dataclasses import replace

from api_gateway import interface as api
from api_gateway.base.endpoint_list import EndpointListing

MAX_REMEMBERED_DRAINS = 1024  # endpoints; the oldest is forgotten first


class DrainMemory:
    """Remembers draining and removed endpoints and the version of the last list.

    `last_version` is that of the last list, also where another address sent it.
    """

    def __init__(self) -> None:
        """Initialise the drain memory."""
        self.last_version = 0
        self.started_at: dict[str, float] = {}  # start times of remembered endpoints, by id, oldest first

    def is_older(self, listing: EndpointListing) -> bool:
        """Return whether this is a full list that is no newer than the last one."""
        return listing.endpoint_list.mode != "delta" and listing.endpoint_list.version <= self.last_version

    def correct(self, listing: EndpointListing) -> EndpointListing:
        """Return the list as it holds here and remember what it says."""
        older = self.is_older(listing)
        endpoints = tuple(
            self.correct_endpoint(endpoint, older) for endpoint in listing.endpoint_list.endpoints
        )
        while len(self.started_at) > MAX_REMEMBERED_DRAINS:
            del self.started_at[next(iter(self.started_at))]
        self.last_version = listing.endpoint_list.version
        return replace(listing, endpoint_list=replace(listing.endpoint_list, endpoints=endpoints))

    def correct_endpoint(self, endpoint: api.Endpoint, older: bool) -> api.Endpoint:
        """Return an endpoint as it holds here.

        A full list that is no newer than the last, as another address or a service that lags may send it,
        does not bring back an endpoint that was draining or removed and has not started since.

        Args:
            endpoint: The endpoint as a list has it.
            older: Whether that list is no newer than the last one.
        """
        if endpoint.state != "up":
            self.started_at.pop(endpoint.id, None)
            self.started_at[endpoint.id] = endpoint.started_at
        elif older and endpoint.started_at <= self.started_at.get(endpoint.id, -1.0):
            return replace(endpoint, state="leaving")
        else:
            self.started_at.pop(endpoint.id, None)
        return endpoint
