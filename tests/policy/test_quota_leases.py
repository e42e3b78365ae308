import pytest
from helpers import EngineHarness, actions_of, plan, settings

from api_gateway import interface as api
from api_gateway.policy.customer_accounts import PlanGrants


def served(w, tries, **kw):
    n = 0
    for _ in range(tries):
        _, acts = w.request(**kw)
        for s in actions_of(acts, api.SendAttempt):
            n += 1
            w.end_attempt(s)
    return n


def test_light_customer_makes_no_call():
    w = EngineHarness()
    assert served(w, 1) == 1
    assert not [a for _, a in w.action_log if isinstance(a, api.AddToCounter)]


def test_lease_is_added_and_quota_is_held():
    w = EngineHarness()
    n = served(w, 40)
    assert 7 <= n <= 8  # the burst, less what is kept for classes that are worth more
    assert [a for _, a in w.action_log if isinstance(a, api.AddToCounter)]
    assert max(w.counts.values()) <= 16


def test_full_window_refuses_at_once_without_calls():
    w = EngineHarness()
    served(w, 40)
    before = len([a for _, a in w.action_log if isinstance(a, api.AddToCounter)])
    name, acts = w.request()
    assert actions_of(acts, api.RejectRequest) and len(actions_of(acts, api.AddToCounter)) == 0 and before


def test_two_bursts_do_not_pass_back_to_back_at_a_turn():
    w = EngineHarness()
    total = 0
    start = w.now
    while w.now < start + 12:
        total += served(w, 2)
        w.advance(0.1)
    assert total <= 8 + 2 * (w.now - start) + 4


def test_excess_is_taken_back():
    w = EngineHarness()
    w.counter_mode = "hold"
    calls, sends = [], True
    while sends:  # the last request waits for the call that is out
        _, acts = w.request()
        calls, sends = calls + actions_of(acts, api.AddToCounter), actions_of(acts, api.SendAttempt)
    call = calls[0]
    acts = w.handle(api.CounterReply(call.name, "ok", 40, 0.002))  # others have filled the window meanwhile
    assert [c for c in actions_of(acts, api.AddToCounter) if c.amount < 0 and c.name == call.name]
    assert not actions_of(acts, api.SendAttempt) and actions_of(acts, api.RejectRequest)


def test_timed_out_add_gives_no_units_and_request_is_settled_soon():
    w = EngineHarness()
    w.counter_mode = "silent"
    start = w.now
    n = served(w, 60)
    assert n <= 8 / 2 + 2 * (w.now - start) + 4  # the even share, never a lease
    assert all(not j.stage == "units" for j in w.engine.requests_in_flight.values())
    assert w.engine.accounts["c"].leased_units == 0


def test_silent_counter_calls_back_off():
    w = EngineHarness()
    w.counter_mode = "silent"
    for _ in range(200):
        w.request()
        w.advance(0.02)
    assert len([a for _, a in w.action_log if isinstance(a, api.AddToCounter)]) < 20


def test_lost_counts_are_added_again():
    w = EngineHarness(settings(plans=[plan(rate=2.0, burst=20.0)]))
    served(w, 12)
    name = max(w.counts, key=lambda k: w.counts[k])
    ours = w.counts[name]
    assert ours > 3
    w.counts.clear()
    served(w, 3)
    assert w.counts[name] >= ours


def test_refused_call_keeps_the_charge_owed():
    w = EngineHarness()
    w.counter_mode = "refuse"
    n = served(w, 30)
    w.counter_mode = "answer"
    w.advance(1.2)
    served(w, 3)
    assert max(w.counts.values()) >= n


def test_ceiling_holds_at_start_and_without_counter():
    p = plan(rate=10.0, burst=20.0, ceiling_rate=10.0, ceiling_burst=20.0, ceiling_slack=2.0)
    for mode in ("answer", "silent", "refuse"):
        w = EngineHarness(settings(plans=[p]))
        w.counter_mode = mode
        start, n = w.now, 0
        while w.now < start + 3:
            n += served(w, 4)
            w.advance(0.05)
            # half of the ceiling's rate: two gateways share the customer, and nothing is there at the start
            assert n <= 5.0 * (w.now - start) + 1


def test_open_limit_is_held_over_gateways_by_the_counter():
    p = plan(rate=50.0, burst=100.0, max_concurrent=2)
    a = EngineHarness(settings(plans=[p]))
    b = EngineHarness(settings(plans=[p], gateway_index=1), seed=2)
    b.counts = a.counts
    sends = []
    for _ in range(3):
        for w in (a, b):
            sends += [(w, s) for s in actions_of(w.request()[1], api.SendAttempt)]
    assert len(sends) == 2
    w, s = sends[0]
    w.end_attempt(s)
    assert len(actions_of(w.request()[1], api.SendAttempt)) == 1


