"""The configuration in force, which all components of a gateway share."""

from __future__ import annotations

from api_gateway import interface as api
from api_gateway.gateway.config import Config


class ActiveConfig:
    """Holds the configuration in force. Only the configuration's reload replaces it.

    Attributes:
        config: The configuration in force.
        settings: Its settings; an attribute of its own, since each request reads it.
    """

    __slots__ = ("config", "settings")

    def __init__(self, config: Config) -> None:
        """Begin with the configuration of the start."""
        self.config = config
        self.settings: api.Settings = config.settings

    def replace(self, config: Config) -> None:
        """Bring another configuration into force."""
        self.config = config
        self.settings = config.settings
