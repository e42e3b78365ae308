"""Tests of endpoint selection: in-flight limits, overrides, slow start, subsets and start times."""

import pytest
from helpers import EngineHarness, actions_of, host, plan, settings

from api_gateway import interface as api

LARGE_PLAN = plan(rate=1000.0, burst=4000.0)


def test_in_flight_limit_per_endpoint_and_queue_order_by_priority():
    harness = EngineHarness(settings(plans=[LARGE_PLAN]), [host("h1")])
    sent = [
        send
        for _ in range(8)
        for send in actions_of(harness.request(service_class="read")[1], api.SendAttempt)
    ]
    assert len(sent) == 2  # half of the limit per endpoint, because there are two gateways
    name, actions = harness.request(service_class="write")
    assert not actions_of(actions, api.SendAttempt)
    assert [send.request_id for send in actions_of(harness.end_attempt(sent[0]), api.SendAttempt)] == [name]


def test_queue_length_is_bounded():
    harness = EngineHarness(settings(plans=[LARGE_PLAN]), [host("h1")])
    actions = [a for _ in range(200) for a in harness.request()[1]]
    assert len(actions_of(actions, api.RejectRequest)) > 150


def test_fractional_in_flight_limit_is_rounded_differently_by_gateway_and_endpoint():
    in_flight = 0
    for index in range(3):
        harness = EngineHarness(
            settings(plans=[LARGE_PLAN], gateway_count=3, gateway_index=index),
            [host(f"h{n}") for n in range(30)],
            seed=index,
        )
        in_flight += sum(len(actions_of(harness.request()[1], api.SendAttempt)) for _ in range(200))
    assert 100 < in_flight < 140  # four per endpoint over all gateways, not six


def test_total_in_flight_limit_of_a_gateway_excludes_silent_attempts():
    harness = EngineHarness(
        settings(plans=[LARGE_PLAN], gateway_count=200), [host(f"h{n}") for n in range(50)]
    )
    sends = [
        send
        for _ in range(20)
        for send in actions_of(harness.request(service_class="note", remaining_s=3.0)[1], api.SendAttempt)
    ]
    assert len(sends) == 2  # twice an equal split of four per endpoint
    harness.advance(1.2)  # queued requests end and the two attempts count as silent
    assert actions_of(harness.request(service_class="note")[1], api.SendAttempt)


def test_slow_counter_gets_fewer_calls_that_also_charge_for_uncounted_requests():
    call_counts, max_charge = {}, {}
    for latency in (0.001, 0.045):
        harness = EngineHarness(settings(gateway_count=100, plans=[plan(rate=2.0, burst=8.0)]))
        harness.counter_mode, call_counts[latency], max_charge[latency] = "hold", 0, 0.0
        for index in range(60):
            for call in actions_of(harness.request(customer=f"c{index}", spread=60)[1], api.AddToCounter):
                call_counts[latency] += call.amount > 0
                max_charge[latency] = max(max_charge[latency], call.amount)
                harness.handle(api.CounterReply(call.name, "ok", 20.0 * (index % 2) + call.amount, latency))
            harness.now += 0.1
    assert call_counts[0.045] < 0.7 * call_counts[0.001]
    assert max_charge[0.001] <= 1.1 and 1.1 < max_charge[0.045] <= 4.0


def test_ejected_endpoint_gets_no_attempts_and_warms_up_after_the_ejection():
    harness = EngineHarness(settings(plans=[LARGE_PLAN], gateway_count=1), [host("h1"), host("h2")])
    harness.handle(api.EndpointOverride("h1", True, harness.now))
    harness.handle(api.EndpointList("full", 2, (host("h1"), host("h2"), host("h3"))))
    sends = [send for _ in range(12) for send in actions_of(harness.request()[1], api.SendAttempt)]
    assert {send.endpoint_id for send in sends} == {"h2", "h3"}
    failed = [
        send for end in sends for send in actions_of(harness.end_attempt(end, "error"), api.SendAttempt)
    ]
    assert failed and "h1" not in {send.endpoint_id for send in failed}
    harness.now += 5.0
    harness.handle(api.EndpointOverride("h1", False, harness.now))
    endpoint = harness.engine.endpoint_pool.endpoints["h1"]
    assert (
        endpoint.slow_start_factor(harness.now, harness.settings.rules) == 0.2
        and endpoint in harness.engine.endpoint_pool.available
    )
    assert endpoint.slow_start_factor(harness.now + 10.0, harness.settings.rules) == 1.0


