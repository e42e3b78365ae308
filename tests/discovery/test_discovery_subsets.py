"""Tests of a gateway that uses a subset, sent by the service or selected here from the full list."""

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


def hosts(count, port=1, zones="abc", kinds=1, **fields):
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
        | fields
        for n in range(count)
    ]


def subset_ids(servers, size, kinds=(), index=0, zone="a"):
    """Return the available ids of a subset, computed from the definition of subsets alone."""
    rings = EndpointRings()
    for entry in servers:
        rings.set_endpoint(entry["id"], entry["kind"], entry["zone"], entry["state"] == "up")
    up = {entry["id"] for entry in servers if entry["state"] == "up"}
    return sorted(rings.members(SubsetSpec(index, size, zone, tuple(kinds))) & up)


def subset_overrides(lists, **view):
    """Return the configuration keys of a gateway, whose subset does not grow unless `most` is given."""
    return {"discovery": f"127.0.0.1:{lists.port}", "known": EMPTY, "view": {"most": view["size"], **view}}


def pool_ids(node):
    return sorted(node.node.upstream.pools)


def record_lists(node):
    """Return a list to which each endpoint list that the engine gets from now on is appended."""
    seen, handle = [], node.node.engine.handle

    def record_list(now, event):
        if isinstance(event, api.EndpointList):
            seen.append(event)
        return handle(now, event)

    node.node.engine.handle = record_list
    return seen


class FullListDiscovery(StubDiscovery):
    """Sends full lists, as a service without subset support."""

    def __init__(self, servers):
        super().__init__()
        self.servers = servers

    def entries_of(self, *ids):
        return [entry for entry in self.servers if entry["id"] in ids]

    async def wait_for_watch(self):
        """Wait for a watch from the newest version."""
        while (await self.call()).get("index") != str(self.version):
            pass


@pytest.mark.parametrize("kinds", [[], ["k0", "k3"]])
@on_loop
async def test_the_engine_gets_only_the_subset_of_a_full_list_and_its_changes(kinds, tmp_path):
    async with (
        FullListDiscovery(hosts(300, kinds=5)) as lists,
        Node(path=tmp_path, config_overrides=subset_overrides(lists, size=20, kinds=kinds)) as node,
    ):
        await lists.wait_for_watch()
        members = subset_ids(lists.servers, 20, kinds)
        groups = kinds or [f"k{n}" for n in range(5)]
        total = sum(entry["kind"] in groups for entry in lists.servers)
        assert pool_ids(node) == members and 20 <= len(members) < 30
        seen = record_lists(node)
        outside = next(entry for entry in lists.servers if entry["id"] not in members)
        lists.change([outside | {"state": "draining"}])
        await lists.wait_for_watch()
        # The host is not in the subset.
        assert [event.endpoints for event in seen] == [()] and pool_ids(node) == members
        assert [event.available_total for event in seen] == [total - (outside["kind"] in groups)]
        lists.change([entry | {"state": "draining"} for entry in lists.entries_of(members[3])])
        await lists.wait_for_watch()
        members_after = subset_ids(lists.servers, 20, kinds)
        states = {host.id: host.state for host in seen[-1].endpoints}
        assert states.pop(members[3]) == "leaving" and set(states.values()) <= {"up"}
        assert (
            pool_ids(node) == members_after
            and members[3] not in members_after
            and len(members_after) == len(members)
        )
        lists.change([entry | {"state": "removed"} for entry in lists.entries_of(members[3])])
        await lists.wait_for_watch()
        assert {host.id: host.state for host in seen[-1].endpoints} == {members[3]: "down"}
        status = (await node.call_control("GET /status"))[1]["list"]["view"]
        # Hosts of other kinds are never stored.
        assert status["shelf"] == total - 1 and not status["by_service"]


@on_loop
async def test_a_host_that_leaves_the_subset_completes_its_requests(tmp_path):
    async with (
        StubHost(None) as host,
        FullListDiscovery(hosts(40, host.port)) as lists,
        Node(path=tmp_path, config_overrides=subset_overrides(lists, size=1)) as node,
    ):
        await lists.wait_for_watch()
        first = pool_ids(node)
        request = asyncio.create_task(node.send_command(command()))
        await wait_until(lambda: host.commands)
        fresh = [entry | {"id": f"n-{n}"} for n, entry in enumerate(hosts(400, host.port))]
        nearer = subset_ids(lists.servers + fresh, 1)
        lists.change([entry for entry in fresh if entry["id"] in nearer])
        await lists.wait_for_watch()
        assert pool_ids(node) == nearer != first
        host.writers[0].write(VALUE)
        assert await request == SERVED


