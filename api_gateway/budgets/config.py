"""What the grantor is told: one JSON file, named by BUDGETS_CONFIG."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from api_gateway.base.endpoint_list import Address, read_address
from api_gateway.base.errors import ConfigError, in_one_line
from api_gateway.budgets.terms import Terms, Weight, check


class File(Struct, frozen=True, forbid_unknown_fields=True):
    listen: str
    terms: Terms
    log: Annotated[str, Meta(min_length=1)] | None = None  # a file; none: each start waits out all grants
    weights: dict[str, Weight] = {}  # by the name of a gateway, or of a zone


class Config(Struct, frozen=True):
    listen: Address
    terms: Terms
    log: Path | None
    weights: dict[str, float]


def read_config(env: Mapping[str, str] = os.environ) -> Config:
    """Raises ConfigError."""
    path = env.get("BUDGETS_CONFIG")
    if not path:
        raise ConfigError("BUDGETS_CONFIG is not set")
    with in_one_line(path), open(path, "rb") as file:
        told = msgspec.json.decode(file.read(), type=File)
        check(told.terms)
        log = Path(told.log) if told.log else None
        return Config(read_address(told.listen), told.terms, log, told.weights)
