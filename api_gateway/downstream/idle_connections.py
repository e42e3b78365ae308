"""Client connections that may be closed to make room for others, in order."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from api_gateway.downstream.client_connection import ClientConnection

# Commands that a fresh connection has sent at most.
MAX_FRESH_COMMANDS = 1


class IdleConnections:
    """Connections that may be closed, in three groups, each in the order in which they came into it.

    Fresh connections are idle and have sent at most one command, returning connections are idle and have
    sent more. Partial connections have sent at most one command and the beginning of another. Every operation
    takes constant time, regardless of the number of connections.
    """

    def __init__(self) -> None:
        """Create an empty collection."""
        self.fresh: OrderedDict[ClientConnection, None] = OrderedDict()
        self.returning: OrderedDict[ClientConnection, None] = OrderedDict()
        self.partial: OrderedDict[ClientConnection, None] = OrderedDict()

    def add(self, connection: ClientConnection) -> None:
        """Add a connection that has become idle; a connection that is already present keeps its position."""
        (self.returning if self._is_returning(connection) else self.fresh)[connection] = None

    def add_partial(self, connection: ClientConnection) -> None:
        """Add a connection on which a command has begun, unless it is returning; it is not idle any more."""
        if connection not in self.partial:
            self.discard(connection)
            if not self._is_returning(connection):
                self.partial[connection] = None

    def discard(self, connection: ClientConnection) -> None:
        """Remove a connection if it is present."""
        self.fresh.pop(connection, None)
        self.returning.pop(connection, None)
        self.partial.pop(connection, None)

    def are_fresh_many(self, max_fresh: float) -> bool:
        """Return whether more than `max_fresh` connections are fresh or partial."""
        return len(self.fresh) + len(self.partial) > max_fresh

    def next_to_close(self, max_fresh: float, excluded: ClientConnection) -> ClientConnection | None:
        """Return the connection other than `excluded` that should be closed first, or None.

        Returning connections are closed first while at most `max_fresh` are fresh or partial. Above that,
        these are closed first, so that clients that only connect don't displace those that send requests.
        """
        if self.are_fresh_many(max_fresh):
            groups = (self.fresh, self.partial, self.returning)
        else:
            groups = (self.returning, self.fresh, self.partial)
        candidates = (connection for group in groups for connection in group)
        return next((connection for connection in candidates if connection is not excluded), None)

    @staticmethod
    def _is_returning(connection: ClientConnection) -> bool:
        return connection.command_count > MAX_FRESH_COMMANDS
