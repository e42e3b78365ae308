"""The list of hosts: versions, changes, watches and leases. No I/O, no clock, no global state.

Every call passes the current time, in seconds of a monotonic clock. Answers for watchers are returned as
Answer objects, and the caller encodes them. The version grows by one with each change. The epoch identifies
one run of the service, because version numbers of different runs cannot be compared.
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
MAX_TOMBSTONES = 1000  # removed hosts that are remembered; a watch from before that gets the complete list
BATCH_DELAY_S = 0.05  # collects changes for this long before watches are woken
MAX_WAIT_S = 60.0  # upper limit for the wait of a watch
DRAIN_DURATION_S = 10.0  # how long a host that expired or left is listed as draining before it is removed
MIN_TTL_S, MAX_TTL_S = 1.0, 3600.0
# At most this fraction of the registered hosts expires within the window.
SELF_PRESERVATION_FRACTION, SELF_PRESERVATION_WINDOW_S = 0.3, 60.0
EXPIRY_CHECK_INTERVAL_S = 0.25
MAX_EXPIRIES_PER_CHECK = 1000  # takes about 30 ms; the next check follows at once
TOMBSTONE_LIFETIME_S = 600.0  # how long a removed host is remembered, with its incarnation
REFRESH_HOSTS_PER_TICK = 8192  # hosts in the views that one tick rebuilds; takes about 20 ms


@dataclass(frozen=True, slots=True)
class Host:
    """An entry of the list with the fields of the discovery protocol."""

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
    """A host together with its lease and its last change.

    Attributes:
        host: The host as it is listed.
        changed_at_version: The version of its last change.
        ttl_s: Seconds that the lease lasts without a renewal; 0 for a host from the operator's file, which
            does not expire.
        incarnation: Number of the host's process, which grows with each start.
        deadline: When the lease expires, the drain ends or the tombstone is dropped, depending on the state.
        drain_requested: The host or the operator's file asked for the drain, so a renewal does not undo it.
        order: Its position in the list.
        queued_deadline: The time of its item in the deadline heap.
        is_counted: It is included in `registered_up_count` of the registry.
    """

    host: Host
    changed_at_version: int = 0
    ttl_s: float = 0.0
    incarnation: int = 0
    deadline: float = math.inf
    drain_requested: bool = False
    order: int = 0
    queued_deadline: float = math.inf
    is_counted: bool = False


@dataclass(frozen=True, slots=True)
class Watch:
    """A watch that waits for a change after the version `index`, until `deadline`.

    Attributes:
        key: Identifies the watch to the caller.
        index: The version that the watcher has.
        deadline: When the watch is answered even without a change.
        view: The view that is watched; None for all hosts.
    """

    key: object
    index: int
    deadline: float
    view: SubsetSpec | None = None


@dataclass(frozen=True, slots=True)
class Answer:
    """The changes since the version `index` for the watch `key`, or the complete list where `index` is None.

    Attributes:
        key: The watch that is answered.
        index: The version that the changes are counted from; None for a complete list.
        version: The version that the watcher has after this answer.
        hosts: The hosts that changed, or all hosts.
        view: The view that the answer is limited to; None for all hosts.
        total: Number of hosts that are up in the view's groups.
    """

    key: object
    index: int | None
    version: int
    hosts: tuple[Host, ...] = field(repr=False)
    view: SubsetSpec | None = None
    total: int = 0


class RegistrationConflictError(Exception):
    """A call names another incarnation, a host that is not registered, or one from the operator's file."""


