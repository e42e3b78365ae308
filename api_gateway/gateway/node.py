"""Build the components of one gateway process, start them and shut them down.

This module makes no decisions: `event_dispatcher` passes events to the decision engine, and `action_executor`
maps each returned action to the component that executes it. All events and actions of `interface` are handled
except PeerMessage, because a gateway has no peers.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

from api_gateway import interface as api
from api_gateway.base.endpoint_list import EndpointListing
from api_gateway.control.host_overrides import HostOverrides
from api_gateway.counter_client import CounterClient
from api_gateway.downstream.client_server import ClientServer
from api_gateway.gateway.action_executor import ActionExecutor
from api_gateway.gateway.active_config import ActiveConfig
from api_gateway.gateway.attempt_runner import AttemptRunner
from api_gateway.gateway.config import Config
from api_gateway.gateway.config_reload import ConfigReloader
from api_gateway.gateway.discovery_setup import agent_drain_grace, build_discovery
from api_gateway.gateway.endpoint_updates import EndpointUpdates
from api_gateway.gateway.event_dispatcher import EventDispatcher
from api_gateway.gateway.forwarded_ids import ForwardedIds
from api_gateway.gateway.in_flight import InFlightRequest, InFlightRequests
from api_gateway.gateway.instances import GatewayInstances
from api_gateway.gateway.memory_watch import MemoryWatch
from api_gateway.gateway.operator_overrides import OperatorOverrides
from api_gateway.gateway.process_limits import ProcessLimits
from api_gateway.gateway.serving_state import ServingState
from api_gateway.gateway.shutdown import shut_down
from api_gateway.gateway.sibling_watch import SiblingWatch
from api_gateway.gateway.status import gateway_metrics, gateway_status, member_metadata
from api_gateway.gateway.wall_clock import GatewayClock
from api_gateway.policy import DecisionEngine
from api_gateway.upstream.endpoint_pools import EndpointPools

if TYPE_CHECKING:
    from api_gateway.control.config_changes import ConfigChanges
    from api_gateway.control.server import ControlServer
    from api_gateway.membership.service import MembershipService

log = logging.getLogger(__name__)


class GatewayNode:
    """The composition root of one gateway process.

    Attributes:
        active: The active configuration.
        engine: The decision engine.
        dispatcher: Passes events to the decision engine and its actions to their handlers.
        serving: Whether clients are served.
        requests: The requests in flight.
        attempts: Runs the attempts of these requests.
        endpoint_updates: Applies endpoint lists.
        overrides: Endpoint overrides set by operators.
        limits: This process's part of the gateway's limits.
        memory_watch: Returns freed memory near the limit.
        sibling_watch: Polls for changes made by sibling processes and for steps of the wall clock.
        control: The control server; None if the control API is disabled.
        changes: Applies configuration changes; None until it is first needed.
        member: This process's membership of a cluster; None if it joins none.
        counter: The counter client; None if there is no counter.
    """

    def __init__(self, config: Config) -> None:
        """Build all components without starting them; requires a running event loop."""
        self.active = ActiveConfig(config)
        shares_clock = config.control is not None or config.saves_list
        self.clock = GatewayClock(config.shared_folder if shares_clock else None, config.name)
        self.siblings = GatewayInstances(config.shared_folder, config.name)
        self.engine = DecisionEngine(config.settings, config.seed, self.clock())
        self.dispatcher = EventDispatcher(self.engine, self.clock)
        self.upstream = self._build_upstream(config)
        self.serving = ServingState(self.active, self.dispatcher, self.upstream, self.siblings)
        self.forwarded_ids = ForwardedIds(self._forwarded_ids_path(config))
        self.requests = InFlightRequests(
            self.active, self.dispatcher, self.upstream, self.serving.is_serving, self.forwarded_ids
        )
        self.clients = ClientServer(self.requests, 0)
        self.attempts = AttemptRunner(self.requests, self.upstream, self.dispatcher)
        self.endpoint_updates = EndpointUpdates(self.upstream, self.dispatcher, self.serving)
        self.limits = ProcessLimits(self.active, self.clients, self.upstream, self.requests, self.dispatcher)
        self.memory_watch = MemoryWatch(self.limits.memory_bytes)
        self.overrides = OperatorOverrides(
            HostOverrides(config.shared_folder, config.name),
            self.upstream,
            self.dispatcher,
            self._is_known_endpoint,
        )
        self.sibling_watch = SiblingWatch(
            self.clock, self.dispatcher, self.overrides, self.siblings, self.limits
        )
        self.control: ControlServer | None = None
        self.changes: ConfigChanges | None = None
        self.member: MembershipService | None = None
        self.counter: CounterClient | None = None
        if config.counter is not None:
            self.counter = CounterClient(config.counter, config.settings.counter_timeout)
        setup = build_discovery(config, self.clock, self.on_endpoint_list, self._on_poll_failed)
        self.discovery = setup.client
        self._initial_list = setup.initial_list
        self.reloader = ConfigReloader(
            self.active, self.dispatcher, self.upstream, self.discovery, self.counter, self.limits
        )
        self.executor = ActionExecutor(self.dispatcher, self.upstream, self.discovery, self.counter)
        self._connect_components()

    @staticmethod
    def _forwarded_ids_path(config: Config) -> Path | None:
        """Return the file of forwarded ids; None if no other process of this gateway may run beside it."""
        if config.shared_folder is None or config.control is None and config.inherited_socket is None:
            return None
        return config.shared_folder / f"{config.name}-ids"

    @staticmethod
    def _build_upstream(config: Config) -> EndpointPools:
        upstream = EndpointPools(config.connect_timeout, config.endpoint_idle_close, 0)
        if config.edge and config.edge.connects:
            from api_gateway.upstream.connect_limits import limited_pool_factory

            upstream.make_pool = limited_pool_factory(config.edge.connects, config.edge.connects_all)
        return upstream

    def _connect_components(self) -> None:
        """Connect components that need each other, once all of them are built."""
        self.dispatcher.handlers = self.executor.handlers(self.requests, self.attempts, self.serving)
        self.dispatcher.on_engine_failure = self.requests.on_engine_failure
        callers = [self.upstream, self.discovery.fetcher, *(self.counter.connections if self.counter else ())]
        for caller in callers:
            caller.reclaim_descriptor = self.limits.reclaim_descriptor

    async def start(self) -> int:
        """Start all components and serve clients.

        Slow steps finish and the decision engine knows its endpoints before the first client can connect.
        Otherwise requests would arrive during a slow step and wait past their deadlines.

        Returns:
            The port that clients connect to.

        Raises:
            OSError: The process cannot listen on a configured address.
        """
        config = self.config
        if config.control:
            from api_gateway.control.server import ControlServer
        if config.membership:
            from api_gateway.membership.service import MembershipService
        self.siblings.register()
        if config.control:
            self.config_changes().start()
        self.on_endpoint_list(self.discovery.adopt_known_list(self._initial_list))
        self.sibling_watch.poll()
        self.memory_watch.start()
        self.upstream.start_maintenance()
        if self.counter:
            self.counter.start()
            await self.serving.check_cluster_clock()
        if self.settings.discovery_mode == "push":
            self.discovery.set_watching(True)
        if agent_drain_grace(self.config) is not None:  # an agent's lists count as delivered from the start
            await self.discovery.wait_for_first_list()
        port = await self.clients.listen(*config.listen, config.inherited_socket, config.edge)
        if config.membership:
            self.member = MembershipService(config.membership, config.name, lambda: member_metadata(self))
            member_port = await self.member.start()
            log.info("membership joined cluster=%s port=%d", config.membership.cluster, member_port)
        if config.control:
            self.control = ControlServer(self)
            control_port = await self.control.listen(config.control)
            self.sibling_watch.history = self.changes
            log.info("calls are taken at %s:%d", config.control[0], control_port)
        return port

    async def stop(self) -> None:
        """Shut down gracefully after SIGTERM. May only be called once."""
        await shut_down(self)

    # Events

    def on_endpoint_list(self, listing: EndpointListing) -> None:
        """Apply an endpoint list from discovery; see `EndpointUpdates.apply`."""
        self.endpoint_updates.apply(listing)

    def _on_poll_failed(self) -> None:
        self.endpoint_updates.on_poll_failed(self.settings, self.discovery.version)

    def _is_known_endpoint(self, endpoint_id: str) -> bool:
        return endpoint_id in self.endpoint_updates.known_ids or self.discovery.may_have_endpoint(endpoint_id)

    def probe(self, action: api.CheckHealth) -> None:
        """Send a health check to an endpoint; see `ActionExecutor.check_health`."""
        self.executor.check_health(action)

    # Interface for the control server and for configuration changes

    @property
    def config(self) -> Config:
        """The active configuration."""
        return self.active.config

    @property
    def settings(self) -> api.Settings:
        """The active settings."""
        return self.active.settings

    @property
    def state(self) -> str:
        """The state reported to operators: active, standby or stopping."""
        return self.serving.state

    @property
    def in_flight(self) -> dict[str, InFlightRequest]:
        """The requests in flight, by id."""
        return self.requests.in_flight

    def status(self) -> dict[str, Any]:
        """Return the answer to `GET /status`."""
        return gateway_status(self)

    def metrics(self) -> dict[str, Any]:
        """Return the answer to `GET /metrics`."""
        return gateway_metrics(self)

    def set_override(self, endpoint_id: str, ejected: bool) -> None:
        """Eject an endpoint or end its ejection; see `OperatorOverrides.set_override`."""
        self.overrides.set_override(endpoint_id, ejected=ejected)

    def set_draining(self, enabled: bool) -> bool:
        """Start or stop draining clients. Return False if the process is shutting down."""
        return self.serving.set_draining(enabled, self.clients)

    def config_changes(self) -> ConfigChanges:
        """Return the component that applies configuration changes, creating it on the first call.

        The history of configurations is stored only if the control API, which reports it, is enabled.
        """
        if self.changes is None:
            from api_gateway.control.config_changes import ConfigChanges

            self.changes = ConfigChanges(self, self.config.shared_folder if self.config.control else None)
        return self.changes

    def reload(self) -> None:
        """Reload the configuration file after SIGHUP. An invalid file changes nothing."""
        self.config_changes().reload()

    def adopt_config(self, new_config: Config, listing: EndpointListing | None) -> None:
        """Activate a configuration; see `ConfigReloader.adopt`."""
        self.reloader.adopt(new_config, listing)

    def capacity_shortage(self, new_config: Config) -> str:
        """Return why a configuration's limits are too small, if they are; see `ProcessLimits.shortage`."""
        return self.limits.shortage(new_config)

    def call_later(self, delay: float, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Call `callback` in `delay` seconds."""
        return asyncio.get_running_loop().call_later(delay, callback)
