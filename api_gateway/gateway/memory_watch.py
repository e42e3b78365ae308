"""Returns freed memory to the system when the process comes near its memory limit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from api_gateway.base.allocator import release_free_memory
from api_gateway.gateway.process_limits import anonymous_bytes

CHECK_INTERVAL_S = 0.25
# Fraction of the limit from which on free memory is returned.
HIGH_FRACTION = 0.7
# Growth since free memory was last returned that makes another try worth its time.
MIN_GROWTH_BYTES = 512 * 1024


class MemoryWatch:
    """Compares the memory of the process with its limit at intervals.

    Attributes:
        release_count: How often free memory was returned.
    """

    def __init__(
        self,
        limit_bytes: Callable[[], float],
        used_bytes: Callable[[], int] = anonymous_bytes,
        release: Callable[[], bool] = release_free_memory,
    ) -> None:
        """Store what it needs; nothing is checked until `start`.

        Args:
            limit_bytes: Returns the memory limit of this process in bytes.
            used_bytes: Returns the memory that the process has in bytes.
            release: Returns free memory to the system.
        """
        self.release_count = 0
        self._limit_bytes = limit_bytes
        self._used_bytes = used_bytes
        self._release = release
        self._bytes_after_release = 0
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Check now, and again every CHECK_INTERVAL_S until `close`."""
        self._timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self.start)
        self.check()

    def check(self) -> None:
        """Return free memory if the process is near its limit and has grown since the last time."""
        used = self._used_bytes()
        self._bytes_after_release = min(self._bytes_after_release, used)
        has_grown = used >= self._bytes_after_release + MIN_GROWTH_BYTES
        if used < HIGH_FRACTION * self._limit_bytes() or not has_grown:
            return
        self._release()
        self.release_count += 1
        self._bytes_after_release = self._used_bytes()

    def close(self) -> None:
        """End the checks."""
        if self._timer is not None:
            self._timer.cancel()
