"""The grantor's records of budgets, of gateway incarnations and of their grants."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from api_gateway.budgets.settings import Budget, GrantResponse


class GrantKey(NamedTuple):
    """Identifies one grant by gateway, incarnation and budget."""

    gateway: str
    incarnation: int
    budget: str


class StoredGrant(NamedTuple):
    """One grant as it is stored in the log.

    Durations are stored with each grant because a later incarnation of the grantor may be configured with
    shorter ones.

    Attributes:
        amount: Units, or units per second, that may be in use.
        lifetime: Seconds for which the amount may be in use, counted from the moment the log is read.
        release_delay: Seconds for which units may remain in use after the lifetime.
    """

    amount: float
    lifetime: float
    release_delay: float


NO_GRANT = StoredGrant(0.0, 0.0, 0.0)


@dataclass(slots=True)
class BudgetGrant:
    """The grant of one budget to one incarnation of a gateway.

    Attributes:
        outstanding_amount: Upper bound on what the incarnation may be using.
        demand: Smoothed demand that exceeds the incarnation's share of the reserve.
        target: Amount assigned by the last division.
        stored_amount: Amount that the log holds at least. A response may be sent only if it grants no more.
        release_delay: Release delay in seconds that an earlier incarnation of the grantor stored with the
            grant; it applies where it is longer than the one in force.
    """

    outstanding_amount: float = 0.0
    demand: float = 0.0
    target: float = 0.0
    stored_amount: float = 0.0
    release_delay: float = 0.0


@dataclass(slots=True)
class GatewayIncarnation:
    """One process of a gateway, from its start to its end.

    Attributes:
        name: The gateway's name.
        incarnation: The number of this process; each restart of the gateway has a larger one.
        zone: The zone that the last exchange reported.
        index: The index that the last exchange reported.
        sequence: The sequence number of the last exchange.
        last_exchange_at: When the last exchange arrived; -inf before the first.
        granted_until: When all its grants have expired, whatever the drift of the gateway's clock.
        uses_reserve: Whether it uses its share of the reserve.
        grants: Its grants, by budget name.
        last_response: The response to its last exchange, sent again if that exchange is repeated.
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
        """Return the key of this incarnation's grant of a budget."""
        return GrantKey(self.name, self.incarnation, budget)


@dataclass(slots=True)
class PendingGrowth:
    """An increase of a rate that takes effect once the grants made before it have expired.

    Attributes:
        due_at: When the increase takes effect.
        divisible: The amount divided among the gateways from then on.
    """

    due_at: float
    divisible: float


@dataclass(slots=True)
class BudgetPool:
    """The state of one budget across all gateways.

    Attributes:
        budget: The budget's settings.
        divisible: Upper bound on the sum of all grants.
        reserve_share: Units of the reserve that each gateway may use without a grant.
        burst_ratio: For a rate, the tokens that a gateway may accumulate per granted unit per second.
        largest_total: The largest total since the start. Reports are checked against it because gateways may
            not have received a smaller one yet.
        outstanding_amount: The sum of the outstanding amounts of all grants.
        fair_level: The most that a gateway of weight 1 gets under the last division.
        is_short: Whether the amount that is free cannot raise all grants to their targets.
        divided_at: When the budget was last divided.
        needs_division: Whether anything has changed since the last division.
        pending_growth: An increase of `divisible` that takes effect later.
    """

    budget: Budget
    divisible: float
    reserve_share: float
    burst_ratio: float
    largest_total: float
    outstanding_amount: float = 0.0
    fair_level: float = math.inf
    is_short: bool = False
    divided_at: float = -math.inf
    needs_division: bool = True
    pending_growth: PendingGrowth | None = None
