"""Tests of views and subsets of endpoints, and of the state retained for endpoints that come and go."""

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

LARGE_PLAN = plan(rate=1000.0, burst=4000.0)


def as_down(*hosts):
    return tuple(api.Endpoint(h.id, h.zone, h.cell, h.weight, h.kind, "down", h.started_at) for h in hosts)


def weighted_host(name, weight, **kw):
    entry = host(name, **kw)
    return api.Endpoint(entry.id, entry.zone, entry.cell, weight, entry.kind, entry.state, entry.started_at)


def entries_in_view(hosts, index, view):
    """Return the entries that follow a gateway's position on the ring."""
    position = int(index * GOLDEN_STEP % 1.0 * 2**63)
    return sorted(hosts, key=lambda h: (stable_hash(h.id, "place") - position) % 2**63)[:view]


def skipped_in_view(hosts, index, gateways):
    """Return the number of skipped entries of a view, from all entries and all gateways' positions."""
    needed, position = (
        SUBSET_SIZE_FACTOR * max(1.0, MAX_IN_FLIGHT_PER_ENDPOINT * len(hosts) / gateways),
        index * GOLDEN_STEP % 1.0,
    )
    following = sum(
        (stable_hash(h.id, "place") / 2**63 - position) % 1.0 < needed / len(hosts) for h in hosts
    )
    rank = sorted(n * GOLDEN_STEP % 1.0 for n in range(gateways)).index(position)
    rank_offset = len(hosts) * (rank / gateways - position)
    return max(0, round(VIEW_SKIPPED_FRACTION * needed + (following - needed) / 2 + rank_offset))


def create_view_harness(hosts, view, gateways, index=0, total=None, **kw):
    total = total or len(hosts)
    harness = EngineHarness(
        settings(plans=[LARGE_PLAN], gateway_count=gateways, gateway_index=index, **kw), [], seed=index + 1
    )
    harness.handle(api.EndpointList("full", 1, tuple(entries_in_view(hosts, index, view)), total))
    return harness


def send_requests(harness, count=40, step=0.02):
    """Send `count` requests, answer each attempt at once, and return the endpoint IDs of the attempts."""
    hosts = []
    for _ in range(count):
        harness.now += step
        for send in actions_of(harness.request()[1], api.SendAttempt):
            hosts.append(send.endpoint_id)
            harness.end_attempt(send)
    return hosts


def requested_view_sizes(harness):
    return [a.endpoint_count for _, a in harness.action_log if isinstance(a, api.ResizeSubset)]


@pytest.mark.parametrize("gateways, total, view", [(60, 600, 150), (300, 600, 60), (200, 4000, 400)])
def test_view_is_used_like_the_same_part_of_a_complete_list(gateways, total, view):
    hosts = [host(f"h{n}") for n in range(total)]
    complete = EngineHarness(
        settings(plans=[LARGE_PLAN], gateway_count=gateways, gateway_index=7), hosts, seed=7
    )
    partial = create_view_harness(hosts, view, gateways, index=7)
    assert (
        partial.engine.endpoint_pool.table.sharing_gateway_count == max(1.0, gateways * view / total)
        and complete.engine.endpoint_pool.table.sharing_gateway_count == gateways
    )
    for harness in (complete, partial):
        send_requests(harness, 4)
    assert (
        abs(
            len(complete.engine.endpoint_pool.subset_endpoints)
            - len(partial.engine.endpoint_pool.subset_endpoints)
        )
        <= 2
    )
    used, skipped = partial.engine.endpoint_pool.subset_endpoints, skipped_in_view(hosts, 7, gateways)
    assert [s.entry for s in used] == entries_in_view(hosts, 7, view)[skipped : skipped + len(used)]
    assert not requested_view_sizes(partial) and not requested_view_sizes(complete)
    sent_counts = {}
    for name, harness in (("complete", complete), ("partial", partial)):
        sent_counts[name] = sum(len(actions_of(harness.request()[1], api.SendAttempt)) for _ in range(300))
    # With fewer sharing gateways the traffic is less even, so one of them may have up to twice as many in
    # flight.
    assert sent_counts["complete"] <= sent_counts["partial"] <= 2 * sent_counts["complete"] + 1


