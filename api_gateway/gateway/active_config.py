"""Hold the active configuration, which all components of a gateway share."""

from __future__ import annotations

from api_gateway import interface as api
from api_gateway.gateway.config import Config


class ActiveConfig:
    """Holds the active configuration. Only `ConfigReloader` replaces it.

    Attributes:
        config: The active configuration.
        settings: The settings of `config`, stored separately because every request reads them.
    """

    __slots__ = ("config", "settings")

    def __init__(self, config: Config) -> None:
        """Activate the configuration that was read at startup."""
        self.config = config
        self.settings: api.Settings = config.settings

    def replace(self, config: Config) -> None:
        """Activate another configuration."""
        self.config = config
        self.settings = config.settings
