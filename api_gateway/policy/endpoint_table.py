"""The table of endpoints: which are known, available, warming up, ejected or departed.

The table is kept by change: no change of one endpoint walks over all of them. A list may be a view, which
holds only those endpoints that this gateway was given of all there are: the module is then one of
`EndpointTable.gateway_count` gateways that share the endpoints of the view.
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

# Endpoints compared one by one for a choice or a sum; of more, a random sample of so many stands for all.
MAX_SAMPLE_SIZE = 512

# A list that names more than one endpoint in so many available ones has all sorted, which is quicker there.
BULK_DIVISOR = 16

# Seconds for which a departed endpoint is remembered: lists blink.
DEPARTED_RETENTION_S = 60.0

# Departed endpoints that are remembered at least, or as many as are available.
MIN_DEPARTED_RETAINED = 64

Sampled = TypeVar("Sampled")

# Request and number of an attempt. A plain tuple, since each attempt makes one.
AttemptKey: TypeAlias = tuple[str, int]


class EndpointState:
    """What this gateway knows of one incarnation of an endpoint. Times are seconds of the module's clock."""

    def __init__(self, entry: api.Endpoint, now: float, send_credit: float, started_at: float) -> None:
        """Begin to know an endpoint.

        Args:
            entry: The endpoint as the list names it.
            now: Time.
            send_credit: Sends that it may get at once while it warms up, from 0 to 1.
            started_at: When it started, as far as is known; 0 if that was long ago.
        """
        self.entry = entry
        self.is_listed_up = entry.state == "up"
        # Attempts in flight from this gateway, by request and attempt number: when each was sent.
        self.in_flight: dict[AttemptKey, float] = {}
        self.started_at = started_at
        # Requests of other gateways at the endpoint, by its last load report, and when that came.
        self.other_gateways_load = 0.0
        self.load_reported_at = -math.inf
        # Its latency against the mean of all.
        self.latency_ratio = 1.0
        self.send_credit = send_credit
        self.credit_updated_at = now
        # Added to the limit in flight before it is rounded down, so that gateways round differently.
        self.rounding_offset = send_credit
        # Position in the order in which endpoints were first listed.
        self.sequence_number = 0
        # Position on the ring from which gateways take their subsets.
        self.ring_position = stable_hash(entry.id, "place")

    def slow_start_factor(self, now: float, rules: api.Rules) -> float:
        """Return the part of its full capacity that slow start gives the endpoint now, up to 1.0."""
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
    """Return the key that orders endpoints as they were first listed."""
    return endpoint.sequence_number


def by_ring_position(endpoint: EndpointState) -> tuple[int, int]:
    """Return the key that orders endpoints on the ring, which is the same at all gateways."""
    return endpoint.ring_position, endpoint.sequence_number


