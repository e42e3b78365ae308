"""Limits on concurrent connects to endpoints. Only imported with `connects` in the key `edge`.

Without it each attempt that finds no idle connection opens one for itself, so that a rush of requests is a
rush of handshakes too, which costs endpoints work. Here an attempt waits for the first connection that comes
up or becomes idle, whichever it was opened for, and no longer than a connect may take: then it may be retried
at another endpoint.
"""

from __future__ import annotations

import asyncio
import weakref
from collections.abc import Callable

from api_gateway.base.endpoint_list import Address
from api_gateway.upstream.attempt import Attempt
from api_gateway.upstream.connection import Connection
from api_gateway.upstream.endpoint_pools import EndpointPools
from api_gateway.upstream.pool import TIMER_MARGIN_S, Pool, ShortageError


class ConnectLimits:
    """Limits on concurrent connects, over the pools of one process.

    Attributes:
        max_per_endpoint: Concurrent connects to one endpoint.
        max_total: Concurrent connects to all endpoints; 0: any number.
        blocked_pools: Pools that wait since `max_total` is reached.
    """

    def __init__(self, max_per_endpoint: int, max_total: int) -> None:
        """Make limits that no pool has reached."""
        self.max_per_endpoint = max_per_endpoint
        self.max_total = max_total
        self.blocked_pools: weakref.WeakSet[SharedPool] = weakref.WeakSet()

    def has_capacity(self, endpoint_pools: EndpointPools) -> bool:
        """Return whether the total allows one more connect."""
        return not self.max_total or endpoint_pools.connecting_count < self.max_total

    def on_connect_ended(self) -> None:
        """Let the blocked pools connect, the one with most waiting attempts first."""
        for pool in sorted(self.blocked_pools, key=lambda pool: -len(pool.waiting)):
            self.blocked_pools.discard(pool)
            pool.start_connects()


class SharedPool(Pool):
    """A pool whose new connections serve whichever attempt has waited longest.

    Attributes:
        limits: The limits on connects, shared by all pools.
        waiting: Attempts without a connection, the one that waits longest first, with the timers that end
            their waits.
    """

    def __init__(self, endpoint_pools: EndpointPools, address: Address, limits: ConnectLimits) -> None:
        """Make a pool without connections."""
        super().__init__(endpoint_pools, address)
        self.limits = limits
        self.waiting: dict[Attempt, asyncio.TimerHandle] = {}

    def start(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection, or let it wait for one."""
        if not self.start_on_idle(attempt):
            loop = asyncio.get_running_loop()
            timeout = self.endpoint_pools.connect_timeout
            self.waiting[attempt] = loop.call_later(timeout, self._on_wait_timeout, attempt)
            self.start_connects()

    def start_connects(self) -> None:
        """Start connects for waiting attempts that no settling connection will serve, up to the limits."""
        while self.is_open and len(self.connecting) < self._wanted_connects():
            if not self.limits.has_capacity(self.endpoint_pools):
                self.limits.blocked_pools.add(self)
                return
            if not self.endpoint_pools.reserve_capacity():
                if not self.connecting:  # none will come up that could be shared
                    asyncio.get_running_loop().call_soon(self.fail_waiting, "moot")
                return
            token = object()
            self.connecting[token] = asyncio.get_running_loop().create_task(self._connect_shared(token))

    def fail_waiting(self, result: str = "connect_failed") -> None:
        """End all waiting attempts: what one connect met holds for all, and each may be retried elsewhere."""
        waiting = self.waiting
        self.waiting = {}
        for attempt, timer in waiting.items():
            timer.cancel()
            attempt.end(result)

    def add_idle(self, connection: Connection) -> None:
        """Give a new connection to a waiting attempt at once, a used one once it has settled."""
        is_new = self.is_open and not connection.is_used
        if is_new and self.waiting and connection.is_sound() and self._give_to_waiting(connection):
            return
        super().add_idle(connection)
        loop = asyncio.get_running_loop()
        loop.call_later(self.settle_time + TIMER_MARGIN_S, self._offer_settled)

    def forget(self, connection: Connection) -> None:
        """Forget a connection that closes; it may have been the last one that waiting attempts could get."""
        super().forget(connection)
        self.start_connects()

    def cancel_wait(self, attempt: Attempt) -> None:
        """Stop the wait of an attempt. A connect under way goes on: what comes up serves the next attempt."""
        timer = self.waiting.pop(attempt, None)
        if timer is not None:
            timer.cancel()

    def stop(self) -> None:
        """Close the pool for good; waiting attempts end, those in flight go on."""
        self.is_open = False
        self.close_idle()
        for token in list(self.connecting):
            task = self.connecting.pop(token)
            if task is not None:
                task.cancel()
        self.fail_waiting()
        self.limits.on_connect_ended()

    def _wanted_connects(self) -> int:
        return min(len(self.waiting) - len(self.idle), self.limits.max_per_endpoint)

    async def _connect_shared(self, token: object) -> None:
        connection = None
        result = "connect_failed"
        try:
            connection = await self.open()
        except ShortageError:
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
        """End an attempt that has waited as long as a connect of its own might have taken."""
        del self.waiting[attempt]
        attempt.end("connect_failed")

    def _give_to_waiting(self, connection: Connection) -> bool:
        """Return whether a waiting attempt went out on the connection."""
        while self.waiting:
            attempt = next(iter(self.waiting))
            self.waiting.pop(attempt).cancel()
            if connection.start(attempt):
                return True
        return False

    def _offer_settled(self) -> None:
        """Give settled connections to the waiting attempts."""
        while self.is_open and self.waiting and (connection := self.take_settled()) is not None:
            if not self._give_to_waiting(connection):
                self.return_idle(connection)


def limited_pool_factory(max_per_endpoint: int, max_total: int) -> Callable[[EndpointPools, Address], Pool]:
    """Return what makes the pools of one process.

    Args:
        max_per_endpoint: Concurrent connects to one endpoint.
        max_total: Concurrent connects to all endpoints; 0: any number.
    """
    limits = ConnectLimits(max_per_endpoint, max_total)
    return lambda endpoint_pools, address: SharedPool(endpoint_pools, address, limits)
