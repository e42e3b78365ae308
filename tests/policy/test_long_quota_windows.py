"""Quotas whose burst takes longer to refill than the counter keeps a name."""

import heapq

import pytest
from helpers import EngineHarness, actions_of, plan, settings

from api_gateway import interface as api

NAME_LIFE_S = 60.0  # for which the counter keeps a name at most, from its first call on
DURATION_S = 300.0


class ForgetfulCounts(dict):
    """The counter's totals; a name is forgotten when its time is up."""

    def __init__(self):
        super().__init__()
        self.now, self.ends = 0.0, []

    def advance(self, now):
        self.now = now
        while self.ends and self.ends[0][0] <= now:
            self.pop(heapq.heappop(self.ends)[1], None)

    def __setitem__(self, name, total):
        if name not in self:
            heapq.heappush(self.ends, (self.now + NAME_LIFE_S, name))
        super().__setitem__(name, total)


@pytest.mark.parametrize("gateways", [1, 2, 4])
@pytest.mark.parametrize(
    "burst, rate", [(30.0, 0.1), (24.0, 0.4), (60.0, 1.0)], ids=["300s", "60s", "60s-larger"]
)
def test_a_customer_that_presses_gets_its_burst_and_its_rate(burst, rate, gateways):
    """Each gateway gets a request in turn, 2 a second, for five minutes."""
    counts, passed = ForgetfulCounts(), 0
    fleet = [
        EngineHarness(settings(plans=[plan(rate=rate, burst=burst)]), seed=seed) for seed in range(gateways)
    ]
    started_at = fleet[0].now
    for turn in range(int(DURATION_S * 2)):
        counts.advance(started_at + turn / 2)
        world = fleet[turn % gateways]
        world.counts = counts
        world.advance(started_at + turn / 2 - world.now, step=0.1)
        for send in actions_of(world.request(spread=gateways)[1], api.SendAttempt):
            passed += 1
            world.end_attempt(send)
    quota = burst + rate * DURATION_S
    print(f"{passed} of {quota:.0f}")
    assert passed <= quota + 2 * gateways  # what each may admit before it asks, and one that is rounded
    assert passed >= 0.8 * quota
