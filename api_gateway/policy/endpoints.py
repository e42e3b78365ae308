"""The interface of the endpoint layer: it takes events and returns endpoints for attempts.

`EndpointPool` owns the table of endpoints, the estimates of load and capacity, the subset and the selector,
and applies the limits on attempts in flight. No request, timer or change of one endpoint iterates over all
endpoints.
"""

from __future__ import annotations

import math
import random
from typing import TypeVar

from api_gateway import interface as api
from api_gateway.policy.endpoint_load import LoadEstimates, ServingCapacity
from api_gateway.policy.endpoint_selection import EndpointSelector
from api_gateway.policy.endpoint_subset import EndpointSubset
from api_gateway.policy.endpoint_table import AttemptKey, EndpointState, EndpointTable
from api_gateway.policy.outlier_detection import HealthEstimator

# Maximum attempts in flight at one endpoint, from all gateways together.
MAX_IN_FLIGHT_PER_ENDPOINT = 4.0

# Fraction of that limit below which endpoints clearly have capacity left.
SPARE_CAPACITY_FRACTION = 0.6

# Factor by which one gateway may exceed an equal split of the total in-flight limit, if gateways are few.
IN_FLIGHT_SLACK = 2.0

# Number of gateways above which that slack decreases.
IN_FLIGHT_SLACK_GATEWAYS = 4.0

# Minimum seconds between two estimates of the serving capacity.
CAPACITY_INTERVAL_S = 0.1

# Number of endpoints that a gateway uses, as a multiple of the attempts in flight (at least one) that an
# equal split of the total limit allows it.
SUBSET_SIZE_FACTOR = 3.0

# Attempt results that are evidence on an endpoint's health.
HEALTH_RESULTS = ("connect_failed", "full", "error", "reset", "ok")

Sampled = TypeVar("Sampled")


