"""Pending replies, which a connection writes in the order of its commands."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from api_gateway.downstream.client_connection import ClientConnection
    from api_gateway.downstream.large_body import LargeBody


class PendingReply:
    """The reply to one command, at its position among the replies of the connection.

    The connection creates it and passes it to the command handler, which completes it once: either with
    `complete` alone, or with any number of `write_piece` calls and then `complete` with the remainder.
    """

    __slots__ = (
        "connection",
        "encoded_reply",
        "held_bytes",
        "is_abandoned",
        "request",
        "on_writable",
        "is_begun",
        "is_value_in_transfer",
        "_large_body",
    )

    def __init__(self, connection: ClientConnection, large_body: LargeBody | None = None) -> None:
        """Create a reply that is not completed yet, to a command with `large_body` if it has one."""
        self.connection = connection
        self.encoded_reply: bytes | None = None
        # Bytes in the budget of replies, while the reply is complete and cannot be written.
        self.held_bytes = 0
        # Whether the client has disconnected.
        self.is_abandoned = False
        # For a reply written in chunks: whether the first was written.
        self.is_begun = False
        # For a reply written in chunks: whether its end is still unknown, because the endpoint writes it.
        self.is_value_in_transfer = False
        # For a reply written in chunks: called whenever more of it may be written.
        self.on_writable: Callable[[], None] | None = None
        # State of the handler for a command that it has accepted and not answered yet. The handler clears it
        # when it has finished with the command, because the state refers to this reply, too.
        self.request: Any = None
        self._large_body = large_body

    def take_large_body(self) -> LargeBody | None:
        """Return the large body of the command, if any; the caller owns its reservation from now on."""
        large_body = self._large_body
        self._large_body = None
        return large_body

    def complete(self, encoded_reply: bytes) -> None:
        """Complete the reply, which is written as soon as all earlier replies are and the client reads."""
        if self.is_abandoned:
            return
        self._end_transfer()
        self.encoded_reply = encoded_reply
        self.connection.on_reply_completed(self)

    def is_blocked(self) -> bool:
        """Return whether chunks must wait for earlier replies or until the client reads."""
        return self.connection.pending_replies[0] is not self or self.connection.writing_paused

    def begin_value(self, on_writable: Callable[[], None]) -> None:
        """Begin a reply in chunks: no further command of the connection is handled before its last one.

        The replies to these commands would be lost with the connection if the endpoint broke off.

        Args:
            on_writable: See the attribute.
        """
        self.on_writable = on_writable
        self.is_value_in_transfer = True
        self.connection.on_value_began()

    def write_piece(self, data: bytes) -> None:
        """Write a chunk of the reply immediately; allowed only while `is_blocked` returns False."""
        self.is_begun = True
        self.connection.write(data)

    def abort(self) -> None:
        """End the connection in the middle of a reply, so that the client detects the truncation."""
        self._end_transfer()
        self.connection.end_truncated()

    def _end_transfer(self) -> None:
        if self.is_value_in_transfer:
            self.is_value_in_transfer = False
            self.connection.on_value_ended()
