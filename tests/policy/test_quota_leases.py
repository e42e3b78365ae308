"""Admission by quota of one or two gateways: leases, uncharged allowances, overdrafts and plan credit."""

import pytest
from helpers import EngineHarness, actions_of, plan, settings

from api_gateway import interface as api
from api_gateway.policy.customer_accounts import PlanGrants


def count_admitted(harness, tries, **request_fields):
    """Send requests one after the other and return how many were admitted."""
    admitted = 0
    for _ in range(tries):
        _, actions = harness.request(**request_fields)
        for send in actions_of(actions, api.SendAttempt):
            admitted += 1
            harness.end_attempt(send)
    return admitted


def test_light_customer_makes_no_call():
    harness = EngineHarness()
    assert count_admitted(harness, 1) == 1
    assert not [action for _, action in harness.action_log if isinstance(action, api.AddToCounter)]


def test_lease_is_requested_and_quota_is_enforced():
    harness = EngineHarness()
    admitted = count_admitted(harness, 40)
    assert 7 <= admitted <= 8  # the burst, less the units reserved for classes of higher priority
    assert [action for _, action in harness.action_log if isinstance(action, api.AddToCounter)]
    assert max(harness.counts.values()) <= 16


def test_full_window_rejects_immediately_without_calls():
    harness = EngineHarness()
    count_admitted(harness, 40)
    before = len([action for _, action in harness.action_log if isinstance(action, api.AddToCounter)])
    name, actions = harness.request()
    assert (
        actions_of(actions, api.RejectRequest) and len(actions_of(actions, api.AddToCounter)) == 0 and before
    )


def test_window_change_does_not_admit_two_bursts_back_to_back():
    harness = EngineHarness()
    total = 0
    start = harness.now
    while harness.now < start + 12:
        total += count_admitted(harness, 2)
        harness.advance(0.1)
    assert total <= 8 + 2 * (harness.now - start) + 4


def test_excess_lease_is_subtracted_from_the_count():
    harness = EngineHarness()
    harness.counter_mode = "hold"
    calls, sends = [], True
    while sends:  # the last request waits for the call in flight
        _, actions = harness.request()
        calls, sends = calls + actions_of(actions, api.AddToCounter), actions_of(actions, api.SendAttempt)
    call = calls[0]
    # Other gateways used up the window.
    actions = harness.handle(api.CounterReply(call.name, "ok", 40, 0.002))
    assert [
        added
        for added in actions_of(actions, api.AddToCounter)
        if added.amount < 0 and added.name == call.name
    ]
    assert not actions_of(actions, api.SendAttempt) and actions_of(actions, api.RejectRequest)


def test_timed_out_call_grants_no_lease_and_its_request_is_decided_soon():
    harness = EngineHarness()
    harness.counter_mode = "silent"
    start = harness.now
    admitted = count_admitted(harness, 60)
    assert admitted <= 8 / 2 + 2 * (harness.now - start) + 4  # the even portion and no lease
    assert all(not state.stage == "units" for state in harness.engine.requests_in_flight.values())
    assert harness.engine.accounts["c"].leased_units == 0


def test_calls_to_a_silent_counter_back_off():
    harness = EngineHarness()
    harness.counter_mode = "silent"
    for _ in range(200):
        harness.request()
        harness.advance(0.02)
    assert len([action for _, action in harness.action_log if isinstance(action, api.AddToCounter)]) < 20


def test_lost_counts_are_added_again():
    harness = EngineHarness(settings(plans=[plan(rate=2.0, burst=20.0)]))
    count_admitted(harness, 12)
    name = max(harness.counts, key=lambda count_name: harness.counts[count_name])
    counted_before = harness.counts[name]
    assert counted_before > 3
    harness.counts.clear()
    count_admitted(harness, 3)
    assert harness.counts[name] >= counted_before


def test_refused_call_keeps_the_charge_owed():
    harness = EngineHarness()
    harness.counter_mode = "refuse"
    admitted = count_admitted(harness, 30)
    harness.counter_mode = "answer"
    harness.advance(1.2)
    count_admitted(harness, 3)
    assert max(harness.counts.values()) >= admitted


