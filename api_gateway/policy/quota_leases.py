"""Admission by quota: units that this gateway leases from the shared counter ahead of need.

`QuotaLeases` decides whether a customer has units left: by its lease, by an uncharged allowance, or by a call
to the counter where the call is worth its price.
"""

from __future__ import annotations

import itertools
import math
import random

from api_gateway import interface as api
from api_gateway.policy.cluster_clock import ClusterClock
from api_gateway.policy.counter_calls import (
    CONGESTED_LATENCY_FRACTION,
    CORRECTION_CALL_VALUE,
    CounterCall,
    CounterCalls,
    CounterState,
    LeaseCall,
    OpenAttemptCall,
)
from api_gateway.policy.customer_accounts import (
    CHARGE_THRESHOLD_FRACTION,
    MEAN_GAIN,
    Account,
    PlanGrants,
    stable_hash,
)
from api_gateway.policy.endpoint_load import TIMER_RESOLUTION_S
from api_gateway.policy.load_shedding import LoadShedder
from api_gateway.policy.open_attempt_limit import OpenAttemptLimit
from api_gateway.policy.request_state import RequestState, RequestTable

# Fraction of the units that is assumed to be granted before any answer, for first requests and for retries.
INITIAL_GRANTED_FRACTION = (0.5, 0.3)
# Fraction of the burst that a class of priority weight 0 leaves for the other classes. The fraction falls in
# proportion to the weight, to 0 for the highest weight.
RESERVED_BURST_FRACTION = 0.2
# Cost of the time of a call that takes the whole call timeout. The cost grows with the square of the latency.
CALL_TIME_COST = 0.3
MAX_TIMED_OUT_CALLS = 256  # timed-out calls that are remembered in case their totals arrive late
TOTAL_ROUNDING_UNITS = 0.01  # tolerance for totals, which the counter returns with a limited number of digits
MAX_SAMPLE_WEIGHT = 20.0  # maximum number of requests that one call represents in a plan's grants
MAX_SAMPLED_REQUESTS = 4.0  # maximum number that a sampled charge represents; more make the count jump
MIN_CHARGE_UNITS = 1.0  # uncharged units up to this number do not start a call by themselves
COUNT_LIFETIME_WINDOWS = 3  # lifetime of a count that the counter is asked for, in windows


