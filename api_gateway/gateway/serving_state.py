"""Whether this process serves clients: its readiness, standby and its end."""

from __future__ import annotations

import asyncio
import logging

from api_gateway import interface as api
from api_gateway.downstream.client_server import ClientServer
from api_gateway.gateway.active_config import ActiveConfig
from api_gateway.gateway.event_dispatcher import EventDispatcher
from api_gateway.gateway.instances import GatewayInstances
from api_gateway.upstream.endpoint_pools import EndpointPools

# Seconds that a start waits for the counter to tell the cluster's time.
CLUSTER_CLOCK_WAIT_S = 0.1

ACTIVE = "active"
STANDBY = "standby"
STOPPING = "stopping"

log = logging.getLogger(__name__)


class ServingState:
    """Owns the state that the health check of the clients' address and the operators' status tell.

    Attributes:
        state: "active"; "standby" while clients are sent away; "stopping", which is for good.
        is_ready: Whether there are endpoints and the cluster's time is known, as far as the counter tells it.
            Once it is so, it stays so.
        is_synchronizing: Whether this gateway may have another time than its cluster, as far as is known.
    """

    def __init__(
        self,
        active: ActiveConfig,
        dispatcher: EventDispatcher,
        upstream: EndpointPools,
        siblings: GatewayInstances,
    ) -> None:
        """Wire the component; the gateway is active, and not ready yet."""
        self._active = active
        self._dispatcher = dispatcher
        self._upstream = upstream
        self._siblings = siblings
        self._clock_checked = asyncio.Event()
        self.state = ACTIVE
        self.is_ready = False
        self.is_synchronizing = active.config.counter is not None and active.settings.gateway_count > 1

    def is_serving(self) -> bool:
        """Tell whether the clients' address serves: while this process ends, another one may serve there."""
        return self.is_ready and (self.state == ACTIVE or (self.state == STOPPING and self.has_successor()))

    def has_successor(self) -> bool:
        """Tell whether another process serves the same inherited socket."""
        return self._active.config.inherited_socket is not None and self._siblings.count_others() > 0

    def update_readiness(self) -> None:
        """Become ready where all that a start waits for is there."""
        self.is_ready = self.is_ready or (bool(self._upstream.pools) and not self.is_synchronizing)

    def on_cluster_clock_changed(self, action: api.ClusterClockChanged) -> None:
        """Note whether this gateway's clock is being set to the cluster's."""
        self.is_synchronizing = action.synchronizing
        self._clock_checked.set()
        self.update_readiness()

    async def check_cluster_clock(self) -> None:
        """Compare this clock with the cluster's; wait for CLUSTER_CLOCK_WAIT_S at most.

        The counter may be silent, and a gateway has to start all the same.
        """
        self._dispatcher.dispatch(api.ClusterClockNeeded())
        if not self.is_synchronizing:
            return
        try:
            async with asyncio.timeout(CLUSTER_CLOCK_WAIT_S):
                await self._clock_checked.wait()
        except TimeoutError:
            self.on_cluster_clock_changed(api.ClusterClockChanged(False))

    def set_draining(self, draining: bool, clients: ClientServer) -> bool:
        """Send clients away, or take them back. A repeat changes nothing.

        Returns:
            False where the process is at its end, and nothing changes.
        """
        if self.state == STOPPING:
            return False
        state = STANDBY if draining else ACTIVE
        if state != self.state:
            self.state = state
            event = "drain began" if draining else "drain ended"
            log.info("%s client_connections=%d", event, len(clients.connections))
            self._dispatcher.dispatch(api.DrainChanged(draining))
            clients.set_draining(draining)
        return True
