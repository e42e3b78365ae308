"""The place of one command's reply, which a connection writes in the order of the commands."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from api_gateway.downstream.client_connection import ClientConnection


class PendingReply:
    """The place of one command's reply among the replies of its connection.

    The connection creates it and passes it to the command handler, which completes it once: by `reply`, or
    by `piece` as often as needed and then `reply` with what is left.
    """

    __slots__ = ("connection", "encoded_reply", "request", "on_writable")

    def __init__(self, connection: ClientConnection) -> None:
        """Create the place of a reply that is not known yet."""
        self.connection = connection
        self.encoded_reply: bytes | None = None
        # For a reply in pieces: called whenever more of it may be written.
        self.on_writable: Callable[[], None] | None = None
        # What the handler keeps of a command that it has accepted and not answered yet.
        self.request: Any = None

    def complete(self, answer: bytes) -> None:
        """Complete the reply and write it as soon as the replies before it are written."""
        self.encoded_reply = answer
        self.connection.flush()

    def is_blocked(self) -> bool:
        """Return whether pieces must wait for earlier replies or for the client to read."""
        return self.connection.pending_replies[0] is not self or self.connection.writing_paused

    def write_piece(self, data: bytes) -> None:
        """Write a piece of the reply at once; only while `blocked` is false."""
        self.connection.transport.write(data)

    def abort(self) -> None:
        """Close the connection in the middle of a reply: the client sees that the rest is missing."""
        self.connection.broken = True
        self.connection.transport.close()
