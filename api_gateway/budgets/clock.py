"""The clock by which grants are counted."""

import time


def boot_clock() -> float:
    """Returns seconds that only go forward, also while the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
