"""The time of a fleet of gateways, agreed by the counter service where their wall clocks differ.

Windows of quotas are named by time, so gateways whose clocks differ would count one customer under two
names. The counter is what all of them share, and it forgets a name a fixed time after the name was made: that
moment is the same for all who watch it. The gateways keep one name there, the beacon, which holds the time
that the fleet has agreed on. Whoever reads it knows it within LIFETIME; whoever reads it just before and just
after the beacon is due to be forgotten knows it within TOLERANCE_S.

- A gateway whose clock agrees is confirmed, and from then on yields to nobody: its clock is monotonic.
- One that is not confirmed and finds another time watches for the beacon's end and takes the fleet's time.
- A confirmed gateway that made the beacon makes the next one, so that those that start mostly find one.
- A confirmed gateway that finds another time watches for that beacon's end, too, and makes the next one.

The state machine has no I/O: `call` returns what to add to the beacon, `counted` takes what came of it.
"""

from __future__ import annotations

import math
import random
from enum import Enum, auto

from api_gateway.policy.customer_accounts import stable_hash

# Name of the number at the counter.
BEACON_NAME = stable_hash("fleet time")

# Seconds after which the counter forgets a beacon.
BEACON_LIFETIME_S = 4.0

# Seconds; a beacon holds its time modulo this, so that it has tenths of a second in its seven digits.
TIME_MODULUS_S = 90_000.0

# Seconds in which a beacon counts its time.
RESOLUTION_S = 0.1

# Added to each time: two stamps in one beacon, or one taken off it, cannot pass for a time.
STAMP_BASE = 100_000.0

# A total below this is that of a name without a beacon, rounding aside; one below its negative is corrupt.
EMPTY_TOTAL_MAX = 0.5

# Seconds by which gateways may differ.
TOLERANCE_S = 0.2

# Seconds between two checks for the end of a beacon.
WATCH_INTERVAL_S = 0.1

# Seconds for each gateway, over which they call again once the counter answers again.
RETRY_SPREAD_S = 0.02

# Seconds for which a gateway watches for an end before it gives up.
WATCH_TIMEOUT_S = 2 * BEACON_LIFETIME_S + 1.0

# Gateways up to which one contradiction is enough to yield: of more, a single one may be wrong.
SMALL_CLUSTER_GATEWAY_COUNT = 4

# Seconds for each gateway, over which their verifications are spread.
VERIFY_SPREAD_S = 0.1

# Gateways of a fleet, on average, that verify: of more, one read is enough for the rest.
MEAN_VERIFIER_COUNT = 40

# Own beacons in a row between which a gateway finds no other: then its time is the fleet's.
CONFIRMING_BEACON_COUNT = 8


class Step(Enum):
    """What the call in flight, or the one that is due next, is for."""

    READ = auto()  # whether there is a beacon, and whether it agrees
    CREATE = auto()  # a beacon of this gateway's own
    WITHDRAW = auto()  # takes back what was added to another's beacon
    VERIFY_PRESENT = auto()  # just before the beacon's end by this gateway's clock
    VERIFY_EXPIRED = auto()  # just after it
    WATCH = auto()  # for the end of a beacon that contradicts


def is_single_stamp(total: float) -> bool:
    """Return whether a beacon's total is one stamp, and not a sum or a difference of several."""
    return STAMP_BASE - 0.5 < total < STAMP_BASE + TIME_MODULUS_S + 0.5


def is_same_stamp(total: float, stamp: float) -> bool:
    """Return whether a beacon's total is this stamp, rounding aside."""
    return abs(total - stamp) < RESOLUTION_S / 2


def wrap_difference(seconds: float) -> float:
    """Return the same difference of two times modulo TIME_MODULUS_S, nearest to 0."""
    return (seconds + TIME_MODULUS_S / 2) % TIME_MODULUS_S - TIME_MODULUS_S / 2


