"""Attempts: sends requests to endpoints and takes what comes back."""

from __future__ import annotations

import time
from functools import partial

from api_gateway import interface as api
from api_gateway.gateway.event_dispatcher import EventDispatcher
from api_gateway.gateway.in_flight import InFlightRequest, InFlightRequests, bulk_string
from api_gateway.upstream.attempt import Attempt
from api_gateway.upstream.endpoint_pools import EndpointPools


class AttemptRunner:
    """Executes the actions on attempts and reports how each attempt ended.

    Each attempt's `tag` is the request that it belongs to and its number.
    """

    def __init__(
        self, requests: InFlightRequests, upstream: EndpointPools, dispatcher: EventDispatcher
    ) -> None:
        """Wire the component."""
        self._requests = requests
        self._upstream = upstream
        self._dispatcher = dispatcher

    def send(self, action: api.SendAttempt) -> None:
        """Send a request to an endpoint.

        One that is late, past the limit of attempts or a hedge where none is allowed ends as moot at once.
        """
        request = self._requests.in_flight.get(action.request_id)
        if request is None or request.is_answered:
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
            self._on_value_begins,
            action.send_within,
        )
        request.attempts[number] = attempt
        self._upstream.send(attempt, timeout)

    def cancel(self, action: api.CancelAttempt) -> None:
        """Cancel an attempt, where it has not ended."""
        request = self._requests.in_flight.get(action.request_id)
        if request is not None and action.attempt in request.attempts:
            self._upstream.abandon(request.attempts[action.attempt], "cancelled")

    def on_attempt_ended(self, attempt: Attempt) -> None:
        """Answer the client where the attempt brought the answer, and report the end."""
        request: InFlightRequest
        request, number = attempt.context
        result = attempt.result
        was_answered = request.is_answered
        del request.attempts[number]
        if was_answered and result == "connect_failed":
            result = "moot"  # cancelled before it was sent, which says nothing of the endpoint
        elif not was_answered and self._brings_answer(request, attempt):
            self._requests.finish(request, bulk_string(attempt.value))
        self._requests.forget_if_ended(request)
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

    @staticmethod
    def _brings_answer(request: InFlightRequest, attempt: Attempt) -> bool:
        if request.streaming_attempt is None:
            return attempt.result == "ok"
        return request.streaming_attempt is attempt

    @staticmethod
    def _make_payload(request: InFlightRequest, time_left: float) -> bytes:
        """Return what an attempt sends that is about to go out: nothing once its client has disconnected.

        The loop may not have read of that yet: it is late by its own work, or does not read that client now.
        """
        if not request.is_answered:
            request.slot.connection.detect_disconnect()
        return b"" if request.is_answered else request.payload(time_left)

    def _on_value_begins(self, attempt: Attempt, length: int) -> bool:
        """Connect the first attempt that brings a large value with the client.

        From here on the request is this attempt's, and its time does not count any longer.

        Args:
            attempt: The attempt.
            length: Bytes of the value.

        Returns:
            Whether the value is wanted.
        """
        request: InFlightRequest
        request, number = attempt.context
        connection = attempt.connection
        if request.is_answered or request.streaming_attempt is not None or connection is None:
            return False
        request.streaming_attempt = attempt
        slot = request.slot
        if request.guard is not None:
            request.guard.cancel()
        attempt.is_value_blocked = slot.is_blocked
        slot.on_writable = connection.resume_value
        head = b"$%d\r\n" % length

        def write_piece(data: bytes) -> None:
            nonlocal head
            slot.write_piece(head + data)
            head = b""

        attempt.value_sink = write_piece
        started = api.ResponseStarted(request.id, number, attempt.endpoint_id, attempt.response_time())
        self._dispatcher.dispatch(started)
        return attempt.result == ""
