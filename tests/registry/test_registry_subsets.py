"""Views of the list service: answers to watches of a view, from the core and over sockets."""

import asyncio
import json
import math
import random

import pytest
from netkit import on_loop, wait_until
from test_registry import host, tick_until_idle
from test_registry_service import Serving

from api_gateway.base.subsets import RING_SIZE, SubsetSpec, position_of_endpoint
from api_gateway.registry import answer_encoding, core, live_view, view_arcs
from api_gateway.registry import service as module
from api_gateway.registry import subsets as views
from api_gateway.registry.config import read_config
from api_gateway.registry.core import RegistrationConflictError, Registry
from api_gateway.registry.subsets import TooManyViewsError


def filled_registry(count, zones="ab", kinds=("k",), most=8192):
    registry = Registry("e", 1, most)
    registry.load(
        0.0, [host(f"h{n}", zone=zones[n % len(zones)], kind=kinds[n % len(kinds)]) for n in range(count)]
    )
    tick_until_idle(registry, 1.0)
    return registry


def view_members(registry, view):
    return registry.views.rings.members(view)


def hosts_outside_view(registry, view):
    return sorted(name for name in registry.entries if name not in view_members(registry, view))


def change_host(registry, now, host_id, **fields):
    old = registry.entries[host_id]
    registry.put(now, core.Entry(core.replace(old.host, **fields)))


# The core


def test_watch_of_a_view_is_woken_only_by_changes_within_it():
    registry, view = filled_registry(200), SubsetSpec(3, 20, "a")
    complete = registry.view(1.0, "k", view)
    assert (
        complete.index is None
        and {h.id for h in complete.hosts} == view_members(registry, view)
        and complete.total == 200
    )
    assert registry.watch_view(1.0, "k", view, complete.version, 60.0, "e") is None
    change_host(registry, 2.0, hosts_outside_view(registry, view)[0], weight=2.0)
    assert tick_until_idle(registry, 2.2) == [] and "k" in registry.watches
    member = sorted(view_members(registry, view))[0]
    change_host(registry, 3.0, member, weight=2.0)
    answers = tick_until_idle(registry, 3.2)
    assert [(a.key, a.index, a.version) for a in answers] == [("k", complete.version, registry.version)]
    assert [(h.id, h.weight) for h in answers[0].hosts] == [(member, 2.0)]
    assert not registry.watches and not registry.views.live_views[view].watch_keys


def test_hosts_that_enter_or_leave_a_view_are_answered_as_changes():
    registry, view = filled_registry(200), SubsetSpec(3, 20, "a")
    start_version, before = registry.view(1.0, "k", view).version, view_members(registry, view)
    drained = sorted(before)[0]
    restored = registry.entries[drained].host
    registry.drain_entry(1.0, registry.entries[drained])
    assert [
        (h.id, h.state)
        for h in registry.watch_view(1.0, "k", view, start_version, 0.0, "e").hosts
        if h.id == drained
    ] == [(drained, "draining")]
    tick_until_idle(registry, 1.5 + core.DRAIN_DURATION_S)
    states = {h.id: h.state for h in registry.watch_view(12.0, "k", view, start_version, 0.0, "e").hosts}
    entered = view_members(registry, view) - before
    assert len(entered) == 1 and states == {drained: "removed", **dict.fromkeys(entered, "up")}
    middle_version = registry.version
    registry.load(13.0, [e.host for e in registry.entries.values() if e.host.id != drained] + [restored])
    states = {h.id: h.state for h in registry.watch_view(13.0, "k", view, middle_version, 0.0, "e").hosts}
    # The hosts that had entered left the view again, but they are still listed.
    assert states[drained] == "up" and {states[name] for name in entered} == {"removed"}
    assert all(registry.entries[name].host.state == "up" for name in entered)


