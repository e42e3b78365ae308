"""The list service: `python -m calicomast.registry`, with REGISTRY_CONFIG naming its configuration."""

from __future__ import annotations

import asyncio
import logging
import secrets
import signal
import sys
import time

import uvloop

from calicomast.base.faults import ConfigError
from calicomast.registry.config import Config, read_config
from calicomast.registry.core import Registry
from calicomast.registry.service import Service


async def serve(config: Config) -> None:
    told, loop = asyncio.Event(), asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, told.set)
    # Versions go on from the clock, so that those of an earlier life are mostly lower than all of this one's:
    # watchers that know no epochs get the whole list then.
    service = Service(config, Registry(secrets.token_hex(8), int(time.time() * 1000)))
    port = await service.start()
    loop.add_signal_handler(signal.SIGHUP, service.reload)
    logging.getLogger(__name__).info("the list is served at %s:%d", config.listen[0], port)
    await told.wait()
    await service.close()


def main() -> int:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    try:
        uvloop.run(serve(read_config()))
    except (ConfigError, OSError) as err:
        print(f"calicomast.registry: {err}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
