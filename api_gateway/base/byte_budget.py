"""A bound on the memory of one kind of holding, over all connections."""

from __future__ import annotations


class ByteBudget:
    """Counts the bytes that one kind of holding takes against a capacity.

    Attributes:
        capacity_bytes: The most that `try_reserve` grants in total.
        reserved_bytes: How much is reserved.
        refused_count: How often `try_reserve` has refused so far.
    """

    def __init__(self, capacity_bytes: int = 0) -> None:
        """Create an unused budget."""
        self.capacity_bytes = capacity_bytes
        self.reserved_bytes = 0
        self.refused_count = 0

    def try_reserve(self, length: int) -> bool:
        """Reserve `length` bytes if the capacity suffices; return whether it does."""
        if self.reserved_bytes + length > self.capacity_bytes:
            self.refused_count += 1
            return False
        self.reserved_bytes += length
        return True

    def reserve_anyway(self, length: int) -> None:
        """Count `length` bytes that are held already, even beyond the capacity."""
        self.reserved_bytes += length

    @property
    def is_exhausted(self) -> bool:
        """Whether the capacity is used up."""
        return self.reserved_bytes >= self.capacity_bytes

    def release(self, length: int) -> None:
        """Release `length` reserved bytes."""
        self.reserved_bytes -= length
