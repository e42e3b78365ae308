"""First sends, retries and hedged requests, and the retry budget that the latter two draw on."""

from __future__ import annotations

import math

from api_gateway import interface as api
from api_gateway.policy.endpoint_load import TIMER_RESOLUTION_S
from api_gateway.policy.endpoint_table import EndpointState
from api_gateway.policy.endpoints import EndpointPool
from api_gateway.policy.request_state import RequestState, RequestTable, SentAttempt

INITIAL_RETRY_BUDGET = 15.0  # retries over all gateways at the start
MAX_RETRY_BUDGET = 30.0  # retries over all gateways that may be saved up
MIN_RETRY_BUDGET_LIMIT = 2.0  # retries that one gateway may save up at least
RETRY_BUDGET_PER_SEND = 0.1  # retries that a first send adds
RETRY_BUDGET_PER_SEND_WITH_CAPACITY = 0.3  # the same while endpoints clearly have capacity
CONNECT_FAILED_RETRY_COST = 0.0  # price of a retry after a connect that failed
REFUSED_ATTEMPT_RETRY_COST = 0.2  # price of a retry after an endpoint that had no capacity
RETRY_COST = 1.0  # price of any other retry and of a hedged request

ENDED_REQUEST_HEALTH_KEYS = ("host",)  # levels that a late end, of a request that is gone, tells of


class RetryBudget:
    """What this gateway may spend on retries: first sends fill it, so retries can't multiply an overload."""

    def __init__(self, gateway_count: int) -> None:
        """Begin with this gateway's part of what all may spend at a start."""
        self.balance = INITIAL_RETRY_BUDGET / gateway_count  # retries

    def refill(self, gateway_count: int, *, has_capacity: bool) -> None:
        """Add what one first send earns.

        Args:
            gateway_count: Gateways that share the limit.
            has_capacity: Whether endpoints clearly have capacity.
        """
        earned = RETRY_BUDGET_PER_SEND_WITH_CAPACITY if has_capacity else RETRY_BUDGET_PER_SEND
        limit = max(MIN_RETRY_BUDGET_LIMIT, MAX_RETRY_BUDGET / gateway_count)
        self.balance = min(limit, self.balance + earned)

    def can_afford(self, cost: float) -> bool:
        """Say whether so much is left."""
        return self.balance >= cost

    def spend(self, cost: float) -> None:
        """Take the price of a retry that was sent."""
        self.balance -= cost


