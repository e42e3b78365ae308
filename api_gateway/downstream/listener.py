"""The clients' listening socket, and when connections that cannot be accepted are closed unread."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from api_gateway.base.accepting import LASTING, AcceptingServer, ProtocolFactory

SHED_PER_TURN = 128  # connections that are closed unread in one turn


class ReservedDescriptor:
    """A descriptor that is kept for closing connections where there is none left to accept them with."""

    def __init__(self) -> None:
        self.number = -1
        self.acquire()

    def acquire(self) -> None:
        if self.number < 0:
            with suppress(OSError):
                self.number = os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)

    def release(self) -> None:
        if self.number >= 0:
            os.close(self.number)
            self.number = -1

    def close_waiting(self, sock: socket.socket) -> None:
        """Closes unread what waits in the backlog: those clients can ask elsewhere at once."""
        self.release()
        with suppress(OSError):  # none waits, or others took that descriptor
            for _ in range(SHED_PER_TURN):
                sock.accept()[0].close()
        self.acquire()


class ClientListener(AcceptingServer):
    """Accepts clients. `reclaim` ends a connection that may go, if there is one.

    A shortage of a moment costs a client that moment only. Where the process's own descriptors stay filled,
    as by a crowd that stays, what waits is closed unread, so that those clients ask elsewhere while there is
    time. In a shortage of the whole machine what waits goes on waiting.
    """

    def __init__(self, sock: socket.socket, factory: ProtocolFactory, reclaim: Callable[[], Any]) -> None:
        self.reclaim, self.reserve = reclaim, ReservedDescriptor()
        super().__init__(sock, factory)

    def on_shortage(self, err: OSError, lasted: float) -> None:
        self.reclaim()
        if err.errno == errno.EMFILE and lasted >= LASTING:
            self.reserve.close_waiting(self.sockets[0])

    def close(self) -> None:
        super().close()
        self.reserve.release()
