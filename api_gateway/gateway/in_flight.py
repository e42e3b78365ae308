"""Requests in flight: each from its admission to its one final answer."""

from __future__ import annotations

import asyncio
import logging
import math
import time
from collections.abc import Callable

from api_gateway import interface as api
from api_gateway.downstream.body_budget import BodyBudget
from api_gateway.downstream.pending_reply import PendingReply
from api_gateway.gateway.active_config import ActiveConfig
from api_gateway.gateway.event_dispatcher import EventDispatcher
from api_gateway.gateway.request_parser import ANSWER_RESERVE_S, BadRequestError, parse_request
from api_gateway.upstream.attempt import Attempt
from api_gateway.upstream.endpoint_pools import EndpointPools

# Seconds before the client gives up by which a request is failed, whatever the decision module does.
GUARD_MARGIN_S = 0.01
# Bytes of small bodies in flight past which requests are rejected.
MAX_SMALL_BODY_BYTES = 16 * 1024 * 1024

FAILED_REPLY = b"-ERR failed\r\n"
NOT_READY_REPLY = b"-ERR not ready\r\n"
BUSY_REPLY = b"-BUSY\r\n"
PONG_REPLY = b"+PONG\r\n"

log = logging.getLogger(__name__)


def bulk_string(data: bytes | bytearray) -> bytes:
    """Return `data` as a bulk string of RESP2."""
    return b"$%d\r\n%s\r\n" % (len(data), data)


class InFlightRequest:
    """A request that was admitted: where its answer goes, and its attempts.

    Attributes:
        id: The request's id, as the client chose it.
        slot: The place of the answer on the client's connection.
        command: The command as the client sent it; a large body is a bytearray.
        deadline: When the client gives up, in seconds of the monotonic clock.
        limits: Those of the settings that the request began under.
        guard: Timer that fails the request where nothing else answers it.
        attempt_count: Attempts so far.
        attempts: Attempts that have not ended, by number.
        is_answered: Whether the request has its final answer.
        streaming_attempt: The attempt whose value goes to the client in pieces.
    """

    __slots__ = (
        "id",
        "slot",
        "command",
        "deadline",
        "limits",
        "guard",
        "attempt_count",
        "attempts",
        "is_answered",
        "streaming_attempt",
    )

    def __init__(
        self,
        id: str,
        slot: PendingReply,
        command: list[bytes | bytearray],
        deadline: float,
        limits: api.Limits,
    ) -> None:
        """Begin without attempts and without an answer."""
        self.id = id
        self.slot = slot
        self.command = command
        self.deadline = deadline
        self.limits = limits
        self.guard: asyncio.TimerHandle | None = None
        self.attempt_count = 0
        self.attempts: dict[int, Attempt] = {}
        self.is_answered = False
        self.streaming_attempt: Attempt | None = None

    @property
    def body(self) -> bytearray | None:
        """The body where it is a large one, which has a place in the body budget."""
        last = self.command[-1]
        return last if isinstance(last, bytearray) else None

    def payload(self, time_left: float) -> bytes:
        """Return the command as the client sent it, but for its deadline `d`.

        A large body follows by itself, so that no copy of it is made.

        Args:
            time_left: Seconds that this attempt's answer is waited for.
        """
        terms = self.command[3]
        start = (b"," + terms).index(b",d=") + 2
        end = terms.find(b",", start)
        rest = terms[end:] if end >= 0 else b""
        forwarded_terms = b"%s%d%s" % (terms[:start], max(1, int(time_left * 1000)), rest)
        parts = [*self.command[:3], forwarded_terms, *self.command[4:]]
        if self.body is not None:
            head = b"".join([bulk_string(part) for part in parts[:4]])
            return b"*5\r\n%s$%d\r\n" % (head, len(parts[4]))
        return b"*%d\r\n%s" % (len(parts), b"".join([bulk_string(part) for part in parts]))


