"""Queues requests for endpoints, and rejects them by priority when capacity or a quota is used up."""

from __future__ import annotations

import bisect
import math
import random

from api_gateway import interface as api
from api_gateway.policy.endpoint_load import PRESSURE_TIME_CONSTANT_S, SHEDDING_PRESSURE
from api_gateway.policy.endpoints import MAX_IN_FLIGHT_PER_ENDPOINT, SPARE_CAPACITY_FRACTION, EndpointPool
from api_gateway.policy.request_state import RequestState, RequestTable
from api_gateway.policy.retries import AttemptSender, RetryBudget

MAX_QUEUE_TIME_FRACTION = 0.5  # longest wait for an endpoint, as a fraction of the latency objective
MIN_QUEUE_LENGTH = 4  # requests that may queue however low the send rate is
RECENT_REQUEST_COUNT = 64  # latest requests, among which a new one is ranked
ADMISSION_DECREASE_PER_S = 0.7  # exponential rate at which the admitted fraction falls under pressure
ADMISSION_INCREASE_PER_S = 0.15  # linear rate at which it recovers
MIN_ADMITTED_FRACTION = 0.05  # smallest fraction admitted, however high the pressure is
PRESSURE_HOLD_S = 1.0  # the pressure counts in full for this time after the latest answer


def queue_rank(state: RequestState) -> tuple[bool, float]:
    """Return the sort key of the queue: its last request is sent next, its first is rejected next."""
    return not state.is_over_quota, state.priority_per_second


class LoadShedder:
    """Queue in front of the endpoints: the highest priority is sent first, the lowest is rejected first."""

    def __init__(
        self,
        settings: api.Settings,
        now: float,
        rng: random.Random,
        endpoint_pool: EndpointPool,
        requests: RequestTable,
        attempt_sender: AttemptSender,
        retry_budget: RetryBudget,
    ) -> None:
        """Connect the components and admit all requests at first."""
        self.settings = settings
        self.rng = rng
        self.endpoint_pool = endpoint_pool
        self.requests = requests
        self.attempt_sender = attempt_sender
        self.retry_budget = retry_budget
        self.queue: list[RequestState] = []  # by rank; ended requests stay until reached
        self.admitted_fraction = 1.0
        self.admitted_fraction_updated_at = now
        self.recent_priorities: list[float] = []  # `priority_per_second` of the latest requests

    def should_shed(self, now: float, state: RequestState) -> bool:
        """Return whether to reject a new request because its priority is too low for the current pressure.

        While answers come from congested endpoints, requests with the lowest priority per second of work
        are rejected, whatever the cause of the congestion. Among many gateways, each has so few attempts in
        flight that its in-flight limit alone would not relieve the endpoints.
        """
        priority = state.priority_per_second
        priorities = [*self.recent_priorities[1 - RECENT_REQUEST_COUNT :], priority]
        self.recent_priorities = priorities
        elapsed = now - self.admitted_fraction_updated_at
        self.admitted_fraction_updated_at = now
        decay = math.exp(
            min(
                0.0,
                (self.endpoint_pool.pressure_updated_at + PRESSURE_HOLD_S - now) / PRESSURE_TIME_CONSTANT_S,
            )
        )
        if self.endpoint_pool.pressure * decay > SHEDDING_PRESSURE:
            decrease = math.exp(-ADMISSION_DECREASE_PER_S * min(elapsed, 1.0))
            self.admitted_fraction = max(MIN_ADMITTED_FRACTION, self.admitted_fraction * decrease)
        else:
            increase = ADMISSION_INCREASE_PER_S * elapsed
            self.admitted_fraction = min(1.0, self.admitted_fraction + increase)
        tie_breaker = self.rng.random()  # breaks ties between equal priorities; drawn for every request
        if self.settings.gateway_count <= MAX_IN_FLIGHT_PER_ENDPOINT:
            return False  # the in-flight limit of each gateway relieves the endpoints
        rejected_count = (1 - self.admitted_fraction) * len(priorities)
        if rejected_count <= 0:
            return False
        rank = tie_breaker * priorities.count(priority) + sum(other < priority for other in priorities)
        return rank < rejected_count

    def has_spare_capacity(self) -> bool:
        """Return whether the mean load of the endpoints is clearly below their limit."""
        return self.endpoint_pool.mean_load() < SPARE_CAPACITY_FRACTION * MAX_IN_FLIGHT_PER_ENDPOINT

    def max_queue_time(self, service_class: api.ServiceClass) -> float:
        """Return the seconds for which a request may wait for an endpoint."""
        return MAX_QUEUE_TIME_FRACTION * service_class.latency_objective

    def handle_over_quota(self, now: float, state: RequestState, retry_after: float) -> None:
        """Forward a request over quota if its weight exceeds its cost and capacity is spare; else reject it.

        Args:
            now: Current time in seconds.
            state: The request.
            retry_after: Seconds until its quota has units again.
        """
        has_spare_capacity = self.has_spare_capacity() and not self.queue
        if state.plan.over_quota_weight > state.plan.over_quota_cost and has_spare_capacity:
            state.is_over_quota = True
            self.enqueue(now, state)
        else:
            self.requests.reject(now, state, retry_after)

    def enqueue(self, now: float, state: RequestState) -> None:
        """Queue a request unless it exceeds its customer's ceiling, and send what can be sent.

        If more requests wait than the endpoints will take in time, the one with the lowest rank is rejected.
        """
        account = state.account
        units = state.request.units
        if account.remaining_ceiling(now) < units:
            self.requests.reject(now, state, 0.0)
            return
        account.ceiling_units -= units  # charged before the request is sent
        self.queue_for_endpoint(now, state)

    def queue_for_endpoint(self, now: float, state: RequestState) -> None:
        """Queue a request, or keep it until its release if it is held, and send what can be sent."""
        if state.is_held:
            state.stage = "held"
            self.requests.schedule_check(state.deadline, state)
            return
        state.stage = "queue"
        bisect.insort(self.queue, state, key=queue_rank)
        max_queue_time = self.max_queue_time(state.service_class)
        max_length = max(MIN_QUEUE_LENGTH, self.endpoint_pool.send_rate(now) * max_queue_time)
        if len(self.queue) > max_length:
            self.queue = [queued for queued in self.queue if not queued.is_done]
        if len(self.queue) > max_length:
            self.requests.reject(now, self.queue.pop(0), 0.0)
        self.send_queued(now)
        if state.stage == "queue" and not state.is_done:
            self.requests.schedule_check(now + max_queue_time, state)

    def set_held(self, now: float, state: RequestState, *, held: bool) -> None:
        """Send no attempt of a request until its release, or release it."""
        state.is_held = held
        if held and state.stage == "queue":
            self.queue.remove(state)
            self.queue_for_endpoint(now, state)
        elif not held and state.stage == "held":
            self.release(now, state)

    def release(self, now: float, state: RequestState) -> None:
        """Queue a request that was held, or retry it if it has been sent before."""
        state.waiting_since = now
        if state.sent_count:
            self.attempt_sender.retry_or_reject(now, state, state.result_before_hold)
        else:
            self.queue_for_endpoint(now, state)

    def send_queued(self, now: float) -> None:
        """Send queued requests, highest rank first, until no endpoint has capacity."""
        while self.queue:
            state = self.queue[-1]
            if not state.is_done:
                if not self.attempt_sender.send_attempt(now, state):
                    # Without an attempt it may use any endpoint, so none has capacity for other requests.
                    return
                self.retry_budget.refill(self.settings.gateway_count, has_capacity=self.has_spare_capacity())
            self.queue.pop()
