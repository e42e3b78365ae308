"""The connections to one endpoint: idle ones, those that settle, and those that are coming up."""

from __future__ import annotations

import asyncio
import bisect
import math
import socket
from time import monotonic
from typing import TYPE_CHECKING, NamedTuple

from api_gateway.base.descriptors import is_resource_exhaustion, retry_after_reclaim
from api_gateway.base.endpoint_list import Address
from api_gateway.upstream.attempt import Attempt
from api_gateway.upstream.connection import RECEIVE_BUFFER_BYTES, Connection

if TYPE_CHECKING:
    from api_gateway.upstream.endpoint_pools import EndpointPools

# s after an answer in which a second one may still come: a spoilt one is late by milliseconds.
SETTLE_TIME_S = 0.05
# Part of an endpoint's typical response time that an attempt waits for a connection to settle.
SETTLE_WAIT_FRACTION = 0.5
# Weight of the latest answer in the typical response time.
RESPONSE_TIME_GAIN = 0.2
# Margin past the end of a time, since the event loop's timers may fire early.
TIMER_MARGIN_S = 0.002


class ShortageError(Exception):
    """The gateway has nothing left to open a connection with, which is no evidence about the endpoint.

    Attributes:
        cause: What the system said.
    """

    def __init__(self, cause: OSError) -> None:
        """Keep the cause."""
        super().__init__(str(cause))
        self.cause = cause


class ReservedConnection(NamedTuple):
    """A connection that is reserved for an attempt until no second answer can come on it."""

    connection: Connection
    timer: asyncio.TimerHandle