@pytest.mark.parametrize("gateways, total, view, max_deviation", [(300, 600, 60, 1.8), (40, 200, 120, 1.2)])
@pytest.mark.parametrize("name", ["h", "host-", "10.0.0."])
def test_golden_ratio_positions_spread_gateways_evenly_over_endpoints(
    gateways, total, view, max_deviation, name
):
    """Check that about as many gateways use each endpoint as with a complete list.

    With a complete list the numbers differ by at most one. In a view they vary with the random positions of
    endpoints on the ring, and a gateway can compensate for half of that variation.
    """
    hosts = [host(f"{name}{n}") for n in range(total)]
    gateway_counts = dict.fromkeys((h.id for h in hosts), 0)
    for index in range(gateways):
        harness = create_view_harness(hosts, view, gateways, index=index)
        send_requests(harness, 1)
        for state in harness.engine.endpoint_pool.subset_endpoints:
            gateway_counts[state.entry.id] += 1
    mean = sum(gateway_counts.values()) / total
    # As many gateways per endpoint as with a complete list.
    assert abs(mean - SUBSET_SIZE_FACTOR * MAX_IN_FLIGHT_PER_ENDPOINT) < 0.75
    assert statistics.pstdev(gateway_counts.values()) < max_deviation
    assert max(gateway_counts.values()) < 1.55 * mean and min(gateway_counts.values()) > 0.6 * mean


def test_list_of_all_endpoints_is_not_a_view_despite_an_ejection():
    hosts = tuple(host(f"h{n}") for n in range(20))
    harness = EngineHarness(settings(plans=[LARGE_PLAN], gateway_count=40), hosts)
    harness.handle(api.EndpointOverride("h3", True, harness.now))
    harness.handle(api.EndpointList("full", 2, hosts, 20))
    assert (
        harness.engine.endpoint_pool.table.sharing_gateway_count == 40
        and harness.engine.endpoint_pool.table.available_total == 0
    )
    harness.handle(api.EndpointList("delta", 3, (), 200))
    assert (
        harness.engine.endpoint_pool.table.sharing_gateway_count == 4.0
        and harness.engine.endpoint_pool.table.available_total == 200
    )
    harness.handle(api.EndpointList("failed", 3, ()))
    assert harness.engine.endpoint_pool.table.available_total == 200  # a failed poll changes nothing
    harness.handle(api.EndpointList("delta", 4, (host("h20"),)))
    assert (
        harness.engine.endpoint_pool.table.sharing_gateway_count == 40
        and harness.engine.endpoint_pool.table.available_total == 0
    )


def test_emptied_view_requests_a_larger_one_and_recovers():
    hosts = [host(f"h{n}", zone=f"z{n % 3}") for n in range(3000)]
    harness = create_view_harness([h for h in hosts if h.zone == "z1"], 60, 300, total=3000)
    assert send_requests(harness)
    lost = [s.entry for s in harness.engine.endpoint_pool.available]
    for n in range(0, 60, 20):
        harness.handle(api.EndpointList("delta", 2 + n, as_down(*lost[n : n + 20]), 2000))
    harness.action_log.clear()
    for _ in range(100):
        harness.now += 0.1
        assert not actions_of(harness.request()[1], api.SendAttempt)
    assert (
        len(requested_view_sizes(harness)) == math.ceil(10.0 / VIEW_RESIZE_TIMEOUT_S)
        and min(requested_view_sizes(harness)) > 60
    )
    assert (
        not harness.engine.endpoint_pool.subset_endpoints
        and harness.engine.endpoint_pool.table.sharing_gateway_count == 1.0
    )
    returned = tuple(h for h in hosts if h.zone == "z2")[: requested_view_sizes(harness)[0]]
    harness.handle(api.EndpointList("delta", 99, returned, 2000))
    harness.action_log.clear()
    sent = send_requests(harness, 80)
    assert set(sent) <= {h.id for h in returned} and len(sent) > 70


def test_enlarged_view_is_reduced_after_a_delay():
    hosts = [host(f"h{n}") for n in range(2000)]
    harness = create_view_harness(hosts, 50, 300, total=2000)
    send_requests(harness, 4)
    (enlarged_size,) = requested_view_sizes(harness)
    harness.handle(api.EndpointList("full", 2, tuple(entries_in_view(hosts, 0, enlarged_size)), 2000))
    harness.action_log.clear()
    send_requests(harness, int(0.9 * VIEW_SHRINK_DELAY_S / 0.5), step=0.5)
    assert not requested_view_sizes(harness)
    harness.handle(
        api.EndpointList(
            "delta",
            3,
            tuple(host(h.id, started=harness.now) for h in entries_in_view(hosts, 0, enlarged_size)),
            2000,
        )
    )
    # All endpoints are warming up, so the whole enlarged view is needed.
    send_requests(harness, 100, step=0.5)
    assert len(harness.engine.endpoint_pool.subset_endpoints) <= enlarged_size and all(
        n >= enlarged_size for n in requested_view_sizes(harness)
    )
    harness.action_log.clear()
    send_requests(harness, int(2.2 * VIEW_SHRINK_DELAY_S / 0.5), step=0.5)
    normal_size = requested_view_sizes(harness)[-1]
    assert normal_size <= enlarged_size
    harness.handle(api.EndpointList("full", 4, tuple(entries_in_view(hosts, 0, normal_size)), 2000))
    harness.action_log.clear()
    send_requests(harness, 200, step=0.5)
    assert not requested_view_sizes(harness)  # the normal view is sufficient


