"""Apply endpoint lists to the upstream pools and pass them to the decision engine."""

from __future__ import annotations

from api_gateway import interface as api
from api_gateway.base.endpoint_list import EndpointListing
from api_gateway.gateway.event_dispatcher import EventDispatcher
from api_gateway.gateway.serving_state import ServingState
from api_gateway.upstream.endpoint_pools import EndpointPools


class EndpointUpdates:
    """Applies endpoint lists and tracks which endpoints are listed.

    Attributes:
        known_ids: The ids of all listed endpoints whose state is not down.
    """

    def __init__(self, upstream: EndpointPools, dispatcher: EventDispatcher, serving: ServingState) -> None:
        """Store the collaborators; no list is known yet."""
        self._upstream = upstream
        self._dispatcher = dispatcher
        self._serving = serving
        self.known_ids: set[str] = set()

    def apply(self, listing: EndpointListing) -> None:
        """Apply a complete list or a delta.

        The pools of new endpoints are opened first, then the decision engine receives the list, and then the
        pools of removed endpoints are closed. So attempts that end because their endpoint was removed are not
        retried there.
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
        """Report a failed poll to the decision engine; the discovery client handles failed watches itself.

        Args:
            settings: The active settings.
            version: The version of the last list, or None if there is none.
        """
        if settings.discovery_mode == "ask":
            self._dispatcher.dispatch(api.EndpointList("failed", version or 0, ()))
