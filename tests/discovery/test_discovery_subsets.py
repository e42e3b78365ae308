"""A gateway that uses a part of the hosts: its view, told by the service or taken from a whole list."""

import asyncio
import json
import math
import random
import tracemalloc

import pytest
from aiohttp import web
from netkit import SERVED, VALUE, Node, StubDiscovery, StubHost, command, on_loop, read_reply, wait_until
from test_registry_service import Serving

from api_gateway import interface as api
from api_gateway.base.endpoint_list import read_list
from api_gateway.base.subsets import EndpointRings, SubsetSpec
from api_gateway.discovery import compact_store
from api_gateway.discovery.compact_store import CompactEndpointStore
from api_gateway.discovery.subset_config import SubsetConfig, read_subset_config
from api_gateway.discovery.subset_reader import ENTRIES_PER_TURN
from api_gateway.discovery.subsets import EndpointSubset

EMPTY = {"version": 0, "full": True, "servers": []}


def hosts(count, port=1, zones="abc", kinds=1, **kw):
    return [
        {
            "id": f"s-{n}",
            "addr": f"127.0.0.1:{port}",
            "zone": zones[n % len(zones)],
            "kind": f"k{n // len(zones) % kinds}",
            "cell": 0,
            "state": "up",
            "weight": 1.0,
            "started_ms": 0,
        }
        | kw
        for n in range(count)
    ]


def viewed(servers, size, kinds=(), index=0, zone="a"):
    """The ids that are up in a view, by the definition of views alone."""
    rings = EndpointRings()
    for entry in servers:
        rings.set_endpoint(entry["id"], entry["kind"], entry["zone"], entry["state"] == "up")
    up = {entry["id"] for entry in servers if entry["state"] == "up"}
    return sorted(rings.members(SubsetSpec(index, size, zone, tuple(kinds))) & up)


def using(lists, **view):
    """The keys of a gateway; its view does not grow, unless `most` says so."""
    return {"discovery": f"127.0.0.1:{lists.port}", "known": EMPTY, "view": {"most": view["size"], **view}}


def pools(node):
    return sorted(node.node.upstream.pools)


def told(node):
    """The lists that the module gets from here on."""
    seen, handle = [], node.node.engine.handle

    def handling(now, event):
        if isinstance(event, api.EndpointList):
            seen.append(event)
        return handle(now, event)

    node.node.engine.handle = handling
    return seen


class Lists(StubDiscovery):
    """Tells whole lists, as a service that knows no views."""

    def __init__(self, servers):
        super().__init__()
        self.servers = servers

    def named(self, *names):
        return [entry for entry in self.servers if entry["id"] in names]

    async def watched(self):
        """Until a watch from the newest version on has come."""
        while (await self.call()).get("index") != str(self.version):
            pass


@pytest.mark.parametrize("kinds", [[], ["k0", "k3"]])
@on_loop
async def test_of_a_whole_list_the_module_is_told_the_view_and_what_changes_in_it(kinds, tmp_path):
    async with (
        Lists(hosts(300, kinds=5)) as lists,
        Node(path=tmp_path, config_overrides=using(lists, size=20, kinds=kinds)) as node,
    ):
        await lists.watched()
        own = viewed(lists.servers, 20, kinds)
        groups = kinds or [f"k{n}" for n in range(5)]
        total = sum(entry["kind"] in groups for entry in lists.servers)
        assert pools(node) == own and 20 <= len(own) < 30
        seen = told(node)
        out = next(entry for entry in lists.servers if entry["id"] not in own)
        lists.change([out | {"state": "draining"}])
        await lists.watched()
        assert [event.endpoints for event in seen] == [()] and pools(node) == own  # no host of the view
        assert [event.available_total for event in seen] == [total - (out["kind"] in groups)]
        lists.change([entry | {"state": "draining"} for entry in lists.named(own[3])])
        await lists.watched()
        after = viewed(lists.servers, 20, kinds)
        states = {host.id: host.state for host in seen[-1].endpoints}
        assert states.pop(own[3]) == "leaving" and set(states.values()) <= {"up"}
        assert pools(node) == after and own[3] not in after and len(after) == len(own)
        lists.change([entry | {"state": "removed"} for entry in lists.named(own[3])])
        await lists.watched()
        assert {host.id: host.state for host in seen[-1].endpoints} == {own[3]: "down"}
        shown = (await node.call_control("GET /status"))[1]["list"]["view"]
        assert shown["shelf"] == total - 1 and not shown["by_service"]  # hosts of other kinds never come in


