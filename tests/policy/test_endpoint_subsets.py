"""Hosts known by a view of them, hosts that come and go, and what is kept of these."""

import gc
import math
import random
import statistics

import pytest
from helpers import EngineHarness, actions_of, host, plan, settings

from api_gateway import interface as api
from api_gateway.policy.customer_accounts import stable_hash
from api_gateway.policy.endpoint_selection import EndpointSelector
from api_gateway.policy.endpoint_subset import (
    GOLDEN_STEP,
    VIEW_RESIZE_TIMEOUT_S,
    VIEW_SHRINK_DELAY_S,
    VIEW_SKIPPED_FRACTION,
)
from api_gateway.policy.endpoint_table import DEPARTED_RETENTION_S, MAX_SAMPLE_SIZE, MIN_DEPARTED_RETAINED
from api_gateway.policy.endpoints import MAX_IN_FLIGHT_PER_ENDPOINT, SUBSET_SIZE_FACTOR
from api_gateway.simulator_adapter import ACTION_WRITERS

BIG = plan(rate=1000.0, burst=4000.0)


def down(*hosts):
    return tuple(api.Endpoint(h.id, h.zone, h.cell, h.weight, h.kind, "down", h.started_at) for h in hosts)


def weighing(name, weight, **kw):
    h = host(name, **kw)
    return api.Endpoint(h.id, h.zone, h.cell, weight, h.kind, h.state, h.started_at)


def in_view(hosts, index, view):
    """The hosts that follow a gateway's place on the ring."""
    place = int(index * GOLDEN_STEP % 1.0 * 2**63)
    return sorted(hosts, key=lambda h: (stable_hash(h.id, "place") - place) % 2**63)[:view]


def passed_over(hosts, index, gateways):
    """Hosts of a view before those that are used, counted from all hosts and the places of all gateways."""
    need, place = (
        SUBSET_SIZE_FACTOR * max(1.0, MAX_IN_FLIGHT_PER_ENDPOINT * len(hosts) / gateways),
        index * GOLDEN_STEP % 1.0,
    )
    follow = sum((stable_hash(h.id, "place") / 2**63 - place) % 1.0 < need / len(hosts) for h in hosts)
    rank = sorted(n * GOLDEN_STEP % 1.0 for n in range(gateways)).index(place)
    ahead = len(hosts) * (rank / gateways - place)
    return max(0, round(VIEW_SKIPPED_FRACTION * need + (follow - need) / 2 + ahead))


def viewing(hosts, view, gateways, index=0, total=None, **kw):
    total = total or len(hosts)
    w = EngineHarness(
        settings(plans=[BIG], gateway_count=gateways, gateway_index=index, **kw), [], seed=index + 1
    )
    w.handle(api.EndpointList("full", 1, tuple(in_view(hosts, index, view)), total))
    return w


def asked(w, count=40, step=0.02):
    """Hosts that so many requests are sent to, each answered at once."""
    hosts = []
    for _ in range(count):
        w.now += step
        for s in actions_of(w.request()[1], api.SendAttempt):
            hosts.append(s.endpoint_id)
            w.end_attempt(s)
    return hosts


def wishes(w):
    return [a.endpoint_count for _, a in w.action_log if isinstance(a, api.ResizeSubset)]


@pytest.mark.parametrize("gateways, total, view", [(60, 600, 150), (300, 600, 60), (200, 4000, 400)])
def test_a_view_is_used_as_its_part_of_the_whole_list_would_be(gateways, total, view):
    hosts = [host(f"h{n}") for n in range(total)]
    whole = EngineHarness(settings(plans=[BIG], gateway_count=gateways, gateway_index=7), hosts, seed=7)
    part = viewing(hosts, view, gateways, index=7)
    assert (
        part.engine.endpoint_pool.table.sharing_gateway_count == max(1.0, gateways * view / total)
        and whole.engine.endpoint_pool.table.sharing_gateway_count == gateways
    )
    for w in (whole, part):
        asked(w, 4)
    assert (
        abs(
            len(whole.engine.endpoint_pool.subset_endpoints) - len(part.engine.endpoint_pool.subset_endpoints)
        )
        <= 2
    )
    own, skip = part.engine.endpoint_pool.subset_endpoints, passed_over(hosts, 7, gateways)
    assert [s.entry for s in own] == in_view(hosts, 7, view)[skip : skip + len(own)]
    assert not wishes(part) and not wishes(whole)
    out = {}
    for name, w in (("whole", whole), ("part", part)):
        out[name] = sum(len(actions_of(w.request()[1], api.SendAttempt)) for _ in range(300))
    # Of fewer gateways the traffic is less even, so one of them may have more out; never over twice.
    assert out["whole"] <= out["part"] <= 2 * out["whole"] + 1


