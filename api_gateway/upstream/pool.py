"""The connections to one endpoint: idle, settling and pending ones."""

from __future__ import annotations

import asyncio
import bisect
import math
import socket
from time import monotonic
from typing import TYPE_CHECKING, NamedTuple

from api_gateway.base.byte_budget import ByteBudget
from api_gateway.base.descriptors import is_resource_exhaustion, retry_after_reclaim
from api_gateway.base.endpoint_list import Address
from api_gateway.upstream.attempt import Attempt
from api_gateway.upstream.connection import RECEIVE_BUFFER_BYTES, Connection

if TYPE_CHECKING:
    from api_gateway.upstream.endpoint_pools import EndpointPools

# Seconds after an answer in which a second one may still arrive: faulty ones are milliseconds late.
SETTLE_TIME_S = 0.05
# Longest wait for a connection to settle, as a fraction of the endpoint's typical response time.
SETTLE_WAIT_FRACTION = 0.5
# Weight of the latest response time in the moving average.
RESPONSE_TIME_GAIN = 0.2
# Added to timer delays, because the event loop's timers may fire early.
TIMER_MARGIN_S = 0.002


class ResourceExhaustedError(Exception):
    """The gateway lacks a local resource to open a connection, which is no evidence about the endpoint.

    Attributes:
        cause: The operating system's error.
    """

    def __init__(self, cause: OSError) -> None:
        """Create the error with the cause's message."""
        super().__init__(str(cause))
        self.cause = cause


class ReservedConnection(NamedTuple):
    """A connection that is reserved for an attempt until it has settled."""

    connection: Connection
    timer: asyncio.TimerHandle


