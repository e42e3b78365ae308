"""What a customer has left: windows and leases, and how the counter and the use of plans stand."""

from __future__ import annotations

import hashlib
import math
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from api_gateway import interface as api

if TYPE_CHECKING:
    from api_gateway.policy.request_state import Job

UNCHARGED_ALLOWANCE_FRACTION, CHARGE_THRESHOLD_FRACTION = (
    0.5,
    0.5,
)  # part of the even room passed uncharged; part of that which is then charged
MIN_STRANDING_CHANCE = (
    0.05  # least chance that an unspent unit is missed elsewhere (c2), customer nearly idle
)
FRACTIONAL_SHARE_REFILL = (
    0.5  # part of the refill in a thin customer's hold: its overdrafts are seldom brought along
)
CONGESTED_LATENCY_FRACTION, CONGESTION_PRICE_SLOPE = (
    0.5,
    4.0,
)  # part of the time-out from which a call is rationed; price there, in tries
HALF_CONGESTION_GATEWAY_COUNT = 20.0  # gateways that are half a crowd, before the counter has been heard
GRANT_RATE_WINDOW_S, GRANT_CREDIT_LIMIT_S = (
    10.0,
    2.0,
)  # s that a plan's granted use is taken over; part of it that may pass at once
MIN_OVER_QUOTA_COST = 0.2  # least cost of a unit sent on beyond quota, in its worth: it loads what all share
BACKOFF_MOST, SILENT_FAILURE_COUNT = (
    1.0,
    2,
)  # s; longest pause of a counter that is silent: so many failures in a row
GAIN, QUICK = 0.05, 0.15  # weight of a new answer in means; where a change must show in a few answers


def stable_hash(*parts: object) -> int:
    text = "\x1f".join(str(p) for p in parts).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big") >> 1


@dataclass(slots=True)
class CounterCall:
    account: Account
    kind: str  # units, slot (a SlotCall) or void
    window_number: int
    charged_units: float = 0.0
    requested_units: float = 0.0
    sampled_units: float = 0.0  # for those that passed unasked
    sample_weight: float = 1.0  # tries that it stands for
    unrefilled_units: float = 0.0  # of the charge: spent just now


@dataclass(slots=True, kw_only=True)
class OpenAttemptCall(CounterCall):
    """For a place among the open attempts: always for one request. What gives a place back is void."""

    job: Job