class Registry:
    """The list of hosts, with leases, tombstones, watches and live views.

    Attributes:
        epoch: Identifies this run of the service.
        version: The number of the last change.
        oldest_version: Changes since an older version are no longer known.
        entries: All hosts by id, tombstones included; their last changes also serve as the change log.
        change_order: Ids of all hosts, by the version of their last change.
        tombstones: Ids of the removed hosts that are remembered, oldest first.
        views: The live views.
        watches: All waiting watches by key.
        full_list_watches: The watches without a view.
        watch_deadlines: A heap of the deadlines of watches.
        sequence: Numbers for positions in the list and for ties in the heaps.
        wake_at: When watches are woken for the changes so far.
        expiry_check_at: When the next expiry check is due.
        recent_expiries: When hosts expired that are not back, within the self-preservation window.
        preserved_hosts: Hosts whose lease has expired and that self-preservation keeps listed.
        deadlines: A heap of entries by deadline; an entry whose deadline was extended is queued again when
            its item falls due.
        registered_up_count: Number of registered hosts that are up.
    """

    def __init__(self, epoch: str, first_version: int = 1, max_views: int = MAX_VIEWS) -> None:
        """Start with an empty list at `first_version`."""
        self.epoch, self.version = epoch, first_version
        self.oldest_version = first_version
        self.entries: dict[str, Entry] = {}
        self.change_order: dict[str, None] = {}
        self.tombstones: dict[str, None] = {}
        self.views = LiveViews(max_views)
        self.watches: dict[object, Watch] = {}
        self.full_list_watches: dict[object, Watch] = {}
        self.watch_deadlines: list[tuple[float, int, object]] = []
        self.sequence = itertools.count()
        self.wake_at, self.expiry_check_at = math.inf, 0.0
        self.recent_expiries: dict[str, float] = {}
        self.preserved_hosts: set[str] = set()
        self.deadlines: list[tuple[float, int, Entry]] = []
        self.registered_up_count = 0

    # Changes

    def put(self, now: float, entry: Entry) -> None:
        """Add or replace an entry under a new version, and schedule the wake-up of watches."""
        self.version += 1
        entry.changed_at_version = self.version
        host_id, old = entry.host.id, self.entries.get(entry.host.id)
        entry.order = next(self.sequence) if old is None else old.order
        self.registered_up_count -= old is not None and old.is_counted
        entry.is_counted = entry.ttl_s > 0 and entry.host.state == "up"
        self.registered_up_count += entry.is_counted
        self.entries[host_id] = entry
        self.change_order.pop(host_id, None)
        self.change_order[host_id] = None
        self.views.put(entry.host)
        self.set_deadline(entry, entry.deadline)
        self.wake_at = min(self.wake_at, now + BATCH_DELAY_S)

    def set_deadline(self, entry: Entry, deadline: float) -> None:
        """Set the deadline of an entry and queue the entry, unless it is queued for an earlier time."""
        entry.deadline = deadline
        if deadline < entry.queued_deadline:
            entry.queued_deadline = deadline
            heapq.heappush(self.deadlines, (deadline, next(self.sequence), entry))
            if len(self.deadlines) > 2 * len(self.entries) + 16:  # drop superseded items before they fall due
                self.deadlines = [
                    (e.queued_deadline, e.order, e)
                    for e in self.entries.values()
                    if e.queued_deadline < math.inf
                ]
                heapq.heapify(self.deadlines)

    def load(self, now: float, hosts: list[Host]) -> None:
        """Apply the complete operator's file: hosts that it no longer lists drain and are removed."""
        listed_ids = {host.id for host in hosts}
        for host in hosts:
            old = self.entries.get(host.id)
            if old is None or old.ttl_s or old.host != host:
                self.mark_alive(host.id)
                self.put(now, Entry(host, drain_requested=host.state == "draining"))
        for entry in [e for e in self.entries.values() if not e.ttl_s and e.host.id not in listed_ids]:
            self.drain_entry(now, entry)

    def register(self, now: float, host: Host, incarnation: int, ttl_s: float) -> None:
        """Register a host; a repeated registration only renews the lease.

        Raises:
            RegistrationConflictError: A newer incarnation is known, or the operator's file lists the host.
        """
        old = self.entries.get(host.id)
        if old is not None and not old.ttl_s and old.host.state != "removed":
            raise RegistrationConflictError("the file names this host")
        if old is not None and incarnation < old.incarnation:
            raise RegistrationConflictError(f"incarnation {old.incarnation} is known")
        self.mark_alive(host.id)
        if old is not None and old.host == host and old.incarnation == incarnation:
            old.ttl_s = ttl_s
            self.set_deadline(old, now + ttl_s)
        else:
            self.put(now, Entry(host, ttl_s=ttl_s, incarnation=incarnation, deadline=now + ttl_s))

    def find_registered(self, host_id: str, incarnation: int) -> Entry:
        """Return the entry of a registered host.

        Raises:
            RegistrationConflictError: It is not registered, or another incarnation of it is.
        """
        entry = self.entries.get(host_id)
        if entry is None or not entry.ttl_s or entry.host.state == "removed":
            raise RegistrationConflictError("not registered")
        if entry.incarnation != incarnation:
            raise RegistrationConflictError(f"incarnation {entry.incarnation} is known")
        return entry

    def renew(self, now: float, host_id: str, incarnation: int) -> None:
        """Renew a lease; a host whose lease expired and that is not removed yet is up again.

        Raises:
            RegistrationConflictError: It is not registered, or another incarnation of it is.
        """
        entry = self.find_registered(host_id, incarnation)
        self.mark_alive(host_id)
        if entry.drain_requested:
            return
        self.set_deadline(entry, now + entry.ttl_s)
        if entry.host.state != "up":
            entry.host = replace(entry.host, state="up")
            self.put(now, entry)

    def mark_alive(self, host_id: str) -> None:
        """Clear a host's tombstone and its records of an expired lease."""
        self.tombstones.pop(host_id, None)
        self.preserved_hosts.discard(host_id)
        self.recent_expiries.pop(host_id, None)

    def drain(self, now: float, host_id: str, incarnation: int) -> None:
        """Drain a registered host at its own request.

        Raises:
            RegistrationConflictError: It is not registered, or another incarnation of it is.
        """
        entry = self.find_registered(host_id, incarnation)
        if not entry.drain_requested:
            self.drain_entry(now, entry)

    def deregister(self, now: float, host_id: str, incarnation: int) -> None:
        """Remove a registered host at its own request, without a drain.

        Raises:
            RegistrationConflictError: It is not registered, or another incarnation of it is.
        """
        self.remove(now, self.find_registered(host_id, incarnation))

    def drain_entry(self, now: float, entry: Entry) -> None:
        """Drain a host that asked for it or that the operator's file dropped; it is removed afterwards."""
        if entry.host.state == "up":
            self.start_draining(now, entry)
        elif entry.host.state == "draining":
            self.set_deadline(entry, min(entry.deadline, now + DRAIN_DURATION_S))
        entry.drain_requested = True

    def start_draining(self, now: float, entry: Entry) -> None:
        """List a host as draining for DRAIN_DURATION_S."""
        entry.deadline = now + DRAIN_DURATION_S
        entry.host = replace(entry.host, state="draining")
        self.put(now, entry)

    def remove(self, now: float, entry: Entry) -> None:
        """Replace an entry by its tombstone, and drop the oldest tombstone past MAX_TOMBSTONES."""
        entry.host, entry.deadline = replace(entry.host, state="removed"), now + TOMBSTONE_LIFETIME_S
        self.preserved_hosts.discard(entry.host.id)
        self.tombstones[entry.host.id] = None
        self.put(now, entry)
        if len(self.tombstones) > MAX_TOMBSTONES:
            self.drop_tombstone(next(iter(self.tombstones)))

    def drop_tombstone(self, host_id: str) -> None:
        """Forget a removed host; watchers from before its removal get the complete list from now on."""
        del self.tombstones[host_id]
        self.change_order.pop(host_id, None)
        self.oldest_version = max(self.oldest_version, self.entries.pop(host_id).changed_at_version)

    # Time

    def tick(self, now: float) -> list[Answer]:
        """Run everything that is due, and return the answers for watches."""
        if now >= self.expiry_check_at:
            self.expiry_check_at = now + EXPIRY_CHECK_INTERVAL_S
            self.check_expiry(now)
        return self.wake(now)

    def check_expiry(self, now: float) -> None:
        """Drain hosts with expired leases, remove drained hosts, and drop old tombstones and idle views."""
        self.views.expire(now)
        for entry in self.due_entries(now):
            if entry.host.state == "removed":
                if entry.host.id in self.tombstones:  # the removal of another host may have dropped it
                    self.drop_tombstone(entry.host.id)
            elif entry.host.state == "draining":
                self.remove(now, entry)
            elif self.may_expire(now):
                self.recent_expiries.pop(entry.host.id, None)
                self.recent_expiries[entry.host.id] = now
                self.preserved_hosts.discard(entry.host.id)
                self.start_draining(now, entry)
            else:
                self.preserved_hosts.add(entry.host.id)

    def due_entries(self, now: float) -> list[Entry]:
        """Return entries whose deadline has passed, in list order and limited per check.

        Hosts that self-preservation keeps listed are included only if one of them may expire now.
        """
        due: list[Entry] = []
        while self.deadlines and self.deadlines[0][0] <= now:
            if len(due) >= MAX_EXPIRIES_PER_CHECK:
                self.expiry_check_at = now
                break
            queued_for, _, entry = heapq.heappop(self.deadlines)
            if entry.queued_deadline != queued_for or self.entries.get(entry.host.id) is not entry:
                continue  # it is queued again for an earlier time, or another entry has replaced it
            entry.queued_deadline = math.inf
            if entry.deadline <= now:
                due.append(entry)
            elif entry.deadline < math.inf:
                self.set_deadline(entry, entry.deadline)
        if self.preserved_hosts and len(due) < MAX_EXPIRIES_PER_CHECK and self.may_expire(now):
            preserved = (self.entries.get(host_id) for host_id in self.preserved_hosts)
            overdue = [e for e in preserved if e is not None and e.deadline <= now and e.host.state == "up"]
            due += heapq.nsmallest(MAX_EXPIRIES_PER_CHECK, overdue, key=lambda entry: entry.order)
            if len(overdue) > MAX_EXPIRIES_PER_CHECK:
                self.expiry_check_at = now
        return sorted(due, key=lambda entry: entry.order)

    def may_expire(self, now: float) -> bool:
        """Return whether self-preservation lets one more host expire now.

        When many leases expire together, the fault may lie between the hosts and this service. So only a
        fraction of the registered hosts may expire within a window, but always at least one.
        """
        for host_id in list(
            itertools.takewhile(
                lambda i: self.recent_expiries[i] <= now - SELF_PRESERVATION_WINDOW_S, self.recent_expiries
            )
        ):
            del self.recent_expiries[host_id]
        return len(self.recent_expiries) < max(
            1, math.floor(SELF_PRESERVATION_FRACTION * (self.registered_up_count + len(self.recent_expiries)))
        )

    def due(self) -> float:
        """Return when `tick` must be called next."""
        return (
            -math.inf
            if self.views.ready_views
            else min(
                self.expiry_check_at,
                self.wake_at,
                self.watch_deadlines[0][0] if self.watch_deadlines else math.inf,
            )
        )

    # Watches

    def all_hosts(self) -> tuple[Host, ...]:
        """Return all hosts that are not removed, in list order."""
        return tuple(e.host for e in self.entries.values() if e.host.state != "removed")

    def changes_since(self, version: int) -> tuple[Host, ...] | None:
        """Return the hosts that changed after a version, in list order; None if they are no longer known.

        The cost grows with the number of changes, not with the length of the list.
        """
        if not self.oldest_version <= version <= self.version:
            return None
        changed = []
        for host_id in reversed(self.change_order):
            entry = self.entries.get(host_id)
            if entry is not None and entry.changed_at_version <= version:
                break
            changed += [entry] if entry is not None else []
        return tuple(e.host for e in sorted(changed, key=lambda entry: entry.order))

    def answer(self, key: object, index: int | None) -> Answer:
        """Return the changes since `index`, or the complete list if it is None or too old."""
        changed = None if index is None else self.changes_since(index)
        if changed is None:
            return Answer(key, None, self.version, self.all_hosts())
        return Answer(key, index, self.version, changed)

    def watch(self, now: float, key: object, index: int, wait_s: float, epoch: str | None) -> Answer | None:
        """Return an answer if there is a newer version; else None, and `tick` returns the answer later."""
        if (epoch is not None and epoch != self.epoch) or self.changes_since(index) is None:
            return self.answer(key, None)
        if index < self.version or wait_s <= 0:
            return self.answer(key, index)
        watch = self.full_list_watches[key] = Watch(key, index, now + min(wait_s, MAX_WAIT_S))
        self.add_watch(watch)
        return None

    def add_watch(self, watch: Watch) -> None:
        """Add a waiting watch and queue its deadline."""
        self.watches[watch.key] = watch
        heapq.heappush(self.watch_deadlines, (watch.deadline, next(self.sequence), watch.key))

    def cancel_watch(self, key: object) -> None:
        """Remove a watch before its deadline: it was answered, or the watcher disconnected."""
        self.remove_watch(key)
        while self.watch_deadlines and self.watch_deadlines[0][2] not in self.watches:
            heapq.heappop(self.watch_deadlines)
        # Drop removed watches before they fall due.
        if len(self.watch_deadlines) > 2 * len(self.watches) + 16:
            self.watch_deadlines = [item for item in self.watch_deadlines if item[2] in self.watches]
            heapq.heapify(self.watch_deadlines)

    def remove_watch(self, key: object) -> Watch | None:
        """Remove a watch and return it; its item stays in the deadline heap."""
        watch = self.watches.pop(key, None)
        self.full_list_watches.pop(key, None)
        if watch is not None and watch.view is not None:
            self.views.remove_watch(watch.view, key)
        return watch

    def wake(self, now: float) -> list[Answer]:
        """Return answers for watches with newer changes and for watches whose deadline has passed."""
        answers: list[Answer] = []
        if now >= self.wake_at:
            self.wake_at = math.inf
            answers = self.wake_full_list_watches()
            self.views.release_batch()
        if self.views.ready_views:
            answers += self.wake_view_watches()
        for answer in answers:
            self.cancel_watch(answer.key)
        while self.watch_deadlines and self.watch_deadlines[0][0] <= now:
            _, _, key = heapq.heappop(self.watch_deadlines)
            if key in self.watches:
                watch = self.watches[key]
                answers.append(
                    self.answer(key, watch.index)
                    if watch.view is None
                    else self.view_answer(key, self.views.current(now, watch.view, self.version), watch.index)
                )
                self.remove_watch(key)
        return answers

    def wake_full_list_watches(self) -> list[Answer]:
        """Answer the watches of the complete list; the changes are collected once for each version."""
        answers_by_index: dict[int, Answer] = {}
        outdated = [watch for watch in self.full_list_watches.values() if watch.index < self.version]
        for watch in outdated:
            if watch.index not in answers_by_index:
                answers_by_index[watch.index] = self.answer(watch.key, watch.index)
        return [replace(answers_by_index[watch.index], key=watch.key) for watch in outdated]

    # Views

    def view(self, now: float, key: object, view: SubsetSpec) -> Answer:
        """Return the complete view.

        Raises:
            TooManyViewsError: It is not live, and no other view can make room for it.
        """
        return self.view_answer(key, self.views.current(now, view, self.version), None)

    def watch_view(
        self, now: float, key: object, view: SubsetSpec, index: int, wait_s: float, epoch: str | None
    ) -> Answer | None:
        """Do as `watch` does, for hosts that change in a view, enter it or leave it.

        Raises:
            TooManyViewsError: It is not live, and no other view can make room for it.
        """
        live = self.views.current(now, view, self.version)
        if (epoch is not None and epoch != self.epoch) or not live.oldest_version <= index <= self.version:
            return self.view_answer(key, live, None)
        if index < live.changed_at_version or wait_s <= 0:
            return self.view_answer(key, live, index)
        self.views.add_watch(live, key)
        self.add_watch(Watch(key, index, now + min(wait_s, MAX_WAIT_S), view))
        return None

    def view_answer(self, key: object, live: LiveView, index: int | None) -> Answer:
        """Return the changes of an up-to-date view since `index`, or all its hosts."""
        if index is None or index < live.oldest_version:
            return Answer(key, None, self.version, live.all_hosts(), live.view, self.views.total(live.view))
        return Answer(
            key, index, self.version, live.changes_since(index), live.view, self.views.total(live.view)
        )

    def wake_view_watches(self) -> list[Answer]:
        """Answer the watches of some outdated views; later ticks take the others, so that no tick is long."""
        answers = []
        for live in self.views.refresh_ready(REFRESH_HOSTS_PER_TICK, self.version):
            answers += [
                self.view_answer(key, live, self.watches[key].index)
                for key in live.watch_keys
                if self.watches[key].index < live.changed_at_version
            ]
        return answers
