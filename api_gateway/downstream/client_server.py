"""Management of all client connections: accepting, the limit, timeouts, drain and shutdown."""

from __future__ import annotations

import asyncio
import logging
import math
import os
import select
import socket
from collections import OrderedDict
from collections.abc import Callable
from functools import partial
from itertools import islice
from time import monotonic
from typing import TYPE_CHECKING, Any, Protocol, TypeVar

from api_gateway.base.accepting import open_listening_socket
from api_gateway.base.byte_budget import ByteBudget
from api_gateway.downstream.body_budget import BodyBudget
from api_gateway.downstream.client_connection import ClientConnection
from api_gateway.downstream.client_socket import find_disconnected
from api_gateway.downstream.connection_ends import ConnectionEnds, EndReason
from api_gateway.downstream.connection_state import CloseCause
from api_gateway.downstream.connection_timeouts import check_timeouts
from api_gateway.downstream.idle_connections import IdleConnections
from api_gateway.downstream.listener import ClientListener
from api_gateway.downstream.pending_reply import PendingReply
from api_gateway.downstream.reply_delivery import DeliveryState
from api_gateway.downstream.turns import TurnScheduler

if TYPE_CHECKING:
    from api_gateway.downstream.admission import AdmissionListener
    from api_gateway.downstream.admission_settings import AdmissionSettings

# Connections that the kernel queues until they are accepted.
LISTEN_BACKLOG = 1024
# Capacity of a budget until the limits of the process are applied.
DEFAULT_BUDGET_BYTES = 1024 * 1024
# Multiple of the budget for replies from which on slow readers are disconnected.
MAX_REPLY_OVERRUN = 2
# Bytes read at once from one client.
READ_BUFFER_BYTES = 64 * 1024
# Seconds between two checks for timeouts, and for clients that disconnected while reading was paused.
CHECK_INTERVAL_S = 0.1
# Fraction of the capacity that may linger at once; above it the oldest lingering connection is aborted.
LINGERING_FRACTION = 0.25
# Fraction of the capacity for idle connections with at most one command; above it these are closed before
# others.
FRESH_IDLE_FRACTION = 0.25
# Fraction of the capacity that may be exceeded if all connections are busy; the additional connections
# close after one reply.
OVERFLOW_FRACTION = 0.05
# Limit on these additional connections. Together with the connections accepted in one iteration of the event
# loop, they fit into the spare descriptors.
MAX_OVERFLOW_CONNECTIONS = 16
# Idle connections considered when one must be closed; bounds the cost of a new connection.
EVICTION_CANDIDATES = 8
# Seconds without a request after which a connection may be closed.
MIN_IDLE_S = 2.0
# Seconds after the start of a drain at which reading ends, so that 4 s into the drain only older requests
# are open.
DRAIN_READ_S = 1.6
# Fraction of a shorter drain after which reading ends.
DRAIN_READ_FRACTION = 0.55
# Of clients that have long taken none of their replies.
STALLED_STATES = frozenset({DeliveryState.STALLED, DeliveryState.GIVEN_UP})

log = logging.getLogger(__name__)

Result = TypeVar("Result")


class CommandHandler(Protocol):
    """Serves the commands of all connections."""

    def handle_command(self, pending_reply: PendingReply, command: Any, /) -> None:
        """Serve a RESP value of any shape: complete `pending_reply`, or set its `request` to do so later.

        A handler that keeps a large body takes it from `pending_reply` and releases it.
        """
        ...

    def body_wait_limit(self, command: Any, /) -> float:
        """Return how many seconds a command, given without its large body, may wait for that to be read."""
        ...

    def reject_command(self, pending_reply: PendingReply, command: Any, /) -> None:
        """Answer a command, given without its large body, that has waited too long for that to be read."""
        ...

    def on_client_disconnected(self, pending_reply: PendingReply, /) -> None:
        """Cancel the command, because its client has disconnected and no reply can be written."""
        ...


