"""One connection to an endpoint.

It carries one attempt at a time: answers come in order, so a stuck one would hold up those behind it, and
giving an attempt up costs the connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from time import monotonic
from typing import Protocol

import hiredis

from api_gateway.base.resp import CRLF, INCOMPLETE, STREAMING_THRESHOLD_BYTES, RespReader
from api_gateway.upstream.attempt import HEALTH_CHECK, Attempt
from api_gateway.upstream.load_report import parse_load_report

# Bytes of one answer without a large value.
MAX_REPLY_BYTES = STREAMING_THRESHOLD_BYTES + 4096
# Parts of an answer: the value, the metered use, the load report.
REPLY_PARTS = 3
# Bytes that the socket holds unread, so that what is read at once is bounded.
RECEIVE_BUFFER_BYTES = 64 * 1024
# Time without a byte after which a large value that has begun is given up.
VALUE_STALL_TIMEOUT_S = 20.0


class ConnectionOwner(Protocol):
    """What a connection needs of its pool."""

    def record_response_time(self, seconds: float) -> None:
        """Note how long an answer took."""

    def add_idle(self, connection: Connection) -> None:
        """Take a connection that has become idle."""

    def forget(self, connection: Connection) -> None:
        """Forget a connection that closes."""

    def abandon(self, attempt: Attempt, result: str) -> None:
        """Give up an attempt, and the connection that it is on."""


class Connection(asyncio.Protocol):
    """A connection to an endpoint; its pool owns it.

    Attributes:
        pool: The owner.
        sock: The socket below the transport.
        attempt: The attempt that is in flight here.
        is_written: Whether the socket took all bytes of the last attempt.
        is_used: Whether an attempt has gone out here.
        idle_since: When the last answer came, by the monotonic clock in seconds.
        is_paused: Whether reading is paused, since the client does not keep up.
        transport: Set once the connection is made.
    """

    def __init__(self, pool: ConnectionOwner, sock: socket.socket) -> None:
        """Make the protocol of a connected socket."""
        self.pool = pool
        self.sock = sock
        self.attempt: Attempt | None = None
        self.is_written = True
        self.is_used = False
        self.idle_since = 0.0
        self.is_paused = False
        self.transport: asyncio.Transport | None = None
        self._reader = RespReader(MAX_REPLY_BYTES, (REPLY_PARTS, 0))
        self._last_activity_at = 0.0  # when the last bytes came, or reading was paused or resumed
        self._received_bytes = 0  # of the answer, without a large value

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self.transport = transport  # type: ignore[assignment]
        # With no buffer above the socket, pause_writing follows at once where it did not take every byte.
        transport.set_write_buffer_limits(high=0)  # type: ignore[attr-defined]

    def pause_writing(self) -> None:
        """Note that the socket did not take every byte."""
        self.is_written = False

    def resume_writing(self) -> None:
        """Note that the socket took the rest."""
        self.is_written = True

    def is_sound(self) -> bool:
        """Return whether an attempt may go out here.

        Not where anything waits in the socket that the event loop has not read yet: an end, half a line or a
        second answer, which the attempt would take for its own.
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
        """Send an attempt, unless it has become too late or unwanted.

        That is decided no earlier: a connect may have taken too long, and the client may have gone.

        Returns:
            Whether it went out; otherwise it has ended and the connection is still idle.
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
        if self.transport.is_closing():  # the write failed at once, so the socket took nothing
            self.is_written = False
        return True

    def data_received(self, data: bytes) -> None:
        """Read the answer of the attempt in flight."""
        attempt = self.attempt
        if attempt is None:  # an answer that nobody waits for
            self.close()
            return
        self._last_activity_at = monotonic()
        self._reader.feed(data)
        if attempt.value_sink is None:
            self._received_bytes += len(data)
        self._read_answer(attempt)

    def resume_value(self) -> None:
        """Go on with a large value, where its pieces need not wait any longer."""
        attempt = self.attempt
        if attempt is None or attempt.is_value_blocked is None:
            return
        if attempt.is_value_blocked():
            self._pause_reading()
            return
        self._resume_reading()
        if self._reader.large_string_bytes:
            self._reader.pass_on(attempt.pass_on_piece)
            self._read_answer(attempt)

    def check(self, now: float) -> None:
        """Close the connection where the endpoint has stopped in the middle of a large value.

        Args:
            now: The monotonic clock.
        """
        if self.attempt is None or not self.attempt.value_sink or self.is_paused:
            return
        if now - self._last_activity_at > VALUE_STALL_TIMEOUT_S:
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempt in flight."""
        self.close()

    def close(self) -> None:
        """Close the connection; the socket is shut at once, before another attempt can be sent."""
        attempt = self.attempt
        self.attempt = None
        self.pool.forget(self)
        if self.transport is not None and not self.transport.is_closing():
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
            self.transport.abort()
        if attempt is not None and attempt.is_value_complete:  # what was to follow the value is not missed
            attempt.end("ok")
        elif attempt is not None:
            attempt.end("reset" if self.is_written else "connect_failed")

    def _read_answer(self, attempt: Attempt) -> None:
        try:
            reply = self._reader.gets()
        except hiredis.ProtocolError:
            self.close()
            return
        if reply is INCOMPLETE:
            if self._reader.large_string_bytes and attempt.value_sink is None:
                self._begin_value(attempt)
            elif self._received_bytes > MAX_REPLY_BYTES and attempt.value_sink is None:
                self.close()
            elif attempt.is_value_blocked is not None and attempt.is_value_blocked():
                self._pause_reading()
            return
        self.attempt = None
        self._resume_reading()
        result = read_reply(attempt, reply)
        self.pool.record_response_time(attempt.response_time())
        if self._reader.has_data():
            self.close()
        else:
            self.pool.add_idle(self)
        attempt.end(result)

    def _begin_value(self, attempt: Attempt) -> None:
        """Begin to pass on a large value as it comes; from here on it is no longer timed."""
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.time_to_value = monotonic() - attempt.started_at
        on_value_begins = attempt.on_value_begins
        if on_value_begins is None or not on_value_begins(attempt, self._reader.large_string_bytes):
            if attempt is self.attempt:
                self.pool.abandon(attempt, "cancelled" if on_value_begins else "error")
            return
        self.resume_value()

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
    """Fill in the value, metered use and load report of an answer.

    Args:
        attempt: The attempt that it answers.
        reply: What hiredis read.

    Returns:
        The attempt's result: `ok`, `full` or `error`.
    """
    if isinstance(reply, list):
        if len(reply) != REPLY_PARTS or any(isinstance(part, hiredis.ReplyError) for part in reply):
            return "error"
        value, used, report = reply
        if not isinstance(value, bytes) or len(value) > STREAMING_THRESHOLD_BYTES or isinstance(report, list):
            return "error"
        attempt.value = value
        attempt.load_report = parse_load_report(report)
        if isinstance(used, int):
            attempt.metered_use = used
        return "ok"
    if isinstance(reply, hiredis.ReplyError):
        words = str(reply).split(" ")
        attempt.load_report = parse_load_report(words[-1])
        return "full" if words[0] == "BUSY" else "error"
    if isinstance(reply, bytes) and attempt.context is HEALTH_CHECK:
        attempt.load_report = parse_load_report(reply)
        return "ok"
    return "error"  # no value of an endpoint: serving anything for it would be made up
