"""The clients' listening socket, and when connections that cannot be accepted are closed unread."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable
from contextlib import suppress

from api_gateway.base.accepting import LASTING_SHORTAGE_S, AcceptingServer, ProtocolFactory

# Connections that are closed unread in one turn of the event loop.
MAX_CLOSED_PER_TURN = 128


class ReservedDescriptor:
    """A descriptor kept for closing connections where there is none left to accept them with."""

    def __init__(self) -> None:
        """Reserve a descriptor, if there is one."""
        self.number = -1
        self.acquire()

    def acquire(self) -> None:
        """Reserve a descriptor unless one is reserved; without a free one, try again the next time."""
        if self.number < 0:
            with suppress(OSError):
                self.number = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)

    def release(self) -> None:
        """Close the reserved descriptor, so that its number can be used."""
        if self.number >= 0:
            os.close(self.number)
            self.number = -1

    def close_waiting(self, sock: socket.socket) -> None:
        """Close unread what waits in the backlog of `sock`: those clients can try elsewhere at once."""
        self.release()
        with suppress(OSError):  # none waits, or others took that descriptor
            for _ in range(MAX_CLOSED_PER_TURN):
                sock.accept()[0].close()
        self.acquire()


class ClientListener(AcceptingServer):
    """Accepts clients' connections, and makes place for them in a shortage of descriptors.

    A momentary shortage costs a client that moment only. Where the process's own descriptors stay in use, as
    by many clients that stay connected, what waits is closed unread, so that those clients try elsewhere
    while there is time. In a shortage of the whole machine what waits goes on waiting.
    """

    def __init__(self, sock: socket.socket, factory: ProtocolFactory, reclaim: Callable[[], bool]) -> None:
        """Accept on `sock`, which it owns from here on.

        Args:
            sock: The listening socket.
            factory: Makes the protocol of a connection.
            reclaim: Ends a connection that may go; returns whether there was one.
        """
        self.reclaim = reclaim
        self.reserve = ReservedDescriptor()
        super().__init__(sock, factory)

    def on_shortage(self, err: OSError, duration: float) -> None:
        """End a connection that may go; in a lasting shortage also close what waits, unread."""
        self.reclaim()
        if err.errno == errno.EMFILE and duration >= LASTING_SHORTAGE_S:
            self.reserve.close_waiting(self.sockets[0])

    def close(self) -> None:
        """Accept no more, and close the listening socket and the reserved descriptor."""
        super().close()
        self.reserve.release()
