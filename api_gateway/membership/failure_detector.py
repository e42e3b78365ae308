"""Failure detection by direct probes, indirect probes and suspicion.

A ping without an ack is repeated once, and then other members are requested to probe the target. If no ack
arrives at all, the target becomes suspect. A suspect refutes the suspicion with a higher incarnation. If it
does not, each member declares it dead independently after a timeout that is long with one accuser and short
with several (Lifeguard, Dadgar et al., DSN 2018).
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from functools import partial

from api_gateway.membership.gossip import Gossip
from api_gateway.membership.local_health import LocalHealth
from api_gateway.membership.member_table import Member, MemberTable
from api_gateway.membership.messages import (
    ALIVE,
    DEAD,
    MAX_ACCUSERS,
    SUSPECT,
    Ack,
    Address,
    Ping,
    PingRequest,
)
from api_gateway.membership.timers import TimerQueue

PROBE_INTERVAL_S = 0.8  # between the probes of two members
REPEAT_AFTER_S = 0.1  # without an ack, after which a ping is repeated
DIRECT_ACK_TIMEOUT_S = 0.2  # from the first ping; indirect probes are requested after it
INDIRECT_ACK_TIMEOUT_S = 0.3  # further time for an ack through another member
INDIRECT_PROBES = 3  # members that are requested to probe; up to three times as many under packet loss
MIN_SUSPICION_S = 1.0  # times max(1, log10 of the cluster size), with enough accusers
LONGEST_SUSPICION_RATIO = 6.0  # of the timeout with one accuser to the shortest one
SMALL_CLUSTER_SUSPICION_RATIO = 4.0  # the same if no other member could confirm the suspicion
REQUIRED_CONFIRMATIONS = 2  # accusers in addition to the first one for the shortest timeout
SUSPECT_PROBERS = 8  # expected members that probe a new suspect at once, whatever the cluster size
PAUSED_AFTER_PERIODS = 2  # a probe that is late by more periods shows that this process was paused
TIMER_TOLERANCE_S = 1e-9  # timers may appear to fire this early because times are rounded


class ProbeStage(IntEnum):
    """The stages of a probe that has received no ack."""

    SENT = 0
    REPEATED = 1
    INDIRECT = 2
    FAILED = 3


@dataclass(frozen=True, slots=True)
class ProbeRequester:
    """A member that requested an indirect probe.

    Attributes:
        address: Address that the ack is forwarded to.
        sequence: Sequence number of the requester's own probe.
    """

    address: Address
    sequence: int


@dataclass(slots=True)
class Probe:
    """A probe that is waiting for its ack.

    Attributes:
        sequence: Sequence number, which the ack repeats.
        target: Name of the probed member.
        deadline: When the current stage ends, in seconds.
        stage: Current stage.
        requester: The member that requested the probe, if any.
    """

    sequence: int
    target: str
    deadline: float
    stage: ProbeStage = ProbeStage.SENT
    requester: ProbeRequester | None = None


class FailureDetector:
    """Probes one member per period in random round-robin order, and decides which are suspect or dead.

    Attributes:
        next_probe_at: When the next member is probed, in seconds.
        probes: Probes that are waiting for an ack, by sequence number.
    """

    def __init__(
        self,
        table: MemberTable,
        gossip: Gossip,
        health: LocalHealth,
        timers: TimerQueue,
        rng: random.Random,
        now: float,
    ) -> None:
        """Draw the first sequence number and the time of the first probe."""
        self._table = table
        self._gossip = gossip
        self._health = health
        self._timers = timers
        self._rng = rng
        self._probe_order: list[str] = []  # names still to be probed in this round, last one first
        self._sequence = rng.getrandbits(31)
        self.probes: dict[int, Probe] = {}
        self.next_probe_at = now + rng.uniform(0, PROBE_INTERVAL_S)

    # Probes

    def probe_next(self, now: float) -> bool:
        """Probe the next member of the round, and return False if there is no other member to probe."""
        self.next_probe_at = now + PROBE_INTERVAL_S
        while self._probe_order or self._table.size() > 1:
            if not self._probe_order:
                self._shuffle_probe_order()
            member = self._table.members.get(self._probe_order.pop())
            if member is not None and member.is_present():
                self.probe(now, member)
                return True
        return False

    def probe(self, now: float, member: Member, requester: ProbeRequester | None = None) -> None:
        """Probe a member, on behalf of `requester` if another member requested it."""
        self._sequence += 1
        if requester is None:
            timeout_s = REPEAT_AFTER_S * self._health.ack_timeout_factor()
        else:
            timeout_s = INDIRECT_ACK_TIMEOUT_S
        probe = Probe(self._sequence, member.name, now + timeout_s, requester=requester)
        self.probes[probe.sequence] = probe
        self._wait_for_ack(now, probe, timeout_s)
        self._send_ping(probe, member)

    def on_ack(self, sequence: int, sender: str) -> None:
        """Handle an ack. It is ignored unless a probe is waiting for it.

        Before the indirect stage, only the probed member itself may acknowledge.
        """
        probe = self.probes.get(sequence)
        if probe is None or (probe.target != sender and probe.stage < ProbeStage.INDIRECT):
            return
        del self.probes[sequence]
        if probe.requester is not None:
            self._gossip.send(probe.requester.address, Ack(probe.requester.sequence))
            return
        self._health.record_success()
        if probe.stage < ProbeStage.INDIRECT:
            self._health.record_direct_probe(is_acked=True)
        member = self._table.members.get(probe.target)
        if member is not None:
            member.is_reached_indirectly = probe.target != sender

    def _shuffle_probe_order(self) -> None:
        my_name = self._table.local_member.name
        self._probe_order = [name for name in self._table.present.in_index_order() if name != my_name]
        self._rng.shuffle(self._probe_order)

    def _send_ping(self, probe: Probe, member: Member) -> None:
        self._gossip.send(member.address, Ping(probe.sequence, member.name), member)

    def _wait_for_ack(self, now: float, probe: Probe, timeout_s: float) -> None:
        probe.deadline = now + timeout_s
        self._timers.schedule(now, timeout_s, partial(self._on_probe_timeout, probe.sequence))

    def _on_probe_timeout(self, sequence: int, now: float) -> None:
        probe = self.probes.get(sequence)
        if probe is None or now < probe.deadline - TIMER_TOLERANCE_S:
            return
        member = self._table.members.get(probe.target)
        if probe.requester is not None or member is None or not member.is_present():
            del self.probes[sequence]
            return
        probe.stage = ProbeStage(probe.stage + 1)
        if probe.stage == ProbeStage.REPEATED:
            self._send_ping(probe, member)
            timeout_s = DIRECT_ACK_TIMEOUT_S - REPEAT_AFTER_S
            self._wait_for_ack(now, probe, timeout_s * self._health.ack_timeout_factor())
        elif probe.stage == ProbeStage.INDIRECT:
            self._health.record_direct_probe(is_acked=False)
            self._request_indirect_probes(probe)
            self._wait_for_ack(now, probe, INDIRECT_ACK_TIMEOUT_S * self._health.ack_timeout_factor())
        else:
            del self.probes[sequence]
            self._on_probe_failed(now, member)

    def _request_indirect_probes(self, probe: Probe) -> None:
        count = INDIRECT_PROBES + round(2 * INDIRECT_PROBES * self._health.probe_loss)
        for prober in self._table.draw_others(count, (probe.target,)):
            self._gossip.send(prober.address, PingRequest(probe.sequence, probe.target), prober)

    def _on_probe_failed(self, now: float, member: Member) -> None:
        self._table.counts["unreached"] += 1
        self._health.record_failure()
        if not self._health.is_isolated(now, self._table.size()):
            self.suspect(now, member, (self._table.local_member.name,))

    # Suspicion

    def suspect(self, now: float, member: Member, accusers: Iterable[str]) -> None:
        """Record accusers of a member. An alive member becomes suspect; each new accuser is disseminated."""
        new_accusers = [name for name in accusers if name not in member.accusers and name != member.name]
        previous_count = len(member.accusers)
        if member.state == ALIVE:
            self._begin_suspicion(now, member, new_accusers)
            previous_count = 0
        elif not new_accusers:
            return
        member.accusers = (member.accusers + new_accusers)[:MAX_ACCUSERS]
        self._table.pending_updates.enqueue(member.name)
        self._schedule_suspicion_end(now, member)
        if previous_count == 0 or previous_count <= REQUIRED_CONFIRMATIONS < len(member.accusers):
            self._gossip.has_urgent_updates = True

    def suspicion_duration(self, member: Member) -> float:
        """Return the time in seconds that a suspect has to refute.

        It shrinks with more accusers, and grows with packet loss or if the local member is unhealthy itself.
        """
        size = self._table.size()
        shortest = MIN_SUSPICION_S * max(1.0, math.log10(max(1, size)))
        required = min(REQUIRED_CONFIRMATIONS, size - 2)
        if required > 0:
            longest = LONGEST_SUSPICION_RATIO * shortest
            confirmations = max(0, len(member.accusers) - 1)
            fraction = min(1.0, math.log(confirmations + 1) / math.log(required + 1))
        else:
            longest = SMALL_CLUSTER_SUSPICION_RATIO * shortest
            fraction = 0.0
        return (longest - (longest - shortest) * fraction) * self._health.suspicion_factor()

    def _begin_suspicion(self, now: float, member: Member, accusers: list[str]) -> None:
        """Mark a member as suspect and maybe probe it at once, unless the local member is the accuser."""
        self._table.set_state(now, member, SUSPECT)
        self._table.counts["suspected"] += 1
        # Probes of an unhealthy member would only add to the packet loss.
        may_probe = self._health.is_healthy() and self._table.local_member.name not in accusers
        if may_probe and self._rng.random() * self._table.size() < SUSPECT_PROBERS:
            self.probe(now, member)

    def _schedule_suspicion_end(self, now: float, member: Member) -> None:
        remaining_s = member.state_since + self.suspicion_duration(member) - now
        self._timers.schedule(
            now, remaining_s, partial(self._check_suspicion, member.name, member.incarnation)
        )

    def _check_suspicion(self, name: str, incarnation: int, now: float) -> None:
        """Declare a suspect dead if its timeout has expired; otherwise check again later."""
        member = self._table.members.get(name)
        if member is None or member.state != SUSPECT or member.incarnation != incarnation:
            return
        remaining_s = member.state_since + self.suspicion_duration(member) - now
        if remaining_s > TIMER_TOLERANCE_S:
            self._schedule_suspicion_end(now, member)
            return
        accusers = member.accusers
        self._table.set_state(now, member, DEAD)
        member.accusers = accusers

    # Pauses of this process

    def has_been_paused(self, now: float) -> bool:
        """Return whether this process was paused for so long that its timeouts are meaningless."""
        return now > self.next_probe_at + PAUSED_AFTER_PERIODS * PROBE_INTERVAL_S

    def recover_from_pause(self, now: float) -> None:
        """Treat the local member as unhealthy after a pause, and extend suspicion timeouts by its length.

        Suspects could not refute during the pause, because this process received nothing.
        """
        paused_s = now - self.next_probe_at
        self.next_probe_at = now
        self.probes.clear()
        self._health.record_pause(now)
        for member in self._table.present_members():
            if member.state == SUSPECT:
                member.state_since = min(now, member.state_since + paused_s)
                self._schedule_suspicion_end(now, member)
