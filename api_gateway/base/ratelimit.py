"""Limits the rate of log lines that a peer can trigger without bound."""

from __future__ import annotations

import logging
from time import monotonic
from typing import Any

LOG_INTERVAL_S = 10.0


class LimitedLog:
    """Writes at most one line per interval, with the number of lines suppressed before it."""

    def __init__(self, log: logging.Logger, interval_s: float = LOG_INTERVAL_S) -> None:
        """Initialise with no suppressed lines.

        Args:
            log: Logger that writes the lines.
            interval_s: Minimum time between two lines, in seconds.
        """
        self.log = log
        self.interval_s = interval_s
        self.next_line_at = 0.0  # by the monotonic clock
        self.suppressed_count = 0

    def write(self, level: int, text: str, *args: Any) -> None:
        """Write a line, or count it as suppressed. Takes the arguments of logging.Logger.log()."""
        now = monotonic()
        if now < self.next_line_at:
            self.suppressed_count += 1
            return
        suffix = (
            f" ({self.suppressed_count} such lines before it are left out)" if self.suppressed_count else ""
        )
        self.next_line_at = now + self.interval_s
        self.suppressed_count = 0
        self.log.log(level, text + suffix, *args)