def test_beyond_quota_only_where_it_earns():
    w = EngineHarness(settings(plans=[plan(over_quota_weight=0.3, over_quota_cost=0.0)]))
    assert served(w, 40) == 40
    w = EngineHarness(settings(plans=[plan(over_quota_weight=0.3, over_quota_cost=0.5)]))
    assert served(w, 40) < 40


def test_without_counter_the_even_share_is_granted():
    w = EngineHarness(settings(has_counter=False))
    n = served(w, 40)
    assert 4 <= n <= 8 and not [a for _, a in w.action_log if isinstance(a, api.AddToCounter)]


def test_plan_without_a_rate_needs_only_open_slots():
    w = EngineHarness(settings(plans=[plan(rate=0.0, burst=0.0, max_concurrent=3)]))
    assert served(w, 30) == 30


def test_settled_units_are_charged():
    w = EngineHarness(settings(reports_actual_units=True))
    _, acts = w.request()
    s = actions_of(acts, api.SendAttempt)[0]
    w.end_attempt(s, actual_units=6)
    assert served(w, 40) < 11


def test_a_quiet_time_does_not_save_up_more_than_the_burst():
    w = EngineHarness()
    acct_len = 4.0
    w.request()
    phase = w.engine.accounts["c"].window_started_at
    w.now = phase + 2 * acct_len - 0.5  # late in a window that nothing was drawn in
    n = served(w, 60)
    assert n <= 8 + 4 + 1  # the burst, and what its even part passed uncharged


def test_debt_is_brought_along_once():
    a, b = EngineHarness(settings(plans=[plan(burst=40.0, rate=10.0)])), None
    b = EngineHarness(settings(plans=[plan(burst=40.0, rate=10.0)], gateway_index=1), seed=2)
    b.counts = a.counts
    start = 0.0
    for turn in range(6):
        for w in (a, b):
            w.now = max(a.now, b.now)
            served(w, 60)
        start = a.engine.accounts["c"].window_started_at
        a.now = b.now = start + 4.0 + 0.001
        assert max(a.counts.values()) <= 40 + 10 * 4 + 3, turn  # never more owed than was drawn


def test_even_part_of_the_open_limit_needs_no_call():
    w = EngineHarness(settings(plans=[plan(rate=50.0, burst=100.0, max_concurrent=4)]))
    acts = w.request()[1] + w.request()[1]
    assert len(actions_of(acts, api.SendAttempt)) == 2 and not actions_of(acts, api.AddToCounter)
    assert not actions_of(w.request()[1], api.SendAttempt)


def test_small_burst_over_many_gateways_passes_light_customers_and_holds_busy_ones():
    w = EngineHarness(settings(gateway_count=10, plans=[plan(rate=0.8, burst=3.0)]))
    for k in range(20):
        _, acts = w.request(customer=f"c{k}", spread=8)
        assert actions_of(acts, api.SendAttempt) and len(actions_of(acts, api.AddToCounter)) <= 1
        w.end_attempt(actions_of(acts, api.SendAttempt)[0])
    assert served(w, 30, customer="c0", spread=8) <= 6


def test_the_end_of_a_quota_is_kept_for_what_is_worth_most():
    w = EngineHarness(settings(plans=[plan(rate=0.5, burst=40.0)]))
    low = served(w, 100, service_class="read")
    high = served(w, 100, service_class="write")
    assert high >= 5  # nothing would be left without what was kept
    assert low >= 25


def test_ordinary_path_is_back_within_two_seconds_after_the_counter_was_silent():
    w = EngineHarness(settings(plans=[plan(rate=20.0, burst=80.0)]))
    w.counter_mode = "silent"
    for _ in range(80):
        for s in actions_of(w.request()[1], api.SendAttempt):
            w.end_attempt(s)
        w.advance(0.02)
    w.counter_mode, start = "answer", w.now
    while w.now < start + 2:
        for s in actions_of(w.request()[1], api.SendAttempt):
            w.end_attempt(s)
        w.advance(0.04)
    assert w.engine.counter.failure_count == 0
    assert [a for t, a in w.action_log if isinstance(a, api.AddToCounter) and t > start]


def test_rest_of_the_open_limit_is_shared_by_a_count():
    conf = [settings(gateway_index=k, plans=[plan(rate=50.0, burst=100.0, max_concurrent=3)]) for k in (0, 1)]
    a, b = EngineHarness(conf[0]), EngineHarness(conf[1], seed=2)
    b.counts = a.counts
    assert sum(len(actions_of(w.request()[1], api.SendAttempt)) for _ in range(3) for w in (a, b)) == 3


