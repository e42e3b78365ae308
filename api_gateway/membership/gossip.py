"""Dissemination: news of members goes along with probes and acks, each piece for a bounded number of times.

What cannot wait for the next probe (a suspect, enough accusers, a refutation) is pushed to some members.
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

MAX_UPDATES_PER_DATAGRAM = 16  # pieces of news that one datagram carries
RETRANSMIT_FACTOR = 3  # times log2 of the cluster: how often one piece of news is passed on
PUSH_TARGETS = 2  # members that get urgent news at once
PUSH_INTERVAL_S = 0.1  # between two pushes: what is news by then goes together
PUSH_TOLERANCE_S = 1e-9  # by which a push may seem early because times are rounded


class Gossip:
    """Sends messages with the news that was passed on least, and pushes urgent news.

    Attributes:
        has_urgent_news: Whether there is news that cannot wait for the next probe.
    """

    def __init__(self, table: MemberTable, outbox: Outbox) -> None:
        """Pass on the rumours of `table` through `outbox`."""
        self._table = table
        self._rumours = table.rumours
        self._outbox = outbox
        self.has_urgent_news = False
        self._pushed_at = -math.inf

    def has_backlog(self) -> bool:
        """Tell whether there is more news than rumours can carry soon."""
        return len(self._rumours) > 2 * MAX_UPDATES_PER_DATAGRAM

    def next_push_at(self) -> float:
        """Return when urgent news may be pushed, in seconds; infinity where there is none."""
        return self._pushed_at + PUSH_INTERVAL_S if self.has_urgent_news else math.inf

    def push_urgent_news(self, now: float) -> None:
        """Send urgent news to some members, unless the last push was just now."""
        if not self.has_urgent_news or now - self._pushed_at < PUSH_INTERVAL_S - PUSH_TOLERANCE_S:
            return
        self.has_urgent_news = False
        self._pushed_at = now
        for member in self._table.draw_others(PUSH_TARGETS):
            self.send(member.address, StateUpdate())

    def send(self, to: Address, message: Message, recipient: Member | None = None) -> None:
        """Send a message with news.

        Args:
            to: Where it goes.
            message: What is said or asked.
            recipient: The member that gets it, where that is known; if it is held for suspect or dead that
                comes first, so that it can refute.
        """
        self._outbox.add(to, message, self._select_updates(recipient))

    def _select_updates(self, recipient: Member | None) -> list[MemberUpdate]:
        table = self._table
        max_transmissions = RETRANSMIT_FACTOR * max(1, math.ceil(math.log2(max(2, table.size()))))
        names = self._rumours.least_transmitted(MAX_UPDATES_PER_DATAGRAM)
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
            self._rumours.record_transmission(name, max_transmissions)
        return updates
