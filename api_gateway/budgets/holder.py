"""The holder tracks what one gateway may use: its share of the reserve, and its grants.

It performs no I/O, reads no clock and has no global state.

Times are on the gateway's own clock, which is monotonic and advances while the machine is suspended. A grant
expires `grant_duration` after the exchange that it answers was sent, and therefore before the grantor
considers it expired. A response is accepted only if it answers the latest exchange and its term is not older
than the newest term seen.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass

from api_gateway.budgets.settings import (
    AMOUNT_TOLERANCE,
    LEVEL,
    Budget,
    BudgetReport,
    BudgetSettings,
    ExchangeRequest,
    GrantResponse,
)

PROMPT_CONFIRM_FRACTION = 0.1  # a grant that shrinks by more than this fraction is confirmed early
MIN_REPORT_SPAN_S = 0.2  # shorter report periods count as this long


@dataclass(slots=True)
class BudgetAllowance:
    """The state of one budget at one gateway.

    Attributes:
        budget: The budget's settings.
        reserve_share: Units of the reserve that may always be used.
        granted: Units granted by the last response, valid until the grants expire.
        burst_ratio: For a rate, the tokens that may accumulate per granted unit per second.
        used: For a level, the units in use.
        tokens: For a rate, the accumulated tokens. There are none at the start, because otherwise each
            restart would create some.
        counted_at: When the tokens were last refilled.
        requested: For a rate, the units requested since the last report.
        peak: For a level, the most units in use or wanted at the same time since the last report.
        holding: For a level, the granted units that have not been returned yet.
    """

    budget: Budget
    reserve_share: float
    granted: float = 0.0
    burst_ratio: float = 0.0
    used: int = 0
    tokens: float = 0.0
    counted_at: float = 0.0
    requested: int = 0
    peak: int = 0
    holding: float = 0.0


class BudgetHolder:
    """The budgets of one incarnation of a gateway.

    Attributes:
        uses_reserve: Whether this process may use the share of the reserve that belongs to its index. Two
            incarnations of one gateway must never both use it.
        granted_until: When the current grants expire.
        confirm_soon: Whether the next exchange is sent early, because other gateways wait until this one
            confirms a smaller grant.
        is_superseded: Whether a newer incarnation exists. This one then gets no further grants.
        counts: Number of rejected responses, by cause.
    """

    def __init__(
        self,
        settings: BudgetSettings,
        name: str,
        zone: str,
        index: int,
        incarnation: int,
        has_reserve: bool,
        now: float,
    ) -> None:
        """Create a holder without grants.

        Args:
            settings: The settings, equal to those of the grantor.
            name: The gateway's name.
            zone: The gateway's zone.
            index: The gateway's number. From `max_gateways` on, gateways have no share of the reserve.
            incarnation: A number larger than that of any earlier process with this name.
            has_reserve: Whether this process is the only one that uses the gateway's share of the reserve.
            now: The gateway's clock in seconds.
        """
        self.settings = settings
        self.name = name
        self.zone = zone
        self.index = index
        self.incarnation = incarnation
        self.uses_reserve = has_reserve and index < settings.max_gateways
        self.allowances = {
            budget.name: BudgetAllowance(budget, self.reserve_share_of(budget), counted_at=now)
            for budget in settings.budgets
        }
        self.granted_until = -math.inf
        self.sequence = 0
        self.sent_at = now
        self.awaits_response = False
        self.reported_at = now
        self.term = 0
        self.was_answered = False
        self.confirm_soon = False
        self.was_confirming = False  # whether the last exchange was an early one: never two in a row
        self.is_superseded = False
        self.counts: Counter[str] = Counter()

    def reserve_share_of(self, budget: Budget) -> float:
        """Return the units of the reserve that this process may use."""
        return self.settings.reserve_share(budget) if self.uses_reserve else 0.0

    def start_using_reserve(self, now: float) -> None:
        """Start to use the gateway's share of the reserve, after the process that used it has ended."""
        self.uses_reserve = self.index < self.settings.max_gateways
        for allowance in self.allowances.values():
            self.refill(now, allowance)
            allowance.reserve_share = self.reserve_share_of(allowance.budget)

    # Exchanges

    def make_exchange(self, now: float) -> ExchangeRequest:
        """Return the next request. From now on only the response to this one is accepted."""
        self.sequence += 1
        self.sent_at = now
        self.awaits_response = True
        self.was_confirming = self.confirm_soon
        self.confirm_soon = False
        span = max(MIN_REPORT_SPAN_S, now - self.reported_at)
        self.reported_at = now
        reports = {
            name: self.make_report(now, allowance, span) for name, allowance in self.allowances.items()
        }
        return ExchangeRequest(
            self.name, self.zone, self.index, self.incarnation, self.sequence, self.term, reports
        )

    def make_report(self, now: float, allowance: BudgetAllowance, span: float) -> BudgetReport:
        """Return the report on one budget for the last `span` seconds, and start the next report period."""
        if allowance.budget.kind == LEVEL:
            demand: float = allowance.peak
            allowance.peak = allowance.used
        else:
            demand = allowance.requested / span
            allowance.requested = 0
        return BudgetReport(
            min(demand, allowance.budget.total),
            self.update_holding(now, allowance),
            allowance.reserve_share,
        )

    def update_holding(self, now: float, allowance: BudgetAllowance) -> float:
        """Return the granted units to which this gateway limits itself.

        If the grant of a level became smaller, the excess units in use count until they are released.
        """
        granted = self.granted_amount(now, allowance)
        if allowance.budget.kind != LEVEL:
            return granted
        in_use = min(allowance.holding, allowance.used - allowance.reserve_share)
        allowance.holding = max(granted, in_use, 0.0)
        return allowance.holding

    def granted_amount(self, now: float, allowance: BudgetAllowance) -> float:
        """Return the units that are currently granted."""
        return allowance.granted if now < self.granted_until else 0.0

    def on_response(self, now: float, response: GrantResponse) -> bool:
        """Apply the grants of a response; return whether it was accepted."""
        is_latest = (response.incarnation, response.sequence) == (self.incarnation, self.sequence)
        if not is_latest or not self.awaits_response:
            self.counts["old answers"] += 1
            return False
        if response.term < self.term:
            self.counts["old terms"] += 1
            return False
        self.awaits_response = False
        self.was_answered = True
        self.term = response.term
        for name, granted in response.amounts.items():
            self.set_granted(now, self.allowances[name], granted, response.burst_ratios.get(name, 0.0))
        self.granted_until = self.sent_at + min(response.duration, self.settings.grant_duration)
        for allowance in self.allowances.values():
            self.refill(now, allowance)
        return True

    def set_granted(self, now: float, allowance: BudgetAllowance, granted: float, burst_ratio: float) -> None:
        """Apply the grant of one budget."""
        self.refill(now, allowance)
        previous = self.granted_amount(now, allowance)
        has_shrunk = granted < previous * (1 - PROMPT_CONFIRM_FRACTION)
        self.confirm_soon = self.confirm_soon or (has_shrunk and not self.was_confirming)
        if allowance.budget.kind == LEVEL:
            allowance.holding = max(granted, self.update_holding(now, allowance))
        allowance.granted = granted
        allowance.burst_ratio = burst_ratio

    def on_stale_incarnation(self, newest: int) -> None:
        """Handle the grantor's reply that it knows a newer incarnation of this gateway.

        If this process was never answered, it has just started after the wall clock was set back, and takes a
        larger incarnation number. If it was answered before, another process has replaced it.
        """
        if self.was_answered:
            self.is_superseded = True
        else:
            self.incarnation = newest + 1
            self.sequence = 0
        self.awaits_response = False

    # Use

    def allowed_amount(self, now: float, name: str) -> float:
        """Return the units of a level, or the units per second of a rate, that may be used now."""
        allowance = self.allowances[name]
        return allowance.reserve_share + self.granted_amount(now, allowance)

    def acquire(self, now: float, name: str, wanted: int = 1) -> bool:
        """Try to acquire one unit of a level, to be returned with `release`; return whether one was free.

        Args:
            now: The gateway's clock in seconds.
            name: The name of the budget.
            wanted: Number of further units that the caller could use, for the next report.
        """
        allowance = self.allowances[name]
        allowance.peak = max(allowance.peak, allowance.used + wanted)
        if allowance.used + 1 > self.allowed_amount(now, name) + AMOUNT_TOLERANCE:
            return False
        allowance.used += 1
        return True

    def release(self, name: str) -> None:
        """Return one acquired unit of a level."""
        self.allowances[name].used -= 1

    def excess_units(self, now: float, name: str) -> int:
        """Return the units of a level above the allowed amount. Idle ones are to be released."""
        allowed = math.floor(self.allowed_amount(now, name) + AMOUNT_TOLERANCE)
        return max(0, self.allowances[name].used - allowed)

    def spend(self, now: float, name: str) -> float:
        """Spend one token of a rate if one is available.

        Returns:
            0 if a token was spent, else the seconds until one is available; infinite if none becomes
            available without a grant.
        """
        allowance = self.allowances[name]
        allowance.requested += 1
        self.refill(now, allowance)
        if allowance.tokens >= 1 - AMOUNT_TOLERANCE:
            allowance.tokens -= 1
            return 0.0
        rate = self.allowed_amount(now, name)
        if rate <= 0 or self.max_tokens(now, allowance) < 1 - AMOUNT_TOLERANCE:
            return math.inf
        return (1 - allowance.tokens) / rate

    def max_tokens(self, now: float, allowance: BudgetAllowance) -> float:
        """Return the most tokens of a rate that may accumulate."""
        reserve_tokens = 1.0 if allowance.reserve_share > 0 else 0.0
        return reserve_tokens + allowance.burst_ratio * self.granted_amount(now, allowance)

    def refill(self, now: float, allowance: BudgetAllowance) -> None:
        """Add the tokens accrued since the last refill. The grant adds tokens only until it expires."""
        elapsed = now - allowance.counted_at
        if allowance.budget.kind == LEVEL or elapsed <= 0:
            return
        granted_time = min(max(0.0, min(now, self.granted_until) - allowance.counted_at), elapsed)
        new_tokens = allowance.reserve_share * elapsed + allowance.granted * granted_time
        allowance.tokens = min(self.max_tokens(now, allowance), allowance.tokens + new_tokens)
        allowance.counted_at = now

    def status(self, now: float) -> dict[str, object]:
        """Return this gateway's budgets for operators, as JSON."""
        return {
            "life": self.incarnation,
            "term": self.term,
            "ends_in": round(max(0.0, self.granted_until - now), 3),
            "reserve": self.uses_reserve,
            "superseded": self.is_superseded,
            "counts": dict(self.counts),
            "budgets": {
                name: {
                    "share": allowance.reserve_share,
                    "granted": self.granted_amount(now, allowance),
                    "used": allowance.used,
                    "over": self.excess_units(now, name) if allowance.budget.kind == LEVEL else 0,
                }
                for name, allowance in self.allowances.items()
            },
        }
