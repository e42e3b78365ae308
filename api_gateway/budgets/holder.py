"""What one gateway may use: its share of the reserve, and what it was granted. No I/O, no clock, no globals.

Times are of the gateway's own clock, which only goes forward and counts while the machine sleeps. A grant
ends `grant_duration` after the exchange was sent that it answers, so before the grantor takes it for ended.
Of all responses only the one to the latest exchange is accepted, and none of an older term than the newest
seen.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass

from api_gateway.budgets.terms import (
    AMOUNT_TOLERANCE,
    LEVEL,
    Budget,
    BudgetReport,
    ExchangeRequest,
    GrantResponse,
    Terms,
)

PROMPT_CONFIRM_FRACTION = 0.1  # of a grant: one that shrank by more is confirmed at once
MIN_REPORT_SPAN_S = 0.2  # under which two reports count as one


@dataclass(slots=True)
class BudgetAllowance:
    """One budget at one gateway.

    Attributes:
        budget: Its terms.
        reserve_share: Units of the reserve that are always allowed.
        granted: Units of the last response; they count until the grants end.
        burst_ratio: Units of a rate that may be saved up for each that is granted a second.
        used: Units of a level that are in use.
        tokens: Units of a rate that are saved up; none at a start, or restarts would mint them.
        counted_at: When the tokens were counted.
        requested: Of a rate, units requested since the last report.
        peak: Of a level, most units in use or wanted at once since the last report.
        holding: Of a level, the granted units that are not given back yet.
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
        uses_reserve: Whether this process alone may use the share of the reserve that goes with its index;
            two incarnations of one gateway must never both do so.
        granted_until: When all that was granted ends.
        confirm_soon: Whether others wait for this gateway to confirm that it has less.
        is_superseded: Whether a newer incarnation is there: this one is granted nothing more.
        counts: Responses that were not accepted, by cause.
    """

    def __init__(
        self,
        terms: Terms,
        name: str,
        zone: str,
        index: int,
        incarnation: int,
        has_reserve: bool,
        now: float,
    ) -> None:
        """Begins without a grant.

        Args:
            terms: Those of the grantor.
            name: The gateway's name.
            zone: Its zone.
            index: Its number; from `max_gateways` on it has no share of the reserve.
            incarnation: Larger than that of any earlier process of this name.
            has_reserve: Whether this process alone has the gateway's share of the reserve.
            now: The gateway's clock in seconds.
        """
        self.terms = terms
        self.name = name
        self.zone = zone
        self.index = index
        self.incarnation = incarnation
        self.uses_reserve = has_reserve and index < terms.max_gateways
        self.allowances = {
            budget.name: BudgetAllowance(budget, self.reserve_share_of(budget), counted_at=now)
            for budget in terms.budgets
        }
        self.granted_until = -math.inf
        self.sequence = 0
        self.sent_at = now
        self.awaits_response = False
        self.reported_at = now
        self.term = 0
        self.was_answered = False
        self.confirm_soon = False
        self.was_confirming = False  # the last exchange was a prompt one: no two in a row
        self.is_superseded = False
        self.counts: Counter[str] = Counter()

    def reserve_share_of(self, budget: Budget) -> float:
        """Returns the units of the reserve that this process may use."""
        return self.terms.reserve_share(budget) if self.uses_reserve else 0.0

    def start_using_reserve(self, now: float) -> None:
        """Uses the gateway's share of the reserve from now on: no other process does any longer."""
        self.uses_reserve = self.index < self.terms.max_gateways
        for allowance in self.allowances.values():
            self.refill(now, allowance)
            allowance.reserve_share = self.reserve_share_of(allowance.budget)

    # Exchanges

    def make_exchange(self, now: float) -> ExchangeRequest:
        """Returns what to send. Its response, and no older one, will be accepted."""
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
        """Returns the report of one budget over the last `span` seconds, and begins the next one."""
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
        """Returns the granted units to which this gateway limits itself.

        What is in use of a level beyond a grant that became smaller counts until it has been released.
        """
        granted = self.granted_amount(now, allowance)
        if allowance.budget.kind != LEVEL:
            return granted
        in_use = min(allowance.holding, allowance.used - allowance.reserve_share)
        allowance.holding = max(granted, in_use, 0.0)
        return allowance.holding

    def granted_amount(self, now: float, allowance: BudgetAllowance) -> float:
        """Returns the units that are granted now."""
        return allowance.granted if now < self.granted_until else 0.0

    def on_response(self, now: float, response: GrantResponse) -> bool:
        """Takes the grants of a response; returns whether it was accepted."""
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
        self.granted_until = self.sent_at + min(response.duration, self.terms.grant_duration)
        for allowance in self.allowances.values():
            self.refill(now, allowance)
        return True

    def set_granted(self, now: float, allowance: BudgetAllowance, granted: float, burst_ratio: float) -> None:
        """Takes the grant of one budget."""
        self.refill(now, allowance)
        before = self.granted_amount(now, allowance)
        has_shrunk = granted < before * (1 - PROMPT_CONFIRM_FRACTION)
        self.confirm_soon = self.confirm_soon or (has_shrunk and not self.was_confirming)
        if allowance.budget.kind == LEVEL:
            allowance.holding = max(granted, self.update_holding(now, allowance))
        allowance.granted = granted
        allowance.burst_ratio = burst_ratio

    def on_stale_incarnation(self, newest: int) -> None:
        """Handles the word of the grantor that it knows a newer incarnation of this name.

        A process that starts goes above it: its wall clock was set back. One that was answered before has
        been replaced.
        """
        if self.was_answered:
            self.is_superseded = True
        else:
            self.incarnation = newest + 1
            self.sequence = 0
        self.awaits_response = False

    # Use

    def allowed_amount(self, now: float, name: str) -> float:
        """Returns the units of a level, or units a second, that may be used now."""
        allowance = self.allowances[name]
        return allowance.reserve_share + self.granted_amount(now, allowance)

    def acquire(self, now: float, name: str, wanted: int = 1) -> bool:
        """Takes one more unit of a level, to be given back by `release`; returns whether there was one.

        Args:
            now: The gateway's clock in seconds.
            name: The budget.
            wanted: How many more units have a use, for the next report.
        """
        allowance = self.allowances[name]
        allowance.peak = max(allowance.peak, allowance.used + wanted)
        if allowance.used + 1 > self.allowed_amount(now, name) + AMOUNT_TOLERANCE:
            return False
        allowance.used += 1
        return True

    def release(self, name: str) -> None:
        """Gives one unit of a level back."""
        self.allowances[name].used -= 1

    def excess_units(self, now: float, name: str) -> int:
        """Returns the units of a level that are to be released as soon as nothing needs them."""
        allowed = math.floor(self.allowed_amount(now, name) + AMOUNT_TOLERANCE)
        return max(0, self.allowances[name].used - allowed)

    def spend(self, now: float, name: str) -> float:
        """Spends one unit of a rate if there is one.

        Returns:
            0 where it was spent; else the seconds after which there will be one, infinite where there is
            never one without a grant.
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
        """Returns the units of a rate that may be saved up."""
        of_reserve = 1.0 if allowance.reserve_share > 0 else 0.0
        return of_reserve + allowance.burst_ratio * self.granted_amount(now, allowance)

    def refill(self, now: float, allowance: BudgetAllowance) -> None:
        """Adds the tokens that came since they were counted: those of the grant only until it ended."""
        elapsed = now - allowance.counted_at
        if allowance.budget.kind == LEVEL or elapsed <= 0:
            return
        granted_time = min(max(0.0, min(now, self.granted_until) - allowance.counted_at), elapsed)
        fresh = allowance.reserve_share * elapsed + allowance.granted * granted_time
        allowance.tokens = min(self.max_tokens(now, allowance), allowance.tokens + fresh)
        allowance.counted_at = now

    def status(self, now: float) -> dict[str, object]:
        """Returns what operators see of this gateway's budgets, as JSON."""
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