def test_an_add_without_answer_leaves_the_requests_on_it_to_the_local_share():
    w = EngineHarness(settings(plans=[plan(rate=0.5, burst=8.0)]))
    w.counter_mode = "hold"
    calls, n = [], 0
    for _ in range(12):
        acts = w.request()[1]
        calls, n = calls + actions_of(acts, api.AddToCounter), n + len(actions_of(acts, api.SendAttempt))
    acts = w.handle(api.CounterReply(calls[0].name, "timeout", 0, 0.05))
    assert w.engine.accounts["c"].leased_units == 0 and n + len(actions_of(acts, api.SendAttempt)) <= 5
    assert len(actions_of(acts, api.RejectRequest)) >= 3


def test_what_a_quiet_half_lets_pass_too_much_is_taken_from_the_next_window():
    w = EngineHarness(settings(plans=[plan(rate=2.0, burst=40.0)]))
    w.request()
    w.now = w.engine.accounts["c"].window_started_at + 2 * 20.0 - 0.5
    n, start = served(w, 120), w.now
    assert n <= 80
    w.now += 1.0
    n += served(w, 120)
    assert n <= 80 + 2 * (w.now - start) + 4


def test_without_the_counter_many_gateways_pass_no_more_than_the_burst_of_a_customer():
    for n in (1, 3, 200):
        passed = 0
        for k in range(n):
            w = EngineHarness(
                settings(plans=[plan(rate=2.0, burst=8.0)], gateway_count=n, gateway_index=k), seed=k
            )
            w.counter_mode = "silent"
            passed += served(w, 3 if n > 10 else 40, spread=n)
        assert passed <= 2.5 * 8, n  # two windows may be met


def test_plan_share_passes_what_was_granted_before_while_the_counter_is_away():
    w = EngineHarness(settings(plans=[plan(rate=2.0, burst=8.0)], gateway_count=100))
    before = 0
    for k in range(200):
        before += served(w, 1, customer=f"b{k}", spread=60)
        w.now += 0.1
    w.counter_mode, during = "silent", 0
    for k in range(200):
        during += served(w, 1, customer=f"d{k}", spread=60)
        w.now += 0.1
    assert before > 150 and 40 < during <= before + 20


def test_one_lost_call_does_not_make_the_counter_silent_for_the_other_customers():
    w = EngineHarness()
    served(w, 1, customer="a", units=4)
    w.counter_mode = "silent"
    w.request(customer="b", units=4)
    w.counter_mode = "answer"
    assert served(w, 1, customer="c", units=4) == 1
    assert w.engine.counter.failure_count == 0


def test_calls_without_answer_do_not_renew_the_local_allowance():
    w = EngineHarness(settings(plans=[plan(rate=0.1, burst=40.0)]))
    w.counter_mode, n = "silent", 0
    for _ in range(60):
        n += served(w, 1)
        w.now += 0.5  # long enough for many calls
    assert n <= 40 / 2 + 0.1 * 60 + 1


def test_a_total_that_comes_after_the_time_out_brings_its_lease():
    w = EngineHarness(settings(plans=[plan(rate=0.1, burst=40.0)]))
    w.counter_mode, calls = "hold", []
    while not calls:
        calls = actions_of(w.request(units=4)[1], api.AddToCounter)
    w.now += 0.05
    w.handle(api.CounterReply(calls[0].name, "timeout", 0, 0.05))
    assert w.engine.accounts["c"].leased_units == 0
    w.handle(api.CounterReply(calls[0].name, "late", calls[0].amount, 0.08))
    assert w.engine.accounts["c"].leased_units > 0
    w.handle(
        api.CounterReply(calls[0].name, "late", calls[0].amount, 0.09)
    )  # no call is left that it could belong to
    assert w.engine.accounts["c"].leased_units <= calls[0].amount


def test_what_may_pass_unasked_follows_the_grants_within_seconds_of_a_start():
    use = PlanGrants(100.0, 0.7)  # the first request comes much later
    passed = {}
    for second in range(130, 170):
        use.record_grant(float(second), 2.0, 2.0)
        use.credit_units = 0.0
        use.refill_credit(second + 0.5)
        passed[second - 130] = use.credit_units / 0.5
    assert passed[1] > 0.5 and 1.2 < passed[5] < 2.8  # two a second are granted
    assert all(1.5 < passed[second] < 2.5 for second in range(10, 40))


