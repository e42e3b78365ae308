"""Gateways that serve nobody: on a calm day and in a release at most one in ten may turn away all that it
gets (15 requests or more) for 4 s on end, with no attempt in between.

Played as in policy/test_slow_start.py.
"""

import pytest
from test_slow_start import START, Play

from api_gateway import interface as api

SPAN, LEAST = 4.0, 15  # s, requests
CALM = dict(load=0.9, hosts=24)  # the burst of half as much again on 0.6
ROLL = dict(
    load=0.6,
    hosts=24,
    cold=tuple((3.0 + n, 2) for n in range(6)),
    restarts=tuple((3.2 + n / 2, 3) for n in range(10)),
)


class Counted(Play):
    """`blind`: gateways that are told of no host."""

    def __init__(self, seed, blind=0, **more):
        self.blind, self.log = blind, {}
        super().__init__(seed, **more)

    def begin(self, n):
        machines = self.machines
        if n < self.blind:
            self.machines = {}
        super().begin(n)
        self.machines = machines

    def tell(self, gateway, event):
        if gateway in self.gateways and isinstance(event, api.Request):
            self.log.setdefault(self.gateways.index(gateway), []).append((self.now, "asked"))
        super().tell(gateway, event)

    def send(self, gateway, send):
        if gateway in self.gateways:
            self.log.setdefault(self.gateways.index(gateway), []).append((self.now, "sent"))
        super().send(gateway, send)

    def serve_nobody(self):
        """How many gateways had such a time, an earlier life of theirs among them."""
        return sum(map(turns_all_away, self.log.values()))


def turns_all_away(log):
    since, asked = START, 0
    for at, what in log:
        if what == "sent":
            since, asked = at, 0
        else:
            asked += 1
            if asked >= LEAST and at - since >= SPAN:
                return True
    return False


@pytest.mark.parametrize("day", [CALM, ROLL], ids=["calm", "roll"])
@pytest.mark.parametrize("gateways", [20, 30])
def test_no_gateway_turns_away_all_that_it_gets(day, gateways):
    played = Counted(5 + gateways, gateways=gateways, **day)
    played.run()
    assert played.served > 0.8 * played.asked and len(played.log) == gateways
    assert played.serve_nobody() == 0  # one in ten may


def test_the_count_finds_gateways_that_serve_nobody():
    played = Counted(3, blind=3, **CALM)
    played.run()
    assert played.serve_nobody() == 3
