"""A timer queue without a clock: the caller passes the current time."""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable

TimerAction = Callable[[float], None]  # receives the current time in seconds


class TimerQueue:
    """Scheduled actions ordered by due time, and by order of scheduling if the due times are equal.

    Actions cannot be cancelled. Each one checks when it runs whether it is still needed.
    """

    def __init__(self) -> None:
        """Start empty."""
        self._entries: list[tuple[float, int, TimerAction]] = []
        self._sequence_numbers = itertools.count()

    def schedule(self, now: float, delay_s: float, action: TimerAction) -> None:
        """Schedule an action to run `delay_s` seconds after `now`."""
        heapq.heappush(self._entries, (now + delay_s, next(self._sequence_numbers), action))

    def next_due_at(self) -> float:
        """Return when the first action is due, in seconds, or infinity if there is none."""
        return self._entries[0][0] if self._entries else math.inf

    def run_due(self, now: float) -> None:
        """Run all actions that are due, including those that they schedule for `now` or earlier."""
        while self._entries and self._entries[0][0] <= now:
            action = heapq.heappop(self._entries)[2]
            action(now)
