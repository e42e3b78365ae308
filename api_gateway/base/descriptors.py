"""Opens sockets when the process or the machine has run out of descriptors, memory or ports."""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Awaitable, Callable
from time import monotonic
from typing import TypeVar

log = logging.getLogger(__name__)

Opened = TypeVar("Opened")

# The process or the machine lacks the resources to open a socket.
SHORTAGE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS})
# A connect that finds no free local port fails with EADDRNOTAVAIL; an accept never does.
CONNECT_SHORTAGE_ERRORS = SHORTAGE_ERRORS | {errno.EADDRNOTAVAIL}


def is_resource_exhaustion(err: BaseException) -> bool:
    """Return whether an error is a resource shortage of this process or machine.

    Such an error says nothing about the state of the peer.
    """
    return isinstance(err, OSError) and err.errno in CONNECT_SHORTAGE_ERRORS


# Maximum time for which a starting process retries; a restarted process must be ready within 6 s.
START_SHORTAGE_TIMEOUT_S = 4.0
START_RETRY_INTERVAL_S = 0.02


async def retry_in_shortage(open_once: Callable[[], Awaitable[Opened]]) -> Opened:
    """Open a socket that a process needs to serve, retrying during a shortage.

    Args:
        open_once: Makes one attempt to open it.

    Returns:
        What `open_once` returns; the caller owns it.

    Raises:
        OSError: It cannot be opened, or the shortage lasts longer than START_SHORTAGE_TIMEOUT_S. Other
            exceptions of `open_once` pass through as well.
    """
    give_up_at = monotonic() + START_SHORTAGE_TIMEOUT_S
    is_logged = False
    while True:
        try:
            return await open_once()
        except OSError as err:
            if err.errno not in SHORTAGE_ERRORS or monotonic() >= give_up_at:
                raise
            if not is_logged:
                log.warning("a socket could not be opened at the start, retrying error=%s", err)
                is_logged = True
        await asyncio.sleep(START_RETRY_INTERVAL_S)


def reclaim_nothing() -> bool:
    """Return False: the `reclaim` function of a caller that has no connection to close."""
    return False


async def retry_after_reclaim(
    open_once: Callable[[], Awaitable[Opened]], reclaim: Callable[[], bool]
) -> Opened:
    """Open a connection, with one retry in a shortage, which may have been momentary.

    Args:
        open_once: Makes one attempt to open the connection.
        reclaim: Closes another connection that is not needed, if there is one, to free its descriptor.

    Returns:
        What `open_once` returns; the caller owns it.

    Raises:
        OSError: The last call of `open_once` failed. Its other exceptions pass through as well.
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
