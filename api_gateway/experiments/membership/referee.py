"""What must hold of a cluster at every step, whatever befell it. It knows who lives and who reaches whom; of
the members it reads only what any caller could: states, incarnations and what they send."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from typing import Protocol

from api_gateway.membership.messages import DEAD, Address
from api_gateway.membership.swim import Swim

HEALTHY = 25.0  # s for which a member was reached by a majority both ways, after which none may hold it dead
MOST_BYTES = 1200  # of one datagram
SPAN = 5.0  # s over which datagrams of one member are counted
MOST_SENT = 40.0  # of them a second and member, unasked: it may look at eight suspects at once through others
MOST_EACH = 4  # of them for each that came
ROWS = 8  # members at least that one datagram of an exchange of all that is known holds


class Truth(Protocol):
    now: float
    members: dict[Address, Swim]

    def reaches(self, name: str) -> int:
        """How many others that live reach it both ways now; 0 while it sleeps."""


class Referee:
    """`breaches` has a line for each kind of thing that must not be, at its first; `counts` all of them."""

    def __init__(self, truth: Truth) -> None:
        self.truth = truth
        self.breaches: list[str] = []
        self.counts: Counter[str] = Counter()
        self.incarnations: dict[Swim, int] = {}
        self.healthy_since: dict[str, float] = {}
        self.sent: dict[str, deque[float]] = {}
        self.came: dict[str, deque[float]] = {}
        self.asked: dict[str, deque[float]] = {}  # for all that is known
        self.false: set[tuple[str, str]] = set()  # who held whom dead that lived and was reached

    def breach(self, kind: str, text: str) -> None:
        if not self.counts[kind]:
            self.breaches.append(f"{self.truth.now:.2f} s: {kind}: {text}")
        self.counts[kind] += 1

    # What changes

    def reached(self, names: Iterable[str]) -> None:
        """The faults have changed: who lives, and is reached by a majority both ways from now on."""
        now, most, living = self.truth.now, len(self.truth.members), list(names)
        for name in self.healthy_since.keys() - living:
            del self.healthy_since[name]
        for name in living:
            if 2 * self.truth.reaches(name) < most - 1 or most < 3:
                self.healthy_since.pop(name, None)
            else:
                self.healthy_since.setdefault(name, now)

    def stepped(self, member: Swim, died: bool) -> None:
        """After each input of a member."""
        told = member.local_member.incarnation
        if told < self.incarnations.get(member, 0):
            self.breach("incarnation", f"{member.name} went back to {told}")
        self.incarnations[member] = told
        if died:
            for known in member.members.values():
                if known.state == DEAD and self.well(known.name):
                    self.false.add((member.name, known.name))
                    self.majority(known.name)

    def well(self, name: str) -> bool:
        since = self.healthy_since.get(name)
        return since is not None and self.truth.now - since >= HEALTHY

    def majority(self, name: str) -> None:
        """Of the others that are well themselves."""
        others = [m for m in self.truth.members.values() if m.name != name and self.well(m.name)]
        held = sum(m.members[name].state == DEAD for m in others if name in m.members)
        if 2 * held > len(others):
            self.breach("majority", f"{held} of {len(others)} hold {name} dead, which lives and is reached")

    def sends(self, member: Swim, sizes: list[int]) -> None:
        for size in sizes:
            if size > MOST_BYTES:
                self.breach("size", f"{member.name} sent {size} bytes")
        sent = self.count(self.sent, member, len(sizes))
        whole = len(member.members) / ROWS + 1
        most = (
            MOST_SENT * SPAN
            + MOST_EACH * (self.count(self.came, member, 0) + whole)
            + whole * self.count(self.asked, member, 0)
        )
        if sent > most:
            self.breach("number", f"{member.name} sent {sent} datagrams in {SPAN:g} s; {most:.0f} are due")

    def count(self, seen: dict[str, deque[float]], member: Swim, more: int) -> int:
        times, now = seen.setdefault(member.name, deque()), self.truth.now
        times.extend([now] * more)
        while times and times[0] < now - SPAN:
            times.popleft()
        return len(times)

    def gets(self, member: Swim, data: bytes) -> None:
        self.count(self.came, member, 1)
        self.count(self.asked, member, b'"k":"sync"' in data)
