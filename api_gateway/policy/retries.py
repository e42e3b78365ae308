"""First attempts, retries and hedged requests, and the budget that retries and hedged requests spend."""

from __future__ import annotations

import math

from api_gateway import interface as api
from api_gateway.policy.endpoint_load import TIMER_RESOLUTION_S
from api_gateway.policy.endpoint_table import EndpointState
from api_gateway.policy.endpoints import EndpointPool
from api_gateway.policy.request_state import RequestState, RequestTable, SentAttempt

INITIAL_RETRY_BUDGET = 15.0  # retries of all gateways together at the start
MAX_RETRY_BUDGET = 30.0  # retries that all gateways together may save up
MIN_RETRY_BUDGET_LIMIT = 2.0  # retries that a gateway may always save up, however many gateways there are
RETRY_BUDGET_PER_SEND = 0.1  # retries added by a first attempt
RETRY_BUDGET_PER_SEND_WITH_CAPACITY = 0.3  # the same while endpoints clearly have spare capacity
CONNECT_FAILED_RETRY_COST = 0.0  # cost of a retry after a failed connect
REFUSED_ATTEMPT_RETRY_COST = 0.2  # cost of a retry after an endpoint had no capacity
RETRY_COST = 1.0  # cost of any other retry and of a hedged request

# Health levels updated by an attempt that ends after its request, whose class and plan are no longer known
ENDED_REQUEST_HEALTH_KEYS = ("host",)


class RetryBudget:
    """This gateway's budget for retries. First attempts refill it, so retries cannot multiply an overload."""

    def __init__(self, gateway_count: int) -> None:
        """Start with this gateway's part of the initial budget of all gateways."""
        self.balance = INITIAL_RETRY_BUDGET / gateway_count  # retries

    def refill(self, gateway_count: int, *, has_capacity: bool) -> None:
        """Add the amount that one first attempt earns.

        Args:
            gateway_count: Number of gateways that share the maximum budget.
            has_capacity: Whether endpoints clearly have spare capacity.
        """
        earned = RETRY_BUDGET_PER_SEND_WITH_CAPACITY if has_capacity else RETRY_BUDGET_PER_SEND
        limit = max(MIN_RETRY_BUDGET_LIMIT, MAX_RETRY_BUDGET / gateway_count)
        self.balance = min(limit, self.balance + earned)

    def can_afford(self, cost: float) -> bool:
        """Return whether the balance covers a cost."""
        return self.balance >= cost

    def spend(self, cost: float) -> None:
        """Deduct the cost of a retry or hedged request that was sent."""
        self.balance -= cost


