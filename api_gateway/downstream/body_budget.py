"""Large request bodies: the receive buffer of one body and the memory budget shared by all."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from api_gateway.base.resp import MAX_VALUE_BYTES

if TYPE_CHECKING:
    from api_gateway.downstream.client_connection import ClientConnection


class IncomingBody:
    """A buffer of the announced length that collects a large body from its chunks.

    The bytes are reserved in the BodyBudget before the first chunk is read.
    """

    __slots__ = ("data", "received_bytes")

    def __init__(self, length: int) -> None:
        """Allocate the buffer for a body of `length` bytes."""
        self.data = bytearray(length)
        self.received_bytes = 0

    def append(self, chunk: bytes) -> None:
        """Store the next chunk; the line end after the complete body is dropped."""
        if self.received_bytes < len(self.data):
            self.data[self.received_bytes : self.received_bytes + len(chunk)] = chunk
            self.received_bytes += len(chunk)


class BodyBudget:
    """Memory budget for large bodies, in bytes, shared by all client connections.

    Connections without capacity are not read and wait in order of arrival. The owner of a reservation
    returns it with `release`: the connection while the body is arriving, afterwards the request's owner.
    """

    def __init__(self) -> None:
        """Create an unused budget with the capacity for one body of the maximum size."""
        self.capacity_bytes = MAX_VALUE_BYTES  # one body must always fit
        self.reserved_bytes = 0
        self.waiting: deque[tuple[int, ClientConnection]] = deque()

    def reserve(self, length: int, connection: ClientConnection) -> None:
        """Reserve `length` bytes for a connection and call its `on_body_reserved` once they are available."""
        self.waiting.append((length, connection))
        self.admit_waiting()

    def release(self, length: int) -> None:
        """Release `length` reserved bytes and admit connections that wait for them."""
        self.reserved_bytes -= length
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Admit waiting connections in order while the capacity suffices.

        A single body is always admitted, even if the capacity has since been set below its length, because
        it would wait forever otherwise. Connections closed in the meantime are dropped.
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
