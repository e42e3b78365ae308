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
from api_gateway.policy.endpoint_table import MAX_SAMPLE, EndpointState, EndpointTable
from api_gateway.policy.outlier_detection import HealthEstimator

# Endpoints compared, times endpoints over gateways.
CHOICES = 4.0

# Draws of an endpoint before all are compared.
DRAWS = 40

# Relative latency accepted to save one unit of the cross-zone price.
CROSS_ZONE_WEIGHT = 10.0

# Seconds after which a load report counts half as much.
REPORT_HALF_LIFE_S = 1.0

# Part of what an endpoint bears by the rules while it warms up; the rest is for chance and others' bursts.
WARMING_UP_PART = 0.4


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

    def may_send(self, endpoint: EndpointState, now: float) -> bool:
        """Return whether an attempt may go to the endpoint now."""
        if not endpoint.is_listed_up:
            return False
        if len(endpoint.in_flight) >= int(self.in_flight_limit + endpoint.limit_rounding):
            return False
        rules = self.table.settings.rules
        warmth = endpoint.warmth(now, rules)
        if warmth == 1.0:
            return True
        # It falls over when all gateways together send more than it bears: credit is saved up.
        answer_rate = self.load.answer_rate(endpoint, now, self.subset.endpoints)
        rate = warmth * rules.overload_multiple * WARMING_UP_PART * answer_rate
        credit = endpoint.send_credit + (now - endpoint.credit_updated_at) * rate
        endpoint.send_credit = min(credit, max(1.0, rate * rules.overload_window))
        endpoint.credit_updated_at = now
        return endpoint.send_credit >= 1.0

    def weight(self, endpoint: EndpointState, keys: tuple[str, ...], now: float) -> float:
        """Return the chance, from 0 to 1, with which a drawn endpoint is compared."""
        table = self.table
        size = endpoint.endpoint.weight / table.largest_weight * endpoint.warmth(now, table.settings.rules)
        return size * self.health.health(endpoint.endpoint.id, keys, now)

    def score(self, endpoint: EndpointState, keys: tuple[str, ...], now: float) -> float:
        """Return the cost of an attempt there: relative latency by load, weight, health and zone."""
        settings = self.table.settings
        host = endpoint.endpoint
        # Without a load report it counts as busy as the rest.
        fresh: float = 0.5 ** ((now - endpoint.load_reported_at) / REPORT_HALF_LIFE_S)
        others = fresh * endpoint.load_of_others + (1 - fresh) * self.load.mean_load()
        load = len(endpoint.in_flight) + others
        size = max(host.weight, 1e-9)  # what one gets while it warms up is limited by its credit
        cross_zone = 0.0
        if host.zone != settings.zone:
            cross_zone = settings.prices.get("cross_zone", 0.0) * CROSS_ZONE_WEIGHT
        sound = max(0.01, self.health.health(host.id, keys, now))
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
        few = max(2, math.ceil(CHOICES * len(pool) / self.table.settings.gateway_count))
        if few < len(pool) or len(pool) > MAX_SAMPLE:
            pool = self._draw(pool, few, keys, now) or self.table.sample(pool)
        able = [s for s in pool if self.may_send(s, now)]
        if not able and pool is not self.table.available and candidates is None:
            able = [s for s in self.table.warm_endpoints(now) if self.may_send(s, now)]
        return min(
            able,
            key=lambda s: self.score(s, keys, now) + TIMER_RESOLUTION_S * self.rng.random(),
            default=None,
        )

    def _draw(
        self, pool: list[EndpointState], few: int, keys: tuple[str, ...], now: float
    ) -> list[EndpointState]:
        """Draw up to `few` endpoints that may get an attempt; one may be drawn twice."""
        draw = self.rng.random
        drawn = (pool[int(draw() * len(pool))] for _ in range(DRAWS))
        fit = (s for s in drawn if draw() < self.weight(s, keys, now) and self.may_send(s, now))
        return list(itertools.islice(fit, few))
