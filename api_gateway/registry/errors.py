"""Errors of the list service."""

from __future__ import annotations


class RegistryError(Exception):
    """Base of the errors of this package."""


class InvalidValueError(RegistryError, ValueError):
    """A value of a configuration or of an entry that cannot be used.

    Attributes:
        key: The key at fault; empty where the document as a whole is.
    """

    def __init__(self, key: str, text: str) -> None:
        """Keep the key; `text` is what an operator or a caller sees."""
        super().__init__(text)
        self.key = key
