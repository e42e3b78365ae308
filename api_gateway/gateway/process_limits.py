"""Limits of descriptors and memory, which the processes of one gateway share."""

from __future__ import annotations

import math
import resource
import sys
from dataclasses import dataclass

from api_gateway.base.resp import MAX_VALUE_BYTES
from api_gateway.downstream.client_server import ClientServer
from api_gateway.gateway.active_config import ActiveConfig
from api_gateway.gateway.config import Config
from api_gateway.upstream.endpoint_pools import EndpointPools

# Bytes that a process takes by itself.
PROCESS_BASE_BYTES = 32 * 1024 * 1024
# Fraction of the other bytes for large bodies: connections and pieces of values take some, too.
LARGE_BODY_FRACTION = 0.5
# Descriptors that are neither clients' nor endpoints' connections.
RESERVED_DESCRIPTORS = 64


def resident_bytes() -> int:
    """Return the bytes of memory that this process has."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


def descriptor_limit() -> float:
    """Return the number from which on this process may open no descriptor."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return math.inf if limit == resource.RLIM_INFINITY else limit


@dataclass(frozen=True, slots=True)
class Capacity:
    """What one process may hold.

    Attributes:
        connections: Connections of clients, and as many to endpoints.
        large_body_bytes: Bytes of large bodies.
    """

    connections: int
    large_body_bytes: int


class ProcessLimits:
    """Partitions a gateway's limits among its processes and sets this one's part on its connections.

    Attributes:
        process_count: Processes of this gateway, as of the last check.
    """

    def __init__(self, active: ActiveConfig, clients: ClientServer, upstream: EndpointPools) -> None:
        """Wire the component; no limit is set until the first `apply`."""
        self._active = active
        self._clients = clients
        self._upstream = upstream
        self.process_count = 1

    def capacity(self, config: Config) -> Capacity:
        """Return what this process may hold under a configuration."""
        descriptors = (
            max(config.max_descriptors - RESERVED_DESCRIPTORS, config.max_descriptors // 2)
            // self.process_count
        )
        spare_bytes = config.max_memory_bytes / self.process_count - PROCESS_BASE_BYTES
        large_body_bytes = int(min(spare_bytes * LARGE_BODY_FRACTION, sys.maxsize))
        return Capacity(descriptors // 2, max(MAX_VALUE_BYTES, large_body_bytes))

    def apply(self) -> None:
        """Set this process's part of the limits in force."""
        capacity = self.capacity(self._active.config)
        self._clients.capacity = capacity.connections
        self._clients.body_budget.capacity_bytes = capacity.large_body_bytes
        self._upstream.max_connections = capacity.connections

    def close_excess(self) -> None:
        """Close idle connections past the limits."""
        self._clients.shrink_to_capacity()
        self._upstream.close_excess_idle()

    def reclaim_descriptor(self) -> bool:
        """End one connection for its descriptor, where none can be opened without; tell whether one ended.

        A descriptor from the process's limit on can't be used again, as after the limit was lowered: its end
        would only take a connection away that serves.
        """
        limit = descriptor_limit()
        return (
            self._clients.close_lingering()
            or self._upstream.close_longest_idle(limit)
            or self._clients.close_fresh_idle(limit)
        )

    def shortage(self, fresh: Config) -> str:
        """Say what smaller limits would leave no capacity for. Idle connections don't count: they can close.

        Args:
            fresh: A configuration that may come into force.

        Returns:
            The reason; empty where there is none, as where the limits are not smaller.
        """
        capacity = self.capacity(fresh)
        last = self._active.config
        if fresh.max_descriptors < last.max_descriptors:
            busy = {
                "clients": len(self._clients.connections) - len(self._clients.closable_connections()),
                "hosts": self._upstream.connection_count - self._upstream.idle_count(),
            }
            for kind, count in busy.items():
                if count > capacity.connections:
                    return f"{count} connections of {kind} are in use, {capacity.connections} may be open"
        if fresh.max_memory_bytes < last.max_memory_bytes:
            return self._memory_shortage(fresh, capacity)
        return ""

    def _memory_shortage(self, fresh: Config, capacity: Capacity) -> str:
        body_bytes = self._clients.body_budget.reserved_bytes
        if body_bytes > capacity.large_body_bytes:
            return f"large bodies hold {body_bytes} bytes, {capacity.large_body_bytes} may be"
        memory_limit = fresh.max_memory_bytes / self.process_count
        if (resident := resident_bytes()) > memory_limit:
            return f"the process has {resident} bytes, {int(memory_limit)} may be"
        return ""