def test_host_that_changes_its_kind_leaves_one_view_and_enters_another():
    registry = filled_registry(40, kinds=("k", "l"))
    kind_views = [SubsetSpec(1, 6, "a", (kind,)) for kind in "kl"]
    versions = [registry.view(1.0, None, view).version for view in kind_views]
    name = next(
        n
        for n in sorted(view_members(registry, kind_views[0]), key=position_of_endpoint)
        if registry.entries[n].host.kind == "k"
    )
    large_view = SubsetSpec(1, 100, "a", ("l",))
    registry.view(1.0, None, large_view)
    change_host(registry, 2.0, name, kind="l")
    states_in_first = {
        h.id: h.state for h in registry.watch_view(2.0, "k", kind_views[0], versions[0], 0.0, "e").hosts
    }
    states_in_large = {
        h.id: h.state for h in registry.watch_view(2.0, "l", large_view, versions[0], 0.0, "e").hosts
    }
    assert states_in_first[name] == "removed" and states_in_large == {name: "up"}


@pytest.mark.parametrize(
    "index, epoch, is_complete",
    [
        (0, "e", False),
        (0, None, False),
        (-1, "e", True),
        (1, "e", True),
        (2**60, None, True),
        (0, "other", True),
        (0, "", True),
    ],
)
def test_unknown_index_or_other_epoch_gets_the_complete_view(index, epoch, is_complete):
    registry, view = filled_registry(200), SubsetSpec(3, 20, "a")
    registry.view(1.0, "k", view)
    answer = registry.watch_view(1.0, "k", view, registry.version + index, 0.0, epoch)
    assert (answer.index is None) == is_complete and len(answer.hosts) == (20 if is_complete else 0)


def test_new_view_size_or_discarded_view_gets_a_complete_answer():
    registry, view = filled_registry(200), SubsetSpec(3, 20, "a")
    version = registry.view(1.0, "k", view).version
    change_host(registry, 1.5, "h0", weight=3.0)
    larger = registry.watch_view(2.0, "k", SubsetSpec(3, 30, "a"), version, 60.0, "e")
    assert larger.index is None and len(larger.hosts) == 30
    tick_until_idle(registry, now := 2.0 + views.IDLE_LIFETIME_S - 1.0)
    assert registry.watch_view(now, "k", SubsetSpec(3, 30, "a"), larger.version, 0.0, "e").index is not None
    assert view not in registry.views.live_views
    tick_until_idle(registry, 2.0 + 2 * views.IDLE_LIFETIME_S)
    assert (
        not registry.views.live_views and not registry.views.idle_until and not registry.views.arcs_by_group
    )
    assert registry.watch_view(200.0, "k", view, version, 60.0, "e").index is None


def test_watched_view_stays_live_and_is_discarded_after_its_watchers_disconnect():
    registry, view = filled_registry(200), SubsetSpec(3, 20, "a")
    version = registry.view(1.0, "k", view).version
    for n in range(5):
        assert registry.watch_view(2.0, n, view, version, 60.0, "e") is None
    tick_until_idle(registry, 61.9)
    assert view in registry.views.live_views
    for n in range(5):
        registry.cancel_watch(n)
    assert not registry.watches and not registry.views.live_views[view].watch_keys
    tick_until_idle(registry, 63.0 + views.IDLE_LIFETIME_S)
    assert not registry.views.live_views


def test_remembered_changes_of_a_view_are_bounded(monkeypatch):
    monkeypatch.setattr(live_view, "MIN_CHANGES_KEPT", 10)
    registry, view = filled_registry(40), SubsetSpec(3, 5, "a")
    first = registry.view(1.0, "k", view).version
    for n in range(200):
        name = f"h{n % 40}"
        change_host(
            registry, 2.0 + n, name, state="draining" if registry.entries[name].host.state == "up" else "up"
        )
        registry.watch_view(2.0 + n, "k", view, registry.version, 0.0, "e")
    live = registry.views.live_views[view]
    assert len(live.changes) <= 4 * 5 and registry.watch_view(300.0, "k", view, first, 0.0, "e").index is None
    assert registry.watch_view(300.0, "k", view, live.oldest_version, 0.0, "e").index == live.oldest_version


def test_changes_of_a_view_are_forgotten_after_their_lifetime():
    registry, view = filled_registry(400), SubsetSpec(3, 40, "a")
    registry.view(1.0, "k", view)
    live, now, names = registry.views.live_views[view], 1.0, sorted(view_members(registry, view))
    versions_by_time = []  # times and versions, one per change
    for n in range(60):
        now += 30.0
        change_host(registry, now, names[n % 40], weight=1.0 + n)
        versions_by_time.append(
            (now, registry.watch_view(now, None, view, registry.version, 0.0, "e").version)
        )
        assert len(live.changes) <= (views.CHANGE_LIFETIME_S + views.CHANGE_LIFETIME_S / 10) / 30 + 2
    for changed_at, version in versions_by_time:
        answer = registry.watch_view(now, None, view, version, 0.0, "e")
        if changed_at > now - views.CHANGE_LIFETIME_S:
            assert answer.index == version and len(answer.hosts) == (now - changed_at) / 30
        elif changed_at < now - 1.2 * views.CHANGE_LIFETIME_S:
            assert answer.index is None
    assert len(registry.views.versions_by_age) <= 12


