"""The SWIM membership protocol as a state machine without I/O, clock or globals.

Each member probes one other member per period. Without an ack it requests indirect probes from others, and
without any ack it suspects the member, which may refute. Updates are piggybacked on probes and acks, and
members periodically exchange their full state. The result is only a hint, because a slow or partitioned
member cannot be distinguished from a dead one.
"""

from __future__ import annotations

import random
from collections import Counter

from api_gateway.membership.anti_entropy import AntiEntropy
from api_gateway.membership.errors import DatagramError
from api_gateway.membership.failure_detector import (
    INDIRECT_PROBES,
    PROBE_INTERVAL_S,
    FailureDetector,
    ProbeRequester,
)
from api_gateway.membership.gossip import Gossip
from api_gateway.membership.local_health import LocalHealth
from api_gateway.membership.member_table import Member, MemberTable
from api_gateway.membership.messages import (
    ALIVE,
    LEFT,
    Ack,
    Address,
    Datagram,
    MemberState,
    Ping,
    PingRequest,
    StateUpdate,
    SyncRequest,
    decode_datagram,
)
from api_gateway.membership.outbox import Outbox, OutgoingDatagram
from api_gateway.membership.state_merge import StateMerger
from api_gateway.membership.timers import TimerQueue
from api_gateway.membership.update_queue import UpdateQueue

REJOIN_DELAY_PERIODS = (1.0, 3.0)  # range, in probe periods, of the delay until the next attempt to join