@on_loop
async def test_a_subset_empties_and_fills_again(tmp_path):
    """The hosts of one zone are removed, then all others drain, then all return."""
    async with (
        StubHost() as host,
        FullListDiscovery(hosts(60, host.port)) as lists,
        Node(path=tmp_path, config_overrides=subset_overrides(lists, size=12)) as node,
    ):
        await lists.wait_for_watch()
        all_hosts, members = list(lists.servers), pool_ids(node)
        # Half of the subset is in the zone of the gateway.
        assert sum(entry["zone"] == "a" for entry in lists.entries_of(*members)) == 6
        lists.change([entry | {"state": "removed"} for entry in all_hosts if entry["zone"] == "a"])
        await lists.wait_for_watch()
        assert len(pool_ids(node)) == 12 and pool_ids(node) == subset_ids(lists.servers, 12)
        lists.change([entry | {"state": "draining"} for entry in all_hosts if entry["zone"] != "a"])
        await lists.wait_for_watch()
        assert not pool_ids(node)
        assert not (await node.send_command(command())).startswith(b"$")
        lists.change(all_hosts)
        await lists.wait_for_watch()
        assert pool_ids(node) == members and await node.send_command(command(b"r2")) == SERVED


@on_loop
async def test_resizing_selects_more_stored_hosts_up_to_the_maximum_and_shrinks_again(tmp_path):
    async with (
        FullListDiscovery(hosts(90)) as lists,
        Node(path=tmp_path, config_overrides=subset_overrides(lists, size=6, most=30)) as node,
    ):
        await lists.wait_for_watch()
        seen = record_lists(node)
        for requested_size, size in ((20, 20), (1000, 30), (30, 30), (3, 6)):
            node.node.dispatcher.handlers[api.ResizeSubset](api.ResizeSubset(requested_size))
            await wait_until(lambda size=size: pool_ids(node) == subset_ids(lists.servers, size))
        assert [event.mode for event in seen] == ["delta"] * 3  # one for each resize that changes the subset
        assert not lists.calls  # discovery was not called


@on_loop
async def test_the_subset_follows_the_configured_index_and_zone(tmp_path):
    async with (
        FullListDiscovery(hosts(90)) as lists,
        Node(path=tmp_path, config_overrides=subset_overrides(lists, size=6)) as node,
    ):
        await lists.wait_for_watch()
        config = json.loads(node.file.read_text())
        config["settings"] |= {"index": 3, "group_size": 9, "locality": "b"}
        node.file.write_text(json.dumps(config))
        node.node.reload()
        members_after = subset_ids(lists.servers, 6, index=3, zone="b")
        assert members_after != pool_ids(node)
        await wait_until(lambda: pool_ids(node) == members_after)


def without_state(entry):
    return {name: value for name, value in entry.items() if name != "state"}


@on_loop
async def test_unreadable_entries_are_skipped_in_a_full_list_and_invalidate_changes(tmp_path, caplog):
    servers = hosts(90)
    damaged = [entry if n % 3 else without_state(entry) for n, entry in enumerate(servers)]
    async with (
        FullListDiscovery(damaged) as lists,
        Node(path=tmp_path, config_overrides=subset_overrides(lists, size=12)) as node,
    ):
        await lists.wait_for_watch()
        readable = [entry for entry in damaged if "state" in entry]
        assert pool_ids(node) == subset_ids(readable, 12) and "30 of 90 entries cannot be read" in caplog.text
        lists.raw = json.dumps(
            {
                "version": 2,
                "full": False,
                "servers": [readable[0] | {"state": "draining"}, without_state(readable[1])],
            }
        )
        lists.version, lists.servers = 2, servers
        lists.change([])
        while "index" in await lists.call():
            pass  # the full list is requested
        await wait_until(lambda: pool_ids(node) == subset_ids(servers, 12))


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
async def test_a_malformed_list_keeps_the_last_list_in_use(raw, tmp_path):
    async with (
        FullListDiscovery(hosts(90)) as lists,
        Node(path=tmp_path, config_overrides=subset_overrides(lists, size=12)) as node,
    ):
        await lists.wait_for_watch()
        members, seen = pool_ids(node), record_lists(node)
        lists.raw = raw
        node.node.discovery.fetch_full_list()
        await wait_until(lambda: lists.raw is None)
        while "index" in await lists.call():
            pass
        while "index" not in await lists.call():
            pass  # the client has the full list again
        assert pool_ids(node) == members and {event.mode for event in seen} <= {"full"}


