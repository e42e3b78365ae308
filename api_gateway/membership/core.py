"""SWIM: who of a cluster's processes is there. No I/O, no clock, no globals: inputs in, actions out.

Each member probes one other a period, in a shuffled round; without an ack it asks others to probe for it, and
without any it accuses the member, which is then suspect. Whoever hears of that probes it too, at once. A
suspect that hears of it refutes with a higher incarnation. One that does not is held dead by each member for
itself, after a time that is long for one accuser and short for several (Lifeguard, Dadgar and others, DSN
2018): what others call dead is no more than their word against it. Rumours travel on probes and acks, each
for a bounded number of times; now and then two members exchange all they know, and each reaches out for
those that were lost. What it says is a hint and no more: a member that is slow or cut off is not told from
one that died.
"""

from __future__ import annotations

import heapq
import itertools
import json
import math
import random
from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

PERIOD = 0.8  # s between probes
AGAIN_AFTER = 0.1  # s without an ack after which a probe is sent once more
ACK_WITHIN = 0.2  # s for an ack, after which others are asked to probe
HELP_WITHIN = 0.3  # s more for an ack through others
HELPERS = 3  # members that are asked, and as many more where much is lost
SUSPECT_LEAST = 1.0  # s times log10 of the cluster, one at least, that a suspect has with enough accusers
SUSPECT_MOST = 6.0  # times that with one accuser
ENOUGH = 2  # accusers beside the first one
LOOKERS = 8  # members that probe a suspect at once when they hear of it, in a cluster of any size
PUSH = 2  # members that hear at once of a suspect, of one that has enough accusers, and of one that refuted
PUSH_EACH = 0.1  # s between two times that they do: what is news by then goes together
LOSS_SPAN = 20  # probes over which it is learned how many direct ones fail
LOSS_MULT = 4.0  # times that share, by which suspicion lasts longer
LONGER_MOST = 6.0  # times as long at the most: a few that are cut off together find out, too
RUMOUR_MULT = 3  # times log2 of the cluster that a rumour is passed on
MOST_RUMOURS = 16  # in one datagram
MOST_BYTES = 1200  # of one datagram
EXCHANGE = 30.0  # s between exchanges of all that is known
EXCHANGE_EACH = 0.5  # s of them for each member, where that is more: what it costs does not grow
SLICE, SLICE_EACH = 200, 0.05  # members that an exchange tells of at once; s until the next ones
BUSY_EXCHANGE = 3.0  # s between them while members are new, or there is more news than rumours carry
REACH = 5.0  # s between tries of one member to reach those that were lost, and more in larger clusters
REACH_EACH = 1.0  # s between such tries of all members of a cluster together
MOST_LOST = 64  # addresses that are remembered of those that were lost
NOTICES = 64  # members that are told after one datagram that others hold them for dead
FORGET = 300.0  # s for which one that is dead or has left is remembered: old rumours do not bring it back
DOUBT_MOST = 8  # local health: how often longer than usual a member that is late or hears nothing waits
DOUBT_USUAL = 2  # of it that comes with finding one that died: suspicion lasts no longer for it
DEAF_AFTER, DEAF_MOST = 3.0, 30.0  # s without a datagram after which a member doubts itself; the others
MOST_MEMBERS = 2000  # that are known; joins past that are not taken
MOST_META = 256  # bytes that a member tells of itself
MOST_ACCUSERS = 4  # that are told of one suspect

ALIVE, SUSPECT, DEAD, LEFT = "alive", "suspect", "dead", "left"
ORDER = {ALIVE: 0, SUSPECT: 1, DEAD: 2, LEFT: 3}
STATES = {number: state for state, number in ORDER.items()}
THERE = (ALIVE, SUSPECT)

Address = tuple[str, int]


@dataclass(slots=True)
class Member:
    """`accusers`: who found it silent, by their own probes; `through`: it was reached through others only."""

    name: str
    address: Address
    incarnation: int
    state: str
    since: float
    meta: dict[str, str] = field(default_factory=dict)
    accusers: list[str] = field(default_factory=list)
    through: bool = False


