"""The list service: `python -m api_gateway.registry`, with REGISTRY_CONFIG naming its configuration."""

from __future__ import annotations

import secrets
import sys
import time

from api_gateway.base.serving import run
from api_gateway.registry.config import read_config
from api_gateway.registry.core import Registry
from api_gateway.registry.service import Service


def made() -> Service:
    """Versions go on from the clock, so that those of an earlier life are mostly lower than all of this
    one's: watchers that know no epochs get the whole list then."""
    config = read_config()
    return Service(config, Registry(secrets.token_hex(8), int(time.time() * 1000), config.views))


if __name__ == "__main__":
    sys.exit(run("api_gateway.registry", made, "the list is served"))
