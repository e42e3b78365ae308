"""One time for all gateways of a fleet, by the counter service, where their wall clocks disagree.

Windows of quotas are named by time, so gateways whose clocks differ would count one customer under two
names. The counter is what all of them share, and it forgets a name a fixed time after the name was made: that
moment is the same for all who watch it. The gateways keep one name there, the beacon, which holds the fleet's
time of its own making. Whoever reads it knows within LIFETIME what time the fleet has; whoever looks just
before and just after the beacon is due to be forgotten knows it within TOLERANCE.

- A gateway whose clock agrees is confirmed, and from then on yields to nobody: its clock is monotonic.
- One that is not confirmed and finds another time watches for the beacon's end and takes the fleet's time.
- A confirmed gateway that made the beacon makes the next one, so that those that start mostly find one.
- A confirmed gateway that finds another time watches for that beacon's end, too, and makes the next one.

The state machine has no I/O: `call` says what to add to the beacon, `counted` takes what came of it.
"""

from __future__ import annotations

import math
import random
from enum import Enum, auto

from api_gateway.policy.customer_accounts import stable_hash

BEACON = stable_hash("fleet time")  # name of the number at the counter
LIFETIME = 4.0  # s after which the counter forgets a beacon
CYCLE = 90_000.0  # s; times are told modulo this, so that a beacon has tenths of a second in its seven digits
RESOLUTION = 0.1  # s in which a beacon tells its time
BASE = 100_000.0  # added to each time: two stamps in one beacon, or one taken off it, cannot pass for a time
TOLERANCE = 0.2  # s by which gateways may differ
POLL_INTERVAL = 0.1  # s between two looks for the end of a beacon
RETRY_EACH = 0.02  # s for each gateway, over which they look once the counter answers again
PATIENCE = 2 * LIFETIME + 1.0  # s for which a gateway watches for an end before it gives up
FEW = 4  # gateways, up to which one contradiction is enough to yield: of more, a single one may be wrong
VERIFY_EACH = 0.1  # s for each gateway, over which their verifications are spread
VERIFIERS = 40  # gateways of a fleet, on average, that look closer: of more, one look is enough for the rest
ALONE = 8  # beacons in a row of its own that a gateway finds no other between: then it is the fleet


class Step(Enum):
    """What the call that is out, or is due next, is for."""

    READ = auto()  # whether there is a beacon, and whether it agrees
    CREATE = auto()  # a beacon of this gateway's own
    WITHDRAW = auto()  # takes back what was added to another's beacon
    VERIFY_ALIVE = auto()  # just before the beacon's end by this gateway's clock
    VERIFY_GONE = auto()  # just after it
    WATCH = auto()  # for the end of a beacon that contradicts


def is_time(total: float) -> bool:
    """Whether a beacon's total is one stamp, and not a sum or a difference of several."""
    return BASE - 0.5 < total < BASE + CYCLE + 0.5


def wrapped(seconds: float) -> float:
    """The same difference of two times modulo CYCLE, nearest to 0."""
    return (seconds + CYCLE / 2) % CYCLE - CYCLE / 2


