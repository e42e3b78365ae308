"""Accepting connections on a listening socket, and what is done where accept fails.

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
from typing import Any

from api_gateway.base.endpoint_list import Address

ACCEPTS_PER_TURN = 1  # connections accepted before the event loop turns to requests in flight
TRIES_AT_ONCE = 5  # failures in a row after which accept is tried in the next turn of the loop
RETRY_INTERVAL = 0.01  # s between two tries from then on, while a shortage is young
LASTING = 0.3  # s after which a shortage is held to last
LASTING_INTERVAL = 0.1  # s between two tries from then on

# The process or the machine has nothing left to open a connection with.
SHORTAGE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS})
# Errors of the one connection that was to be accepted, as accept(2) passes them on: the next may be whole.
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


def open_listening_socket(address: Address, backlog: int) -> socket.socket:
    """A non-blocking socket that listens at `address`. Raises OSError."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = socket.create_server(address, family=family, backlog=backlog)
    sock.setblocking(False)
    return sock


class AcceptingServer:
    """Accepts connections in batches and hands each to a protocol from `factory`.

    It owns the listening socket. `coming` holds the connections that are accepted and have no protocol yet.
    """

    def __init__(self, sock: socket.socket, factory: ProtocolFactory) -> None:
        self.sockets, self.factory = [sock], factory
        self.loop = asyncio.get_running_loop()
        self.coming: set[asyncio.Task[None]] = set()
        self.reading = False  # whether the event loop watches the listening socket
        self.retry: asyncio.TimerHandle | None = None
        self.short_since: float | None = None  # when the current shortage began, by the monotonic clock
        self.failures = 0  # since then
        self.closed = False
        sock.setblocking(False)
        self.resume()

    def resume(self) -> None:
        """Accepts from here on."""
        self.retry = None
        if not self.reading and not self.closed:
            self.loop.add_reader(self.sockets[0].fileno(), self.accept_batch)
            self.reading = True

    def pause(self, seconds: float | None = None) -> None:
        """Leaves what comes in the backlog, for so many seconds or until resume()."""
        if self.reading:
            self.loop.remove_reader(self.sockets[0].fileno())
            self.reading = False
        if seconds is not None and self.retry is None:
            self.retry = self.loop.call_later(seconds, self.resume)

    def accept_batch(self) -> None:
        """Accepts what waits, up to ACCEPTS_PER_TURN connections; what is left comes in the next turn."""
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
            self.short_since, self.failures = None, 0
            self.attach(sock)

    def accept_failed(self, err: OSError) -> None:
        """Tries again later; the connection waits in the backlog meanwhile."""
        now = monotonic()
        self.failures += 1
        if self.short_since is None:
            self.short_since = now
        if self.failures < TRIES_AT_ONCE:  # the next turn tries again: others wait behind this connection
            return
        if self.failures == TRIES_AT_ONCE:
            log.warning("a connection waits in the backlog: accept failed with %s", err)
        lasted = now - self.short_since
        self.pause(RETRY_INTERVAL if lasted < LASTING else LASTING_INTERVAL)
        if err.errno in SHORTAGE_ERRORS:
            self.on_shortage(err, lasted)

    def on_shortage(self, err: OSError, lasted: float) -> None:
        """Called for each accept that found no resources, `lasted` seconds into the shortage."""

    def attach(self, sock: socket.socket) -> None:
        """Makes the protocol of a connection, in a task of its own."""
        task = self.loop.create_task(self.connect(sock))
        self.coming.add(task)
        task.add_done_callback(self.coming.discard)

    async def connect(self, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(self.factory, sock)
        except OSError:  # the peer has reset it meanwhile
            sock.close()
            self.attach_failed()

    def attach_failed(self) -> None:
        """An accepted connection was lost before its protocol heard of it."""

    def close(self) -> None:
        """Accepts no more and closes the listening socket, once."""
        if self.closed:
            return
        self.closed = True
        if self.retry is not None:
            self.retry.cancel()
        self.pause()
        self.sockets[0].close()


class BoundedServer(AcceptingServer):
    """An AcceptingServer with at most `capacity` open connections; the rest waits in the backlog.

    Whoever hears of the end of a connection says so by connection_ended().
    """

    def __init__(self, sock: socket.socket, factory: ProtocolFactory, capacity: int) -> None:
        self.capacity, self.open = capacity, 0
        super().__init__(sock, factory)

    def resume(self) -> None:
        self.retry = None
        if self.open < self.capacity:
            super().resume()

    def attach(self, sock: socket.socket) -> None:
        self.open += 1
        if self.open >= self.capacity:
            self.pause()
        super().attach(sock)

    def attach_failed(self) -> None:
        self.connection_ended()

    def connection_ended(self) -> None:
        self.open -= 1
        if self.retry is None:
            self.resume()


def serve(address: Address, factory: Any, backlog: int) -> AcceptingServer:
    """Listens at `address`, HOST and PORT, for protocols from `factory`. Raises OSError."""
    return AcceptingServer(open_listening_socket(address, backlog), factory)
