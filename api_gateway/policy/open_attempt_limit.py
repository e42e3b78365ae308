"""Admission by open attempts: a customer's limit on attempts that are open at once over all gateways."""

from __future__ import annotations

import math
import random

from api_gateway import interface as api
from api_gateway.policy.cluster_clock import ClusterClock
from api_gateway.policy.counter_calls import (
    CORRECTION_CALL_VALUE,
    OPEN_COUNT_EPOCH_S,
    CounterCalls,
    CounterState,
    OpenAttemptCall,
)
from api_gateway.policy.endpoints import EndpointPool
from api_gateway.policy.load_shedding import LoadShedder
from api_gateway.policy.request_state import LOCAL_SLOT_EPOCH, RequestState, RequestTable


class OpenAttemptLimit:
    """Holds customers to their limit of open attempts over all gateways."""

    def __init__(
        self,
        rng: random.Random,
        endpoint_pool: EndpointPool,
        counter: CounterState,
        cluster_clock: ClusterClock,
        counter_calls: CounterCalls,
        requests: RequestTable,
        load_shedder: LoadShedder,
    ) -> None:
        """Wire the parts; places that are taken are noted in the accounts and the requests."""
        self.rng = rng
        self.endpoint_pool = endpoint_pool
        self.counter = counter
        self.cluster_clock = cluster_clock
        self.counter_calls = counter_calls
        self.requests = requests
        self.load_shedder = load_shedder

    def request_slot(self, now: float, state: RequestState, *, can_call_counter: bool = True) -> None:
        """Take a place for a request and queue it, or handle it as over quota.

        This gateway owns an even part of the limit. The rest is shared by a count, which is asked with the
        chance that the answer is worth, or judged by the expected number of open attempts.

        Args:
            now: The time, s.
            state: The request.
            can_call_counter: Whether the shared count may be asked.
        """
        state.stage = "slot"
        account = state.account
        plan = state.plan
        if not plan.max_concurrent:  # no such limit
            self.load_shedder.enqueue(now, state)
            return
        local_slots, shared_slots = divmod(plan.max_concurrent, account.gateway_spread)
        excess_probability = self.excess_probability(now, state)
        cost = max(0.0, plan.over_quota_cost - plan.over_quota_weight)
        if (
            local_slots
            and sum(each.local_open_attempts for each in (account, *account.previous_accounts)) < local_slots
        ):
            state.open_attempt_epoch = LOCAL_SLOT_EPOCH
            account.local_open_attempts += 1
        elif shared_slots and can_call_counter and self.should_call_counter(now, excess_probability, cost):
            epoch = int((now + self.cluster_clock.offset) / OPEN_COUNT_EPOCH_S) + 1
            self.counter_calls.count_open_attempt(account, epoch, 1, state)
            self.requests.schedule_check(state.deadline, state)
            return
        elif local_slots or excess_probability * cost >= 1 - excess_probability:
            self.load_shedder.handle_over_quota(now, state, 0.0)
            return
        self.load_shedder.enqueue(now, state)

    def excess_probability(self, now: float, state: RequestState) -> float:
        """Return the chance that the limit is reached, by Little's law.

        The customer's rate, which its units bound, times the usual time of an answer is the mean number of
        open attempts; their number is taken as Poisson distributed.
        """
        account = state.account
        plan = state.plan
        window_age = max(now - account.window_started_at, account.window_length / 4)
        rate = max(account.counter_total, account.used_units) / window_age
        requests_per_s = min(rate, plan.rate or rate) / max(state.request.units, 1e-9)
        mean_open_attempts = requests_per_s * self.endpoint_pool.mean_latency[state.service_class.name]
        return 1 - sum(
            mean_open_attempts**count * math.exp(-mean_open_attempts) / math.factorial(count)
            for count in range(plan.max_concurrent)
        )

    def should_call_counter(self, now: float, excess_probability: float, cost: float) -> bool:
        """Say whether to ask the shared count; draws a number if the counter is usable."""
        if not self.counter.is_usable(now):
            return False
        gain = max(excess_probability, CORRECTION_CALL_VALUE) * cost
        return self.rng.random() < self.counter.call_probability(gain)

    def on_counter_reply(self, now: float, event: api.CounterReply, call: OpenAttemptCall) -> None:
        """Go on with the request that waited for the count, and give a place back that it can't use."""
        state = call.state
        account = call.account
        is_full = event.total > account.plan.max_concurrent % account.gateway_spread
        if event.result != "ok":
            if not state.is_done:
                state.open_attempt_epoch = 0
                self.request_slot(now, state, can_call_counter=False)
            return
        if state.is_done or is_full:
            self.counter_calls.count_open_attempt(account, call.window_number, -1)
        if state.is_done:
            return
        if is_full:
            self.load_shedder.handle_over_quota(now, state, 0.0)
        else:
            state.open_attempt_epoch = call.window_number
            self.load_shedder.enqueue(now, state)
