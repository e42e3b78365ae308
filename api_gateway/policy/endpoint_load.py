"""Estimates of load (rates, latencies, pressure) and of the serving capacity of the endpoints.

Times are in seconds of the engine's clock, rates are per second.
"""

from __future__ import annotations

import math

from api_gateway import interface as api
from api_gateway.policy.customer_accounts import FAST_MEAN_GAIN, MEAN_GAIN
from api_gateway.policy.endpoint_table import EndpointState, EndpointTable
from api_gateway.policy.outlier_detection import HealthEstimator

# Shortest delay in seconds of a check on queued and hedged requests, far below any latency objective.
TIMER_RESOLUTION_S = 0.02

# An attempt counts as silent after the mean latency plus this many mean deviations.
SILENT_AFTER_DEVIATIONS = 4.0

# Number of answers that the initial mean and deviation of a service class count for, because a single answer
# gives no deviation.
PRIOR_ANSWERS = 4

# An endpoint with more requests in flight than this is congested: it has accepted more than it handles well.
CONGESTED_LOAD = 5.0

# Fraction of answers from congested endpoints above which load is shed.
SHEDDING_PRESSURE = 0.5

# Time constant in seconds of the moving average of that fraction.
PRESSURE_TIME_CONSTANT_S = 1.5

# Requests that an endpoint is assumed to process concurrently, unless a load report gives more detail.
WORKERS_PER_ENDPOINT = 2.0

# Time constant in seconds of the moving averages of send and answer rates.
RATE_TIME_CONSTANT_S = 3.0


class LoadEstimates:
    """Estimates load from the attempts that this gateway sends and from their results.

    Attributes:
        in_flight: Number of attempts of this gateway in flight.
        mean_reported_load: Mean number of requests in flight per endpoint according to load reports.
        has_reports: Whether any load report has arrived.
        pressure: Fraction of recent answers that came from congested endpoints.
        pressure_updated_at: When an answer last updated the pressure.
        mean_latency: Mean latency in seconds, by service class.
        latency_deviation: Mean deviation of the latency in seconds, by service class.
    """

    def __init__(self, table: EndpointTable) -> None:
        """Initialise without any attempt or answer. `table` belongs to the caller."""
        self.table = table
        self.in_flight = 0
        self.mean_reported_load = 0.0
        self.has_reports = False
        self.pressure = 0.0
        self.pressure_updated_at = 0.0
        self.mean_latency: dict[str, float] = {}
        self.latency_deviation: dict[str, float] = {}
        self._answer_counts: dict[str, int] = {}
        self._send_rate = 0.0
        self._send_rate_updated_at = 0.0
        self._warm_answer_rate = 0.0
        self._warm_answer_rate_updated_at = 0.0
        self._warm_weight = 0.0
        self._warm_weight_updated_at = -math.inf
        self._all_warm_subset: list[EndpointState] | None = None

    def on_settings_change(self, settings: api.Settings) -> None:
        """Add estimates for new service classes; a removed class keeps its history in case it returns."""
        self._all_warm_subset = None
        for service_class in settings.classes.values():
            name = service_class.name
            if name not in self.mean_latency:
                prior = min(service_class.latency_objective / 5, service_class.deadline)
                self.mean_latency[name] = prior
                self.latency_deviation[name] = prior
                self._answer_counts[name] = PRIOR_ANSWERS

    def on_table_change(self) -> None:
        """Discard cached sums over the endpoints."""
        self._all_warm_subset = None

    def mean_load(self) -> float:
        """Return the mean number of requests in flight per endpoint, from all gateways."""
        if self.has_reports:
            return self.mean_reported_load
        return self.in_flight * self.table.sharing_gateway_count / max(1, len(self.table.available))

    def send_rate(self, now: float) -> float:
        """Return the attempts per second of this gateway."""
        return self._send_rate * math.exp((self._send_rate_updated_at - now) / RATE_TIME_CONSTANT_S)

    def answer_rate(self, endpoint: EndpointState, now: float, subset: list[EndpointState]) -> float:
        """Return the answers per second that this gateway gets from a warm endpoint of this weight.

        A rate of sent attempts would include those that fail. A mean over all endpoints would include those
        that are warming up, and their low answer rate would then keep them idle.

        Args:
            endpoint: The endpoint whose weight is used.
            now: Current time.
            subset: The endpoints that this gateway uses; the same list object as before if it hasn't changed.
        """
        if now - self._warm_weight_updated_at > TIMER_RESOLUTION_S:
            self._warm_weight_updated_at = now
            if subset is not self._all_warm_subset:
                self._sum_warm_weight(now, subset)
        if self._warm_weight > 0:
            rate = self._warm_answer_rate * math.exp(
                (self._warm_answer_rate_updated_at - now) / RATE_TIME_CONSTANT_S
            )
            return rate * endpoint.entry.weight / self._warm_weight
        return self.send_rate(now) / max(1, len(subset))

    def _sum_warm_weight(self, now: float, subset: list[EndpointState]) -> None:
        rules = self.table.settings.rules
        sample = self.table.sample(subset)
        warm = [s.entry.weight for s in sample if s.slow_start_factor(now, rules) == 1.0]
        self._warm_weight = sum(warm) * (len(subset) / max(1, len(sample)))
        self._all_warm_subset = subset if len(warm) == len(sample) else None

    def silence_threshold(self, class_name: str) -> float:
        """Return the seconds without an answer after which an attempt of a service class counts as silent."""
        mean = self.mean_latency[class_name]
        return max(TIMER_RESOLUTION_S, mean + SILENT_AFTER_DEVIATIONS * self.latency_deviation[class_name])

    def record_send(self, now: float) -> None:
        """Record that this gateway sends an attempt."""
        self.in_flight += 1
        self._send_rate = self.send_rate(now) + 1.0 / RATE_TIME_CONSTANT_S
        self._send_rate_updated_at = now

    def record_report(
        self, now: float, endpoint: EndpointState, in_flight: int, report: dict[str, float]
    ) -> bool:
        """Record a load report, and return whether the endpoint is congested.

        Args:
            now: Current time.
            endpoint: The endpoint that sent the report.
            in_flight: Attempts of this gateway in flight there, including the answered one.
            report: The fields of the report; any of them may be missing.
        """
        queue_length = report.get("queue", 0.0)
        utilization = report.get("util", 0.0)
        load = report.get("inflight", queue_length + WORKERS_PER_ENDPOINT * utilization)
        endpoint.other_gateways_load = max(0.0, load - in_flight)
        endpoint.load_reported_at = now
        self.mean_reported_load += (FAST_MEAN_GAIN if self.has_reports else 1.0) * (
            load - self.mean_reported_load
        )
        self.has_reports = True
        return load > CONGESTED_LOAD

    def record_pressure(self, now: float, *, is_congested: bool) -> None:
        """Update the pressure with an answer or a timeout."""
        gain = max(
            FAST_MEAN_GAIN / 2, 1 - math.exp((self.pressure_updated_at - now) / PRESSURE_TIME_CONSTANT_S)
        )
        self.pressure += min(gain, 0.5) * (is_congested - self.pressure)
        self.pressure_updated_at = now

    def record_warm_answer(self, now: float) -> None:
        """Record an answer of an endpoint that slow start doesn't limit."""
        decayed_rate = self._warm_answer_rate * math.exp(
            (self._warm_answer_rate_updated_at - now) / RATE_TIME_CONSTANT_S
        )
        self._warm_answer_rate = decayed_rate + 1.0 / RATE_TIME_CONSTANT_S
        self._warm_answer_rate_updated_at = now

    def record_latency(self, endpoint: EndpointState, class_name: str, elapsed: float) -> None:
        """Update the mean latencies of an endpoint and a service class by an answer's latency in seconds."""
        mean = self.mean_latency[class_name]
        endpoint.latency_ratio += FAST_MEAN_GAIN * (
            min(elapsed / max(mean, 1e-6), 10.0) - endpoint.latency_ratio
        )
        self._answer_counts[class_name] += 1
        gain = max(1 / self._answer_counts[class_name], MEAN_GAIN)
        difference = elapsed - mean
        self.mean_latency[class_name] += gain * difference
        deviation = self.latency_deviation[class_name]
        self.latency_deviation[class_name] += gain * (abs(difference) * (1 - gain) - deviation)


