"""Divide the descriptor and memory limits of a gateway among its processes."""

from __future__ import annotations

import math
import resource
import sys
from dataclasses import dataclass

from api_gateway import interface as api
from api_gateway.base.resp import MAX_VALUE_BYTES
from api_gateway.downstream.client_server import ClientServer
from api_gateway.gateway.active_config import ActiveConfig
from api_gateway.gateway.config import Config
from api_gateway.gateway.event_dispatcher import EventDispatcher
from api_gateway.gateway.in_flight import InFlightRequests
from api_gateway.upstream.endpoint_pools import EndpointPools

# Memory that a process uses without any connections.
PROCESS_BASE_BYTES = 17 * 1024 * 1024
# Memory of one connection, without what the budgets count; of a client's with one read.
CLIENT_CONNECTION_BYTES = 8 * 1024
ENDPOINT_CONNECTION_BYTES = 5 * 1024
# Fractions for each kind of holding of the memory that these leave. Replies may exceed theirs by
# MAX_REPLY_OVERRUN; the sum is below 1, because the allocator needs memory, too.
LARGE_BODY_FRACTION = 0.36
PARTIAL_COMMAND_FRACTION = 0.08
REQUEST_FRACTION = 0.18
CUSTOMER_FRACTION = 0.11
REPLY_FRACTION = 0.07
ANSWER_FRACTION = 0.08
# Memory of the state of one customer.
CUSTOMER_BYTES = 2048
# Memory that is divided even if the limit leaves less.
MIN_BUDGET_BYTES = 8 * 1024 * 1024
# Descriptors reserved for everything other than connections to clients and endpoints.
RESERVED_DESCRIPTORS = 64


def resident_bytes() -> int:
    """Return the resident set size of this process in bytes."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


def anonymous_bytes() -> int:
    """Return the memory of this process in bytes without the pages of files, such as those of libraries."""
    with open("/proc/self/status", encoding="ascii") as file:
        rows = [line.split() for line in file]
    return sum(int(row[1]) for row in rows if row[0] in ("RssAnon:", "RssShmem:")) * 1024


def descriptor_limit() -> float:
    """Return the lowest descriptor number that this process may not open, infinity if there is no limit."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return math.inf if limit == resource.RLIM_INFINITY else limit


@dataclass(frozen=True, slots=True)
class Capacity:
    """The part of the limits that one process may use.

    Attributes:
        connections: Maximum number of client connections, and likewise of connections to endpoints.
        large_body_bytes: Maximum total size of large bodies.
        partial_command_bytes: Maximum total size of incomplete commands without their large bodies.
        request_bytes: Maximum memory of the requests in flight without their large bodies.
        customers: Maximum number of customers whose state is kept.
        reply_bytes: Maximum total size of replies that cannot be written yet.
        answer_bytes: Maximum total size of incomplete answers of endpoints.
    """

    connections: int
    large_body_bytes: int
    partial_command_bytes: int
    request_bytes: int
    customers: int
    reply_bytes: int
    answer_bytes: int