@dataclass(frozen=True, slots=True)
class Word:
    """What a datagram says of a member."""

    name: str
    address: Address
    incarnation: int
    state: str
    meta: dict[str, str]
    accusers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Send:
    to: Address
    data: bytes


@dataclass(slots=True)
class Probe:
    """One that waits for its ack; `asked_by`: for whom, where another member asked. `step`: 0 sent, 1 sent
    again, 2 others were asked."""

    seq: int
    name: str
    ends: float
    step: int = 0
    asked_by: tuple[Address, int] | None = None


class Foreign(ValueError):
    """A datagram that is none of this cluster's."""


class Names:
    """Names in no order: one can be drawn without a look at all."""

    def __init__(self) -> None:
        self.list: list[str] = []
        self.at: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.list)

    def add(self, name: str) -> None:
        if name not in self.at:
            self.at[name] = len(self.list)
            self.list.append(name)

    def discard(self, name: str) -> None:
        at = self.at.pop(name, None)
        if at is not None:
            last = self.list.pop()
            if last != name:
                self.list[at], self.at[last] = last, at

    def draw(self, rng: random.Random, count: int, but: tuple[str, ...]) -> list[str]:
        """So many others, none of `but`."""
        if len(self.list) <= count + len(but):
            return [name for name in self.list if name not in but]
        drawn = dict[str, None]()
        while len(drawn) < count:
            name = self.list[rng.randrange(len(self.list))]
            if name not in but:
                drawn[name] = None
        return list(drawn)


class Rumours:
    """Names of whom there is news; those that were passed on least come first."""

    def __init__(self) -> None:
        self.passed: dict[str, int] = {}
        self.by_count: dict[int, OrderedDict[str, None]] = {}

    def __len__(self) -> int:
        return len(self.passed)

    def put(self, name: str, count: int = 0) -> None:
        self.drop(name)
        self.passed[name] = count
        self.by_count.setdefault(count, OrderedDict())[name] = None

    def drop(self, name: str) -> None:
        count = self.passed.pop(name, None)
        if count is not None:
            del self.by_count[count][name]
            if not self.by_count[count]:
                del self.by_count[count]

    def first(self, count: int) -> list[str]:
        rows = (self.by_count[passed] for passed in sorted(self.by_count))
        return list(itertools.islice(itertools.chain.from_iterable(rows), count))

    def told(self, name: str, most: int) -> None:
        count = self.passed.get(name)
        if count is not None:
            self.drop(name) if count + 1 >= most else self.put(name, count + 1)