class InFlightRequests:
    """Owns the requests in flight, admits commands, and gives each request its one final answer.

    It is the handler of the clients' server: `command` and `gone` are called by client connections.

    Attributes:
        in_flight: The requests by id: each until it is answered and its last attempt has ended.
        small_body_bytes: Bytes of the small bodies of these requests.
        body_budget: The clients' budget for large bodies; set by the composition root.
        is_rejecting_all: Whether the process is at its end and forwards nothing more.
    """

    body_budget: BodyBudget

    def __init__(
        self,
        active: ActiveConfig,
        dispatcher: EventDispatcher,
        upstream: EndpointPools,
        is_serving: Callable[[], bool],
    ) -> None:
        """Wire the component; needs a running event loop."""
        self._active = active
        self._dispatcher = dispatcher
        self._upstream = upstream
        self._is_serving = is_serving
        self._loop = asyncio.get_running_loop()
        self.in_flight: dict[str, InFlightRequest] = {}
        self.small_body_bytes = 0
        self.is_rejecting_all = False

    # Called by client connections

    def handle_command(self, slot: PendingReply, command: object) -> None:
        """Answer a command, or admit it. Whatever fails here costs this command alone."""
        if command == [b"PING"] or command == [b"ping"]:
            slot.complete(PONG_REPLY if self._is_serving() else NOT_READY_REPLY)
            return
        try:
            self.admit(slot, command)
        except BadRequestError as err:
            slot.complete(b"-ERR %s\r\n" % str(err).encode())
        except Exception:
            log.exception("a command could not be taken")
            slot.complete(FAILED_REPLY)

    def on_client_disconnected(self, slot: PendingReply) -> None:
        """Forward nothing more for a request whose client has disconnected."""
        request = slot.request
        if request is not None and not request.is_answered:
            self.finish(request, b"")
            self._dispatcher.dispatch(api.ClientDisconnected(request.id))
            if request.streaming_attempt is not None:
                self._upstream.abandon(request.streaming_attempt, "cancelled")

    # Admission

    def admit(self, slot: PendingReply, command: object) -> None:
        """Take a request in and hand it to the decision module, or reject it where limits are reached.

        Raises:
            BadRequestError: The command is not a request, or its id is in flight already.
        """
        now = time.monotonic()
        request = self.parse(command, now - slot.connection.last_read_at)
        if request.request_id in self.in_flight:
            raise BadRequestError("this id is in work")
        if self._is_full():
            slot.complete(BUSY_REPLY)
            return
        assert isinstance(command, list)  # or else parse() had raised
        admitted = InFlightRequest(
            request.request_id, slot, command, now + request.time_left, self._active.settings.limits
        )
        slot.request = admitted
        self.in_flight[request.request_id] = admitted
        if admitted.body is None:
            self.small_body_bytes += len(command[-1])
        guard_delay = max(0.0, request.time_left + ANSWER_RESERVE_S - GUARD_MARGIN_S)
        admitted.guard = self._loop.call_later(guard_delay, self._on_overdue, admitted)
        self._dispatcher.dispatch(request)

    def parse(self, command: object, waited: float) -> api.Request:
        """Parse a command by the settings in force; see `parse_request`."""
        return parse_request(command, self._active.settings, waited)

    def _is_full(self) -> bool:
        return (
            self.is_rejecting_all
            or len(self.in_flight) >= self._active.config.max_in_flight
            or self.small_body_bytes > MAX_SMALL_BODY_BYTES
        )

    # The final answer

    def finish(self, request: InFlightRequest, answer: bytes) -> None:
        """Give a request its final answer; nothing happens where it has one. No other place does this.

        Args:
            request: The request.
            answer: The bytes for the client; none where the client has disconnected.
        """
        if request.is_answered:
            return
        request.is_answered = True
        if request.guard is not None:
            request.guard.cancel()
        if request.streaming_attempt is not None and not request.streaming_attempt.is_value_complete:
            request.slot.abort()
        elif answer:
            request.slot.complete(answer if request.streaming_attempt is None else b"")
        for attempt in list(request.attempts.values()):
            if not attempt.is_written:  # after the final answer nothing more is sent
                self._upstream.abandon(attempt, "cancelled")
        self.forget_if_ended(request)

    def reject(self, action: api.RejectRequest) -> None:
        """Answer a request with BUSY, and when to retry where the decision module says so."""
        request = self.in_flight.get(action.request_id)
        if request is None:
            return
        retry_after_ms = math.ceil(action.retry_after * 1000)
        if action.overloaded:
            request.slot.connection.on_overload()
        self.finish(request, b"-BUSY %d\r\n" % retry_after_ms if retry_after_ms > 0 else BUSY_REPLY)

    def fail(self, action: api.FailRequest) -> None:
        """Answer a request with an error."""
        request = self.in_flight.get(action.request_id)
        if request is not None:
            self.finish(request, FAILED_REPLY)

    def abandon(self, request: InFlightRequest) -> None:
        """Fail a request without the decision module, cancel its attempts and let the module forget it."""
        self.finish(request, FAILED_REPLY)
        for attempt in list(request.attempts.values()):
            self._upstream.abandon(attempt, "cancelled")
        self._dispatcher.dispatch(api.ClientDisconnected(request.id))

    def abandon_all(self) -> None:
        """Abandon what is in flight, and reject all that comes from here on."""
        for request in list(self.in_flight.values()):
            self.abandon(request)

    def on_engine_failure(self, event: api.Event) -> None:
        """Abandon the request that an event was about on which the decision module failed."""
        if isinstance(event, api.Request | api.AttemptEnded) and event.request_id in self.in_flight:
            self.abandon(self.in_flight[event.request_id])

    def forget_if_ended(self, request: InFlightRequest) -> None:
        """Release a request, and the bytes of its body, once it is answered and no attempt is left."""
        if not request.is_answered or request.attempts:
            return
        if self.in_flight.pop(request.id, None) is None:
            return
        if request.body is not None:
            self.body_budget.release(len(request.body))
        else:
            self.small_body_bytes -= len(request.command[-1])

    def _on_overdue(self, request: InFlightRequest) -> None:
        """Guard the client's deadline against a decision module that decides nothing."""
        if not request.is_answered:
            log.warning("no decision before the deadline request=%s", request.id)
            self.abandon(request)
