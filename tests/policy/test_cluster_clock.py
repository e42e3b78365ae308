"""Gateways with different clocks agree on one time by a counter that forgets names after their life."""

import random

import pytest

from api_gateway.policy.cluster_clock import BEACON_LIFETIME_S, ClusterClock, wrap_difference

HOUR = 3600.0
TICK = 0.01  # s of virtual time


class Beacon:
    """The counter's number: forgotten a fixed time after it was made."""

    def __init__(self):
        self.total, self.ends, self.calls = 0.0, 0.0, 0

    def add(self, now, amount):
        self.calls += 1
        if now >= self.ends:
            self.total, self.ends = 0.0, now + BEACON_LIFETIME_S
        self.total = round(self.total + amount, 1)
        return self.total


class Fleet:
    def __init__(self, seed, clocks, starts=None):
        self.rng, self.now, self.beacon = random.Random(seed), 0.0, Beacon()
        self.members = []
        for clock, start in zip(clocks, starts or [0.0] * len(clocks), strict=True):
            self.members.append([ClusterClock(len(clocks), random.Random(self.rng.random())), clock, start])
        self.down = lambda now: False

    def run(self, until):
        while self.now < until:
            self.now += TICK
            for member in self.members:
                time, clock, start = member
                if start is not None and self.now >= start:
                    time.start(self.now + clock)
                    member[2] = None
                while time.next_call_at <= self.now + clock:
                    amount = time.begin_call(self.now + clock)
                    ok = not self.down(self.now)
                    total = self.beacon.add(self.now, amount) if ok else 0.0
                    time.on_total(self.now + clock, ok, total)
                if not self.down(self.now) and self.rng.random() < 2 * TICK:  # a lease is asked for
                    time.on_counter_answer(self.now + clock)

    def spread(self):
        """The largest difference of two gateways' times."""
        times = [self.now + clock + time.offset for time, clock, _ in self.members]
        return max(abs(wrap_difference(a - times[0])) for a in times)


def clocks_of(count, wrong, off, rng):
    clocks = [rng.uniform(-0.05, 0.05) for _ in range(count)]
    for at in rng.sample(range(count), wrong):
        clocks[at] += off
    return clocks


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("off", [-HOUR, -2.0, 0.5, 3.0, HOUR, 40_000.0])
@pytest.mark.parametrize("count, wrong", [(2, 1), (3, 1), (5, 2), (30, 1)])
def test_all_have_one_time_soon_however_far_the_clocks_of_some_are_off(count, wrong, off, seed):
    rng = random.Random(seed)
    fleet = Fleet(seed, clocks_of(count, wrong, off, rng), [rng.uniform(0, 1.0) for _ in range(count)])
    fleet.run(30.0 + 2 * count)
    assert fleet.spread() <= 0.6
    assert not any(time.is_synchronizing for time, _, _ in fleet.members)


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("off", [-HOUR, -2.0, 3.0, HOUR])
def test_one_that_starts_with_a_wrong_clock_yields_to_those_that_run(off, seed):
    rng = random.Random(seed)
    count = 2 + seed
    fleet = Fleet(seed, clocks_of(count, 0, 0.0, rng), [0.0] * (count - 1) + [60.0])
    fleet.members[-1][1] += off
    fleet.run(59.0)
    before = [time.offset for time, _, _ in fleet.members[:-1]]
    fleet.run(61.0 + 4 * BEACON_LIFETIME_S)
    assert [time.offset for time, _, _ in fleet.members[:-1]] == before
    assert fleet.spread() <= 0.6


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("count", [2, 10, 60])
def test_with_right_clocks_nobody_moves_and_few_calls_are_made(count, seed):
    rng = random.Random(seed)
    fleet = Fleet(seed, clocks_of(count, 0, 0.0, rng), [rng.uniform(0, 0.5) for _ in range(count)])
    fleet.run(60.0)
    settled = fleet.beacon.calls
    assert settled <= 8 * count + 40
    assert all(time.offset == 0.0 for time, _, _ in fleet.members)
    fleet.run(260.0)
    assert fleet.beacon.calls - settled <= 200 * 1.0  # a call a second, over the whole fleet


