"""SWIM: which processes of a cluster are present. No I/O, no clock, no globals: inputs in, datagrams out.

Each member probes one other a period; without an ack it asks others to probe for it, and without any it
accuses the member, which is then suspect and may refute. Rumours travel on probes and acks; now and then two
members exchange all that they know. The result is a hint: a member that is slow or cut off cannot be told
from one that died.
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
from api_gateway.membership.outbox import Outbox, Send
from api_gateway.membership.rumour_queue import RumourQueue
from api_gateway.membership.state_merge import StateMerger
from api_gateway.membership.timers import TimerQueue

LONELY_EXCHANGE_PERIODS = (1.0, 3.0)  # probe periods between which the next try to join is drawn


class Swim:
    """One member of a cluster: wires the parts, and hands inputs to them.

    Attributes:
        cluster: Name of the cluster; datagrams of others are rejected.
        name: This member's name, unique in the cluster.
        address: Where others reach it.
        rng: The source of all random draws.
        counts: Counts for operators, by event.
        table: The members that are known.
        health: How far this member may trust its own findings.
        detector: Probes and suspicion.
        anti_entropy: Full state exchanges.
        is_leaving: Whether it has left; nothing is answered any more.
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
        """Start as a member that knows nobody yet; the first tick joins through the seeds.

        Args:
            cluster: Name of the cluster.
            name: Name of this member, unique in it.
            address: Where others reach it.
            incarnation: The number of its state; must be higher than that of the process before it.
            seeds: Addresses to join through.
            rng: The source of all random draws.
            now: The present time in seconds of any steady clock.
            metadata: What it publishes of itself.
        """
        self.cluster = cluster
        self.name = name
        self.address = address
        self.rng = rng
        self.counts: Counter[str] = Counter(sent=0, foreign=0, refuted=0, clashes=0)
        self.is_leaving = False
        self._now = now  # of the input that is worked on
        self._timers = TimerQueue()
        self._outbox = Outbox(cluster, name, address, self.counts)
        me = Member(name, address, incarnation, ALIVE, now, metadata or {})
        self.table = MemberTable(me, rng, self._timers, RumourQueue(), self.counts)
        self.health = LocalHealth(now)
        self._gossip = Gossip(self.table, self._outbox)
        self.detector = FailureDetector(self.table, self._gossip, self.health, self._timers, rng, now)
        self.anti_entropy = AntiEntropy(self.table, self._gossip, self._outbox, self._timers, rng, seeds, now)
        self._merger = StateMerger(
            self.table, self.detector, self._gossip, self.anti_entropy, self.health, self._outbox
        )

    # What is known

    @property
    def me(self) -> Member:
        """This member, as it publishes itself."""
        return self.table.me

    @property
    def members(self) -> dict[str, Member]:
        """All members that are known, dead ones too, by name."""
        return self.table.members

    @property
    def version(self) -> int:
        """Number of the view; it grows with each change of a state or an address."""
        return self.table.version

    @property
    def pending_rumours(self) -> RumourQueue:
        """Members of whom news is still passed on."""
        return self.table.rumours

    def view(self) -> dict[str, MemberState]:
        """Return the states of the members that are present, by name."""
        return {member.name: member.state for member in self.table.present_members()}

    def size(self) -> int:
        """Return how many members are present, this one among them."""
        return self.table.size()

    # Inputs

    def next_due_at(self) -> float:
        """Return when `tick` is to be called next, in seconds."""
        return min(
            self.detector.next_probe_at,
            self.anti_entropy.next_due_at(),
            self._timers.next_due_at(),
            self._gossip.next_push_at(),
        )

    def tick(self, now: float) -> list[Send]:
        """Do what is due at `now`, in seconds, and return the datagrams to send."""
        self._now = now
        self._check_for_pause(now)
        self.health.check_isolation(now, self.size())
        self._timers.run_due(now)
        if now >= self.detector.next_probe_at and not self.detector.probe_next(now):
            delay_s = PROBE_INTERVAL_S * self.rng.uniform(*LONELY_EXCHANGE_PERIODS)
            self.anti_entropy.begin_exchange_by(now + delay_s)
        self.anti_entropy.tick(now)
        return self.drain_sends()

    def receive(self, now: float, source: Address, data: bytes) -> list[Send]:
        """Handle a datagram and return the datagrams to send.

        What is truncated, of another cluster or malformed is counted and has no effect.

        Args:
            now: The present time in seconds.
            source: Where it came from; answered only where the datagram names no address of its sender:
                behind a translation of addresses nobody is reached there.
            data: Its bytes.
        """
        try:
            datagram = decode_datagram(self.cluster, source, data)
        except DatagramError:
            self.counts["foreign"] += 1
            return []
        if self.is_leaving:
            return []
        self._now = now
        self._check_for_pause(now)
        if datagram.sender != self.name:
            self.health.last_datagram_at = now
        self._merger.merge(now, datagram.updates, is_full_state=datagram.is_full_state)
        self._answer(now, datagram)
        return self.drain_sends()

    def set_metadata(self, metadata: dict[str, str]) -> None:
        """Publish something else of this member, as a new incarnation of it."""
        self.me.metadata = metadata
        self.table.start_incarnation(self.me.incarnation + 1)

    def leave(self, now: float) -> list[Send]:
        """Leave the cluster on purpose; the datagrams to send say so to some, others learn it by rumour."""
        self.is_leaving = True
        self._now = now
        self.me.state = LEFT
        self.me.state_since = now
        self.table.start_incarnation(self.me.incarnation + 1)
        for member in self.table.draw_others(2 * INDIRECT_PROBES):
            self._gossip.send(member.address, StateUpdate(), member)
        return self.drain_sends()

    def drain_sends(self) -> list[Send]:
        """Return what is to be sent by now, urgent news included; the caller owns the list."""
        self._gossip.push_urgent_news(self._now)
        return self._outbox.drain()

    def _check_for_pause(self, now: float) -> None:
        """Notice a pause of this process before anything that waited meanwhile is handled."""
        if self.detector.has_been_paused(now):
            self.detector.recover_from_pause(now)
            self.anti_entropy.next_exchange_at = now

    def _answer(self, now: float, datagram: Datagram) -> None:
        message = datagram.message
        to = datagram.sender_address
        # A probe of another name is meant for the process that had this address before.
        if isinstance(message, Ping) and message.target in (None, self.name):
            self._gossip.send(to, Ack(message.sequence), self.members.get(datagram.sender))
        elif isinstance(message, Ack):
            self.detector.on_ack(message.sequence, datagram.sender)
        elif isinstance(message, PingRequest):
            member = self.members.get(message.target)
            if member is not None:
                self.detector.probe(now, member, ProbeRequester(to, message.sequence))
        elif isinstance(message, SyncRequest):
            self.anti_entropy.answer(to, now)
