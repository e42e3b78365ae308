"""Whether a client has received the replies of its connection.

A reply that has left the gateway's buffer is not delivered yet: the kernel may hold megabytes of it for a
client that reads slowly, and drops them when the connection is aborted, or closed over unread bytes.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

# Seconds within which a machine acknowledges what it has received.
ACKNOWLEDGEMENT_DELAY_S = 0.2
# Seconds in which the client's machine acknowledges no byte, after which a connection with an undelivered
# reply may be ended to make room for others.
STALL_TIMEOUT_S = 10.0
# The same, after which the connection is ended in any case.
WRITE_PROGRESS_TIMEOUT_S = 60.0


class DeliveryState(Enum):
    """How far the replies that were written to a connection have come."""

    DELIVERED = "delivered"  # the client's machine has acknowledged all bytes
    IN_FLIGHT = "in_flight"  # all are sent, and the acknowledgement is not late
    UNDELIVERED = "undelivered"  # the kernel or the gateway holds some until the client reads
    STALLED = "stalled"  # the same, without progress for STALL_TIMEOUT_S
    GIVEN_UP = "given_up"  # the same, without progress for WRITE_PROGRESS_TIMEOUT_S

    @property
    def can_make_room(self) -> bool:
        """Whether the connection may be ended to make room for others."""
        return self is not DeliveryState.UNDELIVERED

    @property
    def is_being_delivered(self) -> bool:
        """Whether the client may soon have more of the replies."""
        return self in (DeliveryState.IN_FLIGHT, DeliveryState.UNDELIVERED)


@dataclass(frozen=True, slots=True)
class UndeliveredBytes:
    """Bytes of replies that were written to a connection.

    Attributes:
        unsent: Those that the gateway's buffer or the kernel holds, for want of room at the client.
        unacknowledged: Those, and the bytes that are sent and that the client's machine has not acknowledged.
    """

    unsent: int
    unacknowledged: int


class ReplyDelivery:
    """Follows the delivery of the replies of one connection. Times are in seconds of the monotonic clock.

    Attributes:
        progress_at: When the client's machine was last seen to have acknowledged further bytes, or when the
            first of the unacknowledged bytes were written.
    """

    def __init__(self, now: float) -> None:
        """Start without any reply."""
        self.progress_at = now
        self._written_bytes = 0
        self._acknowledged_bytes = 0
        self._may_be_undelivered = False

    def on_write(self, now: float, length: int) -> None:
        """Count `length` bytes of replies that are written."""
        self._written_bytes += length
        if not self._may_be_undelivered:
            self._may_be_undelivered = True
            self.progress_at = now

    def update(self, now: float, undelivered: UndeliveredBytes) -> DeliveryState:
        """Return the state, given the current time and what is undelivered now."""
        acknowledged_bytes = self._written_bytes - undelivered.unacknowledged
        if acknowledged_bytes > self._acknowledged_bytes:
            self._acknowledged_bytes = acknowledged_bytes
            self.progress_at = now
        if not undelivered.unacknowledged:
            self._may_be_undelivered = False
            return DeliveryState.DELIVERED
        stalled_s = now - self.progress_at
        if not undelivered.unsent and stalled_s <= ACKNOWLEDGEMENT_DELAY_S:
            return DeliveryState.IN_FLIGHT
        if stalled_s > WRITE_PROGRESS_TIMEOUT_S:
            return DeliveryState.GIVEN_UP
        return DeliveryState.STALLED if stalled_s > STALL_TIMEOUT_S else DeliveryState.UNDELIVERED
