"""All connections of clients: accepting, their limit, their timeouts, drain and shutdown."""

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
from api_gateway.downstream.body_budget import BodyBudget
from api_gateway.downstream.client_connection import ClientConnection
from api_gateway.downstream.client_socket import find_disconnected
from api_gateway.downstream.idle_connections import IdleConnections
from api_gateway.downstream.listener import ClientListener
from api_gateway.downstream.pending_reply import PendingReply

if TYPE_CHECKING:
    from api_gateway.downstream.admission import AdmissionListener
    from api_gateway.downstream.admission_settings import AdmissionSettings

# Connections that the kernel queues until they are accepted.
LISTEN_BACKLOG = 1024
# Between two checks of the timeouts, and for clients that went while they were not read.
CHECK_INTERVAL_S = 0.1
# Of the capacity: connections that may linger at once; past it the oldest of them is aborted.
LINGERING_FRACTION = 0.25
# Of the capacity: idle connections with one command or none; past it they are closed before others.
FRESH_IDLE_FRACTION = 0.25
# Of the capacity: connections past it that are served once where all others are busy.
OVERFLOW_FRACTION = 0.05
# Of these connections; with one turn's new connections they stay within the spare descriptors.
MAX_OVERFLOW_CONNECTIONS = 16
# Idle connections that are considered when one must be closed; bounds the cost of a new connection.
EVICTION_CANDIDATES = 8
# Without a request, until a connection may be closed.
MIN_IDLE_S = 2.0
# Of a drain, after which nothing more is read: 4 s into it only older requests may be open.
DRAIN_READ_S = 1.6
# Of a shorter time for a drain, after which nothing more is read.
DRAIN_READ_FRACTION = 0.55

log = logging.getLogger(__name__)

Result = TypeVar("Result")


class CommandHandler(Protocol):
    """What serves the commands of all connections."""

    def handle_command(self, slot: PendingReply, command: Any, /) -> None:
        """Serve a RESP value of any shape: complete `slot` now, or set its token and complete it later."""
        ...

    def on_client_disconnected(self, slot: PendingReply, /) -> None:
        """Cancel the command of `slot`: its client has gone and nothing more can be written."""
        ...


