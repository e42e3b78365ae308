"""Errors of exchanges that get no grants, and of the grant log."""

from __future__ import annotations

from pathlib import Path


class BudgetsError(Exception):
    """Base class of the errors of this package."""


class StaleIncarnationError(BudgetsError):
    """An exchange came from an older incarnation of a gateway.

    Attributes:
        newest_incarnation: The newest incarnation of that gateway that the grantor knows.
    """

    def __init__(self, newest_incarnation: int) -> None:
        """Create the error with the newest known incarnation."""
        super().__init__(f"life {newest_incarnation} is known")
        self.newest_incarnation = newest_incarnation


class SupersededExchangeError(BudgetsError):
    """A newer exchange of the same incarnation was handled first, or the grants have already expired.

    The gateway would not accept a response to this exchange.
    """


class InvalidExchangeError(BudgetsError, ValueError):
    """An exchange or a change of the settings is invalid; the message says why."""


class GrantLogError(BudgetsError):
    """The grant log could not be read or written.

    Attributes:
        path: The file of the log.
        reason: The cause in one line, for instance the error of the operating system or of SQLite.
    """

    def __init__(self, path: Path, reason: object) -> None:
        """Create the error with the file that failed and the reason."""
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = str(reason)
