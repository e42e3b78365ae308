"""A simulated membership cluster in virtual time, which runs the real SWIM cores.

The faults are datagrams that are lost, duplicated, delayed and reordered, links cut by pair and direction,
pauses, slow members, deaths, restarts and clocks set back.
"""

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

TRANSLATED_SOURCE = ("192.0.2.1", 9)  # Source of all datagrams, as behind NAT; no member is reachable there
DELAYS_S = (0.001, 0.002, 0.01, 0.05)
DUPLICATE_FRACTION = 0.02  # Fraction of datagrams that are delivered twice
MAX_TIMER_DELAY_S = 0.001  # Largest delay of a member's timer
SEED_COUNT = 2  # Members whose addresses each member starts with

NamePairs = Iterable[tuple[str, str]]


def address_of(address_index: int) -> Address:
    """Return the address of the member at an index of the address space."""
    return f"10.0.{address_index // 250}.{address_index % 250}", 7000


class Cluster:
    """Simulated members and the network between them.

    Args:
        size: The number of members at the start, which are named m0, m1 and so on.
        seed: The seed of all random draws.
        loss: The fraction of datagrams that are lost.
        name: The name of the cluster in its datagrams.
    """

    def __init__(self, size: int, seed: int, loss: float = 0.0, name: str = "c") -> None:
        self.rng, self.now, self.loss, self.name = random.Random(seed), 0.0, loss, name
        self.event_ids = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.members: dict[Address, Swim] = {}
        self.by_name: dict[str, Swim] = {}
        self.wake_times: dict[Address, float] = {}  # when each member next checks its timers
        self.paused: dict[Address, list[bytes]] = {}
        # Seconds between the turns of each slow member, and the time of its last turn
        self.slow_members: dict[Address, tuple[float, float]] = {}
        self.cut_links: set[tuple[str, str]] = set()  # (from, to): datagrams are dropped
        self.traffic: Counter[str] = Counter()  # datagrams and bytes sent, and the largest size
        self.referee = Referee(self)
        for address_index in range(size):
            self.start(f"m{address_index}", address_index, 1)

    # Time

    def schedule_at(self, when: float, action: Callable[[], None]) -> None:
        """Run an action at a point of virtual time."""
        heapq.heappush(self.events, (when, next(self.event_ids), action))

    def run(self, seconds: float, check: Callable[[], Any] | None = None, interval_s: float = 0.1) -> None:
        """Advance the virtual time and call `check`, if there is one, at each interval and at the end."""
        end = self.now + seconds
        next_check = self.now + interval_s if check else end
        while True:
            while self.events and self.events[0][0] <= next_check:
                self.now, _, action = heapq.heappop(self.events)
                action()
            self.now = next_check
            if check:
                check()
            if next_check >= end:
                return
            next_check = min(end, next_check + interval_s)

    def run_until(self, is_reached: Callable[[], bool], limit_s: float, interval_s: float = 0.1) -> float:
        """Advance the virtual time until a condition holds, and return the seconds that this took.

        Raises:
            AssertionError: If the condition does not hold within the limit.
        """
        started_at = self.now
        while not is_reached():
            assert self.now - started_at < limit_s, f"not within {limit_s} s: {is_reached.__name__}"
            self.run(interval_s)
        return self.now - started_at

    # Members

    def start(
        self, name: str, address_index: int, incarnation: int, seeds: list[Address] | None = None
    ) -> Swim:
        """Start a member at an index of the address space, with the first members as seeds by default."""
        address = address_of(address_index)
        seed_addresses = [address_of(n) for n in range(SEED_COUNT)] if seeds is None else seeds
        swim = Swim(
            self.name,
            name,
            address,
            incarnation,
            seed_addresses,
            random.Random(self.rng.random()),
            self.now,
            {"kind": "gateway"},
        )
        self.members[address] = self.by_name[name] = swim
        self.wake_times.pop(address, None)
        self.plan_wake(swim)
        self.notify_referee()
        return swim

    def named(self, name: str) -> Swim:
        """Return the live member of this name."""
        return self.by_name[name]

    def names(self, start: int = 0, stop: int | None = None, step: int = 1) -> list[str]:
        """Return the names of a slice of the live members, in the order of their start."""
        return [member.name for member in list(self.members.values())[start:stop:step]]

    def kill(self, name: str) -> Swim:
        """End a member abruptly, without a leave message, and return it."""
        member = self.by_name.pop(name)
        if self.members.get(member.address) is member:
            del self.members[member.address]
        self.paused.pop(member.address, None)
        self.slow_members.pop(member.address, None)
        self.notify_referee()
        return member

    def is_alive(self, member: Swim) -> bool:
        """Return whether this instance still runs at its address."""
        return self.members.get(member.address) is member

    def plan_wake(self, member: Swim) -> None:
        """Schedule the next check of the timers of a member, unless an earlier one is scheduled."""
        due = max(self.now, member.next_due_at()) + self.rng.uniform(0, MAX_TIMER_DELAY_S)
        if due < self.wake_times.get(member.address, float("inf")):
            self.wake_times[member.address] = due
            self.schedule_at(due, lambda: self.wake(member, due))

    def wake(self, member: Swim, due: float) -> None:
        """Let a member check its timers, unless it has ended, is paused or was rescheduled."""
        if not self.is_alive(member) or self.wake_times.get(member.address) != due:
            return
        del self.wake_times[member.address]
        if member.address in self.paused:
            return
        next_turn = self.next_turn(member)
        if next_turn > self.now:
            self.wake_times[member.address] = next_turn
            self.schedule_at(next_turn, lambda: self.wake(member, next_turn))
            return
        if member.next_due_at() <= self.now:
            self.step(member, member.tick)
        self.plan_wake(member)

    def next_turn(self, member: Swim) -> float:
        """Return when a member may run: a slow one handles all that waits in turns at an interval."""
        interval_s, last_turn = self.slow_members.get(member.address, (0.0, 0.0))
        if not interval_s or self.now - last_turn < MAX_TIMER_DELAY_S:
            return self.now
        if self.now - last_turn >= interval_s:
            self.slow_members[member.address] = interval_s, self.now
            return self.now
        return last_turn + interval_s

    def step(self, member: Swim, action: Callable[[float], list[OutgoingDatagram]]) -> None:
        """Run one input of a member, let the referee check it and send the resulting datagrams."""
        deaths_before = member.counts["died"]
        datagrams = action(self.now)
        self.referee.on_step(member, member.counts["died"] != deaths_before)
        self.dispatch(member, datagrams)

    def dispatch(self, sender: Swim, datagrams: list[OutgoingDatagram]) -> None:
        """Send datagrams through the faulty network."""
        if datagrams:
            sizes = [len(datagram.data) for datagram in datagrams]
            self.referee.on_sent(sender, sizes)
            self.traffic.update(sent=len(sizes), bytes=sum(sizes))
            self.traffic["largest"] = max(self.traffic["largest"], *sizes)
        for datagram in datagrams:
            receiver = self.members.get(datagram.to)
            if receiver is None or (sender.name, receiver.name) in self.cut_links:
                continue
            for _ in range(1 + (self.rng.random() < DUPLICATE_FRACTION)):
                if self.rng.random() >= self.loss:
                    self.schedule_delivery(datagram, self.now + self.rng.choice(DELAYS_S))

    def schedule_delivery(self, datagram: OutgoingDatagram, due: float) -> None:
        """Deliver a datagram at a point of virtual time."""
        self.schedule_at(due, lambda: self.deliver(datagram.to, datagram.data))

    def deliver(self, address: Address, data: bytes) -> None:
        """Hand a datagram to the member at an address, after its pause or at its next turn if it is slow."""
        member = self.members.get(address)
        if member is None:
            return
        if address in self.paused:
            self.paused[address].append(data)
            return
        next_turn = self.next_turn(member)
        if next_turn > self.now:
            self.schedule_at(next_turn, lambda: self.deliver(address, data))
            return
        self.referee.on_received(member, data)
        self.step(member, lambda now: member.receive(now, TRANSLATED_SOURCE, data))
        self.plan_wake(member)

    # Faults

    def notify_referee(self) -> None:
        """Let the referee know that members or links have changed."""
        self.referee.on_faults_changed([member.name for member in self.members.values()])

    def reachable_peer_count(self, name: str) -> int:
        """Return how many other members it can reach both ways: none while it is paused or slow."""
        if self.by_name[name].address in self.paused or self.by_name[name].address in self.slow_members:
            return 0
        return sum(
            1
            for other in self.members.values()
            if other.name != name
            and other.address not in self.paused
            and (name, other.name) not in self.cut_links
            and (other.name, name) not in self.cut_links
        )

    def pause(self, *names: str) -> None:
        """Stop members until they are resumed; their datagrams queue up."""
        for name in names:
            self.paused.setdefault(self.by_name[name].address, [])
        self.notify_referee()

    def resume(self, *names: str) -> None:
        """Resume members, which receive the datagrams of the pause at once."""
        for name in names:
            member = self.by_name[name]
            for data in self.paused.pop(member.address, []):
                self.deliver(member.address, data)
            self.wake_times.pop(member.address, None)
            self.plan_wake(member)
        self.notify_referee()

    def slow_down(self, name: str, interval_s: float) -> None:
        """Let a member run only once per interval, or without a limit if the interval is 0."""
        address = self.by_name[name].address
        if interval_s:
            self.slow_members[address] = interval_s, self.now
        else:
            self.slow_members.pop(address, None)
        self.notify_referee()

    def cut(self, pairs: NamePairs) -> None:
        """Drop all datagrams from the first to the second member of each pair."""
        self.cut_links |= set(pairs)
        self.notify_referee()

    def split(self, *sides: Sequence[str]) -> None:
        """Partition the network into sides that cannot reach each other."""
        self.cut(
            (a, b) for side, other_side in itertools.permutations(sides, 2) for a in side for b in other_side
        )

    def heal(self) -> None:
        """Restore all links."""
        self.cut_links.clear()
        self.notify_referee()

    # Observations

    def is_converged(self) -> bool:
        """Return whether each member considers exactly the live members present."""
        names = self.by_name.keys()
        return all(member.table.present.names() == names for member in self.members.values())

    def settle(self, limit_s: float) -> float:
        """Run until the views converge and return the seconds that this took."""
        return self.run_until(self.is_converged, limit_s, 0.5)

    def false_deaths(self) -> set[tuple[str, str]]:
        """Return the pairs (observer, member) in which a live member is considered dead."""
        return {
            (member.name, other.name)
            for member in self.members.values()
            for other in member.members.values()
            if other.state == DEAD and other.name in self.by_name
        }

    def is_death_known(self, name: str) -> bool:
        """Return whether no live member considers a member present any more."""
        return not any(name in member.table.present for member in self.members.values())


