"""One connection of a client: reads its commands and writes their replies in order."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from time import monotonic
from typing import TYPE_CHECKING, Any

import hiredis

from api_gateway.base.resp import INCOMPLETE, STREAMING_THRESHOLD_BYTES, RespReader
from api_gateway.downstream.body_budget import IncomingBody
from api_gateway.downstream.client_socket import count_unread_bytes, find_disconnected, shut_down_sending
from api_gateway.downstream.pending_reply import PendingReply

if TYPE_CHECKING:
    from api_gateway.downstream.client_server import ClientServer

# Bytes of one command without a large body, framing included.
MAX_COMMAND_BYTES = STREAMING_THRESHOLD_BYTES + 4096
# Commands of one connection in flight; past that it is not read.
MAX_PENDING_COMMANDS = 512
# The large body is the last of five parts of a command.
LARGE_PART = (5, 4)
# For the first command of a connection, and for one that has begun, to arrive without its large body.
COMMAND_TIMEOUT_S = 2.5
# Between two pieces of a large body.
BODY_PROGRESS_TIMEOUT_S = 2.2
# Without any byte of the replies being taken, until the client is given up.
WRITE_PROGRESS_TIMEOUT_S = 60.0
# For the client to close its side once nothing more is sent to it.
LINGER_TIMEOUT_S = 1.0
# For the first command of a connection that is accepted during a drain.
DRAIN_FIRST_COMMAND_TIMEOUT_S = 1.0


class ClientConnection(asyncio.Protocol):
    """A client's connection, from accept to its end.

    `closing` is set when it is to close after the replies that are due, `broken` when nothing more may be
    read, and `write_shut_at` once its sending side is shut and it only lingers until the client closes too.
    The ClientServer owns it and enforces its timeouts.
    """

    def __init__(self, server: ClientServer) -> None:
        """Create the protocol of a connection that is being accepted by `server`."""
        self.server = server
        self.transport: asyncio.Transport
        self.reader = RespReader(MAX_COMMAND_BYTES, LARGE_PART)
        self.pending_replies: deque[PendingReply] = deque()
        self.command_count = 0  # complete commands that have arrived
        # What is arriving.
        self.partial_command_bytes = 0  # read of a command that is not complete yet
        self.incoming_body: IncomingBody | None = None
        self.awaits_body_budget = False
        self.awaits_turn = False  # commands that were read wait in a fair queue
        # Times by the monotonic clock.
        now = monotonic()
        self.connected_at = now
        self.last_read_at = now  # when bytes were last read
        self.last_command_at = now  # when the last command was complete; at first the connect
        self.command_due_since: float | None = now  # None: between commands
        self.write_progress_at = 0.0  # when the client last took something while writing is paused
        self.unsent_bytes = 0  # what it had not taken then
        self.write_shut_at: float | None = None  # since when nothing more is sent, nor read
        # How it ends, and what is paused.
        self.closing = False
        self.broken = False
        self.writing_paused = False
        self.reading_paused = False
        self.reading_stopped = False  # nothing more is read until a drain is over
        self.on_closed: Callable[[], None] | None = None

    # Events of the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection with the server."""
        self.transport = transport  # type: ignore[assignment]
        self.server.timed_connections[self] = None
        self.server.run_isolated(self, lambda: self.server.add_connection(self))

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection from the server and release what it holds."""
        self.server.remove_connection(self)
        if self.on_closed is not None:
            self.on_closed()
        body = self.incoming_body
        self.incoming_body = None
        if body:
            self.server.body_budget.release(len(body.data))
        self._abandon_requests()

    def eof_received(self) -> bool:
        """Treat the client as gone, whatever it has not read yet; False closes the transport."""
        self._abandon_requests()
        return False

    def data_received(self, data: bytes) -> None:
        """Read the commands that `data` completes."""
        if self.broken:
            return
        self.reader.feed(data)
        self.last_read_at = monotonic()
        self.partial_command_bytes = 0 if self.incoming_body else self.partial_command_bytes + len(data)
        if self.command_due_since is None:
            self.command_due_since = self.last_read_at
        self.read_commands()

    def pause_writing(self) -> None:
        """Stop reading: the client does not take its replies."""
        self.writing_paused = True
        self.write_progress_at = monotonic()
        self.server.timed_connections[self] = None
        self.update_reading()

    def resume_writing(self) -> None:
        """Go on reading and writing: the client takes its replies again."""
        self.writing_paused = False
        self.update_reading()
        self.flush()

    # Commands

    def read_commands(self) -> None:
        """Handle all complete commands that have arrived."""
        try:
            while (command := self.reader.gets()) is not INCOMPLETE:
                self._handle_command(command)
        except hiredis.ProtocolError:
            self._fail(b"-ERR protocol error\r\n")
        else:
            self._check_partial_command()
        self.update_reading()

    def read_queued_commands(self) -> None:
        """Handle at once what was read and awaits its turn; nothing, where commands have no turns."""

    def on_body_reserved(self, length: int) -> None:
        """Receive the body that has begun: the budget has reserved its `length` bytes."""
        self.awaits_body_budget = False
        self.partial_command_bytes = 0
        self.last_read_at = monotonic()
        self.incoming_body = IncomingBody(length)
        self.reader.pass_on(self.incoming_body.append)
        self.read_commands()

    def on_overload(self) -> None:
        """React to a command that was rejected because no endpoint had capacity; by default not at all."""

    def _handle_command(self, command: Any) -> None:
        """Pass a complete command, a RESP value of any shape, to the handler."""
        self.partial_command_bytes = 0
        self.last_command_at = monotonic()
        self.command_count += 1
        self.command_due_since = self.last_command_at if self.reader.has_data() else None
        body = self.incoming_body
        self.incoming_body = None
        if body and isinstance(command, list):
            command[-1] = body.data
        slot = PendingReply(self)
        self.pending_replies.append(slot)
        self.server.idle.discard(self)
        self.server.handler.handle_command(slot, command)
        if body and slot.request is None:  # the handler has not accepted it, so it won't release the body
            self.server.body_budget.release(len(body.data))

    def _check_partial_command(self) -> None:
        """Ask for what the rest of a command needs, once all complete ones are handled."""
        # A body that was only announced reserves nothing: announcing is free for an attacker.
        if self.reader.buffered and not self.awaits_body_budget:
            self.awaits_body_budget = True
            self.server.body_budget.reserve(self.reader.large_string_bytes, self)
        # A command without end must not fill the memory.
        elif self.partial_command_bytes > MAX_COMMAND_BYTES and not self.awaits_body_budget:
            self._fail(b"-ERR command too long\r\n")
        if self.command_due_since is not None:
            self.server.timed_connections[self] = None

    # Replies

    def flush(self) -> None:
        """Write the replies that are due in order, then close or become idle where that is next."""
        pending = self.pending_replies
        while pending and (encoded_reply := pending[0].encoded_reply) is not None:
            pending.popleft()
            if encoded_reply:
                self.transport.write(encoded_reply)
        if pending and (turn := pending[0].on_writable) is not None and not self.writing_paused:
            turn()
        if not pending and not self.awaits_turn and (self.closing or self._must_close_for_drain()):
            self._shut_down()
        elif self.reading_paused:
            self.update_reading()
        if not pending and not self.closing:
            self.server.idle.add(self)

    # State

    def is_busy(self) -> bool:
        """Return whether something is due for the client, or the connection is ending."""
        return bool(
            self.pending_replies
            or self.closing
            or self.incoming_body
            or self.awaits_body_budget
            or self.awaits_turn
            or self.transport.is_closing()
        )

    def is_idle(self, since: float) -> bool:
        """Return whether it has had no request since the monotonic time `since`."""
        return (
            not (
                self.pending_replies
                or self.closing
                or self.incoming_body
                or self.awaits_body_budget
                or self.awaits_turn
                or self.command_due_since is not None
            )
            and self.last_command_at <= since
        )

    def has_unread_bytes(self) -> bool:
        """Return whether bytes have arrived that were not read: closing now would reset the connection."""
        return count_unread_bytes(self.transport.get_extra_info("socket").fileno()) > 0

    def is_closed_by_half_close(self) -> bool:
        """Return whether a client that has shut its sending side counts as gone."""
        return True

    def update_reading(self) -> None:
        """Pause or resume reading: not from a client that takes no replies or has too much in flight."""
        should_pause = (
            self.writing_paused
            or self.reading_stopped
            or self.awaits_body_budget
            or self.awaits_turn
            or self.broken
            or self.write_shut_at is not None
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

    # Timeouts

    def check_timeouts(self, now: float) -> bool:
        """End the connection if something takes too long.

        Args:
            now: The monotonic time.

        Returns:
            Whether a timeout is running; if not, it needs no further check for now.
        """
        if self.write_shut_at is not None:
            self._check_linger(now, self.write_shut_at)
            return True
        if self.server.drain_started_at is not None:
            self._check_drain(now, self.server.drain_started_at)
        self._check_write_progress(now)
        if self.broken or self.command_due_since is None:
            return self.writing_paused
        if self.reading_paused or self.awaits_turn:
            return True
        if self.reader.is_in_large_part():
            is_late = now - self.last_read_at > BODY_PROGRESS_TIMEOUT_S
        else:
            is_late = now - self.command_due_since > COMMAND_TIMEOUT_S
        if is_late:
            self._fail(b"-ERR no whole command in time\r\n")
        return True

    def _check_write_progress(self, now: float) -> None:
        """Abort if the client takes nothing of a reply: it also occupies the endpoint's connection."""
        unsent_bytes = self.transport.get_write_buffer_size() if self.writing_paused else 0
        if not self.writing_paused or unsent_bytes != self.unsent_bytes:
            self.write_progress_at = now
            self.unsent_bytes = unsent_bytes
        elif now - self.write_progress_at > WRITE_PROGRESS_TIMEOUT_S:
            self.broken = True
            self.transport.abort()

    def _check_drain(self, now: float, drain_started_at: float) -> None:
        """Stop reading late in a drain, and close if nothing is due: complete commands are still served."""
        if now - drain_started_at > self.server.drain_read_s and (
            self.pending_replies or now - self.connected_at > DRAIN_FIRST_COMMAND_TIMEOUT_S
        ):
            self.reading_stopped = True
            self.update_reading()
        self.flush()

    def _check_linger(self, now: float, write_shut_at: float) -> None:
        """Abort if the client does not close its side, or does not take the replies before that."""
        unsent_bytes = self.transport.get_write_buffer_size()
        if now - write_shut_at > (WRITE_PROGRESS_TIMEOUT_S if unsent_bytes else LINGER_TIMEOUT_S):
            self.transport.abort()

    # The end

    def close_when_done(self) -> None:
        """Close once all that was sent is answered, including commands that still arrive before that."""
        self.closing = True
        self.flush()

    def detect_disconnect(self) -> None:
        """Detect now whether the client has gone: the event loop says so a turn later at the earliest."""
        if self.transport.is_closing():
            self._abandon_requests()
        elif find_disconnected([self]):
            self.on_peer_closed()

    def on_peer_closed(self) -> None:
        """End a connection whose client has gone while it was not read."""
        self._abandon_requests()
        if self.write_shut_at is not None:
            self.transport.abort()
        else:
            self.transport.close()

    def _abandon_requests(self) -> None:
        """Tell the handler of each unanswered command that its client has gone."""
        self.closing = True
        self.broken = True
        pending = self.pending_replies
        self.pending_replies = deque()
        for slot in pending:
            if slot.encoded_reply is None:
                self.server.handler.on_client_disconnected(slot)

    def _fail(self, answer: bytes) -> None:
        """Stop reading because the framing is lost; replies that are due go out before `answer`."""
        self.closing = True
        self.broken = True
        slot = PendingReply(self)
        self.pending_replies.append(slot)
        slot.complete(answer)
        self.update_reading()

    def _must_close_for_drain(self) -> bool:
        """Return whether a drain ends it: not while a command is due or has begun, unless reading stopped."""
        return self.server.drain_started_at is not None and (
            self.command_due_since is None or self.reading_stopped
        )

    def _shut_down(self) -> None:
        """Shut the sending side, and close once the client has closed its side.

        A request that crosses this stays unread, so its client sends it again elsewhere. Closing at once
        would reset the connection, and with it replies that are still on their way would be lost.
        """
        is_ending = self.transport.is_closing() or self.write_shut_at is not None
        if is_ending or not (self.broken or self.reading_stopped) and self.has_unread_bytes():
            return
        self.closing = True
        self.write_shut_at = monotonic()
        self.server.idle.discard(self)
        self.server.timed_connections[self] = None
        self.update_reading()
        if not self.command_count:  # no reply is on its way to a client that never sent a command
            self.transport.close()
            return
        self.server.on_linger(self)
        if self.transport.get_write_buffer_size():
            self.transport.write_eof()
            return
        # The loop would do that a turn later: a request that arrives until then would be lost.
        shut_down_sending(self.transport.get_extra_info("socket"))
