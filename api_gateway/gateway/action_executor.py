"""Executes the actions of the decision module that concern no single request, and maps all to handlers."""

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

# Seconds past the end of a timer: the loop's timers tick in milliseconds and may fire early.
TIMER_SLACK_S = 0.001

log = logging.getLogger(__name__)


class ActionExecutor:
    """Executes health checks, counter calls, timers and calls to discovery, and reports their ends."""

    def __init__(
        self,
        dispatcher: EventDispatcher,
        upstream: EndpointPools,
        discovery: Discovery,
        counter: CounterClient | None,
    ) -> None:
        """Wire the component; needs a running event loop."""
        self._dispatcher = dispatcher
        self._upstream = upstream
        self._discovery = discovery
        self._counter = counter
        self._loop = asyncio.get_running_loop()

    def handlers(
        self, requests: InFlightRequests, attempts: AttemptRunner, serving: ServingState
    ) -> dict[type[api.Action], ActionHandler]:
        """Return what carries out each type of action: this component or the owner of what it acts on."""
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
        """Send a health check to an endpoint."""
        self._upstream.check_health(action.endpoint_id, self._on_health_check_ended)

    def _on_health_check_ended(self, attempt: Attempt) -> None:
        ended = api.HealthCheckEnded(
            attempt.endpoint_id, attempt.result, attempt.response_time(), attempt.load_report
        )
        self._dispatcher.dispatch(ended)

    def close_idle_connections(self, action: api.CloseIdleConnections) -> None:
        """Close the idle connections to an endpoint."""
        self._upstream.close_idle(action.endpoint_id)

    def add_to_counter(self, action: api.AddToCounter) -> None:
        """Add to an entry of the counter; without a counter that fails, in a later turn of the loop."""
        if self._counter is None:
            self._loop.call_soon(self._on_counter_reply, action.name, "connect_failed", 0.0, 0.0)
        else:
            self._counter.add(action.name, action.amount, action.lifetime, self._on_counter_reply)

    def _on_counter_reply(self, name: int, result: str, total: float, elapsed: float) -> None:
        self._dispatcher.dispatch(api.CounterReply(name, result, total, elapsed))

    def set_timer(self, action: api.SetTimer) -> None:
        """Report a timer once its delay is over by the clock of events, and never before."""
        ends_at = self._dispatcher.clock() + action.delay
        self._loop.call_later(action.delay, self._on_timer, action.label, ends_at)

    def _on_timer(self, label: int, ends_at: float) -> None:
        """Report a timer, or wait on: the module would take an early one for another and set no further."""
        time_left = ends_at - self._dispatcher.clock()
        if time_left > 0:
            self._loop.call_later(time_left + TIMER_SLACK_S, self._on_timer, label, ends_at)
        else:
            self._dispatcher.dispatch(api.TimerFired(label))

    def fetch_endpoints(self, action: api.FetchEndpoints) -> None:
        """Poll discovery for the complete list, once."""
        self._discovery.fetch_full_list()

    def watch_endpoints(self, action: api.WatchEndpoints) -> None:
        """Begin or end watching discovery."""
        self._discovery.set_watching(action.enabled)

    def resize_subset(self, action: api.ResizeSubset) -> None:
        """Ask discovery for a larger or smaller subset."""
        self._discovery.resize_subset(action.endpoint_count)

    def log_message(self, action: api.LogMessage) -> None:
        """Log what the decision module has to say."""
        log.info("module: %s", action.text)
