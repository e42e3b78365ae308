"""What updates of other members change here.

The higher incarnation of a member counts, and among equals the worse state. What others call dead is no more
than their word against it: it is accused here, or told so, and may refute.
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

MAX_NOTICES = 64  # members that are told after one datagram that others hold them for dead


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
        """Change `table`, and let the other parts react."""
        self._table = table
        self._detector = detector
        self._gossip = gossip
        self._anti_entropy = anti_entropy
        self._health = health
        self._outbox = outbox
        self._notices_left = 0  # that may still be sent after this datagram

    def merge(self, now: float, updates: tuple[MemberUpdate, ...], *, is_full_state: bool) -> None:
        """Apply the updates of one datagram in their order.

        Args:
            now: The present time in seconds.
            updates: What the sender knows.
            is_full_state: Whether they are part of a full state exchange. In one, a member that is held dead
                by the sender is only told so.
        """
        self._notices_left = MAX_NOTICES
        for update in updates:
            self.apply(now, update, is_full_state=is_full_state)

    def apply(self, now: float, update: MemberUpdate, *, is_full_state: bool) -> None:
        """Apply one update."""
        if update.name == self._table.me.name:
            self.refute(update)
            return
        member = self._table.members.get(update.name)
        if member is None:
            self._add(now, update)
        elif update.incarnation > member.incarnation:
            self._renew(now, member, update)
        elif update.incarnation == member.incarnation:
            self._worsen(now, member, update, is_full_state=is_full_state)

    def refute(self, update: MemberUpdate) -> None:
        """Answer what others say of this member, where it is not so, with a higher incarnation.

        Others hold it for suspect or dead, another process has its name, or the process before it had a
        higher incarnation. Its accusers get the answer first.
        """
        me = self._table.me
        if update.incarnation < me.incarnation:
            if update.state in (SUSPECT, DEAD):  # the sender has not received the answer to it
                self._table.rumours.put(me.name)
            return
        if update.state == ALIVE and update.address == me.address and update.incarnation == me.incarnation:
            return
        if update.state == ALIVE and update.address != me.address:
            self._table.counts["clashes"] += 1
        elif update.state in (SUSPECT, DEAD):
            self._health.record_failure()
        self._table.counts["refuted"] += 1
        self._table.start_incarnation(update.incarnation + 1)
        members = self._table.members
        accusers = [name for name in update.accusers if name in members and name != me.name]
        others = [member.name for member in self._table.draw_others(INDIRECT_PROBES)]
        for name in dict.fromkeys((*accusers, *others)):
            self._gossip.send(members[name].address, StateUpdate())

    def notify_of_death(self, member: Member) -> None:
        """Tell a member that others hold it dead, so that it can refute."""
        if self._notices_left == 0:
            return
        self._notices_left -= 1
        self._table.counts["notices"] += 1
        update = MemberUpdate(member.name, member.address, member.incarnation, DEAD, member.metadata)
        self._outbox.add(member.address, StateUpdate(), (update,))

    def _add(self, now: float, update: MemberUpdate) -> None:
        if update.state not in PRESENT_STATES or not self._table.has_space():
            return
        member = self._table.add(now, update)
        self._anti_entropy.expect_more_new_members(now)
        self._table.set_state(now, member, ALIVE)
        if update.state == SUSPECT:
            self._detector.accuse(now, member, update.accusers)

    def _renew(self, now: float, member: Member, update: MemberUpdate) -> None:
        """Take a newer incarnation of a member, or what became of it."""
        self._table.replace(member, update)
        if update.state == LEFT:
            self._table.set_state(now, member, LEFT)
        elif member.state != ALIVE:
            self._table.set_state(now, member, ALIVE)
            self._gossip.has_urgent_news = True
        else:
            self._table.rumours.put(member.name)
        if update.state in (SUSPECT, DEAD):
            self._detector.accuse(now, member, update.accusers)

    def _worsen(self, now: float, member: Member, update: MemberUpdate, *, is_full_state: bool) -> None:
        """Take a worse state of the same incarnation."""
        if update.state == LEFT and member.state != LEFT:
            self._table.set_state(now, member, LEFT)
        elif update.state in (SUSPECT, DEAD) and member.is_present():
            if is_full_state and update.state == DEAD:
                self.notify_of_death(member)
            else:
                self._detector.accuse(now, member, update.accusers)
