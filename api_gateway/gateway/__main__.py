"""Run one gateway process: `python -m api_gateway.gateway`.

The environment variable RELAY_CONFIG names the configuration file.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys

import uvloop

from api_gateway.base.allocator import limit_retention
from api_gateway.base.errors import ConfigError
from api_gateway.gateway.config import Config, read_config
from api_gateway.gateway.node import GatewayNode

EXIT_UNUSABLE_CONFIG = 2

log = logging.getLogger(__name__)


async def serve(config: Config) -> None:
    """Serve until SIGTERM or SIGINT, then shut down gracefully.

    Raises:
        OSError: The process cannot listen on a configured address.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    node = GatewayNode(config)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    port = await node.start()
    gc.freeze()  # objects created at startup live until exit, so collections need not scan them
    log.info("%s listens on %s:%d", config.name, config.listen[0], port)
    await stop_requested.wait()
    await node.stop()


def main() -> int:
    """Run the gateway and return the exit status."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    limit_retention()
    try:
        uvloop.run(serve(read_config()))
    except (ConfigError, OSError) as err:
        print(f"api_gateway: {err}", file=sys.stderr)
        return EXIT_UNUSABLE_CONFIG
    return 0


if __name__ == "__main__":
    sys.exit(main())