def test_ceiling_holds_at_start_and_without_counter():
    ceiling_plan = plan(rate=10.0, burst=20.0, ceiling_rate=10.0, ceiling_burst=20.0, ceiling_slack=2.0)
    for mode in ("answer", "silent", "refuse"):
        harness = EngineHarness(settings(plans=[ceiling_plan]))
        harness.counter_mode = mode
        start, admitted = harness.now, 0
        while harness.now < start + 3:
            admitted += count_admitted(harness, 4)
            harness.advance(0.05)
            # Half of the ceiling's rate, because two gateways serve the customer; the ceiling starts empty.
            assert admitted <= 5.0 * (harness.now - start) + 1


def test_counter_enforces_the_open_attempt_limit_over_all_gateways():
    limited_plan = plan(rate=50.0, burst=100.0, max_concurrent=2)
    first = EngineHarness(settings(plans=[limited_plan]))
    second = EngineHarness(settings(plans=[limited_plan], gateway_index=1), seed=2)
    second.counts = first.counts
    sends = []
    for _ in range(3):
        for harness in (first, second):
            sends += [(harness, send) for send in actions_of(harness.request()[1], api.SendAttempt)]
    assert len(sends) == 2
    harness, send = sends[0]
    harness.end_attempt(send)
    assert len(actions_of(harness.request()[1], api.SendAttempt)) == 1


def test_requests_over_quota_are_forwarded_only_where_profitable():
    harness = EngineHarness(settings(plans=[plan(over_quota_weight=0.3, over_quota_cost=0.0)]))
    assert count_admitted(harness, 40) == 40
    harness = EngineHarness(settings(plans=[plan(over_quota_weight=0.3, over_quota_cost=0.5)]))
    assert count_admitted(harness, 40) < 40


def test_without_counter_the_even_portion_is_granted():
    harness = EngineHarness(settings(has_counter=False))
    admitted = count_admitted(harness, 40)
    assert 4 <= admitted <= 8 and not [
        action for _, action in harness.action_log if isinstance(action, api.AddToCounter)
    ]


def test_plan_without_a_rate_is_limited_by_open_attempts_only():
    harness = EngineHarness(settings(plans=[plan(rate=0.0, burst=0.0, max_concurrent=3)]))
    assert count_admitted(harness, 30) == 30


# Guards against plans whose requests all fail because the factorial of their limit is too large for a float.
@pytest.mark.parametrize("max_concurrent", [170, 171, 172, 1000])
def test_a_plan_may_allow_many_open_attempts(max_concurrent):
    harness = EngineHarness(settings(plans=[plan(rate=0.0, burst=0.0, max_concurrent=max_concurrent)]))
    assert count_admitted(harness, 5) == 5


def test_actual_units_are_charged():
    harness = EngineHarness(settings(reports_actual_units=True))
    _, actions = harness.request()
    send = actions_of(actions, api.SendAttempt)[0]
    harness.end_attempt(send, actual_units=6)
    assert count_admitted(harness, 40) < 11


def test_idle_time_accumulates_at_most_one_burst():
    harness = EngineHarness()
    window_length = 4.0
    harness.request()
    window_started_at = harness.engine.accounts["c"].window_started_at
    harness.now = window_started_at + 2 * window_length - 0.5  # late in a window in which no unit was used
    admitted = count_admitted(harness, 60)
    assert admitted <= 8 + 4 + 1  # the burst, and the uncharged allowance


def test_overdraft_is_carried_over_once():
    first, second = EngineHarness(settings(plans=[plan(burst=40.0, rate=10.0)])), None
    second = EngineHarness(settings(plans=[plan(burst=40.0, rate=10.0)], gateway_index=1), seed=2)
    second.counts = first.counts
    start = 0.0
    for turn in range(6):
        for harness in (first, second):
            harness.now = max(first.now, second.now)
            count_admitted(harness, 60)
        start = first.engine.accounts["c"].window_started_at
        first.now = second.now = start + 4.0 + 0.001
        assert max(first.counts.values()) <= 40 + 10 * 4 + 3, turn  # never more owed than was used


def test_even_portion_of_the_open_attempt_limit_needs_no_call():
    harness = EngineHarness(settings(plans=[plan(rate=50.0, burst=100.0, max_concurrent=4)]))
    actions = harness.request()[1] + harness.request()[1]
    assert len(actions_of(actions, api.SendAttempt)) == 2 and not actions_of(actions, api.AddToCounter)
    assert not actions_of(harness.request()[1], api.SendAttempt)


