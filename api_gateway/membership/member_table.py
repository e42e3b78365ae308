"""The known members of the cluster with their states and incarnations, and the addresses of lost members.

Every state change goes through `MemberTable.set_state`. Members that died or left are remembered for a while,
so that old updates do not bring them back.
"""

from __future__ import annotations

import random
from collections import Counter, OrderedDict
from collections.abc import Iterable, KeysView
from dataclasses import dataclass, field
from functools import partial

from api_gateway.membership.messages import (
    ALIVE,
    DEAD,
    LEFT,
    PRESENT_STATES,
    SUSPECT,
    Address,
    MemberState,
    MemberUpdate,
)
from api_gateway.membership.timers import TimerQueue
from api_gateway.membership.update_queue import UpdateQueue

MAX_MEMBERS = 2000  # known members; further members that join are ignored
MAX_LOST_ADDRESSES = 64  # remembered addresses of members that died
FORGET_AFTER_S = 300.0  # after which a member that died or left is forgotten
FORGET_TOLERANCE_S = 1e-6  # timers may appear to fire this early because times are rounded


@dataclass(slots=True)
class Member:
    """The local record of one member.

    Attributes:
        name: Unique in the cluster.
        address: Address of the member.
        incarnation: The highest known version number that it gave to its own state.
        state: Its state as seen by the local member.
        state_since: When it entered that state, in seconds of the caller's clock.
        metadata: Key-value pairs that it publishes about itself.
        accusers: Names of the members whose own probes it did not answer.
        is_reached_indirectly: Whether its last ack came only through another member.
    """

    name: str
    address: Address
    incarnation: int
    state: MemberState
    state_since: float
    metadata: dict[str, str] = field(default_factory=dict)
    accusers: list[str] = field(default_factory=list)
    is_reached_indirectly: bool = False

    def is_present(self) -> bool:
        """Return whether the member counts as present. Suspects do."""
        return self.state in PRESENT_STATES

    def to_update(self) -> MemberUpdate:
        """Return the update that other members receive about it."""
        return MemberUpdate(
            self.name,
            self.address,
            self.incarnation,
            self.state,
            self.metadata,
            tuple(self.accusers),
        )


class NameSet:
    """A set of names with random sampling that does not iterate over all names."""

    def __init__(self) -> None:
        """Start empty."""
        self._names: list[str] = []
        self._index_by_name: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of names."""
        return len(self._names)

    def __contains__(self, name: str) -> bool:
        """Return whether a name is in the set."""
        return name in self._index_by_name

    def names(self) -> KeysView[str]:
        """Return a view of the names."""
        return self._index_by_name.keys()

    def in_index_order(self) -> list[str]:
        """Return a copy of the names in the order in which random draws index them."""
        return list(self._names)

    def add(self, name: str) -> None:
        """Add a name if it is not in the set."""
        if name not in self._index_by_name:
            self._index_by_name[name] = len(self._names)
            self._names.append(name)

    def discard(self, name: str) -> None:
        """Remove a name if it is in the set. The last name takes its index."""
        index = self._index_by_name.pop(name, None)
        if index is None:
            return
        last = self._names.pop()
        if last != name:
            self._names[index] = last
            self._index_by_name[last] = index

    def draw(self, rng: random.Random, count: int, excluded: tuple[str, ...]) -> list[str]:
        """Draw names at random.

        Args:
            rng: Source of randomness, used only if there are more names than requested.
            count: Maximum number of names.
            excluded: Names that must not be drawn.

        Returns:
            Distinct names; all eligible names if there are no more than requested.
        """
        if len(self._names) <= count + len(excluded):
            return [name for name in self._names if name not in excluded]
        drawn = dict[str, None]()
        while len(drawn) < count:
            name = self._names[rng.randrange(len(self._names))]
            if name not in excluded:
                drawn[name] = None
        return list(drawn)


class MemberTable:
    """The known members, including the local one.

    Attributes:
        local_member: The member that this process is.
        members: All known members by name, including dead ones and those that left.
        present: Names of the members that are alive or suspect.
        lost_addresses: Addresses of members that died, most recent last.
        version: Increases with each change of a state or an address.
        counts: Event counts for operators, shared by all components of one member.
        pending_updates: Members whose updates are still to be disseminated; every change is queued.
    """

    def __init__(
        self,
        local_member: Member,
        rng: random.Random,
        timers: TimerQueue,
        pending_updates: UpdateQueue,
        counts: Counter[str],
    ) -> None:
        """Start with only the local member, and queue its update."""
        self.local_member = local_member
        self.members: dict[str, Member] = {local_member.name: local_member}
        self.present = NameSet()
        self.present.add(local_member.name)
        self.lost_addresses: OrderedDict[Address, None] = OrderedDict()
        self.version = 0
        self.counts = counts
        self.pending_updates = pending_updates
        self.pending_updates.enqueue(local_member.name)
        self._rng = rng
        self._timers = timers

    def size(self) -> int:
        """Return the number of present members, including the local one."""
        return len(self.present)

    def has_capacity(self) -> bool:
        """Return whether another member can be added."""
        return len(self.members) < MAX_MEMBERS

    def present_members(self) -> list[Member]:
        """Return the members that are alive or suspect."""
        return [self.members[name] for name in self.present.in_index_order()]

    def draw_others(self, count: int, excluded: Iterable[str] = ()) -> list[Member]:
        """Draw at most `count` present members at random, except the local one and those in `excluded`."""
        names = self.present.draw(self._rng, count, (self.local_member.name, *excluded))
        return [self.members[name] for name in names]

    def add(self, now: float, update: MemberUpdate) -> Member:
        """Add a new member as alive and return it."""
        member = Member(update.name, update.address, update.incarnation, ALIVE, now, update.metadata)
        self.members[update.name] = member
        return member

    def apply_incarnation(self, member: Member, update: MemberUpdate) -> None:
        """Adopt the address, incarnation and metadata of a newer incarnation."""
        if update.address != member.address:
            self.version += 1
        member.incarnation = update.incarnation
        member.address = update.address
        member.metadata = update.metadata

    def set_state(self, now: float, member: Member, state: MemberState) -> None:
        """Change the state of a member and queue its update for dissemination."""
        previous_state = member.state
        member.state = state
        member.state_since = now
        self.version += 1
        if state != SUSPECT:
            member.accusers = []
        if member.is_present():
            self.present.add(member.name)
            self.lost_addresses.pop(member.address, None)
        else:
            self.present.discard(member.name)
            self._timers.schedule(now, FORGET_AFTER_S, partial(self._forget, member.name, member.incarnation))
        if state == DEAD:
            self.counts["died"] += 1
            self._remember_lost(member.address)
        if state == ALIVE and previous_state == SUSPECT:
            self.counts["cleared"] += 1
        self.pending_updates.enqueue(member.name)

    def start_incarnation(self, incarnation: int) -> None:
        """Give the local member a new incarnation, so that its state replaces what others know about it."""
        self.local_member.incarnation = incarnation
        self.pending_updates.enqueue(self.local_member.name)

    def _remember_lost(self, address: Address) -> None:
        self.lost_addresses[address] = None
        self.lost_addresses.move_to_end(address)
        if len(self.lost_addresses) > MAX_LOST_ADDRESSES:
            self.lost_addresses.popitem(last=False)

    def _forget(self, name: str, incarnation: int, now: float) -> None:
        member = self.members.get(name)
        if member is None or member.state not in (DEAD, LEFT) or member.incarnation != incarnation:
            return
        if now - member.state_since >= FORGET_AFTER_S - FORGET_TOLERANCE_S:
            del self.members[name]
            self.pending_updates.discard(name)
