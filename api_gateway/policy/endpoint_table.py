"""The table of endpoints: which are known, available, warming up, ejected or departed.

The table is updated incrementally, so a change of one endpoint never iterates over all of them. A list may be
a view, which holds only some of the available endpoints. The engine then acts as one of
`EndpointTable.sharing_gateway_count` gateways that share the endpoints of the view.
"""

from __future__ import annotations

import bisect
import itertools
import math
import random
from typing import TypeAlias, TypeVar

from api_gateway import interface as api
from api_gateway.policy.customer_accounts import stable_hash
from api_gateway.policy.outlier_detection import HealthEstimator
from api_gateway.policy.slow_start import StartTimes, later_start

# Maximum number of endpoints examined for a selection or a sum. Of a longer list, a random sample of this
# size is used.
MAX_SAMPLE_SIZE = 512

# If a list names more than one in this many available endpoints, the sorted lists are rebuilt, which is then
# faster than single insertions.
BULK_DIVISOR = 16

# Seconds for which a departed endpoint is retained, because an endpoint may be missing from a list only
# briefly.
DEPARTED_RETENTION_S = 60.0

# Departed endpoints that may be retained at the same time: this number or the number of available endpoints,
# whichever is larger.
MIN_DEPARTED_RETAINED = 64

Sampled = TypeVar("Sampled")

# Request id and number of an attempt. A plain tuple, because one is created for each attempt.
AttemptKey: TypeAlias = tuple[str, int]


class EndpointState:
    """State of one incarnation of an endpoint at this gateway. Times are seconds of the engine's clock."""

    def __init__(self, entry: api.Endpoint, now: float, send_credit: float, started_at: float) -> None:
        """Initialise the state of a newly listed or restarted endpoint.

        Args:
            entry: The endpoint's entry in the list.
            now: Current time.
            send_credit: Number of attempts, from 0 to 1, that may be sent at once while it warms up.
            started_at: When it started, or 0 if that was long ago or is unknown.
        """
        self.entry = entry
        self.is_listed_up = entry.state == "up"
        # Time of sending of each attempt in flight from this gateway, by request id and attempt number.
        self.in_flight: dict[AttemptKey, float] = {}
        self.started_at = started_at
        # Requests of other gateways at the endpoint according to its last load report, and when that arrived.
        self.other_gateways_load = 0.0
        self.load_reported_at = -math.inf
        # Ratio of its latency to the mean latency of all endpoints.
        self.latency_ratio = 1.0
        self.send_credit = send_credit
        self.credit_updated_at = now
        # Added to the in-flight limit before rounding down, so that not all gateways round the same way.
        self.rounding_offset = send_credit
        # Position of the endpoint in the order of first listing.
        self.sequence_number = 0
        # Position on the ring by which gateways choose their subsets.
        self.ring_position = stable_hash(entry.id, "place")

    def slow_start_factor(self, now: float, rules: api.Rules) -> float:
        """Return the fraction of its full capacity that slow start allows the endpoint now, up to 1.0."""
        if not self.started_at > 0 or now - self.started_at >= rules.slow_start_duration:
            return 1.0
        age = max(0.0, now - self.started_at)
        return (
            rules.slow_start_min_capacity
            + (1 - rules.slow_start_min_capacity) * age / rules.slow_start_duration
            if rules.slow_start_duration
            else 1.0
        )


def by_sequence(endpoint: EndpointState) -> int:
    """Return the sort key for the order in which endpoints were first listed."""
    return endpoint.sequence_number


def by_ring_position(endpoint: EndpointState) -> tuple[int, int]:
    """Return the sort key for the order on the ring, which is the same at all gateways."""
    return endpoint.ring_position, endpoint.sequence_number