class AttemptSender:
    """Sends requests to endpoints, again where an attempt failed or is overdue and the class allows it."""

    def __init__(
        self,
        settings: api.Settings,
        endpoint_pool: EndpointPool,
        requests: RequestTable,
        retry_budget: RetryBudget,
        actions: list[api.Action],
    ) -> None:
        """Wire the parts; `actions` belongs to the engine and takes what is to be sent."""
        self.settings = settings
        self.endpoint_pool = endpoint_pool
        self.requests = requests
        self.retry_budget = retry_budget
        self.actions = actions

    def can_send_to(self, state: RequestState, candidate: EndpointState, now: float) -> bool:
        """Say whether another attempt may go to an endpoint without a risk of executing the request twice."""
        if candidate.endpoint.id in state.tried_endpoints:
            return False
        service_class = state.service_class
        if service_class.idempotency == "safe" or not state.unresolved_attempts():
            return True
        if service_class.idempotency == "unsafe" or self.send_time_left(now, state) <= 0:
            return False
        scope = service_class.dedup_scope
        return scope == "all" or all(
            getattr(attempt.endpoint, scope) == getattr(candidate.endpoint, scope)
            for attempt in state.unresolved_attempts()
        )

    def send_time_left(self, now: float, state: RequestState) -> float:
        """Return the s within which another attempt may go out.

        Endpoints know an idempotency key for so long after the first attempt that may have been executed.
        """
        if state.service_class.idempotency != "keyed":
            return math.inf
        first_sent_at = min((attempt.sent_at for attempt in state.unresolved_attempts()), default=math.inf)
        return first_sent_at + state.service_class.dedup_window - TIMER_RESOLUTION_S - now

    def choose_endpoint(self, now: float, state: RequestState) -> EndpointState | None:
        """Choose where the next attempt goes; None if no endpoint that may get it has capacity."""
        pool = self.endpoint_pool
        candidates: list[EndpointState] | None = None  # any of its own
        if state.tried_endpoints:
            candidates = [
                candidate
                for candidate in pool.sample(pool.subset_endpoints)
                if self.can_send_to(state, candidate, now)
            ]
            if not candidates and pool.subset_endpoints is not pool.available:
                candidates = [
                    candidate
                    for candidate in pool.warm_endpoints(now)
                    if self.can_send_to(state, candidate, now)
                ]
        return pool.choose(now, state.health_keys, candidates)

    def send_attempt(self, now: float, state: RequestState) -> bool:
        """Send one more attempt if there is an endpoint for it; say whether one was sent."""
        if state.sent_count >= state.limits.max_attempts or state.is_streaming:
            return False
        if state.in_flight and not state.limits.can_hedge:
            return False
        chosen = self.choose_endpoint(now, state)
        if chosen is None:
            return False
        request_id = state.request.request_id
        send_within = self.send_time_left(now, state)
        self.actions.append(api.SendAttempt(request_id, chosen.endpoint.id, send_within=send_within))
        state.in_flight[state.sent_count] = SentAttempt(chosen.endpoint, now)
        self.endpoint_pool.record_send(chosen, (request_id, state.sent_count), now)
        state.sent_count += 1
        state.tried_endpoints.add(chosen.endpoint.id)
        state.stage = "sent"
        self.requests.schedule_check(
            now + self.endpoint_pool.silence_threshold(state.service_class.name), state
        )
        return True

    def on_attempt_ended(self, now: float, event: api.AttemptEnded) -> None:
        """Handle the end of an attempt: end its request, or retry it where class and budget allow."""
        state = self.requests.requests.get(event.request_id)
        if state is None:
            self.endpoint_pool.on_attempt_ended(now, event, None, ENDED_REQUEST_HEALTH_KEYS)
            return
        self.endpoint_pool.on_attempt_ended(now, event, state.service_class, state.health_keys)
        attempt = state.in_flight.pop(event.attempt, None)
        if (
            event.actual_units
            and self.settings.reports_actual_units
            and state.plan.rate
            and not state.is_over_quota
        ):
            state.account.uncharged_units += event.actual_units - state.request.units
        if event.is_final:
            self.requests.finish(now, state)
            return
        if event.result in ("error", "timeout", "reset", "cancelled") and attempt is not None:
            state.possibly_executed_attempts.append(attempt)
        if not state.in_flight:
            self.retry_or_reject(now, state, event.result)

    def retry_or_reject(self, now: float, state: RequestState, result: str) -> None:
        """Send a request again after its last attempt ended with `result`, or reject it."""
        if result == "connect_failed":
            cost = CONNECT_FAILED_RETRY_COST
        else:
            cost = REFUSED_ATTEMPT_RETRY_COST if result == "full" else RETRY_COST
        mean_latency = self.endpoint_pool.mean_latency[state.service_class.name]
        is_too_late = now + max(TIMER_RESOLUTION_S, mean_latency) > state.deadline or result == "moot"
        if is_too_late or not self.retry_budget.can_afford(cost) or not self.send_attempt(now, state):
            self.requests.reject(now, state, 0.0)
        else:
            self.retry_budget.spend(cost)

    def on_response_started(self, state: RequestState, event: api.ResponseStarted) -> None:
        """Note that an answer has begun to flow, and cancel the request's other attempts.

        The endpoint's work is done, so the attempt holds no place there at the pace of its client.
        """
        state.is_streaming = True
        self.endpoint_pool.record_end(event.endpoint_id, (event.request_id, event.attempt))
        if state.limits.can_cancel:
            for attempt_number in state.in_flight:
                if attempt_number != event.attempt:
                    self.actions.append(api.CancelAttempt(event.request_id, attempt_number))

    def handle_overdue_attempts(self, now: float, state: RequestState) -> None:
        """Take long silence as evidence against the endpoint and send a hedged request, whatever the cause.

        Harm: work is done twice where an answer was only slow, so it draws on the retry budget.
        """
        silence_threshold = (
            self.endpoint_pool.silence_threshold(state.service_class.name) - TIMER_RESOLUTION_S
        )
        overdue = [
            attempt_number
            for attempt_number, attempt in state.in_flight.items()
            if now - attempt.sent_at >= silence_threshold
        ]
        for attempt_number in set(overdue) - state.overdue_attempts:
            endpoint_id = state.in_flight[attempt_number].endpoint.id
            # A silent one must not hold another attempt's place.
            self.endpoint_pool.record_end(endpoint_id, (state.request.request_id, attempt_number))
            self.endpoint_pool.health.record(endpoint_id, state.health_keys, True, now)
        state.overdue_attempts.update(overdue)
        check_after = max(
            2 * TIMER_RESOLUTION_S, self.endpoint_pool.latency_deviation[state.service_class.name]
        )
        self.requests.schedule_check(now + check_after, state)
        is_unsafe = state.service_class.idempotency == "unsafe"
        if not overdue or len(state.in_flight) > 1 or is_unsafe:
            return
        if not self.retry_budget.can_afford(RETRY_COST):
            return
        if state.limits.can_hedge:
            if self.send_attempt(now, state):
                self.retry_budget.spend(RETRY_COST)
            return
        can_retry = state.limits.can_cancel and state.sent_count < state.limits.max_attempts
        if can_retry and self.choose_endpoint(now, state):  # the outcome of the cancelled one sends the next
            self.actions.append(api.CancelAttempt(state.request.request_id, overdue[0]))
