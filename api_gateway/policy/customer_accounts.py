"""Quota accounting of one gateway: each customer's window, lease and ceiling, and the grants of each plan.

A quota applies to all gateways together. A shared counter sums the units that they charge in each window. A
gateway leases units from the counter ahead of need, or admits a small allowance uncharged and charges it
with its next call.
"""

from __future__ import annotations

import hashlib
import math
import random
from typing import TYPE_CHECKING

from api_gateway import interface as api

if TYPE_CHECKING:
    from api_gateway.policy.counter_calls import LeaseCall

# Uncharged admissions

# Fraction of this gateway's even portion of the remaining quota that it may admit uncharged.
UNCHARGED_ALLOWANCE_FRACTION = 0.5
# Fraction of that allowance at which the uncharged units are charged by a call.
CHARGE_THRESHOLD_FRACTION = 0.5
# Fraction of the refill that is counted where a gateway's even portion of the burst is less than one unit.
# There the previous window's overdraft is seldom carried over to the counter.
FRACTIONAL_QUOTA_REFILL_FRACTION = 0.5

# Leases

# Lower bound of the probability that an unspent leased unit is needed at another gateway.
MIN_STRANDING_PROBABILITY = 0.05

# Grants of plans

GRANT_RATE_WINDOW_S = 10.0  # time over which a plan's granted rate is averaged
GRANT_CREDIT_LIMIT_S = 2.0  # seconds of the granted rate that may be admitted at once without a call
# Lower bound of the cost of a unit forwarded over quota, as a fraction of the unit's value. Such a unit loads
# endpoints that all customers use.
MIN_OVER_QUOTA_COST = 0.2

# Running means

MEAN_GAIN = 0.05  # weight of a new value
FAST_MEAN_GAIN = 0.15  # weight of a new value where a change must show within a few values


def stable_hash(*parts: object) -> int:
    """Return a non-negative 63-bit hash of the parts' texts that is the same in every process."""
    text = "\x1f".join(str(part) for part in parts).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big") >> 1


