"""Live views: the hosts of each view, and which views a change affects.

A change needs no pass over all views (see `view_arcs`). Only the affected views are rebuilt, when they are
requested or their watches are woken; the time grows with the size of the view. After a burst of more than
BURST_CHANGES changes all views are rebuilt. When a zone gets its first host or loses its last one, all views
of that group are rebuilt.
"""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Iterable
from dataclasses import replace
from operator import is_not
from typing import TYPE_CHECKING

from api_gateway.base.subsets import EndpointRings, SubsetSpec
from api_gateway.registry.errors import RegistryError
from api_gateway.registry.live_view import LiveView
from api_gateway.registry.view_arcs import GroupArcs

if TYPE_CHECKING:
    from api_gateway.registry.core import Host

MAX_VIEWS = 8192  # default limit for live views
IDLE_LIFETIME_S = 60.0  # how long a view without watches or requests is retained
MIN_IDLE_LIFETIME_S = 5.0  # retained this long even at the limit, because the next watch comes sooner
BURST_CHANGES = 512  # changes that are processed one by one; above that all views are rebuilt
CHANGE_LIFETIME_S = 600.0  # how long a change is remembered; as long as tombstones
HORIZON_STEPS = 10  # times within CHANGE_LIFETIME_S whose versions are remembered
MAX_REMOVED_HOSTS = 4096  # records of hosts that left views, shared by all views

HostsById = dict[str, "Host"]


class TooManyViewsError(RegistryError):
    """The limit of live views is reached, and no view has been idle for long enough.

    Attributes:
        limit: Maximum number of live views.
    """

    def __init__(self, limit: int) -> None:
        """Store the limit."""
        super().__init__(f"{limit} views are live")
        self.limit = limit


