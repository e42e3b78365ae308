"""Builds the components of one gateway process, starts them and ends them.

Nothing here decides: `event_dispatcher` hands what happens to the decision module, and `action_executor` maps
each of its actions to the component that carries it out. Each event and action of `interface` has its place
but for PeerMessage: a gateway has no peers.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
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
from api_gateway.gateway.in_flight import InFlightRequest, InFlightRequests
from api_gateway.gateway.instances import GatewayInstances
from api_gateway.gateway.operator_overrides import OperatorOverrides
from api_gateway.gateway.process_limits import ProcessLimits
from api_gateway.gateway.serving_state import ServingState
from api_gateway.gateway.shutdown import shut_down
from api_gateway.gateway.sibling_watch import SiblingWatch
from api_gateway.gateway.status import gateway_status, member_metadata
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
        active: The configuration in force.
        module: The decision module.
        dispatcher: Takes events to the module and its actions to their handlers.
        serving: Whether clients are served.
        requests: Requests in flight.
        attempts: Their attempts at endpoints.
        endpoints: Applies endpoint lists.
        overrides: Operators' overrides of endpoints.
        limits: This process's part of the gateway's limits.
        watch: Polls for what sibling processes did.
        control: The control address; None where no operator may call.
        changes: Changes of the configuration; None until the first one is needed.
        member: This process's membership of a cluster; None where it is in none.
        counter: The counter's client; None where there is no counter.
    """

    def __init__(self, config: Config) -> None:
        """Build all components; needs a running event loop. Nothing is started yet."""
        self.active = ActiveConfig(config)
        shares_clock = config.control is not None or config.saves_list
        self.clock = GatewayClock(config.shared_folder if shares_clock else None, config.name)
        self.siblings = GatewayInstances(config.shared_folder, config.name)
        self.engine = DecisionEngine(config.settings, config.seed, self.clock())
        self.dispatcher = EventDispatcher(self.engine, self.clock)
        self.upstream = self._build_upstream(config)
        self.serving = ServingState(self.active, self.dispatcher, self.upstream, self.siblings)
        self.requests = InFlightRequests(self.active, self.dispatcher, self.upstream, self.serving.is_serving)
        self.clients = ClientServer(self.requests, 0)
        self.requests.body_budget = self.clients.body_budget
        self.attempts = AttemptRunner(self.requests, self.upstream, self.dispatcher)
        self.endpoints = EndpointUpdates(self.upstream, self.dispatcher, self.serving)
        self.limits = ProcessLimits(self.active, self.clients, self.upstream)
        self.overrides = OperatorOverrides(
            HostOverrides(config.shared_folder, config.name),
            self.upstream,
            self.dispatcher,
            self._is_known_endpoint,
        )
        self.watch = SiblingWatch(self.clock, self.dispatcher, self.overrides, self.siblings, self.limits)
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
    def _build_upstream(config: Config) -> EndpointPools:
        upstream = EndpointPools(config.connect_timeout, config.endpoint_idle_close, 0)
        if config.edge and config.edge.connects:
            from api_gateway.upstream.connect_limits import limited_pool_factory

            upstream.make_pool = limited_pool_factory(config.edge.connects, config.edge.connects_all)
        return upstream

    def _connect_components(self) -> None:
        """Connect what exists only once all components are built."""
        self.dispatcher.handlers = self.executor.handlers(self.requests, self.attempts, self.serving)
        self.dispatcher.on_engine_failure = self.requests.on_engine_failure
        callers = [self.upstream, self.discovery.fetcher, *(self.counter.connections if self.counter else ())]
        for caller in callers:
            caller.reclaim_descriptor = self.limits.reclaim_descriptor

    async def start(self) -> int:
        """Start to serve.

        Before the first client connects the module knows its endpoints, and all that takes long is done: what
        came meanwhile would wait past its time.

        Returns:
            The port that clients connect to.

        Raises:
            OSError: An address cannot be listened on.
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
        self.watch.poll()
        self.upstream.start_maintenance()
        if self.counter:
            self.counter.start()
            await self.serving.check_cluster_clock()
        if self.settings.discovery_mode == "push":
            self.discovery.set_watching(True)
        if agent_drain_grace(self.config) is not None:  # what it has counts as told from the first moment
            await self.discovery.wait_for_first_list()
        port = await self.clients.listen(*config.listen, config.inherited_socket, config.edge)
        if config.membership:
            self.member = MembershipService(config.membership, config.name, lambda: member_metadata(self))
            member_port = await self.member.start()
            log.info("membership joined cluster=%s port=%d", config.membership.cluster, member_port)
        if config.control:
            self.control = ControlServer(self)
            control_port = await self.control.listen(config.control)
            self.watch.history = self.changes
            log.info("calls are taken at %s:%d", config.control[0], control_port)
        return port

    async def stop(self) -> None:
        """End gracefully, after SIGTERM. Called once."""
        await shut_down(self)

    # Events

    def on_endpoint_list(self, listing: EndpointListing) -> None:
        """Apply an endpoint list."""
        self.endpoints.apply(listing)

    def _on_poll_failed(self) -> None:
        self.endpoints.on_poll_failed(self.settings, self.discovery.version)

    def _is_known_endpoint(self, endpoint_id: str) -> bool:
        return endpoint_id in self.endpoints.known_ids or self.discovery.may_have_endpoint(endpoint_id)

    def probe(self, action: api.CheckHealth) -> None:
        """Send a health check to an endpoint; see `ActionExecutor.check_health`."""
        self.executor.check_health(action)

    # What the control address and changes of the configuration need of a gateway

    @property
    def config(self) -> Config:
        """The configuration in force."""
        return self.active.config

    @property
    def settings(self) -> api.Settings:
        """The settings in force."""
        return self.active.settings

    @property
    def state(self) -> str:
        """The state that operators see: active, standby or stopping."""
        return self.serving.state

    @property
    def in_flight(self) -> dict[str, InFlightRequest]:
        """The requests in flight, by id."""
        return self.requests.in_flight

    def status(self) -> dict[str, Any]:
        """Return the answer of `GET /status`."""
        return gateway_status(self)

    def set_override(self, host: str, out: bool) -> None:
        """Eject an endpoint, or let it be used again; see `OperatorOverrides.set_override`."""
        self.overrides.set_override(host, ejected=out)

    def set_draining(self, on: bool) -> bool:
        """Send clients away, or take them back; False where the process is at its end."""
        return self.serving.set_draining(on, self.clients)

    def config_changes(self) -> ConfigChanges:
        """Return what brings configurations into force, made by the first call.

        The history of configurations is kept where operators can ask for it.
        """
        if self.changes is None:
            from api_gateway.control.config_changes import ConfigChanges

            self.changes = ConfigChanges(self, self.config.shared_folder if self.config.control else None)
        return self.changes

    def reload(self) -> None:
        """Follow the configuration file after SIGHUP. One that cannot be used changes nothing."""
        self.config_changes().reload()

    def adopt_config(self, fresh: Config, listing: EndpointListing | None) -> None:
        """Bring a configuration into force; see `ConfigReloader.adopt`."""
        self.reloader.adopt(fresh, listing)

    def capacity_shortage(self, fresh: Config) -> str:
        """Say what a configuration's limits are too small for; see `ProcessLimits.shortage`."""
        return self.limits.shortage(fresh)

    def call_later(self, delay: float, act: Callable[[], None]) -> asyncio.TimerHandle:
        """Call `act` in `delay` seconds."""
        return asyncio.get_running_loop().call_later(delay, act)
