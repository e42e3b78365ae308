"""A service as a process: it logs to standard error, reads its file anew after SIGHUP, ends by SIGTERM."""

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

LOOK_AGAIN = 24 * 3600.0  # s after which a full collection of garbage looks at all objects once more


class Service(Protocol):
    config: Any  # its `listen` is HOST and PORT

    async def start(self) -> int:
        """Raises OSError or ConfigError. Returns the port."""

    def reload(self) -> None: ...

    async def close(self) -> None: ...


@contextmanager
def short_collections(clock: Callable[[], float] = monotonic) -> Iterator[None]:
    """A full collection of garbage holds the loop while it looks at all objects, of which a service keeps
    many for long. What has outlived one is not looked at by the next ones, but once in LOOK_AGAIN. Counting
    of references frees those as ever; what waits until then are cycles among them, and the list service was
    seen to leave none."""
    last = clock()

    def collected(phase: str, told: dict[str, int]) -> None:
        nonlocal last
        if told["generation"] < 2:
            return
        if phase == "stop":
            gc.freeze()
        elif clock() - last >= LOOK_AGAIN:
            last = clock()
            gc.unfreeze()

    gc.callbacks.append(collected)
    try:
        yield
    finally:
        gc.callbacks.remove(collected)
        gc.unfreeze()


async def serve(made: Callable[[], Service], what: str) -> None:
    service, told, loop = made(), asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    port = await service.start()
    loop.add_signal_handler(signal.SIGHUP, service.reload)
    with short_collections():
        gc.collect()  # nobody waits yet
        logging.getLogger(__name__).info("%s at %s:%d", what, service.config.listen[0], port)
        await told.wait()
    await service.close()


def run(program: str, made: Callable[[], Service], what: str) -> int:
    """Until it is ended. Returns the exit code: 2, with one line, where it cannot be made or started."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    try:
        uvloop.run(serve(made, what))
    except (ConfigError, OSError) as err:
        print(f"{program}: {err}", file=sys.stderr)
        return 2
    return 0
