"""The memory of a command that a client has not sent completely."""

from __future__ import annotations

from api_gateway.base.byte_budget import ByteBudget

# Bytes of an incomplete command that do not count in the budget.
UNCOUNTED_COMMAND_BYTES = 1024
# The parser doubles its buffer when it is full.
PARSER_BUFFER_GROWTH = 2


class PartialCommand:
    """The incomplete command of a connection, without its large body.

    Attributes:
        size: Bytes read of it.
    """

    def __init__(self, budget: ByteBudget) -> None:
        """Start without any bytes; `budget` counts those of all connections."""
        self.size = 0
        self._budget = budget
        self._reserved_bytes = 0

    def reserve(self) -> bool:
        """Count its bytes in the budget; return False if the budget is exhausted."""
        counted_bytes = PARSER_BUFFER_GROWTH * (self.size - UNCOUNTED_COMMAND_BYTES)
        missing_bytes = counted_bytes - self._reserved_bytes
        if missing_bytes <= 0:
            return True
        if not self._budget.try_reserve(missing_bytes):
            return False
        self._reserved_bytes += missing_bytes
        return True

    def release(self) -> None:
        """Return its bytes to the budget, because it is complete or not read any further."""
        self.size = 0
        if self._reserved_bytes:
            self._budget.release(self._reserved_bytes)
            self._reserved_bytes = 0