@pytest.mark.parametrize("gateways, total, view, most", [(300, 600, 60, 1.8), (40, 200, 120, 1.2)])
@pytest.mark.parametrize("name", ["h", "host-", "10.0.0."])
def test_gateways_by_the_golden_ratio_use_each_host_alike(gateways, total, view, most, name):
    """Each host by about as many gateways as with a whole list, where it is one more or less: what is chance
    is how the places of hosts lie, and half of that chance a view can make good."""
    hosts = [host(f"{name}{n}") for n in range(total)]
    seen = dict.fromkeys((h.id for h in hosts), 0)
    for k in range(gateways):
        w = viewing(hosts, view, gateways, index=k)
        asked(w, 1)
        for s in w.engine.endpoint_pool.subset_endpoints:
            seen[s.entry.id] += 1
    mean = sum(seen.values()) / total
    assert (
        abs(mean - SUBSET_SIZE_FACTOR * MAX_IN_FLIGHT_PER_ENDPOINT) < 0.75
    )  # as many gateways a host as with a whole list
    assert statistics.pstdev(seen.values()) < most
    assert max(seen.values()) < 1.55 * mean and min(seen.values()) > 0.6 * mean


def test_a_list_with_all_hosts_is_no_view_whatever_is_banned():
    hosts = tuple(host(f"h{n}") for n in range(20))
    w = EngineHarness(settings(plans=[BIG], gateway_count=40), hosts)
    w.handle(api.EndpointOverride("h3", True, w.now))
    w.handle(api.EndpointList("full", 2, hosts, 20))
    assert (
        w.engine.endpoint_pool.table.sharing_gateway_count == 40
        and w.engine.endpoint_pool.table.available_total == 0
    )
    w.handle(api.EndpointList("delta", 3, (), 200))
    assert (
        w.engine.endpoint_pool.table.sharing_gateway_count == 4.0
        and w.engine.endpoint_pool.table.available_total == 200
    )
    w.handle(api.EndpointList("failed", 3, ()))
    assert w.engine.endpoint_pool.table.available_total == 200  # nothing was told
    w.handle(api.EndpointList("delta", 4, (host("h20"),)))
    assert (
        w.engine.endpoint_pool.table.sharing_gateway_count == 40
        and w.engine.endpoint_pool.table.available_total == 0
    )


def test_a_view_that_empties_asks_for_more_and_works_again_when_it_fills():
    hosts = [host(f"h{n}", zone=f"z{n % 3}") for n in range(3000)]
    w = viewing([h for h in hosts if h.zone == "z1"], 60, 300, total=3000)
    assert asked(w)
    lost = [s.entry for s in w.engine.endpoint_pool.available]
    for n in range(0, 60, 20):
        w.handle(api.EndpointList("delta", 2 + n, down(*lost[n : n + 20]), 2000))
    w.action_log.clear()
    for _ in range(100):
        w.now += 0.1
        assert not actions_of(w.request()[1], api.SendAttempt)
    assert len(wishes(w)) == math.ceil(10.0 / VIEW_RESIZE_TIMEOUT_S) and min(wishes(w)) > 60
    assert (
        not w.engine.endpoint_pool.subset_endpoints
        and w.engine.endpoint_pool.table.sharing_gateway_count == 1.0
    )
    back = tuple(h for h in hosts if h.zone == "z2")[: wishes(w)[0]]
    w.handle(api.EndpointList("delta", 99, back, 2000))
    w.action_log.clear()
    sent = asked(w, 80)
    assert set(sent) <= {h.id for h in back} and len(sent) > 70


