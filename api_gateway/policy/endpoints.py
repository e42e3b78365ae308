"""The endpoints as the layers above see them: events go in, endpoints for attempts come out.

`Fleet` owns the table of endpoints, the estimates of load and capacity, the subset and the selector, and
holds the limits on attempts in flight. No request, timer or change of one endpoint walks over all endpoints.
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

# Attempts in flight at one endpoint, over all gateways.
MAX_IN_FLIGHT_PER_ENDPOINT = 4.0

# Part of that below which endpoints clearly have capacity left.
SPARE_CAPACITY_FRACTION = 0.6

# Times its even part that one gateway may have in flight, where there are few gateways.
IN_FLIGHT_SLACK = 2.0

# Gateways above which that slack is less.
IN_FLIGHT_SLACK_GATEWAYS = 4.0

# Seconds between two estimates of the serving capacity.
CAPACITY_INTERVAL_S = 0.1

# Endpoints that a gateway uses, times those whose even part of attempts it may have in flight.
SUBSET_SIZE_FACTOR = 3.0

# Results that are evidence on an endpoint's health.
HEALTH_RESULTS = ("connect_failed", "full", "error", "reset", "ok")

Sampled = TypeVar("Sampled")


class EndpointPool:
    """Wires the parts that know the endpoints; the engine owns the only instance. Times are in seconds.

    Attributes:
        table: Which endpoints there are.
        load: Rates, latencies and pressure.
        capacity: What the endpoints can do.
        subset: Which of them this gateway uses.
        selector: The choice of one.
        health: How likely each endpoint fails.
    """

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        """Begin with no endpoint. All draws come from `rng`, which stays the caller's."""
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
        """All known endpoints by id; the table's own map."""
        return self.table.endpoints

    @property
    def available(self) -> list[EndpointState]:
        """Available endpoints; the table's own list."""
        return self.table.available

    @property
    def subset_endpoints(self) -> list[EndpointState]:
        """Endpoints that this gateway uses; the subset's own list."""
        return self.subset.endpoints

    @property
    def in_flight(self) -> int:
        """Attempts of this gateway in flight."""
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
        """Part of the latest answers that came from congested endpoints."""
        return self.load.pressure

    @property
    def pressure_updated_at(self) -> float:
        """When an answer last changed the pressure."""
        return self.load.pressure_updated_at

    @property
    def wanted_view_size(self) -> int:
        """Endpoints of the view that discovery is to be asked for; 0: none. The engine sets it back."""
        return self.subset.wanted_view_size

    @wanted_view_size.setter
    def wanted_view_size(self, size: int) -> None:
        self.subset.wanted_view_size = size

    def on_settings_change(self, settings: api.Settings) -> None:
        """Take changed settings."""
        self.settings = settings
        self.subset.on_settings_change()
        self.table.on_settings_change(settings)
        self.update_limits()
        self.load.on_settings_change(settings)

    def update_limits(self) -> None:
        """Work out which part of the limits on attempts in flight is this gateway's."""
        self.table.update_gateway_count()
        gateways = self.table.sharing_gateway_count
        self.selector.in_flight_limit = max(1.0, MAX_IN_FLIGHT_PER_ENDPOINT / gateways)
        slack_scale = min(1.0, math.sqrt(IN_FLIGHT_SLACK_GATEWAYS / gateways))
        self._in_flight_slack = 1.0 + (IN_FLIGHT_SLACK - 1.0) * slack_scale

    def on_list(self, now: float, event: api.EndpointList) -> None:
        """Take a list of endpoints or a change of it."""
        self.table.apply_list(now, event)
        self.on_table_change(now)

    def on_override(self, now: float, event: api.EndpointOverride) -> None:
        """Take an operator's override of an endpoint."""
        self.table.set_override(now, event)
        self.on_table_change(now)

    def on_clock_step(self, now: float, offset: float) -> None:
        """Allow for a wall clock that may be off by `offset` seconds in when endpoints started."""
        self.table.on_clock_step(now, offset)
        self.on_table_change(now)

    def on_table_change(self, now: float) -> None:
        """Bring up to date what depends on the table."""
        self.update_limits()
        self.subset.on_table_change()
        self.load.on_table_change()
        self._capacity_estimated_at = -math.inf
        self.table.update_largest_weight()
        self.table.forget_departed(now)

    def sample(self, items: list[Sampled]) -> list[Sampled]:
        """Return the list itself, or a random sample of it if it is long."""
        return self.table.sample(items)

    def warm_endpoints(self, now: float) -> list[EndpointState]:
        """Return endpoints for when the subset is taken, those of other gateways included.

        One that is warming up is left to the gateways whose subset it is in: what it bears is shared out
        among these.
        """
        return self.table.warm_endpoints(now)

    def mean_load(self) -> float:
        """Return the mean of requests in flight at an endpoint, from all gateways."""
        return self.load.mean_load()

    def send_rate(self, now: float) -> float:
        """Return this gateway's attempts a second."""
        return self.load.send_rate(now)

    def silence_threshold(self, class_name: str) -> float:
        """Return the seconds after which an attempt of a service class counts as silent."""
        return self.load.silence_threshold(class_name)

    def is_at_limit(self, now: float, keys: tuple[str, ...]) -> bool:
        """Return whether this gateway may have no further attempt in flight.

        Many gateways with one in flight at each endpoint overload all, so what one has in flight in all is
        limited too: by the endpoints that can do the work, since those that warm up or fail leave it to
        the rest.
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
        """Estimate the capacity anew and choose the subset by it."""
        self.table.forget_departed(now)
        chosen = self.choose_subset(keys, now, self.capacity.estimate(keys, now))
        # An equal list isn't replaced: sums over it stay valid as long as it is the same object.
        if self.subset.endpoints is self.table.available or chosen != self.subset.endpoints:
            self.subset.endpoints = chosen
        if self.table.available_total:
            self.subset.update_view(self._needed_endpoints(), self.capacity.full_capacity_endpoints, now)

    def _needed_endpoints(self) -> float:
        """Return the endpoints of full capacity that a gateway uses."""
        total = self.table.available_total or len(self.table.available)
        return SUBSET_SIZE_FACTOR * max(1.0, MAX_IN_FLIGHT_PER_ENDPOINT * total / self.settings.gateway_count)

    def choose_subset(
        self, keys: tuple[str, ...], now: float, capacities: dict[str, float]
    ) -> list[EndpointState]:
        """Return the endpoints that this gateway is to use, by the capacities that are known."""
        return self.subset.choose(self._needed_endpoints(), keys, now, capacities)

    def choose(
        self, now: float, keys: tuple[str, ...], candidates: list[EndpointState] | None
    ) -> EndpointState | None:
        """Return an endpoint for an attempt, or None if none may get one.

        Args:
            now: Time.
            keys: Levels at which an endpoint may fail the request.
            candidates: Endpoints to choose from; None: any.
        """
        if self.is_at_limit(now, keys):
            return None
        return self.selector.choose(now, keys, candidates)

    def record_send(self, endpoint: EndpointState, key: AttemptKey, now: float) -> None:
        """Note an attempt as in flight at an endpoint; `key` is its request and number."""
        endpoint.in_flight[key] = now
        endpoint.send_credit -= 1.0
        self.load.record_send(now)

    def record_end(self, endpoint_id: str, key: AttemptKey) -> None:
        """Note that an attempt is no longer in flight; nothing happens if it wasn't."""
        endpoint = self.table.endpoints.get(endpoint_id)
        if endpoint is not None and endpoint.in_flight.pop(key, None) is not None:
            self.load.in_flight -= 1

    def on_attempt_ended(
        self,
        now: float,
        event: api.AttemptEnded,
        service_class: api.ServiceClass | None,
        keys: tuple[str, ...],
    ) -> None:
        """Learn from the end of an attempt.

        Args:
            now: Time.
            event: How it ended.
            service_class: That of the request; None if the request has ended before.
            keys: Levels at which an endpoint may fail the request, the whole endpoint first.
        """
        endpoint = self.table.endpoints.get(event.endpoint_id)
        if endpoint is None:
            return  # a late answer of an endpoint that is forgotten says nothing of those that are here
        result = event.result
        in_flight = len(endpoint.in_flight)
        is_congested = result == "timeout"
        self.record_end(event.endpoint_id, (event.request_id, event.attempt))
        if event.load_report:
            is_congested = self.load.record_report(now, endpoint, in_flight, event.load_report)
        if result in HEALTH_RESULTS:
            level = keys[:1] if result == "connect_failed" else keys
            self.health.record(event.endpoint_id, level, result != "ok", now)
        if event.load_report or result in ("ok", "timeout"):
            self.load.record_pressure(now, is_congested=is_congested)
        if result == "ok" and endpoint.slow_start_factor(now, self.settings.rules) == 1.0:
            self.load.record_warm_answer(now)
        if result == "ok" and service_class is not None:
            self.load.record_latency(endpoint, service_class.name, event.elapsed)