@on_loop
async def test_requests_are_served_while_a_long_list_is_read(tmp_path):
    """No turn of the event loop reads more than ENTRIES_PER_TURN entries."""
    async with (
        StubHost() as host,
        FullListDiscovery(hosts(60, host.port)) as lists,
        Node(path=tmp_path, config_overrides=replica_overrides(lists, size=12)) as node,
    ):  # not an agent, so the time limits are long enough
        await lists.wait_for_watch()
        subset, served, sizes_at_turns = node.node.discovery.subset, [], []
        reader, writer = await node.connect()
        original_yield_turn = subset.yield_turn

        async def record_turn():
            sizes_at_turns.append(subset.endpoint_store.size())
            await original_yield_turn()

        subset.yield_turn = record_turn
        lists.servers = lists.servers + hosts(10_000, host.port)[60:]
        lists.version += 1
        node.node.discovery.fetch_full_list()
        await wait_until(lambda: subset.open_reads)
        number = 0
        while subset.open_reads:
            writer.write(command(b"r%d" % (number := number + 1)))
            assert await read_reply(reader) == SERVED
            served.append(len(sizes_at_turns))
        assert (
            len(served) > 10
            and max(b - a for a, b in zip(sizes_at_turns, sizes_at_turns[1:], strict=False))
            <= ENTRIES_PER_TURN
        )
        await wait_until(lambda: pool_ids(node) == subset_ids(lists.servers, 12))
        assert len(sizes_at_turns) >= 10_000 // ENTRIES_PER_TURN


@on_loop
async def test_a_drain_in_a_long_list_takes_effect_before_the_rest_is_read(tmp_path):
    async with (
        FullListDiscovery(hosts(5000)) as lists,
        Node(path=tmp_path, config_overrides=subset_overrides(lists, size=12)) as node,
    ):
        await lists.wait_for_watch()
        members, subset, seen = pool_ids(node), node.node.discovery.subset, []
        handle = node.node.engine.handle

        def record_list(now, event):
            if isinstance(event, api.EndpointList):
                drained = {host.id: host.state for host in event.endpoints if host.state != "up"}
                seen.append((event.mode, subset.open_reads, drained))
            return handle(now, event)

        node.node.engine.handle = record_list
        first = next(entry for entry in lists.servers if entry["id"] in members)
        lists.servers = [e | {"state": "draining"} if e is first else e for e in lists.servers]
        lists.version += 1
        node.node.discovery.fetch_full_list()
        await wait_until(lambda: len(seen) == 2)
        assert seen[0] == ("delta", 1, {first["id"]: "leaving"})
        assert seen[1][0] == "full" and pool_ids(node) == subset_ids(lists.servers, 12)


@pytest.mark.parametrize("started, is_used", [(0, False), (5000, True)])
@on_loop
async def test_a_lagging_address_does_not_restore_a_drained_stored_host(started, is_used, tmp_path):
    """The host was outside the subset when it drained, and would enter the grown subset."""
    async with (
        FullListDiscovery(hosts(60)) as lists,
        FullListDiscovery(hosts(60)) as lagging,
        Node(path=tmp_path, config_overrides=subset_overrides(lists, size=12)) as node,
    ):
        await lists.wait_for_watch()
        lists.version = 41
        outside = next(entry for entry in lists.servers if entry["id"] not in pool_ids(node))
        lists.change([outside | {"state": "draining"}])
        await lists.wait_for_watch()
        lagging.version = 40
        lagging.servers = [e | {"started_ms": started} if e == outside else e for e in lagging.servers]
        node.file.write_text(
            json.dumps(json.loads(node.file.read_text()) | {"discovery": f"127.0.0.1:{lagging.port}"})
        )
        node.node.reload()
        await lagging.wait_for_watch()
        node.node.discovery.subset.config = SubsetConfig(12, (), 100)
        node.node.discovery.resize_subset(100)
        await wait_until(lambda: len(pool_ids(node)) >= 59)
        assert (outside["id"] in pool_ids(node)) == is_used


UNUSUAL_IDS = ["a", "ab", "a\0", "a\0b", "a\0\0", "\0", "", "é", "ÿ", "z\U0001f600", '"', "[1]", "s-1"]


