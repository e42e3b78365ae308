"""The protocol of a client connection: reads commands and writes their replies in order."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from time import monotonic
from typing import TYPE_CHECKING, Any

import hiredis

from api_gateway.base.resp import INCOMPLETE
from api_gateway.downstream.client_socket import (
    count_unacknowledged_bytes,
    count_unread_bytes,
    count_unsent_bytes,
    find_disconnected,
    shut_down_sending,
)
from api_gateway.downstream.command_reader import MAX_COMMAND_BYTES, CommandReader
from api_gateway.downstream.connection_ends import EndReason
from api_gateway.downstream.connection_state import CloseCause, ConnectionEvent, ConnectionState, Input
from api_gateway.downstream.large_body import DiscardedBody, LargeBody
from api_gateway.downstream.partial_command import PartialCommand
from api_gateway.downstream.pending_reply import PendingReply
from api_gateway.downstream.reply_account import ReplyAccount
from api_gateway.downstream.reply_delivery import DeliveryState, ReplyDelivery, UndeliveredBytes
from api_gateway.downstream.send_time import SendTime

if TYPE_CHECKING:
    from api_gateway.downstream.client_server import ClientServer

# Bytes read at once, except of a large body: as many as a connection may hold beside the command in work.
COMMAND_READ_BYTES = 4096
# Commands in flight per connection; reading pauses at this number.
MAX_PENDING_COMMANDS = 512
# Bytes of complete replies that are written at once.
MAX_WRITE_BYTES = 64 * 1024
# Answers a command of which only a part has come, when its connection has to end.
PARTIAL_COMMAND_REPLY = b"-BUSY\r\n"


class ClientConnection(asyncio.BufferedProtocol):
    """A client connection, from accept to close.

    Its `state` decides what may be read, handled and ended, and connection_timeouts how long it may wait. The
    ClientServer owns the connection.
    """

    def __init__(self, server: ClientServer) -> None:
        """Create the protocol of a connection that is being accepted by `server`."""
        self.server = server
        self.transport: asyncio.Transport
        self.state = ConnectionState()
        self.reader = CommandReader()
        self.pending_replies: deque[PendingReply] = deque()
        self.reply_account = ReplyAccount(server.reply_budget)
        self.value_count = 0  # pending replies whose value is in transfer
        self.value_wait_began_at = 0.0  # when the first of these began
        self.command_count = 0  # complete commands received
        # Input that is incomplete or not handled yet.
        self.partial_command = PartialCommand(server.partial_command_budget)
        self.awaits_body_budget = False
        self.awaits_turn = False  # whether commands that were read wait for a turn of the event loop
        self.is_queued_for_turn = False
        self.turn_number = -1  # the last turn in which a command was handled
        self.turn_command_count = 0  # commands handled in that turn
        # Monotonic times.
        now = monotonic()
        self.connected_at = now
        self.last_read_at = now  # when bytes were last read
        self.send_time = SendTime(now)  # when the client sent them, at the earliest
        self.body_wait_ends_at = 0.0  # while a large body awaits the budget: when its command is rejected
        self.last_command_at = now  # when the last command was complete; initially the time of connecting
        self.command_due_since: float | None = now  # start of COMMAND_TIMEOUT_S; None: between commands
        self.delivery = ReplyDelivery(now)
        self.sending_shut_at = 0.0  # once it is shut
        self.writing_paused = False
        self.reading_paused = False
        self.on_closed: Callable[[], None] | None = None

    # Events of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the server."""
        self.transport = transport  # type: ignore[assignment]
        # With a high-water mark of 0, pause_writing is called once the socket does not accept every byte.
        self.transport.set_write_buffer_limits(high=0)
        self.server.timed_connections[self] = None
        self.server.run_isolated(self, lambda: self.server.add_connection(self))

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the server, release its body reservation and abandon its requests."""
        self.server.remove_connection(self)
        if self.on_closed is not None:
            self.on_closed()
        self._abandon_requests()
        self._drop_input()
        self.reply_account.close()

    def eof_received(self) -> bool:
        """Treat the client as disconnected, even with unread replies; False closes the transport."""
        self._abandon_requests()
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to read the next bytes; all connections share it, as they are copied at once.

        What follows a large body may have to wait for memory itself, so little of it is read with the body.
        """
        return self.server.read_buffer[: max(COMMAND_READ_BYTES, self.reader.large_bytes_left)]

    def buffer_updated(self, nbytes: int) -> None:
        """Read the commands that the bytes in the buffer complete."""
        self.data_received(bytes(self.server.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Read the commands that `data` completes."""
        if not self.state.may_handle:
            return
        self.state.on_bytes_read()
        self.reader.feed(data)
        self.last_read_at = monotonic()
        self.send_time.on_read(self.last_read_at, self.count_unread_bytes)
        self.partial_command.size = 0 if self.reader.incoming_body else self.partial_command.size + len(data)
        if self.command_due_since is None:
            self.command_due_since = self.last_read_at
        self.read_commands()

    def pause_writing(self) -> None:
        """Pause reading because the client does not read its replies."""
        self.writing_paused = True
        self.server.timed_connections[self] = None
        self.update_reading()

    def resume_writing(self) -> None:
        """Resume reading and writing because the client reads its replies again."""
        self.writing_paused = False
        self._count_unsent_bytes()
        self.update_reading()
        self.flush()

    # Commands

    def read_commands(self) -> None:
        """Handle the complete commands in the reader, as far as this turn of the event loop allows."""
        if not self.awaits_turn:
            self._handle_commands()
        self.update_reading()
        self._shut_sending_if_done()

    def take_turn(self) -> None:
        """Handle commands that have waited for a turn, unless the client has disconnected meanwhile."""
        self.is_queued_for_turn = False
        self.awaits_turn = False
        self.detect_disconnect()
        if not self.state.may_handle or self.transport.is_closing():
            return
        self._handle_commands()
        self.update_reading()
        if not self.awaits_turn and not self.pending_replies:
            self.flush()

    def read_queued_commands(self) -> None:
        """Handle all commands that were read, at once."""
        while self.awaits_turn and self.state.may_handle:
            self.awaits_turn = False
            self._handle_commands(is_bounded=False)
        self._shut_sending_if_done()

    def _handle_commands(self, is_bounded: bool = True) -> None:
        try:
            while self.state.may_handle:
                if is_bounded and not self._may_handle_command():
                    self.awaits_turn = True
                    return
                command = self.reader.next_command()
                if command is INCOMPLETE:
                    self._on_commands_handled()
                    return
                self._handle_command(command)
        except hiredis.ProtocolError:
            self.fail(b"-ERR protocol error\r\n", EndReason.PROTOCOL_ERROR)

    def _on_commands_handled(self) -> None:
        """Record that no whole command is left in the reader, and check what it holds of the next one."""
        self.state.on_commands_handled(is_partial=self.reader.has_begun_value())
        self.reader.release_buffer()
        self._check_partial_command()
        if self.state.is_reading_stopped:
            self.reject_partial_command()
        self.update_idle()

    def update_idle(self) -> None:
        """Enter the connection among those that may be closed to make room, if it may."""
        if self.is_at_rest():
            self.server.idle.add(self)
        elif self._is_partial_command_all():
            self.server.idle.add_partial(self)
        else:
            self.server.idle.discard(self)

    def _may_handle_command(self) -> bool:
        return self.can_handle_more() and self.server.turns.take_command(self)

    def can_handle_more(self) -> bool:
        """Return whether another command may be in flight, and whether its reply can be kept or written.

        None may while a value is in transfer, because its reply would be lost if that broke off.
        """
        if self.value_count or self.pending_replies and self.server.reply_budget.is_exhausted:
            return False
        return not self.writing_paused and len(self.pending_replies) < MAX_PENDING_COMMANDS

    def on_body_reserved(self, length: int) -> None:
        """Start receiving a large body, for which the budget has reserved `length` bytes."""
        self.state.on_command()
        self._receive_body(LargeBody(length, self.server.body_budget))

    def _receive_body(self, body: LargeBody | DiscardedBody) -> None:
        """Read a large body, which has perhaps waited unread."""
        self.awaits_body_budget = False
        self.partial_command.release()
        self.last_read_at = monotonic()
        if self.reading_paused:
            self.send_time.on_wait_ended(self.last_read_at)
        self.state.on_bytes_read()  # the whole body may have waited in the reader
        self.reader.receive_body(body)
        self.read_commands()

    def reject_body(self) -> None:
        """Stop waiting for the budget: read the large body without keeping it, and reject its command."""
        self.server.body_budget.cancel(self)
        self.server.body_budget.rejected_count += 1
        self._receive_body(DiscardedBody())

    def on_overload(self) -> None:
        """React to a command rejected because no endpoint had capacity; the base class does nothing."""

    def _handle_command(self, command: Any) -> None:
        """Pass a complete command, a RESP value of any shape, to the handler."""
        self.state.on_command()
        self.partial_command.release()
        self.last_command_at = monotonic()
        self.command_count += 1
        self.command_due_since = self.last_command_at if self.reader.has_data() else None
        body = self.reader.take_body()
        if body:
            self.send_time.on_large_command_ended()
        large_body = body if isinstance(body, LargeBody) else None
        pending_reply = PendingReply(self, large_body)
        self.pending_replies.append(pending_reply)
        self.server.idle.discard(self)
        if isinstance(body, DiscardedBody):
            self.server.handler.reject_command(pending_reply, command)
            return
        self.server.handler.handle_command(pending_reply, command)
        rejected_body = pending_reply.take_large_body()
        if rejected_body:
            rejected_body.release()

    def _check_partial_command(self) -> None:
        """Reserve the budget for a large body, or fail a command that is too long."""
        # Reserve only once part of the body has arrived, because an attacker can announce bodies at no cost.
        if self.reader.buffered and not self.awaits_body_budget:
            self.awaits_body_budget = True
            self.body_wait_ends_at = monotonic() + self.server.handler.body_wait_limit(
                self.reader.partial_command
            )
            self.server.body_budget.reserve(self.reader.large_string_bytes, self)
        # A command that never ends must not exhaust the memory.
        elif self.partial_command.size > MAX_COMMAND_BYTES and not self.awaits_body_budget:
            self.fail(b"-ERR command too long\r\n", EndReason.COMMAND_TOO_LONG)
        elif not self.partial_command.reserve():
            self.fail(b"-ERR no memory for this command\r\n", EndReason.NO_MEMORY)
        if self.command_due_since is not None:
            self.server.timed_connections[self] = None

    # Replies

    def flush(self) -> None:
        """Write completed replies in order; if none is pending, mark the connection idle or close it."""
        pending = self.pending_replies
        while encoded_replies := self._take_writable_replies():
            self.write(encoded_replies)
        if pending and (on_writable := pending[0].on_writable) is not None and not self.writing_paused:
            on_writable()
        self._shut_sending_if_done()
        if self.reading_paused:
            self.update_reading()
        self.update_idle()

    def _take_writable_replies(self) -> bytes:
        """Remove the next complete replies, up to MAX_WRITE_BYTES, and return them; empty if none can go."""
        taken: list[bytes] = []
        taken_bytes = 0
        while self.pending_replies and not self.writing_paused and taken_bytes < MAX_WRITE_BYTES:
            encoded_reply = self.pending_replies[0].encoded_reply
            if encoded_reply is None:
                break
            self.reply_account.release(self.pending_replies.popleft())
            taken.append(encoded_reply)
            taken_bytes += len(encoded_reply)
        return b"".join(taken)

    def on_reply_completed(self, pending_reply: PendingReply) -> None:
        """Write a reply that has been completed, or keep it if it must wait."""
        is_next = bool(self.pending_replies) and self.pending_replies[0] is pending_reply
        if not is_next or self.writing_paused:
            self.reply_account.hold(pending_reply)
        self.flush()

    def on_value_began(self) -> None:
        """Stop handling commands until the value is complete, since a part of it ends the connection."""
        if not self.value_count:
            self.value_wait_began_at = monotonic()
        self.value_count += 1
        self.update_reading()

    def on_value_ended(self) -> None:
        """Handle commands again once no value is in transfer; a part of one that was read is not late."""
        self.value_count -= 1
        if self.value_count:
            return
        now = monotonic()
        self.send_time.on_order_wait_ended(self.value_wait_began_at, now)
        self.last_read_at = now
        if self.command_due_since is not None:
            self.command_due_since = now
        self.update_reading()

    def replies_behind(self, pending_reply: PendingReply) -> list[PendingReply]:
        """Return the pending replies that come after `pending_reply`, which is pending."""
        replies = list(self.pending_replies)
        return replies[replies.index(pending_reply) + 1 :]

    def replies_not_behind_a_value(self) -> list[PendingReply]:
        """Return the pending replies up to the first whose value is in transfer."""
        replies: list[PendingReply] = []
        for pending_reply in self.pending_replies:
            replies.append(pending_reply)
            if pending_reply.is_value_in_transfer:
                break
        return replies

    def write(self, data: bytes) -> None:
        """Write bytes of replies, and count those that the socket does not accept."""
        self.delivery.on_write(monotonic(), len(data))
        self.transport.write(data)
        self._count_unsent_bytes(len(data))

    def _count_unsent_bytes(self, written_bytes: int = 0) -> None:
        """Count what the write buffer holds after `written_bytes` were written to it."""
        is_empty = not self.transport.get_write_buffer_size()
        if self.reply_account.count_unsent(written_bytes, is_empty=is_empty):
            self.server.limit_unsent_replies()

    # State

    def is_at_rest(self) -> bool:
        """Return whether no request and no part of one has been read that is open."""
        return not self.transport.is_closing() and self.state.is_at_rest(
            has_pending_replies=bool(self.pending_replies)
        )

    def _is_partial_command_all(self) -> bool:
        """Return whether the beginning of a command, without a large body, is all that is open."""
        has_large_body = bool(self.reader.incoming_body) or self.awaits_body_budget
        return not has_large_body and self.state.has_only_a_part(
            has_pending_replies=bool(self.pending_replies)
        )

    def may_be_evicted(self) -> bool:
        """Return whether the connection may be ended to make room, without an answer or with a rejection."""
        return self.is_at_rest() or not self.transport.is_closing() and self._is_partial_command_all()

    def is_idle(self, since: float) -> bool:
        """Return whether the connection has been without a request since the monotonic time `since`.

        A request is open until its reply is delivered.
        """
        is_between_commands = self.state.input is Input.EMPTY
        has_no_request = self.is_at_rest() and is_between_commands and self.last_command_at <= since
        return has_no_request and self.delivery_state(monotonic()).can_make_room

    def has_unread_bytes(self) -> bool:
        """Return whether bytes are unread in the socket; closing it would then reset the connection."""
        return self.count_unread_bytes() > 0

    def count_unread_bytes(self) -> int:
        """Return the number of unread bytes in the socket; 0 once it is closed."""
        descriptor = self.transport.get_extra_info("socket").fileno()
        return count_unread_bytes(descriptor) if descriptor >= 0 else 0

    def count_undelivered_bytes(self) -> UndeliveredBytes:
        """Return how many bytes of replies were written and have not reached the client."""
        buffered = self.transport.get_write_buffer_size()
        descriptor = self.transport.get_extra_info("socket").fileno()
        if descriptor < 0:
            return UndeliveredBytes(buffered, buffered)
        unacknowledged = count_unacknowledged_bytes(descriptor)
        unsent = count_unsent_bytes(descriptor) if unacknowledged else 0
        return UndeliveredBytes(buffered + unsent, buffered + unacknowledged)

    def delivery_state(self, now: float) -> DeliveryState:
        """Return whether the client has the replies that were written, and follow their delivery if not.

        Every decision to end a connection, or to count it as idle, depends on this state.
        """
        state = self.delivery.update(now, self.count_undelivered_bytes())
        self.server.on_delivery_state(self, state)
        return state

    def is_delivering(self, now: float) -> bool:
        """Return whether the client may still get replies, written ones or those that wait to be written."""
        state = self.delivery_state(now)
        has_unwritten_replies = state is DeliveryState.DELIVERED and bool(self.pending_replies)
        return state.is_being_delivered or has_unwritten_replies

    def is_closed_by_half_close(self) -> bool:
        """Return whether a client that has shut its sending side counts as disconnected."""
        return True

    def update_reading(self) -> None:
        """Pause reading, for example if the client reads no replies or has too much in flight, or resume."""
        should_pause = (
            self.writing_paused
            or not self.state.may_read
            or self.awaits_body_budget
            or self.awaits_turn
            or self.value_count > 0
            or len(self.pending_replies) >= MAX_PENDING_COMMANDS
        )
        if should_pause != self.reading_paused and not self.transport.is_closing():
            self.reading_paused = should_pause
            if should_pause:
                self.transport.pause_reading()
                self.server.paused_connections[self] = None
            else:
                self.transport.resume_reading()
                self.server.paused_connections.pop(self, None)
        if self.awaits_turn and not self.is_queued_for_turn and self.can_handle_more():
            self.queue_for_turn()

    def queue_for_turn(self) -> None:
        """Wait for a turn of the event loop."""
        self.is_queued_for_turn = True
        self.server.turns.wait(self)

    def stop_reading(self) -> None:
        """Read no more until a drain is over, and reject a command of which only a part has been read."""
        self.state.is_reading_stopped = True
        self.update_reading()
        self.reject_partial_command()

    # Closing

    def close_when_done(self, cause: CloseCause) -> None:
        """Close once all commands are answered, including those that still arrive before that."""
        self._begin_close(cause)
        self.flush()

    def evict(self) -> None:
        """Close to make room for others: at once, or after the answer to what the client has sent."""
        self._begin_close(CloseCause.EVICTION)
        self.reject_partial_command()
        self.flush()

    def _begin_close(self, cause: CloseCause) -> None:
        """Note that the connection is to be closed; the first cause is the one that is reported."""
        if self.state.begin_close(cause):
            self.server.ends.begin(cause)

    def detect_disconnect(self) -> None:
        """Check now for a disconnect, which the event loop reports one iteration later at the earliest."""
        if self.transport.is_closing():
            self._abandon_requests()
        elif find_disconnected([self]):
            self.on_peer_closed()

    def on_peer_closed(self) -> None:
        """Close the connection after its client has disconnected while reading was paused."""
        was_sending_shut = self.state.is_sending_shut
        self._abandon_requests()
        if was_sending_shut:
            self.transport.abort()
        else:
            self.transport.close()

    def end_truncated(self) -> None:
        """End the connection in the middle of a reply, once the client has what precedes it.

        The other requests are abandoned, since no reply to them can be delivered.
        """
        if not self.state.may_write:  # the client has left, or sending is shut
            self.abort()
            return
        self._begin_close(CloseCause.ERROR)
        self.server.ends.record(EndReason.TRUNCATED_VALUE, self)
        self.state.handle(ConnectionEvent.INPUT_FAILED)
        self._drop_input()
        self._discard_replies()
        self._shut_sending_if_done()

    def _abandon_requests(self) -> None:
        """Notify the handler, for each unanswered command, that the client has disconnected."""
        if any(pending_reply.encoded_reply is None for pending_reply in self.pending_replies):
            is_lost = self.state.is_sending_shut
            self._begin_close(CloseCause.CLIENT)
            self.server.ends.record(EndReason.REQUEST_LOST if is_lost else EndReason.CLIENT_LEFT, self)
        self._begin_close(CloseCause.CLIENT)
        self.state.handle(ConnectionEvent.ABANDONED)
        self._drop_input()
        self._discard_replies()

    def unanswered_request_ids(self) -> list[str]:
        """Return the ids of the admitted requests that have no reply yet, in the order of their commands."""
        requests = [reply.request for reply in self.pending_replies if reply.encoded_reply is None]
        return [request.id for request in requests if request is not None]

    def _discard_replies(self) -> None:
        """Discard the pending replies; the handler ends the requests without one."""
        pending = self.pending_replies
        self.pending_replies = deque()
        # Ending one request frees its place at an endpoint, which must go to none of the others.
        for pending_reply in pending:
            pending_reply.is_abandoned = True
            self.reply_account.release(pending_reply)
        for pending_reply in pending:
            if pending_reply.encoded_reply is None:
                self.server.handler.on_client_disconnected(pending_reply)

    def fail(self, error_reply: bytes, reason: EndReason) -> None:
        """Handle no more input; pending replies are sent before `error_reply`."""
        self._begin_close(CloseCause.ERROR)
        self.server.ends.record(reason, self)
        self.state.handle(ConnectionEvent.INPUT_FAILED)
        self._drop_input()
        pending_reply = PendingReply(self)
        self.pending_replies.append(pending_reply)
        pending_reply.complete(error_reply)
        self.update_reading()

    def reject_partial_command(self) -> None:
        """Reject a command of which only a part has been read, if there is one, and handle no more input.

        Its client may have sent the rest already, so it would lose the request if it got no answer.
        """
        if not self.state.may_handle or self.state.input is not Input.PARTIAL:
            return
        self.fail(PARTIAL_COMMAND_REPLY, EndReason.PARTIAL_COMMAND)

    def _drop_input(self) -> None:
        """Forget what was read and not handled, and release its memory."""
        self.server.body_budget.cancel(self)
        self.awaits_body_budget = False
        self.awaits_turn = False
        self.reader.discard_sink()
        body = self.reader.take_body()
        if body:
            body.release()
        self.reader = CommandReader()
        self.partial_command.release()

    def abort(self) -> None:
        """Reset the connection at once; its requests are abandoned when the event loop reports its end."""
        self.state.handle(ConnectionEvent.ABANDONED)
        self.transport.abort()

    def _shut_sending_if_done(self) -> None:
        """Shut the sending side if nothing is open on a connection that is to be closed."""
        may_shut = not self.transport.is_closing() and self.state.may_shut_sending(
            has_pending_replies=bool(self.pending_replies),
            is_draining=self.server.drain_started_at is not None,
            has_unread_bytes=self.has_unread_bytes,
        )
        if may_shut:
            self._shut_sending()

    def _shut_sending(self) -> None:
        """Shut the sending side, and close once the client has closed its side.

        A request that arrives after this stays unread, so its client sends it again elsewhere. Closing at
        once would reset the connection, and replies that are still in transit would be lost.
        """
        has_input_ended = not self.state.may_handle
        self._begin_close(CloseCause.DRAIN)  # unless something else has begun it
        self.state.handle(ConnectionEvent.SENDING_SHUT)
        self.sending_shut_at = monotonic()
        self.server.idle.discard(self)
        self.server.timed_connections[self] = None
        self.update_reading()
        # To a client without a command only an error line can be in transit, which a close over
        # unread bytes would cut off.
        if not self.command_count and not (has_input_ended and self.has_unread_bytes()):
            self.transport.close()
            return
        self.server.on_linger(self)
        if self.transport.get_write_buffer_size():
            self.transport.write_eof()
            return
        # The event loop would do this one iteration later; a request that arrived until then would be lost.
        shut_down_sending(self.transport.get_extra_info("socket"))
