"""Errors of the list service."""

from __future__ import annotations


class RegistryError(Exception):
    """Base class of the errors of this package."""


class InvalidValueError(RegistryError, ValueError):
    """A value of the configuration or of an entry is invalid.

    Attributes:
        key: The invalid key; empty if the whole document is invalid.
    """

    def __init__(self, key: str, text: str) -> None:
        """Store the key; `text` is the message for the operator or the caller."""
        super().__init__(text)
        self.key = key
