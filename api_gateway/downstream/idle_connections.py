"""Idle client connections, ordered by when they may be closed."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from api_gateway.downstream.client_connection import ClientConnection


class IdleConnections:
    """Idle connections in two groups, each in the order in which they became idle.

    Fresh connections have sent at most one command, returning connections have sent more. Every operation
    takes constant time, regardless of the number of connections.
    """

    def __init__(self) -> None:
        """Create an empty collection."""
        self.fresh: OrderedDict[ClientConnection, None] = OrderedDict()
        self.returning: OrderedDict[ClientConnection, None] = OrderedDict()

    def add(self, connection: ClientConnection) -> None:
        """Add a connection that has become idle; a connection that is already present keeps its position."""
        (self.returning if connection.command_count > 1 else self.fresh)[connection] = None

    def discard(self, connection: ClientConnection) -> None:
        """Remove a connection if it is present."""
        self.fresh.pop(connection, None)
        self.returning.pop(connection, None)

    def next_to_close(self, max_fresh: float) -> ClientConnection | None:
        """Return the connection that should be closed first, or None if there is none.

        Returning connections are closed first while there are at most `max_fresh` fresh ones. Above that, a
        fresh one is closed first, so that clients that only connect don't displace those that send requests.
        """
        groups = (self.fresh, self.returning) if len(self.fresh) > max_fresh else (self.returning, self.fresh)
        return next((connection for group in groups for connection in group), None)
