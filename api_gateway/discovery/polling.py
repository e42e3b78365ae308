"""When discovery is polled: time limits of calls, backoff after failures, and the state between two calls.

One service may answer all gateways. Whatever starts or fails for all of them at one moment would make all of
them call at one moment, so each gateway draws its delays at random, over a longer time the more gateways
there are. No I/O happens here.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

WATCH_WAIT_S = 5.0
"""How long discovery may hold a watch open."""
WATCH_OVERRUN_RANGE_S = (1.0, 1.7)
"""Drawn time past WATCH_WAIT_S after which a silent watch is given up: drawn, as all fall silent at once."""
FULL_LIST_TIMEOUT_S = 5.0
"""Time limit of a call for the full list, which queues at the service when all gateways ask."""
KNOWN_WITHIN_S = 6.0
"""Seconds after which a change counts as known here, from when discovery had it and could be reached."""
ANSWER_MARGIN_S = 0.5
"""Seconds of TOLD that are reserved for the answer."""

# Of an agent on this machine, as fractions of the grace period of a drain.
AGENT_WATCH_WAIT_FRACTION = 0.25
AGENT_WATCH_OVERRUN_FRACTIONS = (0.1, 0.2)
AGENT_FULL_LIST_FRACTION = 0.4
AGENT_BACKOFF_FRACTION = 0.1
MIN_GRACE_S = 0.5
MAX_GRACE_S = 8.0

MIN_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
BACKOFF_BASE_GATEWAYS = 2
"""Up to so many gateways the bounds of the backoff hold; beyond, delays grow in proportion."""
MAX_BACKOFF_DOUBLINGS = 16
IMMEDIATE_RETRY_INTERVAL_S = 1.0
"""Within this time at most one call follows a failure without a delay."""
START_SPREAD_PER_GATEWAY_S = 0.1
"""Added to the window of the first call by each gateway past UNSPREAD_START_GATEWAYS."""
UNSPREAD_START_GATEWAYS = 5

Params = dict[str, int | str]


@dataclass(frozen=True, slots=True)
class Timeouts:
    """Time limits of calls to discovery, in seconds.

    What a silent watch missed counts as known 6 s after it fell silent, or 2 s after its wait if that is
    later, so no silence is waited out for longer. Discovery may be back right after a call that fails was
    made: the next call comes `notify_within` seconds after it at the latest, however long the first one took.
    That is why watches do not wait while calls fail (`failing_wait`).
    """

    wait: float = WATCH_WAIT_S
    overrun_range: tuple[float, float] = WATCH_OVERRUN_RANGE_S
    full_list: float = FULL_LIST_TIMEOUT_S
    failing_wait: float = 0.0
    max_backoff: float = MAX_BACKOFF_S
    notify_within: float = KNOWN_WITHIN_S - ANSWER_MARGIN_S


def agent_timeouts(grace: float) -> Timeouts:
    """Return the limits for an agent on this machine, which answers at once and at no cost.

    What the agent has counts as known at once, also when it comes back from a silence, and the grace period
    of a drain runs from then: a silence and the delay after it take at most half of that period.

    Args:
        grace: Grace period of a drain, in seconds.
    """
    unit = max(MIN_GRACE_S, min(MAX_GRACE_S, grace))
    shortest, longest = (fraction * unit for fraction in AGENT_WATCH_OVERRUN_FRACTIONS)
    return Timeouts(
        wait=AGENT_WATCH_WAIT_FRACTION * unit,
        overrun_range=(shortest, longest),
        full_list=AGENT_FULL_LIST_FRACTION * unit,
        failing_wait=0.0,
        max_backoff=min(MAX_BACKOFF_S, AGENT_BACKOFF_FRACTION * unit),
        notify_within=math.inf,
    )


class Backoff:
    """Draws delays before calls with full jitter, below a bound that doubles with each failure."""

    def __init__(self, gateways: int, rng: random.Random, max_delay: float = MAX_BACKOFF_S) -> None:
        """Initialise the backoff.

        Args:
            gateways: Gateways that call the same service.
            rng: Source of the draws, owned by the caller.
            max_delay: Bound of a delay for BACKOFF_BASE_GATEWAYS gateways, in seconds.
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
            within: Seconds in which the next call is due; the delay never exceeds it.
        """
        self.failure_count += 1
        scale = max(1.0, self.gateways / BACKOFF_BASE_GATEWAYS)
        bound = min(self.max_delay, MIN_BACKOFF_S * 2.0 ** min(self.failure_count, MAX_BACKOFF_DOUBLINGS))
        longest = min(scale * bound, within)
        shortest = min(scale * min(MIN_BACKOFF_S, bound), longest / 2)
        return self.rng.uniform(shortest, longest)


class PollSchedule:
    """Decides how long the next call may take and what delay follows one that failed."""

    def __init__(self, gateways: int, rng: random.Random, grace: float | None) -> None:
        """Initialise the poll schedule.

        Args:
            gateways: Gateways that call the same service.
            rng: Source of the draws, owned by this schedule from here on.
            grace: Grace period of a drain in seconds, where an agent on this machine answers this gateway
                alone; None where one service answers all.
        """
        self.rng = rng
        self.timeouts = Timeouts() if grace is None else agent_timeouts(grace)
        self.backoff = Backoff(gateways if grace is None else 1, rng, self.timeouts.max_backoff)
        self.failed_locally = False  # the last call failed as it does not for all gateways at one moment
        self.last_unreadable = False  # the last call brought an answer that could not be read
        self.unknown_since = 0.0  # from then on there may be changes that the last, failed call did not bring
        self.last_immediate_at = -IMMEDIATE_RETRY_INTERVAL_S

    def set_grace(self, grace: float) -> None:
        """Take over another grace period of a drain, in seconds, where an agent answers."""
        self.timeouts = agent_timeouts(grace)
        self.backoff.max_delay = self.timeouts.max_backoff

    def watch_call(self, version: int | None) -> tuple[Params, float]:
        """Return the parameters of a watch that goes on from `version`, and its time limit in seconds."""
        wait = self.timeouts.failing_wait if self.backoff.failure_count else self.timeouts.wait
        limit = wait + self.rng.uniform(*self.timeouts.overrun_range) if wait else self.timeouts.full_list
        return {"index": version or 0, "wait": int(wait * 1000)}, limit

    def record_success(self) -> None:
        """Note that a call brought a list."""
        self.backoff.failure_count = 0
        self.last_unreadable = False

    def record_failure(self, *, unknown_since: float, is_timeout: bool, is_unreadable: bool) -> None:
        """Note that a call failed.

        Args:
            unknown_since: Monotonic time from which on changes may have been missed.
            is_timeout: Whether the call fell silent and was given up.
            is_unreadable: Whether the answer came and could not be read.
        """
        # When a watch is given up was drawn; what cannot be read was damaged on its way to this gateway.
        is_first_silence = is_timeout and not self.backoff.failure_count
        is_first_unreadable = is_unreadable and not self.last_unreadable
        self.failed_locally = is_first_silence or is_first_unreadable
        self.last_unreadable = is_unreadable
        self.unknown_since = unknown_since

    def retry_delay(self, now: float) -> float:
        """Draw the delay before the call after one that failed, in seconds from monotonic time `now`."""
        return self.backoff.next_delay(self.due_within(now))

    def due_within(self, now: float) -> float:
        """Return the seconds in which the call after one that failed has to come.

        After the first failure that is half of the time left, as the next call may fail, too.
        """
        left = max(0.0, self.timeouts.notify_within - (now - self.unknown_since))
        return left if self.backoff.failure_count else left / 2

    def take_immediate_retry(self, now: float) -> bool:
        """Return whether the call after one that failed comes without a delay, and note that it does.

        It also does where what follows a silence cannot be read: the silence has taken up the time.
        """
        recently = now - self.last_immediate_at < IMMEDIATE_RETRY_INTERVAL_S
        if not self.failed_locally or (self.backoff.failure_count != 2 and recently):
            return False
        self.last_immediate_at = now
        return True
