"""Track requests in flight from their admission to their final reply."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Callable

from api_gateway import interface as api
from api_gateway.base.byte_budget import ByteBudget
from api_gateway.downstream.client_connection import ClientConnection
from api_gateway.downstream.pending_reply import PendingReply
from api_gateway.gateway.active_config import ActiveConfig
from api_gateway.gateway.event_dispatcher import EventDispatcher
from api_gateway.gateway.forwarded_ids import ForwardedIds
from api_gateway.gateway.rejections import RejectionReason, Rejections
from api_gateway.gateway.request_parser import ANSWER_RESERVE_S, BadRequestError, parse_request
from api_gateway.upstream.attempt import Attempt
from api_gateway.upstream.endpoint_pools import EndpointPools

# Seconds before the client's deadline at which an unanswered request is failed without the decision engine.
GUARD_MARGIN_S = 0.01
# Bytes that a request in flight takes beside those of its command: its state, timers and attempts.
REQUEST_OVERHEAD_BYTES = 4096
# Copies of a command that a request may hold: as it was read, and as it is written to an endpoint.
COMMAND_COPIES = 2
# Capacity of the budget until the limits of the process are applied.
DEFAULT_BUDGET_BYTES = 16 * 1024 * 1024
# Fraction of a request's time that it may wait until its large body is read. A later rejection costs more.
BODY_WAIT_FRACTION = 0.5

FAILED_REPLY = b"-ERR failed\r\n"
NOT_READY_REPLY = b"-ERR not ready\r\n"
BUSY_REPLY = b"-BUSY\r\n"
PONG_REPLY = b"+PONG\r\n"

log = logging.getLogger(__name__)


def bulk_string(data: bytes | bytearray) -> bytes:
    """Encode `data` as a RESP2 bulk string."""
    return b"$%d\r\n%s\r\n" % (len(data), data)


def request_bytes(command: list[bytes | bytearray]) -> int:
    """Return the memory that a request with this command takes, in bytes, without a large body."""
    command_bytes = sum(len(part) for part in command if isinstance(part, bytes))
    return REQUEST_OVERHEAD_BYTES + COMMAND_COPIES * command_bytes


def encode_error(error: BadRequestError) -> bytes:
    """Encode the reply to an invalid command."""
    return b"-ERR %s\r\n" % str(error).encode()


class InFlightRequest:
    """An admitted request, its pending reply and its attempts.

    Attributes:
        id: The request id chosen by the client.
        pending_reply: The reply to this request on the client's connection.
        command: The command as the client sent it; a large body is a bytearray.
        large_body: The large body, whose reservation the request owns; None if the body is small.
        reserved_bytes: Bytes of the request in the budget, without the large body.
        deadline: When attempts have to end, ANSWER_RESERVE_S before the client's deadline, in seconds of the
            monotonic clock.
        limits: The limits from the settings under which the request was admitted.
        guard: Timer that fails the request if nothing else answers it before the deadline.
        attempt_count: Number of attempts started so far.
        attempts: Attempts that have not ended, by number.
        is_answered: Whether the request has received its final reply.
        streaming_attempt: The attempt whose value is being streamed to the client.
        is_idempotent: Whether its class may run any number of times.
        has_claimed_id: Whether its id has been recorded as forwarded.
        may_have_run: Whether an attempt has ended that may have run.
        is_held: Whether it must not be sent, because its reply comes after a value that is in transfer.
    """

    __slots__ = (
        "id",
        "pending_reply",
        "command",
        "large_body",
        "reserved_bytes",
        "deadline",
        "limits",
        "guard",
        "attempt_count",
        "attempts",
        "is_answered",
        "streaming_attempt",
        "is_idempotent",
        "has_claimed_id",
        "may_have_run",
        "is_held",
    )

    def __init__(
        self,
        id: str,
        pending_reply: PendingReply,
        command: list[bytes | bytearray],
        deadline: float,
        limits: api.Limits,
        *,
        is_idempotent: bool,
    ) -> None:
        """Create a request without attempts or a reply."""
        self.id = id
        self.pending_reply = pending_reply
        self.command = command
        self.large_body = pending_reply.take_large_body()
        self.reserved_bytes = 0
        self.deadline = deadline
        self.limits = limits
        self.guard: asyncio.TimerHandle | None = None
        self.attempt_count = 0
        self.attempts: dict[int, Attempt] = {}
        self.is_answered = False
        self.streaming_attempt: Attempt | None = None
        self.is_idempotent = is_idempotent
        self.has_claimed_id = False
        self.may_have_run = False
        self.is_held = False

    @property
    def body(self) -> bytearray | None:
        """The bytes of a large body, which count towards the body budget; None if the body is small."""
        return self.large_body.data if self.large_body is not None else None

    def discard_references(self) -> None:
        """Drop the references to what refers to this request, so that it is freed at once.

        Otherwise it would stay, with its body, until the garbage collector looks for cycles.
        """
        self.pending_reply.request = None
        self.streaming_attempt = None

    def payload(self, time_left: float) -> bytes:
        """Encode the command as the client sent it, with the deadline field `d` replaced.

        A large body is not included. The caller sends it separately, so it is never copied.

        Args:
            time_left: Seconds that the gateway waits for the reply to this attempt.
        """
        fields = self.command[3]
        start = (b"," + fields).index(b",d=") + 2
        end = fields.find(b",", start)
        rest = fields[end:] if end >= 0 else b""
        forwarded_fields = b"%s%d%s" % (fields[:start], max(1, int(time_left * 1000)), rest)
        parts = [*self.command[:3], forwarded_fields, *self.command[4:]]
        if self.body is not None:
            head = b"".join([bulk_string(part) for part in parts[:4]])
            return b"*5\r\n%s$%d\r\n" % (head, len(parts[4]))
        return b"*%d\r\n%s" % (len(parts), b"".join([bulk_string(part) for part in parts]))


class InFlightRequests:
    """Owns the requests in flight, admits commands and sends each request exactly one final reply.

    It is the command handler of the client server: client connections call `handle_command` and
    `on_client_disconnected`.

    Attributes:
        in_flight: The requests by id. Each is removed when it is answered and its last attempt has ended.
        budget: Counts the memory of these requests, without large bodies.
        is_rejecting_all: Whether all new requests are rejected because the process is about to exit.
        rejections: The rejected requests by reason.
        forwarded_ids: The ids of requests that are not idempotent and may have run.
    """

    def __init__(
        self,
        active: ActiveConfig,
        dispatcher: EventDispatcher,
        upstream: EndpointPools,
        is_serving: Callable[[], bool],
        forwarded_ids: ForwardedIds,
    ) -> None:
        """Store the collaborators; requires a running event loop."""
        self._active = active
        self._dispatcher = dispatcher
        self._upstream = upstream
        self._is_serving = is_serving
        self._loop = asyncio.get_running_loop()
        self.in_flight: dict[str, InFlightRequest] = {}
        self.budget = ByteBudget(DEFAULT_BUDGET_BYTES)
        self.is_rejecting_all = False
        self.rejections = Rejections()
        self.forwarded_ids = forwarded_ids

    # Called by client connections

    def handle_command(self, pending_reply: PendingReply, command: object) -> None:
        """Answer a command, or admit it as a request. An error here affects this command only."""
        if command == [b"PING"] or command == [b"ping"]:
            pending_reply.complete(PONG_REPLY if self._is_serving() else NOT_READY_REPLY)
            return
        try:
            self.admit(pending_reply, command)
        except BadRequestError as err:
            pending_reply.complete(encode_error(err))
        except Exception:
            log.exception("unexpected error while handling a command")
            pending_reply.complete(FAILED_REPLY)

    def body_wait_limit(self, command: object) -> float:
        """Return how many seconds a command, given without its large body, may wait for that to be read."""
        try:
            return BODY_WAIT_FRACTION * self.parse(command, 0.0).time_left
        except BadRequestError:
            return 0.0

    def reject_command(self, pending_reply: PendingReply, command: object) -> None:
        """Answer a command, given without its large body, that has waited too long for that to be read."""
        try:
            request = self.parse(command, 0.0)
        except BadRequestError as err:
            pending_reply.complete(encode_error(err))
        else:
            self.rejections.record(RejectionReason.BODY_WAIT, request.request_id)
            pending_reply.complete(BUSY_REPLY)

    def on_client_disconnected(self, pending_reply: PendingReply) -> None:
        """End a request whose client has disconnected, so nothing more is forwarded for it."""
        request = pending_reply.request
        if request is not None and not request.is_answered:
            self.finish(request, b"")
            self._dispatcher.dispatch(api.ClientDisconnected(request.id))
            if request.streaming_attempt is not None:
                self._upstream.abandon(request.streaming_attempt, "cancelled")

    # Admission

    def admit(self, pending_reply: PendingReply, command: object) -> None:
        """Admit a request and pass it to the decision engine, or reject it if a limit is reached.

        Raises:
            BadRequestError: The command is not a valid request, or its id is in flight or was forwarded.
        """
        now = time.monotonic()
        request = self.parse(command, now - pending_reply.connection.send_time.earliest)
        if request.request_id in self.in_flight:
            self.rejections.record(RejectionReason.ID_IN_FLIGHT, request.request_id)
            raise BadRequestError("this id is in work")
        is_idempotent = self._active.settings.classes[request.service_class].idempotency == "safe"
        if not is_idempotent and request.request_id in self.forwarded_ids:
            self.rejections.record(RejectionReason.ID_FORWARDED, request.request_id)
            raise BadRequestError("this id was forwarded before")
        assert isinstance(command, list)  # otherwise parse() would have raised
        needed_bytes = request_bytes(command)
        reason = self._limit_reached(needed_bytes)
        if reason is not None:
            self.rejections.record(reason, request.request_id)
            pending_reply.complete(BUSY_REPLY)
            return
        admitted = InFlightRequest(
            request.request_id,
            pending_reply,
            command,
            now + request.time_left,
            self._active.settings.limits,
            is_idempotent=is_idempotent,
        )
        pending_reply.request = admitted
        self.in_flight[request.request_id] = admitted
        admitted.reserved_bytes = needed_bytes
        guard_delay = max(0.0, request.time_left + ANSWER_RESERVE_S - GUARD_MARGIN_S)
        admitted.guard = self._loop.call_later(guard_delay, self._on_overdue, admitted)
        self._dispatcher.dispatch(request)

    def parse(self, command: object, elapsed: float) -> api.Request:
        """Parse a command under the active settings; see `parse_request`."""
        return parse_request(command, self._active.settings, elapsed)

    def _limit_reached(self, needed_bytes: int) -> RejectionReason | None:
        """Return which limit keeps a new request out; if none does, reserve its memory."""
        if self.is_rejecting_all:
            return RejectionReason.STOPPING
        if len(self.in_flight) >= self._active.config.max_in_flight:
            return RejectionReason.IN_FLIGHT_LIMIT
        return None if self.budget.try_reserve(needed_bytes) else RejectionReason.MEMORY

    # The final reply

    def finish(self, request: InFlightRequest, reply: bytes) -> None:
        """Send the final reply to a request, unless it already has one.

        All final replies are sent by this method.

        Args:
            request: The request.
            reply: The bytes to send, unless the value was streamed; empty if the client has disconnected.
        """
        if request.is_answered:
            return
        request.is_answered = True
        if request.guard is not None:
            request.guard.cancel()
        self._send_reply(request, reply)
        if request.streaming_attempt is not None:
            self._release_held(request.pending_reply.connection)
        for attempt in list(request.attempts.values()):
            if not attempt.is_written:  # no attempt is sent after the final reply
                self._upstream.abandon(attempt, "cancelled")
        self.remove_if_finished(request)

    def _send_reply(self, request: InFlightRequest, reply: bytes) -> None:
        """Complete the reply to a request; one that has begun and cannot be completed ends the connection."""
        pending_reply = request.pending_reply
        attempt = request.streaming_attempt
        if attempt is None:
            if reply:
                pending_reply.complete(reply)
        elif attempt.is_value_complete:
            pending_reply.complete(b"")
        elif pending_reply.is_begun:
            pending_reply.abort()
        elif reply:  # the value has waited for earlier replies, and none of it was written
            pending_reply.complete(FAILED_REPLY)

    # The order of replies behind a value

    def begin_value(
        self, request: InFlightRequest, attempt: Attempt, on_writable: Callable[[], None]
    ) -> None:
        """Answer a request with the value of an attempt as it arrives, and hold the requests behind it.

        None of these is sent before the end of the value is known: if the endpoint breaks off, the connection
        has to end, and the replies to them with it.
        """
        request.streaming_attempt = attempt
        pending_reply = request.pending_reply
        pending_reply.begin_value(on_writable)
        for later_reply in pending_reply.connection.replies_behind(pending_reply):
            later_request: InFlightRequest | None = later_reply.request
            if later_request is not None and not later_request.is_answered and not later_request.is_held:
                later_request.is_held = True
                self._dispatcher.dispatch(api.RequestHoldChanged(later_request.id, held=True))

    def _release_held(self, connection: ClientConnection) -> None:
        """Release the held requests of a connection that no value precedes any more."""
        for pending_reply in connection.replies_not_behind_a_value():
            request: InFlightRequest | None = pending_reply.request
            if request is not None and request.is_held and not request.is_answered:
                request.is_held = False
                self._dispatcher.dispatch(api.RequestHoldChanged(request.id, held=False))

    # Replies that the decision engine asks for

    def reject(self, action: api.RejectRequest) -> None:
        """Answer a request with BUSY, including a retry delay if the decision engine set one."""
        request = self.in_flight.get(action.request_id)
        if request is None:
            return
        self.rejections.record(RejectionReason.POLICY, request.id)
        retry_after_ms = math.ceil(action.retry_after * 1000)
        if action.overloaded:
            request.pending_reply.connection.on_overload()
        self.finish(request, b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms > 0 else BUSY_REPLY)

    def fail(self, action: api.FailRequest) -> None:
        """Answer a request with an error reply."""
        request = self.in_flight.get(action.request_id)
        if request is not None:
            self.finish(request, FAILED_REPLY)

    def abandon(self, request: InFlightRequest) -> None:
        """Fail a request without a decision, cancel its attempts and make the decision engine discard it."""
        self.finish(request, FAILED_REPLY)
        for attempt in list(request.attempts.values()):
            self._upstream.abandon(attempt, "cancelled")
        self._dispatcher.dispatch(api.ClientDisconnected(request.id))

    def abandon_all(self) -> None:
        """Abandon the requests in flight, the latest first, except those whose value is being passed on.

        A large value that waits for earlier replies would begin with the last of these.
        """
        for request in reversed(list(self.in_flight.values())):
            if not request.pending_reply.is_begun:
                self.abandon(request)

    def on_engine_failure(self, event: api.Event) -> None:
        """Abandon the request that the event belongs to, because the decision engine raised an exception."""
        if isinstance(event, api.Request | api.AttemptEnded) and event.request_id in self.in_flight:
            self.abandon(self.in_flight[event.request_id])

    def claim_id(self, request: InFlightRequest) -> bool:
        """Record that a request is about to be forwarded; fail it if its id was, perhaps by another process.

        Returns:
            Whether it may be forwarded.
        """
        if request.is_idempotent or request.has_claimed_id:
            return True
        request.has_claimed_id = self.forwarded_ids.add(request.id)
        if not request.has_claimed_id:
            self.rejections.record(RejectionReason.ID_FORWARDED, request.id)
            self.abandon(request)
        return request.has_claimed_id

    def remove_if_finished(self, request: InFlightRequest) -> None:
        """Remove a request and release the bytes of its body if it is answered and no attempt is left."""
        if not request.is_answered or request.attempts:
            return
        if self.in_flight.pop(request.id, None) is None:
            return
        if request.has_claimed_id and not request.may_have_run:
            self.forwarded_ids.remove(request.id)
        request.discard_references()
        self.budget.release(request.reserved_bytes)
        if request.large_body is not None:
            request.large_body.release()

    def _on_overdue(self, request: InFlightRequest) -> None:
        """Fail a request that the decision engine has left unanswered until shortly before the deadline."""
        if not request.is_answered:
            log.warning("no decision before the deadline request=%s", request.id)
            self.abandon(request)
