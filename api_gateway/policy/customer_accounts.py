"""What this gateway knows of customers' quotas: windows, leases, ceilings and the use of plans.

A quota holds over all gateways. A shared counter adds up what they charge in each window; a gateway leases
units from it ahead of need, or admits a small allowance uncharged and charges that later.
"""

from __future__ import annotations

import hashlib
import math
import random
from typing import TYPE_CHECKING

from api_gateway import interface as api

if TYPE_CHECKING:
    from api_gateway.policy.counter_calls import LeaseCall

MAX_ACCOUNT_IDLE_S = 60.0  # life of an account without requests

# Uncharged use
UNCHARGED_ALLOWANCE_FRACTION = 0.5  # of this gateway's even part of what is left: may be admitted uncharged
CHARGE_THRESHOLD_FRACTION = 0.5  # of that allowance: so much uncharged use starts a call that charges it
FRACTIONAL_QUOTA_REFILL_FRACTION = (
    0.5  # part of the refill counted where the even part of a burst is under a unit,
)
# since there the overdraft of the last window is seldom brought along

# Leases
MIN_STRANDING_PROBABILITY = 0.05  # least chance that an unspent leased unit is missed at another gateway

# Use of plans
GRANT_RATE_WINDOW_S = 10.0  # over which a plan's granted rate is averaged
GRANT_CREDIT_LIMIT_S = 2.0  # of that rate: what may be admitted at once without asking
MIN_OVER_QUOTA_COST = 0.2  # of a unit forwarded beyond quota, in its own value: it loads what all share

# Running means
MEAN_GAIN = 0.05  # weight of a new value
FAST_MEAN_GAIN = 0.15  # the same where a change must show within a few values


def stable_hash(*parts: object) -> int:
    """Return a hash of the parts' texts that is the same in each process: 63 bits, not negative."""
    text = "\x1f".join(str(part) for part in parts).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big") >> 1


