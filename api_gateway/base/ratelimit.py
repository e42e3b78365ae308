"""Limits log lines of which a peer could cause any number."""

from __future__ import annotations

import logging
from time import monotonic
from typing import Any

LOG_INTERVAL_S = 10.0


class LimitedLog:
    """Writes one line an interval at most, with how many before it were left out."""

    def __init__(self, log: logging.Logger, interval_s: float = LOG_INTERVAL_S) -> None:
        """Initialise the log.

        Args:
            log: Where lines are written.
            interval_s: Seconds between two lines.
        """
        self.log = log
        self.interval_s = interval_s
        self.next_line_at = 0.0  # monotonic
        self.left_out_count = 0

    def write(self, level: int, text: str, *args: Any) -> None:
        """Write a line, or count it as left out. Arguments are as those of logging.Logger.log()."""
        now = monotonic()
        if now < self.next_line_at:
            self.left_out_count += 1
            return
        more = f" ({self.left_out_count} such lines before it are left out)" if self.left_out_count else ""
        self.next_line_at = now + self.interval_s
        self.left_out_count = 0
        self.log.log(level, text + more, *args)