def test_each_action_has_a_wire_format():
    assert set(ACTION_WRITERS) == set(api.Action.__args__)
    assert (
        ACTION_WRITERS[api.ResizeSubset](3, api.ResizeSubset(960))
        == "REMARK i=3 words=a view of 960 hosts is wanted"
    )


def test_complete_list_never_requests_a_view():
    harness = EngineHarness(
        settings(plans=[LARGE_PLAN], gateway_count=40), [host(f"h{n}") for n in range(30)]
    )
    for _ in range(60):
        harness.now += 0.5
        for send in actions_of(harness.request()[1], api.SendAttempt):
            harness.end_attempt(send, "reset", final=True)
    assert not requested_view_sizes(harness)


@pytest.mark.parametrize("class_name, scope", [("write", "zone"), ("cellwrite", "cell")])
def test_endpoint_that_leaves_the_view_still_answers_and_its_dedup_scope_applies(class_name, scope):
    hosts = [host(f"h{n}", zone=f"z{n % 2}", cell=n % 4) for n in range(40)]
    harness = create_view_harness(hosts, 40, 100, total=400)
    name, actions = harness.request(service_class=class_name)
    (send,) = actions_of(actions, api.SendAttempt)
    departed = harness.engine.endpoint_pool.endpoints[send.endpoint_id].entry
    harness.handle(api.EndpointList("delta", 2, as_down(departed), 400))
    assert (
        harness.engine.endpoint_pool.in_flight == 1 and departed.id in harness.engine.endpoint_pool.endpoints
    )
    assert departed.id not in send_requests(harness, 60, step=0.001)
    for n in range(3 * MIN_DEPARTED_RETAINED):  # enough later departures to have it removed
        harness.handle(api.EndpointList("delta", 3 + 2 * n, (host(f"x{n}"),), 400))
        harness.handle(api.EndpointList("delta", 4 + 2 * n, as_down(host(f"x{n}")), 400))
    assert departed.id in harness.engine.endpoint_pool.endpoints
    (retry,) = actions_of(harness.end_attempt(send, "reset"), api.SendAttempt)
    retried = harness.engine.endpoint_pool.endpoints[retry.endpoint_id].entry
    assert retried.id != departed.id and getattr(retried, scope) == getattr(departed, scope)
    assert harness.engine.endpoint_pool.in_flight == 1


def test_events_about_a_removed_endpoint_are_ignored():
    harness = create_view_harness([host(f"h{n}") for n in range(20)], 20, 40, total=200)
    _, actions = harness.request()
    (send,) = actions_of(actions, api.SendAttempt)
    departed = harness.engine.endpoint_pool.endpoints[send.endpoint_id].entry
    harness.handle(api.EndpointList("delta", 2, as_down(departed), 200))
    harness.end_attempt(send)
    harness.now += DEPARTED_RETENTION_S + 1.0
    harness.handle(api.EndpointList("delta", 3, (), 200))
    endpoint_pool = harness.engine.endpoint_pool
    assert departed.id not in endpoint_pool.endpoints and departed.id not in endpoint_pool.health.estimates
    harness.end_attempt(send, "timeout")
    harness.handle(api.ResponseStarted(send.request_id, 0, send.endpoint_id, 0.1))
    harness.handle(api.EndpointOverride(departed.id, True, harness.now))
    assert departed.id not in endpoint_pool.endpoints and endpoint_pool.in_flight == 0
    harness.handle(api.EndpointList("delta", 4, (departed,), 200))  # its ejection was retained
    assert departed.id not in [
        s.entry.id for s in endpoint_pool.available
    ] and departed.id not in send_requests(harness)
    harness.handle(api.EndpointOverride(departed.id, False, harness.now))
    assert departed.id in [s.entry.id for s in endpoint_pool.available]


def test_ejection_outlives_the_endpoint_state():
    harness = EngineHarness(settings(plans=[LARGE_PLAN]), [host("h1"), host("h2")])
    harness.handle(api.EndpointOverride("h1", True, harness.now))
    harness.handle(api.EndpointList("full", 2, (host("h2"),)))
    harness.now += DEPARTED_RETENTION_S + 1.0
    harness.handle(api.EndpointList("full", 3, (host("h2"),)))
    assert list(harness.engine.endpoint_pool.endpoints) == ["h2"]
    harness.handle(api.EndpointList("full", 4, (host("h1"), host("h2"))))
    assert set(send_requests(harness)) == {"h2"}