@on_loop
async def test_a_host_that_moves_out_of_the_view_answers_what_it_has(tmp_path):
    async with (
        StubHost(None) as host,
        Lists(hosts(40, host.port)) as lists,
        Node(path=tmp_path, config_overrides=using(lists, size=1)) as node,
    ):
        await lists.watched()
        first = pools(node)
        asked = asyncio.create_task(node.send_command(command()))
        await wait_until(lambda: host.commands)
        fresh = [entry | {"id": f"n-{n}"} for n, entry in enumerate(hosts(400, host.port))]
        nearer = viewed(lists.servers + fresh, 1)
        lists.change([entry for entry in fresh if entry["id"] in nearer])
        await lists.watched()
        assert pools(node) == nearer != first
        host.writers[0].write(VALUE)
        assert await asked == SERVED


@on_loop
async def test_a_view_that_empties_and_fills_again(tmp_path):
    """All hosts go but one zone's, then those too; then they come back."""
    async with (
        StubHost() as host,
        Lists(hosts(60, host.port)) as lists,
        Node(path=tmp_path, config_overrides=using(lists, size=12)) as node,
    ):
        await lists.watched()
        every, own = list(lists.servers), pools(node)
        assert sum(entry["zone"] == "a" for entry in lists.named(*own)) == 6  # half in its own zone
        lists.change([entry | {"state": "removed"} for entry in every if entry["zone"] == "a"])
        await lists.watched()
        assert len(pools(node)) == 12 and pools(node) == viewed(lists.servers, 12)
        lists.change([entry | {"state": "draining"} for entry in every if entry["zone"] != "a"])
        await lists.watched()
        assert not pools(node)
        assert not (await node.send_command(command())).startswith(b"$")
        lists.change(every)
        await lists.watched()
        assert pools(node) == own and await node.send_command(command(b"r2")) == SERVED


@on_loop
async def test_widen_takes_more_of_the_shelf_up_to_its_bound_and_plain_again(tmp_path):
    async with (
        Lists(hosts(90)) as lists,
        Node(path=tmp_path, config_overrides=using(lists, size=6, most=30)) as node,
    ):
        await lists.watched()
        seen = told(node)
        for asked, size in ((20, 20), (1000, 30), (30, 30), (3, 6)):
            node.node.dispatcher.handlers[api.ResizeSubset](api.ResizeSubset(asked))
            await wait_until(lambda size=size: pools(node) == viewed(lists.servers, size))
        assert [event.mode for event in seen] == ["delta"] * 3  # one for each that changes it
        assert not lists.calls  # discovery was not asked


@on_loop
async def test_the_view_follows_the_settings_place_and_zone(tmp_path):
    async with Lists(hosts(90)) as lists, Node(path=tmp_path, config_overrides=using(lists, size=6)) as node:
        await lists.watched()
        tree = json.loads(node.file.read_text())
        tree["settings"] |= {"index": 3, "group_size": 9, "locality": "b"}
        node.file.write_text(json.dumps(tree))
        node.node.reload()
        after = viewed(lists.servers, 6, index=3, zone="b")
        assert after != pools(node)
        await wait_until(lambda: pools(node) == after)


def spoil(entry):
    return {name: value for name, value in entry.items() if name != "state"}