class Account:
    def __init__(
        self,
        req: api.Request,
        plan: api.Plan,
        born: float,
        now: float,
        rng: random.Random,
        offset: float = 0.0,
    ) -> None:
        """`offset`: s by which the fleet's time, which names the windows, is ahead of `now`."""
        self.name, self.plan, self.gateway_spread, self.open_attempts_here = (
            req.customer,
            plan,
            req.gateway_spread,
            0,
        )
        self.has_fractional_share = (
            0 < plan.burst < self.gateway_spread
        )  # an even part of the burst is less than a unit
        self.window_length = plan.burst / plan.rate if plan.rate else 1.0
        self.window_phase = stable_hash(self.name, "phase") % 4096 / 4096 * self.window_length
        self.clock_offset = offset
        self.window_number = self.window_at(now)
        self.window_started_at = self.window_start(self.window_number)
        self.lease = self.uncharged_units = self.unconfirmed_units = self.counted_units = (
            0.0  # adrift: charged on calls without answer
        )
        self.counter_total = self.overdraft = self.used_units = self.previous_used_units = 0.0
        self.uncharged_since = now
        self.carried_units = self.others_carried_units = self.lifetime_units = (
            0.0  # owed from old windows, here and by others; ever used
        )
        self.previous_accounts: list[
            Account
        ] = []  # the customer's in other windows, as long as these or their work last
        self.pending_call: CounterCall | None = None
        self.exhausted_until, self.last_request_at, self.rng, self.rounding_draw = 0.0, now, rng, rng.random()
        self.waiting_requests: list[str] = []
        # Ceiling: an even share, no failure can pass it; empty at a start, as the last life's use is unknown.
        self.ceiling_updated_at, self.ceiling_units = (
            now,
            min(plan.ceiling_burst, (now - born) * plan.ceiling_rate) / self.gateway_spread,
        )

    def window_at(self, now: float) -> int:
        return math.floor((now + self.clock_offset - self.window_phase) / self.window_length)

    def window_start(self, window: int) -> float:
        """When it begins, by the module's clock."""
        return window * self.window_length + self.window_phase - self.clock_offset

    def advance_window(self, now: float) -> None:
        """Turn to the window of `now`: leases lapse; what passed the burst is carried as debt."""
        k = self.window_at(now)
        if k == self.window_number:
            return
        debt = max(
            0.0,
            self.counter_total
            + self.uncharged_units * self.gateway_spread
            - self.plan.burst * (k - self.window_number),
        )
        self.previous_used_units = self.used_units if k == self.window_number + 1 else 0.0
        self.window_number, self.window_started_at = k, self.window_start(k)
        self.lease = self.uncharged_units = self.unconfirmed_units = self.counted_units = self.used_units = (
            self.exhausted_until
        ) = 0.0
        self.counter_total, self.overdraft, self.rounding_draw = debt, debt, self.rng.random()
        self.carried_units = self.others_carried_units = 0.0

    def record_use(self, units: float) -> None:
        self.used_units += units
        self.lifetime_units += units

    def unrefilled_units(self, now: float) -> float:
        """What of the uncharged the refill has not made good: missing from the store, however full it was."""
        return max(0.0, self.uncharged_units - self.plan.rate * (now - self.uncharged_since))

    def carry_over_from(self, old: Account, now: float) -> None:
        """In windows of another length a count begins from nothing, so each gateway owes what it let pass
        itself, at most what the refill has not made good, and counts on the others to do the same. This
        window has refilled nothing so far. Harm: leases in hand lapse as at a turn."""
        refill = old.window_quota(now) - old.plan.burst
        missing = max(
            old.unrefilled_units(now), old.counter_total + old.uncharged_units - max(refill, old.overdraft)
        )
        self.uncharged_units = self.carried_units = min(old.carried_units + old.used_units, missing)
        self.overdraft = self.window_quota(now) - self.plan.burst + max(0.0, old.overdraft - refill)
        self.others_carried_units = missing - self.carried_units
        self.counter_total, self.previous_used_units = (
            self.overdraft + self.others_carried_units,
            max(old.used_units, old.previous_used_units),
        )
        if old.plan.ceiling_rate:
            self.ceiling_units = min(self.ceiling_units, old.remaining_ceiling(now))

    def window_quota(self, now: float) -> float:
        return self.plan.burst + (
            FRACTIONAL_SHARE_REFILL if self.has_fractional_share else 1.0
        ) * self.plan.rate * (now - self.window_started_at)

    def remaining_units(self, now: float) -> float:
        return min(self.plan.burst, self.window_quota(now) - self.counter_total) - self.uncharged_units

    def uncharged_allowance(self, now: float, silent: bool) -> float:
        part = (
            max(
                0.0,
                min(self.plan.burst, self.window_quota(now) - self.counter_total + self.unconfirmed_units),
            )
            / self.gateway_spread
        )
        return (part if silent else part * UNCHARGED_ALLOWANCE_FRACTION) - self.unconfirmed_units

    def block(self, c1: float) -> int:
        """w = sqrt(c1 A / c2); c2 is the chance that a unit left unspent here is missed elsewhere."""
        full = min(1.0, self.counter_total / self.plan.burst)
        w = math.sqrt(
            c1 * max(self.previous_used_units, self.used_units) / max(MIN_STRANDING_CHANCE, full * full)
        )
        return max(1, int(min(w, self.plan.burst, max(self.previous_used_units, self.used_units, 1.0))))

    def remaining_ceiling(self, now: float) -> float:
        plan = self.plan
        if not plan.ceiling_rate:
            return math.inf
        more = (now - self.ceiling_updated_at) * plan.ceiling_rate / self.gateway_spread
        self.ceiling_units, self.ceiling_updated_at = (
            min(plan.ceiling_burst / self.gateway_spread, self.ceiling_units + more),
            now,
        )
        return self.ceiling_units


