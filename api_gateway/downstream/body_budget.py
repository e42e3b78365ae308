"""The memory budget that the large bodies of all client connections share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from api_gateway.base.byte_budget import ByteBudget
from api_gateway.base.resp import MAX_VALUE_BYTES

if TYPE_CHECKING:
    from api_gateway.downstream.client_connection import ClientConnection


class BodyBudget(ByteBudget):
    """Memory budget for large bodies, in bytes, shared by all client connections.

    Connections without capacity are not read and wait in order of arrival; each limits its wait by `cancel`.
    The owner of a LargeBody returns its reservation.

    Attributes:
        waiting: The bytes that each waiting connection needs, in order of arrival.
        rejected_count: How many commands have waited too long so far.
    """

    def __init__(self) -> None:
        """Create an unused budget with the capacity for one body of the maximum size."""
        super().__init__(MAX_VALUE_BYTES)  # one body must always fit
        self.waiting: dict[ClientConnection, int] = {}
        self.rejected_count = 0

    def reserve(self, length: int, connection: ClientConnection) -> None:
        """Reserve `length` bytes for a connection and call its `on_body_reserved` once they are available."""
        self.waiting[connection] = length
        self.admit_waiting()

    def cancel(self, connection: ClientConnection) -> None:
        """End the wait of a connection, if it waits, and admit those that waited behind it."""
        if self.waiting.pop(connection, None) is not None:
            self.admit_waiting()

    def release(self, length: int) -> None:
        """Release `length` reserved bytes and admit connections that wait for them."""
        super().release(length)
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Admit waiting connections in order while the capacity suffices.

        A single body is always admitted, even if the capacity has since been set below its length, because
        it would wait forever otherwise. Connections closed in the meantime are dropped.
        """
        while self.waiting:
            connection, length = next(iter(self.waiting.items()))
            is_closed = connection.transport.is_closing()
            if not is_closed and self.reserved_bytes and self.reserved_bytes + length > self.capacity_bytes:
                return
            del self.waiting[connection]
            if not is_closed:
                self.reserved_bytes += length
                connection.on_body_reserved(length)