class ClusterClock:
    """The state machine of one gateway. Times are in seconds of the module's clock.

    Attributes:
        gateways: Gateways of the fleet; the engine sets it when settings change.
        offset: Seconds by which the fleet's time is ahead of the module's clock.
        due: When `call` is next.
        synchronizing: Whether this gateway knows that it has another time than the fleet, and not yet which.
        is_confirmed: Whether this gateway's time is the fleet's.
    """

    def __init__(self, gateways: int, rng: random.Random) -> None:
        """Begin with no difference and nothing due. Draws come from `rng`, which stays the caller's."""
        self.gateway_count = gateways
        self.rng = rng
        self.offset = 0.0
        self.next_call_at = math.inf
        self.is_confirmed = False
        self.is_synchronizing = False
        self._step = Step.READ
        self._is_call_in_flight = False
        # What the call in flight adds.
        self._sent_stamp = 0.0
        # The beacon that this gateway made last; 0: none.
        self._created_stamp = 0.0
        # Beacons that it made without reading another's.
        self._consecutive_beacons = 0
        # The beacon that is verified or watched, 0 for none, and when it was last there.
        self._observed_stamp = 0.0
        self._observed_at = 0.0
        self._watch_deadline = 0.0
        self._contradiction_count = 0
        # Whether the counter did not answer: no call is made until it answers others.
        self._is_stalled = False

    def start(self, now: float) -> None:
        """Read the beacon at once. A single gateway has nothing to agree on."""
        if self.gateway_count > 1:
            self._schedule(Step.READ, now)

    def begin_call(self, now: float) -> float:
        """Return the amount to add to the beacon now; its answer goes to `counted`."""
        self.next_call_at = math.inf
        self._is_call_in_flight = True
        match self._step:
            case Step.CREATE:
                self._sent_stamp = self._time_stamp(now)
                return self._sent_stamp
            case Step.WITHDRAW:
                return -self._sent_stamp
        return 0.0

    def on_total(self, now: float, ok: bool, total: float) -> None:
        """Take the beacon's total after the call in flight; `ok` is false if the counter did not answer."""
        if not self._is_call_in_flight:
            return  # a late answer to a call that was given up
        self._is_call_in_flight = False
        if not ok:
            self._on_failure(now)
            return
        is_read = self._step not in (Step.CREATE, Step.WITHDRAW)
        if (is_read and total >= EMPTY_TOTAL_MAX and not is_single_stamp(total)) or total < -EMPTY_TOTAL_MAX:
            self._on_corrupt_beacon(now)
            return
        match self._step:
            case Step.READ:
                self._on_read_total(now, total)
            case Step.CREATE:
                self._on_create_total(now, total)
            case Step.WITHDRAW:
                self._schedule(Step.READ, now + self.rng.uniform(0.0, BEACON_LIFETIME_S / 2))
            case Step.VERIFY_PRESENT:
                self._on_verify_present_total(now, total)
            case Step.VERIFY_EXPIRED:
                self._on_verify_expired_total(now, total)
            case Step.WATCH:
                self._on_watch_total(now, total)

    def on_counter_answer(self, now: float) -> None:
        """Plan what failed again, since the counter has answered another call."""
        if self._is_stalled and not self._is_call_in_flight:
            self._is_stalled = False
            self._schedule(self._step, now + self.rng.uniform(0.0, RETRY_SPREAD_S * self.gateway_count))

    def _schedule(self, step: Step, at: float) -> None:
        self._step = step
        self.next_call_at = at

    def _schedule_at_low_rate(self, step: Step, now: float) -> None:
        """Plan the next call at a rate that doesn't grow with the fleet."""
        self._schedule(step, now + BEACON_LIFETIME_S * self.gateway_count * self.rng.uniform(0.75, 1.25))

    def _time_stamp(self, now: float) -> float:
        """Return the fleet's time as a beacon holds it."""
        return STAMP_BASE + round((now + self.offset) % TIME_MODULUS_S / RESOLUTION_S) * RESOLUTION_S

    def _age(self, now: float, stamp: float) -> float:
        """Return the seconds since a beacon was made, by the time that this gateway takes for the fleet's."""
        return wrap_difference(now + self.offset + STAMP_BASE - stamp)

    def _on_failure(self, now: float) -> None:
        """Go on after a call without answer: a beacon that was watched may have ended meanwhile."""
        if self._step is Step.WATCH and now < self._watch_deadline:
            self._schedule(Step.WATCH, now + WATCH_INTERVAL_S)
            return
        self.is_synchronizing = False
        self._is_stalled = True
        if self._step is not Step.WITHDRAW:
            self._step = Step.READ
        self._schedule_at_low_rate(self._step, now)

    def _on_corrupt_beacon(self, now: float) -> None:
        """Go on after a beacon that holds what calls without answers have added: it says nothing."""
        if self._step is Step.WATCH and now < self._watch_deadline:
            self._schedule(Step.WATCH, now + WATCH_INTERVAL_S)
            return
        self.is_synchronizing = False
        self._schedule(Step.READ, now + self.rng.uniform(0.5, 1.0) * BEACON_LIFETIME_S)

    def _on_read_total(self, now: float, total: float) -> None:
        if total < EMPTY_TOTAL_MAX:
            self._schedule(Step.CREATE, now)
        elif is_same_stamp(total, self._created_stamp):
            self._schedule(Step.READ, now + self.rng.uniform(0.5, 1.0) * BEACON_LIFETIME_S)
        elif -TOLERANCE_S <= self._age(now, total) <= BEACON_LIFETIME_S + TOLERANCE_S:
            self._consecutive_beacons = 0
            self._on_agreement(now, total)
        else:
            self._consecutive_beacons = 0
            self._on_contradiction(now, total)

    def _on_agreement(self, now: float, total: float) -> None:
        """Take a beacon that agrees as far as one read tells.

        A confirmed gateway needs no other; of the rest some verify.
        """
        is_first = self._observed_stamp == 0.0
        if not self.is_confirmed and is_first:
            self.is_confirmed = self.rng.random() * self.gateway_count >= MEAN_VERIFIER_COUNT
        if self.is_confirmed:
            self._schedule_at_low_rate(Step.READ, now)
            return
        self._observed_stamp = total
        if (
            self.gateway_count > SMALL_CLUSTER_GATEWAY_COUNT and is_first
        ):  # later, each at a moment of its own
            self._schedule(Step.READ, now + self.rng.uniform(0.0, VERIFY_SPREAD_S * self.gateway_count))
            return
        end = now - self._age(now, total) + BEACON_LIFETIME_S
        self._schedule(Step.VERIFY_PRESENT, max(now, end - TOLERANCE_S))

    def _on_verify_present_total(self, now: float, total: float) -> None:
        if not is_same_stamp(total, self._observed_stamp):
            self._on_contradiction(now, total)
            return
        self._observed_at = now
        end = now - self._age(now, total) + BEACON_LIFETIME_S
        self._schedule(Step.VERIFY_EXPIRED, max(now, end + TOLERANCE_S))

    def _on_verify_expired_total(self, now: float, total: float) -> None:
        if is_same_stamp(total, self._observed_stamp):
            self._on_contradiction(now, total)
            return
        self.is_confirmed = True
        self._contradiction_count = 0
        self._replace_expired_beacon(now, total)

    def _on_contradiction(self, now: float, total: float) -> None:
        """Go on where this gateway has another time than the fleet, or the beacon's maker has."""
        self._contradiction_count += 1
        if self.is_confirmed:
            self._watch_for_expiry(now, total)
        elif total < EMPTY_TOTAL_MAX:
            self._schedule(Step.CREATE, now)
        elif self._contradiction_count < (1 if self.gateway_count <= SMALL_CLUSTER_GATEWAY_COUNT else 2):
            self._schedule(Step.READ, now + BEACON_LIFETIME_S * self.rng.uniform(1.0, 1.5))
        else:
            self.is_synchronizing = True
            self._watch_for_expiry(now, total)

    def _watch_for_expiry(self, now: float, total: float) -> None:
        self._watch_deadline = now + WATCH_TIMEOUT_S
        self._record_presence(now, total)

    def _record_presence(self, now: float, total: float) -> None:
        """Note a beacon as there, and check it again soon."""
        self._observed_stamp = total
        self._observed_at = now
        self._schedule(Step.WATCH, now + WATCH_INTERVAL_S)

    def _on_watch_total(self, now: float, total: float) -> None:
        if is_same_stamp(total, self._observed_stamp) and now < self._watch_deadline:
            self._observed_at = now
            self._schedule(Step.WATCH, now + WATCH_INTERVAL_S)
        elif is_same_stamp(total, self._observed_stamp):
            self.is_synchronizing = False
            self._schedule_at_low_rate(Step.READ, now)
        elif self.is_confirmed:  # its own time is the fleet's: the next beacon holds it
            self._replace_expired_beacon(now, total)
        elif now - self._observed_at <= 2 * TOLERANCE_S:
            self._adopt_time_of_expiry(now)
        elif total < EMPTY_TOTAL_MAX:  # the end was somewhere in a time without answers
            self._schedule(Step.WATCH, now + WATCH_INTERVAL_S)
        else:
            self._record_presence(now, total)

    def _adopt_time_of_expiry(self, now: float) -> None:
        """Take the fleet's time from the end of the watched beacon, which lay between two answers."""
        ended = (now + self._observed_at) / 2
        self.offset += wrap_difference(
            self._observed_stamp - STAMP_BASE + BEACON_LIFETIME_S - (ended + self.offset)
        )
        self.is_synchronizing = False
        self._contradiction_count = 0
        self._observed_stamp = 0.0
        # The next beacon confirms it, or contradicts.
        self._schedule(Step.READ, now + self.rng.uniform(0.3, 0.8))

    def _replace_expired_beacon(self, now: float, total: float) -> None:
        """Make the next beacon after the end of one, unless another has made it already."""
        self._observed_stamp = 0.0
        if total < EMPTY_TOTAL_MAX:
            self._schedule(Step.CREATE, now)
        else:
            self._schedule_at_low_rate(Step.READ, now)

    def _on_create_total(self, now: float, total: float) -> None:
        if not is_same_stamp(total, self._sent_stamp):
            self._schedule(Step.WITHDRAW, now)  # another was first
            return
        self._created_stamp = self._sent_stamp
        self._consecutive_beacons += 1
        self.is_confirmed = self.is_confirmed or self._consecutive_beacons >= CONFIRMING_BEACON_COUNT
        if self.is_confirmed:
            self._schedule(Step.CREATE, now + BEACON_LIFETIME_S + RESOLUTION_S / 2)
        else:
            self._schedule(Step.READ, now + BEACON_LIFETIME_S + self.rng.uniform(0.2, 1.0))
