"""Anti-entropy: periodic exchanges of the full state between two members.

An exchange repairs what gossip missed and lets new members join. It also lets the sides of a network
partition find each other again, however long it lasted, because lost members and seeds are retried forever.
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

EXCHANGE_INTERVAL_S = 30.0  # between two exchanges that one member starts
# Times the cluster size, if longer, so that the load on each member does not grow with the cluster.
EXCHANGE_INTERVAL_PER_MEMBER_S = 0.5
# Between two exchanges while members are joining or more updates are pending than gossip carries.
BUSY_EXCHANGE_INTERVAL_S = 3.0
EXCHANGE_JITTER = (0.75, 1.25)  # range of the random factor of the exchange interval
JOIN_EXCHANGE_JITTER = (0.5, 1.5)  # the same after a member joined
MEMBERS_PER_SLICE = 200  # members whose state an exchange sends at once
SLICE_INTERVAL_S = 0.05  # between two slices of one exchange
RECONNECT_INTERVAL_S = 5.0  # between attempts of one member to reach lost members
# Times the cluster size, if longer, so that the cluster makes one attempt per interval in total.
RECONNECT_CLUSTER_INTERVAL_S = 1.0
RECONNECT_JITTER = (0.5, 1.5)  # range of the random factor of the reconnect interval


class AntiEntropy:
    """Starts full state exchanges and responds to those of other members.

    Attributes:
        seeds: Addresses through which the member joins the cluster; the caller may replace them.
        next_exchange_at: When the next exchange starts, in seconds. The first exchange is the join.
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
        """Schedule the join immediately, and the first reconnect attempt at a random time."""
        self._table = table
        self._gossip = gossip
        self._outbox = outbox
        self._timers = timers
        self._rng = rng
        self.seeds = seeds
        self.next_exchange_at = now
        self._next_reconnect_at = now + rng.uniform(0, RECONNECT_INTERVAL_S)

    def next_due_at(self) -> float:
        """Return when the next exchange or reconnect attempt is due, in seconds."""
        return min(self.next_exchange_at, self._next_reconnect_at)

    def schedule_exchange(self, latest: float) -> None:
        """Start the next exchange at `latest`, unless it is scheduled earlier."""
        self.next_exchange_at = min(self.next_exchange_at, latest)

    def schedule_exchange_after_join(self, now: float) -> None:
        """Schedule an exchange soon after a member joined, because more members may be joining."""
        self.schedule_exchange(now + BUSY_EXCHANGE_INTERVAL_S * self._rng.uniform(*JOIN_EXCHANGE_JITTER))

    def tick(self, now: float) -> None:
        """Start the exchange and the reconnect attempt if they are due."""
        if now >= self.next_exchange_at:
            interval = max(EXCHANGE_INTERVAL_S, EXCHANGE_INTERVAL_PER_MEMBER_S * self._table.size())
            if self._gossip.has_backlog():
                interval = BUSY_EXCHANGE_INTERVAL_S
            self.next_exchange_at = now + interval * self._rng.uniform(*EXCHANGE_JITTER)
            self.begin_exchange(now)
        if now >= self._next_reconnect_at:
            interval = max(RECONNECT_INTERVAL_S, RECONNECT_CLUSTER_INTERVAL_S * self._table.size())
            self._next_reconnect_at = now + interval * self._rng.uniform(*RECONNECT_JITTER)
            self._reconnect(now)

    def begin_exchange(self, now: float) -> None:
        """Start an exchange with a random member, or with all seeds while no other member is present."""
        targets = [member.address for member in self._table.draw_others(1)[:1]]
        my_address = self._table.local_member.address
        for address in targets or [seed for seed in self.seeds if seed != my_address]:
            self._send_sync_request(address, now)

    def respond(self, to: Address, now: float) -> None:
        """Send the full state to a member that started an exchange."""
        self._send_slice(to, list(self._table.members), now)

    def _reconnect(self, now: float) -> None:
        """Start an exchange with a lost member or an absent seed, which may have been partitioned off."""
        known = {member.address for member in self._table.present_members()} if self.seeds else set()
        lost = self._table.lost_addresses
        candidates = [*lost, *(seed for seed in self.seeds if seed not in known and seed not in lost)]
        if candidates:
            self._send_sync_request(self._rng.choice(candidates), now)

    def _send_sync_request(self, to: Address, now: float) -> None:
        self._send_slice(to, list(self._table.members), now, SyncRequest())

    def _send_slice(
        self,
        to: Address,
        names: list[str],
        now: float,
        message: SyncRequest | StateUpdate | None = None,
    ) -> None:
        """Send the state of the first members in as many datagrams as needed, and schedule the rest.

        Only the first datagram carries `message`; the others need no reply.
        """
        if len(names) > MEMBERS_PER_SLICE:
            self._timers.schedule(
                now, SLICE_INTERVAL_S, partial(self._send_slice, to, names[MEMBERS_PER_SLICE:])
            )
        next_message = message or StateUpdate()
        members = self._table.members
        updates: list[MemberUpdate] = []
        size = 0
        for name in names[:MEMBERS_PER_SLICE]:
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
