"""Whether all together kept to a budget. It shares no code with budgets/ and knows no grants: it counts what
a host sees, by its own clock."""

from __future__ import annotations


class LevelReferee:
    """Units held at once, over all who hold some."""

    def __init__(self, whole: float) -> None:
        self.whole, self.held, self.largest, self.breaches = whole, 0, 0, 0
        self.since, self.area, self.began = 0.0, 0.0, 0.0

    def change(self, now: float, by: int) -> None:
        self.area += self.held * (now - self.since)
        self.since, self.held = now, self.held + by
        self.largest = max(self.largest, self.held)
        self.breaches += by > 0 and self.held > self.whole

    def mean(self, now: float) -> float:
        """Units held at once, over time."""
        return (self.area + self.held * (now - self.since)) / max(1e-9, now - self.began)


class RateReferee:
    """Units over each window of time: as many as whole * T + burst in any T seconds. A bucket that begins
    full and would have to go below nothing is a window that had more."""

    def __init__(self, whole: float, burst: float) -> None:
        self.whole, self.burst, self.left, self.at = whole, burst, burst, 0.0
        self.spent = self.breaches = 0
        self.lowest = burst

    def spend(self, now: float) -> None:
        self.left = min(self.burst, self.left + (now - self.at) * self.whole) - 1
        self.at = now
        self.spent += 1
        self.lowest = min(self.lowest, self.left)
        self.breaches += self.left < -1e-6
