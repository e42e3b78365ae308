"""Dissemination of membership updates, which are piggybacked on other messages a bounded number of times.

Updates that cannot wait for the next probe (a new suspect, enough accusers, a refutation) are pushed to some
members at once.
"""

from __future__ import annotations

import math

from api_gateway.membership.member_table import Member, MemberTable
from api_gateway.membership.messages import (
    DEAD,
    HEADER_RESERVE_BYTES,
    MAX_DATAGRAM_BYTES,
    SUSPECT,
    Address,
    MemberUpdate,
    Message,
    StateUpdate,
    update_size,
)
from api_gateway.membership.outbox import Outbox

MAX_UPDATES_PER_DATAGRAM = 16  # piggybacked on one datagram
RETRANSMIT_FACTOR = 3  # times log2 of the cluster size: how often one update is sent
PUSH_TARGETS = 2  # members that receive urgent updates at once
PUSH_INTERVAL_S = 0.1  # between two pushes; updates that become urgent in between are sent together
PUSH_TOLERANCE_S = 1e-9  # pushes may appear to be this early because times are rounded


class Gossip:
    """Sends messages with the least transmitted updates, and pushes urgent updates.

    Attributes:
        has_urgent_updates: Whether there are updates that cannot wait for the next probe.
    """

    def __init__(self, table: MemberTable, outbox: Outbox) -> None:
        """Disseminate the pending updates of `table` through `outbox`."""
        self._table = table
        self._pending_updates = table.pending_updates
        self._outbox = outbox
        self.has_urgent_updates = False
        self._last_push_at = -math.inf

    def has_backlog(self) -> bool:
        """Return whether more updates are pending than two datagrams can carry."""
        return len(self._pending_updates) > 2 * MAX_UPDATES_PER_DATAGRAM

    def next_push_at(self) -> float:
        """Return when urgent updates may be pushed, in seconds, or infinity if there are none."""
        return self._last_push_at + PUSH_INTERVAL_S if self.has_urgent_updates else math.inf

    def push_urgent_updates(self, now: float) -> None:
        """Push urgent updates to some members, unless the last push was less than `PUSH_INTERVAL_S` ago."""
        if not self.has_urgent_updates or now - self._last_push_at < PUSH_INTERVAL_S - PUSH_TOLERANCE_S:
            return
        self.has_urgent_updates = False
        self._last_push_at = now
        for member in self._table.draw_others(PUSH_TARGETS):
            self.send(member.address, StateUpdate())

    def send(self, to: Address, message: Message, recipient: Member | None = None) -> None:
        """Send a message with piggybacked updates.

        Args:
            to: Destination address.
            message: The message to send.
            recipient: The member that receives it, if known. If it is considered suspect or dead, the update
                about it comes first, so that it can refute.
        """
        self._outbox.add(to, message, self._select_updates(recipient))

    def _select_updates(self, recipient: Member | None) -> list[MemberUpdate]:
        table = self._table
        max_transmissions = RETRANSMIT_FACTOR * max(1, math.ceil(math.log2(max(2, table.size()))))
        names = self._pending_updates.least_transmitted(MAX_UPDATES_PER_DATAGRAM)
        if recipient is not None and recipient.state in (SUSPECT, DEAD):
            others = (name for name in names if name != recipient.name)
            names = [recipient.name, *others][:MAX_UPDATES_PER_DATAGRAM]
        updates: list[MemberUpdate] = []
        size = 0
        for name in names:
            update = table.members[name].to_update()
            size += update_size(update) + 1
            if size > MAX_DATAGRAM_BYTES - HEADER_RESERVE_BYTES:
                break
            updates.append(update)
            self._pending_updates.record_transmission(name, max_transmissions)
        return updates