class Account:
    """A customer's quota as this gateway sees it, in windows of one length.

    A window refills at the plan's rate and holds at most a burst. Units are the plan's; times are seconds
    of the module's clock.
    """

    def __init__(
        self,
        request: api.Request,
        plan: api.Plan,
        gateway_started_at: float,
        now: float,
        rng: random.Random,
        clock_offset: float = 0.0,
    ) -> None:
        """Begin an account with an empty ceiling and nothing charged.

        Args:
            request: The request that needs it.
            plan: The customer's plan.
            gateway_started_at: When this gateway began to decide; the ceiling fills up from then on.
            now: The time, s.
            rng: The gateway's generator; one number is drawn here and one with each new window.
            clock_offset: s by which the cluster's time, which names the windows, is ahead of `now`.
        """
        self.name = request.customer
        self.gateway_spread = request.gateway_spread
        self.set_plan(plan)
        self.rng = rng
        self.last_request_at = now
        self.local_open_attempts = 0  # within this gateway's own part of the limit
        self.waiting_request_ids: list[str] = []  # ids of those that wait for the pending call
        self.pending_call: LeaseCall | None = None
        self.previous_accounts: list[Account] = []  # in other windows, while these or their attempts last

        self.clock_offset = clock_offset
        self.window_length = plan.burst / plan.rate if plan.rate else 1.0
        self.window_phase = stable_hash(self.name, "phase") % 4096 / 4096 * self.window_length
        self.window_number = self.window_number_at(now)
        self.window_started_at = self.window_start(self.window_number)
        self.exhausted_until = 0.0
        self.rounding_draw = rng.random()  # rounds what is less than a request, once a window

        self.leased_units = 0.0  # leased and not spent
        self.uncharged_units = 0.0  # admitted and not charged at the counter
        self.uncharged_since = now
        self.unconfirmed_units = 0.0  # charged by calls that got no answer
        self.unconfirmed_bucket_level = (
            0.0  # admitted, not confirmed as charged nor made good by an even refill
        )
        self.unconfirmed_bucket_updated_at = now
        self.contributed_units = 0.0  # in the counter's total from this gateway alone
        self.counter_total = 0.0  # as last known, with what was charged since
        self.overdraft = 0.0  # of the window before, which counts in this one
        self.uncontributed_overdraft = 0.0  # the same, while this gateway has not brought it along
        self.timed_out_units = (
            0.0  # added to the count of this window by calls that were lost, if they were added
        )
        self.carried_units = 0.0  # owed here from earlier windows
        self.others_carried_units = 0.0  # owed by the other gateways from windows of another length
        self.used_units = 0.0  # in this window, here
        self.previous_used_units = 0.0  # in the window before
        self.lifetime_used_units = 0.0  # ever

        # An even part of the ceiling is enforced here alone, so that no failure can exceed it. It is empty
        # at the start, since what the gateway's last incarnation used is unknown.
        self.ceiling_updated_at = now
        filled = (now - gateway_started_at) * plan.ceiling_rate
        self.ceiling_units = min(plan.ceiling_burst, filled) / self.gateway_spread

    def set_plan(self, plan: api.Plan) -> None:
        """Go on under another plan whose windows are of the same length."""
        self.plan = plan
        self.has_fractional_quota = 0 < plan.burst < self.gateway_spread  # an even part is under a unit

    def has_same_windows_as(self, other: Account) -> bool:
        """Say whether both have the same windows, by length and by time."""
        is_same_length = math.isclose(self.window_length, other.window_length)
        return is_same_length and self.clock_offset == other.clock_offset

    def window_number_at(self, now: float) -> int:
        """Return the number of the window that `now` lies in."""
        return math.floor((now + self.clock_offset - self.window_phase) / self.window_length)

    def window_start(self, window_number: int) -> float:
        """Return when a window begins, by the module's clock."""
        return window_number * self.window_length + self.window_phase - self.clock_offset

    def advance_window(self, now: float) -> None:
        """Turn to the window of `now`: leases lapse, and what is owed is carried into it.

        What the count holds beyond the burst is an overdraft, which one gateway brings along for all. What
        this gateway admitted and no answer confirmed as charged is known here alone, so it stays owed here.
        """
        number = self.window_number_at(now)
        if number == self.window_number:
            return
        refilled = self.plan.burst * (number - self.window_number)
        started_at = self.window_start(number)
        if self.has_fractional_quota:  # a unit admitted here stands for one at each gateway
            carried = 0.0
            overdraft = max(0.0, self.counter_total + self.uncharged_units * self.gateway_spread - refilled)
        else:
            carried = self.owed_units(started_at, refilled)
            overdraft = max(0.0, self.confirmed_total() - refilled)
        self.previous_used_units = self.used_units if number == self.window_number + 1 else 0.0
        self.window_number = number
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
        """Return the units charged in this window by calls that are out or were lost."""
        call = self.pending_call
        if call is None or call.window_number != self.window_number:
            return self.unconfirmed_units
        return self.unconfirmed_units + call.charged_units

    def confirmed_total(self) -> float:
        """Return the units that the count is known to hold."""
        return self.counter_total - self.unanswered_charge()

    def owed_units(self, end: float, refilled: float) -> float:
        """Return the units admitted here that no answer confirmed as charged and no refill made good.

        Args:
            end: When the window ends, s.
            refilled: Units by which all windows until then refill the quota.
        """
        admitted = self.uncharged_units + self.unanswered_charge()
        spare = max(0.0, refilled - self.confirmed_total())
        return max(0.0, min(admitted, max(admitted - spare, self.unconfirmed_bucket_level_at(end))))

    def unconfirmed_bucket_level_at(self, now: float) -> float:
        """Return what this gateway's even part of the refill has not made good of its unconfirmed units."""
        refill = self.plan.rate / self.gateway_spread * (now - self.unconfirmed_bucket_updated_at)
        return max(0.0, self.unconfirmed_bucket_level - refill)

    def confirm_charges(self) -> None:
        """Note that the count holds all that was charged; what was admitted since is not charged yet."""
        self.unconfirmed_units = 0.0
        self.unconfirmed_bucket_level = min(self.unconfirmed_bucket_level, self.uncharged_units)

    def record_use(self, units: float) -> None:
        """Note that units were admitted here."""
        self.used_units += units
        self.lifetime_used_units += units

    def admit_uncharged(self, now: float, units: float) -> None:
        """Note that units were admitted that no call has charged yet."""
        if not self.uncharged_units:
            self.uncharged_since = now
        self.uncharged_units += units
        self.unconfirmed_bucket_level = self.unconfirmed_bucket_level_at(now) + units
        self.unconfirmed_bucket_updated_at = now

    def unrefilled_units(self, now: float) -> float:
        """Return what of the uncharged units the refill has not made good, however full the window was."""
        return max(0.0, self.uncharged_units - self.plan.rate * (now - self.uncharged_since))

    def carry_over_from(self, old: Account, now: float) -> None:
        """Take over the use of an account whose windows have another length or another time.

        A count in new windows begins from nothing, so each gateway owes what it admitted itself, at most
        what the refill has not made good, and relies on the others to do the same. This window has refilled
        nothing so far. Harm: leases that are not spent lapse as at the end of a window.
        """
        refill = old.window_quota(now) - old.plan.burst
        used = old.counter_total + old.uncharged_units - max(refill, old.overdraft)
        missing = max(old.unrefilled_units(now), used)
        self.uncharged_units = min(old.carried_units + old.used_units, missing)
        self.carried_units = self.uncharged_units
        self.unconfirmed_bucket_level = self.uncharged_units
        self.overdraft = self.window_quota(now) - self.plan.burst + max(0.0, old.overdraft - refill)
        self.others_carried_units = missing - self.carried_units
        self.counter_total = self.overdraft + self.others_carried_units
        self.previous_used_units = max(old.used_units, old.previous_used_units)
        if old.plan.ceiling_rate:
            self.ceiling_units = min(self.ceiling_units, old.remaining_ceiling(now))

    def window_quota(self, now: float) -> float:
        """Return the units that all gateways may have used in this window by `now`."""
        part = FRACTIONAL_QUOTA_REFILL_FRACTION if self.has_fractional_quota else 1.0
        return self.plan.burst + part * self.plan.rate * (now - self.window_started_at)

    def remaining_units(self, now: float) -> float:
        """Return the units left over all gateways, as far as is known here."""
        return min(self.plan.burst, self.window_quota(now) - self.counter_total) - self.uncharged_units

    def uncharged_allowance(self, now: float, *, is_counter_failing: bool) -> float:
        """Return the units that may be admitted here before they are charged.

        Args:
            now: The time, s.
            is_counter_failing: Then the whole even part of what is left may be.
        """
        left = self.window_quota(now) - self.confirmed_total()
        part = max(0.0, min(self.plan.burst, left)) / self.gateway_spread
        allowed = part if is_counter_failing else part * UNCHARGED_ALLOWANCE_FRACTION
        return allowed - self.unanswered_charge() + self.refilled_carried_units(now)

    def refilled_carried_units(self, now: float) -> float:
        """Return the carried units that are not in the count and that this gateway's refill has made good."""
        if self.contributed_units:
            return 0.0
        refill = self.plan.rate / self.gateway_spread * (now - self.window_started_at)
        return min(self.carried_units, refill)

    def lease_size(self, call_cost: float) -> int:
        """Return the units to lease at once: sqrt(call cost x use / chance that one is missed elsewhere).

        Args:
            call_cost: Of one call to the counter, in the value of a usual request.
        """
        used_fraction = min(1.0, self.counter_total / self.plan.burst)
        stranding_chance = max(MIN_STRANDING_PROBABILITY, used_fraction * used_fraction)
        size = math.sqrt(call_cost * max(self.previous_used_units, self.used_units) / stranding_chance)
        return max(1, int(min(size, self.plan.burst, max(self.previous_used_units, self.used_units, 1.0))))

    def remaining_ceiling(self, now: float) -> float:
        """Bring the ceiling up to `now` and return the units left under it here; infinite without one."""
        plan = self.plan
        if not plan.ceiling_rate:
            return math.inf
        refill = (now - self.ceiling_updated_at) * plan.ceiling_rate / self.gateway_spread
        self.ceiling_units = min(plan.ceiling_burst / self.gateway_spread, self.ceiling_units + refill)
        self.ceiling_updated_at = now
        return self.ceiling_units


