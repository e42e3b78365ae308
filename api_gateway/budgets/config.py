"""The grantor's configuration: a JSON file, named by the environment variable BUDGETS_CONFIG."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from api_gateway.base.endpoint_list import Address, read_address
from api_gateway.base.errors import ConfigError, config_errors_in_one_line
from api_gateway.budgets.settings import BudgetSettings, Weight, validate_settings


class ConfigFile(Struct, frozen=True, forbid_unknown_fields=True):
    """The contents of the configuration file. The attributes are its keys.

    Attributes:
        listen: HOST:PORT that the service listens on.
        terms: The budgets and their settings.
        log: Path of the grant log. Without a log, the grantor waits at each start until all earlier grants
            have expired.
        weights: Weight in the division, by the name of a gateway or of a zone.
    """

    listen: str
    terms: BudgetSettings
    log: Annotated[str, Meta(min_length=1)] | None = None
    weights: dict[str, Weight] = {}


class Config(Struct, frozen=True):
    """The validated configuration, as the service uses it; see ConfigFile."""

    listen: Address
    settings: BudgetSettings
    log: Path | None
    weights: dict[str, float]


def read_config(env: Mapping[str, str] = os.environ) -> Config:
    """Read and validate the file that BUDGETS_CONFIG names.

    Raises:
        ConfigError: The variable is not set, or the file is missing or invalid; the message says why in one
            line.
    """
    path = env.get("BUDGETS_CONFIG")
    if not path:
        raise ConfigError("BUDGETS_CONFIG is not set")
    with config_errors_in_one_line(path):
        file = msgspec.json.decode(Path(path).read_bytes(), type=ConfigFile)
        validate_settings(file.terms)
        log = Path(file.log) if file.log else None
        return Config(read_address(file.listen), file.terms, log, file.weights)
