"""Estimates of load and of serving capacity: rates, latencies, pressure, and what the endpoints can do.

Times are in seconds of the module's clock, rates are a second.
"""

from __future__ import annotations

import math

from api_gateway import interface as api
from api_gateway.policy.customer_accounts import FAST_MEAN_GAIN, MEAN_GAIN
from api_gateway.policy.endpoint_table import EndpointState, EndpointTable
from api_gateway.policy.outlier_detection import HealthEstimator

# Seconds; shortest delay of a check on queued requests and hedges, far below any latency objective.
TIMER_RESOLUTION_S = 0.02

# Mean deviations above the mean latency after which an attempt counts as silent.
SILENT_AFTER_DEVIATIONS = 4.0

# Answers that a class's first mean and deviation stand for: one answer alone tells no deviation.
PRIOR_ANSWERS = 4

# Requests in flight at an endpoint above which it holds more than it works on well.
CONGESTED_LOAD = 5.0

# Part of answers from congested endpoints above which load is shed.
SHEDDING_PRESSURE = 0.5

# Seconds over which that part is taken.
PRESSURE_TIME_CONSTANT_S = 1.5

# Requests that an endpoint works on at once, when nothing tells more.
WORKERS_PER_ENDPOINT = 2.0

# Seconds over which rates of sends and answers are taken.
RATE_TIME_CONSTANT_S = 3.0


