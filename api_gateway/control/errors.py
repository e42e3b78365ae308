"""Errors of the control package."""

from __future__ import annotations

from typing import Any


class ControlError(Exception):
    """Base of all errors that this package raises by itself."""


class ChangeRejectedError(ControlError):
    """A change of the configuration does not happen, and has had no effect."""

    def __init__(self, status: int, text: str, **fields: Any) -> None:
        """Describe the answer to the operator.

        Args:
            status: HTTP status of the answer.
            text: What the answer says under `error`.
            fields: Further keys of the answer, as JSON values.
        """
        super().__init__(text)
        self.status = status
        self.answer: dict[str, Any] = {"error": text, **fields}


class ConfigHistoryError(ControlError, ValueError):
    """The stored history of configurations cannot be used."""


class CorruptHistoryError(ConfigHistoryError):
    """The history file holds something that no gateway wrote."""

    def __init__(self, reason: str) -> None:
        """Keep the reason, which is empty where only a value is out of bounds."""
        super().__init__(f"not a history: {reason}" if reason else "not a history")
        self.reason = reason
