"""The connection pools of all endpoints: addresses, connection limit, idle connections, health checks."""

from __future__ import annotations

import asyncio
import math
from collections import OrderedDict
from collections.abc import Callable
from time import monotonic

from api_gateway.base.byte_budget import ByteBudget
from api_gateway.base.endpoint_list import Address
from api_gateway.upstream.attempt import HEALTH_CHECK, Attempt
from api_gateway.upstream.connection import Connection
from api_gateway.upstream.pool import Pool

# Fraction of the endpoints' idle timeout by which the gateway closes idle connections before they do.
IDLE_MARGIN_FRACTION = 0.1
# Seconds between checks for connections that were idle for too long or have stalled.
IDLE_CHECK_INTERVAL_S = 0.5
# Bytes read at once from an endpoint: as many of a large value as wait for a client that does not read.
READ_BYTES = 8 * 1024
# Capacity of the budget until the limits of the process are applied.
DEFAULT_BUDGET_BYTES = 16 * 1024 * 1024
# The command of a health check.
LOAD_COMMAND = b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n"


class EndpointPools:
    """The pools of all endpoints, and the state that they share.

    No operation for a request, a change of one endpoint or a timer iterates over all pools.

    Attributes:
        max_connections: Maximum number of connections, including pending connects.
        make_pool: Creates the pool for an endpoint's address.
        reclaim_descriptor: Closes a connection of any kind when no new one can be opened. Returns whether
            there was one to close.
        connect_timeout: Seconds that a connect may take.
        max_idle_time: Seconds after which an idle connection is closed.
        pools: The open pools, by endpoint id.
        addresses: Addresses of the endpoints that are up, from the endpoint list, by endpoint id.
        ejected: Ids of endpoints that are ejected by an operator override.
        connections: All established connections.
        connecting_count: Number of pending connects.
        idle: The idle connections of all pools, longest idle first.
        read_buffer: Where all connections read to.
        answer_budget: Counts the incomplete answers of all connections.
    """

    def __init__(self, connect_timeout: float, idle_timeout: float, max_connections: int) -> None:
        """Create an instance without any endpoints.

        Args:
            connect_timeout: Seconds that a connect may take.
            idle_timeout: Seconds after which endpoints close an idle connection.
            max_connections: Maximum number of connections.
        """
        self.max_connections = max_connections
        self.make_pool: Callable[[EndpointPools, Address], Pool] = Pool
        self.reclaim_descriptor: Callable[[], bool] = self.close_longest_idle
        self.pools: dict[str, Pool] = {}
        self.addresses: dict[str, Address] = {}
        self.ejected: set[str] = set()
        self.connections: set[Connection] = set()
        self.connecting_count = 0
        self.idle: OrderedDict[Connection, None] = OrderedDict()
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self.answer_budget = ByteBudget(DEFAULT_BUDGET_BYTES)
        self._check_timer: asyncio.TimerHandle | None = None
        self.reconfigure(connect_timeout, idle_timeout)

    def reconfigure(self, connect_timeout: float, idle_timeout: float) -> None:
        """Apply the timeouts of a changed configuration, in seconds as in the constructor."""
        self.connect_timeout = connect_timeout
        self.max_idle_time = idle_timeout * (1 - IDLE_MARGIN_FRACTION) - IDLE_CHECK_INTERVAL_S

    # Endpoints

    def set_address(self, endpoint_id: str, address: Address | None) -> None:
        """Apply an entry of the endpoint list.

        Args:
            endpoint_id: The endpoint's id.
            address: The current address, or None if the endpoint must not receive new attempts.
        """
        if address is not None:
            self.addresses[endpoint_id] = address
        else:
            self.addresses.pop(endpoint_id, None)
        self._update_pool(endpoint_id)

    def set_ejected(self, endpoint_id: str, ejected: bool) -> None:
        """Set or clear an operator's ejection of an endpoint, which overrides the endpoint list."""
        if ejected:
            self.ejected.add(endpoint_id)
        else:
            self.ejected.discard(endpoint_id)
        self._update_pool(endpoint_id)

    def _update_pool(self, endpoint_id: str) -> None:
        """Open, replace or stop the pool of one endpoint."""
        address = None if endpoint_id in self.ejected else self.addresses.get(endpoint_id)
        pool = self.pools.get(endpoint_id)
        if pool is not None and pool.address != address:
            pool.stop()
            del self.pools[endpoint_id]
        if address is not None and endpoint_id not in self.pools:
            self.pools[endpoint_id] = self.make_pool(self, address)

    # Attempts

    def send(self, attempt: Attempt, timeout: float) -> None:
        """Send an attempt to its endpoint.

        Args:
            attempt: The attempt, which ends exactly once. If no pool is open for its endpoint, it ends after
                this method has returned.
            timeout: Seconds after which the attempt is abandoned.
        """
        loop = asyncio.get_running_loop()
        pool = self.pools.get(attempt.endpoint_id)
        if pool is None:
            loop.call_soon(attempt.end, "connect_failed")
            return
        attempt.deadline = monotonic() + timeout
        attempt.timer = loop.call_later(timeout, self.abandon, attempt, "timeout")
        pool.start(attempt)

    def check_health(self, endpoint_id: str, on_done: Callable[[Attempt], None]) -> None:
        """Send a health check.

        Args:
            endpoint_id: The endpoint's id.
            on_done: Called with the attempt when it has ended.
        """
        self.send(Attempt(endpoint_id, lambda _: LOAD_COMMAND, on_done, HEALTH_CHECK), self.connect_timeout)

    def abandon(self, attempt: Attempt, result: str) -> None:
        """End an attempt without waiting for its answer.

        Its connection is closed too, so that a late answer is not taken for the answer to the next attempt.

        Args:
            attempt: The attempt. If it has already ended, nothing happens.
            result: The attempt's result if the request may have run and its value is not complete.
        """
        if attempt.result:
            return
        connection = attempt.connection
        if connection is None:
            pool = self.pools.get(attempt.endpoint_id)
            if pool is not None:
                pool.cancel_wait(attempt)
            attempt.end("connect_failed")
            return
        if attempt.is_value_complete:
            result = "ok"
        elif not connection.is_written:
            result = "connect_failed"
        connection.attempt = None
        connection.close()
        attempt.end(result)

    # Connection limit

    @property
    def connection_count(self) -> int:
        """The number of connections, including pending connects."""
        return len(self.connections) + self.connecting_count

    def ensure_capacity(self) -> bool:
        """Return whether a connection may be opened. At the limit, an idle one is closed to allow it."""
        return self.connection_count < self.max_connections or self.close_longest_idle()

    def close_excess_idle(self) -> None:
        """Close idle connections, longest idle first, to meet a connection limit that was lowered."""
        while self.connection_count > self.max_connections and self.ensure_capacity():
            pass

    # Idle connections

    def add_idle(self, connection: Connection) -> None:
        """Insert an idle connection in the order of `idle_since`, at the end unless it was returned."""
        more_recent = []
        while self.idle and (last := next(reversed(self.idle))).idle_since > connection.idle_since:
            more_recent.append(last)
            del self.idle[last]
        self.idle[connection] = None
        for last in reversed(more_recent):
            self.idle[last] = None

    def idle_count(self) -> int:
        """Return the number of idle connections."""
        return len(self.idle)

    def close_longest_idle(self, descriptor_limit: float = math.inf) -> bool:
        """Close the connection that has been idle longest. Return whether there was one.

        Args:
            descriptor_limit: Only a connection whose descriptor is below this number is closed.
        """
        for connection in self.idle:
            if connection.sock.fileno() < descriptor_limit:
                connection.close()
                return True
        return False

    def close_idle(self, endpoint_id: str) -> None:
        """Close all idle connections to an endpoint."""
        if endpoint_id in self.pools:
            self.pools[endpoint_id].close_idle()

    def close_stale(self) -> None:
        """Close connections that were idle longer than `max_idle_time`.

        This is a little shorter than the endpoints' idle timeout, because an attempt that is sent just as the
        endpoint closes its connection is reset.
        """
        idle_limit = monotonic() - self.max_idle_time
        while self.idle and (oldest := next(iter(self.idle))).idle_since < idle_limit:
            oldest.close()

    # Lifecycle

    def start_maintenance(self) -> None:
        """Close stale and stalled connections now, and again every IDLE_CHECK_INTERVAL_S until `close`."""
        self.close_stale()
        now = monotonic()
        for connection in list(self.connections):
            connection.close_if_stalled(now)
        self._check_timer = asyncio.get_running_loop().call_later(
            IDLE_CHECK_INTERVAL_S, self.start_maintenance
        )

    def close(self) -> None:
        """Stop all pools and close all connections permanently."""
        if self._check_timer is not None:
            self._check_timer.cancel()
        for pool in self.pools.values():
            pool.stop()
        for connection in list(self.connections):
            connection.close()
