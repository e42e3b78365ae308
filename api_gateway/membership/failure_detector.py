"""Probes, probes through others, and suspicion: how a member finds out that another one is gone.

A probe without an ack is sent once more, then others are asked to probe; without any ack the member is
accused, and is then suspect. A suspect refutes with a higher incarnation. One that does not is held dead by
each member for itself, after a time that is long for one accuser and short for several (Lifeguard, Dadgar and
others, DSN 2018).
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

PROBE_INTERVAL_S = 0.8  # between two members that are probed
REPEAT_AFTER_S = 0.1  # without an ack, after which a probe is sent once more
DIRECT_ACK_TIMEOUT_S = 0.2  # from the first probe, after which others are asked to probe
INDIRECT_ACK_TIMEOUT_S = 0.3  # more for an ack through others
INDIRECT_PROBES = 3  # members that are asked, and as many more where much is lost
MIN_SUSPICION_S = 1.0  # times log10 of the cluster, one at least, that a suspect has with enough accusers
SUSPICION_SPREAD = 6.0  # times the shortest suspicion: how long it lasts with one accuser
SMALL_CLUSTER_SUSPICION_SPREAD = 4.0  # the same where nobody else is there who could accuse
CONFIRMATIONS = 2  # accusers beside the first one that are enough
SUSPECT_PROBERS = 8  # members that probe a suspect at once when they learn of it, in a cluster of any size
PAUSED_AFTER_PERIODS = 2  # by which a probe is late, after which this process must have been paused
TIMER_TOLERANCE_S = 1e-9  # by which a timer may seem early because times are rounded


class ProbeStage(IntEnum):
    """How far a probe without an ack has got."""

    SENT = 0
    REPEATED = 1
    INDIRECT = 2
    FAILED = 3


@dataclass(frozen=True, slots=True)
class ProbeRequester:
    """A member that asked for a probe.

    Attributes:
        address: Where its ack goes.
        sequence: The number of its own probe.
    """

    address: Address
    sequence: int


@dataclass(slots=True)
class Probe:
    """A probe that waits for its ack.

    Attributes:
        sequence: Its number, which the ack repeats.
        target: Name of the member that is probed.
        deadline: When its present stage ends, in seconds.
        stage: How far it has got.
        requester: For whom it was sent, where another member asked.
    """

    sequence: int
    target: str
    deadline: float
    stage: ProbeStage = ProbeStage.SENT
    requester: ProbeRequester | None = None


class FailureDetector:
    """Probes the members in a shuffled round, one a period, and decides who is suspect and who is dead.

    Attributes:
        next_probe_at: When the next member of the round is probed, in seconds.
        probes: Those that wait for an ack, by sequence number.
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
        """Draw the first sequence number and when the first probe is sent."""
        self._table = table
        self._gossip = gossip
        self._health = health
        self._timers = timers
        self._rng = rng
        self._round: list[str] = []  # who is still to be probed in this one
        self._sequence = rng.getrandbits(31)
        self.probes: dict[int, Probe] = {}
        self.next_probe_at = now + rng.uniform(0, PROBE_INTERVAL_S)

    # Probes

    def probe_next(self, now: float) -> bool:
        """Probe the next member of the round; return False where there is nobody to probe."""
        self.next_probe_at = now + PROBE_INTERVAL_S
        while self._round or self._table.size() > 1:
            if not self._round:
                self._start_round()
            member = self._table.members.get(self._round.pop())
            if member is not None and member.is_present():
                self.probe(now, member)
                return True
        return False

    def probe(self, now: float, member: Member, requester: ProbeRequester | None = None) -> None:
        """Send a probe to a member, on behalf of `requester` where another member asked."""
        self._sequence += 1
        if requester is None:
            timeout_s = REPEAT_AFTER_S * self._health.wait_factor()
        else:
            timeout_s = INDIRECT_ACK_TIMEOUT_S
        probe = Probe(self._sequence, member.name, now + timeout_s, requester=requester)
        self.probes[probe.sequence] = probe
        self._wait_for_ack(now, probe, timeout_s)
        self._send_ping(probe, member)

    def on_ack(self, sequence: int, sender: str) -> None:
        """Handle an ack; it is of use if a probe waits for it, and `sender` may answer in its stage."""
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

    def _start_round(self) -> None:
        my_name = self._table.me.name
        self._round = [name for name in self._table.present.in_drawing_order() if name != my_name]
        self._rng.shuffle(self._round)

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
            self._wait_for_ack(now, probe, timeout_s * self._health.wait_factor())
        elif probe.stage == ProbeStage.INDIRECT:
            self._health.record_direct_probe(is_acked=False)
            self._request_indirect_probes(probe)
            self._wait_for_ack(now, probe, INDIRECT_ACK_TIMEOUT_S * self._health.wait_factor())
        else:
            del self.probes[sequence]
            self._on_probe_failed(now, member)

    def _request_indirect_probes(self, probe: Probe) -> None:
        count = INDIRECT_PROBES + round(2 * INDIRECT_PROBES * self._health.probe_loss)
        for helper in self._table.draw_others(count, (probe.target,)):
            self._gossip.send(helper.address, PingRequest(probe.sequence, probe.target), helper)

    def _on_probe_failed(self, now: float, member: Member) -> None:
        self._table.counts["unreached"] += 1
        self._health.record_failure()
        if not self._health.is_isolated(now, self._table.size()):
            self.accuse(now, member, (self._table.me.name,))

    # Suspicion

    def accuse(self, now: float, member: Member, accusers: Iterable[str]) -> None:
        """Note who found a member silent: it is suspect from then on, and one more accuser is news."""
        fresh = [name for name in accusers if name not in member.accusers and name != member.name]
        known_accusers = len(member.accusers)
        if member.state == ALIVE:
            self._begin_suspicion(now, member, fresh)
            known_accusers = 0
        elif not fresh:
            return
        member.accusers = (member.accusers + fresh)[:MAX_ACCUSERS]
        self._table.rumours.put(member.name)
        self._schedule_suspicion_end(now, member)
        if known_accusers == 0 or known_accusers <= CONFIRMATIONS < len(member.accusers):
            self._gossip.has_urgent_news = True

    def suspicion_duration(self, member: Member) -> float:
        """Return the seconds that a suspect has to refute.

        They are fewer with more accusers, and more where much is lost or this member is not healthy itself.
        """
        size = self._table.size()
        shortest = MIN_SUSPICION_S * max(1.0, math.log10(max(1, size)))
        enough = min(CONFIRMATIONS, size - 2)
        if enough > 0:
            longest = SUSPICION_SPREAD * shortest
            confirmations = max(0, len(member.accusers) - 1)
            fraction = min(1.0, math.log(confirmations + 1) / math.log(enough + 1))
        else:
            longest = SMALL_CLUSTER_SUSPICION_SPREAD * shortest
            fraction = 0.0
        return (longest - (longest - shortest) * fraction) * self._health.suspicion_factor()

    def _begin_suspicion(self, now: float, member: Member, accusers: list[str]) -> None:
        """Hold a member for suspect, and perhaps probe it at once, unless its accuser is this one."""
        self._table.set_state(now, member, SUSPECT)
        self._table.counts["suspected"] += 1
        # An unhealthy member would only add to what is lost.
        may_probe = self._health.is_good() and self._table.me.name not in accusers
        if may_probe and self._rng.random() * self._table.size() < SUSPECT_PROBERS:
            self.probe(now, member)

    def _schedule_suspicion_end(self, now: float, member: Member) -> None:
        remaining_s = member.state_since + self.suspicion_duration(member) - now
        self._timers.schedule(
            now, remaining_s, partial(self._check_suspicion, member.name, member.incarnation)
        )

    def _check_suspicion(self, name: str, incarnation: int, now: float) -> None:
        """Hold a suspect for dead if its time is over; check again later where it is not."""
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
        """Tell whether this process did not run for so long that its own timers say nothing of others."""
        return now > self.next_probe_at + PAUSED_AFTER_PERIODS * PROBE_INTERVAL_S

    def recover_from_pause(self, now: float) -> None:
        """Doubt this member before the others after a pause.

        None of its suspects had the time to refute, since nothing was received, so they get the time back.
        """
        paused_s = now - self.next_probe_at
        self.next_probe_at = now
        self.probes.clear()
        self._health.record_pause(now)
        for member in self._table.present_members():
            if member.state == SUSPECT:
                member.state_since = min(now, member.state_since + paused_s)
                self._schedule_suspicion_end(now, member)
