"""The list of hosts: versions, changes, watches, registrations that lapse. No I/O, no clock, no globals.

Every input comes with the time, in seconds of a clock that only goes forward. What is to be told to watchers
comes back as Answers; who asks for them encodes them. A version is a number that grows with each change; the
epoch names one life of the service, since another life's numbers say nothing here.
"""

from __future__ import annotations

import heapq
import itertools
import math
from dataclasses import dataclass, field, replace

from api_gateway.base.subsets import SubsetSpec
from api_gateway.registry.live_view import LiveView
from api_gateway.registry.subsets import MAX_VIEWS, LiveViews

STATES = ("up", "draining", "removed")
MOST_GONE = 1000  # hosts that went and are remembered; a watch from before that gets the whole list
GATHER = 0.05  # s in which changes are gathered before watches are woken
WAIT_MOST = 60.0  # s that a watch may wait
DRAIN = 10.0  # s that a host which lapsed or went is listed as draining, before it is removed
TTL_LEAST, TTL_MOST = 1.0, 3600.0  # s
GUARD_PART, GUARD_SPAN = 0.3, 60.0  # of the registered hosts at most lapse within so many seconds
LOOK = 0.25  # s between looks for hosts that lapse
LOOK_MOST = 1000  # hosts that are dealt with in one look, some 30 ms; the next follows at once
FORGET = 600.0  # s for which a host that went is remembered, with its incarnation
SLICE = 8192  # hosts of views that are made anew in one tick: some 20 ms


@dataclass(frozen=True, slots=True)
class Host:
    """An entry of the list, in the protocol's terms."""

    id: str
    addr: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "up"
    weight: float = 1.0
    started_ms: int = 0


@dataclass(slots=True)
class Entry:
    host: Host
    changed: int = 0  # the version of its last change
    ttl: float = 0.0  # 0: from the operator's file, which does not lapse
    incarnation: int = 0
    until: float = math.inf  # when it lapses, or is removed
    own: bool = False  # it drains by its own word, or the file's: a renewal does not bring it back
    order: int = 0  # its place in the list
    queued: float = math.inf  # when it is looked at
    counted: bool = False  # among the registered that are up


@dataclass(frozen=True, slots=True)
class Watch:
    key: object
    index: int
    until: float
    view: SubsetSpec | None = None  # None: all hosts


@dataclass(frozen=True, slots=True)
class Answer:
    """For the watch `key`: what has changed since `index`, or the whole list where that is None."""

    key: object
    index: int | None
    version: int
    hosts: tuple[Host, ...] = field(repr=False)
    view: SubsetSpec | None = None  # of which it tells
    total: int = 0  # hosts that are up in the view's groups


class Stale(Exception):
    """A word of an older life of a host, or on one that is not there."""


