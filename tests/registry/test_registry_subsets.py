"""Views in the list service: what a watch by view is told, by the core and over sockets."""

import asyncio
import json
import math
import random

import pytest
from netkit import on_loop, wait_until
from test_registry import host, settle
from test_registry_service import Serving

from api_gateway.base.subsets import RING_SIZE, SubsetSpec, position_of_endpoint
from api_gateway.registry import answer_encoding, core, live_view, view_arcs
from api_gateway.registry import service as module
from api_gateway.registry import subsets as views
from api_gateway.registry.config import read_config
from api_gateway.registry.core import RegistrationConflictError, Registry
from api_gateway.registry.subsets import TooManyViewsError


def filled(count, zones="ab", kinds=("k",), most=8192):
    r = Registry("e", 1, most)
    r.load(0.0, [host(f"h{n}", zone=zones[n % len(zones)], kind=kinds[n % len(kinds)]) for n in range(count)])
    settle(r, 1.0)
    return r


def members(r, view):
    return r.views.rings.members(view)


def outside(r, view):
    return sorted(name for name in r.entries if name not in members(r, view))


def change(r, now, name, **kw):
    old = r.entries[name]
    r.put(now, core.Entry(core.replace(old.host, **kw)))


# The core


def test_a_watch_by_view_is_told_what_changes_within_it_and_not_woken_by_the_rest():
    r, view = filled(200), SubsetSpec(3, 20, "a")
    whole = r.view(1.0, "k", view)
    assert whole.index is None and {h.id for h in whole.hosts} == members(r, view) and whole.total == 200
    assert r.watch_view(1.0, "k", view, whole.version, 60.0, "e") is None
    change(r, 2.0, outside(r, view)[0], weight=2.0)
    assert settle(r, 2.2) == [] and "k" in r.watches
    inside = sorted(members(r, view))[0]
    change(r, 3.0, inside, weight=2.0)
    told = settle(r, 3.2)
    assert [(a.key, a.index, a.version) for a in told] == [("k", whole.version, r.version)]
    assert [(h.id, h.weight) for h in told[0].hosts] == [(inside, 2.0)]
    assert not r.watches and not r.views.live_views[view].watch_keys


def test_what_enters_and_leaves_is_told_as_changes():
    r, view = filled(200), SubsetSpec(3, 20, "a")
    at, before = r.view(1.0, "k", view).version, members(r, view)
    gone = sorted(before)[0]
    back = r.entries[gone].host
    r.drain_entry(1.0, r.entries[gone])
    assert [(h.id, h.state) for h in r.watch_view(1.0, "k", view, at, 0.0, "e").hosts if h.id == gone] == [
        (gone, "draining")
    ]
    settle(r, 1.5 + core.DRAIN_DURATION_S)
    told = {h.id: h.state for h in r.watch_view(12.0, "k", view, at, 0.0, "e").hosts}
    entered = members(r, view) - before
    assert len(entered) == 1 and told == {gone: "removed", **dict.fromkeys(entered, "up")}
    middle = r.version
    r.load(13.0, [e.host for e in r.entries.values() if e.host.id != gone] + [back])
    told = {h.id: h.state for h in r.watch_view(13.0, "k", view, middle, 0.0, "e").hosts}
    assert told[gone] == "up" and {told[name] for name in entered} == {"removed"}  # though they still exist
    assert all(r.entries[name].host.state == "up" for name in entered)


def test_a_host_that_moves_to_another_kind_leaves_one_view_and_enters_another():
    r = filled(40, kinds=("k", "l"))
    views_ = [SubsetSpec(1, 6, "a", (kind,)) for kind in "kl"]
    at = [r.view(1.0, None, view).version for view in views_]
    name = next(
        n for n in sorted(members(r, views_[0]), key=position_of_endpoint) if r.entries[n].host.kind == "k"
    )
    near = SubsetSpec(1, 100, "a", ("l",))
    r.view(1.0, None, near)
    change(r, 2.0, name, kind="l")
    left = {h.id: h.state for h in r.watch_view(2.0, "k", views_[0], at[0], 0.0, "e").hosts}
    came = {h.id: h.state for h in r.watch_view(2.0, "l", near, at[0], 0.0, "e").hosts}
    assert left[name] == "removed" and came == {name: "up"}


