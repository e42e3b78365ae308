"""Tests of views: even distribution, stability and boundary cases."""

import math
import random
import re
from collections import Counter
from pathlib import Path
from urllib.parse import parse_qs

import pytest

from api_gateway.base import subsets as module
from api_gateway.base.subsets import (
    MIN_GROUP_SIZE,
    EndpointRings,
    SubsetSpec,
    position_of_endpoint,
    read_subset_spec,
)
from api_gateway.policy.customer_accounts import stable_hash

ZONES = "abcdef"


def rings_of(count, zones=ZONES, kinds=("",)):
    rings = EndpointRings()
    for n in range(count):
        rings.set_endpoint(f"h{n}", kinds[n % len(kinds)], zones[n // len(kinds) % len(zones)], True)
    return rings


def views_of(count, size, **kw):
    return [SubsetSpec(n, size, ZONES[n % len(ZONES)], **kw) for n in range(count)]


def in_zone(rings, names, zone):
    return sum(rings.entries[name].zone == zone for name in names)


def test_position_of_an_endpoint_equals_that_of_the_decision_module():
    assert all(
        position_of_endpoint(name) == stable_hash(name, "place")
        for name in ("", "a", "s-5be2a07c", "ä", "h\x1f")
    )


def test_module_imports_no_other_module_of_the_project():
    used = re.findall(r"^(?:from|import) (\S+)", Path(module.__file__).read_text(), re.MULTILINE)
    assert not [name for name in used if name.startswith("api_gateway")]


@pytest.mark.parametrize(
    "view",
    [
        SubsetSpec(0, 1),
        SubsetSpec(4199, 480, "a"),
        SubsetSpec(3, 65536, "a,b&c=d %2C"),
        SubsetSpec(1, 5, "", ("x", "y,z", "é%", "")),
        SubsetSpec(1, 5, "ä", ("",)),
        SubsetSpec(10**17, 5, "a"),
    ],
)
def test_view_query_round_trips(view):
    params = parse_qs(view.query(), keep_blank_values=True, strict_parsing=True)
    assert set(params) == ({"view", "kinds"} if view.kinds else {"view"})
    assert read_subset_spec(params["view"][0], params["kinds"][0] if view.kinds else None) == view


@pytest.mark.parametrize(
    "text, kinds",
    [
        ("", None),
        ("1", None),
        ("1,", None),
        ("1,0", None),
        ("-1,5", None),
        ("1,65537", None),
        ("x,5", None),
        ("1,5.0,a", None),
        ("1," + "9" * 30, None),
        ("²,5", None),
        ("1,5," + "z" * 129, None),
        ("1,5,a", ",".join(str(n) for n in range(4097))),
        ("1,5,a", "k" * 129),
        (" 1,5", None),
        ("1,5,\ud800", None),
    ],
)
def test_invalid_view_is_rejected_with_a_one_line_message(text, kinds):
    with pytest.raises(ValueError) as raised:
        read_subset_spec(text, kinds)
    assert "\n" not in str(raised.value) and 0 < len(str(raised.value)) < 200


def test_order_and_repetition_of_kinds_do_not_change_a_view():
    assert (
        SubsetSpec(1, 5, "a", ("y", "x", "y"))
        == SubsetSpec(1, 5, "a", ("x", "y"))
        == read_subset_spec("1,5,a", "y,x,x")
    )


@pytest.mark.parametrize(
    "picked, max_gap",
    [
        (range(600), 2),
        (range(300, 600), 2),
        (range(1000, 1050), 2),
        (range(4200), 2),
        *((range(1, 4200, zones), 4) for zones in range(2, 10)),
    ],
)
def test_any_set_of_gateways_is_spread_evenly_on_the_ring(picked, max_gap):
    positions = sorted(SubsetSpec(n, 1).position for n in picked)
    gaps = [b - a for a, b in zip(positions, [*positions[1:], positions[0] + module.RING_SIZE], strict=True)]
    assert max(gaps) < max_gap * module.RING_SIZE / len(positions)


@pytest.mark.parametrize("picked", [range(420), range(210), range(0, 420, 6), range(210, 420)])
def test_each_host_is_in_about_the_same_number_of_views(picked):
    rings = rings_of(5600)
    views = [view for view in views_of(420, 480) if view.index in picked]
    counts = Counter(name for view in views for name in rings.members(view))
    mean = 480 * len(views) / 5600
    if len(picked) == 70:  # all gateways of one zone, which has half of their hosts
        there = [counts[name] for name in rings.entries if rings.entries[name].zone == "a"]
        assert min(there) >= 14 and max(there) <= 24 and 240 * 70 / 933 == pytest.approx(18, rel=0.01)
        return
    assert min(counts[name] for name in rings.entries) >= 0.55 * mean
    assert max(counts.values()) <= 1.5 * mean


def test_half_of_a_view_is_in_its_own_zone():
    rings = rings_of(6000)
    for view in views_of(60, 100):
        names = rings.members(view)
        assert len(names) == 100 and in_zone(rings, names, view.zone) == 50
    assert in_zone(rings, rings.members(SubsetSpec(3, 100)), "a") < 35  # no zone: a single ring
    assert in_zone(rings, rings.members(SubsetSpec(3, 100, "nowhere")), "a") < 35


def relative_view_counts(zones, gateways, seed, size=120, hosts=3000):
    """Return the number of views per host, relative to the mean of all hosts: by zone and by host."""
    rings = EndpointRings()
    for n in range(hosts):
        rings.set_endpoint(f"h{n}-{seed}", "", zones[n % len(zones)], True)
    views = [SubsetSpec(n, size, gateways[n % len(gateways)]) for n in range(420)]
    counts = Counter(name for view in views for name in rings.members(view))
    mean = sum(counts.values()) / hosts
    each = {name: counts[name] / mean for name in rings.entries}
    by = {zone: [each[name] for name, host in rings.entries.items() if host.zone == zone] for zone in zones}
    return {zone: sum(ratios) / len(ratios) for zone, ratios in by.items()}, each


UNEVEN = [  # zones of hosts, zones of gateways, bounds of a zone's mean, maximum of a host
    (["a"] * 3 + ["b"] * 2 + ["c"], "abc", 0.8, 1.45, 1.9),
    (["a"] * 3 + ["b"] * 2 + ["c"], "aaabbc", 0.8, 1.2, 1.8),  # gateways are as uneven as hosts
    (["a"] * 5 + [*"bcdef"] * 9, "abcdef", 0.9, 1.35, 1.9),  # one zone has a tenth of the hosts
    (["a"] + ["b"] * 9, "ab", 0.85, 1.7, 2.3),  # a tenth of the hosts and nine tenths
    ([*"abcdefbcdefbcdef"], "abcdef", 0.9, 1.55, 2.0),  # one zone has a third of the size of the others
    (["a"], "a", 0.99, 1.01, 1.5),
    ([""], "a", 0.99, 1.01, 1.5),  # no host has a zone
    (["", "a"], "a", 0.9, 1.1, 1.6),
    ([""] * 6 + [*"abcdef"], "abcdef", 0.55, 1.45, 2.0),  # half of the hosts have no zone
    ([*"abcdef"], "abcde", 0.55, 1.15, 1.7),  # one zone has no gateways
]


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("case", UNEVEN, ids=[f"{''.join(a[:16])}-{b}" for a, b, *_ in UNEVEN])
def test_hosts_of_uneven_zones_are_in_about_the_same_number_of_views(case, seed):
    zones, gateways, min_zone_mean, max_zone_mean, max_host = case
    by, each = relative_view_counts(zones, gateways, seed)
    assert min_zone_mean <= min(by.values()) and max(by.values()) <= max_zone_mean
    assert min(each.values()) > 0.2 and max(each.values()) <= max_host


def test_bounds_of_uneven_zones_detect_a_split_that_ignores_zones(monkeypatch):
    """A tolerance that accepts any ratio of arcs must fail the bounds of uneven zones."""
    monkeypatch.setattr(module, "ARC_RATIO_TOLERANCE", 1e9)
    caught = []
    for zones, gateways, min_zone_mean, max_zone_mean, max_host in UNEVEN:
        by, each = relative_view_counts(zones, gateways, 0)
        caught.append(
            min(by.values()) < min_zone_mean
            or max(by.values()) > max_zone_mean
            or max(each.values()) > max_host
        )
    # With a tenth of the hosts among six zones the arcs are within random variation at this size.
    assert caught == [True, True, False, True, True, False, False, False, True, False]


@pytest.mark.parametrize("zones", ["aaabbc", "abbbbbbbbb", "abcdef", "abcdefbcdefbcdef"])
@pytest.mark.parametrize("seed", range(3))
def test_changes_after_the_ends_of_its_parts_do_not_change_a_view(zones, seed):
    rng, rings = random.Random(seed), EndpointRings()
    for n in range(300):
        rings.set_endpoint(f"h{n}", "", rng.choice(zones), rng.random() < 0.9)
    views = [SubsetSpec(n, rng.choice((10, 40, 120)), rng.choice(zones)) for n in range(30)]
    checked = 0
    for _ in range(40):
        before = {view: (rings.members(view), list(rings.parts(view, None))) for view in views}
        name, zone, count = f"h{rng.randrange(330)}", rng.choice(zones), rings.zone_count(None)
        old = rings.entries.get(name)
        rings.set_endpoint(
            name, "", zone, rng.random() < 0.7
        ) if rng.random() < 0.7 else rings.remove_endpoint(name)
        new, at = rings.entries.get(name), position_of_endpoint(name)
        assert rings.zone_count(None) == count
        for view, (members, parts) in before.items():
            ends = {
                part.is_own_zone: part.end and (part.end[0] - view.position) % module.RING_SIZE
                for part in parts
            }
            sides = {host.zone == view.zone for host in (old, new) if host}
            if all(
                ends[own] is not None and (at - view.position) % module.RING_SIZE > ends[own] for own in sides
            ):
                checked += 1
                assert rings.members(view) == members
    assert checked > 100


@pytest.mark.parametrize("zones", ["abcdef", "aaabbc", "abbbbbbbbb"])
def test_removing_or_adding_a_host_changes_one_host_of_each_view_that_contains_it(zones):
    rings = rings_of(3000, zones)
    views = views_of(300, 60)
    rng, before, changed_views = random.Random(1), {view: rings.members(view) for view in views}, 0
    for _ in range(20):
        removed = rng.choice(sorted(rings.entries))
        known = rings.entries[removed]
        rings.remove_endpoint(removed)
        for view in views:
            current = rings.members(view)
            assert before[view] - current == {removed} & before[view] and len(current - before[view]) <= 1
            changed_views += current != before[view]
        rings.set_endpoint(removed, known.kind, known.zone, True)
        assert {view: rings.members(view) for view in views} == before
    assert changed_views <= 20 * 2 * 300 * 60 / 3000


def test_views_do_not_depend_on_other_gateways_or_the_order_of_hosts():
    ascending, descending = rings_of(500), EndpointRings()
    for name in sorted(ascending.entries, reverse=True):
        descending.set_endpoint(name, "", ascending.entries[name].zone, True)
    assert all(ascending.members(view) == descending.members(view) for view in views_of(50, 40))
    assert ascending.members(SubsetSpec(7, 40, "a")) != ascending.members(SubsetSpec(8, 40, "a"))


def test_equal_positions_are_ordered_by_id(monkeypatch):
    monkeypatch.setattr(module, "position_of_endpoint", lambda name: 5)
    rings = EndpointRings()
    for name in ("d", "b", "c", "a", "e"):
        rings.set_endpoint(name, "", "", True)
    assert [rings.members(SubsetSpec(0, size)) for size in (1, 3)] == [{"a"}, {"a", "b", "c"}]
    rings.remove_endpoint("b")
    rings.set_endpoint("c", "", "", False)
    assert rings.members(SubsetSpec(0, 3)) == {"a", "c", "d", "e"}  # c is draining among the first three


@pytest.mark.parametrize(
    "size, hosts", [(10, 0), (10, 1), (10, 10), (60000, 4000), (1, 4000), (1, 1), (11, 12)]
)
def test_view_contains_all_hosts_up_to_its_size(size, hosts):
    rings = rings_of(hosts)
    for view in (
        SubsetSpec(3, size, "a"),
        SubsetSpec(3, size),
        SubsetSpec(10**12 + 7, size, "f"),
        SubsetSpec(2**62, size, "zz"),
    ):
        assert len(rings.members(view)) == min(size, hosts) and rings.total(view) == hosts


def test_very_large_gateway_numbers_are_spread_evenly():
    rings = rings_of(4000)
    counts = Counter(n for i in range(100) for n in rings.members(SubsetSpec(10**15 + i, 400, ZONES[i % 6])))
    assert len(counts) == 4000 and max(counts.values()) <= 20


def test_each_kind_gets_an_equal_part_and_at_least_the_minimum():
    rings = rings_of(4000, kinds=("big",))
    rings.set_endpoint("alone", "single", "b", True)
    for n in range(8):
        rings.set_endpoint(f"m{n}", "middle", ZONES[n % 2], True)
    names = rings.members(SubsetSpec(5, 30, "a", ("big", "single", "middle", "none")))
    kinds = Counter(rings.entries[name].kind for name in names)
    assert kinds == {"big": 8, "single": 1, "middle": 8}
    assert rings.total(SubsetSpec(5, 30, "a", ("single", "middle", "none"))) == 9
    kinds = Counter(rings.entries[n].kind for n in rings.members(SubsetSpec(5, 4, "a", ("big", "middle"))))
    assert kinds == {"big": MIN_GROUP_SIZE, "middle": MIN_GROUP_SIZE}
    assert rings.members(SubsetSpec(5, 30, "a", ("none",))) == set()
    rings.remove_endpoint("alone")
    assert rings.members(SubsetSpec(5, 30, "a", ("single",))) == set() and "single" not in rings.groups


@pytest.mark.parametrize("kinds", [(), ("",)])
@pytest.mark.parametrize("how", ["drop", "drain"])
def test_other_zones_replace_a_lost_zone_until_it_returns(how, kinds):
    rings = rings_of(600)
    view = SubsetSpec(9, 60, "b", kinds)
    before = rings.members(view)
    lost = [name for name in rings.entries if rings.entries[name].zone == "b"]
    for name in lost:
        rings.remove_endpoint(name) if how == "drop" else rings.set_endpoint(name, "", "b", False)
    current = rings.members(view)
    up = {name for name in current if rings.entries[name].up}
    assert len(up) == 60 and in_zone(rings, up, "b") == 0 and {n for n in before if n not in lost} <= up
    if how == "drain":  # lost hosts that were in the view stay in it as draining
        assert current - up == before & set(lost)
    rings.set_endpoint(lost[0], "", "b", True)
    assert lost[0] in rings.members(view)
    for name in lost:
        rings.set_endpoint(name, "", "b", True)
    assert rings.members(view) == before


def test_own_zone_contributes_more_if_the_others_are_lost():
    rings = rings_of(600)
    view = SubsetSpec(9, 60, "b")
    for name in [n for n in rings.entries if rings.entries[n].zone != "b"]:
        rings.remove_endpoint(name)
    names = rings.members(view)
    assert len(names) == 60 and in_zone(rings, names, "b") == 60


def test_draining_host_stays_in_the_view_and_another_is_added():
    rings = rings_of(1000)
    view = SubsetSpec(2, 40, "c")
    before = rings.members(view)
    drained = sorted(before)[:5]
    for name in drained:
        rings.set_endpoint(name, "", rings.entries[name].zone, False)
    assert rings.members(view) >= before and len(rings.members(view)) == 45
    outside = sorted(set(rings.entries) - rings.members(view))
    for name in outside[:200]:
        rings.set_endpoint(name, "", rings.entries[name].zone, False)
    assert len([n for n in rings.members(view) if rings.entries[n].up]) == 40
    for name in list(rings.entries):  # if all drain, the view has at most twice its size
        rings.set_endpoint(name, "", rings.entries[name].zone, False)
    assert before <= rings.members(view) and len(rings.members(view)) <= 2 * 40


def expected_own_count(own, others, view, bound):
    """Return how many of the nearest hosts are in the own zone.

    Distances of other hosts are multiplied by the number of other zones, less or more the tolerance.
    """

    def distance(h):
        return (h.ring_key[0] - view.position) % module.RING_SIZE

    ratio = max(1, len({h.zone for h in (*own, *others) if h.zone and h.up}) - 1)
    ratio *= (1 + module.ARC_RATIO_TOLERANCE / math.sqrt(view.group_size)) ** bound
    ups = sorted([(distance(h), 0) for h in own if h.up] + [(ratio * distance(h), 1) for h in others if h.up])
    return sum(side == 0 for _, side in ups[: view.group_size])


def expected_members(rings, view):
    """Return the members of a view, computed by sorting all hosts."""
    found = set()
    for group in view.groups:
        hosts = [h for h in rings.entries.values() if group is None or h.kind == group]
        own = [h for h in hosts if view.zone and h.zone == view.zone]
        others = [h for h in hosts if h not in own]
        up = [sum(h.up for h in side) for side in (own, others)]
        half = (view.group_size + 1) // 2 if view.zone else 0
        own_count = min(up[0], max(half, view.group_size - up[1]))
        if view.zone:
            own_count = sorted(
                (own_count, *(expected_own_count(own, others, view, bound) for bound in (-1, 1)))
            )[1]
        other_count = min(up[1], view.group_size - own_count)
        for side, limit, rank_limit in (
            (own, own_count, max(half, own_count)),
            (others, other_count, max(view.group_size - half, other_count)),
        ):
            ring = sorted(
                side, key=lambda h: ((h.ring_key[0] - view.position) % module.RING_SIZE, h.ring_key[1])
            )
            ups = [h for h in ring if h.up][:limit]
            last = ring.index(ups[-1]) if ups and limit < sum(h.up for h in side) else len(ring)
            last = -1 if limit == 0 and sum(h.up for h in side) else last
            found |= {h.ring_key[1] for h in ups}
            found |= {h.ring_key[1] for n, h in enumerate(ring) if not h.up and n < min(rank_limit, last)}
    return found


@pytest.mark.parametrize("seed", range(12))
def test_members_equal_those_of_a_reference_by_sorting(seed):
    rng, rings = random.Random(seed), EndpointRings()
    views = [
        SubsetSpec(
            rng.randrange(50),
            rng.choice([1, 2, 7, 20, 90]),
            rng.choice(["", "a", "b", "x"]),
            rng.choice([(), ("k",), ("k", "l"), ("l", "none")]),
        )
        for _ in range(12)
    ]
    zones = rng.choice(["a", "ab", "abcd"])
    for _ in range(150):
        name = f"h{rng.randrange(60)}"
        if rng.random() < 0.25:
            rings.remove_endpoint(name)
        else:
            rings.set_endpoint(name, rng.choice("kl"), rng.choice(zones), rng.random() < 0.7)
        for view in rng.sample(views, 3):
            assert rings.members(view) == expected_members(rings, view)
            assert rings.total(view) == sum(
                h.up for h in rings.entries.values() if not view.kinds or h.kind in view.kinds
            )
    for name in list(rings.entries):
        rings.remove_endpoint(name)
    assert rings.groups == {None: {}}
