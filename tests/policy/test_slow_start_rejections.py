"""Tests that no gateway rejects all its requests for a long time, in steady state and during a rollout.

At most one gateway in ten may receive 15 requests or more over 4 s and send no attempt in that time.
The tests use the simulation of policy/test_slow_start.py.
"""

import pytest
from test_slow_start import START, Simulation

from api_gateway import interface as api

SPAN_S, MIN_REQUESTS = 4.0, 15
CALM_SCENARIO = dict(load=0.9, hosts=24)  # a burst of 1.5 times the usual load of 0.6
ROLLOUT_SCENARIO = dict(
    load=0.6,
    hosts=24,
    endpoint_restarts=tuple((3.0 + index, 2) for index in range(6)),
    gateway_restarts=tuple((3.2 + index / 2, 3) for index in range(10)),
)


class CountingSimulation(Simulation):
    """A simulation that records requests and attempts by gateway.

    The first `gateways_without_endpoints` gateways start with an empty endpoint list.
    """

    def __init__(self, seed, gateways_without_endpoints=0, **options):
        self.gateways_without_endpoints, self.events_by_gateway = gateways_without_endpoints, {}
        super().__init__(seed, **options)

    def start_gateway(self, index):
        endpoints = self.endpoints
        if index < self.gateways_without_endpoints:
            self.endpoints = {}
        super().start_gateway(index)
        self.endpoints = endpoints

    def deliver(self, gateway, event):
        if gateway in self.gateways and isinstance(event, api.Request):
            self.events_by_gateway.setdefault(self.gateways.index(gateway), []).append((self.now, "request"))
        super().deliver(gateway, event)

    def send_attempt(self, gateway, send):
        if gateway in self.gateways:
            self.events_by_gateway.setdefault(self.gateways.index(gateway), []).append((self.now, "sent"))
        super().send_attempt(gateway, send)

    def count_rejecting_gateways(self):
        """Return the number of gateways that rejected everything for `SPAN_S`, including before a restart."""
        return sum(map(rejects_everything, self.events_by_gateway.values()))


def rejects_everything(events):
    last_sent_at, request_count = START, 0
    for at, kind in events:
        if kind == "sent":
            last_sent_at, request_count = at, 0
        else:
            request_count += 1
            if request_count >= MIN_REQUESTS and at - last_sent_at >= SPAN_S:
                return True
    return False


@pytest.mark.parametrize("scenario", [CALM_SCENARIO, ROLLOUT_SCENARIO], ids=["calm", "roll"])
@pytest.mark.parametrize("gateways", [20, 30])
def test_no_gateway_rejects_all_its_requests(scenario, gateways):
    simulation = CountingSimulation(5 + gateways, gateways=gateways, **scenario)
    simulation.run()
    assert (
        simulation.served_count > 0.8 * simulation.request_count
        and len(simulation.events_by_gateway) == gateways
    )
    assert simulation.count_rejecting_gateways() == 0  # stricter than the allowed one in ten


def test_count_detects_gateways_that_reject_everything():
    simulation = CountingSimulation(3, gateways_without_endpoints=3, **CALM_SCENARIO)
    simulation.run()
    assert simulation.count_rejecting_gateways() == 3