def test_lost_zone_is_answered_to_views_as_changes_despite_dropped_tombstones(monkeypatch):
    monkeypatch.setattr(core, "MAX_TOMBSTONES", 20)
    registry = filled_registry(600, zones="abc")
    all_views = [SubsetSpec(n, 40, "abc"[n % 3]) for n in range(12)]
    before = {view: view_members(registry, view) for view in all_views}
    list_version = registry.version
    for view in all_views:
        assert registry.watch_view(1.0, view, view, registry.view(1.0, None, view).version, 60.0, "e") is None
    lost_hosts = [name for name, entry in registry.entries.items() if entry.host.zone == "a"]
    for name in lost_hosts:
        registry.remove(2.0, registry.entries[name])
    answers = {answer.key: answer for answer in tick_until_idle(registry, 2.2)}
    assert registry.changes_since(list_version) is None and len(registry.tombstones) <= 20
    for view in all_views:
        assert answers[view].index is not None
        assert {h.id for h in answers[view].hosts if h.state == "removed"} == before[view] & set(lost_hosts)
        assert {h.id for h in answers[view].hosts if h.state == "up"} == view_members(
            registry, view
        ) - before[view]
    removed_by_id = {}  # all views share one object for a host that left
    for answer in answers.values():
        assert all(removed_by_id.setdefault(h.id, h) is h for h in answer.hosts if h.state == "removed")


def test_host_that_leaves_a_view_again_is_answered_with_its_latest_fields():
    registry, view = filled_registry(200), SubsetSpec(3, 20, "a")
    version = registry.view(1.0, None, view).version
    name = sorted(view_members(registry, view))[0]
    for started in (7, 9):
        change_host(registry, 2.0, name, started_ms=started, kind="k")
        assert registry.watch_view(2.0, None, view, version, 0.0, "e").hosts and name in view_members(
            registry, view
        )
        registry.remove(2.0, registry.entries[name])
        (removed,) = [
            h for h in registry.watch_view(2.0, None, view, version, 0.0, "e").hosts if h.id == name
        ]
        assert (removed.state, removed.started_ms) == ("removed", started)
        change_host(registry, 3.0, name, state="up")
        version = registry.watch_view(3.0, None, view, version, 0.0, "e").version


def test_views_above_the_limit_are_rejected_unless_an_idle_view_makes_room():
    registry = filled_registry(50, most=3)
    for n in range(3):
        registry.view(1.0, None, SubsetSpec(n, 5))
    with pytest.raises(TooManyViewsError):
        registry.view(2.0, None, SubsetSpec(3, 5))
    assert registry.watch_view(2.0, "k", SubsetSpec(0, 5), registry.version, 60.0, "e") is None
    registry.view(1.5 + views.MIN_IDLE_LIFETIME_S, None, SubsetSpec(3, 5))
    assert set(registry.views.live_views) == {
        SubsetSpec(0, 5),
        SubsetSpec(2, 5),
        SubsetSpec(3, 5),
    }  # the watched view stays
    registry.views.remove_watch(SubsetSpec(1, 5), "k")  # of a view that was discarded


def test_burst_of_changes_wakes_all_views_over_several_ticks(monkeypatch):
    monkeypatch.setattr(core, "REFRESH_HOSTS_PER_TICK", 100)
    monkeypatch.setattr(views, "BURST_CHANGES", 20)
    registry = filled_registry(600, zones="abc")
    all_views = [SubsetSpec(n, 30, "abc"[n % 3]) for n in range(40)]
    for view in all_views:
        assert registry.watch_view(1.0, view, view, registry.view(1.0, None, view).version, 60.0, "e") is None
    before = {view: view_members(registry, view) for view in all_views}
    for n in range(0, 600, 3):
        change_host(registry, 2.0, f"h{n}", state="draining")
    assert registry.views.has_burst and registry.wake_at == 2.0 + core.BATCH_DELAY_S
    answers = []
    while registry.due() <= 2.1:
        tick_answers = registry.tick(2.1)
        assert len(tick_answers) <= 4
        answers += tick_answers
    assert {a.key for a in answers} == set(all_views)
    for answer in answers:
        assert {h.id for h in answer.hosts if h.state == "up"} == view_members(registry, answer.key) - before[
            answer.key
        ]


