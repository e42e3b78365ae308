"""Counts and logs why the gateway ended client connections, for operators."""

from __future__ import annotations

import logging
from enum import StrEnum
from typing import TYPE_CHECKING

from api_gateway.base.reason_log import ReasonLog

if TYPE_CHECKING:
    from api_gateway.downstream.client_connection import ClientConnection

log = logging.getLogger(__name__)


class EndReason(StrEnum):
    """Why a client connection was ended other than after its last reply."""

    PROTOCOL_ERROR = "protocol_error"
    COMMAND_TOO_LONG = "command_too_long"
    NO_MEMORY = "no_memory"  # for the rest of a command or a reply
    COMMAND_TIMEOUT = "command_timeout"
    REPLIES_UNREAD = "replies_unread"  # the client read nothing for too long
    CLIENT_LEFT = "client_left"  # with commands unanswered
    LINGER_TIMEOUT = "linger_timeout"  # the client did not close its side
    CONNECTION_LIMIT = "connection_limit"
    TRUNCATED_VALUE = "truncated_value"
    INTERNAL_ERROR = "internal_error"


class ConnectionEnds(ReasonLog[EndReason]):
    """The ends of client connections by reason."""

    def __init__(self) -> None:
        """Start without any."""
        super().__init__(log)

    def record(self, reason: EndReason, connection: ClientConnection) -> None:
        """Count an end, and log it with the number of commands read and of those that are not answered.

        `undelivered` are the bytes of replies that the client's machine has not acknowledged.
        """
        self.write(
            reason,
            "client connection ended reason=%s client=%s commands=%d unanswered=%d undelivered=%d",
            reason,
            connection.transport.get_extra_info("peername"),
            connection.command_count,
            len(connection.pending_replies),
            connection.count_undelivered_bytes().unacknowledged,
        )