def test_end_of_ejection_does_not_add_an_unlisted_endpoint():
    harness = EngineHarness(settings(plans=[LARGE_PLAN]), [host("h1"), host("h2")])
    harness.handle(api.EndpointOverride("h1", True, harness.now))
    harness.handle(api.EndpointList("full", 2, (host("h2"),)))
    harness.handle(api.EndpointOverride("h1", False, harness.now))
    assert set(send_requests(harness)) == {"h2"}


def test_draining_endpoints_outside_the_view_leave_no_state():
    harness = create_view_harness([host(f"h{n}") for n in range(50)], 50, 100, total=5000)
    for n in range(2000):
        harness.handle(
            api.EndpointList(
                "delta", 2 + n, (host(f"far{n}", state="leaving"), *as_down(host(f"off{n}"))), 5000
            )
        )
    assert (
        len(harness.engine.endpoint_pool.endpoints) == 50
        and not harness.engine.endpoint_pool.table.departed
        and len(harness.engine.endpoint_pool.table.ring) == 50
    )


def test_traffic_in_a_view_follows_the_weights():
    hosts = [weighted_host(f"h{n}", 10.0 if n % 2 else 1.0) for n in range(400)]
    harness = create_view_harness(hosts, 100, 100, total=4000)
    sent = send_requests(harness, 3000)
    weight = {h.id: h.weight for h in hosts}
    heavy_fraction = sum(weight[name] == 10.0 for name in sent) / len(sent)
    weights = [s.entry.weight for s in harness.engine.endpoint_pool.subset_endpoints]
    expected_fraction = weights.count(10.0) * 10 / (weights.count(10.0) * 10 + weights.count(1.0))
    assert abs(heavy_fraction - expected_fraction) < 0.12
    assert harness.engine.endpoint_pool.table.largest_weight == 10.0
    harness.handle(api.EndpointList("delta", 2, as_down(*(h for h in hosts if h.weight == 10.0)), 2000))
    assert (
        harness.engine.endpoint_pool.table.largest_weight == 1.0
        and harness.engine.endpoint_pool.table.weights == [1.0] * len(harness.engine.endpoint_pool.available)
    )


@pytest.mark.parametrize("seed", range(3))
def test_endpoint_in_slow_start_is_not_overloaded_while_views_change(seed):
    """Run thirty gateways whose views change every half second, also by a restarted endpoint."""
    gateways, total, view = 30, 120, 60
    hosts = [host(f"h{n}-{seed}") for n in range(total)]
    harnesses = [create_view_harness(hosts, view, gateways, index=index) for index in range(gateways)]
    usual_sends: dict[str, list[float]] = {}
    step, now = 0.02, harnesses[0].now

    def run_traffic(seconds, sent):
        nonlocal now
        for n in range(round(seconds / step)):
            now += step
            for index, harness in enumerate(harnesses):
                harness.now = now
                harness.handle(api.TimerFired(0))
                if (n + index) % 5 == 0:
                    for send in actions_of(harness.request()[1], api.SendAttempt):
                        sent.setdefault(send.endpoint_id, []).append(now)
                        harness.end_attempt(send)

    run_traffic(6.0, usual_sends)
    # Attempts per second at a warm endpoint.
    usual_rate = sum(len(times) for times in usual_sends.values()) / 6.0 / total
    restarted = host(hosts[5].id, started=now)
    listed = {index: list(entries_in_view(hosts, index, view)) for index in range(gateways)}
    sent: dict[str, list[float]] = {}
    for turn in range(16):
        for index, harness in enumerate(harnesses):
            # The restarted endpoint leaves and enters views, and so do others.
            previous_ids = {h.id for h in listed[index]}
            outside = [h for h in hosts if h.id not in previous_ids and h.id != restarted.id]
            removed = [h for h in listed[index] if h.id != restarted.id][(turn * 3 + index) % 50 :][:5]
            listed[index] = [h for h in listed[index] if h not in removed] + outside[turn % 20 :][:5]
            changes = as_down(*removed) + tuple(outside[turn % 20 :][:5])
            is_in_view = (turn + index) % 2 == 0
            changes += (restarted,) if is_in_view else as_down(restarted)
            harness.handle(api.EndpointList("delta", 2 + turn, changes, total))
        run_traffic(0.5, sent)
    rules = harnesses[0].settings.rules
    times = sent.get(restarted.id, [])
    # The budget of a warm endpoint for one overload window, scaled below by the slow-start factor.
    full_budget = rules.overload_multiple * usual_rate * rules.overload_window
    for window_start in times:
        count = sum(window_start <= x < window_start + rules.overload_window for x in times)
        slow_start_factor = min(1.0, 0.2 + 0.8 * (window_start - restarted.started_at) / 10.0)
        bound = slow_start_factor * full_budget
        assert count <= bound + 2 * math.sqrt(bound) + 2, (window_start - restarted.started_at, count, bound)
    assert times  # it does get attempts