class Pool:
    """The connections to one address of an endpoint.

    After an answer, a connection is not reused until it has settled, which means that no second answer can
    arrive on it any more.

    Attributes:
        settle_time: Seconds that a connection takes to settle.
        endpoint_pools: The owner, with the state shared by all pools.
        address: The address that the connections go to.
        is_open: Whether the pool accepts attempts; False permanently after `stop`.
        idle: The idle connections, most recently used last.
        typical_response_time: Moving average of the endpoint's response times, in seconds.
        connecting: The pending connects, by the attempt or token that each was started for.
        settling: Reserved connections, by the attempt that waits for each.
    """

    settle_time = SETTLE_TIME_S

    def __init__(self, endpoint_pools: EndpointPools, address: Address) -> None:
        """Create a pool without connections."""
        self.endpoint_pools = endpoint_pools
        self.address = address
        self.is_open = True
        self.idle: list[Connection] = []
        self.typical_response_time = 0.0
        self.connecting = PendingConnects(endpoint_pools)
        self.settling: dict[Attempt, ReservedConnection] = {}

    @property
    def read_buffer(self) -> memoryview:
        """The buffer that all connections read to."""
        return self.endpoint_pools.read_buffer

    @property
    def answer_budget(self) -> ByteBudget:
        """The budget that counts incomplete answers."""
        return self.endpoint_pools.answer_budget

    def start(self, attempt: Attempt) -> None:
        """Send an attempt on an idle connection, on one that will settle soon, or on a new one.

        Waiting for a connection to settle costs the endpoint less than a new connection. The attempt only
        waits if the wait is short compared with the endpoint's typical response time.
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
        """Take the most recently used idle connection that has settled and is sound; close unsound ones."""
        settled_before = monotonic() - self.settle_time
        settled = [idle for idle in reversed(self.idle) if idle.idle_since <= settled_before]
        for connection in settled:
            if connection.is_sound():
                return self.take_idle(connection)
            connection.close()
        return None

    def on_settled(self, attempt: Attempt) -> None:
        """Send an attempt on its reserved connection, which has settled."""
        connection = self.settling[attempt].connection
        if not connection.is_sound():
            connection.close()  # this starts the attempt on a new connection
            return
        del self.settling[attempt]
        attempt.started_at = monotonic()  # the time spent waiting is no evidence about the endpoint
        if not connection.start(attempt):
            self.return_idle(connection)

    def start_new(self, attempt: Attempt) -> None:
        """Send an attempt on a new connection, if the connection limit allows one."""
        loop = asyncio.get_running_loop()
        if self.endpoint_pools.ensure_capacity():
            self.connecting[attempt] = loop.create_task(self._connect_for(attempt))
        else:  # all connections are in use, which is no evidence about this endpoint
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
            The connection, or None if it was refused or timed out.

        Raises:
            ResourceExhaustedError: The gateway itself lacks a resource to open one.
        """
        try:
            return await retry_after_reclaim(self._open_once, self.endpoint_pools.reclaim_descriptor)
        except OSError as err:  # refused or timed out
            if is_resource_exhaustion(err):
                raise ResourceExhaustedError(err) from err
        except ValueError:  # the address is invalid
            pass
        return None

    def add_idle(self, connection: Connection) -> None:
        """Add a connection that has just become idle, or close it if the pool is closed."""
        if self.is_open:
            connection.idle_since = monotonic()
            self.idle.append(connection)
            self.endpoint_pools.add_idle(connection)
        else:
            connection.close()

    def take_idle(self, connection: Connection) -> Connection:
        """Remove a connection from the idle connections and return it."""
        self.idle.remove(connection)
        self.endpoint_pools.idle.pop(connection, None)
        return connection

    def return_idle(self, connection: Connection) -> None:
        """Return a connection that was taken but not used; its `idle_since` does not change."""
        if self.is_open and connection in self.endpoint_pools.connections:
            bisect.insort(self.idle, connection, key=lambda idle: idle.idle_since)
            self.endpoint_pools.add_idle(connection)
        else:
            connection.close()

    def remove(self, connection: Connection) -> None:
        """Remove a closing connection. An attempt that it was reserved for gets a new one."""
        if connection in self.idle:
            self.take_idle(connection)
        self.endpoint_pools.connections.discard(connection)
        for attempt, settling in list(self.settling.items()):
            if settling.connection is connection:
                del self.settling[attempt]
                settling.timer.cancel()
                self.start_new(attempt)

    def abandon(self, attempt: Attempt, result: str) -> None:
        """End an attempt and close its connection."""
        self.endpoint_pools.abandon(attempt, result)

    def record_response_time(self, seconds: float) -> None:
        """Add a response time, in seconds, to the endpoint's moving average."""
        self.typical_response_time += RESPONSE_TIME_GAIN * (seconds - self.typical_response_time)

    def close_idle(self) -> None:
        """Close all idle connections of this pool."""
        for connection in list(self.idle):
            connection.close()

    def stop(self) -> None:
        """Close the pool permanently. Attempts that wait for a connection end; those in flight continue."""
        self.is_open = False
        self.close_idle()
        for attempt, settling in list(self.settling.items()):
            del self.settling[attempt]
            settling.timer.cancel()
            settling.connection.close()
            attempt.end("connect_failed")
        for key, task in list(self.connecting.items()):
            del self.connecting[key]
            task.cancel()
            if isinstance(key, Attempt):  # the connects of a SharedPool do not belong to an attempt
                key.end("connect_failed")

    async def _connect_for(self, attempt: Attempt) -> None:
        """Open a connection and send the attempt on it, if the attempt still waits for one."""
        connection = None
        result = "connect_failed"
        try:
            connection = await self.open()
        except ResourceExhaustedError:
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
        """Open a connection, or raise OSError (which includes TimeoutError) or ValueError."""
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


class PendingConnects(dict[object, asyncio.Task[None]]):
    """The pending connects of one pool, which also count in the total of all pools.

    An entry is removed when its connect ends or is cancelled, whichever comes first. The task cannot be
    relied on to remove it, because a task that is cancelled before its first step never runs.
    """

    def __init__(self, endpoint_pools: EndpointPools) -> None:
        """Create an empty map whose entries count in `endpoint_pools.connecting_count`."""
        super().__init__()
        self.endpoint_pools = endpoint_pools

    def __setitem__(self, key: object, task: asyncio.Task[None]) -> None:
        """Add a pending connect."""
        self.endpoint_pools.connecting_count += key not in self
        super().__setitem__(key, task)

    def __delitem__(self, key: object) -> None:
        """Remove a pending connect."""
        super().__delitem__(key)
        self.endpoint_pools.connecting_count -= 1

    def pop(self, key: object, default: asyncio.Task[None] | None = None) -> asyncio.Task[None] | None:  # type: ignore[override]
        """Remove a pending connect and return it, or return `default` if there is none."""
        self.endpoint_pools.connecting_count -= key in self
        return super().pop(key, default)