class ClientServer:
    """Owns the client connections: accepts and limits them, checks timeouts, drains and closes."""

    def __init__(self, handler: CommandHandler, capacity: int) -> None:
        """Create a server that does not listen yet.

        Args:
            handler: Serves the commands.
            capacity: Maximum number of open connections.
        """
        self.handler = handler
        self.capacity = capacity
        self.listener: Any = None  # a ClientListener or an AdmissionListener, set by listen()
        self.body_budget = BodyBudget()
        self.partial_command_budget = ByteBudget(DEFAULT_BUDGET_BYTES)
        self.reply_budget = ByteBudget(DEFAULT_BUDGET_BYTES)
        self.ends = ConnectionEnds()
        self.turns = TurnScheduler()
        self.read_buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        # Connections in order of arrival; the dicts serve as ordered sets.
        self.connections: dict[ClientConnection, None] = {}
        self.timed_connections: dict[ClientConnection, None] = {}  # connections with a running timeout
        # Connections with reading paused, for which the event loop does not detect a disconnect.
        self.paused_connections: dict[ClientConnection, None] = {}
        self.idle = IdleConnections()
        self.lingering: OrderedDict[ClientConnection, None] = OrderedDict()  # oldest first
        # Connections that were last seen with an undelivered reply, least recently looked at first.
        self.undelivered: OrderedDict[ClientConnection, None] = OrderedDict()
        # Aborted connections, until the event loop reports them as closed.
        self.aborted_connections: dict[ClientConnection, None] = {}
        self.check_timer: asyncio.TimerHandle | None = None
        self.drain_started_at: float | None = None  # None: no drain
        self.drain_read_s = DRAIN_READ_S

    # Listening

    async def listen(
        self, host: str, port: int, inherited: int | None = None, edge: AdmissionSettings | None = None
    ) -> int:
        """Listen for clients and start the timeout checks.

        Args:
            host: The address to listen on.
            port: The port; 0 for any free one.
            inherited: A listening descriptor to use instead. It is duplicated, so that closing the listener
                does not close the socket of its owner.
            edge: Limits on new connections, or None; with None the module admission is not imported.

        Returns:
            The port that it listens on.

        Raises:
            OSError: If listening on the address fails.
        """
        sock = (
            socket.socket(fileno=os.dup(inherited))
            if inherited is not None
            else await open_listening_socket((host, port), LISTEN_BACKLOG)
        )
        sock.setblocking(False)
        if edge is not None:
            from api_gateway.downstream.admission import AdmissionListener

            self.listener = AdmissionListener(sock, self, edge)
        else:
            self.listener = ClientListener(sock, lambda: ClientConnection(self), self.close_lingering)
        self.run_checks()
        bound_port: int = self.listener.sockets[0].getsockname()[1]
        return bound_port

    async def accept_backlog(self, timeout_s: float) -> None:
        """Accept connections from the backlog for up to `timeout_s`, because closing would reset them."""
        listener: ClientListener | AdmissionListener = self.listener
        end = monotonic() + timeout_s
        poll = select.poll()
        poll.register(listener.sockets[0].fileno(), select.POLLIN)
        while (poll.poll(0) or listener.connecting_tasks) and monotonic() < end:
            await asyncio.sleep(0)

    # Timeouts

    def run_checks(self) -> None:
        """Check timeouts and disconnected clients now, and again every CHECK_INTERVAL_S."""
        self.check_timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self.run_checks)
        now = monotonic()
        for connection in find_disconnected(self.paused_connections):
            self.run_isolated(connection, connection.on_peer_closed)
        # During a drain, every connection has a timeout.
        checked = self.timed_connections if self.drain_started_at is None else self.connections
        for connection in list(checked):
            if not self.run_isolated(connection, partial(check_timeouts, connection, now)):
                self.timed_connections.pop(connection, None)

    def run_isolated(self, connection: ClientConnection, action: Callable[[], Result]) -> Result | None:
        """Run an action on one connection; if it raises, abort only this connection.

        Returns:
            What the action returns, or None if it raised.
        """
        try:
            return action()
        except Exception:
            log.exception("serving or closing a connection failed")
            self.ends.record(EndReason.INTERNAL_ERROR, connection)
            connection.abort()
            return None

    # Connection limit

    def add_connection(self, connection: ClientConnection) -> None:
        """Register a new connection and enforce the limit.

        Above the limit, each new connection displaces another one: the oldest lingering connection or else an
        idle one, which may then linger until the next connection arrives, or else one whose client takes no
        replies. If all are busy, the new connection itself closes after its first reply. If too many of these
        are open, it is aborted unread.
        """
        self.connections[connection] = None
        self.idle.add(connection)
        if self.excess_connections() > 0:
            self.close_lingering()
        if self.excess_connections() <= 0:
            return
        is_evicted = self.evict_idle(connection) or self.close_stalled()
        if self.excess_connections() > min(MAX_OVERFLOW_CONNECTIONS, 1 + self.capacity * OVERFLOW_FRACTION):
            self.ends.record(EndReason.CONNECTION_LIMIT, connection)
            self.abort(connection)
        elif not is_evicted:
            connection.close_when_done(CloseCause.CONNECTION_LIMIT)

    def remove_connection(self, connection: ClientConnection) -> None:
        """Remove a connection that has closed from all collections."""
        self.connections.pop(connection, None)
        self.timed_connections.pop(connection, None)
        self.paused_connections.pop(connection, None)
        self.lingering.pop(connection, None)
        self.undelivered.pop(connection, None)
        self.aborted_connections.pop(connection, None)
        self.idle.discard(connection)

    def excess_connections(self) -> int:
        """Return by how many the limit is exceeded, not counting aborted connections that are still open."""
        return len(self.connections) - len(self.aborted_connections) - self.capacity

    def evict_idle(self, new_connection: ClientConnection) -> bool:
        """Close an idle connection other than `new_connection`, preferably one with nothing unread.

        One with an undelivered reply is not idle until that is delivered. A command of which only a part has
        come is rejected if no idle connection may be closed before it.

        Returns:
            Whether there was one. A connection with unread bytes closes once these are answered.
        """
        with_unread_bytes = None
        for _ in range(EVICTION_CANDIDATES):
            max_fresh = max(1.0, self.capacity * FRESH_IDLE_FRACTION)
            connection = self.idle.next_to_close(max_fresh, excluded=new_connection)
            if connection is None:
                break
            self.idle.discard(connection)  # added again after its next reply, or once that is delivered
            if not connection.may_be_evicted() or not self.can_make_room(connection):
                continue
            if not self.run_isolated(connection, connection.has_unread_bytes):
                self.run_isolated(connection, connection.evict)
                return True
            with_unread_bytes = with_unread_bytes or connection
        if with_unread_bytes is not None:
            self.run_isolated(with_unread_bytes, with_unread_bytes.evict)
        return with_unread_bytes is not None

    def can_make_room(self, connection: ClientConnection) -> bool:
        """Return whether a connection without a request may be ended to make room for others."""
        state = self.delivery_state_of(connection)
        return state is not None and state.can_make_room

    def delivery_state_of(self, connection: ClientConnection) -> DeliveryState | None:
        """Return how far the replies of a connection have come; None if that fails, which aborts it."""
        return self.run_isolated(connection, partial(connection.delivery_state, monotonic()))

    def close_lingering(self) -> bool:
        """Abort the oldest lingering connection that has delivered its replies, to make room for others.

        Other connections keep their descriptors, because they may carry requests and a new one can wait.

        Returns:
            Whether there was one among those looked at.
        """
        for connection in list(islice(self.lingering, EVICTION_CANDIDATES)):
            if self.can_make_room(connection):
                self.abort(connection)
                return True
            if connection in self.lingering:
                self.lingering.move_to_end(connection)  # the next call looks at others first
        return False

    def close_stalled(self, descriptor_limit: float = math.inf) -> bool:
        """Abort a connection whose client has long taken none of its replies, to make room for others.

        Args:
            descriptor_limit: Only a connection with a descriptor below this number is aborted.

        Returns:
            Whether there was one among those looked at.
        """
        for connection in list(islice(self.undelivered, EVICTION_CANDIDATES)):
            self.undelivered.move_to_end(connection)
            if connection.transport.get_extra_info("socket").fileno() >= descriptor_limit:
                continue
            is_open = connection not in self.aborted_connections
            if is_open and self.delivery_state_of(connection) in STALLED_STATES:
                self.ends.record(EndReason.REPLIES_UNREAD, connection)
                self.abort(connection)
                return True
        return False

    def on_delivery_state(self, connection: ClientConnection, state: DeliveryState) -> None:
        """Follow the delivery of the replies of a connection until all are delivered."""
        if state is DeliveryState.DELIVERED:
            self.undelivered.pop(connection, None)
        elif connection in self.connections:
            self.undelivered[connection] = None
            self.timed_connections[connection] = None

    def close_fresh_idle(self, descriptor_limit: float = math.inf) -> bool:
        """Abort an idle connection with nothing unread that has sent at most one command.

        Without a free descriptor, no connection to an endpoint, discovery or the counter could be opened, and
        these serve all clients. A connection that has been idle for less than MIN_IDLE_S may be about to send
        a request, so it is aborted only if fresh idle connections exceed FRESH_IDLE_FRACTION.

        Args:
            descriptor_limit: Only a connection with a descriptor below this number is aborted.

        Returns:
            Whether there was one.
        """
        since = monotonic() - MIN_IDLE_S
        has_many_fresh = self.idle.are_fresh_many(max(1.0, self.capacity * FRESH_IDLE_FRACTION))
        for connection in list(islice(self.idle.fresh, EVICTION_CANDIDATES)):
            if not has_many_fresh and connection.last_command_at > since:
                return False  # the remaining ones became idle later
            if connection.transport.get_extra_info("socket").fileno() >= descriptor_limit:
                continue
            self.idle.discard(connection)  # added again after its next reply, or once that is delivered
            if not connection.is_at_rest() or not self.can_make_room(connection):
                continue
            if self.run_isolated(connection, connection.has_unread_bytes) is False:
                self.abort(connection)
                return True
        return False

    def on_linger(self, connection: ClientConnection) -> None:
        """Record a lingering connection and close the oldest above the limit, which a drain suspends."""
        self.lingering[connection] = None
        max_lingering = max(1.0, self.capacity * LINGERING_FRACTION)
        if self.drain_started_at is None and len(self.lingering) > max_lingering:
            self.close_lingering()

    def limit_unsent_replies(self) -> None:
        """Abort the connection with the most unsent bytes if replies take too much beyond their budget.

        A reply that has been written in part can neither be replaced by an error nor be dropped.
        """
        if self.reply_budget.reserved_bytes <= MAX_REPLY_OVERRUN * self.reply_budget.capacity_bytes:
            return
        connection = max(self.connections, key=lambda candidate: candidate.reply_account.unsent_bytes)
        if connection.reply_account.unsent_bytes and connection not in self.aborted_connections:
            self.ends.record(EndReason.NO_MEMORY, connection)
            self.abort(connection)

    def abort(self, connection: ClientConnection) -> None:
        """Abort a connection; it stops counting towards the limit immediately."""
        self.lingering.pop(connection, None)
        self.aborted_connections[connection] = None
        connection.abort()

    def closable_connections(self) -> list[ClientConnection]:
        """Return the connections idle for MIN_IDLE_S, which may be closed, longest idle first."""
        since = monotonic() - MIN_IDLE_S
        idle = [connection for connection in self.connections if connection.is_idle(since)]
        return sorted(idle, key=lambda connection: connection.last_command_at)

    def shrink_to_capacity(self) -> None:
        """Close idle connections above the limit after it has been lowered."""
        for connection in self.closable_connections()[: max(0, len(self.connections) - self.capacity)]:
            connection.close_when_done(CloseCause.LOWERED_LIMIT)

    # Drain and shutdown

    def set_draining(self, on: bool) -> None:
        """Start or end a drain: connections close after the last pending reply, new ones after the first."""
        self.drain_started_at = monotonic() if on else None
        for connection in list(self.connections):
            connection.state.is_reading_stopped = False
            self.run_isolated(connection, connection.update_reading)
            self.run_isolated(connection, connection.flush)

    def begin_shutdown(self, timeout_s: float = math.inf) -> None:
        """Stop accepting connections and drain the open ones.

        Args:
            timeout_s: Seconds until all connections are closed. Requests that arrive in about the second half
                of this time stay unread, so that their clients retry elsewhere.
        """
        self.drain_read_s = min(self.drain_read_s, DRAIN_READ_FRACTION * timeout_s)
        if self.listener:
            self.listener.close()
        if self.drain_started_at is None:
            self.set_draining(True)

    def stop_reading(self) -> None:
        """Stop reading on all connections and handle at once what was already read."""
        for connection in list(self.connections):
            self.run_isolated(connection, connection.stop_reading)
            self.run_isolated(connection, connection.read_queued_commands)

    def has_undelivered_replies(self) -> bool:
        """Return whether any client is still taking replies; one that has long taken none doesn't count."""
        now = monotonic()
        return any(connection.is_delivering(now) for connection in self.connections)

    def close(self) -> None:
        """Stop the timeout checks and close all connections that are still open."""
        if self.check_timer:
            self.check_timer.cancel()
        for connection in list(self.connections):
            connection.transport.close()