class ServingCapacity:
    """Estimates the serving capacity of the available endpoints.

    Attributes:
        full_capacity_endpoints: The last estimate, as the equivalent number of full-capacity endpoints.
    """

    def __init__(self, table: EndpointTable, health: HealthEstimator) -> None:
        """Initialise with no capacity. `table` and `health` belong to the caller."""
        self.table = table
        self.health = health
        self.full_capacity_endpoints = 0.0

    def estimate(self, keys: tuple[str, ...], now: float) -> dict[str, float]:
        """Update `full_capacity_endpoints`, and return known capacities as fractions of full capacity, by id.

        Each available endpoint is counted with the mean health. The sum is then corrected for endpoints with
        evidence of their own and for those that are warming up.

        Args:
            keys: Levels at which an endpoint may fail the request, as in `HealthEstimator`.
            now: Current time.
        """
        table = self.table
        rules = table.settings.rules
        mean_health = self.health.health_score("", keys, now)
        known_ids = list(self.health.estimates)
        sampled_ids = table.sample(known_ids)
        warming_up = table.sample(list(table.warming_up.values()))
        present_ids = [
            sampled_id
            for sampled_id in sampled_ids
            if sampled_id in table.endpoints
            and sampled_id not in table.departed
            and sampled_id not in table.ejected
        ]
        capacities = {
            sampled_id: health * table.warming_up[sampled_id].slow_start_factor(now, rules)
            if sampled_id in table.warming_up
            else health
            for sampled_id, health in zip(
                present_ids, self.health.health_scores(present_ids, keys, now), strict=True
            )
        }
        evidence_adjustment = (sum(capacities.values()) - mean_health * len(capacities)) * (
            len(known_ids) / max(1, len(sampled_ids))
        )
        slow_start_factors = {s.entry.id: s.slow_start_factor(now, rules) for s in warming_up}
        slow_start_adjustment = sum(
            factor * mean_health - mean_health
            for warming_id, factor in slow_start_factors.items()
            if warming_id not in self.health.estimates
        )
        sampling_factor = len(table.warming_up) / max(1, len(warming_up))
        self.full_capacity_endpoints = (
            mean_health * len(table.available) + evidence_adjustment + slow_start_adjustment * sampling_factor
        )
        for endpoint_id in [warming_id for warming_id, factor in slow_start_factors.items() if factor == 1.0]:
            del table.warming_up[endpoint_id]
        return capacities
