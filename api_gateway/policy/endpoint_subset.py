"""The subset of the endpoints that this gateway uses, and the size of the view that it asks discovery for.

Of many gateways each would see little of an endpoint, learn its state late and find no idle connection to it.
So each takes those endpoints that follow its own position on a ring which is the same at all gateways.
"""

from __future__ import annotations

import bisect
import math

from api_gateway.policy.endpoint_table import EndpointState, EndpointTable, by_ring_position
from api_gateway.policy.outlier_detection import HealthEstimator

# Gateways' positions on the ring differ by the golden section of it: they are even, whatever their number.
GOLDEN_STEP = 0.6180339887498949

# Endpoints of a plain view, times those that a gateway uses: half of them may be warming up or fail.
NORMAL_VIEW_FACTOR = 2.0

# Part of these that is passed over at the beginning of a view that is as dense as all the ring.
VIEW_SKIPPED_FRACTION = 0.1

# Seconds by which a view that was asked for is there.
VIEW_RESIZE_TIMEOUT_S = 5.0

# Seconds of ease until a wide view is given back.
VIEW_SHRINK_DELAY_S = 60.0


class EndpointSubset:
    """Chooses the subset; `Fleet` owns the only instance.

    Attributes:
        endpoints: The subset. It is the table's own list `available` if all are used.
        wanted_view_size: Endpoints of the view that discovery is to be asked for; 0: the view is to stay.
    """

    def __init__(self, table: EndpointTable, health: HealthEstimator) -> None:
        """Begin with no endpoint. Table and health stay their owner's."""
        self.table = table
        self.health = health
        self.endpoints: list[EndpointState] = []
        self.wanted_view_size = 0
        self._requested_view_size = 0
        self._requested_at = -math.inf
        # When a plain view last fell short.
        self._shortfall_at = -math.inf
        # Rank of this gateway's position among those of all gateways, less the position; None: not known.
        self._rank_offset: float | None = None

    def on_settings_change(self) -> None:
        """Allow for more or fewer gateways."""
        self._rank_offset = None

    def on_table_change(self) -> None:
        """Use all available endpoints until the subset is chosen again."""
        self.endpoints = self.table.available

    def choose(
        self, need: float, keys: tuple[str, ...], now: float, capacities: dict[str, float]
    ) -> list[EndpointState]:
        """Return the endpoints that this gateway is to use.

        Each endpoint is taken by the same number of gateways: a gateway takes those that follow its position
        on the ring, until they do the work of as many endpoints of full capacity as it needs.

        Args:
            need: Endpoints of full capacity that are needed.
            keys: Levels at which an endpoint may fail the request.
            now: Time in seconds.
            capacities: Part of full capacity by id, of endpoints for which that is known.
        """
        ring = self.table.ring
        settings = self.table.settings
        total = len(ring)
        if need >= total:
            return self.table.available
        chosen: list[EndpointState] = []
        if self.table.available_total:
            first = self._first_in_view(need)
        else:
            first = total * settings.gateway_index // settings.gateway_count
        usual = self.health.health_score("", keys, now)
        for rank in range(first - total, first):
            if need <= 0:
                break
            endpoint = ring[rank]
            chosen.append(endpoint)
            name = endpoint.entry.id
            if name in capacities:
                need -= capacities[name]
                continue
            sound = self.health.health_score(name, keys, now) if name in self.health.estimates else usual
            need -= endpoint.slow_start_factor(now, settings.rules) * sound
        return chosen

    def _first_in_view(self, need: float) -> int:
        """Return the rank from which on the endpoints of a view are used.

        The rank of this gateway's position among all endpoints isn't known, but how many follow on the arc
        that those used should fill is: half of what is too many there is passed over, which halves the
        variance of the gateways to an endpoint, and so is what its own position is off by.
        """
        ring = self.table.ring
        total = self.table.available_total
        position = self.table.settings.gateway_index * GOLDEN_STEP % 1.0
        if self._rank_offset is None:
            gateways = self.table.settings.gateway_count
            before = sum(n * GOLDEN_STEP % 1.0 < position for n in range(gateways))
            self._rank_offset = before / gateways - position
        first = rank_at(ring, position)
        end = rank_at(ring, position + need / total)
        excess = (end - first) % len(ring) - need
        skipped = VIEW_SKIPPED_FRACTION * need + excess / 2 + self._rank_offset * total
        return (first + max(0, round(skipped))) % len(ring)

    def update_view(self, need: float, capacity: float, now: float) -> None:
        """Want a view twice as large if this one can't do the work, and a plain one again after ease.

        Harm: others' endpoints are used meanwhile.

        Args:
            need: Endpoints of full capacity that this gateway uses.
            capacity: Endpoints of full capacity for which those of the view stand.
            now: Time in seconds.
        """
        total = self.table.available_total
        view = len(self.table.available)
        need = min(need, total)
        plain = min(total, math.ceil(NORMAL_VIEW_FACTOR * need))
        if capacity * plain < need * view or capacity < need:
            self._shortfall_at = now
        if capacity < need and now - self._requested_at > VIEW_RESIZE_TIMEOUT_S:
            self._request_view(min(total, max(2 * view, plain)), now)
        elif (
            self._requested_view_size > plain
            and now - max(self._shortfall_at, self._requested_at) > VIEW_SHRINK_DELAY_S
        ):
            self._request_view(plain, now)

    def _request_view(self, size: int, now: float) -> None:
        self.wanted_view_size = size
        self._requested_view_size = size
        self._requested_at = now


def rank_at(ring: list[EndpointState], position: float) -> int:
    """Return the rank of the first endpoint at a position on the ring, which is taken modulo 1."""
    return bisect.bisect_left(ring, (int(position % 1.0 * 2**63), -1), key=by_ring_position)