class EndpointTable:
    """Holds the endpoints that lists and operators' overrides name. `EndpointPool` owns the only instance.

    Attributes:
        endpoints: All known endpoints by id, including departed and ejected ones.
        available: Endpoints that are listed as up and not ejected, in the order of first listing.
        ring: The available endpoints ordered by ring position.
        weights: The weights of the available endpoints in ascending order.
        warming_up: Available endpoints that slow start may limit, by id; some may be warm by now.
        departed: When each known endpoint that is not listed as up departed, by id.
        ejected: When an operator ejected each ejected endpoint, by id.
        largest_weight: Largest weight of an available endpoint.
        available_total: Total number of available endpoints if the list is a view, or 0 if it is complete.
        sharing_gateway_count: Number of gateways that share the endpoints of this list.
    """

    def __init__(self, settings: api.Settings, rng: random.Random, health: HealthEstimator) -> None:
        """Initialise with no endpoints.

        The table also discards the evidence in `health` on endpoints that it removes. Random numbers come
        from `rng`.
        """
        self.settings = settings
        self.rng = rng
        self.health = health
        self.start_times = StartTimes()
        self.endpoints: dict[str, EndpointState] = {}
        self.available: list[EndpointState] = []
        self.ring: list[EndpointState] = []
        self.weights: list[float] = []
        self.warming_up: dict[str, EndpointState] = {}
        self.departed: dict[str, float] = {}
        self.ejected: dict[str, float] = {}
        self.largest_weight = 1.0
        self.available_total = 0
        self.sharing_gateway_count: float = settings.gateway_count
        self._listed_total = 0
        self._sequence = itertools.count()

    def on_settings_change(self, settings: api.Settings) -> None:
        """Apply changed settings, under which a recently started endpoint may be warming up again."""
        self.settings = settings
        self.warming_up.update((s.entry.id, s) for s in self.available if s.started_at > 0)

    def update_gateway_count(self) -> None:
        """Update the number of gateways that share the endpoints of this list."""
        ejected = map(self.endpoints.get, self.ejected)
        listed = len(self.available) + sum(s is not None and s.is_listed_up for s in ejected)
        self.available_total = self._listed_total if self._listed_total > listed else 0
        self.sharing_gateway_count = self.settings.gateway_count
        if self.available_total:
            self.sharing_gateway_count = max(1.0, self.settings.gateway_count * listed / self.available_total)

    def update_largest_weight(self) -> None:
        """Update the largest weight of an available endpoint, which is 1 if no weight is above 0."""
        self.largest_weight = (self.weights[-1] if self.weights else 1.0) or 1.0

    def apply_list(self, now: float, event: api.EndpointList) -> None:
        """Apply a complete or incremental endpoint list to the table."""
        is_complete = event.mode not in ("delta", "failed")
        if is_complete:
            listed_ids = {entry.id for entry in event.endpoints}
            for endpoint_id, endpoint in self.endpoints.items():
                if endpoint.is_listed_up and endpoint_id not in listed_ids:
                    endpoint.is_listed_up = False
                    self.departed[endpoint_id] = now
        in_bulk = is_complete or len(event.endpoints) * BULK_DIVISOR > len(self.available)
        for entry in event.endpoints:
            self._apply_entry(now, entry, in_bulk=in_bulk, is_view=event.available_total > 0)
        self.start_times.on_list(now, event.mode)
        if event.mode != "failed":
            self._listed_total = event.available_total
        if in_bulk:
            self.rebuild(now)

    def _apply_entry(self, now: float, entry: api.Endpoint, *, in_bulk: bool, is_view: bool) -> None:
        """Apply one entry of a list; if `in_bulk`, leave the sorted lists to a later `rebuild`."""
        previous = self.endpoints.get(entry.id)
        if previous is None and entry.state != "up" and is_view:
            return  # it belongs to other gateways' views
        if previous is not None and not in_bulk:
            self._remove(previous)
        if previous is None or (entry.state == "up" and entry.started_at > previous.entry.started_at):
            # The initial credit is random and below one attempt, which spreads the first attempts of many
            # gateways over time.
            duration = self.settings.rules.slow_start_duration
            started_at = self.start_times.start_time(
                now, entry, previous.entry if previous else None, is_view=is_view, duration=duration
            )
            self._replace(EndpointState(entry, now, self.rng.random(), started_at), previous)
        else:
            previous.entry = entry
            previous.is_listed_up = entry.state == "up"
        endpoint = self.endpoints[entry.id]
        if endpoint.is_listed_up:
            self.departed.pop(entry.id, None)
        else:
            self.departed.setdefault(entry.id, now)
        if not in_bulk:
            self._insert(endpoint)

    def _replace(self, endpoint: EndpointState, previous: EndpointState | None) -> None:
        """Add a new incarnation, which takes over the attempts in flight of the previous one."""
        if previous is None:
            endpoint.sequence_number = next(self._sequence)
        else:
            endpoint.sequence_number = previous.sequence_number
            endpoint.in_flight = previous.in_flight
        self.endpoints[endpoint.entry.id] = endpoint
        # Failures of the previous incarnation are no evidence on this one.
        self.health.forget(endpoint.entry.id)

    def set_override(self, now: float, event: api.EndpointOverride) -> None:
        """Eject an endpoint on behalf of an operator, or end its ejection.

        When an ejection ends, the endpoint starts with a new state, because it may have been restarted
        meanwhile.
        """
        previous = self.endpoints.get(event.endpoint_id)
        if previous is not None:
            self._remove(previous)
        ejected_at = self.ejected.pop(event.endpoint_id, event.overridden_at)
        if event.ejected:
            self.ejected[event.endpoint_id] = event.overridden_at
        if previous is not None and not event.ejected:
            started_at = (
                previous.started_at
                if previous.entry.started_at > ejected_at
                else min(event.overridden_at, now)
            )
            endpoint = EndpointState(previous.entry, now, self.rng.random(), started_at)
            self._replace(endpoint, previous)
            endpoint.is_listed_up = previous.is_listed_up
            self._insert(endpoint)

    def on_clock_step(self, now: float, offset: float) -> None:
        """Treat an endpoint as warming up if it is by either the old or the corrected wall clock.

        The two clocks differ by `offset` seconds.
        """
        rules = self.settings.rules
        for endpoint in self.available:
            listed_start = endpoint.entry.started_at
            if listed_start > 0:
                endpoint.started_at = later_start(
                    now, endpoint.started_at, listed_start, offset, rules.slow_start_duration
                )
                if endpoint.slow_start_factor(now, rules) < 1.0:
                    self.warming_up[endpoint.entry.id] = endpoint

    def _is_available(self, endpoint: EndpointState) -> bool:
        return endpoint.is_listed_up and endpoint.entry.id not in self.ejected

    def _insert(self, endpoint: EndpointState) -> None:
        """Insert an endpoint into the sorted lists if it is available."""
        if self._is_available(endpoint):
            bisect.insort(self.available, endpoint, key=by_sequence)
            bisect.insort(self.ring, endpoint, key=by_ring_position)
            bisect.insort(self.weights, endpoint.entry.weight)
            if endpoint.started_at > 0:
                self.warming_up[endpoint.entry.id] = endpoint

    def _remove(self, endpoint: EndpointState) -> None:
        """Remove an endpoint from the sorted lists, before its entry changes."""
        if self._is_available(endpoint):
            del self.available[bisect.bisect_left(self.available, by_sequence(endpoint), key=by_sequence)]
            del self.ring[bisect.bisect_left(self.ring, by_ring_position(endpoint), key=by_ring_position)]
            # Deletes the last of equal weights.
            del self.weights[bisect.bisect(self.weights, endpoint.entry.weight) - 1]
            self.warming_up.pop(endpoint.entry.id, None)

    def rebuild(self, now: float) -> None:
        """Build the sorted lists and `warming_up` again from all endpoints."""
        available = [s for s in self.endpoints.values() if self._is_available(s)]
        self.available = available
        self.ring = sorted(available, key=by_ring_position)
        self.weights = sorted(s.entry.weight for s in available)
        self.warming_up = {
            s.entry.id: s for s in available if s.slow_start_factor(now, self.settings.rules) < 1.0
        }

    def forget_departed(self, now: float) -> None:
        """Remove endpoints that departed long ago or before many others, and have no attempt in flight.

        Ejections are retained. The cost is that an endpoint which returns later than that starts without
        evidence.
        """
        for endpoint_id, departed_at in list(itertools.islice(self.departed.items(), MAX_SAMPLE_SIZE)):
            max_retained = max(MIN_DEPARTED_RETAINED, len(self.available))
            if now - departed_at <= DEPARTED_RETENTION_S and len(self.departed) <= max_retained:
                break
            del self.departed[endpoint_id]
            if self.endpoints[endpoint_id].in_flight:
                self.departed[endpoint_id] = now
            else:
                del self.endpoints[endpoint_id]
                self.health.forget(endpoint_id)

    def sample(self, items: list[Sampled]) -> list[Sampled]:
        """Return the list itself, or a random sample of it if it is longer than `MAX_SAMPLE_SIZE`."""
        count = len(items)
        draw = self.rng.random
        if count <= MAX_SAMPLE_SIZE:
            return items
        return list({items[int(draw() * count)]: None for _ in range(MAX_SAMPLE_SIZE)})

    def warm_endpoints(self, now: float) -> list[EndpointState]:
        """Return the available endpoints that slow start doesn't limit, or those of a sample."""
        return [
            s for s in self.sample(self.available) if s.slow_start_factor(now, self.settings.rules) == 1.0
        ]