def test_small_burst_over_many_gateways_admits_light_customers_and_limits_busy_ones():
    harness = EngineHarness(settings(gateway_count=10, plans=[plan(rate=0.8, burst=3.0)]))
    for index in range(20):
        _, actions = harness.request(customer=f"c{index}", spread=8)
        assert actions_of(actions, api.SendAttempt) and len(actions_of(actions, api.AddToCounter)) <= 1
        harness.end_attempt(actions_of(actions, api.SendAttempt)[0])
    assert count_admitted(harness, 30, customer="c0", spread=8) <= 6


def test_last_units_of_a_quota_are_reserved_for_the_highest_priority():
    harness = EngineHarness(settings(plans=[plan(rate=0.5, burst=40.0)]))
    low = count_admitted(harness, 100, service_class="read")
    high = count_admitted(harness, 100, service_class="write")
    assert high >= 5  # nothing would be left without the reserved units
    assert low >= 25


def test_calls_resume_within_two_seconds_after_the_counter_was_silent():
    harness = EngineHarness(settings(plans=[plan(rate=20.0, burst=80.0)]))
    harness.counter_mode = "silent"
    for _ in range(80):
        for send in actions_of(harness.request()[1], api.SendAttempt):
            harness.end_attempt(send)
        harness.advance(0.02)
    harness.counter_mode, start = "answer", harness.now
    while harness.now < start + 2:
        for send in actions_of(harness.request()[1], api.SendAttempt):
            harness.end_attempt(send)
        harness.advance(0.04)
    assert harness.engine.counter.failure_count == 0
    assert [
        action for at, action in harness.action_log if isinstance(action, api.AddToCounter) and at > start
    ]


def test_remainder_of_the_open_attempt_limit_is_allocated_by_a_count():
    configs = [
        settings(gateway_index=index, plans=[plan(rate=50.0, burst=100.0, max_concurrent=3)])
        for index in (0, 1)
    ]
    first, second = EngineHarness(configs[0]), EngineHarness(configs[1], seed=2)
    second.counts = first.counts
    assert (
        sum(
            len(actions_of(harness.request()[1], api.SendAttempt))
            for _ in range(3)
            for harness in (first, second)
        )
        == 3
    )


def test_requests_of_a_timed_out_call_are_decided_by_the_local_allowance():
    harness = EngineHarness(settings(plans=[plan(rate=0.5, burst=8.0)]))
    harness.counter_mode = "hold"
    calls, admitted = [], 0
    for _ in range(12):
        actions = harness.request()[1]
        calls, admitted = (
            calls + actions_of(actions, api.AddToCounter),
            admitted + len(actions_of(actions, api.SendAttempt)),
        )
    actions = harness.handle(api.CounterReply(calls[0].name, "timeout", 0, 0.05))
    assert (
        harness.engine.accounts["c"].leased_units == 0
        and admitted + len(actions_of(actions, api.SendAttempt)) <= 5
    )
    assert len(actions_of(actions, api.RejectRequest)) >= 3


def test_excess_after_an_idle_window_is_deducted_from_the_next_window():
    harness = EngineHarness(settings(plans=[plan(rate=2.0, burst=40.0)]))
    harness.request()
    harness.now = harness.engine.accounts["c"].window_started_at + 2 * 20.0 - 0.5
    admitted, start = count_admitted(harness, 120), harness.now
    assert admitted <= 80
    harness.now += 1.0
    admitted += count_admitted(harness, 120)
    assert admitted <= 80 + 2 * (harness.now - start) + 4


def test_without_the_counter_many_gateways_admit_no_more_than_the_burst():
    for gateway_count in (1, 3, 200):
        admitted = 0
        for index in range(gateway_count):
            harness = EngineHarness(
                settings(plans=[plan(rate=2.0, burst=8.0)], gateway_count=gateway_count, gateway_index=index),
                seed=index,
            )
            harness.counter_mode = "silent"
            admitted += count_admitted(harness, 3 if gateway_count > 10 else 40, spread=gateway_count)
        assert admitted <= 2.5 * 8, gateway_count  # the requests may fall into two windows


