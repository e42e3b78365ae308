"""Admission by open attempts: a customer's limit on concurrent attempts over all gateways."""

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
    """Enforces the limits on open attempts, with slots for each gateway and a shared count of the rest."""

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
        """Connect the components. Slots in use are recorded in the accounts and the requests."""
        self.rng = rng
        self.endpoint_pool = endpoint_pool
        self.counter = counter
        self.cluster_clock = cluster_clock
        self.counter_calls = counter_calls
        self.requests = requests
        self.load_shedder = load_shedder

    def request_slot(self, now: float, state: RequestState, *, can_call_counter: bool = True) -> None:
        """Take a slot for a request and queue the request, or handle it as over quota.

        Each gateway has the same number of slots to itself. The remaining slots are shared through a count
        at the counter, which is called with a probability that grows with the value of its reply. Without a
        call, the request is decided by the expected number of open attempts.

        Args:
            now: Current time in seconds.
            state: The request.
            can_call_counter: Whether the counter may be called.
        """
        state.stage = "slot"
        account = state.account
        plan = state.plan
        if not plan.max_concurrent:  # unlimited
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
        """Return the probability that the limit is reached.

        By Little's law, the mean number of open attempts is the customer's request rate times the mean
        latency. The rate is estimated from the units used, and bounded by the plan's rate. The number of open
        attempts is assumed to follow a Poisson distribution.
        """
        account = state.account
        plan = state.plan
        window_age = max(now - account.window_started_at, account.window_length / 4)
        rate = max(account.counter_total, account.used_units) / window_age
        requests_per_s = min(rate, plan.rate or rate) / max(state.request.units, 1e-9)
        mean_open_attempts = requests_per_s * self.endpoint_pool.mean_latency[state.service_class.name]
        probability = math.exp(-mean_open_attempts)  # of exactly `count` open attempts
        below_limit = 0.0
        for count in range(plan.max_concurrent):
            below_limit += probability
            probability *= mean_open_attempts / (count + 1)
        return 1 - below_limit

    def should_call_counter(self, now: float, excess_probability: float, cost: float) -> bool:
        """Return whether to call the counter; draws a random number if the counter is usable."""
        if not self.counter.is_usable(now):
            return False
        gain = max(excess_probability, CORRECTION_CALL_VALUE) * cost
        return self.rng.random() < self.counter.call_probability(gain)

    def on_counter_reply(self, now: float, event: api.CounterReply, call: OpenAttemptCall) -> None:
        """Continue the request that waited for the count, and return a slot that it cannot use."""
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