class Swim:
    """One member of a cluster: connects the components and passes inputs to them.

    Attributes:
        cluster: Name of the cluster. Datagrams of other clusters are rejected.
        name: Name of the local member, unique in the cluster.
        address: Address that other members send to.
        rng: Source of all randomness.
        counts: Event counts for operators.
        table: The known members.
        health: The local health, which reflects how reliable this member's own observations are.
        detector: The failure detector, with probes and suspicion.
        anti_entropy: The full state exchanges.
        has_left: Whether the member has left the cluster. It no longer responds if so.
    """

    def __init__(
        self,
        cluster: str,
        name: str,
        address: Address,
        incarnation: int,
        seeds: list[Address],
        rng: random.Random,
        now: float,
        metadata: dict[str, str] | None = None,
    ) -> None:
        """Start without knowing any other member. The first tick joins through the seeds.

        Args:
            cluster: Name of the cluster.
            name: Name of the local member, unique in the cluster.
            address: Address that other members send to.
            incarnation: First incarnation; must be higher than that of the previous process.
            seeds: Addresses to join through.
            rng: Source of all randomness.
            now: The current time in seconds of any monotonic clock.
            metadata: Key-value pairs that the member publishes about itself.
        """
        self.cluster = cluster
        self.name = name
        self.address = address
        self.rng = rng
        self.counts: Counter[str] = Counter(sent=0, foreign=0, refuted=0, clashes=0)
        self.has_left = False
        self._now = now  # time of the current input
        self._timers = TimerQueue()
        self._outbox = Outbox(cluster, name, address, self.counts)
        local_member = Member(name, address, incarnation, ALIVE, now, metadata or {})
        self.table = MemberTable(local_member, rng, self._timers, UpdateQueue(), self.counts)
        self.health = LocalHealth(now)
        self._gossip = Gossip(self.table, self._outbox)
        self.detector = FailureDetector(self.table, self._gossip, self.health, self._timers, rng, now)
        self.anti_entropy = AntiEntropy(self.table, self._gossip, self._outbox, self._timers, rng, seeds, now)
        self._merger = StateMerger(
            self.table, self.detector, self._gossip, self.anti_entropy, self.health, self._outbox
        )

    # State

    @property
    def local_member(self) -> Member:
        """The local member, as published to others."""
        return self.table.local_member

    @property
    def members(self) -> dict[str, Member]:
        """All known members by name, including dead ones."""
        return self.table.members

    @property
    def version(self) -> int:
        """Version of the membership, which increases with each change of a state or an address."""
        return self.table.version

    @property
    def pending_updates(self) -> UpdateQueue:
        """Members whose updates are still being disseminated."""
        return self.table.pending_updates

    def view(self) -> dict[str, MemberState]:
        """Return the states of the present members by name."""
        return {member.name: member.state for member in self.table.present_members()}

    def size(self) -> int:
        """Return the number of present members, including the local one."""
        return self.table.size()

    # Inputs

    def next_due_at(self) -> float:
        """Return when `tick` must be called next, in seconds."""
        return min(
            self.detector.next_probe_at,
            self.anti_entropy.next_due_at(),
            self._timers.next_due_at(),
            self._gossip.next_push_at(),
        )

    def tick(self, now: float) -> list[OutgoingDatagram]:
        """Run everything that is due at `now`, in seconds, and return the datagrams to send."""
        self._now = now
        self._recover_if_paused(now)
        self.health.check_isolation(now, self.size())
        self._timers.run_due(now)
        if now >= self.detector.next_probe_at and not self.detector.probe_next(now):
            delay_s = PROBE_INTERVAL_S * self.rng.uniform(*REJOIN_DELAY_PERIODS)
            self.anti_entropy.schedule_exchange(now + delay_s)
        self.anti_entropy.tick(now)
        return self.drain_outbox()

    def receive(self, now: float, source: Address, data: bytes) -> list[OutgoingDatagram]:
        """Handle a received datagram and return the datagrams to send.

        Datagrams that are truncated, malformed or from another cluster are counted and otherwise ignored.

        Args:
            now: The current time in seconds.
            source: Source address. Replies go there only if the datagram names no sender address, because the
                sender cannot be reached at its source address behind network address translation.
            data: The bytes of the datagram.
        """
        try:
            datagram = decode_datagram(self.cluster, source, data)
        except DatagramError:
            self.counts["foreign"] += 1
            return []
        if self.has_left:
            return []
        self._now = now
        self._recover_if_paused(now)
        if datagram.sender != self.name:
            self.health.last_datagram_at = now
        self._merger.merge(now, datagram.updates, is_full_state=datagram.is_full_state)
        self._handle_message(now, datagram)
        return self.drain_outbox()

    def set_metadata(self, metadata: dict[str, str]) -> None:
        """Publish new metadata of the local member as a new incarnation."""
        self.local_member.metadata = metadata
        self.table.start_incarnation(self.local_member.incarnation + 1)

    def leave(self, now: float) -> list[OutgoingDatagram]:
        """Leave the cluster and return the datagrams that notify some members. Gossip informs the others."""
        self.has_left = True
        self._now = now
        self.local_member.state = LEFT
        self.local_member.state_since = now
        self.table.start_incarnation(self.local_member.incarnation + 1)
        for member in self.table.draw_others(2 * INDIRECT_PROBES):
            self._gossip.send(member.address, StateUpdate(), member)
        return self.drain_outbox()

    def drain_outbox(self) -> list[OutgoingDatagram]:
        """Return the pending datagrams, including pushes of urgent updates. The caller owns the list."""
        self._gossip.push_urgent_updates(self._now)
        return self._outbox.drain()

    def _recover_if_paused(self, now: float) -> None:
        """Detect a pause of this process before any input that queued up meanwhile is handled."""
        if self.detector.has_been_paused(now):
            self.detector.recover_from_pause(now)
            self.anti_entropy.next_exchange_at = now

    def _handle_message(self, now: float, datagram: Datagram) -> None:
        message = datagram.message
        to = datagram.sender_address
        # A probe with another target is meant for the process that used this address before.
        if isinstance(message, Ping) and message.target in (None, self.name):
            self._gossip.send(to, Ack(message.sequence), self.members.get(datagram.sender))
        elif isinstance(message, Ack):
            self.detector.on_ack(message.sequence, datagram.sender)
        elif isinstance(message, PingRequest):
            member = self.members.get(message.target)
            if member is not None:
                self.detector.probe(now, member, ProbeRequester(to, message.sequence))
        elif isinstance(message, SyncRequest):
            self.anti_entropy.respond(to, now)