@pytest.mark.parametrize(
    "index, epoch, whole",
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
def test_an_index_that_is_not_known_or_of_another_epoch_gets_the_whole_view(index, epoch, whole):
    r, view = filled(200), SubsetSpec(3, 20, "a")
    r.view(1.0, "k", view)
    answer = r.watch_view(1.0, "k", view, r.version + index, 0.0, epoch)
    assert (answer.index is None) == whole and len(answer.hosts) == (20 if whole else 0)


def test_another_size_or_one_that_nobody_asked_for_is_told_as_a_whole():
    r, view = filled(200), SubsetSpec(3, 20, "a")
    at = r.view(1.0, "k", view).version
    change(r, 1.5, "h0", weight=3.0)
    larger = r.watch_view(2.0, "k", SubsetSpec(3, 30, "a"), at, 60.0, "e")
    assert larger.index is None and len(larger.hosts) == 30
    settle(r, now := 2.0 + views.IDLE_LIFETIME_S - 1.0)
    assert r.watch_view(now, "k", SubsetSpec(3, 30, "a"), larger.version, 0.0, "e").index is not None
    assert view not in r.views.live_views
    settle(r, 2.0 + 2 * views.IDLE_LIFETIME_S)
    assert not r.views.live_views and not r.views.idle_until and not r.views.arcs_by_group
    assert r.watch_view(200.0, "k", view, at, 60.0, "e").index is None


def test_a_view_that_is_watched_is_kept_and_one_whose_watchers_vanish_goes():
    r, view = filled(200), SubsetSpec(3, 20, "a")
    at = r.view(1.0, "k", view).version
    for n in range(5):
        assert r.watch_view(2.0, n, view, at, 60.0, "e") is None
    settle(r, 61.9)
    assert view in r.views.live_views
    for n in range(5):
        r.cancel_watch(n)
    assert not r.watches and not r.views.live_views[view].watch_keys
    settle(r, 63.0 + views.IDLE_LIFETIME_S)
    assert not r.views.live_views


def test_changes_remembered_within_a_view_are_bounded(monkeypatch):
    monkeypatch.setattr(live_view, "MIN_CHANGES_KEPT", 10)
    r, view = filled(40), SubsetSpec(3, 5, "a")
    first = r.view(1.0, "k", view).version
    for n in range(200):
        name = f"h{n % 40}"
        change(r, 2.0 + n, name, state="draining" if r.entries[name].host.state == "up" else "up")
        r.watch_view(2.0 + n, "k", view, r.version, 0.0, "e")
    live = r.views.live_views[view]
    assert len(live.changes) <= 4 * 5 and r.watch_view(300.0, "k", view, first, 0.0, "e").index is None
    assert r.watch_view(300.0, "k", view, live.oldest_version, 0.0, "e").index == live.oldest_version


def test_changes_within_a_view_are_forgotten_in_time():
    r, view = filled(400), SubsetSpec(3, 40, "a")
    r.view(1.0, "k", view)
    live, now, names = r.views.live_views[view], 1.0, sorted(members(r, view))
    at = []  # by the minute
    for n in range(60):
        now += 30.0
        change(r, now, names[n % 40], weight=1.0 + n)
        at.append((now, r.watch_view(now, None, view, r.version, 0.0, "e").version))
        assert len(live.changes) <= (views.CHANGE_LIFETIME_S + views.CHANGE_LIFETIME_S / 10) / 30 + 2
    for then, version in at:
        told = r.watch_view(now, None, view, version, 0.0, "e")
        if then > now - views.CHANGE_LIFETIME_S:
            assert told.index == version and len(told.hosts) == (now - then) / 30
        elif then < now - 1.2 * views.CHANGE_LIFETIME_S:
            assert told.index is None
    assert len(r.views.versions_by_age) <= 12


def test_a_zone_that_goes_is_told_to_views_as_changes_though_whole_lists_forget_it(monkeypatch):
    monkeypatch.setattr(core, "MAX_TOMBSTONES", 20)
    r = filled(600, zones="abc")
    all_ = [SubsetSpec(n, 40, "abc"[n % 3]) for n in range(12)]
    before = {view: members(r, view) for view in all_}
    lists = r.version
    for view in all_:
        assert r.watch_view(1.0, view, view, r.view(1.0, None, view).version, 60.0, "e") is None
    lost = [name for name, entry in r.entries.items() if entry.host.zone == "a"]
    for name in lost:
        r.remove(2.0, r.entries[name])
    told = {answer.key: answer for answer in settle(r, 2.2)}
    assert r.changes_since(lists) is None and len(r.tombstones) <= 20
    for view in all_:
        assert told[view].index is not None
        assert {h.id for h in told[view].hosts if h.state == "removed"} == before[view] & set(lost)
        assert {h.id for h in told[view].hosts if h.state == "up"} == members(r, view) - before[view]
    one = {}  # a host that left is one object for all, whatever holds it
    for answer in told.values():
        assert all(one.setdefault(h.id, h) is h for h in answer.hosts if h.state == "removed")


def test_a_host_that_leaves_a_view_anew_is_told_as_it_was_last():
    r, view = filled(200), SubsetSpec(3, 20, "a")
    at = r.view(1.0, None, view).version
    name = sorted(members(r, view))[0]
    for started in (7, 9):
        change(r, 2.0, name, started_ms=started, kind="k")
        assert r.watch_view(2.0, None, view, at, 0.0, "e").hosts and name in members(r, view)
        r.remove(2.0, r.entries[name])
        (told,) = [h for h in r.watch_view(2.0, None, view, at, 0.0, "e").hosts if h.id == name]
        assert (told.state, told.started_ms) == ("removed", started)
        change(r, 3.0, name, state="up")
        at = r.watch_view(3.0, None, view, at, 0.0, "e").version


def test_more_views_than_may_be_are_refused_and_idle_ones_make_room():
    r = filled(50, most=3)
    for n in range(3):
        r.view(1.0, None, SubsetSpec(n, 5))
    with pytest.raises(TooManyViewsError):
        r.view(2.0, None, SubsetSpec(3, 5))
    assert r.watch_view(2.0, "k", SubsetSpec(0, 5), r.version, 60.0, "e") is None
    r.view(1.5 + views.MIN_IDLE_LIFETIME_S, None, SubsetSpec(3, 5))
    assert set(r.views.live_views) == {
        SubsetSpec(0, 5),
        SubsetSpec(2, 5),
        SubsetSpec(3, 5),
    }  # the one that is watched stays
    r.views.remove_watch(SubsetSpec(1, 5), "k")  # of one that is not there any longer


def test_a_burst_is_told_as_a_whole_and_in_slices(monkeypatch):
    monkeypatch.setattr(core, "REFRESH_HOSTS_PER_TICK", 100)
    monkeypatch.setattr(views, "BURST_CHANGES", 20)
    r = filled(600, zones="abc")
    all_ = [SubsetSpec(n, 30, "abc"[n % 3]) for n in range(40)]
    for view in all_:
        assert r.watch_view(1.0, view, view, r.view(1.0, None, view).version, 60.0, "e") is None
    before = {view: members(r, view) for view in all_}
    for n in range(0, 600, 3):
        change(r, 2.0, f"h{n}", state="draining")
    assert r.views.has_burst and r.wake_at == 2.0 + core.BATCH_DELAY_S
    told = []
    while r.due() <= 2.1:
        some = r.tick(2.1)
        assert len(some) <= 4
        told += some
    assert {a.key for a in told} == set(all_)
    for answer in told:
        assert {h.id for h in answer.hosts if h.state == "up"} == members(r, answer.key) - before[answer.key]


def test_a_change_makes_only_those_views_anew_that_it_concerns(monkeypatch):
    r = filled(6000, zones="abcdef")
    all_ = [SubsetSpec(n, 48, "abcdef"[n % 6]) for n in range(500)]
    for view in all_:
        r.view(1.0, None, view)
    made, remake = [], views.LiveViews.rebuild_group
    monkeypatch.setattr(
        views.LiveViews,
        "rebuild_group",
        lambda self, live, *rest: made.append(live.view) or remake(self, live, *rest),
    )
    before = {view: members(r, view) for view in all_}
    for n in range(20):
        change(r, 2.0 + n, f"h{n}", state="draining")
        for view in all_:
            r.watch_view(2.0 + n, None, view, r.version, 0.0, "e")
    concerned = sum(f"h{n}" in before[view] for n in range(20) for view in all_)
    assert 20 <= concerned <= len(made) <= concerned + 2 * 20


@pytest.mark.parametrize("kinds", [(), ("k",)])
def test_the_first_host_of_a_zone_and_its_last_are_told_to_all_views_that_they_move(kinds):
    """A view takes more of its own zone the more zones there are beside it."""
    r, view = filled(600, zones="abbbb"), SubsetSpec(3, 60, "a", kinds)
    at, before = r.view(1.0, None, view).version, members(r, view)
    assert r.watch_view(1.0, "k", view, at, 60.0, "e") is None
    r.register(
        2.0,
        host(
            far := max(r.entries, key=lambda n: (position_of_endpoint(n) - view.position) % RING_SIZE) + "x",
            zone="c",
            kind="k",
        ),
        1,
        60.0,
    )
    (told,) = settle(r, 2.2)
    after = members(r, view)
    assert far not in after and len(after - before) > 5
    assert {h.id: h.state for h in told.hosts} == {
        **dict.fromkeys(after - before, "up"),
        **dict.fromkeys(before - after, "removed"),
    }
    assert r.watch_view(3.0, "k", view, told.version, 60.0, "e") is None
    r.drain(3.0, far, 1)
    (told,) = settle(r, 3.2)
    assert {h.id for h in told.hosts if h.state == "up"} == before - after and members(r, view) >= before


def test_arcs_are_found_wherever_they_lie_on_the_ring():
    rng, arcs, told = random.Random(3), view_arcs.Arcs(), {}
    for _ in range(600):
        number = rng.randrange(40)
        live = told[number][0] if number in told else live_view.LiveView(SubsetSpec(number, 5), number, 1)
        if rng.random() < 0.2:
            arcs.discard(live)
            told.pop(number, None)
        else:
            length = rng.choice([0, rng.randrange(RING_SIZE // 50), rng.randrange(RING_SIZE), None])
            end = None if length is None else ((live.view.position + length) % RING_SIZE, "x")
            arcs.put(live, view_arcs.SubsetPart(None, True, (), end))
            told[number] = live, length
        place = rng.choice([0, RING_SIZE - 1, rng.randrange(RING_SIZE), live.view.position])
        assert sorted(found.number for found in arcs.covering(place)) == sorted(
            n
            for n, (other, length) in told.items()
            if length is None or (place - other.view.position) % RING_SIZE <= length
        )


class Client:
    """As a gateway does it with a view: changes are added to what it has, a whole answer replaces that."""

    def __init__(self, view):
        self.view, self.index, self.list, self.asked = view, None, {}, False

    def take(self, answer):
        assert answer.view == self.view and len(answer.hosts) <= 4 * self.view.size + 64
        if answer.index is None:
            self.list = {}
        else:
            assert answer.index == self.index
        for told in answer.hosts:
            if told.state == "removed":
                self.list.pop(told.id, None)
            else:
                self.list[told.id] = told
        self.index, self.asked = answer.version, False


def play(seed, monkeypatch, steps=300):
    """What a client puts together is the view at the version it was told, whatever comes when."""
    rng = random.Random(seed)
    monkeypatch.setattr(views, "BURST_CHANGES", rng.choice([0, 3, 512]))
    monkeypatch.setattr(live_view, "MIN_CHANGES_KEPT", rng.choice([1, 256]))
    monkeypatch.setattr(views, "IDLE_LIFETIME_S", 5.0)
    monkeypatch.setattr(views, "CHANGE_LIFETIME_S", rng.choice([1.0, 10.0, 600.0]))
    monkeypatch.setattr(views, "MAX_REMOVED_HOSTS", rng.choice([2, 4096]))
    monkeypatch.setattr(core, "REFRESH_HOSTS_PER_TICK", rng.choice([1, 30, 16384]))
    monkeypatch.setattr(core, "TOMBSTONE_LIFETIME_S", 8.0)
    monkeypatch.setattr(core, "MAX_TOMBSTONES", 6)
    r, now = Registry("e", 1), 0.0
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

    def take(client, answer):
        client.take(answer)
        if answer.version == r.version:
            assert client.list == {n: r.entries[n].host for n in members(r, client.view)}
            assert answer.total == r.views.rings.total(client.view)

    for _ in range(steps):
        now += rng.choice([0.0, 0.01, 0.06, 0.3, 2.0])
        for _ in range(rng.choice([0, 1, 1, 8])):
            name = rng.choice(names)
            try:
                op = rng.choice(["register"] * 4 + ["renew", "drain", "deregister"])
                if op == "register":
                    r.register(
                        now,
                        host(name, zone=rng.choice(zones), kind=rng.choice(kinds)),
                        1,
                        rng.choice([1.0, 60.0]),
                    )
                elif op == "renew":
                    r.renew(now, name, 1)
                elif op == "drain":
                    r.drain(now, name, 1)
                else:
                    r.deregister(now, name, 1)
            except RegistrationConflictError:
                pass
        while r.due() <= now:
            for answer in r.tick(now):
                answer.key.asked = False
                if rng.random() < 0.8:  # else it is lost on its way
                    take(answer.key, answer)
        for client in clients:
            if client.asked:
                if rng.random() < 0.05:
                    r.cancel_watch(client)
                    client.asked = False
            elif rng.random() < 0.5:
                if client.index is None or rng.random() < 0.05:
                    take(client, r.view(now, client, client.view))
                else:
                    answer = r.watch_view(
                        now,
                        client,
                        client.view,
                        client.index,
                        rng.choice([0.0, 1.0, 60.0]),
                        rng.choice([None, "e"]),
                    )
                    client.asked = answer is None
                    if answer is not None:
                        take(client, answer)
        assert {c for c in clients if c.asked} == set(r.watches)
        assert {key for live in r.views.live_views.values() for key in live.watch_keys} == set(r.watches)
    while r.due() <= now or r.wake_at < math.inf:  # then none of those that still wait has missed anything
        now = max(now, r.due())
        for answer in r.tick(now):
            take(answer.key, answer)
    for client in clients:
        if client.asked:
            assert client.list == {n: r.entries[n].host for n in members(r, client.view)}


@pytest.mark.parametrize("seed", range(40))
def test_what_a_client_puts_together_is_the_view(seed, monkeypatch):
    play(seed, monkeypatch)


def planted_entering_unseen(monkeypatch):
    """Only views that hold a host hear of it."""
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
    mark = live_view.LiveView.record_change
    monkeypatch.setattr(
        live_view.LiveView,
        "record_change",
        lambda self, version, told: None if told.state == "removed" else mark(self, version, told),
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
    """A host that changes its zone or kind is looked up where it is now, not where it was."""
    touch = views.LiveViews.add_pending_change
    monkeypatch.setattr(
        views.LiveViews,
        "add_pending_change",
        lambda self, name: (
            touch(self, name)
            if name in self._listed_hosts
            and self.rings.entries[name].kind == self._listed_hosts[name].kind
            and self.rings.entries[name].zone == self._listed_hosts[name].zone
            else None
        ),
    )
    put = views.LiveViews.put

    def late(self, told):
        kept = self._listed_hosts.pop(told.id, None)
        put(self, told)
        if told.state == "removed" and kept is not None:
            self.add_pending_change(told.id)

    monkeypatch.setattr(views.LiveViews, "put", late)


@pytest.mark.parametrize(
    "bug", [planted_entering_unseen, planted_leaving_untold, planted_base, planted_old_place]
)
def test_a_planted_bug_is_caught(bug, monkeypatch):
    bug(monkeypatch)
    caught = 0
    for seed in range(12):
        try:
            play(seed, monkeypatch)
        except (AssertionError, KeyError):
            caught += 1
    assert caught >= 3


# Over sockets


def listed(count, zones="ab"):
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


def rewrite(serving, hosts):
    serving.file.write_text(json.dumps({"servers": hosts}))
    serving.service.reload()


def held(serving, view):
    return serving.service.registry.views.rings.members(view)


@on_loop
async def test_a_watch_by_view_over_sockets(tmp_path):
    hosts = listed(300)
    async with Serving(tmp_path, hosts) as serving:
        view = SubsetSpec(4, 30, "b")
        told = await serving.list("?" + view.query())
        assert list(told) == ["version", "full", "epoch", "view", "total", "servers"]
        assert (told["version"], told["full"], told["view"], told["total"]) == (341, True, True, 300)
        assert {h["id"] for h in told["servers"]} == held(serving, view) and len(told["servers"]) == 30
        assert all(h in hosts for h in told["servers"])
        watch = asyncio.create_task(serving.list(f"?{view.query()}&index=341&epoch=e1&wait=20000"))
        await wait_until(lambda: serving.service.waiting)
        inside = sorted(held(serving, view))[0]
        other = sorted({h["id"] for h in hosts} - held(serving, view))[0]
        rewrite(serving, [h | {"weight": 2.0} if h["id"] == other else h for h in hosts])
        await asyncio.sleep(0.2)
        assert not watch.done() and serving.service.waiting
        rewrite(serving, [h | {"weight": 3.0} if h["id"] == inside else h for h in hosts])
        told = await watch
        assert (told["full"], told["view"]) == (False, True)
        assert [(h["id"], h["weight"]) for h in told["servers"]] == [(inside, 3.0)]
        before = held(serving, view)
        rewrite(serving, [h for h in hosts if h["id"] != inside])
        drained = await serving.list(f"?{view.query()}&index={told['version']}&epoch=e1&wait=5000")
        entered = held(serving, view) - before
        assert {h["id"]: h["state"] for h in drained["servers"]} == {
            inside: "draining",
            **dict.fromkeys(entered, "up"),
        } and len(entered) == 1
        assert drained["total"] == 299
        rewrite(serving, hosts)  # it is back
        told = await serving.list(f"?{view.query()}&index={drained['version']}&epoch=e1&wait=5000")
        assert {h["id"]: h["state"] for h in told["servers"]} == {
            inside: "up",
            **dict.fromkeys(entered, "removed"),
        }
        assert (await serving.call("GET", "/status"))[1]["views"] == 1


@on_loop
async def test_kinds_are_asked_for_by_name(tmp_path):
    hosts = [h | {"kind": "a,b &%"} if h["kind"] == "k0" else h for h in listed(90)]
    async with Serving(tmp_path, hosts) as serving:
        view = SubsetSpec(4, 20, "b", ("a,b &%", "k1"))
        told = await serving.list("?" + view.query())
        assert {h["kind"] for h in told["servers"]} == {"a,b &%", "k1"} and len(told["servers"]) == 20
        assert told["total"] == 60
        many = SubsetSpec(4, 4000, "b", tuple(f"service-{n}" for n in range(2600)) + ("k1",))
        assert len((await serving.list("?" + many.query()))["servers"]) == 6


@on_loop
async def test_without_a_view_the_answers_are_as_they_were(tmp_path):
    async with Serving(tmp_path, listed(20)) as serving:
        assert await serving.list() == {"version": 61, "full": True, "epoch": "e1", "servers": listed(20)}
        await serving.list("?view=1,5")
        assert await serving.list("?index=60") == {
            "version": 61,
            "full": False,
            "epoch": "e1",
            "servers": listed(20)[-1:],
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
async def test_what_is_no_view_is_refused(query, word):
    async with Serving() as serving:
        status, told = await serving.call("GET", "/v1/endpoints?" + query)
        assert status == 400 and word in told["error"] and not serving.service.registry.views.live_views


@on_loop
async def test_many_watchers_of_one_view_get_one_encoding(tmp_path, monkeypatch):
    hosts, made = listed(300), []
    async with Serving(tmp_path, hosts) as serving:
        view = SubsetSpec(4, 30, "b")
        version = (await serving.list("?" + view.query()))["version"]
        watches = [
            asyncio.create_task(serving.list(f"?{view.query()}&index={version}&wait=20000"))
            for _ in range(90)
        ]
        await wait_until(lambda: len(serving.service.waiting) == 90)
        inside = sorted(held(serving, view))[0]
        encoder = serving.service.encoder
        text = encoder.encode_host
        monkeypatch.setattr(encoder, "encode_host", lambda told: made.append(told.id) or text(told))
        rewrite(serving, [h | {"weight": 3.0} if h["id"] == inside else h for h in hosts])
        told = await asyncio.gather(*watches)
        assert made == [inside] and all(t == told[0] for t in told) and len(told[0]["servers"]) == 1


@on_loop
async def test_a_host_is_encoded_once_for_all_views_and_answers_kept_are_bounded(tmp_path, monkeypatch):
    made, dumps = [], json.dumps
    async with Serving(tmp_path, listed(300)) as serving:
        monkeypatch.setattr(answer_encoding, "MAX_ENCODED_BYTES", 30_000)
        monkeypatch.setattr(
            answer_encoding.json,
            "dumps",
            lambda told, **kw: (made.append(told["id"]) if "id" in told else None) or dumps(told, **kw),
        )
        sizes = []
        for n in range(60):
            told = await serving.list("?" + SubsetSpec(n, 30, "b").query())
            sizes.append(len(dumps(told)))
        assert len(made) == len(set(made)) <= 300
        encoder = serving.service.encoder
        kept = encoder.answers.values()
        assert sum(map(len, kept)) == encoder.size_bytes <= 30_000
        assert max(sizes) < 5000  # of 30 hosts; the whole list takes some 40 kB


@on_loop
async def test_more_views_than_may_be_are_told_to_come_later(monkeypatch):
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
async def test_watchers_that_vanish_leave_no_watch_and_their_view_goes(monkeypatch):
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
        assert len(registry.views.live_views) == 1  # it is watched
        for watch in watches:
            watch.cancel()
        await asyncio.gather(*watches, return_exceptions=True)
        await wait_until(lambda: not registry.watches and not registry.views.live_views)
        assert not serving.service.waiting


@on_loop
async def test_after_a_restart_of_the_service_the_whole_view_is_told(tmp_path):
    view = SubsetSpec(4, 30, "b")
    async with Serving(tmp_path, listed(300)) as serving:
        told = await serving.list("?" + view.query())
    async with Serving(tmp_path, listed(300), epoch="e2", first=10_000) as serving:
        for query in (f"index={told['version']}&epoch=e1&wait=9000", f"index={told['version']}&wait=9000"):
            again = await serving.list(f"?{view.query()}&{query}")
            assert again["full"] and again["epoch"] == "e2"
            assert {h["id"] for h in again["servers"]} == {h["id"] for h in told["servers"]}


@pytest.mark.parametrize("value, fits", [(1, True), (100_000, True), (0, False), (True, False), ("9", False)])
def test_the_number_of_views_is_read(tmp_path, value, fits):
    path = tmp_path / "registry.json"
    path.write_text(json.dumps({"listen": "127.0.0.1:0", "views": value}))
    if fits:
        assert read_config({"REGISTRY_CONFIG": str(path)}).max_views == value
    else:
        with pytest.raises(Exception, match="views is"):
            read_config({"REGISTRY_CONFIG": str(path)})