def test_start_time_listed_during_an_ejection_is_used_after_it():
    harness = EngineHarness(settings(plans=[LARGE_PLAN]), [host("h1"), host("h2")])
    harness.handle(api.EndpointOverride("h1", True, harness.now))
    harness.handle(api.EndpointList("delta", 2, (host("h1", started=harness.now + 1.0),)))
    harness.now += 6.0
    harness.handle(api.EndpointOverride("h1", False, harness.now))
    assert (
        abs(
            harness.engine.endpoint_pool.endpoints["h1"].slow_start_factor(
                harness.now, harness.settings.rules
            )
            - 0.6
        )
        < 1e-9
    )


def test_end_of_ejection_applies_in_a_process_that_missed_the_ejection():
    harness = EngineHarness(settings(plans=[LARGE_PLAN]), [host("h1"), host("h2")])
    harness.handle(api.EndpointOverride("h1", False, harness.now - 5.0))
    harness.handle(api.EndpointOverride("h9", False, harness.now))  # an endpoint that no list has named
    assert (
        abs(
            harness.engine.endpoint_pool.endpoints["h1"].slow_start_factor(
                harness.now, harness.settings.rules
            )
            - 0.6
        )
        < 1e-9
    )


def test_restarted_endpoint_does_not_inherit_earlier_failures():
    harness = EngineHarness(
        settings(plans=[LARGE_PLAN], gateway_count=1, rules=dict(slow_start_duration=0.1)), [host("h1")]
    )
    for _ in range(6):
        harness.end_attempt(actions_of(harness.request()[1], api.SendAttempt)[0], "reset", final=True)
    harness.handle(api.EndpointList("delta", 2, (host("h2"),)))
    before = [send for _ in range(4) for send in actions_of(harness.request()[1], api.SendAttempt)]
    for send in before:
        harness.end_attempt(send)
    harness.handle(api.EndpointList("delta", 3, (host("h1", started=harness.now),)))
    harness.now += 0.2
    after = [send.endpoint_id for _ in range(6) for send in actions_of(harness.request()[1], api.SendAttempt)]
    assert [send.endpoint_id for send in before] == ["h2"] * 4 and "h1" in after


def create_harnesses(gateways, hosts, **kw):
    return [
        EngineHarness(
            settings(plans=[LARGE_PLAN], gateway_count=gateways, gateway_index=index, **kw), hosts, seed=index
        )
        for index in range(gateways)
    ]


def run_traffic(harnesses, seconds, sent, step=0.05):
    """Send four requests a second to each gateway, answer each attempt at once and record it by endpoint."""
    for step_number in range(round(seconds / step)):
        for index, harness in enumerate(harnesses):
            harness.now += step
            harness.handle(api.TimerFired(0))
            if (step_number + index) % 5 == 0:
                for send in actions_of(harness.request()[1], api.SendAttempt):
                    sent.setdefault(send.endpoint_id, []).append(harness.now)
                    harness.end_attempt(send)


