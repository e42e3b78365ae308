"""A cluster in virtual time: datagrams that are lost, doubled, late and out of order, cuts by pair and
direction, pauses, slow members, deaths, new lives and clocks set back. The cores are the real ones."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from api_gateway.experiments.membership.referee import Referee
from api_gateway.membership.messages import DEAD, Address
from api_gateway.membership.outbox import OutgoingDatagram
from api_gateway.membership.swim import Swim

TRANSLATED = ("192.0.2.1", 9)  # where all datagrams seem to come from: nobody is reached there
DELAYS = (0.001, 0.002, 0.01, 0.05)  # s
DOUBLED = 0.02  # share of datagrams that come twice
TURN = 0.001  # s by which a member's timer may come late
SEEDS = 2  # members whose addresses each one starts with

Pairs = Iterable[tuple[str, str]]


def address_of(place: int) -> Address:
    return f"10.0.{place // 250}.{place % 250}", 7000


class Cluster:
    """`size` members m0, m1 ...; `loss`: share of datagrams that never come."""

    def __init__(self, size: int, seed: int, loss: float = 0.0, name: str = "c") -> None:
        self.rng, self.now, self.loss, self.name = random.Random(seed), 0.0, loss, name
        self.order = itertools.count()
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.members: dict[Address, Swim] = {}
        self.by_name: dict[str, Swim] = {}
        self.wakes: dict[Address, float] = {}  # when each one's next look at its timers is planned
        self.paused: dict[Address, list[bytes]] = {}
        self.slow: dict[Address, tuple[float, float]] = {}  # s between its turns; its last one
        self.cuts: set[tuple[str, str]] = set()  # (from, to) that do not get through
        self.told: Counter[str] = Counter()  # datagrams and bytes sent, and the largest
        self.referee = Referee(self)
        for place in range(size):
            self.start(f"m{place}", place, 1)

    # Time

    def at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (when, next(self.order), act))

    def run(self, seconds: float, check: Callable[[], Any] | None = None, every: float = 0.1) -> None:
        """`check` is called now and then."""
        end = self.now + seconds
        look = self.now + every if check else end
        while True:
            while self.queue and self.queue[0][0] <= look:
                self.now, _, act = heapq.heappop(self.queue)
                act()
            self.now = look
            if check:
                check()
            if look >= end:
                return
            look = min(end, look + every)

    def until(self, fits: Callable[[], bool], most: float, every: float = 0.1) -> float:
        """Seconds until it fits, looked at every so often. Raises AssertionError past `most`."""
        began = self.now
        while not fits():
            assert self.now - began < most, f"not within {most} s: {fits.__name__}"
            self.run(every)
        return self.now - began

    # Members

    def start(self, name: str, place: int, incarnation: int, seeds: list[Address] | None = None) -> Swim:
        address = address_of(place)
        known = [address_of(n) for n in range(SEEDS)] if seeds is None else seeds
        swim = Swim(
            self.name,
            name,
            address,
            incarnation,
            known,
            random.Random(self.rng.random()),
            self.now,
            {"kind": "gateway"},
        )
        self.members[address] = self.by_name[name] = swim
        self.wakes.pop(address, None)
        self.plan(swim)
        self.changed()
        return swim

    def named(self, name: str) -> Swim:
        return self.by_name[name]

    def names(self, start: int = 0, stop: int | None = None, step: int = 1) -> list[str]:
        return [member.name for member in list(self.members.values())[start:stop:step]]

    def kill(self, name: str) -> Swim:
        member = self.by_name.pop(name)
        if self.members.get(member.address) is member:
            del self.members[member.address]
        self.paused.pop(member.address, None)
        self.slow.pop(member.address, None)
        self.changed()
        return member

    def alive(self, member: Swim) -> bool:
        return self.members.get(member.address) is member

    def plan(self, member: Swim) -> None:
        """Its next look at its timers, if none is planned before."""
        due = max(self.now, member.next_due_at()) + self.rng.uniform(0, TURN)
        if due < self.wakes.get(member.address, float("inf")):
            self.wakes[member.address] = due
            self.at(due, lambda: self.wake(member, due))

    def wake(self, member: Swim, due: float) -> None:
        if not self.alive(member) or self.wakes.get(member.address) != due:
            return
        del self.wakes[member.address]
        if member.address in self.paused:
            return
        turn = self.turn(member)
        if turn > self.now:
            self.wakes[member.address] = turn
            self.at(turn, lambda: self.wake(member, turn))
            return
        if member.next_due_at() <= self.now:
            self.step(member, member.tick)
        self.plan(member)

    def turn(self, member: Swim) -> float:
        """When it gets to run: a slow one has a turn now and then, in which it does all that waits."""
        every, last = self.slow.get(member.address, (0.0, 0.0))
        if not every or self.now - last < TURN:
            return self.now
        if self.now - last >= every:
            self.slow[member.address] = every, self.now
            return self.now
        return last + every

    def step(self, member: Swim, act: Callable[[float], list[OutgoingDatagram]]) -> None:
        died = member.counts["died"]
        sends = act(self.now)
        self.referee.stepped(member, member.counts["died"] != died)
        self.dispatch(member, sends)

    def dispatch(self, sender: Swim, sends: list[OutgoingDatagram]) -> None:
        if sends:
            sizes = [len(send.data) for send in sends]
            self.referee.sends(sender, sizes)
            self.told.update(sent=len(sizes), bytes=sum(sizes))
            self.told["largest"] = max(self.told["largest"], *sizes)
        for send in sends:
            to = self.members.get(send.to)
            if to is None or (sender.name, to.name) in self.cuts:
                continue
            for _ in range(1 + (self.rng.random() < DOUBLED)):
                if self.rng.random() >= self.loss:
                    self.carry(send, self.now + self.rng.choice(DELAYS))

    def carry(self, send: OutgoingDatagram, due: float) -> None:
        self.at(due, lambda: self.arrive(send.to, send.data))

    def arrive(self, to: Address, data: bytes) -> None:
        member = self.members.get(to)
        if member is None:
            return
        if to in self.paused:
            self.paused[to].append(data)
            return
        turn = self.turn(member)
        if turn > self.now:
            self.at(turn, lambda: self.arrive(to, data))
            return
        self.referee.gets(member, data)
        self.step(member, lambda now: member.receive(now, TRANSLATED, data))
        self.plan(member)

    # Faults

    def changed(self) -> None:
        self.referee.reached([member.name for member in self.members.values()])

    def reaches(self, name: str) -> int:
        if self.by_name[name].address in self.paused or self.by_name[name].address in self.slow:
            return 0
        return sum(
            1
            for other in self.members.values()
            if other.name != name
            and other.address not in self.paused
            and (name, other.name) not in self.cuts
            and (other.name, name) not in self.cuts
        )

    def pause(self, *names: str) -> None:
        for name in names:
            self.paused.setdefault(self.by_name[name].address, [])
        self.changed()

    def resume(self, *names: str) -> None:
        """What came meanwhile is there at once."""
        for name in names:
            member = self.by_name[name]
            for data in self.paused.pop(member.address, []):
                self.arrive(member.address, data)
            self.wakes.pop(member.address, None)
            self.plan(member)
        self.changed()

    def slows(self, name: str, every: float) -> None:
        """It runs once each so many seconds; 0: freely again."""
        address = self.by_name[name].address
        if every:
            self.slow[address] = every, self.now
        else:
            self.slow.pop(address, None)
        self.changed()

    def cut(self, pairs: Pairs) -> None:
        self.cuts |= set(pairs)
        self.changed()

    def split(self, *sides: Sequence[str]) -> None:
        self.cut((a, b) for one, other in itertools.permutations(sides, 2) for a in one for b in other)

    def heal(self) -> None:
        self.cuts.clear()
        self.changed()

    # What is seen

    def agreed(self) -> bool:
        names = self.by_name.keys()
        return all(m.table.present.names() == names for m in self.members.values())

    def settle(self, most: float) -> float:
        return self.until(self.agreed, most, 0.5)

    def dead(self) -> set[tuple[str, str]]:
        """Pairs (who, of whom) in which a member that lives is held dead."""
        return {
            (m.name, o.name)
            for m in self.members.values()
            for o in m.members.values()
            if o.state == DEAD and o.name in self.by_name
        }

    def known_dead(self, name: str) -> bool:
        return not any(name in m.table.present for m in self.members.values())


# Storms

FAULTS = (
    "kill",
    "kill",
    "clock back",
    "other name",
    "pause",
    "pause third",
    "resume",
    "resume",
    "deaf",
    "mute",
    "pair",
    "ring",
    "split",
    "three",
    "heal",
    "heal",
    "loss",
    "slow",
    "freely",
    "leave",
)


class Storm:
    """Faults that are drawn, one at a time, on a cluster; then all end."""

    def __init__(self, cluster: Cluster, seed: int, loss: float = 0.3) -> None:
        self.cluster, self.rng, self.loss = cluster, random.Random(f"storm {seed}"), loss
        self.places = {m.name: n for n, m in enumerate(cluster.members.values())}
        self.lives = itertools.count(2)
        self.gone: list[Swim] = []

    def strike(self) -> str:
        c, rng = self.cluster, self.rng
        act = rng.choice(FAULTS)
        name = rng.choice(sorted(c.by_name))
        others = [other for other in sorted(c.by_name) if other != name]
        rng.shuffle(others)
        if act in ("kill", "clock back", "other name", "leave"):
            self.replace(name, act)
        elif act == "pause":
            c.pause(name)
        elif act == "pause third":
            c.pause(*others[::3])
        elif act == "resume":
            self.wake_all()
        elif act == "deaf":
            c.cut((other, name) for other in others)
        elif act == "mute":
            c.cut((name, other) for other in others)
        elif act == "pair":
            c.cut({(name, others[0]), (others[0], name)})
        elif act == "ring":
            c.cut(zip(others, others[1:] + others[:1], strict=True))
        elif act in ("split", "three"):
            parts = 2 if act == "split" else 3
            c.split(*(others[n::parts] for n in range(parts)))
        elif act == "heal":
            c.heal()
        elif act == "loss":
            c.loss = rng.choice((0.0, 0.1, self.loss))
        elif act == "slow":
            c.slows(name, rng.choice((0.3, 1.0, 4.0)))
        else:
            for member in list(c.members.values()):
                c.slows(member.name, 0.0)
        return act

    def replace(self, name: str, act: str) -> None:
        """Its process ends, and after a while another one has its address."""
        c, place = self.cluster, self.places[name]
        member = c.by_name[name]
        if act == "leave" and member.address not in c.paused:
            c.dispatch(member, member.leave(c.now))
        c.kill(name)
        new = f"n{next(self.lives)}" if act == "other name" else name
        life = (
            max(0, member.local_member.incarnation - 1)
            if act == "clock back"
            else member.local_member.incarnation + 1
        )
        self.places[new] = place

        def start() -> None:
            if address_of(place) not in c.members:
                c.start(new, place, life)

        c.at(c.now + self.rng.uniform(0.1, 8.0), start)

    def wake_all(self) -> None:
        c = self.cluster
        c.resume(*[m.name for m in c.members.values() if m.address in c.paused])

    def calm(self) -> None:
        c = self.cluster
        c.loss = 0.0
        c.heal()
        self.wake_all()
        for name in list(c.by_name):
            c.slows(name, 0.0)


def play(seed: int, size: int = 12, faults: int = 25, lasting: float = 4.0, within: float = 90.0) -> Cluster:
    """A run with so many faults, and then one view within a bound. Breaches stand at its referee."""
    cluster = Cluster(size, seed)
    cluster.settle(40)
    storm = Storm(cluster, seed)
    for _ in range(faults):
        storm.strike()
        cluster.run(storm.rng.expovariate(1 / lasting))
        if cluster.referee.breaches:
            return cluster
    storm.calm()
    cluster.run(9.0)  # the last that were replaced have started
    try:
        cluster.settle(within)
    except AssertionError:
        cluster.referee.breach("no one view", f"{within:g} s after the last fault")
    return cluster