class AttemptSender:
    """Sends requests, and sends them again after failed or overdue attempts if their class allows it."""

    def __init__(
        self,
        settings: api.Settings,
        endpoint_pool: EndpointPool,
        requests: RequestTable,
        retry_budget: RetryBudget,
        actions: list[api.Action],
    ) -> None:
        """Connect the components; actions are appended to the engine's list `actions`."""
        self.settings = settings
        self.endpoint_pool = endpoint_pool
        self.requests = requests
        self.retry_budget = retry_budget
        self.actions = actions

    def can_send_to(self, state: RequestState, candidate: EndpointState, now: float) -> bool:
        """Return whether an untried endpoint may get another attempt without a risk of double execution."""
        if candidate.entry.id in state.tried_endpoints:
            return False
        service_class = state.service_class
        if service_class.idempotency == "safe" or not state.unresolved_attempts():
            return True
        if service_class.idempotency == "unsafe" or self.send_time_left(now, state) <= 0:
            return False
        scope = service_class.dedup_scope
        return scope == "all" or all(
            getattr(attempt.endpoint, scope) == getattr(candidate.entry, scope)
            for attempt in state.unresolved_attempts()
        )

    def send_time_left(self, now: float, state: RequestState) -> float:
        """Return the seconds within which another attempt may be sent.

        Endpoints remember an idempotency key for a limited time, which is counted from the first attempt
        that may have been executed.
        """
        if state.service_class.idempotency != "keyed":
            return math.inf
        first_sent_at = min((attempt.sent_at for attempt in state.unresolved_attempts()), default=math.inf)
        return first_sent_at + state.service_class.dedup_window - TIMER_RESOLUTION_S - now

    def choose_endpoint(self, now: float, state: RequestState) -> EndpointState | None:
        """Choose the endpoint for the next attempt; None if no permitted endpoint has capacity."""
        pool = self.endpoint_pool
        candidates: list[EndpointState] | None = None  # None: not restricted
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
        """Send one more attempt if an endpoint can take it; return whether one was sent."""
        if state.sent_count >= state.limits.max_attempts or state.is_streaming or state.is_held:
            return False
        if state.in_flight and not state.limits.can_hedge:
            return False
        chosen = self.choose_endpoint(now, state)
        if chosen is None:
            return False
        request_id = state.request.request_id
        send_within = self.send_time_left(now, state)
        self.actions.append(api.SendAttempt(request_id, chosen.entry.id, send_within=send_within))
        state.in_flight[state.sent_count] = SentAttempt(chosen.entry, now)
        self.endpoint_pool.record_send(chosen, (request_id, state.sent_count), now)
        state.sent_count += 1
        state.tried_endpoints.add(chosen.entry.id)
        state.stage = "sent"
        self.requests.schedule_check(
            now + self.endpoint_pool.silence_threshold(state.service_class.name), state
        )
        return True

    def on_attempt_ended(self, now: float, event: api.AttemptEnded) -> None:
        """Handle the end of an attempt: finish its request, or retry it if its class and the budget allow."""
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

    def on_attempt_not_sent(self, event: api.AttemptNotSent) -> None:
        """Forget an attempt that was not begun; the end of its request is reported by another event."""
        self.endpoint_pool.record_not_sent(event.endpoint_id, event.request_id)
        state = self.requests.requests.get(event.request_id)
        if state is None:
            return
        for number, attempt in list(state.in_flight.items()):
            if attempt.endpoint.id == event.endpoint_id:
                del state.in_flight[number]

    def retry_or_reject(self, now: float, state: RequestState, result: str) -> None:
        """Retry a request whose last attempt ended with `result`, or reject it if that is not possible.

        A request that is held waits for its release instead.
        """
        if state.is_held:
            self.keep_until_release(state, result)
            return
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

    def keep_until_release(self, state: RequestState, result: str) -> None:
        """Keep a request whose last attempt ended with `result` while it was held.

        An attempt that was held back itself is no reason to avoid its endpoint.
        """
        state.stage = "held"
        state.result_before_hold = "connect_failed" if result == "moot" else result
        if result == "moot" and not state.possibly_executed_attempts:
            state.tried_endpoints.clear()
        self.requests.schedule_check(state.deadline, state)

    def on_response_started(self, state: RequestState, event: api.ResponseStarted) -> None:
        """Mark a request as streaming and cancel its other attempts.

        The endpoint's work is done, so the attempt no longer counts as in flight there, however slowly the
        client reads the response.
        """
        state.is_streaming = True
        self.endpoint_pool.record_end(event.endpoint_id, (event.request_id, event.attempt))
        if state.limits.can_cancel:
            for attempt_number in state.in_flight:
                if attempt_number != event.attempt:
                    self.actions.append(api.CancelAttempt(event.request_id, attempt_number))

    def handle_overdue_attempts(self, now: float, state: RequestState) -> None:
        """Record overdue attempts as failures of their endpoints, and hedge or retry the request.

        The cause of the silence does not matter. If the answer is only slow, the work is done twice, so
        hedged requests and retries both draw on the retry budget.
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
            # A silent attempt must not use up capacity that another attempt could have.
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
        if can_retry and self.choose_endpoint(now, state):  # retried when the cancelled attempt ends
            self.actions.append(api.CancelAttempt(state.request.request_id, overdue[0]))
