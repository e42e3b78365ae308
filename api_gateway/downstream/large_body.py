"""Large bodies of commands while they arrive: one that is kept, and one that is only read."""

from __future__ import annotations

from typing import TYPE_CHECKING

from api_gateway.base.resp import CRLF

if TYPE_CHECKING:
    from api_gateway.downstream.body_budget import BodyBudget


class LargeBody:
    """A large body, which is collected from its chunks, and its reservation in the budget.

    The bytes are reserved in the BodyBudget before the first chunk is read. One owner at a time holds the
    reservation: the connection while the body arrives, afterwards the request.

    Attributes:
        data: A buffer of the announced length.
        received_bytes: How many bytes of it have arrived.
        is_complete: Whether all have, and the line end after them.
    """

    __slots__ = ("data", "received_bytes", "is_complete", "_budget", "_is_released")

    def __init__(self, length: int, budget: BodyBudget) -> None:
        """Allocate the buffer for a body of `length` bytes, which `budget` has reserved."""
        self.data = bytearray(length)
        self.received_bytes = 0
        self.is_complete = False
        self._budget = budget
        self._is_released = False

    def append(self, chunk: bytes) -> None:
        """Store the next chunk; the line end after the body comes as a chunk of its own."""
        if chunk == CRLF:
            self.is_complete = True
            return
        self.data[self.received_bytes : self.received_bytes + len(chunk)] = chunk
        self.received_bytes += len(chunk)

    def release(self) -> None:
        """Return the reservation; further calls do nothing. Nobody may keep `data` any longer."""
        if not self._is_released:
            self._is_released = True
            self._budget.release(len(self.data))


class DiscardedBody:
    """A large body of a rejected command, which is read up to the next command and not kept.

    Attributes:
        is_complete: Whether the whole body and the line end after it have arrived.
    """

    __slots__ = ("is_complete",)

    def __init__(self) -> None:
        """Begin to discard a body."""
        self.is_complete = False

    def append(self, chunk: bytes) -> None:
        """Discard the next chunk; the line end after the body comes as a chunk of its own."""
        self.is_complete = chunk == CRLF

    def release(self) -> None:
        """Do nothing, because no bytes are reserved."""
