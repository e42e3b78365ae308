"""Hard cases of a gateway's view that cross its parts: numbers that gateways disagree on, services of any
size, equal hashes, tenants that move, a list service whose hosts go while requests are open."""

import asyncio
import json
import random
from collections import Counter

import pytest
from helpers import EngineHarness, actions_of, host, plan, settings
from netkit import SERVED, VALUE, Node, StubHost, command, on_loop, wait_until
from test_discovery_subsets import Lists, by_service, hosts, pools, rewrite, using, viewed
from test_registry import settle
from test_registry_service import Serving
from test_registry_subsets import change, filled, members
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

BIG = plan(rate=1000.0, burst=4000.0)
GATEWAYS = 420


# Gateways that disagree on how many there are


def restarted(some, number):
    """Numbers of all, where these have been restarted with another."""
    return [number(n) if n in some else n for n in range(GATEWAYS)]


def numbers(case, rng):
    tenth, half = (set(rng.sample(range(GATEWAYS), GATEWAYS // part)) for part in (10, 2))
    return {
        "agreed": list(range(GATEWAYS)),
        "a tenth away": [n for n in range(GATEWAYS) if n not in tenth],
        "a tenth counted on": restarted(tenth, lambda n: GATEWAYS + n),
        "a tenth drawn anew": restarted(tenth, lambda n: rng.randrange(GATEWAYS)),
        "all, half of them counted backwards so far": restarted(half, lambda n: GATEWAYS - 1 - n),
        "all, each drawn anew": restarted(range(GATEWAYS), lambda n: rng.randrange(GATEWAYS)),
        "all, each number twice": [n // 2 for n in range(GATEWAYS)],
    }[case]


@pytest.mark.parametrize(
    "case, least, most",
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
def test_how_many_views_a_host_is_in_at_worst_where_numbers_are_not_agreed(case, least, most):
    """Of the mean. What others hold for their number, or how many they think there are, moves no view."""
    rings = rings_of(5600)
    known = {}
    for seed in range(3):
        counts = Counter()
        for n, number in enumerate(numbers(case, random.Random(seed))):
            view = SubsetSpec(number, 120, ZONES[n % 6])
            if view not in known:
                known[view] = rings.members(view)
            counts.update(known[view])
        mean = sum(counts.values()) / 5600
        each = [counts[name] / mean for name in rings.entries]
        assert min(each) >= least and max(each) <= most


def using_each(groups, total, view):
    """By how many gateways each host is used, where gateway n holds that there are groups[n]."""
    hosts_, used = [host(f"h{n}") for n in range(total)], Counter()
    ring = sorted(hosts_, key=lambda h: policy.stable_hash(h.id, "place"))
    places = [policy.stable_hash(h.id, "place") for h in ring]
    for n, gateways in enumerate(groups):
        at = sum(place < int(n * GOLDEN_STEP % 1.0 * 2**63) for place in places)
        w = EngineHarness(settings(plans=[BIG], gateway_count=gateways, gateway_index=n), [], seed=n + 1)
        w.handle(api.EndpointList("full", 1, tuple((ring + ring)[at : at + view]), total))
        w.request()
        used.update(s.entry.id for s in w.engine.endpoint_pool.subset_endpoints)
    return [used[h.id] for h in hosts_]


def test_a_host_is_used_by_about_as_many_gateways_while_they_disagree_on_their_number():
    agreed = using_each([120] * 120, 240, 60)
    tenth = using_each([132 if n % 10 == 3 else 120 for n in range(120)], 240, 60)
    half = using_each([240 if n % 2 else 120 for n in range(120)], 240, 60)  # the fleet is to be doubled
    mean = sum(agreed) / 240
    assert min(agreed) > 0.2 * mean and max(agreed) < 2.2 * mean
    assert max(tenth) <= max(agreed) + 1 and min(tenth) >= min(agreed) - 1
    assert abs(sum(tenth) / 240 - mean) < 0.05 * mean
    # Half of them take half as many hosts already, the others not yet.
    assert max(half) <= max(agreed) and min(half) >= 0.5 * sum(half) / 240
    assert 0.7 * mean < sum(half) / 240 < 0.8 * mean


# Services of any size

MANY = 4000


def services(port=1):
    """One with 4,000 hosts, one with one."""
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
        for n in range(MANY)
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


@pytest.mark.parametrize("knows", [False, True])
@pytest.mark.parametrize(
    "kinds, held", [(["none"], 0), (["one"], 1), (["many"], 12), (["many", "none", "one"], 7)]
)
@on_loop
async def test_a_service_with_one_host_with_none_and_with_thousands(kinds, held, knows, tmp_path):
    async with (
        StubHost() as stub,
        Serving(tmp_path, services(stub.port)) as serving,
        Lists(services(stub.port)) as lists,
    ):
        more = by_service(serving, size=12, kinds=kinds) if knows else using(lists, size=12, kinds=kinds)

        def tell(servers):
            if knows:
                rewrite(serving, servers)
            else:
                old = {entry["id"] for entry in servers}
                lists.change(
                    [
                        *servers[MANY:],
                        *(entry | {"state": "removed"} for entry in lists.servers if entry["id"] not in old),
                    ]
                )

        async with Node(path=tmp_path, config_overrides=more) as node:
            viewing, now = node.node.discovery.subset, services(stub.port)
            await wait_until(
                lambda: pools(node) == viewed(now, 12, kinds) and viewing.is_chosen_by_service == knows
            )
            total = sum(entry["kind"] in kinds for entry in now)
            assert len(pools(node)) == held and viewing.total == total
            assert (await node.send_command(command()) == SERVED) == bool(held)
            now = [*now, now[-1] | {"id": "first", "kind": "none"}]
            tell(now)
            await wait_until(
                lambda: (
                    pools(node) == viewed(now, 12, kinds) and ("none" not in kinds or "first" in pools(node))
                )
            )
            assert await node.send_command(command(b"r2")) == SERVED
            now = [entry for entry in now if entry["id"] != "only"]
            tell(now)
            await wait_until(lambda: "only" not in pools(node))
            assert pools(node) == viewed(now, 12, kinds)


SERVICES, USED = 2600, 20


def test_of_2600_services_a_gateway_is_told_of_the_20_that_it_uses(monkeypatch):
    r = filled(3 * SERVICES, zones="abcdef", kinds=[f"k{n}" for n in range(SERVICES)])
    rng = random.Random(1)
    all_ = [
        SubsetSpec(n, 120, ZONES[n % 6], tuple(f"k{k}" for k in rng.sample(range(SERVICES), USED)))
        for n in range(60)
    ]
    for view in all_:
        whole = r.view(1.0, None, view)
        assert Counter(h.kind for h in whole.hosts) == dict.fromkeys(view.kinds, 3)
        assert whole.total == 3 * USED
        assert r.watch_view(1.0, view, view, whole.version, 60.0, "e") is None
    made, remake = [], live.LiveViews.rebuild_group
    monkeypatch.setattr(
        live.LiveViews,
        "rebuild_group",
        lambda self, one, group: made.append(group) or remake(self, one, group),
    )
    concerned = 0
    for n in range(50):  # before the first watch has waited for long enough
        kind = f"k{n}"
        change(r, 2.0 + n, f"h{n}", weight=2.0)
        told = settle(r, 2.5 + n)
        assert {a.key for a in told} == {view for view in all_ if kind in view.kinds}
        assert all([h.id for h in a.hosts] == [f"h{n}"] for a in told)
        for answer in told:
            assert r.watch_view(2.6 + n, answer.key, answer.key, answer.version, 60.0, "e") is None
        concerned += len(told)
    assert concerned > 10 and len(made) == concerned  # one group of those views, and nothing else


@on_loop
async def test_of_2600_services_a_gateway_keeps_the_20_that_it_uses_out_of_a_whole_list(tmp_path):
    servers = hosts(3 * SERVICES, kinds=SERVICES)
    kinds = [f"k{n * 130}" for n in range(USED)]
    async with (
        Lists(servers) as lists,
        Node(path=tmp_path, config_overrides=using(lists, size=120, kinds=kinds)) as node,
    ):
        await lists.watched()
        assert pools(node) == viewed(servers, 120, kinds) and len(pools(node)) == 3 * USED
        assert node.node.discovery.subset.endpoint_store.size() == 3 * USED


# Names of equal hash


@pytest.mark.parametrize("size", [1, 7, 30])
def test_of_hosts_of_equal_hash_service_and_gateway_take_the_same(size, monkeypatch):
    """All have one of two places, so that their ids alone decide."""

    def place(name):
        return int(name[1:]) % 2 * 2**62 + 5

    for module in (base, compact_store):
        monkeypatch.setattr(module, "position_of_endpoint", place)
    r, shelf, rings = filled(40, zones="abc"), CompactEndpointStore(()), EndpointRings()
    for name, entry in sorted(r.entries.items(), reverse=True):
        shelf.store(api.Endpoint(name, entry.host.zone, 0, 1.0, "k", "up", 0.0), None)
        rings.set_endpoint(name, "k", entry.host.zone, True)
    for n in range(12):
        view = SubsetSpec(n, size, "abc"[n % 3])
        told = {h.id for h in r.view(1.0, None, view).hosts}
        assert told == rings.members(view) == {shelf.id_of(spot) for spot in shelf.members(view)}
        assert len(told) == size
    view, version = SubsetSpec(1, 7, "b"), r.version
    r.view(1.0, None, view)
    gone = sorted(members(r, view))[0]
    r.remove(2.0, r.entries[gone])
    told = {h.id: h.state for h in r.watch_view(2.0, None, view, version, 0.0, "e").hosts}
    assert told.pop(gone) == "removed" and list(told.values()) == ["up"]


def test_of_hosts_of_equal_hash_the_module_uses_as_many_as_of_others(monkeypatch):
    def used():
        w = EngineHarness(settings(plans=[BIG], gateway_count=40, gateway_index=3), [])
        w.handle(api.EndpointList("full", 1, tuple(host(f"h{n}") for n in range(30)), 60))
        held = {
            send.endpoint_id for _ in range(60) for send in actions_of(w.request()[1], api.SendAttempt)
        }  # none is answered
        own = [s.entry.id for s in w.engine.endpoint_pool.subset_endpoints]
        return own, held

    others, _ = used()
    monkeypatch.setattr(
        policy, "stable_hash", lambda name, use: 7 if use == "place" else stable_hash(name, use)
    )
    own, held = used()
    assert len(own) == len(set(own)) == len(others) > 2 and len(held) > 2 and held <= set(own)


# A tenant that moves between gateways


def part(hosts_, index, gateways, view, **kw):
    w = EngineHarness(
        settings(plans=[plan(rate=2.0, burst=24.0)], gateway_count=gateways, gateway_index=index, **kw),
        [],
        seed=index + 1,
    )
    at = int(index * GOLDEN_STEP % 1.0 * 2**63)
    near = sorted(hosts_, key=lambda h: (policy.stable_hash(h.id, "place") - at) % 2**63)
    w.handle(api.EndpointList("full", 1, tuple(near[:view]), len(hosts_)))
    return w


def test_a_tenant_that_moves_between_gateways_is_served_there_within_its_one_quota():
    """Their views have no host in common; what it spent is known by the counter alone."""
    hosts_ = [host(f"h{n}") for n in range(400)]
    first, second = (part(hosts_, index, 100, 20) for index in (0, 1))
    second.counts = first.counts
    views = [set(w.engine.endpoint_pool.endpoints) for w in (first, second)]
    assert not views[0] & views[1]
    sent, now = [[], []], first.now
    for turn in range(6):  # it comes and goes, each time for two seconds of far too much
        w = (first, second)[turn % 2]
        for _ in range(100):
            now += 0.02
            w.now = now
            w.handle(api.TimerFired(0))
            for send in actions_of(w.request(customer="t", spread=1)[1], api.SendAttempt):
                sent[turn % 2].append(send.endpoint_id)
                w.end_attempt(send)
            # The gateway that it left answers nothing for it any longer.
            other = (second, first)[turn % 2]
            other.now = now
            other.handle(api.TimerFired(0))
        assert not w.engine.endpoint_pool.in_flight
    assert all(len(some) > 4 and set(some) <= views[n] for n, some in enumerate(sent))
    seconds = 100 * 0.02 * 6
    assert 24 <= sum(map(len, sent)) <= 24 + 2 * seconds + 24 / 2  # a lease may lie at the other one
    alone = part(hosts_, 1, 100, 20)  # planted: it knows nothing of what was spent at the first
    for _ in range(100):
        alone.now += 0.02
        for send in actions_of(alone.request(customer="t", spread=1)[1], api.SendAttempt):
            alone.end_attempt(send)
    assert sum(alone.counts.values()) >= 24  # so a full burst would have passed there as well


# By a list service that knows views


@on_loop
async def test_a_host_that_leaves_the_view_by_a_service_answers_what_it_has(tmp_path):
    async with (
        StubHost(None) as stub,
        Serving(tmp_path, hosts(40, stub.port)) as serving,
        Node(path=tmp_path, config_overrides=by_service(serving, size=1)) as node,
    ):
        now = hosts(40, stub.port)
        await wait_until(lambda: pools(node) == viewed(now, 1) and serving.service.waiting)
        first = pools(node)
        asked = asyncio.create_task(node.send_command(command()))
        await wait_until(lambda: stub.commands)
        fresh = [entry | {"id": f"n-{n}"} for n, entry in enumerate(hosts(400, stub.port))]
        rewrite(serving, now + fresh)
        await wait_until(lambda: pools(node) == viewed(now + fresh, 1) != first)
        stub.writers[0].write(VALUE)
        assert await asked == SERVED
        assert first[0] in {entry["id"] for entry in json.loads(serving.file.read_text())["servers"]}


@on_loop
async def test_a_view_by_a_service_empties_and_fills_again(tmp_path, monkeypatch):
    monkeypatch.setattr(core, "DRAIN", 0.05)
    async with (
        StubHost() as stub,
        Serving(tmp_path, hosts(60, stub.port)) as serving,
        Node(path=tmp_path, config_overrides=by_service(serving, size=12)) as node,
    ):
        every = hosts(60, stub.port)
        await wait_until(lambda: pools(node) == viewed(every, 12))
        own = pools(node)
        rest = [entry for entry in every if entry["zone"] != "a"]
        rewrite(serving, rest)
        await wait_until(lambda: pools(node) == viewed(rest, 12))
        assert len(pools(node)) == 12
        rewrite(serving, [])
        await wait_until(lambda: not pools(node) and not node.node.discovery.subset.selected)
        assert not (await node.send_command(command())).startswith(b"$")
        rewrite(serving, every)
        await wait_until(lambda: pools(node) == own)
        assert (
            await node.send_command(command(b"r2")) == SERVED
            and node.node.discovery.subset.is_chosen_by_service
        )