def store_host(store, name, **fields):
    store.store(
        api.Endpoint(
            name,
            fields.pop("zone", "a"),
            0,
            fields.pop("weight", 1.0),
            fields.pop("kind", "k"),
            fields.pop("state", "up"),
            0.0,
        ),
        ("::1", 6379),
    )


@pytest.mark.parametrize("kinds", [(), ("k", "l")])
@pytest.mark.parametrize("equal_hashes", [False, True])
def test_stored_hosts_are_found_whatever_their_names_and_hashes(kinds, equal_hashes, monkeypatch):
    if equal_hashes:
        monkeypatch.setattr(compact_store, "position_of_endpoint", lambda name: 7)
        monkeypatch.setattr("api_gateway.base.subsets.position_of_endpoint", lambda name: 7)
    store, rings = CompactEndpointStore(kinds), EndpointRings()
    for n, name in enumerate(UNUSUAL_IDS * 2):  # the second time, each moves to another zone
        store_host(store, name, zone="abc"[n % 3], weight=float(n), kind="kl"[n % 2])
        rings.set_endpoint(name, "kl"[n % 2], "abc"[n % 3], True)
    assert store.size() == len(UNUSUAL_IDS) and store.groups.keys() == {None, *kinds}
    for n, name in enumerate(UNUSUAL_IDS, len(UNUSUAL_IDS)):
        host, address = store.get(name)
        assert (host.id, host.zone, host.weight, address) == (name, "abc"[n % 3], n, ("::1", 6379))
    for view in (SubsetSpec(n, size, "a", kinds) for n in range(20) for size in (1, 4, 9)):
        assert {store.id_of(record) for record in store.members(view)} == rings.members(view)
    for name in UNUSUAL_IDS:
        assert store.remove_endpoint(name) is None and store.get(name) is None
    assert not store.size() and not store.kind_by_id and store.groups == {None: {}}


def test_hosts_missing_from_a_full_list_are_removed_unless_added_meanwhile():
    store = CompactEndpointStore(())
    for n in range(9):
        store_host(store, f"h{n}")
    store.list_number += 1
    for n in range(3):
        store_host(store, f"h{n}")  # unchanged
    store_host(store, "h3", weight=2.0)
    unlisted = [name for batch in store.ids_not_listed_since(1) for name in batch]
    assert sorted(unlisted) == [f"h{n}" for n in range(4, 9)]
    assert sorted(name for batch in store.ids_last_listed_in(1) for name in batch) == [
        f"h{n}" for n in range(4)
    ]
    store_host(store, "h8")
    for name in unlisted:
        store.remove_endpoint(name, 1)
    assert store.size() == 5 and store.get("h8")


@pytest.mark.parametrize("kinds, max_bytes", [((), 130), (("svc-1", "svc-2", "svc-3"), 160)])
def test_a_stored_host_takes_little_memory(kinds, max_bytes):
    """The limit is in bytes. With objects and tables of hosts it took 301 and 277, plus the id."""
    store = CompactEndpointStore(kinds)
    names = [f"s-{n:08x}" for n in range(4000)]
    tracemalloc.start()
    try:
        for n, name in enumerate(names):
            store.store(
                api.Endpoint(name, "abcdef"[n % 6], n % 7, 1.0, f"svc-{n % 3 + 1}", "up", 0.0),
                (f"10.1.{n // 250}.{n % 250}", 6379),
            )
        assert tracemalloc.get_traced_memory()[0] / len(names) < max_bytes
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
def test_an_invalid_view_key_raises(told):
    with pytest.raises(ValueError):
        read_subset_config(told)


def test_a_valid_view_key_is_read():
    assert read_subset_config({"size": 9}) == SubsetConfig(9, (), 72)
    assert read_subset_config({"size": 9, "kinds": ["b", "a", "b"], "most": 9}) == SubsetConfig(
        9, ("a", "b"), 9
    )


# A list service with subset support


def replica_overrides(one, *others, keep=False, **view):
    return subset_overrides(one, **view) | {
        "replicas": {"others": [f"127.0.0.1:{port}" for port in others], "keep": keep}
    }


def write_hosts(serving, servers):
    serving.file.write_text(json.dumps({"servers": servers}))
    serving.service.reload()


