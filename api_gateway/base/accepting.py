"""Accepts connections on a listening socket and retries when accept fails.

The server of the event loop closes the connections in the backlog as soon as one accept finds no free
descriptor, although a descriptor may be free a moment later. This server leaves a connection that cannot be
accepted in the backlog and retries, so a short shortage only delays its clients.
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

ACCEPTS_PER_TURN = 1  # so that requests in flight are served between two accepts
IMMEDIATE_RETRIES = 5  # fewer consecutive failures than this are retried in the next turn of the loop
RETRY_INTERVAL_S = 0.01  # delay of later retries, until the shortage counts as lasting
LASTING_SHORTAGE_S = 0.3  # seconds after which a shortage counts as lasting
LASTING_RETRY_INTERVAL_S = 0.1  # delay of retries in a lasting shortage

# Errors of the pending connection that accept(2) passes on; the next connection may still be accepted.
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
    """Return a non-blocking socket that listens at `address`, retrying for some seconds in a shortage.

    Args:
        address: HOST and PORT.
        backlog: Connections that may wait to be accepted.

    Raises:
        OSError: The socket cannot listen at the address, or the shortage lasts.
    """
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET

    async def open_once() -> socket.socket:
        return socket.create_server(address, family=family, backlog=backlog)

    sock = await retry_in_shortage(open_once)
    sock.setblocking(False)
    return sock


class AcceptingServer:
    """Accepts connections in batches and attaches each to a protocol from `factory`.

    It owns the listening socket. `connecting_tasks` are those of the accepted connections that have no
    protocol yet.
    """

    def __init__(self, sock: socket.socket, factory: ProtocolFactory) -> None:
        """Initialise the server and start to accept connections.

        Args:
            sock: A listening socket, which this server takes over.
            factory: Creates the protocol of a connection.
        """
        self.sockets = [sock]
        self.factory = factory
        self.loop = asyncio.get_running_loop()
        self.connecting_tasks: set[asyncio.Task[None]] = set()
        self.is_watching = False  # whether the event loop watches the listening socket
        self.retry_timer: asyncio.TimerHandle | None = None
        self.shortage_began_at: float | None = None  # by the monotonic clock; None: accept did not fail
        self.consecutive_failures = 0  # since the last success
        self.is_closed = False
        sock.setblocking(False)
        self.resume()

    def resume(self) -> None:
        """Start or continue to accept connections."""
        self.retry_timer = None
        if not self.is_watching and not self.is_closed:
            self.loop.add_reader(self.sockets[0].fileno(), self.accept_batch)
            self.is_watching = True

    def pause(self, seconds: float | None = None) -> None:
        """Leave new connections in the backlog for `seconds`, or until resume()."""
        if self.is_watching:
            self.loop.remove_reader(self.sockets[0].fileno())
            self.is_watching = False
        if seconds is not None and self.retry_timer is None:
            self.retry_timer = self.loop.call_later(seconds, self.resume)

    def accept_batch(self) -> None:
        """Accept up to ACCEPTS_PER_TURN pending connections; the next turn accepts the others."""
        for _ in range(ACCEPTS_PER_TURN):
            if not self.is_watching:
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
            self.shortage_began_at = None
            self.consecutive_failures = 0
            self.attach(sock)

    def accept_failed(self, err: OSError) -> None:
        """Schedule a retry; the connection stays in the backlog."""
        now = monotonic()
        self.consecutive_failures += 1
        if self.shortage_began_at is None:
            self.shortage_began_at = now
        if self.consecutive_failures < IMMEDIATE_RETRIES:  # retry at once: others wait behind this one
            return
        if self.consecutive_failures == IMMEDIATE_RETRIES:
            log.warning("a connection waits in the backlog: accept failed with %s", err)
        duration = now - self.shortage_began_at
        self.pause(RETRY_INTERVAL_S if duration < LASTING_SHORTAGE_S else LASTING_RETRY_INTERVAL_S)
        if err.errno in SHORTAGE_ERRORS:
            self.on_shortage(err, duration)

    def on_shortage(self, err: OSError, duration: float) -> None:
        """Handle an accept that failed for lack of resources, `duration` seconds into the shortage."""

    def attach(self, sock: socket.socket) -> None:
        """Start a task that creates the protocol of a connection."""
        task = self.loop.create_task(self.connect(sock))
        self.connecting_tasks.add(task)
        task.add_done_callback(self.connecting_tasks.discard)

    async def connect(self, sock: socket.socket) -> None:
        """Attach an accepted connection to a new protocol."""
        try:
            await self.loop.connect_accepted_socket(self.factory, sock)
        except OSError:  # the peer has reset the connection in the meantime
            sock.close()
            self.attach_failed()

    def attach_failed(self) -> None:
        """Handle the loss of an accepted connection that has no protocol yet."""

    def close(self) -> None:
        """Stop accepting and close the listening socket. Later calls have no effect."""
        if self.is_closed:
            return
        self.is_closed = True
        if self.retry_timer is not None:
            self.retry_timer.cancel()
        self.pause()
        self.sockets[0].close()


class BoundedServer(AcceptingServer):
    """An AcceptingServer with at most `capacity` open connections; others wait in the backlog.

    Protocols call connection_ended() when their connection ends.
    """

    def __init__(self, sock: socket.socket, factory: ProtocolFactory, capacity: int) -> None:
        """Initialise the server and start to accept connections.

        Args:
            sock: A listening socket, which this server takes over.
            factory: Creates the protocol of a connection.
            capacity: Connections that may be open at once.
        """
        self.capacity = capacity
        self.open_count = 0
        super().__init__(sock, factory)

    def resume(self) -> None:
        """Start or continue to accept connections, unless `capacity` connections are open."""
        self.retry_timer = None
        if self.open_count < self.capacity:
            super().resume()

    def attach(self, sock: socket.socket) -> None:
        """Start to create the protocol of a connection; pause if `capacity` is reached."""
        self.open_count += 1
        if self.open_count >= self.capacity:
            self.pause()
        super().attach(sock)

    def attach_failed(self) -> None:
        """Handle the loss of an accepted connection that has no protocol yet."""
        self.connection_ended()

    def connection_ended(self) -> None:
        """Count a connection as closed, so that another one may be accepted."""
        self.open_count -= 1
        if self.retry_timer is None:
            self.resume()


async def serve(address: Address, factory: ProtocolFactory, backlog: int) -> AcceptingServer:
    """Listen at `address`, HOST and PORT, for protocols from `factory`. Raises OSError."""
    return AcceptingServer(await open_listening_socket(address, backlog), factory)
