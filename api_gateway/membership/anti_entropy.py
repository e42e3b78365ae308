"""Full state exchange: now and then two members tell each other all that they know.

This brings in what rumours missed, joins new members, and lets the sides of a network split find each other
again however long it lasted: addresses of lost members and seeds are tried for ever.
"""

from __future__ import annotations

import random
from functools import partial

from api_gateway.membership.gossip import Gossip
from api_gateway.membership.member_table import MemberTable
from api_gateway.membership.messages import (
    HEADER_RESERVE_BYTES,
    MAX_DATAGRAM_BYTES,
    Address,
    MemberUpdate,
    StateUpdate,
    SyncRequest,
    update_size,
)
from api_gateway.membership.outbox import Outbox
from api_gateway.membership.timers import TimerQueue

EXCHANGE_INTERVAL_S = 30.0  # s between two exchanges that this member begins
EXCHANGE_INTERVAL_PER_MEMBER_S = (
    0.5  # s of them for each member, where that is more: the cost of a member does not grow
)
BUSY_EXCHANGE_INTERVAL_S = (
    3.0  # s between two while members are new, or there is more news than rumours carry
)
EXCHANGE_JITTER = (0.75, 1.25)  # factors between which the interval is drawn
JOIN_EXCHANGE_JITTER = (0.5, 1.5)  # factors of the interval after a new member
SLICE_MEMBERS = 200  # of which an exchange tells at once
SLICE_INTERVAL_S = 0.05  # between two such slices
RECONNECT_INTERVAL_S = 5.0  # between tries of one member to reach lost members, longer in larger clusters
RECONNECT_CLUSTER_INTERVAL_S = 1.0  # between such tries of all members of a cluster together
RECONNECT_JITTER = (0.5, 1.5)  # factors between which that interval is drawn


class AntiEntropy:
    """Begins and answers full state exchanges.

    Attributes:
        seeds: Addresses that a cluster is joined through; the caller may replace them.
        next_exchange_at: When the next exchange begins, in seconds; the first one is the join.
    """

    def __init__(
        self,
        table: MemberTable,
        gossip: Gossip,
        outbox: Outbox,
        timers: TimerQueue,
        rng: random.Random,
        seeds: list[Address],
        now: float,
    ) -> None:
        """Join at once, and draw when lost members are tried first."""
        self._table = table
        self._gossip = gossip
        self._outbox = outbox
        self._timers = timers
        self._rng = rng
        self.seeds = seeds
        self.next_exchange_at = now
        self._next_reconnect_at = now + rng.uniform(0, RECONNECT_INTERVAL_S)

    def next_due_at(self) -> float:
        """Return when an exchange or a try to reconnect is due, in seconds."""
        return min(self.next_exchange_at, self._next_reconnect_at)

    def begin_exchange_by(self, latest: float) -> None:
        """Begin the next exchange at that time, unless it begins earlier."""
        self.next_exchange_at = min(self.next_exchange_at, latest)

    def expect_more_new_members(self, now: float) -> None:
        """Begin an exchange soon after a new member: there may be more that are new."""
        self.begin_exchange_by(now + BUSY_EXCHANGE_INTERVAL_S * self._rng.uniform(*JOIN_EXCHANGE_JITTER))

    def tick(self, now: float) -> None:
        """Begin what is due."""
        if now >= self.next_exchange_at:
            interval = max(EXCHANGE_INTERVAL_S, EXCHANGE_INTERVAL_PER_MEMBER_S * self._table.size())
            if self._gossip.has_backlog():
                interval = BUSY_EXCHANGE_INTERVAL_S
            self.next_exchange_at = now + interval * self._rng.uniform(*EXCHANGE_JITTER)
            self.exchange(now)
        if now >= self._next_reconnect_at:
            interval = max(RECONNECT_INTERVAL_S, RECONNECT_CLUSTER_INTERVAL_S * self._table.size())
            self._next_reconnect_at = now + interval * self._rng.uniform(*RECONNECT_JITTER)
            self._reconnect(now)

    def exchange(self, now: float) -> None:
        """Exchange all that is known with one member; with the seeds as long as nobody is there."""
        targets = [member.address for member in self._table.draw_others(1)[:1]]
        my_address = self._table.me.address
        for address in targets or [seed for seed in self.seeds if seed != my_address]:
            self._begin(address, now)

    def answer(self, to: Address, now: float) -> None:
        """Send all that is known to a member that began an exchange."""
        self._send_slice(to, list(self._table.members), now)

    def _reconnect(self, now: float) -> None:
        """Try one address of a lost member, or a seed that is no present member: it may have been cut off."""
        known = {member.address for member in self._table.present_members()} if self.seeds else set()
        lost = self._table.lost_addresses
        candidates = [*lost, *(seed for seed in self.seeds if seed not in known and seed not in lost)]
        if candidates:
            self._begin(self._rng.choice(candidates), now)

    def _begin(self, to: Address, now: float) -> None:
        self._send_slice(to, list(self._table.members), now, SyncRequest())

    def _send_slice(
        self,
        to: Address,
        names: list[str],
        now: float,
        message: SyncRequest | StateUpdate | None = None,
    ) -> None:
        """Send what is known of the first names, in as many datagrams as it takes; the others follow later.

        Only the first datagram carries `message`; the others expect no answer.
        """
        if len(names) > SLICE_MEMBERS:
            self._timers.schedule(now, SLICE_INTERVAL_S, partial(self._send_slice, to, names[SLICE_MEMBERS:]))
        next_message = message or StateUpdate()
        members = self._table.members
        updates: list[MemberUpdate] = []
        size = 0
        for name in names[:SLICE_MEMBERS]:
            if name not in members:
                continue
            update = members[name].to_update()
            length = update_size(update)
            if updates and size + length > MAX_DATAGRAM_BYTES - HEADER_RESERVE_BYTES:
                self._outbox.add(to, next_message, updates, is_full_state=True)
                updates = []
                size = 0
                next_message = StateUpdate()
            updates.append(update)
            size += length + 1
        self._outbox.add(to, next_message, updates, is_full_state=True)