class EndpointPool:
    """Connects the parts that handle endpoints. The engine owns the only instance. Times are in seconds.

    Attributes:
        table: The known endpoints and their state.
        load: Estimates of rates, latencies and pressure.
        capacity: Estimate of the serving capacity of the available endpoints.
        subset: The endpoints that this gateway uses.
        selector: Selects one endpoint for an attempt.
        health: Probability that each endpoint is failing.
    """

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        """Initialise with no endpoints. All random numbers come from `rng`, which belongs to the caller."""
        self.settings = settings
        self.health = HealthEstimator()
        self.table = EndpointTable(settings, rng, self.health)
        self.load = LoadEstimates(self.table)
        self.capacity = ServingCapacity(self.table, self.health)
        self.subset = EndpointSubset(self.table, self.health)
        self.selector = EndpointSelector(self.table, self.load, self.subset, self.health, rng)
        self._capacity_estimated_at = -math.inf
        self._in_flight_slack = 1.0
        self.on_settings_change(settings)

    @property
    def endpoints(self) -> dict[str, EndpointState]:
        """All known endpoints by id. This is the table's own dict, not a copy."""
        return self.table.endpoints

    @property
    def available(self) -> list[EndpointState]:
        """Available endpoints. This is the table's own list, not a copy."""
        return self.table.available

    @property
    def subset_endpoints(self) -> list[EndpointState]:
        """Endpoints that this gateway uses. This is the subset's own list, not a copy."""
        return self.subset.endpoints

    @property
    def in_flight(self) -> int:
        """Number of attempts of this gateway in flight."""
        return self.load.in_flight

    @property
    def mean_latency(self) -> dict[str, float]:
        """Mean latency by service class, in seconds."""
        return self.load.mean_latency

    @property
    def latency_deviation(self) -> dict[str, float]:
        """Mean deviation of the latency by service class, in seconds."""
        return self.load.latency_deviation

    @property
    def pressure(self) -> float:
        """Fraction of recent answers that came from congested endpoints."""
        return self.load.pressure

    @property
    def pressure_updated_at(self) -> float:
        """When an answer last updated the pressure."""
        return self.load.pressure_updated_at

    @property
    def wanted_view_size(self) -> int:
        """Size of the view to request from discovery, or 0 for no request. The engine resets it to 0."""
        return self.subset.wanted_view_size

    @wanted_view_size.setter
    def wanted_view_size(self, size: int) -> None:
        self.subset.wanted_view_size = size

    def on_settings_change(self, settings: api.Settings) -> None:
        """Apply changed settings to all parts."""
        self.settings = settings
        self.subset.on_settings_change()
        self.table.on_settings_change(settings)
        self.update_limits()
        self.load.on_settings_change(settings)

    def update_limits(self) -> None:
        """Compute this gateway's limits on attempts in flight from the number of gateways."""
        self.table.update_gateway_count()
        gateways = self.table.sharing_gateway_count
        self.selector.in_flight_limit = max(1.0, MAX_IN_FLIGHT_PER_ENDPOINT / gateways)
        slack_scale = min(1.0, math.sqrt(IN_FLIGHT_SLACK_GATEWAYS / gateways))
        self._in_flight_slack = 1.0 + (IN_FLIGHT_SLACK - 1.0) * slack_scale

    def on_list(self, now: float, event: api.EndpointList) -> None:
        """Apply a complete or incremental endpoint list."""
        self.table.apply_list(now, event)
        self.on_table_change(now)

    def on_override(self, now: float, event: api.EndpointOverride) -> None:
        """Apply an operator's override of an endpoint."""
        self.table.set_override(now, event)
        self.on_table_change(now)

    def on_clock_step(self, now: float, offset: float) -> None:
        """Adjust the start times of endpoints to a wall clock that may be off by `offset` seconds."""
        self.table.on_clock_step(now, offset)
        self.on_table_change(now)

    def on_table_change(self, now: float) -> None:
        """Update everything that is derived from the table."""
        self.update_limits()
        self.subset.on_table_change()
        self.load.on_table_change()
        self._capacity_estimated_at = -math.inf
        self.table.update_largest_weight()
        self.table.forget_departed(now)

    def sample(self, items: list[Sampled]) -> list[Sampled]:
        """Return the list itself, or a random sample of it if it is longer than `MAX_SAMPLE_SIZE`."""
        return self.table.sample(items)

    def warm_endpoints(self, now: float) -> list[EndpointState]:
        """Return available endpoints to use if the whole subset is at its limit, also outside the subset.

        An endpoint that is warming up is left to the gateways that have it in their subset, because its
        limited capacity is divided among them.
        """
        return self.table.warm_endpoints(now)

    def mean_load(self) -> float:
        """Return the mean number of requests in flight per endpoint, from all gateways."""
        return self.load.mean_load()

    def send_rate(self, now: float) -> float:
        """Return the attempts per second of this gateway."""
        return self.load.send_rate(now)

    def silence_threshold(self, class_name: str) -> float:
        """Return the seconds without an answer after which an attempt of a service class counts as silent."""
        return self.load.silence_threshold(class_name)

    def is_at_limit(self, now: float, keys: tuple[str, ...]) -> bool:
        """Return whether this gateway has reached its limit on attempts in flight.

        The limit per endpoint is not enough: many gateways with one attempt in flight at each endpoint would
        overload all endpoints. So the total of a gateway is limited too, in proportion to the serving
        capacity, because the work of endpoints that are warming up or failing falls to the others.
        """
        if now - self._capacity_estimated_at > CAPACITY_INTERVAL_S:
            self._capacity_estimated_at = now
            self._update_subset(now, keys)
        limit = (
            self._in_flight_slack
            * MAX_IN_FLIGHT_PER_ENDPOINT
            * self.capacity.full_capacity_endpoints
            / self.table.sharing_gateway_count
        )
        return self.load.in_flight >= max(2.0, limit)

    def _update_subset(self, now: float, keys: tuple[str, ...]) -> None:
        """Update the capacity estimate, and choose the subset and the view size by it."""
        self.table.forget_departed(now)
        chosen = self.choose_subset(keys, now, self.capacity.estimate(keys, now))
        # An equal list isn't replaced, because cached sums are valid as long as the list is the same object.
        if self.subset.endpoints is self.table.available or chosen != self.subset.endpoints:
            self.subset.endpoints = chosen
        if self.table.available_total:
            self.subset.update_view_size(self._needed_endpoints(), self.capacity.full_capacity_endpoints, now)

    def _needed_endpoints(self) -> float:
        """Return the number of full-capacity endpoints that a gateway uses."""
        total = self.table.available_total or len(self.table.available)
        return SUBSET_SIZE_FACTOR * max(1.0, MAX_IN_FLIGHT_PER_ENDPOINT * total / self.settings.gateway_count)

    def choose_subset(
        self, keys: tuple[str, ...], now: float, capacities: dict[str, float]
    ) -> list[EndpointState]:
        """Return the endpoints that this gateway is to use, given the known capacities by endpoint id."""
        return self.subset.choose(self._needed_endpoints(), keys, now, capacities)

    def choose(
        self, now: float, keys: tuple[str, ...], candidates: list[EndpointState] | None
    ) -> EndpointState | None:
        """Return an endpoint for an attempt, or None if no endpoint is eligible or the limit is reached.

        Args:
            now: Current time.
            keys: Levels at which an endpoint may fail the request.
            candidates: Endpoints to choose from, or None for any endpoint.
        """
        if self.is_at_limit(now, keys):
            return None
        return self.selector.choose(now, keys, candidates)

    def record_send(self, endpoint: EndpointState, key: AttemptKey, now: float) -> None:
        """Record an attempt as in flight at an endpoint; `key` is its request id and number."""
        endpoint.in_flight[key] = now
        endpoint.send_credit -= 1.0
        self.load.record_send(now)

    def record_end(self, endpoint_id: str, key: AttemptKey) -> None:
        """Record that an attempt is no longer in flight; do nothing if it wasn't in flight."""
        endpoint = self.table.endpoints.get(endpoint_id)
        if endpoint is not None and endpoint.in_flight.pop(key, None) is not None:
            self.load.in_flight -= 1

    def record_not_sent(self, endpoint_id: str, request_id: str) -> None:
        """Record that the attempt of a request at an endpoint was not begun; do nothing if there is none.

        A request has one attempt at an endpoint at most.
        """
        endpoint = self.table.endpoints.get(endpoint_id)
        if endpoint is None:
            return
        for key in [key for key in endpoint.in_flight if key[0] == request_id]:
            endpoint.send_credit += 1.0
            self.record_end(endpoint_id, key)

    def on_attempt_ended(
        self,
        now: float,
        event: api.AttemptEnded,
        service_class: api.ServiceClass | None,
        keys: tuple[str, ...],
    ) -> None:
        """Update health, load and latency estimates from the result of an attempt.

        Args:
            now: Current time.
            event: The result of the attempt.
            service_class: The service class of the request, or None if the request ended before the attempt.
            keys: Levels at which an endpoint may fail the request, starting with the endpoint as a whole.
        """
        endpoint = self.table.endpoints.get(event.endpoint_id)
        if endpoint is None:
            return  # a late answer of a removed endpoint is no evidence on the remaining ones
        result = event.result
        in_flight = len(endpoint.in_flight)
        is_congested = result == "timeout"
        self.record_end(event.endpoint_id, (event.request_id, event.attempt))
        if event.load_report:
            is_congested = self.load.record_report(now, endpoint, in_flight, event.load_report)
        if result in HEALTH_RESULTS:
            levels = keys[:1] if result == "connect_failed" else keys
            self.health.record(event.endpoint_id, levels, result != "ok", now)
        if event.load_report or result in ("ok", "timeout"):
            self.load.record_pressure(now, is_congested=is_congested)
        if result == "ok" and endpoint.slow_start_factor(now, self.settings.rules) == 1.0:
            self.load.record_warm_answer(now)
        if result == "ok" and service_class is not None:
            self.load.record_latency(endpoint, service_class.name, event.elapsed)
