"""Start times of endpoints by this gateway's own clock, robust against a wrong wall clock.

Endpoint lists give start times in Unix time. A gateway whose wall clock is off by an hour would take an
endpoint that has just started for a fully warm one, or for one that never finishes warming up. Two facts hold
whatever the clock says: no endpoint started in the future, and a start time that is new in a list is later
than the previous list, apart from the delay with which discovery reports it.
"""

from __future__ import annotations

import math

from api_gateway import interface as api

# Longest time in seconds that discovery takes to report a start while its lists arrive.
LIST_DELAY_S = 10.0

# Upper bound of that delay as a fraction of the slow-start duration. With a clock error below it, a new
# endpoint still counts as at most half warm.
LIST_DELAY_MAX_FRACTION = 0.5

# Seconds by which two clocks may differ. An endpoint then stays at its minimum capacity for up to that much
# longer.
CLOCK_TOLERANCE_S = 10.0


class StartTimes:
    """Converts start times of lists to times of the engine's clock, where 0 means long ago.

    Attributes:
        last_list_at: When this process last received a list from discovery.
    """

    def __init__(self) -> None:
        """Initialise before the first list."""
        self.last_list_at = -math.inf

    def on_list(self, now: float, mode: str) -> None:
        """Record that a list was applied; only lists that discovery sent count."""
        if mode in ("delta", "full"):
            self.last_list_at = now

    def is_credible(self, now: float, listed_start: float, *, is_new: bool, duration: float) -> bool:
        """Return whether an endpoint can have started at the time that its list entry gives.

        Args:
            now: Time in seconds.
            listed_start: The start time in the list, by the same clock.
            is_new: Whether this list is the first to give that start time.
            duration: Slow-start duration in seconds.
        """
        age = now - listed_start
        delay = min(LIST_DELAY_S, LIST_DELAY_MAX_FRACTION * duration)
        max_age = now - self.last_list_at + delay if is_new else math.inf
        return -CLOCK_TOLERANCE_S <= age <= max_age

    def is_new(self, previous: api.Endpoint | None, entry: api.Endpoint, *, is_view: bool) -> bool:
        """Return whether the start is later than the previous list, which would otherwise contain its time.

        An endpoint that was not in this gateway's view before may have run for long, because other gateways
        had it in their views.
        """
        if previous is None:
            return not is_view
        return entry.started_at > previous.started_at

    def start_time(
        self,
        now: float,
        entry: api.Endpoint,
        previous: api.Endpoint | None,
        *,
        is_view: bool,
        duration: float,
    ) -> float:
        """Return the start time by the engine's clock, or the current time if the listed one is impossible.

        The current time is the safe choice, because it makes the endpoint warm up from the beginning.

        Args:
            now: Time in seconds.
            entry: The endpoint's entry in the list.
            previous: Its entry in the previous list, if there was one.
            is_view: Whether the list holds only a subset of the endpoints.
            duration: Slow-start duration in seconds.
        """
        if entry.started_at <= 0:
            return 0.0
        is_new = self.is_new(previous, entry, is_view=is_view)
        is_credible = self.is_credible(now, entry.started_at, is_new=is_new, duration=duration)
        return entry.started_at if is_credible else now


def later_start(now: float, known_start: float, listed_start: float, offset: float, duration: float) -> float:
    """Return the start time to use when the wall clock may be off by `offset` seconds.

    This is the later of the known start and the listed start as read by the corrected clock. The listed start
    counts only if the endpoint would still be warming up by it.

    Args:
        now: Time in seconds.
        known_start: The start time from which the endpoint has warmed up so far.
        listed_start: The start time in its list entry.
        offset: Seconds to add to `now` to get the corrected clock's time.
        duration: Slow-start duration in seconds.
    """
    age = now + offset - listed_start
    return max(known_start, now - age) if 0 <= age < duration else known_start