class ClientServer:
    """Owns the client connections: accepts them, keeps to their limit, checks timeouts, drains and closes."""

    def __init__(self, handler: CommandHandler, most: int) -> None:
        """Create a server that does not listen yet.

        Args:
            handler: Serves the commands.
            most: Connections that may be open at once.
        """
        self.handler = handler
        self.capacity = most
        self.listener: Any = None  # a ClientListener or an AdmissionListener, once it listens
        self.body_budget = BodyBudget()
        # Connections; all in order of arrival, the dicts serve as ordered sets.
        self.connections: dict[ClientConnection, None] = {}
        self.timed_connections: dict[ClientConnection, None] = {}  # those with a timeout running
        # Those that are not read now: the event loop does not see that their clients have gone.
        self.paused_connections: dict[ClientConnection, None] = {}
        self.idle = IdleConnections()
        self.lingering: OrderedDict[ClientConnection, None] = OrderedDict()  # the oldest first
        self.aborted_connections: dict[ClientConnection, None] = {}  # until the event loop confirms the end
        self.check_timer: asyncio.TimerHandle | None = None
        self.drain_started_at: float | None = None  # None: no drain
        self.drain_read_s = DRAIN_READ_S

    # Listening

    async def listen(
        self, host: str, port: int, inherited: int | None = None, edge: AdmissionSettings | None = None
    ) -> int:
        """Listen for clients and start the checks of timeouts.

        Args:
            host: The address to listen at.
            port: Its port; 0 for any.
            inherited: A listening descriptor to use instead. A duplicate of it is used, so that closing
                leaves the socket to its owner.
            edge: Limits on new connections; None for none, which leaves admission un-imported.

        Returns:
            The port.

        Raises:
            OSError: If the address can't be listened at.
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

    async def accept_backlog(self, within: float) -> None:
        """Accept what waits in the backlog, for `within` seconds at most: closing would reset it."""
        listener: ClientListener | AdmissionListener = self.listener
        end = monotonic() + within
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
        # A drain has a time for each connection.
        checked = self.timed_connections if self.drain_started_at is None else self.connections
        for connection in list(checked):
            if not self.run_isolated(connection, partial(connection.check_timeouts, now)):
                self.timed_connections.pop(connection, None)

    def run_isolated(self, connection: ClientConnection, action: Callable[[], Result]) -> Result | None:
        """Run an action on one connection; if it raises, abort this connection only.

        Returns:
            What the action returns, or None if it raised.
        """
        try:
            return action()
        except Exception:
            log.exception("a connection could not be served or ended")
            connection.broken = True
            connection.transport.abort()
            return None

    # The limit on connections

    def add_connection(self, connection: ClientConnection) -> None:
        """Register a new connection and keep to the limit.

        Past the limit one connection goes for each new one: the oldest that only lingers, or else an idle
        one, which may then linger until the next one arrives. Where all are busy it is the new one, after its
        first reply; it is aborted unread where there are too many of these, too.
        """
        self.connections[connection] = None
        self.idle.add(connection)
        if self.excess_connections() > 0 and self.lingering:
            self.abort(next(iter(self.lingering)))
        if self.excess_connections() <= 0:
            return
        is_evicted = self.evict_idle(connection)
        if self.excess_connections() > min(MAX_OVERFLOW_CONNECTIONS, 1 + self.capacity * OVERFLOW_FRACTION):
            self.abort(connection)
        elif not is_evicted:
            connection.close_when_done()

    def remove_connection(self, connection: ClientConnection) -> None:
        """Forget a connection that has ended."""
        self.connections.pop(connection, None)
        self.timed_connections.pop(connection, None)
        self.paused_connections.pop(connection, None)
        self.lingering.pop(connection, None)
        self.aborted_connections.pop(connection, None)
        self.idle.discard(connection)

    def excess_connections(self) -> int:
        """Return how many are past the limit; an abort takes effect a turn later but counts at once."""
        return len(self.connections) - len(self.aborted_connections) - self.capacity

    def evict_idle(self, newcomer: ClientConnection) -> bool:
        """Close an idle connection other than `newcomer`, if possible one with nothing unread.

        Returns:
            Whether there was one. With bytes unread it closes once these are answered.
        """
        with_unread_bytes = None
        for _ in range(EVICTION_CANDIDATES):
            connection = self.idle.next_to_close(max(1.0, self.capacity * FRESH_IDLE_FRACTION))
            if connection is None or connection is newcomer:
                break
            self.idle.discard(connection)  # its next reply brings it back
            if connection.is_busy():
                continue
            if not self.run_isolated(connection, connection.has_unread_bytes):
                self.run_isolated(connection, connection.close_when_done)
                return True
            with_unread_bytes = with_unread_bytes or connection
        if with_unread_bytes is not None:
            self.run_isolated(with_unread_bytes, with_unread_bytes.close_when_done)
        return with_unread_bytes is not None

    def close_lingering(self) -> bool:
        """Abort the oldest lingering connection, for want of a descriptor for a new one.

        Other connections keep theirs: they may carry requests, and a new one can wait.

        Returns:
            Whether there was one.
        """
        if self.lingering:
            self.abort(next(iter(self.lingering)))
            return True
        return False

    def close_fresh_idle(self, descriptor_limit: float = math.inf) -> bool:
        """Abort an idle connection that has sent one command or none, with nothing unread.

        Without a free descriptor no connection to an endpoint, discovery or the counter could be opened,
        which serve all clients. A connection that is idle for less than MIN_IDLE_S may be about to bring a
        request, so it is aborted only as one of a crowd that takes the descriptors.

        Args:
            descriptor_limit: Only a connection with a descriptor below this number is aborted.

        Returns:
            Whether there was one.
        """
        since = monotonic() - MIN_IDLE_S
        is_crowd = len(self.idle.fresh) > max(1.0, self.capacity * FRESH_IDLE_FRACTION)
        for connection in list(islice(self.idle.fresh, EVICTION_CANDIDATES)):
            if not is_crowd and connection.last_command_at > since:
                return False  # the others became idle later
            if connection.transport.get_extra_info("socket").fileno() >= descriptor_limit:
                continue
            self.idle.discard(connection)  # its next reply brings it back
            if connection.is_busy():
                continue
            if self.run_isolated(connection, connection.has_unread_bytes) is False:
                self.abort(connection)
                return True
        return False

    def on_linger(self, connection: ClientConnection) -> None:
        """Note that a connection lingers, and abort the oldest past the limit; a drain ends all at once."""
        self.lingering[connection] = None
        if self.drain_started_at is None and len(self.lingering) > max(
            1.0, self.capacity * LINGERING_FRACTION
        ):
            self.abort(next(iter(self.lingering)))

    def abort(self, connection: ClientConnection) -> None:
        """Abort a connection; its place is free at once."""
        self.lingering.pop(connection, None)
        self.aborted_connections[connection] = None
        connection.transport.abort()

    def closable_connections(self) -> list[ClientConnection]:
        """Return those idle for MIN_IDLE_S, which may be closed; the one idle longest comes first."""
        since = monotonic() - MIN_IDLE_S
        idle = [connection for connection in self.connections if connection.is_idle(since)]
        return sorted(idle, key=lambda connection: connection.last_command_at)

    def shrink_to_capacity(self) -> None:
        """Close as many idle connections as are past the limit, after it has shrunk."""
        for connection in self.closable_connections()[: max(0, len(self.connections) - self.capacity)]:
            connection.close_when_done()

    # Drain and shutdown

    def set_draining(self, on: bool) -> None:
        """Start or end a drain: each connection closes after its last reply, a new one after its first."""
        self.drain_started_at = monotonic() if on else None
        for connection in list(self.connections):
            connection.reading_stopped = False
            self.run_isolated(connection, connection.update_reading)
            self.run_isolated(connection, connection.flush)

    def begin_shutdown(self, within: float = math.inf) -> None:
        """Accept no more connections and drain those that are open.

        Args:
            within: Seconds until all will be closed. What arrives in about the second half of these stays
                unread: its client is better off elsewhere.
        """
        self.drain_read_s = min(self.drain_read_s, DRAIN_READ_FRACTION * within)
        if self.listener:
            self.listener.close()
        if self.drain_started_at is None:
            self.set_draining(True)

    def stop_reading(self) -> None:
        """Read nothing more on any connection; what was read already is handled now."""
        for connection in list(self.connections):
            connection.reading_stopped = True
            self.run_isolated(connection, connection.update_reading)
            self.run_isolated(connection, connection.read_queued_commands)

    def close(self) -> None:
        """Stop the checks and close whatever is still open."""
        if self.check_timer:
            self.check_timer.cancel()
        for connection in list(self.connections):
            connection.closing = True
            connection.transport.close()
