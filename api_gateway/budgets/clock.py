"""The clock that measures the validity of grants."""

import time


def boot_clock() -> float:
    """Return monotonic seconds, which also advance while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