class PlanGrants:
    """What the counter granted to a plan's customers here.

    These share their even parts, so while the counter is silent or congested about as much is admitted as
    before. Harm: a flood of one customer takes the part of others of its plan.
    """

    def __init__(self, now: float, granted_fraction: float) -> None:
        """Begin without grants.

        Args:
            now: The time, s.
            granted_fraction: Part of the asked units that is taken to be granted until answers show more.
        """
        self.granted_fraction = granted_fraction
        self.answer_count = 2  # with those that the first fraction stands for
        self.granted_rate = 0.0  # units a second, a fading mean
        self.granted_rate_updated_at = now
        self.credit_units = 0.0  # that may be admitted without asking
        self.credit_updated_at = now
        self.first_grant_at = math.inf

    def record_grant(self, now: float, requested: float, granted: float) -> None:
        """Take an answer of the counter into account, in units."""
        self.refill_credit(now)
        self.answer_count += 1
        fraction = min(1.0, granted / requested)
        self.granted_fraction += max(MEAN_GAIN, 1 / self.answer_count) * (fraction - self.granted_fraction)
        faded = self.granted_rate * math.exp((self.granted_rate_updated_at - now) / GRANT_RATE_WINDOW_S)
        self.granted_rate = faded + granted / GRANT_RATE_WINDOW_S
        self.granted_rate_updated_at = now
        self.first_grant_at = min(self.first_grant_at, now)

    def refill_credit(self, now: float) -> None:
        """Add what the plan's usual rate grants until `now`.

        The mean is taken from the first grant on: over its whole window it would be too low for long at each
        start. Harm: a start with more traffic than usual admits more for a while.
        """
        observed = max(now - self.first_grant_at, GRANT_RATE_WINDOW_S / 2)
        rate = self.granted_rate / -math.expm1(-observed / GRANT_RATE_WINDOW_S)
        limit = max(1.0, rate * GRANT_CREDIT_LIMIT_S)
        self.credit_units = min(limit, self.credit_units + rate * (now - self.credit_updated_at))
        self.credit_updated_at = now

    def unchecked_admission_cost(self, plan: api.Plan) -> float:
        """Return the expected cost of admitting a unit without asking, in the value of a unit."""
        return (1 - self.granted_fraction) * max(
            MIN_OVER_QUOTA_COST, plan.over_quota_cost - plan.over_quota_weight
        )