@pytest.mark.parametrize("seed", range(4))
def test_a_counter_that_is_away_now_and_then_delays_and_does_not_mislead(seed):
    rng = random.Random(seed)
    fleet = Fleet(seed, clocks_of(4, 1, HOUR, rng))
    fleet.down = lambda now: now % 10 < 3
    fleet.run(120.0)
    assert fleet.spread() <= 0.6


def test_a_single_gateway_makes_no_calls():
    fleet = Fleet(1, [HOUR])
    fleet.run(20.0)
    assert fleet.beacon.calls == 0


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize("count", [2, 3, 6])
def test_one_that_starts_wrong_after_the_beacon_has_gone_yields_all_the_same(count, seed):
    """The beacons' maker has died, and nobody has made another: the one that starts makes a wrong one."""
    rng = random.Random(seed)
    fleet = Fleet(seed, clocks_of(count, 0, 0.0, rng), [0.0] * (count - 1) + [66.0 + rng.uniform(0, 1.0)])
    fleet.members[-1][1] += HOUR
    fleet.run(60.0)
    for member in fleet.members[:-1]:  # the beacon's maker stops for a while, the rest look seldom
        member[0].next_call_at = max(member[0].next_call_at, 67.2 + rng.uniform(0, 4.0))
    before = [time.offset for time, _, _ in fleet.members[:-1]]
    fleet.run(140.0)
    assert [time.offset for time, _, _ in fleet.members[:-1]] == before
    assert fleet.spread() <= 0.6


@pytest.mark.parametrize("seed", range(4))
def test_a_counter_that_turns_all_calls_away_before_the_run_is_not_called_again_until_it_answers(seed):
    rng = random.Random(seed)
    fleet = Fleet(seed, clocks_of(60, 0, 0.0, rng))
    fleet.down, calls = (lambda now: now < 10.0), []
    call = ClusterClock.begin_call
    for time, _, _ in fleet.members:
        time.begin_call = lambda now, time=time: (calls.append(0), call(time, now))[1]
    fleet.run(9.0)
    assert len(calls) == 60
    fleet.run(60.0)
    assert all(time.is_confirmed for time, _, _ in fleet.members)
    assert fleet.beacon.calls <= 60 * (1 + 2) + 60  # a look for each and two to verify, and a call a second


def play_with_losses(seed, count, seconds):
    """Right clocks, answers lost, calls that a silent counter makes up for later, gateways that start again.
    Returns the seconds for which gateways had another time, and how long they sought the fleet's."""
    rng = random.Random(seed)
    fleet, owed, restart, wrong, seeking = Fleet(seed, clocks_of(count, 0, 0.0, rng)), [], 60.0, 0.0, 0.0
    while fleet.now < seconds:
        fleet.now += TICK
        silent = fleet.now % 200 > 190
        while owed and not silent:
            fleet.beacon.add(fleet.now, owed.pop(0))
        if fleet.now > restart:
            restart += rng.uniform(30.0, 90.0)
            member = fleet.members[rng.randrange(count)]
            member[0] = ClusterClock(count, random.Random(rng.random()))
            member[2] = fleet.now + rng.uniform(0.5, 3.0)
        for member in fleet.members:
            time, clock, start = member
            if start is not None and fleet.now >= start:
                time.start(fleet.now + clock)
                member[2] = None
            while time.next_call_at <= fleet.now + clock:
                amount = time.begin_call(fleet.now + clock)
                if silent:
                    owed.append(amount)
                    time.on_total(fleet.now + clock, False, 0.0)
                else:
                    total = fleet.beacon.add(fleet.now, amount)
                    time.on_total(fleet.now + clock, rng.random() >= 0.05, total)
            if not silent and rng.random() < 10 * TICK:
                time.on_counter_answer(fleet.now + clock)
            wrong += TICK * (abs(time.offset) > 0.5)
            seeking += TICK * time.is_synchronizing
    return wrong, seeking


@pytest.mark.parametrize("seed", range(4))
def test_lost_answers_and_calls_made_up_for_later_mislead_nobody_for_long(seed):
    wrong, seeking = play_with_losses(seed, 4, 600.0)
    assert wrong < 20.0 and seeking < 30.0  # of 2,400
