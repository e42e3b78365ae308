"""The subset of endpoints that this gateway uses, and the size of the view that it requests from discovery.

If each of many gateways used all endpoints, it would send little to each of them, would notice a failing
endpoint late and would rarely have an idle connection to reuse. So each gateway uses only the endpoints that
follow its own position on a hash ring, which is the same at all gateways.
"""

from __future__ import annotations

import bisect
import math

from api_gateway.policy.endpoint_table import EndpointState, EndpointTable, by_ring_position
from api_gateway.policy.outlier_detection import HealthEstimator

# Distance between the ring positions of successive gateways. Steps of the golden ratio spread any number of
# gateways evenly.
GOLDEN_STEP = 0.6180339887498949

# Endpoints of a view of normal size, as a multiple of those that a gateway uses: half of the view may be
# warming up or failing.
NORMAL_VIEW_FACTOR = 2.0

# Fraction of the endpoints that a gateway uses which it skips at the start of a view, if the view is as dense
# as the whole ring.
VIEW_SKIPPED_FRACTION = 0.1

# Seconds after which a requested change of the view is expected to have taken effect.
VIEW_RESIZE_TIMEOUT_S = 5.0

# Seconds for which a normal view must have been sufficient before an enlarged view is reduced.
VIEW_SHRINK_DELAY_S = 60.0


class EndpointSubset:
    """Chooses the endpoints that this gateway uses. `EndpointPool` owns the only instance.

    Attributes:
        endpoints: The subset. If all endpoints are used, it is the table's own list `available`.
        wanted_view_size: Size of the view to request from discovery, or 0 if the view is to stay as it is.
    """

    def __init__(self, table: EndpointTable, health: HealthEstimator) -> None:
        """Initialise with no endpoints. `table` and `health` belong to the caller."""
        self.table = table
        self.health = health
        self.endpoints: list[EndpointState] = []
        self.wanted_view_size = 0
        self._requested_view_size = 0
        self._requested_at = -math.inf
        # When a view of normal size was last insufficient.
        self._shortfall_at = -math.inf
        # Rank of this gateway among all gateways by ring position, as a fraction of their number, minus its
        # position. None until it is computed.
        self._rank_offset: float | None = None

    def on_settings_change(self) -> None:
        """Discard the rank of this gateway, because the number of gateways may have changed."""
        self._rank_offset = None

    def on_table_change(self) -> None:
        """Use all available endpoints until the subset is chosen again."""
        self.endpoints = self.table.available

    def choose(
        self, needed: float, keys: tuple[str, ...], now: float, capacities: dict[str, float]
    ) -> list[EndpointState]:
        """Return the endpoints that this gateway is to use.

        A gateway uses the endpoints that follow its position on the ring, until their capacity adds up to the
        number of full-capacity endpoints that it needs. This way each endpoint is used by about the same
        number of gateways.

        Args:
            needed: Number of full-capacity endpoints that are needed.
            keys: Levels at which an endpoint may fail the request.
            now: Time in seconds.
            capacities: Fraction of full capacity by endpoint id, for endpoints with evidence.
        """
        ring = self.table.ring
        settings = self.table.settings
        total = len(ring)
        if needed >= total:
            return self.table.available
        chosen: list[EndpointState] = []
        if self.table.available_total:
            first = self._first_in_view(needed)
        else:
            first = total * settings.gateway_index // settings.gateway_count
        mean_health = self.health.health_score("", keys, now)
        for rank in range(first - total, first):
            if needed <= 0:
                break
            endpoint = ring[rank]
            chosen.append(endpoint)
            endpoint_id = endpoint.entry.id
            if endpoint_id in capacities:
                needed -= capacities[endpoint_id]
                continue
            health = (
                self.health.health_score(endpoint_id, keys, now)
                if endpoint_id in self.health.estimates
                else mean_health
            )
            needed -= endpoint.slow_start_factor(now, settings.rules) * health
        return chosen

    def _first_in_view(self, needed: float) -> int:
        """Return the rank in the view of the first endpoint to use.

        The rank of this gateway's position among all endpoints is unknown, because a view shows only some of
        them. What is known is how many endpoints lie on the arc that the used endpoints should fill. Half of
        the excess there is skipped, which halves the variance of the number of gateways per endpoint. The
        deviation of this gateway's own position from an even spacing is skipped as well.
        """
        ring = self.table.ring
        total = self.table.available_total
        position = self.table.settings.gateway_index * GOLDEN_STEP % 1.0
        if self._rank_offset is None:
            gateways = self.table.settings.gateway_count
            gateways_before = sum(index * GOLDEN_STEP % 1.0 < position for index in range(gateways))
            self._rank_offset = gateways_before / gateways - position
        first = rank_at(ring, position)
        end = rank_at(ring, position + needed / total)
        excess = (end - first) % len(ring) - needed
        skipped = VIEW_SKIPPED_FRACTION * needed + excess / 2 + self._rank_offset * total
        return (first + max(0, round(skipped))) % len(ring)

    def update_view_size(self, needed: float, capacity: float, now: float) -> None:
        """Request a view twice as large if this one is insufficient, and a normal one once that is enough.

        The cost of an enlarged view is that this gateway meanwhile uses endpoints of other gateways' subsets.

        Args:
            needed: Number of full-capacity endpoints that this gateway uses.
            capacity: Capacity of the view, in full-capacity endpoints.
            now: Time in seconds.
        """
        total = self.table.available_total
        view_size = len(self.table.available)
        needed = min(needed, total)
        normal_size = min(total, math.ceil(NORMAL_VIEW_FACTOR * needed))
        if capacity * normal_size < needed * view_size or capacity < needed:
            self._shortfall_at = now
        if capacity < needed and now - self._requested_at > VIEW_RESIZE_TIMEOUT_S:
            self._request_view(min(total, max(2 * view_size, normal_size)), now)
        elif (
            self._requested_view_size > normal_size
            and now - max(self._shortfall_at, self._requested_at) > VIEW_SHRINK_DELAY_S
        ):
            self._request_view(normal_size, now)

    def _request_view(self, size: int, now: float) -> None:
        self.wanted_view_size = size
        self._requested_view_size = size
        self._requested_at = now


def rank_at(ring: list[EndpointState], position: float) -> int:
    """Return the rank of the first endpoint at or after a position on the ring, which is taken modulo 1."""
    return bisect.bisect_left(ring, (int(position % 1.0 * 2**63), -1), key=by_ring_position)