def test_a_wide_view_is_given_back_after_a_while_of_ease():
    hosts = [host(f"h{n}") for n in range(2000)]
    w = viewing(hosts, 50, 300, total=2000)
    asked(w, 4)
    (most,) = wishes(w)
    w.handle(api.EndpointList("full", 2, tuple(in_view(hosts, 0, most)), 2000))
    w.action_log.clear()
    asked(w, int(0.9 * VIEW_SHRINK_DELAY_S / 0.5), step=0.5)
    assert not wishes(w)
    w.handle(
        api.EndpointList("delta", 3, tuple(host(h.id, started=w.now) for h in in_view(hosts, 0, most)), 2000)
    )
    asked(w, 100, step=0.5)  # all were cold, so all of the wide view was needed
    assert len(w.engine.endpoint_pool.subset_endpoints) <= most and all(n >= most for n in wishes(w))
    w.action_log.clear()
    asked(w, int(2.2 * VIEW_SHRINK_DELAY_S / 0.5), step=0.5)
    plain = wishes(w)[-1]
    assert plain <= most
    w.handle(api.EndpointList("full", 4, tuple(in_view(hosts, 0, plain)), 2000))
    w.action_log.clear()
    asked(w, 200, step=0.5)
    assert not wishes(w)  # the plain view is enough


def test_each_action_has_its_line_on_the_wire():
    assert set(ACTION_WRITERS) == set(api.Action.__args__)
    assert (
        ACTION_WRITERS[api.ResizeSubset](3, api.ResizeSubset(960))
        == "REMARK i=3 words=a view of 960 hosts is wanted"
    )


def test_a_whole_list_is_never_wished_wider():
    w = EngineHarness(settings(plans=[BIG], gateway_count=40), [host(f"h{n}") for n in range(30)])
    for _ in range(60):
        w.now += 0.5
        for s in actions_of(w.request()[1], api.SendAttempt):
            w.end_attempt(s, "reset", final=True)
    assert not wishes(w)


@pytest.mark.parametrize("cls, scope", [("write", "zone"), ("cellwrite", "cell")])
def test_a_host_that_moves_out_of_the_view_is_still_heard_and_its_scope_still_binds(cls, scope):
    hosts = [host(f"h{n}", zone=f"z{n % 2}", cell=n % 4) for n in range(40)]
    w = viewing(hosts, 40, 100, total=400)
    name, acts = w.request(service_class=cls)
    (send,) = actions_of(acts, api.SendAttempt)
    left = w.engine.endpoint_pool.endpoints[send.endpoint_id].entry
    w.handle(api.EndpointList("delta", 2, down(left), 400))
    assert w.engine.endpoint_pool.in_flight == 1 and left.id in w.engine.endpoint_pool.endpoints
    assert left.id not in asked(w, 60, step=0.001)
    for n in range(3 * MIN_DEPARTED_RETAINED):  # so many leave after it that it would be forgotten
        w.handle(api.EndpointList("delta", 3 + 2 * n, (host(f"x{n}"),), 400))
        w.handle(api.EndpointList("delta", 4 + 2 * n, down(host(f"x{n}")), 400))
    assert left.id in w.engine.endpoint_pool.endpoints
    (again,) = actions_of(w.end_attempt(send, "reset"), api.SendAttempt)
    to = w.engine.endpoint_pool.endpoints[again.endpoint_id].entry
    assert to.id != left.id and getattr(to, scope) == getattr(left, scope)
    assert w.engine.endpoint_pool.in_flight == 1


def test_a_word_on_a_forgotten_host_is_no_fault():
    w = viewing([host(f"h{n}") for n in range(20)], 20, 40, total=200)
    _, acts = w.request()
    (send,) = actions_of(acts, api.SendAttempt)
    gone = w.engine.endpoint_pool.endpoints[send.endpoint_id].entry
    w.handle(api.EndpointList("delta", 2, down(gone), 200))
    w.end_attempt(send)
    w.now += DEPARTED_RETENTION_S + 1.0
    w.handle(api.EndpointList("delta", 3, (), 200))
    fleet = w.engine.endpoint_pool
    assert gone.id not in fleet.endpoints and gone.id not in fleet.health.estimates
    w.end_attempt(send, "timeout")
    w.handle(api.ResponseStarted(send.request_id, 0, send.endpoint_id, 0.1))
    w.handle(api.EndpointOverride(gone.id, True, w.now))
    assert gone.id not in fleet.endpoints and fleet.in_flight == 0
    w.handle(api.EndpointList("delta", 4, (gone,), 200))  # its ban was kept
    assert gone.id not in [s.entry.id for s in fleet.available] and gone.id not in asked(w)
    w.handle(api.EndpointOverride(gone.id, False, w.now))
    assert gone.id in [s.entry.id for s in fleet.available]