class QuotaLeases:
    """Limits customers to their quota, by leases from the counter and by an uncharged allowance.

    A customer with few requests is served from the allowance alone and causes no call per request.
    """

    def __init__(
        self,
        settings: api.Settings,
        now: float,
        rng: random.Random,
        counter: CounterState,
        cluster_clock: ClusterClock,
        counter_calls: CounterCalls,
        requests: RequestTable,
        load_shedder: LoadShedder,
        open_attempts: OpenAttemptLimit,
    ) -> None:
        """Connect the parts and start without grants for any plan."""
        self.rng = rng
        self.counter = counter
        self.cluster_clock = cluster_clock
        self.counter_calls = counter_calls
        self.requests = requests
        self.load_shedder = load_shedder
        self.open_attempts = open_attempts
        self.plan_grants: dict[tuple[str, int], PlanGrants] = {}  # by plan and whether it is a retry
        self.timed_out_calls: dict[int, LeaseCall] = {}  # the latest call to each count, by the count's name
        self.mean_priority = 0.0  # running mean over requests
        self.is_draining = False  # while draining, clients leave and units leased ahead would lapse unused
        self.apply_settings(now, settings)

    def apply_settings(self, now: float, settings: api.Settings) -> None:
        """Add the plans of new settings; the grants of earlier plans remain."""
        for plan, is_retry in itertools.product(settings.plans, (0, 1)):
            if (plan, is_retry) not in self.plan_grants:
                self.plan_grants[plan, is_retry] = PlanGrants(now, INITIAL_GRANTED_FRACTION[is_retry])
        self.max_priority_weight = max(
            service_class.priority_weight for service_class in settings.classes.values()
        )

    def record_priority(self, priority: float) -> None:
        """Update the mean priority by a new request."""
        gain = MEAN_GAIN if self.mean_priority else 1.0
        self.mean_priority += gain * (priority - self.mean_priority)

    def reserved_units(self, state: RequestState) -> float:
        """Return the units withheld from a request for classes with a higher priority weight."""
        if not self.max_priority_weight:
            return 0.0
        relative_weight = state.service_class.priority_weight / self.max_priority_weight
        return RESERVED_BURST_FRACTION * state.plan.burst * (1 - relative_weight)

    def spare_units(self, now: float, state: RequestState) -> float:
        """Return the units left over all gateways after a request's units and those reserved from it."""
        return state.account.remaining_units(now) - self.reserved_units(state) - state.request.units

    def try_admit_without_call(self, now: float, state: RequestState) -> bool:
        """Admit a request by lease or allowance if possible; return whether it was admitted."""
        account = state.account
        units = state.request.units
        if self.spare_units(now, state) + account.leased_units < 0:
            return False
        is_failing = self.counter.failure_count > 0
        allowed = account.uncharged_allowance(now, is_counter_failing=is_failing) - account.uncharged_units
        if account.leased_units >= units:
            account.leased_units -= units
        # An allowance smaller than a request is rounded at random, by one draw per window. Over all gateways
        # the expected number of admitted units is right.
        elif account.remaining_units(now) >= units and allowed >= units * (1 - account.rounding_draw):
            account.admit_uncharged(now, units)
        else:
            return False
        account.record_use(units)
        self.open_attempts.request_slot(now, state)
        return True

    def request_units(self, now: float, state: RequestState) -> None:
        """Decide on the units of a new request, and lease more for its customer if a lease is due."""
        state.account.advance_window(now)
        grants = self.plan_grants[state.plan.name, state.request.is_retry]
        relative_priority = state.priority / max(self.mean_priority, 1e-9)
        gain = relative_priority * min(grants.granted_fraction, grants.unchecked_admission_cost(state.plan))
        probability = self.counter.call_probability(gain)
        self.decide_units(now, state, can_wait_for_counter=self.rng.random() < probability)
        self.renew_lease(now, state.account, 1 / max(probability, 1 / MAX_SAMPLE_WEIGHT))

    def decide_units(self, now: float, state: RequestState, *, can_wait_for_counter: bool) -> None:
        """Admit a request, handle it as over quota, or have it wait for a call to the counter.

        Args:
            now: The time, s.
            state: The request.
            can_wait_for_counter: Whether it may wait for a call.
        """
        account = state.account
        remaining = account.remaining_units(now)
        if self.try_admit_without_call(now, state):
            return
        if now < account.exhausted_until or self.spare_units(now, state) < 0:
            retry_after = (state.request.units - remaining) / account.plan.rate
            self.load_shedder.handle_over_quota(now, state, retry_after)
        elif can_wait_for_counter and self.counter.is_usable(now):
            account.waiting_request_ids.append(state.request.request_id)
            self.requests.schedule_check(now + 2 * self.counter.timeout + TIMER_RESOLUTION_S, state)
        else:
            self.decide_without_counter(now, state)

    def decide_without_counter(self, now: float, state: RequestState) -> None:
        """Decide without the counter, by the recent grants of the plan.

        A request is admitted from the plan's credit if its customer's even portion of the burst is less than
        one unit and its units are likely to be granted.
        """
        grants = self.plan_grants[state.plan.name, state.request.is_retry]
        units = state.request.units
        grants.refill_credit(now)
        is_likely_granted = grants.granted_fraction > grants.unchecked_admission_cost(state.plan)
        if state.account.has_fractional_quota and grants.credit_units >= units and is_likely_granted:
            grants.credit_units -= units
            state.account.record_use(units)
            self.open_attempts.request_slot(now, state)
        else:
            self.load_shedder.handle_over_quota(now, state, 0.0)

    def waiting_requests(self, account: Account) -> list[RequestState]:
        """Return the requests that still wait for the account's pending call."""
        requests = self.requests.requests
        return [requests[name] for name in account.waiting_request_ids if name in requests]

    def renew_lease(self, now: float, account: Account, sample_weight: float = 1.0) -> None:
        """Call the counter if requests wait for it, a charge is due or the lease runs low.

        Args:
            now: The time, s.
            account: The customer's account.
            sample_weight: Number of requests that each waiting request represents, including those that were
                decided without a call.
        """
        if account.pending_call is not None or not self.counter.is_usable(now):
            return
        needed_units = 0.0
        if account.waiting_request_ids:
            needed_units = sum(state.request.units for state in self.waiting_requests(account))
        lease_size = 0
        if not self.is_draining:
            time_cost = CALL_TIME_COST * self.counter.latency_fraction**2
            lease_size = account.lease_size(self.counter.price + time_cost)
        remaining = account.remaining_units(now)
        is_lease_low = (
            account.leased_units < lease_size / 2
            and remaining > lease_size * account.gateway_spread
            and now >= account.exhausted_until
        )
        is_charge_due = False
        if account.uncharged_units > MIN_CHARGE_UNITS:
            allowance = account.uncharged_allowance(now, is_counter_failing=False)
            is_charge_due = account.uncharged_units > CHARGE_THRESHOLD_FRACTION * allowance
        if not (needed_units or is_charge_due or (account.contributed_units and is_lease_low)):
            return
        wanted_units = (
            max(needed_units, lease_size) - account.leased_units
            if needed_units
            else lease_size * is_lease_low
        )
        requested_units = max(0, int(min(math.ceil(wanted_units), max(remaining, 0.0))))
        if requested_units + account.uncharged_units <= 0:
            self.decide_waiting_requests(now, account)
            return
        sampled_units = needed_units * (min(MAX_SAMPLED_REQUESTS, sample_weight) - 1)
        self.send_lease_call(now, account, requested_units, sampled_units, sample_weight)

    def send_lease_call(
        self, now: float, account: Account, requested_units: float, sampled_units: float, sample_weight: float
    ) -> None:
        """Charge the uncharged units and request a lease; all amounts are in units."""
        call = LeaseCall(
            account,
            account.window_number,
            charged_units=account.uncharged_units,
            requested_units=requested_units,
            sampled_units=sampled_units,
            sample_weight=sample_weight,
            unrefilled_units=account.unrefilled_units(now),
        )
        account.pending_call = call
        account.counter_total += account.uncharged_units
        account.uncharged_units = 0.0
        self.add_to_window(account, call.added_units, call)

    def add_to_window(self, account: Account, units: float, call: CounterCall) -> None:
        """Send a call that adds units to the count of the account's window."""
        count_name = stable_hash(account.name, account.window_number)
        self.counter_calls.add(count_name, units, COUNT_LIFETIME_WINDOWS * account.window_length, call)

    def on_counter_reply(self, now: float, event: api.CounterReply) -> None:
        """Handle the result of a call to the counter, or the total of one that had timed out."""
        if event.result == "late":
            self.on_late_counter_reply(now, event)
            return
        call = self.counter_calls.pop_oldest(event.name)
        if call is None:
            return
        is_ok = event.result == "ok"
        self.counter.record_answer(now, is_ok=is_ok, elapsed=event.elapsed)
        if is_ok:
            self.cluster_clock.on_counter_answer(now)
        if isinstance(call, LeaseCall):
            self.on_lease_reply(now, event, call)
        elif isinstance(call, OpenAttemptCall):
            self.open_attempts.on_counter_reply(now, event, call)

    def on_lease_reply(self, now: float, event: api.CounterReply, call: LeaseCall) -> None:
        """Apply a lease, or keep the charge owed if the call failed, and decide on the waiting requests."""
        account = call.account
        # The call is still pending here, so that its charge is owed in the new window if one has begun.
        account.advance_window(now)
        account.pending_call = None
        if call.window_number == account.window_number:
            if event.result == "ok":
                self.apply_grant(now, account, event.total, call)
            elif event.result != "timeout":
                account.uncharged_units += call.charged_units  # not added, so the charge is still owed
                account.counter_total -= call.charged_units
            else:
                account.timed_out_units += call.added_units
                # Without this, calls that time out would renew the uncharged allowance.
                account.unconfirmed_units += call.charged_units
                self.timed_out_calls[event.name] = call
                while len(self.timed_out_calls) > MAX_TIMED_OUT_CALLS:
                    del self.timed_out_calls[next(iter(self.timed_out_calls))]
        self.decide_waiting_requests(now, account)

    def on_late_counter_reply(self, now: float, event: api.CounterReply) -> None:
        """Apply the lease of a call that had timed out: the counter holds it, so it is spent here."""
        call = self.timed_out_calls.pop(event.name, None)
        if call is not None:
            call.account.advance_window(now)
            if call.window_number == call.account.window_number:
                self.apply_grant(now, call.account, event.total, call)

    def apply_grant(self, now: float, account: Account, total: float, call: LeaseCall) -> None:
        """Apply the part of a lease that the counter's total allows, and correct the count if necessary.

        Args:
            now: The time, s.
            account: The customer's account, in the window of the call.
            total: The count after the call, in units.
            call: The call.
        """
        added = call.added_units
        correction = self.missing_units(account, total, added)
        if not account.contributed_units and correction:
            account.uncontributed_overdraft = 0.0  # the correction adds the overdraft
        others_minimum_units = max(account.others_carried_units, account.uncontributed_overdraft)
        total = max(total, others_minimum_units + account.contributed_units + added)
        quota = account.window_quota(now)
        # A window holds at most one burst. Refill above that is lost, so it is counted as used.
        if not account.has_fractional_quota:
            used = total + correction - call.requested_units - call.unrefilled_units
            correction += max(0, int(quota - account.plan.burst - used))
        waiting = self.waiting_requests(account)
        reserved = min((self.reserved_units(state) for state in waiting), default=0.0)
        excess = min(call.requested_units, max(0.0, math.ceil(total + correction + reserved - quota)))
        account.contributed_units += added + correction - excess
        account.counter_total = total + correction - excess
        account.confirm_charges()
        account.leased_units += call.requested_units - excess
        self.record_grant(now, account, waiting, call.sample_weight)
        if self.rng.random() < self.counter.call_probability(CORRECTION_CALL_VALUE):
            correction -= excess  # under congestion the excess stays counted
        if correction:
            self.add_to_window(account, correction, CounterCall(account, account.window_number))

    def missing_units(self, account: Account, total: float, added: float) -> float:
        """Return the units that the count lacks and this gateway has to add.

        Args:
            account: The customer's account.
            total: The count after a call, in units.
            added: Units that the call added.
        """
        # A total below this gateway's contribution alone means that the counter lost the count.
        if account.contributed_units:
            is_lost = total < account.contributed_units + added - TOTAL_ROUNDING_UNITS
            return account.contributed_units if is_lost else 0.0
        if total <= added + TOTAL_ROUNDING_UNITS:  # the gateway that finds the count empty adds the overdraft
            return account.overdraft
        if not account.timed_out_units:
            return 0.0
        # A first call that timed out may have been counted. Then no gateway finds the count empty.
        others_units = max(0.0, total - added - account.timed_out_units)
        return max(0.0, account.uncontributed_overdraft - others_units)

    def record_grant(
        self, now: float, account: Account, waiting: list[RequestState], sample_weight: float
    ) -> None:
        """Record the units that the waiting requests need and the lease covers in the plan's grants."""
        needed_units = sum(state.request.units for state in waiting)
        if needed_units:
            grants = self.plan_grants[account.plan.name, waiting[0].request.is_retry]
            grants.record_grant(
                now, needed_units * sample_weight, min(needed_units, account.leased_units) * sample_weight
            )

    def decide_waiting_requests(self, now: float, account: Account) -> None:
        """Decide on the requests that waited for a call, in descending order of priority per unit."""
        waiting = self.waiting_requests(account)
        account.waiting_request_ids = []
        waiting.sort(key=lambda state: -state.priority / max(state.request.units, 1e-9))
        for state in waiting:
            remaining = account.remaining_units(now)
            if remaining + account.leased_units < state.request.units:
                if self.counter.latency_fraction > CONGESTED_LATENCY_FRACTION:
                    # Other requests wait for the same units, so no call is made until the window ends.
                    account.exhausted_until = account.window_started_at + account.window_length
                else:
                    account.exhausted_until = now + max(0.0, 1 - remaining) / account.plan.rate
            self.decide_units(now, state, can_wait_for_counter=self.counter.failure_count == 0)
        if account.waiting_request_ids:
            self.renew_lease(now, account)
