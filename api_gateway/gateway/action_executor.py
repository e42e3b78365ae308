"""Execute actions that do not belong to a single request, and map every action type to its handler."""

from __future__ import annotations

import asyncio
import logging

from api_gateway import interface as api
from api_gateway.counter_client import CounterClient
from api_gateway.discovery.client import Discovery
from api_gateway.gateway.attempt_runner import AttemptRunner
from api_gateway.gateway.event_dispatcher import ActionHandler, EventDispatcher
from api_gateway.gateway.in_flight import InFlightRequests
from api_gateway.gateway.serving_state import ServingState
from api_gateway.upstream.attempt import Attempt
from api_gateway.upstream.endpoint_pools import EndpointPools

# Seconds added when a timer is rescheduled, because event loop timers have millisecond resolution and may
# fire early.
TIMER_SLACK_S = 0.001

log = logging.getLogger(__name__)


class ActionExecutor:
    """Executes health checks, counter calls, timers and discovery calls.

    The results of health checks, counter calls and timers are dispatched as events.
    """

    def __init__(
        self,
        dispatcher: EventDispatcher,
        upstream: EndpointPools,
        discovery: Discovery,
        counter: CounterClient | None,
    ) -> None:
        """Store the collaborators; requires a running event loop."""
        self._dispatcher = dispatcher
        self._upstream = upstream
        self._discovery = discovery
        self._counter = counter
        self._loop = asyncio.get_running_loop()

    def handlers(
        self, requests: InFlightRequests, attempts: AttemptRunner, serving: ServingState
    ) -> dict[type[api.Action], ActionHandler]:
        """Return the handler of each action type: a method of this class or of the component concerned."""
        return {
            api.SendAttempt: attempts.send,
            api.RejectRequest: requests.reject,
            api.FailRequest: requests.fail,
            api.CancelAttempt: attempts.cancel,
            api.AddToCounter: self.add_to_counter,
            api.SetTimer: self.set_timer,
            api.CheckHealth: self.check_health,
            api.CloseIdleConnections: self.close_idle_connections,
            api.FetchEndpoints: self.fetch_endpoints,
            api.ResizeSubset: self.resize_subset,
            api.WatchEndpoints: self.watch_endpoints,
            api.ClusterClockChanged: serving.on_cluster_clock_changed,
            api.LogMessage: self.log_message,
        }

    def check_health(self, action: api.CheckHealth) -> None:
        """Send a health check to the endpoint and dispatch its result as an event."""
        self._upstream.check_health(action.endpoint_id, self._on_health_check_ended)

    def _on_health_check_ended(self, attempt: Attempt) -> None:
        ended = api.HealthCheckEnded(
            attempt.endpoint_id, attempt.result, attempt.response_time(), attempt.load_report
        )
        self._dispatcher.dispatch(ended)

    def close_idle_connections(self, action: api.CloseIdleConnections) -> None:
        """Close all idle connections to the endpoint."""
        self._upstream.close_idle(action.endpoint_id)

    def add_to_counter(self, action: api.AddToCounter) -> None:
        """Add an amount to a counter entry.

        If no counter is configured, the call fails with `connect_failed` in a later iteration of the event
        loop.
        """
        if self._counter is None:
            self._loop.call_soon(self._on_counter_reply, action.name, "connect_failed", 0.0, 0.0)
        else:
            self._counter.add(action.name, action.amount, action.lifetime, self._on_counter_reply)

    def _on_counter_reply(self, name: int, result: str, total: float, elapsed: float) -> None:
        self._dispatcher.dispatch(api.CounterReply(name, result, total, elapsed))

    def set_timer(self, action: api.SetTimer) -> None:
        """Start a timer that fires when its delay has elapsed on the event clock, never earlier."""
        ends_at = self._dispatcher.clock() + action.delay
        self._loop.call_later(action.delay, self._on_timer, action.label, ends_at)

    def _on_timer(self, label: int, ends_at: float) -> None:
        """Dispatch the timer event, or wait again if the loop fired early.

        The decision engine would mistake an early timer for a different one and would not set another.
        """
        time_left = ends_at - self._dispatcher.clock()
        if time_left > 0:
            self._loop.call_later(time_left + TIMER_SLACK_S, self._on_timer, label, ends_at)
        else:
            self._dispatcher.dispatch(api.TimerFired(label))

    def fetch_endpoints(self, action: api.FetchEndpoints) -> None:
        """Request the complete endpoint list from discovery once."""
        self._discovery.fetch_full_list()

    def watch_endpoints(self, action: api.WatchEndpoints) -> None:
        """Start or stop watching discovery for changes."""
        self._discovery.set_watching(action.enabled)

    def resize_subset(self, action: api.ResizeSubset) -> None:
        """Request a larger or smaller endpoint subset from discovery."""
        self._discovery.resize_subset(action.endpoint_count)

    def log_message(self, action: api.LogMessage) -> None:
        """Write a message from the decision engine to the log."""
        log.info("decision module: %s", action.text)
