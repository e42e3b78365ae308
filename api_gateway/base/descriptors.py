"""Opening connections when the process or the machine has run out of descriptors, memory or ports."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable
from typing import TypeVar

from api_gateway.base.accepting import SHORTAGE_ERRORS

Opened = TypeVar("Opened")

# A connect that finds no free local port fails with EADDRNOTAVAIL; an accept never does.
CONNECT_SHORTAGE_ERRORS = SHORTAGE_ERRORS | {errno.EADDRNOTAVAIL}


def is_resource_exhaustion(err: BaseException) -> bool:
    """Return whether an error is a shortage of this process or machine.

    Such an error is no evidence about the peer that was to be reached.
    """
    return isinstance(err, OSError) and err.errno in CONNECT_SHORTAGE_ERRORS


def reclaim_nothing() -> bool:
    """Return False: the `reclaim` function of a caller that has no connection to give up."""
    return False


async def retry_after_reclaim(
    open_once: Callable[[], Awaitable[Opened]], reclaim: Callable[[], bool]
) -> Opened:
    """Open a connection, with one retry in a shortage: it may have been one of a moment.

    Args:
        open_once: Makes one attempt to open the connection.
        reclaim: Closes another connection, if there is one that may go, to free its descriptor.

    Returns:
        What `open_once` returns; the caller owns it.

    Raises:
        OSError: What the last call of `open_once` raised. Other exceptions of it pass through as well.
    """
    try:
        return await open_once()
    except OSError as err:
        if err.errno not in SHORTAGE_ERRORS:
            raise
    reclaim()
    # An aborted transport releases its descriptor only in the next turn of the event loop.
    await asyncio.sleep(0)
    return await open_once()
