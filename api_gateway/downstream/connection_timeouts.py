"""The timeouts of a client connection: how long it waits for its client, and in a drain."""

from __future__ import annotations

from typing import TYPE_CHECKING

from api_gateway.downstream.connection_ends import EndReason
from api_gateway.downstream.connection_state import Input
from api_gateway.downstream.reply_delivery import DeliveryState

if TYPE_CHECKING:
    from api_gateway.downstream.client_connection import ClientConnection

# Seconds for the first command of a connection, or a command that has begun, to arrive without its large
# body.
COMMAND_TIMEOUT_S = 2.5
# Seconds between two chunks of a large body.
BODY_PROGRESS_TIMEOUT_S = 2.2
# Seconds for the client to close its side after the gateway has shut down sending and it has the replies.
LINGER_TIMEOUT_S = 1.0
# Seconds for the first command on a connection that is accepted during a drain.
DRAIN_FIRST_COMMAND_TIMEOUT_S = 1.0
# Seconds after the end of reading in a drain for the rest of a command that has begun to arrive.
DRAIN_PARTIAL_COMMAND_S = 1.0


def check_timeouts(connection: ClientConnection, now: float) -> bool:
    """Close or abort the connection if a timeout has expired.

    Args:
        connection: The connection.
        now: The monotonic time.

    Returns:
        Whether a timeout is running; if not, no further check is needed for now.
    """
    if connection.state.is_sending_shut:
        _check_linger(connection, now)
        return True
    if connection.server.drain_started_at is not None:
        _check_drain(connection, now, connection.server.drain_started_at)
    is_delivered = _check_delivery(connection, now)
    if not connection.state.may_handle or connection.command_due_since is None:
        return not is_delivered
    if connection.awaits_body_budget and now >= connection.body_wait_ends_at:
        connection.reject_body()
        return True
    if connection.reading_paused or connection.awaits_turn:
        return True
    if connection.reader.is_in_large_part():
        is_late = now - connection.last_read_at > BODY_PROGRESS_TIMEOUT_S
    else:
        is_late = now - connection.command_due_since > COMMAND_TIMEOUT_S
    if is_late:
        connection.fail(b"-ERR no whole command in time\r\n", EndReason.COMMAND_TIMEOUT)
    return True


def _check_delivery(connection: ClientConnection, now: float) -> bool:
    """Return whether the client has the replies that were written.

    If it has, a connection without a request is idle again. If it takes none for too long, the connection
    is aborted, because it may also occupy one to an endpoint.
    """
    state = connection.delivery_state(now)
    if state is DeliveryState.DELIVERED:
        connection.update_idle()
        return True
    if state is DeliveryState.GIVEN_UP:
        connection.server.ends.record(EndReason.REPLIES_UNREAD, connection)
        connection.abort()
    return False


def _check_drain(connection: ClientConnection, now: float, drain_started_at: float) -> None:
    """Stop reading late in a drain and close if nothing is pending; complete commands are served.

    A command that has begun gets DRAIN_PARTIAL_COMMAND_S for its rest, without waiting for memory, as its
    client may have sent it whole. After that it is rejected.
    """
    late_by = now - drain_started_at - connection.server.drain_read_s
    is_first_command_late = now - connection.connected_at > DRAIN_FIRST_COMMAND_TIMEOUT_S
    if late_by > 0 and (connection.pending_replies or is_first_command_late):
        if connection.awaits_body_budget:
            connection.reject_body()
        if connection.state.input is not Input.PARTIAL or late_by > DRAIN_PARTIAL_COMMAND_S:
            connection.stop_reading()
    connection.flush()


def _check_linger(connection: ClientConnection, now: float) -> None:
    """Abort if the client has the replies and does not close its side in time, or takes none of them."""
    if not _check_delivery(connection, now):
        return
    if now - max(connection.sending_shut_at, connection.delivery.progress_at) > LINGER_TIMEOUT_S:
        connection.server.ends.record(EndReason.LINGER_TIMEOUT, connection)
        connection.abort()