def test_change_rebuilds_only_the_affected_views(monkeypatch):
    registry = filled_registry(6000, zones="abcdef")
    all_views = [SubsetSpec(n, 48, "abcdef"[n % 6]) for n in range(500)]
    for view in all_views:
        registry.view(1.0, None, view)
    rebuilt, rebuild_group = [], views.LiveViews.rebuild_group
    monkeypatch.setattr(
        views.LiveViews,
        "rebuild_group",
        lambda self, live, *rest: rebuilt.append(live.view) or rebuild_group(self, live, *rest),
    )
    before = {view: view_members(registry, view) for view in all_views}
    for n in range(20):
        change_host(registry, 2.0 + n, f"h{n}", state="draining")
        for view in all_views:
            registry.watch_view(2.0 + n, None, view, registry.version, 0.0, "e")
    affected_count = sum(f"h{n}" in before[view] for n in range(20) for view in all_views)
    assert 20 <= affected_count <= len(rebuilt) <= affected_count + 2 * 20


@pytest.mark.parametrize("kinds", [(), ("k",)])
def test_first_and_last_host_of_a_zone_update_all_views_of_the_group(kinds):
    """The part that a view takes of its own zone depends on the number of zones."""
    registry, view = filled_registry(600, zones="abbbb"), SubsetSpec(3, 60, "a", kinds)
    version, before = registry.view(1.0, None, view).version, view_members(registry, view)
    assert registry.watch_view(1.0, "k", view, version, 60.0, "e") is None
    registry.register(
        2.0,
        host(
            distant_host_id := max(
                registry.entries, key=lambda n: (position_of_endpoint(n) - view.position) % RING_SIZE
            )
            + "x",
            zone="c",
            kind="k",
        ),
        1,
        60.0,
    )
    (answer,) = tick_until_idle(registry, 2.2)
    after = view_members(registry, view)
    assert distant_host_id not in after and len(after - before) > 5
    assert {h.id: h.state for h in answer.hosts} == {
        **dict.fromkeys(after - before, "up"),
        **dict.fromkeys(before - after, "removed"),
    }
    assert registry.watch_view(3.0, "k", view, answer.version, 60.0, "e") is None
    registry.drain(3.0, distant_host_id, 1)
    (answer,) = tick_until_idle(registry, 3.2)
    assert {h.id for h in answer.hosts if h.state == "up"} == before - after and view_members(
        registry, view
    ) >= before


