"""Client connections that have no request in flight, in the order in which they may be closed."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from api_gateway.downstream.client_connection import ClientConnection


class IdleConnections:
    """Idle connections, each kind in the order in which they became idle.

    Fresh connections have sent one command or none; returning ones have come back with a further command.
    Every operation takes constant time, however many connections there are.
    """

    def __init__(self) -> None:
        """Create an empty collection."""
        self.fresh: OrderedDict[ClientConnection, None] = OrderedDict()
        self.returning: OrderedDict[ClientConnection, None] = OrderedDict()

    def add(self, connection: ClientConnection) -> None:
        """Add a connection that has become idle; one that is there already keeps its place."""
        (self.returning if connection.command_count > 1 else self.fresh)[connection] = None

    def discard(self, connection: ClientConnection) -> None:
        """Remove a connection, if it is there."""
        self.fresh.pop(connection, None)
        self.returning.pop(connection, None)

    def next_to_close(self, max_fresh: float) -> ClientConnection | None:
        """Return the connection that should be closed first, or None if there is none.

        Returning connections go first while there are at most `max_fresh` fresh ones. Past that a fresh one
        goes, so that many clients that connect and stay don't displace those that send requests.
        """
        kinds = (self.fresh, self.returning) if len(self.fresh) > max_fresh else (self.returning, self.fresh)
        return next((connection for kind in kinds for connection in kind), None)
