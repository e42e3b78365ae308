"""What is done where the system has no descriptor, memory or port left to open a connection with."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable
from typing import TypeVar

from api_gateway.base.accepting import SHORTAGE_ERRORS

T = TypeVar("T")


def is_resource_exhaustion(err: BaseException) -> bool:
    """Whether this process or its machine has nothing left, which says nothing of whom it was to reach."""
    return isinstance(err, OSError) and err.errno in SHORTAGE_ERRORS | {errno.EADDRNOTAVAIL}


def reclaim_nothing() -> bool:
    """The `reclaim_descriptor` of a caller that has no other connections."""
    return False


async def retry_after_reclaim(open_once: Callable[[], Awaitable[T]], reclaim: Callable[[], bool]) -> T:
    """What `open_once` opens; tried once more where `reclaim` has ended a connection for its descriptor.

    Raises what `open_once` raises.
    """
    try:
        return await open_once()
    except OSError as err:
        if err.errno not in SHORTAGE_ERRORS or not reclaim():
            raise
    await asyncio.sleep(0)  # the end takes effect a turn later
    return await open_once()
