"""Counts events by their reason, and logs them at a limited rate for each reason."""

from __future__ import annotations

import logging
from collections import Counter, defaultdict
from enum import StrEnum
from functools import partial
from typing import Any, Generic, TypeVar

from api_gateway.base.ratelimit import LimitedLog

Reason = TypeVar("Reason", bound=StrEnum)


class ReasonLog(Generic[Reason]):
    """Counts and logs events of one kind.

    Attributes:
        counts: Number of events by reason since the start.
    """

    def __init__(self, log: logging.Logger) -> None:
        """Start without events; lines go to `log`."""
        self.counts: Counter[Reason] = Counter()
        self._logs: defaultdict[Reason, LimitedLog] = defaultdict(partial(LimitedLog, log))

    def count(self, reason: Reason) -> None:
        """Count an event without a line."""
        self.counts[reason] += 1

    def write(self, reason: Reason, text: str, *args: Any) -> None:
        """Count an event and log a line, with the arguments of logging.Logger.log() after its level."""
        self.count(reason)
        self._logs[reason].write(logging.INFO, text, *args)