def test_plan_credit_admits_the_previous_rate_while_the_counter_is_silent():
    harness = EngineHarness(settings(plans=[plan(rate=2.0, burst=8.0)], gateway_count=100))
    before = 0
    for index in range(200):
        before += count_admitted(harness, 1, customer=f"b{index}", spread=60)
        harness.now += 0.1
    harness.counter_mode, during = "silent", 0
    for index in range(200):
        during += count_admitted(harness, 1, customer=f"d{index}", spread=60)
        harness.now += 0.1
    assert before > 150 and 40 < during <= before + 20


def test_one_lost_call_does_not_stop_calls_for_other_customers():
    harness = EngineHarness()
    count_admitted(harness, 1, customer="a", units=4)
    harness.counter_mode = "silent"
    harness.request(customer="b", units=4)
    harness.counter_mode = "answer"
    assert count_admitted(harness, 1, customer="c", units=4) == 1
    assert harness.engine.counter.failure_count == 0


def test_unanswered_calls_do_not_renew_the_local_allowance():
    harness = EngineHarness(settings(plans=[plan(rate=0.1, burst=40.0)]))
    harness.counter_mode, admitted = "silent", 0
    for _ in range(60):
        admitted += count_admitted(harness, 1)
        harness.now += 0.5  # long enough for many calls
    assert admitted <= 40 / 2 + 0.1 * 60 + 1


def test_late_total_grants_its_lease():
    harness = EngineHarness(settings(plans=[plan(rate=0.1, burst=40.0)]))
    harness.counter_mode, calls = "hold", []
    while not calls:
        calls = actions_of(harness.request(units=4)[1], api.AddToCounter)
    harness.now += 0.05
    harness.handle(api.CounterReply(calls[0].name, "timeout", 0, 0.05))
    assert harness.engine.accounts["c"].leased_units == 0
    harness.handle(api.CounterReply(calls[0].name, "late", calls[0].amount, 0.08))
    assert harness.engine.accounts["c"].leased_units > 0
    # No call is left to which this total could belong.
    harness.handle(api.CounterReply(calls[0].name, "late", calls[0].amount, 0.09))
    assert harness.engine.accounts["c"].leased_units <= calls[0].amount


def test_plan_credit_follows_the_grants_within_seconds_of_a_start():
    grants = PlanGrants(100.0, 0.7)  # the first request arrives much later
    admitted_rates = {}
    for second in range(130, 170):
        grants.record_grant(float(second), 2.0, 2.0)
        grants.credit_units = 0.0
        grants.refill_credit(second + 0.5)
        admitted_rates[second - 130] = grants.credit_units / 0.5
    assert admitted_rates[1] > 0.5 and 1.2 < admitted_rates[5] < 2.8  # two units a second are granted
    assert all(1.5 < admitted_rates[second] < 2.5 for second in range(10, 40))


def test_rounded_total_is_not_a_lost_count():
    harness = EngineHarness(settings(plans=[plan(rate=2.0, burst=60.0)]))
    count_admitted(harness, 12)
    account = harness.engine.accounts["c"]
    account.overdraft = 3.4376251  # the overdraft of a fractional burst
    for name in harness.counts:
        harness.counts[name] += account.overdraft
    account.contributed_units, account.counter_total = (
        account.contributed_units + account.overdraft,
        account.counter_total + account.overdraft,
    )
    before = {name: total - 4e-7 for name, total in harness.counts.items()}  # rounded to seven digits
    harness.counts = dict(before)
    account.leased_units = 0.0
    harness.request()
    assert (
        account.contributed_units < 1.5 * max(before.values())
        and max(harness.counts.values()) - max(before.values()) <= 8
    )
    harness.counts = {name: 0.0 for name in harness.counts}  # a lost count is added again
    account.leased_units, contributed = 0.0, account.contributed_units
    count_admitted(harness, 4)
    assert max(harness.counts.values()) >= contributed


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("spread, rate", [(1, 0.5), (2, 0.5), (1, 4.0), (2, 4.0)])
def test_burst_from_a_full_window_is_not_covered_by_refill_lost_before(seed, spread, rate):
    """However long its window has run, an idle customer has at most one burst."""
    harness = EngineHarness(
        settings(plans=[plan(rate=rate, burst=40.0)]), seed=seed, start=1000.0 + 13 * seed
    )
    # The rest is reserved for classes of higher priority.
    assert 34 <= count_admitted(harness, 120, spread=spread) <= 40


