"""Tests of subsets across components.

They cover gateways that disagree on their indexes or their number, services of any size, equal hashes,
customers that move between gateways, and a list service whose hosts are removed while requests are in flight.
"""

import asyncio
import json
import random
from collections import Counter

import pytest
from helpers import EngineHarness, actions_of, host, plan, settings
from netkit import SERVED, VALUE, Node, StubHost, command, on_loop, wait_until
from test_discovery_subsets import (
    FullListDiscovery,
    hosts,
    pool_ids,
    replica_overrides,
    subset_ids,
    subset_overrides,
    write_hosts,
)
from test_registry import tick_until_idle
from test_registry_service import Serving
from test_registry_subsets import change_host, filled_registry, view_members
from test_subsets import ZONES, rings_of

from api_gateway import interface as api
from api_gateway.base import subsets as base
from api_gateway.base.subsets import EndpointRings, SubsetSpec
from api_gateway.discovery import compact_store
from api_gateway.discovery.compact_store import CompactEndpointStore
from api_gateway.policy import endpoint_table as policy
from api_gateway.policy.customer_accounts import stable_hash
from api_gateway.policy.endpoint_subset import GOLDEN_STEP
from api_gateway.registry import core
from api_gateway.registry import subsets as live

LARGE_PLAN = plan(rate=1000.0, burst=4000.0)
GATEWAYS = 420


# Gateways that disagree on how many there are


def indexes_after_restart(some, number):
    """Return the indexes of all gateways, where `some` have been restarted with another index."""
    return [number(n) if n in some else n for n in range(GATEWAYS)]


