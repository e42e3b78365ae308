"""Quotas whose burst takes longer to refill than the counter retains a name.

The counter then deletes the count of a window while the window lasts.
"""

import heapq

import pytest
from helpers import EngineHarness, actions_of, plan, settings

from api_gateway import interface as api

NAME_LIFETIME_S = 60.0  # longest time that the counter retains a name after its first call
DURATION_S = 300.0


class ExpiringCounts(dict):
    """The counter's totals by name; a name is deleted when its lifetime ends."""

    def __init__(self):
        super().__init__()
        self.now, self.expirations = 0.0, []

    def advance(self, now):
        self.now = now
        while self.expirations and self.expirations[0][0] <= now:
            self.pop(heapq.heappop(self.expirations)[1], None)

    def __setitem__(self, name, total):
        if name not in self:
            heapq.heappush(self.expirations, (self.now + NAME_LIFETIME_S, name))
        super().__setitem__(name, total)


@pytest.mark.parametrize("gateways", [1, 2, 4])
@pytest.mark.parametrize(
    "burst, rate", [(30.0, 0.1), (24.0, 0.4), (60.0, 1.0)], ids=["300s", "60s", "60s-larger"]
)
def test_a_customer_that_presses_gets_its_burst_and_its_rate(burst, rate, gateways):
    """The gateways take turns to get a request, 2 a second in total, for five minutes."""
    counts, admitted = ExpiringCounts(), 0
    cluster = [
        EngineHarness(settings(plans=[plan(rate=rate, burst=burst)]), seed=seed) for seed in range(gateways)
    ]
    started_at = cluster[0].now
    for turn in range(int(DURATION_S * 2)):
        counts.advance(started_at + turn / 2)
        harness = cluster[turn % gateways]
        harness.counts = counts
        harness.advance(started_at + turn / 2 - harness.now, step=0.1)
        for send in actions_of(harness.request(spread=gateways)[1], api.SendAttempt):
            admitted += 1
            harness.end_attempt(send)
    quota = burst + rate * DURATION_S
    print(f"{admitted} of {quota:.0f}")
    # Each admits an allowance before its first call, and a rounded unit.
    assert admitted <= quota + 2 * gateways
    assert admitted >= 0.8 * quota
