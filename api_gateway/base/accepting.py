"""Accepts connections on a listening socket, and tries again where accept fails.

The event loop's own server closes what waits in the backlog as soon as one accept finds no descriptor,
although there may be one a moment later. Here a connection that cannot be accepted stays in the backlog and
accept is tried again, so a shortage that lasts a moment costs its clients that moment and nothing else.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable
from time import monotonic

from api_gateway.base.descriptors import SHORTAGE_ERRORS, retry_in_shortage
from api_gateway.base.endpoint_list import Address

ACCEPTS_PER_TURN = 1  # connections accepted before the event loop turns to requests in flight
IMMEDIATE_RETRIES = 5  # failures in a row up to which accept is tried in the next turn of the loop
RETRY_INTERVAL_S = 0.01  # between two retries from then on, until a shortage lasts
LASTING_SHORTAGE_S = 0.3  # seconds after which a shortage counts as lasting
LASTING_RETRY_INTERVAL_S = 0.1  # between two retries from then on

# Errors of the one connection that was to be accepted, as accept(2) passes them on: the next may be sound.
CONNECTION_ERRORS = frozenset(
    {
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.EPROTO,
        errno.ETIMEDOUT,
    }
)

log = logging.getLogger(__name__)

ProtocolFactory = Callable[[], asyncio.BaseProtocol]


async def open_listening_socket(address: Address, backlog: int) -> socket.socket:
    """Return a non-blocking socket that listens at `address`; a shortage is waited out for some seconds.

    Args:
        address: HOST and PORT.
        backlog: Connections that may wait to be accepted.

    Raises:
        OSError: The address cannot be listened at, or the shortage lasts.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET

    async def open_once() -> socket.socket:
        return socket.create_server(address, family=family, backlog=backlog)

    sock = await retry_in_shortage(open_once)
    sock.setblocking(False)
    return sock


class AcceptingServer:
    """Accepts connections in batches and hands each to a protocol from `factory`.

    It owns the listening socket. `coming` holds the connections that are accepted and have no protocol yet.
    """

    def __init__(self, sock: socket.socket, factory: ProtocolFactory) -> None:
        """Initialise the server and accept from here on.

        Args:
            sock: A listening socket, owned by this server from here on.
            factory: Makes the protocol of a connection.
        """
        self.sockets = [sock]
        self.factory = factory
        self.loop = asyncio.get_running_loop()
        self.connecting_tasks: set[asyncio.Task[None]] = set()
        self.reading = False  # whether the event loop watches the listening socket
        self.retry: asyncio.TimerHandle | None = None
        self.short_since: float | None = None  # when the current shortage began, by the monotonic clock
        self.failures = 0  # since then
        self.closed = False
        sock.setblocking(False)
        self.resume()

    def resume(self) -> None:
        """Accept from here on."""
        self.retry = None
        if not self.reading and not self.closed:
            self.loop.add_reader(self.sockets[0].fileno(), self.accept_batch)
            self.reading = True

    def pause(self, seconds: float | None = None) -> None:
        """Leave what comes in the backlog, for so many seconds or until resume()."""
        if self.reading:
            self.loop.remove_reader(self.sockets[0].fileno())
            self.reading = False
        if seconds is not None and self.retry is None:
            self.retry = self.loop.call_later(seconds, self.resume)

    def accept_batch(self) -> None:
        """Accept what waits, up to ACCEPTS_PER_TURN connections; what is left comes in the next turn."""
        for _ in range(ACCEPTS_PER_TURN):
            if not self.reading:
                return
            try:
                sock, _ = self.sockets[0].accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as err:
                if err.errno in CONNECTION_ERRORS:
                    continue
                self.accept_failed(err)
                return
            self.short_since = None
            self.failures = 0
            self.attach(sock)

    def accept_failed(self, err: OSError) -> None:
        """Retry later; the connection waits in the backlog meanwhile."""
        now = monotonic()
        self.failures += 1
        if self.short_since is None:
            self.short_since = now
        if self.failures < IMMEDIATE_RETRIES:  # the next turn tries again: others wait behind this connection
            return
        if self.failures == IMMEDIATE_RETRIES:
            log.warning("a connection waits in the backlog: accept failed with %s", err)
        lasted = now - self.short_since
        self.pause(RETRY_INTERVAL_S if lasted < LASTING_SHORTAGE_S else LASTING_RETRY_INTERVAL_S)
        if err.errno in SHORTAGE_ERRORS:
            self.on_shortage(err, lasted)

    def on_shortage(self, err: OSError, lasted: float) -> None:
        """Handle an accept that found no resources, `lasted` seconds into the shortage."""

    def attach(self, sock: socket.socket) -> None:
        """Make the protocol of a connection, in a task of its own."""
        task = self.loop.create_task(self.connect(sock))
        self.connecting_tasks.add(task)
        task.add_done_callback(self.connecting_tasks.discard)

    async def connect(self, sock: socket.socket) -> None:
        """Give an accepted connection to a protocol."""
        try:
            await self.loop.connect_accepted_socket(self.factory, sock)
        except OSError:  # the peer has reset it meanwhile
            sock.close()
            self.attach_failed()

    def attach_failed(self) -> None:
        """Handle the loss of an accepted connection that has no protocol yet."""

    def close(self) -> None:
        """Accept no more and close the listening socket, once."""
        if self.closed:
            return
        self.closed = True
        if self.retry is not None:
            self.retry.cancel()
        self.pause()
        self.sockets[0].close()


class BoundedServer(AcceptingServer):
    """An AcceptingServer with at most `capacity` open connections; the rest waits in the backlog.

    Protocols report the end of their connection by connection_ended().
    """

    def __init__(self, sock: socket.socket, factory: ProtocolFactory, capacity: int) -> None:
        """Initialise the server and accept from here on.

        Args:
            sock: A listening socket, owned by this server from here on.
            factory: Makes the protocol of a connection.
            capacity: Connections that may be open at once.
        """
        self.capacity = capacity
        self.open_count = 0
        super().__init__(sock, factory)

    def resume(self) -> None:
        """Accept from here on, unless as many connections are open as may be."""
        self.retry = None
        if self.open_count < self.capacity:
            super().resume()

    def attach(self, sock: socket.socket) -> None:
        """Make the protocol of a connection, and pause where that is the last that may be open."""
        self.open_count += 1
        if self.open_count >= self.capacity:
            self.pause()
        super().attach(sock)

    def attach_failed(self) -> None:
        """Handle the loss of an accepted connection that has no protocol yet."""
        self.connection_ended()

    def connection_ended(self) -> None:
        """Note that a connection has ended, so that another may be accepted."""
        self.open_count -= 1
        if self.retry is None:
            self.resume()


async def serve(address: Address, factory: ProtocolFactory, backlog: int) -> AcceptingServer:
    """Listen at `address`, HOST and PORT, for protocols from `factory`. Raises OSError."""
    return AcceptingServer(await open_listening_socket(address, backlog), factory)