class CounterState:
    def __init__(self, settings: api.Settings) -> None:
        self.apply_settings(settings)
        self.failure_count, self.retry_at = int(not self.is_enabled), 0.0
        self.latency_fraction = (
            0.5 * settings.gateway_count / (settings.gateway_count + HALF_CONGESTION_GATEWAY_COUNT)
        )  # many start as in a crowd
        self.is_clock_wrong = False  # counts by this gateway's time would be another window's for the rest

    def apply_settings(self, settings: api.Settings) -> None:
        self.is_enabled, self.timeout, self.price = (
            settings.has_counter,
            settings.counter_timeout,
            settings.counter_price,
        )

    def is_usable(self, now: float) -> bool:
        return (
            self.is_enabled
            and not self.is_clock_wrong
            and (now >= self.retry_at or self.failure_count < SILENT_FAILURE_COUNT)
        )

    def call_probability(self, gain: float) -> float:
        """Chance that a call is made: the less it can change the decision, the sooner it gives way."""
        return min(
            1.0,
            gain
            / max(
                1e-9,
                self.price
                + CONGESTION_PRICE_SLOPE * max(0.0, self.latency_fraction - CONGESTED_LATENCY_FRACTION),
            ),
        )

    def record_answer(self, now: float, ok: bool, elapsed: float) -> None:
        self.latency_fraction += QUICK * (
            (min(1.0, elapsed / self.timeout) if ok else 1.0) - self.latency_fraction
        )
        if ok:
            self.failure_count = 0
        elif now >= self.retry_at:  # a burst of failures counts once
            self.failure_count += 1
            self.retry_at = now + min(BACKOFF_MOST, self.timeout * 2.0 ** (self.failure_count - 1))


class PlanUse:
    """What the counter granted to a plan's customers here. They share their even parts, so a counter away or
    crowded lets pass about what it did before. Harm: a flood takes the part of others of its plan."""

    def __init__(self, now: float, share: float) -> None:
        self.granted_fraction, self.answer_count, self.granted_rate, self.credit_units = share, 2, 0.0, 0.0
        self.granted_rate_updated_at = self.credit_updated_at = now
        self.first_grant_at = math.inf  # the first grant

    def record_grant(self, now: float, asked: float, granted: float) -> None:
        self.refill_credit(now)
        self.answer_count += 1
        self.granted_fraction += max(GAIN, 1 / self.answer_count) * (
            min(1.0, granted / asked) - self.granted_fraction
        )
        faded = self.granted_rate * math.exp((self.granted_rate_updated_at - now) / GRANT_RATE_WINDOW_S)
        self.granted_rate, self.granted_rate_updated_at, self.first_grant_at = (
            faded + granted / GRANT_RATE_WINDOW_S,
            now,
            min(self.first_grant_at, now),
        )

    def refill_credit(self, now: float) -> None:
        """The mean counts from the first grant: over its whole span it would be too low for long, at a start
        of all gateways as in each new life. Harm: a start with more than usual lets more pass for a while."""
        heard = -math.expm1(-max(now - self.first_grant_at, GRANT_RATE_WINDOW_S / 2) / GRANT_RATE_WINDOW_S)
        rate = self.granted_rate / heard
        self.credit_units = min(
            max(1.0, rate * GRANT_CREDIT_LIMIT_S), self.credit_units + rate * (now - self.credit_updated_at)
        )
        self.credit_updated_at = now

    def unasked_error_cost(self, plan: api.Plan) -> float:
        return (1 - self.granted_fraction) * max(
            MIN_OVER_QUOTA_COST, plan.over_quota_cost - plan.over_quota_weight
        )
