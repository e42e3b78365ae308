"""The listening socket for clients, and its handling of a shortage of file descriptors."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable
from contextlib import suppress

from api_gateway.base.accepting import LASTING_SHORTAGE_S, AcceptingServer, ProtocolFactory

# Connections closed unread per iteration of the event loop.
MAX_CLOSED_PER_TURN = 128


class ReservedDescriptor:
    """A spare descriptor, released to accept and close connections when no other descriptor is free."""

    def __init__(self) -> None:
        """Reserve a descriptor if one is free."""
        self.number = -1
        self.acquire()

    def acquire(self) -> None:
        """Reserve a descriptor unless one is reserved; if none is free, the next call tries again."""
        if self.number < 0:
            with suppress(OSError):
                self.number = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)

    def release(self) -> None:
        """Close the reserved descriptor, so that another file can use it."""
        if self.number >= 0:
            os.close(self.number)
            self.number = -1

    def close_waiting(self, sock: socket.socket) -> None:
        """Close connections in the backlog of `sock` unread, so that their clients can retry elsewhere."""
        self.release()
        with suppress(OSError):  # the backlog is empty, or the descriptor was taken meanwhile
            for _ in range(MAX_CLOSED_PER_TURN):
                sock.accept()[0].close()
        self.acquire()


class ClientListener(AcceptingServer):
    """Accepts client connections, and frees descriptors for them in a shortage.

    A momentary shortage only delays new clients. If the process stays out of descriptors, for example because
    many clients stay connected, waiting connections are closed unread, so that their clients can still retry
    elsewhere in time. In a machine-wide shortage, waiting connections stay in the backlog.
    """

    def __init__(self, sock: socket.socket, factory: ProtocolFactory, reclaim: Callable[[], bool]) -> None:
        """Start accepting on `sock`, which the listener owns from now on.

        Args:
            sock: The listening socket.
            factory: Creates the protocol of a connection.
            reclaim: Closes a connection that can be spared; returns whether there was one.
        """
        self.reclaim = reclaim
        self.reserve = ReservedDescriptor()
        super().__init__(sock, factory)

    def on_shortage(self, err: OSError, duration: float) -> None:
        """Close a connection that can be spared; in a lasting shortage, also close waiting ones unread."""
        self.reclaim()
        if err.errno == errno.EMFILE and duration >= LASTING_SHORTAGE_S:
            self.reserve.close_waiting(self.sockets[0])

    def close(self) -> None:
        """Stop accepting, and close the listening socket and the reserved descriptor."""
        super().close()
        self.reserve.release()