class AccountTable:
    """The customers' accounts at this gateway, in order of their last request."""

    def __init__(self, now: float, rng: random.Random) -> None:
        """Begin empty; `now` is when the gateway started to decide."""
        self.started_at = now
        self.rng = rng
        self.accounts: dict[str, Account] = {}

    def account_for(self, now: float, request: api.Request, plan: api.Plan, clock_offset: float) -> Account:
        """Return the account of a request's customer, and forget the one that was idle longest.

        Args:
            now: The time, s.
            request: The request.
            plan: The customer's plan by the present settings.
            clock_offset: s by which the cluster's time is ahead of `now`.
        """
        account = self.accounts.pop(request.customer, None)
        if account is None or account.plan != plan or account.clock_offset != clock_offset:
            account = self.migrate_account(
                now, account, Account(request, plan, self.started_at, now, self.rng, clock_offset)
            )
        self.accounts[request.customer] = account
        account.last_request_at = now
        oldest = next(iter(self.accounts.values()))
        is_idle = now - oldest.last_request_at > MAX_ACCOUNT_IDLE_S
        if is_idle and not (oldest.pending_call or oldest.local_open_attempts):
            del self.accounts[oldest.name]
        return account

    def migrate_account(self, now: float, old: Account | None, fresh: Account) -> Account:
        """Return the account to go on with: `fresh`, or one whose windows go on under the new plan.

        Args:
            now: The time, s.
            old: The customer's account so far, if there is one.
            fresh: A new one for the present plan and time.
        """
        if old is None:
            return fresh
        old.advance_window(now)
        if old.has_same_windows_as(fresh):
            old.set_plan(fresh.plan)
            return old
        previous = [
            account
            for account in (*old.previous_accounts, old)
            if account.local_open_attempts
            or account.pending_call
            or account.window_number_at(now) == account.window_number
        ]
        for account in previous:
            if account.has_same_windows_as(fresh) and account.window_number_at(now) == account.window_number:
                account.set_plan(fresh.plan)
                missed = (
                    old.lifetime_used_units - account.lifetime_used_units
                )  # its count has not heard of these
                account.admit_uncharged(now, missed)
                account.record_use(missed)
                fresh = account
                break
        else:
            fresh.carry_over_from(old, now)
        fresh.lifetime_used_units = old.lifetime_used_units
        fresh.previous_accounts = [account for account in previous if account is not fresh]
        return fresh