@on_loop
async def test_of_a_whole_list_entries_that_cannot_be_read_are_missing_and_of_changes_all_are(
    tmp_path, caplog
):
    servers = hosts(90)
    odd = [entry if n % 3 else spoil(entry) for n, entry in enumerate(servers)]
    async with Lists(odd) as lists, Node(path=tmp_path, config_overrides=using(lists, size=12)) as node:
        await lists.watched()
        good = [entry for entry in odd if "state" in entry]
        assert pools(node) == viewed(good, 12) and "30 of 90 entries cannot be read" in caplog.text
        lists.raw = json.dumps(
            {"version": 2, "full": False, "servers": [good[0] | {"state": "draining"}, spoil(good[1])]}
        )
        lists.version, lists.servers = 2, servers
        lists.change([])
        while "index" in await lists.call():
            pass  # the whole list is asked for
        await wait_until(lambda: pools(node) == viewed(servers, 12))


@pytest.mark.parametrize(
    "raw",
    [
        "{",
        "[]",
        '{"version":2,"full":true,"servers":[{"id":"h9"}]}',
        '{"version":"x","full":true,"servers":[]}',
        '{"version":2,"full":true,"servers":[' + json.dumps(hosts(1)[0]) + ",",
    ],
)
@on_loop
async def test_a_list_that_is_none_leaves_the_last_one_in_force(raw, tmp_path):
    async with Lists(hosts(90)) as lists, Node(path=tmp_path, config_overrides=using(lists, size=12)) as node:
        await lists.watched()
        own, seen = pools(node), told(node)
        lists.raw = raw
        node.node.discovery.fetch_full_list()
        await wait_until(lambda: lists.raw is None)
        while "index" in await lists.call():
            pass
        while "index" not in await lists.call():
            pass  # it has the whole list again
        assert pools(node) == own and {event.mode for event in seen} <= {"full"}


@on_loop
async def test_requests_are_served_while_a_long_list_is_read(tmp_path):
    """No turn of the loop reads more than ENTRIES_PER_TURN entries."""
    async with (
        StubHost() as host,
        Lists(hosts(60, host.port)) as lists,
        Node(path=tmp_path, config_overrides=by_service(lists, size=12)) as node,
    ):  # no agent: it has time to answer
        await lists.watched()
        viewing, served, turns = node.node.discovery.subset, [], []
        reader, writer = await node.connect()
        turn = viewing.yield_turn

        async def turning():
            turns.append(viewing.endpoint_store.size())
            await turn()

        viewing.yield_turn = turning
        lists.servers = lists.servers + hosts(10_000, host.port)[60:]
        lists.version += 1
        node.node.discovery.fetch_full_list()
        await wait_until(lambda: viewing.open_reads)
        n = 0
        while viewing.open_reads:
            writer.write(command(b"r%d" % (n := n + 1)))
            assert await read_reply(reader) == SERVED
            served.append(len(turns))
        assert (
            len(served) > 10
            and max(b - a for a, b in zip(turns, turns[1:], strict=False)) <= ENTRIES_PER_TURN
        )
        await wait_until(lambda: pools(node) == viewed(lists.servers, 12))
        assert len(turns) >= 10_000 // ENTRIES_PER_TURN


@on_loop
async def test_a_drain_in_a_long_list_is_told_before_the_rest_is_read(tmp_path):
    async with (
        Lists(hosts(5000)) as lists,
        Node(path=tmp_path, config_overrides=using(lists, size=12)) as node,
    ):
        await lists.watched()
        own, viewing, seen = pools(node), node.node.discovery.subset, []
        handle = node.node.engine.handle

        def handling(now, event):
            if isinstance(event, api.EndpointList):
                left = {host.id: host.state for host in event.endpoints if host.state != "up"}
                seen.append((event.mode, viewing.open_reads, left))
            return handle(now, event)

        node.node.engine.handle = handling
        first = next(entry for entry in lists.servers if entry["id"] in own)
        lists.servers = [e | {"state": "draining"} if e is first else e for e in lists.servers]
        lists.version += 1
        node.node.discovery.fetch_full_list()
        await wait_until(lambda: len(seen) == 2)
        assert seen[0] == ("delta", 1, {first["id"]: "leaving"})
        assert seen[1][0] == "full" and pools(node) == viewed(lists.servers, 12)