@pytest.mark.parametrize("kinds", [(), ("k0", "k3")])
@on_loop
async def test_a_service_with_subset_support_sends_only_the_subset(kinds, tmp_path):
    servers = hosts(300, kinds=5)
    async with (
        Serving(tmp_path, servers) as serving,
        Node(path=tmp_path, config_overrides=replica_overrides(serving, size=20, kinds=list(kinds))) as node,
    ):
        members = subset_ids(servers, 20, kinds)
        await wait_until(lambda: pool_ids(node) == members and serving.service.waiting)
        subset, seen = node.node.discovery.subset, record_lists(node)
        assert subset.is_chosen_by_service and subset.endpoint_store is None
        total = sum(not kinds or entry["kind"] in kinds for entry in servers)
        assert subset.total == total
        servers = [e | {"state": "draining"} if e["id"] == members[0] else e for e in servers]
        write_hosts(serving, servers)
        await wait_until(lambda: pool_ids(node) == subset_ids(servers, 20, kinds))
        states = {host.id: host.state for event in seen for host in event.endpoints}
        assert states.pop(members[0]) == "leaving" and set(states.values()) == {"up"}
        write_hosts(serving, servers[:30])
        await wait_until(lambda: pool_ids(node) == subset_ids(servers[:30], 20, kinds))
        assert all(event.mode == "delta" for event in seen)


@on_loop
async def test_resizing_requests_the_larger_subset_from_the_service(tmp_path):
    servers = hosts(90)
    async with (
        Serving(tmp_path, servers) as serving,
        Node(path=tmp_path, config_overrides=replica_overrides(serving, size=6, most=30)) as node,
    ):
        for requested_size, size in ((6, 6), (20, 20), (1000, 30), (3, 6)):
            node.node.dispatcher.handlers[api.ResizeSubset](api.ResizeSubset(requested_size))
            await wait_until(
                lambda size=size: pool_ids(node) == subset_ids(servers, size) and serving.service.waiting
            )
        assert node.node.discovery.subset.is_chosen_by_service


@on_loop
async def test_an_index_that_is_too_old_returns_the_full_subset(tmp_path):
    servers = hosts(90)
    async with (
        Serving(tmp_path, servers) as serving,
        Node(path=tmp_path, config_overrides=replica_overrides(serving, size=12)) as node,
    ):
        await wait_until(lambda: pool_ids(node) == subset_ids(servers, 12) and serving.service.waiting)
        seen = record_lists(node)
        node.node.discovery.version = 1  # the service does not remember the changes since then
        node.node.discovery.restart()
        await wait_until(lambda: seen)
        assert seen[0].mode == "full" and sorted(host.id for host in seen[0].endpoints) == pool_ids(node)
        assert node.node.discovery.subset.is_chosen_by_service


@pytest.mark.parametrize("first", ["views", "none"])
@on_loop
async def test_reload_switches_between_services_with_and_without_subsets(first, tmp_path):
    """One service supports subsets and the other does not; their hosts differ."""
    ours, theirs = hosts(90), [entry | {"id": f"t{entry['id']}"} for entry in hosts(120)]
    async with Serving(tmp_path, ours) as serving, FullListDiscovery(theirs) as lists:
        pair = [(serving, ours), (lists, theirs)]
        (before, old), (after, new) = pair if first == "views" else pair[::-1]
        async with Node(path=tmp_path, config_overrides=replica_overrides(before, size=12)) as node:
            for service, known in ((after, new), (before, old), (after, new)):
                config = json.loads(node.file.read_text())
                node.file.write_text(json.dumps(config | {"discovery": f"127.0.0.1:{service.port}"}))
                node.node.reload()
                await wait_until(lambda known=known: pool_ids(node) == subset_ids(known, 12))
                assert node.node.endpoint_updates.known_ids == set(pool_ids(node))
                assert (node.node.discovery.subset.endpoint_store is None) == (service is serving)
            changed = [known[0] | {"state": "draining"}, *known[1:]]
            if service is serving:
                write_hosts(serving, changed)
            else:
                lists.change(changed[:1])
            await wait_until(lambda: pool_ids(node) == subset_ids(changed, 12))


@on_loop
async def test_applying_another_discovery_address_fetches_the_subset_from_it(tmp_path):
    ours, theirs = hosts(90), [entry | {"id": f"t{entry['id']}"} for entry in hosts(120)]
    async with (
        Serving(tmp_path, ours) as serving,
        FullListDiscovery(theirs) as lists,
        Node(path=tmp_path, config_overrides=replica_overrides(serving, size=12)) as node,
    ):
        await wait_until(lambda: pool_ids(node) == subset_ids(ours, 12))
        current = (await node.call_control("GET /config"))[1]
        config = current["config"] | {"discovery": f"127.0.0.1:{lists.port}"}
        status, _ = await node.call_control(
            f"POST /config/apply?expect={current['version']}", json.dumps(config).encode()
        )
        assert status == 200 and pool_ids(node) == subset_ids(theirs, 12)  # by the time the call is answered
        assert node.node.discovery.subset.endpoint_store is not None


