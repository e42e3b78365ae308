"""A common time for the gateways of a cluster, agreed through the shared counter.

Quota windows are numbered by time, so gateways with different wall clocks would count one customer under two
names. All gateways share the counter, and the counter deletes a name a fixed time after the name was created.
Every gateway that watches a name sees this moment. The gateways keep one name at the counter, the beacon,
whose value is a stamp of the time that the cluster has agreed on. A gateway that reads the beacon learns this
time to within BEACON_LIFETIME_S. A gateway that reads it just before and just after its expected expiry
learns the time to within TOLERANCE_S.

- A gateway whose clock agrees with the beacon becomes confirmed. It never changes its time again, because its
  clock is monotonic.
- A gateway that is not confirmed and reads another time watches for the beacon's expiry and adopts the
  cluster's time.
- A confirmed gateway that created the beacon creates the next one, so that gateways that start mostly find
  one.
- A confirmed gateway that reads another time also watches for that beacon's expiry, and creates the next one.

The state machine does no I/O: `begin_call` returns the amount to add to the beacon, and `on_total` receives
the result.
"""

from __future__ import annotations

import math
import random
from enum import Enum, auto

from api_gateway.policy.customer_accounts import stable_hash

# Name of the beacon at the counter.
BEACON_NAME = stable_hash("fleet time")

# Seconds after which the counter deletes a beacon.
BEACON_LIFETIME_S = 4.0

# Modulus of the time in a beacon, in seconds. With it, tenths of a second fit into the seven digits of the
# counter's totals.
TIME_MODULUS_S = 90_000.0

# Seconds between two adjacent times that a beacon can hold.
RESOLUTION_S = 0.1

# Offset of each stamp, so that the sum or the difference of two stamps is never taken for a time.
STAMP_BASE = 100_000.0

# Totals below this are those of a name without a beacon; the margin allows for rounding. Totals below the
# negative of this are corrupt.
EMPTY_TOTAL_MAX = 0.5

# Seconds by which the times of gateways may differ.
TOLERANCE_S = 0.2

# Seconds between two checks for the expiry of a beacon.
WATCH_INTERVAL_S = 0.1

# Seconds per gateway over which the gateways spread their calls once the counter answers again.
RETRY_SPREAD_S = 0.02

# Seconds after the start for which a gateway of a small cluster takes a corrupt beacon for one that several
# gateways are creating at once.
STARTUP_S = 0.3

# Seconds after which a gateway stops watching for an expiry.
WATCH_TIMEOUT_S = 2 * BEACON_LIFETIME_S + 1.0

# Number of gateways up to which one contradiction makes a gateway yield. In larger clusters a single
# contradicting beacon may be the one that is wrong.
SMALL_CLUSTER_GATEWAY_COUNT = 4

# Seconds per gateway over which the gateways spread their verifications.
VERIFY_SPREAD_S = 0.1

# Mean number of gateways of a cluster that verify the beacon. In larger clusters one read is enough for the
# others.
MEAN_VERIFIER_COUNT = 40

# Number of consecutive beacons that a gateway creates without reading another's, after which its time is the
# cluster's.
CONFIRMING_BEACON_COUNT = 8


class Step(Enum):
    """Purpose of the call that is in flight or due next."""

    READ = auto()  # check whether there is a beacon and whether it agrees
    CREATE = auto()  # create a beacon
    WITHDRAW = auto()  # subtract the stamp that was added to another gateway's beacon
    VERIFY_PRESENT = auto()  # read just before the beacon's expected expiry
    VERIFY_EXPIRED = auto()  # read just after the beacon's expected expiry
    WATCH = auto()  # wait for the expiry of a contradicting beacon


def is_single_stamp(total: float) -> bool:
    """Return whether a beacon's total is one stamp, rather than a sum or difference of several."""
    return STAMP_BASE - 0.5 < total < STAMP_BASE + TIME_MODULUS_S + 0.5


def is_same_stamp(total: float, stamp: float) -> bool:
    """Return whether a beacon's total is this stamp, apart from rounding."""
    return abs(total - stamp) < RESOLUTION_S / 2


def wrap_difference(seconds: float) -> float:
    """Return a difference of two times modulo TIME_MODULUS_S, as the value nearest to 0."""
    return (seconds + TIME_MODULUS_S / 2) % TIME_MODULUS_S - TIME_MODULUS_S / 2