@pytest.mark.parametrize("started, used", [(0, False), (5000, True)])
@on_loop
async def test_an_address_that_lags_brings_no_host_of_the_shelf_back_that_drained(started, used, tmp_path):
    """It was outside the view when it drained, and would enter it."""
    async with (
        Lists(hosts(60)) as lists,
        Lists(hosts(60)) as behind,
        Node(path=tmp_path, config_overrides=using(lists, size=12)) as node,
    ):
        await lists.watched()
        lists.version = 41
        out = next(entry for entry in lists.servers if entry["id"] not in pools(node))
        lists.change([out | {"state": "draining"}])
        await lists.watched()
        behind.version = 40
        behind.servers = [e | {"started_ms": started} if e == out else e for e in behind.servers]
        node.file.write_text(
            json.dumps(json.loads(node.file.read_text()) | {"discovery": f"127.0.0.1:{behind.port}"})
        )
        node.node.reload()
        await behind.watched()
        node.node.discovery.subset.config = SubsetConfig(12, (), 100)
        node.node.discovery.resize_subset(100)
        await wait_until(lambda: len(pools(node)) >= 59)
        assert (out["id"] in pools(node)) == used


ODD = ["a", "ab", "a\0", "a\0b", "a\0\0", "\0", "", "é", "ÿ", "z\U0001f600", '"', "[1]", "s-1"]


def laid(shelf, name, **kw):
    shelf.store(
        api.Endpoint(
            name,
            kw.pop("zone", "a"),
            0,
            kw.pop("weight", 1.0),
            kw.pop("kind", "k"),
            kw.pop("state", "up"),
            0.0,
        ),
        ("::1", 6379),
    )


@pytest.mark.parametrize("kinds", [(), ("k", "l")])
@pytest.mark.parametrize("tied", [False, True])
def test_what_lies_on_the_shelf_is_found_whatever_its_name_and_hash(kinds, tied, monkeypatch):
    if tied:
        monkeypatch.setattr(compact_store, "position_of_endpoint", lambda name: 7)
        monkeypatch.setattr("api_gateway.base.subsets.position_of_endpoint", lambda name: 7)
    shelf, rings = CompactEndpointStore(kinds), EndpointRings()
    for n, name in enumerate(ODD * 2):  # each moves to another zone
        laid(shelf, name, zone="abc"[n % 3], weight=float(n), kind="kl"[n % 2])
        rings.set_endpoint(name, "kl"[n % 2], "abc"[n % 3], True)
    assert shelf.size() == len(ODD) and shelf.groups.keys() == {None, *kinds}
    for n, name in enumerate(ODD, len(ODD)):
        host, address = shelf.get(name)
        assert (host.id, host.zone, host.weight, address) == (name, "abc"[n % 3], n, ("::1", 6379))
    for view in (SubsetSpec(n, size, "a", kinds) for n in range(20) for size in (1, 4, 9)):
        assert {shelf.id_of(spot) for spot in shelf.members(view)} == rings.members(view)
    for name in ODD:
        assert shelf.remove_endpoint(name) is None and shelf.get(name) is None
    assert not shelf.size() and not shelf.kind_by_id and shelf.groups == {None: {}}


