"""The grantor's configuration: one JSON file, named by the variable BUDGETS_CONFIG."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from api_gateway.base.endpoint_list import Address, read_address
from api_gateway.base.errors import ConfigError, config_errors_in_one_line
from api_gateway.budgets.terms import Terms, Weight, validate_terms


class ConfigFile(Struct, frozen=True, forbid_unknown_fields=True):
    """The file as it stands.

    Attributes:
        listen: HOST:PORT of the service.
        terms: The budgets.
        log: The file of the grant log; without one each start waits until all earlier grants have ended.
        weights: By the name of a gateway, or of a zone.
    """

    listen: str
    terms: Terms
    log: Annotated[str, Meta(min_length=1)] | None = None
    weights: dict[str, Weight] = {}


class Config(Struct, frozen=True):
    """The configuration as the service uses it; see ConfigFile."""

    listen: Address
    terms: Terms
    log: Path | None
    weights: dict[str, float]


def read_config(env: Mapping[str, str] = os.environ) -> Config:
    """Reads the file that BUDGETS_CONFIG names.

    Raises:
        ConfigError: The variable is not set, or the file cannot be used; the text says why in one line.
    """
    path = env.get("BUDGETS_CONFIG")
    if not path:
        raise ConfigError("BUDGETS_CONFIG is not set")
    with config_errors_in_one_line(path):
        file = msgspec.json.decode(Path(path).read_bytes(), type=ConfigFile)
        validate_terms(file.terms)
        log = Path(file.log) if file.log else None
        return Config(read_address(file.listen), file.terms, log, file.weights)
