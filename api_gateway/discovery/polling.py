"""Schedules calls to discovery: time limits, backoff after failures, and the state between two calls.

One service may answer all gateways. An event that hits all of them at the same time, such as a restart or an
outage, would make all of them call at the same time. Each gateway therefore draws its delays at random, and
the range grows with the number of gateways. This module does no I/O.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

WATCH_WAIT_S = 5.0
"""Seconds for which discovery may hold a watch open."""
WATCH_OVERRUN_RANGE_S = (1.0, 1.7)
"""Range of the extra seconds after WATCH_WAIT_S before a silent watch is abandoned.

The value is drawn at random because the watches of all gateways fall silent at the same time.
"""
FULL_LIST_TIMEOUT_S = 5.0
"""Time limit in seconds of a call for the full list, which queues at the service if all gateways call it."""
KNOWN_WITHIN_S = 6.0
"""Seconds within which a change must be known here, counted from when discovery has it and is reachable."""
ANSWER_MARGIN_S = 0.5
"""Seconds of KNOWN_WITHIN_S that are reserved for the answer."""

# Time limits for an agent on this machine, as fractions of the drain grace period.
AGENT_WATCH_WAIT_FRACTION = 0.25
AGENT_WATCH_OVERRUN_FRACTIONS = (0.1, 0.2)
AGENT_FULL_LIST_FRACTION = 0.4
AGENT_BACKOFF_FRACTION = 0.1
MIN_GRACE_S = 0.5
MAX_GRACE_S = 8.0

MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
BACKOFF_BASE_GATEWAYS = 2
"""Number of gateways up to which the backoff bounds apply; with more, delays grow in proportion."""
MAX_BACKOFF_DOUBLINGS = 16
IMMEDIATE_RETRY_INTERVAL_S = 1.0
"""Seconds in which at most one call may follow a failure without a delay."""
START_SPREAD_PER_GATEWAY_S = 0.1
"""Seconds by which each gateway above UNSPREAD_START_GATEWAYS widens the window of the first call."""
UNSPREAD_START_GATEWAYS = 5

Params = dict[str, int | str]


@dataclass(frozen=True, slots=True)
class Timeouts:
    """Time limits of calls to discovery, in seconds.

    A change that a silent watch missed must be known 6 s after the watch fell silent, or 2 s after the end of
    its wait if that is later, so a silent watch is abandoned before then. Discovery may recover right after a
    call that fails was made, so the next call must follow within `notify_within` seconds of the start of the
    failed call, however long that call took. For this reason watches do not wait while calls are failing
    (`failing_wait`).
    """

    wait: float = WATCH_WAIT_S
    overrun_range: tuple[float, float] = WATCH_OVERRUN_RANGE_S
    full_list: float = FULL_LIST_TIMEOUT_S
    failing_wait: float = 0.0
    max_backoff: float = MAX_BACKOFF_S
    notify_within: float = KNOWN_WITHIN_S - ANSWER_MARGIN_S


def agent_timeouts(grace: float) -> Timeouts:
    """Return the limits for an agent on this machine, which answers immediately and at no cost.

    Changes that the agent has must be known immediately, also when it recovers from a silence, because the
    drain grace period starts then. A silence and the delay after it take at most half of that period.

    Args:
        grace: Drain grace period in seconds.
    """
    clamped_grace = max(MIN_GRACE_S, min(MAX_GRACE_S, grace))
    shortest, longest = (fraction * clamped_grace for fraction in AGENT_WATCH_OVERRUN_FRACTIONS)
    return Timeouts(
        wait=AGENT_WATCH_WAIT_FRACTION * clamped_grace,
        overrun_range=(shortest, longest),
        full_list=AGENT_FULL_LIST_FRACTION * clamped_grace,
        failing_wait=0.0,
        max_backoff=min(MAX_BACKOFF_S, AGENT_BACKOFF_FRACTION * clamped_grace),
        notify_within=math.inf,
    )


class Backoff:
    """Draws jittered delays between calls, below a bound that doubles with each failure."""

    def __init__(self, gateways: int, rng: random.Random, max_delay: float = MAX_BACKOFF_S) -> None:
        """Initialise with no failures.

        Args:
            gateways: Gateways that call the same service.
            rng: Random number generator, owned by the caller.
            max_delay: Upper bound of a delay in seconds, for up to BACKOFF_BASE_GATEWAYS gateways.
        """
        self.gateways = gateways
        self.rng = rng
        self.failure_count = 0
        self.max_delay = max_delay

    def first_delay(self) -> float:
        """Draw the delay of the first call, in seconds."""
        spread = START_SPREAD_PER_GATEWAY_S * max(0, self.gateways - UNSPREAD_START_GATEWAYS)
        return self.rng.uniform(0.0, min(KNOWN_WITHIN_S - ANSWER_MARGIN_S, spread))

    def next_delay(self, within: float = math.inf) -> float:
        """Count a failure and draw the delay after it.

        Args:
            within: Seconds until the next call is due, which the delay never exceeds.
        """
        self.failure_count += 1
        scale = max(1.0, self.gateways / BACKOFF_BASE_GATEWAYS)
        bound = min(self.max_delay, MIN_BACKOFF_S * 2.0 ** min(self.failure_count, MAX_BACKOFF_DOUBLINGS))
        longest = min(scale * bound, within)
        shortest = min(scale * min(MIN_BACKOFF_S, bound), longest / 2)
        return self.rng.uniform(shortest, longest)


class PollSchedule:
    """Decides how long the next call may take and how long to wait after a failed call."""

    def __init__(self, gateways: int, rng: random.Random, grace: float | None) -> None:
        """Initialise with no failures.

        Args:
            gateways: Gateways that call the same service.
            rng: Random number generator, owned by this schedule from now on.
            grace: Drain grace period in seconds if an agent on this machine serves only this gateway; None if
                one service serves all gateways.
        """
        self.rng = rng
        self.timeouts = Timeouts() if grace is None else agent_timeouts(grace)
        self.backoff = Backoff(gateways if grace is None else 1, rng, self.timeouts.max_backoff)
        # Whether the last call failed in a way that does not hit all gateways at once.
        self.failed_locally = False
        self.last_unreadable = False  # whether the last answer could not be read
        self.unknown_since = 0.0  # monotonic time since which the failed last call may have missed changes
        self.last_immediate_at = -IMMEDIATE_RETRY_INTERVAL_S

    def set_grace(self, grace: float) -> None:
        """Set the drain grace period in seconds. Only for discovery by an agent on this machine."""
        self.timeouts = agent_timeouts(grace)
        self.backoff.max_delay = self.timeouts.max_backoff

    def watch_call(self, version: int | None) -> tuple[Params, float]:
        """Return the parameters of a watch that continues from `version`, and its time limit in seconds."""
        wait = self.timeouts.failing_wait if self.backoff.failure_count else self.timeouts.wait
        limit = wait + self.rng.uniform(*self.timeouts.overrun_range) if wait else self.timeouts.full_list
        return {"index": version or 0, "wait": int(wait * 1000)}, limit

    def record_success(self) -> None:
        """Record that a call returned a list."""
        self.backoff.failure_count = 0
        self.last_unreadable = False

    def record_failure(self, *, unknown_since: float, is_timeout: bool, is_unreadable: bool) -> None:
        """Record that a call failed.

        Args:
            unknown_since: Monotonic time since which changes may have been missed.
            is_timeout: Whether the call got no answer and was abandoned.
            is_unreadable: Whether an answer arrived but could not be read.
        """
        # Neither failure hits all gateways at once: each gateway draws the time after which it abandons a
        # watch, and an unreadable answer was damaged on its way to this gateway.
        is_first_silence = is_timeout and not self.backoff.failure_count
        is_first_unreadable = is_unreadable and not self.last_unreadable
        self.failed_locally = is_first_silence or is_first_unreadable
        self.last_unreadable = is_unreadable
        self.unknown_since = unknown_since

    def retry_delay(self, now: float) -> float:
        """Draw the delay before the call that follows a failed call, in seconds from monotonic time `now`."""
        return self.backoff.next_delay(self.due_within(now))

    def due_within(self, now: float) -> float:
        """Return the seconds within which a failed call must be followed by the next one.

        After the first failure this is half of the remaining time, because the next call may fail as well.
        """
        remaining = max(0.0, self.timeouts.notify_within - (now - self.unknown_since))
        return remaining if self.backoff.failure_count else remaining / 2

    def take_immediate_retry(self, now: float) -> bool:
        """Return whether a failed call is followed by the next one without a delay, and record it if so.

        An unreadable answer right after a silent call is always followed without a delay, because the silence
        has used up the time.
        """
        is_recent = now - self.last_immediate_at < IMMEDIATE_RETRY_INTERVAL_S
        if not self.failed_locally or (self.backoff.failure_count != 2 and is_recent):
            return False
        self.last_immediate_at = now
        return True
