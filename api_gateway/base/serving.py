"""Runs a service as a process that logs to standard error, reloads on SIGHUP and stops on SIGTERM."""

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

FULL_COLLECTION_INTERVAL_S = 24 * 3600.0  # between two garbage collections that scan all objects
OLDEST_GENERATION = 2  # generation that only a full collection covers


class Service(Protocol):
    """The interface of a service that serve() runs."""

    config: Any  # its `listen` is a host and a port

    async def start(self) -> int:
        """Start the service and return its port. Raises OSError or ConfigError."""

    def reload(self) -> None:
        """Read the configuration again."""

    async def close(self) -> None:
        """Stop the service and release its resources."""


@contextmanager
def short_collections(clock: Callable[[], float] = monotonic) -> Iterator[None]:
    """Keep full garbage collections short within the context.

    A full collection blocks the event loop while it scans all objects, and a service keeps many long-lived
    ones. Objects that have survived a full collection are therefore frozen and scanned only once in
    FULL_COLLECTION_INTERVAL_S. Reference counting still frees them; only reference cycles among them wait,
    and the list service was observed to leave none.

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
    """Run a service until the process receives SIGTERM or SIGINT.

    Args:
        create: Creates the service.
        description: Description of the service for the log.

    Raises:
        ConfigError, OSError: The service cannot be created or started.
    """
    service = create()
    shutdown_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, shutdown_requested.set)
    port = await service.start()
    loop.add_signal_handler(signal.SIGHUP, service.reload)
    with short_collections():
        gc.collect()  # no client waits yet
        logging.getLogger(__name__).info("%s at %s:%d", description, service.config.listen[0], port)
        await shutdown_requested.wait()
    await service.close()


def run(program: str, create: Callable[[], Service], description: str) -> int:
    """Run a service as the main function of a process.

    Args:
        program: Name of the program, with which an error line begins.
        create: Creates the service.
        description: Description of the service for the log.

    Returns:
        The exit code: 2, after one error line, if the service cannot be created or started; otherwise 0.
    """
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    try:
        uvloop.run(serve(create, description))
    except (ConfigError, OSError) as err:
        print(f"{program}: {err}", file=sys.stderr)
        return 2
    return 0
