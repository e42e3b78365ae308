"""Why an exchange is not answered with grants, and why the grant log could not be used."""

from __future__ import annotations

from pathlib import Path


class BudgetsError(Exception):
    """The base of the package's errors."""


class StaleIncarnationError(BudgetsError):
    """An exchange came from an older incarnation of a gateway.

    Attributes:
        newest_incarnation: The newest one that is known.
    """

    def __init__(self, newest_incarnation: int) -> None:
        """Says which incarnation is known."""
        super().__init__(f"life {newest_incarnation} is known")
        self.newest_incarnation = newest_incarnation


class SupersededExchangeError(BudgetsError):
    """A newer exchange of the same incarnation has overtaken this one, or its grants have ended by now.

    No response to it would be of use.
    """


class InvalidExchangeError(BudgetsError, ValueError):
    """An exchange, or a change of the terms, is impossible; the text says why."""


class GrantLogError(BudgetsError):
    """The log could not be read or written.

    Attributes:
        path: The log's file.
        reason: What the disk or the database said, in one line.
    """

    def __init__(self, path: Path, reason: object) -> None:
        """Says which file failed and why."""
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = str(reason)
