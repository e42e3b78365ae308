"""When hosts started, by this gateway's own clock, although its wall clock may be wrong.

Lists tell starts in Unix time. A gateway whose wall clock is off by an hour takes a host that has just
started for a warm one, or for one that never warms up. Two facts are sure whatever the clock says: no host
has started in the future, and a start that is news to a list came after the list before, but for its delay.
"""

from __future__ import annotations

import math

from api_gateway import interface as api

LIST_DELAY = 10.0  # s; the longest that discovery takes to tell of a start while its lists come
COLD_PART = 0.5  # of the cold time, at most that: a clock off by less leaves a host that is new half cold
CLOCKS_APART = 10.0  # s; by less two clocks may differ: a host then stays at its coldest for so much longer


class StartTimes:
    """Turns the starts that lists tell into times of the module's clock; 0 stands for long ago."""

    def __init__(self) -> None:
        self.heard_at = -math.inf  # when the last list came that discovery told to this process

    def heard(self, now: float, mode: str) -> None:
        """A list has been taken."""
        if mode in ("delta", "full"):
            self.heard_at = now

    def is_credible(self, now: float, started: float, news: bool, cold_time: float) -> bool:
        """Whether a start may have been when it is told. `news`: this list is the first to tell it."""
        age = now - started
        delay = min(LIST_DELAY, COLD_PART * cold_time)
        longest = now - self.heard_at + delay if news else math.inf
        return -CLOCKS_APART <= age <= longest

    def is_news(self, old: api.Endpoint | None, host: api.Endpoint, view: bool) -> bool:
        """Whether the list before would have told this start, had it been then already.

        In a view a host that was not listed may have run for long: it was in others' views.
        """
        if old is None:
            return not view
        return host.started_at > old.started_at

    def began(
        self, now: float, host: api.Endpoint, old: api.Endpoint | None, view: bool, cold_time: float
    ) -> float:
        """The start by the module's clock: now, which is the safe side, where what is told cannot be."""
        if host.started_at <= 0:
            return 0.0
        credible = self.is_credible(now, host.started_at, self.is_news(old, host, view), cold_time)
        return host.started_at if credible else now


def later_start(now: float, began: float, started: float, offset: float, cold_time: float) -> float:
    """The start to go by where the wall clock may be off by `offset` seconds: the later one of what is held
    (`began`) and of what `started` says by that other clock, as long as the host would be cold by it."""
    age = now + offset - started
    return max(began, now - age) if 0 <= age < cold_time else began
