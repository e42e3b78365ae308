"""Send requests to endpoints as attempts and handle their results."""

from __future__ import annotations

import logging
import time
from functools import partial

from api_gateway import interface as api
from api_gateway.gateway.event_dispatcher import EventDispatcher
from api_gateway.gateway.in_flight import InFlightRequest, InFlightRequests, bulk_string
from api_gateway.upstream.attempt import Attempt
from api_gateway.upstream.endpoint_pools import EndpointPools

# Results that prove that the endpoint did not run the request.
NEVER_RUN_RESULTS = frozenset({"connect_failed", "full", "moot"})

log = logging.getLogger(__name__)


class AttemptRunner:
    """Executes the actions that concern attempts and dispatches an event when an attempt ends.

    Each attempt's `context` is a tuple of its request and its attempt number.
    """

    def __init__(
        self, requests: InFlightRequests, upstream: EndpointPools, dispatcher: EventDispatcher
    ) -> None:
        """Store the collaborators."""
        self._requests = requests
        self._upstream = upstream
        self._dispatcher = dispatcher

    def send(self, action: api.SendAttempt) -> None:
        """Send a request to an endpoint; the end of the attempt is always reported to the decision engine.

        It is not begun if the request has been answered or its client has disconnected. It ends immediately
        with the result `moot` if the deadline has passed, the maximum number of attempts is reached, or it
        would be a hedged request and hedging is not allowed.
        """
        request = self._requests.in_flight.get(action.request_id)
        if request is None or request.is_answered or request.pending_reply.is_abandoned:
            self._dispatcher.dispatch(api.AttemptNotSent(action.request_id, action.endpoint_id))
            return
        number = request.attempt_count
        time_left = request.deadline - time.monotonic()
        request.attempt_count += 1
        is_forbidden_hedge = request.attempts and not request.limits.can_hedge
        if time_left <= 0 or number >= request.limits.max_attempts or is_forbidden_hedge:
            ended = api.AttemptEnded(request.id, number, action.endpoint_id, "moot", 0.0, False)
            self._dispatcher.dispatch(ended)
            return
        timeout = min(time_left, action.timeout) if action.timeout > 0 else time_left
        attempt = Attempt(
            action.endpoint_id,
            partial(self._make_payload, request),
            self.on_attempt_ended,
            (request, number),
            request.body,
            self._on_value_started,
            action.send_within,
        )
        request.attempts[number] = attempt
        try:
            self._upstream.send(attempt, timeout)
        except Exception:  # the decision engine counts the attempt until it ends
            log.exception("sending an attempt failed endpoint=%s", action.endpoint_id)
            self._upstream.abandon(attempt, "error")

    def cancel(self, action: api.CancelAttempt) -> None:
        """Cancel an attempt that has not ended yet."""
        request = self._requests.in_flight.get(action.request_id)
        if request is not None and action.attempt in request.attempts:
            self._upstream.abandon(request.attempts[action.attempt], "cancelled")

    def on_attempt_ended(self, attempt: Attempt) -> None:
        """Answer the client if the attempt produced the reply, then dispatch the result of the attempt."""
        request: InFlightRequest
        request, number = attempt.context
        result = attempt.result
        request.may_have_run = request.may_have_run or result not in NEVER_RUN_RESULTS
        was_already_answered = request.is_answered
        del request.attempts[number]
        try:
            result = self._conclude(request, attempt, was_already_answered=was_already_answered)
        finally:
            self._dispatcher.dispatch(
                api.AttemptEnded(
                    request.id,
                    number,
                    attempt.endpoint_id,
                    result,
                    attempt.response_time(),
                    request.is_answered,
                    metered_use=attempt.metered_use,
                    load_report=attempt.load_report,
                )
            )

    def _conclude(self, request: InFlightRequest, attempt: Attempt, *, was_already_answered: bool) -> str:
        """Answer the client if an attempt that has ended produced the reply; return its result."""
        result = attempt.result
        is_not_needed = was_already_answered or request.is_held or request.pending_reply.is_abandoned
        if is_not_needed and result == "connect_failed":
            result = "moot"  # not sent for a reason of its own, so it is no evidence about the endpoint
        elif not was_already_answered and self._provides_reply(request, attempt):
            self._requests.finish(request, bulk_string(attempt.value))
        self._requests.remove_if_finished(request)
        return result

    @staticmethod
    def _provides_reply(request: InFlightRequest, attempt: Attempt) -> bool:
        if request.streaming_attempt is None:
            return attempt.result == "ok"
        return request.streaming_attempt is attempt

    def _make_payload(self, request: InFlightRequest, time_left: float) -> bytes:
        """Return the bytes that an attempt is about to send.

        There are none if its client has disconnected, if the request is held, or if another request with its
        id may have run.

        The socket is checked here because the event loop may not have noticed the disconnect yet: it may be
        delayed by other work, or reading from that client may be paused.
        """
        pending_reply = request.pending_reply
        if not request.is_answered:
            pending_reply.connection.detect_disconnect()
        if request.is_answered or pending_reply.is_abandoned or request.is_held:
            return b""
        if not self._requests.claim_id(request):
            return b""
        return request.payload(time_left)

    def _on_value_started(self, attempt: Attempt, length: int) -> bool:
        """Start streaming a large value from the first attempt that receives one to the client.

        From then on only this attempt can answer the request, and the deadline of the request no longer
        applies. The request is answered once the value is complete, even if the rest of the answer never
        arrives.

        Args:
            attempt: The attempt.
            length: Length of the value in bytes.

        Returns:
            Whether the attempt should read the value.
        """
        request: InFlightRequest
        request, number = attempt.context
        connection = attempt.connection
        if request.is_answered or request.streaming_attempt is not None or connection is None:
            return False
        pending_reply = request.pending_reply
        if request.guard is not None:
            request.guard.cancel()
        attempt.is_value_blocked = pending_reply.is_blocked
        header = b"$%d\r\n" % length

        def write_chunk(data: bytes) -> None:
            nonlocal header
            pending_reply.write_piece(header + data)
            header = b""

        attempt.value_sink = write_chunk
        attempt.on_value_complete = partial(self._requests.finish, request, bulk_string(attempt.value))
        self._requests.begin_value(request, attempt, connection.resume_value)
        started = api.ResponseStarted(request.id, number, attempt.endpoint_id, attempt.response_time())
        self._dispatcher.dispatch(started)
        return attempt.result == ""
