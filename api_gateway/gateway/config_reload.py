"""Activate a new configuration in all components of a gateway."""

from __future__ import annotations

from api_gateway import interface as api
from api_gateway.base.endpoint_list import EndpointListing
from api_gateway.counter_client import CounterClient
from api_gateway.discovery.client import Discovery
from api_gateway.gateway.active_config import ActiveConfig
from api_gateway.gateway.config import Config
from api_gateway.gateway.discovery_setup import agent_drain_grace
from api_gateway.gateway.event_dispatcher import EventDispatcher
from api_gateway.gateway.process_limits import ProcessLimits
from api_gateway.upstream.endpoint_pools import EndpointPools


class ConfigReloader:
    """Replaces the active configuration, which no other component does.

    The caller has already checked that the new configuration may be activated.
    """

    def __init__(
        self,
        active: ActiveConfig,
        dispatcher: EventDispatcher,
        upstream: EndpointPools,
        discovery: Discovery,
        counter: CounterClient | None,
        limits: ProcessLimits,
    ) -> None:
        """Store the collaborators."""
        self._active = active
        self._dispatcher = dispatcher
        self._upstream = upstream
        self._discovery = discovery
        self._counter = counter
        self._limits = limits

    def adopt(self, new_config: Config, listing: EndpointListing | None) -> None:
        """Activate a validated configuration.

        Requests in flight keep the settings under which they were admitted.

        Args:
            new_config: The configuration.
            listing: The endpoint list from the new discovery service, if its address changed.
        """
        previous_config = self._active.config
        self._active.replace(new_config)
        self._upstream.reconfigure(new_config.connect_timeout, new_config.endpoint_idle_close)
        self._dispatcher.dispatch(api.SettingsChanged(new_config.settings))
        if (grace := agent_drain_grace(new_config)) is not None:
            self._discovery.set_drain_grace(grace)
        self._discovery.relocate_subset(new_config.settings.gateway_index, new_config.settings.zone)
        if new_config.discovery != previous_config.discovery:
            self._discovery.move_to(new_config.discovery, listing)
        if self._counter and new_config.counter:
            self._counter.reconfigure(new_config.counter, new_config.settings.counter_timeout)
        self._limits.apply()
        if new_config.max_descriptors < previous_config.max_descriptors:
            self._limits.close_excess()
