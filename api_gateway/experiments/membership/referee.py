"""Invariants of a membership cluster, checked after every step under any faults.

The referee knows which members are alive and which can reach each other. Of the members it reads only what
any caller could read: their states, their incarnations and the datagrams they send.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Iterable
from typing import Protocol

from api_gateway.membership.messages import DEAD, Address
from api_gateway.membership.swim import Swim

HEALTHY_AFTER_S = 25.0  # Seconds of contact with a majority, after which none should consider it dead
MAX_DATAGRAM_BYTES = 1200
RATE_WINDOW_S = 5.0  # Window over which the datagrams of one member are counted
# Datagrams that one member may send per second without having received any. It is this many because a member
# may probe eight suspects at once indirectly.
MAX_UNSOLICITED_PER_S = 40.0
MAX_SENT_PER_RECEIVED = 4  # Datagrams sent for each one received
MIN_UPDATES_PER_SYNC_DATAGRAM = 8  # Members in a datagram of a full state exchange, at least


class GroundTruth(Protocol):
    """The actual state of the simulated cluster, as the referee reads it."""

    now: float
    members: dict[Address, Swim]

    def reachable_peer_count(self, name: str) -> int:
        """Return how many other live members it can reach both ways now, which is 0 while it is paused."""


class Referee:
    """Checks the invariants.

    Attributes:
        breaches: A line for the first breach of each kind.
        counts: The number of all breaches, by kind.
        false_deaths: Pairs (observer, member) in which a live, reachable member was considered dead.
    """

    def __init__(self, ground_truth: GroundTruth) -> None:
        self.ground_truth = ground_truth
        self.breaches: list[str] = []
        self.counts: Counter[str] = Counter()
        self.incarnations: dict[Swim, int] = {}
        self.healthy_since: dict[str, float] = {}
        self.sent: dict[str, deque[float]] = {}
        self.received: dict[str, deque[float]] = {}
        self.sync_requests: dict[str, deque[float]] = {}  # requests for the full state
        self.false_deaths: set[tuple[str, str]] = set()

    def breach(self, kind: str, text: str) -> None:
        """Count a breach and keep the text of the first one of its kind."""
        if not self.counts[kind]:
            self.breaches.append(f"{self.ground_truth.now:.2f} s: {kind}: {text}")
        self.counts[kind] += 1

    # Notifications from the cluster

    def on_faults_changed(self, names: Iterable[str]) -> None:
        """Update since when each live member has had contact with a majority in both directions."""
        now, member_count, live_names = self.ground_truth.now, len(self.ground_truth.members), list(names)
        for name in self.healthy_since.keys() - live_names:
            del self.healthy_since[name]
        for name in live_names:
            if 2 * self.ground_truth.reachable_peer_count(name) < member_count - 1 or member_count < 3:
                self.healthy_since.pop(name, None)
            else:
                self.healthy_since.setdefault(name, now)

    def on_step(self, member: Swim, died: bool) -> None:
        """Check a member after each of its inputs.

        Args:
            member: The member that handled the input.
            died: Whether it declared any member dead in this step.
        """
        incarnation = member.local_member.incarnation
        if incarnation < self.incarnations.get(member, 0):
            self.breach("incarnation", f"{member.name} went back to {incarnation}")
        self.incarnations[member] = incarnation
        if died:
            for known in member.members.values():
                if known.state == DEAD and self.is_healthy(known.name):
                    self.false_deaths.add((member.name, known.name))
                    self.check_majority(known.name)

    def is_healthy(self, name: str) -> bool:
        """Return whether a member has had contact with a majority for long enough not to be declared dead."""
        since = self.healthy_since.get(name)
        return since is not None and self.ground_truth.now - since >= HEALTHY_AFTER_S

    def check_majority(self, name: str) -> None:
        """Check that no majority of the other healthy members considers a member dead."""
        others = [
            member
            for member in self.ground_truth.members.values()
            if member.name != name and self.is_healthy(member.name)
        ]
        accuser_count = sum(member.members[name].state == DEAD for member in others if name in member.members)
        if 2 * accuser_count > len(others):
            self.breach(
                "majority",
                f"{accuser_count} of {len(others)} consider {name} dead, which is alive and reachable",
            )

    def on_sent(self, member: Swim, sizes: list[int]) -> None:
        """Check the sizes and the rate of the datagrams that a member sends."""
        for size in sizes:
            if size > MAX_DATAGRAM_BYTES:
                self.breach("size", f"{member.name} sent {size} bytes")
        sent = self.count_recent(self.sent, member, len(sizes))
        sync_datagrams = len(member.members) / MIN_UPDATES_PER_SYNC_DATAGRAM + 1
        max_sent = (
            MAX_UNSOLICITED_PER_S * RATE_WINDOW_S
            + MAX_SENT_PER_RECEIVED * (self.count_recent(self.received, member, 0) + sync_datagrams)
            + sync_datagrams * self.count_recent(self.sync_requests, member, 0)
        )
        if sent > max_sent:
            self.breach(
                "number",
                f"{member.name} sent {sent} datagrams in {RATE_WINDOW_S:g} s; {max_sent:.0f} are allowed",
            )

    def count_recent(self, times_by_name: dict[str, deque[float]], member: Swim, added: int) -> int:
        """Record `added` datagrams of a member now and return how many there were within the window."""
        times, now = times_by_name.setdefault(member.name, deque()), self.ground_truth.now
        times.extend([now] * added)
        while times and times[0] < now - RATE_WINDOW_S:
            times.popleft()
        return len(times)

    def on_received(self, member: Swim, data: bytes) -> None:
        """Count a datagram that a member receives, because it may send answers to it."""
        self.count_recent(self.received, member, 1)
        self.count_recent(self.sync_requests, member, b'"k":"sync"' in data)