class StrictDiscovery(FullListDiscovery):
    """Refuses query parameters that it does not know."""

    async def answer(self, request):
        if set(request.query) - {"index", "wait", "epoch"}:
            self.calls.append(dict(request.query))
            return web.Response(status=400)
        return await super().answer(request)


@on_loop
async def test_a_service_that_rejects_the_subset_query_is_asked_for_the_full_list(tmp_path):
    async with (
        StrictDiscovery(hosts(90)) as lists,
        Node(path=tmp_path, config_overrides=subset_overrides(lists, size=12)) as node,
    ):
        await lists.wait_for_watch()
        assert pool_ids(node) == subset_ids(lists.servers, 12)
        lists.change([entry | {"state": "draining"} for entry in lists.entries_of(*pool_ids(node)[:3])])
        await wait_until(lambda: pool_ids(node) == subset_ids(lists.servers, 12))
        assert not node.node.discovery.backoff.failure_count


@pytest.mark.parametrize("size, expects_full_list", [(12, False), (20, True)])
@on_loop
async def test_the_subset_is_cached_and_the_watch_continues_from_it(size, expects_full_list, tmp_path):
    servers = hosts(90)
    async with Serving(tmp_path, servers) as serving:
        async with Node(
            path=tmp_path, config_overrides=replica_overrides(serving, size=12, keep=True)
        ) as node:
            await wait_until(lambda: pool_ids(node) == subset_ids(servers, 12) and serving.service.waiting)
        cached = json.loads((tmp_path / "n0-list.json").read_text())
        assert sorted(entry["id"] for entry in cached["servers"]) == subset_ids(servers, 12)
        watches, listed = [], serving.service.handle_list

        async def record_query(request):
            watches.append("index" in request.query)
            return await listed(request)

        # The service returns no list.
        serving.service.handle_list, serving.service.learning_ends_at = record_query, math.inf
        async with Node(
            path=tmp_path, config_overrides=replica_overrides(serving, size=size, keep=True)
        ) as node:
            await wait_until(lambda: watches)
            assert pool_ids(node) == subset_ids(servers, 12) and node.node.discovery.subset.total == 90
            serving.service.learning_ends_at = 0.0
            await wait_until(lambda: pool_ids(node) == subset_ids(servers, size) and serving.service.waiting)
            assert watches[0] != expects_full_list


@pytest.mark.parametrize("seed", range(30))
@on_loop
async def test_random_changes_always_add_up_to_the_subset(seed):
    """Hosts are added, drained, removed and moved to other zones and kinds; subsets change size and index."""
    rng = random.Random(seed)
    kinds = rng.choice([(), ("k0",), ("k0", "k2")])
    subset, all_entries, states = EndpointSubset(SubsetConfig(9, kinds, 40), 0, "a"), {}, {}

    def listing(mode, entries):
        text = json.dumps({"version": 1, "full": mode == "full", "servers": list(entries)}).encode()
        return subset.read(text, lambda _: None)

    def check_list(event):
        if event.mode == "full":
            states.clear()
        for host in event.endpoints:
            states.pop(host.id, None) if host.state == "down" else states.__setitem__(host.id, host.state)
        rings = EndpointRings()
        for entry in all_entries.values():
            rings.set_endpoint(entry["id"], entry["kind"], entry["zone"], entry["state"] == "up")
        assert states.keys() == rings.members(subset.spec) and event.available_total == rings.total(
            subset.spec
        )
        assert all((all_entries[name]["state"] == "up") == (state == "up") for name, state in states.items())

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
        all_entries = {n: e for n, e in (all_entries | changed).items() if e["state"] != "removed"}
        received = await (
            listing("full", all_entries.values())
            if step == 0 or rng.random() < 0.1
            else listing("delta", changed.values())
        )
        await subset.store_changes(received)
        check_list(subset.apply(received, lambda host: host, []).endpoint_list)
        if rng.random() < 0.2 and (
            subset.resize(rng.randrange(60)) or subset.relocate(rng.randrange(9), rng.choice("abcd"))
        ):
            check_list(
                subset.update_selection(read_list({"version": 1, "full": False, "servers": []})).endpoint_list
            )
