"""Checks of whether all gateways together stay within a budget.

The referees share no code with the package budgets and know no grants: they count what a host observes, by
its own clock.
"""

from __future__ import annotations


class LevelReferee:
    """Counts the units of a level that all gateways together use at one time.

    Attributes:
        in_use: The units in use now.
        largest: The largest number of units in use at one time.
        breaches: How often a unit was taken that exceeded the total.
    """

    def __init__(self, total: float) -> None:
        self.total, self.in_use, self.largest, self.breaches = total, 0, 0, 0
        self.changed_at, self.unit_seconds, self.started_at = 0.0, 0.0, 0.0

    def change(self, now: float, delta: int) -> None:
        """Add units in use, or remove them if `delta` is negative."""
        self.unit_seconds += self.in_use * (now - self.changed_at)
        self.changed_at, self.in_use = now, self.in_use + delta
        self.largest = max(self.largest, self.in_use)
        self.breaches += delta > 0 and self.in_use > self.total

    def mean(self, now: float) -> float:
        """Return the average number of units in use over time."""
        return (self.unit_seconds + self.in_use * (now - self.changed_at)) / max(1e-9, now - self.started_at)


class RateReferee:
    """Checks that no window of T seconds has more than total * T + burst units.

    It is a token bucket that starts full. If its tokens fall below zero, a window had more units.
    """

    def __init__(self, total: float, burst: float) -> None:
        self.total, self.burst, self.tokens, self.updated_at = total, burst, burst, 0.0
        self.spent = self.breaches = 0
        self.lowest_tokens = burst

    def spend(self, now: float) -> None:
        """Take one token for a unit that was used."""
        self.tokens = min(self.burst, self.tokens + (now - self.updated_at) * self.total) - 1
        self.updated_at = now
        self.spent += 1
        self.lowest_tokens = min(self.lowest_tokens, self.tokens)
        self.breaches += self.tokens < -1e-6