# Random faults

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
    """Injects randomly drawn faults into a cluster, one at a time, and then ends them all."""

    def __init__(self, cluster: Cluster, seed: int, loss: float = 0.3) -> None:
        self.cluster, self.rng, self.loss = cluster, random.Random(f"storm {seed}"), loss
        self.address_index_by_name = {member.name: n for n, member in enumerate(cluster.members.values())}
        self.name_numbers = itertools.count(2)
        self.removed: list[Swim] = []

    def inject_fault(self) -> str:
        """Inject one drawn fault, or end one, and return its name."""
        cluster, rng = self.cluster, self.rng
        action = rng.choice(FAULTS)
        name = rng.choice(sorted(cluster.by_name))
        others = [other for other in sorted(cluster.by_name) if other != name]
        rng.shuffle(others)
        if action in ("kill", "clock back", "other name", "leave"):
            self.replace(name, action)
        elif action == "pause":
            cluster.pause(name)
        elif action == "pause third":
            cluster.pause(*others[::3])
        elif action == "resume":
            self.resume_all()
        elif action == "deaf":
            cluster.cut((other, name) for other in others)
        elif action == "mute":
            cluster.cut((name, other) for other in others)
        elif action == "pair":
            cluster.cut({(name, others[0]), (others[0], name)})
        elif action == "ring":
            cluster.cut(zip(others, others[1:] + others[:1], strict=True))
        elif action in ("split", "three"):
            parts = 2 if action == "split" else 3
            cluster.split(*(others[n::parts] for n in range(parts)))
        elif action == "heal":
            cluster.heal()
        elif action == "loss":
            cluster.loss = rng.choice((0.0, 0.1, self.loss))
        elif action == "slow":
            cluster.slow_down(name, rng.choice((0.3, 1.0, 4.0)))
        else:
            for member in list(cluster.members.values()):
                cluster.slow_down(member.name, 0.0)
        return action

    def replace(self, name: str, action: str) -> None:
        """End a member; after a while another one starts at its address."""
        cluster, address_index = self.cluster, self.address_index_by_name[name]
        member = cluster.by_name[name]
        if action == "leave" and member.address not in cluster.paused:
            cluster.dispatch(member, member.leave(cluster.now))
        cluster.kill(name)
        new_name = f"n{next(self.name_numbers)}" if action == "other name" else name
        incarnation = (
            max(0, member.local_member.incarnation - 1)
            if action == "clock back"
            else member.local_member.incarnation + 1
        )
        self.address_index_by_name[new_name] = address_index

        def start() -> None:
            if address_of(address_index) not in cluster.members:
                cluster.start(new_name, address_index, incarnation)

        cluster.schedule_at(cluster.now + self.rng.uniform(0.1, 8.0), start)

    def resume_all(self) -> None:
        """Resume all paused members."""
        cluster = self.cluster
        cluster.resume(
            *[member.name for member in cluster.members.values() if member.address in cluster.paused]
        )

    def end_faults(self) -> None:
        """End all faults."""
        cluster = self.cluster
        cluster.loss = 0.0
        cluster.heal()
        self.resume_all()
        for name in list(cluster.by_name):
            cluster.slow_down(name, 0.0)


def play(
    seed: int, size: int = 12, faults: int = 25, mean_interval_s: float = 4.0, max_settle_s: float = 90.0
) -> Cluster:
    """Run a cluster through random faults, then check that the views converge within a limit.

    The run stops at the first breach. The referee of the returned cluster has the breaches.
    """
    cluster = Cluster(size, seed)
    cluster.settle(40)
    storm = Storm(cluster, seed)
    for _ in range(faults):
        storm.inject_fault()
        cluster.run(storm.rng.expovariate(1 / mean_interval_s))
        if cluster.referee.breaches:
            return cluster
    storm.end_faults()
    cluster.run(9.0)  # the last replacements have started by now
    try:
        cluster.settle(max_settle_s)
    except AssertionError:
        cluster.referee.breach("no one view", f"{max_settle_s:g} s after the last fault")
    return cluster