def test_what_a_whole_list_does_not_name_is_sorted_out_unless_a_change_brings_it_meanwhile():
    shelf = CompactEndpointStore(())
    for n in range(9):
        laid(shelf, f"h{n}")
    shelf.list_number += 1
    for n in range(3):
        laid(shelf, f"h{n}")  # as they were
    laid(shelf, "h3", weight=2.0)
    gone = [name for some in shelf.ids_not_listed_since(1) for name in some]
    assert sorted(gone) == [f"h{n}" for n in range(4, 9)]
    assert sorted(name for some in shelf.ids_last_listed_in(1) for name in some) == [
        f"h{n}" for n in range(4)
    ]
    laid(shelf, "h8")
    for name in gone:
        shelf.remove_endpoint(name, 1)
    assert shelf.size() == 5 and shelf.get("h8")


@pytest.mark.parametrize("kinds, most", [((), 130), (("svc-1", "svc-2", "svc-3"), 160)])
def test_a_host_on_the_shelf_takes_little(kinds, most):
    """Bytes; with objects and tables of hosts it took 301 and 277, and the id beside them."""
    shelf = CompactEndpointStore(kinds)
    names = [f"s-{n:08x}" for n in range(4000)]
    tracemalloc.start()
    try:
        for n, name in enumerate(names):
            shelf.store(
                api.Endpoint(name, "abcdef"[n % 6], n % 7, 1.0, f"svc-{n % 3 + 1}", "up", 0.0),
                (f"10.1.{n // 250}.{n % 250}", 6379),
            )
        assert tracemalloc.get_traced_memory()[0] / len(names) < most
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize(
    "told",
    [
        [],
        {},
        {"size": 0},
        {"size": "9"},
        {"size": True},
        {"size": 9, "most": 8},
        {"size": 9, "most": 1e9},
        {"size": 9, "kinds": "k"},
        {"size": 9, "kinds": [""]},
        {"size": 9, "kinds": [1]},
        {"size": 9, "more": 1},
    ],
)
def test_a_key_that_cannot_be_read_is_told_so(told):
    with pytest.raises(ValueError):
        read_subset_config(told)


def test_a_key_as_it_is_meant():
    assert read_subset_config({"size": 9}) == SubsetConfig(9, (), 72)
    assert read_subset_config({"size": 9, "kinds": ["b", "a", "b"], "most": 9}) == SubsetConfig(
        9, ("a", "b"), 9
    )


# A list service that knows views


def by_service(one, *others, keep=False, **view):
    return using(one, **view) | {
        "replicas": {"others": [f"127.0.0.1:{port}" for port in others], "keep": keep}
    }


def rewrite(serving, servers):
    serving.file.write_text(json.dumps({"servers": servers}))
    serving.service.reload()


@pytest.mark.parametrize("kinds", [(), ("k0", "k3")])
@on_loop
async def test_a_service_that_knows_views_is_asked_for_the_view_alone(kinds, tmp_path):
    servers = hosts(300, kinds=5)
    async with (
        Serving(tmp_path, servers) as serving,
        Node(path=tmp_path, config_overrides=by_service(serving, size=20, kinds=list(kinds))) as node,
    ):
        own = viewed(servers, 20, kinds)
        await wait_until(lambda: pools(node) == own and serving.service.waiting)
        viewing, seen = node.node.discovery.subset, told(node)
        assert viewing.is_chosen_by_service and viewing.endpoint_store is None
        total = sum(not kinds or entry["kind"] in kinds for entry in servers)
        assert viewing.total == total
        servers = [e | {"state": "draining"} if e["id"] == own[0] else e for e in servers]
        rewrite(serving, servers)
        await wait_until(lambda: pools(node) == viewed(servers, 20, kinds))
        states = {host.id: host.state for event in seen for host in event.endpoints}
        assert states.pop(own[0]) == "leaving" and set(states.values()) == {"up"}
        rewrite(serving, servers[:30])
        await wait_until(lambda: pools(node) == viewed(servers[:30], 20, kinds))
        assert all(event.mode == "delta" for event in seen)


