"""What the grantor knows: of each budget, of each incarnation of a gateway, and of each of its grants."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from api_gateway.budgets.terms import Budget, GrantResponse


class GrantKey(NamedTuple):
    """Names one grant: by gateway, incarnation and budget."""

    gateway: str
    incarnation: int
    budget: str


class StoredGrant(NamedTuple):
    """What the log says of one grant.

    Attributes:
        amount: Units, or units a second, that may be in use.
        lifetime: Seconds for which they may be, from whenever the log is read.
        release_delay: Seconds for which its units may be in use beyond that.

    A later incarnation of the grantor may have shorter terms of its own, so these stand with each grant.
    """

    amount: float
    lifetime: float
    release_delay: float


NO_GRANT = StoredGrant(0.0, 0.0, 0.0)


@dataclass(slots=True)
class BudgetGrant:
    """One budget of one incarnation.

    Attributes:
        covered: The most that it may be using.
        demand: What it needs beyond its share of the reserve, smoothed.
        target: What the last division gave it.
        stored_amount: What the log has at least: nothing above it may be covered by a response.
        release_delay: Seconds by the terms of an earlier incarnation of the grantor, where these were longer.
    """

    covered: float = 0.0
    demand: float = 0.0
    target: float = 0.0
    stored_amount: float = 0.0
    release_delay: float = 0.0


@dataclass(slots=True)
class GatewayIncarnation:
    """One process of a gateway, from its start to its end.

    Attributes:
        name: The gateway's name.
        incarnation: The number of this process among those of its name.
        zone: Its zone, by the last exchange.
        index: Its index, by the last exchange.
        sequence: That of the last exchange.
        last_exchange_at: When that came; -inf before the first.
        granted_until: When all that it was granted has ended by any clock.
        uses_reserve: Whether it uses its share of the reserve.
        grants: Its grants, by budget.
        last_response: The response to its last exchange, which a repeat of that gets again.
    """

    name: str
    incarnation: int
    zone: str = ""
    index: int = 0
    sequence: int = -1
    last_exchange_at: float = -math.inf
    granted_until: float = -math.inf
    uses_reserve: bool = False
    grants: dict[str, BudgetGrant] = field(default_factory=dict)
    last_response: GrantResponse | None = None

    def key(self, budget: str) -> GrantKey:
        """Returns the key of its grant of that budget."""
        return GrantKey(self.name, self.incarnation, budget)


@dataclass(slots=True)
class PendingGrowth:
    """A rate that is to become larger once the grants of before have ended."""

    due_at: float
    divisible: float


@dataclass(slots=True)
class BudgetPool:
    """One budget over all gateways.

    Attributes:
        budget: Its terms.
        divisible: What all grants together may come to.
        reserve_share: The part of the reserve that each gateway has.
        burst_ratio: Of a rate, what may be saved up for each unit a second that is granted.
        largest_total: The largest total that it had: gateways may not have heard of a smaller one.
        covered: The sum of what all grants cover.
        fair_level: What a gateway of weight 1 gets at most, by the last division.
        is_short: Whether some gateway's grant is below its target.
        divided_at: When it was divided last.
        needs_division: Whether something has changed since then.
        pending_growth: A larger amount that comes later.
    """

    budget: Budget
    divisible: float
    reserve_share: float
    burst_ratio: float
    largest_total: float
    covered: float = 0.0
    fair_level: float = math.inf
    is_short: bool = False
    divided_at: float = -math.inf
    needs_division: bool = True
    pending_growth: PendingGrowth | None = None