class LoadEstimates:
    """Estimates load from this gateway's sends and from how its attempts end.

    Attributes:
        in_flight: Attempts of this gateway in flight.
        mean_reported_load: Mean of the requests in flight that load reports tell.
        has_reports: Whether any load report has come.
        pressure: Part of the latest answers that came from congested endpoints.
        pressure_updated_at: When an answer last changed the pressure.
        mean_latency: Mean latency in seconds, by service class.
        latency_deviation: Mean deviation of it in seconds, by service class.
    """

    def __init__(self, table: EndpointTable) -> None:
        """Begin without any send or answer. The table stays its owner's."""
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
        """Take changed settings: a new class has no history, a removed one keeps its own meanwhile."""
        self._all_warm_subset = None
        for service_class in settings.classes.values():
            name = service_class.name
            if name not in self.mean_latency:
                prior = min(service_class.latency_objective / 5, service_class.deadline)
                self.mean_latency[name] = prior
                self.latency_deviation[name] = prior
                self._answer_counts[name] = PRIOR_ANSWERS

    def on_table_change(self) -> None:
        """Drop what was summed up over the endpoints."""
        self._all_warm_subset = None

    def mean_load(self) -> float:
        """Return the mean of requests in flight at an endpoint, from all gateways."""
        if self.has_reports:
            return self.mean_reported_load
        return self.in_flight * self.table.sharing_gateway_count / max(1, len(self.table.available))

    def send_rate(self, now: float) -> float:
        """Return this gateway's attempts a second."""
        return self._send_rate * math.exp((self._send_rate_updated_at - now) / RATE_TIME_CONSTANT_S)

    def answer_rate(self, endpoint: EndpointState, now: float, subset: list[EndpointState]) -> float:
        """Return what a warm endpoint of this weight answers for this gateway, a second.

        Sends would count what fails as well, and a mean over all endpoints would count those warming up,
        which then stay idle because they are.

        Args:
            endpoint: The endpoint whose weight counts.
            now: Time.
            subset: The endpoints that this gateway uses; the same list as before if it hasn't changed.
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
        """Return the seconds after which an attempt of a service class counts as silent."""
        mean = self.mean_latency[class_name]
        return max(TIMER_RESOLUTION_S, mean + SILENT_AFTER_DEVIATIONS * self.latency_deviation[class_name])

    def record_send(self, now: float) -> None:
        """Count an attempt of this gateway."""
        self.in_flight += 1
        self._send_rate = self.send_rate(now) + 1.0 / RATE_TIME_CONSTANT_S
        self._send_rate_updated_at = now

    def record_report(
        self, now: float, endpoint: EndpointState, in_flight: int, report: dict[str, float]
    ) -> bool:
        """Take a load report, and return whether the endpoint is congested.

        Args:
            now: Time.
            endpoint: The endpoint that reports.
            in_flight: Attempts of this gateway there, of which the answered one is one.
            report: Its fields, as far as the endpoint gives them.
        """
        waiting = report.get("queue", 0.0)
        utilization = report.get("util", 0.0)
        load = report.get("inflight", waiting + WORKERS_PER_ENDPOINT * utilization)
        endpoint.other_gateways_load = max(0.0, load - in_flight)
        endpoint.load_reported_at = now
        self.mean_reported_load += (FAST_MEAN_GAIN if self.has_reports else 1.0) * (
            load - self.mean_reported_load
        )
        self.has_reports = True
        return load > CONGESTED_LOAD

    def record_pressure(self, now: float, *, is_congested: bool) -> None:
        """Take an answer, or its lack, as evidence on how many endpoints are congested."""
        gain = max(
            FAST_MEAN_GAIN / 2, 1 - math.exp((self.pressure_updated_at - now) / PRESSURE_TIME_CONSTANT_S)
        )
        self.pressure += min(gain, 0.5) * (is_congested - self.pressure)
        self.pressure_updated_at = now

    def record_warm_answer(self, now: float) -> None:
        """Count an answer of an endpoint that slow start doesn't hold back."""
        faded = self._warm_answer_rate * math.exp(
            (self._warm_answer_rate_updated_at - now) / RATE_TIME_CONSTANT_S
        )
        self._warm_answer_rate = faded + 1.0 / RATE_TIME_CONSTANT_S
        self._warm_answer_rate_updated_at = now

    def record_latency(self, endpoint: EndpointState, class_name: str, elapsed: float) -> None:
        """Take the latency of an answer, in seconds, into the means of its endpoint and its class."""
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
    """Estimates how many endpoints of full capacity all the available ones stand for.

    Attributes:
        full_capacity_endpoints: That number, as of the last estimate.
    """

    def __init__(self, table: EndpointTable, health: HealthEstimator) -> None:
        """Begin with no capacity. Table and health stay their owner's."""
        self.table = table
        self.health = health
        self.full_capacity_endpoints = 0.0

    def estimate(self, keys: tuple[str, ...], now: float) -> dict[str, float]:
        """Update `full_capacity_endpoints`, and return the known parts of full capacity by endpoint id.

        Each endpoint counts as a usual one, less what those lack that are warming up or doubted.

        Args:
            keys: Levels at which an endpoint may fail the request, as `HealthEstimator` has them.
            now: Time.
        """
        table = self.table
        rules = table.settings.rules
        usual = self.health.health_score("", keys, now)
        known = list(self.health.estimates)
        sample = table.sample(known)
        warming_up = table.sample(list(table.warming_up.values()))
        here = [
            x for x in sample if x in table.endpoints and x not in table.departed and x not in table.ejected
        ]
        capacities = {
            x: sound * table.warming_up[x].slow_start_factor(now, rules) if x in table.warming_up else sound
            for x, sound in zip(here, self.health.health_scores(here, keys, now), strict=True)
        }
        doubted = (sum(capacities.values()) - usual * len(capacities)) * (len(known) / max(1, len(sample)))
        warmths = {s.entry.id: s.slow_start_factor(now, rules) for s in warming_up}
        lacking = sum(x * usual - usual for name, x in warmths.items() if name not in self.health.estimates)
        unsampled = len(table.warming_up) / max(1, len(warming_up))
        self.full_capacity_endpoints = usual * len(table.available) + doubted + lacking * unsampled
        for endpoint_id in [name for name, x in warmths.items() if x == 1.0]:
            del table.warming_up[endpoint_id]
        return capacities
