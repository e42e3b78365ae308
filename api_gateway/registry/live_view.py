"""One live view: its hosts as they were served last, and what entered, left or changed in it by version."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from api_gateway.base.subsets import SubsetSpec

if TYPE_CHECKING:
    from api_gateway.registry.core import Host

MIN_CHANGES_KEPT = 256  # changes within a view that are remembered; of large views twice their hosts


@dataclass(eq=False, slots=True)
class LiveView:
    """A view that somebody asked for lately.

    Attributes:
        view: What it is a view of.
        number: Its own number, in the order of their beginnings.
        oldest_version: Changes since an older version are not known any longer.
        hosts: Its hosts by group and id, as served.
        changes: The last change of each host by id, with its version, oldest first; a host that left is
            removed there.
        outdated_groups: Groups in which something may have changed.
        watch_keys: Watches that wait on it.
        changed_at_version: Version of the last change.
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
        """Hosts, about, that a refresh deals with."""
        return self.view.group_size * len(self.outdated_groups)

    def all_hosts(self) -> tuple[Host, ...]:
        """Return its hosts."""
        return tuple(host for hosts in self.hosts.values() for host in hosts.values())

    def changes_since(self, version: int) -> tuple[Host, ...]:
        """Return the hosts that changed, entered or left after a version, the latest first."""
        newer = itertools.takewhile(lambda change: change[0] > version, reversed(self.changes.values()))
        return tuple(host for _, host in newer)

    def record_change(self, version: int, host: Host) -> None:
        """Note a change of a host, in place of an older one."""
        self.changes.pop(host.id, None)
        self.changes[host.id] = (version, host)
        self.changed_at_version = version

    def trim(self, horizon: int) -> None:
        """Forget changes up to the version `horizon`, and those past the bound."""
        changes = self.changes
        for name in list(itertools.takewhile(lambda name: changes[name][0] <= horizon, changes)):
            self.oldest_version = changes.pop(name)[0]
        limit = max(MIN_CHANGES_KEPT, 2 * sum(map(len, self.hosts.values())))
        while len(changes) > limit:
            self.oldest_version = changes.pop(next(iter(changes)))[0]
