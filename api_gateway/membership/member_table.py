"""The members that are known: their states and incarnations, who of them is present, and who was lost.

Every change of a state passes through `MemberTable.set_state`. A dead member, or one that left, is remembered
for a while, so that old rumours do not bring it back.
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
from api_gateway.membership.rumour_queue import RumourQueue
from api_gateway.membership.timers import TimerQueue

MAX_MEMBERS = 2000  # that are known; a member that joins past that is not taken
MAX_LOST_ADDRESSES = 64  # that are remembered of members that died
FORGET_AFTER_S = 300.0  # for which a dead member, or one that left, is remembered
FORGET_TOLERANCE_S = 1e-6  # by which a timer may seem early because times are rounded


@dataclass(slots=True)
class Member:
    """What is known of one member.

    Attributes:
        name: Unique in the cluster.
        address: Where it is reached.
        incarnation: The highest number that it gave to its own state, as far as is known.
        state: What it is held for here.
        state_since: When it got that state, in seconds of the caller's clock.
        metadata: What it publishes of itself.
        accusers: Members whose own probes it did not answer.
        is_reached_indirectly: Whether the last ack of it came through another member only.
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
        """Tell whether it takes part, as far as is known: a suspect does."""
        return self.state in PRESENT_STATES

    def to_update(self) -> MemberUpdate:
        """Return what is passed on of it."""
        return MemberUpdate(
            self.name,
            self.address,
            self.incarnation,
            self.state,
            self.metadata,
            tuple(self.accusers),
        )


class NameSet:
    """Names from which some can be drawn at random without a pass over all."""

    def __init__(self) -> None:
        """Start empty."""
        self._names: list[str] = []
        self._index_by_name: dict[str, int] = {}

    def __len__(self) -> int:
        """Return how many names there are."""
        return len(self._names)

    def __contains__(self, name: str) -> bool:
        """Tell whether a name is in the set."""
        return name in self._index_by_name

    def names(self) -> KeysView[str]:
        """Return a view of the names."""
        return self._index_by_name.keys()

    def in_drawing_order(self) -> list[str]:
        """Return a copy of the names in the order that random draws index."""
        return list(self._names)

    def add(self, name: str) -> None:
        """Add a name, unless it is there."""
        if name not in self._index_by_name:
            self._index_by_name[name] = len(self._names)
            self._names.append(name)

    def discard(self, name: str) -> None:
        """Remove a name, if it is there; the last name takes its place in the order."""
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
            rng: Is drawn from only where there are more names than are wanted.
            count: How many at the most.
            excluded: Names that are not drawn.

        Returns:
            Different names, all that there are where they are no more than wanted.
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
    """The members that are known, this one among them.

    Attributes:
        me: This member.
        members: All that are known, by name.
        present: Names of those that are alive or suspect.
        lost_addresses: Where members were that died, the latest last.
        version: Grows with each change of a state or an address.
        counts: Counts for operators, by event; shared by all parts of one member.
        rumours: What is to be passed on; each change is added.
    """

    def __init__(
        self,
        me: Member,
        rng: random.Random,
        timers: TimerQueue,
        rumours: RumourQueue,
        counts: Counter[str],
    ) -> None:
        """Start with this member only, as news."""
        self.me = me
        self.members: dict[str, Member] = {me.name: me}
        self.present = NameSet()
        self.present.add(me.name)
        self.lost_addresses: OrderedDict[Address, None] = OrderedDict()
        self.version = 0
        self.counts = counts
        self.rumours = rumours
        self.rumours.put(me.name)
        self._rng = rng
        self._timers = timers

    def size(self) -> int:
        """Return how many members are present, this one among them."""
        return len(self.present)

    def has_space(self) -> bool:
        """Tell whether one more member can be taken."""
        return len(self.members) < MAX_MEMBERS

    def present_members(self) -> list[Member]:
        """Return those that are alive or suspect."""
        return [self.members[name] for name in self.present.in_drawing_order()]

    def draw_others(self, count: int, excluded: Iterable[str] = ()) -> list[Member]:
        """Draw at most `count` present members at random, without this one and those of `excluded`."""
        names = self.present.draw(self._rng, count, (self.me.name, *excluded))
        return [self.members[name] for name in names]

    def add(self, now: float, update: MemberUpdate) -> Member:
        """Take a new member, as alive, and return it."""
        member = Member(update.name, update.address, update.incarnation, ALIVE, now, update.metadata)
        self.members[update.name] = member
        return member

    def replace(self, member: Member, update: MemberUpdate) -> None:
        """Take over address, incarnation and metadata of a newer incarnation."""
        if update.address != member.address:
            self.version += 1
        member.incarnation = update.incarnation
        member.address = update.address
        member.metadata = update.metadata

    def set_state(self, now: float, member: Member, state: MemberState) -> None:
        """Change the state of a member and make that news."""
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
        self.rumours.put(member.name)

    def start_incarnation(self, incarnation: int) -> None:
        """Give the state of this member a new number, so that it replaces what others know of it."""
        self.me.incarnation = incarnation
        self.rumours.put(self.me.name)

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
            self.rumours.discard(name)