class Account:
    """A customer's quota as this gateway sees it, in windows of one fixed length.

    A window refills at the plan's rate and holds at most one burst. Amounts are in the plan's units. Times
    are in seconds of the engine's clock, the one that `now` arguments come from.
    """

    __slots__ = (
        "name",
        "gateway_spread",
        "rng",
        "last_request_at",
        "local_open_attempts",
        "waiting_request_ids",
        "pending_call",
        "previous_accounts",
        "clock_offset",
        "window_length",
        "window_phase",
        "window_number",
        "window_started_at",
        "exhausted_until",
        "rounding_draw",
        "leased_units",
        "uncharged_units",
        "uncharged_since",
        "unconfirmed_units",
        "unconfirmed_bucket_level",
        "unconfirmed_bucket_updated_at",
        "contributed_units",
        "counter_total",
        "overdraft",
        "uncontributed_overdraft",
        "timed_out_units",
        "carried_units",
        "others_carried_units",
        "used_units",
        "previous_used_units",
        "lifetime_used_units",
        "ceiling_updated_at",
        "ceiling_units",
        "plan",
        "has_fractional_quota",
    )

    def __init__(
        self,
        request: api.Request,
        plan: api.Plan,
        gateway_started_at: float,
        now: float,
        rng: random.Random,
        clock_offset: float = 0.0,
    ) -> None:
        """Create an account with nothing charged and a ceiling that has filled since the gateway's start.

        Args:
            request: The customer's request for which the account is created.
            plan: The customer's plan.
            gateway_started_at: When this gateway started to decide. Its portion of the ceiling is empty then.
            now: The time, s.
            rng: The gateway's generator. One number is drawn here and one in each new window.
            clock_offset: Seconds by which the cluster's time, which numbers the windows, is ahead of `now`.
        """
        self.name = request.customer
        self.gateway_spread = request.gateway_spread
        self.set_plan(plan)
        self.rng = rng
        self.last_request_at = now
        self.local_open_attempts = 0  # attempts admitted by this gateway's portion of the limit
        self.waiting_request_ids: list[str] = []  # requests that wait for the pending call
        self.pending_call: LeaseCall | None = None
        # Accounts of the same customer with other windows, until those windows and their attempts have ended
        self.previous_accounts: list[Account] = []

        self.clock_offset = clock_offset
        self.window_length = plan.burst / plan.rate if plan.rate else 1.0
        self.window_phase = stable_hash(self.name, "phase") % 4096 / 4096 * self.window_length
        self.window_number = self.window_number_at(now)
        self.window_started_at = self.window_start(self.window_number)
        self.exhausted_until = 0.0
        self.rounding_draw = rng.random()  # rounds allowances smaller than a request, drawn once a window

        self.leased_units = 0.0  # leased and not spent
        self.uncharged_units = 0.0  # admitted here and not charged at the counter
        self.uncharged_since = now
        self.unconfirmed_units = 0.0  # charged by calls that timed out
        # Leaky bucket of units that were admitted here and are not confirmed as charged. It drains at this
        # gateway's even portion of the refill.
        self.unconfirmed_bucket_level = 0.0
        self.unconfirmed_bucket_updated_at = now
        self.contributed_units = 0.0  # part of the counter's total that this gateway added
        self.counter_total = 0.0  # last known total of the window, plus what was charged since
        self.overdraft = 0.0  # of the previous window, counted as used in this one
        # The overdraft, or 0 once this gateway has added it to the counter
        self.uncontributed_overdraft = 0.0
        self.timed_out_units = 0.0  # sent in this window by calls that timed out, so possibly counted
        self.carried_units = 0.0  # owed by this gateway from earlier windows
        self.others_carried_units = 0.0  # owed by the other gateways from windows of another length
        self.used_units = 0.0  # admitted here in this window
        self.previous_used_units = 0.0  # admitted here in the previous window
        self.lifetime_used_units = 0.0  # admitted here, over all consecutive accounts of the customer

        # This gateway enforces its even portion of the ceiling by itself, so that the ceiling holds whatever
        # fails. The portion is empty when the gateway starts, because what the gateway's previous incarnation
        # used is unknown.
        self.ceiling_updated_at = now
        filled = (now - gateway_started_at) * plan.ceiling_rate
        self.ceiling_units = min(plan.ceiling_burst, filled) / self.gateway_spread

    def set_plan(self, plan: api.Plan) -> None:
        """Switch to a plan whose windows have the same length."""
        self.plan = plan
        self.has_fractional_quota = 0 < plan.burst < self.gateway_spread  # the even portion is under a unit

    def has_same_windows_as(self, other: Account) -> bool:
        """Return whether the windows of both accounts have the same length and the same clock offset."""
        is_same_length = math.isclose(self.window_length, other.window_length)
        return is_same_length and self.clock_offset == other.clock_offset

    def window_number_at(self, now: float) -> int:
        """Return the number of the window that contains `now`."""
        return math.floor((now + self.clock_offset - self.window_phase) / self.window_length)

    def window_start(self, window_number: int) -> float:
        """Return the start time of a window by the engine's clock."""
        return window_number * self.window_length + self.window_phase - self.clock_offset

    def advance_window(self, now: float) -> None:
        """Switch to the window of `now`: leases lapse, and owed units are carried over.

        Units that the counter holds above the refill are an overdraft, which one gateway adds to the new
        window's count for all gateways. Units that this gateway admitted without a confirmed charge are known
        only here, so this gateway keeps owing them.
        """
        window_number = self.window_number_at(now)
        if window_number == self.window_number:
            return
        refilled = self.plan.burst * (window_number - self.window_number)
        started_at = self.window_start(window_number)
        if self.has_fractional_quota:  # assume that each gateway admitted as many uncharged units as this one
            carried = 0.0
            overdraft = max(0.0, self.counter_total + self.uncharged_units * self.gateway_spread - refilled)
        else:
            carried = self.owed_units(started_at, refilled)
            overdraft = max(0.0, self.confirmed_total() - refilled)
        self.previous_used_units = self.used_units if window_number == self.window_number + 1 else 0.0
        self.window_number = window_number
        self.window_started_at = started_at
        self.leased_units = 0.0
        self.uncharged_units = carried
        self.uncharged_since = started_at
        self.unconfirmed_units = 0.0
        self.unconfirmed_bucket_level = carried
        self.unconfirmed_bucket_updated_at = started_at
        self.contributed_units = 0.0
        self.used_units = 0.0
        self.exhausted_until = 0.0
        self.counter_total = overdraft
        self.overdraft = overdraft
        self.uncontributed_overdraft = 0.0 if self.has_fractional_quota else overdraft
        self.timed_out_units = 0.0
        self.rounding_draw = self.rng.random()
        self.carried_units = carried
        self.others_carried_units = 0.0

    def unanswered_charge(self) -> float:
        """Return the units charged in this window by calls that are in flight or timed out."""
        call = self.pending_call
        if call is None or call.window_number != self.window_number:
            return self.unconfirmed_units
        return self.unconfirmed_units + call.charged_units

    def confirmed_total(self) -> float:
        """Return the units that the counter is known to hold for this window."""
        return self.counter_total - self.unanswered_charge()

    def is_disposable(self, now: float) -> bool:
        """Return whether nothing refers to this account, and one created anew would admit no more."""
        is_referred_to = self.pending_call or self.waiting_request_ids or self.previous_accounts
        if is_referred_to or self.local_open_attempts:
            return False
        if self.remaining_ceiling(now) < self.plan.ceiling_burst / self.gateway_spread:
            return False
        if not self.plan.rate:
            return True
        carried = self.carried_units + self.others_carried_units + self.overdraft
        window_number = self.window_number_at(now)
        if window_number == self.window_number:
            return not (self.used_units or self.uncharged_units or carried)
        refilled = self.plan.burst * (window_number - self.window_number)
        others_uncharged = self.uncharged_units * self.gateway_spread if self.has_fractional_quota else 0.0
        is_overdrawn = self.counter_total + others_uncharged > refilled
        return not is_overdrawn and not self.owed_units(self.window_start(window_number), refilled)

    def owed_units(self, end: float, refilled: float) -> float:
        """Return the units admitted here that are neither confirmed as charged nor covered by the refill.

        Args:
            end: The time until which the refill counts, s.
            refilled: Units by which the quota refills until then, over all windows.
        """
        admitted = self.uncharged_units + self.unanswered_charge()
        spare = max(0.0, refilled - self.confirmed_total())
        return max(0.0, min(admitted, max(admitted - spare, self.unconfirmed_bucket_level_at(end))))

    def unconfirmed_bucket_level_at(self, now: float) -> float:
        """Return the unconfirmed units that this gateway's even portion of the refill has not covered."""
        refill = self.plan.rate / self.gateway_spread * (now - self.unconfirmed_bucket_updated_at)
        return max(0.0, self.unconfirmed_bucket_level - refill)

    def confirm_charges(self) -> None:
        """Record that the counter holds all charged units; later admissions remain uncharged."""
        self.unconfirmed_units = 0.0
        self.unconfirmed_bucket_level = min(self.unconfirmed_bucket_level, self.uncharged_units)

    def record_use(self, units: float) -> None:
        """Record units that were admitted here."""
        self.used_units += units
        self.lifetime_used_units += units

    def admit_uncharged(self, now: float, units: float) -> None:
        """Record units that were admitted before a call has charged them."""
        if not self.uncharged_units:
            self.uncharged_since = now
        self.uncharged_units += units
        self.unconfirmed_bucket_level = self.unconfirmed_bucket_level_at(now) + units
        self.unconfirmed_bucket_updated_at = now

    def unrefilled_units(self, now: float) -> float:
        """Return the uncharged units that the refill since their admission has not covered.

        How full the window was before does not matter.
        """
        return max(0.0, self.uncharged_units - self.plan.rate * (now - self.uncharged_since))

    def carry_over_from(self, old: Account, now: float) -> None:
        """Take over the used units of an account whose windows have another length or clock offset.

        The counter has no total for the new windows yet. Each gateway therefore owes the units that it
        admitted itself, up to those that the refill has not covered, and relies on the others to do the same.
        The new window counts as having refilled nothing so far. Unspent leases lapse as at the end of a
        window, which is the cost of this rule.
        """
        refill = old.window_quota(now) - old.plan.burst
        used = old.counter_total + old.uncharged_units - max(refill, old.overdraft)
        outstanding = max(old.unrefilled_units(now), used)
        self.uncharged_units = min(old.carried_units + old.used_units, outstanding)
        self.carried_units = self.uncharged_units
        self.unconfirmed_bucket_level = self.uncharged_units
        self.overdraft = self.window_quota(now) - self.plan.burst + max(0.0, old.overdraft - refill)
        self.others_carried_units = outstanding - self.carried_units
        self.counter_total = self.overdraft + self.others_carried_units
        self.previous_used_units = max(old.used_units, old.previous_used_units)
        if old.plan.ceiling_rate:
            self.ceiling_units = min(self.ceiling_units, old.remaining_ceiling(now))

    def window_quota(self, now: float) -> float:
        """Return the units that all gateways together may have used in this window by `now`."""
        refill_fraction = FRACTIONAL_QUOTA_REFILL_FRACTION if self.has_fractional_quota else 1.0
        return self.plan.burst + refill_fraction * self.plan.rate * (now - self.window_started_at)

    def remaining_units(self, now: float) -> float:
        """Return the units left over all gateways, by what this gateway knows."""
        return min(self.plan.burst, self.window_quota(now) - self.counter_total) - self.uncharged_units

    def uncharged_allowance(self, now: float, *, is_counter_failing: bool) -> float:
        """Return the units that may be admitted here before they are charged.

        Args:
            now: The time, s.
            is_counter_failing: Whether the counter fails. This gateway's whole even portion of the remaining
                quota may then be admitted.
        """
        remaining = self.window_quota(now) - self.confirmed_total()
        even_portion = max(0.0, min(self.plan.burst, remaining)) / self.gateway_spread
        allowed = even_portion if is_counter_failing else even_portion * UNCHARGED_ALLOWANCE_FRACTION
        return allowed - self.unanswered_charge() + self.refilled_carried_units(now)

    def refilled_carried_units(self, now: float) -> float:
        """Return the carried units that are not in the counter and are covered by this gateway's refill."""
        if self.contributed_units:
            return 0.0
        refill = self.plan.rate / self.gateway_spread * (now - self.window_started_at)
        return min(self.carried_units, refill)

    def lease_size(self, call_cost: float) -> int:
        """Return the units to lease with one call.

        The size that balances the cost of calls against leased units that other gateways lack is
        sqrt(call cost x used units / stranding probability).

        Args:
            call_cost: Cost of one call to the counter, relative to the value of an average request.
        """
        used_fraction = min(1.0, self.counter_total / self.plan.burst)
        stranding_probability = max(MIN_STRANDING_PROBABILITY, used_fraction * used_fraction)
        size = math.sqrt(call_cost * max(self.previous_used_units, self.used_units) / stranding_probability)
        return max(1, int(min(size, self.plan.burst, max(self.previous_used_units, self.used_units, 1.0))))

    def remaining_ceiling(self, now: float) -> float:
        """Refill the ceiling until `now` and return its units left here; infinite without a ceiling."""
        plan = self.plan
        if not plan.ceiling_rate:
            return math.inf
        refill = (now - self.ceiling_updated_at) * plan.ceiling_rate / self.gateway_spread
        self.ceiling_units = min(plan.ceiling_burst / self.gateway_spread, self.ceiling_units + refill)
        self.ceiling_updated_at = now
        return self.ceiling_units