def gateway_indexes(case, rng):
    tenth, half = (set(rng.sample(range(GATEWAYS), GATEWAYS // part)) for part in (10, 2))
    return {
        "agreed": list(range(GATEWAYS)),
        "a tenth away": [n for n in range(GATEWAYS) if n not in tenth],
        "a tenth counted on": indexes_after_restart(tenth, lambda n: GATEWAYS + n),
        "a tenth drawn anew": indexes_after_restart(tenth, lambda n: rng.randrange(GATEWAYS)),
        "all, half of them counted backwards so far": indexes_after_restart(half, lambda n: GATEWAYS - 1 - n),
        "all, each drawn anew": indexes_after_restart(range(GATEWAYS), lambda n: rng.randrange(GATEWAYS)),
        "all, each number twice": [n // 2 for n in range(GATEWAYS)],
    }[case]


@pytest.mark.parametrize(
    "case, min_ratio, max_ratio",
    [
        ("agreed", 0.4, 1.7),
        ("a tenth away", 0.2, 2.1),
        ("a tenth counted on", 0.3, 2.1),
        ("a tenth drawn anew", 0.3, 2.2),
        ("all, half of them counted backwards so far", 0.1, 2.3),
        ("all, each drawn anew", 0.0, 2.8),
        ("all, each number twice", 0.4, 1.8),
    ],
)
def test_each_host_is_in_a_similar_number_of_subsets_if_gateway_indexes_disagree(case, min_ratio, max_ratio):
    """The bounds are multiples of the mean.

    The subset of a gateway depends neither on the indexes of others nor on how many gateways they assume.
    """
    rings = rings_of(5600)
    members_of = {}
    for seed in range(3):
        counts = Counter()
        for n, index in enumerate(gateway_indexes(case, random.Random(seed))):
            view = SubsetSpec(index, 120, ZONES[n % 6])
            if view not in members_of:
                members_of[view] = rings.members(view)
            counts.update(members_of[view])
        mean = sum(counts.values()) / 5600
        ratios = [counts[name] / mean for name in rings.entries]
        assert min(ratios) >= min_ratio and max(ratios) <= max_ratio


def gateways_per_host(groups, total, view):
    """Return how many gateways use each host, if gateway n assumes that there are groups[n] gateways."""
    hosts_, used = [host(f"h{n}") for n in range(total)], Counter()
    ring = sorted(hosts_, key=lambda h: policy.stable_hash(h.id, "place"))
    places = [policy.stable_hash(h.id, "place") for h in ring]
    for n, gateways in enumerate(groups):
        first_index = sum(place < int(n * GOLDEN_STEP % 1.0 * 2**63) for place in places)
        harness = EngineHarness(
            settings(plans=[LARGE_PLAN], gateway_count=gateways, gateway_index=n), [], seed=n + 1
        )
        harness.handle(
            api.EndpointList("full", 1, tuple((ring + ring)[first_index : first_index + view]), total)
        )
        harness.request()
        used.update(s.entry.id for s in harness.engine.endpoint_pool.subset_endpoints)
    return [used[h.id] for h in hosts_]


def test_each_host_is_used_by_a_similar_number_of_gateways_if_gateway_counts_disagree():
    agreed = gateways_per_host([120] * 120, 240, 60)
    tenth = gateways_per_host([132 if n % 10 == 3 else 120 for n in range(120)], 240, 60)
    # The number of gateways is being doubled.
    half = gateways_per_host([240 if n % 2 else 120 for n in range(120)], 240, 60)
    mean = sum(agreed) / 240
    assert min(agreed) > 0.2 * mean and max(agreed) < 2.2 * mean
    assert max(tenth) <= max(agreed) + 1 and min(tenth) >= min(agreed) - 1
    assert abs(sum(tenth) / 240 - mean) < 0.05 * mean
    # Half of the gateways already use half as many hosts, the others do not yet.
    assert max(half) <= max(agreed) and min(half) >= 0.5 * sum(half) / 240
    assert 0.7 * mean < sum(half) / 240 < 0.8 * mean


# Services of any size

LARGE_SERVICE_HOSTS = 4000


def services(port=1):
    """Return the hosts of a service with 4,000 hosts and a service with one."""
    return [
        {
            "id": f"m-{n}",
            "addr": f"127.0.0.1:{port}",
            "zone": "abc"[n % 3],
            "kind": "many",
            "cell": 0,
            "state": "up",
            "weight": 1.0,
            "started_ms": 0,
        }
        for n in range(LARGE_SERVICE_HOSTS)
    ] + [
        {
            "id": "only",
            "addr": f"127.0.0.1:{port}",
            "zone": "b",
            "kind": "one",
            "cell": 0,
            "state": "up",
            "weight": 1.0,
            "started_ms": 0,
        }
    ]


@pytest.mark.parametrize("supports_subsets", [False, True])
@pytest.mark.parametrize(
    "kinds, pool_size", [(["none"], 0), (["one"], 1), (["many"], 12), (["many", "none", "one"], 7)]
)
@on_loop
async def test_services_with_no_host_one_host_and_thousands(kinds, pool_size, supports_subsets, tmp_path):
    async with (
        StubHost() as stub,
        Serving(tmp_path, services(stub.port)) as serving,
        FullListDiscovery(services(stub.port)) as lists,
    ):
        overrides = (
            replica_overrides(serving, size=12, kinds=kinds)
            if supports_subsets
            else subset_overrides(lists, size=12, kinds=kinds)
        )

        def change_hosts(servers):
            if supports_subsets:
                write_hosts(serving, servers)
            else:
                old = {entry["id"] for entry in servers}
                lists.change(
                    [
                        *servers[LARGE_SERVICE_HOSTS:],
                        *(entry | {"state": "removed"} for entry in lists.servers if entry["id"] not in old),
                    ]
                )

        async with Node(path=tmp_path, config_overrides=overrides) as node:
            subset, current = node.node.discovery.subset, services(stub.port)
            await wait_until(
                lambda: (
                    pool_ids(node) == subset_ids(current, 12, kinds)
                    and subset.is_chosen_by_service == supports_subsets
                )
            )
            total = sum(entry["kind"] in kinds for entry in current)
            assert len(pool_ids(node)) == pool_size and subset.total == total
            assert (await node.send_command(command()) == SERVED) == bool(pool_size)
            current = [*current, current[-1] | {"id": "first", "kind": "none"}]
            change_hosts(current)
            await wait_until(
                lambda: (
                    pool_ids(node) == subset_ids(current, 12, kinds)
                    and ("none" not in kinds or "first" in pool_ids(node))
                )
            )
            assert await node.send_command(command(b"r2")) == SERVED
            current = [entry for entry in current if entry["id"] != "only"]
            change_hosts(current)
            await wait_until(lambda: "only" not in pool_ids(node))
            assert pool_ids(node) == subset_ids(current, 12, kinds)


SERVICES, USED_SERVICES = 2600, 20


def test_a_gateway_is_sent_only_the_20_of_2600_services_that_it_uses(monkeypatch):
    r = filled_registry(3 * SERVICES, zones="abcdef", kinds=[f"k{n}" for n in range(SERVICES)])
    rng = random.Random(1)
    views = [
        SubsetSpec(n, 120, ZONES[n % 6], tuple(f"k{k}" for k in rng.sample(range(SERVICES), USED_SERVICES)))
        for n in range(60)
    ]
    for view in views:
        full_answer = r.view(1.0, None, view)
        assert Counter(h.kind for h in full_answer.hosts) == dict.fromkeys(view.kinds, 3)
        assert full_answer.total == 3 * USED_SERVICES
        assert r.watch_view(1.0, view, view, full_answer.version, 60.0, "e") is None
    rebuilt, rebuild_group = [], live.LiveViews.rebuild_group
    monkeypatch.setattr(
        live.LiveViews,
        "rebuild_group",
        lambda self, one, group: rebuilt.append(group) or rebuild_group(self, one, group),
    )
    concerned = 0
    for n in range(50):  # fewer steps than the first watch waits
        kind = f"k{n}"
        change_host(r, 2.0 + n, f"h{n}", weight=2.0)
        answers = tick_until_idle(r, 2.5 + n)
        assert {a.key for a in answers} == {view for view in views if kind in view.kinds}
        assert all([h.id for h in a.hosts] == [f"h{n}"] for a in answers)
        for answer in answers:
            assert r.watch_view(2.6 + n, answer.key, answer.key, answer.version, 60.0, "e") is None
        concerned += len(answers)
    # Only one group of each subset concerned is rebuilt.
    assert concerned > 10 and len(rebuilt) == concerned


@on_loop
async def test_a_gateway_stores_only_the_20_of_2600_services_that_it_uses(tmp_path):
    servers = hosts(3 * SERVICES, kinds=SERVICES)
    kinds = [f"k{n * 130}" for n in range(USED_SERVICES)]
    async with (
        FullListDiscovery(servers) as lists,
        Node(path=tmp_path, config_overrides=subset_overrides(lists, size=120, kinds=kinds)) as node,
    ):
        await lists.wait_for_watch()
        assert pool_ids(node) == subset_ids(servers, 120, kinds) and len(pool_ids(node)) == 3 * USED_SERVICES
        assert node.node.discovery.subset.endpoint_store.size() == 3 * USED_SERVICES


# Names with equal hashes


@pytest.mark.parametrize("size", [1, 7, 30])
def test_service_and_gateway_select_the_same_hosts_of_equal_hash(size, monkeypatch):
    """All hosts have one of two positions, so that only their ids decide."""

    def position(name):
        return int(name[1:]) % 2 * 2**62 + 5

    for module in (base, compact_store):
        monkeypatch.setattr(module, "position_of_endpoint", position)
    r, store, rings = filled_registry(40, zones="abc"), CompactEndpointStore(()), EndpointRings()
    for name, entry in sorted(r.entries.items(), reverse=True):
        store.store(api.Endpoint(name, entry.host.zone, 0, 1.0, "k", "up", 0.0), None)
        rings.set_endpoint(name, "k", entry.host.zone, True)
    for n in range(12):
        view = SubsetSpec(n, size, "abc"[n % 3])
        received = {h.id for h in r.view(1.0, None, view).hosts}
        assert received == rings.members(view) == {store.id_of(record) for record in store.members(view)}
        assert len(received) == size
    view, version = SubsetSpec(1, 7, "b"), r.version
    r.view(1.0, None, view)
    removed_id = sorted(view_members(r, view))[0]
    r.remove(2.0, r.entries[removed_id])
    received = {h.id: h.state for h in r.watch_view(2.0, None, view, version, 0.0, "e").hosts}
    assert received.pop(removed_id) == "removed" and list(received.values()) == ["up"]


def test_the_engine_uses_as_many_hosts_of_equal_hash_as_of_others(monkeypatch):
    def used_hosts():
        harness = EngineHarness(settings(plans=[LARGE_PLAN], gateway_count=40, gateway_index=3), [])
        harness.handle(api.EndpointList("full", 1, tuple(host(f"h{n}") for n in range(30)), 60))
        sent_to = {
            send.endpoint_id for _ in range(60) for send in actions_of(harness.request()[1], api.SendAttempt)
        }  # no attempt is answered
        selected = [s.entry.id for s in harness.engine.endpoint_pool.subset_endpoints]
        return selected, sent_to

    others, _ = used_hosts()
    monkeypatch.setattr(
        policy, "stable_hash", lambda name, use: 7 if use == "place" else stable_hash(name, use)
    )
    selected, sent_to = used_hosts()
    assert (
        len(selected) == len(set(selected)) == len(others) > 2
        and len(sent_to) > 2
        and sent_to <= set(selected)
    )


# A customer that moves between gateways


def gateway_with_subset(hosts_, index, gateways, view, **more_settings):
    harness = EngineHarness(
        settings(
            plans=[plan(rate=2.0, burst=24.0)], gateway_count=gateways, gateway_index=index, **more_settings
        ),
        [],
        seed=index + 1,
    )
    position = int(index * GOLDEN_STEP % 1.0 * 2**63)
    nearest = sorted(hosts_, key=lambda h: (policy.stable_hash(h.id, "place") - position) % 2**63)
    harness.handle(api.EndpointList("full", 1, tuple(nearest[:view]), len(hosts_)))
    return harness


def test_a_customer_that_moves_between_gateways_stays_within_its_quota():
    """The subsets have no host in common, so that only the counter knows what the customer has used."""
    hosts_ = [host(f"h{n}") for n in range(400)]
    first, second = (gateway_with_subset(hosts_, index, 100, 20) for index in (0, 1))
    second.counts = first.counts
    views = [set(harness.engine.endpoint_pool.endpoints) for harness in (first, second)]
    assert not views[0] & views[1]
    sent, now = [[], []], first.now
    for turn in range(6):  # it alternates, each time with two seconds of requests far above its quota
        harness = (first, second)[turn % 2]
        for _ in range(100):
            now += 0.02
            harness.now = now
            harness.handle(api.TimerFired(0))
            for send in actions_of(harness.request(customer="t", spread=1)[1], api.SendAttempt):
                sent[turn % 2].append(send.endpoint_id)
                harness.end_attempt(send)
            # The gateway that it has left handles no more requests of it.
            other = (second, first)[turn % 2]
            other.now = now
            other.handle(api.TimerFired(0))
        assert not harness.engine.endpoint_pool.in_flight
    assert all(len(some) > 4 and set(some) <= views[n] for n, some in enumerate(sent))
    seconds = 100 * 0.02 * 6
    assert 24 <= sum(map(len, sent)) <= 24 + 2 * seconds + 24 / 2  # the other gateway may hold a lease
    # Injected fault: this gateway does not know what was used at the first one.
    alone = gateway_with_subset(hosts_, 1, 100, 20)
    for _ in range(100):
        alone.now += 0.02
        for send in actions_of(alone.request(customer="t", spread=1)[1], api.SendAttempt):
            alone.end_attempt(send)
    assert sum(alone.counts.values()) >= 24  # so a full burst would have been let through there as well


# Subsets sent by a list service


@on_loop
async def test_a_host_that_leaves_a_subset_of_the_service_completes_its_requests(tmp_path):
    async with (
        StubHost(None) as stub,
        Serving(tmp_path, hosts(40, stub.port)) as serving,
        Node(path=tmp_path, config_overrides=replica_overrides(serving, size=1)) as node,
    ):
        initial = hosts(40, stub.port)
        await wait_until(lambda: pool_ids(node) == subset_ids(initial, 1) and serving.service.waiting)
        first = pool_ids(node)
        request = asyncio.create_task(node.send_command(command()))
        await wait_until(lambda: stub.commands)
        fresh = [entry | {"id": f"n-{n}"} for n, entry in enumerate(hosts(400, stub.port))]
        write_hosts(serving, initial + fresh)
        await wait_until(lambda: pool_ids(node) == subset_ids(initial + fresh, 1) != first)
        stub.writers[0].write(VALUE)
        assert await request == SERVED
        assert first[0] in {entry["id"] for entry in json.loads(serving.file.read_text())["servers"]}


@on_loop
async def test_a_subset_of_the_service_empties_and_fills_again(tmp_path, monkeypatch):
    monkeypatch.setattr(core, "DRAIN_DURATION_S", 0.05)
    async with (
        StubHost() as stub,
        Serving(tmp_path, hosts(60, stub.port)) as serving,
        Node(path=tmp_path, config_overrides=replica_overrides(serving, size=12)) as node,
    ):
        all_hosts = hosts(60, stub.port)
        await wait_until(lambda: pool_ids(node) == subset_ids(all_hosts, 12))
        initial_ids = pool_ids(node)
        other_zones = [entry for entry in all_hosts if entry["zone"] != "a"]
        write_hosts(serving, other_zones)
        await wait_until(lambda: pool_ids(node) == subset_ids(other_zones, 12))
        assert len(pool_ids(node)) == 12
        write_hosts(serving, [])
        await wait_until(lambda: not pool_ids(node) and not node.node.discovery.subset.selected)
        assert not (await node.send_command(command())).startswith(b"$")
        write_hosts(serving, all_hosts)
        await wait_until(lambda: pool_ids(node) == initial_ids)
        assert (
            await node.send_command(command(b"r2")) == SERVED
            and node.node.discovery.subset.is_chosen_by_service
        )
