"""Live views: which hosts each of them holds, and which of them a change concerns.

A change costs no pass over all views (see `view_arcs`). Only the views that it concerns are made anew, in
time that grows with their size, when they are asked for or their watches are woken. Where more than
BURST_CHANGES come together all views are made anew, and where a zone has its first host or has lost its last,
all views of that group.
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

MAX_VIEWS = 8192  # live at once, where nothing else is said
IDLE_LIFETIME_S = 60.0  # for which a view that nobody asks for any longer is kept
MIN_IDLE_LIFETIME_S = 5.0  # that it is kept though there are too many: the next watch comes sooner
BURST_CHANGES = 512  # that are looked up one by one
CHANGE_LIFETIME_S = 600.0  # for which a change is remembered, as removed hosts are
HORIZON_STEPS = 10  # points in time, within that, of which the version is remembered
MAX_REMOVED_HOSTS = 4096  # records of hosts that left views, which all of these share

HostsById = dict[str, "Host"]


class TooManyViewsError(RegistryError):
    """As many views are live as may be, and none of them is idle for long enough.

    Attributes:
        limit: How many may be live.
    """

    def __init__(self, limit: int) -> None:
        """Keep the limit."""
        super().__init__(f"{limit} views are live")
        self.limit = limit


class LiveViews:
    """All live views, over the hosts that the registry puts in and takes out.

    Times are seconds of the caller's clock, versions those of the registry.

    Attributes:
        max_views: How many may be live at once.
        rings: Where the listed hosts are.
        live_views: The views, by what they are views of.
        idle_until: Ends of those that no watch waits on, the earliest first.
        arcs_by_group: What the views take of each group's rings.
        versions_by_age: Times and the versions then, the oldest first.
        has_burst: Whether more changed since the last pass than is looked up one by one.
        ready_views: Views with watches, by number, that are to be made anew.
    """

    def __init__(self, max_views: int = MAX_VIEWS) -> None:
        """Start without hosts and views."""
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
        self._now = 0.0  # of the last input that had a time
        self._removed_hosts: dict[str, tuple[Host, Host]] = {}  # by id, as it was last, and as removed
        self._pending_changes: list[tuple[str, str, int]] = []  # kind, zone and place of each
        self._rezoned_groups: set[str | None] = set()  # groups that have other zones now
        self._gathering: dict[int, LiveView] = {}  # outdated ones with watches, until these are woken

    # Changes of hosts

    def put(self, host: Host) -> None:
        """Take a new or changed host; one that is removed goes."""
        self.note_change(host.id)
        known = self.rings.entries.get(host.id)
        groups = {None, host.kind, known.kind if known is not None else None}
        zones = {group: self.rings.zone_count(group) for group in groups}
        if host.state == "removed":
            self.rings.remove_endpoint(host.id)
            self._listed_hosts.pop(host.id, None)
        else:
            self.rings.set_endpoint(host.id, host.kind, host.zone, host.state == "up")
            self._listed_hosts[host.id] = host
            self.note_change(host.id)
        self._rezoned_groups |= {group for group in groups if self.rings.zone_count(group) != zones[group]}

    def note_change(self, host_id: str) -> None:
        """Note that something changes where a host is now."""
        known = self.rings.entries.get(host_id)
        if known is None or not self.live_views or self.has_burst:
            return
        change = (known.kind, known.zone, known.ring_key[0])
        if not self._pending_changes or self._pending_changes[-1] != change:
            self._pending_changes.append(change)
        if len(self._pending_changes) > BURST_CHANGES:
            self.has_burst = True
            self._pending_changes.clear()

    def release_gathered(self) -> None:
        """Make ready the views whose watches are to be woken."""
        self._mark_outdated()
        self.ready_views.update(self._gathering)
        self._gathering.clear()

    def _mark_outdated(self) -> None:
        """Mark the views that are concerned by what has changed since the last time."""
        if self.has_burst:
            for live in self.live_views.values():
                self._outdate(live, live.view.groups)
        for kind, zone, place in self._pending_changes:
            for group in (None, kind):
                if group in self.arcs_by_group:
                    for live in self.arcs_by_group[group].affected_views(zone, place):
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
            self._gathering[live.number] = live

    # Views

    def current(self, now: float, view: SubsetSpec, version: int) -> LiveView:
        """Return a view as it is at the present version.

        Raises:
            TooManyViewsError: It is not live, and no other can make place for it.
        """
        self._now = now
        live = self.live_views.get(view)
        if live is None:
            live = self._begin(view, version)
        if not live.watch_keys:
            self._keep_idle(live)
        return self._refresh(live, version)

    def refresh_ready(self, host_limit: int, version: int) -> list[LiveView]:
        """Make anew some of the views that are ready, about `host_limit` hosts in all, and return them."""
        refreshed = []
        while self.ready_views and host_limit > 0:
            live = self.ready_views.pop(next(iter(self.ready_views)))
            host_limit -= max(1, live.refresh_cost)
            refreshed.append(self._refresh(live, version))
        return refreshed

    def rebuild_group(self, live: LiveView, group: str | None) -> tuple[HostsById, HostsById]:
        """Make anew what a view holds of a group, and return its hosts there before and now."""
        arcs = self.arcs_by_group.setdefault(group, GroupArcs())
        listed = self._listed_hosts
        new: HostsById = {}
        for part in self.rings.parts(live.view, group):
            arcs.put(live, part)
            new.update({name: listed[name] for name in part.members})
        old = live.hosts.get(group, {})
        live.hosts[group] = new
        return old, new

    def total(self, view: SubsetSpec) -> int:
        """Return how many hosts are up in a view's groups."""
        return self.rings.total(view)

    def _begin(self, view: SubsetSpec, version: int) -> LiveView:
        if len(self.live_views) >= self.max_views:
            oldest = next(iter(self.idle_until), None)
            latest_end = self._now - MIN_IDLE_LIFETIME_S
            if oldest is None or self.idle_until[oldest] - IDLE_LIFETIME_S > latest_end:
                raise TooManyViewsError(self.max_views)
            self._end(oldest)
        self._mark_outdated()  # of what changed before, the new view knows all
        live = LiveView(view, next(self._numbers), version)
        self.live_views[view] = live
        live.outdated_groups.update(dict.fromkeys(view.groups))
        self._refresh(live, version)
        live.changes.clear()
        return live

    def _refresh(self, live: LiveView, version: int) -> LiveView:
        """Make a view anew where it may have changed, and return it."""
        self._mark_outdated()
        if not live.outdated_groups:
            return live
        old, new = self._rebuild_outdated(live)
        if old.keys() - new.keys():
            for host_id in [host_id for host_id in old if host_id not in new]:  # it is in no group now
                live.record_change(version, self._as_removed(old[host_id]))
        # The loop over all is the interpreter's own: it is most of what a change costs.
        is_changed = map(is_not, new.values(), map(old.get, new))
        for host in list(itertools.compress(new.values(), is_changed)):
            live.record_change(version, host)
        live.outdated_groups.clear()
        live.trim(self._horizon(version))
        return live

    def _rebuild_outdated(self, live: LiveView) -> tuple[HostsById, HostsById]:
        """Make the outdated groups anew; return the hosts of all of them before and now."""
        pairs = [self.rebuild_group(live, group) for group in list(live.outdated_groups)]
        if len(pairs) == 1:
            return pairs[0]
        old: HostsById = {}
        new: HostsById = {}
        for old_of_group, new_of_group in pairs:
            old.update(old_of_group)
            new.update(new_of_group)
        return old, new

    def _horizon(self, version: int) -> int:
        """Return the version of CHANGE_LIFETIME_S ago, or of a little before; -1 where none is that old."""
        ages = self.versions_by_age
        if not ages or self._now - ages[-1][0] >= CHANGE_LIFETIME_S / HORIZON_STEPS:
            ages.append((self._now, version))
        while len(ages) > 1 and ages[1][0] <= self._now - CHANGE_LIFETIME_S:
            ages.popleft()
        return ages[0][1] if ages[0][0] <= self._now - CHANGE_LIFETIME_S else -1

    def _as_removed(self, host: Host) -> Host:
        """Return a host as removed, though it may only have left a view: one object for all views."""
        host = self._listed_hosts.get(host.id, host)
        known = self._removed_hosts.get(host.id)
        if known is None or known[0] is not host:
            if len(self._removed_hosts) >= MAX_REMOVED_HOSTS:
                self._removed_hosts.clear()
            known = (host, replace(host, state="removed"))
            self._removed_hosts[host.id] = known
        return known[1]

    # Watches, and views that nobody watches

    def add_watch(self, live: LiveView, key: object) -> None:
        """Note that a watch waits on a view."""
        live.watch_keys[key] = None
        self.idle_until.pop(live.view, None)

    def remove_watch(self, view: SubsetSpec, key: object) -> None:
        """Note that a watch waits no longer; without any the view is idle."""
        live = self.live_views.get(view)
        if live is None or key not in live.watch_keys:
            return
        del live.watch_keys[key]
        if not live.watch_keys:
            self._unqueue(live)
            self._keep_idle(live)

    def expire(self, now: float) -> None:
        """End the views that were idle for too long."""
        self._now = now
        ends = self.idle_until
        for view in list(itertools.takewhile(lambda view: ends[view] <= now, ends)):
            self._end(view)

    def _keep_idle(self, live: LiveView) -> None:
        self.idle_until.pop(live.view, None)
        self.idle_until[live.view] = self._now + IDLE_LIFETIME_S

    def _unqueue(self, live: LiveView) -> None:
        self._gathering.pop(live.number, None)
        self.ready_views.pop(live.number, None)

    def _end(self, view: SubsetSpec) -> None:
        live = self.live_views.pop(view)
        self.idle_until.pop(view, None)
        self._unqueue(live)
        for group in view.groups:
            arcs = self.arcs_by_group[group]
            arcs.discard(live)
            if arcs.is_empty():
                del self.arcs_by_group[group]
