"""Errors of the control package."""

from __future__ import annotations

from typing import Any


class ControlError(Exception):
    """Base of all errors that this package defines."""


class ChangeRejectedError(ControlError):
    """A configuration change was rejected and has had no effect."""

    def __init__(self, status: int, text: str, **fields: Any) -> None:
        """Set the status and the body of the answer to the operator.

        Args:
            status: HTTP status of the answer.
            text: The value of `error` in the answer.
            fields: Further keys of the answer, with JSON values.
        """
        super().__init__(text)
        self.status = status
        self.answer: dict[str, Any] = {"error": text, **fields}


class ConfigHistoryError(ControlError, ValueError):
    """The stored configuration history cannot be used."""


class CorruptHistoryError(ConfigHistoryError):
    """The content of the history file is not a valid history."""

    def __init__(self, reason: str) -> None:
        """Store the reason, which is empty if the structure is right but a value is invalid."""
        super().__init__(f"not a history: {reason}" if reason else "not a history")
        self.reason = reason