class Swim:
    def __init__(
        self,
        cluster: str,
        name: str,
        address: Address,
        incarnation: int,
        seeds: list[Address],
        rng: random.Random,
        now: float,
        meta: dict[str, str] | None = None,
    ) -> None:
        self.cluster, self.name, self.address, self.seeds, self.rng = cluster, name, address, seeds, rng
        self.me = Member(name, address, incarnation, ALIVE, now, meta or {})
        self.members: dict[str, Member] = {name: self.me}
        self.there = Names()
        self.there.add(name)
        self.version = 0  # of the view: more with each change of a state or an address
        self.rumours = Rumours()
        self.rumours.put(name)
        self.lost: OrderedDict[Address, None] = OrderedDict()  # where those that were lost had been
        self.probes: dict[int, Probe] = {}
        self.timers: list[tuple[float, int, str, Any]] = []  # of probes and of states; some are out of date
        self.order = itertools.count()
        self.round: list[str] = []
        self.seq = rng.getrandbits(31)
        self.doubt = 0  # local health: 0 is well
        self.silent = 0.0  # share of direct probes of members that are there which had no ack, lately
        self.now = self.heard_at = now  # of the input that is worked on; of the last datagram
        self.notices_most = 0
        self.news, self.pushed_at = False, -math.inf  # whether there is some that cannot wait; the last push
        self.next_probe = now + rng.uniform(0, PERIOD)
        self.next_exchange = now  # the first one is the join
        self.next_reach = now + rng.uniform(0, REACH)
        self.leaving = False
        self.out: list[Send] = []
        self.counts: Counter[str] = Counter(sent=0, foreign=0, refuted=0, clashes=0)

    # What is known

    def living(self) -> list[Member]:
        return [self.members[name] for name in self.there.list]

    def view(self) -> dict[str, str]:
        return {m.name: m.state for m in self.living()}

    def size(self) -> int:
        return len(self.there)

    def deaf(self, now: float) -> bool:
        """It hears nobody: for a while it is more likely cut off than that all others are gone."""
        return self.size() > 1 and DEAF_AFTER < now - self.heard_at < DEAF_MOST

    def suspicion(self, member: Member) -> float:
        """Seconds that a suspect has to refute: less with more accusers, more where much is lost or this
        member is not well itself."""
        least = SUSPECT_LEAST * max(1.0, math.log10(max(1, self.size())))
        enough = min(ENOUGH, self.size() - 2)
        most = SUSPECT_MOST * least if enough > 0 else 4 * least
        told = max(0, len(member.accusers) - 1)
        part = min(1.0, math.log(told + 1) / math.log(enough + 1)) if enough > 0 else 0.0
        unwell = 1 + max(0, self.doubt - DOUBT_USUAL)
        return (most - (most - least) * part) * min(LONGER_MOST, (1 + LOSS_MULT * self.silent) * unwell)

    def change(self, now: float, member: Member, state: str) -> None:
        """All changes of a state pass here."""
        was, member.state, member.since = member.state, state, now
        self.version += 1
        if state != SUSPECT:
            member.accusers = []
        if state in THERE:
            self.there.add(member.name)
            self.lost.pop(member.address, None)
        else:
            self.there.discard(member.name)
            self.after(FORGET, now, "forget", (member.name, member.incarnation))
        if state == DEAD:
            self.counts["died"] += 1
            self.lose(member.address)
        if state == ALIVE and was == SUSPECT:
            self.counts["cleared"] += 1
        self.rumours.put(member.name)

    def lose(self, address: Address) -> None:
        self.lost[address] = None
        self.lost.move_to_end(address)
        if len(self.lost) > MOST_LOST:
            self.lost.popitem(last=False)

    # Words of others

    def hear(self, now: float, word: Word, whole: bool) -> None:
        """One word on a member: the higher incarnation counts, and among equals the worse state. What is
        called dead is accused; in an exchange of all that is known it is only told so, and may refute."""
        if word.name == self.name:
            self.hear_of_me(word)
            return
        known = self.members.get(word.name)
        if known is None:
            self.meet(now, word)
        elif word.incarnation < known.incarnation:
            return
        elif word.incarnation > known.incarnation:
            self.renew(now, known, word)
        elif word.state == LEFT and known.state != LEFT:
            self.change(now, known, LEFT)
        elif word.state in (SUSPECT, DEAD) and known.state in THERE:
            if whole and word.state == DEAD:
                self.notice(known)
            else:
                self.accused(now, known, word.accusers)

    def meet(self, now: float, word: Word) -> None:
        if word.state in THERE and len(self.members) < MOST_MEMBERS:
            member = Member(word.name, word.address, word.incarnation, ALIVE, now, word.meta)
            self.members[word.name] = member
            soon = now + BUSY_EXCHANGE * self.rng.uniform(0.5, 1.5)  # there may be more that are new
            self.next_exchange = min(self.next_exchange, soon)
            self.change(now, member, ALIVE)
            if word.state == SUSPECT:
                self.accused(now, member, word.accusers)

    def renew(self, now: float, known: Member, word: Word) -> None:
        """A newer word of it, or of what became of it."""
        if word.address != known.address:
            self.version += 1
        known.incarnation, known.address, known.meta = word.incarnation, word.address, word.meta
        if word.state == LEFT:
            self.change(now, known, LEFT)
        elif known.state != ALIVE:
            self.change(now, known, ALIVE)
            self.news = True
        else:
            self.rumours.put(known.name)
        if word.state in (SUSPECT, DEAD):
            self.accused(now, known, word.accusers)

    def accused(self, now: float, member: Member, accusers: Iterable[str]) -> None:
        """One more accuser is news; so is a suspect at all, and it is then probed from here as well."""
        fresh = [name for name in accusers if name not in member.accusers and name != member.name]
        if member.state == ALIVE:
            self.change(now, member, SUSPECT)
            self.counts["suspected"] += 1
            well = self.doubt <= DOUBT_USUAL  # one that is not would only add to what is lost
            if well and self.name not in fresh and self.rng.random() * self.size() < LOOKERS:
                self.probe(now, member)
            told = 0
        elif not fresh:
            return
        else:
            told = len(member.accusers)
        member.accusers = (member.accusers + fresh)[:MOST_ACCUSERS]
        self.rumours.put(member.name)
        self.after(member.since + self.suspicion(member) - now, now, "end", (member.name, member.incarnation))
        if told == 0 or told <= ENOUGH < len(member.accusers):
            self.news = True

    def push(self) -> None:
        """News that cannot wait for the next probe."""
        self.news, self.pushed_at = False, self.now
        for name in self.there.draw(self.rng, PUSH, (self.name,)):
            self.send(self.members[name].address, "more", 0)

    def notice(self, member: Member) -> None:
        """Others hold it dead: it hears so from here, and can refute."""
        if self.counts["notices"] < self.notices_most:
            self.counts["notices"] += 1
            row = [member.name, *member.address, member.incarnation, ORDER[DEAD], member.meta]
            self.emit(member.address, {"k": "more", "s": 0, "r": [row]})

    def hear_of_me(self, word: Word) -> None:
        """Others hold this member for suspect or dead, another process has its name, or an earlier life of
        it had a higher number: it lives, it says, to those that accuse it first."""
        if self.leaving:
            return
        if word.incarnation < self.me.incarnation:
            if word.state in (SUSPECT, DEAD):  # who says so has not heard the answer to it
                self.rumours.put(self.name)
            return
        if word.state == ALIVE and word.incarnation == self.me.incarnation and word.address == self.address:
            return
        if word.state == ALIVE and word.address != self.address:
            self.counts["clashes"] += 1
        elif word.state in (SUSPECT, DEAD):
            self.doubt = min(DOUBT_MOST, self.doubt + 1)
        self.me.incarnation = word.incarnation + 1
        self.counts["refuted"] += 1
        self.rumours.put(self.name)
        accusers = [name for name in word.accusers if name in self.members and name != self.name]
        for name in dict.fromkeys((*accusers, *self.there.draw(self.rng, HELPERS, (self.name,)))):
            self.send(self.members[name].address, "more", 0)

    def tell(self, meta: dict[str, str]) -> None:
        """Something else of itself, as a new incarnation, so that it replaces what others know."""
        self.me.meta = meta
        self.me.incarnation += 1
        self.rumours.put(self.name)

    # Time

    def after(self, seconds: float, now: float, kind: str, what: Any) -> None:
        heapq.heappush(self.timers, (now + seconds, next(self.order), kind, what))

    def due(self) -> float:
        first = self.timers[0][0] if self.timers else math.inf
        push = self.pushed_at + PUSH_EACH if self.news else math.inf
        return min(self.next_probe, self.next_exchange, self.next_reach, first, push)

    def tick(self, now: float) -> list[Send]:
        self.now = now
        self.wake(now)
        if self.deaf(now):
            self.doubt = DOUBT_MOST
        elif now - self.heard_at >= DEAF_MOST and self.silent:
            self.doubt, self.silent = 0, 0.0  # the others are gone, by all that can be known
        while self.timers and self.timers[0][0] <= now:
            _, _, kind, what = heapq.heappop(self.timers)
            if kind == "probe":
                self.late(now, what)
            elif kind == "end":
                self.end(now, *what)
            elif kind == "whole":
                self.whole(*what)
            else:
                self.forget(now, *what)
        if now >= self.next_probe:
            self.next_probe = now + PERIOD
            self.probe_next(now)
        if now >= self.next_exchange:
            busy = len(self.rumours) > 2 * MOST_RUMOURS
            usual = max(EXCHANGE, EXCHANGE_EACH * self.size())
            self.next_exchange = now + (BUSY_EXCHANGE if busy else usual) * self.rng.uniform(0.75, 1.25)
            self.exchange()
        if now >= self.next_reach:
            self.next_reach = now + max(REACH, REACH_EACH * self.size()) * self.rng.uniform(0.5, 1.5)
            self.reach()
        return self.take()

    def wake(self, now: float) -> None:
        """Before anything that waited is heard: it may be far behind its own timer."""
        if now > self.next_probe + 2 * PERIOD:
            self.overslept(now)

    def overslept(self, now: float) -> None:
        """One that was paused is late by far: it doubts itself before the others, and none of its suspects
        had the time to refute that it did not hear."""
        slept, self.next_probe = now - self.next_probe, now
        self.doubt = DOUBT_MOST
        self.probes.clear()
        self.heard_at = now
        self.next_exchange = now
        for member in self.living():
            if member.state == SUSPECT:
                member.since = min(now, member.since + slept)
                self.after(
                    member.since + self.suspicion(member) - now, now, "end", (member.name, member.incarnation)
                )

    def take(self) -> list[Send]:
        if self.news and self.now - self.pushed_at >= PUSH_EACH - 1e-9:
            self.push()
        out, self.out = self.out, []
        self.counts["sent"] += len(out)
        return out

    def end(self, now: float, name: str, incarnation: int) -> None:
        """A suspicion may have lasted long enough by now; it is looked at again where it has not."""
        member = self.members.get(name)
        if member is None or member.state != SUSPECT or member.incarnation != incarnation:
            return
        left = member.since + self.suspicion(member) - now
        if left <= 1e-9:
            accusers = member.accusers
            self.change(now, member, DEAD)
            member.accusers = accusers
        else:
            self.after(left, now, "end", (name, incarnation))

    def forget(self, now: float, name: str, incarnation: int) -> None:
        member = self.members.get(name)
        if member is not None and member.state in (DEAD, LEFT) and member.incarnation == incarnation:
            if now - member.since >= FORGET - 1e-6:
                del self.members[name]
                self.rumours.drop(name)

    def probe_next(self, now: float) -> None:
        while self.round or self.size() > 1:
            if not self.round:
                self.round = [name for name in self.there.list if name != self.name]
                self.rng.shuffle(self.round)
            member = self.members.get(self.round.pop())
            if member is not None and member.state in THERE:
                self.probe(now, member)
                return
        self.next_exchange = min(self.next_exchange, now + PERIOD * self.rng.uniform(1, 3))

    def probe(self, now: float, member: Member, asked_by: tuple[Address, int] | None = None) -> None:
        self.seq += 1
        wait = AGAIN_AFTER * (1 + self.doubt) if asked_by is None else HELP_WITHIN
        self.probes[self.seq] = Probe(self.seq, member.name, now + wait, asked_by=asked_by)
        self.after(wait, now, "probe", self.seq)
        self.send(member.address, "ping", self.seq, member, {"target": member.name})

    def late(self, now: float, seq: int) -> None:
        probe = self.probes.get(seq)
        if probe is None or now < probe.ends - 1e-9:
            return
        member = self.members.get(probe.name)
        if probe.asked_by is not None or member is None or member.state not in THERE:
            del self.probes[seq]
            return
        probe.step += 1
        if probe.step == 1:
            self.send(member.address, "ping", seq, member, {"target": member.name})
            self.wait_on(now, probe, (ACK_WITHIN - AGAIN_AFTER) * (1 + self.doubt))
        elif probe.step == 2:
            self.learn(1.0)
            count = HELPERS + round(2 * HELPERS * self.silent)
            for name in self.there.draw(self.rng, count, (self.name, probe.name)):
                helper = self.members[name]
                self.send(helper.address, "ask", seq, helper, {"target": probe.name})
            self.wait_on(now, probe, HELP_WITHIN * (1 + self.doubt))
        else:
            del self.probes[seq]
            self.counts["unreached"] += 1
            self.doubt = min(DOUBT_MOST, self.doubt + 1)
            if not self.deaf(now):
                self.accused(now, member, (self.name,))

    def wait_on(self, now: float, probe: Probe, seconds: float) -> None:
        probe.ends = now + seconds
        self.after(seconds, now, "probe", probe.seq)

    def learn(self, silent: float) -> None:
        self.silent += (silent - self.silent) / LOSS_SPAN

    def exchange(self) -> None:
        """All that is known, with one member; with the seeds as long as nobody is there."""
        others = self.there.draw(self.rng, 1, (self.name,))
        targets = [self.members[name].address for name in others[:1]]
        for address in targets or [seed for seed in self.seeds if seed != self.address]:
            self.whole(address, "sync")

    def reach(self) -> None:
        """One of those that were lost, or a seed that is none of those that are there: it may only have been
        cut off, so both sides of a split find each other again, however long it lasted."""
        known = {self.members[name].address for name in self.there.list} if self.seeds else set()
        ways = [*self.lost, *(seed for seed in self.seeds if seed not in known and seed not in self.lost)]
        if ways:
            self.whole(self.rng.choice(ways), "sync")

    def whole(self, to: Address, kind: str, names: list[str] | None = None) -> None:
        """As many datagrams as it takes, a slice at a time."""
        names = list(self.members) if names is None else names
        if names[SLICE:]:
            self.after(SLICE_EACH, self.now, "whole", (to, "more", names[SLICE:]))
        rows, size = list[Any](), 0
        for member in [self.members[name] for name in names[:SLICE] if name in self.members]:
            row = self.row(member)
            length = len(json.dumps(row))
            if rows and size + length > MOST_BYTES - 200:
                self.emit(to, {"k": kind, "s": 0, "r": rows, "w": 1})
                rows, size, kind = [], 0, "more"
            rows.append(row)
            size += length + 1
        self.emit(to, {"k": kind, "s": 0, "r": rows, "w": 1})

    def leave(self, now: float) -> list[Send]:
        """On purpose: told to some at once, the others hear of it by rumour."""
        self.leaving, self.now = True, now
        self.me.state, self.me.since = LEFT, now
        self.me.incarnation += 1
        self.rumours.put(self.name)
        for name in self.there.draw(self.rng, 2 * HELPERS, (self.name,)):
            self.send(self.members[name].address, "more", 0, self.members[name])
        return self.take()

    # Datagrams

    def row(self, m: Member) -> list[Any]:
        row = [m.name, m.address[0], m.address[1], m.incarnation, ORDER[m.state], m.meta]
        return [*row, m.accusers] if m.accusers else row

    def emit(self, to: Address, told: dict[str, Any]) -> None:
        """With the address at which this member is reached: answers go there, not to where it came from."""
        head = {"c": self.cluster, "f": self.name, "a": self.address}
        self.out.append(Send(to, json.dumps({**head, **told}, separators=(",", ":")).encode()))

    def send(
        self,
        to: Address,
        kind: str,
        seq: int,
        member: Member | None = None,
        more: dict[str, Any] | None = None,
    ) -> None:
        """With the rumours passed on least; to one that is held for suspect or dead that first, so that it
        can refute."""
        most = RUMOUR_MULT * max(1, math.ceil(math.log2(max(2, self.size()))))
        names = self.rumours.first(MOST_RUMOURS)
        if member is not None and member.state in (SUSPECT, DEAD):
            names = [member.name, *(name for name in names if name != member.name)][:MOST_RUMOURS]
        rows, size = [], 0
        for name in names:
            row = self.row(self.members[name])
            size += len(json.dumps(row)) + 1
            if size > MOST_BYTES - 200:
                break
            rows.append(row)
            self.rumours.told(name, most)
        self.emit(to, {"k": kind, "s": seq, "r": rows, **(more or {})})

    def receive(self, now: float, sender: Address, data: bytes) -> list[Send]:
        """A datagram. What is truncated, foreign or malformed is counted and has no effect. `sender`, where
        it came from, is answered only where it names no address of its own: behind a translation of
        addresses nobody is reached there."""
        try:
            kind, seq, name, sender, words, told = read(self.cluster, sender, data)
        except Foreign:
            self.counts["foreign"] += 1
            return []
        if self.leaving:
            return []
        self.now = now
        self.wake(now)
        if name != self.name:
            self.heard_at = now
        self.notices_most = self.counts["notices"] + NOTICES
        for word in words:
            self.hear(now, word, bool(told.get("w")))
        target = self.members.get(str(told.get("target", "")))
        if kind == "ping" and told.get("target", self.name) == self.name:  # else who had its address is meant
            self.send(sender, "ack", seq, self.members.get(name))
        elif kind == "ack":
            self.acked(seq, name)
        elif kind == "ask" and target is not None:
            self.probe(now, target, (sender, seq))
        elif kind == "sync":
            self.whole(sender, "more")
        return self.take()

    def acked(self, seq: int, name: str) -> None:
        probe = self.probes.get(seq)
        if probe is None or (probe.name != name and probe.step < 2):
            return
        del self.probes[seq]
        if probe.asked_by is not None:
            to, theirs = probe.asked_by
            self.send(to, "ack", theirs)
            return
        self.doubt = max(0, self.doubt - 1)
        if probe.step < 2:
            self.learn(0.0)
        member = self.members.get(probe.name)
        if member is not None:
            member.through = probe.name != name


