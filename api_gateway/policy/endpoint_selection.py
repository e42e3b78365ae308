"""Selection of one endpoint for an attempt.

A few endpoints are drawn at random by weight, and the one with the lowest cost is selected. Selecting the
best of all endpoints by an outdated load report would send all gateways to the same endpoint.
"""

from __future__ import annotations

import itertools
import math
import random

from api_gateway.policy.endpoint_load import TIMER_RESOLUTION_S, WORKERS_PER_ENDPOINT, LoadEstimates
from api_gateway.policy.endpoint_subset import EndpointSubset
from api_gateway.policy.endpoint_table import MAX_SAMPLE_SIZE, EndpointState, EndpointTable
from api_gateway.policy.outlier_detection import HealthEstimator

# Number of endpoints compared for an attempt, as a multiple of endpoints per gateway.
COMPARED_ENDPOINTS_FACTOR = 4.0

# Random draws of an endpoint before all of them are compared instead.
DRAW_COUNT = 40

# Increase of relative latency that is accepted to save one unit of the cross-zone price.
CROSS_ZONE_WEIGHT = 10.0

# Seconds in which a load report loses half of its weight.
REPORT_HALF_LIFE_S = 1.0

# Fraction of an endpoint's allowed load that is used while it warms up. The rest is headroom for random
# variation and for bursts of other gateways.
WARMING_UP_SEND_FRACTION = 0.4


class EndpointSelector:
    """Selects endpoints for attempts. `EndpointPool` owns the only instance.

    Attributes:
        in_flight_limit: Maximum number of attempts of this gateway in flight at one endpoint.
    """

    def __init__(
        self,
        table: EndpointTable,
        load: LoadEstimates,
        subset: EndpointSubset,
        health: HealthEstimator,
        rng: random.Random,
    ) -> None:
        """Initialise with a limit of one attempt in flight.

        The parts that are passed in belong to the caller. All random numbers come from `rng`.
        """
        self.table = table
        self.load = load
        self.subset = subset
        self.health = health
        self.rng = rng
        self.in_flight_limit = 1.0

    def can_send_to(self, endpoint: EndpointState, now: float) -> bool:
        """Return whether an attempt may be sent to the endpoint now, and update its send credit."""
        if not endpoint.is_listed_up:
            return False
        if len(endpoint.in_flight) >= int(self.in_flight_limit + endpoint.rounding_offset):
            return False
        rules = self.table.settings.rules
        slow_start_factor = endpoint.slow_start_factor(now, rules)
        if slow_start_factor == 1.0:
            return True
        # An endpoint in slow start is overloaded if all gateways together send more than it can handle, so
        # each gateway accumulates send credit at a limited rate.
        answer_rate = self.load.answer_rate(endpoint, now, self.subset.endpoints)
        credit_rate = slow_start_factor * rules.overload_multiple * WARMING_UP_SEND_FRACTION * answer_rate
        credit = endpoint.send_credit + (now - endpoint.credit_updated_at) * credit_rate
        endpoint.send_credit = min(credit, max(1.0, credit_rate * rules.overload_window))
        endpoint.credit_updated_at = now
        return endpoint.send_credit >= 1.0

    def acceptance_probability(self, endpoint: EndpointState, keys: tuple[str, ...], now: float) -> float:
        """Return the probability, from 0 to 1, that an endpoint is compared once it has been drawn."""
        table = self.table
        relative_weight = (
            endpoint.entry.weight
            / table.largest_weight
            * endpoint.slow_start_factor(now, table.settings.rules)
        )
        return relative_weight * self.health.health_score(endpoint.entry.id, keys, now)

    def cost(self, endpoint: EndpointState, keys: tuple[str, ...], now: float) -> float:
        """Return the cost of an attempt: the expected relative latency, adjusted for health and zone.

        The expected latency depends on the endpoint's measured latency, its load and its weight.
        """
        settings = self.table.settings
        entry = endpoint.entry
        # Without a recent load report, the mean load of all endpoints is assumed.
        report_weight: float = 0.5 ** ((now - endpoint.load_reported_at) / REPORT_HALF_LIFE_S)
        others_load = (
            report_weight * endpoint.other_gateways_load + (1 - report_weight) * self.load.mean_load()
        )
        load = len(endpoint.in_flight) + others_load
        weight = max(entry.weight, 1e-9)  # without the slow-start factor: send credit limits slow start
        cross_zone = 0.0
        if entry.zone != settings.zone:
            cross_zone = settings.prices.get("cross_zone", 0.0) * CROSS_ZONE_WEIGHT
        health = max(0.01, self.health.health_score(entry.id, keys, now))
        return (
            max(0.3, endpoint.latency_ratio) * (1 + load / WORKERS_PER_ENDPOINT) / weight / health
            + cross_zone
        )

    def choose(
        self, now: float, keys: tuple[str, ...], candidates: list[EndpointState] | None
    ) -> EndpointState | None:
        """Return the endpoint with the lowest cost among some drawn by weight, or None if all are ineligible.

        The number compared is about the number of endpoints that this gateway has recent load reports for,
        and at least two.

        Args:
            now: Time in seconds.
            keys: Levels at which an endpoint may fail the request.
            candidates: Endpoints to choose from. None means the subset and, if no endpoint there is eligible,
                all warm endpoints.
        """
        considered = self.subset.endpoints if candidates is None else candidates
        compared_count = max(
            2, math.ceil(COMPARED_ENDPOINTS_FACTOR * len(considered) / self.table.settings.gateway_count)
        )
        if compared_count < len(considered) or len(considered) > MAX_SAMPLE_SIZE:
            considered = self._draw(considered, compared_count, keys, now) or self.table.sample(considered)
        eligible = [s for s in considered if self.can_send_to(s, now)]
        if not eligible and considered is not self.table.available and candidates is None:
            eligible = [s for s in self.table.warm_endpoints(now) if self.can_send_to(s, now)]
        return min(
            eligible,
            key=lambda s: self.cost(s, keys, now) + TIMER_RESOLUTION_S * self.rng.random(),
            default=None,
        )

    def _draw(
        self, endpoints: list[EndpointState], max_count: int, keys: tuple[str, ...], now: float
    ) -> list[EndpointState]:
        """Draw up to `max_count` eligible endpoints at random; one endpoint may be drawn more than once."""
        draw = self.rng.random
        drawn = (endpoints[int(draw() * len(endpoints))] for _ in range(DRAW_COUNT))
        accepted = (
            s
            for s in drawn
            if draw() < self.acceptance_probability(s, keys, now) and self.can_send_to(s, now)
        )
        return list(itertools.islice(accepted, max_count))