class Pool:
    """The connections to one address of an endpoint.

    A connection that has just brought an answer is left alone until no second answer can come on it.

    Attributes:
        settle_time: Seconds that this takes.
        endpoint_pools: The owner, with what holds for all pools.
        address: Where the connections go.
        is_open: Whether attempts may start here; False for good after `stop`.
        idle: The idle connections, the latest used last.
        typical_response_time: Moving average of the endpoint's response times, in seconds.
        connecting: The connects under way, by what each is for.
        settling: Reserved connections, by the attempt that each is for.
    """

    settle_time = SETTLE_TIME_S

    def __init__(self, endpoint_pools: EndpointPools, address: Address) -> None:
        """Make a pool without connections."""
        self.endpoint_pools = endpoint_pools
        self.address = address
        self.is_open = True
        self.idle: list[Connection] = []
        self.typical_response_time = 0.0
        self.connecting = Connects(endpoint_pools)
        self.settling: dict[Attempt, ReservedConnection] = {}

    def start(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection, on one that will have settled soon, or on a new one.

        Waiting for one that settles costs the endpoint less than a new one. It is only done where the wait
        is short beside the endpoint's typical response time.
        """
        if self.start_on_idle(attempt):
            return
        settle_wait = math.inf
        if self.idle:
            settle_wait = max(0.0, self.idle[0].idle_since + self.settle_time - monotonic())
        if settle_wait > SETTLE_WAIT_FRACTION * self.typical_response_time:
            self.start_new(attempt)
            return
        loop = asyncio.get_running_loop()
        timer = loop.call_later(settle_wait + TIMER_MARGIN_S, self.on_settled, attempt)
        self.settling[attempt] = ReservedConnection(self.take_idle(self.idle[0]), timer)

    def start_on_idle(self, attempt: Attempt) -> bool:
        """Send an attempt on an idle connection. Return whether there was one."""
        connection = self.take_settled()
        if connection is not None and not connection.start(attempt):
            self.return_idle(connection)
        return connection is not None

    def take_settled(self) -> Connection | None:
        """Take the latest used of the idle connections that have settled; unsound ones are closed."""
        settled_before = monotonic() - self.settle_time
        settled = [idle for idle in reversed(self.idle) if idle.idle_since <= settled_before]
        for connection in settled:
            if connection.is_sound():
                return self.take_idle(connection)
            connection.close()
        return None

    def on_settled(self, attempt: Attempt) -> None:
        """Send an attempt on the connection that has settled for it."""
        connection = self.settling[attempt].connection
        if not connection.is_sound():
            connection.close()  # which starts the attempt on a new one
            return
        del self.settling[attempt]
        attempt.started_at = monotonic()  # the wait so far is no evidence about the endpoint
        if not connection.start(attempt):
            self.return_idle(connection)

    def start_new(self, attempt: Attempt) -> None:
        """Send an attempt on a new connection, where the limit of connections allows one."""
        loop = asyncio.get_running_loop()
        if self.endpoint_pools.reserve_capacity():
            self.connecting[attempt] = loop.create_task(self._connect_for(attempt))
        else:  # all are in use, which is no evidence about this endpoint
            loop.call_soon(attempt.end, "moot")

    def cancel_wait(self, attempt: Attempt) -> None:
        """Stop the wait of an attempt for a connection."""
        task = self.connecting.pop(attempt, None)
        if task is not None:
            task.cancel()
        settling = self.settling.pop(attempt, None)
        if settling is not None:
            settling.timer.cancel()
            self.return_idle(settling.connection)

    async def open(self) -> Connection | None:
        """Open a connection.

        Returns:
            The connection; None where it is refused or does not come up in time.

        Raises:
            ShortageError: The gateway itself has nothing left to open one with.
        """
        try:
            return await retry_after_reclaim(self._open_once, self.endpoint_pools.reclaim_descriptor)
        except OSError as err:  # refused, or out of time
            if is_resource_exhaustion(err):
                raise ShortageError(err) from err
        except ValueError:  # no address at all
            pass
        return None

    def add_idle(self, connection: Connection) -> None:
        """Add a connection that has become idle now."""
        if self.is_open:
            connection.idle_since = monotonic()
            self.idle.append(connection)
            self.endpoint_pools.add_idle(connection)
        else:
            connection.close()

    def take_idle(self, connection: Connection) -> Connection:
        """Remove a connection from the idle ones and return it."""
        self.idle.remove(connection)
        self.endpoint_pools.idle.pop(connection, None)
        return connection

    def return_idle(self, connection: Connection) -> None:
        """Return a connection that was taken and not used; it stays idle since the same time as before."""
        if self.is_open and connection in self.endpoint_pools.connections:
            bisect.insort(self.idle, connection, key=lambda idle: idle.idle_since)
            self.endpoint_pools.add_idle(connection)
        else:
            connection.close()

    def forget(self, connection: Connection) -> None:
        """Forget a connection that closes; an attempt that it was reserved for gets a new one."""
        if connection in self.idle:
            self.take_idle(connection)
        self.endpoint_pools.connections.discard(connection)
        for attempt, settling in list(self.settling.items()):
            if settling.connection is connection:
                del self.settling[attempt]
                settling.timer.cancel()
                self.start_new(attempt)

    def abandon(self, attempt: Attempt, result: str) -> None:
        """Give up an attempt, and the connection that it is on."""
        self.endpoint_pools.abandon(attempt, result)

    def record_response_time(self, seconds: float) -> None:
        """Add a response time to the endpoint's moving average."""
        self.typical_response_time += RESPONSE_TIME_GAIN * (seconds - self.typical_response_time)

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in list(self.idle):
            connection.close()

    def stop(self) -> None:
        """Close the pool for good; attempts that wait for a connection end, those in flight go on."""
        self.is_open = False
        self.close_idle()
        for attempt, settling in list(self.settling.items()):
            del self.settling[attempt]
            settling.timer.cancel()
            settling.connection.close()
            attempt.end("connect_failed")
        for waiting, task in list(self.connecting.items()):
            del self.connecting[waiting]
            task.cancel()
            if isinstance(waiting, Attempt):  # the connects of a shared pool are for no certain attempt
                waiting.end("connect_failed")

    async def _connect_for(self, attempt: Attempt) -> None:
        """Open a connection and send the attempt on it, if it still waits for one."""
        connection = None
        result = "connect_failed"
        try:
            connection = await self.open()
        except ShortageError:
            result = "moot"
        finally:
            is_awaited = self.connecting.pop(attempt, None) is not None
        if connection is not None:
            self.endpoint_pools.connections.add(connection)
            is_wanted = is_awaited and not attempt.result and self.is_open
            if is_wanted and connection.transport is not None and not connection.transport.is_closing():
                if not connection.start(attempt):
                    self.add_idle(connection)
                return
            connection.close()
        if is_awaited:
            attempt.end(result)

    async def _open_once(self) -> Connection:
        """Raise OSError, TimeoutError among them, or ValueError where no connection comes up."""
        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in self.address[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM)
        connection: Connection | None = None
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            async with asyncio.timeout(self.endpoint_pools.connect_timeout):
                await loop.sock_connect(sock, self.address)
                _, connection = await loop.create_connection(lambda: Connection(self, sock), sock=sock)
            return connection
        finally:
            if connection is None:
                sock.close()


class Connects(dict[object, asyncio.Task[None]]):
    """The connects of one pool, by what each is for; they count in the connects of all pools.

    An entry goes when its connect has an outcome or is called off, whichever is first: a task that is
    cancelled before its first step would never remove it.
    """

    def __init__(self, endpoint_pools: EndpointPools) -> None:
        """Make an empty map whose length counts in `endpoint_pools.connecting_count`."""
        super().__init__()
        self.endpoint_pools = endpoint_pools

    def __setitem__(self, key: object, task: asyncio.Task[None]) -> None:
        """Add a connect."""
        self.endpoint_pools.connecting_count += key not in self
        super().__setitem__(key, task)

    def __delitem__(self, key: object) -> None:
        """Remove a connect."""
        super().__delitem__(key)
        self.endpoint_pools.connecting_count -= 1

    def pop(self, key: object, default: asyncio.Task[None] | None = None) -> asyncio.Task[None] | None:  # type: ignore[override]
        """Remove a connect and return it, or `default` where there is none."""
        self.endpoint_pools.connecting_count -= key in self
        return super().pop(key, default)
