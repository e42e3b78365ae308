"""Merges updates from other members into the member table.

The higher incarnation of a member takes precedence, and within one incarnation the worse state does. A
report that a member is dead is not trusted by itself. The member becomes suspect here, or is notified, so
that it can refute.
"""

from __future__ import annotations

from api_gateway.membership.anti_entropy import AntiEntropy
from api_gateway.membership.failure_detector import INDIRECT_PROBES, FailureDetector
from api_gateway.membership.gossip import Gossip
from api_gateway.membership.local_health import LocalHealth
from api_gateway.membership.member_table import Member, MemberTable
from api_gateway.membership.messages import (
    ALIVE,
    DEAD,
    LEFT,
    PRESENT_STATES,
    SUSPECT,
    MemberUpdate,
    StateUpdate,
)
from api_gateway.membership.outbox import Outbox

MAX_NOTICES = 64  # members notified because of one datagram that others consider them dead


class StateMerger:
    """Applies the updates of datagrams to the member table."""

    def __init__(
        self,
        table: MemberTable,
        detector: FailureDetector,
        gossip: Gossip,
        anti_entropy: AntiEntropy,
        health: LocalHealth,
        outbox: Outbox,
    ) -> None:
        """Merge updates into `table`, and trigger the reactions of the other components."""
        self._table = table
        self._detector = detector
        self._gossip = gossip
        self._anti_entropy = anti_entropy
        self._health = health
        self._outbox = outbox
        self._notices_left = 0  # may still be sent because of the current datagram

    def merge(self, now: float, updates: tuple[MemberUpdate, ...], *, is_full_state: bool) -> None:
        """Apply the updates of one datagram in order.

        Args:
            now: The current time in seconds.
            updates: Membership updates from the sender.
            is_full_state: Whether the updates are part of a full state exchange. If so, a member that the
                sender considers dead is only notified.
        """
        self._notices_left = MAX_NOTICES
        for update in updates:
            self.apply(now, update, is_full_state=is_full_state)

    def apply(self, now: float, update: MemberUpdate, *, is_full_state: bool) -> None:
        """Apply one update."""
        if update.name == self._table.local_member.name:
            self.refute(update)
            return
        member = self._table.members.get(update.name)
        if member is None:
            self._add_member(now, update)
        elif update.incarnation > member.incarnation:
            self._apply_newer_incarnation(now, member, update)
        elif update.incarnation == member.incarnation:
            self._apply_same_incarnation(now, member, update, is_full_state=is_full_state)

    def refute(self, update: MemberUpdate) -> None:
        """Refute a wrong update about the local member with a higher incarnation.

        An update is wrong if others consider the member suspect or dead, if another process uses its name, or
        if the previous process had a higher incarnation. The accusers receive the refutation first.
        """
        local_member = self._table.local_member
        if update.incarnation < local_member.incarnation:
            if update.state in (SUSPECT, DEAD):  # the sender has not received the refutation yet
                self._table.pending_updates.enqueue(local_member.name)
            return
        if (
            update.state == ALIVE
            and update.address == local_member.address
            and update.incarnation == local_member.incarnation
        ):
            return
        if update.state == ALIVE and update.address != local_member.address:
            self._table.counts["clashes"] += 1
        elif update.state in (SUSPECT, DEAD):
            self._health.record_failure()
        self._table.counts["refuted"] += 1
        self._table.start_incarnation(update.incarnation + 1)
        members = self._table.members
        accusers = [name for name in update.accusers if name in members and name != local_member.name]
        others = [member.name for member in self._table.draw_others(INDIRECT_PROBES)]
        for name in dict.fromkeys((*accusers, *others)):
            self._gossip.send(members[name].address, StateUpdate())

    def notify_of_death(self, member: Member) -> None:
        """Notify a member that others consider it dead, so that it can refute."""
        if self._notices_left == 0:
            return
        self._notices_left -= 1
        self._table.counts["notices"] += 1
        update = MemberUpdate(member.name, member.address, member.incarnation, DEAD, member.metadata)
        self._outbox.add(member.address, StateUpdate(), (update,))

    def _add_member(self, now: float, update: MemberUpdate) -> None:
        if update.state not in PRESENT_STATES or not self._table.has_capacity():
            return
        member = self._table.add(now, update)
        self._anti_entropy.schedule_exchange_after_join(now)
        self._table.set_state(now, member, ALIVE)
        if update.state == SUSPECT:
            self._detector.suspect(now, member, update.accusers)

    def _apply_newer_incarnation(self, now: float, member: Member, update: MemberUpdate) -> None:
        """Adopt a newer incarnation of a member, with the state that it is reported in."""
        self._table.apply_incarnation(member, update)
        if update.state == LEFT:
            self._table.set_state(now, member, LEFT)
        elif member.state != ALIVE:
            self._table.set_state(now, member, ALIVE)
            self._gossip.has_urgent_updates = True
        else:
            self._table.pending_updates.enqueue(member.name)
        if update.state in (SUSPECT, DEAD):
            self._detector.suspect(now, member, update.accusers)

    def _apply_same_incarnation(
        self, now: float, member: Member, update: MemberUpdate, *, is_full_state: bool
    ) -> None:
        """Apply a worse state of the same incarnation."""
        if update.state == LEFT and member.state != LEFT:
            self._table.set_state(now, member, LEFT)
        elif update.state in (SUSPECT, DEAD) and member.is_present():
            if is_full_state and update.state == DEAD:
                self.notify_of_death(member)
            else:
                self._detector.suspect(now, member, update.accusers)
