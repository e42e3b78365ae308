"""The decision engine of one gateway: passes each event to its component and schedules the timer."""

from __future__ import annotations

import math
import random

from api_gateway import interface as api
from api_gateway.policy.account_table import AccountTable
from api_gateway.policy.cluster_clock import BEACON_LIFETIME_S, BEACON_NAME, ClusterClock
from api_gateway.policy.counter_calls import CounterCalls, CounterState
from api_gateway.policy.customer_accounts import Account
from api_gateway.policy.endpoint_load import TIMER_RESOLUTION_S
from api_gateway.policy.endpoints import EndpointPool
from api_gateway.policy.load_shedding import LoadShedder
from api_gateway.policy.open_attempt_limit import OpenAttemptLimit
from api_gateway.policy.quota_leases import QuotaLeases
from api_gateway.policy.request_state import TIMER_SLACK_S, RequestState, RequestTable
from api_gateway.policy.retries import AttemptSender, RetryBudget

WATCH_RETRY_DELAY_S = 1.0  # after discovery failed to provide an endpoint list
COUNTER_WAIT_TIMEOUTS = 2  # a request waits for the counter at most this many of its timeouts


class DecisionEngine:
    """Decides for one gateway which actions follow from an event.

    The engine reads no clock and does no I/O. All components append to one list of actions and draw from one
    random generator, so the same events with the same seed give the same actions.
    """

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        """Create the components.

        Args:
            settings: Settings of the deployment.
            seed: Seed of the generator for all random draws.
            now: Current time in seconds. No event may have an earlier time.
        """
        self.settings = settings
        self.rng = random.Random(seed)
        self.actions: list[api.Action] = []
        self.timer_due_at = math.inf  # when the last requested timer fires; infinite: none is pending
        self.watch_retry_at = math.inf
        self.is_clock_checked = False  # whether the first check of the cluster's time has ended
        self.cluster_clock = ClusterClock(settings.gateway_count, self.rng)
        self.endpoint_pool = EndpointPool(settings, self.rng)
        self.counter = CounterState(settings)
        self.account_table = AccountTable(now, self.rng)
        self.counter_calls = CounterCalls(self.actions)
        self.requests = RequestTable(self.counter_calls, self.actions)
        self.retry_budget = RetryBudget(settings.gateway_count)
        self.attempt_sender = AttemptSender(
            settings, self.endpoint_pool, self.requests, self.retry_budget, self.actions
        )
        self.load_shedder = LoadShedder(
            settings, now, self.rng, self.endpoint_pool, self.requests, self.attempt_sender, self.retry_budget
        )
        self.open_attempt_limit = OpenAttemptLimit(
            self.rng,
            self.endpoint_pool,
            self.counter,
            self.cluster_clock,
            self.counter_calls,
            self.requests,
            self.load_shedder,
        )
        self.quota = QuotaLeases(
            settings,
            now,
            self.rng,
            self.counter,
            self.cluster_clock,
            self.counter_calls,
            self.requests,
            self.load_shedder,
            self.open_attempt_limit,
        )

    @property
    def requests_in_flight(self) -> dict[str, RequestState]:
        """Requests that have not ended, by id."""
        return self.requests.requests

    @property
    def accounts(self) -> dict[str, Account]:
        """Accounts by customer name."""
        return self.account_table.accounts

    def handle(self, now: float, event: api.Event) -> list[api.Action]:
        """Process an event.

        Args:
            now: Current time in seconds, not earlier than at the previous event.
            event: What happened.

        Returns:
            The actions to execute, in order. The list is a copy that the caller may change.
        """
        self.actions.clear()
        self.dispatch(now, event)
        self.load_shedder.send_queued(now)
        if self.endpoint_pool.wanted_view_size:
            self.actions.append(api.ResizeSubset(self.endpoint_pool.wanted_view_size))
            self.endpoint_pool.wanted_view_size = 0
        next_check_at = self.requests.next_check_at()
        if now >= self.cluster_clock.next_call_at:
            self.actions.append(
                api.AddToCounter(BEACON_NAME, self.cluster_clock.begin_call(now), BEACON_LIFETIME_S)
            )
        due_at = min(next_check_at, self.watch_retry_at, self.cluster_clock.next_call_at)
        if due_at < self.timer_due_at:  # `due_at` is infinite when nothing is scheduled
            self.timer_due_at = due_at
            self.actions.append(api.SetTimer(max(0.0, due_at - now), 0))
        return self.actions.copy()

    def dispatch(self, now: float, event: api.Event) -> None:
        """Pass an event of a frequent kind to its component, and any other to `dispatch_rare`."""
        match event:
            case api.Request():
                self.on_request(now, event)
            case api.AttemptEnded():
                self.attempt_sender.on_attempt_ended(now, event)
            case api.AttemptNotSent():
                self.attempt_sender.on_attempt_not_sent(event)
            case api.CounterReply(name=name) if name == BEACON_NAME:
                self.on_cluster_clock_reply(now, event)
            case api.CounterReply():
                self.quota.on_counter_reply(now, event)
            case api.TimerFired():
                self.on_timer(now)
            case api.EndpointList():
                self.on_endpoint_list(now, event)
            case _:
                self.dispatch_rare(now, event)

    def dispatch_rare(self, now: float, event: api.Event) -> None:
        """Pass an event of a rarer kind to its component; ignore events of requests that have ended."""
        match event:
            case api.ResponseStarted() if event.request_id in self.requests.requests:
                self.attempt_sender.on_response_started(self.requests.requests[event.request_id], event)
            case api.RequestHoldChanged() if event.request_id in self.requests.requests:
                self.load_shedder.set_held(now, self.requests.requests[event.request_id], held=event.held)
            case api.EndpointOverride():
                self.endpoint_pool.on_override(now, event)
            case api.ClusterClockNeeded() if self.counter.is_enabled:
                self.cluster_clock.start(now)
                self.counter.is_clock_wrong = self.cluster_clock.is_synchronizing
            case api.WallClockStepped():
                self.endpoint_pool.on_clock_step(now, event.offset)
            case api.CustomerLimitChanged():
                self.account_table.max_accounts = event.max_customers
            case api.DrainChanged():
                self.quota.is_draining = event.draining
            case api.SettingsChanged():
                self.apply_settings(now, event.settings)
            case api.ClientDisconnected() if event.request_id in self.requests.requests:
                self.requests.finish(now, self.requests.requests[event.request_id])

    def on_endpoint_list(self, now: float, event: api.EndpointList) -> None:
        """Apply an endpoint list; watch discovery again if it failed or, where polled, was cached."""
        self.endpoint_pool.on_list(now, event)
        if event.mode == "failed":
            self.watch_retry_at = now + WATCH_RETRY_DELAY_S
        elif event.mode == "cached" and self.settings.discovery_mode == "ask":
            self.actions.append(api.WatchEndpoints(True))

    def on_cluster_clock_reply(self, now: float, event: api.CounterReply) -> None:
        """Apply the cluster's time, by which quota windows are numbered and endpoint start times are read."""
        if event.result == "late":
            return
        clock = self.cluster_clock
        offset_before = clock.offset
        is_first_check = not self.is_clock_checked
        self.is_clock_checked = True
        clock.on_total(now, event.result == "ok", event.total)
        if is_first_check or clock.is_synchronizing != self.counter.is_clock_wrong:
            self.actions.append(api.ClusterClockChanged(clock.is_synchronizing))
        self.counter.is_clock_wrong = clock.is_synchronizing
        if clock.offset != offset_before:
            message = f"the fleet's time is {clock.offset:+.1f} s from this gateway's"
            self.actions.append(api.LogMessage(message))
            self.endpoint_pool.on_clock_step(now, clock.offset)

    def apply_settings(self, now: float, settings: api.Settings) -> None:
        """Apply new settings to requests that arrive from now on.

        A request in progress keeps its class, its plan and the limits with which it began.
        """
        self.settings = settings
        self.endpoint_pool.on_settings_change(settings)
        self.counter.apply_settings(settings)
        self.cluster_clock.gateway_count = settings.gateway_count
        self.attempt_sender.settings = settings
        self.load_shedder.settings = settings
        self.quota.apply_settings(now, settings)

    def on_request(self, now: float, event: api.Request) -> None:
        """Admit a new request, or reject it because of load, its customer's ceiling or its quota."""
        service_class = self.settings.classes[event.service_class]
        plan = self.settings.plans[event.plan]
        account = self.account_table.account_for(now, event, plan, self.cluster_clock.offset)
        if account is None:
            self.actions.append(api.RejectRequest(event.request_id, self.max_retry_after(), False))
            return
        priority = service_class.priority_weight * plan.priority_factor * event.units
        self.quota.record_priority(priority)
        state = RequestState(
            request=event,
            service_class=service_class,
            plan=plan,
            account=account,
            waiting_since=now,
            deadline=now + event.time_left,
            priority=priority,
            priority_per_second=priority / max(self.endpoint_pool.mean_latency[service_class.name], 1e-6),
            health_keys=("host", "class " + service_class.name, "plan " + plan.name),
            limits=self.settings.limits,
        )
        self.requests.add(state)
        # With so little time left, no check could run before the deadline.
        if event.time_left < 2 * TIMER_RESOLUTION_S or self.load_shedder.should_shed(now, state):
            self.requests.reject(now, state, 0.0)
        elif account.remaining_ceiling(now) < event.units:
            missing_units = event.units - account.ceiling_units
            self.requests.reject(now, state, missing_units * account.gateway_spread / plan.ceiling_rate)
        elif plan.rate:
            self.quota.request_units(now, state)
        else:
            self.open_attempt_limit.request_slot(now, state)

    def max_retry_after(self) -> float:
        """Return the longest retry delay in seconds that a rejection may have; 0 if it has none."""
        limits = self.settings.limits
        return limits.max_retry_after if limits.sends_retry_after else 0.0

    def on_timer(self, now: float) -> None:
        """Perform what is due: watch the endpoint list again, and check requests."""
        if now >= self.timer_due_at - TIMER_SLACK_S:
            self.timer_due_at = math.inf
        if now >= self.watch_retry_at:
            self.watch_retry_at = math.inf
            self.actions.append(api.WatchEndpoints(True))
        while (state := self.requests.pop_due_request(now)) is not None:
            self.check_request(now, state)

    def check_request(self, now: float, state: RequestState) -> None:
        """Reject a request that waited too long or nears its deadline, or handle its overdue attempts."""
        is_near_deadline = now >= state.deadline - 2 * TIMER_RESOLUTION_S - TIMER_SLACK_S
        if state.stage == "sent":
            if not is_near_deadline and not state.is_streaming:
                self.attempt_sender.handle_overdue_attempts(now, state)
            return
        max_wait = math.inf
        if state.stage == "units":
            max_wait = COUNTER_WAIT_TIMEOUTS * self.counter.timeout
        elif state.stage == "queue":
            max_wait = self.load_shedder.max_queue_time(state.service_class)
        if is_near_deadline or now - state.waiting_since >= max_wait - TIMER_SLACK_S:
            self.requests.reject(now, state, 0.0)