class Registry:
    def __init__(self, epoch: str, first: int = 1, views: int = MAX_VIEWS) -> None:
        self.epoch, self.version = epoch, first
        self.base = first  # changes since an older version cannot be told
        self.entries: dict[str, Entry] = {}  # each with its last change, so that they are the log as well
        self.recent: dict[str, None] = {}  # their ids by the version of that
        self.gone: dict[str, None] = {}  # hosts that went, in that order
        self.views = LiveViews(views)
        self.watches: dict[object, Watch] = {}
        self.whole_watches: dict[object, Watch] = {}  # those of them without a view
        self.ends: list[tuple[float, int, object]] = []  # of watches
        self.order = itertools.count()
        self.wake_at, self.look_at = math.inf, 0.0
        self.lapses: dict[str, float] = {}  # when hosts lapsed that are not back, within the guard's span
        self.held: set[str] = set()  # hosts that should have lapsed and are kept by the guard
        self.untils: list[tuple[float, int, Entry]] = []  # a heap; an entry whose time moved on is put back
        self.registered = 0  # that are up

    # Changes

    def put(self, now: float, entry: Entry) -> None:
        self.version += 1
        entry.changed = self.version
        name, old = entry.host.id, self.entries.get(entry.host.id)
        entry.order = next(self.order) if old is None else old.order
        self.registered -= old is not None and old.counted
        entry.counted = entry.ttl > 0 and entry.host.state == "up"
        self.registered += entry.counted
        self.entries[name] = entry
        self.recent.pop(name, None)
        self.recent[name] = None
        self.views.put(entry.host)
        self.expire(entry, entry.until)
        self.wake_at = min(self.wake_at, now + GATHER)

    def expire(self, entry: Entry, until: float) -> None:
        """It is looked at by then."""
        entry.until = until
        if until < entry.queued:
            entry.queued = until
            heapq.heappush(self.untils, (until, next(self.order), entry))
            if len(self.untils) > 2 * len(self.entries) + 16:  # those replaced are not kept until then
                self.untils = [(e.queued, e.order, e) for e in self.entries.values() if e.queued < math.inf]
                heapq.heapify(self.untils)

    def load(self, now: float, hosts: list[Host]) -> None:
        """The operator's file as a whole: what is not in it any longer drains and goes."""
        named = {host.id for host in hosts}
        for host in hosts:
            old = self.entries.get(host.id)
            if old is None or old.ttl or old.host != host:
                self.back(host.id)
                self.put(now, Entry(host, own=host.state == "draining"))
        for entry in [e for e in self.entries.values() if not e.ttl and e.host.id not in named]:
            self.leave(now, entry)

    def register(self, now: float, host: Host, incarnation: int, ttl: float) -> None:
        """Raises Stale for a life that is older than the one known, or a host that the file names."""
        old = self.entries.get(host.id)
        if old is not None and not old.ttl and old.host.state != "removed":
            raise Stale("the file names this host")
        if old is not None and incarnation < old.incarnation:
            raise Stale(f"incarnation {old.incarnation} is known")
        self.back(host.id)
        if old is not None and old.host == host and old.incarnation == incarnation:
            old.ttl = ttl
            self.expire(old, now + ttl)
        else:
            self.put(now, Entry(host, ttl=ttl, incarnation=incarnation, until=now + ttl))

    def find(self, name: str, incarnation: int) -> Entry:
        entry = self.entries.get(name)
        if entry is None or not entry.ttl or entry.host.state == "removed":
            raise Stale("not registered")
        if entry.incarnation != incarnation:
            raise Stale(f"incarnation {entry.incarnation} is known")
        return entry

    def renew(self, now: float, name: str, incarnation: int) -> None:
        """Raises Stale. One that has lapsed and is not removed yet is up again."""
        entry = self.find(name, incarnation)
        self.back(name)
        if entry.own:
            return
        self.expire(entry, now + entry.ttl)
        if entry.host.state != "up":
            entry.host = replace(entry.host, state="up")
            self.put(now, entry)

    def back(self, name: str) -> None:
        """It has been heard of."""
        self.gone.pop(name, None)
        self.held.discard(name)
        self.lapses.pop(name, None)

    def drain(self, now: float, name: str, incarnation: int) -> None:
        entry = self.find(name, incarnation)
        if not entry.own:
            self.leave(now, entry)

    def deregister(self, now: float, name: str, incarnation: int) -> None:
        self.remove(now, self.find(name, incarnation))

    def leave(self, now: float, entry: Entry) -> None:
        """By its own word or the file's: it drains, then it is removed."""
        if entry.host.state == "up":
            self.fade(now, entry)
        elif entry.host.state == "draining":
            self.expire(entry, min(entry.until, now + DRAIN))
        entry.own = True

    def fade(self, now: float, entry: Entry) -> None:
        entry.until = now + DRAIN
        entry.host = replace(entry.host, state="draining")
        self.put(now, entry)

    def remove(self, now: float, entry: Entry) -> None:
        entry.host, entry.until = replace(entry.host, state="removed"), now + FORGET
        self.held.discard(entry.host.id)
        self.gone[entry.host.id] = None
        self.put(now, entry)
        if len(self.gone) > MOST_GONE:
            self.drop(next(iter(self.gone)))

    def drop(self, name: str) -> None:
        """Of what is not remembered those that ask from before it cannot be told: they get the whole list."""
        del self.gone[name]
        self.recent.pop(name, None)
        self.base = max(self.base, self.entries.pop(name).changed)

    # Time

    def tick(self, now: float) -> list[Answer]:
        """All that is due by now."""
        if now >= self.look_at:
            self.look_at = now + LOOK
            self.look(now)
        return self.wake(now)

    def look(self, now: float) -> None:
        """What lapses, what has drained, what is forgotten."""
        self.views.expire(now)
        for entry in self.ended(now):
            if entry.host.state == "removed":
                if entry.host.id in self.gone:  # the removal of another one may have dropped it
                    self.drop(entry.host.id)
            elif entry.host.state == "draining":
                self.remove(now, entry)
            elif self.may_lapse(now):
                self.lapses.pop(entry.host.id, None)
                self.lapses[entry.host.id] = now
                self.held.discard(entry.host.id)
                self.fade(now, entry)
            else:
                self.held.add(entry.host.id)

    def ended(self, now: float) -> list[Entry]:
        """Those whose time has come, in the order of the list, or a part of them. Those that the guard holds
        are among them only where it may let one go."""
        found: list[Entry] = []
        while self.untils and self.untils[0][0] <= now:
            if len(found) >= LOOK_MOST:
                self.look_at = now
                break
            at, _, entry = heapq.heappop(self.untils)
            if entry.queued != at or self.entries.get(entry.host.id) is not entry:
                continue  # it is there again by an earlier time, or another has its place
            entry.queued = math.inf
            if entry.until <= now:
                found.append(entry)
            elif entry.until < math.inf:
                self.expire(entry, entry.until)
        if self.held and len(found) < LOOK_MOST and self.may_lapse(now):
            held = (self.entries.get(name) for name in self.held)
            late = [e for e in held if e is not None and e.until <= now and e.host.state == "up"]
            found += heapq.nsmallest(LOOK_MOST, late, key=lambda entry: entry.order)
            if len(late) > LOOK_MOST:
                self.look_at = now
        return sorted(found, key=lambda entry: entry.order)

    def may_lapse(self, now: float) -> bool:
        """Self-preservation: when many lapse together the fault may be between them and here, so that at most
        a part goes within a span. One always may."""
        for name in list(itertools.takewhile(lambda n: self.lapses[n] <= now - GUARD_SPAN, self.lapses)):
            del self.lapses[name]
        return len(self.lapses) < max(1, math.floor(GUARD_PART * (self.registered + len(self.lapses))))

    def due(self) -> float:
        """When tick() is to be called next."""
        return (
            -math.inf
            if self.views.ready_views
            else min(self.look_at, self.wake_at, self.ends[0][0] if self.ends else math.inf)
        )

    # Watches

    def whole(self) -> tuple[Host, ...]:
        return tuple(e.host for e in self.entries.values() if e.host.state != "removed")

    def since(self, index: int) -> tuple[Host, ...] | None:
        """What has changed since that version, in the order of the list; None where only the whole list can
        tell. It costs what has changed, not what there is."""
        if not self.base <= index <= self.version:
            return None
        found = []
        for name in reversed(self.recent):
            entry = self.entries.get(name)
            if entry is not None and entry.changed <= index:
                break
            found += [entry] if entry is not None else []
        return tuple(e.host for e in sorted(found, key=lambda entry: entry.order))

    def answer(self, key: object, index: int | None) -> Answer:
        changed = None if index is None else self.since(index)
        if changed is None:
            return Answer(key, None, self.version, self.whole())
        return Answer(key, index, self.version, changed)

    def watch(self, now: float, key: object, index: int, wait: float, epoch: str | None) -> Answer | None:
        """At once where there is something newer, else None and an Answer later."""
        if (epoch is not None and epoch != self.epoch) or self.since(index) is None:
            return self.answer(key, None)
        if index < self.version or wait <= 0:
            return self.answer(key, index)
        watch = self.whole_watches[key] = Watch(key, index, now + min(wait, WAIT_MOST))
        self.park(watch)
        return None

    def park(self, watch: Watch) -> None:
        self.watches[watch.key] = watch
        heapq.heappush(self.ends, (watch.until, next(self.order), watch.key))

    def forget(self, key: object) -> None:
        """The watcher has gone."""
        self.unpark(key)
        while self.ends and self.ends[0][2] not in self.watches:
            heapq.heappop(self.ends)
        if len(self.ends) > 2 * len(self.watches) + 16:  # those that went are not kept until their time
            self.ends = [end for end in self.ends if end[2] in self.watches]
            heapq.heapify(self.ends)

    def unpark(self, key: object) -> Watch | None:
        watch = self.watches.pop(key, None)
        self.whole_watches.pop(key, None)
        if watch is not None and watch.view is not None:
            self.views.remove_watch(watch.view, key)
        return watch

    def wake(self, now: float) -> list[Answer]:
        told: list[Answer] = []
        if now >= self.wake_at:
            self.wake_at = math.inf
            told = self.wake_whole()
            self.views.release_gathered()
        if self.views.ready_views:
            told += self.wake_views()
        for answer in told:
            self.forget(answer.key)
        while self.ends and self.ends[0][0] <= now:
            _, _, key = heapq.heappop(self.ends)
            if key in self.watches:
                watch = self.watches[key]
                told.append(
                    self.answer(key, watch.index)
                    if watch.view is None
                    else self.tell(key, self.views.current(now, watch.view, self.version), watch.index)
                )
                self.unpark(key)
        return told

    def wake_whole(self) -> list[Answer]:
        """Many watches are from one version: what is told them is sought once."""
        made: dict[int, Answer] = {}
        late = [watch for watch in self.whole_watches.values() if watch.index < self.version]
        for watch in late:
            if watch.index not in made:
                made[watch.index] = self.answer(watch.key, watch.index)
        return [replace(made[watch.index], key=watch.key) for watch in late]

    # Views

    def view(self, now: float, key: object, view: SubsetSpec) -> Answer:
        """The whole view. Raises TooMany."""
        return self.tell(key, self.views.current(now, view, self.version), None)

    def watch_view(
        self, now: float, key: object, view: SubsetSpec, index: int, wait: float, epoch: str | None
    ) -> Answer | None:
        """As watch(), within a view: what changed, entered or left. Raises TooMany."""
        live = self.views.current(now, view, self.version)
        if (epoch is not None and epoch != self.epoch) or not live.oldest_version <= index <= self.version:
            return self.tell(key, live, None)
        if index < live.changed_at_version or wait <= 0:
            return self.tell(key, live, index)
        self.views.add_watch(live, key)
        self.park(Watch(key, index, now + min(wait, WAIT_MOST), view))
        return None

    def tell(self, key: object, live: LiveView, index: int | None) -> Answer:
        """Of a view that is as of now."""
        if index is None or index < live.oldest_version:
            return Answer(key, None, self.version, live.all_hosts(), live.view, self.views.total(live.view))
        return Answer(
            key, index, self.version, live.changes_since(index), live.view, self.views.total(live.view)
        )

    def wake_views(self) -> list[Answer]:
        """A part of those that changes concern; the rest in the next ticks, so that none of them is long."""
        told = []
        for live in self.views.refresh_ready(SLICE, self.version):
            told += [
                self.tell(key, live, self.watches[key].index)
                for key in live.watch_keys
                if self.watches[key].index < live.changed_at_version
            ]
        return told