def test_a_ban_outlives_what_is_known_of_its_host():
    w = EngineHarness(settings(plans=[BIG]), [host("h1"), host("h2")])
    w.handle(api.EndpointOverride("h1", True, w.now))
    w.handle(api.EndpointList("full", 2, (host("h2"),)))
    w.now += DEPARTED_RETENTION_S + 1.0
    w.handle(api.EndpointList("full", 3, (host("h2"),)))
    assert list(w.engine.endpoint_pool.endpoints) == ["h2"]
    w.handle(api.EndpointList("full", 4, (host("h1"), host("h2"))))
    assert set(asked(w)) == {"h2"}


def test_the_return_of_a_host_that_is_no_longer_listed_does_not_bring_it_back():
    w = EngineHarness(settings(plans=[BIG]), [host("h1"), host("h2")])
    w.handle(api.EndpointOverride("h1", True, w.now))
    w.handle(api.EndpointList("full", 2, (host("h2"),)))
    w.handle(api.EndpointOverride("h1", False, w.now))
    assert set(asked(w)) == {"h2"}


def test_drains_of_hosts_outside_the_view_leave_nothing():
    w = viewing([host(f"h{n}") for n in range(50)], 50, 100, total=5000)
    for n in range(2000):
        w.handle(
            api.EndpointList("delta", 2 + n, (host(f"far{n}", state="leaving"), *down(host(f"off{n}"))), 5000)
        )
    assert (
        len(w.engine.endpoint_pool.endpoints) == 50
        and not w.engine.endpoint_pool.table.departed
        and len(w.engine.endpoint_pool.table.ring) == 50
    )


def test_hosts_of_weights_ten_to_one_get_ten_to_one_in_a_view():
    hosts = [weighing(f"h{n}", 10.0 if n % 2 else 1.0) for n in range(400)]
    w = viewing(hosts, 100, 100, total=4000)
    sent = asked(w, 3000)
    weight = {h.id: h.weight for h in hosts}
    heavy = sum(weight[name] == 10.0 for name in sent) / len(sent)
    share = [s.entry.weight for s in w.engine.endpoint_pool.subset_endpoints]
    even = share.count(10.0) * 10 / (share.count(10.0) * 10 + share.count(1.0))
    assert abs(heavy - even) < 0.12
    assert w.engine.endpoint_pool.table.largest_weight == 10.0
    w.handle(api.EndpointList("delta", 2, down(*(h for h in hosts if h.weight == 10.0)), 2000))
    assert w.engine.endpoint_pool.table.largest_weight == 1.0 and w.engine.endpoint_pool.table.weights == [
        1.0
    ] * len(w.engine.endpoint_pool.available)


@pytest.mark.parametrize("seed", range(3))
def test_a_cold_host_is_not_pushed_over_while_views_change(seed):
    """Thirty gateways whose views turn by some hosts every half second, the cold one among them."""
    gateways, total, view = 30, 120, 60
    hosts = [host(f"h{n}-{seed}") for n in range(total)]
    worlds = [viewing(hosts, view, gateways, index=k) for k in range(gateways)]
    usual: dict[str, list[float]] = {}
    step, now = 0.02, worlds[0].now

    def play(seconds, sent):
        nonlocal now
        for n in range(round(seconds / step)):
            now += step
            for k, w in enumerate(worlds):
                w.now = now
                w.handle(api.TimerFired(0))
                if (n + k) % 5 == 0:
                    for s in actions_of(w.request()[1], api.SendAttempt):
                        sent.setdefault(s.endpoint_id, []).append(now)
                        w.end_attempt(s)

    play(6.0, usual)
    bears = sum(len(times) for times in usual.values()) / 6.0 / total  # a second, by a warm host
    cold = host(hosts[5].id, started=now)
    listed = {k: list(in_view(hosts, k, view)) for k in range(gateways)}
    sent: dict[str, list[float]] = {}
    for turn in range(16):
        for k, w in enumerate(worlds):
            # The cold host leaves and enters views; others do, too.
            had = {h.id for h in listed[k]}
            far = [h for h in hosts if h.id not in had and h.id != cold.id]
            out = [h for h in listed[k] if h.id != cold.id][(turn * 3 + k) % 50 :][:5]
            listed[k] = [h for h in listed[k] if h not in out] + far[turn % 20 :][:5]
            told = down(*out) + tuple(far[turn % 20 :][:5])
            inside = (turn + k) % 2 == 0
            told += (cold,) if inside else down(cold)
            w.handle(api.EndpointList("delta", 2 + turn, told, total))
        play(0.5, sent)
    rules = worlds[0].settings.rules
    times = sent.get(cold.id, [])
    most = (
        rules.overload_multiple * bears * rules.overload_window
    )  # of its slow_start_factor at the end of the span
    for t in times:
        count = sum(t <= x < t + rules.overload_window for x in times)
        warm = min(1.0, 0.2 + 0.8 * (t - cold.started_at) / 10.0)
        bound = warm * most
        assert count <= bound + 2 * math.sqrt(bound) + 2, (t - cold.started_at, count, bound)
    assert times  # it does get work