class FleetTime:
    """`offset`: seconds by which the fleet's time is ahead of the module's clock; `due`: when call() is next.

    `synchronizing`: this gateway knows that it has another time than the fleet, and not yet which.
    """

    def __init__(self, gateways: int, rng: random.Random) -> None:
        self.gateways, self.rng = gateways, rng
        self.offset, self.due = 0.0, math.inf
        self.confirmed = self.synchronizing = False
        self.step, self.waiting = Step.READ, False
        self.stamp = 0.0  # what the call that is out adds
        self.own = 0.0  # the beacon that this gateway made last; 0: none
        self.made_alone = 0  # beacons that it made without seeing another's
        self.seen, self.seen_at = (
            0.0,
            0.0,
        )  # the beacon that is verified or watched; when it was last there
        self.watch_ends = 0.0  # when watching is given up
        self.contradictions = 0
        self.stalled = False  # the counter did not answer: nothing more is asked until it answers others

    def start(self, now: float) -> None:
        """From here on, at once. Of a single gateway there is nothing to agree on."""
        if self.gateways > 1:
            self.plan(Step.READ, now)

    def plan(self, step: Step, at: float) -> None:
        self.step, self.due = step, at

    def call(self, now: float) -> float:
        """The amount to add to the beacon now; its answer goes to counted()."""
        self.due, self.waiting = math.inf, True
        if self.step is Step.CREATE:
            self.stamp = self.time_stamp(now)
        return {Step.CREATE: self.stamp, Step.WITHDRAW: -self.stamp}.get(self.step, 0.0)

    def time_stamp(self, now: float) -> float:
        """The fleet's time as a beacon tells it."""
        return BASE + round((now + self.offset) % CYCLE / RESOLUTION) * RESOLUTION

    def age(self, now: float, stamp: float) -> float:
        """Seconds since a beacon was made, by this gateway's idea of the fleet's time."""
        return wrapped(now + self.offset + BASE - stamp)

    def counted(self, now: float, ok: bool, total: float) -> None:
        """What came of the call that was out."""
        if not self.waiting:
            return  # a late word of a call that was given up
        self.waiting = False
        if not ok:
            self.failed(now)
            return
        looks = self.step not in (Step.CREATE, Step.WITHDRAW)
        if looks and total >= 0.5 and not is_time(total) or total < -0.5:
            self.spoilt(now)
            return
        match self.step:
            case Step.READ:
                self.read(now, total)
            case Step.CREATE:
                self.created(now, total)
            case Step.WITHDRAW:
                self.plan(Step.READ, now + self.rng.uniform(0.0, LIFETIME / 2))
            case Step.VERIFY_ALIVE:
                self.verify_alive(now, total)
            case Step.VERIFY_GONE:
                self.verify_gone(now, total)
            case Step.WATCH:
                self.watch(now, total)

    def failed(self, now: float) -> None:
        """The counter did not answer: a beacon that was watched may have ended meanwhile."""
        if self.step is Step.WATCH and now < self.watch_ends:
            self.plan(Step.WATCH, now + POLL_INTERVAL)
            return
        self.synchronizing, self.stalled = False, True
        if self.step is not Step.WITHDRAW:
            self.step = Step.READ
        self.rest_until(now, self.step)

    def spoilt(self, now: float) -> None:
        """The beacon holds what calls without answers have added, as after an outage: it says nothing."""
        if self.step is Step.WATCH and now < self.watch_ends:
            self.plan(Step.WATCH, now + POLL_INTERVAL)
            return
        self.synchronizing = False
        self.plan(Step.READ, now + self.rng.uniform(0.5, 1.0) * LIFETIME)

    def counter_answers(self, now: float) -> None:
        """Another call was answered: what failed may be tried again."""
        if self.stalled and not self.waiting:
            self.stalled = False
            self.plan(self.step, now + self.rng.uniform(0.0, RETRY_EACH * self.gateways))

    def is_same(self, total: float, stamp: float) -> bool:
        return abs(total - stamp) < RESOLUTION / 2

    def read(self, now: float, total: float) -> None:
        if total < 0.5:
            self.plan(Step.CREATE, now)
        elif self.is_same(total, self.own):
            self.plan(Step.READ, now + self.rng.uniform(0.5, 1.0) * LIFETIME)
        elif -TOLERANCE <= self.age(now, total) <= LIFETIME + TOLERANCE:
            self.made_alone = 0
            self.agrees(now, total)
        else:
            self.made_alone = 0
            self.contradicts(now, total)

    def agrees(self, now: float, total: float) -> None:
        """As far as one look tells. A confirmed gateway needs no other; of the rest some look closer."""
        if not self.confirmed and self.seen == 0.0:
            self.confirmed = self.rng.random() * self.gateways >= VERIFIERS
        if self.confirmed:
            self.rest(now)
            return
        if self.gateways > FEW and self.seen == 0.0:  # later, each at a moment of its own
            self.seen = total
            self.plan(Step.READ, now + self.rng.uniform(0.0, VERIFY_EACH * self.gateways))
            return
        self.seen = total
        end = now - self.age(now, total) + LIFETIME
        self.plan(Step.VERIFY_ALIVE, max(now, end - TOLERANCE))

    def verify_alive(self, now: float, total: float) -> None:
        if not self.is_same(total, self.seen):
            self.contradicts(now, total)
            return
        self.seen_at = now
        end = now - self.age(now, total) + LIFETIME
        self.plan(Step.VERIFY_GONE, max(now, end + TOLERANCE))

    def verify_gone(self, now: float, total: float) -> None:
        if self.is_same(total, self.seen):
            self.contradicts(now, total)
            return
        self.confirmed, self.contradictions = True, 0
        self.follow(now, total)

    def contradicts(self, now: float, total: float) -> None:
        """This gateway has another time than the fleet, or the beacon's maker has."""
        self.contradictions += 1
        if self.confirmed:
            self.watch_for_end(now, total)
        elif total < 0.5:
            self.plan(Step.CREATE, now)
        elif self.contradictions < (1 if self.gateways <= FEW else 2):
            self.plan(Step.READ, now + LIFETIME * self.rng.uniform(1.0, 1.5))
        else:
            self.synchronizing = True
            self.watch_for_end(now, total)

    def watch_for_end(self, now: float, total: float) -> None:
        self.watch_ends = now + PATIENCE
        self.seen, self.seen_at = total, now
        self.plan(Step.WATCH, now + POLL_INTERVAL)

    def watch(self, now: float, total: float) -> None:
        if self.is_same(total, self.seen) and now < self.watch_ends:
            self.seen_at = now
            self.plan(Step.WATCH, now + POLL_INTERVAL)
        elif self.is_same(total, self.seen):
            self.synchronizing = False
            self.rest(now)
        elif self.confirmed:  # its own time is the fleet's: the next beacon tells it
            self.follow(now, total)
        elif now - self.seen_at > 2 * TOLERANCE:  # the end was somewhere in a time without answers
            if total < 0.5:
                self.plan(Step.WATCH, now + POLL_INTERVAL)
            else:
                self.seen, self.seen_at = total, now
                self.plan(Step.WATCH, now + POLL_INTERVAL)
        else:
            ended = (now + self.seen_at) / 2
            self.offset += wrapped(self.seen - BASE + LIFETIME - (ended + self.offset))
            self.synchronizing, self.contradictions, self.seen = False, 0, 0.0
            self.plan(Step.READ, now + self.rng.uniform(0.3, 0.8))  # the next beacon confirms it, or does not

    def follow(self, now: float, total: float) -> None:
        """What comes after the end of a beacon: the next one, which another may have made already."""
        self.seen = 0.0
        if total < 0.5:
            self.plan(Step.CREATE, now)
        else:
            self.rest(now)

    def created(self, now: float, total: float) -> None:
        if not self.is_same(total, self.stamp):
            self.plan(Step.WITHDRAW, now)  # another was first
            return
        self.own, self.made_alone = self.stamp, self.made_alone + 1
        self.confirmed = self.confirmed or self.made_alone >= ALONE
        if self.confirmed:
            self.plan(Step.CREATE, now + LIFETIME + RESOLUTION / 2)
        else:
            self.plan(Step.READ, now + LIFETIME + self.rng.uniform(0.2, 1.0))

    def rest(self, now: float) -> None:
        """A beacon is there, and this gateway agrees or has to wait for another to yield."""
        self.rest_until(now, Step.READ)

    def rest_until(self, now: float, step: Step) -> None:
        """The next look, at a rate that does not grow with the fleet."""
        self.plan(step, now + LIFETIME * self.gateways * self.rng.uniform(0.75, 1.25))