class ProcessLimits:
    """Divides a gateway's limits equally among its processes and applies this process's part.

    Attributes:
        process_count: Number of processes of this gateway at the previous check.
    """

    def __init__(
        self,
        active: ActiveConfig,
        clients: ClientServer,
        upstream: EndpointPools,
        requests: InFlightRequests,
        dispatcher: EventDispatcher,
    ) -> None:
        """Store the collaborators; no limit is set until the first `apply`."""
        self._active = active
        self._clients = clients
        self._upstream = upstream
        self._requests = requests
        self._dispatcher = dispatcher
        self._max_customers = 0
        self.process_count = 1

    def capacity(self, config: Config) -> Capacity:
        """Return the part of a configuration's limits that this process may use."""
        descriptors = (
            max(config.max_descriptors - RESERVED_DESCRIPTORS, config.max_descriptors // 2)
            // self.process_count
        )
        connections = descriptors // 2
        connection_bytes = connections * (CLIENT_CONNECTION_BYTES + ENDPOINT_CONNECTION_BYTES)
        spare_bytes = config.max_memory_bytes / self.process_count - PROCESS_BASE_BYTES - connection_bytes
        budget_bytes = int(min(max(spare_bytes, MIN_BUDGET_BYTES), sys.maxsize))
        large_body_bytes = max(MAX_VALUE_BYTES, int(budget_bytes * LARGE_BODY_FRACTION))
        # One large body must fit; where its fraction is less, the others share the rest.
        other_bytes = (budget_bytes - large_body_bytes) / (1 - LARGE_BODY_FRACTION)
        return Capacity(
            connections=connections,
            large_body_bytes=large_body_bytes,
            partial_command_bytes=int(other_bytes * PARTIAL_COMMAND_FRACTION),
            request_bytes=int(other_bytes * REQUEST_FRACTION),
            customers=int(other_bytes * CUSTOMER_FRACTION) // CUSTOMER_BYTES,
            reply_bytes=int(other_bytes * REPLY_FRACTION),
            answer_bytes=int(other_bytes * ANSWER_FRACTION),
        )

    def memory_bytes(self) -> float:
        """Return this process's part of the active memory limit, in bytes."""
        return self._active.config.max_memory_bytes / self.process_count

    def apply(self) -> None:
        """Apply this process's part of the active limits."""
        capacity = self.capacity(self._active.config)
        self._clients.capacity = capacity.connections
        self._clients.body_budget.capacity_bytes = capacity.large_body_bytes
        self._clients.partial_command_budget.capacity_bytes = capacity.partial_command_bytes
        self._requests.budget.capacity_bytes = capacity.request_bytes
        self._clients.reply_budget.capacity_bytes = capacity.reply_bytes
        self._upstream.answer_budget.capacity_bytes = capacity.answer_bytes
        self._upstream.max_connections = capacity.connections
        if capacity.customers != self._max_customers:
            self._max_customers = capacity.customers
            self._dispatcher.dispatch(api.CustomerLimitChanged(capacity.customers))

    def close_excess(self) -> None:
        """Close idle connections that exceed the limits."""
        self._clients.shrink_to_capacity()
        self._upstream.close_excess_idle()

    def reclaim_descriptor(self) -> bool:
        """Close one connection to free its descriptor if none is available; return whether one was closed.

        After the limit of the process was lowered, descriptors at or above it cannot be reused. Closing them
        would free nothing and lose working connections, so they are left open.
        """
        limit = descriptor_limit()
        return (
            self._clients.close_lingering()
            or self._upstream.close_longest_idle(limit)
            or self._clients.close_fresh_idle(limit)
            or self._clients.close_stalled(limit)
        )

    def shortage(self, new_config: Config) -> str:
        """Return why lowered limits are too small for what is in use now.

        Idle connections are not counted, because they can be closed.

        Args:
            new_config: The configuration that is about to be activated.

        Returns:
            The reason, or an empty string if the limits suffice or are not lowered.
        """
        capacity = self.capacity(new_config)
        previous_config = self._active.config
        if new_config.max_descriptors < previous_config.max_descriptors:
            busy = {
                "clients": len(self._clients.connections) - len(self._clients.closable_connections()),
                "hosts": self._upstream.connection_count - self._upstream.idle_count(),
            }
            for kind, count in busy.items():
                if count > capacity.connections:
                    return f"{count} connections of {kind} are in use, {capacity.connections} may be open"
        if new_config.max_memory_bytes < previous_config.max_memory_bytes:
            return self._memory_shortage(new_config, capacity)
        return ""

    def _memory_shortage(self, new_config: Config, capacity: Capacity) -> str:
        body_bytes = self._clients.body_budget.reserved_bytes
        if body_bytes > capacity.large_body_bytes:
            return f"large bodies hold {body_bytes} bytes, {capacity.large_body_bytes} may be"
        memory_limit = new_config.max_memory_bytes / self.process_count
        if (resident := resident_bytes()) > memory_limit:
            return f"the process has {resident} bytes, {int(memory_limit)} may be"
        return ""
