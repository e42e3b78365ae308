"""One live view: its hosts as last served, and the versions at which hosts entered, left or changed."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from api_gateway.base.subsets import SubsetSpec

if TYPE_CHECKING:
    from api_gateway.registry.core import Host

MIN_CHANGES_KEPT = 256  # remembered changes of a view; a large view remembers twice as many as it has hosts


@dataclass(eq=False, slots=True)
class LiveView:
    """A view that was requested recently.

    Attributes:
        view: The specification of the view.
        number: Its unique number; views are numbered in the order of creation.
        oldest_version: Changes since an older version are no longer known.
        hosts: Its hosts by group and id, as last served.
        changes: The last change of each host by id, with its version, oldest first; a host that left the
            view has the state "removed" here.
        outdated_groups: Groups that may have changed since the last refresh.
        watch_keys: Keys of the watches that wait for a change in the view.
        changed_at_version: The version of its last change.
    """

    view: SubsetSpec
    number: int
    oldest_version: int
    hosts: dict[str | None, dict[str, Host]] = field(default_factory=dict)
    changes: dict[str, tuple[int, Host]] = field(default_factory=dict)
    outdated_groups: dict[str | None, None] = field(default_factory=dict)
    watch_keys: dict[object, None] = field(default_factory=dict)
    changed_at_version: int = 0

    @property
    def refresh_cost(self) -> int:
        """Approximate number of hosts that a refresh processes."""
        return self.view.group_size * len(self.outdated_groups)

    def all_hosts(self) -> tuple[Host, ...]:
        """Return the hosts of all groups."""
        return tuple(host for hosts in self.hosts.values() for host in hosts.values())

    def changes_since(self, version: int) -> tuple[Host, ...]:
        """Return the hosts that changed, entered or left after a version, latest first."""
        newer = itertools.takewhile(lambda change: change[0] > version, reversed(self.changes.values()))
        return tuple(host for _, host in newer)

    def record_change(self, version: int, host: Host) -> None:
        """Record a change of a host, which replaces an older change."""
        self.changes.pop(host.id, None)
        self.changes[host.id] = (version, host)
        self.changed_at_version = version

    def trim(self, horizon: int) -> None:
        """Forget changes up to the version `horizon`, and the oldest changes above the limit."""
        changes = self.changes
        for host_id in list(itertools.takewhile(lambda host_id: changes[host_id][0] <= horizon, changes)):
            self.oldest_version = changes.pop(host_id)[0]
        limit = max(MIN_CHANGES_KEPT, 2 * sum(map(len, self.hosts.values())))
        while len(changes) > limit:
            self.oldest_version = changes.pop(next(iter(changes)))[0]
