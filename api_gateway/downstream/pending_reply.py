"""The place of one command's reply, which a connection writes in the order of the commands."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from api_gateway.downstream.client_connection import ClientConnection


class Slot:
    """The place of one command's reply among the replies of its connection.

    The connection creates it and passes it to the command handler, which completes it once: by `reply`, or
    by `piece` as often as needed and then `reply` with what is left.
    """

    __slots__ = ("client", "encoded_reply", "token", "turn")

    def __init__(self, client: ClientConnection) -> None:
        """Create the place of a reply that is not known yet."""
        self.client = client
        self.encoded_reply: bytes | None = None
        # For a reply in pieces: called whenever more of it may be written.
        self.turn: Callable[[], None] | None = None
        # What the handler keeps of a command that it has accepted and not answered yet.
        self.token: Any = None

    def reply(self, answer: bytes) -> None:
        """Complete the reply and write it as soon as the replies before it are written."""
        self.encoded_reply = answer
        self.client.flush()

    def blocked(self) -> bool:
        """Return whether pieces must wait for earlier replies or for the client to read."""
        return self.client.pending_replies[0] is not self or self.client.writing_paused

    def piece(self, data: bytes) -> None:
        """Write a piece of the reply at once; only while `blocked` is false."""
        self.client.transport.write(data)

    def cut(self) -> None:
        """Close the connection in the middle of a reply: the client sees that the rest is missing."""
        self.client.broken = True
        self.client.transport.close()
