"""A connection to one endpoint.

It carries one attempt at a time, because answers arrive in order and a stuck answer would delay all later
ones. Abandoning an attempt also closes its connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from time import monotonic
from typing import Protocol

import hiredis

from api_gateway.base.byte_budget import ByteBudget
from api_gateway.base.resp import CRLF, INCOMPLETE, STREAMING_THRESHOLD_BYTES, RespReader
from api_gateway.upstream.attempt import HEALTH_CHECK, Attempt
from api_gateway.upstream.load_report import parse_load_report

# Limit on the size of an answer, not counting a large value.
MAX_REPLY_BYTES = STREAMING_THRESHOLD_BYTES + 4096
# Bytes of an incomplete answer that do not count in the budget, and the factor by which the others do: the
# parser doubles its buffer when it is full.
UNCOUNTED_ANSWER_BYTES = 1024
PARSER_BUFFER_GROWTH = 2
# An answer consists of the value, the metered use and the load report.
REPLY_PARTS = 3
# Socket receive buffer size, which bounds how much is read at once.
RECEIVE_BUFFER_BYTES = 64 * 1024
# A connection is closed if no byte of a large value in transfer arrives for this long.
VALUE_STALL_TIMEOUT_S = 20.0
# Seconds for the parts of an answer that follow a large value to arrive; the client has its reply by then.
ANSWER_END_TIMEOUT_S = 1.0


class ConnectionOwner(Protocol):
    """The interface that a connection requires of its pool.

    Attributes:
        read_buffer: Where connections read to; its length is the most that is read at once.
        answer_budget: Counts the incomplete answers of all connections.
    """

    @property
    def read_buffer(self) -> memoryview:
        """Return the buffer."""

    @property
    def answer_budget(self) -> ByteBudget:
        """Return the budget."""

    def record_response_time(self, seconds: float) -> None:
        """Record how long an answer took."""

    def add_idle(self, connection: Connection) -> None:
        """Add a connection that has become idle."""

    def remove(self, connection: Connection) -> None:
        """Remove a connection that is closing."""

    def abandon(self, attempt: Attempt, result: str) -> None:
        """End an attempt and close its connection."""


class Connection(asyncio.BufferedProtocol):
    """A connection to an endpoint, owned by its pool.

    Attributes:
        pool: The pool that owns the connection.
        sock: The socket below the transport.
        attempt: The attempt in flight on this connection, if any.
        is_written: Whether the socket accepted all bytes of the last attempt.
        is_used: Whether an attempt was ever sent on this connection.
        idle_since: When the connection became idle, in seconds of the monotonic clock.
        is_paused: Whether reading is paused because the client reads too slowly.
        transport: Set when the connection is established.
    """

    def __init__(self, pool: ConnectionOwner, sock: socket.socket) -> None:
        """Create the protocol for a connected socket."""
        self.pool = pool
        self.sock = sock
        self.attempt: Attempt | None = None
        self.is_written = True
        self.is_used = False
        self.idle_since = 0.0
        self.is_paused = False
        self.transport: asyncio.Transport | None = None
        self._reader = RespReader(MAX_REPLY_BYTES, (REPLY_PARTS, 0))
        self._last_activity_at = 0.0  # when bytes last arrived, or reading was paused or resumed
        self._received_bytes = 0  # of the current answer, not counting a large value
        self._reserved_bytes = 0  # of these, those that are counted in the budget

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and disable its write buffering."""
        self.transport = transport  # type: ignore[assignment]
        # With a high-water mark of 0, pause_writing is called once the socket does not accept every byte.
        transport.set_write_buffer_limits(high=0)  # type: ignore[attr-defined]

    def pause_writing(self) -> None:
        """Record that the socket did not accept every byte."""
        self.is_written = False

    def resume_writing(self) -> None:
        """Record that the socket accepted the remaining bytes."""
        self.is_written = True

    def is_sound(self) -> bool:
        """Return whether an attempt may be sent on this connection.

        It may not if the socket has input that the event loop has not read yet: end of file, a partial line
        or a second answer, which would be taken for the answer to the new attempt.
        """
        if self.transport is None or self.transport.is_closing():
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def start(self, attempt: Attempt) -> bool:
        """Send an attempt, unless its deadline has passed or it is no longer needed.

        This is checked here and not earlier, because the connect may have taken too long, or the client may
        have disconnected in the meantime.

        Returns:
            Whether the attempt was sent. If not, it has ended and the connection is still idle.
        """
        assert self.transport is not None
        now = monotonic()
        is_in_time = now < min(attempt.send_deadline, attempt.deadline)
        payload = attempt.make_payload(attempt.deadline - now) if is_in_time else b""
        if not payload:
            attempt.end("connect_failed")
            return False
        self.attempt = attempt
        attempt.connection = self
        self._received_bytes = 0
        self.is_used = True
        self.transport.write(payload)
        if attempt.body is not None:
            self.transport.write(memoryview(attempt.body))
            self.transport.write(CRLF)
        if self.transport.is_closing():  # the write failed at once, so the socket accepted nothing
            self.is_written = False
        return True

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where to read the next bytes; all connections share it, as they are copied at once."""
        return self.pool.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Read the answer of the attempt in flight from the bytes in the buffer."""
        self.data_received(bytes(self.pool.read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Read the answer of the attempt in flight."""
        attempt = self.attempt
        if attempt is None:  # an answer that no attempt is waiting for
            self.close()
            return
        self._last_activity_at = monotonic()
        self._reader.feed(data)
        if attempt.value_sink is None or attempt.is_value_complete:
            self._received_bytes += len(data)
        if self._reserve_answer():
            self._read_answer(attempt)
        else:  # no memory for the answer, and the request may have run
            self.pool.abandon(attempt, "error")

    def resume_value(self) -> None:
        """Continue to read a large value, unless its chunks must still wait."""
        attempt = self.attempt
        if attempt is None or attempt.is_value_blocked is None:
            return
        if attempt.is_value_blocked():
            self._pause_reading()
            return
        self._resume_reading()
        if self._reader.large_string_bytes:
            self._reader.pass_on(attempt.forward_chunk)
            self._read_answer(attempt)

    def close_if_stalled(self, now: float) -> None:
        """Close the connection if the endpoint has stopped sending in the middle of a large value.

        Args:
            now: The current time of the monotonic clock, in seconds.
        """
        if self.attempt is None or not self.attempt.value_sink or self.is_paused:
            return
        if now - self._last_activity_at > VALUE_STALL_TIMEOUT_S:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the connection, which ends the attempt in flight."""
        self.close()

    def close(self) -> None:
        """Close the connection and end its attempt.

        The socket is shut down at once, before another attempt can be sent.
        """
        attempt = self.attempt
        self.attempt = None
        self._release_answer()
        self._reader.discard_sink()
        self.pool.remove(self)
        if self.transport is not None and not self.transport.is_closing():
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
            self.transport.abort()
        if attempt is not None and attempt.is_value_complete:  # the parts that follow the value are optional
            attempt.end("ok")
        elif attempt is not None:
            attempt.end("reset" if self.is_written else "connect_failed")

    def _reserve_answer(self) -> bool:
        """Count the bytes of the current answer in the budget; return False if it is exhausted."""
        missing_bytes = (
            PARSER_BUFFER_GROWTH * (self._received_bytes - UNCOUNTED_ANSWER_BYTES) - self._reserved_bytes
        )
        if missing_bytes > 0:
            if not self.pool.answer_budget.try_reserve(missing_bytes):
                return False
            self._reserved_bytes += missing_bytes
        return True

    def _release_answer(self) -> None:
        if self._reserved_bytes:
            self.pool.answer_budget.release(self._reserved_bytes)
            self._reserved_bytes = 0

    def _read_answer(self, attempt: Attempt) -> None:
        try:
            reply = self._reader.gets()
        except hiredis.ProtocolError:
            self.close()
            return
        if reply is INCOMPLETE:
            if self._reader.large_string_bytes and attempt.value_sink is None:
                self._begin_value(attempt)
            elif attempt.is_value_complete:
                self._await_answer_end(attempt)
            elif self._received_bytes > MAX_REPLY_BYTES and attempt.value_sink is None:
                self.close()
            elif attempt.is_value_blocked is not None and attempt.is_value_blocked():
                self._pause_reading()
            return
        self.attempt = None
        self._release_answer()
        self._resume_reading()
        result = read_reply(attempt, reply)
        self.pool.record_response_time(attempt.response_time())
        # An answer may come before the request is written. The rest must not stay in the buffer.
        if self._reader.has_data() or not self.is_written:
            self.close()
        else:
            self._reader.release_buffer()
            self.pool.add_idle(self)
        attempt.end(result)

    def _begin_value(self, attempt: Attempt) -> None:
        """Start to stream a large value to the client. The attempt's timeout does not apply to it."""
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.time_to_value = monotonic() - attempt.started_at
        on_value_begins = attempt.on_value_begins
        if on_value_begins is None or not on_value_begins(attempt, self._reader.large_string_bytes):
            if attempt is self.attempt:
                self.pool.abandon(attempt, "cancelled" if on_value_begins else "error")
            return
        self.resume_value()

    def _await_answer_end(self, attempt: Attempt) -> None:
        """Report that the value is complete, and wait a limited time for the parts that follow it."""
        on_value_complete = attempt.on_value_complete
        if on_value_complete is None:  # it has already been reported
            if self._received_bytes > MAX_REPLY_BYTES:
                self.close()
            return
        attempt.on_value_complete = None
        attempt.is_value_blocked = None
        self._received_bytes = 0  # from here on, of the parts that follow the value
        self._resume_reading()
        loop = asyncio.get_running_loop()
        attempt.timer = loop.call_later(ANSWER_END_TIMEOUT_S, self.pool.abandon, attempt, "timeout")
        on_value_complete()

    def _pause_reading(self) -> None:
        if not self.is_paused and self.transport is not None and not self.transport.is_closing():
            self.is_paused = True
            self._last_activity_at = monotonic()
            self.transport.pause_reading()

    def _resume_reading(self) -> None:
        if self.is_paused and self.transport is not None and not self.transport.is_closing():
            self.is_paused = False
            self._last_activity_at = monotonic()
            self.transport.resume_reading()


def read_reply(attempt: Attempt, reply: object) -> str:
    """Store the value, metered use and load report of an answer in its attempt.

    Args:
        attempt: The attempt that was answered.
        reply: The answer as parsed by hiredis.

    Returns:
        The attempt's result: `ok`, `full` or `error`.
    """
    if isinstance(reply, list):
        if len(reply) != REPLY_PARTS or any(isinstance(part, hiredis.ReplyError) for part in reply):
            return "error"
        value, metered_use, report = reply
        if not isinstance(value, bytes) or len(value) > STREAMING_THRESHOLD_BYTES or isinstance(report, list):
            return "error"
        attempt.value = value
        attempt.load_report = parse_load_report(report)
        if isinstance(metered_use, int):
            attempt.metered_use = metered_use
        return "ok"
    if isinstance(reply, hiredis.ReplyError):
        words = str(reply).split(" ")
        attempt.load_report = parse_load_report(words[-1])
        return "full" if words[0] == "BUSY" else "error"
    if isinstance(reply, bytes) and attempt.context is HEALTH_CHECK:
        attempt.load_report = parse_load_report(reply)
        return "ok"
    return "error"  # not a valid answer, so there is no value that could be served
