"""State of the requests that have not ended, and the schedule of their checks.

All requests are ended by `RequestTable`, which also releases the open attempt slot that a request holds.
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

TIMER_SLACK_S = 1e-6  # a timer may fire early by this much because of rounding
MIN_DISCARD_CHECKS = 256  # checks that are kept without looking for those of ended requests
LOCAL_SLOT_EPOCH = -1  # in place of an epoch if the slot belongs to this gateway's part of the limit

# What a request waits for
# units: units of its quota
# slot: a slot within its customer's limit on open attempts
# queue: an endpoint with capacity
# sent: an answer to one of its attempts
# held: the end of a value whose reply comes before its own
Stage = Literal["units", "slot", "queue", "sent", "held"]


@dataclass(slots=True)
class SentAttempt:
    """Where and when an attempt was sent."""

    endpoint: api.Endpoint
    sent_at: float


@dataclass(slots=True)
class RequestState:
    """A request in progress and everything needed to decide about it.

    Its class, plan and limits are those in force at its arrival, even if the settings change later.
    """

    request: api.Request
    service_class: api.ServiceClass
    plan: api.Plan
    account: Account
    waiting_since: float  # when it arrived or was last released
    deadline: float  # when the client gives up
    priority: float  # value of an answer in time
    priority_per_second: float  # priority per second of an endpoint's work
    health_keys: tuple[str, ...]  # levels at which an endpoint may fail it: host, class and plan
    limits: api.Limits
    stage: Stage = "units"
    is_held: bool = False  # not to be sent; its stage becomes `held` once nothing else keeps it
    result_before_hold: str = ""  # of its last attempt, if that ended while it was held
    is_over_quota: bool = False  # forwarded although its quota was used up
    open_attempt_epoch: int = 0  # epoch of the count with its slot, or LOCAL_SLOT_EPOCH; 0: no slot
    sent_count: int = 0  # attempts sent so far
    is_streaming: bool = False  # its response has started
    is_done: bool = False
    in_flight: dict[int, SentAttempt] = field(default_factory=dict)  # by attempt number
    possibly_executed_attempts: list[SentAttempt] = field(default_factory=list)  # ended without an answer
    overdue_attempts: set[int] = field(default_factory=set)  # numbers of attempts whose silence was recorded
    tried_endpoints: set[str] = field(default_factory=set)

    def unresolved_attempts(self) -> list[SentAttempt]:
        """Return the attempts that may have been executed or may still be."""
        return self.possibly_executed_attempts + list(self.in_flight.values())


class RequestTable:
    """The requests that have not ended, and a heap of the times at which to check them."""

    def __init__(self, counter_calls: CounterCalls, actions: list[api.Action]) -> None:
        """Create an empty table that appends its actions to the engine's list `actions`."""
        self.counter_calls = counter_calls
        self.actions = actions
        self.requests: dict[str, RequestState] = {}
        self.scheduled_checks: list[tuple[float, str]] = []  # heap of (time, request id)
        self.discard_threshold = MIN_DISCARD_CHECKS  # number of checks from which on those of no use go

    def add(self, state: RequestState) -> None:
        """Add a new request under its id."""
        self.requests[state.request.request_id] = state

    def schedule_check(self, check_at: float, state: RequestState) -> None:
        """Schedule a check of a request, at the latest shortly before its deadline."""
        if len(self.scheduled_checks) > self.discard_threshold:
            self.discard_checks_of_ended_requests()
        heapq.heappush(
            self.scheduled_checks,
            (min(check_at, state.deadline - 2 * TIMER_RESOLUTION_S), state.request.request_id),
        )

    def discard_checks_of_ended_requests(self) -> None:
        """Remove the checks of requests that have ended, which may lie far ahead."""
        self.scheduled_checks = [check for check in self.scheduled_checks if check[1] in self.requests]
        heapq.heapify(self.scheduled_checks)
        self.discard_threshold = max(MIN_DISCARD_CHECKS, 2 * len(self.scheduled_checks))

    def pop_due_request(self, now: float) -> RequestState | None:
        """Remove the next due check and return its request; None if no request is due."""
        while self.scheduled_checks and self.scheduled_checks[0][0] <= now + TIMER_SLACK_S:
            state = self.requests.get(heapq.heappop(self.scheduled_checks)[1])
            if state is not None:
                return state
        return None

    def next_check_at(self) -> float:
        """Return the time of the next check, or infinity; discard checks of ended requests before it."""
        while self.scheduled_checks and self.scheduled_checks[0][1] not in self.requests:
            heapq.heappop(self.scheduled_checks)
        return self.scheduled_checks[0][0] if self.scheduled_checks else math.inf

    def reject(self, now: float, state: RequestState, retry_after: float) -> None:
        """End a request without an answer: reject it, or fail it if it may have been executed.

        Args:
            now: Current time in seconds.
            state: The request.
            retry_after: Seconds after which the client may retry.
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
        """Remove a request, cancel its attempts in flight and release its open attempt slot."""
        state.is_done = True
        self.requests.pop(state.request.request_id, None)
        if state.limits.can_cancel:
            for attempt_number in state.in_flight:
                self.actions.append(api.CancelAttempt(state.request.request_id, attempt_number))
        if state.open_attempt_epoch > 0:
            self.counter_calls.count_open_attempt(state.account, state.open_attempt_epoch, -1)
        elif state.open_attempt_epoch == LOCAL_SLOT_EPOCH:
            state.account.local_open_attempts -= 1
