"""The requests that were taken and not yet ended, and when each is to be checked.

`RequestTable` ends requests; whatever a request holds is given back there.
"""

from __future__ import annotations

import heapq
import math
from dataclasses import dataclass, field
from typing import Literal

from api_gateway import interface as api
from api_gateway.policy.counter_calls import CounterCalls
from api_gateway.policy.customer_accounts import Account
from api_gateway.policy.endpoint_load import TIMER_RESOLUTION_S

TIMER_SLACK_S = 1e-6  # a timer may fire early by so much, by rounding
LOCAL_SLOT_EPOCH = -1  # in place of an epoch: the open attempt is within this gateway's own part of the limit

# What a request waits for: units of its quota, a place among the open attempts, an endpoint, or its answer
Stage = Literal["units", "slot", "queue", "sent"]


@dataclass(slots=True)
class SentAttempt:
    """An attempt that was sent."""

    endpoint: api.Endpoint
    sent_at: float


@dataclass(slots=True)
class RequestState:
    """A request and all that its decisions need.

    Its class, plan and limits stay those that it began with when the settings change.
    """

    request: api.Request
    service_class: api.ServiceClass
    plan: api.Plan
    account: Account
    arrived_at: float
    deadline: float  # when the client gives up
    priority: float  # value of an answer in time
    priority_per_second: float  # the same for each second of an endpoint's work
    health_keys: tuple[str, ...]  # levels at which an endpoint may fail it: wholly, for its class, its plan
    limits: api.Limits
    stage: Stage = "units"
    is_over_quota: bool = False  # forwarded beyond its quota
    open_attempt_epoch: int = 0  # of the count that it holds a place in; or LOCAL_SLOT_EPOCH; 0: none
    sent_count: int = 0
    is_streaming: bool = False  # its answer has begun
    is_done: bool = False
    in_flight: dict[int, SentAttempt] = field(default_factory=dict)  # by number of the attempt
    possibly_executed_attempts: list[SentAttempt] = field(default_factory=list)  # ended without an answer
    overdue_attempts: set[int] = field(default_factory=set)  # whose silence was noted
    tried_endpoints: set[str] = field(default_factory=set)

    def unresolved_attempts(self) -> list[SentAttempt]:
        """Return the attempts that may have been executed, or may yet be."""
        return self.possibly_executed_attempts + list(self.in_flight.values())


class RequestTable:
    """The requests in work, by id, and when each is to be checked next."""

    def __init__(self, counter_calls: CounterCalls, actions: list[api.Action]) -> None:
        """Begin empty; `actions` belongs to the engine and takes what is to be done."""
        self.counter_calls = counter_calls
        self.actions = actions
        self.requests: dict[str, RequestState] = {}
        self.scheduled_checks: list[tuple[float, str]] = []  # a heap of times and ids

    def add(self, state: RequestState) -> None:
        """Take a request in."""
        self.requests[state.request.request_id] = state

    def schedule_check(self, check_at: float, state: RequestState) -> None:
        """Have a request checked at a time, or just before its deadline if that comes first."""
        heapq.heappush(
            self.scheduled_checks,
            (min(check_at, state.deadline - 2 * TIMER_RESOLUTION_S), state.request.request_id),
        )

    def pop_due_request(self, now: float) -> RequestState | None:
        """Remove the next check that is due and return its request; None if none is due."""
        while self.scheduled_checks and self.scheduled_checks[0][0] <= now + TIMER_SLACK_S:
            state = self.requests.get(heapq.heappop(self.scheduled_checks)[1])
            if state is not None:
                return state
        return None

    def next_check_at(self) -> float:
        """Return when the next check is due; infinite without one. Checks of ended requests are dropped."""
        while self.scheduled_checks and self.scheduled_checks[0][1] not in self.requests:
            heapq.heappop(self.scheduled_checks)
        return self.scheduled_checks[0][0] if self.scheduled_checks else math.inf

    def reject(self, now: float, state: RequestState, retry_after: float) -> None:
        """End a request without an answer: rejected, or failed where it may have been executed.

        Args:
            now: The time, s.
            state: The request.
            retry_after: s after which the client may try again.
        """
        service_class = state.service_class
        is_repeat_harmless = service_class.idempotency == "safe" or (
            service_class.idempotency == "keyed" and service_class.dedup_scope == "all"
        )
        if is_repeat_harmless or not (state.possibly_executed_attempts or state.in_flight):
            max_retry_after = state.limits.max_retry_after if state.limits.sends_retry_after else 0.0
            bounded_retry_after = min(max(retry_after, 0.0), max_retry_after)
            self.actions.append(
                api.RejectRequest(state.request.request_id, bounded_retry_after, state.stage == "queue")
            )
        else:
            self.actions.append(api.FailRequest(state.request.request_id))
        self.finish(now, state)

    def finish(self, now: float, state: RequestState) -> None:
        """End a request: cancel what is in flight and give its place among the open attempts back."""
        state.is_done = True
        self.requests.pop(state.request.request_id, None)
        if state.limits.can_cancel:
            for attempt_number in state.in_flight:
                self.actions.append(api.CancelAttempt(state.request.request_id, attempt_number))
        if state.open_attempt_epoch > 0:
            self.counter_calls.count_open_attempt(state.account, state.open_attempt_epoch, -1)
        elif state.open_attempt_epoch == LOCAL_SLOT_EPOCH:
            state.account.local_open_attempts -= 1
