"""Counts and logs why the gateway ended client connections, for operators."""

from __future__ import annotations

import logging
from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING

from api_gateway.base.reason_log import ReasonLog
from api_gateway.downstream.connection_state import CloseCause

if TYPE_CHECKING:
    from api_gateway.downstream.client_connection import ClientConnection

# Ids of unanswered requests in one line.
MAX_LOGGED_IDS = 4

log = logging.getLogger(__name__)


class EndReason(StrEnum):
    """Why a client connection was ended other than after its last reply."""

    PROTOCOL_ERROR = "protocol_error"
    COMMAND_TOO_LONG = "command_too_long"
    NO_MEMORY = "no_memory"  # for the rest of a command or a reply
    COMMAND_TIMEOUT = "command_timeout"
    PARTIAL_COMMAND = "partial_command"  # one that had begun was rejected, as the connection had to end
    REPLIES_UNREAD = "replies_unread"  # the client read nothing for too long
    CLIENT_LEFT = "client_left"  # with commands unanswered
    REQUEST_LOST = "request_lost"  # the gateway had shut its sending side with commands unanswered
    LINGER_TIMEOUT = "linger_timeout"  # the client did not close its side
    CONNECTION_LIMIT = "connection_limit"
    TRUNCATED_VALUE = "truncated_value"
    INTERNAL_ERROR = "internal_error"


class ConnectionEnds(ReasonLog[EndReason]):
    """The ends of client connections by reason.

    Attributes:
        begun_counts: How many connections began to close since the start, by what began it.
    """

    def __init__(self) -> None:
        """Start without any."""
        super().__init__(log)
        self.begun_counts: Counter[CloseCause] = Counter()

    def begin(self, cause: CloseCause) -> None:
        """Count the beginning of the end of a connection."""
        self.begun_counts[cause] += 1

    def record(self, reason: EndReason, connection: ClientConnection) -> None:
        """Count an end, and log it with the state in which it found the connection.

        `unanswered` are commands without a reply, with the ids of the admitted ones in `requests`.
        `undelivered` are bytes of replies that the client's machine has not acknowledged, where a shutdown of
        sending counts as one; `unread` are bytes in the socket. `unhandled` tells whether part of a command
        was read.
        """
        self.write(
            reason,
            "client connection ended reason=%s begun_by=%s client=%s commands=%d unanswered=%d undelivered=%d"
            " unread=%d unhandled=%s sending_shut=%s requests=%s",
            reason,
            connection.state.close_cause,
            connection.transport.get_extra_info("peername"),
            connection.command_count,
            len(connection.pending_replies),
            connection.count_undelivered_bytes().unacknowledged,
            connection.count_unread_bytes(),
            "yes" if connection.reader.has_begun_value() else "no",
            "yes" if connection.state.is_sending_shut else "no",
            ",".join(connection.unanswered_request_ids()[:MAX_LOGGED_IDS]) or "none",
        )
