"""Limits on concurrent connects to endpoints. Only imported if `connects` is set in the key `edge`.

Without these limits, each attempt that finds no idle connection opens a new one, so a burst of requests
causes a burst of handshakes, which costs the endpoints work. With them, an attempt takes the first connection
that is established or becomes idle, no matter which attempt it was opened for. It waits no longer than the
connect timeout, after which it can be retried at another endpoint.
"""

from __future__ import annotations

import asyncio
import weakref
from collections.abc import Callable

from api_gateway.base.endpoint_list import Address
from api_gateway.upstream.attempt import Attempt
from api_gateway.upstream.connection import Connection
from api_gateway.upstream.endpoint_pools import EndpointPools
from api_gateway.upstream.pool import TIMER_MARGIN_S, Pool, ResourceExhaustedError


class ConnectLimits:
    """Limits on concurrent connects, shared by all pools of a process.

    Attributes:
        max_per_endpoint: Maximum number of concurrent connects to one endpoint.
        max_total: Maximum number of concurrent connects to all endpoints; 0 means unlimited.
        blocked_pools: Pools that could not start a connect because `max_total` was reached.
    """

    def __init__(self, max_per_endpoint: int, max_total: int) -> None:
        """Create limits without any blocked pools."""
        self.max_per_endpoint = max_per_endpoint
        self.max_total = max_total
        self.blocked_pools: weakref.WeakSet[SharedPool] = weakref.WeakSet()

    def has_capacity(self, endpoint_pools: EndpointPools) -> bool:
        """Return whether `max_total` allows another connect."""
        return not self.max_total or endpoint_pools.connecting_count < self.max_total

    def on_connect_ended(self) -> None:
        """Let the blocked pools start connects, the pool with the most waiting attempts first."""
        for pool in sorted(self.blocked_pools, key=lambda pool: -len(pool.waiting)):
            self.blocked_pools.discard(pool)
            pool.start_connects()


class SharedPool(Pool):
    """A pool whose new connections go to the attempt that has waited longest.

    Attributes:
        limits: The connect limits, shared by all pools.
        waiting: Attempts without a connection, longest waiting first, each with the timer that ends its wait.
    """

    def __init__(self, endpoint_pools: EndpointPools, address: Address, limits: ConnectLimits) -> None:
        """Create a pool without connections."""
        super().__init__(endpoint_pools, address)
        self.limits = limits
        self.waiting: dict[Attempt, asyncio.TimerHandle] = {}

    def start(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection, or queue it until one is available."""
        if not self.start_on_idle(attempt):
            loop = asyncio.get_running_loop()
            timeout = self.endpoint_pools.connect_timeout
            self.waiting[attempt] = loop.call_later(timeout, self._on_wait_timeout, attempt)
            self.start_connects()

    def start_connects(self) -> None:
        """Start connects for the waiting attempts in excess of the idle connections, up to the limits."""
        while self.is_open and len(self.connecting) < self._needed_connects():
            if not self.limits.has_capacity(self.endpoint_pools):
                self.limits.blocked_pools.add(self)
                return
            if not self.endpoint_pools.ensure_capacity():
                if not self.connecting:  # no pending connect could serve the waiting attempts
                    asyncio.get_running_loop().call_soon(self.fail_waiting, "moot")
                return
            token = object()
            self.connecting[token] = asyncio.get_running_loop().create_task(self._connect_shared(token))

    def fail_waiting(self, result: str = "connect_failed") -> None:
        """End all waiting attempts with the same result.

        The failure of one connect applies to all of them, and each can be retried at another endpoint.
        """
        waiting = self.waiting
        self.waiting = {}
        for attempt, timer in waiting.items():
            timer.cancel()
            attempt.end(result)

    def add_idle(self, connection: Connection) -> None:
        """Give a new connection to a waiting attempt at once, and a used one when it has settled."""
        is_new = self.is_open and not connection.is_used
        if is_new and self.waiting and connection.is_sound() and self._start_next_waiting(connection):
            return
        super().add_idle(connection)
        loop = asyncio.get_running_loop()
        loop.call_later(self.settle_time + TIMER_MARGIN_S, self._use_settled)

    def remove(self, connection: Connection) -> None:
        """Remove a closing connection and connect again, because waiting attempts may have relied on it."""
        super().remove(connection)
        self.start_connects()

    def cancel_wait(self, attempt: Attempt) -> None:
        """Stop the wait of an attempt. A pending connect continues and will serve the next attempt."""
        timer = self.waiting.pop(attempt, None)
        if timer is not None:
            timer.cancel()

    def stop(self) -> None:
        """Close the pool permanently. Waiting attempts end, and attempts in flight continue."""
        self.is_open = False
        self.close_idle()
        for token in list(self.connecting):
            task = self.connecting.pop(token)
            if task is not None:
                task.cancel()
        self.fail_waiting()
        self.limits.on_connect_ended()

    def _needed_connects(self) -> int:
        return min(len(self.waiting) - len(self.idle), self.limits.max_per_endpoint)

    async def _connect_shared(self, token: object) -> None:
        connection = None
        result = "connect_failed"
        try:
            connection = await self.open()
        except ResourceExhaustedError:
            result = "moot"
        finally:
            self.connecting.pop(token, None)
        if connection is None:
            self.fail_waiting(result)
        else:
            self.endpoint_pools.connections.add(connection)
            self.add_idle(connection)
        self.start_connects()
        self.limits.on_connect_ended()

    def _on_wait_timeout(self, attempt: Attempt) -> None:
        """End an attempt that has waited for the duration of the connect timeout."""
        del self.waiting[attempt]
        attempt.end("connect_failed")

    def _start_next_waiting(self, connection: Connection) -> bool:
        """Send the first waiting attempt that can still be sent. Return whether there was one."""
        while self.waiting:
            attempt = next(iter(self.waiting))
            self.waiting.pop(attempt).cancel()
            if connection.start(attempt):
                return True
        return False

    def _use_settled(self) -> None:
        """Send waiting attempts on connections that have settled."""
        while self.is_open and self.waiting and (connection := self.take_settled()) is not None:
            if not self._start_next_waiting(connection):
                self.return_idle(connection)


def limited_pool_factory(max_per_endpoint: int, max_total: int) -> Callable[[EndpointPools, Address], Pool]:
    """Return a factory for pools that share the same connect limits.

    Args:
        max_per_endpoint: Maximum number of concurrent connects to one endpoint.
        max_total: Maximum number of concurrent connects to all endpoints; 0 means unlimited.
    """
    limits = ConnectLimits(max_per_endpoint, max_total)
    return lambda endpoint_pools, address: SharedPool(endpoint_pools, address, limits)
