"""Client connections that have no request in work, in the order in which they may be closed."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from api_gateway.downstream.client_connection import Client


class Idle:
    """Connections between requests, each kind in the order in which they came to rest: those that have asked
    once or never, and those that have come back. All is done in the same time, however many there are."""

    def __init__(self) -> None:
        self.fresh: OrderedDict[Client, None] = OrderedDict()
        self.kept: OrderedDict[Client, None] = OrderedDict()

    def add(self, client: Client) -> None:
        (self.kept if client.asked > 1 else self.fresh)[client] = None

    def drop(self, client: Client) -> None:
        self.fresh.pop(client, None)
        self.kept.pop(client, None)

    def first(self, fresh: float) -> Client | None:
        """Which one is to go: many that come and stay take no place from those that work, where more than
        `fresh` have not come back."""
        kinds = (self.fresh, self.kept) if len(self.fresh) > fresh else (self.kept, self.fresh)
        return next((client for kind in kinds for client in kind), None)
