"""The choice of one endpoint for an attempt.

Some endpoints are drawn by weight and the best of these is taken: the best of all by an old load report
would be the same endpoint for all gateways.
"""

from __future__ import annotations

import itertools
import math
import random

from api_gateway.policy.endpoint_load import TIMER_RESOLUTION_S, WORKERS_PER_ENDPOINT, LoadEstimates
from api_gateway.policy.endpoint_subset import EndpointSubset
from api_gateway.policy.endpoint_table import MAX_SAMPLE_SIZE, EndpointState, EndpointTable
from api_gateway.policy.outlier_detection import HealthEstimator

# Endpoints compared, times endpoints over gateways.
COMPARED_ENDPOINTS_FACTOR = 4.0

# Draws of an endpoint before all are compared.
DRAW_COUNT = 40

# Relative latency accepted to save one unit of the cross-zone price.
CROSS_ZONE_WEIGHT = 10.0

# Seconds after which a load report counts half as much.
REPORT_HALF_LIFE_S = 1.0

# Part of what an endpoint bears by the rules while it warms up; the rest is for chance and others' bursts.
WARMING_UP_SEND_FRACTION = 0.4


class EndpointSelector:
    """Chooses endpoints; `Fleet` owns the only instance.

    Attributes:
        in_flight_limit: Attempts that this gateway may have in flight at one endpoint.
    """

    def __init__(
        self,
        table: EndpointTable,
        load: LoadEstimates,
        subset: EndpointSubset,
        health: HealthEstimator,
        rng: random.Random,
    ) -> None:
        """Begin with a limit of one. What is passed in stays its owner's; draws come from `rng`."""
        self.table = table
        self.load = load
        self.subset = subset
        self.health = health
        self.rng = rng
        self.in_flight_limit = 1.0

    def can_send_to(self, endpoint: EndpointState, now: float) -> bool:
        """Return whether an attempt may go to the endpoint now."""
        if not endpoint.is_listed_up:
            return False
        if len(endpoint.in_flight) >= int(self.in_flight_limit + endpoint.rounding_offset):
            return False
        rules = self.table.settings.rules
        slow_start_factor = endpoint.slow_start_factor(now, rules)
        if slow_start_factor == 1.0:
            return True
        # It falls over when all gateways together send more than it bears: credit is saved up.
        answer_rate = self.load.answer_rate(endpoint, now, self.subset.endpoints)
        rate = slow_start_factor * rules.overload_multiple * WARMING_UP_SEND_FRACTION * answer_rate
        credit = endpoint.send_credit + (now - endpoint.credit_updated_at) * rate
        endpoint.send_credit = min(credit, max(1.0, rate * rules.overload_window))
        endpoint.credit_updated_at = now
        return endpoint.send_credit >= 1.0

    def acceptance_probability(self, endpoint: EndpointState, keys: tuple[str, ...], now: float) -> float:
        """Return the chance, from 0 to 1, with which a drawn endpoint is compared."""
        table = self.table
        size = (
            endpoint.entry.weight
            / table.largest_weight
            * endpoint.slow_start_factor(now, table.settings.rules)
        )
        return size * self.health.health_score(endpoint.entry.id, keys, now)

    def cost(self, endpoint: EndpointState, keys: tuple[str, ...], now: float) -> float:
        """Return the cost of an attempt there: relative latency by load, weight, health and zone."""
        settings = self.table.settings
        entry = endpoint.entry
        # Without a load report it counts as busy as the rest.
        report_weight: float = 0.5 ** ((now - endpoint.load_reported_at) / REPORT_HALF_LIFE_S)
        others_load = (
            report_weight * endpoint.other_gateways_load + (1 - report_weight) * self.load.mean_load()
        )
        load = len(endpoint.in_flight) + others_load
        size = max(entry.weight, 1e-9)  # what one gets while it warms up is limited by its credit
        cross_zone = 0.0
        if entry.zone != settings.zone:
            cross_zone = settings.prices.get("cross_zone", 0.0) * CROSS_ZONE_WEIGHT
        sound = max(0.01, self.health.health_score(entry.id, keys, now))
        return (
            max(0.3, endpoint.latency_ratio) * (1 + load / WORKERS_PER_ENDPOINT) / size / sound + cross_zone
        )

    def choose(
        self, now: float, keys: tuple[str, ...], candidates: list[EndpointState] | None
    ) -> EndpointState | None:
        """Return the best of some endpoints drawn by weight, or None if none of them may get an attempt.

        As many are compared as this gateway has fresh load reports for, two at least.

        Args:
            now: Time in seconds.
            keys: Levels at which an endpoint may fail the request.
            candidates: Endpoints to choose from; None: the subset, and if all of it is taken, all warm ones.
        """
        pool = self.subset.endpoints if candidates is None else candidates
        compared = max(
            2, math.ceil(COMPARED_ENDPOINTS_FACTOR * len(pool) / self.table.settings.gateway_count)
        )
        if compared < len(pool) or len(pool) > MAX_SAMPLE_SIZE:
            pool = self._draw(pool, compared, keys, now) or self.table.sample(pool)
        able = [s for s in pool if self.can_send_to(s, now)]
        if not able and pool is not self.table.available and candidates is None:
            able = [s for s in self.table.warm_endpoints(now) if self.can_send_to(s, now)]
        return min(
            able,
            key=lambda s: self.cost(s, keys, now) + TIMER_RESOLUTION_S * self.rng.random(),
            default=None,
        )

    def _draw(
        self, pool: list[EndpointState], compared: int, keys: tuple[str, ...], now: float
    ) -> list[EndpointState]:
        """Draw up to `compared` endpoints that may get an attempt; one may be drawn twice."""
        draw = self.rng.random
        drawn = (pool[int(draw() * len(pool))] for _ in range(DRAW_COUNT))
        fit = (
            s
            for s in drawn
            if draw() < self.acceptance_probability(s, keys, now) and self.can_send_to(s, now)
        )
        return list(itertools.islice(fit, compared))
