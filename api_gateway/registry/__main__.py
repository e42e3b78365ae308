"""Entry point of the list service: REGISTRY_CONFIG=FILE python -m api_gateway.registry."""

from __future__ import annotations

import secrets
import sys
import time

from api_gateway.base.serving import run
from api_gateway.registry.config import read_config
from api_gateway.registry.core import Registry
from api_gateway.registry.service import Service

EPOCH_BYTES = 8  # random bytes of the epoch, which identifies one run of the service


def create_service() -> Service:
    """Create the service from its configuration file.

    Versions start at the clock's milliseconds, so those of an earlier run are usually lower than all versions
    of this run. Watchers that do not support epochs then get the complete list.

    Raises:
        ConfigError: The configuration is invalid or cannot be read.
    """
    config = read_config()
    epoch = secrets.token_hex(EPOCH_BYTES)
    first_version = int(time.time() * 1000)
    return Service(config, Registry(epoch, first_version, config.max_views))


if __name__ == "__main__":
    sys.exit(run("api_gateway.registry", create_service, "the list is served"))
