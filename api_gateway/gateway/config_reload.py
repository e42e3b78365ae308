"""Brings another configuration into force in all components of a gateway."""

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
    """The one place that replaces the configuration in force. Whether it may is decided before, elsewhere."""

    def __init__(
        self,
        active: ActiveConfig,
        dispatcher: EventDispatcher,
        upstream: EndpointPools,
        discovery: Discovery,
        counter: CounterClient | None,
        limits: ProcessLimits,
    ) -> None:
        """Wire the component."""
        self._active = active
        self._dispatcher = dispatcher
        self._upstream = upstream
        self._discovery = discovery
        self._counter = counter
        self._limits = limits

    def adopt(self, fresh: Config, listing: EndpointListing | None) -> None:
        """Bring a checked configuration into force.

        Requests in flight keep the settings that they began with.

        Args:
            fresh: The configuration.
            listing: What its discovery service has answered, where that is another one than before.
        """
        last = self._active.config
        self._active.replace(fresh)
        self._upstream.reconfigure(fresh.connect_timeout, fresh.endpoint_idle_close)
        self._dispatcher.dispatch(api.SettingsChanged(fresh.settings))
        if (grace := agent_drain_grace(fresh)) is not None:
            self._discovery.set_drain_grace(grace)
        self._discovery.relocate_subset(fresh.settings.gateway_index, fresh.settings.zone)
        if fresh.discovery != last.discovery:
            self._discovery.move_to(fresh.discovery, listing)
        if self._counter and fresh.counter:
            self._counter.reconfigure(fresh.counter, fresh.settings.counter_timeout)
        self._limits.apply()
        if fresh.max_descriptors < last.max_descriptors:
            self._limits.close_excess()
