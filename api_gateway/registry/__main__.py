"""The list service: `python -m api_gateway.registry`, with REGISTRY_CONFIG naming its configuration."""

from __future__ import annotations

import secrets
import sys
import time

from api_gateway.base.serving import run
from api_gateway.registry.config import read_config
from api_gateway.registry.core import Registry
from api_gateway.registry.service import Service

EPOCH_BYTES = 8  # random, of the name that one run of the service has


def create_service() -> Service:
    """Return the service by its configuration.

    Versions begin with the clock's milliseconds, so that those of an earlier run are mostly lower than all of
    this one's: watchers that know no epochs get the complete list then.

    Raises:
        ConfigError: The configuration cannot be used.
    """
    config = read_config()
    epoch = secrets.token_hex(EPOCH_BYTES)
    first_version = int(time.time() * 1000)
    return Service(config, Registry(epoch, first_version, config.max_views))


if __name__ == "__main__":
    sys.exit(run("api_gateway.registry", create_service, "the list is served"))
