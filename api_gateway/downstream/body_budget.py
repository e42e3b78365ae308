"""Large request bodies: one that is being received, and the memory budget that all of them share."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from api_gateway.base.resp import MAX_VALUE_BYTES

if TYPE_CHECKING:
    from api_gateway.downstream.client_connection import ClientConnection


class IncomingBody:
    """A large body that arrives in pieces, in a buffer of its announced length.

    Its bytes are reserved in the BodyBudget before the first piece is read.
    """

    __slots__ = ("data", "received_bytes")

    def __init__(self, length: int) -> None:
        """Allocate the buffer for a body of `length` bytes."""
        self.data = bytearray(length)
        self.received_bytes = 0

    def append(self, piece: bytes) -> None:
        """Store the next piece; the line end that follows the complete body is dropped."""
        if self.received_bytes < len(self.data):
            self.data[self.received_bytes : self.received_bytes + len(piece)] = piece
            self.received_bytes += len(piece)


class BodyBudget:
    """Bytes of large bodies over all client connections.

    A connection that finds no capacity waits, unread, in the order of arrival. Whoever holds a reservation
    gives it back with `give`: the connection while the body is arriving, the request's owner afterwards.
    """

    def __init__(self) -> None:
        """Create an empty budget with the capacity for one body of the largest size."""
        self.capacity_bytes = MAX_VALUE_BYTES  # capacity in bytes
        self.reserved_bytes = 0  # bytes that are reserved
        self.waiting: deque[tuple[int, ClientConnection]] = deque()

    def reserve(self, length: int, connection: ClientConnection) -> None:
        """Reserve `length` bytes for a connection, which is called back as soon as they are available."""
        self.waiting.append((length, connection))
        self.admit_waiting()

    def release(self, length: int) -> None:
        """Release `length` reserved bytes and admit connections that wait for them."""
        self.reserved_bytes -= length
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Admit waiting connections in order, as far as the capacity goes.

        A single body is always admitted, even if the budget has become smaller than it: otherwise it would
        wait forever. Connections that were closed meanwhile are dropped.
        """
        while self.waiting:
            length, connection = self.waiting[0]
            is_closed = connection.transport.is_closing()
            if not is_closed and self.reserved_bytes and self.reserved_bytes + length > self.capacity_bytes:
                return
            self.waiting.popleft()
            if not is_closed:
                self.reserved_bytes += length
                connection.on_body_reserved(length)
