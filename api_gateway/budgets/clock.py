"""The clock that grants are counted by."""

import time


def boot_clock() -> float:
    """Seconds that only go forward, also while the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
