"""Runs a service as a process that logs to standard error, reloads after SIGHUP and ends by SIGTERM."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from time import monotonic
from typing import Any, Protocol

import uvloop

from api_gateway.base.errors import ConfigError

FULL_COLLECTION_INTERVAL_S = 24 * 3600.0  # between collections of garbage that scan all objects
OLDEST_GENERATION = 2  # that a full collection collects


class Service(Protocol):
    """What serve() runs."""

    config: Any  # its `listen` is HOST and PORT

    async def start(self) -> int:
        """Start and return the port. Raises OSError or ConfigError."""

    def reload(self) -> None:
        """Read the configuration again."""

    async def close(self) -> None:
        """Stop."""


@contextmanager
def short_collections(clock: Callable[[], float] = monotonic) -> Iterator[None]:
    """Keep full collections of garbage short while the context lasts.

    Such a collection blocks the event loop while it scans all objects, of which a service keeps many for
    long. What has outlived one is not scanned by the next ones, but once in FULL_COLLECTION_INTERVAL_S.
    Counting of references frees those as ever; what waits until then are cycles among them, and the list
    service was seen to leave none.

    Args:
        clock: Monotonic time in seconds.
    """
    last_scan_at = clock()

    def on_collection(phase: str, info: dict[str, int]) -> None:
        nonlocal last_scan_at
        if info["generation"] < OLDEST_GENERATION:
            return
        if phase == "stop":
            gc.freeze()
        elif clock() - last_scan_at >= FULL_COLLECTION_INTERVAL_S:
            last_scan_at = clock()
            gc.unfreeze()

    gc.callbacks.append(on_collection)
    try:
        yield
    finally:
        gc.callbacks.remove(on_collection)
        gc.unfreeze()


async def serve(create: Callable[[], Service], description: str) -> None:
    """Run a service until the process gets SIGTERM or SIGINT.

    Args:
        create: Makes the service.
        description: Of the service, for the log.

    Raises:
        ConfigError, OSError: It cannot be made or started.
    """
    service = create()
    is_ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, is_ended.set)
    port = await service.start()
    loop.add_signal_handler(signal.SIGHUP, service.reload)
    with short_collections():
        gc.collect()  # nobody waits yet
        logging.getLogger(__name__).info("%s at %s:%d", description, service.config.listen[0], port)
        await is_ended.wait()
    await service.close()


def run(program: str, create: Callable[[], Service], description: str) -> int:
    """Run a service until it is ended.

    Args:
        program: Name of the program, which begins an error's line.
        create: Makes the service.
        description: Of the service, for the log.

    Returns:
        The exit code: 2, with one line, where the service cannot be made or started.
    """
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    try:
        uvloop.run(serve(create, description))
    except (ConfigError, OSError) as err:
        print(f"{program}: {err}", file=sys.stderr)
        return 2
    return 0
