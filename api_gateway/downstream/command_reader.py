"""Reads the commands of a client, each with its large body if it has one."""

from __future__ import annotations

from typing import Any

from api_gateway.base.resp import INCOMPLETE, MAX_ARRAY_PARTS, STREAMING_THRESHOLD_BYTES, RespReader
from api_gateway.downstream.large_body import DiscardedBody, LargeBody

# Limit for one command without its large body, framing included.
MAX_COMMAND_BYTES = STREAMING_THRESHOLD_BYTES + 4096
# Length above which a body is received apart from its command, with a place in the budget of bodies.
LARGE_BODY_THRESHOLD_BYTES = 8 * 1024
# Position of the large body: a command with one has 5 parts, and the body has index 4.
LARGE_PART = (5, 4)


class CommandReader(RespReader):
    """A RESP reader that completes a command with its large body.

    Attributes:
        partial_command: A command whose large body is incomplete, without that body; None: there is none.
        incoming_body: That body, once it is received.
    """

    def __init__(self) -> None:
        """Create a reader at the beginning of a connection."""
        super().__init__(
            MAX_COMMAND_BYTES, LARGE_PART, LARGE_BODY_THRESHOLD_BYTES, max_total_parts=MAX_ARRAY_PARTS
        )
        self.partial_command: Any = None
        self.incoming_body: LargeBody | DiscardedBody | None = None

    def next_command(self) -> Any:
        """Return the next complete command, a RESP value of any shape, or INCOMPLETE.

        A body that was kept is in its place; `take_body` returns it, and must be called before the next call.

        Raises:
            hiredis.ProtocolError: The stream is malformed.
        """
        body = self.incoming_body
        if body and body.is_complete:
            command = self.partial_command
            self.partial_command = None
            if isinstance(body, LargeBody):
                command[-1] = body.data
            return command
        command = self.gets()
        if command is not INCOMPLETE and self.is_large_string_due():
            self.partial_command = command
            return INCOMPLETE
        return command

    def receive_body(self, body: LargeBody | DiscardedBody) -> None:
        """Pass the large body of the partial command to `body` as it arrives."""
        self.incoming_body = body
        self.pass_on(body.append)

    def take_body(self) -> LargeBody | DiscardedBody | None:
        """Return the large body that is being received or has just been completed, and forget it."""
        body = self.incoming_body
        self.incoming_body = None
        return body