def test_added_and_removed_endpoints_leave_no_state():
    permanent = [host(f"h{n}") for n in range(100)]
    harness = EngineHarness(settings(plans=[LARGE_PLAN], gateway_count=20), permanent)
    objects, version = [], 1
    for n in range(10_000):
        version += 2
        added = host(f"new{n}", started=harness.now)
        harness.handle(api.EndpointList("delta", version, (added,)))
        if n % 3 == 0:
            send_requests(harness, 1, step=0.01)
        harness.now += 0.01
        if n % 10:
            harness.handle(api.EndpointList("delta", version + 1, as_down(added)))
        else:
            harness.handle(api.EndpointList("full", version + 1, tuple(permanent)))
        harness.action_log.clear()
        assert len(harness.engine.endpoint_pool.endpoints) <= 201
        if n in (2000, 9999):
            gc.collect()
            objects.append(len(gc.get_objects()))
    endpoint_pool = harness.engine.endpoint_pool
    assert (
        len(endpoint_pool.table.departed) <= 100
        and len(endpoint_pool.table.ring)
        == len(endpoint_pool.available)
        == len(endpoint_pool.table.weights)
        == 100
    )
    assert len(endpoint_pool.health.estimates) <= 201 and len(endpoint_pool.table.warming_up) <= 101
    assert objects[1] < objects[0] + 300  # each known endpoint has at least three objects
    harness.now += DEPARTED_RETENTION_S + 1.0
    send_requests(harness, 1)
    assert len(endpoint_pool.endpoints) == 100 and not endpoint_pool.table.departed


def test_incremental_updates_equal_a_full_rebuild():
    harness = EngineHarness(
        settings(plans=[LARGE_PLAN], gateway_count=20),
        [weighted_host(f"h{n}", 1.0 + n % 5) for n in range(200)],
    )
    endpoint_pool, rng = harness.engine.endpoint_pool, random.Random(5)
    for n in range(600):
        harness.now += 0.05
        name = f"h{rng.randrange(240)}"
        match rng.randrange(5):
            case 0:
                harness.handle(api.EndpointOverride(name, rng.random() < 0.5, harness.now))
            case 1:
                harness.handle(api.EndpointList("delta", n, (host(name, started=harness.now),)))
            case 2:
                harness.handle(
                    api.EndpointList("delta", n, (weighted_host(name, 0.1 * rng.randrange(1, 90)),))
                )
            case 3:
                harness.handle(
                    api.EndpointList("delta", n, (host(name, state=rng.choice(("down", "leaving"))),))
                )
            case 4:
                send_requests(harness, 1)
        updated = [
            endpoint_pool.available[:],
            endpoint_pool.table.ring[:],
            endpoint_pool.table.weights[:],
            set(endpoint_pool.table.warming_up),
        ]
        endpoint_pool.table.rebuild(harness.now)
        assert updated[:3] == [
            endpoint_pool.available,
            endpoint_pool.table.ring,
            endpoint_pool.table.weights,
        ] and updated[3] >= set(endpoint_pool.table.warming_up)
        endpoint_pool.on_table_change(harness.now)


def test_number_of_examined_endpoints_is_bounded():
    examined = 0

    class CountingSelector(EndpointSelector):
        def can_send_to(self, endpoint, now):
            nonlocal examined
            examined += 1
            return super().can_send_to(endpoint, now)

    for gateways in (1, 10, 400):
        harness = EngineHarness(
            settings(plans=[LARGE_PLAN], gateway_count=gateways), [host(f"h{n}") for n in range(5000)]
        )
        harness.engine.endpoint_pool.selector.__class__ = CountingSelector
        examined = 0
        for _ in range(20):
            harness.now += 0.05
            for send in actions_of(harness.request()[1], api.SendAttempt):
                for retry in actions_of(harness.end_attempt(send, "error"), api.SendAttempt):
                    harness.end_attempt(retry)
        assert examined <= 40 * 2 * MAX_SAMPLE_SIZE