class LiveViews:
    """All live views of the hosts that the registry lists.

    Times are seconds of the caller's clock; versions are those of the registry.

    Attributes:
        max_views: Maximum number of live views.
        rings: The listed hosts on their rings.
        live_views: The views by their specification.
        idle_until: When views without watches are discarded, earliest first.
        arcs_by_group: The arcs that the views take of each group's rings.
        versions_by_age: Earlier times with the version at that time, oldest first.
        has_burst: More than BURST_CHANGES changes are pending.
        ready_views: Outdated views whose watches are due to be woken, by number.
    """

    def __init__(self, max_views: int = MAX_VIEWS) -> None:
        """Start without hosts or views."""
        self.max_views = max_views
        self.rings = EndpointRings()
        self.live_views: dict[SubsetSpec, LiveView] = {}
        self.idle_until: dict[SubsetSpec, float] = {}
        self.arcs_by_group: dict[str | None, GroupArcs] = {}
        self.versions_by_age: deque[tuple[float, int]] = deque()
        self.has_burst = False
        self.ready_views: dict[int, LiveView] = {}
        self._listed_hosts: HostsById = {}
        self._numbers = itertools.count()
        self._now = 0.0  # time of the last call that passed one
        self._removed_hosts: dict[str, tuple[Host, Host]] = {}  # as last listed and as removed, by id
        self._pending_changes: list[tuple[str, str, int]] = []  # kind, zone and ring position of each
        self._rezoned_groups: set[str | None] = set()  # groups whose number of zones changed
        self._batched_views: dict[int, LiveView] = {}  # outdated, and woken at the end of the batch

    # Changes of hosts

    def put(self, host: Host) -> None:
        """Add or replace a host; a host in state "removed" is taken out."""
        self.add_pending_change(host.id)
        known = self.rings.entries.get(host.id)
        groups = {None, host.kind, known.kind if known is not None else None}
        zones = {group: self.rings.zone_count(group) for group in groups}
        if host.state == "removed":
            self.rings.remove_endpoint(host.id)
            self._listed_hosts.pop(host.id, None)
        else:
            self.rings.set_endpoint(host.id, host.kind, host.zone, host.state == "up")
            self._listed_hosts[host.id] = host
            self.add_pending_change(host.id)
        self._rezoned_groups |= {group for group in groups if self.rings.zone_count(group) != zones[group]}

    def add_pending_change(self, host_id: str) -> None:
        """Record a pending change at the current ring position of a host."""
        known = self.rings.entries.get(host_id)
        if known is None or not self.live_views or self.has_burst:
            return
        change = (known.kind, known.zone, known.ring_key[0])
        if not self._pending_changes or self._pending_changes[-1] != change:
            self._pending_changes.append(change)
        if len(self._pending_changes) > BURST_CHANGES:
            self.has_burst = True
            self._pending_changes.clear()

    def release_batch(self) -> None:
        """Make the outdated views with watches ready at the end of a batch of changes."""
        self._mark_outdated()
        self.ready_views.update(self._batched_views)
        self._batched_views.clear()

    def _mark_outdated(self) -> None:
        """Mark the views that the pending changes affect as outdated."""
        if self.has_burst:
            for live in self.live_views.values():
                self._outdate(live, live.view.groups)
        for kind, zone, position in self._pending_changes:
            for group in (None, kind):
                if group in self.arcs_by_group:
                    for live in self.arcs_by_group[group].affected_views(zone, position):
                        self._outdate(live, (group,))
        for group in self._rezoned_groups:
            if group in self.arcs_by_group:
                for live in self.arcs_by_group[group].views():
                    self._outdate(live, (group,))
        self.has_burst = False
        self._pending_changes.clear()
        self._rezoned_groups.clear()

    def _outdate(self, live: LiveView, groups: Iterable[str | None]) -> None:
        live.outdated_groups.update(dict.fromkeys(groups))
        if live.watch_keys:
            self._batched_views[live.number] = live

    # Views

    def current(self, now: float, view: SubsetSpec, version: int) -> LiveView:
        """Return a view, refreshed to the current version.

        Raises:
            TooManyViewsError: It is not live, and no other view can make room for it.
        """
        self._now = now
        live = self.live_views.get(view)
        if live is None:
            live = self._create_view(view, version)
        if not live.watch_keys:
            self._mark_idle(live)
        return self._refresh(live, version)

    def refresh_ready(self, host_limit: int, version: int) -> list[LiveView]:
        """Refresh some of the ready views, with about `host_limit` hosts in total, and return them."""
        refreshed = []
        while self.ready_views and host_limit > 0:
            live = self.ready_views.pop(next(iter(self.ready_views)))
            host_limit -= max(1, live.refresh_cost)
            refreshed.append(self._refresh(live, version))
        return refreshed

    def rebuild_group(self, live: LiveView, group: str | None) -> tuple[HostsById, HostsById]:
        """Rebuild a group of a view, and return its hosts before and after."""
        arcs = self.arcs_by_group.setdefault(group, GroupArcs())
        listed = self._listed_hosts
        new: HostsById = {}
        for part in self.rings.parts(live.view, group):
            arcs.put(live, part)
            new.update({host_id: listed[host_id] for host_id in part.members})
        old = live.hosts.get(group, {})
        live.hosts[group] = new
        return old, new

    def total(self, view: SubsetSpec) -> int:
        """Return the number of hosts that are up in a view's groups."""
        return self.rings.total(view)

    def _create_view(self, view: SubsetSpec, version: int) -> LiveView:
        if len(self.live_views) >= self.max_views:
            oldest = next(iter(self.idle_until), None)
            latest_end = self._now - MIN_IDLE_LIFETIME_S
            if oldest is None or self.idle_until[oldest] - IDLE_LIFETIME_S > latest_end:
                raise TooManyViewsError(self.max_views)
            self._discard_view(oldest)
        self._mark_outdated()  # first, because the new view includes all earlier changes
        live = LiveView(view, next(self._numbers), version)
        self.live_views[view] = live
        live.outdated_groups.update(dict.fromkeys(view.groups))
        self._refresh(live, version)
        live.changes.clear()
        return live

    def _refresh(self, live: LiveView, version: int) -> LiveView:
        """Rebuild the outdated groups of a view, record what changed, and return it."""
        self._mark_outdated()
        if not live.outdated_groups:
            return live
        old, new = self._rebuild_outdated(live)
        if old.keys() - new.keys():
            for host_id in [host_id for host_id in old if host_id not in new]:  # it left all groups
                live.record_change(version, self._as_removed(old[host_id]))
        # map() and compress() run this loop in C, because it takes most of the time of a change.
        is_changed = map(is_not, new.values(), map(old.get, new))
        for host in list(itertools.compress(new.values(), is_changed)):
            live.record_change(version, host)
        live.outdated_groups.clear()
        live.trim(self._oldest_kept_version(version))
        return live

    def _rebuild_outdated(self, live: LiveView) -> tuple[HostsById, HostsById]:
        """Rebuild the outdated groups, and return the hosts of all of them before and after."""
        pairs = [self.rebuild_group(live, group) for group in list(live.outdated_groups)]
        if len(pairs) == 1:
            return pairs[0]
        old: HostsById = {}
        new: HostsById = {}
        for old_of_group, new_of_group in pairs:
            old.update(old_of_group)
            new.update(new_of_group)
        return old, new

    def _oldest_kept_version(self, version: int) -> int:
        """Return the version CHANGE_LIFETIME_S ago or slightly earlier; -1 if no version is that old."""
        ages = self.versions_by_age
        if not ages or self._now - ages[-1][0] >= CHANGE_LIFETIME_S / HORIZON_STEPS:
            ages.append((self._now, version))
        while len(ages) > 1 and ages[1][0] <= self._now - CHANGE_LIFETIME_S:
            ages.popleft()
        return ages[0][1] if ages[0][0] <= self._now - CHANGE_LIFETIME_S else -1

    def _as_removed(self, host: Host) -> Host:
        """Return a host that left a view in state "removed"; all views share one object for it."""
        host = self._listed_hosts.get(host.id, host)
        record = self._removed_hosts.get(host.id)
        if record is None or record[0] is not host:
            if len(self._removed_hosts) >= MAX_REMOVED_HOSTS:
                self._removed_hosts.clear()
            record = (host, replace(host, state="removed"))
            self._removed_hosts[host.id] = record
        return record[1]

    # Watches and idle views

    def add_watch(self, live: LiveView, key: object) -> None:
        """Add a watch that waits for a change in a view."""
        live.watch_keys[key] = None
        self.idle_until.pop(live.view, None)

    def remove_watch(self, view: SubsetSpec, key: object) -> None:
        """Remove a watch; a view without watches becomes idle."""
        live = self.live_views.get(view)
        if live is None or key not in live.watch_keys:
            return
        del live.watch_keys[key]
        if not live.watch_keys:
            self._remove_from_queues(live)
            self._mark_idle(live)

    def expire(self, now: float) -> None:
        """Discard the views that were idle for too long."""
        self._now = now
        ends = self.idle_until
        for view in list(itertools.takewhile(lambda view: ends[view] <= now, ends)):
            self._discard_view(view)

    def _mark_idle(self, live: LiveView) -> None:
        self.idle_until.pop(live.view, None)
        self.idle_until[live.view] = self._now + IDLE_LIFETIME_S

    def _remove_from_queues(self, live: LiveView) -> None:
        self._batched_views.pop(live.number, None)
        self.ready_views.pop(live.number, None)

    def _discard_view(self, view: SubsetSpec) -> None:
        live = self.live_views.pop(view)
        self.idle_until.pop(view, None)
        self._remove_from_queues(live)
        for group in view.groups:
            arcs = self.arcs_by_group[group]
            arcs.discard(live)
            if arcs.is_empty():
                del self.arcs_by_group[group]
