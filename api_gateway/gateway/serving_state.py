"""Track whether this process serves clients: its readiness, standby and shutdown."""

from __future__ import annotations

import asyncio
import logging
from contextlib import suppress

from api_gateway import interface as api
from api_gateway.downstream.client_server import ClientServer
from api_gateway.gateway.active_config import ActiveConfig
from api_gateway.gateway.event_dispatcher import EventDispatcher
from api_gateway.gateway.instances import GatewayInstances
from api_gateway.upstream.endpoint_pools import EndpointPools

# Seconds to wait at startup for the counter to return the cluster's time.
CLUSTER_CLOCK_TIMEOUT_S = 0.1

ACTIVE = "active"
STANDBY = "standby"
STOPPING = "stopping"

log = logging.getLogger(__name__)


class ServingState:
    """Owns the state that client health checks (PING) and the operators' status report.

    Attributes:
        state: "active", "standby" while clients are being drained, or "stopping", which is final.
        is_ready: Whether endpoints are known and the clock has been compared with the cluster's or the wait
            for it has timed out. Once true, it stays true.
        is_synchronizing: Whether this gateway's clock may still differ from the cluster's.
    """

    def __init__(
        self,
        active: ActiveConfig,
        dispatcher: EventDispatcher,
        upstream: EndpointPools,
        siblings: GatewayInstances,
    ) -> None:
        """Store the collaborators; the gateway starts out active but not ready."""
        self._active = active
        self._dispatcher = dispatcher
        self._upstream = upstream
        self._siblings = siblings
        self._has_counter_answered = False
        self._cluster_time_known = asyncio.Event()
        self.state = ACTIVE
        self.is_ready = False
        self.is_synchronizing = active.config.counter is not None and active.settings.gateway_count > 1

    def is_serving(self) -> bool:
        """Return whether the client address is served, during shutdown by a successor of this process."""
        return self.is_ready and (self.state == ACTIVE or (self.state == STOPPING and self.has_successor()))

    def has_successor(self) -> bool:
        """Return whether another process of this gateway serves the same inherited socket."""
        return self._active.config.inherited_socket is not None and self._siblings.count_others() > 0

    def update_readiness(self) -> None:
        """Set `is_ready` once all startup conditions are met."""
        self.is_ready = self.is_ready or (bool(self._upstream.pools) and not self.is_synchronizing)

    def on_cluster_clock_changed(self, action: api.ClusterClockChanged) -> None:
        """Record whether this gateway's clock is being synchronized with the cluster's."""
        self.is_synchronizing = action.synchronizing
        self._has_counter_answered = True
        if not self.is_synchronizing:
            self._cluster_time_known.set()
        self.update_readiness()

    async def check_cluster_clock(self) -> None:
        """Compare this clock with the cluster's and wait for the result for up to CLUSTER_CLOCK_TIMEOUT_S.

        A gateway has to start even if the counter does not respond.
        """
        self._dispatcher.dispatch(api.ClusterClockNeeded())
        if not self.is_synchronizing:
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(CLUSTER_CLOCK_TIMEOUT_S):
                await self._cluster_time_known.wait()
        if not self._has_counter_answered:
            self.on_cluster_clock_changed(api.ClusterClockChanged(False))

    def set_draining(self, draining: bool, clients: ClientServer) -> bool:
        """Start or stop draining clients. Repeated calls have no effect.

        Returns:
            False if the process is shutting down, in which case nothing changes.
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
