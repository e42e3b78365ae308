"""Actions of membership that are due later, without a clock: the caller says what time it is."""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable

TimerAction = Callable[[float], None]  # gets the present time in seconds


class TimerQueue:
    """Scheduled actions in the order of their due times; those of one time in the order of scheduling.

    Nothing is ever cancelled: an action checks whether it is still of use when it runs.
    """

    def __init__(self) -> None:
        """Start with nothing scheduled."""
        self._entries: list[tuple[float, int, TimerAction]] = []
        self._numbers = itertools.count()

    def schedule(self, now: float, delay_s: float, action: TimerAction) -> None:
        """Schedule an action to run `delay_s` seconds after `now`."""
        heapq.heappush(self._entries, (now + delay_s, next(self._numbers), action))

    def next_due_at(self) -> float:
        """Return when the first action is due, in seconds; infinity where there is none."""
        return self._entries[0][0] if self._entries else math.inf

    def run_due(self, now: float) -> None:
        """Run all actions that are due, those too that they schedule for `now` or earlier."""
        while self._entries and self._entries[0][0] <= now:
            action = heapq.heappop(self._entries)[2]
            action(now)