def test_arcs_are_found_at_every_position_of_the_ring():
    rng, arcs, arcs_by_number = random.Random(3), view_arcs.Arcs(), {}
    for _ in range(600):
        number = rng.randrange(40)
        live = (
            arcs_by_number[number][0]
            if number in arcs_by_number
            else live_view.LiveView(SubsetSpec(number, 5), number, 1)
        )
        if rng.random() < 0.2:
            arcs.discard(live)
            arcs_by_number.pop(number, None)
        else:
            length = rng.choice([0, rng.randrange(RING_SIZE // 50), rng.randrange(RING_SIZE), None])
            end = None if length is None else ((live.view.position + length) % RING_SIZE, "x")
            arcs.put(live, view_arcs.SubsetPart(None, True, (), end))
            arcs_by_number[number] = live, length
        position = rng.choice([0, RING_SIZE - 1, rng.randrange(RING_SIZE), live.view.position])
        assert sorted(found.number for found in arcs.covering(position)) == sorted(
            n
            for n, (other, length) in arcs_by_number.items()
            if length is None or (position - other.view.position) % RING_SIZE <= length
        )


class Client:
    """Applies answers as a gateway does: changes are merged into its view, a complete view replaces it."""

    def __init__(self, view):
        self.view, self.index, self.hosts_by_id, self.waiting = view, None, {}, False

    def take(self, answer):
        assert answer.view == self.view and len(answer.hosts) <= 4 * self.view.size + 64
        if answer.index is None:
            self.hosts_by_id = {}
        else:
            assert answer.index == self.index
        for changed_host in answer.hosts:
            if changed_host.state == "removed":
                self.hosts_by_id.pop(changed_host.id, None)
            else:
                self.hosts_by_id[changed_host.id] = changed_host
        self.index, self.waiting = answer.version, False


def run_random_operations(seed, monkeypatch, steps=300):
    """Check that clients that apply their answers have the view of that version, after random operations."""
    rng = random.Random(seed)
    monkeypatch.setattr(views, "BURST_CHANGES", rng.choice([0, 3, 512]))
    monkeypatch.setattr(live_view, "MIN_CHANGES_KEPT", rng.choice([1, 256]))
    monkeypatch.setattr(views, "IDLE_LIFETIME_S", 5.0)
    monkeypatch.setattr(views, "CHANGE_LIFETIME_S", rng.choice([1.0, 10.0, 600.0]))
    monkeypatch.setattr(views, "MAX_REMOVED_HOSTS", rng.choice([2, 4096]))
    monkeypatch.setattr(core, "REFRESH_HOSTS_PER_TICK", rng.choice([1, 30, 16384]))
    monkeypatch.setattr(core, "TOMBSTONE_LIFETIME_S", 8.0)
    monkeypatch.setattr(core, "MAX_TOMBSTONES", 6)
    registry, now = Registry("e", 1), 0.0
    zones, kinds = rng.choice(["a", "ab", "abcd"]), rng.choice(["k", "kl"])
    clients = [
        Client(
            SubsetSpec(
                rng.randrange(9),
                rng.choice([1, 4, 9, 40]),
                rng.choice([*zones, ""]),
                rng.choice([(), ("k",), ("k", "l")]),
            )
        )
        for _ in range(8)
    ]
    clients += [Client(clients[0].view) for _ in range(2)]
    names = [f"h{n}" for n in range(rng.choice([10, 60]))]

    def apply_answer(client, answer):
        client.take(answer)
        if answer.version == registry.version:
            assert client.hosts_by_id == {
                n: registry.entries[n].host for n in view_members(registry, client.view)
            }
            assert answer.total == registry.views.rings.total(client.view)

    for _ in range(steps):
        now += rng.choice([0.0, 0.01, 0.06, 0.3, 2.0])
        for _ in range(rng.choice([0, 1, 1, 8])):
            name = rng.choice(names)
            try:
                operation = rng.choice(["register"] * 4 + ["renew", "drain", "deregister"])
                if operation == "register":
                    registry.register(
                        now,
                        host(name, zone=rng.choice(zones), kind=rng.choice(kinds)),
                        1,
                        rng.choice([1.0, 60.0]),
                    )
                elif operation == "renew":
                    registry.renew(now, name, 1)
                elif operation == "drain":
                    registry.drain(now, name, 1)
                else:
                    registry.deregister(now, name, 1)
            except RegistrationConflictError:
                pass
        while registry.due() <= now:
            for answer in registry.tick(now):
                answer.key.waiting = False
                if rng.random() < 0.8:  # else the answer is lost
                    apply_answer(answer.key, answer)
        for client in clients:
            if client.waiting:
                if rng.random() < 0.05:
                    registry.cancel_watch(client)
                    client.waiting = False
            elif rng.random() < 0.5:
                if client.index is None or rng.random() < 0.05:
                    apply_answer(client, registry.view(now, client, client.view))
                else:
                    answer = registry.watch_view(
                        now,
                        client,
                        client.view,
                        client.index,
                        rng.choice([0.0, 1.0, 60.0]),
                        rng.choice([None, "e"]),
                    )
                    client.waiting = answer is None
                    if answer is not None:
                        apply_answer(client, answer)
        assert {c for c in clients if c.waiting} == set(registry.watches)
        assert {key for live in registry.views.live_views.values() for key in live.watch_keys} == set(
            registry.watches
        )
    while registry.due() <= now or registry.wake_at < math.inf:  # afterwards no waiting client lacks a change
        now = max(now, registry.due())
        for answer in registry.tick(now):
            apply_answer(answer.key, answer)
    for client in clients:
        if client.waiting:
            assert client.hosts_by_id == {
                n: registry.entries[n].host for n in view_members(registry, client.view)
            }


@pytest.mark.parametrize("seed", range(40))
def test_client_that_applies_its_answers_has_the_view(seed, monkeypatch):
    run_random_operations(seed, monkeypatch)


def planted_entering_unseen(monkeypatch):
    """Only views that contain the host are updated."""
    covering = view_arcs.Arcs.covering
    monkeypatch.setattr(
        view_arcs.Arcs,
        "covering",
        lambda self, place: (
            live
            for live in covering(self, place)
            if any(position_of_endpoint(name) == place for hosts in live.hosts.values() for name in hosts)
        ),
    )


def planted_leaving_untold(monkeypatch):
    record_change = live_view.LiveView.record_change
    monkeypatch.setattr(
        live_view.LiveView,
        "record_change",
        lambda self, version, changed_host: (
            None if changed_host.state == "removed" else record_change(self, version, changed_host)
        ),
    )


def planted_base(monkeypatch):
    monkeypatch.setattr(
        live_view.LiveView,
        "trim",
        lambda self, horizon: [
            self.changes.pop(next(iter(self.changes)))
            for _ in range(len(self.changes) - live_view.MIN_CHANGES_KEPT)
        ],
    )


def planted_old_place(monkeypatch):
    """A host that changes its zone or kind outdates views at its new position only."""
    add_pending_change = views.LiveViews.add_pending_change
    monkeypatch.setattr(
        views.LiveViews,
        "add_pending_change",
        lambda self, name: (
            add_pending_change(self, name)
            if name in self._listed_hosts
            and self.rings.entries[name].kind == self._listed_hosts[name].kind
            and self.rings.entries[name].zone == self._listed_hosts[name].zone
            else None
        ),
    )
    put = views.LiveViews.put

    def put_at_new_position(self, changed_host):
        listed_host = self._listed_hosts.pop(changed_host.id, None)
        put(self, changed_host)
        if changed_host.state == "removed" and listed_host is not None:
            self.add_pending_change(changed_host.id)

    monkeypatch.setattr(views.LiveViews, "put", put_at_new_position)


@pytest.mark.parametrize(
    "bug", [planted_entering_unseen, planted_leaving_untold, planted_base, planted_old_place]
)
def test_a_planted_bug_is_caught(bug, monkeypatch):
    bug(monkeypatch)
    caught = 0
    for seed in range(12):
        try:
            run_random_operations(seed, monkeypatch)
        except (AssertionError, KeyError):
            caught += 1
    assert caught >= 3


# Over sockets


def host_entries(count, zones="ab"):
    return [
        {
            "id": f"h{n}",
            "addr": f"10.0.{n // 250}.{n % 250}:6379",
            "zone": zones[n % len(zones)],
            "kind": f"k{n % 3}",
            "cell": 0,
            "state": "up",
            "weight": 1.0,
            "started_ms": 0,
        }
        for n in range(count)
    ]


def rewrite_hosts_file(serving, hosts):
    serving.file.write_text(json.dumps({"servers": hosts}))
    serving.service.reload()


def view_members_of_service(serving, view):
    return serving.service.registry.views.rings.members(view)


@on_loop
async def test_watch_of_a_view_over_sockets(tmp_path):
    hosts = host_entries(300)
    async with Serving(tmp_path, hosts) as serving:
        view = SubsetSpec(4, 30, "b")
        answer = await serving.list("?" + view.query())
        assert list(answer) == ["version", "full", "epoch", "view", "total", "servers"]
        assert (answer["version"], answer["full"], answer["view"], answer["total"]) == (341, True, True, 300)
        assert {h["id"] for h in answer["servers"]} == view_members_of_service(serving, view) and len(
            answer["servers"]
        ) == 30
        assert all(h in hosts for h in answer["servers"])
        watch = asyncio.create_task(serving.list(f"?{view.query()}&index=341&epoch=e1&wait=20000"))
        await wait_until(lambda: serving.service.waiting)
        member = sorted(view_members_of_service(serving, view))[0]
        other = sorted({h["id"] for h in hosts} - view_members_of_service(serving, view))[0]
        rewrite_hosts_file(serving, [h | {"weight": 2.0} if h["id"] == other else h for h in hosts])
        await asyncio.sleep(0.2)
        assert not watch.done() and serving.service.waiting
        rewrite_hosts_file(serving, [h | {"weight": 3.0} if h["id"] == member else h for h in hosts])
        answer = await watch
        assert (answer["full"], answer["view"]) == (False, True)
        assert [(h["id"], h["weight"]) for h in answer["servers"]] == [(member, 3.0)]
        before = view_members_of_service(serving, view)
        rewrite_hosts_file(serving, [h for h in hosts if h["id"] != member])
        drained = await serving.list(f"?{view.query()}&index={answer['version']}&epoch=e1&wait=5000")
        entered = view_members_of_service(serving, view) - before
        assert {h["id"]: h["state"] for h in drained["servers"]} == {
            member: "draining",
            **dict.fromkeys(entered, "up"),
        } and len(entered) == 1
        assert drained["total"] == 299
        rewrite_hosts_file(serving, hosts)  # the host is listed again
        answer = await serving.list(f"?{view.query()}&index={drained['version']}&epoch=e1&wait=5000")
        assert {h["id"]: h["state"] for h in answer["servers"]} == {
            member: "up",
            **dict.fromkeys(entered, "removed"),
        }
        assert (await serving.call("GET", "/status"))[1]["views"] == 1


@on_loop
async def test_view_is_limited_to_the_requested_kinds(tmp_path):
    hosts = [h | {"kind": "a,b &%"} if h["kind"] == "k0" else h for h in host_entries(90)]
    async with Serving(tmp_path, hosts) as serving:
        view = SubsetSpec(4, 20, "b", ("a,b &%", "k1"))
        answer = await serving.list("?" + view.query())
        assert {h["kind"] for h in answer["servers"]} == {"a,b &%", "k1"} and len(answer["servers"]) == 20
        assert answer["total"] == 60
        many = SubsetSpec(4, 4000, "b", tuple(f"service-{n}" for n in range(2600)) + ("k1",))
        assert len((await serving.list("?" + many.query()))["servers"]) == 6


@on_loop
async def test_answers_without_a_view_are_unchanged(tmp_path):
    async with Serving(tmp_path, host_entries(20)) as serving:
        assert await serving.list() == {
            "version": 61,
            "full": True,
            "epoch": "e1",
            "servers": host_entries(20),
        }
        await serving.list("?view=1,5")
        assert await serving.list("?index=60") == {
            "version": 61,
            "full": False,
            "epoch": "e1",
            "servers": host_entries(20)[-1:],
        }


@pytest.mark.parametrize(
    "query, word",
    [
        ("view=", "INDEX"),
        ("view=1", "INDEX"),
        ("view=1,0", "size"),
        ("view=-1,5", "INDEX"),
        ("kinds=a", "view"),
        ("view=1,5&kinds=" + ",".join(f"k{n}" for n in range(4097)), "kinds"),
        ("view=1,65537,a&index=1", "size"),
        ("view=1,5," + "z" * 200, "characters"),
        ("view=1,5&kinds=" + "z" * 200, "characters"),
    ],
)
@on_loop
async def test_invalid_view_is_rejected(query, word):
    async with Serving() as serving:
        status, answer = await serving.call("GET", "/v1/endpoints?" + query)
        assert status == 400 and word in answer["error"] and not serving.service.registry.views.live_views


@on_loop
async def test_one_encoding_serves_all_watchers_of_a_view(tmp_path, monkeypatch):
    hosts, encoded_ids = host_entries(300), []
    async with Serving(tmp_path, hosts) as serving:
        view = SubsetSpec(4, 30, "b")
        version = (await serving.list("?" + view.query()))["version"]
        watches = [
            asyncio.create_task(serving.list(f"?{view.query()}&index={version}&wait=20000"))
            for _ in range(90)
        ]
        await wait_until(lambda: len(serving.service.waiting) == 90)
        member = sorted(view_members_of_service(serving, view))[0]
        encoder = serving.service.encoder
        encode_host = encoder.encode_host
        monkeypatch.setattr(
            encoder, "encode_host", lambda changed: encoded_ids.append(changed.id) or encode_host(changed)
        )
        rewrite_hosts_file(serving, [h | {"weight": 3.0} if h["id"] == member else h for h in hosts])
        answers = await asyncio.gather(*watches)
        assert (
            encoded_ids == [member]
            and all(answer == answers[0] for answer in answers)
            and len(answers[0]["servers"]) == 1
        )


@on_loop
async def test_host_is_encoded_once_for_all_views_and_cached_answers_are_bounded(tmp_path, monkeypatch):
    encoded_ids, dumps = [], json.dumps
    async with Serving(tmp_path, host_entries(300)) as serving:
        monkeypatch.setattr(answer_encoding, "MAX_ENCODED_BYTES", 30_000)
        monkeypatch.setattr(
            answer_encoding.json,
            "dumps",
            lambda document, **options: (
                (encoded_ids.append(document["id"]) if "id" in document else None)
                or dumps(document, **options)
            ),
        )
        sizes = []
        for n in range(60):
            answer = await serving.list("?" + SubsetSpec(n, 30, "b").query())
            sizes.append(len(dumps(answer)))
        assert len(encoded_ids) == len(set(encoded_ids)) <= 300
        encoder = serving.service.encoder
        cached_answers = encoder.answers.values()
        assert sum(map(len, cached_answers)) == encoder.size_bytes <= 30_000
        assert max(sizes) < 5000  # 30 hosts; the complete list takes about 40 kB


@on_loop
async def test_excess_views_get_retry_after(monkeypatch):
    async with Serving() as serving:
        serving.service.registry.views.max_views = 2
        for n in range(2):
            assert (await serving.call("GET", f"/v1/endpoints?view={n},5"))[0] == 200
        async with serving.session.get("/v1/endpoints?view=2,5") as answer:
            assert answer.status == 503 and answer.headers["Retry-After"] == module.RETRY_AFTER
        async with serving.session.get("/v1/endpoints?view=2,5&index=41&wait=1000") as answer:
            assert answer.status == 503
        assert (await serving.call("GET", "/v1/endpoints"))[0] == 200
        monkeypatch.setattr(views, "MIN_IDLE_LIFETIME_S", 0.0)
        assert (await serving.call("GET", "/v1/endpoints?view=2,5"))[0] == 200


@on_loop
async def test_disconnected_watchers_leave_no_watch_and_their_view_is_discarded(monkeypatch):
    monkeypatch.setattr(views, "IDLE_LIFETIME_S", 0.3)
    async with Serving() as serving:
        for n in range(9):
            await serving.register(f"h{n}")
        version = (await serving.list("?view=1,5"))["version"]
        watches = [
            asyncio.create_task(serving.list(f"?view=1,5&index={version}&wait=20000")) for _ in range(9)
        ]
        await wait_until(lambda: len(serving.service.waiting) == 9)
        await asyncio.sleep(0.8)
        registry = serving.service.registry
        assert len(registry.views.live_views) == 1  # its watches keep it live
        for watch in watches:
            watch.cancel()
        await asyncio.gather(*watches, return_exceptions=True)
        await wait_until(lambda: not registry.watches and not registry.views.live_views)
        assert not serving.service.waiting


@on_loop
async def test_restart_of_the_service_sends_the_complete_view(tmp_path):
    view = SubsetSpec(4, 30, "b")
    async with Serving(tmp_path, host_entries(300)) as serving:
        first_answer = await serving.list("?" + view.query())
    async with Serving(tmp_path, host_entries(300), epoch="e2", first=10_000) as serving:
        for query in (
            f"index={first_answer['version']}&epoch=e1&wait=9000",
            f"index={first_answer['version']}&wait=9000",
        ):
            answer = await serving.list(f"?{view.query()}&{query}")
            assert answer["full"] and answer["epoch"] == "e2"
            assert {h["id"] for h in answer["servers"]} == {h["id"] for h in first_answer["servers"]}


@pytest.mark.parametrize("value, fits", [(1, True), (100_000, True), (0, False), (True, False), ("9", False)])
def test_view_limit_is_read_from_the_configuration(tmp_path, value, fits):
    path = tmp_path / "registry.json"
    path.write_text(json.dumps({"listen": "127.0.0.1:0", "views": value}))
    if fits:
        assert read_config({"REGISTRY_CONFIG": str(path)}).max_views == value
    else:
        with pytest.raises(Exception, match="views is"):
            read_config({"REGISTRY_CONFIG": str(path)})