@on_loop
async def test_widen_asks_the_service_for_the_larger_view(tmp_path):
    servers = hosts(90)
    async with (
        Serving(tmp_path, servers) as serving,
        Node(path=tmp_path, config_overrides=by_service(serving, size=6, most=30)) as node,
    ):
        for asked, size in ((6, 6), (20, 20), (1000, 30), (3, 6)):
            node.node.dispatcher.handlers[api.ResizeSubset](api.ResizeSubset(asked))
            await wait_until(
                lambda size=size: pools(node) == viewed(servers, size) and serving.service.waiting
            )
        assert node.node.discovery.subset.is_chosen_by_service


@on_loop
async def test_an_index_that_is_too_old_brings_the_whole_view(tmp_path):
    servers = hosts(90)
    async with (
        Serving(tmp_path, servers) as serving,
        Node(path=tmp_path, config_overrides=by_service(serving, size=12)) as node,
    ):
        await wait_until(lambda: pools(node) == viewed(servers, 12) and serving.service.waiting)
        seen = told(node)
        node.node.discovery.version = 1  # what changed since then is not remembered
        node.node.discovery.restart()
        await wait_until(lambda: seen)
        assert seen[0].mode == "full" and sorted(host.id for host in seen[0].endpoints) == pools(node)
        assert node.node.discovery.subset.is_chosen_by_service


@pytest.mark.parametrize("first", ["views", "none"])
@on_loop
async def test_lists_with_other_views_after_a_signal(first, tmp_path):
    """One service knows views and the other does not; they name other hosts."""
    ours, theirs = hosts(90), [entry | {"id": f"t{entry['id']}"} for entry in hosts(120)]
    async with Serving(tmp_path, ours) as serving, Lists(theirs) as lists:
        pair = [(serving, ours), (lists, theirs)]
        (before, old), (after, new) = pair if first == "views" else pair[::-1]
        async with Node(path=tmp_path, config_overrides=by_service(before, size=12)) as node:
            for place, known in ((after, new), (before, old), (after, new)):
                tree = json.loads(node.file.read_text())
                node.file.write_text(json.dumps(tree | {"discovery": f"127.0.0.1:{place.port}"}))
                node.node.reload()
                await wait_until(lambda known=known: pools(node) == viewed(known, 12))
                assert node.node.endpoint_updates.known_ids == set(pools(node))
                assert (node.node.discovery.subset.endpoint_store is None) == (place is serving)
            changed = [known[0] | {"state": "draining"}, *known[1:]]
            if place is serving:
                rewrite(serving, changed)
            else:
                lists.change(changed[:1])
            await wait_until(lambda: pools(node) == viewed(changed, 12))


@on_loop
async def test_a_change_of_discovery_by_call_brings_the_view_from_there(tmp_path):
    ours, theirs = hosts(90), [entry | {"id": f"t{entry['id']}"} for entry in hosts(120)]
    async with (
        Serving(tmp_path, ours) as serving,
        Lists(theirs) as lists,
        Node(path=tmp_path, config_overrides=by_service(serving, size=12)) as node,
    ):
        await wait_until(lambda: pools(node) == viewed(ours, 12))
        seen = (await node.call_control("GET /config"))[1]
        tree = seen["config"] | {"discovery": f"127.0.0.1:{lists.port}"}
        status, _ = await node.call_control(
            f"POST /config/apply?expect={seen['version']}", json.dumps(tree).encode()
        )
        assert status == 200 and pools(node) == viewed(theirs, 12)  # as it is answered
        assert node.node.discovery.subset.endpoint_store is not None


class Strict(Lists):
    """Refuses what it does not know."""

    async def answer(self, request):
        if set(request.query) - {"index", "wait", "epoch"}:
            self.calls.append(dict(request.query))
            return web.Response(status=400)
        return await super().answer(request)