@pytest.mark.parametrize("count, min_fraction", [(12, 0.2), (60, 0.07)])
def test_endpoints_in_slow_start_get_traffic_by_their_capacity(count, min_fraction):
    harnesses = create_harnesses(40, [host(f"h{n}") for n in range(count)])
    usual_sends: dict[str, list[float]] = {}
    run_traffic(harnesses, 6.0, usual_sends)
    # Attempts per second at a warm endpoint.
    usual_rate = sum(len(times) for times in usual_sends.values()) / 6.0 / count
    restarted = tuple(host(f"h{n}", started=harnesses[0].now) for n in range(count * 3 // 4))
    for harness in harnesses:
        harness.handle(api.EndpointList("delta", 2, restarted))
    sent: dict[str, list[float]] = {}
    run_traffic(harnesses, 4.0, sent)
    mean_rate = sum(len(sent.get(h.id, [])) for h in restarted) / 4.0 / len(restarted)
    # An endpoint's capacity is 0.2 to 0.52 of the usual rate meanwhile.
    assert min_fraction * usual_rate < mean_rate < 0.36 * usual_rate
    for times in (sent.get(h.id, []) for h in restarted):
        # None is overloaded: at most twice its capacity, with some slack for random variation.
        assert (
            max((sum(t <= x < t + 2.0 for x in times) for t in times), default=0)
            < 2.0 * 2.0 * 0.3 * usual_rate
        )


def test_total_in_flight_limit_follows_the_serving_capacity():
    in_flight = {}
    for starting_count in (0, 45):
        hosts = [host(f"h{n}", started=1000.0 if n < starting_count else 0.0) for n in range(60)]
        harness = EngineHarness(settings(plans=[LARGE_PLAN], gateway_count=40), hosts)
        in_flight[starting_count] = sum(
            len(actions_of(harness.request()[1], api.SendAttempt)) for _ in range(60)
        )
    assert 6 <= in_flight[0] <= 8  # a third more than an equal split of four per endpoint
    assert 3 <= in_flight[45] <= 4


def test_in_flight_limit_with_few_gateways():
    harness = EngineHarness(
        settings(plans=[LARGE_PLAN], gateway_count=2), [host("h1"), host("h2"), host("h3")]
    )
    # Two per endpoint, which is half of four.
    assert sum(len(actions_of(harness.request()[1], api.SendAttempt)) for _ in range(60)) == 6


def test_one_fast_answer_does_not_cause_early_hedged_requests():
    harness = EngineHarness(settings(plans=[LARGE_PLAN], gateway_count=1))
    harness.end_attempt(actions_of(harness.request()[1], api.SendAttempt)[0], elapsed=0.01)
    assert actions_of(harness.request()[1], api.SendAttempt) and not actions_of(
        harness.advance(0.3), api.SendAttempt
    )
    assert actions_of(harness.advance(0.8), api.SendAttempt)  # an attempt that stays silent is hedged


def count_users(harnesses):
    """Return the number of gateways whose subset each endpoint is in."""
    hosts: dict[str, int] = {}
    for harness in harnesses:
        harness.now += 1.0
        harness.end_attempt(actions_of(harness.request()[1], api.SendAttempt)[0])
        for state in harness.engine.endpoint_pool.subset_endpoints:
            hosts[state.entry.id] = hosts.get(state.entry.id, 0) + 1
    return hosts


def test_subsets_of_many_gateways_cover_endpoints_evenly():
    names = [f"h{n}" for n in range(60)]
    harnesses = create_harnesses(40, [host(name) for name in names])
    before = count_users(harnesses)
    assert sum(before.values()) <= 40 * 20 and set(before) == set(names)
    assert max(before.values()) - min(before.values()) <= 2
    for harness in harnesses:  # a zone fails, and some new endpoints are added
        departed = tuple(host(name, state="down") for name in names[:36])
        harness.handle(api.EndpointList("delta", 2, departed + tuple(host(f"new{n}") for n in range(6))))
    after = count_users(harnesses)
    assert len(after) == 30 and max(after.values()) - min(after.values()) <= 2
    sent: dict[str, list[float]] = {}
    run_traffic(harnesses[:1], 20.0, sent)
    assert len(sent) <= 12  # attempts stay in the subset while it has capacity


def test_gateway_whose_endpoints_fail_uses_others():
    harness = EngineHarness(
        settings(plans=[LARGE_PLAN], gateway_count=40), [host(f"h{n}") for n in range(60)]
    )
    harness.end_attempt(actions_of(harness.request()[1], api.SendAttempt)[0])
    failing_ids = {s.entry.id for s in harness.engine.endpoint_pool.subset_endpoints}
    assert len(failing_ids) <= 20
    other_sends = 0
    for _ in range(80):
        harness.now += 0.1
        for send in actions_of(harness.request()[1], api.SendAttempt):
            other_sends += send.endpoint_id not in failing_ids
            harness.end_attempt(send, "error" if send.endpoint_id in failing_ids else "ok", final=True)
    assert other_sends > 40


def test_few_gateways_use_all_endpoints():
    harnesses = create_harnesses(3, [host(f"h{n}") for n in range(10)])
    assert count_users(harnesses) == {f"h{n}": 3 for n in range(10)}


def test_many_gateways_allow_uncounted_requests_by_the_result_of_sampled_counter_calls():
    harness = EngineHarness(settings(gateway_count=100, plans=[plan(rate=2.0, burst=8.0)]))
    harness.counter_mode, sent, charged_calls = "hold", 0, 0
    for index in range(600):
        harness.now += 0.05
        _, actions = harness.request(customer=f"c{index}", spread=60)
        for call in actions_of(actions, api.AddToCounter):
            charged_calls += call.amount > 0
            actions = actions + harness.handle(api.CounterReply(call.name, "ok", call.amount, 0.048))
        for send in actions_of(actions, api.SendAttempt):
            sent += index >= 200
            harness.end_attempt(send)
    # The counter is called for only a few of these customers, who are all within their quotas.
    assert charged_calls < 150
    assert sent > 250  # of 400


HOUR, NOW = 3600.0, 1e6


def factor_of(harness, name):
    return harness.engine.endpoint_pool.endpoints[name].slow_start_factor(harness.now, harness.settings.rules)


@pytest.mark.parametrize("clock_error", [-HOUR, HOUR])
def test_new_start_time_begins_slow_start_despite_a_wrong_clock(clock_error):
    """Check a restarted and a new endpoint; `clock_error` is how far the gateway's clock is ahead."""
    harness = EngineHarness(
        settings(plans=[LARGE_PLAN]), [host("h1"), host("h2", started=NOW - clock_error - 500.0)], start=NOW
    )
    harness.handle(api.EndpointList("full", 2, (host("h1"), host("h2", started=NOW - clock_error - 500.0))))
    harness.now += 5.0
    started_at = harness.now - clock_error - 1.0
    harness.handle(
        api.EndpointList("delta", 3, (host("h2", started=started_at), host("h3", started=started_at)))
    )
    assert (
        factor_of(harness, "h2") == factor_of(harness, "h3") == harness.settings.rules.slow_start_min_capacity
    )
    harness.now += harness.settings.rules.slow_start_duration
    assert factor_of(harness, "h2") == factor_of(harness, "h3") == 1.0


def test_endpoints_of_a_first_list_or_a_view_may_be_warm():
    harness = EngineHarness(settings(plans=[LARGE_PLAN]), [host("h1", started=NOW - HOUR)], start=NOW)
    harness.handle(api.EndpointList("full", 2, (host("h1", started=NOW - HOUR), host("h2", started=1.0)), 50))
    harness.handle(api.EndpointList("delta", 3, (host("h3", started=NOW - HOUR),), 50))
    assert factor_of(harness, "h1") == factor_of(harness, "h2") == factor_of(harness, "h3") == 1.0


def test_clock_step_uses_the_later_of_both_start_times():
    harness = EngineHarness(
        settings(plans=[LARGE_PLAN]),
        [host("h1", started=NOW - HOUR - 2.0), host("h2", started=10.0)],
        start=NOW,
    )
    assert factor_of(harness, "h1") == 1.0
    harness.handle(api.WallClockStepped(-HOUR))
    assert abs(factor_of(harness, "h1") - 0.36) < 1e-9 and factor_of(harness, "h2") == 1.0
    harness.handle(api.WallClockStepped(0.0))
    assert abs(factor_of(harness, "h1") - 0.36) < 1e-9


def test_small_clock_error_does_not_skip_a_short_slow_start():
    harness = EngineHarness(
        settings(plans=[LARGE_PLAN], rules=dict(slow_start_duration=4.0)), [host("h1")], start=NOW
    )
    harness.handle(api.EndpointList("full", 2, (host("h1"),)))
    harness.handle(api.EndpointList("delta", 3, (host("h2", started=NOW - 5.0),)))
    assert factor_of(harness, "h2") == harness.settings.rules.slow_start_min_capacity