class ClusterClock:
    """The state machine of one gateway. Times are in seconds of the engine's clock.

    Attributes:
        gateway_count: Number of gateways in the cluster; the engine updates it when settings change.
        offset: Seconds by which the cluster's time is ahead of the engine's clock.
        next_call_at: Time at which `begin_call` is due.
        is_synchronizing: Whether this gateway is still finding out the cluster's time: it has not compared
            its own since the start, or knows that its own is another.
        is_confirmed: Whether this gateway's time is the cluster's.
    """

    def __init__(self, gateway_count: int, rng: random.Random) -> None:
        """Start with offset 0 and no call due. Random numbers are drawn from the caller's `rng`."""
        self.gateway_count = gateway_count
        self.rng = rng
        self.offset = 0.0
        self.next_call_at = math.inf
        self.is_confirmed = False
        self.is_synchronizing = False
        self._step = Step.READ
        self._is_call_in_flight = False
        # Stamp that the latest CREATE call added.
        self._sent_stamp = 0.0
        # Stamp of the beacon that this gateway created last; 0: none.
        self._created_stamp = 0.0
        # Beacons that this gateway created without reading another gateway's in between.
        self._consecutive_beacons = 0
        # Stamp of the beacon that is verified or watched, 0 for none, and the last time that it was read.
        self._observed_stamp = 0.0
        self._observed_at = 0.0
        self._watch_deadline = 0.0
        self._startup_ends_at = -math.inf
        self._contradiction_count = 0
        # Whether the counter did not answer. The next call then waits for an answer to another call, or for
        # a time that grows with the number of gateways.
        self._is_stalled = False

    def start(self, now: float) -> None:
        """Schedule a read of the beacon now. A single gateway needs no agreement and makes no call."""
        if self.gateway_count > 1:
            self.is_synchronizing = True
            self._startup_ends_at = now + STARTUP_S
            self._schedule(Step.READ, now)

    def begin_call(self, now: float) -> float:
        """Return the amount to add to the beacon now; the result of the call goes to `on_total`."""
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
        """Handle the beacon's total after the call in flight; `ok` is false if the counter did not answer."""
        if not self._is_call_in_flight:
            return  # a late answer to a call that has already ended
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
                self._schedule_after_collision(now)
            case Step.VERIFY_PRESENT:
                self._on_verify_present_total(now, total)
            case Step.VERIFY_EXPIRED:
                self._on_verify_expired_total(now, total)
            case Step.WATCH:
                self._on_watch_total(now, total)

    def on_counter_answer(self, now: float) -> None:
        """Repeat the step that failed, because the counter has answered another call."""
        if self._is_stalled and not self._is_call_in_flight:
            self._is_stalled = False
            self._schedule(self._step, now + self.rng.uniform(0.0, RETRY_SPREAD_S * self.gateway_count))

    def _schedule(self, step: Step, at: float) -> None:
        self._step = step
        self.next_call_at = at

    def _schedule_at_low_rate(self, step: Step, now: float) -> None:
        """Schedule the next call at a rate that, over all gateways, does not grow with their number."""
        self._schedule(step, now + BEACON_LIFETIME_S * self.gateway_count * self.rng.uniform(0.75, 1.25))

    def _schedule_after_collision(self, now: float) -> None:
        """Schedule a read after several gateways created a beacon at once: one stamp is left then.

        A gateway of a small cluster reads soon, because by its own time it could grant a quota a second time.
        The gateways of a larger one spread their reads and use their own times meanwhile.
        """
        if self.gateway_count <= SMALL_CLUSTER_GATEWAY_COUNT:
            self._schedule(Step.READ, now + self.rng.uniform(0.0, WATCH_INTERVAL_S))
            return
        self.is_synchronizing = False
        self._schedule(Step.READ, now + self.rng.uniform(0.0, BEACON_LIFETIME_S / 2))

    def _time_stamp(self, now: float) -> float:
        """Return the cluster's time as a stamp for a beacon."""
        return STAMP_BASE + round((now + self.offset) % TIME_MODULUS_S / RESOLUTION_S) * RESOLUTION_S

    def _age(self, now: float, stamp: float) -> float:
        """Return the seconds since a beacon was created, by this gateway's view of the cluster's time."""
        return wrap_difference(now + self.offset + STAMP_BASE - stamp)

    def _on_failure(self, now: float) -> None:
        """Schedule the next call after one without an answer.

        A watched beacon is checked again soon, because it may have expired meanwhile.
        """
        if self._step is Step.WATCH and now < self._watch_deadline:
            self._schedule(Step.WATCH, now + WATCH_INTERVAL_S)
            return
        self.is_synchronizing = False
        self._is_stalled = True
        if self._step is not Step.WITHDRAW:
            self._step = Step.READ
        self._schedule_at_low_rate(self._step, now)

    def _on_corrupt_beacon(self, now: float) -> None:
        """Schedule the next call after a corrupt beacon, one with a sum of stamps from unanswered calls.

        Such a beacon shows no time. While few gateways start, it mostly has a single stamp soon.
        """
        if self._step is Step.WATCH and now < self._watch_deadline:
            self._schedule(Step.WATCH, now + WATCH_INTERVAL_S)
            return
        is_small = self.gateway_count <= SMALL_CLUSTER_GATEWAY_COUNT
        if is_small and self.is_synchronizing and now < self._startup_ends_at:
            self._schedule_after_collision(now)
            return
        self.is_synchronizing = False
        self._schedule(Step.READ, now + self.rng.uniform(0.5, 1.0) * BEACON_LIFETIME_S)

    def _on_read_total(self, now: float, total: float) -> None:
        if total < EMPTY_TOTAL_MAX:
            self._schedule(Step.CREATE, now)
        elif is_same_stamp(total, self._created_stamp):
            self.is_synchronizing = False
            self._schedule(Step.READ, now + self.rng.uniform(0.5, 1.0) * BEACON_LIFETIME_S)
        elif -TOLERANCE_S <= self._age(now, total) <= BEACON_LIFETIME_S + TOLERANCE_S:
            self._consecutive_beacons = 0
            self._on_agreement(now, total)
        else:
            self._consecutive_beacons = 0
            self._on_contradiction(now, total)

    def _on_agreement(self, now: float, total: float) -> None:
        """Handle a beacon whose stamp agrees with this gateway's time, within the accuracy of one read.

        For a confirmed gateway one read is enough. Some of the others verify the beacon's expiry.
        """
        self.is_synchronizing = False
        is_first = self._observed_stamp == 0.0
        if not self.is_confirmed and is_first:
            self.is_confirmed = self.rng.random() * self.gateway_count >= MEAN_VERIFIER_COUNT
        if self.is_confirmed:
            self._schedule_at_low_rate(Step.READ, now)
            return
        self._observed_stamp = total
        if self.gateway_count > SMALL_CLUSTER_GATEWAY_COUNT and is_first:  # verify later, at a random time
            self._schedule(Step.READ, now + self.rng.uniform(0.0, VERIFY_SPREAD_S * self.gateway_count))
            return
        expires_at = now - self._age(now, total) + BEACON_LIFETIME_S
        self._schedule(Step.VERIFY_PRESENT, max(now, expires_at - TOLERANCE_S))

    def _on_verify_present_total(self, now: float, total: float) -> None:
        if not is_same_stamp(total, self._observed_stamp):
            self._on_contradiction(now, total)
            return
        self._observed_at = now
        expires_at = now - self._age(now, total) + BEACON_LIFETIME_S
        self._schedule(Step.VERIFY_EXPIRED, max(now, expires_at + TOLERANCE_S))

    def _on_verify_expired_total(self, now: float, total: float) -> None:
        if is_same_stamp(total, self._observed_stamp):
            self._on_contradiction(now, total)
            return
        self.is_confirmed = True
        self._contradiction_count = 0
        self._replace_expired_beacon(now, total)

    def _on_contradiction(self, now: float, total: float) -> None:
        """Handle a beacon that contradicts: this gateway's time or that of the beacon's creator is wrong."""
        self._contradiction_count += 1
        if self.is_confirmed:
            self._watch_for_expiry(now, total)
        elif total < EMPTY_TOTAL_MAX:
            self._schedule(Step.CREATE, now)
        elif self._contradiction_count < (1 if self.gateway_count <= SMALL_CLUSTER_GATEWAY_COUNT else 2):
            self.is_synchronizing = False
            self._schedule(Step.READ, now + BEACON_LIFETIME_S * self.rng.uniform(1.0, 1.5))
        else:
            self.is_synchronizing = True
            self._watch_for_expiry(now, total)

    def _watch_for_expiry(self, now: float, total: float) -> None:
        self._watch_deadline = now + WATCH_TIMEOUT_S
        self._record_presence(now, total)

    def _record_presence(self, now: float, total: float) -> None:
        """Record that a beacon is present, and check it again soon."""
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
        elif self.is_confirmed:  # this gateway's time is the cluster's, so the next beacon states it
            self._replace_expired_beacon(now, total)
        elif now - self._observed_at <= 2 * TOLERANCE_S:
            self._adopt_time_of_expiry(now)
        elif total < EMPTY_TOTAL_MAX:  # expired at an unknown time without answers
            self._schedule(Step.WATCH, now + WATCH_INTERVAL_S)
        else:
            self._record_presence(now, total)

    def _adopt_time_of_expiry(self, now: float) -> None:
        """Adopt the cluster's time, given that the watched beacon expired between the last two answers."""
        expired_at = (now + self._observed_at) / 2
        self.offset += wrap_difference(
            self._observed_stamp - STAMP_BASE + BEACON_LIFETIME_S - (expired_at + self.offset)
        )
        self.is_synchronizing = False
        self._contradiction_count = 0
        self._observed_stamp = 0.0
        # The next beacon confirms or contradicts this time.
        self._schedule(Step.READ, now + self.rng.uniform(0.3, 0.8))

    def _replace_expired_beacon(self, now: float, total: float) -> None:
        """Create the next beacon after one has expired, unless another gateway has already created it."""
        self._observed_stamp = 0.0
        if total < EMPTY_TOTAL_MAX:
            self._schedule(Step.CREATE, now)
        else:
            self._schedule_at_low_rate(Step.READ, now)

    def _on_create_total(self, now: float, total: float) -> None:
        if not is_same_stamp(total, self._sent_stamp):
            self._schedule(Step.WITHDRAW, now)  # another gateway created a beacon first
            return
        self.is_synchronizing = False
        self._created_stamp = self._sent_stamp
        self._consecutive_beacons += 1
        self.is_confirmed = self.is_confirmed or self._consecutive_beacons >= CONFIRMING_BEACON_COUNT
        if self.is_confirmed:
            self._schedule(Step.CREATE, now + BEACON_LIFETIME_S + RESOLUTION_S / 2)
        else:
            self._schedule(Step.READ, now + BEACON_LIFETIME_S + self.rng.uniform(0.2, 1.0))