def read(
    cluster: str, sender: Address, data: bytes
) -> tuple[str, int, str, Address, list[Word], dict[str, Any]]:
    """Kind, number, sender's name and address, words, and the datagram itself. Raises Foreign."""
    try:
        told = json.loads(data)
        if told["c"] != cluster or told["k"] not in ("ping", "ack", "ask", "sync", "more"):
            raise Foreign("another cluster's")
        if not isinstance(told["r"], list):
            raise Foreign("malformed")
        words = [read_word(row) for row in told["r"]]
        host, port = told.get("a", sender)
        if type(told["s"]) is not int or not isinstance(told["f"], str) or not is_address(host, port):
            raise Foreign("malformed")
        return told["k"], told["s"], told["f"], (host, port), words, told
    except (ValueError, KeyError, TypeError, RecursionError) as err:
        raise Foreign(str(err)) from err


def is_address(host: Any, port: Any) -> bool:
    return isinstance(host, str) and type(port) is int and 0 < port < 65536


def read_word(row: Any) -> Word:
    name, host, port, incarnation, state, meta, *more = row
    accusers = more[0] if more else []
    sound = (
        isinstance(name, str)
        and 0 < len(name) <= 128
        and is_address(host, port)
        and type(incarnation) is int
        and 0 <= incarnation < 2**62
        and type(state) is int
        and isinstance(meta, dict)
        and len(json.dumps(meta)) <= MOST_META
        and isinstance(accusers, list)
        and len(accusers) <= MOST_ACCUSERS
        and all(isinstance(accuser, str) and len(accuser) <= 128 for accuser in accusers)
    )
    if not sound:
        raise Foreign("malformed")
    return Word(name, (host, port), incarnation, STATES[state], meta, tuple(accusers))