class EndpointTable:
    """Keeps the endpoints that lists and operators' overrides name; `Fleet` owns the only instance.

    Attributes:
        endpoints: All that are known, by id, departed and ejected ones included.
        available: Those that are listed as up and not ejected, in the order in which they were first listed.
        ring: The same in order of their ring positions.
        weights: The weights of these in ascending order.
        warming_up: Those of `available` that slow start may hold back, by id; some may be warm by now.
        departed: Known endpoints that are not listed as up, by id: since when.
        ejected: Endpoints that an operator ejected, by id: since when.
        total: Endpoints there are in all if the list is a view; 0 if the list is complete.
        gateway_count: Gateways that share the endpoints listed here.
    """

    def __init__(self, settings: api.Settings, rng: random.Random, health: HealthEstimator) -> None:
        """Begin with no endpoint. The table forgets an endpoint in `health` too; draws come from `rng`."""
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
        """Take changed settings: by the new rules an endpoint that started lately may be warming up."""
        self.settings = settings
        self.warming_up.update((s.entry.id, s) for s in self.available if s.started_at > 0)

    def update_gateway_count(self) -> None:
        """Work out how many gateways share the endpoints that are listed here."""
        ejected = map(self.endpoints.get, self.ejected)
        listed = len(self.available) + sum(s is not None and s.is_listed_up for s in ejected)
        self.available_total = self._listed_total if self._listed_total > listed else 0
        self.sharing_gateway_count = self.settings.gateway_count
        if self.available_total:
            self.sharing_gateway_count = max(1.0, self.settings.gateway_count * listed / self.available_total)

    def update_largest_weight(self) -> None:
        """Note the largest weight of an available endpoint; 1 where there is none above 0."""
        self.largest_weight = (self.weights[-1] if self.weights else 1.0) or 1.0

    def apply_list(self, now: float, event: api.EndpointList) -> None:
        """Take a complete list or a change of it into the table."""
        is_complete = event.mode not in ("delta", "failed")
        if is_complete:
            named = {entry.id for entry in event.endpoints}
            for endpoint_id, endpoint in self.endpoints.items():
                if endpoint.is_listed_up and endpoint_id not in named:
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
        """Take one entry of a list; what is sorted is left to `rebuild` if the list is taken in bulk."""
        old = self.endpoints.get(entry.id)
        if old is None and entry.state != "up" and is_view:
            return  # it is in other gateways' views
        if old is not None and not in_bulk:
            self._remove(old)
        if old is None or (entry.state == "up" and entry.started_at > old.entry.started_at):
            # Credit starts anywhere below one send: first sends of many gateways are spread over time.
            duration = self.settings.rules.slow_start_duration
            started_at = self.start_times.start_time(
                now, entry, old.entry if old else None, is_view=is_view, duration=duration
            )
            self._replace(EndpointState(entry, now, self.rng.random(), started_at), old)
        else:
            old.entry = entry
            old.is_listed_up = entry.state == "up"
        endpoint = self.endpoints[entry.id]
        if endpoint.is_listed_up:
            self.departed.pop(entry.id, None)
        else:
            self.departed.setdefault(entry.id, now)
        if not in_bulk:
            self._insert(endpoint)

    def _replace(self, endpoint: EndpointState, old: EndpointState | None) -> None:
        """Begin with a new incarnation, to which the last one's attempts in flight still count."""
        if old is None:
            endpoint.sequence_number = next(self._sequence)
        else:
            endpoint.sequence_number = old.sequence_number
            endpoint.in_flight = old.in_flight
        self.endpoints[endpoint.entry.id] = endpoint
        self.health.forget(endpoint.entry.id)  # the last incarnation's failures say nothing of this one

    def set_override(self, now: float, event: api.EndpointOverride) -> None:
        """Eject an endpoint for an operator, or end that.

        What is known of an endpoint ends with its ejection: it was restarted meanwhile, or may have been.
        """
        old = self.endpoints.get(event.endpoint_id)
        if old is not None:
            self._remove(old)
        since = self.ejected.pop(event.endpoint_id, event.overridden_at)
        if event.ejected:
            self.ejected[event.endpoint_id] = event.overridden_at
        if old is not None and not event.ejected:
            started_at = old.started_at if old.entry.started_at > since else min(event.overridden_at, now)
            endpoint = EndpointState(old.entry, now, self.rng.random(), started_at)
            self._replace(endpoint, old)
            endpoint.is_listed_up = old.is_listed_up
            self._insert(endpoint)

    def on_clock_step(self, now: float, offset: float) -> None:
        """Take an endpoint as warming up if it is by either reading of a wall clock `offset` seconds off."""
        rules = self.settings.rules
        for endpoint in self.available:
            started = endpoint.entry.started_at
            if started > 0:
                endpoint.started_at = later_start(
                    now, endpoint.started_at, started, offset, rules.slow_start_duration
                )
                if endpoint.slow_start_factor(now, rules) < 1.0:
                    self.warming_up[endpoint.entry.id] = endpoint

    def _is_available(self, endpoint: EndpointState) -> bool:
        return endpoint.is_listed_up and endpoint.entry.id not in self.ejected

    def _insert(self, endpoint: EndpointState) -> None:
        """Put an endpoint where it belongs in what is sorted, if it is available."""
        if self._is_available(endpoint):
            bisect.insort(self.available, endpoint, key=by_sequence)
            bisect.insort(self.ring, endpoint, key=by_ring_position)
            bisect.insort(self.weights, endpoint.entry.weight)
            if endpoint.started_at > 0:
                self.warming_up[endpoint.entry.id] = endpoint

    def _remove(self, endpoint: EndpointState) -> None:
        """Take an endpoint out of what is sorted, before its entry changes."""
        if self._is_available(endpoint):
            del self.available[bisect.bisect_left(self.available, by_sequence(endpoint), key=by_sequence)]
            del self.ring[bisect.bisect_left(self.ring, by_ring_position(endpoint), key=by_ring_position)]
            del self.weights[bisect.bisect(self.weights, endpoint.entry.weight) - 1]  # the last of equals
            self.warming_up.pop(endpoint.entry.id, None)

    def rebuild(self, now: float) -> None:
        """Sort anew all that single changes keep sorted."""
        available = [s for s in self.endpoints.values() if self._is_available(s)]
        self.available = available
        self.ring = sorted(available, key=by_ring_position)
        self.weights = sorted(s.entry.weight for s in available)
        self.warming_up = {
            s.entry.id: s for s in available if s.slow_start_factor(now, self.settings.rules) < 1.0
        }

    def forget_departed(self, now: float) -> None:
        """Drop endpoints that departed long ago, or with many after them, once no attempt is in flight there.

        An ejection stays. Harm: one that was away for longer starts as unknown.
        """
        for endpoint_id, since in list(itertools.islice(self.departed.items(), MAX_SAMPLE_SIZE)):
            remembered = max(MIN_DEPARTED_RETAINED, len(self.available))
            if now - since <= DEPARTED_RETENTION_S and len(self.departed) <= remembered:
                break
            del self.departed[endpoint_id]
            if self.endpoints[endpoint_id].in_flight:
                self.departed[endpoint_id] = now
            else:
                del self.endpoints[endpoint_id]
                self.health.forget(endpoint_id)

    def sample(self, items: list[Sampled]) -> list[Sampled]:
        """Return the list itself, or a random sample of it if it is longer than LOOK_MOST."""
        count = len(items)
        draw = self.rng.random
        if count <= MAX_SAMPLE_SIZE:
            return items
        return list({items[int(draw() * count)]: None for _ in range(MAX_SAMPLE_SIZE)})

    def warm_endpoints(self, now: float) -> list[EndpointState]:
        """Return available endpoints, or a sample of them, that slow start doesn't hold back."""
        return [
            s for s in self.sample(self.available) if s.slow_start_factor(now, self.settings.rules) == 1.0
        ]
