"""When endpoints started, by this gateway's own clock, although its wall clock may be wrong.

Lists give starts in Unix time. A gateway whose wall clock is off by an hour takes an endpoint that has just
started for a warm one, or for one that never warms up. Two facts are sure whatever the clock says: no
endpoint has started in the future, and a start that is new in a list came after the list before, but for its
delay.
"""

from __future__ import annotations

import math

from api_gateway import interface as api

# Seconds; the longest that discovery takes to report a start while its lists come.
LIST_DELAY_S = 10.0

# Part of the slow start's duration that this delay is at most: with a clock that is off by less, a new
# endpoint is still half cold.
LIST_DELAY_MAX_FRACTION = 0.5

# Seconds by less than which two clocks may differ: an endpoint then stays at its coldest for so much longer.
CLOCK_TOLERANCE_S = 10.0


class StartTimes:
    """Turns the starts that lists give into times of the module's clock; 0 stands for long ago.

    Attributes:
        last_list_at: When the last list came from discovery to this process.
    """

    def __init__(self) -> None:
        """Begin before the first list."""
        self.last_list_at = -math.inf

    def on_list(self, now: float, mode: str) -> None:
        """Note that a list has been taken; only those that discovery sent count."""
        if mode in ("delta", "full"):
            self.last_list_at = now

    def is_credible(self, now: float, started: float, *, is_new: bool, duration: float) -> bool:
        """Return whether an endpoint may have started when its list says.

        Args:
            now: Time in seconds.
            started: The start that the list gives, by the same clock.
            is_new: Whether this list is the first to give it.
            duration: Seconds of slow start.
        """
        age = now - started
        delay = min(LIST_DELAY_S, LIST_DELAY_MAX_FRACTION * duration)
        longest = now - self.last_list_at + delay if is_new else math.inf
        return -CLOCK_TOLERANCE_S <= age <= longest

    def is_new(self, old: api.Endpoint | None, entry: api.Endpoint, *, is_view: bool) -> bool:
        """Return whether the list before would have given this start, had it been then already.

        An endpoint that a view didn't name before may have run for long: it was in others' views.
        """
        if old is None:
            return not is_view
        return entry.started_at > old.started_at

    def start_time(
        self, now: float, entry: api.Endpoint, old: api.Endpoint | None, *, is_view: bool, duration: float
    ) -> float:
        """Return the start by the module's clock: now, which is the safe side, if the given one cannot be.

        Args:
            now: Time in seconds.
            entry: The endpoint as the list names it.
            old: The endpoint as the list before named it, if that did.
            is_view: Whether the list holds only a part of the endpoints.
            duration: Seconds of slow start.
        """
        if entry.started_at <= 0:
            return 0.0
        is_new = self.is_new(old, entry, is_view=is_view)
        is_credible = self.is_credible(now, entry.started_at, is_new=is_new, duration=duration)
        return entry.started_at if is_credible else now


def later_start(now: float, known: float, listed: float, offset: float, duration: float) -> float:
    """Return the start to go by where the wall clock may be off by `offset` seconds.

    It is the later one of the known start and of what the listed one says by that other clock, as long as the
    endpoint would be warming up by it.

    Args:
        now: Time in seconds.
        known: The start by which the endpoint has warmed up so far.
        listed: The start that its list gives.
        offset: Seconds to add to `now` for the other clock's time.
        duration: Seconds of slow start.
    """
    age = now + offset - listed
    return max(known, now - age) if 0 <= age < duration else known
