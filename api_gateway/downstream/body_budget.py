"""Large request bodies: one body with its reservation, and the memory budget shared by all."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from api_gateway.base.resp import MAX_VALUE_BYTES

if TYPE_CHECKING:
    from api_gateway.downstream.client_connection import ClientConnection


class LargeBody:
    """A large body, which is collected from its chunks, and its reservation in the budget.

    The bytes are reserved in the BodyBudget before the first chunk is read. One owner at a time holds the
    reservation: the connection while the body arrives, afterwards the request.

    Attributes:
        data: A buffer of the announced length.
        received_bytes: How many bytes of it have arrived.
    """

    __slots__ = ("data", "received_bytes", "_budget", "_is_released")

    def __init__(self, length: int, budget: BodyBudget) -> None:
        """Allocate the buffer for a body of `length` bytes, which `budget` has reserved."""
        self.data = bytearray(length)
        self.received_bytes = 0
        self._budget = budget
        self._is_released = False

    def append(self, chunk: bytes) -> None:
        """Store the next chunk; the line end after the complete body is dropped."""
        if self.received_bytes < len(self.data):
            self.data[self.received_bytes : self.received_bytes + len(chunk)] = chunk
            self.received_bytes += len(chunk)

    def release(self) -> None:
        """Return the reservation; further calls do nothing. Nobody may keep `data` any longer."""
        if not self._is_released:
            self._is_released = True
            self._budget.release(len(self.data))


class BodyBudget:
    """Memory budget for large bodies, in bytes, shared by all client connections.

    Connections without capacity are not read and wait in order of arrival. The owner of a LargeBody returns
    its reservation.
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