def test_a_total_that_was_rounded_is_no_lost_count():
    w = EngineHarness(settings(plans=[plan(rate=2.0, burst=60.0)]))
    served(w, 12)
    acct = w.engine.accounts["c"]
    acct.overdraft = 3.4376251  # as a fractional burst leaves it
    for name in w.counts:
        w.counts[name] += acct.overdraft
    acct.contributed_units, acct.counter_total = (
        acct.contributed_units + acct.overdraft,
        acct.counter_total + acct.overdraft,
    )
    before = {name: total - 4e-7 for name, total in w.counts.items()}  # seven digits of it
    w.counts = dict(before)
    acct.leased_units = 0.0
    w.request()
    assert (
        acct.contributed_units < 1.5 * max(before.values())
        and max(w.counts.values()) - max(before.values()) <= 8
    )
    w.counts = {name: 0.0 for name in w.counts}  # one that is lost is added again
    acct.leased_units, put = 0.0, acct.contributed_units
    served(w, 4)
    assert max(w.counts.values()) >= put


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("spread, rate", [(1, 0.5), (2, 0.5), (1, 4.0), (2, 4.0)])
def test_a_burst_out_of_a_full_store_is_not_covered_by_what_ran_over_before(seed, spread, rate):
    """However long its window has run, a quiet customer's store holds one burst."""
    w = EngineHarness(settings(plans=[plan(rate=rate, burst=40.0)]), seed=seed, start=1000.0 + 13 * seed)
    assert 34 <= served(w, 120, spread=spread) <= 40  # the rest is kept for classes that are worth more


def test_what_a_slow_customer_spent_is_made_good_by_the_refill():
    w = EngineHarness(settings(plans=[plan(rate=2.0, burst=40.0)]), start=1000.0)
    for _ in range(30):  # at half of its rate
        assert served(w, 1, spread=1) == 1
        w.advance(1.0)
    assert served(w, 120, spread=1) >= 33


def late_in_a_window(w, left):
    """Waits until `left` s of the window of the customer remain; its account is made by a first request."""
    served(w, 1)
    account = w.engine.accounts["c"]
    w.advance((account.window_start(account.window_number + 1) - left - w.now) % account.window_length)
    return account


def used_up_window():
    """Two gateways with one count, a second into the window after one that they used up; the units left."""
    one, other = (EngineHarness(settings(plans=[plan(burst=24.0)]), seed=seed) for seed in (1, 2))
    other.counts = one.counts
    account = late_in_a_window(one, 11.9)
    other.now = one.now
    for _ in range(22):
        for gateway in (one, other):
            served(gateway, 10)
            gateway.advance(0.5)
    second_in_next = account.window_start(account.window_number + 1) + 1.0
    for gateway in (one, other):
        gateway.advance(second_in_next - gateway.now)
    return one, other, 24 - (max(one.counts.values()) - 24) + 2.0


@pytest.mark.parametrize("mode", ["answer", "lose"])
def test_the_overdraft_is_brought_along_though_the_first_call_of_a_window_is_lost(mode):
    """Two gateways use a window up; the first call of the next one is added, and its answer lost."""
    one, other, left = used_up_window()
    one.counter_mode = mode
    passed = served(one, 30)
    one.counter_mode = "answer"
    for gateway in (other, one) * 3:
        passed += served(gateway, 30)
    assert passed <= left + 2  # and one that is rounded at each


def test_a_gateway_that_has_just_started_brings_along_what_ran_over_in_the_window_before():
    one, other, left = used_up_window()
    fresh = EngineHarness(settings(plans=[plan(burst=24.0)]), seed=3, start=one.now)
    fresh.counts = one.counts
    passed = served(fresh, 30)
    for gateway in (one, other, fresh) * 2:
        passed += served(gateway, 30)
    assert passed <= left + 24 / 2 * 0.5 + 3  # its allowance, and one that is rounded at each


def test_a_call_that_is_out_does_not_renew_the_allowance():
    """Late in a window the refill hides what the call has charged."""
    w = EngineHarness(settings(plans=[plan(burst=24.0)]))
    late_in_a_window(w, 1.0)
    w.counter_mode = "hold"
    assert served(w, 60) <= 24 / 2 * 0.5 + 1  # half of the even part of the burst, and one that is rounded


def test_what_a_lost_call_charged_is_owed_in_the_next_window():
    w = EngineHarness(settings(plans=[plan(burst=24.0)]))
    account = late_in_a_window(w, 0.5)
    w.counter_mode = "silent"
    passed = served(w, 60)
    w.advance(account.window_start(account.window_number + 1) - w.now)
    assert (
        passed + served(w, 60) <= 24 / 2 + 2.0 * 2 + 1
    )  # the even part of the burst, of the refill, rounding


def test_what_a_call_that_is_out_charged_is_counted_in_the_next_window():
    w = EngineHarness(settings(plans=[plan(burst=24.0)]))
    account = late_in_a_window(w, 0.2)
    w.counter_mode = "hold"
    served(w, 60)
    passed = account.used_units
    w.advance(0.3)
    held = [action for _, action in w.action_log if isinstance(action, api.AddToCounter)][-1]
    w.counter_mode = "answer"
    w.handle(api.CounterReply(held.name, "ok", held.amount, 0.3))
    served(w, 1)
    assert held.name not in w.counts and sum(w.counts.values()) >= passed - 2.0 * 0.5