@on_loop
async def test_a_service_that_refuses_what_it_does_not_know_is_asked_for_the_whole_list(tmp_path):
    async with (
        Strict(hosts(90)) as lists,
        Node(path=tmp_path, config_overrides=using(lists, size=12)) as node,
    ):
        await lists.watched()
        assert pools(node) == viewed(lists.servers, 12)
        lists.change([entry | {"state": "draining"} for entry in lists.named(*pools(node)[:3])])
        await wait_until(lambda: pools(node) == viewed(lists.servers, 12))
        assert not node.node.discovery.backoff.failure_count


@pytest.mark.parametrize("size, whole", [(12, False), (20, True)])
@on_loop
async def test_the_view_is_what_is_kept_and_the_watch_goes_on_from_it(size, whole, tmp_path):
    servers = hosts(90)
    async with Serving(tmp_path, servers) as serving:
        async with Node(path=tmp_path, config_overrides=by_service(serving, size=12, keep=True)) as node:
            await wait_until(lambda: pools(node) == viewed(servers, 12) and serving.service.waiting)
        kept = json.loads((tmp_path / "n0-list.json").read_text())
        assert sorted(entry["id"] for entry in kept["servers"]) == viewed(servers, 12)
        asked, listed = [], serving.service.listed

        async def seen(request):
            asked.append("index" in request.query)
            return await listed(request)

        serving.service.listed, serving.service.learned_at = seen, math.inf  # no list is told
        async with Node(path=tmp_path, config_overrides=by_service(serving, size=size, keep=True)) as node:
            await wait_until(lambda: asked)
            assert pools(node) == viewed(servers, 12) and node.node.discovery.subset.total == 90
            serving.service.learned_at = 0.0
            await wait_until(lambda: pools(node) == viewed(servers, size) and serving.service.waiting)
            assert asked[0] != whole


@pytest.mark.parametrize("seed", range(30))
@on_loop
async def test_whatever_changes_what_is_told_adds_up_to_the_view(seed):
    """Hosts that come, drain, go, move to other zones and kinds; views that grow and move; whole lists."""
    rng = random.Random(seed)
    kinds = rng.choice([(), ("k0",), ("k0", "k2")])
    viewing, every, mirror = EndpointSubset(SubsetConfig(9, kinds, 40), 0, "a"), {}, {}

    def listing(mode, entries):
        text = json.dumps({"version": 1, "full": mode == "full", "servers": list(entries)}).encode()
        return viewing.read(text, lambda _: None)

    def tell(event):
        if event.mode == "full":
            mirror.clear()
        for host in event.endpoints:
            mirror.pop(host.id, None) if host.state == "down" else mirror.__setitem__(host.id, host.state)
        rings = EndpointRings()
        for entry in every.values():
            rings.set_endpoint(entry["id"], entry["kind"], entry["zone"], entry["state"] == "up")
        assert mirror.keys() == rings.members(viewing.spec) and event.available_total == rings.total(
            viewing.spec
        )
        assert all((every[name]["state"] == "up") == (state == "up") for name, state in mirror.items())

    for step in range(60):
        changed = {}
        for _ in range(rng.choice((0, 1, 3, 30))):
            name = f"s-{rng.randrange(80)}"
            state = rng.choice(("up", "up", "up", "draining", "removed"))
            changed[name] = hosts(1)[0] | {
                "id": name,
                "zone": rng.choice("abc"),
                "state": state,
                "kind": f"k{rng.randrange(4)}",
                "weight": rng.choice((1.0, 2.0)),
            }
        every = {n: e for n, e in (every | changed).items() if e["state"] != "removed"}
        told = await (
            listing("full", every.values())
            if step == 0 or rng.random() < 0.1
            else listing("delta", changed.values())
        )
        await viewing.store_changes(told)
        tell(viewing.apply(told, lambda host: host, []).endpoint_list)
        if rng.random() < 0.2 and (
            viewing.resize(rng.randrange(60)) or viewing.relocate(rng.randrange(9), rng.choice("abcd"))
        ):
            tell(
                viewing.update_selection(
                    read_list({"version": 1, "full": False, "servers": []})
                ).endpoint_list
            )