def test_refill_covers_what_a_slow_customer_spent():
    harness = EngineHarness(settings(plans=[plan(rate=2.0, burst=40.0)]), start=1000.0)
    for _ in range(30):  # at half of the plan's rate
        assert count_admitted(harness, 1, spread=1) == 1
        harness.advance(1.0)
    assert count_admitted(harness, 120, spread=1) >= 33


def advance_near_window_end(harness, remaining_s):
    """Advance until `remaining_s` of the customer's window remain; a first request creates the account."""
    count_admitted(harness, 1)
    account = harness.engine.accounts["c"]
    harness.advance(
        (account.window_start(account.window_number + 1) - remaining_s - harness.now) % account.window_length
    )
    return account


def gateways_after_used_up_window():
    """Return two gateways with a common counter, and the units left.

    The gateways used up the previous window, and the current one is a second old.
    """
    one, other = (EngineHarness(settings(plans=[plan(burst=24.0)]), seed=seed) for seed in (1, 2))
    other.counts = one.counts
    account = advance_near_window_end(one, 11.9)
    other.now = one.now
    for _ in range(22):
        for gateway in (one, other):
            count_admitted(gateway, 10)
            gateway.advance(0.5)
    observed_at = account.window_start(account.window_number + 1) + 1.0
    for gateway in (one, other):
        gateway.advance(observed_at - gateway.now)
    return one, other, 24 - (max(one.counts.values()) - 24) + 2.0


@pytest.mark.parametrize("mode", ["answer", "lose"])
def test_overdraft_is_carried_over_although_the_first_call_of_a_window_is_lost(mode):
    """Two gateways use up a window. The first call of the next window is counted, but its answer is lost."""
    one, other, remaining = gateways_after_used_up_window()
    one.counter_mode = mode
    admitted = count_admitted(one, 30)
    one.counter_mode = "answer"
    for gateway in (other, one) * 3:
        admitted += count_admitted(gateway, 30)
    assert admitted <= remaining + 2  # one rounded unit for each gateway


def test_a_gateway_that_has_just_started_brings_along_what_ran_over_in_the_window_before():
    """A gateway that finds a window's count empty adds the previous overdraft, also just after its start."""
    one, other, remaining = gateways_after_used_up_window()
    started = EngineHarness(settings(plans=[plan(burst=24.0)]), seed=3, start=one.now)
    started.counts = one.counts
    admitted = count_admitted(started, 30)
    for gateway in (one, other, started) * 2:
        admitted += count_admitted(gateway, 30)
    # The new gateway's allowance, and one rounded unit for each gateway.
    assert admitted <= remaining + 24 / 2 * 0.5 + 3


def test_call_in_flight_does_not_renew_the_allowance():
    """Late in a window the refill covers the units that the call has charged, so they are easily missed."""
    harness = EngineHarness(settings(plans=[plan(burst=24.0)]))
    advance_near_window_end(harness, 1.0)
    harness.counter_mode = "hold"
    # Half of the even portion of the burst, and a rounded unit.
    assert count_admitted(harness, 60) <= 24 / 2 * 0.5 + 1


def test_charge_of_a_lost_call_is_owed_in_the_next_window():
    harness = EngineHarness(settings(plans=[plan(burst=24.0)]))
    account = advance_near_window_end(harness, 0.5)
    harness.counter_mode = "silent"
    admitted = count_admitted(harness, 60)
    harness.advance(account.window_start(account.window_number + 1) - harness.now)
    # Even portions of the burst and of the refill, and a rounded unit.
    assert admitted + count_admitted(harness, 60) <= 24 / 2 + 2.0 * 2 + 1


def test_charge_of_a_call_in_flight_is_counted_in_the_next_window():
    harness = EngineHarness(settings(plans=[plan(burst=24.0)]))
    account = advance_near_window_end(harness, 0.2)
    harness.counter_mode = "hold"
    count_admitted(harness, 60)
    admitted = account.used_units
    harness.advance(0.3)
    held_call = [action for _, action in harness.action_log if isinstance(action, api.AddToCounter)][-1]
    harness.counter_mode = "answer"
    harness.handle(api.CounterReply(held_call.name, "ok", held_call.amount, 0.3))
    count_admitted(harness, 1)
    assert held_call.name not in harness.counts and sum(harness.counts.values()) >= admitted - 2.0 * 0.5