def test_hosts_come_and_go_and_nothing_is_left_of_them():
    stay = [host(f"h{n}") for n in range(100)]
    w = EngineHarness(settings(plans=[BIG], gateway_count=20), stay)
    objects, version = [], 1
    for n in range(10_000):
        version += 2
        new = host(f"new{n}", started=w.now)
        w.handle(api.EndpointList("delta", version, (new,)))
        if n % 3 == 0:
            asked(w, 1, step=0.01)
        w.now += 0.01
        if n % 10:
            w.handle(api.EndpointList("delta", version + 1, down(new)))
        else:
            w.handle(api.EndpointList("full", version + 1, tuple(stay)))
        w.action_log.clear()
        assert len(w.engine.endpoint_pool.endpoints) <= 201
        if n in (2000, 9999):
            gc.collect()
            objects.append(len(gc.get_objects()))
    fleet = w.engine.endpoint_pool
    assert (
        len(fleet.table.departed) <= 100
        and len(fleet.table.ring) == len(fleet.available) == len(fleet.table.weights) == 100
    )
    assert len(fleet.health.estimates) <= 201 and len(fleet.table.warming_up) <= 101
    assert objects[1] < objects[0] + 300  # each known host is three at least
    w.now += DEPARTED_RETENTION_S + 1.0
    asked(w, 1)
    assert len(fleet.endpoints) == 100 and not fleet.table.departed


def test_what_is_kept_by_change_is_what_a_sort_of_all_finds():
    w = EngineHarness(
        settings(plans=[BIG], gateway_count=20), [weighing(f"h{n}", 1.0 + n % 5) for n in range(200)]
    )
    fleet, rng = w.engine.endpoint_pool, random.Random(5)
    for n in range(600):
        w.now += 0.05
        name = f"h{rng.randrange(240)}"
        match rng.randrange(5):
            case 0:
                w.handle(api.EndpointOverride(name, rng.random() < 0.5, w.now))
            case 1:
                w.handle(api.EndpointList("delta", n, (host(name, started=w.now),)))
            case 2:
                w.handle(api.EndpointList("delta", n, (weighing(name, 0.1 * rng.randrange(1, 90)),)))
            case 3:
                w.handle(api.EndpointList("delta", n, (host(name, state=rng.choice(("down", "leaving"))),)))
            case 4:
                asked(w, 1)
        kept = [fleet.available[:], fleet.table.ring[:], fleet.table.weights[:], set(fleet.table.warming_up)]
        fleet.table.rebuild(w.now)
        assert kept[:3] == [fleet.available, fleet.table.ring, fleet.table.weights] and kept[3] >= set(
            fleet.table.warming_up
        )
        fleet.on_table_change(w.now)


def test_of_many_hosts_a_bounded_number_is_looked_at():
    looked = 0

    class Counting(EndpointSelector):
        def can_send_to(self, s, now):
            nonlocal looked
            looked += 1
            return super().can_send_to(s, now)

    for gateways in (1, 10, 400):
        w = EngineHarness(settings(plans=[BIG], gateway_count=gateways), [host(f"h{n}") for n in range(5000)])
        w.engine.endpoint_pool.selector.__class__ = Counting
        looked = 0
        for _ in range(20):
            w.now += 0.05
            for s in actions_of(w.request()[1], api.SendAttempt):
                for again in actions_of(w.end_attempt(s, "error"), api.SendAttempt):
                    w.end_attempt(again)
        assert looked <= 40 * 2 * MAX_SAMPLE_SIZE