class PlanGrants:
    """What the counter recently granted to the customers of a plan at this gateway.

    The customers of a plan draw on one common credit, so that about as much is admitted while the counter is
    silent or congested as before. The cost is that a flood of one customer uses up the credit of the others.
    """

    def __init__(self, now: float, granted_fraction: float) -> None:
        """Create the statistics without any grant.

        Args:
            now: The time, s.
            granted_fraction: Fraction of the requested units that is assumed to be granted until the first
                answers.
        """
        self.granted_fraction = granted_fraction
        self.answer_count = 2  # the initial fraction counts as two answers
        self.granted_rate = 0.0  # units a second, an exponentially decaying mean
        self.granted_rate_updated_at = now
        self.credit_units = 0.0  # may be admitted without a call to the counter
        self.credit_updated_at = now
        self.first_grant_at = math.inf

    def record_grant(self, now: float, requested: float, granted: float) -> None:
        """Update the means by an answer of the counter; both amounts are in units."""
        self.refill_credit(now)
        self.answer_count += 1
        fraction = min(1.0, granted / requested)
        self.granted_fraction += max(MEAN_GAIN, 1 / self.answer_count) * (fraction - self.granted_fraction)
        decayed_rate = self.granted_rate * math.exp(
            (self.granted_rate_updated_at - now) / GRANT_RATE_WINDOW_S
        )
        self.granted_rate = decayed_rate + granted / GRANT_RATE_WINDOW_S
        self.granted_rate_updated_at = now
        self.first_grant_at = min(self.first_grant_at, now)

    def refill_credit(self, now: float) -> None:
        """Add the units that the plan's mean granted rate yields until `now`.

        The mean is taken over the time since the first grant. Over the whole averaging window it would be too
        low for long after each start. The cost is that a start with unusually much traffic admits more for a
        while.
        """
        observed_s = max(now - self.first_grant_at, GRANT_RATE_WINDOW_S / 2)
        rate = self.granted_rate / -math.expm1(-observed_s / GRANT_RATE_WINDOW_S)
        limit = max(1.0, rate * GRANT_CREDIT_LIMIT_S)
        self.credit_units = min(limit, self.credit_units + rate * (now - self.credit_updated_at))
        self.credit_updated_at = now

    def unchecked_admission_cost(self, plan: api.Plan) -> float:
        """Return the expected cost of admitting a unit without a call, relative to the unit's value."""
        return (1 - self.granted_fraction) * max(
            MIN_OVER_QUOTA_COST, plan.over_quota_cost - plan.over_quota_weight
        )
