"""Endpoint lists: brings each into the upstream pools and before the decision module."""

from __future__ import annotations

from api_gateway import interface as api
from api_gateway.base.endpoint_list import EndpointListing
from api_gateway.gateway.event_dispatcher import EventDispatcher
from api_gateway.gateway.serving_state import ServingState
from api_gateway.upstream.endpoint_pools import EndpointPools


class EndpointUpdates:
    """Applies endpoint lists and remembers which endpoints the last one had.

    Attributes:
        known_ids: The endpoints of the last list, whatever their state but down.
    """

    def __init__(self, upstream: EndpointPools, dispatcher: EventDispatcher, serving: ServingState) -> None:
        """Wire the component; no list is known yet."""
        self._upstream = upstream
        self._dispatcher = dispatcher
        self._serving = serving
        self.known_ids: set[str] = set()

    def apply(self, listing: EndpointListing) -> None:
        """Apply a complete list or a delta.

        The module gets it between the pools of new endpoints and the end of those that departed: what ends
        with a departed endpoint is then not sent there once more.
        """
        endpoints = listing.endpoint_list.endpoints
        is_delta = listing.endpoint_list.mode == "delta"
        listed_ids = {endpoint.id for endpoint in endpoints}
        if not is_delta:
            self.known_ids = set()
        self.known_ids |= listed_ids
        self.known_ids -= {endpoint.id for endpoint in endpoints if endpoint.state == "down"}
        available_ids = {endpoint.id for endpoint in endpoints if endpoint.state == "up"}
        for endpoint_id in available_ids & listing.addresses.keys():
            self._upstream.set_address(endpoint_id, listing.addresses[endpoint_id])
        self._dispatcher.dispatch(listing.endpoint_list)
        candidate_ids = listed_ids if is_delta else listed_ids | self._upstream.pools.keys()
        for endpoint_id in candidate_ids - available_ids:
            self._upstream.set_address(endpoint_id, None)
        self._serving.update_readiness()

    def on_poll_failed(self, settings: api.Settings, version: int | None) -> None:
        """Tell the module of a poll that failed; failed watches are the discovery client's own matter.

        Args:
            settings: The settings in force.
            version: The version of the last list, where there is one.
        """
        if settings.discovery_mode == "ask":
            self._dispatcher.dispatch(api.EndpointList("failed", version or 0, ()))
